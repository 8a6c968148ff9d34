//! Tests of the agent with real processes: shutdown, drain, restart and fairness
//! between accounts.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::{binaries, engine_config, small_cluster, GRANTS, PLANS};
use mulberrywell_testkit::{
    spawn_server, wait_until, AgentPlan, ClusterPlan, EngineConfig, FakeEngine, FakeService,
    FlowFault, HttpCaller, HttpResponse, ProcessCluster, ProxyFlow, ANY_PROCESS,
};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

const AGENT: &str = "agent-engine-0";

#[test]
fn shutdown_in_flight() {
    let mut small = small_cluster(1, 1);
    small
        .engine
        .configure(|config| config.between_tokens = Duration::from_millis(20));
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    let call = thread::spawn(move || caller.chat("payroll", "hello", 60, true).unwrap());
    let records = small.engine.records();
    wait_until("the request is running", || records.running() == 1).unwrap();
    small.cluster.signal(AGENT, Signal::SIGTERM).unwrap();
    let response = call.join().unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(response.complete && response.body.ends_with("data: [DONE]\n\n"));
    assert!(small.cluster.wait(AGENT).unwrap());
}

/// Callers of each kind in the rounds of shutdowns.
const ROUND_CALLERS: usize = 6;

/// Longest time between two shutdowns, in milliseconds.
const ROUND_PAUSE_MS: u64 = 400;

/// Path of requests that an agent of a service runs at most once.
const ORDERS: &str = "/services/payments/orders";

/// Tokens of a stream in the rounds, which takes a second.
const ROUND_TOKENS: u64 = 50;

/// Two agents of engines and two of a service.
struct AgentPairs {
    cluster: ProcessCluster,
    /// The endpoints, which must exist as long as the cluster.
    _endpoints: (Vec<FakeEngine>, Vec<FakeService>),
    key: String,
}

impl AgentPairs {
    fn spawn() -> Self {
        let config = EngineConfig {
            between_tokens: Duration::from_millis(20),
            ..engine_config()
        };
        let engines: Vec<FakeEngine> = (0..2)
            .map(|_| FakeEngine::spawn(config.clone()).unwrap())
            .collect();
        let services: Vec<FakeService> = (0..2).map(|_| FakeService::spawn().unwrap()).collect();
        let mut agents = Vec::new();
        for (idx, engine) in engines.iter().enumerate() {
            let name = format!("engine-{idx}");
            agents.push(AgentPlan::engine(&name, "asistente", engine.address()));
        }
        for (idx, service) in services.iter().enumerate() {
            service.set_delay(Duration::from_millis(300));
            let mut agent = AgentPlan::service("payments", service.address());
            agent.name = format!("payments-{idx}");
            agents.push(agent);
        }
        let plan = ClusterPlan {
            controls: 1,
            entries: 1,
            agents,
            ..ClusterPlan::default()
        };
        let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
        cluster.apply(PLANS, GRANTS).unwrap();
        cluster.wait_ready(4).unwrap();
        let key = cluster.create_key("medellin", "m1").unwrap();
        AgentPairs {
            cluster,
            _endpoints: (engines, services),
            key,
        }
    }

    /// Stops one agent after another by SIGTERM, each at a random time, and starts it
    /// again.
    fn stop_in_turn(&mut self, rounds: usize, seed: u64) -> anyhow::Result<()> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let agents = ["engine-0", "payments-0", "engine-1", "payments-1"];
        for agent in agents.iter().cycle().take(rounds) {
            let pause = rng.random_range(0..ROUND_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
            let name = format!("agent-{agent}");
            self.cluster.signal(&name, Signal::SIGTERM)?;
            anyhow::ensure!(self.cluster.wait(&name)?, "{name} exited with a failure");
            self.cluster.restart(&name)?;
            self.cluster.wait_ready(4)?;
        }
        Ok(())
    }
}

/// Calls until `stopped` is set; returns the calls that were not answered in full.
fn call_repeatedly(
    stopped: &AtomicBool,
    completed: &AtomicU64,
    call: impl Fn() -> anyhow::Result<HttpResponse>,
) -> Vec<String> {
    let mut failures = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        match call() {
            Ok(response) if matches!(response.status, 200 | 201) && response.complete => {}
            response => failures.push(format!("{response:?}")),
        }
        completed.fetch_add(1, Ordering::Relaxed);
    }
    failures
}

fn check_shutdown_rounds(rounds: usize, seed: u64) {
    let mut pairs = AgentPairs::spawn();
    let caller = HttpCaller::new(pairs.cluster.callers[0], Some(&pairs.key));
    wait_until("the entry serves both kinds", || {
        let stream = caller.chat("payroll", "warm up", 1, true).unwrap();
        let order = caller.call("POST", ORDERS, &[], "{}").unwrap();
        stream.status == 200 && order.status == 201
    })
    .unwrap();
    let (stopped, completed) = (AtomicBool::new(false), AtomicU64::new(0));
    let failures: Vec<String> = thread::scope(|scope| {
        let mut threads = Vec::new();
        for _ in 0..ROUND_CALLERS {
            let (stopped, completed, caller) = (&stopped, &completed, &caller);
            threads.push(scope.spawn(move || {
                call_repeatedly(stopped, completed, || {
                    let response = caller.chat("payroll", "rounds", ROUND_TOKENS, true)?;
                    let is_whole = response.body.ends_with("data: [DONE]\n\n");
                    anyhow::ensure!(is_whole, "{response:?}");
                    Ok(response)
                })
            }));
            threads.push(scope.spawn(move || {
                call_repeatedly(stopped, completed, || {
                    caller.call("POST", ORDERS, &[], "{}")
                })
            }));
        }
        let result = pairs.stop_in_turn(rounds, seed);
        // The callers end before a failed round does, or it would wait for them.
        stopped.store(true, Ordering::Relaxed);
        result.unwrap();
        let threads = threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    });
    let completed = completed.into_inner();
    println!("{rounds} rounds, seed {seed}: {completed} calls");
    assert!(completed > 0);
    assert!(
        failures.is_empty(),
        "{} of {completed} calls: {failures:#?}",
        failures.len()
    );
}

#[test]
fn shutdown_rounds_under_load_cut_none() {
    check_shutdown_rounds(4, 31);
}

#[test]
#[ignore = "a measurement"]
fn shutdown_many_rounds_under_load_cut_none() {
    check_shutdown_rounds(20, 32);
}

#[test]
fn drain_refuses_new() {
    let small = small_cluster(1, 1);
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    assert_eq!(caller.chat("payroll", "one", 4, false).unwrap().status, 200);
    let drain = ["endpoint", "drain", "engine-0"];
    small.cluster.operate_ok(&drain).unwrap();
    wait_until("the endpoint refuses new requests", || {
        let response = caller.chat("payroll", "two", 4, false).unwrap();
        response.status == 503 && response.header("Mulberrywell-Ran") == "no"
    })
    .unwrap();
    let runs = small.engine.records().all().len();
    caller.chat("payroll", "three", 4, false).unwrap();
    assert_eq!(small.engine.records().all().len(), runs);
}

#[test]
fn restart_after_kill() {
    let mut small = small_cluster(1, 1);
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    small.cluster.kill(AGENT).unwrap();
    small.cluster.restart(AGENT).unwrap();
    wait_until("the endpoint serves again", || {
        let response = caller.chat("payroll", "hello", 4, false).unwrap();
        response.status == 200 && response.complete
    })
    .unwrap();
}

#[test]
fn queue_light_account() {
    let engine = FakeEngine::spawn(EngineConfig {
        first_token: Duration::from_millis(100),
        ..engine_config()
    })
    .unwrap();
    let mut agent = AgentPlan::engine("engine-0", "asistente", engine.address());
    agent.extra.push_str("\nslots = 2\n");
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        agents: vec![agent],
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(1).unwrap();
    let heavy_key = cluster.create_key("medellin", "m1").unwrap();
    let light_key = cluster.create_key("cali", "c1").unwrap();
    let entry = cluster.callers[0];
    let heavy_calls: Vec<_> = (0..40)
        .map(|idx| {
            let caller = HttpCaller::new(entry, Some(&heavy_key));
            thread::spawn(move || caller.chat("payroll", &format!("{idx}"), 4, false).unwrap())
        })
        .collect();
    let records = engine.records();
    wait_until("heavy calls are queued", || records.all().len() >= 4).unwrap();
    let caller = HttpCaller::new(entry, Some(&light_key));
    let light_response = caller.chat("payroll", "light", 4, false).unwrap();
    let responses: Vec<_> = heavy_calls
        .into_iter()
        .map(|call| call.join().unwrap())
        .collect();
    assert_eq!(light_response.status, 200, "{}", light_response.body);
    assert!(responses.iter().all(|response| response.status == 200));
    let slowest = responses
        .iter()
        .map(|response| response.total)
        .max()
        .unwrap();
    assert!(
        light_response.total < slowest / 3,
        "{:?} of {slowest:?}",
        light_response.total
    );
}

/// How an endpoint ends the connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// Fields and body of a response, the end of its connection, and whether the
/// response is complete.
type BodyCase = (&'static str, &'static str, ConnectionEnd, bool);

const LENGTH: &str = "Content-Length: 8";
const CHUNKS: &str = "Transfer-Encoding: chunked";
const UNFRAMED: &str = "Content-Type: text/plain";
const UNFRAMED_STREAM: &str = "Content-Type: text/event-stream";

const BODY_CASES: [BodyCase; 13] = [
    (LENGTH, "complete", ConnectionEnd::Close, true),
    (LENGTH, "cut", ConnectionEnd::Close, false),
    (LENGTH, "cut", ConnectionEnd::Reset, false),
    (CHUNKS, "3\r\nall\r\n0\r\n\r\n", ConnectionEnd::Close, true),
    (CHUNKS, "3\r\ncut\r\n", ConnectionEnd::Close, false),
    (CHUNKS, "8\r\ncut", ConnectionEnd::Close, false),
    (CHUNKS, "3\r\ncut\r\n", ConnectionEnd::Reset, false),
    (UNFRAMED, "all", ConnectionEnd::Close, true),
    (UNFRAMED, "cut", ConnectionEnd::Reset, false),
    (UNFRAMED_STREAM, "data: a\n\n", ConnectionEnd::Close, true),
    (
        UNFRAMED_STREAM,
        "data: a\n\nda",
        ConnectionEnd::Close,
        false,
    ),
    (UNFRAMED_STREAM, "", ConnectionEnd::Close, false),
    (UNFRAMED_STREAM, "data: a\n\n", ConnectionEnd::Reset, false),
];

/// Serves the case whose index a request's body is.
fn spawn_body_cases() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn_server(listener, |request, stream| {
        let Ok(idx) = request.body.parse::<usize>() else {
            return stream.respond(200, &json!({}));
        };
        let (fields, body, end, _) = BODY_CASES[idx];
        stream.write(&format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n{fields}\r\n\r\n{body}"
        ));
        // The agent receives the bytes before the end.
        thread::sleep(Duration::from_millis(50));
        if end == ConnectionEnd::Reset {
            stream.reset_on_close().unwrap();
        }
        false
    });
    address
}

// Guards against bodies that an endpoint cut short reaching callers as complete.
#[test]
fn endpoint_body_cut_not_complete() {
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        agents: vec![AgentPlan::service("payments", spawn_body_cases())],
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(1).unwrap();
    let key = cluster.create_key("medellin", "m1").unwrap();
    let caller = HttpCaller::new(cluster.callers[0], Some(&key));
    let call = |idx: usize| {
        let path = "/services/payments/orders";
        caller.call("POST", path, &[], &idx.to_string()).unwrap()
    };
    let mut wrong = Vec::new();
    for (idx, case) in BODY_CASES.iter().enumerate() {
        // A complete response keeps the endpoint's circuit closed.
        assert!(call(0).complete);
        let response = call(idx);
        assert_eq!(response.status, 200, "{case:?}: {}", response.body);
        if response.complete != case.3 {
            wrong.push((case, response.body));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

// Guards against requests that callers sent while an agent left and whose answers said
// that nobody knows whether they ran.
#[test]
fn shutdown_under_load_loses_no_order() {
    let services: Vec<_> = (0..2).map(|_| FakeService::spawn().unwrap()).collect();
    let agents = services.iter().enumerate().map(|(idx, service)| {
        let mut agent = AgentPlan::service("payments", service.address());
        agent.name = format!("payments-{idx}");
        agent
    });
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        agents: agents.collect(),
        proxied: true,
        ..ClusterPlan::default()
    };
    let mut cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(2).unwrap();
    let key = cluster.create_key("medellin", "m1").unwrap();
    let entry = cluster.callers[0];
    // Requests take a while to the agents, as from another zone.
    let distance = FlowFault {
        delay: Duration::from_millis(40),
        ..FlowFault::default()
    };
    for name in ["agent-payments-0", "agent-payments-1"] {
        let proxy = cluster.proxy(ANY_PROCESS, name).unwrap();
        proxy.set_flow(ProxyFlow::ToTarget, distance);
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|_| {
            let caller = HttpCaller::new(entry, Some(&key));
            let stopped = stopped.clone();
            thread::spawn(move || {
                let mut lost = Vec::new();
                while !stopped.load(Ordering::Relaxed) {
                    let response = caller
                        .call("POST", "/services/payments/orders", &[], "order")
                        .unwrap();
                    if response.header("Mulberrywell-Ran") == "unknown" {
                        lost.push((response.status, response.body));
                    }
                }
                lost
            })
        })
        .collect();
    for _ in 0..4 {
        for name in ["agent-payments-0", "agent-payments-1"] {
            thread::sleep(Duration::from_millis(100));
            cluster.signal(name, Signal::SIGTERM).unwrap();
            assert!(cluster.wait(name).unwrap());
            cluster.restart(name).unwrap();
            cluster.wait_ready(2).unwrap();
        }
    }
    stopped.store(true, Ordering::Relaxed);
    let lost: Vec<_> = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    assert!(lost.is_empty(), "{} lost: {lost:?}", lost.len());
}
