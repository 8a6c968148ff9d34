//! Proposals and membership changes.
//!
//! Algorithm: Ongaro's sections 4.1 to 4.3. A change is in force from its
//! entry on, committed or not. One change at a time is uncommitted, and none
//! is begun before the entry that opens the leader's term is committed.

use bytes::Bytes;
use prost::Message;

use crate::node::leader_state::LeaderState;
use crate::node::ConsensusNode;
use crate::{
    ChangeRefusal, EntryPayload, LogEntry, MemberId, Membership, MembershipChange, NodeOutput,
    ProposalId, ProposalRejection,
};

impl ConsensusNode {
    pub(super) fn propose(
        &mut self,
        proposal: ProposalId,
        data: Bytes,
        outputs: &mut Vec<NodeOutput>,
    ) {
        match self.refuse_proposal() {
            Some(reason) => outputs.push(NodeOutput::Rejected { proposal, reason }),
            None => self.append_proposal(proposal, EntryPayload::Command(data)),
        }
    }

    pub(super) fn change_membership(
        &mut self,
        proposal: ProposalId,
        change: &MembershipChange,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let refused = self.refuse_proposal().map_or(Ok(()), Err);
        let next = refused.and_then(|()| {
            let changed = self.changed_membership(change);
            changed.map_err(ProposalRejection::Change)
        });
        match next {
            Err(reason) => outputs.push(NodeOutput::Rejected { proposal, reason }),
            Ok(membership) => {
                self.append_proposal(proposal, EntryPayload::Membership(membership));
            }
        }
    }

    fn refuse_proposal(&self) -> Option<ProposalRejection> {
        let Some(lead) = &self.lead else {
            let leader = self.leader;
            return Some(ProposalRejection::NotLeader { leader });
        };
        if self.disk_full {
            return Some(ProposalRejection::DiskFull);
        }
        if lead.transfer.is_some() {
            return Some(ProposalRejection::Transferring);
        }
        let is_full = lead.uncommitted_bytes >= self.config.uncommitted_bytes_max;
        is_full.then_some(ProposalRejection::Overloaded)
    }

    fn append_proposal(&mut self, proposal: ProposalId, payload: EntryPayload) {
        let changes_members = matches!(payload, EntryPayload::Membership(_));
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload: Some(payload),
        };
        if let Some(lead) = &mut self.lead {
            lead.proposals.insert(entry.index, proposal);
            lead.uncommitted_bytes += entry.encoded_len();
        }
        self.append_entry(entry);
        if changes_members {
            self.sync_progress();
        }
        self.replicate_all();
    }

    fn changed_membership(&self, change: &MembershipChange) -> Result<Membership, ChangeRefusal> {
        let lead = self.lead.as_ref().ok_or(ChangeRefusal::InProgress)?;
        let is_settled = self.log.membership_index() <= self.commit;
        if !is_settled || self.commit < lead.term_start {
            return Err(ChangeRefusal::InProgress);
        }
        let next = self.log.membership().changed_by(change)?;
        match change {
            MembershipChange::Promote { id } if !self.has_caught_up(lead, *id) => {
                Err(ChangeRefusal::NotCaughtUp)
            }
            MembershipChange::Remove { id } if *id == self.id => Err(ChangeRefusal::Leading),
            _ if !self.hears_quorum(lead, &next) => Err(ChangeRefusal::QuorumAtRisk),
            _ => Ok(next),
        }
    }

    /// Tells whether a quorum of the voters of `next` was heard of lately.
    ///
    /// Without it the change could neither be committed nor taken back.
    fn hears_quorum(&self, lead: &LeaderState, next: &Membership) -> bool {
        let is_heard = |id: &MemberId| *id == self.id || self.is_heard(lead, *id);
        next.voters().filter(is_heard).count() >= next.quorum_len()
    }

    fn is_heard(&self, lead: &LeaderState, id: MemberId) -> bool {
        let acked_at = lead.progress.get(&id).and_then(|it| it.acked_at);
        let recent = self.config.election_timeout_max;
        acked_at.is_some_and(|at| at + recent >= self.now)
    }

    /// Tells whether a learner was heard of lately and has synced nearly all
    /// entries.
    fn has_caught_up(&self, lead: &LeaderState, id: MemberId) -> bool {
        let Some(progress) = lead.progress.get(&id) else {
            return false;
        };
        let lag = self.log.last_index() - progress.match_index;
        self.is_heard(lead, id) && lag <= self.config.promotion_lag_max
    }
}
