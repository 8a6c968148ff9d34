//! Circuit state of one endpoint (Nygard: "Release It!", 2007).
//!
//! Algorithm: after [`FAILURE_THRESHOLD`] consecutive failures the circuit opens
//! for a time that doubles with each further failure. Then one attempt is
//! allowed as a probe, whose outcome closes the circuit or opens it again.

use std::time::{Duration, Instant};

/// Consecutive failures that open the circuit.
const FAILURE_THRESHOLD: u32 = 3;

const OPEN_MIN: Duration = Duration::from_millis(500);
const OPEN_MAX: Duration = Duration::from_secs(15);

/// Time after which a probe without an outcome counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// State that decides whether attempts are allowed.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    /// Consecutive failures.
    failures: u32,
    /// Instant before which no attempt is allowed; set once the failures reach the
    /// threshold.
    open_until: Option<Instant>,
    /// When the pending probe started.
    probe_started: Option<Instant>,
}

impl CircuitBreaker {
    /// Returns whether an attempt is allowed now.
    pub fn allows(&self, now: Instant) -> bool {
        let probing = self
            .probe_started
            .is_some_and(|started| now < started + PROBE_TIMEOUT);
        self.open_until.is_none_or(|until| now >= until && !probing)
    }

    /// Returns the instant before which no attempt is allowed; none while the
    /// circuit is closed.
    pub fn open_until(&self) -> Option<Instant> {
        self.open_until
    }

    /// Records the start of an attempt.
    pub fn record_attempt(&mut self, now: Instant) {
        if self.open_until.is_some() {
            self.probe_started = Some(now);
        }
    }

    /// Records an attempt that the endpoint answered.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records an attempt that failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.probe_started = None;
        if self.failures >= FAILURE_THRESHOLD {
            let doublings = (self.failures - FAILURE_THRESHOLD).min(8);
            let delay = OPEN_MIN * 2_u32.pow(doublings);
            self.open_until = Some(now + delay.min(OPEN_MAX));
        }
    }

    /// Records an attempt whose end says nothing about the endpoint's health.
    pub fn record_neutral(&mut self) {
        self.probe_started = None;
    }
}
