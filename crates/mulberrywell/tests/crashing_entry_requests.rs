//! Requests that crash each endpoint that runs them, with real processes on the path of
//! entries and agents: three entries, three control instances, and three workers of a
//! plain service that restart. Such a request comes again and again at every entry with
//! the same path, key and body.

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{binaries, GRANTS, PLANS};
use mulberrywell_testkit::{
    wait_until, AgentPlan, ClusterPlan, CrashingService, FakeService, HttpCaller, ProcessCluster,
};

const INSTANCES: usize = 3;
const WORKERS: usize = 3;
const ORDERS: &str = "/services/payments/orders";
const CRASHING: &str = "crashing";

/// Pause between two crashing requests at one entry, and between two sound ones.
const CRASHING_PAUSE: Duration = Duration::from_millis(200);
const SOUND_PAUSE: Duration = Duration::from_millis(120);

/// Crashes after which [`CONTACT_TIME`] begins.
const CRASHES_ALLOWED: usize = 3;

/// Time after the third crash in which the request may still reach workers, and after
/// which sound requests must be served again, as for gateways in `crashing_requests`.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
const RECOVERY_TIME: Duration = Duration::from_millis(6_000);

/// Time for which sound requests are counted.
const COUNTED_TIME: Duration = Duration::from_millis(3_000);

/// Crashing requests that may reach workers after [`CONTACT_TIME`].
const LATE_REQUESTS_MAX: usize = 3;

/// Share of the sound requests that must be served, in percent.
const SERVED_PERCENT_MIN: usize = 95;

/// Sound requests that a case needs for its share to mean something.
const SOUND_REQUESTS_MIN: usize = 40;

/// Responses that break while their service stays up.
const BROKEN_RESPONSES: u64 = 12;

fn spawn_cluster(agents: Vec<AgentPlan>) -> (ProcessCluster, String) {
    let plan = ClusterPlan {
        controls: INSTANCES,
        entries: INSTANCES,
        agents,
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(plan.agents.len()).unwrap();
    let key = cluster.create_key("medellin", "m1").unwrap();
    wait_until("all entries serve", || {
        cluster.callers.iter().all(|caller| {
            let response = HttpCaller::new(*caller, Some(&key)).call("POST", ORDERS, &[], "first");
            response.is_ok_and(|response| response.status == 201)
        })
    })
    .unwrap();
    (cluster, key)
}

fn service_plan(idx: usize, address: std::net::SocketAddr) -> AgentPlan {
    let mut plan = AgentPlan::service("payments", address);
    plan.name = format!("payments-{idx}");
    plan
}

/// Guards against a repeated request that crashes workers through entries without end.
#[test]
fn repeated_request_stopped_at_entries() {
    let workers: Vec<CrashingService> = (0..WORKERS)
        .map(|_| CrashingService::spawn(CRASHING).unwrap())
        .collect();
    let agents = workers.iter().enumerate();
    let agents = agents.map(|(idx, worker)| service_plan(idx, worker.address()));
    let (cluster, key) = spawn_cluster(agents.collect());
    let crashes = || {
        let mut times: Vec<Instant> = workers.iter().flat_map(CrashingService::crashes).collect();
        times.sort();
        times
    };
    let stopped = AtomicBool::new(false);
    let is_counted = AtomicBool::new(false);
    let (sound, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let third = thread::scope(|scope| {
        for address in &cluster.callers {
            let caller = HttpCaller::new(*address, Some(&key));
            let stopped = &stopped;
            scope.spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let _ = caller.call("POST", ORDERS, &[], CRASHING);
                    thread::sleep(CRASHING_PAUSE);
                }
            });
            let caller = HttpCaller::new(*address, Some(&key));
            let (is_counted, sound, served) = (&is_counted, &sound, &served);
            scope.spawn(move || {
                for number in 0.. {
                    if stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let counted = is_counted.load(Ordering::Relaxed);
                    let response = caller.call("POST", ORDERS, &[], &format!("order {number}"));
                    let is_served = response.is_ok_and(|response| response.status == 201);
                    if counted {
                        sound.fetch_add(1, Ordering::Relaxed);
                        served.fetch_add(usize::from(is_served), Ordering::Relaxed);
                    }
                    thread::sleep(SOUND_PAUSE);
                }
            });
        }
        let reached = wait_until("three crashes", || crashes().len() >= CRASHES_ALLOWED);
        let third = crashes().get(CRASHES_ALLOWED - 1).copied();
        if reached.is_ok() {
            thread::sleep(RECOVERY_TIME);
            is_counted.store(true, Ordering::Relaxed);
            thread::sleep(COUNTED_TIME);
        }
        // The callers end before a failed wait does, or it would wait for them.
        stopped.store(true, Ordering::Relaxed);
        third
    });
    let third = third.expect("three crashes");
    let arrivals = workers.iter().flat_map(CrashingService::arrivals);
    let late = arrivals.filter(|at| *at > third + CONTACT_TIME).count();
    let (sound, served) = (sound.into_inner(), served.into_inner());
    println!(
        "{} crashes, {late} late arrivals, {served} of {sound} sound requests served",
        crashes().len()
    );
    assert!(late <= LATE_REQUESTS_MAX, "{late} late arrivals");
    assert!(sound >= SOUND_REQUESTS_MIN, "{sound} sound requests");
    assert!(
        served * 100 >= sound * SERVED_PERCENT_MIN,
        "{served} of {sound} sound requests served"
    );
    let caller = HttpCaller::new(cluster.callers[0], Some(&key));
    let response = caller.call("POST", ORDERS, &[], CRASHING).unwrap();
    assert_eq!(response.status, 503, "{}", response.body);
    assert_eq!(response.header("Mulberrywell-Ran"), "no");
    let left: u64 = response.header("Retry-After").parse().unwrap();
    assert!((1..=600).contains(&left), "{left}");
}

/// Guards against a sound request that is quarantined as its responses broke.
#[test]
fn broken_responses_quarantine_nothing() {
    let services: Vec<FakeService> = (0..WORKERS)
        .map(|_| FakeService::spawn().unwrap())
        .collect();
    let agents = services.iter().enumerate();
    let agents = agents.map(|(idx, service)| service_plan(idx, service.address()));
    let (cluster, key) = spawn_cluster(agents.collect());
    for service in &services {
        service.drop_next_responses(BROKEN_RESPONSES / WORKERS as u64);
    }
    let mut broken = 0;
    for caller in cluster.callers.iter().cycle().take(60) {
        let caller = HttpCaller::new(*caller, Some(&key));
        let response = caller.call("POST", ORDERS, &[], CRASHING).unwrap();
        assert_ne!(response.header("Retry-After"), "600", "{}", response.body);
        broken += usize::from(response.status == 502);
        thread::sleep(Duration::from_millis(100));
    }
    assert!(broken >= CRASHES_ALLOWED, "{broken} broken responses");
    for caller in &cluster.callers {
        let caller = HttpCaller::new(*caller, Some(&key));
        let response = caller.call("POST", ORDERS, &[], CRASHING).unwrap();
        assert_eq!(response.status, 201, "{}", response.body);
    }
}
