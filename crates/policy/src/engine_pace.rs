//! Estimates of an engine's prefill rate and step time from observed responses.
//!
//! Algorithm: each observation is divided by what the published figures give for the
//! same batch, so that the ratio (the slowness) doesn't depend on the batch. A quantile
//! of the ratios is tracked in the logarithm by steps that shrink with the number of
//! samples. A low quantile of the step times ignores short slow periods, other prompts'
//! prefill and delays on the way, which only lengthen single samples; a slow engine
//! lengthens all. The weight of the samples halves at an interval, and the estimate
//! returns to the published figures with it, so that an engine without samples is tried
//! again. The estimates of several observers are combined by their weighted median,
//! which a single observer with wrong samples can't move far.

use std::time::{Duration, Instant};

/// Published prefill rate in prompt tokens per millisecond.
pub const PUBLISHED_PREFILL_RATE: f64 = 38.7;

/// Published duration of a step of an empty batch.
const STEP_MS: f64 = 5.47;

/// Time that each running request adds to a step.
const REQUEST_STEP_MS: f64 = 0.0121;

/// Time that each token of context adds to a step.
const TOKEN_STEP_MS: f64 = 0.000_023;

/// Quantile of the step times that is tracked. A third of the windows of a busy engine
/// contain no prefill of other requests.
const STEP_QUANTILE: f64 = 0.35;

/// Quantile of the prefill times that is tracked. Prompts of other instances that are
/// not known lengthen more samples than unknown cached parts shorten.
const PREFILL_QUANTILE: f64 = 0.4;

/// Step of the tracker in the logarithm for the first sample.
const FIRST_STEP: f64 = 1.2;

/// Smallest step of the tracker: a lasting change by a factor of two shows after about
/// 25 samples, a slow period of three samples moves the estimate by a tenth.
const LEAST_STEP: f64 = 0.08;

/// Limits of a sample's ratio; beyond them something else was measured.
const RATIO_RANGE: (f64, f64) = (0.25, 8.0);

/// Time in which the weight of samples halves.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Largest weight of an observer's samples.
const WEIGHT_MAX: f64 = 30.0;

/// Weight of the published figures in an estimate.
const PRIOR_WEIGHT: f64 = 1.0;

/// Weight of the step's slowness in the estimate of the prefill's: both depend on the
/// same accelerator, and steps are observed more often and with less error.
const STEP_PRIOR_WEIGHT: f64 = 8.0;

/// Largest difference between the logarithms of both slownesses, a factor of two. Prompts
/// of other instances and wrong hints of cached parts distort the prefill's samples.
const PREFILL_SPREAD: f64 = std::f64::consts::LN_2;

/// Prompt tokens below which the time to the first event says little of the prefill.
pub const PREFILL_SAMPLE_MIN: u64 = 1_500;

/// Responses of a plain service that are expected to fit into the objective in sequence.
pub(crate) const RESPONSES_PER_OBJECTIVE: f64 = 4.0;

/// Slowness as one observer or all of them report it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlownessReport {
    /// Duration in multiples of the published one.
    pub ratio: f64,
    /// Number of samples, the older ones counting less.
    pub weight: f64,
}

impl Default for SlownessReport {
    fn default() -> Self {
        SlownessReport {
            ratio: 1.0,
            weight: 0.0,
        }
    }
}

/// What is reported of an engine's speed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedReport {
    /// Slowness of the steps.
    pub step: SlownessReport,
    /// Slowness of the prefill.
    pub prefill: SlownessReport,
}

impl SlownessReport {
    /// Returns the report from thousandths of its ratio and its weight; a ratio that no
    /// samples give is replaced by the nearest that they may give.
    pub fn of_milli(ratio: u32, weight: u32) -> Self {
        SlownessReport {
            ratio: (f64::from(ratio) / 1_000.0).clamp(RATIO_RANGE.0, RATIO_RANGE.1),
            weight: f64::from(weight) / 1_000.0,
        }
    }

    /// Returns the ratio and the weight in thousandths.
    pub fn to_milli(self) -> (u32, u32) {
        let milli = |value: f64| (value * 1_000.0).clamp(0.0, f64::from(u32::MAX)) as u32;
        (milli(self.ratio), milli(self.weight))
    }
}

impl SpeedReport {
    /// Returns the report with the weights that it has after a time.
    #[must_use]
    pub fn aged(mut self, age: Duration) -> Self {
        let factor = decay(age);
        self.step.weight *= factor;
        self.prefill.weight *= factor;
        self
    }

    /// Returns the speed that the report stands for.
    pub fn speed(&self) -> EngineSpeed {
        let step = shrunk(self.step, 0.0, PRIOR_WEIGHT);
        let prefill = shrunk(self.prefill, step, STEP_PRIOR_WEIGHT);
        let prefill = prefill.clamp(step - PREFILL_SPREAD, step + PREFILL_SPREAD);
        EngineSpeed {
            step_slowness: step.exp(),
            prefill_slowness: prefill.exp(),
        }
    }
}

/// Returns the logarithm of a reported ratio, drawn to a prior one.
fn shrunk(report: SlownessReport, prior: f64, prior_weight: f64) -> f64 {
    let weight = report.weight.max(0.0);
    let ratio = report.ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
    (ratio.ln() * weight + prior * prior_weight) / (weight + prior_weight)
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Estimated speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpeed {
    /// Duration of a step in multiples of the published one.
    pub step_slowness: f64,
    /// Duration of the prefill in multiples of the published one.
    pub prefill_slowness: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        EngineSpeed {
            step_slowness: 1.0,
            prefill_slowness: 1.0,
        }
    }
}

impl EngineSpeed {
    /// Returns the prompt tokens that are processed per millisecond.
    pub fn prefill_rate(&self) -> f64 {
        PUBLISHED_PREFILL_RATE / self.prefill_slowness
    }

    /// Returns the time of an event in milliseconds without prefill in between.
    pub fn event_ms(&self, batch: BatchState) -> f64 {
        published_event_ms(batch) * self.step_slowness
    }
}

/// The batch that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BatchState {
    /// Running requests.
    pub running: u32,
    /// Tokens of their contexts.
    pub context_tokens: u64,
    /// Output tokens of an event, and so its steps.
    pub tokens_per_event: u32,
}

/// Returns the time of an event in milliseconds by the published figures.
pub fn published_event_ms(batch: BatchState) -> f64 {
    let requests_ms = f64::from(batch.running) * REQUEST_STEP_MS;
    let context_ms = batch.context_tokens as f64 * TOKEN_STEP_MS;
    f64::from(batch.tokens_per_event.max(1)) * (STEP_MS + requests_ms + context_ms)
}

/// Tracks a quantile of the ratios of observed to published durations.
#[derive(Debug, Clone, Copy, Default)]
struct QuantileTracker {
    /// Logarithm of the quantile.
    level: f64,
    weight: f64,
    last: Option<Instant>,
}

impl QuantileTracker {
    fn record(&mut self, now: Instant, ratio: f64, quantile: f64) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        self.weight = (self.report(now).weight + 1.0).min(WEIGHT_MAX);
        self.last = Some(now);
        let error = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1).ln() - self.level;
        let step = (FIRST_STEP / self.weight).max(LEAST_STEP);
        self.level += if error > 0.0 {
            (step * quantile).min(error)
        } else {
            (step * (quantile - 1.0)).max(error)
        };
    }

    fn report(&self, now: Instant) -> SlownessReport {
        let age = self.last.map(|at| now.saturating_duration_since(at));
        SlownessReport {
            ratio: self.level.exp(),
            weight: self.weight * age.map_or(0.0, decay),
        }
    }
}

/// What an observer knows of an engine's speed.
#[derive(Debug, Clone, Copy, Default)]
pub struct EnginePace {
    step: QuantileTracker,
    prefill: QuantileTracker,
    /// Combined estimate of all observers, and when it was received.
    fleet: Option<(SpeedReport, Instant)>,
    /// There are samples that no report contains.
    has_news: bool,
}

impl EnginePace {
    /// Records the time between two events of a stream.
    pub fn record_event(&mut self, now: Instant, batch: BatchState, elapsed: Duration) {
        let ratio = millis(elapsed) / published_event_ms(batch);
        self.step.record(now, ratio, STEP_QUANTILE);
        self.has_news = true;
    }

    /// Records the time to a first event: `tokens` were to be processed, those of the
    /// requests ahead included.
    pub fn record_first_event(
        &mut self,
        now: Instant,
        batch: BatchState,
        tokens: u64,
        elapsed: Duration,
    ) {
        if tokens < PREFILL_SAMPLE_MIN {
            return;
        }
        let event_ms = self.speed(now).event_ms(batch);
        let published_ms = tokens as f64 / PUBLISHED_PREFILL_RATE;
        let ratio = (millis(elapsed) - event_ms).max(1.0) / published_ms;
        self.prefill.record(now, ratio, PREFILL_QUANTILE);
        self.has_news = true;
    }

    /// Records the time of a whole response of an endpoint of a plain service, whose route
    /// has an objective. Such an endpoint has no published figures; a response is expected
    /// to take a part of its route's objective.
    pub fn record_response(&mut self, now: Instant, objective: Duration, elapsed: Duration) {
        let expected_ms = millis(objective) / RESPONSES_PER_OBJECTIVE;
        if expected_ms > 0.0 {
            let ratio = millis(elapsed) / expected_ms;
            self.step.record(now, ratio, STEP_QUANTILE);
            self.has_news = true;
        }
    }

    /// Records the combined estimate of all observers.
    pub fn record_fleet(&mut self, now: Instant, report: SpeedReport) {
        self.fleet = Some((report, now));
    }

    /// Returns the estimated speed. The own samples count alone as long as they weigh
    /// more than those of the whole fleet, as when its estimate no longer arrives.
    pub fn speed(&self, now: Instant) -> EngineSpeed {
        self.known(now).speed()
    }

    /// Returns the slowness of the steps with the weight of its samples; for an endpoint of
    /// a plain service, that of the responses.
    pub fn step_report(&self, now: Instant) -> SlownessReport {
        self.known(now).step
    }

    fn known(&self, now: Instant) -> SpeedReport {
        let own = self.report(now);
        let fleet = self
            .fleet
            .map(|(report, at)| report.aged(now.saturating_duration_since(at)));
        match fleet {
            Some(fleet) if fleet.step.weight >= own.step.weight => fleet,
            _ => own,
        }
    }

    /// Returns the own estimate if it has changed since the last call.
    pub fn take_report(&mut self, now: Instant) -> Option<SpeedReport> {
        std::mem::take(&mut self.has_news).then(|| self.report(now))
    }

    /// Marks the own estimate as unreported, as for a new receiver of the reports. The
    /// estimate of the fleet stays until it has aged.
    pub fn mark_unreported(&mut self) {
        self.has_news = self.step.last.is_some() || self.prefill.last.is_some();
    }

    fn report(&self, now: Instant) -> SpeedReport {
        SpeedReport {
            step: self.step.report(now),
            prefill: self.prefill.report(now),
        }
    }
}

/// Returns the slowness of each of several endpoints of a plain service: where it has few
/// samples, it is drawn to the mean of all, so that a new endpoint counts as one of them.
pub fn response_slowness(reports: &[SlownessReport]) -> Vec<f64> {
    let weight: f64 = reports.iter().map(|it| it.weight).sum();
    let logarithms = reports.iter().map(|it| it.weight * it.ratio.ln());
    let mean = logarithms.sum::<f64>() / weight.max(1.0);
    let slowness = reports
        .iter()
        .map(|it| shrunk(*it, mean, PRIOR_WEIGHT).exp());
    slowness.collect()
}

/// Returns the combined estimate of several observers.
pub fn combined_speed(reports: &[SpeedReport]) -> SpeedReport {
    SpeedReport {
        step: weighted_median(reports.iter().map(|report| report.step)),
        prefill: weighted_median(reports.iter().map(|report| report.prefill)),
    }
}

fn weighted_median(reports: impl Iterator<Item = SlownessReport>) -> SlownessReport {
    let mut sorted: Vec<SlownessReport> = reports.filter(|it| it.weight > 0.0).collect();
    sorted.sort_unstable_by(|a, b| a.ratio.total_cmp(&b.ratio));
    let weight: f64 = sorted.iter().map(|it| it.weight).sum();
    let mut below = 0.0;
    let median = sorted.iter().find(|it| {
        below += it.weight;
        below >= weight / 2.0
    });
    median.map_or_else(SlownessReport::default, |it| SlownessReport {
        ratio: it.ratio,
        weight,
    })
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
