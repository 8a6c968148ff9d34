//! Events and actions exchanged between the agent and its endpoint.

use bytes::Bytes;
use mulberrywell_wire::request::HeaderField;

/// Identifies a forwarded request within one process of the agent.
pub type RunId = u64;

/// Identifies an order within one process of the agent.
pub type OrderId = u64;

/// A request as it is forwarded to the endpoint.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Method in capitals.
    pub method: Bytes,
    /// Path and query.
    pub path: Bytes,
    /// Headers, without the caller's key.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
    /// Milliseconds until the deadline.
    pub deadline_ms: u64,
    /// 0 is served first.
    pub priority: u32,
    /// Stream events to skip because the caller has received them.
    pub resume_events: u64,
}

/// A model that occupies memory of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Name of the model or adapter.
    pub model: Bytes,
    /// Version.
    pub version: Bytes,
    /// Accelerator memory in MiB.
    pub memory_mib: u64,
    /// Whether it can serve requests; false while it loads or unloads.
    pub ready: bool,
}

/// The state that the engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// All models that occupy memory, including those that load or unload.
    pub models: Vec<ResidentModel>,
    /// Highest fencing token that the engine has accepted.
    pub fencing: u64,
    /// Current role, for engines that have roles.
    pub role: Bytes,
    /// Digests of cached prompt prefixes; may be outdated and incomplete.
    pub prefixes: Vec<u64>,
}

/// The change that an order requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Loads a model or an adapter of a base model.
    Load {
        /// Name.
        model: Bytes,
        /// Version.
        version: Bytes,
        /// Base model; empty for a model.
        base: Bytes,
        /// Accelerator memory in MiB.
        memory_mib: u64,
    },
    /// Unloads a model or an adapter.
    Unload {
        /// Name.
        model: Bytes,
    },
    /// Changes the engine's role.
    ChangeRole {
        /// Name of the role.
        role: Bytes,
    },
}

/// An order to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Identifies the order in its outcome.
    pub order: OrderId,
    /// Fencing token; engines that check it refuse an order with an older one.
    pub fencing: u64,
    /// The change.
    pub kind: OrderKind,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine completed the order.
    Done,
    /// The engine refused the order and changed nothing.
    Refused,
    /// Unknown; only the engine's state shows whether the order took effect.
    Unknown,
}

/// An event from the endpoint.
#[derive(Debug)]
pub enum AgentEvent {
    /// Status and headers of a response.
    Head {
        /// The forwarded request.
        run: RunId,
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<HeaderField>,
    },
    /// A piece of a response body.
    Part {
        /// The forwarded request.
        run: RunId,
        /// Bytes.
        data: Bytes,
    },
    /// The response is complete.
    End {
        /// The forwarded request.
        run: RunId,
    },
    /// The request failed; its response is missing or incomplete.
    Failed {
        /// The forwarded request.
        run: RunId,
        /// False only if no byte of the request left the agent.
        sent: bool,
        /// The endpoint broke off the request and refuses connections since.
        crashed: bool,
    },
    /// The engine's state; none if the endpoint did not respond.
    State(Option<EngineState>),
    /// An order ended.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// Its outcome.
        outcome: OrderOutcome,
    },
}

/// An action for the endpoint.
#[derive(Debug)]
pub enum AgentAction {
    /// Forwards a request.
    Run {
        /// A new id.
        run: RunId,
        /// The request.
        request: EngineRequest,
    },
    /// Cancels a forwarded request; `End` or `Failed` follows.
    Cancel {
        /// The forwarded request.
        run: RunId,
    },
    /// Requests the endpoint's state.
    ReadState,
    /// Sends an order.
    Order(EngineOrder),
}
