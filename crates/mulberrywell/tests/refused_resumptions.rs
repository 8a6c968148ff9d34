//! Streams that break off at one endpoint and whose resumption is answered with an
//! error, byte for byte on the callers' connections: nothing of the error reaches the
//! caller, and the response doesn't look complete.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::serving_deployment::{ServingDeployment, KEY};
use common::{binaries, GRANTS, PLANS};
use mulberrywell_testkit::{
    spawn_server, wait_until, AgentPlan, ClusterPlan, ProcessCluster, RawCaller, RawEnd,
};
use rstest::rstest;

/// Timeout for a response to end.
const END_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after which bytes that an endpoint has sent are read on their own.
const ARRIVAL_DELAY: Duration = Duration::from_millis(30);

/// Calls after which a resumption that no endpoint has received counts as missing.
const CALLS_MAX: usize = 20;

/// Sound responses before each call: they keep the endpoints in use and fill the retry
/// budget.
const SOUND_CALLS: usize = 6;

/// Name of the form that is the true end of a stream which breaks off between events.
const EMPTY_FORM: &str = "empty";

const EVENT_1: &str = "id: 1\ndata: a\n\n";

/// What endpoints send in response to resumptions, in pieces separated by `|`; then they
/// close the connection. `ID` stands for the echoed id.
const ERROR_FORMS: [(&str, &str); 21] = [
    (
        "length",
        "HTTP/1.1 500 Error\r\nIDContent-Length: 6\r\n\r\nfailed",
    ),
    (
        "chunks",
        "HTTP/1.1 502 Error\r\nIDTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
    ),
    ("until_close", "HTTP/1.1 503 Error\r\nID\r\nfailed"),
    (
        "like_events",
        "HTTP/1.1 500 Error\r\nIDContent-Type: text/event-stream\r\n\r\nid: 5\ndata: x\n\n",
    ),
    (
        "not_found",
        "HTTP/1.1 404 Not Found\r\nIDContent-Length: 0\r\n\r\n",
    ),
    (
        "misdirected",
        "HTTP/1.1 421 Misdirected\r\nIDContent-Length: 8\r\n\r\nid: 2\n\n\n",
    ),
    (
        "redirect",
        "HTTP/1.1 302 Found\r\nIDLocation: /other\r\nContent-Length: 0\r\n\r\n",
    ),
    (
        "no_content_with_body",
        "HTTP/1.1 204 No Content\r\nID\r\nfailed",
    ),
    (
        "partial_content",
        "HTTP/1.1 206 Part\r\nIDContent-Type: text/event-stream\r\n\r\nid: 2\ndata: x\n\n",
    ),
    (
        "encoded",
        "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\n\r\n\
         id: 2\ndata: x\n\n",
    ),
    (
        "interim_first",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n\
         HTTP/1.1 500 Error\r\nIDContent-Length: 6\r\n\r\nfailed",
    ),
    (
        "switching_protocols",
        "HTTP/1.1 101 Switching\r\nID\r\nid: 2\ndata: x\n\n",
    ),
    (
        "split_head",
        "HT|TP/1.1 50|0 Error\r\n|IDContent-Le|ngth: 6\r|\n\r|\nfai|led",
    ),
    (
        "second_head_behind",
        "HTTP/1.1 500 Error\r\nIDContent-Length: 6\r\n\r\nfailed\
         HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\n\r\nid: 2\ndata: x\n\n",
    ),
    (
        "head_among_chunks",
        "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         \r\n|HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\nfailed",
    ),
    (
        "head_as_body",
        "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\n\r\n\
         |HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\n",
    ),
    (
        "text_as_body",
        "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\nContent-Length: 8\r\n\r\n\
         failed\n\n",
    ),
    (
        "text_in_chunks",
        "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         \r\n8\r\nfailed\n\n\r\n0\r\n\r\n",
    ),
    (
        EMPTY_FORM,
        "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
    ),
    (
        "empty_until_close",
        "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\n\r\n",
    ),
    ("no_http", "failed\r\n\r\n"),
];

/// Resumptions that endpoints have received for each form.
type FormCounts = Arc<[AtomicUsize; ERROR_FORMS.len()]>;

/// Where a stream breaks off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakPoint {
    InsideEvent,
    BetweenEvents,
}

/// Serves streams that are reset behind their first event; the resumptions of a request
/// whose query is the index of a form get that form.
fn spawn_breaking_endpoint(counts: &FormCounts, point: BreakPoint) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let counts = counts.clone();
    spawn_server(listener, move |request, stream| {
        let id = request.header("Request-Id");
        let id = match id {
            "" => String::new(),
            id => format!("Request-Id: {id}\r\nServer-Signature: s1\r\n"),
        };
        let query = request.target.split_once('?');
        let Some(form) = query.and_then(|(_, form)| form.parse::<usize>().ok()) else {
            return stream.write(&format!(
                "HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\ngood"
            ));
        };
        let resumed_events = request.header("X-Resume-Events");
        let is_resumption = match resumed_events {
            "" => !request.header("Last-Event-Id").is_empty(),
            events => events != "0",
        };
        if is_resumption {
            counts[form].fetch_add(1, Ordering::Relaxed);
            for piece in ERROR_FORMS[form].1.split('|') {
                stream.write(&piece.replace("ID", &id));
                thread::sleep(ARRIVAL_DELAY);
            }
            return false;
        }
        stream.write(&format!(
            "HTTP/1.1 200 OK\r\n{id}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        ));
        let truncated = match point {
            BreakPoint::InsideEvent => "id: 2\nda",
            BreakPoint::BetweenEvents => "",
        };
        stream.write_chunk(&format!("{EVENT_1}{truncated}"));
        thread::sleep(ARRIVAL_DELAY);
        stream.reset_on_close().unwrap();
        false
    });
    address
}

fn call(callers: SocketAddr, request: &str) -> (String, RawEnd) {
    let mut caller = RawCaller::connect(callers).unwrap();
    assert!(caller.send(request.as_bytes()));
    let response = caller.read_to_end(END_TIMEOUT);
    (response.text(), response.end)
}

fn await_endpoint(callers: SocketAddr, request: &str) {
    let is_served = || call(callers, request).0.contains("good");
    wait_until("an endpoint accepts requests", is_served).unwrap();
}

/// Sends requests of each form until an endpoint has received a resumption; returns the
/// forms whose callers saw anything but the first event and a connection that is cut.
fn find_wrong_forms(
    callers: SocketAddr,
    counts: &FormCounts,
    point: BreakPoint,
    request_of: impl Fn(&str) -> String,
) -> Vec<(&'static str, String)> {
    let mut wrong = Vec::new();
    for (form, (name, _)) in ERROR_FORMS.iter().enumerate() {
        if point == BreakPoint::BetweenEvents && *name == EMPTY_FORM {
            continue;
        }
        for number in 0.. {
            for _ in 0..SOUND_CALLS {
                await_endpoint(callers, &request_of(""));
            }
            let (text, end) = call(callers, &request_of(&format!("?{form}")));
            let is_resumed = counts[form].load(Ordering::Relaxed) > 0;
            let is_begun = text.starts_with("HTTP/1.1 200");
            if is_begun {
                let (_, body) = text.split_once("\r\n\r\n").unwrap_or_default();
                let is_cut = body.eq_ignore_ascii_case(&format!("f\r\n{EVENT_1}\r\n"));
                if !is_cut || end == RawEnd::Open {
                    wrong.push((*name, text));
                    break;
                }
            }
            if is_begun && is_resumed {
                break;
            }
            assert!(number < CALLS_MAX, "{name}: no resumption, last: {text}");
        }
    }
    wrong
}

/// Guards against an error's bytes in the middle of a stream of a gateway, and against
/// a stream that looks complete with it.
#[rstest]
#[case::inside_event(BreakPoint::InsideEvent)]
#[case::between_events(BreakPoint::BetweenEvents)]
fn gateway_resumption_errors_cut(#[case] point: BreakPoint) {
    let deployment = ServingDeployment::spawn();
    let worker = &deployment.worker;
    let draining = worker.heartbeat("s1", "draining", 2);
    assert!(deployment.operator.send_heartbeat("w1", &draining));
    let counts = FormCounts::new([const { AtomicUsize::new(0) }; ERROR_FORMS.len()]);
    for name in ["w2", "w3"] {
        let address = spawn_breaking_endpoint(&counts, point);
        let ready = worker.heartbeat_at(address, "s1", "ready", 1);
        assert!(deployment.operator.send_heartbeat(name, &ready));
    }
    let request_of = |query: &str| {
        let path = if query.is_empty() { "safe" } else { "stream" };
        format!(
            "POST /{path}/x{query} HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 3000\r\n\
             Credential: {KEY}\r\nRequest-Id: r1\r\nConnection: close\r\n\
             Content-Length: 4\r\n\r\nbody"
        )
    };
    await_endpoint(deployment.callers, &request_of(""));
    let wrong = find_wrong_forms(deployment.callers, &counts, point, request_of);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against an error's bytes in the middle of a stream of an entry, and against a
/// stream that looks complete with it.
#[rstest]
#[case::inside_event(BreakPoint::InsideEvent)]
#[case::between_events(BreakPoint::BetweenEvents)]
fn entry_resumption_errors_cut(#[case] point: BreakPoint) {
    let counts = FormCounts::new([const { AtomicUsize::new(0) }; ERROR_FORMS.len()]);
    let agents = (0..2).map(|idx| {
        let mut agent = AgentPlan::service("payments", spawn_breaking_endpoint(&counts, point));
        agent.name = format!("payments-{idx}");
        agent
    });
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        agents: agents.collect(),
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(2).unwrap();
    let key = cluster.create_key("medellin", "m1").unwrap();
    let request_of = |query: &str| {
        format!(
            "GET /services/payments/orders{query} HTTP/1.1\r\nHost: entry\r\n\
             Authorization: Bearer {key}\r\nConnection: close\r\n\r\n"
        )
    };
    let wrong = find_wrong_forms(cluster.callers[0], &counts, point, request_of);
    assert!(wrong.is_empty(), "{wrong:#?}");
}
