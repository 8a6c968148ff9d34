//! Tracks what callers ask for: request rates by model, last uses of adapters, and
//! the models and adapters that they wait for.
//!
//! Algorithm: a rate is an average that decays exponentially with
//! [`DEMAND_TIME`]; a model or adapter counts as awaited for
//! [`AWAITED_LIFETIME`] after the last report that callers wait for it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::placement_types::{ModelName, SoftwareName};

/// Time constant of the request rate average.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Time for which a model or adapter counts as awaited after the last report that
/// callers wait for it.
const AWAITED_LIFETIME: Duration = Duration::from_secs(1);

/// A model and an adapter of it; the adapter is empty for the model itself.
pub(crate) type AdapterKey = (ModelName, ModelName);

/// What callers wait for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AwaitedModel {
    pub(crate) model: ModelName,
    /// Empty for the model itself.
    pub(crate) adapter: ModelName,
    /// The only software version of engines that will do; none if any does.
    pub(crate) software: Option<SoftwareName>,
}

#[derive(Debug, Clone, Copy)]
struct DemandRate {
    /// Requests per second.
    rate: f64,
    updated: Instant,
}

/// The demand for one service's models.
#[derive(Debug, Default)]
pub(crate) struct DemandTracker {
    rates: BTreeMap<ModelName, DemandRate>,
    /// When each adapter was last used.
    uses: BTreeMap<AdapterKey, Instant>,
    /// When callers were last reported to wait.
    awaited: BTreeMap<AwaitedModel, Instant>,
}

impl DemandTracker {
    /// Records that callers wait for a model or an adapter.
    pub(crate) fn record_awaited(&mut self, now: Instant, awaited: AwaitedModel) {
        self.awaited.insert(awaited, now);
    }

    /// Records requests for a model or an adapter.
    pub(crate) fn record_requests(
        &mut self,
        now: Instant,
        model: &ModelName,
        adapter: &ModelName,
        requests: u64,
    ) {
        if !adapter.is_empty() {
            self.uses.insert((model.clone(), adapter.clone()), now);
        }
        let rate = self.rate(now, model) + requests as f64 / DEMAND_TIME.as_secs_f64();
        self.rates
            .insert(model.clone(), DemandRate { rate, updated: now });
    }

    /// Removes what callers have not been reported to wait for within
    /// [`AWAITED_LIFETIME`].
    pub(crate) fn remove_expired_awaited(&mut self, now: Instant) {
        self.awaited
            .retain(|_, at| now.saturating_duration_since(*at) < AWAITED_LIFETIME);
    }

    /// Returns the requests per second for a model.
    pub(crate) fn rate(&self, now: Instant, model: &ModelName) -> f64 {
        self.rates.get(model).map_or(0.0, |demand| {
            let elapsed = now.saturating_duration_since(demand.updated).as_secs_f64();
            demand.rate * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
        })
    }

    /// Returns when an adapter was last used.
    pub(crate) fn last_use(&self, key: &AdapterKey) -> Option<Instant> {
        self.uses.get(key).copied()
    }

    /// Returns whether callers wait for a model or one of its adapters.
    pub(crate) fn is_awaited(&self, model: &ModelName) -> bool {
        self.awaited.keys().any(|awaited| awaited.model == *model)
    }

    /// Returns what callers wait for, models with the highest request rate first.
    pub(crate) fn awaited_by_rate(&self, now: Instant) -> Vec<AwaitedModel> {
        let mut keys: Vec<AwaitedModel> = self.awaited.keys().cloned().collect();
        keys.sort_by(|a, b| {
            self.rate(now, &b.model)
                .total_cmp(&self.rate(now, &a.model))
        });
        keys
    }
}
