//! What calls ask for, as control is told of it.
//!
//! Algorithm: models that calls found nowhere are told at once and again while
//! calls wait; requests are counted and told at an interval.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::serving::{DemandShare, ServingDemand, WantedModel};

use crate::call_codec::ModelTerms;

/// Interval at which one want is told again while calls wait.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which requests are told.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Wants that are remembered; a want is dropped once nobody waits.
const WANTS_MAX: usize = 1_024;

/// The wants of one instance.
#[derive(Debug, Default)]
pub struct WantedModels {
    /// When each was told last; none before that.
    told: BTreeMap<(Bytes, ModelTerms), Option<Instant>>,
    /// Requests since the last report.
    shares: BTreeMap<(Bytes, ModelTerms), u64>,
    /// When requests were told last.
    shares_told: Option<Instant>,
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

    /// Counts a request.
    pub fn count(&mut self, service: Bytes, model: ModelTerms) {
        *self.shares.entry((service, model)).or_default() += 1;
    }

    fn take_shares(&mut self, now: Instant) -> Vec<DemandShare> {
        let told = self.shares_told;
        if told.is_some_and(|at| now.saturating_duration_since(at) < SHARE_INTERVAL) {
            return Vec::new();
        }
        self.shares_told = Some(now);
        let shares = std::mem::take(&mut self.shares).into_iter();
        let shares = shares.map(|((service, model), requests)| DemandShare {
            service,
            model: model.model,
            adapter: model.adapter,
            requests,
        });
        shares.collect()
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
        let shares = self.take_shares(now);
        let is_news = !wanted.is_empty() || !shares.is_empty();
        is_news.then_some(ServingDemand { wanted, shares })
    }

    /// Forgets wants that were told long ago.
    pub fn tick(&mut self, now: Instant) {
        self.told.retain(|_, told| {
            told.is_none_or(|at| now.saturating_duration_since(at) < 2 * REPEAT_INTERVAL)
        });
    }
}
