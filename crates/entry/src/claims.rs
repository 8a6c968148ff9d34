//! Claims of idempotency keys for requests that may run only once.
//!
//! The claim is committed before the request is forwarded, and the outcome
//! after the request has ended. If the request did not run, its claim is
//! released. If that is unknown, the claim stays, so that a resend is refused
//! as pending and never runs.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_role::{header_value, ResponsePart, RoleAction};
use mulberrywell_wire::claim::{
    ClaimAnswer, ClaimRequest, ClaimState, OutcomeReport, StoredAnswer,
};
use mulberrywell_wire::request::Ran;
use mulberrywell_wire::FrameBody;

use crate::call_stage::{CallEvent, CallStage};
use crate::call_table::{CallClaim, CallRecord, CallSequence};
use crate::entry_role::{send_response, Actions, EntryRole, RETRY_DELAY};
use crate::http_response::{header, ran_header, CallerError, CallerRefusal};

/// Name of the idempotency key's header.
const KEY_HEADER: &str = "Idempotency-Key";

/// Timeout for the commit of a claim.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of claims tracked after their call ended, as their answer may
/// still arrive.
const LATE_CLAIMS_MAX: usize = 1_024;

/// Maximum number of outcomes awaiting acknowledgement.
const OUTCOMES_MAX: usize = 4_096;

/// Maximum size in bytes of a stored response body.
const STORED_BODY_MAX: usize = 256 * 1_024;

impl EntryRole {
    /// Returns the claim that a call needs, if it has an idempotency key.
    pub(crate) fn claim_for_call(call: &CallRecord) -> Option<CallClaim> {
        let key = header_value(&call.headers, KEY_HEADER)?;
        let len = |text: &Bytes| u64::try_from(text.len()).unwrap_or(0).to_be_bytes();
        let text = [
            &len(&call.method)[..],
            &call.method,
            &len(&call.path),
            &call.path,
            &call.body,
        ];
        Some(CallClaim {
            key: digest_key(key),
            digest: digest_key(&text.concat()),
            ..CallClaim::default()
        })
    }

    pub(crate) fn claim_or_start(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get_mut(sequence) else {
            return;
        };
        let Some(claim) = &mut call.claim else {
            self.start_next_attempt(now, sequence, actions);
            return;
        };
        claim.requested = Some(now);
        let request = ClaimRequest {
            sequence,
            account: call.account.clone(),
            key: claim.key.clone(),
            digest: claim.digest.clone(),
        };
        match self.link.send(FrameBody::ClaimRequest(request)) {
            Some(command) => {
                actions.push(RoleAction::Link(command));
                self.advance(sequence, CallEvent::ClaimWanted);
            }
            None => self.refuse_claim(now, sequence, actions),
        }
    }

    pub(crate) fn handle_claim_answer(
        &mut self,
        now: Instant,
        answer: ClaimAnswer,
        actions: &mut Actions,
    ) {
        let sequence = answer.sequence;
        let state = answer.state();
        let waiting = self
            .calls
            .get_mut(sequence)
            .filter(|call| call.stage == CallStage::Claiming);
        let Some(call) = waiting else {
            self.release_late_claim(sequence, &answer, actions);
            return;
        };
        match state {
            ClaimState::Granted => {
                if let Some(claim) = &mut call.claim {
                    claim.claim = answer.claim;
                }
                self.start_next_attempt(now, sequence, actions);
            }
            ClaimState::Done => match answer.answer {
                Some(stored) => self.replay(now, sequence, stored, actions),
                None => self.end_pending(now, sequence, actions),
            },
            ClaimState::Pending => self.end_pending(now, sequence, actions),
            ClaimState::Mismatch => {
                let refusal = CallerError::ClaimMismatch.into();
                self.end_with_refusal(now, sequence, &refusal, Ran::No, actions);
            }
            ClaimState::Unavailable | ClaimState::Unspecified => {
                self.refuse_claim(now, sequence, actions);
            }
        }
    }

    /// Refuses the calls whose claims were not answered in time, or all calls
    /// with a pending claim if the link was lost.
    pub(crate) fn expire_claims(&mut self, now: Instant, link_lost: bool, actions: &mut Actions) {
        let due = self.calls.matching(|call| {
            let requested = call.claim.as_ref().and_then(|claim| claim.requested);
            call.stage == CallStage::Claiming
                && (link_lost
                    || requested.is_some_and(|requested| now >= requested + CLAIM_TIMEOUT))
        });
        for sequence in due {
            self.refuse_claim(now, sequence, actions);
        }
    }

    fn refuse_claim(&mut self, now: Instant, sequence: CallSequence, actions: &mut Actions) {
        let refusal = CallerRefusal::from(CallerError::ClaimUnavailable).retry_after(RETRY_DELAY);
        self.end_with_refusal(now, sequence, &refusal, Ran::No, actions);
    }

    /// Refuses a resend because the outcome of the first request is unknown.
    fn end_pending(&mut self, now: Instant, sequence: CallSequence, actions: &mut Actions) {
        let refusal = CallerRefusal::from(CallerError::ClaimPending).retry_after(RETRY_DELAY);
        self.end_with_refusal(now, sequence, &refusal, Ran::Unknown, actions);
    }

    /// Answers a resend with the stored response of the first request.
    fn replay(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        stored: StoredAnswer,
        actions: &mut Actions,
    ) {
        let Some(call) = self.remove_call(now, sequence) else {
            return;
        };
        self.refund_unused(now, &call, 0);
        let parts = vec![
            ResponsePart::Head {
                status: u16::try_from(stored.status).unwrap_or(502),
                headers: vec![
                    header("Content-Type", stored.content_type),
                    ran_header(Ran::Yes),
                ],
                length: Some(stored.body.len() as u64),
            },
            ResponsePart::Data(stored.body),
            ResponsePart::End,
        ];
        send_response(call.request, parts, actions);
    }

    /// Records a requested claim whose call ended before the answer.
    pub(crate) fn record_late_claim(&mut self, sequence: CallSequence, call: &CallRecord) {
        let Some(claim) = &call.claim else {
            return;
        };
        let report = OutcomeReport {
            sequence,
            account: call.account.clone(),
            key: claim.key.clone(),
            claim: 0,
            answer: None,
            not_run: true,
        };
        self.late_claims.insert(sequence, report);
        while self.late_claims.len() > LATE_CLAIMS_MAX {
            self.late_claims.pop_first();
        }
    }

    fn release_late_claim(
        &mut self,
        sequence: CallSequence,
        answer: &ClaimAnswer,
        actions: &mut Actions,
    ) {
        let Some(mut report) = self.late_claims.remove(&sequence) else {
            return;
        };
        if answer.state() == ClaimState::Granted {
            report.claim = answer.claim;
            self.send_outcome(report, actions);
        }
    }

    /// Reports the outcome of a claimed call that ended.
    pub(crate) fn report_call_outcome(
        &mut self,
        sequence: CallSequence,
        call: &CallRecord,
        ran: Ran,
        actions: &mut Actions,
    ) {
        let Some(claim) = call.claim.as_ref().filter(|claim| claim.claim != 0) else {
            return;
        };
        let not_storable = ran == Ran::Yes && claim.too_long;
        if ran == Ran::Unknown || not_storable {
            return;
        }
        let report = OutcomeReport {
            sequence,
            account: call.account.clone(),
            key: claim.key.clone(),
            claim: claim.claim,
            answer: (ran == Ran::Yes).then(|| claim.stored_answer()),
            not_run: ran == Ran::No,
        };
        self.send_outcome(report, actions);
    }

    fn send_outcome(&mut self, report: OutcomeReport, actions: &mut Actions) {
        let body = FrameBody::OutcomeReport(report.clone());
        actions.extend(self.link.send(body).map(RoleAction::Link));
        self.outcomes.insert(report.sequence, report);
        while self.outcomes.len() > OUTCOMES_MAX {
            self.outcomes.pop_first();
        }
    }

    /// Resends the outcomes that were not acknowledged.
    pub(crate) fn resend_outcomes(&self, actions: &mut Actions) {
        for report in self.outcomes.values() {
            let body = FrameBody::OutcomeReport(report.clone());
            actions.extend(self.link.send(body).map(RoleAction::Link));
        }
    }
}

impl CallClaim {
    /// Appends to the stored response body, unless it becomes too long to be
    /// stored.
    pub(crate) fn append_body(&mut self, data: &Bytes) {
        self.too_long |= self.body.len() + data.len() > STORED_BODY_MAX;
        if !self.too_long {
            self.body.extend_from_slice(data);
        }
    }

    fn stored_answer(&self) -> StoredAnswer {
        StoredAnswer {
            status: self.status,
            content_type: self.content_type.clone(),
            body: Bytes::copy_from_slice(&self.body),
        }
    }
}
