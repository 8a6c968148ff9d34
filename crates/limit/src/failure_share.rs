//! Share of an endpoint's recent answers that were failures.
//!
//! Purpose: detects an endpoint that fails only some of its requests. It rarely
//! fails several in a row, so a [`CircuitBreaker`](crate::CircuitBreaker) stays
//! closed.
//!
//! Algorithm: failures and successes are counted with weights that decay with
//! the time constant [`DECAY_TIME`]. One success is added to the counts, so that
//! a single failure alone weighs less than a history of failures.

use std::time::{Duration, Instant};

/// Time constant of the weights; spans several answers of an endpoint that
/// receives one request per second.
const DECAY_TIME: Duration = Duration::from_secs(8);

/// Share above which an endpoint counts as faulty: ten times the share of a
/// healthy endpoint.
const FAULTY_SHARE: f64 = 0.25;

/// Successes added to the recorded ones.
const PRIOR_SUCCESSES: f64 = 1.0;

/// Decaying counts of outcomes.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureShare {
    failures: f64,
    successes: f64,
    /// Instant to which the counts have decayed; none before the first outcome.
    updated: Option<Instant>,
}

impl FailureShare {
    /// Records an outcome.
    pub fn record(&mut self, now: Instant, failed: bool) {
        let decay = self.decay_factor(now);
        self.failures *= decay;
        self.successes *= decay;
        self.updated = Some(now);
        if failed {
            self.failures += 1.0;
        } else {
            self.successes += 1.0;
        }
    }

    /// Returns whether the share of failures is above that of a healthy endpoint.
    pub fn is_faulty(&self, now: Instant) -> bool {
        let decay = self.decay_factor(now);
        let failures = self.failures * decay;
        let total = failures + self.successes * decay + PRIOR_SUCCESSES;
        failures / total > FAULTY_SHARE
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let elapsed = self
            .updated
            .map(|updated| now.saturating_duration_since(updated));
        let elapsed = elapsed.unwrap_or_default().as_secs_f64();
        (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}
