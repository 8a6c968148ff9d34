//! Admission: turns a request into a call after checking its route, key and
//! rate.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::RateDecision;
use mulberrywell_policy::{chain_hashes, stable_hash};
use mulberrywell_role::{HttpRequest, MetricKind, RequestId, RoleAction};
use mulberrywell_serving::{KeyOwner, ServingIndex};
use mulberrywell_wire::serving::{RepeatRule, ServingAccount, ServingRoute};

use crate::call_codec::{CallCodec, CallTerms, RefusalReason};
use crate::call_table::{
    AdmissionClass, CallRecord, CallStage, CallTrial, PendingResponse, RouteTerms, RunState,
    StreamVersion,
};
use crate::endpoint_choice::split_service;
use crate::event_splitter::EventSplitter;
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

/// Retry delays for refusals that another attempt can overcome. Without a
/// configuration the delay covers the recovery of the log and the election that
/// follow a loss of all instances; while stopping, another instance can
/// accept the request almost at once.
const RETRY_DELAYS: [(RefusalReason, Duration); 2] = [
    (RefusalReason::NotReady, Duration::from_millis(1_000)),
    (RefusalReason::Stopping, Duration::from_millis(20)),
];

/// Time for which a call waits for a total that contains its units; several times
/// the round trip to control.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Most tokens of a request that states none, whatever the configuration says; sums of
/// many can be represented.
const PLAIN_TOKENS_MAX: u64 = 1 << 32;

impl<C: CallCodec> GatewayRole<C> {
    pub(crate) fn handle_call(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        actions: &mut Actions,
    ) {
        let metric = RoleAction::Metric(MetricKind::Count, metrics::REQUESTS, 1);
        actions.push(metric);
        let Some(terms) = self.codec.read_call(&http) else {
            let id = bytes::Bytes::new();
            self.refuse_request(request, &id, RefusalReason::Malformed, None, actions);
            return;
        };
        let id = terms.id.clone();
        match self.admit(now, http, terms) {
            Ok((call, has_rate)) => self.begin_call(now, request, call, has_rate, actions),
            Err(reason) => {
                let retry_after = retry_delay(reason);
                self.refuse_request(request, &id, reason, retry_after, actions);
            }
        }
    }

    /// Builds the call for an admissible request. The returned flag is set when
    /// the account has a rate limit.
    fn admit(
        &self,
        now: Instant,
        http: HttpRequest,
        terms: CallTerms,
    ) -> Result<(CallRecord, bool), RefusalReason> {
        if self.index.version() == 0 {
            return Err(RefusalReason::NotReady);
        }
        let found = self.index.route(&terms.host, &http.path);
        let (_, route) = found.ok_or(RefusalReason::NoRoute)?;
        let account = match self.index.owner(terms.key.as_ref()) {
            _ if route.open => None,
            KeyOwner::NoAccounts => None,
            KeyOwner::Account(account) => Some(account),
            KeyOwner::Unknown => return Err(RefusalReason::WrongKey),
        };
        // A stream that is taken up goes to the service that began it.
        let hash = stable_hash(&[terms.resumes.as_ref().unwrap_or(&terms.id)]);
        let service = split_service(&route.shares, hash).ok_or(RefusalReason::NoRoute)?;
        let has_rate = account.is_some_and(|account| account.rate > 0);
        let priority = account
            .and_then(|account| account.priority)
            .unwrap_or(route.priority);
        let call = CallRecord {
            route: RouteTerms::of(route, self.index.is_deferrable(route)),
            service: service.clone(),
            account: account.map(|account| account.name.clone()),
            priority,
            class: admission_class(&self.index, route, service, priority),
            was_deferred: false,
            version: self.index.version(),
            chain: prompt_chain(&terms),
            started: now,
            deadline: now + call_timeout(route, &terms),
            attempt_deadline: None,
            stage: CallStage::Waiting,
            ran: RunState::No,
            attempts: 0,
            tried: Vec::new(),
            version_bound: initial_bound(route, &terms),
            endpoint: bytes::Bytes::new(),
            endpoint_software: bytes::Bytes::new(),
            is_version_unsure: false,
            endpoint_born_ms: 0,
            is_limited: false,
            attempt_started: None,
            expected: None,
            prefill_tokens: 0,
            engine_work: None,
            trial: CallTrial::None,
            trial_wanted: None,
            reserved: 0,
            units: account.map_or(0, |account| charged_units(account, &terms)),
            move_after: None,
            copy: None,
            response: PendingResponse::default(),
            events: EventSplitter::resuming_after(terms.last_event),
            head_sent: false,
            first_forwarded: None,
            first_chunk: None,
            last_chunk: None,
            longest_gap: Duration::ZERO,
            pace_mark: None,
            http,
            terms,
        };
        Ok((call, has_rate))
    }

    fn begin_call(
        &mut self,
        now: Instant,
        request: RequestId,
        call: CallRecord,
        has_rate: bool,
        actions: &mut Actions,
    ) {
        if let Some(until) = self.quarantine_end(now, &call) {
            let left = until.saturating_duration_since(now);
            let reason = RefusalReason::Quarantined;
            self.refuse_request(request, &call.terms.id, reason, Some(left), actions);
            return;
        }
        if !self.fits_shutdown(now, &call, None) {
            let reason = RefusalReason::Stopping;
            let retry_after = retry_delay(reason);
            self.refuse_request(request, &call.terms.id, reason, retry_after, actions);
            return;
        }
        let account = call.account.clone().filter(|_| has_rate);
        let units = call.units;
        if let Some(model) = &call.terms.model {
            self.demand
                .record_request(call.service.clone(), model.clone());
        }
        let budget = self.new_budget();
        let budgets = self.budgets.entry(call.service.clone());
        budgets.or_insert(budget).record_request();
        self.calls.insert(request, call);
        let Some(account) = account else {
            self.start_attempt(now, request, actions);
            return;
        };
        let is_deferrable = self
            .calls
            .get(request)
            .is_some_and(|call| call.class.is_deferrable());
        if is_deferrable {
            self.admit_deferrable(now, request, &account, actions);
            return;
        }
        let decision = self.rates.admit(now, &account, units);
        self.apply_rate_decision(now, request, &account, decision, actions);
    }

    /// Forwards a call, refuses it, or keeps it until a total contains its units.
    pub(crate) fn apply_rate_decision(
        &mut self,
        now: Instant,
        request: RequestId,
        account: &Bytes,
        decision: RateDecision,
        actions: &mut Actions,
    ) {
        let units = self.calls.get(request).map_or(0, |call| call.units);
        match decision {
            RateDecision::Refused(delay) => {
                let reason = RefusalReason::OverRate;
                self.refuse_call(now, request, reason, Some(delay), actions);
            }
            RateDecision::Admitted => {
                self.reserve_units(request, units);
                self.start_attempt(now, request, actions);
            }
            RateDecision::AwaitTotals { mark } => {
                self.reserve_units(request, units);
                self.rate_waits.push_back(RateWait {
                    request,
                    account: account.clone(),
                    mark,
                    units,
                    since: now,
                });
            }
        }
    }

    /// Records the units that were charged for a call.
    fn reserve_units(&mut self, request: RequestId, units: u64) {
        if let Some(call) = self.calls.get_mut(request) {
            call.reserved = units;
        }
    }

    /// Forwards the calls whose units a total contains, and refuses those whose
    /// account has none left or whose totals don't arrive.
    pub(crate) fn confirm_waiting_calls(&mut self, now: Instant, actions: &mut Actions) {
        for _ in 0..self.rate_waits.len() {
            let Some(wait) = self.rate_waits.pop_front() else {
                return;
            };
            if self.calls.get(wait.request).is_none() {
                self.rates.end_wait(&wait.account, wait.units);
                self.token_waits
                    .end_confirmation(&wait.account, wait.request);
                continue;
            }
            let decision = self
                .rates
                .confirm(now, &wait.account, wait.mark, wait.units);
            let is_overdue = now.saturating_duration_since(wait.since) >= CONFIRM_TIMEOUT;
            if decision.is_some() || is_overdue {
                self.rates.end_wait(&wait.account, wait.units);
                self.token_waits
                    .end_confirmation(&wait.account, wait.request);
            }
            match decision {
                Some(RateDecision::Refused(delay)) => {
                    self.reserve_units(wait.request, 0);
                    if self.requeue_deferrable(now, &wait) {
                        continue;
                    }
                    let reason = RefusalReason::OverRate;
                    self.refuse_call(now, wait.request, reason, Some(delay), actions);
                }
                Some(_) => self.start_attempt(now, wait.request, actions),
                None if is_overdue => {
                    if self.requeue_deferrable(now, &wait) {
                        self.reserve_units(wait.request, 0);
                        self.rates.refund(&wait.account, wait.units);
                        continue;
                    }
                    let reason = RefusalReason::OverRate;
                    self.refuse_call(now, wait.request, reason, Some(CONFIRM_TIMEOUT), actions);
                }
                None => self.rate_waits.push_back(wait),
            }
        }
    }

    /// Returns when the first call has waited too long for totals.
    pub(crate) fn confirmation_deadline(&self) -> Option<Instant> {
        self.rate_waits
            .front()
            .map(|wait| wait.since + CONFIRM_TIMEOUT)
    }
}

/// A call whose units were charged and must be contained in a total before it is
/// forwarded.
#[derive(Debug)]
pub(crate) struct RateWait {
    pub(crate) request: RequestId,
    pub(crate) account: Bytes,
    /// Units that this instance had admitted with the call.
    mark: u64,
    pub(crate) units: u64,
    since: Instant,
}

/// Returns the retry delay of a refusal that another attempt can overcome.
pub(crate) fn retry_delay(reason: RefusalReason) -> Option<Duration> {
    let mut delays = RETRY_DELAYS.iter();
    let found = delays.find(|(known, _)| *known == reason);
    found.map(|(_, delay)| *delay)
}

/// Returns the version at which a new call may run. One that takes a stream up may hold
/// events already.
fn initial_bound(route: &ServingRoute, terms: &CallTerms) -> StreamVersion {
    let is_stream = route.repeat() == RepeatRule::Stream;
    if is_stream && (terms.last_event.is_some() || terms.resumes.is_some()) {
        StreamVersion::Unresolved
    } else {
        StreamVersion::Any
    }
}

/// Returns how a call is admitted. An account whose priority makes its calls more urgent
/// than their route has no deferrable ones.
fn admission_class(
    index: &ServingIndex,
    route: &ServingRoute,
    service: &Bytes,
    priority: u32,
) -> AdmissionClass {
    if !index.has_deferrable(service) {
        AdmissionClass::Immediate
    } else if index.is_deferrable(route) && priority >= route.priority {
        AdmissionClass::Deferrable
    } else {
        AdmissionClass::Urgent
    }
}

fn prompt_chain(terms: &CallTerms) -> Vec<u64> {
    let Some(model) = &terms.model else {
        return Vec::new();
    };
    let hash = stable_hash(&[&model.model, &model.adapter]);
    chain_hashes(hash, &terms.prefix)
}

fn call_timeout(route: &ServingRoute, terms: &CallTerms) -> Duration {
    let timeout = Duration::from_millis(route.timeout_ms);
    terms.timeout.map_or(timeout, |limit| limit.min(timeout))
}

fn charged_units(account: &ServingAccount, terms: &CallTerms) -> u64 {
    if !account.counts_tokens {
        return 1;
    }
    let plain = account.plain_tokens.min(PLAIN_TOKENS_MAX);
    let stated = terms.tokens.map(|tokens| tokens.prompt + tokens.output);
    stated.unwrap_or(plain)
}
