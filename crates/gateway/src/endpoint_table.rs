//! The table of endpoints with their load and failures as this instance sees
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{EndpointStart, FailureShare, MilliRate};
use mulberrywell_policy::{
    stable_hash, BatchState, DurationEstimate, EnginePace, PrefixCache, PrefixDemand,
};
use mulberrywell_serving::{ColdEndpoints, EndpointId, EndpointRegistry, MergeOutcome};
use mulberrywell_wire::serving::{
    EndpointLimit, EndpointLoad, EndpointPhase, EndpointSpeed, EndpointStatus, LimitedEndpoint,
    LoadShare, PromptSends,
};

use crate::call_codec::ModelTerms;
use crate::call_table::CallRecord;
use crate::known_versions::KnownVersions;
use crate::named_services::parse_address;
use crate::prompt_sends::SentPrompts;
use crate::speed_reports::{read_speed, speed_message};
use crate::zone_evacuations::ZoneEvacuations;

/// Back-off after a failure, doubled with each consecutive one.
const BACKOFF_MIN: Duration = Duration::from_millis(500);

/// Interval at which the speed of one endpoint is reported at most. A gateway has a
/// sample of an engine every few seconds.
const PACE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the prompts that were sent are reported.
const SENDS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of prompt parts that are recorded of one endpoint, so that 3,000
/// endpoints take less than 20 MB.
pub(crate) const CACHED_PARTS_MAX: usize = 64;

/// Maximum back-off.
const BACKOFF_MAX: Duration = Duration::from_secs(8);

/// What an endpoint must have for an attempt of a call.
#[derive(Debug, Clone, Copy)]
pub struct EndpointNeeds<'a> {
    /// The service.
    pub service: &'a Bytes,
    /// Set for a model engine, which must have it resident.
    pub model: Option<&'a ModelTerms>,
    /// Version of its software; none if any will do.
    pub software: Option<&'a Bytes>,
    /// Whether the attempt may begin a stream, which binds the call to the version.
    pub begins_stream: bool,
    /// Endpoints that are excluded.
    pub tried: &'a [EndpointId],
}

/// Load and failure state of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointUsage {
    /// Network address; none when it can't be parsed.
    pub address: Option<SocketAddr>,
    /// Hash of the endpoint's name.
    pub hash: u64,
    /// Start time of the endpoint process that this state belongs to.
    born_ms: u64,
    /// Requests that were forwarded and have not ended.
    pub running: u32,
    /// Prompt tokens awaiting prefill: the uncached ones of requests without a
    /// first event.
    pub prefill_tokens: u64,
    /// Load from the other gateways, as last reported by control.
    pub others: OtherLoad,
    /// Tokens of memory that this instance's requests need, where they are counted.
    pub held_tokens: u64,
    /// Last load reported to control: running requests, tokens awaiting prefill and
    /// tokens of memory.
    reported: (u32, u64, u64),
    /// Measured speed, of an engine.
    pub pace: EnginePace,
    /// When the speed was last reported.
    pace_reported: Option<Instant>,
    /// Estimate of the prompt parts in the endpoint's cache.
    pub cache: PrefixCache,
    /// Prompts that were sent since the last report, where they are reported.
    pub(crate) sends: SentPrompts,
    /// Models and adapters that the endpoint reported as not resident in a
    /// response; cleared by its next status.
    missing: BTreeSet<ModelTerms>,
    /// Time from one event of a stream to the next.
    pub event_pace: DurationEstimate,
    /// Consecutive failures.
    failures: u32,
    /// Share of failures among recent responses.
    share: FailureShare,
    /// End of the back-off, during which other endpoints are preferred.
    backoff_until: Option<Instant>,
    /// The endpoint has announced in a response that it is leaving, for the rest of
    /// its incarnation.
    leaving: bool,
    /// Until then, the endpoint wants no request from this instance.
    closed_until: Option<Instant>,
    /// Until then, no permit for the endpoint is asked for, if it has a limit.
    denied_until: Option<Instant>,
}

/// Load from other gateways at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct OtherLoad {
    /// Running requests.
    pub running: u32,
    /// Prompt tokens awaiting prefill: the uncached ones of requests without a
    /// first event.
    pub prefill_tokens: u64,
    /// Tokens of memory that the requests need.
    pub held_tokens: u64,
}

impl EndpointUsage {
    /// Returns whether other endpoints are preferred.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now) || self.share.is_faulty(now)
    }

    /// Records a response.
    pub fn record_success(&mut self, now: Instant) {
        self.share.record(now, false);
        self.failures = 0;
        self.backoff_until = None;
    }

    /// Records a failed exchange.
    pub fn record_failure(&mut self, now: Instant) {
        self.share.record(now, true);
        let backoff = BACKOFF_MIN * 2_u32.saturating_pow(self.failures.min(6));
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = Some(now + backoff.min(BACKOFF_MAX));
    }

    /// Returns the start time of the endpoint process.
    pub fn born_ms(&self) -> u64 {
        self.born_ms
    }

    /// Returns whether the endpoint may be sent a request.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.leaving && self.closed_until.is_none_or(|until| until <= now)
    }

    /// Records that the endpoint is leaving; returns the start that this holds for
    /// if it is new.
    pub fn record_leaving(&mut self) -> Option<u64> {
        let was_leaving = std::mem::replace(&mut self.leaving, true);
        (!was_leaving).then_some(self.born_ms)
    }

    /// Records that the endpoint wants no request until an instant.
    pub fn record_closed(&mut self, until: Instant) {
        self.closed_until = self.closed_until.max(Some(until));
    }

    /// Records that no permit for the endpoint is to be had until an instant.
    pub fn record_denied(&mut self, until: Instant) {
        self.denied_until = Some(until);
    }

    /// Returns the batch that all instances together have the endpoint run.
    pub fn batch(&self, tokens_per_event: u32) -> BatchState {
        BatchState {
            running: self.running + self.others.running,
            context_tokens: self.held_tokens + self.others.held_tokens,
            tokens_per_event,
        }
    }

    /// Returns the measured speed if it has changed and its report is due.
    fn take_speed(&mut self, now: Instant) -> Option<EndpointSpeed> {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self
            .pace_reported
            .is_some_and(|at| since(at) < PACE_REPORT_INTERVAL)
        {
            return None;
        }
        let report = self.pace.take_report(now)?;
        self.pace_reported = Some(now);
        Some(speed_message(self.born_ms, &report))
    }

    /// Records that the endpoint does not have a model resident.
    pub fn record_missing(&mut self, model: ModelTerms) {
        self.missing.insert(model);
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    pub(crate) registry: EndpointRegistry,
    pub(crate) cold: ColdEndpoints,
    usages: BTreeMap<EndpointId, EndpointUsage>,
    /// Endpoints by service, without those that are gone.
    services: BTreeMap<Bytes, Vec<EndpointId>>,
    /// Zones whose endpoints get no requests.
    pub(crate) evacuations: ZoneEvacuations,
    /// The software versions at which streams may begin.
    pub(crate) versions: KnownVersions,
    /// Requests of all instances by prefix.
    pub(crate) prefixes: PrefixDemand,
    /// When prompts were last reported.
    sends_reported: Option<Instant>,
    /// Whether endpoints that are gone still have requests, so that their state is
    /// removed by a later rebuild.
    has_ended: bool,
}

/// What of a status decides on its place in the index, and on that of another endpoint
/// at its address.
fn index_key(status: &EndpointStatus) -> (Bytes, Bytes, u64, bool) {
    let is_gone = status.phase() == EndpointPhase::Gone;
    let (service, address) = (status.service.clone(), status.address.clone());
    (service, address, status.born_ms, is_gone)
}

impl EndpointTable {
    /// Merges a status received from control; returns whether it changed
    /// anything.
    pub fn merge(&mut self, status: EndpointStatus) -> bool {
        let id = status.id.clone();
        let key_before = self.registry.get(&id).map(index_key);
        let is_aside = self.registry.is_aside(&status);
        let outcome = self.registry.merge(status);
        if !self.registry.take_forgotten().is_empty() {
            self.rebuild_index();
        }
        if outcome != MergeOutcome::Changed || is_aside {
            return false;
        }
        self.update_usage(&id);
        // A rebuild walks over all endpoints; most statuses change none of this.
        let key = self.registry.get(&id).map(index_key);
        let is_gone = key.as_ref().is_none_or(|(_, _, _, is_gone)| *is_gone);
        if self.has_ended || is_gone || key != key_before {
            self.rebuild_index();
        }
        true
    }

    /// Updates the usage of an endpoint whose status has changed.
    pub(crate) fn update_usage(&mut self, id: &EndpointId) {
        let Some(status) = self.registry.get(id) else {
            return;
        };
        let usage = self.usages.entry(id.clone()).or_default();
        if usage.born_ms != status.born_ms {
            *usage = EndpointUsage {
                hash: stable_hash(&[id]),
                born_ms: status.born_ms,
                ..EndpointUsage::default()
            };
        }
        usage.address = parse_address(status);
        usage.missing.clear();
    }

    pub(crate) fn rebuild_index(&mut self) {
        self.services.clear();
        self.cold.remove_gone(&self.registry);
        for status in self.registry.present() {
            let ids = self.services.entry(status.service.clone()).or_default();
            ids.push(status.id.clone());
        }
        let registry = &self.registry;
        let mut has_ended = false;
        self.usages.retain(|id, usage| {
            let status = registry.get(id);
            let is_present = status.is_some_and(|it| it.phase() != EndpointPhase::Gone);
            has_ended |= !is_present && usage.running > 0;
            usage.running > 0 || is_present
        });
        self.has_ended = has_ended;
    }

    /// Returns the endpoints that have what is needed and accept requests now.
    pub fn candidates<'a>(
        &'a self,
        now: Instant,
        needs: EndpointNeeds<'a>,
    ) -> impl Iterator<Item = (&'a EndpointStatus, &'a EndpointUsage)> {
        self.fitting(now, needs)
            .filter(move |(status, usage)| self.denied_until(now, status, usage).is_none())
    }

    /// Returns the endpoints that have what is needed and accept requests now, apart from
    /// their limits.
    fn fitting<'a>(
        &'a self,
        now: Instant,
        needs: EndpointNeeds<'a>,
    ) -> impl Iterator<Item = (&'a EndpointStatus, &'a EndpointUsage)> {
        let is_handed_over = self.is_handed_over(now, needs);
        self.listed(needs.service).filter(move |(status, usage)| {
            let holds_model = |model| holds_model(status, usage, model);
            let zone = &status.zone;
            let is_evacuated = match is_handed_over {
                true => self.evacuations.is_closed(now, zone),
                false => self.evacuations.contains(zone),
            };
            !is_evacuated
                && accepts_requests(now, status, usage)
                && needs.model.is_none_or(holds_model)
                && self.has_version(status, needs)
                && !needs.tried.contains(&status.id)
        })
    }

    /// Returns whether an evacuated zone may still get what is needed, as it is nowhere else.
    fn is_handed_over(&self, now: Instant, needs: EndpointNeeds<'_>) -> bool {
        let Some(model) = needs.model.filter(|_| self.evacuations.has_handover(now)) else {
            return false;
        };
        let mut listed = self.listed(needs.service);
        !listed.any(|(status, usage)| {
            !self.evacuations.contains(&status.zone)
                && accepts_requests(now, status, usage)
                && holds_model(status, usage, model)
                && self.has_version(status, needs)
        })
    }

    /// Returns whether an endpoint has a software version that an attempt may go to.
    fn has_version(&self, status: &EndpointStatus, needs: EndpointNeeds<'_>) -> bool {
        let is_known = || self.versions.contains(&status.service, &status.software);
        match needs.software {
            Some(software) => status.software == *software,
            None => !needs.begins_stream || is_known(),
        }
    }

    /// Returns whether only evacuated zones have endpoints of a service that serve.
    pub fn is_evacuated(&self, now: Instant, service: &Bytes) -> bool {
        let serving = self.listed(service);
        let mut serving = serving.filter(|(status, _)| is_ready(status) && !status.silent);
        self.evacuations.len() > 0
            && serving.clone().next().is_some()
            && serving.all(|(status, _)| match status.engine {
                true => self.evacuations.is_closed(now, &status.zone),
                false => self.evacuations.contains(&status.zone),
            })
    }

    /// Returns whether an endpoint is in an evacuated zone.
    pub fn is_in_evacuated_zone(&self, id: &EndpointId) -> bool {
        let status = self.registry.get(id);
        status.is_some_and(|status| self.evacuations.contains(&status.zone))
    }

    /// Returns whether an endpoint of the software version that is needed serves, whatever
    /// models it has now.
    pub fn serves_version(&self, now: Instant, needs: EndpointNeeds<'_>) -> bool {
        let mut listed = self.listed(needs.service);
        listed.any(|(status, _)| {
            is_ready(status)
                && !self.evacuations.is_closed(now, &status.zone)
                && !status.silent
                && needs.software.is_none_or(|it| status.software == *it)
        })
    }

    fn listed<'a>(
        &'a self,
        service: &Bytes,
    ) -> impl Iterator<Item = (&'a EndpointStatus, &'a EndpointUsage)> + Clone {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| Some((self.registry.get(id)?, self.usages.get(id)?)))
    }

    /// Returns whether a start of an endpoint accepts requests now, apart from its limit.
    pub fn accepts_requests(&self, now: Instant, start: &EndpointStart) -> bool {
        let (id, born_ms) = start;
        match (self.registry.get(id), self.usages.get(id)) {
            (Some(status), Some(usage)) => {
                status.born_ms == *born_ms
                    && !self.evacuations.is_closed(now, &status.zone)
                    && accepts_requests(now, status, usage)
            }
            _ => false,
        }
    }

    /// Returns when the first permit is to be had for an endpoint that has what is needed
    /// and has none left now.
    pub fn next_permit(&self, now: Instant, needs: EndpointNeeds<'_>) -> Option<Instant> {
        let fitting = self.fitting(now, needs);
        let denied = fitting.filter_map(|(status, usage)| self.denied_until(now, status, usage));
        denied.min()
    }

    /// Returns until when no permit for an endpoint is to be had; none if one may be, or
    /// if the endpoint needs none.
    fn denied_until(
        &self,
        now: Instant,
        status: &EndpointStatus,
        usage: &EndpointUsage,
    ) -> Option<Instant> {
        let until = usage.denied_until.filter(|until| *until > now);
        until.filter(|_| needs_permit(now, status, &self.cold))
    }

    /// Returns whether requests to an endpoint need a permit now: it has a limit or is
    /// cold.
    pub fn needs_permit(&self, now: Instant, id: &EndpointId) -> bool {
        let status = self.registry.get(id);
        status.is_some_and(|status| needs_permit(now, status, &self.cold))
    }

    /// Returns the software version of an endpoint.
    pub fn software(&self, id: &EndpointId) -> Option<&Bytes> {
        Some(&self.registry.get(id)?.software)
    }

    /// Records a limit that an endpoint named in a response; returns whether it is new.
    pub fn record_limit(&mut self, endpoint: &LimitedEndpoint) -> bool {
        self.registry.record_limit(endpoint)
    }

    /// Returns the limit of an endpoint as recorded, also one that has ended.
    pub fn limit(&self, id: &EndpointId) -> Option<EndpointLimit> {
        self.registry.get(id)?.limit
    }

    /// Returns the limit that an endpoint has now.
    pub fn rate_limit(&self, id: &EndpointId) -> Option<MilliRate> {
        self.limit(id)?.milli_per_s
    }

    /// Returns all limits that were recorded of endpoints that are not gone.
    pub fn limits(&self) -> impl Iterator<Item = LimitedEndpoint> + '_ {
        let limited = self.registry.present().filter(|it| it.limit.is_some());
        limited.map(|status| LimitedEndpoint {
            id: status.id.clone(),
            born_ms: status.born_ms,
            limit: status.limit,
        })
    }

    /// Returns when the first endpoint of a service that is closed for a time, and
    /// otherwise ready, is open again.
    pub fn next_opening(&self, now: Instant, service: &Bytes) -> Option<Instant> {
        let ids = self.services.get(service).into_iter().flatten();
        let usages = ids.filter(|id| !self.is_in_evacuated_zone(id));
        let usages = usages.filter_map(|id| self.usages.get(id));
        let closed = usages.filter(|usage| !usage.leaving && !usage.is_open(now));
        closed.filter_map(|usage| usage.closed_until).min()
    }

    /// Returns this gateway's loads that changed since the last report, and measured
    /// speeds that are due.
    pub fn collect_load_changes(&mut self, now: Instant) -> LoadShare {
        let mut loads = Vec::new();
        for (id, usage) in &mut self.usages {
            let load = (usage.running, usage.prefill_tokens, usage.held_tokens);
            let speed = usage.take_speed(now);
            if usage.reported != load || speed.is_some() {
                usage.reported = load;
                loads.push(EndpointLoad {
                    endpoint: id.clone(),
                    running: usage.running,
                    unread: usage.prefill_tokens,
                    speed,
                    held: usage.held_tokens,
                });
            }
        }
        let sends = self.take_due_sends(now);
        LoadShare { loads, sends }
    }

    /// Returns the prompts that were sent since the last report, if one is due.
    fn take_due_sends(&mut self, now: Instant) -> Vec<PromptSends> {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self
            .sends_reported
            .is_some_and(|at| since(at) < SENDS_INTERVAL)
        {
            return Vec::new();
        }
        self.sends_reported = Some(now);
        let usages = self
            .usages
            .iter_mut()
            .filter(|(_, usage)| !usage.sends.is_empty());
        let sends = usages.map(|(id, usage)| {
            let sends = std::mem::take(&mut usage.sends);
            PromptSends {
                endpoint: id.clone(),
                born_ms: usage.born_ms,
                parts: sends.parts,
                other_tokens: sends.other_tokens,
            }
        });
        sends.collect()
    }

    /// Counts the shared parts of a call's prompt as requested once more.
    pub(crate) fn record_prefixes(&mut self, now: Instant, call: &CallRecord) {
        for (chain, _) in call.chain.iter().zip(call.shared_parts()) {
            self.prefixes.record(now, *chain, 1);
        }
    }

    /// Records the prompts that the other gateways sent to an endpoint with memory for a
    /// number of tokens.
    pub fn apply_sends(&mut self, now: Instant, sends: &PromptSends, memory_tokens: u64) {
        for part in &sends.parts {
            self.prefixes.record(now, part.chain, part.requests);
        }
        let usage = self.usages.get_mut(&sends.endpoint);
        if let Some(usage) = usage.filter(|usage| usage.born_ms == sends.born_ms) {
            usage.cache.record_other(sends.other_tokens);
            for part in &sends.parts {
                usage.cache.record_part(part.chain, u64::from(part.tokens));
            }
            usage.cache.trim(memory_tokens, CACHED_PARTS_MAX);
        }
    }

    /// Returns the latest status of an endpoint.
    pub fn status(&self, id: &EndpointId) -> Option<&EndpointStatus> {
        self.registry.get(id)
    }

    /// Applies the load of the other gateways and the combined speeds.
    pub fn apply_load_share(&mut self, now: Instant, loads: Vec<EndpointLoad>) {
        for load in loads {
            if let Some(usage) = self.usages.get_mut(&load.endpoint) {
                usage.others = OtherLoad {
                    running: load.running,
                    prefill_tokens: load.unread,
                    held_tokens: load.held,
                };
                let speed = load.speed.filter(|speed| speed.born_ms == usage.born_ms);
                if let Some(speed) = speed {
                    usage.pace.record_fleet(now, read_speed(&speed));
                }
            }
        }
    }

    /// Clears the load of the other gateways and marks all own loads and speeds as
    /// unreported.
    pub fn reset_loads(&mut self) {
        for usage in self.usages.values_mut() {
            usage.others = OtherLoad::default();
            usage.reported = (0, 0, 0);
            usage.pace.mark_unreported();
        }
    }

    /// Returns the load and failure state of an endpoint.
    pub fn usage(&self, id: &EndpointId) -> Option<&EndpointUsage> {
        self.usages.get(id)
    }

    /// Returns the load and failure state of an endpoint for modification.
    pub fn usage_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointUsage> {
        self.usages.get_mut(id)
    }

    /// Returns the number of endpoints that are not gone.
    pub fn len(&self) -> usize {
        self.services.values().map(Vec::len).sum()
    }
}

fn accepts_requests(now: Instant, status: &EndpointStatus, usage: &EndpointUsage) -> bool {
    is_ready(status) && usage.address.is_some() && usage.is_open(now)
}

fn is_ready(status: &EndpointStatus) -> bool {
    status.phase() == EndpointPhase::Ready && !status.leaving
}

fn needs_permit(now: Instant, status: &EndpointStatus, cold: &ColdEndpoints) -> bool {
    let limit = status.limit.and_then(|limit| limit.milli_per_s);
    limit.is_some() || cold.rate(now, status).is_some()
}

fn holds_model(status: &EndpointStatus, usage: &EndpointUsage, model: &ModelTerms) -> bool {
    if usage.missing.contains(model) || status.closing.contains(&model.model) {
        return false;
    }
    let mut models = status.models.iter();
    let item = models.find(|item| item.name == model.model);
    item.is_some_and(|item| model.adapter.is_empty() || item.adapters.contains(&model.adapter))
}
