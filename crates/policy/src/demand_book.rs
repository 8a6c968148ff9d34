//! What callers ask for: rates by model, last uses of adapters, and what they wait
//! for.
//!
//! Algorithm: a rate is an average that decays exponentially with
//! [`DEMAND_TIME`]; a want counts for a while after it was last told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::placement_types::ModelName;

/// Time constant of the demand average.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Time for which a want counts after callers last told of it.
const WANT_LIFETIME: Duration = Duration::from_secs(1);

/// A model and an adapter of it; the adapter is empty for the model itself.
pub(crate) type AdapterKey = (ModelName, ModelName);

#[derive(Debug, Clone, Copy)]
struct DemandRate {
    /// Requests a second.
    rate: f64,
    noted: Instant,
}

/// The demand for one service's models.
#[derive(Debug, Default)]
pub(crate) struct DemandBook {
    rates: BTreeMap<ModelName, DemandRate>,
    /// When each adapter was last used.
    uses: BTreeMap<AdapterKey, Instant>,
    /// When callers last told that they wait.
    wants: BTreeMap<AdapterKey, Instant>,
}

impl DemandBook {
    /// Notes that callers wait for a model or an adapter.
    pub(crate) fn want(&mut self, now: Instant, model: ModelName, adapter: ModelName) {
        self.wants.insert((model, adapter), now);
    }

    /// Notes requests that callers made.
    pub(crate) fn note_use(
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
            .insert(model.clone(), DemandRate { rate, noted: now });
    }

    /// Drops wants that were told long ago.
    pub(crate) fn forget_old_wants(&mut self, now: Instant) {
        self.wants
            .retain(|_, told| now.saturating_duration_since(*told) < WANT_LIFETIME);
    }

    /// Returns the requests a second for a model.
    pub(crate) fn rate(&self, now: Instant, model: &ModelName) -> f64 {
        self.rates.get(model).map_or(0.0, |demand| {
            let elapsed = now.saturating_duration_since(demand.noted).as_secs_f64();
            demand.rate * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
        })
    }

    /// Returns when an adapter was last used.
    pub(crate) fn last_use(&self, key: &AdapterKey) -> Option<Instant> {
        self.uses.get(key).copied()
    }

    /// Tells whether callers wait for a model.
    pub(crate) fn is_wanted(&self, model: &ModelName) -> bool {
        self.wants.keys().any(|(wanted, _)| wanted == model)
    }

    /// Returns what callers wait for, models asked for most first.
    pub(crate) fn wants(&self, now: Instant) -> Vec<AdapterKey> {
        let mut wants: Vec<AdapterKey> = self.wants.keys().cloned().collect();
        wants.sort_by(|a, b| self.rate(now, &b.0).total_cmp(&self.rate(now, &a.0)));
        wants
    }
}
