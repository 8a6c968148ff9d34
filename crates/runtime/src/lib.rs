//! Hosts the roles: actors, links, HTTP, files, logs and metrics.
//!
//! Purpose: runs each role's state machine as one actor on the process's
//! stakker thread; blocking work runs on separate threads that exchange
//! messages with the actor over bounded channels.
//!
//! Guarantees: every queue is bounded, and a full queue rejects the message or
//! closes the connection; a link that receives no data is closed after
//! [`link_table::LINK_TIMEOUT`]; a failure of one caller, link or endpoint
//! affects only that one.

mod body_segments;
mod budget_log;
pub mod caller_budget;
pub mod caller_table;
mod descriptor_limit;
pub mod endpoint_connector;
pub mod engine_client;
pub mod event_sender;
pub mod exchange_table;
mod front_proxy;
pub mod head_check;
mod held_memory;
pub mod http_driver;
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
mod open_ports;
mod process;
mod proxy_connection;
mod proxy_io;
mod role_host;
mod start_tracker;

pub use log_output::open_log;
pub use process::{serve, serve_agent, ServingInterface};
