//! Frames of agents: announcements and heartbeats.

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::LinkId;
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{EndpointSignal, PutEndpoint, SetEndpointState};
use mulberrywell_wire::config::EndpointState;
use mulberrywell_wire::endpoint::{Announce, AnnounceAck, DemandReport, StateReport};
use mulberrywell_wire::operate::{OrderBatch, Relay, ReportBatch};
use mulberrywell_wire::{FrameBody, PeerFrame};
use prost::Message;

use crate::cluster_state::ClusterState;
use crate::command_outcome::CommandOutcome;
use crate::control_role::{send, Actions, ControlRole};
use crate::proposal_table::ProposalWaiter;

/// How an announcement stands to the registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnnounceStanding {
    /// In force.
    Registered,
    /// To be registered.
    Changed,
    /// A later incarnation is registered.
    Replaced,
}

impl ControlRole {
    pub(crate) fn take_announce(
        &mut self,
        now: Instant,
        link: LinkId,
        announce: Announce,
        actions: &mut Actions,
    ) {
        let Some(item) = &announce.endpoint else {
            return;
        };
        let name = item.name.clone();
        self.watch.announce(now, name.clone(), link, announce);
        self.watch.hear(now, &name);
        self.push_announce(&name, actions);
    }

    /// Answers an announcement, or brings it to the leader.
    pub(crate) fn push_announce(&mut self, name: &Bytes, actions: &mut Actions) {
        let Some(agent) = self.watch.agent(name) else {
            return;
        };
        let (link, announce) = (agent.link, agent.announce.clone());
        match standing_of(&self.state, &announce) {
            AnnounceStanding::Changed if self.is_leader() => self.register(announce),
            AnnounceStanding::Changed => {
                if let Some(leader) = self.leader_link() {
                    let frame = PeerFrame::from(FrameBody::Announce(announce));
                    let relay = Relay {
                        sequence: 0,
                        frame: Bytes::from(frame.encode_to_vec()),
                        holder: Bytes::new(),
                    };
                    send(leader, FrameBody::Relay(relay), actions);
                }
            }
            standing => self.acknowledge(link, name, standing, actions),
        }
    }

    /// Takes in an announcement that another member passed on.
    pub(crate) fn take_relayed_announce(&mut self, now: Instant, announce: Announce) {
        if !self.is_leader() {
            return;
        }
        if let Some(item) = &announce.endpoint {
            self.watch.hear(now, &item.name);
        }
        if standing_of(&self.state, &announce) == AnnounceStanding::Changed {
            self.register(announce);
        }
    }

    fn register(&mut self, announce: Announce) {
        let Some(item) = &announce.endpoint else {
            return;
        };
        if self.proposals.changes_endpoint(&item.name) {
            return;
        }
        let name = item.name.clone();
        let body = Body::PutEndpoint(PutEndpoint {
            endpoint: announce.endpoint,
            memory_mib: announce.memory_mib,
            slots: announce.slots,
            accelerators: announce.accelerators,
        });
        self.propose_as(
            body,
            name.clone(),
            Bytes::new(),
            ProposalWaiter::Endpoint(name),
        );
    }

    fn acknowledge(
        &self,
        link: LinkId,
        name: &Bytes,
        standing: AnnounceStanding,
        actions: &mut Actions,
    ) {
        let Some(record) = self.state.endpoints.get(name) else {
            return;
        };
        let ack = AnnounceAck {
            incarnation: record.item.incarnation,
            fencing: record.item.fencing,
            accepted: standing == AnnounceStanding::Registered,
            draining: record.item.state() == EndpointState::Leaving,
        };
        send(link, FrameBody::AnnounceAck(ack), actions);
    }

    /// Follows up a committed change of an endpoint.
    pub(crate) fn note_endpoint(
        &mut self,
        now: Instant,
        name: &Bytes,
        outcome: &CommandOutcome,
        actions: &mut Actions,
    ) {
        if !self.state.endpoints.contains_key(name) {
            self.watch.forget(name);
            self.observed.forget(name);
        } else if matches!(outcome, CommandOutcome::Accepted { .. }) && self.is_leader() {
            self.watch.hear_first(now, name);
        }
        let Some(agent) = self.watch.agent(name) else {
            return;
        };
        let link = agent.link;
        match standing_of(&self.state, &agent.announce) {
            // The announcement is made again when it is due.
            AnnounceStanding::Changed => {}
            standing => self.acknowledge(link, name, standing, actions),
        }
    }

    pub(crate) fn take_state_report(&mut self, now: Instant, report: StateReport) {
        if !self.is_leader() {
            self.watch.pass_state(report);
            return;
        }
        let Some(known) = self.state.endpoints.get(&report.endpoint) else {
            return;
        };
        if known.item.incarnation != report.incarnation {
            return;
        }
        let suspect = known.item.state() == EndpointState::Suspect;
        let name = report.endpoint.clone();
        self.watch.hear(now, &name);
        self.observed.put_state(now, report);
        if suspect {
            self.signal_endpoint(&name, EndpointSignal::Heard);
        }
    }

    pub(crate) fn take_demand(&mut self, now: Instant, instance: Bytes, report: DemandReport) {
        if self.is_leader() {
            self.observed.put_demand(now, instance, report);
        } else {
            self.watch.pass_demand(instance, report);
        }
    }

    pub(crate) fn take_batch(&mut self, now: Instant, batch: ReportBatch) {
        if !self.is_leader() {
            return;
        }
        for report in batch.states {
            self.take_state_report(now, report);
        }
        for demand in batch.demands {
            self.take_demand(now, demand.instance, demand.report.unwrap_or_default());
        }
    }

    /// Hands orders to the agents that are linked here.
    pub(crate) fn deliver_orders(&self, batch: OrderBatch, actions: &mut Actions) {
        for order in batch.orders {
            if let Some(agent) = self.watch.agent(&order.endpoint) {
                send(agent.link, FrameBody::TargetOrder(order), actions);
            }
        }
    }

    fn signal_endpoint(&mut self, name: &Bytes, signal: EndpointSignal) {
        let Some(record) = self.state.endpoints.get(name) else {
            return;
        };
        if self.proposals.changes_endpoint(name) {
            return;
        }
        let body = Body::SetEndpointState(SetEndpointState {
            name: name.clone(),
            incarnation: record.item.incarnation,
            signal: signal.into(),
        });
        self.propose(body, ProposalWaiter::Endpoint(name.clone()));
    }

    /// Does the watch's regular work.
    pub(crate) fn tick_watch(&mut self, now: Instant, actions: &mut Actions) {
        for name in self.watch.due_announcements(now) {
            let agent = self.watch.agent(&name);
            let changed = agent.is_some_and(|agent| {
                standing_of(&self.state, &agent.announce) == AnnounceStanding::Changed
            });
            if changed {
                self.push_announce(&name, actions);
            }
        }
        if self.is_leader() {
            for due in self.watch.silent(now, &self.state, &self.config.settings) {
                self.signal_endpoint(&due.name, due.signal);
            }
        } else if let Some(leader) = self.leader_link() {
            if let Some(batch) = self.watch.take_batch() {
                send(leader, FrameBody::ReportBatch(batch), actions);
            }
        }
    }
}

/// Compares an announcement with what is registered, beside the state and
/// token that control itself sets.
fn standing_of(state: &ClusterState, announce: &Announce) -> AnnounceStanding {
    let Some(item) = &announce.endpoint else {
        return AnnounceStanding::Registered;
    };
    let Some(known) = state.endpoints.get(&item.name) else {
        return AnnounceStanding::Changed;
    };
    if known.item.incarnation > item.incarnation {
        return AnnounceStanding::Replaced;
    }
    let mut item = item.clone();
    item.fencing = known.item.fencing;
    if known.item.incarnation == item.incarnation {
        item.state = state.announced_state(Some(known), &item).into();
    }
    let same = known.item == item
        && known.memory_mib == announce.memory_mib
        && known.slots == announce.slots
        && known.accelerators == announce.accelerators;
    if same {
        AnnounceStanding::Registered
    } else {
        AnnounceStanding::Changed
    }
}
