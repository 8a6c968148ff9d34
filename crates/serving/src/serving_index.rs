//! Look-ups in a serving configuration.
//!
//! Algorithm: routes are kept by host in falling order of their prefixes'
//! lengths, so that the first that fits is the longest; keys by their digest.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_wire::serving::{ServingAccount, ServingConfig, ServingRoute, ServingService};

/// Whose a key is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOwner<'a> {
    /// The configuration holds no accounts, so no key is asked for.
    Open,
    /// This account's.
    Account(&'a ServingAccount),
    /// No account's.
    Nobody,
}

/// A route and its place in the configuration.
pub type RouteMatch<'a> = (usize, &'a ServingRoute);

/// A configuration in force.
#[derive(Debug, Default)]
pub struct ServingIndex {
    config: ServingConfig,
    /// Places of a host's routes, longest prefix first.
    hosts: BTreeMap<Bytes, Vec<usize>>,
    /// Places of accounts by the digests of their keys.
    keys: BTreeMap<Bytes, usize>,
    services: BTreeMap<Bytes, usize>,
}

impl ServingIndex {
    /// Puts a configuration in force if its version is higher.
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
            config,
        }
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the configuration.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// Returns the route with the longest prefix of the path, without its
    /// query.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<RouteMatch<'_>> {
        let path = path.split(|byte| *byte == b'?').next().unwrap_or_default();
        let mut indexes = self.hosts.get(host)?.iter();
        let index =
            *indexes.find(|index| path.starts_with(&self.config.routes[**index].path_prefix))?;
        Some((index, &self.config.routes[index]))
    }

    /// Returns whose a key is.
    pub fn owner(&self, key: Option<&Bytes>) -> KeyOwner<'_> {
        if self.config.accounts.is_empty() {
            return KeyOwner::Open;
        }
        let index = key.and_then(|key| self.keys.get(&digest_key(key)));
        match index {
            Some(index) => KeyOwner::Account(&self.config.accounts[*index]),
            None => KeyOwner::Nobody,
        }
    }

    /// Returns a service.
    pub fn service(&self, name: &Bytes) -> Option<&ServingService> {
        let index = self.services.get(name)?;
        self.config.services.get(*index)
    }
}
