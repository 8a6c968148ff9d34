//! Recent demand as an exponentially weighted rate.

use std::time::{Duration, Instant};

/// Time constant of the average.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Recently requested tokens per second.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    /// Tokens per second at `updated`.
    level: f64,
    updated: Instant,
}

impl DemandMeter {
    /// Creates a meter without recorded demand.
    pub fn new(now: Instant) -> Self {
        DemandMeter {
            level: 0.0,
            updated: now,
        }
    }

    /// Records requested tokens.
    pub fn record(&mut self, tokens: u64, now: Instant) {
        self.level = self.decayed_level(now) + tokens as f64 / TIME_CONSTANT.as_secs_f64();
        self.updated = now;
    }

    /// Returns the demand in tokens per second.
    pub fn rate(&self, now: Instant) -> u64 {
        self.decayed_level(now) as u64
    }

    fn decayed_level(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.level * (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
