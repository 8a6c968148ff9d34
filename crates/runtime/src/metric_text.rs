//! Metrics as text (Prometheus exposition format, version 0.0.4).
//!
//! Guarantees: metric names are constants of the roles, so their number and the
//! memory are bounded; a histogram has a resolution of two significant digits
//! up to ten minutes.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use mulberrywell_role::MetricKind;

/// Highest recorded duration in milliseconds; longer ones count as this one.
const TIME_MAX_MS: u64 = 600_000;

/// Significant digits of recorded durations.
const TIME_DIGITS: u8 = 2;

/// Quantiles in the text output.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// All metrics of a process.
#[derive(Default)]
pub struct MetricRegistry {
    counts: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<String, Histogram<u64>>,
}

impl MetricRegistry {
    /// Records one metric.
    pub fn record(&mut self, kind: MetricKind, name: &str, value: u64) {
        match kind {
            MetricKind::Count => {
                if let Some(count) = self.counts.get_mut(name) {
                    *count += value;
                } else {
                    self.counts.insert(name.to_owned(), value);
                }
            }
            MetricKind::Gauge => {
                self.gauges.insert(name.to_owned(), value);
            }
            MetricKind::DurationMs => self.record_time(name, value),
        }
    }

    fn record_time(&mut self, name: &str, value: u64) {
        if !self.times.contains_key(name) {
            let empty = Histogram::new_with_max(TIME_MAX_MS, TIME_DIGITS);
            let Ok(empty) = empty else {
                return;
            };
            self.times.insert(name.to_owned(), empty);
        }
        if let Some(histogram) = self.times.get_mut(name) {
            histogram.saturating_record(value);
        }
    }

    /// Writes all metrics.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (name, value) in &self.counts {
            write_line(&mut text, &exposed_name(name), "_total", value);
        }
        for (name, value) in &self.gauges {
            write_line(&mut text, &exposed_name(name), "", value);
        }
        for (name, histogram) in &self.times {
            let name = exposed_name(name);
            for quantile in QUANTILES {
                let label = format!("{{quantile=\"{quantile}\"}}");
                let value = histogram.value_at_quantile(quantile);
                write_line(&mut text, &name, &label, &value);
            }
            write_line(&mut text, &name, "_count", &histogram.len());
            write_line(&mut text, &name, "_max", &histogram.max());
        }
        text
    }
}

fn exposed_name(name: &str) -> String {
    format!("mulberrywell_{}", name.replace('.', "_"))
}

fn write_line(text: &mut String, name: &str, suffix: &str, value: &u64) {
    // Writing to a string never fails.
    let _ = writeln!(text, "{name}{suffix} {value}");
}
