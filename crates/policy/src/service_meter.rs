//! Learns how fast an endpoint serves, to estimate the wait in its queue.
//!
//! Algorithm: exponentially weighted moving averages of the tokens that one
//! slot serves in a second and of the part of a request's token bound that it
//! takes. The wait follows from the tokens ahead (Little: "A Proof for the
//! Queuing Formula L = λW", 1961).

use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Shortest time of a sample.
const TIME_MIN: Duration = Duration::from_millis(1);

/// Averages of ended requests.
#[derive(Debug, Clone, Default)]
pub struct ServiceMeter {
    /// Tokens a second in one slot; none before the first sample.
    slot_rate: Option<f64>,
    /// Tokens taken for a token of the bound.
    taken_share: f64,
    /// Time of one request.
    time: f64,
}

impl ServiceMeter {
    /// Adds an ended request: its bound and what it took in tokens, and how
    /// long it ran.
    pub fn add_sample(&mut self, bound: u64, taken: u64, time: Duration) {
        let time = time.max(TIME_MIN).as_secs_f64();
        let rate = taken.max(1) as f64 / time;
        let share = taken.max(1) as f64 / bound.max(1) as f64;
        let Some(average) = &mut self.slot_rate else {
            self.slot_rate = Some(rate);
            self.taken_share = share;
            self.time = time;
            return;
        };
        *average += (rate - *average) * SAMPLE_WEIGHT;
        self.taken_share += (share - self.taken_share) * SAMPLE_WEIGHT;
        self.time += (time - self.time) * SAMPLE_WEIGHT;
    }

    /// Returns the tokens a second that `slots` serve; 0 before any sample.
    pub fn tokens_per_second(&self, slots: usize) -> u64 {
        (self.slot_rate.unwrap_or(0.0) * slots as f64) as u64
    }

    /// Returns the wait of a request with this many tokens of bounds ahead of
    /// it while all slots run; zero before any sample.
    pub fn wait(&self, tokens_ahead: u64, slots: usize) -> Duration {
        let Some(rate) = self.slot_rate else {
            return Duration::ZERO;
        };
        let slots = slots.max(1) as f64;
        let queue = tokens_ahead as f64 * self.taken_share / (rate * slots);
        // Until the first slot of those that run gets free.
        let first = self.time / (slots + 1.0);
        Duration::from_secs_f64(queue + first)
    }
}
