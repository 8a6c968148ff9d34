//! The cluster of a fault run, its calls, and the checks of its records.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::common::{binaries, engine_config, GRANTS, PLANS};
use mulberrywell_testkit::{
    check_promises, wait_until, AccountAllowance, AgentPlan, ClusterPlan, FakeEngine, FakeService,
    MemoryPeak, MixAccount, ObservedCall, ProcessCluster, Promise, PromiseBreach, RequestMix,
    RunEvidence,
};

const SEED: u64 = 4_711;

/// A client account of a run, with the rate and burst of its plan.
#[derive(Debug, Clone, Copy)]
pub struct AccountPlan {
    pub name: &'static str,
    pub uses_service: bool,
    /// Tokens per second.
    pub rate: f64,
    /// Tokens.
    pub burst: f64,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct RunPlan {
    pub controls: usize,
    pub calls: u64,
    pub accounts: &'static [AccountPlan],
    /// Text appended to the plan list of the common helpers.
    pub extra_plans: &'static str,
    /// Minimum of served calls; with fewer, the run would prove little.
    pub served_min: usize,
}

/// Accounts of the plan list of the common helpers.
pub const TWO_ACCOUNTS: [AccountPlan; 2] = [
    AccountPlan {
        name: "medellin",
        uses_service: true,
        rate: 100_000.0,
        burst: 200_000.0,
    },
    AccountPlan {
        name: "cali",
        uses_service: false,
        rate: 10.0,
        burst: 100.0,
    },
];

/// Time that a service needs for a call.
const SERVICE_DELAY: Duration = Duration::from_millis(40);

/// Number of concurrent callers.
const CALLERS: usize = 12;

/// A cluster of two entries, two engines and two services behind proxies.
struct FaultCluster {
    plan: RunPlan,
    cluster: ProcessCluster,
    engines: Vec<FakeEngine>,
    services: Vec<FakeService>,
    accounts: Vec<MixAccount>,
}

impl FaultCluster {
    fn spawn(run: RunPlan) -> Self {
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
            controls: run.controls,
            entries: 2,
            agents,
            proxied: true,
            ..ClusterPlan::default()
        };
        let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
        let plans = format!("{PLANS}{}", run.extra_plans);
        cluster.apply(&plans, GRANTS).unwrap();
        cluster.wait_ready(4).unwrap();
        let accounts = run.accounts.iter().map(|account| MixAccount {
            name: account.name.to_owned(),
            key: cluster.create_key(account.name, account.name).unwrap(),
            uses_service: account.uses_service,
        });
        let accounts = accounts.collect();
        FaultCluster {
            plan: run,
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
            allowances: self.plan.accounts.iter().map(allowance).collect(),
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

fn allowance(account: &AccountPlan) -> AccountAllowance {
    AccountAllowance {
        account: account.name.to_owned(),
        rate: account.rate,
        burst: account.burst,
    }
}

/// Makes all calls while `inject_faults` runs; it is passed the number of completed
/// calls.
fn run_calls(
    cluster: &mut FaultCluster,
    inject_faults: impl FnOnce(&mut ProcessCluster, &[FakeService], &AtomicU64),
) -> Vec<ObservedCall> {
    let mix = cluster.mix();
    let calls_max = cluster.plan.calls;
    for service in &cluster.services {
        service.set_delay(SERVICE_DELAY);
    }
    let (next, completed) = (AtomicU64::new(0), AtomicU64::new(0));
    let calls = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= calls_max {
                    return;
                }
                let call = mix.call(number);
                calls.lock().unwrap().push(call);
                completed.fetch_add(1, Ordering::Relaxed);
            });
        }
        inject_faults(&mut cluster.cluster, &cluster.services, &completed);
    });
    calls.into_inner().unwrap()
}

/// Waits until a number of calls has completed.
pub fn wait_completed(completed: &AtomicU64, number: u64) {
    wait_until("enough calls have completed", || {
        completed.load(Ordering::Relaxed) >= number
    })
    .unwrap();
}

/// Makes all calls and returns the breaches found in the records: first those of the
/// rate limit, then those of the other promises.
pub fn run_and_check(
    run: RunPlan,
    inject_faults: impl FnOnce(&mut ProcessCluster, &[FakeService], &AtomicU64),
) -> (Vec<PromiseBreach>, Vec<PromiseBreach>) {
    let mut cluster = FaultCluster::spawn(run);
    let calls = run_calls(&mut cluster, inject_faults);
    let served = calls
        .iter()
        .filter(|call| call.status < 300 && call.complete);
    assert!(
        served.count() >= run.served_min,
        "too few calls were served"
    );
    let breaches = check_promises(&cluster.evidence(calls));
    breaches
        .into_iter()
        .partition(|breach| breach.promise == Promise::Rate)
}
