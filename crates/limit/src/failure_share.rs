//! Share of an endpoint's recent answers that were failures.
//!
//! Purpose: an endpoint that fails some of its requests never fails many in a
//! row, so that a [`CircuitBreaker`](crate::CircuitBreaker) stays closed.
//!
//! Algorithm: failures and successes are counted with weights that decay with
//! the time constant [`DECAY_TIME`]; one success is assumed beside them, so that
//! a single failure weighs less than a record.

use std::time::{Duration, Instant};

/// Time constant of the weights: several answers of an endpoint that gets one
/// request a second.
const DECAY_TIME: Duration = Duration::from_secs(8);

/// Share above which an endpoint counts as faulty: ten times what a sound one
/// fails.
const FAULTY_SHARE: f64 = 0.25;

/// Successes assumed beside those noted.
const PRIOR_SUCCESSES: f64 = 1.0;

/// Decaying counts of outcomes.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureShare {
    failures: f64,
    successes: f64,
    /// When the counts were true; none before the first outcome.
    updated: Option<Instant>,
}

impl FailureShare {
    /// Notes an outcome.
    pub fn note(&mut self, now: Instant, failed: bool) {
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

    /// Tells whether the endpoint fails more than a sound one.
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
