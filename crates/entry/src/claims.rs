//! Claims of idempotency keys for requests that may run only once.
//!
//! The claim is committed before the hand-over and the outcome after it. A
//! claim whose request did not run is given back; one whose fate is unknown
//! stays, so that a resend is told so and never runs.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_role::{header_value, AnswerPart, RoleAction};
use mulberrywell_wire::claim::{
    ClaimAnswer, ClaimRequest, ClaimState, OutcomeReport, StoredAnswer,
};
use mulberrywell_wire::request::Ran;
use mulberrywell_wire::FrameBody;

use crate::call_stage::{CallEvent, CallStage};
use crate::call_table::{CallClaim, CallRecord, CallSequence};
use crate::entry_role::{answer_all, Actions, EntryRole, RETRY_DELAY};
use crate::http_answer::{header, ran_header, CallerFault, CallerRefusal};

/// Names the header of an idempotency key.
const KEY_HEADER: &str = "Idempotency-Key";

/// Time that the commit of a claim may take.
pub(crate) const CLAIM_LIMIT: Duration = Duration::from_secs(2);

/// Claims whose answer may still come after their call was given up.
const LATE_CLAIMS_MAX: usize = 1_024;

/// Outcomes that wait for their acknowledgement.
const OUTCOMES_MAX: usize = 4_096;

/// Longest answer that is kept, in bytes.
const ANSWER_MAX: usize = 256 * 1_024;

impl EntryRole {
    /// Returns the claim that a call needs, if it names an idempotency key.
    pub(crate) fn wanted_claim(call: &CallRecord) -> Option<CallClaim> {
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
            self.try_next(now, sequence, actions);
            return;
        };
        claim.asked = Some(now);
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

    pub(crate) fn take_claim(&mut self, now: Instant, answer: ClaimAnswer, actions: &mut Actions) {
        let sequence = answer.sequence;
        let state = answer.state();
        let waiting = self
            .calls
            .get_mut(sequence)
            .filter(|call| call.stage == CallStage::Claiming);
        let Some(call) = waiting else {
            self.release_late(sequence, &answer, actions);
            return;
        };
        match state {
            ClaimState::Granted => {
                if let Some(claim) = &mut call.claim {
                    claim.claim = answer.claim;
                }
                self.try_next(now, sequence, actions);
            }
            ClaimState::Done => match answer.answer {
                Some(stored) => self.replay(now, sequence, stored, actions),
                None => self.end_pending(now, sequence, actions),
            },
            ClaimState::Pending => self.end_pending(now, sequence, actions),
            ClaimState::Mismatch => {
                let refusal = CallerFault::ClaimMismatch.into();
                self.end_with(now, sequence, &refusal, Ran::No, actions);
            }
            ClaimState::Unavailable | ClaimState::Unspecified => {
                self.refuse_claim(now, sequence, actions);
            }
        }
    }

    /// Refuses the calls whose claims have no answer in time.
    pub(crate) fn expire_claims(&mut self, now: Instant, link_lost: bool, actions: &mut Actions) {
        let due = self.calls.matching(|call| {
            let asked = call.claim.as_ref().and_then(|claim| claim.asked);
            call.stage == CallStage::Claiming
                && (link_lost || asked.is_some_and(|asked| now >= asked + CLAIM_LIMIT))
        });
        for sequence in due {
            self.refuse_claim(now, sequence, actions);
        }
    }

    fn refuse_claim(&mut self, now: Instant, sequence: CallSequence, actions: &mut Actions) {
        let refusal = CallerRefusal::from(CallerFault::ClaimUnavailable).after(RETRY_DELAY);
        self.end_with(now, sequence, &refusal, Ran::No, actions);
    }

    /// Tells a resend that the first request's outcome is not known.
    fn end_pending(&mut self, now: Instant, sequence: CallSequence, actions: &mut Actions) {
        let refusal = CallerRefusal::from(CallerFault::ClaimPending).after(RETRY_DELAY);
        self.end_with(now, sequence, &refusal, Ran::Unknown, actions);
    }

    /// Answers a resend with the first request's answer.
    fn replay(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        stored: StoredAnswer,
        actions: &mut Actions,
    ) {
        let Some(call) = self.close_call(now, sequence) else {
            return;
        };
        self.settle(now, &call, 0);
        let parts = vec![
            AnswerPart::Head {
                status: u16::try_from(stored.status).unwrap_or(502),
                headers: vec![
                    header("Content-Type", stored.content_type),
                    ran_header(Ran::Yes),
                ],
                length: Some(stored.body.len() as u64),
            },
            AnswerPart::Data(stored.body),
            AnswerPart::End,
        ];
        answer_all(call.request, parts, actions);
    }

    /// Remembers a claim that was asked for and given up.
    pub(crate) fn note_late_claim(&mut self, sequence: CallSequence, call: &CallRecord) {
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

    fn release_late(
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
            self.report_outcome(report, actions);
        }
    }

    /// Reports the outcome of a claimed call that ended.
    pub(crate) fn report_call(
        &mut self,
        sequence: CallSequence,
        call: &CallRecord,
        ran: Ran,
        actions: &mut Actions,
    ) {
        let Some(claim) = call.claim.as_ref().filter(|claim| claim.claim != 0) else {
            return;
        };
        let untold = ran == Ran::Yes && claim.too_long;
        if ran == Ran::Unknown || untold {
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
        self.report_outcome(report, actions);
    }

    fn report_outcome(&mut self, report: OutcomeReport, actions: &mut Actions) {
        let body = FrameBody::OutcomeReport(report.clone());
        actions.extend(self.link.send(body).map(RoleAction::Link));
        self.outcomes.insert(report.sequence, report);
        while self.outcomes.len() > OUTCOMES_MAX {
            self.outcomes.pop_first();
        }
    }

    /// Sends the outcomes again that were not acknowledged.
    pub(crate) fn resend_outcomes(&self, actions: &mut Actions) {
        for report in self.outcomes.values() {
            let body = FrameBody::OutcomeReport(report.clone());
            actions.extend(self.link.send(body).map(RoleAction::Link));
        }
    }
}

impl CallClaim {
    /// Keeps a part of the answer; one that gets too long is not kept.
    pub(crate) fn keep_part(&mut self, data: &Bytes) {
        self.too_long |= self.body.len() + data.len() > ANSWER_MAX;
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
