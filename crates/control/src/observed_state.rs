//! The most recent reports of endpoints and entries, stored by the leader.
//!
//! Guarantees: no report is replicated; a report is only a hint, stored with
//! its arrival time. A state report with an earlier incarnation or sequence
//! never replaces a later one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::endpoint::{DemandReport, StateReport};

/// Age beyond which a demand report is ignored.
const DEMAND_AGE_MAX: Duration = Duration::from_secs(60);

/// A state report with its arrival time.
#[derive(Debug, Clone)]
pub struct ObservedEndpoint {
    /// The report.
    pub report: StateReport,
    /// When it arrived.
    pub at: Instant,
}

/// A demand report with its arrival time.
#[derive(Debug, Clone)]
pub struct ObservedDemand {
    /// The report.
    pub report: DemandReport,
    /// When it arrived.
    pub at: Instant,
}

/// Demand for one model, summed over all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ModelRate {
    /// Tokens per second.
    pub tokens: f64,
    /// Requests per second.
    pub requests: f64,
    /// Requests per second that found no endpoint with free capacity.
    pub refused: f64,
}

/// The most recent reports.
#[derive(Debug, Default)]
pub struct ObservedState {
    endpoints: BTreeMap<Bytes, ObservedEndpoint>,
    /// By entry instance.
    demands: BTreeMap<Bytes, ObservedDemand>,
}

impl ObservedState {
    /// Stores an endpoint's report unless a later one is known.
    pub fn record_state(&mut self, now: Instant, report: StateReport) {
        let version = |report: &StateReport| (report.incarnation, report.sequence);
        let known = self.endpoints.get(&report.endpoint);
        if known.is_some_and(|known| version(&known.report) > version(&report)) {
            return;
        }
        let observed = ObservedEndpoint { report, at: now };
        let name = observed.report.endpoint.clone();
        self.endpoints.insert(name, observed);
    }

    /// Stores an entry's demand report.
    pub fn record_demand(&mut self, now: Instant, instance: Bytes, report: DemandReport) {
        self.demands
            .insert(instance, ObservedDemand { report, at: now });
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &Bytes) {
        self.endpoints.remove(endpoint);
    }

    /// Returns an endpoint's most recent report.
    pub fn endpoint(&self, name: &Bytes) -> Option<&ObservedEndpoint> {
        self.endpoints.get(name)
    }

    /// Returns the most recent report of each endpoint.
    pub fn endpoints(&self) -> impl Iterator<Item = &ObservedEndpoint> {
        self.endpoints.values()
    }

    /// Returns the most recent demand report of each entry, by instance.
    pub fn demands(&self) -> impl Iterator<Item = (&Bytes, &ObservedDemand)> {
        self.demands.iter()
    }

    /// Returns the demand for each model, summed over all recent reports.
    pub fn model_rates(&self, now: Instant) -> BTreeMap<Bytes, ModelRate> {
        let mut rates: BTreeMap<Bytes, ModelRate> = BTreeMap::new();
        for demand in self.demands.values() {
            let age = now.saturating_duration_since(demand.at);
            if age > DEMAND_AGE_MAX || demand.report.interval_ms == 0 {
                continue;
            }
            let seconds = Duration::from_millis(demand.report.interval_ms).as_secs_f64();
            for model in &demand.report.models {
                let rate = rates.entry(model.model.clone()).or_default();
                rate.tokens += model.tokens as f64 / seconds;
                rate.requests += model.requests as f64 / seconds;
                rate.refused += model.refused as f64 / seconds;
            }
        }
        rates
    }
}
