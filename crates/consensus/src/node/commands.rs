//! Proposals and membership changes.
//!
//! Algorithm: Ongaro's sections 4.1 to 4.3. A change is in force from its
//! entry on, committed or not. At most one change is uncommitted at a time, and
//! none starts before the first entry of the leader's term is committed. Until a
//! change is committed, a quorum of the membership before it is needed as well
//! (section 4.3), as quorums of the two overlap only while each voter is counted.

use bytes::Bytes;
use prost::Message;

use crate::node::leader_state::LeaderState;
use crate::node::ConsensusNode;
use crate::{
    ChangeRejection, EntryPayload, LogEntry, MemberId, Membership, MembershipChange, NodeOutput,
    ProposalId, ProposalRejection,
};

impl ConsensusNode {
    pub(super) fn propose(
        &mut self,
        proposal: ProposalId,
        data: Bytes,
        outputs: &mut Vec<NodeOutput>,
    ) {
        match self.rejection_reason() {
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
        let allowed = self.rejection_reason().map_or(Ok(()), Err);
        let next = allowed.and_then(|()| {
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

    fn rejection_reason(&self) -> Option<ProposalRejection> {
        let Some(leader_state) = &self.leader_state else {
            let leader = self.leader;
            return Some(ProposalRejection::NotLeader { leader });
        };
        if self.disk_full {
            return Some(ProposalRejection::DiskFull);
        }
        if leader_state.transfer.is_some() {
            return Some(ProposalRejection::Transferring);
        }
        let is_full = leader_state.uncommitted_bytes >= self.config.uncommitted_bytes_max;
        is_full.then_some(ProposalRejection::Overloaded)
    }

    fn append_proposal(&mut self, proposal: ProposalId, payload: EntryPayload) {
        let changes_members = matches!(payload, EntryPayload::Membership(_));
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            payload: Some(payload),
        };
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.proposals.insert(entry.index, proposal);
            leader_state.uncommitted_bytes += entry.encoded_len();
        }
        self.append_entry(entry);
        if changes_members {
            self.update_progress_members();
        }
        self.replicate_all();
    }

    fn changed_membership(&self, change: &MembershipChange) -> Result<Membership, ChangeRejection> {
        let leader_state = self
            .leader_state
            .as_ref()
            .ok_or(ChangeRejection::InProgress)?;
        let is_settled = self.log.membership_index() <= self.commit;
        if !is_settled || self.commit < leader_state.term_start {
            return Err(ChangeRejection::InProgress);
        }
        let next = self.log.membership().with_change(change)?;
        match change {
            MembershipChange::AddLearner { id, .. } | MembershipChange::Promote { id }
                if self.is_defunct(*id) =>
            {
                Err(ChangeRejection::Defunct)
            }
            MembershipChange::Promote { id } if !self.has_caught_up(leader_state, *id) => {
                Err(ChangeRejection::NotCaughtUp)
            }
            MembershipChange::Remove { id } if *id == self.id => Err(ChangeRejection::Leading),
            _ if !self.has_active_quorum(leader_state, &next) => Err(ChangeRejection::QuorumAtRisk),
            _ => Ok(next),
        }
    }

    /// Returns whether quorums of the voters before and after the change have
    /// responded recently.
    ///
    /// Without them the change could be neither committed nor reverted.
    fn has_active_quorum(&self, leader_state: &LeaderState, next: &Membership) -> bool {
        let is_active = |id| id == self.id || self.is_active(leader_state, id);
        let mut memberships = [self.log.membership(), next].into_iter();
        memberships.all(|it| it.quorum_value(self.uncounted, is_active) == Some(true))
    }

    fn is_active(&self, leader_state: &LeaderState, id: MemberId) -> bool {
        let acked_at = leader_state.progress.get(&id).and_then(|it| it.acked_at);
        let recent = self.config.election_timeout_max;
        acked_at.is_some_and(|at| at + recent >= self.now)
    }

    /// Returns whether a learner has responded recently and has synced nearly
    /// all entries.
    fn has_caught_up(&self, leader_state: &LeaderState, id: MemberId) -> bool {
        let Some(progress) = leader_state.progress.get(&id) else {
            return false;
        };
        let lag = self.log.last_index() - progress.match_index;
        self.is_active(leader_state, id) && lag <= self.config.promotion_lag_max
    }
}
