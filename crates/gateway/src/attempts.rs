//! Attempts of calls: forwarding to endpoints, failures and retries.

use std::time::{Duration, Instant};

use mulberrywell_policy::PromptPart;
use mulberrywell_role::{
    ExchangeCommand, ExchangeEnd, HttpRequest, LogLevel, MetricKind, RequestId, RoleAction,
};
use mulberrywell_serving::EndpointId;

use crate::call_codec::{CallCodec, ForwardTerms, RefusalReason};
use crate::call_table::{CallRecord, CallStage, CallTrial, PendingResponse, RunState};
use crate::caller_responses::text;
use crate::choice_log::record_prompt_metrics;
use crate::endpoint_choice::{choose_endpoint, measured_traits, ChoiceView, EndpointChoice};
use crate::endpoint_permits::{PERMIT_RETRY_MIN, PERMIT_UNAVAILABLE_RETRY};
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};
use crate::response_check::FailureCause;
use crate::response_timing::begin_work;

/// Timeout for opening a connection to an endpoint. Connections within a region
/// take a few milliseconds; a lost SYN is retransmitted only after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum remaining time for forwarding a call; an endpoint could not respond
/// in less.
const FORWARD_MIN: Duration = Duration::from_millis(15);

/// Retry delay sent when no endpoint accepted the call.
const ENDPOINT_RETRY: Duration = Duration::from_millis(400);

/// Retry delay sent when no engine has the model resident.
const MODEL_RETRY: Duration = Duration::from_millis(1_500);

/// Minimum response timeout. When it expires, the endpoint counts as failed and
/// an idempotent call is retried at another endpoint.
const RESPONSE_TIMEOUT_MIN: Duration = Duration::from_millis(400);

/// Response timeout in multiples of the latency objective.
const RESPONSE_TIMEOUT_OBJECTIVES: u32 = 2;

/// Divisor of an engine's cache size that estimates the space available for
/// cached prompt prefixes; running requests use the rest.
const PREFIX_CACHE_DIVISOR: u64 = 2;

/// Maximum number of prompt parts in a log line.
const LOGGED_PARTS_MAX: usize = 4;

/// How an attempt ended without a response for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No byte was sent.
    NotSent,
    /// The endpoint reports that it did not run the call.
    NotRun,
    /// The endpoint may have run the call.
    Broken,
}

impl<C: CallCodec> GatewayRole<C> {
    /// Forwards a call to an endpoint, or queues it until one is available.
    pub(crate) fn start_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) {
        let Some(left) = self.check_attempt(now, request, actions) else {
            return;
        };
        if !self.resolve_version(now, request, actions) {
            return;
        }
        let choice = self.choose_permitted(now, request);
        self.record_choice(now, request, choice.as_ref(), actions);
        let forecast = choice.as_ref().and_then(EndpointChoice::forecast);
        let endpoint = choice.map(|choice| choice.id);
        let Some(call) = self.calls.get(request) else {
            return;
        };
        if !self.fits_shutdown(now, call, endpoint.as_ref()) {
            self.leave_call(now, request, actions);
            return;
        }
        if let Some(forecast) = forecast {
            if self.withhold_call(now, request, forecast, actions) {
                self.end_trial(request, false);
                return;
            }
        }
        if let Some(endpoint) = &endpoint {
            if self.await_trial(now, request, endpoint, actions) {
                return;
            }
        }
        match endpoint {
            Some(endpoint) if self.endpoints.needs_permit(now, &endpoint) => {
                self.await_permit(now, request, &endpoint, left, actions);
            }
            Some(endpoint) => self.forward_call(now, request, &endpoint, left, actions),
            None => {
                self.end_trial(request, false);
                self.await_endpoint(now, request, actions);
            }
        }
    }

    /// Ends a call that must not be forwarded any more; otherwise returns the time that
    /// it has left.
    pub(crate) fn check_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) -> Option<Duration> {
        if self.refuse_if_quarantined(now, request, actions) {
            return None;
        }
        let call = self.calls.get(request)?;
        let left = call.deadline.saturating_duration_since(now);
        if left < FORWARD_MIN {
            self.end_unserved(now, request, RefusalReason::TooLate, actions);
            return None;
        }
        Some(left)
    }

    /// Returns the endpoint for a call's next attempt. Without a link to the leader
    /// there are no permits, so endpoints that need one are passed over.
    fn choose_permitted(&mut self, now: Instant, request: RequestId) -> Option<EndpointChoice> {
        loop {
            let view = ChoiceView {
                index: &self.index,
                endpoints: &self.endpoints,
                zone: &self.config.zone,
                entries: self.rates.holders(),
            };
            let choice = choose_endpoint(now, view, self.calls.get(request)?)?;
            let needs_permit = self.endpoints.needs_permit(now, &choice.id);
            if !needs_permit || self.links.leader_link().is_some() {
                return Some(choice);
            }
            self.deny_endpoint(now, &choice.id, PERMIT_UNAVAILABLE_RETRY);
        }
    }

    /// Forwards a call to an endpoint; if that needs a permit, the caller has one.
    pub(crate) fn forward_call(
        &mut self,
        now: Instant,
        request: RequestId,
        endpoint: &EndpointId,
        left: Duration,
        actions: &mut Actions,
    ) {
        self.record_accepted(now, request, endpoint, actions);
        self.endpoints.cold.record_traffic();
        self.count_cold_request(now, endpoint, actions);
        let is_limited = self.endpoints.rate_limit(endpoint).is_some();
        let software = self.endpoints.software(endpoint).cloned();
        let exchange = self.calls.begin_exchange(request);
        let (Some(call), Some(usage)) = (
            self.calls.get_mut(request),
            self.endpoints.usage_mut(endpoint),
        ) else {
            return;
        };
        let Some(address) = usage.address else {
            return;
        };
        let prompt = call.terms.tokens.map_or(0, |tokens| tokens.prompt);
        usage.running += 1;
        call.engine_work = None;
        if let Some(traits) = measured_traits(&self.index, &call.service) {
            let kept = begin_work(now, usage, call, traits);
            record_prompt_metrics(kept, prompt, actions);
        } else {
            let cached = match call.copy {
                Some(_) => prompt,
                None => usage.cache.cached_tokens(&call.chain),
            };
            call.prefill_tokens = prompt.saturating_sub(cached);
            usage.prefill_tokens += call.prefill_tokens;
            let service = self.index.service(&call.service);
            if let Some(engine) = service.and_then(|service| service.engine.as_ref()) {
                let tokens_max = engine.cache_tokens / PREFIX_CACHE_DIVISOR;
                usage
                    .cache
                    .record_prompt(&call.chain, &call.terms.prefix, tokens_max);
            }
        }
        if call.attempts > 0 {
            let metric = RoleAction::Metric(MetricKind::Count, metrics::HANDED_AGAIN, 1);
            actions.push(metric);
        }
        call.attempts += 1;
        call.first_forwarded = call.first_forwarded.or(Some(now));
        call.endpoint = endpoint.clone();
        call.endpoint_born_ms = usage.born_ms();
        call.endpoint_software = software.unwrap_or_default();
        call.is_version_unsure = false;
        call.is_limited = is_limited;
        call.attempt_started = Some(now);
        call.response = PendingResponse::default();
        call.pace_mark = None;
        call.attempt_deadline = response_timeout(call).map(|limit| now + limit);
        if let Some(at) = call.attempt_deadline {
            self.calls.set_timer(at, request);
        }
        let Some(call) = self.calls.get(request) else {
            return;
        };
        if call.engine_work.is_some() {
            self.endpoints.record_prefixes(now, call);
        }
        let http = forwarded_request(&self.codec, call, left);
        actions.push(RoleAction::Metric(
            MetricKind::Count,
            metrics::HANDED_OVER,
            1,
        ));
        actions.push(RoleAction::Exchange(ExchangeCommand::Start {
            exchange,
            address,
            http,
            echoed_field: Some(self.codec.echoed_field(&call.terms.id)),
            connect_timeout: CONNECT_TIMEOUT,
            reader: Some(request),
        }));
    }

    pub(crate) fn fail_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        cause: FailureCause,
        actions: &mut Actions,
    ) {
        let failure = cause.failure;
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let line = format!(
            "attempt id={} endpoint={} attempts={} status={} delimited={} begun={} event={} \
             content={:x} parts={} outcome={failure:?} cause=\"{}\"",
            text(&call.terms.id),
            text(&call.endpoint),
            call.attempts,
            call.response.status,
            call.response.is_delimited,
            call.head_sent,
            call.events.last_event().unwrap_or_default(),
            call.content_hash(),
            parts_text(call.shared_parts()),
            cause.text,
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        if failure == AttemptFailure::Broken {
            call.ran = RunState::Maybe;
        }
        // An attempt that goes on from a copy counts as the run before it, which was sent.
        let from_copy = call.copy.take().is_some();
        if failure == AttemptFailure::NotSent && !from_copy {
            call.attempts -= 1;
        }
        call.events.end_run();
        call.tried.push(call.endpoint.clone());
        let misdirected = call.response.misdirected;
        let model = call.terms.model.clone().filter(|_| misdirected);
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            match model {
                Some(model) => usage.record_missing(model),
                None if failure == AttemptFailure::NotRun => {}
                None => usage.record_failure(now),
            }
        }
        if self.try_acquire_retry(now, request, failure, actions) {
            self.start_attempt(now, request, actions);
            return;
        }
        let ran = self.calls.get(request).map(|call| call.ran);
        let reason = match ran {
            Some(RunState::Maybe) => RefusalReason::Broken,
            _ => RefusalReason::NoEndpoint,
        };
        self.end_unserved(now, request, reason, actions);
    }

    /// Returns whether a call may be forwarded to another endpoint, and charges
    /// the retry budget if so.
    pub(crate) fn try_acquire_retry(
        &mut self,
        now: Instant,
        request: RequestId,
        failure: AttemptFailure,
        actions: &mut Actions,
    ) -> bool {
        let Some(call) = self.calls.get(request) else {
            return false;
        };
        let not_run = call.ran == RunState::No && failure != AttemptFailure::Broken;
        let left = call.deadline.saturating_duration_since(now);
        let allowed = (not_run || call.route.is_idempotent)
            && call.can_continue()
            && call.attempts < call.route.max_attempts
            && left >= FORWARD_MIN;
        if !allowed || call.attempts == 0 {
            return allowed;
        }
        let may_crash = call.trial == CallTrial::Broken || self.is_suspected(call);
        if failure == AttemptFailure::Broken && may_crash {
            return false;
        }
        self.charge_retry(request, actions)
    }

    /// Charges the retry budget for a call that goes to a further endpoint; returns
    /// whether there is enough.
    pub(crate) fn charge_retry(&mut self, request: RequestId, actions: &mut Actions) -> bool {
        let Some(call) = self.calls.get(request) else {
            return false;
        };
        let budget = self.budgets.get_mut(&call.service);
        let is_acquired = budget.is_some_and(|budget| budget.acquire_retry());
        if !is_acquired {
            let metric = RoleAction::Metric(MetricKind::Count, metrics::BUDGET_SPENT, 1);
            actions.push(metric);
        } else if call.head_sent {
            actions.push(RoleAction::Metric(MetricKind::Count, metrics::RESUMED, 1));
        }
        is_acquired
    }

    /// Refuses a call that no endpoint completed. The refusal never states "not
    /// run" for a call that may have run.
    pub(crate) fn end_unserved(
        &mut self,
        now: Instant,
        request: RequestId,
        reason: RefusalReason,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let is_running = matches!(call.stage, CallStage::Running(_));
        let reason = match (call.ran, reason) {
            (RunState::No, RefusalReason::TimedOut) if !is_running => RefusalReason::TooLate,
            (
                RunState::Maybe,
                RefusalReason::NoEndpoint
                | RefusalReason::AtLimit
                | RefusalReason::VersionGone
                | RefusalReason::Quarantined,
            ) => RefusalReason::Broken,
            (RunState::Maybe, RefusalReason::TooLate) => RefusalReason::TimedOut,
            (_, reason) => reason,
        };
        let awaits_model = call.terms.model.is_some() && call.first_forwarded.is_none();
        let opening = self.endpoints.next_opening(now, &call.service);
        let opening = opening.filter(|_| call.terms.model.is_none());
        let permit = self.endpoints.next_permit(now, call.needs());
        let permit = permit.filter(|_| reason == RefusalReason::AtLimit);
        let retry_after = match opening {
            _ if permit.is_some() => permit
                .map_or(ENDPOINT_RETRY, |at| at.saturating_duration_since(now))
                .max(PERMIT_RETRY_MIN),
            _ if awaits_model => MODEL_RETRY,
            Some(at) => at.saturating_duration_since(now).max(ENDPOINT_RETRY),
            None => ENDPOINT_RETRY,
        };
        self.refuse_call(now, request, reason, Some(retry_after), actions);
    }

    /// Removes a call from the load counts of its endpoint.
    pub(crate) fn release_endpoint(&mut self, request: RequestId) {
        self.end_trial(request, false);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if !matches!(call.stage, CallStage::Running(_)) {
            return;
        }
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            usage.running = usage.running.saturating_sub(1);
            usage.prefill_tokens = usage.prefill_tokens.saturating_sub(call.prefill_tokens);
            let held = call.engine_work.map_or(0, |work| work.held_tokens);
            usage.held_tokens = usage.held_tokens.saturating_sub(held);
        }
        call.prefill_tokens = 0;
        call.engine_work = None;
    }

    /// Handles calls whose deadline or attempt timeout has expired.
    pub(crate) fn handle_due_calls(&mut self, now: Instant, actions: &mut Actions) {
        while let Some(request) = self.calls.pop_due(now) {
            let Some(call) = self.calls.get(request) else {
                continue;
            };
            if call.deadline <= now {
                self.end_unserved(now, request, RefusalReason::TimedOut, actions);
            } else if call.attempt_deadline.is_some_and(|at| at <= now) {
                self.time_out_attempt(now, request, actions);
            }
        }
    }

    /// Handles an attempt without a response in time: its endpoint is avoided,
    /// and the attempt is cancelled if the call may be retried and has the time.
    fn time_out_attempt(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.attempt_deadline = None;
        let CallStage::Running(exchange) = call.stage else {
            return;
        };
        let may_repeat = call.route.is_idempotent && call.attempts < call.route.max_attempts;
        let Some(call) = self.calls.get(request) else {
            return;
        };
        if !may_repeat || !self.fits_shutdown(now, call, None) {
            if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
                usage.record_failure(now);
            }
            return;
        }
        self.calls.end_exchange(exchange);
        actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
        let end = ExchangeEnd::Broken("no answer in time");
        self.handle_end(now, request, end, actions);
    }
}

/// Formats the shared parts of a prompt for a log line.
fn parts_text(parts: &[PromptPart]) -> String {
    let ids = parts.iter().take(LOGGED_PARTS_MAX);
    let texts: Vec<String> = ids.map(|part| format!("{:x}", part.id)).collect();
    texts.join(",")
}

/// Returns the response timeout of an attempt; none for streams, which may wait
/// in the engine's queue.
fn response_timeout(call: &CallRecord) -> Option<Duration> {
    if call.route.is_stream {
        return None;
    }
    let limit = call.route.objective * RESPONSE_TIMEOUT_OBJECTIVES;
    Some(limit.max(RESPONSE_TIMEOUT_MIN))
}

fn forwarded_request<C: CallCodec>(
    codec: &C,
    call: &CallRecord,
    time_left: Duration,
) -> HttpRequest {
    let terms = ForwardTerms {
        time_left,
        endpoint: &call.endpoint,
        account: call.account.as_ref(),
        last_event: call.events.last_event(),
        priority: call
            .terms
            .model
            .as_ref()
            .map(|_| u8::try_from(call.priority.min(9)).unwrap_or(9)),
        copy: call.copy.as_ref(),
    };
    HttpRequest {
        method: call.http.method.clone(),
        path: call.http.path.clone(),
        headers: codec.forward_fields(&call.http, &terms),
        body: call.http.body.clone(),
    }
}
