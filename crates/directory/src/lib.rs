//! The distributed configuration as a reader holds it.
//!
//! Purpose: entries and agents keep a [`ConfigDirectory`] that
//! [`Update`](mulberrywell_wire::config::Update) frames bring forward, and
//! look up keys, grants, routes and endpoints in it.
//!
//! Guarantees: the version never falls; an update of another cluster, or one
//! that does not fit the held version, changes nothing; several parts of a whole
//! configuration come into force together.

mod config_directory;
mod endpoint_index;
mod key_digest;

pub use config_directory::{
    AccountName, ApplyOutcome, ConfigDirectory, ConfigVersion, EndpointName, KeyDigest, ModelName,
    PlanName, ServiceName,
};
pub use key_digest::digest_key;
