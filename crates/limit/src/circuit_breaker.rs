//! Circuit state of one endpoint (Nygard: "Release It!", 2007).
//!
//! Algorithm: after [`FAILURES_MAX`] failures in a row the circuit opens for a
//! time that doubles with each further failure; then one attempt is let
//! through as a probe, whose outcome closes or opens the circuit.

use std::time::{Duration, Instant};

/// Failures in a row that open the circuit.
const FAILURE_THRESHOLD: u32 = 3;

const OPEN_MIN: Duration = Duration::from_millis(500);
const OPEN_MAX: Duration = Duration::from_secs(15);

/// Time after which a probe without an outcome counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether attempts are let through.
#[derive(Debug, Clone, Default)]
pub struct CircuitBreaker {
    /// Failures in a row.
    failures: u32,
    /// Closed to attempts until then; set once failures reached the bound.
    open_until: Option<Instant>,
    /// When the last probe was let through.
    probe_started: Option<Instant>,
}

impl CircuitBreaker {
    /// Tells whether an attempt may be made now.
    pub fn allows(&self, now: Instant) -> bool {
        let probing = self
            .probe_started
            .is_some_and(|started| now < started + PROBE_TIMEOUT);
        self.open_until.is_none_or(|until| now >= until && !probing)
    }

    /// Returns when an attempt may be made, if that is later than now.
    pub fn open_until(&self) -> Option<Instant> {
        self.open_until
    }

    /// Notes that an attempt is made.
    pub fn note_attempt(&mut self, now: Instant) {
        if self.open_until.is_some() {
            self.probe_started = Some(now);
        }
    }

    /// Notes an attempt that the endpoint answered.
    pub fn note_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Notes an attempt that failed.
    pub fn note_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.probe_started = None;
        if self.failures >= FAILURE_THRESHOLD {
            let doublings = (self.failures - FAILURE_THRESHOLD).min(8);
            let delay = OPEN_MIN * 2_u32.pow(doublings);
            self.open_until = Some(now + delay.min(OPEN_MAX));
        }
    }

    /// Notes an attempt that told nothing of the endpoint.
    pub fn note_neutral(&mut self) {
        self.probe_started = None;
    }
}
