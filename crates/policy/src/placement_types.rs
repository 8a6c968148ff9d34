//! Inputs and outputs of the placement planner.

use bytes::Bytes;

/// Version of an endpoint's software.
pub type SoftwareName = Bytes;

/// Name of a model or an adapter.
pub type ModelName = Bytes;

/// Name of an endpoint.
pub type EndpointName = Bytes;

/// A model or an adapter of the grant list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementModel {
    /// Unique name.
    pub name: ModelName,
    /// Version that replicas should run.
    pub version: Bytes,
    /// Accelerator memory in MiB.
    pub memory_mib: u64,
    /// KV cache of one running request in MiB.
    pub kv_mib: u64,
    /// Base model of an adapter; empty for a model.
    pub base: ModelName,
    /// Pool whose endpoints may hold it.
    pub pool: Bytes,
}

/// State of an endpoint in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementState {
    /// Accepts requests and orders.
    Live,
    /// Has missed its reports; its replicas do not count.
    Suspect,
    /// Accepts no new work.
    Leaving,
}

/// State of a model at an endpoint, as reported by the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidencePhase {
    /// Occupies memory but does not serve requests yet.
    Loading,
    /// Serves requests.
    Resident,
    /// Occupies memory, accepts no new work and is being unloaded.
    Unloading,
}

/// A model that occupies memory at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelResidence {
    /// Name.
    pub model: ModelName,
    /// Version; empty if the engine does not report one.
    pub version: Bytes,
    /// State.
    pub phase: ResidencePhase,
}

/// The last report of an agent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointReport {
    /// All models that occupy memory.
    pub residences: Vec<ModelResidence>,
    /// Term of the last target order that the agent received.
    pub order_term: u64,
    /// Revision of that order.
    pub order_revision: u64,
    /// Prompt and output tokens per second that the endpoint serves with all
    /// slots busy; 0 if unknown.
    pub tokens_per_second: u64,
}

/// A model engine with its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementEndpoint {
    /// Unique name.
    pub name: EndpointName,
    /// Pool.
    pub pool: Bytes,
    /// Availability zone.
    pub zone: Bytes,
    /// Identifies one run of the endpoint; changes when it restarts.
    pub incarnation: u64,
    /// Memory for models in MiB, excluding the KV reserve.
    pub capacity_mib: u64,
    /// KV reserve in MiB.
    pub kv_reserve_mib: u64,
    /// Requests that the engine runs concurrently.
    pub slots: u32,
    /// State in the directory.
    pub state: PlacementState,
    /// `None` until the agent of this incarnation has reported to this leader.
    pub report: Option<EndpointReport>,
}

/// Estimated demand for a model.
#[derive(Debug, Clone, PartialEq)]
pub struct DemandEstimate {
    /// Name.
    pub model: ModelName,
    /// Prompt and output tokens per second.
    pub tokens_per_second: f64,
}

/// The input of one plan.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementInput {
    /// Term of the planning leader.
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
    /// Load order, lowest first; a base precedes its adapters.
    pub rank: u32,
}

/// The complete set of models that an endpoint should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointTarget {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Incarnation of the endpoint that the order is for.
    pub incarnation: u64,
    /// Term of the leader.
    pub term: u64,
    /// Increases with each change of this endpoint's set within a term.
    pub revision: u64,
    /// Their total memory does not exceed the endpoint's capacity.
    pub models: Vec<TargetEntry>,
    /// Loads that may be in progress concurrently.
    pub load_permits: u32,
}

/// Effect of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecisionKind {
    /// Adds a replica.
    Load,
    /// Removes a replica.
    Unload,
    /// Replaces a replica in place with another version.
    Replace,
    /// Postpones a load for which there is no memory or no permit.
    Defer,
}

/// Reason for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DecisionReason {
    /// No live endpoint held the model.
    LastReplica,
    /// The model had too few replicas, or replicas in only one availability zone.
    Spread,
    /// Demand exceeds the capacity of the replicas.
    Demand,
    /// Frees memory for a model with higher precedence.
    MakeRoom,
    /// The grant list names another version.
    Version,
    /// The grant list does not name the model for this pool.
    Retired,
    /// The load did not finish within the load timeout.
    LoadTimeout,
    /// No endpoint of the pool has enough memory.
    NoRoom,
    /// The load pacer grants no further load at this time.
    Paced,
}

/// One decision of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementDecision {
    /// Model.
    pub model: ModelName,
    /// Endpoint; empty for a deferred load.
    pub endpoint: EndpointName,
    /// Effect.
    pub kind: DecisionKind,
    /// Reason.
    pub reason: DecisionReason,
}

/// A model's placement, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelPlacement {
    /// Name.
    pub model: ModelName,
    /// Live endpoints at which the model serves requests.
    pub resident: u32,
    /// Live endpoints that have yet to load it.
    pub pending: u32,
    /// Demand, in busy request slots.
    pub demand_slots: f64,
}

/// The output of a plan; reused across plans.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlacementOutput {
    /// Orders that changed or that the agent has not confirmed yet.
    pub orders: Vec<EndpointTarget>,
    /// Decisions of this plan, in the order in which they were made.
    pub decisions: Vec<PlacementDecision>,
    /// One entry per model, in input order.
    pub models: Vec<ModelPlacement>,
}
