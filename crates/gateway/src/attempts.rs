//! Attempts of calls at endpoints: hand-overs, failures and what follows.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{
    ExchangeCommand, ExchangeEnd, HttpRequest, LogLevel, MetricKind, RequestId, RoleAction,
};
use mulberrywell_serving::EndpointId;

use crate::call_book::{CallRecord, CallStage, OpenAnswer, RunState};
use crate::call_codec::{CallCodec, HandoverTerms, ModelTerms, RefusalReason};
use crate::caller_answers::text;
use crate::gateway_counters as counters;
use crate::gateway_role::{Actions, GatewayRole};
use crate::service_choice::{choose_endpoint, ChoiceView};

/// Longest time for a new connection to an endpoint; links within a region
/// take a few milliseconds, and a lost opening packet is sent again after one
/// second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time left below which a call is handed over no more: an endpoint could not
/// answer in it.
const HANDOVER_MIN: Duration = Duration::from_millis(15);

/// Longest time that a call waits for an endpoint of a plain service.
const SERVICE_WAIT: Duration = Duration::from_millis(1_500);

/// Longest time that a call waits for an engine with its model, in latency
/// objectives; a caller that comes back later is served by the load meanwhile.
const MODEL_WAIT_OBJECTIVES: f64 = 1.5;

/// The same time where the objective is short: a load from the weight store takes
/// two to four seconds.
const MODEL_WAIT_MIN: Duration = Duration::from_millis(2_500);

/// Part of the caller's time that the call may wait at most, so that the caller
/// has time to come back.
const MODEL_WAIT_PART: u32 = 2;

/// Interval at which waiting calls are looked at.
pub(crate) const WAIT_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which a caller without an endpoint is to come back.
const ENDPOINT_RETRY: Duration = Duration::from_millis(400);

/// Time after which a caller whose model is nowhere is to come back.
const MODEL_RETRY: Duration = Duration::from_millis(1_500);

/// Shortest time without an answer after which an endpoint counts as faulty and
/// an idempotent call is tried elsewhere.
const SILENCE_MIN: Duration = Duration::from_millis(400);

/// The same time in latency objectives.
const SILENCE_OBJECTIVES: u32 = 2;

/// Share of an engine's cache that its prompts are believed to fill; running
/// requests take the rest.
const CACHE_SHARE: u64 = 2;

/// How an attempt ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No byte was sent.
    NotSent,
    /// The endpoint says that it did not run the call.
    NotRun,
    /// The endpoint may have run the call.
    Broken,
}

impl<C: CallCodec> GatewayRole<C> {
    /// Hands a call to an endpoint, or lets it wait for one.
    pub(crate) fn start_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let left = call.deadline.saturating_duration_since(now);
        if left < HANDOVER_MIN {
            self.end_unserved(now, request, RefusalReason::TooLate, actions);
            return;
        }
        let view = ChoiceView {
            endpoints: &self.endpoints,
            zone: &self.config.zone,
            entries: self.entries,
        };
        match choose_endpoint(now, view, call) {
            Some(endpoint) => self.hand_over(now, request, &endpoint, left, actions),
            None if call.attempts > 0 => {
                self.end_unserved(now, request, RefusalReason::NoEndpoint, actions);
            }
            None => self.await_endpoint(now, request, actions),
        }
    }

    fn await_endpoint(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        if now.saturating_duration_since(call.started) >= endpoint_wait(call) {
            self.end_unserved(now, request, RefusalReason::NoEndpoint, actions);
            return;
        }
        if let Some(model) = call.terms.model.clone() {
            let service = call.service.clone();
            self.want_model(now, service, model);
        }
        self.calls.wait(request);
    }

    fn hand_over(
        &mut self,
        now: Instant,
        request: RequestId,
        endpoint: &EndpointId,
        left: Duration,
        actions: &mut Actions,
    ) {
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
        call.unread_tokens = prompt.saturating_sub(usage.cache.kept_tokens(&call.chain));
        usage.running += 1;
        usage.unread_tokens += call.unread_tokens;
        let service = self.index.service(&call.service);
        if let Some(engine) = service.and_then(|service| service.engine.as_ref()) {
            let tokens_max = engine.cache_tokens / CACHE_SHARE;
            usage
                .cache
                .note(&call.chain, &call.terms.prefix, tokens_max);
        }
        if call.attempts > 0 {
            let metric = RoleAction::Metric(MetricKind::Count, counters::HANDED_AGAIN, 1);
            actions.push(metric);
        }
        call.attempts += 1;
        call.handed = call.handed.or(Some(now));
        call.endpoint = endpoint.clone();
        call.answer = OpenAnswer::default();
        call.attempt_deadline = silence_limit(call).map(|limit| now + limit);
        if let Some(at) = call.attempt_deadline {
            self.calls.set_alarm(at, request);
        }
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let http = handed_request(&self.codec, call, left);
        actions.push(RoleAction::Metric(
            MetricKind::Count,
            counters::HANDED_OVER,
            1,
        ));
        actions.push(RoleAction::Exchange(ExchangeCommand::Start {
            exchange,
            address,
            http,
            matched: Some(self.codec.matched_field(&call.terms.id)),
            connect_timeout: CONNECT_TIMEOUT,
        }));
    }

    pub(crate) fn fail_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        failure: AttemptFailure,
        cause: &str,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let line = format!(
            "attempt id={} endpoint={} attempts={} outcome={failure:?} cause=\"{cause}\"",
            text(&call.terms.id),
            text(&call.endpoint),
            call.attempts,
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        if failure == AttemptFailure::Broken {
            call.ran = RunState::Maybe;
        }
        if failure == AttemptFailure::NotSent {
            call.attempts -= 1;
        }
        call.events.drop_tail();
        call.tried.push(call.endpoint.clone());
        let misdirected = call.answer.misdirected;
        let model = call.terms.model.clone().filter(|_| misdirected);
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            match model {
                Some(model) => usage.note_missing(model),
                None if failure == AttemptFailure::NotRun => {}
                None => usage.note_failure(now),
            }
        }
        if self.may_try_again(now, request, failure, actions) {
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

    /// Tells whether a call may be handed to another endpoint, and takes what
    /// that costs from the budget.
    pub(crate) fn may_try_again(
        &mut self,
        now: Instant,
        request: RequestId,
        failure: AttemptFailure,
        actions: &mut Actions,
    ) -> bool {
        let Some(call) = self.calls.get(request) else {
            return false;
        };
        let certain = call.ran == RunState::No && failure != AttemptFailure::Broken;
        let left = call.deadline.saturating_duration_since(now);
        let allowed = (certain || call.route.is_idempotent)
            && call.attempts < call.route.max_attempts
            && left >= HANDOVER_MIN;
        if !allowed || call.attempts == 0 {
            return allowed;
        }
        let budget = self.budgets.get_mut(&call.service);
        let granted = budget.is_some_and(|budget| budget.take_retry());
        if !granted {
            let metric = RoleAction::Metric(MetricKind::Count, counters::BUDGET_SPENT, 1);
            actions.push(metric);
        } else if call.head_sent {
            actions.push(RoleAction::Metric(MetricKind::Count, counters::RESUMED, 1));
        }
        granted
    }

    /// Ends a call that no endpoint answered; one that may have run is never
    /// told that it has not.
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
        let in_work = matches!(call.stage, CallStage::Running(_));
        let reason = match (call.ran, reason) {
            (RunState::No, RefusalReason::TimedOut) if !in_work => RefusalReason::TooLate,
            (RunState::Maybe, RefusalReason::NoEndpoint) => RefusalReason::Broken,
            (RunState::Maybe, RefusalReason::TooLate) => RefusalReason::TimedOut,
            (_, reason) => reason,
        };
        let lacks_model = call.terms.model.is_some() && call.handed.is_none();
        let retry = if lacks_model {
            MODEL_RETRY
        } else {
            ENDPOINT_RETRY
        };
        self.refuse_call(now, request, reason, Some(retry), actions);
    }

    /// Takes the call of a request out of its endpoint's counts.
    pub(crate) fn leave_endpoint(&mut self, request: RequestId) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if !matches!(call.stage, CallStage::Running(_)) {
            return;
        }
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            usage.running = usage.running.saturating_sub(1);
            usage.unread_tokens = usage.unread_tokens.saturating_sub(call.unread_tokens);
        }
        call.unread_tokens = 0;
    }

    /// Looks at calls whose time has come.
    pub(crate) fn check_calls(&mut self, now: Instant, actions: &mut Actions) {
        while let Some(request) = self.calls.next_due(now) {
            let Some(call) = self.calls.get(request) else {
                continue;
            };
            if call.deadline <= now {
                self.end_unserved(now, request, RefusalReason::TimedOut, actions);
            } else if call.attempt_deadline.is_some_and(|at| at <= now) {
                self.give_attempt_up(now, request, actions);
            }
        }
    }

    /// Lets other endpoints go first where an attempt has had no answer for too
    /// long; ends the attempt if another one is allowed.
    fn give_attempt_up(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.attempt_deadline = None;
        let CallStage::Running(exchange) = call.stage else {
            return;
        };
        if !call.route.is_idempotent || call.attempts >= call.route.max_attempts {
            if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
                usage.note_failure(now);
            }
            return;
        }
        self.calls.end_exchange(exchange);
        actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
        let end = ExchangeEnd::Broken("no answer in time");
        self.take_end(now, request, end, actions);
    }

    /// Tries calls that wait for an endpoint.
    pub(crate) fn try_waiting(&mut self, now: Instant, actions: &mut Actions) {
        for request in self.calls.waiting() {
            self.start_attempt(now, request, actions);
        }
    }

    fn want_model(&mut self, now: Instant, service: Bytes, model: ModelTerms) {
        self.wanted.note(now, service, model);
    }
}

/// Returns how long a call waits for an endpoint.
fn endpoint_wait(call: &CallRecord) -> Duration {
    if call.terms.model.is_none() {
        return SERVICE_WAIT;
    }
    let wait = call.route.objective.mul_f64(MODEL_WAIT_OBJECTIVES);
    let patience = call.deadline.saturating_duration_since(call.started);
    wait.max(MODEL_WAIT_MIN).min(patience / MODEL_WAIT_PART)
}

/// Returns how long an attempt may be silent; an engine's streams may wait in
/// its queue.
fn silence_limit(call: &CallRecord) -> Option<Duration> {
    if call.route.is_stream {
        return None;
    }
    let limit = call.route.objective * SILENCE_OBJECTIVES;
    Some(limit.max(SILENCE_MIN))
}

fn handed_request<C: CallCodec>(codec: &C, call: &CallRecord, left: Duration) -> HttpRequest {
    let terms = HandoverTerms {
        left,
        endpoint: &call.endpoint,
        account: call.account.as_ref(),
        last_event: call.events.last_event(),
        urgency: call
            .terms
            .model
            .as_ref()
            .map(|_| u8::try_from(call.priority.min(9)).unwrap_or(9)),
    };
    HttpRequest {
        method: call.http.method.clone(),
        path: call.http.path.clone(),
        headers: codec.handover_fields(&call.http, &terms),
        body: call.http.body.clone(),
    }
}
