//! Learns how fast an endpoint serves, to estimate the wait in its queue.
//!
//! Algorithm: exponentially weighted moving averages of the bound, the tokens
//! taken and the time of ended requests. The wait follows from the tokens ahead (Little: "A Proof for the
//! Queuing Formula L = λW", 1961).

use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Shortest time of a sample.
const TIME_MIN: Duration = Duration::from_millis(1);

/// Averages of ended requests.
///
/// Rates are quotients of averages: the average of quotients would count a
/// long prompt with a short answer as a fast slot.
#[derive(Debug, Clone, Default)]
pub struct ServiceMeter {
    /// Requests so far.
    samples: u64,
    /// Tokens of the bound of a request.
    bound: f64,
    /// Tokens that a request takes.
    taken: f64,
    /// Time of a request in seconds; more than zero after the first sample.
    time: f64,
}

impl ServiceMeter {
    /// Adds an ended request: its bound and what it took in tokens, and how
    /// long it ran.
    pub fn add_sample(&mut self, bound: u64, taken: u64, time: Duration) {
        self.samples += 1;
        let weight = SAMPLE_WEIGHT.max(1.0 / self.samples as f64);
        self.bound += (bound.max(1) as f64 - self.bound) * weight;
        self.taken += (taken.max(1) as f64 - self.taken) * weight;
        self.time += (time.max(TIME_MIN).as_secs_f64() - self.time) * weight;
    }

    /// Returns the tokens a second that `slots` serve; 0 before any sample.
    pub fn tokens_per_second(&self, slots: usize) -> u64 {
        if self.samples == 0 {
            return 0;
        }
        (self.taken / self.time * slots as f64) as u64
    }

    /// Returns the wait of a request with this many tokens of bounds ahead of
    /// it while all slots run; zero before any sample.
    pub fn wait(&self, tokens_ahead: u64, slots: usize) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let slots = slots.max(1) as f64;
        // Requests ahead, each of which takes a slot for the mean time.
        let queue = tokens_ahead as f64 / self.bound * self.time / slots;
        // Until the first slot of those that run gets free.
        let first = self.time / (slots + 1.0);
        Duration::from_secs_f64(queue + first)
    }
}
