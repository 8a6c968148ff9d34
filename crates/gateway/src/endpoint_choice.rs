//! Selection of the service and endpoint for a call.

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_policy::{
    first_event_ms, rendezvous_weight, ChoiceTerms, EngineForecast, EngineView, HOME_COUNT,
};
use mulberrywell_serving::{EndpointId, ServingIndex};
use mulberrywell_wire::serving::{EndpointStatus, EngineTraits, ServiceShare};

use crate::call_table::CallRecord;
use crate::endpoint_table::{EndpointTable, EndpointUsage};
use crate::measured_choice::{choose_by_response, choose_measured};

/// An endpoint for a call's next attempt.
#[derive(Debug, Clone)]
pub struct EndpointChoice {
    /// The endpoint.
    pub id: EndpointId,
    /// Terms of the choice, with what the caller can expect; none for a service whose
    /// endpoints are chosen without measured speeds.
    pub terms: Option<ChoiceTerms>,
}

impl EndpointChoice {
    /// Returns what the caller can expect, if the speed of the endpoint is measured.
    pub fn forecast(&self) -> Option<EngineForecast> {
        self.terms.map(|terms| terms.forecast)
    }
}

/// Inputs of the selection other than the call.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceView<'a> {
    /// The configuration in force.
    pub index: &'a ServingIndex,
    /// All endpoints.
    pub endpoints: &'a EndpointTable,
    /// Availability zone of this instance.
    pub zone: &'a Bytes,
    /// Number of gateway instances that share the endpoints.
    pub entries: u32,
}

/// Returns the service for a request of a route.
///
/// Every instance selects the same service for the same request; requests are
/// split by the weights of the shares.
pub fn split_service(shares: &[ServiceShare], hash: u64) -> Option<&Bytes> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut left = hash.checked_rem(total)?;
    for share in shares {
        let weight = u64::from(share.weight);
        if left < weight {
            return Some(&share.service);
        }
        left -= weight;
    }
    None
}

/// Returns the endpoint for a call's next attempt, if any is available.
pub fn choose_endpoint(
    now: Instant,
    view: ChoiceView<'_>,
    call: &CallRecord,
) -> Option<EndpointChoice> {
    let candidates = view.endpoints.candidates(now, call.needs());
    let unmeasured = |id| EndpointChoice { id, terms: None };
    let measured = |(status, terms): (&EndpointStatus, ChoiceTerms)| EndpointChoice {
        id: status.id.clone(),
        terms: Some(terms),
    };
    if call.terms.model.is_some() {
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let Some(traits) = measured_traits(view.index, &call.service) else {
            return choose_engine(now, view, call, &candidates).map(unmeasured);
        };
        let chosen = choose_measured(now, view, call, traits, &candidates);
        return chosen.map(measured);
    }
    if view.index.has_deferrable(&call.service) {
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        return choose_by_response(now, view, call, &candidates).map(measured);
    }
    let best = candidates.min_by_key(|(status, usage)| {
        let slots = status.slots.div_ceil(view.entries.max(1)).max(1);
        (
            usage.is_avoided(now) || status.silent,
            usage.running / slots,
            status.zone != *view.zone,
            usage.running,
        )
    });
    best.map(|(status, _)| unmeasured(status.id.clone()))
}

/// Returns what the engines of a service have in common, if they are chosen by their
/// measured speeds.
pub(crate) fn measured_traits<'a>(
    index: &'a ServingIndex,
    service: &Bytes,
) -> Option<&'a EngineTraits> {
    let traits = index.service(service)?.engine.as_ref();
    traits.filter(|_| index.has_deferrable(service))
}

pub(crate) type Candidate<'a> = (&'a EndpointStatus, &'a EndpointUsage);

fn choose_engine(
    now: Instant,
    view: ChoiceView<'_>,
    call: &CallRecord,
    candidates: &[Candidate<'_>],
) -> Option<EndpointId> {
    let homes = home_engines(call, candidates, HOME_COUNT);
    let prompt = call.terms.tokens.map_or(0, |tokens| tokens.prompt);
    let shared = shared_tokens(call);
    let mut best: Option<(bool, f64, &EndpointId)> = None;
    for (status, usage) in candidates {
        let cached = usage.cache.cached_tokens(&call.chain);
        let assumed = if homes.contains(&usage.hash) {
            shared
        } else {
            0
        };
        let engine = EngineView {
            pending_prefill_tokens: usage.prefill_tokens + usage.others.prefill_tokens,
            running: usage.running + usage.others.running,
            slots: status.slots,
            cached_tokens: cached.max(assumed),
            is_other_zone: status.zone != *view.zone,
        };
        let avoided = usage.is_avoided(now) || status.silent;
        let cost = first_event_ms(&engine, prompt);
        let is_better = best
            .is_none_or(|(best_avoided, best_cost, _)| (avoided, cost) < (best_avoided, best_cost));
        if is_better {
            best = Some((avoided, cost, &status.id));
        }
    }
    best.map(|(_, _, id)| id.clone())
}

/// Returns the hashes of the home engines of the shared prompt parts: those with
/// the highest rendezvous weights, which are assumed to have these parts cached.
pub(crate) fn home_engines(
    call: &CallRecord,
    candidates: &[Candidate<'_>],
    count: usize,
) -> Vec<u64> {
    let Some(shared) = call.chain.iter().rev().nth(1) else {
        return Vec::new();
    };
    let mut ranked: Vec<(u64, u64)> = candidates
        .iter()
        .map(|(_, usage)| (rendezvous_weight(*shared, usage.hash), usage.hash))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, hash)| hash)
        .collect()
}

/// Returns the tokens of the shared prompt parts.
pub(crate) fn shared_tokens(call: &CallRecord) -> u64 {
    call.shared_parts().iter().map(|part| part.tokens).sum()
}
