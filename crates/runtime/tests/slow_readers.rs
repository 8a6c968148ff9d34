//! Callers that don't read their responses, and what is held in memory for them.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{
    ExchangeCommand, ExchangeEvent, ExchangeId, HttpEvent, HttpRequest, RequestId, ResponsePart,
};
use mulberrywell_runtime::caller_budget::{CallerBudget, CallerLimits};
use mulberrywell_runtime::caller_table::CallerId;
use mulberrywell_runtime::exchange_table::ConnectionId;
use mulberrywell_runtime::http_driver::{DriverEvent, HttpDriver};
use socket2::SockRef;
use stakker::{Fwd, Stakker};
use stakker_mio::mio::{Events, Poll};
use stakker_mio::MioPoll;

/// Memory that an instance may hold, the descriptors that callers may use there, and how
/// many of them don't read.
#[derive(Debug, Clone, Copy)]
struct ReaderLoad {
    limit: usize,
    descriptors: usize,
    slow: usize,
}

/// Instances of 260 and 160 MB with their defaults.
const LOADS: [ReaderLoad; 2] = [
    ReaderLoad {
        limit: 130 * 1024 * 1024,
        descriptors: 2_600,
        slow: 2_000,
    },
    ReaderLoad {
        limit: 80 * 1024 * 1024,
        descriptors: 1_472,
        slow: 1_470,
    },
];

/// Size of the sockets' buffers, so that what callers don't read is held by the instance.
const SOCKET_BUFFER: usize = 4 * 1024;

/// Data that an endpoint has for each response.
const RESPONSE_LEN: usize = 512 * 1024;

/// Callers and endpoints of a driver in one thread.
struct DriverHarness {
    poll: MioPoll,
    driver: HttpDriver,
    now: Instant,
    callers: Vec<TcpStream>,
    caller_ids: Vec<CallerId>,
    /// The endpoint's sides of the connections, and what was sent on each.
    endpoints: Vec<(TcpStream, usize)>,
    endpoint_ids: Vec<ConnectionId>,
    endpoint_listener: TcpListener,
    exchanges: BTreeMap<ExchangeId, RequestId>,
    gone: Vec<RequestId>,
    held_max: usize,
}

impl DriverHarness {
    fn new(poll: MioPoll, load: ReaderLoad) -> Self {
        let now = Instant::now();
        let budget = CallerBudget::open(CallerLimits {
            memory: load.limit,
            descriptors: load.descriptors,
            ..CallerLimits::default()
        });
        let mut driver = HttpDriver::new(now, budget);
        driver.activate();
        DriverHarness {
            poll,
            driver,
            now,
            callers: Vec::new(),
            caller_ids: Vec::new(),
            endpoints: Vec::new(),
            endpoint_ids: Vec::new(),
            endpoint_listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            exchanges: BTreeMap::new(),
            gone: Vec::new(),
            held_max: 0,
        }
    }

    /// Connects callers, each of which sends one request.
    fn connect(&mut self, count: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        SockRef::from(&listener)
            .set_send_buffer_size(SOCKET_BUFFER)
            .unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = stakker_mio::mio::net::TcpListener::from_std(listener);
        let callers = &mut self.driver.callers;
        callers
            .listen(&self.poll, 0, listener, Fwd::new(|_| {}))
            .unwrap();
        for _ in 0..count {
            let mut caller = connect_small(address);
            caller
                .write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                .unwrap();
            self.callers.push(caller);
            let (id, stream) = loop {
                if let Some(accepted) = self.driver.callers.accept(self.now, 0) {
                    break accepted;
                }
            };
            let callers = &mut self.driver.callers;
            callers
                .attach(&self.poll, self.now, 0, id, stream, Fwd::new(|_| {}))
                .unwrap();
            self.caller_ids.push(id);
            self.driver.read_caller(self.now, id);
            self.handle_events();
        }
    }

    /// Serves all sockets once; time advances by `step`.
    fn round(&mut self, step: Duration) {
        self.now += step;
        for (endpoint, sent) in &mut self.endpoints {
            send_some(endpoint, sent);
        }
        for id in self.endpoint_ids.clone() {
            self.driver.read_endpoint(self.now, id);
            self.handle_events();
        }
        for id in self.caller_ids.clone() {
            self.driver.read_caller(self.now, id);
            self.handle_events();
        }
        self.driver.tick(self.now);
        self.handle_events();
        self.held_max = self.held_max.max(self.driver.held_bytes());
    }

    /// Forwards requests to the endpoint and its responses to callers, as the role does.
    fn handle_events(&mut self) {
        while let Some(event) = self.driver.pop_event() {
            match event {
                DriverEvent::Http(_, HttpEvent::Request { request, .. }) => self.start(request),
                DriverEvent::Http(_, HttpEvent::Disconnected { request }) => {
                    self.gone.push(request);
                    let exchange = request;
                    let command = ExchangeCommand::Cancel { exchange };
                    self.driver.handle_command(command);
                }
                DriverEvent::Exchange(event) => self.forward(event),
            }
        }
        self.driver.flush();
    }

    fn start(&mut self, request: RequestId) {
        let command = ExchangeCommand::Start {
            exchange: request,
            address: self.endpoint_listener.local_addr().unwrap(),
            http: HttpRequest {
                method: Bytes::from_static(b"GET"),
                path: Bytes::from_static(b"/"),
                ..HttpRequest::default()
            },
            echoed_field: None,
            connect_timeout: Duration::from_secs(60),
            reader: Some(request),
        };
        self.exchanges.insert(request, request);
        let Some(start) = self.driver.handle_command(command) else {
            return;
        };
        let exchanges = &mut self.driver.exchanges;
        let id = exchanges.next_connection_id();
        exchanges
            .open(&self.poll, self.now, id, &start, Fwd::new(|_| {}))
            .unwrap();
        let (endpoint, _) = self.endpoint_listener.accept().unwrap();
        endpoint.set_nonblocking(true).unwrap();
        // The endpoint responds once the request is written.
        self.driver.read_endpoint(self.now, id);
        self.endpoints.push((endpoint, 0));
        self.endpoint_ids.push(id);
    }

    fn forward(&mut self, event: ExchangeEvent) {
        let (exchange, part) = match event {
            ExchangeEvent::Head { exchange, .. } => {
                let head = ResponsePart::Head {
                    status: 200,
                    headers: Vec::new(),
                    length: None,
                };
                (exchange, head)
            }
            ExchangeEvent::Data { exchange, data } => (exchange, ResponsePart::Data(data)),
            ExchangeEvent::Full { .. } => unreachable!("all is passed on at once"),
            ExchangeEvent::End { exchange, .. } => (exchange, ResponsePart::End),
        };
        self.driver
            .respond(self.now, self.exchanges[&exchange], part);
    }
}

/// Connects with a small receive buffer, which must be set before.
fn connect_small(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SOCKET_BUFFER).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

/// Sends as much of a response as the connection takes.
fn send_some(endpoint: &mut TcpStream, sent: &mut usize) {
    if *sent == 0 {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_LEN}\r\n\r\n");
        if endpoint.write_all(head.as_bytes()).is_err() {
            return;
        }
    }
    let data = vec![b'x'; 64 * 1024];
    while *sent < RESPONSE_LEN {
        match endpoint.write(&data[..data.len().min(RESPONSE_LEN - *sent)]) {
            Ok(len) => *sent += len,
            Err(_) => return,
        }
    }
}

/// Reads what has arrived; returns its length, and whether the connection is open.
fn read_all(caller: &mut TcpStream) -> (usize, bool) {
    caller.set_nonblocking(true).unwrap();
    let mut buf = vec![0; 64 * 1024];
    let mut total = 0;
    loop {
        match caller.read(&mut buf) {
            Ok(0) => return (total, false),
            Ok(len) => total += len,
            Err(err) => return (total, err.kind() == ErrorKind::WouldBlock),
        }
    }
}

fn poll() -> MioPoll {
    let mut stakker = Stakker::new(Instant::now());
    MioPoll::new(
        &mut stakker,
        Poll::new().unwrap(),
        Events::with_capacity(16),
        0,
    )
    .unwrap()
}

/// Load: callers that read nothing, each with a response of 512 KiB, beside one that
/// reads. Guards against an instance that holds what they don't read until its memory ends,
/// and against a reading caller that suffers. One test, as a process has one poll.
#[test]
fn slow_readers_leave_memory_to_others() {
    for load in LOADS {
        check_load(poll(), load);
    }
}

fn check_load(poll: MioPoll, load: ReaderLoad) {
    let ReaderLoad { limit, slow, .. } = load;
    let mut harness = DriverHarness::new(poll, load);
    harness.connect(slow + 1);
    let mut received = 0;
    for _ in 0..40 {
        harness.round(Duration::from_millis(20));
        received += read_all(&mut harness.callers[slow]).0;
    }
    assert!(harness.held_max > limit / 4, "the load is one");
    assert!(harness.held_max <= limit, "{} held", harness.held_max);
    // A round moves what the sockets' buffers take.
    assert!(
        received > 40 * SOCKET_BUFFER,
        "{received} of one that reads"
    );
    assert_eq!(harness.gone.len(), 0, "nothing is ended before its time");
    for _ in 0..5 {
        harness.round(Duration::from_millis(800));
        assert!(read_all(&mut harness.callers[slow]).0 > 0);
    }
    assert_eq!(harness.gone.len(), slow, "those that read nothing");
    assert!(harness.driver.held_bytes() < limit / 100);
    let (_, is_open) = read_all(&mut harness.callers[0]);
    assert!(!is_open);
    assert!(read_all(&mut harness.callers[slow]).1);
}
