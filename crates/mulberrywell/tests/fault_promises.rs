//! All promises under faults: real processes behind proxies, a fixed seed.

mod common;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::{binaries, engine_config, GRANTS, PLANS};
use mulberrywell_testkit::{
    check_promises, wait_until, AccountAllowance, AgentPlan, ClusterPlan, FakeEngine, FakeService,
    FlowFault, MemoryPeak, MixAccount, ObservedCall, ProcessCluster, Promise, PromiseBreach,
    RequestMix, RunEvidence, ANY_PROCESS,
};

const SEED: u64 = 4_711;

/// Calls of a run.
const CALLS: u64 = 400;

/// Time that a service takes for a call.
const SERVICE_DELAY: Duration = Duration::from_millis(40);

/// Callers at the same time.
const CALLERS: usize = 12;

/// A cluster of two entries, two engines and two services behind proxies.
struct FaultCluster {
    cluster: ProcessCluster,
    engines: Vec<FakeEngine>,
    services: Vec<FakeService>,
    accounts: Vec<MixAccount>,
}

impl FaultCluster {
    fn spawn(controls: usize) -> Self {
        let engines: Vec<FakeEngine> = (0..2)
            .map(|_| FakeEngine::spawn(engine_config()).unwrap())
            .collect();
        let services: Vec<FakeService> = (0..2).map(|_| FakeService::spawn().unwrap()).collect();
        let mut agents = Vec::new();
        for (idx, engine) in engines.iter().enumerate() {
            let name = format!("engine-{idx}");
            agents.push(AgentPlan::engine(&name, "asistente", engine.address()));
        }
        for (idx, service) in services.iter().enumerate() {
            agents.push(AgentPlan {
                name: format!("payments-{idx}"),
                ..AgentPlan::service("payments", service.address())
            });
        }
        let plan = ClusterPlan {
            controls,
            entries: 2,
            agents,
            proxied: true,
            ..ClusterPlan::default()
        };
        let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
        cluster.apply(PLANS, GRANTS).unwrap();
        cluster.wait_ready(4).unwrap();
        let account = |name: &str, uses_service| MixAccount {
            name: name.to_owned(),
            key: cluster.give_key(name, name).unwrap(),
            uses_service,
        };
        let accounts = vec![account("medellin", true), account("cali", false)];
        FaultCluster {
            cluster,
            engines,
            services,
            accounts,
        }
    }

    fn mix(&self) -> RequestMix {
        RequestMix {
            seed: SEED,
            entries: self.cluster.callers.clone(),
            accounts: self.accounts.clone(),
            model: "payroll".to_owned(),
            service_path: "/services/payments/orders".to_owned(),
            deadline_ms: 2_000,
        }
    }

    fn evidence(&self, calls: Vec<ObservedCall>) -> RunEvidence {
        let records = self.engines.iter().map(FakeEngine::records);
        let records = records.chain(self.services.iter().map(FakeService::records));
        RunEvidence {
            calls,
            runs: records.flat_map(|records| records.all()).collect(),
            keys: self.accounts.iter().map(|one| one.key.clone()).collect(),
            allowances: vec![
                allowance("medellin", 100_000.0, 200_000.0),
                allowance("cali", 10.0, 100.0),
            ],
            memory: self
                .engines
                .iter()
                .map(|engine| MemoryPeak {
                    peak: engine.peak_mib(),
                    capacity: 48_000,
                })
                .collect(),
        }
    }
}

fn allowance(account: &str, rate: f64, burst: f64) -> AccountAllowance {
    AccountAllowance {
        account: account.to_owned(),
        rate,
        burst,
    }
}

/// Runs all calls while `disturb` acts by the number of ended calls.
fn run_calls(
    cluster: &mut FaultCluster,
    disturb: impl FnOnce(&mut ProcessCluster, &[FakeService], &AtomicU64),
) -> Vec<ObservedCall> {
    let mix = cluster.mix();
    for service in &cluster.services {
        service.set_delay(SERVICE_DELAY);
    }
    let (next, ended) = (AtomicU64::new(0), AtomicU64::new(0));
    let calls = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= CALLS {
                    return;
                }
                let call = mix.call(number);
                calls.lock().unwrap().push(call);
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
        disturb(&mut cluster.cluster, &cluster.services, &ended);
    });
    calls.into_inner().unwrap()
}

fn wait_ended(ended: &AtomicU64, number: u64) {
    wait_until("calls have ended", || {
        ended.load(Ordering::Relaxed) >= number
    })
    .unwrap();
}

/// Waits until a service has a call in work.
fn wait_running(service: &FakeService) {
    wait_until("a call is in work", || service.records().running() > 0).unwrap();
}

/// Cuts, delays, freezes, kills and restarts, one after the other.
fn disturb(cluster: &mut ProcessCluster, services: &[FakeService], ended: &AtomicU64) {
    let chopped = FlowFault {
        delay: Duration::from_millis(3),
        jitter: Duration::from_millis(5),
        chop_len: 7,
        ..FlowFault::default()
    };
    wait_ended(ended, 30);
    let engine_0 = cluster.proxy(ANY_PROCESS, "agent-engine-0").unwrap();
    engine_0.set_both(chopped);
    wait_ended(ended, 60);
    engine_0.heal();
    engine_0.reset();
    let payments_0 = cluster.proxy(ANY_PROCESS, "agent-payments-0").unwrap();
    wait_running(&services[0]);
    payments_0.reset();
    services[1].leave_unanswered(3);
    wait_ended(ended, 90);
    wait_running(&services[0]);
    payments_0.stall();
    wait_ended(ended, 110);
    payments_0.heal();
    cluster.kill("entry-1").unwrap();
    wait_ended(ended, 150);
    cluster.restart("entry-1").unwrap();
    cluster.freeze("agent-engine-1").unwrap();
    wait_ended(ended, 180);
    cluster.thaw("agent-engine-1").unwrap();
    wait_running(&services[1]);
    cluster.kill("agent-payments-1").unwrap();
    wait_ended(ended, 220);
    cluster.restart("agent-payments-1").unwrap();
    let entry_0 = cluster.proxy("entry-0", "control-0").unwrap();
    entry_0.stall();
    wait_ended(ended, 250);
    entry_0.heal();
    cluster.kill("agent-engine-0").unwrap();
    wait_ended(ended, 290);
    cluster.restart("agent-engine-0").unwrap();
    cluster.proxy("entry-0", "control-0").unwrap().reset();
}

/// Runs all calls and returns what the records prove, first of the rate and
/// then of the other promises.
fn run_checked(
    controls: usize,
    disturb: impl FnOnce(&mut ProcessCluster, &[FakeService], &AtomicU64),
    served_min: usize,
) -> (Vec<PromiseBreach>, Vec<PromiseBreach>) {
    let mut cluster = FaultCluster::spawn(controls);
    let calls = run_calls(&mut cluster, disturb);
    let served = calls.iter().filter(|call| call.status < 300 && call.whole);
    assert!(served.count() >= served_min, "too few calls are served");
    let breaches = check_promises(&cluster.evidence(calls));
    breaches
        .into_iter()
        .partition(|breach| breach.promise == Promise::Rate)
}

#[test]
fn promises_kept_without_faults() {
    let (_, others) = run_checked(1, |_, _, _| {}, 150);
    assert_eq!(others, vec![]);
}

#[test]
fn promises_kept_under_faults() {
    let (_, others) = run_checked(1, disturb, 100);
    assert_eq!(others, vec![]);
}

/// Kills each control instance in turn, one of which leads, besides all else.
fn disturb_control(cluster: &mut ProcessCluster, services: &[FakeService], ended: &AtomicU64) {
    for idx in 0..3 {
        let name = format!("control-{idx}");
        cluster.kill(&name).unwrap();
        wait_ended(ended, 10 + 8 * idx);
        cluster.restart(&name).unwrap();
        wait_until("control serves again", || {
            cluster.operate_well(&["show", "config", "--json"]).is_ok()
        })
        .unwrap();
    }
    disturb(cluster, services, ended);
}

#[test]
fn promises_kept_while_control_restarts() {
    let (_, others) = run_checked(3, disturb_control, 100);
    assert_eq!(others, vec![]);
}

#[test]
fn rate_kept_without_faults() {
    let (rate, _) = run_checked(1, |_, _, _| {}, 150);
    assert_eq!(rate, vec![]);
}

#[test]
fn rate_kept_under_faults() {
    let (rate, _) = run_checked(1, disturb, 100);
    assert_eq!(rate, vec![]);
}
