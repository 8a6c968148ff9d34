//! Transfer of the leadership to a voter.
//!
//! Algorithm: Ongaro's section 3.10. The leader takes no proposals, brings the
//! voter up to date and asks it to campaign at once. Since the request may be
//! delayed, the leader's lease does not hold again in this term.

use crate::node::leader_state::PendingTransfer;
use crate::node::ConsensusNode;
use crate::{MemberId, MessageBody, NodeOutput, TimeoutNow};

impl ConsensusNode {
    pub(super) fn start_transfer(&mut self, to: Option<MemberId>, outputs: &mut Vec<NodeOutput>) {
        let target = to.filter(|id| self.may_take_over(*id));
        let target = match to {
            Some(_) => target,
            None => self.best_voter(),
        };
        let until = self.now + self.config.election_timeout_max;
        let Some(lead) = &mut self.lead else {
            outputs.push(NodeOutput::TransferFailed);
            return;
        };
        let Some(to) = target else {
            outputs.push(NodeOutput::TransferFailed);
            return;
        };
        lead.transfer = Some(PendingTransfer {
            to,
            until,
            asked: false,
        });
        self.replicate_to(to);
        self.ask_to_campaign(to);
    }

    fn may_take_over(&self, id: MemberId) -> bool {
        id != self.id && self.log.membership().is_voter(id)
    }

    /// Returns the other voter with the longest synced log.
    fn best_voter(&self) -> Option<MemberId> {
        let lead = self.lead.as_ref()?;
        let voters = lead
            .progress
            .iter()
            .filter(|(id, _)| self.may_take_over(**id));
        let best = voters.max_by_key(|(_, progress)| (progress.acked_at, progress.match_index));
        best.map(|(id, _)| *id)
    }

    /// Asks the voter of a transfer to campaign once it has every entry.
    pub(super) fn ask_to_campaign(&mut self, id: MemberId) {
        let last_index = self.log.last_index();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let progress = lead.progress.get(&id);
        let is_ready = progress.is_some_and(|it| it.match_index == last_index);
        let Some(transfer) = &mut lead.transfer else {
            return;
        };
        if transfer.to != id || transfer.asked || !is_ready {
            return;
        }
        transfer.asked = true;
        lead.lease_barred = true;
        let body = MessageBody::TimeoutNow(TimeoutNow {});
        self.outbox.send(self.hard_state.term, id, body);
    }

    /// Lets a learner that leads transfer its leadership, now and until a voter
    /// has taken it over.
    pub(super) fn transfer_from_learner(&mut self, outputs: &mut Vec<NodeOutput>) {
        let Some(lead) = &self.lead else {
            return;
        };
        let is_due = self.commit >= lead.term_start && lead.transfer.is_none();
        if is_due && !self.is_voter() {
            self.start_transfer(None, outputs);
        }
    }

    /// Gives a transfer up when its time is over.
    pub(super) fn end_transfer(&mut self, outputs: &mut Vec<NodeOutput>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let is_over = lead
            .transfer
            .as_ref()
            .is_some_and(|it| self.now >= it.until);
        if is_over {
            lead.transfer = None;
            outputs.push(NodeOutput::TransferFailed);
        }
    }

    pub(super) fn take_timeout_now(&mut self, from: MemberId, outputs: &mut Vec<NodeOutput>) {
        if self.leader == Some(from) && self.is_voter() && self.may_campaign() {
            self.campaign(true, outputs);
        }
    }
}
