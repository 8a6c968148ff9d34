//! The agent role: admission control and model management for one endpoint.
//!
//! Purpose: announces the endpoint to control, admits attempts and forwards
//! them to it, and sends it load and unload orders; stops admission and orders
//! when shutdown begins.
//!
//! Guarantees: an attempt is forwarded at most once; an attempt refused as
//! "not run" was never forwarded; after shutdown begins no attempt is
//! admitted; an attempt for another incarnation of the endpoint is refused; no
//! order of this agent overcommits the endpoint's memory.

mod agent_frames;
mod agent_role;
mod announcer;
mod attempt_scheduler;
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
