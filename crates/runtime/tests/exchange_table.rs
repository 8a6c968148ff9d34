//! Exchanges with an endpoint whose connections end or go on unexpectedly.

mod common;
mod table_harness;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::ExchangeEnd;
use rstest::rstest;
use socket2::SockRef;
use stakker::Fwd;

use common::run_with_poll;
use table_harness::{refusal, TableHarness, EVENT_TIMEOUT, READ_LEN};

/// Time in which what an endpoint sends arrives.
const ARRIVAL_DELAY: Duration = Duration::from_millis(50);

/// Length in bytes of a request body that the buffers of a connection don't hold.
const LONG_BODY_LEN: usize = 64 * 1024 * 1024;

/// Length in bytes of a request body that the buffers of a connection hold.
const SHORT_BODY_LEN: usize = 8 * 1024;

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointEnd {
    /// By closing it.
    Closed,
    /// By a reset.
    Reset,
    /// By closing its sending side, and then by a reset.
    ClosedThenReset,
}

fn end_connection(endpoint: TcpStream, end: EndpointEnd) {
    if end != EndpointEnd::Reset {
        endpoint.shutdown(Shutdown::Write).unwrap();
    }
    if end == EndpointEnd::Closed {
        return;
    }
    let socket = SockRef::from(&endpoint);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
    drop(endpoint);
}

/// Guards against a truncated body that counts as complete, because the endpoint ended the
/// connection while the request was being written. What it refuses it needn't read.
#[rstest]
#[case::reset("200 OK", EndpointEnd::Reset, false)]
#[case::closed("200 OK", EndpointEnd::ClosedThenReset, false)]
#[case::refusal_reset("413 Too Large", EndpointEnd::Reset, false)]
#[case::refusal_closed("413 Too Large", EndpointEnd::ClosedThenReset, true)]
fn unframed_body_early_end(
    #[case] status: &str,
    #[case] end: EndpointEnd,
    #[case] is_complete: bool,
) {
    let head = format!("HTTP/1.1 {status}\r\n\r\nhalf");
    run_with_poll(move |poll| {
        let mut harness = TableHarness::new(poll);
        let (id, mut endpoint) = harness.open(1, LONG_BODY_LEN);
        endpoint.write_all(head.as_bytes()).unwrap();
        end_connection(endpoint, end);
        let (body, exchange_end) = harness.finish(id);
        assert_eq!(body, b"half");
        assert_eq!(exchange_end == ExchangeEnd::Complete, is_complete);
        assert!(is_complete || matches!(exchange_end, ExchangeEnd::Broken(_)));
    });
}

/// Guards against a truncated body that counts as complete, because the reset of unread
/// bytes came after the end of the stream.
#[rstest]
#[case::read(true)]
#[case::unread(false)]
fn unframed_body_of_written_request(#[case] is_read: bool) {
    run_with_poll(move |poll| {
        let mut harness = TableHarness::new(poll);
        let (id, mut endpoint) = harness.open(1, SHORT_BODY_LEN);
        if is_read {
            endpoint.set_read_timeout(Some(ARRIVAL_DELAY)).unwrap();
            while endpoint.read(&mut [0; READ_LEN]).is_ok() {}
        }
        endpoint.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").unwrap();
        let end = match is_read {
            true => EndpointEnd::Closed,
            false => EndpointEnd::ClosedThenReset,
        };
        end_connection(endpoint, end);
        thread::sleep(ARRIVAL_DELAY);
        let (body, exchange_end) = harness.finish(id);
        assert_eq!(body, b"half");
        assert_eq!(exchange_end == ExchangeEnd::Complete, is_read);
    });
}

/// What an endpoint does on a connection between two exchanges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdleEvent {
    Nothing,
    /// Sends a second response to the first request.
    ExtraResponse,
    Close,
}

/// A response that arrived between two exchanges was taken for the second one's.
#[rstest]
#[case::nothing(IdleEvent::Nothing, true)]
#[case::extra_response(IdleEvent::ExtraResponse, false)]
#[case::close(IdleEvent::Close, false)]
fn kept_connection_reused(#[case] idle_event: IdleEvent, #[case] is_reused: bool) {
    run_with_poll(move |poll| {
        let mut harness = TableHarness::new(poll);
        let start = harness.start_request(1, "r1");
        let (id, mut endpoint) = harness.open_for(&start);
        let response = response("r1").into_bytes();
        endpoint.write_all(&response).unwrap();
        assert_eq!(harness.finish(id), (b"ab".to_vec(), ExchangeEnd::Complete));
        match idle_event {
            IdleEvent::Nothing => {}
            IdleEvent::ExtraResponse => endpoint.write_all(&response).unwrap(),
            IdleEvent::Close => endpoint.shutdown(Shutdown::Write).unwrap(),
        }
        thread::sleep(ARRIVAL_DELAY);
        let start = harness.start_request(2, "r2");
        let reused = harness.table.reuse(&start, &mut harness.events);
        assert_eq!(reused, is_reused);
    });
}

/// Returns the response to a request that ran.
fn response(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nab")
}

/// Guards against an earlier refusal, sent once more, that answers a second attempt with
/// the same id: only an attempt on another connection can tell it.
#[test]
fn refused_id_sent_on_other_connection() {
    run_with_poll(|poll| {
        let mut harness = TableHarness::new(poll);
        let (first, mut endpoint) = harness.open_refused("r1");
        let again = harness.start_request(2, "r1");
        let reused = harness.table.reuse(&again, &mut harness.events);
        let (second, mut runner) = match reused {
            true => (first, endpoint.try_clone().unwrap()),
            false => harness.open_for(&again),
        };
        // The endpoint writes the refusal once more, to a connection that may be closed,
        // and runs the second attempt.
        let _ = endpoint.write_all(refusal("r1").as_bytes());
        runner.write_all(response("r1").as_bytes()).unwrap();
        assert_eq!(harness.finish_head(second), (200, ExchangeEnd::Complete));
    });
}

/// Guards against the loss of a kept connection to an id that it has carried, where
/// another connection can take the request.
#[test]
fn refusing_connection_kept_for_other_ids() {
    run_with_poll(|poll| {
        let mut harness = TableHarness::new(poll);
        let (first, mut refusing) = harness.open_refused("r1");
        let (second, mut endpoint) = harness.open_refused("r2");
        for (id, endpoint, on) in [("r2", &mut refusing, first), ("r1", &mut endpoint, second)] {
            let start = harness.start_request(3, id);
            assert!(harness.table.reuse(&start, &mut harness.events));
            endpoint.write_all(response(id).as_bytes()).unwrap();
            assert_eq!(harness.finish_head(on), (200, ExchangeEnd::Complete));
        }
    });
}

/// Guards against a growing number of connections where callers use one id for all
/// requests.
#[test]
fn repeated_id_replaces_connection() {
    run_with_poll(|poll| {
        let mut harness = TableHarness::new(poll);
        let (_, mut endpoint) = harness.open_refused("r1");
        let again = harness.start_request(2, "r1");
        assert!(!harness.table.reuse(&again, &mut harness.events));
        endpoint.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        let mut rest = Vec::new();
        endpoint.read_to_end(&mut rest).unwrap();
        let other = harness.start_request(3, "r2");
        assert!(!harness.table.reuse(&other, &mut harness.events));
    });
}

/// Guards against a connection whose memory of ids grows without bound, or forgets the
/// first ones.
#[test]
fn connection_ended_after_many_exchanges() {
    run_with_poll(|poll| {
        let mut harness = TableHarness::new(poll);
        let (id, mut endpoint) = harness.open_refused("r0");
        let mut carried = 1;
        while carried < 10_000 {
            let name: &'static str = format!("r{carried}").leak();
            let start = harness.start_request(1 + carried, name);
            if !harness.table.reuse(&start, &mut harness.events) {
                break;
            }
            endpoint.write_all(response(name).as_bytes()).unwrap();
            assert_eq!(harness.finish_head(id), (200, ExchangeEnd::Complete));
            carried += 1;
        }
        assert_eq!(carried, 512);
    });
}

/// Guards against a refusal that counts as the current request's although nothing in it
/// says so.
#[rstest]
#[case::same_id("Request-Id: r2\r\n", true)]
#[case::other_case_of_name("request-ID: r2\r\n", true)]
#[case::same_id_twice("Request-Id: r2\r\nRequest-Id: r2\r\n", true)]
#[case::no_id("", false)]
#[case::other_id_first("Request-Id: r1\r\nRequest-Id: r2\r\n", false)]
#[case::other_id_last("Request-Id: r2\r\nRequest-Id: r1\r\n", false)]
fn refusal_on_kept_connection_confirmed(#[case] fields: &str, #[case] is_confirmed: bool) {
    let fields = fields.to_owned();
    run_with_poll(move |poll| {
        let mut harness = TableHarness::new(poll);
        let (id, mut endpoint) = harness.open_refused("r1");
        let start = harness.start_request(2, "r2");
        assert!(harness.table.reuse(&start, &mut harness.events));
        let refusal = refusal("r2").replace("Request-Id: r2\r\n", &fields);
        endpoint.write_all(refusal.as_bytes()).unwrap();
        assert_eq!(harness.finish_head(id), (503, ExchangeEnd::Complete));
        assert_eq!(harness.is_confirmed, is_confirmed);
        let next = harness.start_request(3, "r3");
        let is_kept = harness.table.reuse(&next, &mut harness.events);
        assert_eq!(is_kept, is_confirmed);
    });
}

/// Guards against the response to one request without an echoed id that answers the next
/// one: an order, a query, a health check, a request without an id, one whose endpoint
/// echoes none, and HEAD, whose responses are framed otherwise.
#[rstest]
#[case::no_id(None, "GET")]
#[case::empty_id(Some(""), "GET")]
#[case::head(Some("r1"), "HEAD")]
#[case::id_not_echoed(Some("r1"), "GET")]
fn exchange_without_echo_alone_on_connection(
    #[case] id: Option<&'static str>,
    #[case] method: &'static str,
) {
    run_with_poll(move |poll| {
        let mut harness = TableHarness::new(poll);
        let (_, _kept) = harness.open_refused("r0");
        let mut start = harness.start_request(2, id.unwrap_or_default());
        start.http.method = Bytes::from_static(method.as_bytes());
        if id.is_none() {
            start.echoed_field = None;
        }
        let is_echoed = method == "HEAD";
        if id != Some("r1") || is_echoed {
            assert!(!harness.table.reuse(&start, &mut harness.events));
        }
        let (own, mut endpoint) = harness.open_for(&start);
        let echo = if is_echoed { "Request-Id: r1\r\n" } else { "" };
        let text = format!("HTTP/1.1 503 Full\r\n{echo}Content-Length: 0\r\n\r\n");
        endpoint.write_all(text.as_bytes()).unwrap();
        assert_eq!(harness.finish_head(own), (503, ExchangeEnd::Complete));
        assert!(harness.is_confirmed, "no other request was sent there");
        endpoint.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        endpoint.read_to_end(&mut Vec::new()).unwrap();
    });
}

/// How an endpoint writes an earlier refusal once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyForm {
    /// As it was.
    Plain,
    /// With a body in chunks.
    Chunked,
    /// Behind an interim head.
    Interim,
    /// With the shortest idle timeout.
    ShortIdle,
    /// With the announcement that the connection closes.
    Closing,
    /// With a body that ends with the connection.
    UntilClose,
}

impl CopyForm {
    fn text(self) -> String {
        let plain = refusal("r1");
        let with = |field: &str| plain.replace("Content-Length: 0", field);
        match self {
            CopyForm::Plain => plain,
            CopyForm::Chunked => with("Transfer-Encoding: chunked") + "2\r\nno\r\n0\r\n\r\n",
            CopyForm::Interim => format!("HTTP/1.1 100 Continue\r\n\r\n{plain}"),
            CopyForm::ShortIdle => with("Content-Length: 0\r\nKeep-Alive: timeout=0"),
            CopyForm::Closing => with("Content-Length: 0\r\nConnection: close"),
            CopyForm::UntilClose => with("X-Own: 1"),
        }
    }
}

/// How the bytes of a copy and of the response behind it arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyArrival {
    Together,
    /// The copy in two parts, the response after it.
    Split,
    /// The response in two parts, the first with the copy.
    SplitResponse,
}

/// Guards against an earlier refusal that is taken for the current response, or that
/// changes what becomes of its connection.
#[rstest]
fn late_copy_skipped(
    #[values(
        CopyForm::Plain,
        CopyForm::Chunked,
        CopyForm::Interim,
        CopyForm::ShortIdle,
        CopyForm::Closing
    )]
    form: CopyForm,
    #[values(CopyArrival::Together, CopyArrival::Split, CopyArrival::SplitResponse)]
    arrival: CopyArrival,
) {
    run_with_poll(move |poll| {
        let mut harness = TableHarness::new(poll);
        let (id, mut endpoint) = harness.open_refused("r1");
        let start = harness.start_request(2, "r2");
        assert!(harness.table.reuse(&start, &mut harness.events));
        let copy_len = form.text().len();
        let bytes = form.text() + &response("r2");
        let first_len = match arrival {
            CopyArrival::Together => bytes.len(),
            CopyArrival::Split => copy_len - 20,
            CopyArrival::SplitResponse => copy_len + 20,
        };
        for part in [&bytes[..first_len], &bytes[first_len..]] {
            endpoint.write_all(part.as_bytes()).unwrap();
            if first_len < bytes.len() {
                thread::sleep(ARRIVAL_DELAY);
                harness.handle_ready(id);
            }
        }
        let (status, body, end) = harness.finish_response(id);
        assert_eq!((status, body.as_slice()), (200, &b"ab"[..]));
        assert_eq!(end, ExchangeEnd::Complete);
        assert!(harness.is_confirmed);
        let next = harness.start_request(3, "r3");
        let is_kept = harness.table.reuse(&next, &mut harness.events);
        assert_eq!(is_kept, form != CopyForm::Closing);
    });
}

/// Guards against an earlier refusal that ends the current exchange as complete when the
/// connection ends behind it.
#[rstest]
fn late_copy_without_response_broken(
    #[values(CopyForm::Plain, CopyForm::Closing, CopyForm::UntilClose)] form: CopyForm,
) {
    run_with_poll(move |poll| {
        let mut harness = TableHarness::new(poll);
        let (id, mut endpoint) = harness.open_refused("r1");
        let start = harness.start_request(2, "r2");
        assert!(harness.table.reuse(&start, &mut harness.events));
        endpoint.write_all(form.text().as_bytes()).unwrap();
        thread::sleep(ARRIVAL_DELAY);
        harness.handle_ready(id);
        assert!(harness.events.is_empty(), "the exchange goes on");
        endpoint.shutdown(Shutdown::Write).unwrap();
        let (status, end) = harness.finish_head(id);
        assert_eq!(status, 0);
        assert!(matches!(end, ExchangeEnd::Broken(_)), "{end:?}");
    });
}

/// Guards against an earlier refusal that ends an exchange whose body is being sent, and
/// against the reuse of its connection after its own refusal.
#[test]
fn late_copy_amid_body_skipped() {
    run_with_poll(|poll| {
        let mut harness = TableHarness::new(poll);
        let (id, mut endpoint) = harness.open_refused("r1");
        let mut start = harness.start_request(2, "r2");
        start.http.body = Bytes::from(vec![b'x'; LONG_BODY_LEN]);
        assert!(harness.table.reuse(&start, &mut harness.events));
        endpoint.write_all(refusal("r1").as_bytes()).unwrap();
        thread::sleep(ARRIVAL_DELAY);
        harness.handle_ready(id);
        assert!(harness.events.is_empty(), "the exchange goes on");
        endpoint.write_all(refusal("r2").as_bytes()).unwrap();
        assert_eq!(harness.finish_head(id), (503, ExchangeEnd::Complete));
        assert!(harness.is_confirmed);
        let next = harness.start_request(3, "r3");
        assert!(!harness.table.reuse(&next, &mut harness.events));
    });
}

/// Guards against a refusal that is believed although it was written before the request,
/// which then reaches the endpoint.
#[test]
fn bytes_before_request_end_connection() {
    run_with_poll(|poll| {
        let mut harness = TableHarness::new(poll);
        let start = harness.start_request(1, "r1");
        let id = harness.table.next_connection_id();
        let ready = Fwd::new(|_| {});
        harness
            .table
            .open(poll, Instant::now(), id, &start, ready)
            .unwrap();
        let (mut endpoint, _) = harness.listener.accept().unwrap();
        endpoint.write_all(refusal("r1").as_bytes()).unwrap();
        thread::sleep(ARRIVAL_DELAY);
        let (status, end) = harness.finish_head(id);
        assert_eq!(status, 0);
        assert!(matches!(end, ExchangeEnd::NotSent(_)), "{end:?}");
        let mut received = Vec::new();
        // The connection is reset, as it was closed with unread bytes.
        let _ = endpoint.read_to_end(&mut received);
        assert_eq!(received, b"");
    });
}

/// Guards against a socket buffer that the system has enlarged while a response was read
/// fast, and that fills once its caller doesn't read any more.
#[test]
fn unread_response_bounded() {
    const WRITE_LEN: usize = 64 * 1024;
    const SEND_BUFFER: usize = 16 * 1024;
    const READ_ROUNDS: usize = 500;
    const ARRIVED_MAX: usize = 32 * 1024;
    run_with_poll(|poll| {
        let mut harness = TableHarness::new(poll);
        let (id, mut endpoint) = harness.open(1, 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_LEN}\r\n\r\n");
        endpoint.write_all(head.as_bytes()).unwrap();
        let socket = SockRef::from(&endpoint);
        socket.set_send_buffer_size(SEND_BUFFER).unwrap();
        endpoint.set_nonblocking(true).unwrap();
        let mut write_all = || {
            let mut total = 0;
            while let Ok(len) = endpoint.write(&[b'x'; WRITE_LEN]) {
                total += len;
            }
            total
        };
        for _ in 0..READ_ROUNDS {
            write_all();
            harness.handle_ready(id);
            harness.events.clear();
        }
        let mut unread = 0;
        for _ in 0..10 {
            unread += write_all();
            thread::sleep(ARRIVAL_DELAY);
        }
        let bound = ARRIVED_MAX + 2 * SEND_BUFFER + WRITE_LEN;
        assert!(unread <= bound, "{unread} bytes, of {bound}");
    });
}
