//! A reader's replica of the distributed configuration.
//!
//! Purpose: entries and agents apply [`Update`](mulberrywell_wire::config::Update)
//! frames to a [`ConfigDirectory`] and look up keys, grants, routes and
//! endpoints in it.
//!
//! Guarantees: the version never decreases; an update of another cluster, one that
//! is not newer than the version in force, or a delta with another base does not
//! change the configuration in force; the parts of a full configuration are put in
//! force together.

mod config_directory;
mod endpoint_index;
mod key_digest;

pub use config_directory::{
    AccountName, ApplyOutcome, ConfigDirectory, ConfigVersion, EndpointName, KeyDigest, ModelName,
    PlanName, ServiceName,
};
pub use key_digest::digest_key;
