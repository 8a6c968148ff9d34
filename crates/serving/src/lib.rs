//! The serving configuration and the endpoints that serve it.
//!
//! Purpose: control verifies a [`ServingConfig`](mulberrywell_wire::serving::ServingConfig)
//! before it is put in force; gateways look up routes and keys in a
//! [`ServingIndex`] of it. Both store the registered endpoints in an
//! [`EndpointRegistry`], those that are cold in [`ColdEndpoints`], and the versions that
//! began streams in an [`OriginTable`].
//!
//! Guarantees: the verifier reports every fault with the item that has it; the
//! version of a [`ServingIndex`] never decreases; an older status of an endpoint
//! never replaces a newer one, and an endpoint that has gone does not return
//! before it is restarted.

mod cold_endpoints;
mod config_verifier;
mod endpoint_registry;
mod origin_table;
mod route_urgency;
mod serving_index;
mod status_verifier;
mod unnamed_statuses;

pub use cold_endpoints::{ColdChange, ColdEndpoints, COLD_REPORT_MAX};
pub use config_verifier::verify_config;
pub use mulberrywell_settings::Finding;

pub use endpoint_registry::{
    EndpointId, EndpointRegistry, MergeOutcome, ServiceChange, UnnamedKey, STATUS_MEMORY_DEFAULT,
};
pub use origin_table::{OriginTable, ServiceVersion, StreamKey, ORIGINS_MAX};
pub use serving_index::{KeyOwner, RouteMatch, ServingIndex};
pub use status_verifier::{verify_status, StatusFault};
