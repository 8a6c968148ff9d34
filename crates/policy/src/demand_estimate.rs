//! Estimates the demand for each model and adapter.
//!
//! Purpose: the planner must follow a rise in demand within seconds, and must not
//! drop replicas during a short pause.
//!
//! Algorithm: two exponentially weighted moving averages, one with a short and
//! one with a long time constant. The long average is the estimate; it is set to
//! the short one when that exceeds it by more than sampling noise can explain. A
//! single average that rises faster than it falls would follow the peaks of the
//! noise: over a hundred models it overestimated demand by a factor of two.
//! Refused demand counts like served demand.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::placement_types::{DemandEstimate, ModelName};

/// Time constants of the estimate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandSettings {
    /// Interval over which a sample is accumulated.
    pub window: Duration,
    /// Time constant of the short average, which detects a rise.
    pub rise: Duration,
    /// Time constant of the long average, at which the estimate falls.
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

/// Number of standard deviations by which the short average must exceed the
/// long one to count as a rise.
const RISE_DEVIATIONS: f64 = 4.0;

/// Initial standard deviation of a model's samples, relative to the first sample.
const INITIAL_DEVIATION: f64 = 0.3;

/// Squared deviations are clamped to this multiple of the variance.
const OUTLIER_FACTOR: f64 = 16.0;

/// Tokens per second below which a model without samples is removed.
const REMOVAL_RATE_MAX: f64 = 0.01;

#[derive(Debug, Default)]
struct ModelSeries {
    /// Tokens accumulated in the current window.
    tokens: f64,
    /// Short average, in tokens per second.
    short: f64,
    /// Long average, in tokens per second; the estimate.
    long: f64,
    /// Mean squared deviation of the samples from the long average.
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
    /// Creates an estimator without samples.
    pub fn new(settings: DemandSettings, now: Instant) -> Self {
        DemandEstimator {
            settings,
            window_start: now,
            series: BTreeMap::new(),
        }
    }

    /// Adds the tokens of requests for a model, served or refused.
    pub fn add_tokens(&mut self, model: &ModelName, tokens: u64) {
        if tokens > 0 {
            self.series.entry(model.clone()).or_default().tokens += tokens as f64;
        }
    }

    /// Ends the window if its interval has elapsed and writes the estimates to `out`.
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
        let weight = |constant: Duration| 1.0 - (-seconds / constant.as_secs_f64().max(1e-3)).exp();
        let (rise_weight, fall_weight) = (weight(self.settings.rise), weight(self.settings.fall));
        // Ratio of the variance of an average of independent samples to that of a
        // single sample.
        let noise_ratio = rise_weight / (2.0 - rise_weight);
        self.series.retain(|_, series| {
            let sample = std::mem::take(&mut series.tokens) / seconds;
            let error = sample - series.long;
            if series.variance == 0.0 {
                series.variance = (sample * INITIAL_DEVIATION).powi(2);
            }
            series.short += (sample - series.short) * rise_weight;
            let deviation = (series.variance * noise_ratio).sqrt();
            if series.short > series.long + RISE_DEVIATIONS * deviation {
                series.long = series.short;
            } else {
                series.long += error * fall_weight;
            }
            // A rise must not count as noise: it would raise the variance and thereby
            // its own detection threshold.
            let limit = series.variance * OUTLIER_FACTOR;
            series.variance += ((error * error).min(limit) - series.variance) * fall_weight;
            sample > 0.0 || series.long > REMOVAL_RATE_MAX
        });
    }
}
