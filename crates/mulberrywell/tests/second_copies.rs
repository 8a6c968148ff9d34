//! An endpoint that sends a second copy of a response, late, on a connection that is
//! in use again.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use common::serving_deployment::{call, ServingDeployment, KEY};
use common::{binaries, GRANTS, PLANS};
use mulberrywell_platform_testkit::{FakeCaller, FakeRequest, FakeWorker, RefusalCopies};
use mulberrywell_testkit::{wait_until, AgentPlan, ClusterPlan, HttpCaller, ProcessCluster};
use rstest::rstest;

/// When the second copy of a response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyTime {
    /// With the first copy.
    Together,
    /// Once the next request has been received, before its response.
    BeforeNext,
    /// After the response to the next request.
    AfterNext,
}

/// Responds to each request with its id, and sends each response twice.
struct RepeatingEndpoint {
    address: SocketAddr,
    /// Requests that arrived on connections that had carried one before.
    reused: Arc<AtomicUsize>,
}

impl RepeatingEndpoint {
    fn spawn(time: CopyTime) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let reused = Arc::new(AtomicUsize::new(0));
        let counter = reused.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = counter.clone();
                std::thread::spawn(move || serve(stream, time, &counter));
            }
        });
        RepeatingEndpoint { address, reused }
    }
}

fn serve(mut stream: TcpStream, time: CopyTime, reused: &AtomicUsize) {
    let mut before = Vec::new();
    while let Some(id) = read_request(&mut stream) {
        let body = format!("answer to {id}");
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        let response = [head.as_bytes(), body.as_bytes()].concat();
        if !before.is_empty() {
            reused.fetch_add(1, Ordering::Relaxed);
        }
        let bytes = match time {
            CopyTime::Together => [&response[..], &response].concat(),
            CopyTime::BeforeNext => [&before[..], &response].concat(),
            CopyTime::AfterNext => [&response[..], &before].concat(),
        };
        if stream.write_all(&bytes).is_err() {
            return;
        }
        before = response;
    }
}

/// Reads a request; returns its id.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let (head, _) = read_head_and_body(stream)?;
    field(&head, "Request-Id")
}

/// Reads a request; returns its body.
fn read_body(stream: &mut TcpStream) -> Option<Vec<u8>> {
    read_head_and_body(stream).map(|(_, body)| body)
}

fn read_head_and_body(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut buf = Vec::new();
    let mut byte = [0];
    while !buf.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        buf.push(byte[0]);
    }
    let head = String::from_utf8(buf).ok()?;
    let len: usize = field(&head, "Content-Length").map_or(0, |len| len.parse().unwrap());
    let mut body = vec![0; len];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = fields.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
    Some(value.trim().to_owned())
}

/// No caller gets the response to another request, and an endpoint that sends
/// second copies still serves all requests.
#[rstest]
#[case(CopyTime::Together)]
#[case(CopyTime::BeforeNext)]
#[case(CopyTime::AfterNext)]
fn second_copy_not_delivered(#[case] time: CopyTime) {
    let deployment = ServingDeployment::spawn();
    let endpoint = RepeatingEndpoint::spawn(time);
    let worker = &deployment.worker;
    assert!(deployment
        .operator
        .send_heartbeat("w1", &worker.heartbeat("s1", "draining", 2)));
    let heartbeat = worker.heartbeat_at(endpoint.address, "s1", "ready", 1);
    assert!(deployment.operator.send_heartbeat("w2", &heartbeat));
    let caller = FakeCaller::new(deployment.callers, Duration::from_secs(5));
    let call = |id: &str| {
        let request = FakeRequest {
            id,
            key: KEY,
            path: "/safe/x",
            body: "body",
            timeout: Duration::from_secs(4),
            resumes: None,
        };
        caller.call(&request).unwrap()
    };
    wait_until("requests reach the endpoint", || {
        call("r0").body == "answer to r0"
    })
    .unwrap();
    for number in 1..40 {
        let id = format!("r{number}");
        let response = call(&id);
        assert_eq!(response.status, 200);
        assert_eq!(response.body, format!("answer to {id}"));
    }
    if time == CopyTime::BeforeNext {
        assert!(endpoint.reused.load(Ordering::Relaxed) >= 30);
    }
}

fn once_request(id: &str) -> FakeRequest<'_> {
    FakeRequest {
        id,
        key: KEY,
        path: "/once/x",
        body: "body",
        timeout: Duration::from_secs(4),
        resumes: None,
    }
}

/// Starts a deployment whose gateway has sent requests to both of its workers; the first
/// refuses requests.
fn spawn_two_workers() -> (ServingDeployment, [FakeWorker; 2]) {
    let deployment = ServingDeployment::spawn();
    let workers = [deployment.worker.clone(), FakeWorker::spawn("w2").unwrap()];
    let heartbeat = workers[1].heartbeat("s1", "ready", 1);
    assert!(deployment.operator.send_heartbeat("w2", &heartbeat));
    workers[0].set_shedding(true);
    wait_until("the second worker gets requests", || {
        call(deployment.callers, "/once/x", KEY).unwrap();
        !workers[1].runs().is_empty()
    })
    .unwrap();
    (deployment, workers)
}

/// Guards against "not run, try again" for a request that runs, and against its second run
/// at another worker, where workers write earlier refusals once more and callers send a
/// refused request again under its id.
#[rstest]
#[case::before_run(RefusalCopies::BeforeRun)]
#[case::after_run(RefusalCopies::AfterRun)]
#[case::with_response(RefusalCopies::WithResponse)]
fn refusal_copy_not_believed(#[case] copies: RefusalCopies) {
    let (deployment, workers) = spawn_two_workers();
    let caller = FakeCaller::new(deployment.callers, Duration::from_secs(5));
    let status = |id: &str| caller.call(&once_request(id)).unwrap().status;
    let set_shedding = |is_shedding| {
        for worker in &workers {
            worker.set_shedding(is_shedding);
            worker.set_refusal_copies(copies);
        }
    };
    for round in 0..10 {
        let (first, second) = (format!("a{round}"), format!("b{round}"));
        set_shedding(true);
        assert_eq!(status(&first), 503);
        set_shedding(false);
        for id in [&second, &first] {
            assert_eq!(status(id), 200, "{id}");
            let runs = workers.iter().flat_map(|worker| worker.runs());
            assert_eq!(runs.filter(|run| run.id == **id).count(), 1, "{id}");
        }
    }
    let copies: u64 = workers.iter().map(|worker| worker.copies()).sum();
    assert!(copies >= 10, "{copies} copies");
}

/// Guards against "not run, try again" for a request that runs, and against its second run
/// at another worker, where nothing tells whose refusal it is.
#[test]
fn refusal_copy_without_id_not_believed() {
    let (deployment, workers) = spawn_two_workers();
    let caller = FakeCaller::new(deployment.callers, Duration::from_secs(5));
    let status = |id: &str| caller.call(&once_request(id)).unwrap().status;
    for worker in &workers {
        worker.set_shedding(true);
        worker.set_refusal_copies(RefusalCopies::WithoutIds);
    }
    assert_eq!(status("a"), 503);
    for worker in &workers {
        worker.set_shedding(false);
    }
    assert_eq!(status("b"), 502, "it may have run");
    let runs = workers.iter().flat_map(|worker| worker.runs());
    assert_eq!(runs.filter(|run| run.id == "b").count(), 1);
    let copies: u64 = workers.iter().map(|worker| worker.copies()).sum();
    assert!(copies >= 1);
}

/// Serves a connection of an agent: the body of each request is returned, behind a copy of
/// the response before.
fn serve_agent(mut stream: TcpStream) {
    let mut before = Vec::new();
    while let Some(request) = read_body(&mut stream) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            request.len()
        );
        let response = [head.as_bytes(), &request].concat();
        if stream
            .write_all(&[&before[..], &response].concat())
            .is_err()
        {
            return;
        }
        before = response;
    }
}

/// Guards against the response to an earlier request of an agent's endpoint, sent once
/// more, that reaches another caller: the endpoint's responses name no request.
#[test]
fn second_copy_of_service_not_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_agent(stream));
        }
    });
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        agents: vec![AgentPlan::service("payments", address)],
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(1).unwrap();
    let key = cluster.create_key("medellin", "m1").unwrap();
    let caller = HttpCaller::new(cluster.callers[0], Some(&key));
    for number in 0..20 {
        let body = format!("order {number}");
        let response = caller
            .call("POST", "/services/payments/orders", &[], &body)
            .unwrap();
        assert_eq!((response.status, response.body), (200, body));
    }
}
