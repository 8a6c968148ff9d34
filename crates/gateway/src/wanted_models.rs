//! Models that calls found nowhere, as control is told of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::serving::{ServingDemand, WantedModel};

use crate::call_codec::ModelTerms;

/// Interval at which one want is told again while calls wait.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Wants that are remembered; a want is dropped once nobody waits.
const WANTS_MAX: usize = 1_024;

/// The wants of one instance.
#[derive(Debug, Default)]
pub struct WantedModels {
    /// When each was told last; none before that.
    told: BTreeMap<(Bytes, ModelTerms), Option<Instant>>,
}

impl WantedModels {
    /// Notes that a call waits for a model.
    pub fn note(&mut self, now: Instant, service: Bytes, model: ModelTerms) {
        if self.told.len() >= WANTS_MAX {
            self.told.clear();
        }
        let told = self.told.entry((service, model)).or_insert(None);
        if told.is_some_and(|at| now.saturating_duration_since(at) >= REPEAT_INTERVAL) {
            *told = None;
        }
    }

    /// Returns what control is to be told now, if anything.
    pub fn report(&mut self, now: Instant) -> Option<ServingDemand> {
        let mut wanted = Vec::new();
        for ((service, model), told) in &mut self.told {
            if told.is_none() {
                *told = Some(now);
                wanted.push(WantedModel {
                    service: service.clone(),
                    model: model.model.clone(),
                    adapter: model.adapter.clone(),
                });
            }
        }
        let demand = ServingDemand {
            wanted,
            shares: Vec::new(),
        };
        (!demand.wanted.is_empty()).then_some(demand)
    }

    /// Forgets wants that were told long ago.
    pub fn tick(&mut self, now: Instant) {
        self.told.retain(|_, told| {
            told.is_none_or(|at| now.saturating_duration_since(at) < 2 * REPEAT_INTERVAL)
        });
    }
}
