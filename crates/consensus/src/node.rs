//! The state machine of one member.
//!
//! [`ConsensusNode::handle`] processes one input: a leader that has lost its
//! quorum steps down, the input is dispatched to its handler, committed entries
//! are applied, and the batch to persist and the messages to send are emitted.
//! A message that makes a promise, such as a vote or the acknowledgement of
//! entries, is deferred until all earlier writes are synced.

mod append_entries;
mod commands;
mod defunct_members;
mod election;
mod leader_state;
mod outbox;
mod read_index;
mod replication;
mod snapshots;
mod transfer;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::node::leader_state::LeaderState;
use crate::node::outbox::NodeOutbox;
use crate::node::snapshots::SnapshotTracker;
use crate::replicated_log::ReplicatedLog;
use crate::{
    HardState, LogIndex, MemberId, Membership, MessageBody, NodeConfig, NodeInput, NodeOutput,
    NodeRole, PeerMessage, PersistTicket, ProposalRejection, RecoveredState, SnapshotImage,
    SnapshotMeta, Term,
};

/// One member of the cluster.
#[derive(Debug)]
pub struct ConsensusNode {
    config: NodeConfig,
    id: MemberId,
    rng: Pcg32,
    /// Instant of the current input; it never decreases.
    now: Instant,
    role: NodeRole,
    /// Leader of the term, once known.
    leader: Option<MemberId>,
    hard_state: HardState,
    log: ReplicatedLog,
    /// Last entry known to be committed; it never decreases.
    commit: LogIndex,
    /// Last entry passed to the host; equals `commit` between inputs.
    applied: LogIndex,
    /// Latest saved snapshot.
    snapshot: Option<SnapshotImage>,
    snapshots: SnapshotTracker,
    /// When the member campaigns unless a leader contacts it.
    election_deadline: Instant,
    /// No vote is granted before this instant, since a leader may rely on its
    /// lease.
    votes_blocked_until: Instant,
    /// Responses in the current pre-vote or election.
    votes: BTreeMap<MemberId, bool>,
    /// Defunct voter that isn't counted in an even number of voters; 0 for none.
    /// Chosen before the vote requests of the pre-vote or election are sent, and
    /// unchanged until its end and that of the leadership that it leads to.
    uncounted: MemberId,
    /// Set exactly while the member is the leader.
    leader_state: Option<LeaderState>,
    /// The disk was full when the last batch was written.
    disk_full: bool,
    outbox: NodeOutbox,
    /// Membership last reported to the host.
    reported_membership: Membership,
}

impl ConsensusNode {
    /// Creates the member from its recovered state.
    ///
    /// The host's state machine must be at the recovered snapshot, or empty;
    /// later entries are applied once they are known to be committed.
    pub fn open(config: NodeConfig, recovered: RecoveredState, now: Instant) -> Self {
        let empty = SnapshotMeta::default();
        let meta = recovered.snapshot.as_ref().map_or(&empty, |it| &it.meta);
        let mut log = ReplicatedLog::starting_after(meta);
        for entry in recovered.entries {
            log.append(entry);
        }
        let start = meta.index;
        let mut node = ConsensusNode {
            rng: Pcg32::seed_from_u64(config.seed ^ recovered.member),
            id: recovered.member,
            now,
            role: NodeRole::Follower,
            leader: None,
            hard_state: recovered.hard_state,
            commit: start,
            applied: start,
            snapshots: SnapshotTracker::new(start),
            election_deadline: now,
            votes_blocked_until: now,
            votes: BTreeMap::new(),
            uncounted: 0,
            leader_state: None,
            disk_full: false,
            outbox: NodeOutbox::new(recovered.member, log.last_index()),
            reported_membership: Membership::default(),
            snapshot: recovered.snapshot,
            log,
            config,
        };
        node.block_votes_after_start();
        node.reset_election_timer();
        node
    }

    /// Handles one input at `now` and appends the resulting outputs.
    ///
    /// `now` must not decrease from call to call.
    pub fn handle(&mut self, now: Instant, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        self.now = self.now.max(now);
        if self.role == NodeRole::Failed {
            reject_input(&input, outputs);
            return;
        }
        self.check_quorum(outputs);
        self.handle_input(input, outputs);
        // Heartbeats must not be late when a busy host delays its timer input.
        self.run_leader_timers(outputs);
        // A commit or a change of membership may complete a read's quorum.
        self.confirm_reads(outputs);
        self.emit_outputs(outputs);
    }

    /// Returns when the member needs a [`NodeInput::Timer`], if at all.
    pub fn deadline(&self) -> Option<Instant> {
        match (&self.leader_state, self.role) {
            (_, NodeRole::Failed) => None,
            (Some(leader_state), _) => Some(self.leader_deadline(leader_state)),
            (None, _) if self.can_campaign() => Some(self.election_deadline),
            (None, _) => None,
        }
    }

    /// Returns the member's id.
    pub fn member(&self) -> MemberId {
        self.id
    }

    /// Returns the member's role.
    pub fn role(&self) -> NodeRole {
        self.role
    }

    /// Returns the member's term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader known to this member.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the membership in force.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the last entry known to be committed, which is also applied.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the last entry of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the last entry that the saved snapshot covers; 0 for none.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(0, |image| image.meta.index)
    }

    fn handle_input(&mut self, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        match input {
            NodeInput::Timer => self.handle_timer(outputs),
            NodeInput::Bootstrap { address } => self.bootstrap_cluster(address, outputs),
            NodeInput::Message(message) => self.handle_message(message, outputs),
            NodeInput::MemberDefunct { id } => self.record_defunct(id),
            NodeInput::Persisted { ticket } => self.handle_persisted(ticket),
            NodeInput::DiskFull => self.handle_disk_full(outputs),
            NodeInput::StorageFailed => self.fail(outputs),
            NodeInput::Propose { proposal, data } => self.propose(proposal, data, outputs),
            NodeInput::ChangeMembership { proposal, change } => {
                self.change_membership(proposal, &change, outputs);
            }
            NodeInput::ReadIndex { read } => self.read_index(read, outputs),
            NodeInput::Transfer { to } => self.start_transfer(to, outputs),
            NodeInput::SnapshotEncoded { index, data } => self.handle_encoded(index, data, outputs),
            NodeInput::SnapshotSaved { index } => self.handle_snapshot_saved(index, outputs),
            NodeInput::SnapshotSaveFailed { index } => self.handle_snapshot_save_failure(index),
        }
    }

    fn handle_timer(&mut self, outputs: &mut Vec<NodeOutput>) {
        if self.leader_state.is_none() && self.now >= self.election_deadline {
            self.handle_election_timeout(outputs);
        }
    }

    fn handle_message(&mut self, message: PeerMessage, outputs: &mut Vec<NodeOutput>) {
        let is_foreign = message.to != self.id || message.from == self.id;
        if is_foreign || self.is_defunct(message.from) {
            return;
        }
        self.dispatch_message(message, outputs);
    }

    fn dispatch_message(&mut self, message: PeerMessage, outputs: &mut Vec<NodeOutput>) {
        let PeerMessage {
            from, term, body, ..
        } = message;
        let Some(body) = body else {
            return;
        };
        if !self.check_term(from, term, &body, outputs) {
            return;
        }
        match body {
            MessageBody::VoteRequest(request) => self.handle_vote_request(from, term, request),
            MessageBody::VoteResponse(response) => {
                self.handle_vote_response(from, term, response, outputs);
            }
            MessageBody::AppendRequest(request) => self.handle_append_request(from, request),
            MessageBody::AppendResponse(response) => self.handle_append_response(from, response),
            MessageBody::HeartbeatRequest(request) => self.handle_heartbeat(from, request),
            MessageBody::HeartbeatResponse(response) => {
                self.handle_heartbeat_response(from, response, outputs);
            }
            MessageBody::SnapshotChunk(chunk) => self.handle_chunk(from, &chunk, outputs),
            MessageBody::SnapshotResponse(response) => self.handle_chunk_response(from, response),
            MessageBody::TimeoutNow(_) => self.handle_timeout_now(from, outputs),
        }
    }

    fn handle_disk_full(&mut self, outputs: &mut Vec<NodeOutput>) {
        self.disk_full = true;
        if self.leader_state.is_some() {
            self.start_transfer(None, outputs);
        }
    }

    fn fail(&mut self, outputs: &mut Vec<NodeOutput>) {
        self.step_down(outputs);
        self.outbox.discard();
        self.leader = None;
        self.set_role(NodeRole::Failed, outputs);
    }

    /// Applies committed entries and emits batches and messages.
    fn emit_outputs(&mut self, outputs: &mut Vec<NodeOutput>) {
        if self.role == NodeRole::Failed {
            return;
        }
        self.record_settled_membership();
        if self.reported_membership != *self.log.membership() {
            self.reported_membership = self.log.membership().clone();
            outputs.push(NodeOutput::MembershipChanged(
                self.reported_membership.clone(),
            ));
        }
        loop {
            self.outbox.flush(outputs);
            self.apply_committed(outputs);
            let released = self.outbox.pop_released();
            if released.is_empty() {
                break;
            }
            self.dispatch_released(released, outputs);
        }
    }

    fn handle_persisted(&mut self, ticket: PersistTicket) {
        self.disk_full = false;
        self.outbox.record_persisted(ticket);
        self.advance_commit();
    }

    /// Sends messages that were deferred until a sync. The member's vote for
    /// itself is dispatched locally.
    fn dispatch_released(&mut self, released: Vec<PeerMessage>, outputs: &mut Vec<NodeOutput>) {
        for message in released {
            if message.to == self.id {
                self.dispatch_message(message, outputs);
            } else {
                outputs.push(NodeOutput::Send(message));
            }
        }
    }

    fn apply_committed(&mut self, outputs: &mut Vec<NodeOutput>) {
        while self.applied < self.commit {
            let index = self.applied + 1;
            let entry = self
                .log
                .entry(index)
                .expect("a committed entry is in the log");
            let entry = entry.clone();
            self.snapshots.record_applied(&entry);
            let proposal = self
                .leader_state
                .as_mut()
                .and_then(|leader_state| leader_state.record_committed(&entry));
            outputs.push(NodeOutput::Apply { entry, proposal });
            self.applied = index;
        }
        self.request_snapshot(outputs);
    }

    fn set_role(&mut self, role: NodeRole, outputs: &mut Vec<NodeOutput>) {
        self.role = role;
        outputs.push(NodeOutput::RoleChanged {
            role,
            term: self.hard_state.term,
            leader: self.leader,
        });
    }

    fn is_voter(&self) -> bool {
        self.log.membership().is_voter(self.id)
    }

    /// Returns the ids of the other members of the memberships in force.
    fn peers(&self) -> BTreeSet<MemberId> {
        let memberships = self.memberships_in_force();
        let ids = memberships.flat_map(|it| it.members.iter().map(|member| member.id));
        ids.filter(|id| *id != self.id).collect()
    }
}

/// Rejects an input to a member whose storage failed.
fn reject_input(input: &NodeInput, outputs: &mut Vec<NodeOutput>) {
    match input {
        NodeInput::Propose { proposal, .. } | NodeInput::ChangeMembership { proposal, .. } => {
            outputs.push(NodeOutput::Rejected {
                proposal: *proposal,
                reason: ProposalRejection::NotLeader { leader: None },
            });
        }
        NodeInput::ReadIndex { read } => {
            outputs.push(NodeOutput::ReadFailed {
                read: *read,
                leader: None,
            });
        }
        _ => {}
    }
}
