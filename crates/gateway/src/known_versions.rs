//! The software versions of each service that are in control's replicated log.
//!
//! A stream begins only at an endpoint whose version is one of them. Control names a
//! version as the only one of a service if the log has no other; a stream at a version
//! that the log lacks, as control is partitioned, would be resumed at that version.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_wire::serving::ServiceSoftware;

/// The latest list of versions.
#[derive(Debug, Default)]
pub struct KnownVersions {
    /// Cluster, and index in its log, of the list; zeros before the first one.
    list_version: (u64, u64),
    services: BTreeMap<Bytes, BTreeSet<Bytes>>,
}

impl KnownVersions {
    /// Returns the cluster of the list and the index in its log.
    pub fn list_version(&self) -> (u64, u64) {
        self.list_version
    }

    /// Replaces the list by a later one; returns whether that changed it.
    pub fn apply(&mut self, list_version: (u64, u64), list: Vec<ServiceSoftware>) -> bool {
        let services = list.into_iter();
        let services = services.map(|it| (it.service, it.versions.into_iter().collect()));
        let services = services.collect();
        self.list_version = list_version;
        let before = std::mem::replace(&mut self.services, services);
        before != self.services
    }

    /// Returns whether streams may begin at a version of a service. Without a list they
    /// may at any, as control instances of older versions send none.
    pub fn contains(&self, service: &Bytes, software: &Bytes) -> bool {
        let versions = self.services.get(service);
        self.services.is_empty() || versions.is_some_and(|it| it.contains(software))
    }
}
