//! Tracks how often prompts with the same shared parts are requested.
//!
//! Algorithm: a count for each prefix that decays exponentially, so that it gives a rate.
//! The number of prefixes is bounded; the one with the lowest rate makes room.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time in which a count decays to a fraction of 1/e.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Maximum number of prefixes.
const PREFIXES_MAX: usize = 1_024;

/// Requests by prefix.
#[derive(Debug, Default)]
pub struct PrefixDemand {
    /// Count and when it was last updated, by the chain hash of the shared parts.
    counts: BTreeMap<u64, (f64, Instant)>,
}

impl PrefixDemand {
    /// Records requests with a prefix.
    pub fn record(&mut self, now: Instant, prefix: u64, requests: u32) {
        let count = self.decayed(now, prefix) + f64::from(requests);
        if self.counts.len() >= PREFIXES_MAX && !self.counts.contains_key(&prefix) {
            self.remove_lowest(now);
        }
        self.counts.insert(prefix, (count, now));
    }

    /// Returns the requests per second with a prefix.
    pub fn per_second(&self, now: Instant, prefix: u64) -> f64 {
        self.decayed(now, prefix) / DECAY_TIME.as_secs_f64()
    }

    fn decayed(&self, now: Instant, prefix: u64) -> f64 {
        let entry = self.counts.get(&prefix);
        entry.map_or(0.0, |(count, at)| count * decay(now, *at))
    }

    fn remove_lowest(&mut self, now: Instant) {
        let decayed = |(count, at): &(f64, Instant)| count * decay(now, *at);
        let lowest = self
            .counts
            .iter()
            .min_by(|(_, a), (_, b)| decayed(a).total_cmp(&decayed(b)))
            .map(|(prefix, _)| *prefix);
        if let Some(prefix) = lowest {
            self.counts.remove(&prefix);
        }
    }
}

fn decay(now: Instant, at: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}
