//! Small fakes, a fault-injecting proxy and a cluster of real processes.
//!
//! Purpose: what tests put around the system: a model engine and a plain
//! service that record what they ran, and processes that can be killed,
//! frozen and restarted. Nothing here is part of the product.

mod cluster_plan;
mod fake_engine;
mod fake_records;
mod fake_server;
mod fake_service;
mod fault_proxy;
mod free_address;
mod http_client;
mod process_cluster;
mod raw_caller;

pub use cluster_plan::{AgentPlan, BinaryPaths, ClusterPlan};
pub use fake_engine::{EngineConfig, FakeEngine, FakeModel};
pub use fake_records::{FakeRecords, RunRecord, RunState};
pub use fake_service::FakeService;
pub use fault_proxy::{FaultProxy, FlowFault, ProxyFlow};
pub use free_address::free_port;
pub use http_client::{HttpAnswer, HttpCaller};
pub use process_cluster::{wait_until, ProcessCluster, ANY_PROCESS, WAIT_LIMIT};
pub use raw_caller::{raw_exchange, RawAnswer, RawCaller, RawEnd};
