//! Hosts the roles: actors, links, HTTP, files, logs and metrics.
//!
//! Purpose: runs each role's state machine as one actor on the process's
//! stakker thread; everything that blocks lives on threads that talk with it
//! through bounded channels.
//!
//! Guarantees: no queue is without a bound: a full one refuses or closes; a
//! link that stays silent is closed within [`link_table::SILENCE_MAX`]; a
//! fault of one caller, link or endpoint ends only that one.

mod caller_table;
mod descriptor_limit;
mod engine_client;
mod event_sender;
mod exchange_table;
mod front_proxy;
pub mod head_check;
mod http_driver;
mod http_refusal;
mod http_server;
mod http_socket;
mod http_writer;
mod link_socket;
pub mod link_table;
mod log_output;
mod log_writer;
mod metric_output;
mod metric_text;
mod process;
mod proxy_connection;
mod role_host;
mod start_tracker;

pub use log_output::open_log;
pub use process::{serve, serve_agent, ServingInterface};
