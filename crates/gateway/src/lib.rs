//! The gateway role: takes callers' requests and runs them at endpoints that it
//! reaches itself.
//!
//! Purpose: a [`GatewayRole`] holds the serving configuration and the endpoints
//! as control instances tell them, and decides for each request where it runs,
//! how often it is tried and what its caller is told.
//!
//! Guarantees: a request that is not idempotent is handed to another endpoint
//! only while it is certain that none has run it; an answer that says "not run"
//! is given in that case only; an answer is passed on as one endpoint gave it
//! and whole, or the caller sees that it is not; a request runs for the account
//! of its key and the key goes no further; what the caller is told last comes
//! by its deadline.
//!
//! The names of header fields and their formats are the [`CallCodec`]'s; this
//! package knows what they mean only.

mod admission;
mod answer_flow;
mod attempts;
mod call_book;
mod call_codec;
mod caller_answers;
mod control_links;
mod endpoint_table;
mod event_splitter;
mod gateway_counters;
mod gateway_role;
mod rate_limits;
mod service_choice;
mod wanted_models;

pub use call_codec::{
    AnswerTerms, CallCodec, CallTerms, HandoverTerms, ModelTerms, RefusalReason, TokenTerms,
};
pub use event_splitter::EventSplitter;
pub use gateway_role::{GatewayConfig, GatewayEvent, GatewayRole, CALLERS, READINESS};
