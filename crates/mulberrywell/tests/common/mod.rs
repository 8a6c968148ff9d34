//! Helpers for the tests with real processes.

#![expect(dead_code, reason = "each test file uses only some of the helpers")]

pub mod serving_deployment;
pub mod session;
pub mod worker_fleet;

use std::path::PathBuf;

use mulberrywell_testkit::{
    AgentPlan, BinaryPaths, ClusterPlan, EngineConfig, FakeEngine, FakeModel, FakeService,
    ProcessCluster,
};

pub const PLANS: &str = r#"
[[plan]]
name = "gold"
rate = 100000
burst = 200000
weight = 4

[[plan]]
name = "small"
rate = 10
burst = 100

[[account]]
name = "medellin"
plan = "gold"

[[account]]
name = "cali"
plan = "small"
"#;

pub const GRANTS: &str = r#"
[[model]]
name = "payroll"
pool = "asistente"
memory_mib = 4000

[[model]]
name = "summary"
pool = "asistente"
memory_mib = 4000

[[service]]
name = "payments"
[[service.route]]
method = "POST"
path = "/orders"
[[service.route]]
method = "GET"
path = "/orders"
idempotent = true
[[service.route]]
method = "GET"
path = "/open"
idempotent = true
open = true

[[grant]]
plan = "gold"
models = ["payroll", "summary"]
services = ["payments"]

[[grant]]
plan = "small"
models = ["payroll"]
"#;

/// A cluster with one engine and one service.
pub struct SmallCluster {
    pub cluster: ProcessCluster,
    pub engine: FakeEngine,
    pub service: FakeService,
    /// Key of `medellin`.
    pub gold_key: String,
    /// Key of `cali`.
    pub small_key: String,
}

/// Returns the paths of the built binaries.
pub fn binaries() -> BinaryPaths {
    BinaryPaths {
        serve: PathBuf::from(env!("CARGO_BIN_EXE_mulberrywell")),
        agent: PathBuf::from(env!("CARGO_BIN_EXE_mulberrywell-agent")),
    }
}

/// Returns the configuration of an engine that has both models loaded.
pub fn engine_config() -> EngineConfig {
    let model = |name: &str| FakeModel {
        model: name.to_owned(),
        memory_mib: 4_000,
        ready: true,
    };
    EngineConfig {
        models: vec![model("payroll"), model("summary")],
        ..EngineConfig::default()
    }
}

/// Starts a small cluster and waits until it is ready.
pub fn small_cluster(controls: usize, entries: usize) -> SmallCluster {
    planned_cluster(ClusterPlan {
        controls,
        entries,
        ..ClusterPlan::default()
    })
}

/// Starts the cluster of a plan, with one engine and one service, and waits
/// until it is ready.
pub fn planned_cluster(plan: ClusterPlan) -> SmallCluster {
    cluster_of(plan, &binaries())
}

/// Starts the cluster of a plan from these binaries.
pub fn cluster_of(mut plan: ClusterPlan, paths: &BinaryPaths) -> SmallCluster {
    let engine = FakeEngine::spawn(engine_config()).expect("a fake engine starts");
    let service = FakeService::spawn().expect("a fake service starts");
    plan.agents = vec![
        AgentPlan::engine("engine-0", "asistente", engine.address()),
        AgentPlan::service("payments", service.address()),
    ];
    let cluster = ProcessCluster::spawn(paths, &plan).expect("the processes start");
    cluster
        .apply(PLANS, GRANTS)
        .expect("the lists are accepted");
    cluster.wait_ready(2).expect("the cluster becomes ready");
    let gold_key = cluster
        .create_key("medellin", "m1")
        .expect("a key is created");
    let small_key = cluster.create_key("cali", "c1").expect("a key is created");
    SmallCluster {
        cluster,
        engine,
        service,
        gold_key,
        small_key,
    }
}

/// Starts a small cluster with a proxy on each link.
pub fn proxied_cluster() -> SmallCluster {
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        proxied: true,
        ..ClusterPlan::default()
    };
    planned_cluster(plan)
}
