//! Endpoints that break off their responses inside the head or inside the body: what
//! callers see never looks like a complete success.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::serving_deployment::{ServingDeployment, KEY};
use common::{binaries, GRANTS, PLANS};
use mulberrywell_platform_testkit::{FakeCaller, FakeRequest};
use mulberrywell_testkit::{
    wait_until, AgentPlan, ClusterPlan, HttpCaller, HttpResponse, ProcessCluster,
};
use rstest::rstest;

/// Timeout for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Events of a stream.
const EVENTS: [&str; 2] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

/// Heads that end before their blank line; `ID` is replaced by the request's id.
const TRUNCATED_HEADS: [&str; 16] = [
    "",
    "HTTP/1.1 200",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Sig",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s1\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s1\r\nContent-Length: 0\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s1\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s1\r\nTransfer-Encoding: chun",
    "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s1\r\nContent-Length: 9\r\n\r",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\n",
    "HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nServer-Signature: s1\r\n",
    "HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n",
    "HTTP/1.1 421 Other\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n",
];

/// What follows the common fields of a response whose body ends early.
const TRUNCATED_BODIES: [&str; 5] = [
    "Content-Length: 12\r\n\r\n",
    "Content-Length: 12\r\n\r\nshort",
    "Transfer-Encoding: chunked\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\na\r\nshort",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
];

/// Start of a response, up to its framing; `ID` is replaced by the request's id.
const FIELDS: &str = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s1\r\n";

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseKind {
    Fin,
    Reset,
    /// By closing its sending side, and then by a reset.
    FinThenReset,
}

/// What the endpoints do.
#[derive(Debug, Default)]
struct EndpointPlan {
    /// Response to the first arrival of the next target.
    truncated: String,
    close: Option<CloseKind>,
    /// Bytes written at once.
    part_len: usize,
    /// Arrivals of each target.
    arrivals: BTreeMap<String, usize>,
    /// Targets whose first response is whole.
    whole_targets: Vec<String>,
    /// Endpoints that have responded to `/orders`.
    whole_at: BTreeSet<SocketAddr>,
    /// Truncated responses on connections that had carried another one.
    reused: usize,
}

type SharedPlan = Arc<Mutex<EndpointPlan>>;

fn shared_plan(close: CloseKind, part_len: usize) -> SharedPlan {
    Arc::new(Mutex::new(EndpointPlan {
        close: Some(close),
        part_len,
        ..EndpointPlan::default()
    }))
}

/// Starts an endpoint that truncates the response to the first arrival of each target.
fn spawn_endpoint(plan: &SharedPlan) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let plan = plan.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let plan = plan.clone();
            thread::spawn(move || serve(stream, &plan));
        }
    });
    address
}

/// Last byte of a head, which is read with the body.
const HEAD_REST: &[u8] = b"\n";

/// A received head.
struct RequestHead {
    target: String,
    id: String,
    last_event: usize,
    body_len: usize,
}

fn serve(mut stream: TcpStream, plan: &SharedPlan) {
    stream.set_nodelay(true).unwrap();
    let mut carried = 0;
    while let Some(head) = read_head(&mut stream) {
        let (truncated, close, part_len) = {
            let mut plan = plan.lock().unwrap();
            let is_whole = !head.target.contains('?') || plan.whole_targets.contains(&head.target);
            if head.target == "/orders" {
                plan.whole_at.insert(stream.local_addr().unwrap());
            }
            let arrivals = plan.arrivals.entry(head.target.clone()).or_default();
            *arrivals += 1;
            let is_first = *arrivals == 1 && !is_whole;
            plan.reused += usize::from(is_first && carried > 0);
            let truncated = is_first.then(|| plan.truncated.replace("ID", &head.id));
            (truncated, plan.close, plan.part_len)
        };
        // A connection that is closed with unread bytes is reset.
        let is_unread = close != Some(CloseKind::Fin) && truncated.is_some();
        let rest_len = HEAD_REST.len() + head.body_len;
        if !is_unread && stream.read_exact(&mut vec![0; rest_len]).is_err() {
            return;
        }
        let is_last = truncated.is_some();
        let text = truncated.unwrap_or_else(|| whole_response(&head));
        for part in text.as_bytes().chunks(part_len) {
            if stream.write_all(part).is_err() {
                return;
            }
        }
        if is_last && close == Some(CloseKind::FinThenReset) {
            // Fails only if the connection is already closed.
            let _ = stream.shutdown(Shutdown::Write);
        }
        if is_last {
            return;
        }
        carried += 1;
    }
}

/// Reads a head except for its last byte.
fn read_head(stream: &mut TcpStream) -> Option<RequestHead> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8(bytes).ok()?;
    let field = |name: &str| {
        let mut fields = text.lines().filter_map(|line| line.split_once(':'));
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.trim()).to_owned()
    };
    Some(RequestHead {
        target: text.split(' ').nth(1)?.to_owned(),
        id: field("Request-Id"),
        last_event: field("Last-Event-Id").parse().unwrap_or(0),
        body_len: field("Content-Length").parse().unwrap_or(0),
    })
}

fn whole_response(head: &RequestHead) -> String {
    let body = match head.target.starts_with("/stream/") {
        true => EVENTS[head.last_event..].concat(),
        false => whole_body(&head.target),
    };
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Signature: s1\r\nContent-Length: {}\r\n\r\n\
         {body}",
        head.id,
        body.len()
    )
}

fn whole_body(target: &str) -> String {
    format!("answer to {target}")
}

/// A gateway whose two endpoints truncate responses.
struct TruncatedGateway {
    /// Kept for its processes.
    _deployment: ServingDeployment,
    caller: FakeCaller,
    plan: SharedPlan,
    requests: usize,
}

impl TruncatedGateway {
    fn spawn(close: CloseKind, part_len: usize) -> Self {
        let deployment = ServingDeployment::spawn();
        let plan = shared_plan(close, part_len);
        let (operator, worker) = (&deployment.operator, &deployment.worker);
        let draining = worker.heartbeat("s1", "draining", 2);
        assert!(operator.send_heartbeat("w1", &draining));
        for id in ["w2", "w3"] {
            let heartbeat = worker.heartbeat_at(spawn_endpoint(&plan), "s1", "ready", 1);
            assert!(operator.send_heartbeat(id, &heartbeat));
        }
        let caller = FakeCaller::new(deployment.callers, 2 * RESPONSE_TIMEOUT);
        let mut gateway = TruncatedGateway {
            _deployment: deployment,
            caller,
            plan,
            requests: 0,
        };
        wait_until("requests reach the endpoints", || {
            gateway.call_whole();
            let arrivals = &gateway.plan.lock().unwrap().arrivals;
            arrivals.len() >= 10
        })
        .unwrap();
        gateway
    }

    /// Calls a new target; returns the response and how often the target arrived.
    fn call(&mut self, path: &str) -> (String, HttpResponse, usize) {
        self.requests += 1;
        self.call_target(format!("{path}?n={}", self.requests))
    }

    fn call_target(&mut self, target: String) -> (String, HttpResponse, usize) {
        self.send_body(target, "body")
    }

    fn send_body(&mut self, target: String, body: &str) -> (String, HttpResponse, usize) {
        let request = FakeRequest {
            id: &format!("r{}", self.requests),
            key: KEY,
            path: &target,
            body,
            timeout: RESPONSE_TIMEOUT,
            resumes: None,
        };
        let response = self.caller.call(&request).unwrap();
        let arrivals = self.plan.lock().unwrap().arrivals.get(&target).copied();
        (target, response, arrivals.unwrap_or(0))
    }

    /// Calls a target whose response is whole, after which a connection is kept.
    fn call_whole(&mut self) {
        self.requests += 1;
        let target = format!("/once/x?n={}", self.requests);
        self.plan.lock().unwrap().whole_targets.push(target.clone());
        let (_, response, _) = self.call_target(target);
        assert_eq!(response.status, 200, "{response:?}");
    }

    fn set_truncated(&self, text: String) {
        self.plan.lock().unwrap().truncated = text;
    }
}

/// Returns the truncated heads, and the responses whose body ends early.
fn truncated_responses() -> (Vec<String>, Vec<String>) {
    let heads = TRUNCATED_HEADS.iter().map(|text| (*text).to_owned());
    let bodies = TRUNCATED_BODIES.iter().map(|rest| FIELDS.to_owned() + rest);
    (heads.collect(), bodies.collect())
}

/// Guards against a success, or a promise that the request did not run, for a response
/// that its endpoint broke off.
#[rstest]
fn gateway_truncated_response_not_success(
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
    #[values(1, usize::MAX)] part_len: usize,
) {
    let mut gateway = TruncatedGateway::spawn(close, part_len);
    let (heads, bodies) = truncated_responses();
    let mut texts = [heads, bodies].concat();
    if close == CloseKind::Reset {
        texts.push(format!("{FIELDS}\r\nshort"));
    }
    for text in texts {
        gateway.set_truncated(text.clone());
        // The retry budget grows with each request.
        for _ in 0..10 {
            gateway.call_whole();
        }
        let (_, response, arrivals) = gateway.call("/once/x");
        assert_eq!(
            (response.status, arrivals),
            (502, 1),
            "{text:?} {response:?}"
        );
        let (target, response, arrivals) = gateway.call("/safe/x");
        assert_eq!(
            (response.status, arrivals),
            (200, 2),
            "{text:?} {response:?}"
        );
        assert_eq!(response.body, whole_body(&target), "{text:?}");
        let (_, response, arrivals) = gateway.call("/stream/x");
        assert_eq!(
            (response.status, arrivals),
            (200, 2),
            "{text:?} {response:?}"
        );
        assert_eq!(response.body, EVENTS.concat(), "{text:?}");
    }
    assert!(gateway.plan.lock().unwrap().reused > 0);
}

/// Guards against a stream that ends as complete, or begins anew, after the response that
/// brought its first event was broken off.
#[rstest]
#[case::length_closed(CloseKind::Fin, "Content-Length: 99\r\n\r\nEVENT")]
#[case::length_reset(CloseKind::Reset, "Content-Length: 99\r\n\r\nEVENT")]
#[case::chunks_closed(CloseKind::Fin, "Transfer-Encoding: chunked\r\n\r\n10\r\nEVENT\r\n")]
#[case::chunks_reset(CloseKind::Reset, "Transfer-Encoding: chunked\r\n\r\n10\r\nEVENT\r\n")]
#[case::undelimited_reset(CloseKind::Reset, "\r\nEVENT")]
fn gateway_truncated_stream_resumed(#[case] close: CloseKind, #[case] rest: &str) {
    let mut gateway = TruncatedGateway::spawn(close, usize::MAX);
    gateway.set_truncated(FIELDS.to_owned() + &rest.replace("EVENT", EVENTS[0]));
    let (_, response, arrivals) = gateway.call("/stream/x");
    assert_eq!((response.status, arrivals), (200, 2), "{response:?}");
    assert!(response.complete, "{response:?}");
    assert_eq!(response.body, EVENTS.concat());
}

/// An entry with two agents of one service, whose endpoints truncate responses.
struct TruncatedService {
    /// Kept for its processes.
    _cluster: ProcessCluster,
    caller: HttpCaller,
    plan: SharedPlan,
    requests: usize,
}

impl TruncatedService {
    fn spawn(close: CloseKind, part_len: usize) -> Self {
        let plan = shared_plan(close, part_len);
        let agents = ["payments-0", "payments-1"].map(|name| {
            let mut agent = AgentPlan::service("payments", spawn_endpoint(&plan));
            name.clone_into(&mut agent.name);
            agent
        });
        let cluster_plan = ClusterPlan {
            controls: 1,
            entries: 1,
            agents: agents.into(),
            ..ClusterPlan::default()
        };
        let cluster = ProcessCluster::spawn(&binaries(), &cluster_plan).unwrap();
        cluster.apply(PLANS, GRANTS).unwrap();
        cluster.wait_ready(2).unwrap();
        let key = cluster.create_key("medellin", "m1").unwrap();
        let caller = HttpCaller::with_timeout(cluster.callers[0], Some(&key), RESPONSE_TIMEOUT);
        wait_until("the entry serves requests", || {
            let response = caller.call("GET", "/services/payments/orders", &[], "");
            response.is_ok_and(|response| response.status == 200)
        })
        .unwrap();
        TruncatedService {
            _cluster: cluster,
            caller,
            plan,
            requests: 0,
        }
    }

    /// Gets whole responses of both endpoints, as the entry avoids one that has failed
    /// several times in a row.
    fn call_whole(&self) {
        self.plan.lock().unwrap().whole_at.clear();
        wait_until("both endpoints serve requests", || {
            let response = self
                .caller
                .call("GET", "/services/payments/orders", &[], "");
            assert_eq!(response.unwrap().status, 200);
            self.plan.lock().unwrap().whole_at.len() == 2
        })
        .unwrap();
    }

    /// Calls a new target, the first response to which is truncated; returns the endpoint's
    /// target, the response and how often the target arrived.
    fn call(&mut self, method: &str, text: &str) -> (String, HttpResponse, usize) {
        let body = if method == "POST" { "body" } else { "" };
        self.send_body(method, text, body)
    }

    fn send_body(&mut self, method: &str, text: &str, body: &str) -> (String, HttpResponse, usize) {
        self.requests += 1;
        text.clone_into(&mut self.plan.lock().unwrap().truncated);
        let target = format!("/orders?n={}", self.requests);
        let path = format!("/services/payments{target}");
        let headers = [("Mulberrywell-Deadline-Ms", "3000")];
        let response = self.caller.call(method, &path, &headers, body).unwrap();
        let arrivals = self.plan.lock().unwrap().arrivals.get(&target).copied();
        (target, response, arrivals.unwrap_or(0))
    }
}

/// Guards against a success for a response that the endpoint of an agent broke off.
#[rstest]
fn entry_truncated_response_not_success(
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
    #[values(1, usize::MAX)] part_len: usize,
) {
    let mut service = TruncatedService::spawn(close, part_len);
    let (heads, mut bodies) = truncated_responses();
    for text in heads {
        service.call_whole();
        let (_, response, arrivals) = service.call("POST", &text);
        assert_eq!(
            (response.status, arrivals),
            (502, 1),
            "{text:?} {response:?}"
        );
        assert_eq!(response.header("Mulberrywell-Ran"), "unknown", "{text:?}");
        let (target, response, arrivals) = service.call("GET", &text);
        assert_eq!(
            (response.status, arrivals),
            (200, 2),
            "{text:?} {response:?}"
        );
        assert_eq!(response.body, whole_body(&target), "{text:?}");
    }
    if close == CloseKind::Reset {
        bodies.push(format!("{FIELDS}\r\nshort"));
    }
    for text in bodies {
        for method in ["POST", "GET"] {
            service.call_whole();
            let (target, response, arrivals) = service.call(method, &text);
            // A reset may overtake the head, so that a request is repeated.
            let is_whole = method == "GET" && arrivals == 2 && response.body == whole_body(&target);
            let is_visible = !response.complete || response.status == 502;
            assert!(is_whole || is_visible, "{text:?} {response:?}");
        }
    }
}

/// Length in bytes of an upload that the buffers of its connections don't hold.
const UPLOAD_LEN: usize = 3_000_000;

const UPLOADS: usize = 20;

/// Guards against part of a body that reaches the caller of an upload as a whole one, as the
/// endpoint responded without a length and ended the connection before it had read the upload.
#[rstest]
fn gateway_upload_unread_not_success(
    #[values(CloseKind::Reset, CloseKind::FinThenReset)] close: CloseKind,
    #[values("", "short")] body: &str,
) {
    let mut gateway = TruncatedGateway::spawn(close, usize::MAX);
    gateway.set_truncated(format!("{FIELDS}\r\n{body}"));
    let upload = "x".repeat(UPLOAD_LEN);
    for _ in 0..UPLOADS {
        gateway.call_whole();
        gateway.requests += 1;
        let target = format!("/once/x?n={}", gateway.requests);
        let (_, response, _) = gateway.send_body(target, &upload);
        assert!(!response.complete || response.status == 502, "{response:?}");
    }
}

/// Guards against the same at an entry.
#[rstest]
fn entry_upload_unread_not_success(
    #[values(CloseKind::Reset, CloseKind::FinThenReset)] close: CloseKind,
    #[values("", "short")] body: &str,
) {
    let mut service = TruncatedService::spawn(close, usize::MAX);
    let text = format!("{FIELDS}\r\n{body}");
    let upload = "x".repeat(UPLOAD_LEN);
    for _ in 0..UPLOADS {
        service.call_whole();
        let (_, response, _) = service.send_body("POST", &text, &upload);
        assert!(!response.complete || response.status == 502, "{response:?}");
    }
}

/// Guards against a response with a status that no response has, on kept connections and
/// behind an interim head.
#[rstest]
fn gateway_invalid_status_not_forwarded(
    #[values("000", "099", "600", "999")] status: &str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] interim: &str,
) {
    let mut gateway = TruncatedGateway::spawn(CloseKind::Fin, usize::MAX);
    gateway.set_truncated(invalid_response(status, interim));
    // The retry budget grows with each request.
    for _ in 0..10 {
        gateway.call_whole();
    }
    for (path, expected) in [("/once/x", (502, 1)), ("/safe/x", (200, 2))] {
        let (_, response, arrivals) = gateway.call(path);
        assert_eq!((response.status, arrivals), expected, "{response:?}");
    }
    assert!(gateway.plan.lock().unwrap().reused > 0);
}

fn invalid_response(status: &str, interim: &str) -> String {
    format!(
        "{interim}HTTP/1.1 {status} Status\r\nRequest-Id: ID\r\nServer-Signature: s1\r\n\
         Content-Length: 5\r\n\r\nwrong"
    )
}

/// Guards against a response with a status that no response has.
#[rstest]
fn entry_invalid_status_not_forwarded(
    #[values("000", "099", "600", "999")] status: &str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] interim: &str,
) {
    let mut service = TruncatedService::spawn(CloseKind::Fin, usize::MAX);
    let text = invalid_response(status, interim);
    for (method, expected) in [("POST", (502, 1)), ("GET", (200, 2))] {
        let (_, response, arrivals) = service.call(method, &text);
        assert_eq!((response.status, arrivals), expected, "{response:?}");
    }
}

/// Guards against an interim head that callers get as the response.
#[rstest]
fn entry_switched_protocol_not_forwarded(
    #[values(CloseKind::Fin, CloseKind::Reset)] close: CloseKind,
) {
    let mut service = TruncatedService::spawn(close, usize::MAX);
    for (method, expected) in [("POST", (502, 1)), ("GET", (200, 2))] {
        let text = "HTTP/1.1 101 Switching Protocols\r\n\r\n";
        let (_, response, arrivals) = service.call(method, text);
        assert_eq!((response.status, arrivals), expected, "{response:?}");
    }
}

/// Guards against a truncated body that reaches callers as a whole one, with its framing
/// inside, as the agent's client does not decode it.
#[rstest]
fn entry_undecoded_body_not_success(
    #[values(
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chun"
    )]
    head: &str,
    #[values("a\r\nshort", "5\r\nshort\r\n0\r\n\r\n")] body: &str,
) {
    let mut service = TruncatedService::spawn(CloseKind::Fin, usize::MAX);
    let text = format!("{head}\r\n\r\n{body}");
    for (method, expected) in [("POST", (502, 1)), ("GET", (200, 2))] {
        let (_, response, arrivals) = service.call(method, &text);
        assert_eq!((response.status, arrivals), expected, "{response:?}");
    }
}
