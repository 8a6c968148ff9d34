//! The serving configuration and the endpoints that serve it.
//!
//! Purpose: control verifies a [`ServingConfig`](mulberrywell_wire::serving::ServingConfig)
//! before it is put in force; entries look routes and keys up in an index of
//! it. Both hold the endpoints that registered in an [`EndpointBook`].
//!
//! Guarantees: the verifier reports every fault with its place; the version
//! that a [`ServingIndex`] holds never falls; an endpoint's older word never
//! replaces its newer one, and one that left does not come back within its
//! start.

mod config_verifier;
mod endpoint_registry;
mod serving_index;

pub use config_verifier::verify_config;
pub use mulberrywell_settings::Finding;

pub use endpoint_registry::{EndpointBook, EndpointId, MergeOutcome};
pub use serving_index::{KeyOwner, RouteMatch, ServingIndex};
