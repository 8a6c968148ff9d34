//! Announcements, heartbeats and reports of agents.

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::LinkId;
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{EndpointSignal, PutEndpoint, SetEndpointState};
use mulberrywell_wire::config::EndpointState;
use mulberrywell_wire::endpoint::{Announce, AnnounceAck, DemandReport, StateReport};
use mulberrywell_wire::operate::{OrderBatch, ReportBatch};
use mulberrywell_wire::FrameBody;

use crate::client_frames::unanswered_relay;
use crate::cluster_state::ClusterState;
use crate::command_outcome::CommandOutcome;
use crate::control_role::{send, Actions, ControlRole};
use crate::proposal_table::ProposalWaiter;

/// Relation of an announcement to the registered endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnnounceStatus {
    /// The registration matches the announcement.
    Registered,
    /// The announcement must be registered.
    Changed,
    /// A later incarnation is registered.
    Replaced,
}

impl ControlRole {
    pub(crate) fn handle_announce(
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
        self.monitor.insert_agent(now, name.clone(), link, announce);
        self.monitor.record_heartbeat(now, &name);
        self.route_announce(&name, actions);
    }

    /// Acknowledges an announcement, registers it, or relays it to the leader.
    pub(crate) fn route_announce(&mut self, name: &Bytes, actions: &mut Actions) {
        let Some(agent) = self.monitor.agent(name) else {
            return;
        };
        let (link, announce) = (agent.link, agent.announce.clone());
        match announce_status(&self.state, &announce) {
            AnnounceStatus::Changed if self.is_leader() => self.register(announce),
            AnnounceStatus::Changed => {
                if let Some(leader) = self.leader_link() {
                    let relay = unanswered_relay(FrameBody::Announce(announce));
                    send(leader, relay, actions);
                }
            }
            status => self.acknowledge(link, name, status, actions),
        }
    }

    /// Handles an announcement forwarded by another member.
    pub(crate) fn handle_relayed_announce(&mut self, now: Instant, announce: Announce) {
        if !self.is_leader() {
            return;
        }
        if let Some(item) = &announce.endpoint {
            self.monitor.record_heartbeat(now, &item.name);
        }
        if announce_status(&self.state, &announce) == AnnounceStatus::Changed {
            self.register(announce);
        }
    }

    fn register(&mut self, announce: Announce) {
        let Some(item) = &announce.endpoint else {
            return;
        };
        if self.proposals.has_endpoint_change(&item.name) {
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
        status: AnnounceStatus,
        actions: &mut Actions,
    ) {
        let Some(record) = self.state.endpoints.get(name) else {
            return;
        };
        let ack = AnnounceAck {
            incarnation: record.item.incarnation,
            fencing: record.item.fencing,
            accepted: status == AnnounceStatus::Registered,
            draining: record.item.state() == EndpointState::Leaving,
        };
        send(link, FrameBody::AnnounceAck(ack), actions);
    }

    /// Updates the monitor and acknowledges the announcement after a committed
    /// change of an endpoint.
    pub(crate) fn handle_endpoint_commit(
        &mut self,
        now: Instant,
        name: &Bytes,
        outcome: &CommandOutcome,
        actions: &mut Actions,
    ) {
        if !self.state.endpoints.contains_key(name) {
            self.monitor.remove(name);
            self.observed.remove(name);
        } else if matches!(outcome, CommandOutcome::Accepted { .. }) && self.is_leader() {
            self.monitor.record_registration(now, name);
        }
        let Some(agent) = self.monitor.agent(name) else {
            return;
        };
        let link = agent.link;
        match announce_status(&self.state, &agent.announce) {
            // The announcement is retried at its next interval.
            AnnounceStatus::Changed => {}
            status => self.acknowledge(link, name, status, actions),
        }
    }

    pub(crate) fn handle_state_report(&mut self, now: Instant, report: StateReport) {
        if !self.is_leader() {
            self.monitor.queue_state(report);
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
        self.monitor.record_heartbeat(now, &name);
        self.observed.record_state(now, report);
        if suspect {
            self.propose_signal(&name, EndpointSignal::Heard);
        }
    }

    pub(crate) fn handle_demand_report(
        &mut self,
        now: Instant,
        instance: Bytes,
        report: DemandReport,
    ) {
        if self.is_leader() {
            self.placement.record_demand(&report);
            self.observed.record_demand(now, instance, report);
        } else {
            self.monitor.queue_demand(instance, report);
        }
    }

    pub(crate) fn handle_report_batch(&mut self, now: Instant, batch: ReportBatch) {
        if !self.is_leader() {
            return;
        }
        for report in batch.states {
            self.handle_state_report(now, report);
        }
        for demand in batch.demands {
            self.handle_demand_report(now, demand.instance, demand.report.unwrap_or_default());
        }
    }

    /// Sends orders to the agents linked to this instance.
    pub(crate) fn send_local_orders(&self, batch: OrderBatch, actions: &mut Actions) {
        for order in batch.orders {
            if let Some(agent) = self.monitor.agent(&order.endpoint) {
                send(agent.link, FrameBody::TargetOrder(order), actions);
            }
        }
    }

    fn propose_signal(&mut self, name: &Bytes, signal: EndpointSignal) {
        let Some(record) = self.state.endpoints.get(name) else {
            return;
        };
        if self.proposals.has_endpoint_change(name) {
            return;
        }
        let body = Body::SetEndpointState(SetEndpointState {
            name: name.clone(),
            incarnation: record.item.incarnation,
            signal: signal.into(),
        });
        self.propose(body, ProposalWaiter::Endpoint(name.clone()));
    }

    /// Retries announcements and signals silent endpoints; a follower forwards
    /// its reports.
    pub(crate) fn tick_endpoints(&mut self, now: Instant, actions: &mut Actions) {
        for name in self.monitor.due_announcements(now) {
            let agent = self.monitor.agent(&name);
            let changed = agent.is_some_and(|agent| {
                announce_status(&self.state, &agent.announce) == AnnounceStatus::Changed
            });
            if changed {
                self.route_announce(&name, actions);
            }
        }
        if self.is_leader() {
            for due in self
                .monitor
                .due_signals(now, &self.state, &self.config.settings)
            {
                self.propose_signal(&due.name, due.signal);
            }
        } else if let Some(leader) = self.leader_link() {
            if let Some(batch) = self.monitor.drain_batch() {
                send(leader, FrameBody::ReportBatch(batch), actions);
            }
        }
    }
}

/// Compares an announcement with the registration, ignoring the state and the
/// fencing token, which control instances set themselves.
fn announce_status(state: &ClusterState, announce: &Announce) -> AnnounceStatus {
    let Some(item) = &announce.endpoint else {
        return AnnounceStatus::Registered;
    };
    let Some(known) = state.endpoints.get(&item.name) else {
        return AnnounceStatus::Changed;
    };
    if known.item.incarnation > item.incarnation {
        return AnnounceStatus::Replaced;
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
        AnnounceStatus::Registered
    } else {
        AnnounceStatus::Changed
    }
}
