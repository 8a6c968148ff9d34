//! Test doubles, a fault-injecting proxy and a cluster of real processes.
//!
//! Purpose: the environment of the system in tests: a fake model engine and a
//! fake plain service that record the requests they run, and processes that can
//! be killed, suspended and restarted. Nothing here is part of the product.

mod cluster_plan;
mod crashing_service;
mod fake_engine;
mod fake_records;
mod fake_server;
mod fake_service;
mod fault_proxy;
mod free_address;
mod http_client;
mod link_caller;
mod process_cluster;
mod process_set;
mod process_usage;
pub mod promise_checker;
mod raw_caller;
mod request_mix;
mod stream_load;

pub use cluster_plan::{AgentPlan, BinaryPaths, ClusterPlan};
pub use crashing_service::CrashingService;
pub use fake_engine::{streamed_response, EngineConfig, FakeEngine, FakeModel};
pub use fake_records::{FakeRecords, RunRecord, RunState};
pub use fake_server::{spawn_server, ResponseStream, ServerRequest};
pub use fake_service::FakeService;
pub use fault_proxy::{FaultProxy, FlowFault, ProxyFlow};
pub use free_address::free_port;
pub use http_client::{HttpCaller, HttpResponse};
pub use link_caller::{LinkCaller, LinkRecording};
pub use process_cluster::{wait_until, ProcessCluster, ANY_PROCESS, CLUSTER_SECRET, WAIT_TIMEOUT};
pub use process_set::ProcessSet;
pub use process_usage::{read_usage, ProcessUsage};
pub use promise_checker::{
    check_promises, AccountAllowance, CallKind, MemoryPeak, ObservedCall, Promise, PromiseBreach,
    RanClaim, RunEvidence,
};
pub use raw_caller::{raw_exchange, RawCaller, RawEnd, RawResponse};
pub use request_mix::{MixAccount, RequestMix};
pub use stream_load::{run_streams, StreamPlan, StreamTimes};
