//! The control role: the replicated state of the cluster and the operator API.
//!
//! Purpose: control instances replicate the lists, keys, operators, endpoints,
//! members and claims through a consensus log, distribute the configuration to
//! entries by version, and serve operators.
//!
//! Guarantees: an accepted change is committed by a quorum and never reverted.
//! Decisions reserved for the leader are made only after a quorum has confirmed
//! its leadership. An instance cut off from the quorum refuses requests
//! immediately.

mod audit_trail;
mod change_history;
mod claim_table;
mod client_frames;
mod client_links;
mod cluster_state;
mod cold_endpoints;
mod command_outcome;
mod control_event;
mod control_role;
mod control_shutdown;
mod dedup_table;
mod ended_endpoints;
mod endpoint_change;
mod endpoint_chart;
mod endpoint_frames;
mod endpoint_monitor;
mod endpoint_permits;
mod engine_reports;
mod evacuation_calls;
mod evacuation_table;
mod evacuation_view;
mod lease_issuer;
mod load_tracker;
mod member_driver;
mod member_listing;
mod member_status;
mod node_outputs;
mod observed_state;
mod operator_api;
mod operator_calls;
mod order_dispatcher;
mod outrun_endpoints;
mod peer_frames;
mod peer_links;
mod placement_task;
mod prompt_monitor;
mod proposal_table;
mod rate_counter;
mod read_rounds;
mod relay_table;
mod send_tracker;
mod serving_calls;
mod serving_registry;
mod speed_tracker;
mod state_snapshot;
mod state_summary;
mod stream_queries;
mod stream_registry;
mod subscriber_table;
mod update_builder;
mod update_frames;

pub use audit_trail::{AuditEntry, AuditTrail};
pub use change_history::{ChangeHistory, ItemRef};
pub use claim_table::ClaimTable;
pub use cluster_state::{ClusterState, EndpointRecord};
pub use command_outcome::{CommandOutcome, EditConflict};
pub use control_event::{ControlAction, ControlEvent};
pub use control_role::{ControlConfig, ControlRole};
pub use dedup_table::DedupTable;
pub use endpoint_chart::{EndpointChart, EndpointEvent, EndpointPhase};
pub use observed_state::{ModelRate, ObservedDemand, ObservedEndpoint, ObservedState};
pub use order_dispatcher::{EngineOrder, EngineQuery};
pub use serving_calls::{ServingAnswer, ServingCall};
pub use update_builder::updates_since;
