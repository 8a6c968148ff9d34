//! Look-ups in a serving configuration.
//!
//! Algorithm: routes are stored by host in descending order of the lengths of
//! their prefixes, so that the first match is the longest; keys are stored by
//! their digest.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_wire::serving::{ServingAccount, ServingConfig, ServingRoute, ServingService};

use crate::route_urgency::RouteUrgency;

/// Owner of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOwner<'a> {
    /// The configuration has no accounts, so no key is required.
    NoAccounts,
    /// The account that the key belongs to.
    Account(&'a ServingAccount),
    /// The key is missing or belongs to no account.
    Unknown,
}

/// A route and its index in the configuration.
pub type RouteMatch<'a> = (usize, &'a ServingRoute);

/// The configuration in force and its look-up tables.
#[derive(Debug, Default)]
pub struct ServingIndex {
    config: ServingConfig,
    /// Indexes of a host's routes, longest prefix first.
    hosts: BTreeMap<Bytes, Vec<usize>>,
    /// Indexes of accounts by the digests of their keys.
    keys: BTreeMap<Bytes, usize>,
    services: BTreeMap<Bytes, usize>,
    urgency: RouteUrgency,
}

impl ServingIndex {
    /// Puts a configuration in force if its version is higher; returns whether it
    /// is.
    pub fn apply(&mut self, config: ServingConfig) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        *self = ServingIndex::build(config);
        true
    }

    fn build(config: ServingConfig) -> Self {
        let mut hosts: BTreeMap<Bytes, Vec<usize>> = BTreeMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in hosts.values_mut() {
            let len = |index: &usize| config.routes[*index].path_prefix.len();
            indexes.sort_by_key(|index| std::cmp::Reverse(len(index)));
        }
        let mut keys = BTreeMap::new();
        for (index, account) in config.accounts.iter().enumerate() {
            keys.extend(account.keys.iter().map(|key| (digest_key(key), index)));
        }
        let services = config.services.iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        ServingIndex {
            hosts,
            keys,
            services,
            urgency: RouteUrgency::of(&config),
            config,
        }
    }

    /// Returns the version in force; 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Returns the route with the longest prefix that matches the path; the
    /// query is ignored.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<RouteMatch<'_>> {
        let path = path.split(|byte| *byte == b'?').next().unwrap_or_default();
        let mut indexes = self.hosts.get(host)?.iter();
        let index =
            *indexes.find(|index| path.starts_with(&self.config.routes[**index].path_prefix))?;
        Some((index, &self.config.routes[index]))
    }

    /// Returns the owner of a key.
    pub fn owner(&self, key: Option<&Bytes>) -> KeyOwner<'_> {
        if self.config.accounts.is_empty() {
            return KeyOwner::NoAccounts;
        }
        let index = key.and_then(|key| self.keys.get(&digest_key(key)));
        match index {
            Some(index) => KeyOwner::Account(&self.config.accounts[*index]),
            None => KeyOwner::Unknown,
        }
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &Bytes) -> Option<&ServingService> {
        let index = self.services.get(name)?;
        self.config.services.get(*index)
    }

    /// Returns whether the work of a route can yield to urgent work of the same service: a
    /// route with a lower priority number has an objective that is at most a quarter of its.
    pub fn is_deferrable(&self, route: &ServingRoute) -> bool {
        self.urgency.is_deferrable(route)
    }

    /// Returns whether a service has deferrable routes.
    pub fn has_deferrable(&self, service: &Bytes) -> bool {
        self.urgency.has_deferrable(service)
    }

    /// Returns the tightest objective in milliseconds of the routes of a service that are
    /// more urgent than a priority.
    pub fn urgent_objective(&self, service: &Bytes, priority: u32) -> Option<u64> {
        self.urgency.urgent_objective(service, priority)
    }
}
