//! Inputs and outputs of [`DemandPlacement`](crate::DemandPlacement).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::placement_types::{EndpointName, ModelName, SoftwareName};

/// Identifies an order within one run of a leader.
pub type OrderNumber = u64;

/// A model of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSpec {
    /// Name.
    pub name: ModelName,
    /// Accelerator memory in MB.
    pub weight_mb: u64,
    /// Accelerator memory of each adapter in MB.
    pub adapter_mb: u64,
    /// Duration of a load from the weight store.
    pub load_time: Duration,
}

/// Specification of a service's engines, which are identical.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineSpec {
    /// Accelerator memory for models and adapters in MB.
    pub memory_mb: u64,
    /// Adapters that an engine can hold concurrently.
    pub adapter_places: usize,
    /// All models.
    pub models: Vec<ModelSpec>,
}

/// Models and adapters that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Identifies one run of the engine; changes when it restarts.
    pub incarnation: u64,
    /// Version of its software.
    pub software: SoftwareName,
    /// The engine accepts requests and its heartbeats arrive.
    pub is_usable: bool,
    /// The engine refused connections lately, so that what it holds may be lost.
    pub is_refusing: bool,
    /// The engine takes a limited number of requests a second. Callers may wait for what
    /// it holds.
    pub is_limited: bool,
    /// Adapters by model.
    pub models: BTreeMap<ModelName, BTreeSet<ModelName>>,
    /// Models whose weights its host caches in memory, the fastest source to
    /// load from.
    pub in_memory: BTreeSet<ModelName>,
    /// Models whose weights its host caches on disk.
    pub on_disk: BTreeSet<ModelName>,
}

/// Operation of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderVerb {
    /// Loads a model or an adapter.
    Load,
    /// Unloads a model or an adapter.
    Unload,
}

/// An order to load or unload a model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Number of the order.
    pub number: OrderNumber,
    /// Engine.
    pub endpoint: EndpointName,
    /// Incarnation of the engine that the order is for.
    pub incarnation: u64,
    /// Operation.
    pub verb: OrderVerb,
    /// Model.
    pub model: ModelName,
    /// Adapter of the model; empty for the model itself.
    pub adapter: ModelName,
    /// Number of orders that the engine should have accepted before this one.
    pub expected: u64,
}

/// An engine's models, together with the number of orders that it has accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineInventory {
    /// An order for a model is in progress.
    pub is_busy: bool,
    /// Orders accepted since the engine started.
    pub orders: u64,
    /// Adapters by model, including those that are still loading.
    pub models: BTreeMap<ModelName, BTreeSet<ModelName>>,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is in progress.
    Accepted,
    /// The requested state has been reached.
    Done,
    /// The order was refused and is never executed.
    Refused,
    /// No answer arrived; the order may still be executed much later.
    Unknown,
}

/// A change in routing that takes effect as soon as an order is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementChange {
    /// Engine.
    pub endpoint: EndpointName,
    /// Model.
    pub model: ModelName,
    /// Adapter; empty for the model itself.
    pub adapter: ModelName,
    /// Whether the engine can serve it from now on.
    pub is_held: bool,
}
