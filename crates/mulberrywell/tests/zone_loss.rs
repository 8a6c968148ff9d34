//! Tests of the loss of a whole availability zone, with real processes.

mod common;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::Result;
use common::{binaries, PLANS};
use mulberrywell_testkit::{
    wait_until, AgentPlan, ClusterPlan, EngineConfig, FakeEngine, HttpCaller, ProcessCluster,
};
use rstest::rstest;

const ZONES: usize = 3;
const ENGINES_PER_ZONE: usize = 2;

/// Models, two of which fit into an engine: with two replicas of each, the engines
/// of two zones hold them all.
const MODELS: [&str; 4] = ["payroll", "summary", "search", "letters"];
const MODEL_MIB: u64 = 20_000;
const ENGINE_MIB: u64 = 48_000;

/// Time of a load after the loss; a caller that waits for one is late.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// Limit of the time to the first byte of each response.
const FIRST_BYTE_LIMIT: Duration = Duration::from_secs(4);

/// Calls of each model by each caller before the loss, and after it: these take
/// longer than an endpoint without messages stays in use.
const CALLS_BEFORE_LOSS: u64 = 3;
const CALLS_AFTER_LOSS: u64 = 20;

/// Tokens of a response, and their interval.
const TOKENS: u64 = 20;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);

fn grants() -> String {
    let model = |name: &&str| {
        format!("[[model]]\nname = \"{name}\"\npool = \"asistente\"\nmemory_mib = {MODEL_MIB}\n\n")
    };
    let models: String = MODELS.iter().map(model).collect();
    format!("{models}[[grant]]\nplan = \"gold\"\nmodels = {MODELS:?}\n")
}

/// A cluster of a control instance, an entry and engines in each zone.
struct ZonedCluster {
    cluster: ProcessCluster,
    engines: Vec<FakeEngine>,
}

impl ZonedCluster {
    /// Starts the cluster and waits until each model is in two zones.
    fn spawn() -> Self {
        let config = EngineConfig {
            memory_mib: ENGINE_MIB,
            between_tokens: TOKEN_INTERVAL,
            load_time: Duration::from_millis(50),
            ..EngineConfig::default()
        };
        let engines: Vec<FakeEngine> = (0..ZONES * ENGINES_PER_ZONE)
            .map(|_| FakeEngine::spawn(config.clone()).unwrap())
            .collect();
        let agents = engines.iter().enumerate().map(|(idx, engine)| {
            let name = format!("engine-{idx}");
            let mut plan = AgentPlan::engine(&name, "asistente", engine.address());
            plan.zone = format!("zone-{}", zone_of(idx));
            plan.extra.push_str("\nkv_reserve_mib = 4000");
            plan
        });
        let plan = ClusterPlan {
            controls: ZONES,
            entries: ZONES,
            agents: agents.collect(),
            control_extra: "store_loads_per_minute = 6000\nstore_parallel = 8".to_owned(),
            ..ClusterPlan::default()
        };
        let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
        cluster.apply(PLANS, &grants()).unwrap();
        cluster.wait_ready(engines.len()).unwrap();
        let zoned = ZonedCluster { cluster, engines };
        zoned.wait_redundant(None).unwrap();
        for engine in &zoned.engines {
            engine.configure(|config| config.load_time = LOAD_TIME);
        }
        zoned
    }

    /// Waits until each model is ready in two zones other than `lost`.
    fn wait_redundant(&self, lost: Option<usize>) -> Result<()> {
        wait_until("each model is ready in two zones", || {
            MODELS.iter().all(|model| {
                let holds = |engine: &FakeEngine| {
                    let models = engine.models();
                    models.iter().any(|it| it.model == *model && it.ready)
                };
                let engines = self.engines.iter().enumerate();
                let zones: BTreeSet<usize> = engines
                    .filter(|(_, engine)| holds(engine))
                    .map(|(idx, _)| zone_of(idx))
                    .filter(|zone| Some(*zone) != lost)
                    .collect();
                zones.len() >= 2
            })
        })
    }

    /// Kills all processes of a zone.
    fn kill_zone(&mut self, zone: usize) {
        let agents = (0..self.engines.len()).filter(|idx| zone_of(*idx) == zone);
        let mut names: Vec<String> = agents.map(|idx| format!("agent-engine-{idx}")).collect();
        names.push(format!("entry-{zone}"));
        names.push(format!("control-{zone}"));
        for name in names {
            self.cluster.kill(&name).unwrap();
        }
    }
}

fn zone_of(engine: usize) -> usize {
    engine % ZONES
}

/// Calls one model through one entry until `stopped` is set; returns the calls that
/// failed or were late.
fn call_repeatedly(
    caller: &HttpCaller,
    model: &str,
    stopped: &AtomicBool,
    completed: &AtomicU64,
) -> Vec<String> {
    let mut failures = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        match caller.chat(model, "hello", TOKENS, true) {
            Ok(response)
                if response.status == 200
                    && response.complete
                    && response.first_byte < FIRST_BYTE_LIMIT => {}
            Ok(response) => failures.push(format!(
                "{model}: {} complete={} after {:?}: {}",
                response.status, response.complete, response.first_byte, response.body
            )),
            Err(err) => failures.push(format!("{model}: {err}")),
        }
        completed.fetch_add(1, Ordering::Relaxed);
    }
    failures
}

// Guards against a model that no caller reaches while a zone is lost.
#[rstest]
fn zone_lost_every_model_reachable(#[values(0, 1, 2)] lost: usize) {
    let mut zoned = ZonedCluster::spawn();
    let key = zoned.cluster.create_key("medellin", "m1").unwrap();
    let remaining = (0..ZONES).filter(|zone| *zone != lost);
    let callers: Vec<HttpCaller> = remaining
        .map(|zone| HttpCaller::new(zoned.cluster.callers[zone], Some(&key)))
        .collect();
    for (caller, model) in callers
        .iter()
        .flat_map(|it| MODELS.map(|model| (it, model)))
    {
        wait_until("the entry serves the model", || {
            let response = caller.chat(model, "warm up", 1, false);
            response.is_ok_and(|response| response.status == 200)
        })
        .unwrap();
    }
    let (stopped, completed) = (AtomicBool::new(false), AtomicU64::new(0));
    let failures: Vec<String> = thread::scope(|scope| {
        let mut threads = Vec::new();
        for caller in &callers {
            for model in MODELS {
                let (stopped, completed) = (&stopped, &completed);
                threads
                    .push(scope.spawn(move || call_repeatedly(caller, model, stopped, completed)));
            }
        }
        let thread_count = threads.len() as u64;
        let wait_calls = |calls: u64| {
            let end = completed.load(Ordering::Relaxed) + calls * thread_count;
            wait_until("calls are completed", || {
                completed.load(Ordering::Relaxed) >= end
            })
        };
        let waited = wait_calls(CALLS_BEFORE_LOSS);
        zoned.kill_zone(lost);
        let waited = waited
            .and_then(|()| wait_calls(CALLS_AFTER_LOSS))
            .and_then(|()| zoned.wait_redundant(Some(lost)));
        // The callers end before a failed wait does, or it would wait for them.
        stopped.store(true, Ordering::Relaxed);
        waited.unwrap();
        let threads = threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    });
    let completed = completed.into_inner();
    println!("zone {lost} lost: {completed} calls");
    assert!(
        failures.is_empty(),
        "{} of {completed} calls: {failures:#?}",
        failures.len()
    );
    for engine in &zoned.engines {
        assert!(engine.peak_mib() <= ENGINE_MIB);
    }
}
