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
    next_retry: Instant,
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
pub struct EndpointMonitor {
    /// By endpoint.
    agents: BTreeMap<Bytes, LocalAgent>,
    /// When the leader last heard of each endpoint, by itself or by a member.
    last_heard: BTreeMap<Bytes, Instant>,
    /// Since when this instance has listened as the leader.
    observing_since: Instant,
    /// Reports to pass on to the leader, by endpoint.
    reports: BTreeMap<Bytes, StateReport>,
    /// Demand to pass on to the leader, by instance.
    demands: BTreeMap<Bytes, DemandReport>,
}

impl EndpointMonitor {
    /// Creates a watch that has heard of nothing.
    pub fn new(now: Instant) -> Self {
        EndpointMonitor {
            agents: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            observing_since: now,
            reports: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Begins to listen as the leader.
    pub fn restart_observation(&mut self, now: Instant) {
        self.observing_since = now;
        self.last_heard.clear();
    }

    /// Keeps an agent's announcement.
    pub fn announce(&mut self, now: Instant, name: Bytes, link: LinkId, announce: Announce) {
        let agent = LocalAgent {
            link,
            announce,
            next_retry: now + ANNOUNCE_RETRY,
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
            if agent.next_retry <= now {
                agent.next_retry = now + ANNOUNCE_RETRY;
                due.push(name.clone());
            }
        }
        due
    }

    /// Forgets the agent of a closed link.
    pub fn remove_link(&mut self, link: LinkId) {
        self.agents.retain(|_, agent| agent.link != link);
    }

    /// Notes that an endpoint is heard of.
    pub fn record_heartbeat(&mut self, now: Instant, name: &Bytes) {
        self.last_heard.insert(name.clone(), now);
    }

    /// Notes an endpoint that is new to the leader.
    pub fn record_registration(&mut self, now: Instant, name: &Bytes) {
        self.last_heard.entry(name.clone()).or_insert(now);
    }

    /// Forgets an endpoint that is gone.
    pub fn remove(&mut self, name: &Bytes) {
        self.last_heard.remove(name);
    }

    /// Keeps a report for the leader.
    pub fn queue_state(&mut self, report: StateReport) {
        self.reports.insert(report.endpoint.clone(), report);
    }

    /// Keeps an entry's demand for the leader.
    pub fn queue_demand(&mut self, instance: Bytes, report: DemandReport) {
        self.demands.insert(instance, report);
    }

    /// Takes all reports for the leader.
    pub fn drain_batch(&mut self) -> Option<ReportBatch> {
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
    pub fn due_signals(
        &self,
        now: Instant,
        state: &ClusterState,
        settings: &ControlSettings,
    ) -> Vec<DueSignal> {
        let mut due = Vec::new();
        for (name, record) in &state.endpoints {
            let last_heard = self
                .last_heard
                .get(name)
                .copied()
                .unwrap_or(self.observing_since);
            let silent = now.saturating_duration_since(last_heard.max(self.observing_since));
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
