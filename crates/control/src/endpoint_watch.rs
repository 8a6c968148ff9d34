//! Heartbeats and announcements of endpoints.
//!
//! Guarantees: a new leader, or one that did not run for a while, has listened
//! for a full interval before it declares any endpoint silent or lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::LinkId;
use mulberrywell_settings::ControlSettings;
use mulberrywell_wire::command::EndpointSignal;
use mulberrywell_wire::config::EndpointState;
use mulberrywell_wire::endpoint::{Announce, DemandReport, StateReport};
use mulberrywell_wire::operate::{InstanceDemand, ReportBatch};

use crate::cluster_state::ClusterState;

/// Time after which an announcement that is not in force is made again.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(500);

/// An agent that is linked to this instance.
#[derive(Debug, Clone)]
pub struct LocalAgent {
    /// Its link.
    pub link: LinkId,
    /// What it announced last.
    pub announce: Announce,
    next_push: Instant,
}

/// A signal that the leader has found due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueSignal {
    /// Endpoint.
    pub name: Bytes,
    /// What happened.
    pub signal: EndpointSignal,
}

/// What this instance hears of endpoints.
#[derive(Debug)]
pub struct EndpointWatch {
    /// By endpoint.
    agents: BTreeMap<Bytes, LocalAgent>,
    /// When the leader last heard of each endpoint, by itself or by a member.
    heard: BTreeMap<Bytes, Instant>,
    /// Since when this instance has listened as the leader.
    listening: Instant,
    /// Reports to pass on to the leader, by endpoint.
    reports: BTreeMap<Bytes, StateReport>,
    /// Demand to pass on to the leader, by instance.
    demands: BTreeMap<Bytes, DemandReport>,
}

impl EndpointWatch {
    /// Creates a watch that has heard of nothing.
    pub fn new(now: Instant) -> Self {
        EndpointWatch {
            agents: BTreeMap::new(),
            heard: BTreeMap::new(),
            listening: now,
            reports: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Begins to listen as the leader.
    pub fn lead(&mut self, now: Instant) {
        self.listening = now;
        self.heard.clear();
    }

    /// Keeps an agent's announcement.
    pub fn announce(&mut self, now: Instant, name: Bytes, link: LinkId, announce: Announce) {
        let agent = LocalAgent {
            link,
            announce,
            next_push: now + ANNOUNCE_RETRY,
        };
        self.agents.insert(name, agent);
    }

    /// Returns the agent of an endpoint, where it is linked here.
    pub fn agent(&self, name: &Bytes) -> Option<&LocalAgent> {
        self.agents.get(name)
    }

    /// Returns the endpoints whose announcements are to be looked at again.
    pub fn due_announcements(&mut self, now: Instant) -> Vec<Bytes> {
        let mut due = Vec::new();
        for (name, agent) in &mut self.agents {
            if agent.next_push <= now {
                agent.next_push = now + ANNOUNCE_RETRY;
                due.push(name.clone());
            }
        }
        due
    }

    /// Forgets the agent of a closed link.
    pub fn close_link(&mut self, link: LinkId) {
        self.agents.retain(|_, agent| agent.link != link);
    }

    /// Notes that an endpoint is heard of.
    pub fn hear(&mut self, now: Instant, name: &Bytes) {
        self.heard.insert(name.clone(), now);
    }

    /// Notes an endpoint that is new to the leader.
    pub fn hear_first(&mut self, now: Instant, name: &Bytes) {
        self.heard.entry(name.clone()).or_insert(now);
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, name: &Bytes) {
        self.heard.remove(name);
    }

    /// Keeps a report for the leader.
    pub fn pass_state(&mut self, report: StateReport) {
        self.reports.insert(report.endpoint.clone(), report);
    }

    /// Keeps an entry's demand for the leader.
    pub fn pass_demand(&mut self, instance: Bytes, report: DemandReport) {
        self.demands.insert(instance, report);
    }

    /// Takes all reports for the leader.
    pub fn take_batch(&mut self) -> Option<ReportBatch> {
        if self.reports.is_empty() && self.demands.is_empty() {
            return None;
        }
        let demands = std::mem::take(&mut self.demands).into_iter();
        Some(ReportBatch {
            states: std::mem::take(&mut self.reports).into_values().collect(),
            demands: demands
                .map(|(instance, report)| InstanceDemand {
                    instance,
                    report: Some(report),
                })
                .collect(),
        })
    }

    /// Returns the signals that silence has made due.
    pub fn silent(
        &self,
        now: Instant,
        state: &ClusterState,
        settings: &ControlSettings,
    ) -> Vec<DueSignal> {
        let mut due = Vec::new();
        for (name, record) in &state.endpoints {
            let heard = self.heard.get(name).copied().unwrap_or(self.listening);
            let silent = now.saturating_duration_since(heard.max(self.listening));
            let signal = if silent >= settings.gone_after {
                EndpointSignal::Lost
            } else if silent >= settings.suspect_after && record.item.state() == EndpointState::Live
            {
                EndpointSignal::Silent
            } else {
                continue;
            };
            due.push(DueSignal {
                name: name.clone(),
                signal,
            });
        }
        due
    }
}
