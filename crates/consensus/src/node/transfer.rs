//! Transfer of the leadership to a voter.
//!
//! Algorithm: Ongaro's section 3.10. The leader rejects proposals, brings the
//! voter up to date and requests that it campaign at once. Since the request
//! may be delayed, the leader's lease is not valid again in this term.

use crate::node::leader_state::PendingTransfer;
use crate::node::ConsensusNode;
use crate::{MemberId, MessageBody, NodeOutput, TimeoutNow};

impl ConsensusNode {
    /// Returns whether this leader is transferring its leadership.
    pub fn is_transferring(&self) -> bool {
        let leader_state = self.leader_state.as_ref();
        leader_state.is_some_and(|it| it.transfer.is_some())
    }

    pub(super) fn start_transfer(&mut self, to: Option<MemberId>, outputs: &mut Vec<NodeOutput>) {
        let target = to.filter(|id| self.is_transfer_target(*id));
        let target = match to {
            Some(_) => target,
            None => self.best_voter(),
        };
        let until = self.now + self.config.election_timeout_max;
        let Some(leader_state) = &mut self.leader_state else {
            outputs.push(NodeOutput::TransferFailed);
            return;
        };
        let Some(to) = target else {
            outputs.push(NodeOutput::TransferFailed);
            return;
        };
        leader_state.transfer = Some(PendingTransfer {
            to,
            until,
            timeout_now_sent: false,
        });
        self.replicate_to(to);
        self.send_timeout_now(to);
    }

    fn is_transfer_target(&self, id: MemberId) -> bool {
        id != self.id && self.log.membership().is_voter(id)
    }

    /// Returns the other voter that responded to the most recent heartbeat round
    /// and, among several, the one with the longest synced log.
    fn best_voter(&self) -> Option<MemberId> {
        let leader_state = self.leader_state.as_ref()?;
        let voters = leader_state
            .progress
            .iter()
            .filter(|(id, _)| self.is_transfer_target(**id));
        let best = voters.max_by_key(|(_, progress)| (progress.acked_at, progress.match_index));
        best.map(|(id, _)| *id)
    }

    /// Sends `TimeoutNow` to the target of a transfer once it has every entry.
    pub(super) fn send_timeout_now(&mut self, id: MemberId) {
        let last_index = self.log.last_index();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let progress = leader_state.progress.get(&id);
        let is_ready = progress.is_some_and(|it| it.match_index == last_index);
        let Some(transfer) = &mut leader_state.transfer else {
            return;
        };
        if transfer.to != id || transfer.timeout_now_sent || !is_ready {
            return;
        }
        transfer.timeout_now_sent = true;
        leader_state.lease_disabled = true;
        let body = MessageBody::TimeoutNow(TimeoutNow {});
        self.outbox.send(self.hard_state.term, id, body);
    }

    /// Starts a transfer when the leader is a learner; it is repeated until a
    /// voter takes over.
    pub(super) fn transfer_from_learner(&mut self, outputs: &mut Vec<NodeOutput>) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let is_due = self.commit >= leader_state.term_start && leader_state.transfer.is_none();
        if is_due && !self.is_voter() {
            self.start_transfer(None, outputs);
        }
    }

    /// Aborts a transfer that has timed out.
    pub(super) fn expire_transfer(&mut self, outputs: &mut Vec<NodeOutput>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let is_expired = leader_state
            .transfer
            .as_ref()
            .is_some_and(|it| self.now >= it.until);
        if is_expired {
            leader_state.transfer = None;
            outputs.push(NodeOutput::TransferFailed);
        }
    }

    pub(super) fn handle_timeout_now(&mut self, from: MemberId, outputs: &mut Vec<NodeOutput>) {
        if self.leader == Some(from) && self.is_voter() && self.can_campaign() {
            self.campaign(true, outputs);
        }
    }
}
