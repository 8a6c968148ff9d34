//! Answers of attempts on their way to callers, and the ends of calls.

use std::time::Instant;

use mulberrywell_role::{header_value, AnswerPart, LinkId, MetricKind, RequestId, RoleAction};
use mulberrywell_wire::request::{AttemptEnd, AttemptHead, AttemptPart, Ran};

use crate::call_stage::{CallEvent, CallStage};
use crate::call_table::{CallRecord, CallSequence};
use crate::endpoint_pool::AttemptVerdict;
use crate::entry_role::{Actions, EntryAction, EntryRole, RETRY_DELAY};
use crate::event_stream::EventStream;
use crate::http_answer::{fault_answer, ran_header, CallerFault, CallerRefusal};

/// Media type of event streams.
const EVENT_TYPE: &[u8] = b"text/event-stream";

impl EntryRole {
    pub(crate) fn take_head(
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
        let Some(attempt) = call.attempt.as_mut().filter(|attempt| !attempt.head_seen) else {
            return;
        };
        attempt.head_seen = true;
        let streams = head.status == 200 && is_event_stream(&head);
        if call.head_sent {
            if !streams {
                self.abandon_attempt(now, sequence, actions);
            }
            return;
        }
        call.head_sent = true;
        if streams && call.idempotent {
            call.events = Some(EventStream::default());
        }
        if let Some(claim) = &mut call.claim {
            claim.status = head.status;
            let kind = header_value(&head.headers, "content-type");
            claim.content_type = kind.cloned().unwrap_or_default();
        }
        let mut headers = head.headers;
        headers.push(ran_header(Ran::Yes));
        let part = AnswerPart::Head {
            status: u16::try_from(head.status).unwrap_or(502),
            headers,
            length: None,
        };
        send_part(call, part, actions);
    }

    pub(crate) fn take_part(
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
        if attempt.received != part.offset || !attempt.head_seen {
            self.abandon_attempt(now, sequence, actions);
            return;
        }
        attempt.received += part.data.len() as u64;
        if let Some(claim) = &mut call.claim {
            claim.keep_part(&part.data);
        }
        let data = match &mut call.events {
            Some(events) => events.push(&part.data),
            None => Some(part.data),
        };
        match data {
            Some(data) if !data.is_empty() => send_part(call, AnswerPart::Data(data), actions),
            Some(_) => {}
            None => self.abandon_attempt(now, sequence, actions),
        }
    }

    pub(crate) fn take_end(
        &mut self,
        now: Instant,
        link: LinkId,
        end: &AttemptEnd,
        actions: &mut Actions,
    ) {
        let Some(sequence) = self.current_call(end.id.as_ref(), link) else {
            return;
        };
        let attempt = self
            .calls
            .get(sequence)
            .and_then(|call| call.attempt.as_ref());
        let complete =
            attempt.is_some_and(|attempt| attempt.head_seen && attempt.received == end.length);
        if !end.whole || !complete {
            let verdict = AttemptVerdict::Bad;
            self.fail_attempt(now, sequence, end.ran(), verdict, actions);
            return;
        }
        self.end_attempt(now, sequence, AttemptVerdict::Good);
        if let Some(call) = self.calls.get_mut(sequence) {
            let rest = call.events.as_mut().map(EventStream::rest);
            if let Some(rest) = rest.filter(|rest| !rest.is_empty()) {
                send_part(call, AnswerPart::Data(rest), actions);
            }
        }
        self.finish(now, sequence, end.tokens, actions);
    }

    /// Ends a call whose answer is whole; `tokens` of output, 0 when unknown.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        tokens: u64,
        actions: &mut Actions,
    ) {
        let Some(call) = self.close_call(now, sequence) else {
            return;
        };
        self.report_call(sequence, &call, Ran::Yes, actions);
        send_part(&call, AnswerPart::End, actions);
        let elapsed = now.saturating_duration_since(call.started).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let metric = RoleAction::Metric(MetricKind::TimeMs, "entry.call", elapsed);
        actions.push(metric);
        let delivered = call.events.as_ref().map_or(0, EventStream::delivered);
        let output = tokens.max(delivered);
        if output > 0 {
            self.settle(now, &call, call.prompt_tokens.saturating_add(output));
        }
    }

    /// Cancels an attempt whose frames can't be used and goes on without it.
    fn abandon_attempt(&mut self, now: Instant, sequence: CallSequence, actions: &mut Actions) {
        self.cancel_attempt(sequence, actions);
        let verdict = AttemptVerdict::Bad;
        self.fail_attempt(now, sequence, Ran::Unknown, verdict, actions);
    }

    pub(crate) fn caller_gone(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(sequence) = self.calls.of_request(request) else {
            return;
        };
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        if call.claim.is_some() && call.attempt.is_some() {
            // Its outcome is wanted by a resend.
            call.detached = true;
            return;
        }
        call.detached = true;
        self.give_up(now, sequence, CallerFault::Deadline, actions);
    }

    /// Cancels a call and answers at once.
    pub(crate) fn give_up(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        fault: CallerFault,
        actions: &mut Actions,
    ) {
        self.cancel_attempt(sequence, actions);
        let started = self
            .calls
            .get(sequence)
            .is_some_and(|call| call.attempt.is_some() || call.may_have_run);
        let ran = if started { Ran::Unknown } else { Ran::No };
        let refusal = CallerRefusal::from(fault).after(RETRY_DELAY);
        self.end_with(now, sequence, &refusal, ran, actions);
    }

    /// Ends a call with a fault; one whose head is out is cut.
    pub(crate) fn end_with(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        refusal: &CallerRefusal,
        ran: Ran,
        actions: &mut Actions,
    ) {
        let Some(call) = self.close_call(now, sequence) else {
            return;
        };
        let handed_over = call.attempts > 0;
        if ran == Ran::No || !handed_over {
            self.settle(now, &call, 0);
        }
        self.report_call(sequence, &call, ran, actions);
        if call.head_sent {
            send_part(&call, AnswerPart::Abort, actions);
            return;
        }
        for part in fault_answer(refusal, ran) {
            send_part(&call, part, actions);
        }
    }

    /// Takes a call out of the table and ends what it waits for.
    pub(crate) fn close_call(
        &mut self,
        now: Instant,
        sequence: CallSequence,
    ) -> Option<CallRecord> {
        self.end_attempt(now, sequence, AttemptVerdict::Neutral);
        let stage = self.calls.get(sequence)?.stage;
        self.advance(sequence, CallEvent::End);
        let call = self.calls.remove(sequence)?;
        match stage {
            CallStage::Reserving => self.leases.cancel(now, &call.account, sequence),
            CallStage::Claiming => self.note_late_claim(sequence, &call),
            CallStage::Admitted | CallStage::Running | CallStage::Ended => {}
        }
        Some(call)
    }
}

fn is_event_stream(head: &AttemptHead) -> bool {
    header_value(&head.headers, "content-type").is_some_and(|kind| kind.starts_with(EVENT_TYPE))
}

fn send_part(call: &CallRecord, part: AnswerPart, actions: &mut Actions) {
    if !call.detached {
        actions.push(RoleAction::Own(EntryAction::Answer(call.request, part)));
    }
}
