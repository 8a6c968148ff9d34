//! Heartbeats and announcements of endpoints.
//!
//! Guarantees: a new leader, and a leader whose process was suspended, observes
//! a full interval before it declares any endpoint silent or lost.

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

/// Interval at which an announcement that is not in force is retried.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(500);

/// An agent linked to this instance.
#[derive(Debug, Clone)]
pub struct LocalAgent {
    /// Its link.
    pub link: LinkId,
    /// Its most recent announcement.
    pub announce: Announce,
    next_retry: Instant,
}

/// A signal to be committed for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueSignal {
    /// Name of the endpoint.
    pub name: Bytes,
    /// The signal.
    pub signal: EndpointSignal,
}

/// Liveness of endpoints as observed by this instance.
#[derive(Debug)]
pub struct EndpointMonitor {
    /// By endpoint.
    agents: BTreeMap<Bytes, LocalAgent>,
    /// When the leader last received a heartbeat of each endpoint, directly or
    /// through another member.
    last_heard: BTreeMap<Bytes, Instant>,
    /// Start of the observation; silence is not counted before it.
    observing_since: Instant,
    /// Reports to forward to the leader, by endpoint.
    reports: BTreeMap<Bytes, StateReport>,
    /// Demand reports to forward to the leader, by entry instance.
    demands: BTreeMap<Bytes, DemandReport>,
}

impl EndpointMonitor {
    /// Creates a monitor without any heartbeats.
    pub fn new(now: Instant) -> Self {
        EndpointMonitor {
            agents: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            observing_since: now,
            reports: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Clears all heartbeats and starts a new observation, as a new leader or
    /// after the process was suspended.
    pub fn restart_observation(&mut self, now: Instant) {
        self.observing_since = now;
        self.last_heard.clear();
    }

    /// Stores an agent's announcement.
    pub fn insert_agent(&mut self, now: Instant, name: Bytes, link: LinkId, announce: Announce) {
        let agent = LocalAgent {
            link,
            announce,
            next_retry: now + ANNOUNCE_RETRY,
        };
        self.agents.insert(name, agent);
    }

    /// Returns the agent of an endpoint, if it is linked to this instance.
    pub fn agent(&self, name: &Bytes) -> Option<&LocalAgent> {
        self.agents.get(name)
    }

    /// Returns the endpoints whose announcements are due for a retry.
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

    /// Removes the agent of a closed link.
    pub fn remove_link(&mut self, link: LinkId) {
        self.agents.retain(|_, agent| agent.link != link);
    }

    /// Records a heartbeat of an endpoint.
    pub fn record_heartbeat(&mut self, now: Instant, name: &Bytes) {
        self.last_heard.insert(name.clone(), now);
    }

    /// Records the registration of an endpoint as its first heartbeat, unless
    /// there is an earlier one.
    pub fn record_registration(&mut self, now: Instant, name: &Bytes) {
        self.last_heard.entry(name.clone()).or_insert(now);
    }

    /// Removes the heartbeat of an endpoint that is no longer registered.
    pub fn remove(&mut self, name: &Bytes) {
        self.last_heard.remove(name);
    }

    /// Queues an endpoint's report for the leader.
    pub fn queue_state(&mut self, report: StateReport) {
        self.reports.insert(report.endpoint.clone(), report);
    }

    /// Queues an entry's demand report for the leader.
    pub fn queue_demand(&mut self, instance: Bytes, report: DemandReport) {
        self.demands.insert(instance, report);
    }

    /// Removes and returns all reports queued for the leader.
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

    /// Returns the signals for endpoints without a recent heartbeat.
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
