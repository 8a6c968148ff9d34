//! Frames from other control instances, and the role's periodic work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_consensus::{MemberId, NodeInput, PeerMessage};
use mulberrywell_directory::digest_key;
use mulberrywell_role::{LinkCommand, LinkId, LogLevel, RoleAction};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{FoundCluster, GiveOperator, MemberItem};
use mulberrywell_wire::operate::MemberHello;
use mulberrywell_wire::{FrameBody, PeerIdentity, PeerRole};

use crate::control_role::{send, Actions, ControlRole};
use crate::member_driver::{MemberStep, MemberView};
use crate::proposal_table::ProposalWaiter;

/// Name of the operator whose key is in the settings.
const FIRST_OPERATOR: &[u8] = b"first";

/// Time without a leader after which the links of clients that have one link only are
/// closed.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Age of a link before which it isn't closed for want of a leader: a gateway has told
/// by then that it is one.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after its start at which a seed names the founder of the cluster; longer
/// than the differences between the starts of all instances.
const FOUNDER_DELAY: Duration = Duration::from_secs(1);

/// Time between two ticks from which on the process is treated as having been
/// suspended for too long to judge heartbeats, so that the observation of
/// endpoints restarts.
const LONG_STALL_THRESHOLD: Duration = Duration::from_secs(1);

impl ControlRole {
    pub(crate) fn handle_opened(
        &mut self,
        now: Instant,
        link: LinkId,
        peer: PeerIdentity,
        actions: &mut Actions,
    ) {
        if peer.role == PeerRole::Control {
            let hello = self.peers.insert_link(link, self.state.cluster);
            actions.push(RoleAction::Link(hello));
        } else {
            self.clients.insert(now, link, peer);
        }
    }

    pub(crate) fn handle_peer_frame(
        &mut self,
        now: Instant,
        link: LinkId,
        body: FrameBody,
        actions: &mut Actions,
    ) {
        match body {
            FrameBody::MemberHello(hello) => self.handle_hello(now, link, hello, actions),
            FrameBody::Consensus(frame) => match PeerMessage::from_bytes(frame.message) {
                Ok(message) => self.enqueue(NodeInput::Message(message)),
                Err(_) => actions.push(RoleAction::Link(LinkCommand::Close { link })),
            },
            FrameBody::Forward(forward) => self.handle_forward(link, forward, actions),
            FrameBody::ForwardAnswer(answer) => self.handle_forward_answer(answer, actions),
            FrameBody::Relay(relay) => self.handle_relay(now, link, relay, actions),
            FrameBody::RelayAnswer(answer) => self.handle_relay_answer(answer, actions),
            FrameBody::ReportBatch(batch) => self.handle_report_batch(now, batch),
            FrameBody::MemberStatus(status) => self.status.insert(status),
            FrameBody::OrderBatch(batch) => self.send_local_orders(batch, actions),
            FrameBody::ServingUpdate(update) => {
                let latest_start = self.latest_start();
                let ended = &self.state.ended;
                self.serving
                    .apply_peer_update(now, update, latest_start, ended);
            }
            FrameBody::ServingForward(call) => self.handle_serving_forward(link, call, actions),
            FrameBody::ServingReply(reply) => self.handle_serving_reply(reply, actions),
            FrameBody::ServingDemand(demand) => self.handle_serving_demand(now, demand, actions),
            _ => {}
        }
    }

    fn handle_hello(
        &mut self,
        now: Instant,
        link: LinkId,
        hello: MemberHello,
        actions: &mut Actions,
    ) {
        let foreign =
            self.state.cluster != 0 && hello.cluster != 0 && hello.cluster != self.state.cluster;
        if foreign {
            let text = format!(
                "refused link to an instance of cluster {:016x}",
                hello.cluster
            );
            actions.push(RoleAction::Log(LogLevel::Error, text));
            actions.push(RoleAction::Link(LinkCommand::Close { link }));
            return;
        }
        if hello.cluster != 0 {
            self.may_found = false;
        }
        for id in &hello.defunct {
            self.enqueue(NodeInput::MemberDefunct { id: *id });
        }
        let is_leaving = hello.leaving;
        self.peers.handle_hello(now, link, hello);
        self.serving.insert_peer(link);
        if is_leaving && self.is_leader() {
            // The peer's process ends soon.
            self.update_membership(now);
        }
    }

    /// Performs the role's periodic work.
    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Actions) {
        if now.saturating_duration_since(self.last_tick) >= LONG_STALL_THRESHOLD {
            self.monitor.restart_observation(now);
        }
        self.found_cluster(now, actions);
        self.update_defunct(actions);
        self.leave_leadership(now);
        if self.is_leader() {
            self.update_membership(now);
            self.propose_blocks(now);
            self.plan_placement(now, actions);
        }
        self.streams.tick(now, &self.serving.endpoints, &self.state);
        if self.is_leader() && self.applied_term == self.term {
            for command in self.streams.due_commands(now, &self.state) {
                self.propose(command, ProposalWaiter::Streams);
            }
        }
        self.serving.tick(now, &self.state.ended);
        self.permits.remove_idle(now);
        let leads = self.is_leader() && self.has_lease(now);
        self.rates.set_leads(leads);
        self.update_leaderless(now, actions);
        self.rates.broadcast(now, &mut self.commands);
        self.loads.broadcast(now, &mut self.commands);
        self.prompts.tick(now, &mut self.commands, actions);
        self.tick_endpoints(now, actions);
        if let Some(status) = self
            .status
            .due_status(now, self.peers.own().id, &self.state)
        {
            for link in self.peers.member_links() {
                send(link, FrameBody::MemberStatus(status.clone()), actions);
            }
        }
    }

    /// If this instance has neither led nor been linked to a leader for
    /// [`LEADERLESS_TIMEOUT`], closes the links of entries and agents, so that they
    /// connect to another instance, and tells gateways.
    fn update_leaderless(&mut self, now: Instant, actions: &mut Actions) {
        if self.is_leader() || self.leader_link().is_some() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(now);
        }
        let since = self.leaderless_since;
        let is_leaderless =
            since.is_some_and(|at| now.saturating_duration_since(at) >= LEADERLESS_TIMEOUT);
        self.rates.set_leaderless(is_leaderless);
        if let (true, Some(opened_before)) = (is_leaderless, now.checked_sub(ATTACH_TIMEOUT)) {
            self.close_single_links(opened_before, actions);
        }
    }

    /// Founds a cluster if the settings allow it and no other instance belongs
    /// to one.
    fn found_cluster(&mut self, now: Instant, actions: &mut Actions) {
        let is_settled = now.saturating_duration_since(self.started) >= FOUNDER_DELAY;
        let names_founder = self.config.settings.first_seed_founds
            && self.config.settings.bootstrap
            && self.state.cluster == 0;
        if names_founder && is_settled && self.peers.name_founder() {
            self.commands.extend(self.peers.hello_commands(0));
        }
        let settings = &self.config.settings;
        if self.may_found && (!settings.first_seed_founds || self.peers.is_founder()) {
            // A seed that does not answer may be a member of a cluster that
            // this instance forgot when it lost its disk, so all seeds must be
            // connected.
            if self.peers.connected().len() >= self.peers.other_seed_count() {
                self.may_found = false;
                let address = self.peers.own().address.clone();
                self.enqueue(NodeInput::Bootstrap { address });
            }
        }
        let due = self.is_leader() && self.state.cluster == 0;
        if !due || self.proposals.has_membership_change() {
            return;
        }
        let cluster = self.config.new_cluster_id;
        let text = format!("founding cluster {cluster:016x}");
        actions.push(RoleAction::Log(LogLevel::Info, text));
        let key = &self.config.operator_key;
        let operator = (!key.is_empty()).then(|| GiveOperator {
            name: Bytes::from_static(FIRST_OPERATOR),
            digest: digest_key(key),
        });
        let body = Body::FoundCluster(FoundCluster { cluster, operator });
        self.propose(body, ProposalWaiter::Membership);
    }

    /// Records the members whose disks are found to be lost, and tells the other
    /// instances of all that are known.
    fn update_defunct(&mut self, actions: &mut Actions) {
        let known = self.node.defunct_members();
        if self.peers.set_defunct(known) {
            let cluster = self.state.cluster;
            self.commands.extend(self.peers.hello_commands(cluster));
        }
        // A removal that isn't known to be committed doesn't end the need for a proof.
        let memberships = self.node.memberships_in_force();
        let members: BTreeSet<MemberId> = memberships
            .flat_map(|it| it.members.iter().map(|member| member.id))
            .collect();
        let items = members.iter().filter_map(|id| self.latest_member(*id));
        let found = items.filter(|item| !known.contains(&item.id) && self.peers.is_defunct(item));
        let found: Vec<MemberItem> = found.cloned().collect();
        for member in found {
            let name = String::from_utf8_lossy(&member.name);
            let text = format!(
                "member {:016x} is defunct: {name} is back with an empty disk",
                member.id
            );
            actions.push(RoleAction::Log(LogLevel::Info, text));
            self.enqueue(NodeInput::MemberDefunct { id: member.id });
        }
    }

    /// Returns the members without a link.
    fn unlinked_members(&self) -> Vec<MemberId> {
        let connected = self.peers.connected();
        let own = self.peers.own().id;
        let members = self.membership.members.iter().map(|member| member.id);
        let unlinked = members.filter(|id| *id != own && !connected.contains_key(id));
        unlinked.collect()
    }

    /// Updates since when each unlinked member has had no link.
    fn update_absent(&mut self, now: Instant) {
        let absent = self.unlinked_members();
        self.absent_since.retain(|id, _| absent.contains(id));
        for id in absent {
            self.absent_since.entry(id).or_insert(now);
        }
    }

    /// Returns the unlinked members with the time since when each has had no link.
    fn absent_members(&self, now: Instant) -> BTreeMap<MemberId, Duration> {
        let absent = self.absent_since.iter();
        let times = absent.map(|(id, since)| (*id, now.saturating_duration_since(*since)));
        times.collect()
    }

    pub(crate) fn member_view<'a>(
        &'a self,
        absent: &'a BTreeMap<MemberId, Duration>,
    ) -> MemberView<'a> {
        let settings = &self.config.settings;
        MemberView {
            state: &self.state,
            membership: &self.membership,
            peers: &self.peers,
            absent,
            is_open: settings.open_membership,
            losses_max: usize::try_from(settings.losses_max).unwrap_or(usize::MAX),
        }
    }

    /// Returns whether the other voters are to remove this instance before it ends.
    ///
    /// That can be done at once, or as soon as another instance is a voter that has just
    /// been started or may be back. Until the removal is known to be committed, a quorum
    /// with this instance is needed.
    pub(crate) fn awaits_removal(&self, now: Instant) -> bool {
        let own = self.peers.own().id;
        if !self.config.settings.open_membership {
            return false;
        }
        if !self.membership.is_voter(own) {
            let mut memberships = self.node.memberships_in_force();
            return memberships.any(|it| it.is_voter(own));
        }
        let unlinked = self.unlinked_members().into_iter();
        let absent = unlinked.map(|id| (id, Duration::ZERO)).collect();
        let view = self.member_view(&absent);
        let is_voter_awaited =
            self.members.awaits_voter(view) || self.peers.awaits_return(now, &self.membership);
        view.has_linked_quorum() && (view.is_spared(own, true) || is_voter_awaited)
    }

    /// Takes the next step towards the requested membership.
    fn update_membership(&mut self, now: Instant) {
        self.update_absent(now);
        if self.state.cluster == 0 || self.proposals.has_membership_change() {
            return;
        }
        let absent = self.absent_members(now);
        let steps = self.members.steps(self.member_view(&absent));
        for step in steps {
            match step {
                MemberStep::Command(body) => self.propose(body, ProposalWaiter::Membership),
                MemberStep::Change(change) => {
                    let proposal = self.proposals.insert(ProposalWaiter::Membership);
                    self.enqueue(NodeInput::ChangeMembership { proposal, change });
                }
                MemberStep::Transfer => self.transfer_leadership(now),
            }
        }
    }
}
