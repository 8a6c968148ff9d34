//! The control role: the cluster's replicated state and its operators.
//!
//! Purpose: applies committed commands to the [`ClusterState`], answers
//! operators, registers endpoints and distributes the configuration.
//!
//! Guarantees: the state changes only by committed commands, in the order of
//! the log; equal logs give equal states; an operator's answer is given only
//! after the command that it reports was committed and applied.

mod audit_trail;
mod cluster_state;
mod control_role;
mod operator_api;
mod update_builder;

pub use audit_trail::AuditEntry;
pub use cluster_state::{ClusterState, CommandOutcome, EditConflict};
pub use control_role::{ControlAction, ControlConfig, ControlEvent, ControlRole};
