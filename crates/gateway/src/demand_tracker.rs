//! Tracks the demand for models that is reported to control.
//!
//! Algorithm: a model that no endpoint has resident is reported at once, and
//! again while calls wait; requests are counted and reported at an interval.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::EndpointStart;
use mulberrywell_wire::serving::{
    self as wire, DemandShare, LeavingEndpoint, LimitedEndpoint, ServingDemand, WantedModel,
};

use crate::call_codec::ModelTerms;

/// Interval at which a missing model is reported again while calls wait for it.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which request counts are reported.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of tracked missing models; at this number all of them are
/// cleared. An entry is also removed once no call waits for it.
const MISSING_MAX: usize = 1_024;

/// A model that calls wait for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MissingModel {
    /// The service.
    pub service: Bytes,
    /// The model, or an adapter of it.
    pub model: ModelTerms,
    /// The only software version of endpoints that will do; none if any does.
    pub software: Option<Bytes>,
}

/// Demand observed by one instance.
#[derive(Debug, Default)]
pub struct DemandTracker {
    /// When each missing model was last reported; none when a report is due.
    missing: BTreeMap<MissingModel, Option<Instant>>,
    /// Requests since the last report.
    shares: BTreeMap<(Bytes, ModelTerms), u64>,
    /// When request counts were last reported.
    shares_reported: Option<Instant>,
    /// Endpoints whose responses announced that they are leaving, not yet reported.
    leaving: Vec<LeavingEndpoint>,
    /// Latest limits of endpoints, not yet reported.
    limits: BTreeMap<EndpointStart, LimitedEndpoint>,
    /// Endpoints that refused connections since the last report of request counts.
    refusing: BTreeSet<EndpointStart>,
    /// Those of them that are not yet reported.
    refusing_unreported: Vec<EndpointStart>,
}

impl DemandTracker {
    /// Records that a call waits for a model.
    pub fn record_missing(&mut self, now: Instant, missing: MissingModel) {
        if self.missing.len() >= MISSING_MAX {
            self.missing.clear();
        }
        let reported = self.missing.entry(missing).or_insert(None);
        if reported.is_some_and(|at| now.saturating_duration_since(at) >= REPEAT_INTERVAL) {
            *reported = None;
        }
    }

    /// Records that an endpoint announced in a response that it is leaving.
    pub fn record_leaving(&mut self, endpoint: LeavingEndpoint) {
        self.leaving.push(endpoint);
    }

    /// Records the limit of an endpoint.
    pub fn record_limit(&mut self, endpoint: LimitedEndpoint) {
        let start = (endpoint.id.clone(), endpoint.born_ms);
        self.limits.insert(start, endpoint);
    }

    /// Records that an endpoint refused a connection.
    pub fn record_refusing(&mut self, start: EndpointStart) {
        if self.refusing.insert(start.clone()) {
            self.refusing_unreported.push(start);
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: Bytes, model: ModelTerms) {
        *self.shares.entry((service, model)).or_default() += 1;
    }

    fn take_shares(&mut self, now: Instant) -> Vec<DemandShare> {
        let reported = self.shares_reported;
        if reported.is_some_and(|at| now.saturating_duration_since(at) < SHARE_INTERVAL) {
            return Vec::new();
        }
        self.shares_reported = Some(now);
        self.refusing.clear();
        let shares = std::mem::take(&mut self.shares).into_iter();
        let shares = shares.map(|((service, model), requests)| DemandShare {
            service,
            model: model.model,
            adapter: model.adapter,
            requests,
        });
        shares.collect()
    }

    /// Returns the report that is due, if any.
    pub fn report(&mut self, now: Instant) -> Option<ServingDemand> {
        let mut wanted = Vec::new();
        for (missing, reported) in &mut self.missing {
            if reported.is_none() {
                *reported = Some(now);
                wanted.push(WantedModel {
                    service: missing.service.clone(),
                    model: missing.model.model.clone(),
                    adapter: missing.model.adapter.clone(),
                    software: missing.software.clone(),
                });
            }
        }
        let shares = self.take_shares(now);
        let leaving = std::mem::take(&mut self.leaving);
        let limits = std::mem::take(&mut self.limits);
        let refusing = std::mem::take(&mut self.refusing_unreported).into_iter();
        let refusing: Vec<_> = refusing
            .map(|(id, born_ms)| wire::EndpointStart { id, born_ms })
            .collect();
        let has_models = !wanted.is_empty() || !shares.is_empty();
        let has_endpoints = !leaving.is_empty() || !limits.is_empty() || !refusing.is_empty();
        (has_models || has_endpoints).then_some(ServingDemand {
            wanted,
            shares,
            leaving,
            limits: limits.into_values().collect(),
            refusing,
        })
    }

    /// Removes missing models whose last report is two intervals old, as no call
    /// waits for them any more.
    pub fn remove_expired(&mut self, now: Instant) {
        self.missing.retain(|_, reported| {
            reported.is_none_or(|at| now.saturating_duration_since(at) < 2 * REPEAT_INTERVAL)
        });
    }
}
