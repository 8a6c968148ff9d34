//! Counts the units that entries admit for each account and sends the totals to
//! the entries.
//!
//! Algorithm: every entry reports to every control instance, so each instance
//! has its own count; an entry uses the count of the instance that it queries.
//! Nothing is replicated; a count that restarts has a new epoch.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::serving::{AccountTotal, RateTotals, RateUse};
use mulberrywell_wire::FrameBody;

/// A link to an entry.
#[derive(Debug)]
struct EntryLink {
    /// Name and incarnation of the entry, which may have several links.
    holder: Bytes,
    /// Accounts whose total has changed since the last frame to this entry.
    unsent: BTreeSet<Bytes>,
}

/// All counts of this instance.
#[derive(Debug, Default)]
pub struct RateCounter {
    epoch: u64,
    /// Units admitted by all entries, including those that have disconnected.
    totals: BTreeMap<Bytes, u64>,
    /// Units admitted by each entry since its start, by entry and account.
    admitted: BTreeMap<Bytes, BTreeMap<Bytes, u64>>,
    links: BTreeMap<LinkId, EntryLink>,
}

impl RateCounter {
    /// Creates an empty counter with an epoch.
    pub fn new(epoch: u64) -> Self {
        RateCounter {
            epoch,
            ..RateCounter::default()
        }
    }

    /// Records a report of the entry `holder`.
    pub fn record_report(&mut self, link: LinkId, holder: Bytes, report: RateUse) {
        let mut changed = Vec::new();
        let uses = self.admitted.entry(holder.clone()).or_default();
        for item in report.uses {
            // The first report of an entry may contain units that were counted
            // before. A lower value is an outdated report, or units were
            // returned; neither reduces the total.
            let known = uses.entry(item.account.clone()).or_insert(item.admitted);
            let added = item.admitted.saturating_sub(*known);
            *known += added;
            let total = self.totals.entry(item.account.clone()).or_default();
            *total += added;
            changed.push(item.account);
        }
        self.links.entry(link).or_insert(EntryLink {
            holder,
            unsent: BTreeSet::new(),
        });
        for link in self.links.values_mut() {
            link.unsent.extend(changed.iter().cloned());
        }
    }

    /// Removes a link; the units admitted by its entry remain in the totals.
    pub fn remove(&mut self, link: LinkId) {
        let Some(closed) = self.links.remove(&link) else {
            return;
        };
        let mut others = self.links.values();
        if !others.any(|other| other.holder == closed.holder) {
            self.admitted.remove(&closed.holder);
        }
    }

    /// Appends a frame with the changed totals for each entry. An empty frame
    /// means that nothing has changed.
    pub fn broadcast(&mut self, commands: &mut Vec<LinkCommand>) {
        for (link, entry) in &mut self.links {
            let uses = self.admitted.get(&entry.holder);
            let unsent = std::mem::take(&mut entry.unsent).into_iter();
            let totals = unsent.map(|account| AccountTotal {
                total: self.totals.get(&account).copied().unwrap_or(0),
                own: uses
                    .and_then(|uses| uses.get(&account))
                    .copied()
                    .unwrap_or(0),
                account,
            });
            let frame = RateTotals {
                epoch: self.epoch,
                totals: totals.collect(),
            };
            let body = FrameBody::RateTotals(frame);
            commands.push(LinkCommand::Send { link: *link, body });
        }
    }
}
