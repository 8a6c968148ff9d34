//! What the placement planner is given and what it answers.

use bytes::Bytes;

/// Name of a model or an adapter.
pub type ModelName = Bytes;

/// Name of an endpoint.
pub type EndpointName = Bytes;

/// A model or an adapter of the grant list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementModel {
    /// Unique.
    pub name: ModelName,
    /// Version that is to be in force.
    pub version: Bytes,
    /// Accelerator memory in MiB.
    pub memory_mib: u64,
    /// KV cache of one running request in MiB.
    pub kv_mib: u64,
    /// Base model of an adapter; empty for a model.
    pub base: ModelName,
    /// Pool of endpoints that may hold it.
    pub pool: Bytes,
}

/// State of an endpoint as the directory has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementState {
    /// Takes requests and orders.
    Live,
    /// Silent for a while; its replicas do not count.
    Suspect,
    /// Takes no new work.
    Leaving,
}

/// State of a model at an endpoint as the agent reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidencePhase {
    /// Has memory and does not answer yet.
    Loading,
    /// Answers.
    Resident,
    /// Has memory, takes no new work and is on its way out.
    Unloading,
}

/// A model with memory at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelResidence {
    /// Name.
    pub model: ModelName,
    /// Version; empty where the engine does not tell it.
    pub version: Bytes,
    /// State.
    pub phase: ResidencePhase,
}

/// An agent's last report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointReport {
    /// All models with memory.
    pub residences: Vec<ModelResidence>,
    /// Term of the last target order that the agent took in.
    pub order_term: u64,
    /// Revision of that order.
    pub order_revision: u64,
}

/// A model engine with its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementEndpoint {
    /// Unique.
    pub name: EndpointName,
    /// Pool.
    pub pool: Bytes,
    /// Availability zone.
    pub zone: Bytes,
    /// Start of the endpoint.
    pub incarnation: u64,
    /// Memory for models in MiB: without the KV reserve.
    pub capacity_mib: u64,
    /// KV reserve in MiB.
    pub kv_reserve_mib: u64,
    /// Requests that the engine runs at the same time.
    pub slots: u32,
    /// State in the directory.
    pub state: PlacementState,
    /// None until the agent of this incarnation has reported to this leader.
    pub report: Option<EndpointReport>,
}

/// Demand for a model as the estimator has it.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandEstimate {
    /// Name.
    pub model: ModelName,
    /// Prompt and output tokens a second.
    pub tokens_per_second: f64,
}

/// Everything that one plan is made from.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementInput {
    /// Term of the leader that plans.
    pub term: u64,
    /// Models and adapters of the grant list.
    pub models: Vec<PlacementModel>,
    /// Model engines only; plain services hold no models.
    pub endpoints: Vec<PlacementEndpoint>,
    /// Models without an entry have no demand.
    pub demand: Vec<DemandEstimate>,
}

/// One model of a target set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name.
    pub model: ModelName,
    /// Version.
    pub version: Bytes,
    /// Accelerator memory in MiB.
    pub memory_mib: u64,
    /// KV cache of one running request in MiB.
    pub kv_mib: u64,
    /// Base model of an adapter.
    pub base: ModelName,
    /// Lower is loaded first; a base goes before its adapters.
    pub rank: u32,
}

/// The whole set of models that an endpoint is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointTarget {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Start of the endpoint that the order is for.
    pub incarnation: u64,
    /// Term of the leader.
    pub term: u64,
    /// Rises with each change of this endpoint's set within a term.
    pub revision: u64,
    /// Memory adds up to no more than the endpoint's capacity.
    pub models: Vec<TargetEntry>,
    /// Loads that may be in work at the same time.
    pub load_permits: u32,
}

/// What a decision does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecisionKind {
    /// Adds a replica.
    Load,
    /// Takes a replica away.
    Unload,
    /// Replaces a replica by another version in place.
    Replace,
    /// Would add a replica, but has no room or no permit for it.
    Defer,
}

/// Why a decision was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecisionReason {
    /// No live endpoint had the model.
    LastReplica,
    /// The model had too few endpoints or one availability zone only.
    Spread,
    /// Demand exceeds what the replicas can serve.
    Demand,
    /// Room for a model that needs it more.
    MakeRoom,
    /// The grant list names another version.
    Version,
    /// The grant list does not name the model for this pool.
    Retired,
    /// The load did not end in time.
    LoadTimeout,
    /// No endpoint of the pool has room.
    NoRoom,
    /// The weight store takes no further load now.
    Paced,
}

/// One decision of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementDecision {
    /// Model.
    pub model: ModelName,
    /// Endpoint; empty for a deferred load.
    pub endpoint: EndpointName,
    /// What is done.
    pub kind: DecisionKind,
    /// Why.
    pub reason: DecisionReason,
}

/// A model's placement for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPlacement {
    /// Name.
    pub model: ModelName,
    /// Live endpoints where the model answers.
    pub resident: u32,
    /// Live endpoints that are to load it.
    pub pending: u32,
    /// Demand in busy request slots.
    pub demand_slots: f64,
}

/// The outcome of a plan; reused from plan to plan.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementOutput {
    /// Orders that changed or that the agent has not confirmed yet.
    pub orders: Vec<EndpointTarget>,
    /// Decisions of this plan, in the order made.
    pub decisions: Vec<PlacementDecision>,
    /// One for each model, in the order of the input.
    pub models: Vec<ModelPlacement>,
}
