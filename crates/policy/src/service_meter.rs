//! Measures the service rate of an endpoint to estimate the wait in its queue.
//!
//! Algorithm: exponentially weighted moving averages of the token bound, the tokens
//! used and the duration of ended requests. The wait is derived from the tokens
//! ahead in the queue (Little: "A Proof for the Queuing Formula L = λW", 1961).

use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Minimum duration of a sample.
const DURATION_MIN: Duration = Duration::from_millis(1);

/// Averages of ended requests.
///
/// Rates are quotients of averages, because an average of quotients would count a
/// long prompt with a short answer as a fast slot.
#[derive(Debug, Clone, Default)]
pub struct ServiceMeter {
    /// Number of samples.
    samples: u64,
    /// Mean token bound of a request.
    bound: f64,
    /// Mean tokens used by a request.
    used: f64,
    /// Mean duration of a request in seconds; above zero after the first sample.
    duration: f64,
}

impl ServiceMeter {
    /// Adds an ended request: its token bound, the tokens used and its duration.
    pub fn add_sample(&mut self, bound: u64, used: u64, duration: Duration) {
        self.samples += 1;
        let weight = SAMPLE_WEIGHT.max(1.0 / self.samples as f64);
        self.bound += (bound.max(1) as f64 - self.bound) * weight;
        self.used += (used.max(1) as f64 - self.used) * weight;
        self.duration += (duration.max(DURATION_MIN).as_secs_f64() - self.duration) * weight;
    }

    /// Returns the tokens per second that `slots` serve; 0 before the first sample.
    pub fn tokens_per_second(&self, slots: usize) -> u64 {
        if self.samples == 0 {
            return 0;
        }
        (self.used / self.duration * slots as f64) as u64
    }

    /// Estimates the duration of a request with a bound of `tokens`; zero before the
    /// first sample.
    pub fn estimate_duration(&self, tokens: u64) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let duration = tokens as f64 / self.bound * self.duration;
        Duration::try_from_secs_f64(duration).unwrap_or(Duration::MAX)
    }

    /// Estimates the wait of a request behind requests with a total bound of
    /// `tokens_ahead` while all slots are busy; zero before the first sample.
    pub fn estimate_wait(&self, tokens_ahead: u64, slots: usize) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let slots = slots.max(1) as f64;
        // Each request ahead occupies a slot for the mean duration.
        let queue_time = tokens_ahead as f64 / self.bound * self.duration / slots;
        // Time until the first busy slot becomes free.
        let slot_time = self.duration / (slots + 1.0);
        Duration::from_secs_f64(queue_time + slot_time)
    }
}
