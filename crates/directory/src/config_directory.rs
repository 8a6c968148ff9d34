//! Maps of the configuration's items, to which updates are applied.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_wire::config::{
    AccountItem, EndpointItem, GrantItem, ItemKind, KeyItem, ModelItem, PlanItem, Removal,
    RouteItem, ServiceItem, Update,
};

use crate::endpoint_index::EndpointIndex;

/// Name of a client account.
pub type AccountName = Bytes;
/// Name of a plan.
pub type PlanName = Bytes;
/// Name of a model or adapter.
pub type ModelName = Bytes;
/// Name of a plain service.
pub type ServiceName = Bytes;
/// Name of an endpoint.
pub type EndpointName = Bytes;
/// SHA-256 of a key.
pub type KeyDigest = Bytes;
/// Version of the configuration.
pub type ConfigVersion = u64;

/// Result of applying an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The update's version is in force.
    Applied,
    /// The part is stored; further parts of the full configuration follow.
    Partial,
    /// The directory already has this version or a later one.
    Stale,
    /// The update's base is not the version in force; the reader must subscribe
    /// again.
    Gap,
    /// The update is of another cluster; its sender must not be trusted.
    Foreign,
}

/// The configuration at one version.
#[derive(Debug, Clone, Default)]
pub struct ConfigDirectory {
    /// Cluster that issued `version`; 0 before the first update.
    cluster: u64,
    /// Never decreases while `cluster` stays the same.
    version: ConfigVersion,
    items: ItemMaps,
    /// Parts of a full configuration that are not in force yet.
    pending: Option<PendingParts>,
}

/// The parts of one full configuration that were received so far.
#[derive(Debug, Clone)]
struct PendingParts {
    cluster: u64,
    version: ConfigVersion,
    items: ItemMaps,
}

/// All items by name.
#[derive(Debug, Clone, Default, PartialEq)]
struct ItemMaps {
    plans: BTreeMap<PlanName, PlanItem>,
    accounts: BTreeMap<AccountName, AccountItem>,
    keys: BTreeMap<KeyDigest, KeyItem>,
    models: BTreeMap<ModelName, ModelItem>,
    services: BTreeMap<ServiceName, ServiceItem>,
    grants: BTreeMap<PlanName, GrantItem>,
    endpoints: BTreeMap<EndpointName, EndpointItem>,
    /// Index of exactly the items of `endpoints`.
    endpoint_index: EndpointIndex,
}

impl ConfigDirectory {
    /// Returns the version in force; 0 before the first update.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the cluster that issued the version; 0 before the first update.
    pub fn cluster(&self) -> u64 {
        self.cluster
    }

    /// Applies one update.
    pub fn apply(&mut self, update: &Update) -> ApplyOutcome {
        let same = self.cluster == update.cluster;
        if !same && self.cluster != 0 {
            self.pending = None;
            return ApplyOutcome::Foreign;
        }
        if same && update.version <= self.version && self.version != 0 {
            self.pending = None;
            return ApplyOutcome::Stale;
        }
        if update.whole {
            return self.apply_part(update);
        }
        if !same || update.base != self.version {
            return ApplyOutcome::Gap;
        }
        self.items.merge(update);
        self.version = update.version;
        ApplyOutcome::Applied
    }

    fn apply_part(&mut self, update: &Update) -> ApplyOutcome {
        let earlier = self.pending.take();
        let same = |parts: &PendingParts| {
            parts.cluster == update.cluster && parts.version == update.version
        };
        let mut items = earlier
            .filter(same)
            .map_or_else(ItemMaps::default, |parts| parts.items);
        items.merge(update);
        if update.more {
            self.pending = Some(PendingParts {
                cluster: update.cluster,
                version: update.version,
                items,
            });
            return ApplyOutcome::Partial;
        }
        self.items = items;
        self.version = update.version;
        self.cluster = update.cluster;
        ApplyOutcome::Applied
    }

    /// Returns the client account of a key.
    pub fn account_of_key(&self, digest: &KeyDigest) -> Option<&AccountItem> {
        let key = self.items.keys.get(digest)?;
        self.items.accounts.get(&key.account)
    }

    /// Returns the client account with this name.
    pub fn account(&self, name: &AccountName) -> Option<&AccountItem> {
        self.items.accounts.get(name)
    }

    /// Returns the plan of a client account.
    pub fn plan_of(&self, account: &AccountItem) -> Option<&PlanItem> {
        self.items.plans.get(&account.plan)
    }

    /// Returns the models that a plan may use.
    pub fn granted_models(&self, plan: &PlanName) -> &[ModelName] {
        self.items
            .grants
            .get(plan)
            .map_or(&[], |grant| grant.models.as_slice())
    }

    /// Returns whether a plan may use a service.
    pub fn grants_service(&self, plan: &PlanName, service: &ServiceName) -> bool {
        self.items
            .grants
            .get(plan)
            .is_some_and(|grant| grant.services.contains(service))
    }

    /// Returns the model or adapter with this name.
    pub fn model(&self, name: &ModelName) -> Option<&ModelItem> {
        self.items.models.get(name)
    }

    /// Returns all models in the order of their names.
    pub fn models(&self) -> impl Iterator<Item = &ModelItem> {
        self.items.models.values()
    }

    /// Returns whether the configuration has a service.
    pub fn has_service(&self, name: &ServiceName) -> bool {
        self.items.services.contains_key(name)
    }

    /// Returns the route of a call: the one with its method and the longest
    /// matching path prefix.
    pub fn route(&self, service: &ServiceName, method: &[u8], path: &[u8]) -> Option<&RouteItem> {
        let service = self.items.services.get(service)?;
        service
            .routes
            .iter()
            .filter(|route| route.method == method && has_prefix(path, &route.path))
            .max_by_key(|route| route.path.len())
    }

    /// Returns the endpoint with this name.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&EndpointItem> {
        self.items.endpoints.get(name)
    }

    /// Returns the engines that have a model resident, ordered by name.
    pub fn endpoints_of_model(&self, model: &ModelName) -> impl Iterator<Item = &EndpointItem> {
        let names = self.items.endpoint_index.endpoints_of_model(model);
        names.filter_map(|name| self.items.endpoints.get(name))
    }

    /// Returns the endpoints of a plain service, ordered by name.
    pub fn endpoints_of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &EndpointItem> {
        let names = self.items.endpoint_index.endpoints_of_service(service);
        names.filter_map(|name| self.items.endpoints.get(name))
    }

    /// Returns all endpoints in the order of their names.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointItem> {
        self.items.endpoints.values()
    }
}

impl ItemMaps {
    fn merge(&mut self, update: &Update) {
        for removal in &update.removals {
            self.remove(removal);
        }
        insert(&mut self.plans, &update.plans, |item| &item.name);
        insert(&mut self.accounts, &update.accounts, |item| &item.name);
        insert(&mut self.keys, &update.keys, |item| &item.digest);
        insert(&mut self.models, &update.models, |item| &item.name);
        insert(&mut self.services, &update.services, |item| &item.name);
        insert(&mut self.grants, &update.grants, |item| &item.plan);
        for endpoint in &update.endpoints {
            self.insert_endpoint(endpoint);
        }
    }

    fn insert_endpoint(&mut self, endpoint: &EndpointItem) {
        self.remove_endpoint(&endpoint.name);
        self.endpoint_index.insert(endpoint);
        self.endpoints
            .insert(endpoint.name.clone(), endpoint.clone());
    }

    fn remove_endpoint(&mut self, name: &EndpointName) {
        if let Some(endpoint) = self.endpoints.remove(name) {
            self.endpoint_index.remove(&endpoint);
        }
    }

    fn remove(&mut self, removal: &Removal) {
        let name = &removal.name;
        match removal.kind() {
            ItemKind::Plan => drop(self.plans.remove(name)),
            ItemKind::Account => drop(self.accounts.remove(name)),
            ItemKind::Key => drop(self.keys.remove(name)),
            ItemKind::Model => drop(self.models.remove(name)),
            ItemKind::Service => drop(self.services.remove(name)),
            ItemKind::Grant => drop(self.grants.remove(name)),
            ItemKind::Endpoint => self.remove_endpoint(name),
            ItemKind::Unspecified => {}
        }
    }
}

fn insert<T: Clone>(map: &mut BTreeMap<Bytes, T>, items: &[T], name: impl Fn(&T) -> &Bytes) {
    for item in items {
        map.insert(name(item).clone(), item.clone());
    }
}

/// Returns whether `path` is `prefix` or lies below it.
fn has_prefix(path: &[u8], prefix: &[u8]) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with(b"/") || rest.starts_with(b"/") || rest.starts_with(b"?")
}
