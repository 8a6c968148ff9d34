//! The entry role: accepts callers' requests and runs them as attempts at
//! endpoints.
//!
//! Purpose: finds the client account of a request's key, checks grants and
//! limits, chooses an endpoint, runs attempts through its agent and forwards
//! the response.
//!
//! Guarantees: a request runs only for the client account of its key; the key
//! is not forwarded beyond this role; a response contains only frames of
//! attempts that were current for its request when the frames arrived; each
//! response states whether the request ran.

mod admission;
mod agent_links;
mod attempt_responses;
mod attempts;
mod call_stage;
mod call_table;
mod caller_key;
mod caller_route;
mod claims;
mod completion_fields;
mod config_link;
mod demand_counter;
mod endpoint_pool;
mod entry_role;
mod event_stream;
mod http_response;
mod prompt_guard;
mod token_leases;

pub use call_stage::{call_chart, CallChart, CallEvent, CallStage};
pub use caller_key::{strip_key, KeyError, StrippedRequest};
pub use caller_route::{CallerRoute, RouteError};
pub use completion_fields::CompletionFields;
pub use entry_role::{EntryAction, EntryConfig, EntryEvent, EntryRole};
pub use event_stream::EventStream;
