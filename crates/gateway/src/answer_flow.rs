//! Answers of endpoints on their way to callers.
//!
//! Algorithm: a stream goes on by whole events, its head with the first of them;
//! any other answer goes on once it is whole, so that a broken one can be tried
//! again, or piece by piece past [`HELD_BODY_MAX`].

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::{
    AnswerPart, ExchangeCommand, ExchangeEnd, ExchangeEvent, ExchangeId, MetricKind, RequestId,
    RoleAction,
};

use crate::attempts::AttemptFailure;
use crate::call_book::{CallStage, HeldHead, RunState};
use crate::call_codec::CallCodec;
use crate::caller_answers::{millis, send_head};
use crate::gateway_counters as counters;
use crate::gateway_role::{Actions, GatewayRole};

/// Longest body that is sent on only once it is whole, in bytes.
const HELD_BODY_MAX: usize = 256 * 1024;

/// Status that tells that the server failed.
const SERVER_FAULT: u16 = 500;

impl<C: CallCodec> GatewayRole<C> {
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
        self.note_piece(now, request, actions);
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
        self.note_piece(now, request, actions);
    }

    fn note_piece(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            usage.unread_tokens = usage.unread_tokens.saturating_sub(call.unread_tokens);
            usage.note_success(now);
        }
        call.unread_tokens = 0;
        let pause = call
            .last_piece
            .replace(now)
            .map(|at| now.saturating_duration_since(at));
        call.longest_pause = call.longest_pause.max(pause.unwrap_or_default());
        if call.first_piece.is_none() {
            call.first_piece = Some(now);
            let spent = millis(now.saturating_duration_since(call.started));
            let metric = RoleAction::Metric(MetricKind::TimeMs, counters::FIRST_PIECE, spent);
            actions.push(metric);
        }
    }

    pub(crate) fn take_end(
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
        if !faulty {
            self.note_piece(now, request, actions);
            self.pass_whole(now, request, actions);
            return;
        }
        call.tried.push(call.endpoint.clone());
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            usage.note_failure(now);
        }
        if self.may_try_again(now, request, AttemptFailure::Broken, actions) {
            self.start_attempt(now, request, actions);
        } else {
            self.pass_whole(now, request, actions);
        }
    }

    /// Passes on what is left of a whole answer.
    fn pass_whole(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
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
}
