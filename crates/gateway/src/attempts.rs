//! Attempts of calls at endpoints, and the answers that they bring.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{
    AnswerPart, ExchangeCommand, ExchangeEnd, ExchangeEvent, ExchangeId, HttpRequest, LogLevel,
    MetricKind, RequestId, RoleAction,
};
use mulberrywell_serving::EndpointId;

use crate::call_book::{CallRecord, CallStage, HeldHead, OpenAnswer, RunState};
use crate::call_codec::{CallCodec, HandoverTerms, ModelTerms, RefusalReason};
use crate::caller_answers::{millis, send_head, text};
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

/// Interval at which waiting calls are looked at.
pub(crate) const WAIT_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which a caller without an endpoint is to come back.
const ENDPOINT_RETRY: Duration = Duration::from_millis(400);

/// Shortest time without an answer after which an idempotent call is tried
/// elsewhere.
const SILENCE_MIN: Duration = Duration::from_millis(400);

/// Latency objectives after which an idempotent call is tried elsewhere.
const SILENCE_OBJECTIVES: u32 = 2;

/// Longest body that is sent on only once it is whole, in bytes.
const HELD_BODY_MAX: usize = 256 * 1024;

/// Share of an engine's cache that its prompts are believed to fill; running
/// requests take the rest.
const CACHE_SHARE: u64 = 2;

/// Status that tells that the server failed.
const SERVER_FAULT: u16 = 500;

/// How an attempt ended without an answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptFailure {
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
        let is_service = call.terms.model.is_none();
        if is_service && now.saturating_duration_since(call.started) >= SERVICE_WAIT {
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

    pub(crate) fn take_exchange(
        &mut self,
        now: Instant,
        event: ExchangeEvent,
        actions: &mut Actions,
    ) {
        match event {
            ExchangeEvent::Head {
                exchange,
                status,
                headers,
                length: _,
            } => {
                if let Some(request) = self.calls.request_of(exchange) {
                    self.take_head(request, HeldHead { status, headers });
                }
            }
            ExchangeEvent::Data { exchange, data } => {
                if let Some(request) = self.calls.request_of(exchange) {
                    self.take_data(now, request, exchange, &data, actions);
                }
            }
            ExchangeEvent::End { exchange, end } => {
                if let Some(request) = self.calls.end_exchange(exchange) {
                    self.take_end(now, request, end, actions);
                }
            }
        }
    }

    fn take_head(&mut self, request: RequestId, mut head: HeldHead) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let terms = self.codec.read_answer(head.status, &head.headers);
        head.headers = self.codec.answer_fields(head.headers);
        call.answer.not_run = terms.not_run;
        call.answer.unclear = terms.unclear;
        call.answer.misdirected = terms.misdirected;
        call.answer.is_stream = terms.is_stream || (call.route.is_stream && head.status < 300);
        call.answer.head = Some(head);
        call.attempt_deadline = None;
    }

    fn take_data(
        &mut self,
        now: Instant,
        request: RequestId,
        exchange: ExchangeId,
        data: &Bytes,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if call.answer.not_run {
            return;
        }
        if !call.answer.is_stream {
            call.answer.body.extend_from_slice(data);
            self.pass_long_body(now, request, actions);
            return;
        }
        match call.events.feed(data) {
            Ok(None) => {}
            Ok(Some(events)) => self.pass_events(now, request, events, actions),
            Err(_) => {
                self.calls.end_exchange(exchange);
                actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
                let end = ExchangeEnd::Broken("an event is too long");
                self.take_end(now, request, end, actions);
            }
        }
    }

    fn pass_events(
        &mut self,
        now: Instant,
        request: RequestId,
        events: Bytes,
        actions: &mut Actions,
    ) {
        self.note_first_piece(now, request, actions);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.ran = RunState::Maybe;
        if !call.head_sent {
            call.head_sent = true;
            if let Some(head) = call.answer.head.take() {
                send_head(request, head, None, actions);
            }
        }
        actions.push(RoleAction::Answer(request, AnswerPart::Data(events)));
    }

    /// Begins to pass on a body that is too long to be held.
    fn pass_long_body(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if !call.head_sent && call.answer.body.len() <= HELD_BODY_MAX {
            return;
        }
        if let Some(head) = call.answer.head.take() {
            call.head_sent = true;
            call.ran = RunState::Maybe;
            send_head(request, head, None, actions);
        }
        let data = call.answer.body.split().freeze();
        actions.push(RoleAction::Answer(request, AnswerPart::Data(data)));
        self.note_first_piece(now, request, actions);
    }

    fn note_first_piece(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            usage.unread_tokens = usage.unread_tokens.saturating_sub(call.unread_tokens);
            usage.note_success();
        }
        call.unread_tokens = 0;
        if call.first_piece.is_none() {
            call.first_piece = Some(now);
            let spent = millis(now.saturating_duration_since(call.started));
            let metric = RoleAction::Metric(MetricKind::TimeMs, counters::FIRST_PIECE, spent);
            actions.push(metric);
        }
    }

    fn take_end(
        &mut self,
        now: Instant,
        request: RequestId,
        end: ExchangeEnd,
        actions: &mut Actions,
    ) {
        self.leave_endpoint(request);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.stage = CallStage::Endpoint;
        let failure = match end {
            ExchangeEnd::NotSent(_) => Some(AttemptFailure::NotSent),
            ExchangeEnd::Broken(_) if call.answer.not_run => Some(AttemptFailure::NotRun),
            ExchangeEnd::Broken(_) => Some(AttemptFailure::Broken),
            ExchangeEnd::Whole if call.answer.not_run => Some(AttemptFailure::NotRun),
            ExchangeEnd::Whole if call.answer.unclear => Some(AttemptFailure::Broken),
            ExchangeEnd::Whole if call.answer.is_stream && call.events.has_tail() => {
                Some(AttemptFailure::Broken)
            }
            ExchangeEnd::Whole => None,
        };
        if let Some(failure) = failure {
            let cause = match end {
                ExchangeEnd::NotSent(cause) | ExchangeEnd::Broken(cause) => cause,
                ExchangeEnd::Whole => "the endpoint refused it",
            };
            self.fail_attempt(now, request, failure, cause, actions);
            return;
        }
        call.ran = RunState::Maybe;
        let faulty = call.answer.head.as_ref();
        let faulty = faulty.is_some_and(|head| head.status >= SERVER_FAULT);
        if faulty && self.may_try_again(now, request, AttemptFailure::Broken, actions) {
            self.start_attempt(now, request, actions);
            return;
        }
        self.pass_whole(now, request, actions);
    }

    /// Passes on what is left of a whole answer.
    fn pass_whole(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        self.note_first_piece(now, request, actions);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let status = call.answer.head.as_ref().map_or(200, |head| head.status);
        let body = call.answer.body.split().freeze();
        if let Some(head) = call.answer.head.take().filter(|_| !call.head_sent) {
            call.head_sent = true;
            send_head(request, head, Some(body.len() as u64), actions);
        }
        if !body.is_empty() {
            actions.push(RoleAction::Answer(request, AnswerPart::Data(body)));
        }
        self.complete_call(now, request, status, actions);
    }

    fn fail_attempt(
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
    fn may_try_again(
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
        self.refuse_call(now, request, reason, Some(ENDPOINT_RETRY), actions);
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

    /// Ends an attempt that has had no answer for too long, if another one is
    /// allowed.
    fn give_attempt_up(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.attempt_deadline = None;
        let CallStage::Running(exchange) = call.stage else {
            return;
        };
        if call.attempts >= call.route.max_attempts {
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

/// Returns how long an attempt may be silent.
fn silence_limit(call: &CallRecord) -> Option<Duration> {
    if !call.route.is_idempotent || call.route.is_stream {
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
