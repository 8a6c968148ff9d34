//! What [`DemandPlacement`](crate::DemandPlacement) is given and what it answers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::placement_types::{EndpointName, ModelName};

/// Names an order within one run of a leader.
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
    /// Load from the weight store.
    pub load_time: Duration,
}

/// Engines of a service, which are all alike.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineSpec {
    /// Accelerator memory for models and adapters in MB.
    pub memory_mb: u64,
    /// Adapters at the same time.
    pub adapter_places: usize,
    /// All models.
    pub models: Vec<ModelSpec>,
}

/// What an engine says that it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Start of the engine.
    pub incarnation: u64,
    /// Takes requests and is heard of.
    pub is_usable: bool,
    /// Adapters by model.
    pub models: BTreeMap<ModelName, BTreeSet<ModelName>>,
    /// Models whose weights its host keeps in memory, by rising load time.
    pub in_memory: BTreeSet<ModelName>,
    /// Models whose weights its host keeps on disk.
    pub on_disk: BTreeSet<ModelName>,
}

/// What an order does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderVerb {
    /// Loads.
    Load,
    /// Unloads.
    Unload,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Its number.
    pub number: OrderNumber,
    /// Engine.
    pub endpoint: EndpointName,
    /// Start of the engine that the order is for.
    pub incarnation: u64,
    /// What it does.
    pub verb: OrderVerb,
    /// Model.
    pub model: ModelName,
    /// Adapter of the model; empty for the model itself.
    pub adapter: ModelName,
    /// Orders that the engine has accepted before this one.
    pub expected: u64,
}

/// What an engine holds beside the orders that it has accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineInventory {
    /// An order for a model is being carried out.
    pub is_busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Adapters by model, those on their way with them.
    pub models: BTreeMap<ModelName, BTreeSet<ModelName>>,
}

/// How an order was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds.
    Done,
    /// It was refused and is never carried out.
    Refused,
    /// No answer came; it may be carried out much later.
    Unknown,
}

/// What an answered order changes for callers at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementChange {
    /// Engine.
    pub endpoint: EndpointName,
    /// Model.
    pub model: ModelName,
    /// Adapter; empty for the model itself.
    pub adapter: ModelName,
    /// Held from now on, or no longer.
    pub is_held: bool,
}
