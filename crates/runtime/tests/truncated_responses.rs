//! Responses that an endpoint breaks off inside the head or inside the body.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{ExchangeEnd, ExchangeEvent, ExchangeId, HttpRequest};
use mulberrywell_runtime::exchange_table::{ConnectionId, ExchangeStart, ExchangeTable};
use mulberrywell_wire::request::HeaderField;
use rstest::rstest;
use socket2::SockRef;
use stakker::Fwd;
use stakker_mio::MioPoll;

use common::run_with_poll;

/// Timeout for an exchange to end.
const END_TIMEOUT: Duration = Duration::from_secs(5);

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseKind {
    Fin,
    Reset,
}

/// How the bytes of a response arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ByteArrival {
    Together,
    Single,
}

/// Which request of its connection a response answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestPlace {
    First,
    Second,
}

/// What the caller of an exchange table has seen of an exchange that ended.
#[derive(Debug, Default, PartialEq, Eq)]
struct EndedExchange {
    /// 0 without a head.
    status: u16,
    body: Vec<u8>,
    end: Option<ExchangeEnd>,
}

/// An exchange on a connection to an endpoint.
struct ExchangeHarness {
    table: ExchangeTable,
    connection: ConnectionId,
    events: Vec<ExchangeEvent>,
}

fn start_request(listener: &TcpListener, exchange: ExchangeId, id: &'static str) -> ExchangeStart {
    let field = HeaderField {
        name: Bytes::from_static(b"Request-Id"),
        value: Bytes::from_static(id.as_bytes()),
    };
    ExchangeStart {
        exchange,
        address: listener.local_addr().unwrap(),
        http: HttpRequest {
            method: Bytes::from_static(b"POST"),
            path: Bytes::from_static(b"/"),
            headers: vec![field.clone()],
            body: Bytes::from_static(b"body"),
        },
        echoed_field: Some(field),
        connect_timeout: END_TIMEOUT,
    }
}

impl ExchangeHarness {
    /// Starts an exchange; returns the endpoint's side of its connection, which has
    /// received the request.
    fn start(poll: &MioPoll, place: RequestPlace) -> (Self, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut table = ExchangeTable::default();
        let connection = table.next_connection_id();
        let is_first = place == RequestPlace::First;
        let first = start_request(&listener, 1, if is_first { "r1" } else { "r0" });
        table
            .open(poll, Instant::now(), connection, &first, Fwd::new(|_| {}))
            .unwrap();
        let (mut endpoint, _) = listener.accept().unwrap();
        endpoint.set_nodelay(true).unwrap();
        let mut harness = ExchangeHarness {
            table,
            connection,
            events: Vec::new(),
        };
        harness.handle_ready();
        receive_request(&mut endpoint);
        if !is_first {
            let response = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nab";
            endpoint.write_all(response).unwrap();
            assert_eq!(harness.finish().end, Some(ExchangeEnd::Complete));
            let second = start_request(&listener, 2, "r1");
            assert!(harness.table.reuse(&second, &mut harness.events));
            receive_request(&mut endpoint);
        }
        (harness, endpoint)
    }

    fn handle_ready(&mut self) {
        let (now, mut scratch) = (Instant::now(), vec![0; 64 * 1024]);
        self.table
            .handle_ready(now, self.connection, &mut scratch, &mut self.events);
    }

    /// Advances the exchange to its end.
    fn finish(&mut self) -> EndedExchange {
        let deadline = Instant::now() + END_TIMEOUT;
        let mut ended = EndedExchange::default();
        while Instant::now() < deadline {
            self.handle_ready();
            for event in self.events.drain(..) {
                match event {
                    ExchangeEvent::Head { status, .. } => ended.status = status,
                    ExchangeEvent::Data { data, .. } => ended.body.extend_from_slice(&data),
                    ExchangeEvent::Full { .. } => unreachable!("the driver's event"),
                    ExchangeEvent::End { end, .. } => ended.end = Some(end),
                }
            }
            if ended.end.is_some() {
                return ended;
            }
            thread::sleep(Duration::from_millis(1));
        }
        panic!("the exchange has not ended: {ended:?}");
    }
}

fn receive_request(endpoint: &mut TcpStream) {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\nbody") {
        endpoint.read_exact(&mut byte).unwrap();
        received.push(byte[0]);
    }
}

/// Lets an endpoint respond with `text` and end the connection.
fn exchange_with(
    text: &'static str,
    place: RequestPlace,
    arrival: ByteArrival,
    close: CloseKind,
) -> EndedExchange {
    let (tx, rx) = channel();
    run_with_poll(move |poll| {
        let (mut harness, mut endpoint) = ExchangeHarness::start(poll, place);
        let part_len = match arrival {
            ByteArrival::Together => text.len().max(1),
            ByteArrival::Single => 1,
        };
        for part in text.as_bytes().chunks(part_len) {
            endpoint.write_all(part).unwrap();
            if arrival == ByteArrival::Single {
                harness.handle_ready();
            }
        }
        let linger = (close == CloseKind::Reset).then_some(Duration::ZERO);
        SockRef::from(&endpoint).set_linger(linger).unwrap();
        drop(endpoint);
        tx.send(harness.finish()).unwrap();
    });
    rx.recv().unwrap()
}

/// Guards against a head whose connection ends before its blank line, and that is taken
/// for a whole one, for a refusal of the request or for a request that was not sent.
#[rstest]
fn truncated_head_broken(
    #[values(
        "",
        "HTTP/1.1 20",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Sig",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s1\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s1\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 12\r\n\r",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chun",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n",
        "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\n",
        "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n",
        "HTTP/1.1 421 Other\r\nRequest-Id: r1\r\n"
    )]
    text: &'static str,
    #[values(RequestPlace::First, RequestPlace::Second)] place: RequestPlace,
    #[values(ByteArrival::Together, ByteArrival::Single)] arrival: ByteArrival,
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
) {
    let ended = exchange_with(text, place, arrival, close);
    assert_eq!((ended.status, ended.body.as_slice()), (0, &b""[..]));
    assert!(
        matches!(ended.end, Some(ExchangeEnd::Broken(_))),
        "{ended:?}"
    );
}

/// Guards against a body that ends early and is reported as complete.
#[rstest]
fn truncated_body_broken(
    #[values(
        ("Content-Length: 12\r\n\r\n", ""),
        ("Content-Length: 12\r\n\r\nshort", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n", ""),
        ("Transfer-Encoding: chunked\r\n\r\n1", ""),
        ("Transfer-Encoding: chunked\r\n\r\na\r\nshort", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n5\r\nshort", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\nA: b\r\n", "short")
    )]
    (rest, body): (&'static str, &'static str),
    #[values("HTTP/1.1", "HTTP/1.0")] version: &'static str,
    #[values(RequestPlace::First, RequestPlace::Second)] place: RequestPlace,
    #[values(ByteArrival::Together, ByteArrival::Single)] arrival: ByteArrival,
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
) {
    let text = format!("{version} 200 OK\r\nRequest-Id: r1\r\n{rest}").leak();
    let ended = exchange_with(text, place, arrival, close);
    assert_eq!(
        (ended.status, ended.body.as_slice()),
        (200, body.as_bytes())
    );
    assert!(
        matches!(ended.end, Some(ExchangeEnd::Broken(_))),
        "{ended:?}"
    );
}

/// A body without length and chunks is complete when its connection is closed, and broken
/// off when it is reset.
#[rstest]
#[case::closed(CloseKind::Fin, true)]
#[case::reset(CloseKind::Reset, false)]
fn undelimited_body_ended(
    #[case] close: CloseKind,
    #[case] is_complete: bool,
    #[values(RequestPlace::First, RequestPlace::Second)] place: RequestPlace,
    #[values(ByteArrival::Together, ByteArrival::Single)] arrival: ByteArrival,
) {
    let text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nbody";
    let ended = exchange_with(text, place, arrival, close);
    assert_eq!((ended.status, ended.body.as_slice()), (200, &b"body"[..]));
    assert_eq!(
        ended.end == Some(ExchangeEnd::Complete),
        is_complete,
        "{ended:?}"
    );
}
