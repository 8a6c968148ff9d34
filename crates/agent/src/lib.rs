//! The agent role: the last gate before an endpoint.
//!
//! Purpose: announces the endpoint, admits attempts to it, passes orders to it
//! and stops both when the endpoint leaves.
//!
//! Guarantees: an attempt is handed over at most once; a refusal that says
//! "not run" was never handed over; once the agent leaves it admits nothing;
//! an attempt for another incarnation of the endpoint is refused; the
//! endpoint's memory is never overcommitted by an order of this agent.

mod agent_frames;
mod agent_role;
mod announcer;
mod attempt_gate;
mod engine_exchange;
mod load_reporter;
mod memory_ledger;
mod order_reconciler;
mod residency;
mod token_counter;

pub use agent_role::{AgentConfig, AgentRole};
pub use engine_exchange::{
    AgentAction, AgentEvent, EngineOrder, EngineRequest, EngineState, OrderId, OrderKind,
    OrderOutcome, ResidentModel, RunId,
};
pub use memory_ledger::{FenceRule, LedgerEntry, MemoryLedger, ModelName};
pub use order_reconciler::{OrderReconciler, DRAIN_GRACE};
pub use residency::{residency_chart, ResidencyChart, ResidencyEvent, ResidencyState};
pub use token_counter::TokenCounter;
