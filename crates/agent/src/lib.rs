//! The agent role: the last gate before an endpoint.
//!
//! Purpose: announces the endpoint, admits attempts to it, passes orders to it
//! and stops both when the endpoint leaves.
//!
//! Guarantees: an attempt is handed over at most once; a refusal that says
//! "not run" was never handed over; once the agent leaves it admits nothing;
//! an attempt for another incarnation of the endpoint is refused.

mod agent_role;
mod attempt_gate;
mod engine_exchange;

pub use agent_role::{AgentConfig, AgentRole};
pub use engine_exchange::{
    AgentAction, AgentEvent, EngineOrder, EngineRequest, EngineState, OrderId, OrderKind,
    OrderOutcome, ResidentModel, RunId,
};
