//! Responses sent to callers, and the end of calls.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{
    ExchangeCommand, LogLevel, MetricKind, RequestId, ResponsePart, RoleAction,
};
use mulberrywell_wire::request::HeaderField;

use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::{BufferedHead, CallRecord, CallStage, RunState};
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

impl<C: CallCodec> GatewayRole<C> {
    /// Refuses a request for which no call exists yet.
    pub(crate) fn refuse_request(
        &mut self,
        request: RequestId,
        id: &Bytes,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        actions: &mut Actions,
    ) {
        let (word, metric) = metrics::refusal_names(reason);
        actions.push(RoleAction::Metric(MetricKind::Count, metric, 1));
        let line = format!(
            "request id={} version={} outcome={word}",
            text(id),
            self.index.version()
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        let (status, headers) = self.codec.refusal(reason, id, retry_after);
        send_empty_response(request, status, headers, actions);
    }

    /// Ends a call with a refusal. If the head was already sent, the response
    /// is aborted, so that the caller sees that it is incomplete.
    pub(crate) fn refuse_call(
        &mut self,
        now: Instant,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        actions: &mut Actions,
    ) {
        let Some(call) = self.finish_call(request, actions) else {
            return;
        };
        let (word, metric) = metrics::refusal_names(reason);
        actions.push(RoleAction::Metric(MetricKind::Count, metric, 1));
        let retry_after = self.spread_return(now, &call, reason, retry_after);
        if let Some(metric) = metrics::class_rejected(call.class, reason) {
            actions.push(RoleAction::Metric(MetricKind::Count, metric, 1));
        }
        let level = call
            .account
            .as_ref()
            .map(|account| self.rates.level(account));
        let line = format!(
            "refusal id={} retry_ms={} rate_level={} shared={} entries={}",
            text(&call.terms.id),
            retry_after.map_or(0, millis),
            level.map_or(0, |(level, _)| level),
            level.is_some_and(|(_, is_shared)| is_shared),
            self.rates.holders(),
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        self.log_call(now, &call, word, 0, actions);
        if call.head_sent {
            actions.push(RoleAction::Metric(MetricKind::Count, metrics::ABORTED, 1));
            actions.push(RoleAction::Respond(request, ResponsePart::Abort));
            return;
        }
        let (status, headers) = self.codec.refusal(reason, &call.terms.id, retry_after);
        send_empty_response(request, status, headers, actions);
    }

    /// Ends a call whose complete response was sent to the caller.
    pub(crate) fn complete_call(
        &mut self,
        now: Instant,
        request: RequestId,
        status: u16,
        actions: &mut Actions,
    ) {
        actions.push(RoleAction::Respond(request, ResponsePart::End));
        let Some(call) = self.finish_call(request, actions) else {
            return;
        };
        actions.push(RoleAction::Metric(MetricKind::Count, metrics::ANSWERED, 1));
        let elapsed = millis(now.saturating_duration_since(call.started));
        let metric = RoleAction::Metric(MetricKind::DurationMs, metrics::WHOLE_ANSWER, elapsed);
        actions.push(metric);
        self.log_call(now, &call, "answered", status, actions);
    }

    /// Ends a call whose caller disconnected.
    pub(crate) fn handle_disconnect(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) {
        let Some(call) = self.finish_call(request, actions) else {
            return;
        };
        let metric = RoleAction::Metric(MetricKind::Count, metrics::CALLERS_GONE, 1);
        actions.push(metric);
        self.log_call(now, &call, "caller_gone", 0, actions);
    }

    /// Removes a call, cancels its exchange and refunds its units if it did not
    /// run.
    fn finish_call(&mut self, request: RequestId, actions: &mut Actions) -> Option<CallRecord> {
        self.release_endpoint(request);
        let mut call = self.calls.remove(request)?;
        self.deferred.remove(request);
        self.end_copy(request, actions);
        if let Some(account) = call.account.as_ref().filter(|_| call.class.is_deferrable()) {
            self.token_waits.remove(account, (call.priority, request));
        }
        if let CallStage::Running(exchange) = call.stage {
            actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
            call.ran = RunState::Maybe;
        }
        if let Some(account) = &call.account {
            if call.ran == RunState::No {
                self.rates.refund(account, call.reserved);
            }
        }
        Some(call)
    }

    fn log_call(
        &self,
        now: Instant,
        call: &CallRecord,
        outcome: &str,
        status: u16,
        actions: &mut Actions,
    ) {
        let account = call.account.as_ref().map(text).unwrap_or_default();
        let since = |at: Instant| millis(at.saturating_duration_since(call.started));
        let wait = since(call.first_forwarded.unwrap_or(now));
        let first = call.first_chunk.map_or(0, since);
        let model = call.terms.model.as_ref();
        let line = format!(
            "request id={} route={} account={account} units={} output={} model={} adapter={} \
             version={} endpoint={} software={} attempts={} ran={:?} wait_ms={wait} first_ms={first} pause_ms={} \
             spent_ms={} status={status} delimited={} event={} \
             outcome={outcome}",
            text(&call.terms.id),
            text(&call.route.name),
            call.units,
            call.terms.tokens.map_or(0, |tokens| tokens.output),
            model.map(|model| text(&model.model)).unwrap_or_default(),
            model.map(|model| text(&model.adapter)).unwrap_or_default(),
            call.version,
            text(&call.endpoint),
            text(&call.endpoint_software),
            call.attempts,
            call.ran,
            millis(call.longest_gap),
            since(now),
            call.response.is_delimited,
            call.events.last_event().unwrap_or_default(),
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
    }
}

/// Sends a response head.
pub(crate) fn send_head(
    request: RequestId,
    head: BufferedHead,
    length: Option<u64>,
    actions: &mut Actions,
) {
    let part = ResponsePart::Head {
        status: head.status,
        headers: head.headers,
        length,
    };
    actions.push(RoleAction::Respond(request, part));
}

/// Sends a response without a body.
pub(crate) fn send_empty_response(
    request: RequestId,
    status: u16,
    headers: Vec<HeaderField>,
    actions: &mut Actions,
) {
    let head = BufferedHead { status, headers };
    send_head(request, head, Some(0), actions);
    actions.push(RoleAction::Respond(request, ResponsePart::End));
}

/// Formats a name for a log line.
pub(crate) fn text(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
