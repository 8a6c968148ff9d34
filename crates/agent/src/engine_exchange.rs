//! What the agent says to its endpoint and hears from it.

use bytes::Bytes;
use mulberrywell_wire::request::HeaderField;

/// Number of a hand-over within one run of the agent.
pub type RunId = u64;

/// Number of an order within one run of the agent.
pub type OrderId = u64;

/// A request as it is handed to the endpoint.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    /// Method in capitals.
    pub method: Bytes,
    /// Path and query.
    pub path: Bytes,
    /// Headers, none of them a caller's key.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Bytes,
    /// Milliseconds until the deadline.
    pub deadline_ms: u64,
    /// 0 is served first.
    pub priority: u32,
    /// Stream events to leave out because the caller has them.
    pub resume_events: u64,
}

/// A model that the engine holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Name of the model or adapter.
    pub model: Bytes,
    /// Its version.
    pub version: Bytes,
    /// Accelerator memory in MiB.
    pub memory_mib: u64,
    /// Whether it answers already; a model that loads or unloads does not.
    pub ready: bool,
}

/// The engine's own account of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// All models with memory, also those that load or unload.
    pub models: Vec<ResidentModel>,
    /// Highest fencing token that the engine has seen.
    pub fencing: u64,
    /// Role in force, for engines that have roles.
    pub role: Bytes,
    /// Digests of cached prompt prefixes; late and with gaps.
    pub prefixes: Vec<u64>,
}

/// What an order changes.
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
    /// Identifies the order in the answer.
    pub order: OrderId,
    /// Engines that check it refuse an order with an older token.
    pub fencing: u64,
    /// The change.
    pub kind: OrderKind,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has done it.
    Done,
    /// The engine refused it and changed nothing.
    Refused,
    /// Nobody knows; the engine's state must be asked.
    Unknown,
}

/// What the endpoint says.
#[derive(Debug)]
pub enum AgentEvent {
    /// Status and headers of an answer.
    Head {
        /// The hand-over.
        run: RunId,
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<HeaderField>,
    },
    /// A piece of an answer's body.
    Part {
        /// The hand-over.
        run: RunId,
        /// Bytes.
        data: Bytes,
    },
    /// The answer is whole.
    End {
        /// The hand-over.
        run: RunId,
    },
    /// The answer is not whole.
    Failed {
        /// The hand-over.
        run: RunId,
        /// False only if no byte of the request left the agent.
        sent: bool,
    },
    /// The engine's state, or none when the endpoint did not answer.
    State(Option<EngineState>),
    /// An order came to an end.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// What became of it.
        outcome: OrderOutcome,
    },
}

/// What the agent asks of the endpoint.
#[derive(Debug)]
pub enum AgentAction {
    /// Hands a request over.
    Run {
        /// A new id.
        run: RunId,
        /// The request.
        request: EngineRequest,
    },
    /// Cancels a hand-over; `End` or `Failed` follows.
    Cancel {
        /// The hand-over.
        run: RunId,
    },
    /// Asks for the endpoint's state.
    ReadState,
    /// Gives an order.
    Order(EngineOrder),
}
