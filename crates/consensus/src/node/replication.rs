//! The leader's side of replication: heartbeats, entries and the commit index.
//!
//! Algorithm: Ongaro's sections 3.5, 3.6 and 10.2.1. Requests are pipelined to
//! each member up to a limit; entries proposed in the meantime are batched. An
//! entry is committed once a quorum has synced it, where the leader's own sync
//! counts like any other, and only entries of the leader's own term are counted.
//! A leader without responses from a quorum for the maximum election timeout
//! steps down (section 6.2).

use std::time::Instant;

use crate::node::leader_state::LeaderState;
use crate::node::ConsensusNode;
use crate::peer_progress::{PeerProgress, SendState};
use crate::{
    AppendRequest, AppendResponse, HeartbeatRequest, HeartbeatResponse, LogIndex, MemberId,
    MessageBody, NodeOutput,
};

impl ConsensusNode {
    pub(super) fn leader_deadline(&self, leader_state: &LeaderState) -> Instant {
        let deadline = leader_state
            .heartbeat_at
            .min(self.quorum_deadline(leader_state));
        match &leader_state.transfer {
            Some(transfer) => deadline.min(transfer.until),
            None => deadline,
        }
    }

    pub(super) fn run_leader_timers(&mut self, outputs: &mut Vec<NodeOutput>) {
        self.expire_transfer(outputs);
        self.transfer_from_learner(outputs);
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        if self.now >= leader_state.heartbeat_at {
            self.start_heartbeat_round();
        }
    }

    /// Returns when the leader steps down unless a quorum responds.
    fn quorum_deadline(&self, leader_state: &LeaderState) -> Instant {
        let contact_at = self.quorum_contact_at(|id| {
            let progress = leader_state.progress.get(&id);
            let acked_at = progress.and_then(|progress| progress.acked_at);
            acked_at
                .unwrap_or(leader_state.started_at)
                .max(leader_state.started_at)
        });
        contact_at + self.config.election_timeout_max
    }

    /// Returns the latest instant such that a quorum of voters was contacted then
    /// or later.
    fn quorum_contact_at(&self, contact_at: impl Fn(MemberId) -> Instant) -> Instant {
        let own = self.now;
        let value = self.quorum_value(|id| if id == self.id { own } else { contact_at(id) });
        value.unwrap_or(own)
    }

    /// Makes the leader step down when its quorum deadline has passed.
    pub(super) fn check_quorum(&mut self, outputs: &mut Vec<NodeOutput>) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        if self.now >= self.quorum_deadline(leader_state) {
            self.become_follower(self.hard_state.term, None, outputs);
        }
    }

    /// Ends the leadership; returns whether the member was the leader.
    pub(super) fn step_down(&mut self, outputs: &mut Vec<NodeOutput>) -> bool {
        let Some(leader_state) = self.leader_state.take() else {
            return false;
        };
        for proposal in leader_state.proposals.into_values() {
            outputs.push(NodeOutput::OutcomeUnknown { proposal });
        }
        for pending in leader_state.reads {
            let read = pending.read;
            outputs.push(NodeOutput::ReadFailed { read, leader: None });
        }
        true
    }

    /// Adds and removes progress records to match the other members.
    pub(super) fn update_progress_members(&mut self) {
        let peers = self.peers();
        let next = self.log.last_index() + 1;
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.progress.retain(|id, _| peers.contains(id));
            for peer in peers {
                let progress = leader_state.progress.entry(peer);
                progress.or_insert_with(|| PeerProgress::new(next));
            }
        }
    }

    /// Sends a heartbeat to all members.
    pub(super) fn start_heartbeat_round(&mut self) {
        let retention = self.config.election_timeout_max;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let round = leader_state.start_round(self.now, retention);
        leader_state.heartbeat_at = self.now + self.config.heartbeat_interval;
        for (peer, progress) in &leader_state.progress {
            let request = HeartbeatRequest {
                round,
                commit: self.commit.min(progress.match_index),
            };
            let body = MessageBody::HeartbeatRequest(request);
            self.outbox.send(self.hard_state.term, *peer, body);
        }
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        from: MemberId,
        response: HeartbeatResponse,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let last_index = self.log.last_index();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.record_round_ack(from, response.round);
        if let Some(progress) = leader_state.progress.get_mut(&from) {
            progress.release_inflight(self.config.inflight_max);
            if progress.match_index < last_index {
                self.resend(from);
            }
        }
        self.confirm_reads(outputs);
    }

    /// Sends again to a member that may not have received earlier messages.
    fn resend(&mut self, to: MemberId) {
        if self.resend_chunk(to) {
            return;
        }
        self.replicate_to(to);
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let progress = leader_state.progress.get(&to);
        let is_sent = progress.is_some_and(|it| it.next_index > self.log.last_index());
        if is_sent {
            // A member that did not receive the last message responds to this
            // one with a mismatch.
            self.send_commit_index(to);
        }
    }

    pub(super) fn replicate_all(&mut self) {
        for peer in self.peers() {
            self.replicate_to(peer);
        }
    }

    /// Sends as many entries as the member's in-flight limit allows.
    pub(super) fn replicate_to(&mut self, to: MemberId) {
        while let Some(next) = self.next_to_send(to) {
            if self.log.term_at(next - 1).is_none() {
                self.start_snapshot_transfer(to);
                return;
            }
            let bytes_max = self.config.message_bytes_max;
            let entries = self.log.copy_from(next, bytes_max);
            let last = next + entries.len() as u64 - 1;
            self.send_append(to, next, entries);
            if let Some(leader_state) = &mut self.leader_state {
                leader_state
                    .progress
                    .get_mut(&to)
                    .expect("checked by next_to_send")
                    .record_sent(last);
            }
        }
    }

    /// Returns the index of the next entry to send to a member, if a message may
    /// be sent and there is an entry to send or a position to probe.
    fn next_to_send(&self, to: MemberId) -> Option<LogIndex> {
        let progress = self.leader_state.as_ref()?.progress.get(&to)?;
        if !progress.can_send(self.config.inflight_max) {
            return None;
        }
        let is_probe = matches!(progress.state, SendState::Probe { .. });
        let has_unsent = progress.next_index <= self.log.last_index();
        (has_unsent || is_probe).then_some(progress.next_index)
    }

    fn send_append(&mut self, to: MemberId, next: LogIndex, entries: Vec<crate::LogEntry>) {
        let prev_term = self.log.term_at(next - 1).expect("checked by the caller");
        let request = AppendRequest {
            prev_index: next - 1,
            prev_term,
            commit: self.commit,
            entries,
        };
        let body = MessageBody::AppendRequest(request);
        self.outbox.send(self.hard_state.term, to, body);
    }

    /// Sends the commit index to a member to which all entries were sent.
    fn send_commit_index(&mut self, to: MemberId) {
        let last_index = self.log.last_index();
        let progress = self
            .leader_state
            .as_ref()
            .and_then(|it| it.progress.get(&to));
        let is_replicating =
            progress.is_some_and(|it| matches!(it.state, SendState::Replicate { .. }));
        if is_replicating && progress.is_some_and(|it| it.next_index > last_index) {
            self.send_append(to, last_index + 1, Vec::new());
        }
    }

    pub(super) fn handle_append_response(&mut self, from: MemberId, response: AppendResponse) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return;
        };
        if response.rejected {
            self.handle_append_rejection(from, response);
            return;
        }
        progress.record_matched(response.index);
        self.advance_commit();
        self.replicate_to(from);
        self.send_timeout_now(from);
    }

    /// Continues at the last position that may match.
    fn handle_append_rejection(&mut self, from: MemberId, response: AppendResponse) {
        let hint = self
            .log
            .matching_hint(response.hint_index, response.hint_term);
        let progress = self
            .leader_state
            .as_mut()
            .and_then(|it| it.progress.get_mut(&from));
        let Some(progress) = progress else {
            return;
        };
        let is_stale = match progress.state {
            SendState::Probe { .. } => response.index + 1 != progress.next_index,
            SendState::Replicate { .. } => response.index <= progress.match_index,
            SendState::Snapshot(_) => true,
        };
        if is_stale {
            return;
        }
        progress.probe_from(hint + 1);
        self.replicate_to(from);
    }

    /// Commits the entries that a quorum has synced, and notifies the other
    /// members.
    pub(super) fn advance_commit(&mut self) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let own = self.outbox.persisted_index();
        let synced = self.quorum_value(|id| {
            let progress = leader_state.progress.get(&id);
            let match_index = progress.map_or(0, |progress| progress.match_index);
            if id == self.id {
                own
            } else {
                match_index
            }
        });
        let index = synced.unwrap_or(0);
        // Ongaro, section 3.6.2: an entry of an earlier term is committed only
        // together with one of this term.
        let is_own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index <= self.commit || !is_own_term {
            return;
        }
        let was_settled = self.is_membership_settled();
        // A member whose removal this commits is told as well; it may wait for it.
        let peers = self.peers();
        self.commit_to(index);
        for peer in peers {
            self.send_commit_index(peer);
        }
        if !was_settled && self.is_membership_settled() {
            // Later entries need no quorum of the previous membership any more.
            self.update_progress_members();
            self.advance_commit();
        }
    }
}
