//! Reads that a quorum confirms, and the leader lease.
//!
//! Algorithm: Ongaro's section 6.4. The index of a read is the commit index at
//! the time of the request, but no less than the first entry of the leader's
//! term. It is confirmed once a quorum has acknowledged a heartbeat round sent
//! after the request; this relies on no clock. Reads that arrive while such a
//! round is unacknowledged share the next one.
//!
//! The lease starts when the latest round that a quorum acknowledged was sent.
//! It relies on clock rates that differ by a tenth at most.

use std::time::Instant;

use crate::node::leader_state::PendingRead;
use crate::node::ConsensusNode;
use crate::{NodeOutput, ReadId};

impl ConsensusNode {
    /// Returns the end of the leader lease, before which no other member can
    /// become leader; `None` if this member has no lease.
    ///
    /// The instant may be in the past.
    pub fn lease_until(&self) -> Option<Instant> {
        let leader_state = self.leader_state.as_ref()?;
        if leader_state.lease_disabled || self.commit < leader_state.term_start {
            return None;
        }
        let acked_at = self.quorum_value(|id| {
            let progress = leader_state.progress.get(&id);
            let acked_at = progress.and_then(|progress| progress.acked_at);
            if id == self.id {
                Some(self.now)
            } else {
                acked_at
            }
        });
        Some(acked_at?? + self.config.lease_duration())
    }

    pub(super) fn read_index(&mut self, read: ReadId, outputs: &mut Vec<NodeOutput>) {
        let Some(leader_state) = &mut self.leader_state else {
            let leader = self.leader;
            outputs.push(NodeOutput::ReadFailed { read, leader });
            return;
        };
        leader_state.reads.push_back(PendingRead {
            read,
            index: self.commit.max(leader_state.term_start),
            round: leader_state.round + 1,
        });
        if leader_state.read_round.is_none() {
            self.start_read_round();
        }
        self.confirm_reads(outputs);
    }

    fn start_read_round(&mut self) {
        self.start_heartbeat_round();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.read_round = Some(leader_state.round);
        }
    }

    /// Confirms the reads whose round a quorum has acknowledged.
    pub(super) fn confirm_reads(&mut self, outputs: &mut Vec<NodeOutput>) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        if self.commit < leader_state.term_start {
            return;
        }
        let quorum_round = self.quorum_value(|id| {
            let progress = leader_state.progress.get(&id);
            let acked_round = progress.map_or(0, |progress| progress.acked_round);
            if id == self.id {
                leader_state.round
            } else {
                acked_round
            }
        });
        let quorum_round = quorum_round.unwrap_or(0);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        while leader_state
            .reads
            .front()
            .is_some_and(|it| it.round <= quorum_round)
        {
            let pending = leader_state
                .reads
                .pop_front()
                .expect("the queue is not empty");
            outputs.push(NodeOutput::ReadConfirmed {
                read: pending.read,
                index: pending.index,
            });
        }
        if leader_state
            .read_round
            .is_some_and(|round| round <= quorum_round)
        {
            leader_state.read_round = None;
            if !leader_state.reads.is_empty() {
                self.start_read_round();
            }
        }
    }
}
