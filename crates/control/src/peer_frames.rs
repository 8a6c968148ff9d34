//! Frames of other control instances, and the role's regular work.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_consensus::{MemberId, NodeInput, PeerMessage};
use mulberrywell_directory::digest_key;
use mulberrywell_role::{LinkCommand, LinkId, LogLevel, RoleAction};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{FoundCluster, GiveOperator};
use mulberrywell_wire::operate::MemberHello;
use mulberrywell_wire::{FrameBody, PeerIdentity, PeerRole};

use crate::control_role::{send, Actions, ControlRole};
use crate::member_driver::{MemberStep, MemberView, LOST_AFTER};
use crate::proposal_table::ProposalWaiter;

/// Name of the operator whose key the settings give.
const FIRST_OPERATOR: &[u8] = b"first";

/// Time without a leader after which entries and agents are sent elsewhere.
const CLIENT_HOLD: Duration = Duration::from_millis(1_500);

/// Pause of the process after which it begins to listen anew.
const PAUSE_MAX: Duration = Duration::from_secs(1);

impl ControlRole {
    pub(crate) fn take_opened(&mut self, link: LinkId, peer: PeerIdentity, actions: &mut Actions) {
        if peer.role == PeerRole::Control {
            let hello = self.peers.opened(link, self.state.cluster);
            actions.push(RoleAction::Link(hello));
        } else {
            self.clients.insert(link, peer);
        }
    }

    pub(crate) fn take_peer_frame(
        &mut self,
        now: Instant,
        link: LinkId,
        body: FrameBody,
        actions: &mut Actions,
    ) {
        match body {
            FrameBody::MemberHello(hello) => self.take_hello(link, hello, actions),
            FrameBody::Consensus(frame) => match PeerMessage::from_bytes(frame.message) {
                Ok(message) => self.input(NodeInput::Message(message)),
                Err(_) => actions.push(RoleAction::Link(LinkCommand::Close { link })),
            },
            FrameBody::Forward(forward) => self.take_forward(link, forward, actions),
            FrameBody::ForwardAnswer(answer) => self.take_forward_answer(answer, actions),
            FrameBody::Relay(relay) => self.take_relay(now, link, relay, actions),
            FrameBody::RelayAnswer(answer) => self.take_relay_answer(answer, actions),
            FrameBody::ReportBatch(batch) => self.take_batch(now, batch),
            FrameBody::MemberStatus(status) => self.status.put(status),
            FrameBody::OrderBatch(batch) => self.deliver_orders(batch, actions),
            FrameBody::ServingUpdate(update) => self.serving.take_peer(now, update),
            FrameBody::ServingForward(call) => self.take_serving_forward(link, call, actions),
            FrameBody::ServingReply(reply) => self.take_serving_reply(reply, actions),
            FrameBody::ServingDemand(demand) => self.take_serving_demand(now, demand, actions),
            _ => {}
        }
    }

    fn take_hello(&mut self, link: LinkId, hello: MemberHello, actions: &mut Actions) {
        let foreign =
            self.state.cluster != 0 && hello.cluster != 0 && hello.cluster != self.state.cluster;
        if foreign {
            let text = format!("an instance of cluster {:016x} was refused", hello.cluster);
            actions.push(RoleAction::Log(LogLevel::Error, text));
            actions.push(RoleAction::Link(LinkCommand::Close { link }));
            return;
        }
        if hello.cluster != 0 {
            self.founding = false;
        }
        self.peers.take_hello(link, hello);
        self.serving.greet_peer(link);
    }

    /// Does the role's regular work.
    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Actions) {
        if now.saturating_duration_since(self.last_tick) >= PAUSE_MAX {
            self.watch.lead(now);
        }
        self.found(actions);
        if self.is_leader() {
            self.drive_members(now);
            self.propose_blocks(now);
            self.place(now, actions);
        }
        self.serving.tick(now);
        self.rates.tell(&mut self.commands);
        self.loads.tell(&mut self.commands);
        self.tick_watch(now, actions);
        if let Some(status) = self.status.due(now, self.peers.own().id, &self.state) {
            for link in self.peers.member_links() {
                send(link, FrameBody::MemberStatus(status.clone()), actions);
            }
        }
        self.turn_clients_away(now, actions);
    }

    /// Sends entries and agents elsewhere after some time in which this
    /// instance neither led nor was linked to a leader.
    fn turn_clients_away(&mut self, now: Instant, actions: &mut Actions) {
        if self.is_leader() || self.leader_link().is_some() {
            self.leaderless = None;
            return;
        }
        let since = *self.leaderless.get_or_insert(now);
        if now.saturating_duration_since(since) >= CLIENT_HOLD {
            self.close_clients(actions);
        }
    }

    /// Founds a cluster where the settings allow it and no other instance
    /// belongs to one.
    fn found(&mut self, actions: &mut Actions) {
        let settings = &self.config.settings;
        if self.founding && (!settings.first_seed_founds || self.peers.is_first_seed()) {
            // A seed that does not answer may be a member of a cluster that
            // this instance has forgotten with its disk.
            if self.peers.connected().len() >= self.peers.other_seeds() {
                self.founding = false;
                let address = self.peers.own().address.clone();
                self.input(NodeInput::Found { address });
            }
        }
        let due = self.is_leader() && self.state.cluster == 0;
        if !due || self.proposals.changes_membership() {
            return;
        }
        let cluster = self.config.new_cluster;
        let text = format!("founds cluster {cluster:016x}");
        actions.push(RoleAction::Log(LogLevel::Info, text));
        let key = &self.config.operator_key;
        let operator = (!key.is_empty()).then(|| GiveOperator {
            name: Bytes::from_static(FIRST_OPERATOR),
            digest: digest_key(key),
        });
        let body = Body::FoundCluster(FoundCluster { cluster, operator });
        self.propose(body, ProposalWaiter::Membership);
    }

    /// Notes since when members have had no link.
    fn note_absent(&mut self, now: Instant) {
        let connected = self.peers.connected();
        let own = self.peers.own().id;
        let members = self.membership.members.iter().map(|member| member.id);
        let absent: Vec<_> = members
            .filter(|id| *id != own && !connected.contains_key(id))
            .collect();
        self.absent.retain(|id, _| absent.contains(id));
        for id in absent {
            self.absent.entry(id).or_insert(now);
        }
    }

    fn lost_members(&self, now: Instant) -> BTreeSet<MemberId> {
        let absent = self.absent.iter();
        let lost = absent.filter(|(_, since)| now.saturating_duration_since(**since) >= LOST_AFTER);
        lost.map(|(id, _)| *id).collect()
    }

    /// Takes the next step towards the wished membership.
    fn drive_members(&mut self, now: Instant) {
        self.note_absent(now);
        if self.state.cluster == 0 || self.proposals.changes_membership() {
            return;
        }
        let steps = self.members.steps(MemberView {
            state: &self.state,
            membership: &self.membership,
            peers: &self.peers,
            lost: &self.lost_members(now),
            is_open: self.config.settings.open_membership,
        });
        for step in steps {
            match step {
                MemberStep::Command(body) => self.propose(body, ProposalWaiter::Membership),
                MemberStep::Change(change) => {
                    let proposal = self.proposals.open(ProposalWaiter::Membership);
                    self.input(NodeInput::ChangeMembership { proposal, change });
                }
                MemberStep::Transfer => self.input(NodeInput::Transfer { to: None }),
            }
        }
    }
}
