//! The entry role: callers' requests in, attempts at endpoints out.
//!
//! Purpose: finds the client account of a request's key, checks grants and
//! limits, chooses an endpoint, runs attempts through its agent and passes the
//! answer on.
//!
//! Guarantees: a request runs only for the client account of its key; the key
//! goes no further than this role; an answer contains only frames of the
//! attempt that is current for its request; each answer says whether the
//! request ran.

mod admission;
mod agent_links;
mod answers;
mod attempts;
mod body_sketch;
mod call_stage;
mod call_table;
mod caller_key;
mod caller_route;
mod claims;
mod config_link;
mod demand_book;
mod endpoint_pool;
mod entry_role;
mod event_stream;
mod http_answer;
mod token_leases;

pub use body_sketch::BodySketch;
pub use call_stage::{call_chart, CallChart, CallEvent, CallStage};
pub use caller_key::{strip_key, KeyError, StrippedRequest};
pub use caller_route::{CallerRoute, RouteError};
pub use entry_role::{EntryAction, EntryConfig, EntryEvent, EntryRole};
pub use event_stream::EventStream;
