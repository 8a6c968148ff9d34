//! Estimates the demand for each model and adapter.
//!
//! Purpose: the planner must follow a rise within seconds, and must not drop
//! replicas in a short pause.
//!
//! Algorithm: exponentially weighted moving averages with two time constants,
//! a short one while samples exceed the average and a long one while they fall
//! below it. Demand that was refused counts like demand that was served.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::placement_types::{DemandEstimate, ModelName};

/// Time constants of the estimate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandSettings {
    /// Interval over which samples are gathered.
    pub window: Duration,
    /// Time constant of a rise.
    pub rise: Duration,
    /// Time constant of a fall.
    pub fall: Duration,
}

impl Default for DemandSettings {
    fn default() -> Self {
        DemandSettings {
            window: Duration::from_secs(1),
            rise: Duration::from_secs(2),
            fall: Duration::from_secs(120),
        }
    }
}

/// Tokens a second below which a model without samples is forgotten.
const FORGET_RATE: f64 = 0.01;

#[derive(Debug, Default)]
struct ModelSeries {
    /// Tokens gathered in the current window.
    tokens: f64,
    /// Tokens a second.
    average: f64,
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
            tokens_per_second: series.average,
        }));
    }

    fn end_window(&mut self, now: Instant, elapsed: Duration) {
        self.window_start = now;
        let seconds = elapsed.as_secs_f64();
        let share = |constant: Duration| 1.0 - (-seconds / constant.as_secs_f64().max(1e-3)).exp();
        let (rise, fall) = (share(self.settings.rise), share(self.settings.fall));
        self.series.retain(|_, series| {
            let sample = std::mem::take(&mut series.tokens) / seconds;
            let gap = sample - series.average;
            series.average += gap * if gap > 0.0 { rise } else { fall };
            sample > 0.0 || series.average > FORGET_RATE
        });
    }
}
