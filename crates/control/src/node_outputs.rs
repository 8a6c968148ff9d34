//! Handling of the consensus node's outputs.

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_consensus::{
    LogEntry, LogIndex, MemberId, NodeInput, NodeOutput, NodeRole, PeerMessage, ProposalId, ReadId,
    SnapshotImage, Term,
};
use mulberrywell_role::{LogLevel, RoleAction};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::LogCommand;
use mulberrywell_wire::consensus::ConsensusFrame;
use mulberrywell_wire::FrameBody;
use prost::Message;

use crate::client_frames::refuse_client;
use crate::cluster_state::ClusterState;
use crate::command_outcome::CommandOutcome;
use crate::control_event::ControlAction;
use crate::control_role::{send, Actions, ControlRole, ReadTask};
use crate::lease_issuer::LeaseIssuer;
use crate::proposal_table::ProposalWaiter;
use crate::serving_calls::{complete_call, refuse_call};

impl ControlRole {
    pub(crate) fn handle_output(
        &mut self,
        now: Instant,
        output: NodeOutput,
        actions: &mut Actions,
    ) {
        match output {
            NodeOutput::Send(message) => self.send_message(&message, actions),
            NodeOutput::Persist(batch) => {
                actions.push(RoleAction::RoleSpecific(ControlAction::Persist(batch)));
            }
            NodeOutput::Apply { entry, proposal } => {
                self.apply_entry(now, &entry, proposal, actions);
            }
            NodeOutput::Restore(image) => self.restore(now, image, actions),
            NodeOutput::EncodeSnapshot { index } => self.encode_snapshot(index),
            NodeOutput::SaveSnapshot(image) => {
                actions.push(RoleAction::RoleSpecific(ControlAction::SaveSnapshot(image)));
            }
            NodeOutput::Rejected { proposal, .. } | NodeOutput::OutcomeUnknown { proposal } => {
                if let Some(waiter) = self.proposals.remove(proposal) {
                    self.fail_waiter(waiter, actions);
                }
            }
            NodeOutput::ReadConfirmed { read, index } => self.reads.confirm(read, index),
            NodeOutput::ReadFailed { read, .. } => self.fail_read(read, actions),
            NodeOutput::RoleChanged { role, term, leader } => {
                self.handle_role_change(now, role, term, leader, actions);
            }
            NodeOutput::MembershipChanged(membership) => {
                if !membership.voters().eq(self.membership.voters()) {
                    let voters: Vec<String> =
                        membership.voters().map(|id| format!("{id:016x}")).collect();
                    let text = format!("voters: {}", voters.join(", "));
                    actions.push(RoleAction::Log(LogLevel::Info, text));
                }
                self.membership = membership;
                self.peers.set_empty(false);
                self.update_peer_addresses(now);
            }
            NodeOutput::TransferFailed => {
                let text = "leadership transfer failed: no other member became leader".to_owned();
                actions.push(RoleAction::Log(LogLevel::Warn, text));
            }
        }
    }

    fn send_message(&mut self, message: &PeerMessage, actions: &mut Actions) {
        if let Some(link) = self.peers.link_of(message.to) {
            let frame = ConsensusFrame {
                from: message.from,
                to: message.to,
                message: message.to_bytes(),
            };
            send(link, FrameBody::Consensus(frame), actions);
        }
    }

    fn update_peer_addresses(&mut self, now: Instant) {
        let members = self.membership.members.iter();
        let addresses: Vec<Bytes> = members.map(|member| member.address.clone()).collect();
        self.peers.set_addresses(now, &addresses);
    }

    fn apply_entry(
        &mut self,
        now: Instant,
        entry: &LogEntry,
        proposal: Option<ProposalId>,
        actions: &mut Actions,
    ) {
        self.update_applied_term(now, entry.term);
        let waiter = proposal.and_then(|proposal| self.proposals.remove(proposal));
        let Some(data) = entry.command() else {
            self.state.applied = entry.index;
            self.evacuations
                .record_applied(entry.term, entry.index, false);
            return;
        };
        let command = match LogCommand::decode(data.clone()) {
            Ok(command) => command,
            Err(err) => {
                self.state.applied = entry.index;
                let text = format!("failed to decode log entry {}: {err}", entry.index);
                actions.push(RoleAction::Log(LogLevel::Error, text));
                return;
            }
        };
        let cluster = self.state.cluster;
        let outcome = self.state.apply(entry.index, &command);
        let is_change = self.record_evacuation(now, &command, &outcome, actions);
        self.evacuations
            .record_applied(entry.term, entry.index, is_change);
        if let (true, Some(Body::SetEvacuation(set))) = (is_change, &command.body) {
            if !set.evacuated {
                self.expect_cold_zone(now, &set.zone);
            }
        }
        if self.state.cluster != cluster {
            self.commands
                .extend(self.peers.hello_commands(self.state.cluster));
        }
        self.handle_applied(now, &command, &outcome, actions);
        if let Some(waiter) = waiter {
            self.complete_waiter(waiter, &outcome, actions);
        }
    }

    /// Records the term of an applied entry. When a leader applies the first
    /// entry of its own term, it has applied everything committed before.
    fn update_applied_term(&mut self, now: Instant, term: Term) {
        let known = std::mem::replace(&mut self.applied_term, term);
        if self.is_leader() && term == self.term && known != term {
            self.leases.become_leader(now, term);
        }
    }

    /// Updates the role after an applied command, on every member.
    fn handle_applied(
        &mut self,
        now: Instant,
        command: &LogCommand,
        outcome: &CommandOutcome,
        actions: &mut Actions,
    ) {
        match &command.body {
            Some(Body::PutEndpoint(put)) => {
                if let Some(item) = &put.endpoint {
                    self.handle_endpoint_commit(now, &item.name, outcome, actions);
                }
            }
            Some(Body::SetEndpointState(set)) => {
                self.handle_endpoint_commit(now, &set.name, outcome, actions);
            }
            Some(Body::EditLists(_) | Body::PutServing(_)) => {
                self.leases.update_plans(now, &self.state);
            }
            Some(Body::GrantBlock(grant)) => self.leases.apply_blocks(now, grant),
            Some(Body::PutStreams(put)) => self.streams.record_saved(put),
            Some(Body::EndEndpoint(ended)) => self.ended_unapplied.push(ended.clone()),
            _ => {}
        }
    }

    fn complete_waiter(
        &mut self,
        waiter: ProposalWaiter,
        outcome: &CommandOutcome,
        actions: &mut Actions,
    ) {
        match waiter {
            ProposalWaiter::Operator(origin) => self.answer_outcome(origin, outcome, actions),
            ProposalWaiter::Claim(origin, request) => {
                self.answer_claim(origin, &request, Some(outcome), actions);
            }
            ProposalWaiter::Outcome(origin, sequence) => {
                self.acknowledge_outcome(origin, sequence, actions);
            }
            ProposalWaiter::Serving(origin) => complete_call(origin, outcome, actions),
            ProposalWaiter::Streams => self.streams.end_proposal(),
            ProposalWaiter::Endpoint(_) | ProposalWaiter::Membership | ProposalWaiter::Blocks => {}
        }
    }

    /// Notifies a waiter that its command is not known to be committed.
    pub(crate) fn fail_waiter(&mut self, waiter: ProposalWaiter, actions: &mut Actions) {
        match waiter {
            ProposalWaiter::Operator(origin) => self.answer_unavailable(origin, actions),
            ProposalWaiter::Claim(origin, request) => {
                self.answer_claim(origin, &request, None, actions);
            }
            // The entry retries the report of the outcome.
            ProposalWaiter::Outcome(..) => {}
            ProposalWaiter::Serving(origin) => refuse_call(origin, actions),
            ProposalWaiter::Streams => self.streams.end_proposal(),
            ProposalWaiter::Endpoint(_) | ProposalWaiter::Membership | ProposalWaiter::Blocks => {}
        }
    }

    fn restore(&mut self, now: Instant, image: SnapshotImage, actions: &mut Actions) {
        let chart = self.state.chart.clone();
        match ClusterState::decode_snapshot(image.data, chart) {
            Ok(state) => {
                self.state = state;
                // Log entries without a command may follow the last command.
                self.state.applied = self.state.applied.max(image.meta.index);
                let meta = &image.meta;
                self.evacuations.restore(&self.state, meta.term, meta.index);
                self.commands
                    .extend(self.peers.hello_commands(self.state.cluster));
                self.leases = LeaseIssuer::restore(now, &self.state);
                self.ended_unapplied = self.state.ended.to_records();
            }
            Err(err) => {
                let text = format!("failed to decode snapshot: {err}");
                actions.push(RoleAction::Log(LogLevel::Error, text));
            }
        }
    }

    fn encode_snapshot(&mut self, index: LogIndex) {
        debug_assert_eq!(index, self.state.applied);
        let data = self.state.encode_snapshot();
        self.enqueue(NodeInput::SnapshotEncoded { index, data });
    }

    fn fail_read(&mut self, read: ReadId, actions: &mut Actions) {
        for task in self.reads.fail(read) {
            self.fail_task(task, actions);
        }
    }

    pub(crate) fn fail_task(&mut self, task: ReadTask, actions: &mut Actions) {
        match task {
            ReadTask::Operator(task) => self.answer_unavailable(task.origin, actions),
            ReadTask::Client(task) => refuse_client(task.origin, &task.frame, actions),
            ReadTask::Serving(task) => refuse_call(task.origin, actions),
        }
    }

    fn handle_role_change(
        &mut self,
        now: Instant,
        role: NodeRole,
        term: Term,
        leader: Option<MemberId>,
        actions: &mut Actions,
    ) {
        let was_leader = self.is_leader();
        self.role = role;
        self.term = term;
        if self.leader != leader {
            self.leader = leader;
            for requester in self.relays.clear() {
                self.refuse_requester(requester, actions);
            }
        }
        if self.is_leader() && !was_leader {
            let text = format!("became leader in term {term}");
            actions.push(RoleAction::Log(LogLevel::Info, text));
            self.monitor.restart_observation(now);
            self.orders.become_leader(now);
            self.permits.start(now);
            self.prompts.clear_trials();
            self.absent_since.clear();
        }
        if was_leader && !self.is_leader() {
            let text = format!("lost leadership; term {term}");
            actions.push(RoleAction::Log(LogLevel::Info, text));
            self.leases.become_follower();
            let abandoned = self.orders.become_follower().into_iter();
            let abandoned = abandoned.map(ControlAction::AbandonOrder);
            actions.extend(abandoned.map(RoleAction::RoleSpecific));
            self.permits.stop();
        }
    }
}
