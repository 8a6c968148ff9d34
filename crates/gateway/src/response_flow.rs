//! Forwarding of endpoints' responses to callers.
//!
//! Algorithm: a stream is forwarded in complete events, its head with the first
//! of them. Any other response is buffered until it is complete, so that an
//! incomplete one can be retried; beyond [`BUFFERED_BODY_MAX`] it is forwarded
//! in chunks.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use mulberrywell_role::{
    ExchangeCommand, ExchangeEnd, ExchangeEvent, ExchangeId, LogLevel, MetricKind, RequestId,
    ResponsePart, RoleAction,
};
use mulberrywell_wire::serving::LeavingEndpoint;

use crate::attempts::AttemptFailure;
use crate::call_codec::{CallCodec, ResponseTerms};
use crate::call_table::{BufferedHead, CallStage, RunState};
use crate::caller_responses::{millis, send_head, text};
use crate::event_splitter::EventError;
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};
use crate::response_check::check_response;

/// Maximum size in bytes of a body that is buffered until it is complete.
const BUFFERED_BODY_MAX: usize = 256 * 1024;

/// Divisor of the length of a buffered body that gives its spare capacity.
const SPARE_DIVISOR: usize = 4;

/// Lowest status of server errors.
const SERVER_ERROR_MIN: u16 = 500;

/// Longest time for which an endpoint is sent nothing at its own request; it may ask
/// for more time than an instant can hold.
const CLOSED_TIME_MAX: Duration = Duration::from_secs(3_600);

impl<C: CallCodec> GatewayRole<C> {
    pub(crate) fn handle_exchange(
        &mut self,
        now: Instant,
        event: ExchangeEvent,
        actions: &mut Actions,
    ) {
        if self.handle_probe(now, &event, actions) || self.handle_copy(now, &event, actions) {
            return;
        }
        match event {
            ExchangeEvent::Head {
                exchange,
                status,
                headers,
                is_delimited,
                is_confirmed,
            } => {
                if let Some(request) = self.calls.request_of_exchange(exchange) {
                    let head = BufferedHead { status, headers };
                    let terms = self.read_terms(now, request, &head, is_confirmed, actions);
                    self.handle_head(request, head, terms, is_delimited);
                }
            }
            ExchangeEvent::Data { exchange, data } => {
                if let Some(request) = self.calls.request_of_exchange(exchange) {
                    self.handle_data(now, request, exchange, &data, actions);
                }
            }
            ExchangeEvent::Full { exchange } => {
                if let Some(request) = self.calls.request_of_exchange(exchange) {
                    self.handle_full(now, request, exchange, actions);
                }
            }
            ExchangeEvent::End { exchange, end } => {
                if let Some(request) = self.calls.end_exchange(exchange) {
                    if self.hold_end(now, request, end, actions) {
                        return;
                    }
                    self.record_end(now, request, end, actions);
                    self.handle_end(now, request, end, actions);
                }
            }
        }
    }

    /// Records what the end of a call's exchange says of its endpoint.
    pub(crate) fn record_end(
        &mut self,
        now: Instant,
        request: RequestId,
        end: ExchangeEnd,
        actions: &mut Actions,
    ) {
        self.suspect_cold(now, request, end, actions);
        match end {
            ExchangeEnd::Broken(_) => {
                self.record_break(now, request, actions);
                self.end_trial(request, true);
            }
            ExchangeEnd::Refused(_) => self.record_refusing(request),
            ExchangeEnd::Complete | ExchangeEnd::NotSent(_) => {}
        }
    }

    /// Records that the endpoint of a call refused the connection: it has probably
    /// crashed, long before its heartbeats count as missing.
    fn record_refusing(&mut self, request: RequestId) {
        if let Some(call) = self.calls.get(request) {
            let start = (call.endpoint.clone(), call.endpoint_born_ms);
            self.demand.record_refusing(start);
        }
    }

    /// Reads what a response says, and records what it says of its endpoint. One that may
    /// belong to an earlier request is out of date if it does.
    fn read_terms(
        &mut self,
        now: Instant,
        request: RequestId,
        head: &BufferedHead,
        is_confirmed: bool,
        actions: &mut Actions,
    ) -> ResponseTerms {
        let terms = self.codec.read_response_head(head.status, &head.headers);
        if !is_confirmed {
            return terms.without_proof();
        }
        self.record_closing(now, request, terms, actions);
        self.record_limit(request, terms, actions);
        self.record_call_cold(now, request, terms, actions);
        terms
    }

    fn handle_head(
        &mut self,
        request: RequestId,
        mut head: BufferedHead,
        terms: ResponseTerms,
        is_delimited: bool,
    ) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        head.headers = self.codec.response_fields(head.headers);
        call.response.status = head.status;
        call.response.is_delimited = is_delimited;
        call.response.not_run = terms.not_run;
        call.response.run_unconfirmed = terms.run_unconfirmed;
        call.response.misdirected = terms.misdirected;
        call.response.continues_stream = terms.continues_stream;
        // The body of an error is no stream.
        call.response.is_stream =
            call.response.is_success() && (terms.is_stream || call.route.is_stream);
        call.response.head = Some(head);
        call.attempt_deadline = None;
    }

    /// Records what a response says of the endpoint's further requests.
    fn record_closing(
        &mut self,
        now: Instant,
        request: RequestId,
        terms: ResponseTerms,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let Some(usage) = self.endpoints.usage_mut(&call.endpoint) else {
            return;
        };
        if let Some(time) = terms.closed_for.map(|time| time.min(CLOSED_TIME_MAX)) {
            usage.record_closed(now + time);
            let line = format!(
                "endpoint id={} outcome=closed closed_ms={}",
                text(&call.endpoint),
                millis(time)
            );
            actions.push(RoleAction::Log(LogLevel::Info, line));
        }
        if !terms.leaving {
            return;
        }
        if let Some(born_ms) = usage.record_leaving() {
            let line = format!("endpoint id={} outcome=leaving", text(&call.endpoint));
            actions.push(RoleAction::Log(LogLevel::Info, line));
            self.demand.record_leaving(LeavingEndpoint {
                id: call.endpoint.clone(),
                born_ms,
            });
        }
    }

    fn handle_data(
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
        if call.response.not_run || call.is_resumption_refused() {
            return;
        }
        if !call.response.is_stream {
            extend_body(&mut call.response.body, data);
            self.forward_long_body(now, request, actions);
            return;
        }
        match call.events.feed(data) {
            Ok(None) => {}
            Ok(Some(events)) => self.forward_events(now, request, events, actions),
            Err(error) => {
                let cause = match error {
                    EventError::TooLong => "an event is too long",
                    EventError::Repeated => "the stream began anew",
                    EventError::SecondHead => "the stream has a head among its events",
                    EventError::Foreign => "the resumption began with text that is no event",
                };
                self.break_exchange(now, request, exchange, cause, actions);
            }
        }
    }

    fn break_exchange(
        &mut self,
        now: Instant,
        request: RequestId,
        exchange: ExchangeId,
        cause: &'static str,
        actions: &mut Actions,
    ) {
        self.calls.end_exchange(exchange);
        actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
        let end = ExchangeEnd::Broken(cause);
        self.handle_end(now, request, end, actions);
    }

    /// Passes on what is held of a response that there is no memory for. A part of an event
    /// is never passed on, so that its stream can't go on.
    fn handle_full(
        &mut self,
        now: Instant,
        request: RequestId,
        exchange: ExchangeId,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        if call.response.not_run || call.is_resumption_refused() {
            return;
        }
        if call.response.is_stream {
            let cause = "an event is too long for the memory";
            self.break_exchange(now, request, exchange, cause, actions);
        } else if !call.response.body.is_empty() {
            self.forward_begun_body(now, request, actions);
        }
    }

    fn forward_events(
        &mut self,
        now: Instant,
        request: RequestId,
        events: Bytes,
        actions: &mut Actions,
    ) {
        self.record_chunk(now, request, actions);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.ran = RunState::Maybe;
        if !call.head_sent {
            call.head_sent = true;
            if let Some(head) = call.response.head.take() {
                send_head(request, head, None, actions);
            }
        }
        self.bind_begun_stream(now, request, actions);
        actions.push(RoleAction::Respond(request, ResponsePart::Data(events)));
    }

    /// Forwards a body that is too long to be buffered.
    fn forward_long_body(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let call = self.calls.get(request);
        if call.is_some_and(|it| it.head_sent || it.response.body.len() > BUFFERED_BODY_MAX) {
            self.forward_begun_body(now, request, actions);
        }
    }

    /// Forwards what was received of a body.
    fn forward_begun_body(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if let Some(head) = call.response.head.take() {
            call.head_sent = true;
            call.ran = RunState::Maybe;
            send_head(request, head, None, actions);
        }
        let data = call.response.body.split().freeze();
        actions.push(RoleAction::Respond(request, ResponsePart::Data(data)));
        self.record_chunk(now, request, actions);
    }

    fn record_chunk(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        self.record_progress(now, request, false);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            usage.prefill_tokens = usage.prefill_tokens.saturating_sub(call.prefill_tokens);
            usage.record_success(now);
        }
        call.prefill_tokens = 0;
        self.record_pace(now, request);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let gap = call
            .last_chunk
            .replace(now)
            .map(|at| now.saturating_duration_since(at));
        call.longest_gap = call.longest_gap.max(gap.unwrap_or_default());
        if call.first_chunk.is_none() {
            call.first_chunk = Some(now);
            let elapsed = millis(now.saturating_duration_since(call.started));
            let metric = RoleAction::Metric(MetricKind::DurationMs, metrics::FIRST_PIECE, elapsed);
            actions.push(metric);
        }
    }

    pub(crate) fn handle_end(
        &mut self,
        now: Instant,
        request: RequestId,
        end: ExchangeEnd,
        actions: &mut Actions,
    ) {
        self.end_copy(request, actions);
        self.release_endpoint(request);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        call.stage = CallStage::Waiting;
        if let Err(cause) = check_response(call, end) {
            self.fail_attempt(now, request, cause, actions);
            return;
        }
        call.ran = RunState::Maybe;
        let head = call.response.head.as_ref();
        let is_error = head.is_some_and(|head| head.status >= SERVER_ERROR_MIN);
        if !is_error {
            self.record_chunk(now, request, actions);
            self.record_progress(now, request, true);
            self.record_whole(now, request);
            self.forward_rest(now, request, actions);
            return;
        }
        call.tried.push(call.endpoint.clone());
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            usage.record_failure(now);
        }
        let call = self.calls.get(request);
        let has_time = call.is_some_and(|call| self.fits_shutdown(now, call, None));
        if has_time && self.try_acquire_retry(now, request, AttemptFailure::Broken, actions) {
            self.start_attempt(now, request, actions);
        } else {
            self.forward_rest(now, request, actions);
        }
    }

    /// Forwards what remains of a complete response.
    fn forward_rest(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let status = call.response.head.as_ref().map_or(200, |head| head.status);
        let body = if call.response.is_stream {
            call.events.take_rest()
        } else {
            call.response.body.split().freeze()
        };
        if let Some(head) = call.response.head.take().filter(|_| !call.head_sent) {
            call.head_sent = true;
            send_head(request, head, Some(body.len() as u64), actions);
        }
        if !body.is_empty() {
            actions.push(RoleAction::Respond(request, ResponsePart::Data(body)));
        }
        self.complete_call(now, request, status, actions);
    }
}

/// Appends a part to a buffered body, with little spare capacity.
fn extend_body(body: &mut BytesMut, data: &Bytes) {
    let len = body.len() + data.len();
    if len > body.capacity() {
        let mut grown = BytesMut::with_capacity(len + len / SPARE_DIVISOR);
        grown.extend_from_slice(body);
        *body = grown;
    }
    body.extend_from_slice(data);
}
