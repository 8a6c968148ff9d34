//! Counts the demand for models between two reports to control.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::endpoint::{DemandReport, ModelDemand};

/// Interval of reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Demand since the last report.
#[derive(Debug)]
pub struct DemandBook {
    models: BTreeMap<Bytes, ModelDemand>,
    started: Instant,
    sequence: u64,
}

impl DemandBook {
    /// Creates an empty book.
    pub fn new(now: Instant) -> Self {
        DemandBook {
            models: BTreeMap::new(),
            started: now,
            sequence: 0,
        }
    }

    /// Notes a request and the tokens that it may take.
    pub fn note_request(&mut self, model: &Bytes, tokens: u64) {
        let demand = self.entry(model);
        demand.requests += 1;
        demand.tokens += tokens;
    }

    /// Notes a request that found no endpoint with room.
    pub fn note_refusal(&mut self, model: &Bytes) {
        self.entry(model).refused += 1;
    }

    /// Returns when the next report is due.
    pub fn deadline(&self) -> Instant {
        self.started + INTERVAL
    }

    /// Returns the report, when it is due.
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
