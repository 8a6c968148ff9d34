//! Callers' connections between requests: when they are closed.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use mulberrywell_role::{ConnectionBounds, HttpEvent, ListenerId, RequestId, ResponsePart};
use mulberrywell_runtime::caller_budget::{CallerBudget, CallerLimits};
use mulberrywell_runtime::caller_table::{CallerId, CallerTable, BOUNDS_DEFAULT};
use rstest::rstest;
use stakker::Fwd;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::MioPoll;

use common::run_with_poll;

const LISTENER: ListenerId = 0;
/// Callers of a crowd; more than a listener may have beyond the limit.
const CROWD: usize = 20;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// One caller whose connection has carried a request, and is idle.
struct IdleCaller {
    table: CallerTable,
    now: Instant,
    id: CallerId,
    stream: TcpStream,
}

/// Adds a listener to a table.
fn listen(poll: &MioPoll, table: &mut CallerTable, id: ListenerId) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    table.listen(poll, id, listener, Fwd::new(|_| {})).unwrap();
    address
}

/// Opens a connection to a listener of a table and adds it.
fn connect(
    poll: &MioPoll,
    table: &mut CallerTable,
    now: Instant,
    listener: ListenerId,
    address: SocketAddr,
) -> (CallerId, TcpStream) {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    let (id, accepted) = loop {
        if let Some(accepted) = table.accept(now, listener) {
            break accepted;
        }
    };
    table
        .attach(poll, now, listener, id, accepted, Fwd::new(|_| {}))
        .unwrap();
    (id, stream)
}

/// Returns the request that has arrived on a connection.
fn read_request(table: &mut CallerTable, now: Instant, id: CallerId) -> Option<RequestId> {
    let mut events = Vec::new();
    table.handle_ready(now, id, &mut [0; 1_024], &mut events);
    events.into_iter().find_map(|(_, event)| match event {
        HttpEvent::Request { request, .. } => Some(request),
        HttpEvent::Disconnected { .. } => None,
    })
}

impl IdleCaller {
    fn connect(poll: &MioPoll) -> Self {
        let now = Instant::now();
        let mut table = CallerTable::default();
        let address = listen(poll, &mut table, LISTENER);
        let (id, stream) = connect(poll, &mut table, now, LISTENER, address);
        let mut caller = IdleCaller {
            table,
            now,
            id,
            stream,
        };
        caller.send_request();
        let request = caller.read_request().expect("a request");
        let mut events = Vec::new();
        let head = ResponsePart::Head {
            status: 200,
            headers: Vec::new(),
            length: Some(0),
        };
        for part in [head, ResponsePart::End] {
            let table = &mut caller.table;
            table.queue_response_part(now, request, part, &mut events);
        }
        caller.table.flush(&mut events);
        assert!(events.is_empty());
        caller
    }

    /// Sends a request and waits until it has arrived.
    fn send_request(&mut self) {
        self.stream.write_all(REQUEST).unwrap();
        std::thread::sleep(Duration::from_millis(20));
    }

    fn read_request(&mut self) -> Option<RequestId> {
        read_request(&mut self.table, self.now, self.id)
    }

    fn pass(&mut self, duration: Duration) {
        self.now += duration;
        let mut events = Vec::new();
        self.table.tick(self.now, &mut events);
        assert!(events.is_empty());
    }

    fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        let bounds = ConnectionBounds {
            idle_timeout,
            ..BOUNDS_DEFAULT
        };
        self.table.set_bounds(LISTENER, bounds);
    }
}

/// Guards against a request that has arrived on an idle connection and is dropped unread, as
/// the idle timeout expires before the connection is read.
#[test]
fn tick_arrived_request_kept() {
    run_with_poll(|poll| {
        let mut caller = IdleCaller::connect(poll);
        caller.send_request();
        caller.pass(BOUNDS_DEFAULT.idle_timeout);
        assert!(caller.read_request().is_some());
    });
}

/// Guards against connections that a change of the idle timeout closes at once, while their
/// callers still reuse them by the timeout before; each keeps the longer one.
#[rstest]
#[case::lowered(15, 5, 14, true)]
#[case::lowered_expired(15, 5, 15, false)]
#[case::raised(15, 30, 29, true)]
#[case::raised_expired(15, 30, 30, false)]
fn set_bounds_idle_connection_kept(
    #[case] before_s: u64,
    #[case] after_s: u64,
    #[case] idle_s: u64,
    #[case] is_kept: bool,
) {
    let [before, after, idle] = [before_s, after_s, idle_s].map(Duration::from_secs);
    assert_eq!(before, BOUNDS_DEFAULT.idle_timeout);
    run_with_poll(move |poll| {
        let mut caller = IdleCaller::connect(poll);
        caller.pass(Duration::from_secs(1));
        caller.set_idle_timeout(after);
        caller.pass(idle - Duration::from_secs(1));
        // Fails on a closed connection.
        let _ = caller.stream.write_all(REQUEST);
        std::thread::sleep(Duration::from_millis(20));
        assert_eq!(caller.read_request().is_some(), is_kept);
    });
}

/// Guards against a request that has arrived whole and is refused as too slow, as the
/// timeout of its head expires before the connection is read.
#[test]
fn tick_arrived_rest_of_request_kept() {
    run_with_poll(|poll| {
        let mut caller = IdleCaller::connect(poll);
        let (first, rest) = REQUEST.split_at(20);
        caller.stream.write_all(first).unwrap();
        std::thread::sleep(Duration::from_millis(20));
        assert!(caller.read_request().is_none());
        caller.stream.write_all(rest).unwrap();
        std::thread::sleep(Duration::from_millis(20));
        caller.pass(BOUNDS_DEFAULT.head_timeout);
        assert!(caller.read_request().is_some());
    });
}

/// Guards against a response that is cut to make room for a new connection: the role has
/// queued all of it, and its caller is still reading.
#[test]
fn attach_at_limit_keeps_unwritten_response() {
    run_with_poll(|poll| {
        let mut caller = IdleCaller::connect(poll);
        caller.send_request();
        let request = caller.read_request().expect("a request");
        let now = caller.now;
        let body = vec![b'y'; 7_000_000];
        let head = ResponsePart::Head {
            status: 200,
            headers: Vec::new(),
            length: Some(body.len() as u64),
        };
        let data = ResponsePart::Data(bytes::Bytes::from(body));
        let mut events = Vec::new();
        for part in [head, data, ResponsePart::End] {
            let table = &mut caller.table;
            table.queue_response_part(now, request, part, &mut events);
        }
        caller.table.flush(&mut events);
        assert!(caller.table.has_output(), "the sockets hold all of it");
        let table = &mut caller.table;
        let address = listen(poll, table, LISTENER + 1);
        let later = now + Duration::from_millis(100);
        let mut others = Vec::new();
        for _ in 0..CallerLimits::default().descriptors {
            others.push(connect(poll, table, later, LISTENER + 1, address));
        }
        assert!(table.has_output(), "the response was cut");
    });
}

/// Guards against a new connection at one listener, such as a readiness check's, that is closed
/// before its request arrives, as a crowd at another listener is in flight and comes further;
/// one that stays silent, or one of many, makes room.
#[rstest]
#[case::new(1, 100, 1)]
#[case::silent(1, 1_000, 0)]
#[case::few(4, 100, 4)]
#[case::many(5, 100, 4)]
fn attach_beside_crowd_keeps_new_connection(
    #[case] connections: usize,
    #[case] silence_ms: u64,
    #[case] kept: usize,
) {
    run_with_poll(move |poll| {
        let mut now = Instant::now();
        let limits = CallerLimits {
            descriptors: CROWD + connections,
            ..CallerLimits::default()
        };
        let mut table = CallerTable::new(CallerBudget::open(limits));
        let crowded = listen(poll, &mut table, LISTENER);
        let address = listen(poll, &mut table, LISTENER + 1);
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            let (id, mut stream) = connect(poll, &mut table, now, LISTENER, crowded);
            stream.write_all(REQUEST).unwrap();
            std::thread::sleep(Duration::from_millis(2));
            assert!(read_request(&mut table, now, id).is_some());
            crowd.push(stream);
        }
        let mut others: Vec<_> = (0..connections)
            .map(|_| connect(poll, &mut table, now, LISTENER + 1, address))
            .collect();
        now += Duration::from_millis(silence_ms);
        for _ in 0..CROWD {
            crowd.push(connect(poll, &mut table, now, LISTENER, crowded).1);
        }
        for (_, stream) in &mut others {
            // Fails on a closed connection.
            let _ = stream.write_all(REQUEST);
        }
        std::thread::sleep(Duration::from_millis(20));
        let ids = others.iter().map(|(id, _)| *id);
        let served = ids.filter(|id| read_request(&mut table, now, *id).is_some());
        assert_eq!(served.count(), kept);
    });
}

/// Guards against a request that has arrived on a connection which is not yet accepted when
/// the listener closes, as the timer that closes it may come before the poll tells of the
/// connection.
#[test]
fn stop_accepting_pending_request_kept() {
    run_with_poll(|poll| {
        let mut table = CallerTable::default();
        let address = listen(poll, &mut table, LISTENER);
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(REQUEST).unwrap();
        std::thread::sleep(Duration::from_millis(20));
        table.stop_accepting(LISTENER);
        std::thread::sleep(Duration::from_millis(20));
        stream.set_nonblocking(true).unwrap();
        let read = std::io::Read::read(&mut stream, &mut [0; 16]);
        let kind = read.map_err(|err| err.kind());
        assert_eq!(kind, Err(std::io::ErrorKind::WouldBlock));
    });
}
