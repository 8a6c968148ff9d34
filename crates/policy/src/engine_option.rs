//! What a model order on each engine would cost, computed once a plan.
//!
//! Algorithm: the replicas of all models are counted at the start of a plan. Each
//! order of the plan changes one count and the options of the engines that hold its
//! model, so that a plan stays linear in the engines.

use std::time::{Duration, Instant};

use crate::demand_placement::DemandPlacement;
use crate::demand_types::PlacementOrder;
use crate::engine_state::EngineState;
use crate::placement_types::ModelName;

/// Minimum time that a replica stays, so that two models do not evict each other in
/// turn.
const RESIDENCE_MIN: Duration = Duration::from_secs(4);

/// What a model order on an engine would cost.
#[derive(Debug, Clone)]
pub(crate) struct EngineOption {
    /// Free memory in MB.
    pub(crate) free_mb: u64,
    /// Requests per second for the models that the engine holds.
    pub(crate) load: f64,
    /// Model whose eviction costs least, with its pressure after the eviction.
    pub(crate) victim: Option<Victim>,
    /// The same without the last replicas of models with demand.
    pub(crate) spare_victim: Option<Victim>,
}

/// A model and its pressure after its eviction.
pub(crate) type Victim = (f64, ModelName);

impl DemandPlacement {
    /// Returns the usable engines that hold the model or were ordered to load it.
    pub(crate) fn replicas(&self, model: &ModelName) -> usize {
        self.replica_counts.get(model).copied().unwrap_or(0)
    }

    pub(crate) fn count_replicas(&mut self) {
        self.replica_counts.clear();
        self.loaded_counts.clear();
        let usable = self.engines.values().filter(|it| it.report.is_usable);
        for state in usable {
            for model in state.held_models() {
                if state.report.models.contains_key(&model) {
                    *self.loaded_counts.entry(model.clone()).or_default() += 1;
                }
                *self.replica_counts.entry(model).or_default() += 1;
            }
        }
    }

    /// Computes the options of all engines, or of those that hold `model`, whose
    /// number of replicas has changed.
    pub(crate) fn update_options(&mut self, now: Instant, model: Option<&ModelName>) {
        let mut options = std::mem::take(&mut self.options);
        if model.is_none() {
            options.clear();
        }
        for (endpoint, state) in &self.engines {
            let is_affected = model.is_none_or(|model| state.report.models.contains_key(model));
            if !is_affected {
                continue;
            }
            if state.can_accept_order() && !state.has_model_order() {
                let spare_victims = self.victims(now, state);
                let spare_victims = spare_victims.filter(|(_, model)| self.is_spare(now, model));
                let option = EngineOption {
                    free_mb: self.free_mb(state),
                    load: self.engine_load(now, state),
                    victim: cheapest(self.victims(now, state)),
                    spare_victim: cheapest(spare_victims),
                };
                options.insert(endpoint.clone(), option);
            } else {
                options.remove(endpoint);
            }
        }
        self.options = options;
    }

    /// Counts a replica whose load was ordered during a plan.
    pub(crate) fn insert_ordered_replica(&mut self, now: Instant, model: &ModelName) {
        *self.replica_counts.entry(model.clone()).or_default() += 1;
        self.update_options(now, Some(model));
    }

    /// Counts a replica as gone whose unload was ordered during a plan.
    pub(crate) fn remove_replica(&mut self, now: Instant, model: &ModelName) {
        for counts in [&mut self.replica_counts, &mut self.loaded_counts] {
            let count = counts.entry(model.clone()).or_default();
            *count = count.saturating_sub(1);
        }
        self.update_options(now, Some(model));
    }

    /// Returns whether callers of a model would have no engine without one of those
    /// that hold it.
    fn is_last_loaded(&self, model: &ModelName) -> bool {
        self.loaded_counts.get(model).copied().unwrap_or(0) <= 1
    }

    /// Returns an engine's load: the requests per second for the models it holds.
    pub(crate) fn engine_load(&self, now: Instant, state: &EngineState) -> f64 {
        let models = state.report.models.keys();
        let rates = models.map(|model| self.pressure(now, model, self.replicas(model).max(1)));
        rates.sum()
    }

    /// Returns the models that may be evicted from an engine.
    fn victims<'a>(
        &'a self,
        now: Instant,
        state: &'a EngineState,
    ) -> impl Iterator<Item = Victim> + 'a {
        let models = state.held_since.iter();
        let evictable = models
            .filter(move |(_, since)| now.saturating_duration_since(**since) >= RESIDENCE_MIN);
        evictable.map(move |(model, _)| {
            // A replica that is still loading serves no callers yet.
            let remaining = match self.is_last_loaded(model) {
                true => 0,
                false => self.replicas(model).saturating_sub(1),
            };
            (self.pressure(now, model, remaining), model.clone())
        })
    }

    fn is_spare(&self, now: Instant, model: &ModelName) -> bool {
        !self.is_last_loaded(model) || !self.has_demand(now, model)
    }

    pub(crate) fn free_mb(&self, state: &EngineState) -> u64 {
        let weight = |model: &ModelName| self.spec_of(model).map_or(0, |spec| spec.weight_mb);
        let adapter = |model: &ModelName| self.spec_of(model).map_or(0, |spec| spec.adapter_mb);
        let held = state.report.models.iter().map(|(model, adapters)| {
            let adapters = (adapters.len() as u64).saturating_mul(adapter(model));
            weight(model).saturating_add(adapters)
        });
        let unlisted = |order: &&PlacementOrder| !state.holds(&order.model, &order.adapter);
        let loads = state.loads().filter(unlisted).map(|order| {
            if order.adapter.is_empty() {
                weight(&order.model)
            } else {
                adapter(&order.model)
            }
        });
        let used = held.chain(loads).fold(0, u64::saturating_add);
        self.spec.memory_mb.saturating_sub(used)
    }
}

fn cheapest(victims: impl Iterator<Item = Victim>) -> Option<Victim> {
    victims.min_by(|a, b| a.0.total_cmp(&b.0))
}
