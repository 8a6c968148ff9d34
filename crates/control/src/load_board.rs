//! Tells entries what the others have at endpoints.
//!
//! Algorithm: entries report what has changed; at an interval each gets the sums
//! of all others for the endpoints whose sums have changed. Nothing is kept of
//! an entry whose link has closed.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::serving::{EndpointLoad, LoadShare};
use mulberrywell_wire::FrameBody;

/// Requests and unread prompt tokens.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct LoadSum {
    running: u32,
    unread: u64,
}

/// All reports.
#[derive(Debug, Default)]
pub struct LoadBoard {
    /// By entry, then by endpoint.
    reports: BTreeMap<LinkId, BTreeMap<Bytes, LoadSum>>,
    sums: BTreeMap<Bytes, LoadSum>,
    /// Endpoints whose sums have changed since they were told.
    changed: BTreeSet<Bytes>,
}

impl LoadBoard {
    /// Takes in a report.
    pub fn take(&mut self, link: LinkId, report: LoadShare) {
        for load in report.loads {
            let fresh = LoadSum {
                running: load.running,
                unread: load.unread,
            };
            self.replace(link, load.endpoint, fresh);
        }
    }

    /// Forgets an entry.
    pub fn remove(&mut self, link: LinkId) {
        let loads = self.reports.remove(&link).unwrap_or_default();
        for (endpoint, known) in loads {
            self.add(endpoint, known, LoadSum::default());
        }
    }

    fn replace(&mut self, link: LinkId, endpoint: Bytes, fresh: LoadSum) {
        let loads = self.reports.entry(link).or_default();
        let known = if fresh == LoadSum::default() {
            loads.remove(&endpoint)
        } else {
            loads.insert(endpoint.clone(), fresh)
        };
        self.add(endpoint, known.unwrap_or_default(), fresh);
    }

    fn add(&mut self, endpoint: Bytes, known: LoadSum, fresh: LoadSum) {
        let sum = self.sums.entry(endpoint.clone()).or_default();
        sum.running = sum.running - known.running + fresh.running;
        sum.unread = sum.unread - known.unread + fresh.unread;
        self.changed.insert(endpoint);
    }

    /// Appends what each entry is to know.
    pub fn tell(&mut self, commands: &mut Vec<LinkCommand>) {
        if self.changed.is_empty() {
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
                }
            });
            let share = LoadShare {
                loads: loads.collect(),
            };
            let body = FrameBody::LoadShare(share);
            commands.push(LinkCommand::Send { link: *link, body });
        }
        self.sums.retain(|_, sum| *sum != LoadSum::default());
    }
}
