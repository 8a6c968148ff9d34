//! How long the answers of a route take.
//!
//! Algorithm: moving averages of the time and of its deviation, as TCP keeps
//! them of its round trips (Jacobson, 1988; RFC 6298).

use std::time::Duration;

/// Weight of a new time in the average, one in this many.
const MEAN_WEIGHT: i64 = 16;

/// Weight of a new deviation in the average, one in this many.
const DEVIATION_WEIGHT: i64 = 8;

/// Deviations above the average within which nearly all answers end.
const DEVIATIONS: i64 = 4;

/// Averages in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerTime {
    mean: i64,
    deviation: i64,
    is_known: bool,
}

impl AnswerTime {
    /// Takes in the time of one answer.
    pub fn note(&mut self, time: Duration) {
        let time = i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        if !self.is_known {
            *self = AnswerTime {
                mean: time,
                deviation: time / 2,
                is_known: true,
            };
            return;
        }
        let error = time - self.mean;
        self.mean += error / MEAN_WEIGHT;
        self.deviation += (error.abs() - self.deviation) / DEVIATION_WEIGHT;
    }

    /// Returns the time within which nearly all answers end.
    pub fn likely_limit(&self) -> Duration {
        let limit = self.mean + DEVIATIONS * self.deviation;
        Duration::from_millis(u64::try_from(limit).unwrap_or(0))
    }
}
