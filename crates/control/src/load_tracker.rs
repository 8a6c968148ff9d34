//! Tracks the load that entries put on endpoints and reports to each entry the
//! load of the others.
//!
//! Algorithm: entries report changes of their load. At an interval each entry
//! receives the sums of all other entries, for the endpoints whose sums have
//! changed. The load of an entry is removed when its link closes. The speeds that entries
//! have measured are combined and sent along to all, and each is told what prompts the
//! others sent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::serving::{EndpointLoad, LoadShare};
use mulberrywell_wire::FrameBody;

use crate::send_tracker::SendTracker;
use crate::speed_tracker::SpeedTracker;

/// Running requests, unprocessed prompt tokens and tokens of memory.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct LoadSum {
    running: u32,
    unread: u64,
    held: u64,
}

/// Load reports of all entries.
#[derive(Debug, Default)]
pub struct LoadTracker {
    /// By entry, then by endpoint.
    reports: BTreeMap<LinkId, BTreeMap<Bytes, LoadSum>>,
    sums: BTreeMap<Bytes, LoadSum>,
    /// Endpoints whose sums have changed since the last broadcast.
    changed: BTreeSet<Bytes>,
    speeds: SpeedTracker,
    sends: SendTracker,
}

impl LoadTracker {
    /// Records an entry's report.
    pub fn record_report(&mut self, now: Instant, link: LinkId, report: LoadShare) {
        for sends in report.sends {
            self.sends.record_report(link, sends);
        }
        // An entry that has sent a prompt is told of others' as well.
        self.reports.entry(link).or_default();
        for load in report.loads {
            if let Some(speed) = &load.speed {
                let endpoint = load.endpoint.clone();
                self.speeds.record_report(now, link, endpoint, speed);
            }
            let new = LoadSum {
                running: load.running,
                unread: load.unread,
                held: load.held,
            };
            self.replace(link, load.endpoint, new);
        }
    }

    /// Removes an entry's load.
    pub fn remove(&mut self, link: LinkId) {
        self.speeds.remove(link);
        let loads = self.reports.remove(&link).unwrap_or_default();
        for (endpoint, old) in loads {
            self.update_sum(endpoint, old, LoadSum::default());
        }
    }

    fn replace(&mut self, link: LinkId, endpoint: Bytes, new: LoadSum) {
        let loads = self.reports.entry(link).or_default();
        let old = if new == LoadSum::default() {
            loads.remove(&endpoint)
        } else {
            loads.insert(endpoint.clone(), new)
        };
        self.update_sum(endpoint, old.unwrap_or_default(), new);
    }

    fn update_sum(&mut self, endpoint: Bytes, old: LoadSum, new: LoadSum) {
        let sum = self.sums.entry(endpoint.clone()).or_default();
        sum.running = sum.running - old.running + new.running;
        sum.unread = sum.unread - old.unread + new.unread;
        sum.held = sum.held - old.held + new.held;
        self.changed.insert(endpoint);
    }

    /// Returns the requests that run at an endpoint; `None` if no entry reports its load
    /// to this instance.
    pub fn running(&self, endpoint: &Bytes) -> Option<u32> {
        let sum = self.sums.get(endpoint).copied().unwrap_or_default();
        (!self.reports.is_empty()).then_some(sum.running)
    }

    /// Appends a frame for each entry with the changed load of the others and the
    /// combined speeds.
    pub fn broadcast(&mut self, now: Instant, commands: &mut Vec<LinkCommand>) {
        let speeds = self.speeds.take_due(now);
        self.changed.extend(speeds.keys().cloned());
        let sends = self.sends.take_due(now);
        if self.changed.is_empty() && sends.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut self.changed);
        for (link, own) in &self.reports {
            let loads = changed.iter().map(|endpoint| {
                let sum = self.sums.get(endpoint).copied().unwrap_or_default();
                let own = own.get(endpoint).copied().unwrap_or_default();
                EndpointLoad {
                    endpoint: endpoint.clone(),
                    running: sum.running - own.running,
                    unread: sum.unread - own.unread,
                    speed: speeds.get(endpoint).copied(),
                    held: sum.held - own.held,
                }
            });
            let share = LoadShare {
                loads: loads.collect(),
                sends: sends.of_others(*link),
            };
            if share.loads.is_empty() && share.sends.is_empty() {
                continue;
            }
            let body = FrameBody::LoadShare(share);
            commands.push(LinkCommand::Send { link: *link, body });
        }
        self.sums.retain(|_, sum| *sum != LoadSum::default());
    }
}
