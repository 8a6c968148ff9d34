//! An agent's endpoint that breaks off its responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_agent::{
    AgentEvent, EngineOrder, EngineRequest, EngineState, OrderKind, OrderOutcome,
};
use mulberrywell_runtime::engine_client::{EndpointClient, HttpEndpoint};
use mulberrywell_runtime::event_sender::EventSender;
use rstest::rstest;
use socket2::SockRef;
use stakker::{Fwd, Stakker};
use stakker_mio::mio::{Events, Poll};
use stakker_mio::MioPoll;

/// Timeout for a call to the endpoint to end.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

type EventQueue = (EventSender<AgentEvent>, Receiver<AgentEvent>);

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseKind {
    Fin,
    Reset,
}

/// What the agent has seen of a forwarded request.
#[derive(Debug, Default, PartialEq, Eq)]
struct ForwardOutcome {
    /// 0 without a head.
    status: u16,
    body: Vec<u8>,
    is_complete: bool,
    /// Whether a failed request may have been sent.
    was_sent: bool,
}

/// Opens a queue on the thread of the process's only [`Stakker`].
fn open_queue() -> EventQueue {
    static REQUESTS: OnceLock<Sender<Sender<EventQueue>>> = OnceLock::new();
    let requests = REQUESTS.get_or_init(|| {
        let (tx, rx) = channel::<Sender<EventQueue>>();
        thread::spawn(move || {
            let mut stakker = Stakker::new(Instant::now());
            let poll = Poll::new().unwrap();
            let _poll = MioPoll::new(&mut stakker, poll, Events::with_capacity(16), 0).unwrap();
            for queues in rx {
                let queue = EventSender::new(&mut stakker, Fwd::new(|()| {}));
                queues.send(queue).unwrap();
            }
        });
        tx
    });
    let (tx, rx) = channel();
    requests.send(tx).unwrap();
    rx.recv().unwrap()
}

/// Starts an endpoint that responds to each request with `text` and ends the connection.
fn spawn_endpoint(text: String, part_len: usize, close: CloseKind) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            respond(stream, &text, part_len, close);
        }
    });
    address
}

fn respond(mut stream: TcpStream, text: &str, part_len: usize, close: CloseKind) {
    if !receive_request(&mut stream) {
        return;
    }
    stream.set_nodelay(true).unwrap();
    for part in text.as_bytes().chunks(part_len.max(1)) {
        if stream.write_all(part).is_err() {
            return;
        }
    }
    let linger = (close == CloseKind::Reset).then_some(Duration::ZERO);
    SockRef::from(&stream).set_linger(linger).unwrap();
}

/// Receives a request with its body; false without a whole one.
fn receive_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        received.push(byte[0]);
    }
    let text = String::from_utf8(received).unwrap().to_ascii_lowercase();
    let len = text
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next()?.parse().ok());
    stream.read_exact(&mut vec![0; len.unwrap_or(0)]).is_ok()
}

/// Forwards a request to an endpoint that responds with `text` and ends the connection.
fn forward(text: &str, part_len: usize, close: CloseKind) -> ForwardOutcome {
    let (sender, events) = open_queue();
    let address = spawn_endpoint(text.to_owned(), part_len, close);
    let request = EngineRequest {
        method: Bytes::from_static(b"POST"),
        path: Bytes::from_static(b"/orders"),
        headers: Vec::new(),
        body: Bytes::from_static(b"body"),
        deadline_ms: 5_000,
        priority: 0,
        resume_events: 0,
    };
    HttpEndpoint::open(address, false, 1, sender).run(1, request);
    let mut outcome = ForwardOutcome::default();
    loop {
        match events.recv_timeout(CALL_TIMEOUT).unwrap() {
            AgentEvent::Head { status, .. } => outcome.status = status,
            AgentEvent::Part { data, .. } => outcome.body.extend_from_slice(&data),
            AgentEvent::End { .. } => {
                outcome.is_complete = true;
                return outcome;
            }
            AgentEvent::Failed { sent, .. } => {
                outcome.was_sent = sent;
                return outcome;
            }
            event => panic!("{event:?}"),
        }
    }
}

/// Guards against a head whose connection ends before its blank line, and that is taken
/// for a whole one or for a request that was not sent.
#[rstest]
fn truncated_head_failed(
    #[values(
        "",
        "HTTP/1.1 20",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\n",
        "HTTP/1.1 200 OK\r\nServer-Sig",
        "HTTP/1.1 200 OK\r\nServer-Signature: s",
        "HTTP/1.1 200 OK\r\nServer-Signature: s1\r\n",
        "HTTP/1.1 200 OK\r\nServer-Signature: s1\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chun",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 204 No Content\r\nServer-Signature: s1\r\n",
        "HTTP/1.1 302 Found\r\nLocation: /other\r\n",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"
    )]
    text: &str,
    #[values(1, usize::MAX)] part_len: usize,
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
) {
    let expected = ForwardOutcome {
        was_sent: true,
        ..ForwardOutcome::default()
    };
    assert_eq!(forward(text, part_len, close), expected);
}

/// Guards against a body that ends early and counts as complete.
#[rstest]
fn truncated_body_failed(
    #[values(
        ("Content-Length: 12\r\n\r\n", ""),
        ("Content-Length: 12\r\n\r\nshort", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n", ""),
        ("Transfer-Encoding: chunked\r\n\r\n1", ""),
        ("Transfer-Encoding: chunked\r\n\r\na\r\nshort", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n5\r\nshort", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", "short"),
        ("Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0", "short")
    )]
    (rest, body): (&str, &str),
    #[values(1, usize::MAX)] part_len: usize,
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
) {
    let outcome = forward(&format!("HTTP/1.1 200 OK\r\n{rest}"), part_len, close);
    assert!(!outcome.is_complete && outcome.was_sent, "{outcome:?}");
    assert!(body.as_bytes().starts_with(&outcome.body), "{outcome:?}");
    // A reset may overtake bytes that were sent before it.
    if close == CloseKind::Fin {
        assert_eq!((outcome.status, outcome.body.len()), (200, body.len()));
    }
}

/// Guards against a coded body, whole or truncated, that counts as complete although the
/// client does not decode it.
#[rstest]
fn undecoded_body_failed(
    #[values(
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chun\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"
    )]
    head: &str,
    #[values("", "5", "a\r\nshort", "5\r\nshort\r\n0\r\n\r\n")] body: &str,
    #[values(1, usize::MAX)] part_len: usize,
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
) {
    let outcome = forward(&format!("{head}\r\n{body}"), part_len, close);
    let expected = ForwardOutcome {
        was_sent: true,
        ..ForwardOutcome::default()
    };
    assert_eq!(outcome, expected);
}

/// Coded bodies that the client decodes still count as complete.
#[rstest]
#[case::lower_case("transfer-encoding: chunked")]
#[case::mixed_case("Transfer-Encoding: Chunked")]
#[case::spaces("Transfer-Encoding:  chunked ")]
fn chunked_body_complete(#[case] field: &str, #[values(1, usize::MAX)] part_len: usize) {
    let text = format!("HTTP/1.1 200 OK\r\n{field}\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    let outcome = forward(&text, part_len, CloseKind::Fin);
    let expected = ForwardOutcome {
        status: 200,
        body: b"whole".to_vec(),
        is_complete: true,
        was_sent: false,
    };
    assert_eq!(outcome, expected);
}

/// A body without length and chunks is complete when its connection is closed, and broken
/// off when it is reset.
#[rstest]
#[case::closed(CloseKind::Fin, true)]
#[case::reset(CloseKind::Reset, false)]
fn undelimited_body_ended(
    #[case] close: CloseKind,
    #[case] is_complete: bool,
    #[values(1, usize::MAX)] part_len: usize,
) {
    let outcome = forward("HTTP/1.1 200 OK\r\n\r\nbody", part_len, close);
    assert_eq!(outcome.is_complete, is_complete);
    if is_complete {
        assert_eq!(
            (outcome.status, outcome.body.as_slice()),
            (200, &b"body"[..])
        );
    }
}

/// Guards against an order that counts as completed or refused after a part of a head.
#[rstest]
fn truncated_order_response_unknown(
    #[values(
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n"
    )]
    text: &str,
    #[values(1, usize::MAX)] part_len: usize,
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
) {
    let (sender, events) = open_queue();
    let address = spawn_endpoint(text.to_owned(), part_len, close);
    let model = Bytes::from_static(b"m1");
    HttpEndpoint::open(address, true, 1, sender).send_order(EngineOrder {
        order: 1,
        fencing: 1,
        kind: OrderKind::Unload { model },
    });
    match events.recv_timeout(CALL_TIMEOUT).unwrap() {
        AgentEvent::OrderEnded { outcome, .. } => assert_eq!(outcome, OrderOutcome::Unknown),
        event => panic!("{event:?}"),
    }
}

/// Reads the state of an endpoint that responds with `text` and ends the connection.
fn read_state(
    text: &str,
    part_len: usize,
    close: CloseKind,
    is_engine: bool,
) -> Option<EngineState> {
    let (sender, events) = open_queue();
    let address = spawn_endpoint(text.to_owned(), part_len, close);
    HttpEndpoint::open(address, is_engine, 1, sender).read_state();
    match events.recv_timeout(CALL_TIMEOUT).unwrap() {
        AgentEvent::State(state) => state,
        event => panic!("{event:?}"),
    }
}

/// Guards against an endpoint that counts as healthy after a part of a head, and against
/// an engine's state that is read from a part of a body.
#[rstest]
#[case::service_head("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", false)]
#[case::engine_head("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n", true)]
#[case::engine_length("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"models\":[]}", true)]
#[case::engine_chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{\"models\":[]}\r\n",
    true
)]
#[case::engine_undelimited("HTTP/1.1 200 OK\r\n\r\n{\"models\":[", true)]
fn truncated_state_unknown(
    #[case] text: &str,
    #[case] is_engine: bool,
    #[values(1, usize::MAX)] part_len: usize,
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
) {
    assert_eq!(read_state(text, part_len, close, is_engine), None);
}
