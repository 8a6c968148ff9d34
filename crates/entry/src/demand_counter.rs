//! Counts the demand for models between reports to control.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::endpoint::{DemandReport, ModelDemand};

/// Interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Demand since the last report.
#[derive(Debug)]
pub struct DemandCounter {
    models: BTreeMap<Bytes, ModelDemand>,
    started: Instant,
    sequence: u64,
}

impl DemandCounter {
    /// Creates an empty counter.
    pub fn new(now: Instant) -> Self {
        DemandCounter {
            models: BTreeMap::new(),
            started: now,
            sequence: 0,
        }
    }

    /// Records a request and the tokens that it may use.
    pub fn record_request(&mut self, model: &Bytes, tokens: u64) {
        let demand = self.entry(model);
        demand.requests += 1;
        demand.tokens += tokens;
    }

    /// Records a request for which no endpoint was available.
    pub fn record_refusal(&mut self, model: &Bytes) {
        self.entry(model).refused += 1;
    }

    /// Returns when the next report is due.
    pub fn deadline(&self) -> Instant {
        self.started + REPORT_INTERVAL
    }

    /// Returns the report if it is due.
    pub fn report(&mut self, now: Instant) -> Option<DemandReport> {
        if now < self.deadline() {
            return None;
        }
        let elapsed = now.saturating_duration_since(self.started);
        self.started = now;
        self.sequence += 1;
        Some(DemandReport {
            sequence: self.sequence,
            interval_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            models: std::mem::take(&mut self.models).into_values().collect(),
        })
    }

    fn entry(&mut self, model: &Bytes) -> &mut ModelDemand {
        self.models
            .entry(model.clone())
            .or_insert_with(|| ModelDemand {
                model: model.clone(),
                ..ModelDemand::default()
            })
    }
}
