//! Forwarding of attempts' responses to callers, and the end of calls.

use std::time::Instant;

use mulberrywell_role::{header_value, LinkId, MetricKind, RequestId, ResponsePart, RoleAction};
use mulberrywell_wire::request::{AttemptEnd, AttemptHead, AttemptPart, Ran};

use crate::call_stage::{CallEvent, CallStage};
use crate::call_table::{CallRecord, CallSequence};
use crate::endpoint_pool::AttemptOutcome;
use crate::entry_role::{Actions, EntryAction, EntryRole, RETRY_DELAY};
use crate::event_stream::EventStream;
use crate::http_response::{ran_header, refusal_response, CallerError, CallerRefusal};

/// Media type of event streams.
const EVENT_TYPE: &[u8] = b"text/event-stream";

/// Encoding of a body that is not encoded.
const PLAIN_ENCODING: &[u8] = b"identity";

impl EntryRole {
    pub(crate) fn handle_head(
        &mut self,
        now: Instant,
        link: LinkId,
        head: AttemptHead,
        actions: &mut Actions,
    ) {
        let Some(sequence) = self.current_call(head.id.as_ref(), link) else {
            return;
        };
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        let Some(attempt) = call
            .attempt
            .as_mut()
            .filter(|attempt| !attempt.head_received)
        else {
            return;
        };
        attempt.head_received = true;
        attempt.is_success = (200..300).contains(&head.status);
        // A response to HEAD has no body.
        let is_stream = head.status == 200 && call.method != "HEAD" && is_event_stream(&head);
        if call.head_sent {
            if !is_stream {
                self.abandon_attempt(now, sequence, actions);
            }
            return;
        }
        call.head_sent = true;
        if is_stream {
            call.events = Some(EventStream::default());
        }
        if let Some(claim) = &mut call.claim {
            claim.status = head.status;
            let kind = header_value(&head.headers, "content-type");
            claim.content_type = kind.cloned().unwrap_or_default();
        }
        let mut headers = head.headers;
        headers.push(ran_header(Ran::Yes));
        let part = ResponsePart::Head {
            status: u16::try_from(head.status).unwrap_or(502),
            headers,
            length: None,
        };
        send_part(call, part, actions);
    }

    pub(crate) fn handle_part(
        &mut self,
        now: Instant,
        link: LinkId,
        part: AttemptPart,
        actions: &mut Actions,
    ) {
        let Some(sequence) = self.current_call(part.id.as_ref(), link) else {
            return;
        };
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        let Some(attempt) = &mut call.attempt else {
            return;
        };
        if attempt.received != part.offset || !attempt.head_received {
            self.abandon_attempt(now, sequence, actions);
            return;
        }
        attempt.received += part.data.len() as u64;
        self.record_progress(now, sequence, false);
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        let data = match &mut call.events {
            Some(events) => events.push(&part.data),
            None => Some(part.data),
        };
        match data {
            Some(data) if !data.is_empty() => {
                if let Some(claim) = &mut call.claim {
                    claim.append_body(&data);
                }
                let software = call.attempt.as_ref().map(|it| it.software.clone());
                if call.events.is_some() {
                    call.software = call.software.take().or(software);
                }
                send_part(call, ResponsePart::Data(data), actions);
            }
            Some(_) => {}
            None => self.abandon_attempt(now, sequence, actions),
        }
    }

    pub(crate) fn handle_end(
        &mut self,
        now: Instant,
        link: LinkId,
        end: &AttemptEnd,
        actions: &mut Actions,
    ) {
        let Some(sequence) = self.current_call(end.id.as_ref(), link) else {
            return;
        };
        if !end.whole || !self.is_response_complete(sequence, end.length) {
            let outcome = AttemptOutcome::Failure;
            self.fail_attempt(now, sequence, end.ran(), outcome, actions);
            return;
        }
        self.record_progress(now, sequence, true);
        self.end_attempt(now, sequence, AttemptOutcome::Success);
        self.complete_call(now, sequence, end.tokens, actions);
    }

    /// Returns whether the current attempt's response was received up to its
    /// length in bytes and does not break off inside its stream.
    fn is_response_complete(&self, sequence: CallSequence, length: u64) -> bool {
        let Some(call) = self.calls.get(sequence) else {
            return false;
        };
        let is_received = call
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.head_received && attempt.received == length);
        is_received && !call.events.as_ref().is_some_and(EventStream::is_truncated)
    }

    /// Ends a call whose response is complete; `tokens` counts the output
    /// tokens, 0 when unknown.
    pub(crate) fn complete_call(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        tokens: u64,
        actions: &mut Actions,
    ) {
        let Some(call) = self.remove_call(now, sequence) else {
            return;
        };
        self.report_call_outcome(sequence, &call, Ran::Yes, actions);
        send_part(&call, ResponsePart::End, actions);
        let elapsed = now.saturating_duration_since(call.started).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let metric = RoleAction::Metric(MetricKind::DurationMs, "entry.call", elapsed);
        actions.push(metric);
        let delivered = call.events.as_ref().map_or(0, EventStream::delivered);
        let output = tokens.max(delivered);
        if output > 0 {
            self.refund_unused(now, &call, call.prompt_tokens.saturating_add(output));
        }
    }

    /// Cancels an attempt whose frames are not usable, then retries or ends its
    /// call.
    fn abandon_attempt(&mut self, now: Instant, sequence: CallSequence, actions: &mut Actions) {
        self.cancel_attempt(sequence, actions);
        let outcome = AttemptOutcome::Failure;
        self.fail_attempt(now, sequence, Ran::Unknown, outcome, actions);
    }

    pub(crate) fn handle_disconnect(
        &mut self,
        now: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) {
        let Some(sequence) = self.calls.find_by_request(request) else {
            return;
        };
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        if call.claim.is_some() && call.attempt.is_some() {
            // The call goes on, as a resend of the request needs its outcome.
            call.detached = true;
            return;
        }
        call.detached = true;
        self.cancel_call(now, sequence, CallerError::Deadline, actions);
    }

    /// Cancels a call and sends the refusal immediately.
    pub(crate) fn cancel_call(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        error: CallerError,
        actions: &mut Actions,
    ) {
        let refusal = CallerRefusal::from(error).retry_after(RETRY_DELAY);
        self.cancel_attempt(sequence, actions);
        let ran = self.ran_so_far(sequence);
        self.end_with_refusal(now, sequence, &refusal, ran, actions);
    }

    /// Cancels a call with a refusal that is true only if the request did not run;
    /// otherwise the caller learns that the endpoint failed.
    pub(crate) fn cancel_with_refusal(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        refusal: CallerRefusal,
        actions: &mut Actions,
    ) {
        self.cancel_attempt(sequence, actions);
        let ran = self.ran_so_far(sequence);
        let refusal = match ran {
            Ran::No => refusal,
            _ => CallerError::EndpointFailed.into(),
        };
        self.end_with_refusal(now, sequence, &refusal, ran, actions);
    }

    /// Returns whether a call without a complete response may have run.
    pub(crate) fn ran_so_far(&self, sequence: CallSequence) -> Ran {
        let call = self.calls.get(sequence);
        match call.is_some_and(|call| call.attempt.is_some() || call.may_have_run) {
            true => Ran::Unknown,
            false => Ran::No,
        }
    }

    /// Ends a call with a refusal. If the head was already sent, the response
    /// is aborted.
    pub(crate) fn end_with_refusal(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        refusal: &CallerRefusal,
        ran: Ran,
        actions: &mut Actions,
    ) {
        let Some(call) = self.remove_call(now, sequence) else {
            return;
        };
        let was_attempted = call.attempts > 0;
        if ran == Ran::No || !was_attempted {
            self.refund_unused(now, &call, 0);
        }
        self.report_call_outcome(sequence, &call, ran, actions);
        if call.head_sent {
            send_part(&call, ResponsePart::Abort, actions);
            return;
        }
        for part in refusal_response(refusal, ran) {
            send_part(&call, part, actions);
        }
    }

    /// Removes a call from the table and cancels what it waits for.
    pub(crate) fn remove_call(
        &mut self,
        now: Instant,
        sequence: CallSequence,
    ) -> Option<CallRecord> {
        self.end_attempt(now, sequence, AttemptOutcome::Neutral);
        let stage = self.calls.get(sequence)?.stage;
        self.advance(sequence, CallEvent::End);
        let call = self.calls.remove(sequence)?;
        self.last_call_end = now;
        match stage {
            CallStage::Reserving => self.leases.cancel(now, &call.account, sequence),
            CallStage::Claiming => self.record_late_claim(sequence, &call),
            CallStage::Admitted | CallStage::Running | CallStage::Ended => {}
        }
        Some(call)
    }
}

/// Returns whether the body is a stream of events, whatever the parameters of its type.
/// The events of an encoded body can't be told apart.
fn is_event_stream(head: &AttemptHead) -> bool {
    let content_type = header_value(&head.headers, "content-type");
    let media_type = content_type.and_then(|kind| kind.split(|byte| *byte == b';').next());
    let encoding = header_value(&head.headers, "content-encoding");
    media_type.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(EVENT_TYPE))
        && encoding.is_none_or(|name| name.trim_ascii().eq_ignore_ascii_case(PLAIN_ENCODING))
}

fn send_part(call: &CallRecord, part: ResponsePart, actions: &mut Actions) {
    if !call.detached {
        actions.push(RoleAction::RoleSpecific(EntryAction::Respond(
            call.request,
            part,
        )));
    }
}
