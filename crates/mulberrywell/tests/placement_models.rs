//! Tests of model placement with real processes: the planner sends orders to load
//! models to empty engines.

mod common;

use std::time::{Duration, Instant};

use common::{binaries, GRANTS, PLANS};
use mulberrywell_testkit::{
    wait_until, AgentPlan, ClusterPlan, EngineConfig, FakeEngine, HttpCaller, ProcessCluster,
};

/// Memory of an engine in MiB, as in the agents' settings.
const ENGINE_MIB: u64 = 48_000;

fn empty_engine() -> FakeEngine {
    FakeEngine::spawn(EngineConfig {
        memory_mib: ENGINE_MIB,
        load_time: Duration::from_millis(50),
        ..EngineConfig::default()
    })
    .unwrap()
}

fn cluster_of(engines: &[FakeEngine]) -> ProcessCluster {
    let agents = engines.iter().enumerate().map(|(idx, engine)| {
        let mut plan = AgentPlan::engine(&format!("engine-{idx}"), "asistente", engine.address());
        plan.zone = format!("zone-{idx}");
        plan
    });
    let plan = ClusterPlan {
        controls: 3,
        entries: 1,
        agents: agents.collect(),
        control_extra: "store_loads_per_minute = 6000\nstore_parallel = 8".to_owned(),
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(engines.len()).unwrap();
    cluster
}

fn ready_models(engine: &FakeEngine) -> usize {
    engine.models().iter().filter(|model| model.ready).count()
}

#[test]
fn placement_empty_engines() {
    let engines = [empty_engine(), empty_engine()];
    let cluster = cluster_of(&engines);
    wait_until("both models are loaded on each engine", || {
        engines.iter().all(|engine| ready_models(engine) == 2)
    })
    .unwrap();
    let key = cluster.create_key("medellin", "m1").unwrap();
    let caller = HttpCaller::new(cluster.callers[0], Some(&key));
    wait_until("a request to the model is served", || {
        let response = caller.chat("payroll", "hello", 4, true);
        response.is_ok_and(|response| response.status == 200 && response.complete)
    })
    .unwrap();
    let shown = cluster.operate_ok(&["show", "models"]).unwrap();
    assert!(shown.contains("load at engine-"), "{shown}");
    for engine in &engines {
        assert!(engine.peak_mib() <= ENGINE_MIB);
    }
}

#[test]
fn placement_lost_engine() {
    let engines = [empty_engine(), empty_engine()];
    let mut cluster = cluster_of(&engines[..1]);
    wait_until("both models are loaded on the engine", || {
        ready_models(&engines[0]) == 2
    })
    .unwrap();
    cluster.kill("agent-engine-0").unwrap();
    let mut plan = AgentPlan::engine("engine-1", "asistente", engines[1].address());
    plan.zone = "zone-1".to_owned();
    cluster.spawn_agent(&plan).unwrap();
    wait_until("both models are loaded on the new engine", || {
        ready_models(&engines[1]) == 2
    })
    .unwrap();
}

/// Time in which the leader computes several placements.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

#[test]
fn placement_before_lists() {
    let engine = FakeEngine::spawn(common::engine_config()).unwrap();
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        agents: vec![AgentPlan::engine("engine-0", "asistente", engine.address())],
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.wait_ready(1).unwrap();
    let end = Instant::now() + OBSERVATION_TIME;
    while Instant::now() < end {
        assert_eq!(ready_models(&engine), 2, "{:?}", engine.orders());
        std::thread::sleep(Duration::from_millis(50));
    }
}
