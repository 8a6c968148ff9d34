//! Attempts of calls: endpoint choice, start, failure, retry, resumption and
//! cancellation.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::LinkId;
use mulberrywell_wire::config::EndpointItem;
use mulberrywell_wire::request::{
    AttemptCancel, AttemptId, AttemptRefused, AttemptStart, Ran, RefusalReason,
};
use mulberrywell_wire::FrameBody;

use crate::call_stage::CallEvent;
use crate::call_table::{CallRecord, CallSequence, CallTarget, CurrentAttempt};
use crate::endpoint_pool::AttemptOutcome;
use crate::entry_role::{Actions, EntryRole, RETRY_DELAY};
use crate::http_response::{CallerError, CallerRefusal};

/// Maximum number of attempts of a call.
const ATTEMPTS_MAX: u32 = 4;

impl EntryRole {
    /// Starts the next attempt of a call, or ends the call if no endpoint is
    /// available.
    pub(crate) fn start_next_attempt(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        actions: &mut Actions,
    ) {
        loop {
            let Some(endpoint) = self.next_endpoint(now, sequence) else {
                self.end_without_endpoint(now, sequence, actions);
                return;
            };
            if self.start_attempt(now, sequence, &endpoint, actions) {
                return;
            }
        }
    }

    fn next_endpoint(&mut self, now: Instant, sequence: CallSequence) -> Option<EndpointItem> {
        let call = self.calls.get_mut(sequence)?;
        if call.attempts >= ATTEMPTS_MAX {
            return None;
        }
        if call.attempts == 0 {
            self.retries.record_request();
        } else if !self.retries.acquire_retry() {
            return None;
        }
        let seed = sequence ^ u64::from(call.attempts) << 32 ^ self.config.incarnation;
        let directory = self.link.directory();
        let chosen = self.pool.choose(now, directory, call, seed);
        if chosen.is_some() || !call.head_sent {
            return chosen;
        }
        // A started stream may resume at a replica that failed before, as a
        // last resort.
        call.tried.clear();
        self.pool.choose(now, directory, call, seed)
    }

    /// Sends an attempt; returns false when the endpoint's address can't be
    /// parsed.
    fn start_attempt(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        endpoint: &EndpointItem,
        actions: &mut Actions,
    ) -> bool {
        let Some(call) = self.calls.get_mut(sequence) else {
            return true;
        };
        call.attempts += 1;
        call.tried.push(endpoint.name.clone());
        let number = call.attempts;
        if let Some(events) = &mut call.events {
            events.discard_partial();
        }
        let Some(call) = self.calls.get(sequence) else {
            return true;
        };
        let start = self.attempt_start(now, call, sequence, number, endpoint);
        let body = FrameBody::AttemptStart(start);
        let link = self
            .agents
            .send(endpoint, body, &mut self.next_link, &mut self.commands);
        let Some(link) = link else {
            return false;
        };
        self.pool.record_start(now, endpoint, call);
        self.flush(actions);
        self.advance(sequence, CallEvent::Attempt);
        if let Some(call) = self.calls.get_mut(sequence) {
            call.attempt = Some(CurrentAttempt {
                number,
                endpoint: endpoint.name.clone(),
                incarnation: endpoint.incarnation,
                software: endpoint.software.clone(),
                link,
                started: now,
                begun: None,
                is_success: false,
                has_lasted: false,
                received: 0,
                head_received: false,
            });
        }
        true
    }

    fn end_without_endpoint(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(sequence) else {
            return;
        };
        if let CallTarget::Model(model) = &call.target {
            self.demand.record_refusal(model);
        }
        let ran = if call.may_have_run {
            Ran::Unknown
        } else {
            Ran::No
        };
        let error = match ran {
            Ran::No => CallerError::NoEndpoint,
            _ => CallerError::EndpointFailed,
        };
        let refusal = CallerRefusal::from(error).retry_after(call.retry_after.max(RETRY_DELAY));
        self.end_with_refusal(now, sequence, &refusal, ran, actions);
    }

    fn attempt_start(
        &self,
        now: Instant,
        call: &CallRecord,
        sequence: CallSequence,
        number: u32,
        endpoint: &EndpointItem,
    ) -> AttemptStart {
        let directory = self.link.directory();
        let plan = directory
            .account(&call.account)
            .and_then(|account| directory.plan_of(account));
        let model = match &call.target {
            CallTarget::Model(name) => name.clone(),
            CallTarget::Service(_) => Bytes::new(),
        };
        let left = call.deadline.saturating_duration_since(now);
        AttemptStart {
            id: Some(self.attempt_id(sequence, number)),
            endpoint: endpoint.name.clone(),
            endpoint_incarnation: endpoint.incarnation,
            account: call.account.clone(),
            model,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            weight: plan.map_or(1, |plan| plan.weight),
            priority: plan.map_or(0, |plan| plan.priority),
            prompt_tokens: call.prompt_tokens,
            output_tokens: call.output_tokens,
            resume_events: call.events.as_ref().map_or(0, |events| events.delivered()),
            idempotent: call.idempotent,
            prefix: call.prefix,
            stream: call.stream,
        }
    }

    fn attempt_id(&self, sequence: CallSequence, attempt: u32) -> AttemptId {
        AttemptId {
            incarnation: self.config.incarnation,
            sequence,
            attempt,
        }
    }

    pub(crate) fn handle_refusal(
        &mut self,
        now: Instant,
        link: LinkId,
        refusal: &AttemptRefused,
        actions: &mut Actions,
    ) {
        let Some(sequence) = self.current_call(refusal.id.as_ref(), link) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(sequence) {
            let delay = Duration::from_millis(refusal.retry_after_ms);
            call.retry_after = call.retry_after.max(delay);
        }
        if refusal.crashed {
            self.record_crash(now, sequence, actions);
        }
        let outcome = match refusal.reason() {
            RefusalReason::EngineDown => AttemptOutcome::Failure,
            _ => AttemptOutcome::Neutral,
        };
        self.fail_attempt(now, sequence, refusal.ran(), outcome, actions);
    }

    /// Ends an attempt without a complete response, then retries or ends the
    /// call.
    pub(crate) fn fail_attempt(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        ran: Ran,
        outcome: AttemptOutcome,
        actions: &mut Actions,
    ) {
        self.end_attempt(now, sequence, outcome);
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        call.may_have_run |= ran != Ran::No;
        if call.events.as_ref().is_some_and(|events| events.is_done()) {
            self.complete_call(now, sequence, 0, actions);
            return;
        }
        let resumable = !call.head_sent || (call.events.is_some() && call.idempotent);
        let repeatable = call.idempotent || !call.may_have_run;
        let may_crash = ran != Ran::No && outcome == AttemptOutcome::Failure;
        let allowed = resumable && repeatable && now < call.deadline;
        if allowed && !(may_crash && self.is_suspected(sequence)) {
            self.start_next_attempt(now, sequence, actions);
            return;
        }
        let ran = self.ran_so_far(sequence);
        let refusal = match ran {
            Ran::No => CallerRefusal::from(CallerError::EndpointFailed).retry_after(RETRY_DELAY),
            _ => CallerError::EndpointFailed.into(),
        };
        self.end_with_refusal(now, sequence, &refusal, ran, actions);
    }

    /// Removes the current attempt of a call and records its outcome.
    pub(crate) fn end_attempt(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        outcome: AttemptOutcome,
    ) {
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        let tokens = call.total_tokens();
        if let Some(attempt) = call.attempt.take() {
            self.pool
                .record_end(now, &attempt.endpoint, tokens, outcome);
        }
    }

    /// Sends a cancellation of the current attempt to its agent.
    pub(crate) fn cancel_attempt(&mut self, sequence: CallSequence, actions: &mut Actions) {
        let attempt = self
            .calls
            .get(sequence)
            .and_then(|call| call.attempt.as_ref());
        let Some((link, number)) = attempt.map(|attempt| (attempt.link, attempt.number)) else {
            return;
        };
        let cancel = AttemptCancel {
            id: Some(self.attempt_id(sequence, number)),
        };
        let body = FrameBody::AttemptCancel(cancel);
        self.agents.send_on(link, body, &mut self.commands);
        self.flush(actions);
    }

    /// Returns the call whose current attempt sent a frame.
    pub(crate) fn current_call(
        &self,
        id: Option<&AttemptId>,
        link: LinkId,
    ) -> Option<CallSequence> {
        let id = id.filter(|id| id.incarnation == self.config.incarnation)?;
        self.calls.find_by_attempt(id, link)
    }

    /// Fails the attempts of a closed link.
    pub(crate) fn fail_link_attempts(
        &mut self,
        now: Instant,
        link: LinkId,
        was_open: bool,
        actions: &mut Actions,
    ) {
        let ran = if was_open { Ran::Unknown } else { Ran::No };
        let uses = |call: &CallRecord| {
            let attempt = call.attempt.as_ref();
            attempt.is_some_and(|attempt| attempt.link == link)
        };
        let calls = self.calls.matching(uses);
        if was_open {
            self.record_lost_link(now, &calls);
        }
        for sequence in calls {
            self.fail_attempt(now, sequence, ran, AttemptOutcome::Failure, actions);
        }
    }
}
