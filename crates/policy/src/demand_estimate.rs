//! Estimates the demand for each model and adapter.
//!
//! Purpose: the planner must follow a rise within seconds, and must not drop
//! replicas in a short pause.
//!
//! Algorithm: two exponentially weighted moving averages, one with a short and
//! one with a long time constant. The long one is the estimate; it jumps to the
//! short one when that exceeds it by more than the noise of its samples
//! explains. An average that simply rose faster than it fell would follow the
//! peaks of the noise: over a hundred models it came to twice the demand.
//! Demand that was refused counts like demand that was served.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::placement_types::{DemandEstimate, ModelName};

/// Time constants of the estimate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandSettings {
    /// Interval over which samples are gathered.
    pub window: Duration,
    /// Time constant of the short average, which finds a rise.
    pub rise: Duration,
    /// Time constant of the long average, and of a fall.
    pub fall: Duration,
}

impl Default for DemandSettings {
    fn default() -> Self {
        DemandSettings {
            window: Duration::from_secs(1),
            rise: Duration::from_secs(4),
            fall: Duration::from_secs(60),
        }
    }
}

/// Standard deviations of the short average that count as a rise.
const RISE_DEVIATIONS: f64 = 4.0;

/// Standard deviation of a new model's samples, as part of the first.
const FIRST_DEVIATION: f64 = 0.3;

/// Squared deviations count up to this many times the variance.
const OUTLIER_FACTOR: f64 = 16.0;

/// Tokens a second below which a model without samples is forgotten.
const FORGET_RATE: f64 = 0.01;

#[derive(Debug, Default)]
struct ModelSeries {
    /// Tokens gathered in the current window.
    tokens: f64,
    /// Tokens a second, by the short time constant.
    short: f64,
    /// Tokens a second, by the long time constant; the estimate.
    long: f64,
    /// Mean square deviation of a window's sample from the long average.
    variance: f64,
}

/// Demand by model.
#[derive(Debug)]
pub struct DemandEstimator {
    settings: DemandSettings,
    window_start: Instant,
    series: BTreeMap<ModelName, ModelSeries>,
}

impl DemandEstimator {
    /// Creates an estimator that knows no demand.
    pub fn new(settings: DemandSettings, now: Instant) -> Self {
        DemandEstimator {
            settings,
            window_start: now,
            series: BTreeMap::new(),
        }
    }

    /// Adds the tokens of requests that came for a model, served or refused.
    pub fn add_tokens(&mut self, model: &ModelName, tokens: u64) {
        if tokens > 0 {
            self.series.entry(model.clone()).or_default().tokens += tokens as f64;
        }
    }

    /// Ends the window when it is over and writes the estimates to `out`.
    pub fn estimate(&mut self, now: Instant, out: &mut Vec<DemandEstimate>) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed >= self.settings.window {
            self.end_window(now, elapsed);
        }
        out.clear();
        out.extend(self.series.iter().map(|(model, series)| DemandEstimate {
            model: model.clone(),
            tokens_per_second: series.long,
        }));
    }

    fn end_window(&mut self, now: Instant, elapsed: Duration) {
        self.window_start = now;
        let seconds = elapsed.as_secs_f64();
        let share = |constant: Duration| 1.0 - (-seconds / constant.as_secs_f64().max(1e-3)).exp();
        let (rise, fall) = (share(self.settings.rise), share(self.settings.fall));
        // Variance of an average of independent samples over that of a sample.
        let noise = rise / (2.0 - rise);
        self.series.retain(|_, series| {
            let sample = std::mem::take(&mut series.tokens) / seconds;
            let gap = sample - series.long;
            if series.variance == 0.0 {
                series.variance = (sample * FIRST_DEVIATION).powi(2);
            }
            series.short += (sample - series.short) * rise;
            let deviation = (series.variance * noise).sqrt();
            if series.short > series.long + RISE_DEVIATIONS * deviation {
                series.long = series.short;
            } else {
                series.long += gap * fall;
            }
            // A rise must not count as noise, or it would hide itself.
            let most = series.variance * OUTLIER_FACTOR;
            series.variance += ((gap * gap).min(most) - series.variance) * fall;
            sample > 0.0 || series.long > FORGET_RATE
        });
    }
}
