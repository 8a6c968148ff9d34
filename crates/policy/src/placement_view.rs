//! Working state of a plan: endpoints and models by dense index.
//!
//! Guarantees: `used_mib` is the total memory of the held models, and every
//! change goes through [`PlacementView::add`] and [`PlacementView::remove`],
//! which keep `replicas` consistent.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;

use crate::placement_types::{ModelName, PlacementInput, PlacementModel};

/// Index of a model in the input.
pub(crate) type ModelIndex = usize;

/// Index of an endpoint, as a host of models, in the input.
pub(crate) type HostIndex = usize;

/// A model in an endpoint's target set.
#[derive(Debug, Clone)]
pub(crate) struct HeldModel {
    pub model: ModelIndex,
    pub version: Bytes,
    /// When the model was added to the set.
    pub since: Instant,
    /// The agent reports that the model serves requests in `version`.
    pub resident: bool,
    /// Share of the model's demand, in busy slots.
    pub load: f64,
}

/// Planning state of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct HostView {
    /// Live and reported. The set of any other endpoint is not changed, and its
    /// replicas do not count.
    pub usable: bool,
    pub zone: u32,
    /// Busy slots up to which requests meet their latency target.
    pub limit: f64,
    /// At most the capacity, unless the capacity itself was reduced.
    pub used_mib: u64,
    /// Sum of the loads of `held`.
    pub load: f64,
    pub held: Vec<HeldModel>,
}

/// All endpoints and models of one plan.
#[derive(Debug, Default)]
pub(crate) struct PlacementView {
    pub hosts: Vec<HostView>,
    /// Usable endpoints with the model in their set, by model.
    pub replicas: Vec<Vec<HostIndex>>,
    /// Demand by model, in busy slots.
    pub demand: Vec<f64>,
    /// Endpoints by pool.
    pub pools: BTreeMap<Bytes, Vec<HostIndex>>,
    pub model_index: BTreeMap<ModelName, ModelIndex>,
    /// Adapters by base model.
    pub adapters: Vec<Vec<ModelIndex>>,
}

impl PlacementView {
    /// Clears the view and fills in everything that is derived from the input alone.
    pub fn reset(&mut self, input: &PlacementInput, slot_rate: f64, utilisation: f64) {
        self.reset_models(input, slot_rate);
        self.pools.clear();
        self.hosts
            .resize_with(input.endpoints.len(), HostView::default);
        let mut zones: BTreeMap<&Bytes, u32> = BTreeMap::new();
        for (idx, endpoint) in input.endpoints.iter().enumerate() {
            let next_zone = u32::try_from(zones.len()).unwrap_or(u32::MAX);
            let host = &mut self.hosts[idx];
            host.held.clear();
            host.zone = *zones.entry(&endpoint.zone).or_insert(next_zone);
            host.limit = f64::from(endpoint.slots) * utilisation;
            host.used_mib = 0;
            host.load = 0.0;
            host.usable = false;
            let pool = self.pools.entry(endpoint.pool.clone()).or_default();
            pool.push(idx);
        }
    }

    fn reset_models(&mut self, input: &PlacementInput, slot_rate: f64) {
        let count = input.models.len();
        self.model_index.clear();
        let entries = input.models.iter().enumerate();
        self.model_index
            .extend(entries.map(|(idx, model)| (model.name.clone(), idx)));
        self.replicas.resize_with(count, Vec::new);
        self.replicas.iter_mut().for_each(Vec::clear);
        self.adapters.resize_with(count, Vec::new);
        self.adapters.iter_mut().for_each(Vec::clear);
        for (idx, model) in input.models.iter().enumerate() {
            if let Some(base) = self.model_index.get(&model.base) {
                self.adapters[*base].push(idx);
            }
        }
        self.demand.clear();
        self.demand.resize(count, 0.0);
        for estimate in &input.demand {
            if let Some(idx) = self.model_index.get(&estimate.model) {
                self.demand[*idx] = estimate.tokens_per_second / slot_rate;
            }
        }
    }

    /// Returns a model's entry in an endpoint's set.
    pub fn held(&self, host: HostIndex, model: ModelIndex) -> Option<&HeldModel> {
        self.hosts[host]
            .held
            .iter()
            .find(|held| held.model == model)
    }

    /// Adds a model to an endpoint's set.
    pub fn add(&mut self, host: HostIndex, held: HeldModel, models: &[PlacementModel]) {
        let view = &mut self.hosts[host];
        view.used_mib += models[held.model].memory_mib;
        view.load += held.load;
        if view.usable {
            self.replicas[held.model].push(host);
        }
        view.held.push(held);
    }

    /// Removes a model from an endpoint's set.
    pub fn remove(&mut self, host: HostIndex, model: ModelIndex, models: &[PlacementModel]) {
        let view = &mut self.hosts[host];
        let Some(position) = view.held.iter().position(|held| held.model == model) else {
            return;
        };
        let held = view.held.swap_remove(position);
        view.used_mib -= models[model].memory_mib;
        view.load -= held.load;
        self.replicas[model].retain(|other| *other != host);
    }

    /// Counts the usable endpoints other than `except` at which a model serves
    /// requests.
    pub fn resident_elsewhere(&self, model: ModelIndex, except: HostIndex) -> usize {
        self.replicas[model]
            .iter()
            .filter(|host| **host != except)
            .filter(|host| self.held(**host, model).is_some_and(|held| held.resident))
            .count()
    }

    /// Returns whether a model has a replica in a zone other than `zone`.
    pub fn has_other_zone(&self, model: ModelIndex, zone: u32) -> bool {
        let mut hosts = self.replicas[model].iter();
        hosts.any(|host| self.hosts[*host].zone != zone)
    }

    /// Raises the limits of a pool's endpoints in proportion if the pool's total
    /// demand exceeds their sum, so that moves still balance an overloaded pool.
    pub fn raise_limits(&mut self, input: &PlacementInput) {
        for (pool, hosts) in &self.pools {
            let usable = hosts.iter().filter(|host| self.hosts[**host].usable);
            let limit: f64 = usable.map(|host| self.hosts[*host].limit).sum();
            let models = input.models.iter().zip(&self.demand);
            let demand: f64 = models.filter(|m| m.0.pool == *pool).map(|m| m.1).sum();
            let factor = demand / limit.max(1.0);
            if factor > 1.0 {
                for host in hosts {
                    self.hosts[*host].limit *= factor;
                }
            }
        }
    }

    /// Distributes each model's demand over its replicas by headroom.
    ///
    /// This is a Gauss-Seidel iteration: each model in turn uses the current loads
    /// of the others.
    pub fn spread_demand(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for model in 0..self.replicas.len() {
                self.spread_model(model);
            }
        }
    }

    /// Distributes one model's demand over its replicas.
    pub fn spread_model(&mut self, model: ModelIndex) {
        let replicas = std::mem::take(&mut self.replicas[model]);
        let mut total_headroom = 0.0;
        for host in &replicas {
            self.set_load(*host, model, 0.0);
            total_headroom += self.hosts[*host].headroom();
        }
        for host in &replicas {
            let share = self.hosts[*host].headroom() / total_headroom;
            self.set_load(*host, model, self.demand[model] * share);
        }
        self.replicas[model] = replicas;
    }

    fn set_load(&mut self, host: HostIndex, model: ModelIndex, load: f64) {
        let view = &mut self.hosts[host];
        if let Some(held) = view.held.iter_mut().find(|held| held.model == model) {
            view.load += load - held.load;
            held.load = load;
        }
    }
}

/// Minimum headroom, in slots, so that a full endpoint still gets a share.
const HEADROOM_MIN: f64 = 0.1;

impl HostView {
    /// Returns the number of busy slots below the limit.
    pub fn headroom(&self) -> f64 {
        (self.limit - self.load).max(HEADROOM_MIN)
    }

    /// Returns the number of busy slots above the limit.
    pub fn overload(&self) -> f64 {
        (self.limit - self.load).min(0.0).abs()
    }
}
