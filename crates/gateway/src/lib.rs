//! The gateway role: accepts callers' requests and forwards them directly to
//! endpoints.
//!
//! Purpose: a [`GatewayRole`] receives the serving configuration and the
//! endpoints from control instances, and decides for each request where it
//! runs, how often it is attempted and what response its caller gets.
//!
//! Guarantees: a request that is not idempotent is retried at another endpoint
//! only while it is certain that none has run it, and only then does a response
//! state "not run"; a response is forwarded complete and as one endpoint
//! produced it, or the caller sees that it is incomplete; a request runs for
//! the account of its key, and the key is not forwarded; the end of the
//! response is sent by the caller's deadline.
//!
//! The names and formats of header fields are defined by the [`CallCodec`];
//! this package uses only their meaning.

mod admission;
mod attempts;
mod call_codec;
mod call_table;
mod caller_responses;
mod choice_log;
mod cold_endpoints;
mod control_links;
mod crash_trials;
mod deferred_calls;
mod demand_tracker;
mod disputed_streams;
mod endpoint_choice;
mod endpoint_permits;
mod endpoint_probes;
mod endpoint_table;
mod endpoint_wait;
mod event_splitter;
mod gateway_metrics;
mod gateway_role;
mod known_versions;
mod link_log;
mod measured_choice;
mod memory_copies;
mod named_services;
mod prompt_guard;
mod prompt_sends;
mod rate_limits;
mod response_check;
mod response_flow;
mod response_timing;
mod return_times;
mod shutdown;
mod speed_reports;
mod stream_moves;
mod stream_origins;
mod token_waits;
mod zone_evacuations;

pub use call_codec::{
    CallCodec, CallTerms, CopyResponse, CopyTerms, ForwardTerms, MemoryCopy, ModelTerms,
    RefusalReason, ResponseTerms, TokenTerms,
};
pub use event_splitter::EventSplitter;
pub use gateway_role::{
    GatewayConfig, GatewayEvent, GatewayRole, CALLER_LISTENER, READINESS_LISTENER,
};
