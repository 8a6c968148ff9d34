//! Small fakes, a fault-injecting proxy and a cluster of real processes.
//!
//! Purpose: what tests put around the system: a model engine and a plain
//! service that record what they ran, and processes that can be killed,
//! frozen and restarted. Nothing here is part of the product.

mod fake_engine;
mod fake_records;
mod fake_service;
mod http_client;
mod process_cluster;

pub use fake_engine::{EngineConfig, FakeEngine, FakeModel};
pub use fake_records::{FakeRecords, RunRecord, RunState};
pub use fake_service::FakeService;
pub use http_client::{HttpAnswer, HttpCaller};
pub use process_cluster::{
    free_port, wait_until, AgentPlan, BinaryPaths, ClusterPlan, ProcessCluster, WAIT_LIMIT,
};
