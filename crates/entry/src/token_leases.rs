//! Token reservations of calls, and the frames of the lease client.

use std::time::{Duration, Instant};

use mulberrywell_limit::{LeaseAnswer, LeaseMessage, Reservation, ReserveOutcome, TicketEvent};
use mulberrywell_role::{MetricKind, RoleAction};
use mulberrywell_wire::rate::{LeaseGrant, LeaseRequest, LeaseReturn, TokenRefund};
use mulberrywell_wire::request::Ran;
use mulberrywell_wire::FrameBody;

use crate::call_stage::{CallEvent, CallStage};
use crate::call_table::{CallRecord, CallSequence};
use crate::entry_role::{Actions, EntryRole};
use crate::http_response::{CallerError, CallerRefusal};

impl EntryRole {
    /// Starts a call: reserves tokens, then requests the claim, then starts an
    /// attempt.
    pub(crate) fn start_call(
        &mut self,
        now: Instant,
        call: CallRecord,
        actions: &mut Actions,
    ) -> Result<(), CallerRefusal> {
        let sequence = self.calls.insert(call);
        actions.push(RoleAction::Metric(MetricKind::Count, "entry.accepted", 1));
        let Some(call) = self.calls.get(sequence) else {
            return Ok(());
        };
        if call.reserved == 0 {
            self.claim_or_start(now, sequence, actions);
            return Ok(());
        }
        let outcome = self.leases.reserve(
            now,
            &call.account.clone(),
            sequence,
            call.reserved,
            call.deadline,
        );
        if outcome == ReserveOutcome::Waiting {
            self.advance(sequence, CallEvent::TokensWanted);
        } else {
            self.handle_reserve_outcome(now, sequence, outcome, actions);
        }
        Ok(())
    }

    fn handle_reserve_outcome(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        outcome: ReserveOutcome,
        actions: &mut Actions,
    ) {
        match outcome {
            ReserveOutcome::Reserved(reservation) => {
                self.apply_reservation(now, sequence, reservation, actions);
            }
            ReserveOutcome::Waiting => {}
            ReserveOutcome::Insufficient(delay) => {
                self.refuse_call(now, sequence, CallerError::OverRate, delay, actions);
            }
            ReserveOutcome::Unavailable(delay) => {
                self.refuse_call(now, sequence, CallerError::NoLeases, delay, actions);
            }
        }
    }

    fn apply_reservation(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        reservation: Reservation,
        actions: &mut Actions,
    ) {
        if let Some(call) = self.calls.get_mut(sequence) {
            call.reservation = reservation;
            self.claim_or_start(now, sequence, actions);
        }
    }

    fn refuse_call(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        error: CallerError,
        delay: Duration,
        actions: &mut Actions,
    ) {
        actions.push(RoleAction::Metric(MetricKind::Count, "entry.refused", 1));
        let refusal = CallerRefusal::from(error).retry_after(delay);
        self.end_with_refusal(now, sequence, &refusal, Ran::No, actions);
    }

    pub(crate) fn handle_lease_grant(&mut self, now: Instant, grant: &LeaseGrant) {
        let wait = Duration::from_millis(grant.retry_after_ms);
        let answer = LeaseAnswer {
            sequence: grant.sequence,
            lease: grant.lease,
            tokens: grant.tokens,
            lifetime: Duration::from_millis(grant.lifetime_ms),
            retry_after: (!wait.is_zero()).then_some(wait),
            rate: grant.rate,
            unavailable: grant.unavailable,
        };
        self.leases.handle_answer(now, &grant.account, &answer);
    }

    /// Refunds the tokens that a call reserved and did not use.
    pub(crate) fn refund_unused(&mut self, now: Instant, call: &CallRecord, used: u64) {
        let unused = call.reserved.saturating_sub(used);
        self.leases
            .settle(now, &call.account, &call.reservation, unused);
    }

    /// Continues the calls whose reservations were decided, and sends the lease
    /// client's messages.
    pub(crate) fn process_lease_events(&mut self, now: Instant, actions: &mut Actions) {
        loop {
            let events = self.leases.take_events();
            if events.is_empty() {
                break;
            }
            for TicketEvent { ticket, outcome } in events {
                self.handle_ticket(now, ticket, outcome, actions);
            }
        }
        for message in self.leases.take_messages() {
            let command = self.link.send(lease_frame(message));
            actions.extend(command.map(RoleAction::Link));
        }
    }

    fn handle_ticket(
        &mut self,
        now: Instant,
        sequence: CallSequence,
        outcome: ReserveOutcome,
        actions: &mut Actions,
    ) {
        let is_waiting = self
            .calls
            .get(sequence)
            .is_some_and(|call| call.stage == CallStage::Reserving);
        if is_waiting {
            self.handle_reserve_outcome(now, sequence, outcome, actions);
        }
    }
}

fn lease_frame(message: LeaseMessage) -> FrameBody {
    match message {
        LeaseMessage::Request {
            sequence,
            account,
            min_tokens,
            tokens,
            demand,
            max_wait,
        } => FrameBody::LeaseRequest(LeaseRequest {
            sequence,
            account,
            tokens,
            demand,
            least: min_tokens,
            patience_ms: u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX),
        }),
        LeaseMessage::Return {
            account,
            lease,
            unspent,
        } => FrameBody::LeaseReturn(LeaseReturn {
            account,
            lease,
            tokens: unspent,
        }),
        LeaseMessage::Refund {
            account,
            number,
            lease,
            tokens,
        } => FrameBody::TokenRefund(TokenRefund {
            account,
            number,
            lease,
            tokens,
        }),
    }
}
