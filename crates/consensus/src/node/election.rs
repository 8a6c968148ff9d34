//! Elections: pre-vote, votes and the terms of messages.
//!
//! Algorithm: Raft's election with the pre-vote of Ongaro's section 9.6. A
//! member that received a message from a leader within the minimum election
//! timeout grants neither vote nor pre-vote (section 4.2.3), unless the leader
//! itself requested the election. The same applies to a member that restarted
//! within this time and whose term is not 0, since it may have received such a
//! message before the restart.
//!
//! Any member responds to a vote request, even one that is a learner by its own
//! log: a promoted learner may not have received the entry that made it a voter
//! yet. The candidate's log contains the entry, and the candidate counts only
//! the votes of members that are voters in its log.
//!
//! A candidate needs a quorum of each membership that may be in force: that of
//! its last entry and, until that one is known to be committed, the one before
//! it. The two need not overlap otherwise where a defunct voter isn't counted.
//!
//! A learner campaigns too, but only after [`LEARNER_TIMEOUT_FACTOR`] times the
//! timeout of a voter, and its own vote does not count. It may have the latest
//! entries after the leader that sent them lost its disk, so that no voter can
//! win (section 4.2.2 likewise allows a leader outside the membership). A
//! learner that becomes leader transfers its leadership to a voter at once.

use bytes::Bytes;
use rand::Rng;

use crate::node::leader_state::LeaderState;
use crate::node::ConsensusNode;
use crate::replicated_log::LogPosition;
use crate::{
    AppendResponse, EntryPayload, HardState, LogEntry, MemberId, Membership, MessageBody,
    NodeOutput, NodeRole, Term, VoteRequest, VoteResponse,
};

/// Number of a voter's election timeouts after which a learner campaigns.
const LEARNER_TIMEOUT_FACTOR: u32 = 4;

impl ConsensusNode {
    /// Bootstraps a cluster with this member as its only member.
    pub(super) fn bootstrap_cluster(&mut self, address: Bytes, outputs: &mut Vec<NodeOutput>) {
        let is_new = self.log.last_index() == 0 && self.hard_state.term == 0;
        if !is_new || self.leader.is_some() {
            return;
        }
        let membership = Membership::bootstrapped_by(self.id, address);
        self.set_vote(1, 0);
        self.append_entry(LogEntry {
            index: 1,
            term: 1,
            payload: Some(EntryPayload::Membership(membership)),
        });
        self.campaign(false, outputs);
    }

    pub(super) fn block_votes_after_start(&mut self) {
        if self.hard_state.term > 0 {
            self.votes_blocked_until = self.now + self.config.election_timeout_min;
        }
    }

    /// Returns whether this member campaigns when its election timeout expires.
    ///
    /// A member whose removal isn't known to be committed may be the only one left
    /// with the entry that removes it.
    pub(super) fn can_campaign(&self) -> bool {
        let mut memberships = self.memberships_in_force();
        memberships.any(|it| it.member(self.id).is_some()) && !self.disk_full
    }

    pub(super) fn reset_election_timer(&mut self) {
        let min = self.config.election_timeout_min;
        let max = self.config.election_timeout_max;
        let timeout = self.rng.random_range(min..=max);
        let factor = if self.is_voter() {
            1
        } else {
            LEARNER_TIMEOUT_FACTOR
        };
        self.election_deadline = self.now + timeout * factor;
    }

    pub(super) fn handle_election_timeout(&mut self, outputs: &mut Vec<NodeOutput>) {
        self.reset_election_timer();
        if !self.can_campaign() {
            return;
        }
        self.votes.clear();
        self.votes.insert(self.id, true);
        self.uncounted = self.choose_uncounted();
        self.leader = None;
        self.set_role(NodeRole::PreCandidate, outputs);
        if self.has_won() {
            self.campaign(false, outputs);
            return;
        }
        let request = self.vote_request(true, false);
        for peer in self.peers() {
            let body = MessageBody::VoteRequest(request);
            self.outbox.send(self.hard_state.term + 1, peer, body);
        }
    }

    /// Starts an election in the next term.
    ///
    /// The member's vote for itself and the requests are sent once the term is
    /// synced.
    pub(super) fn campaign(&mut self, transfer: bool, outputs: &mut Vec<NodeOutput>) {
        self.set_vote(self.hard_state.term + 1, self.id);
        self.votes.clear();
        self.uncounted = self.choose_uncounted();
        self.leader = None;
        self.reset_election_timer();
        self.set_role(NodeRole::Candidate, outputs);
        let term = self.hard_state.term;
        let own_vote = MessageBody::VoteResponse(VoteResponse {
            pre_vote: false,
            granted: true,
        });
        self.outbox.send_synced(term, self.id, own_vote);
        let request = self.vote_request(false, transfer);
        for peer in self.peers() {
            let body = MessageBody::VoteRequest(request);
            self.outbox.send_synced(term, peer, body);
        }
    }

    fn vote_request(&self, pre_vote: bool, transfer: bool) -> VoteRequest {
        let last = self.log.last_position();
        VoteRequest {
            pre_vote,
            transfer,
            last_index: last.index,
            last_term: last.term,
        }
    }

    /// Compares a message's term with the member's and follows a newer term or
    /// a new leader; returns whether the message is to be handled.
    pub(super) fn check_term(
        &mut self,
        from: MemberId,
        term: Term,
        body: &MessageBody,
        outputs: &mut Vec<NodeOutput>,
    ) -> bool {
        match body {
            MessageBody::VoteRequest(request) if request.pre_vote => return true,
            MessageBody::VoteResponse(response) if response.pre_vote && response.granted => {
                return true;
            }
            MessageBody::VoteRequest(request) if !request.transfer && self.is_voting_blocked() => {
                return false;
            }
            _ => {}
        }
        if term < self.hard_state.term {
            self.respond_to_old_term(from, body);
            return false;
        }
        let leader = is_from_leader(body).then_some(from);
        if term > self.hard_state.term {
            self.become_follower(term, leader, outputs);
        } else if leader.is_some() && self.leader != leader {
            debug_assert!(self.leader_state.is_none(), "a term has one leader");
            self.become_follower(term, leader, outputs);
        }
        if leader.is_some() {
            self.record_leader_contact();
        }
        true
    }

    /// Responds with the current term to a leader or candidate of an earlier one.
    fn respond_to_old_term(&mut self, from: MemberId, body: &MessageBody) {
        let term = self.hard_state.term;
        if is_from_leader(body) {
            let response = AppendResponse {
                rejected: true,
                ..AppendResponse::default()
            };
            let body = MessageBody::AppendResponse(response);
            self.outbox.send(term, from, body);
        } else if matches!(body, MessageBody::VoteRequest(_)) {
            self.send_vote_response(from, term, false, false);
        }
    }

    fn is_voting_blocked(&self) -> bool {
        self.leader_state.is_some() || self.now < self.votes_blocked_until
    }

    fn record_leader_contact(&mut self) {
        self.votes_blocked_until = self.now + self.config.election_timeout_min;
        self.reset_election_timer();
    }

    /// Becomes a follower in the member's term or a later one.
    pub(super) fn become_follower(
        &mut self,
        term: Term,
        leader: Option<MemberId>,
        outputs: &mut Vec<NodeOutput>,
    ) {
        if term > self.hard_state.term {
            self.set_vote(term, 0);
        }
        if self.step_down(outputs) {
            self.reset_election_timer();
        }
        self.votes.clear();
        self.uncounted = 0;
        self.leader = leader;
        self.set_role(NodeRole::Follower, outputs);
    }

    pub(super) fn handle_vote_request(&mut self, from: MemberId, term: Term, request: VoteRequest) {
        let candidate = LogPosition {
            term: request.last_term,
            index: request.last_index,
        };
        let is_current = candidate >= self.log.last_position();
        if request.pre_vote {
            let granted = is_current && term > self.hard_state.term && !self.is_voting_blocked();
            let response_term = if granted { term } else { self.hard_state.term };
            self.send_vote_response(from, response_term, true, granted);
            return;
        }
        let vote = self.hard_state.vote;
        let granted = is_current && self.leader.is_none() && (vote == 0 || vote == from);
        if granted && vote == 0 {
            self.set_vote(term, from);
        }
        if granted {
            self.reset_election_timer();
        }
        self.send_vote_response(from, term, false, granted);
    }

    /// Responds to a vote request; a granted vote is sent once it is synced.
    fn send_vote_response(&mut self, to: MemberId, term: Term, pre_vote: bool, granted: bool) {
        let body = MessageBody::VoteResponse(VoteResponse { pre_vote, granted });
        if granted && !pre_vote {
            self.outbox.send_synced(term, to, body);
        } else {
            self.outbox.send(term, to, body);
        }
    }

    pub(super) fn handle_vote_response(
        &mut self,
        from: MemberId,
        term: Term,
        response: VoteResponse,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let is_expected = if response.pre_vote {
            let is_current = !response.granted || term == self.hard_state.term + 1;
            self.role == NodeRole::PreCandidate && is_current
        } else {
            self.role == NodeRole::Candidate
        };
        if !is_expected {
            return;
        }
        self.votes.insert(from, response.granted);
        if !self.has_won() {
            return;
        }
        match self.role {
            NodeRole::PreCandidate => self.campaign(false, outputs),
            _ => self.become_leader(outputs),
        }
    }

    /// Returns whether a quorum granted the vote or pre-vote.
    fn has_won(&self) -> bool {
        let granted = self.quorum_value(|id| self.votes.get(&id) == Some(&true));
        granted.unwrap_or(false)
    }

    /// Becomes leader and appends the no-op entry that starts the term.
    fn become_leader(&mut self, outputs: &mut Vec<NodeOutput>) {
        let term_start = self.log.last_index() + 1;
        self.leader_state = Some(LeaderState::new(self.now, term_start));
        self.leader = Some(self.id);
        self.votes.clear();
        self.set_role(NodeRole::Leader, outputs);
        self.append_entry(LogEntry {
            index: term_start,
            term: self.hard_state.term,
            payload: None,
        });
        self.update_progress_members();
        self.start_heartbeat_round();
        self.replicate_all();
    }

    fn set_vote(&mut self, term: Term, vote: MemberId) {
        debug_assert!(term >= self.hard_state.term, "terms never decrease");
        self.set_hard_state(HardState {
            term,
            vote,
            ..self.hard_state.clone()
        });
    }

    pub(super) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state.clone();
        self.outbox.write_hard_state(hard_state);
    }
}

/// Returns whether such a message is sent only by the leader of its term.
fn is_from_leader(body: &MessageBody) -> bool {
    matches!(
        body,
        MessageBody::AppendRequest(_)
            | MessageBody::HeartbeatRequest(_)
            | MessageBody::SnapshotChunk(_)
            | MessageBody::TimeoutNow(_)
    )
}
