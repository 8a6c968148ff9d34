//! Memory and descriptors that are held for callers, on one budget.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{HttpEvent, RequestId, ResponsePart};
use mulberrywell_runtime::caller_budget::{CallerBudget, CallerLimits};
use mulberrywell_runtime::caller_table::{CallerId, RequestUse};
use mulberrywell_runtime::http_driver::{DriverEvent, HttpDriver};
use mulberrywell_settings::ServeSettings;
use rstest::rstest;
use stakker::Fwd;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::MioPoll;

use common::run_with_poll;

const LISTENER: u8 = 0;

/// Connections that a port may have beyond the limit on descriptors.
const PORT_RESERVE: usize = 16;

/// Body of a request.
const BODY_LEN: usize = 32 * 1024;

const SMALL_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Time for which sent bytes are on their way.
const ARRIVAL_TIME: Duration = Duration::from_millis(20);

/// A driver with limits, and its callers.
struct BoundedDriver<'a> {
    poll: &'a MioPoll,
    driver: HttpDriver,
    budget: CallerBudget,
    now: Instant,
    address: SocketAddr,
    ids: Vec<CallerId>,
    streams: Vec<TcpStream>,
    requests: Vec<RequestId>,
}

impl<'a> BoundedDriver<'a> {
    fn listen(poll: &'a MioPoll, limits: CallerLimits) -> Self {
        let now = Instant::now();
        let budget = CallerBudget::open(limits);
        let mut driver = HttpDriver::new(now, budget.clone());
        driver.activate();
        let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let callers = &mut driver.callers;
        callers
            .listen(poll, LISTENER, listener, Fwd::new(|_| {}))
            .unwrap();
        BoundedDriver {
            poll,
            driver,
            budget,
            now,
            address,
            ids: Vec::new(),
            streams: Vec::new(),
            requests: Vec::new(),
        }
    }

    fn with_memory(poll: &'a MioPoll, memory: usize) -> Self {
        let limits = CallerLimits {
            memory,
            ..CallerLimits::default()
        };
        Self::listen(poll, limits)
    }

    /// Connects a caller that sends `text`, which is read; returns its place.
    fn send(&mut self, text: &[u8]) -> usize {
        let stream = TcpStream::connect(self.address).unwrap();
        self.send_on(stream, text)
    }

    /// Connects a caller from another address, and serves its request.
    fn call_from(&mut self, source: [u8; 4]) -> usize {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((source, 0)).into()).unwrap();
        socket.connect(&self.address.into()).unwrap();
        let place = self.send_on(socket.into(), SMALL_REQUEST);
        self.answer(place);
        place
    }

    /// Answers the last request.
    fn answer(&mut self, place: usize) {
        self.respond(*self.requests.last().expect("a request"), Bytes::new());
        self.receive(place, 12);
    }

    fn send_on(&mut self, mut stream: TcpStream, text: &[u8]) -> usize {
        // The sockets' buffers hold all of it, as it is not read before it is written.
        socket2::SockRef::from(&stream)
            .set_send_buffer_size(1024 * 1024)
            .unwrap();
        stream.write_all(text).unwrap();
        std::thread::sleep(ARRIVAL_TIME);
        let callers = &mut self.driver.callers;
        let (id, accepted) = loop {
            if let Some(accepted) = callers.accept(self.now, LISTENER) {
                break accepted;
            }
        };
        callers
            .attach(
                self.poll,
                self.now,
                LISTENER,
                id,
                accepted,
                Fwd::new(|_| {}),
            )
            .unwrap();
        self.ids.push(id);
        self.streams.push(stream);
        self.read(self.ids.len() - 1);
        self.ids.len() - 1
    }

    fn send_bodies(&mut self, count: usize) {
        for _ in 0..count {
            let text = [head(BODY_LEN).as_bytes(), &[b'x'; BODY_LEN]].concat();
            self.send(&text);
        }
    }

    fn read(&mut self, place: usize) {
        self.driver.read_caller(self.now, self.ids[place]);
        self.collect();
    }

    /// Lets time pass, and the timer's work be done.
    fn pass(&mut self, duration: Duration) {
        self.now += duration;
        self.driver.tick(self.now);
        self.collect();
    }

    fn collect(&mut self) {
        while let Some(event) = self.driver.pop_event() {
            if let DriverEvent::Http(_, HttpEvent::Request { request, .. }) = event {
                self.requests.push(request);
            }
        }
        self.driver.flush();
    }

    fn respond(&mut self, request: RequestId, body: Bytes) {
        let head = ResponsePart::Head {
            status: 200,
            headers: Vec::new(),
            length: Some(body.len() as u64),
        };
        for part in [head, ResponsePart::Data(body), ResponsePart::End] {
            self.driver.respond(self.now, request, part);
        }
        self.driver.flush();
    }

    /// Reads the first `len` bytes of what a caller has received.
    fn receive(&mut self, place: usize, len: usize) -> String {
        let stream = &mut self.streams[place];
        stream
            .set_read_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        let mut received = vec![0; len];
        stream.read_exact(&mut received).expect("a response");
        String::from_utf8(received).unwrap()
    }

    /// Fails unless a caller was refused and told when to come back.
    fn check_refused(&mut self, place: usize) {
        let response = self.receive(place, 64);
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("Retry-After: "), "{response}");
    }

    fn is_open(&mut self, place: usize) -> bool {
        let stream = &mut self.streams[place];
        stream.set_nonblocking(true).unwrap();
        let read = stream.read(&mut [0; 1]);
        read.is_err_and(|err| err.kind() == std::io::ErrorKind::WouldBlock)
    }
}

fn head(body_len: usize) -> String {
    format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {body_len}\r\n\r\n")
}

/// Guards against responses that are dropped before their first write, as they exceed the
/// bound on memory together with the bodies of requests in flight: their callers have read
/// all there was.
#[rstest]
#[case::above_bound(256 * 1024)]
#[case::within_bound(1024 * 1024)]
fn respond_request_bodies_above_bound_answered(#[case] bound: usize) {
    run_with_poll(move |poll| {
        let mut bounded = BoundedDriver::with_memory(poll, bound);
        bounded.send_bodies(3);
        assert_eq!(bounded.requests.len(), 3);
        assert!(bounded.driver.held_bytes() > 3 * BODY_LEN);
        bounded.respond(bounded.requests[0], Bytes::from(vec![b'y'; 40 * 1024]));
        let response = bounded.receive(0, 40 * 1024);
        assert!(response.starts_with("HTTP/1.1 200"));
    });
}

/// Guards against bodies that are read beyond the bound on memory, and against a refusal
/// that doesn't tell when to come back.
#[test]
fn read_bodies_above_bound_refused() {
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 256 * 1024);
        bounded.send_bodies(5);
        assert_eq!(bounded.requests.len(), 3);
        assert!(bounded.driver.held_bytes() <= 256 * 1024);
        bounded.check_refused(3);
        bounded.check_refused(4);
    });
}

/// Guards against more connections than the machine has memory for, should bytes arrive on
/// all of them while the process can't read, and against fewer than usual where it has.
#[rstest]
#[case::low("memory_mb = 64", 64, 128)]
#[case::untold("", 160, 1_472)]
#[case::front("memory_mb = 260", 260, 2_600)]
#[case::far_callers("memory_mb = 260\nreceive_kib = 64", 260, 718)]
#[case::more_held("memory_mb = 160\nheld_kib = 131072", 160, 64)]
fn limits_connections_fit_machine(
    #[case] table: &str,
    #[case] machine_mb: usize,
    #[case] connections: usize,
) {
    let text = format!(
        "[instance]\nname = \"g\"\nzone = \"z\"\nregion = \"r\"\nlisten = \"127.0.0.1:1\"\n\
         seeds = [\"127.0.0.1:2\"]\ntrusted_network = true\n\
         [gateway]\ncaller_listen = \"127.0.0.1:3\"\nready_listen = \"127.0.0.1:4\"\n\
         [callers]\n{table}\n"
    );
    let settings = ServeSettings::parse("settings.toml", &text).unwrap();
    let limits = CallerLimits::from_settings(&settings.callers, 4_100);
    assert_eq!(limits.descriptors, connections);
    let all = limits.memory + limits.descriptors * limits.arrived_max();
    assert!(all <= (machine_mb - 24) * 1024 * 1024, "{all}");
}

/// Guards against a body that is counted as it arrives: its stated length is taken at once,
/// and the refusal comes before the body is sent.
#[test]
fn read_stated_length_taken_at_once() {
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        let first = bounded.send(head(4 * 1024 * 1024).as_bytes());
        assert!(bounded.driver.held_bytes() > 4 * 1024 * 1024);
        let second = bounded.send(head(4 * 1024 * 1024).as_bytes());
        bounded.check_refused(second);
        assert!(bounded.is_open(first));
    });
}

/// Guards against a request that has all it needs and is refused, as small requests have
/// taken a part of the memory that is not for large ones.
#[test]
fn take_nothing_beyond_large_part() {
    let limits = CallerLimits {
        memory: 8 * 1024 * 1024,
        ..CallerLimits::default()
    };
    let budget = CallerBudget::open(limits);
    let mut large = budget.charge();
    assert!(large.take(5 * 1024 * 1024, 5 * 1024 * 1024));
    let mut small = budget.charge();
    while small.take(64 * 1024, 64 * 1024) {}
    assert!(!large.take(1, 5 * 1024 * 1024));
    assert!(large.take(0, 5 * 1024 * 1024));
}

/// Guards against a body that is refused while it is read, though its length was taken, as
/// later requests have taken the rest of the memory.
#[test]
fn read_stated_length_goes_on_beside_full_memory() {
    const LEN: usize = 128 * 1024;
    const FIRST_LEN: usize = 32 * 1024;
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        let first = [head(LEN).as_bytes(), &[b'x'; FIRST_LEN]].concat();
        let place = bounded.send(&first);
        let mut later = 2 * 1024 * 1024;
        while later >= 1024 {
            let other = bounded.send(head(later).as_bytes());
            if !bounded.is_open(other) {
                later /= 2;
            }
        }
        for _ in 0..(LEN - FIRST_LEN) / FIRST_LEN {
            bounded.streams[place].set_nonblocking(false).unwrap();
            bounded.streams[place]
                .write_all(&[b'x'; FIRST_LEN])
                .unwrap();
            std::thread::sleep(ARRIVAL_TIME);
            bounded.read(place);
            bounded.pass(Duration::from_millis(1));
        }
        assert_eq!(bounded.requests.len(), 1);
    });
}

/// Guards against the head of an incomplete request that is held and not counted.
#[test]
fn read_incomplete_head_counted() {
    const HEAD_LEN: usize = 12_000;
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        let long = "a".repeat(HEAD_LEN);
        let head = format!(
            "POST / HTTP/1.1\r\nHost: h\r\nX-Long: {long}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let before = bounded.driver.held_bytes();
        bounded.send((head + "1\r\na\r\n").as_bytes());
        let held = bounded.driver.held_bytes() - before;
        assert!(held >= HEAD_LEN, "{held} bytes");
        assert_eq!(bounded.requests.len(), 0);
    });
}

/// Guards against what may have arrived of a request's response and is not counted; it is
/// free again with the response.
#[test]
fn read_request_in_flight_counts_arrivals() {
    const ARRIVED_MAX: usize = 32 * 1024;
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        bounded.send(SMALL_REQUEST);
        assert_eq!(bounded.requests.len(), 1);
        assert!(bounded.driver.held_bytes() >= ARRIVED_MAX);
        bounded.respond(bounded.requests[0], Bytes::new());
        assert!(bounded.driver.held_bytes() < 8 * 1024);
    });
}

/// Guards against a body whose values take more memory than is free once they are decoded,
/// and against a refusal as if that came by chance where it never fits.
#[rstest]
#[case::short(1_000, None)]
#[case::beside_others(10_000, Some(503))]
#[case::never_fits(20_000, Some(413))]
fn read_decoded_body_counted(#[case] items: usize, #[case] refusal: Option<u16>) {
    run_with_poll(move |poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        let callers = &mut bounded.driver.callers;
        callers.set_request_use(LISTENER, RequestUse::Decoded);
        bounded.send(head(4 * 1024 * 1024).as_bytes());
        let body = "{},".repeat(items);
        let place = bounded.send((head(body.len()) + &body).as_bytes());
        assert_eq!(bounded.requests.len(), usize::from(refusal.is_none()));
        if let Some(status) = refusal {
            let response = bounded.receive(place, 12);
            assert_eq!(response, format!("HTTP/1.1 {status}"));
        }
    });
}

/// Guards against a stalled body that keeps its memory from callers that come later.
#[test]
fn read_stalled_body_makes_room() {
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        let stalled = bounded.send(head(4 * 1024 * 1024).as_bytes());
        bounded.pass(Duration::from_millis(200));
        let later = bounded.send(head(4 * 1024 * 1024).as_bytes());
        bounded.check_refused(stalled);
        assert!(bounded.is_open(later));
    });
}

/// Guards against small requests that are refused while large ones have all memory that
/// they may take.
#[test]
fn read_small_request_beside_large_served() {
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        bounded.send(head(4 * 1024 * 1024).as_bytes());
        bounded.send(head(1_900 * 1024).as_bytes());
        let refused = bounded.send(head(1024 * 1024).as_bytes());
        bounded.check_refused(refused);
        bounded.send(SMALL_REQUEST);
        assert_eq!(bounded.requests.len(), 1);
    });
}

/// Guards against large bodies that are read one after the other to their ends while small
/// requests wait: one pass reads a limited part, and a small request is read at once.
#[test]
fn tick_large_bodies_read_in_passes() {
    run_with_poll(|poll| {
        const LARGE_LEN: usize = 256 * 1024;
        const PASS_MAX: usize = 256 * 1024;
        let mut bounded = BoundedDriver::with_memory(poll, 64 * 1024 * 1024);
        for _ in 0..8 {
            let text = [head(LARGE_LEN).as_bytes(), &vec![b'x'; LARGE_LEN]].concat();
            bounded.send(&text);
        }
        assert_eq!(bounded.requests.len(), 0, "more than a turn was read");
        bounded.send(SMALL_REQUEST);
        assert_eq!(bounded.requests.len(), 1);
        let mut passes = 0;
        while bounded.requests.len() < 9 {
            bounded.pass(Duration::from_millis(1));
            passes += 1;
            assert!(passes < 1_000, "{} requests", bounded.requests.len());
        }
        let rest = 8 * (LARGE_LEN - 64 * 1024);
        assert!(passes >= rest / PASS_MAX, "{passes} passes");
    });
}

/// Guards against the memory of a request that stays taken after its connection's end.
#[test]
fn close_frees_memory() {
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        let place = bounded.send(head(4 * 1024 * 1024).as_bytes());
        bounded.streams[place]
            .shutdown(std::net::Shutdown::Both)
            .unwrap();
        std::thread::sleep(ARRIVAL_TIME);
        bounded.read(place);
        assert_eq!(
            (bounded.budget.held(), bounded.budget.descriptors()),
            (0, 0)
        );
    });
}

/// Guards against idle callers that behave and are closed for new ones that don't.
#[test]
fn attach_unproven_closed_before_proven() {
    run_with_poll(|poll| {
        let limits = CallerLimits {
            descriptors: 3,
            ..CallerLimits::default()
        };
        let mut bounded = BoundedDriver::listen(poll, limits);
        let proven = bounded.send(SMALL_REQUEST);
        bounded.respond(bounded.requests[0], Bytes::new());
        bounded.receive(proven, 12);
        let half_head = &SMALL_REQUEST[..20];
        for _ in 0..2 * PORT_RESERVE {
            bounded.now += Duration::from_millis(1);
            bounded.send(half_head);
            assert!(bounded.budget.descriptors() <= 3 + PORT_RESERVE);
        }
        bounded.streams[proven].write_all(SMALL_REQUEST).unwrap();
        std::thread::sleep(ARRIVAL_TIME);
        bounded.read(proven);
        assert_eq!(bounded.requests.len(), 2);
    });
}

/// Guards against an ordinary idle caller that is closed for a crowd from one address whose
/// callers behave, and have had as many responses.
#[test]
fn attach_crowd_of_one_source_makes_room() {
    run_with_poll(|poll| {
        let limits = CallerLimits {
            descriptors: 3,
            ..CallerLimits::default()
        };
        let mut bounded = BoundedDriver::listen(poll, limits);
        let ordinary = bounded.send(SMALL_REQUEST);
        bounded.answer(ordinary);
        for _ in 0..2 * PORT_RESERVE {
            bounded.now += Duration::from_millis(1);
            let place = bounded.call_from([127, 0, 0, 2]);
            bounded.streams[place].write_all(SMALL_REQUEST).unwrap();
            std::thread::sleep(ARRIVAL_TIME);
            bounded.read(place);
            bounded.answer(place);
        }
        assert!(bounded.budget.descriptors() <= 3 + PORT_RESERVE);
        bounded.streams[ordinary].write_all(SMALL_REQUEST).unwrap();
        let requests = bounded.requests.len();
        std::thread::sleep(ARRIVAL_TIME);
        bounded.read(ordinary);
        assert_eq!(bounded.requests.len(), requests + 1);
    });
}

/// Guards against a request in flight that is closed to make room for a new connection,
/// which is refused and told when to come back.
#[test]
fn attach_beside_requests_in_flight_refused() {
    run_with_poll(|poll| {
        let limits = CallerLimits {
            descriptors: 2,
            ..CallerLimits::default()
        };
        let mut bounded = BoundedDriver::listen(poll, limits);
        for _ in 0..PORT_RESERVE {
            bounded.send(SMALL_REQUEST);
        }
        let refused = bounded.send(SMALL_REQUEST);
        bounded.check_refused(refused);
        assert_eq!(bounded.requests.len(), PORT_RESERVE);
        assert!((0..PORT_RESERVE).all(|place| bounded.is_open(place)));
    });
}

/// Guards against bytes behind a request in flight that are held without a limit, and are
/// not read once its response is sent.
#[test]
fn read_bytes_behind_request_left_in_socket() {
    run_with_poll(|poll| {
        let mut bounded = BoundedDriver::with_memory(poll, 8 * 1024 * 1024);
        let behind = [SMALL_REQUEST, head(BODY_LEN).as_bytes(), &[b'x'; BODY_LEN]].concat();
        bounded.send(&behind);
        bounded.read(0);
        assert_eq!(bounded.requests.len(), 1);
        bounded.respond(bounded.requests[0], Bytes::new());
        for _ in 0..4 {
            bounded.pass(Duration::from_millis(1));
        }
        assert_eq!(bounded.requests.len(), 2);
    });
}
