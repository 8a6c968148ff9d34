//! Counts what entries admit of each account and tells them the sums.
//!
//! Algorithm: every entry reports to every control instance, so each has a count
//! of its own; an entry goes by the count of the instance that it asks. Nothing
//! is replicated: a count that begins anew bears a new epoch.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::serving::{AccountTotal, RateTotals, RateUse};
use mulberrywell_wire::FrameBody;

/// What one entry has reported.
#[derive(Debug, Default)]
struct EntryUse {
    /// Units admitted since its start, by account.
    admitted: BTreeMap<Bytes, u64>,
    /// Accounts whose sum it was not told.
    untold: BTreeSet<Bytes>,
}

/// All counts of this instance.
#[derive(Debug, Default)]
pub struct RateCount {
    epoch: u64,
    /// Units of all entries, those that left with them.
    totals: BTreeMap<Bytes, u64>,
    entries: BTreeMap<LinkId, EntryUse>,
}

impl RateCount {
    /// Begins a count.
    pub fn new(epoch: u64) -> Self {
        RateCount {
            epoch,
            ..RateCount::default()
        }
    }

    /// Takes in a report.
    pub fn take(&mut self, link: LinkId, report: RateUse) {
        let mut changed = Vec::new();
        let entry = self.entries.entry(link).or_default();
        for item in report.uses {
            // The first report of a link may tell of units counted before.
            let known = entry.admitted.insert(item.account.clone(), item.admitted);
            let fresh = known.map_or(0, |known| item.admitted.saturating_sub(known));
            let total = self.totals.entry(item.account.clone()).or_default();
            *total += fresh;
            changed.push(item.account);
        }
        for entry in self.entries.values_mut() {
            entry.untold.extend(changed.iter().cloned());
        }
    }

    /// Forgets an entry; what it admitted stays counted.
    pub fn remove(&mut self, link: LinkId) {
        self.entries.remove(&link);
    }

    /// Appends what entries were not told yet; an empty frame tells that there
    /// is nothing new.
    pub fn tell(&mut self, commands: &mut Vec<LinkCommand>) {
        for (link, entry) in &mut self.entries {
            let untold = std::mem::take(&mut entry.untold).into_iter();
            let totals = untold.map(|account| AccountTotal {
                total: self.totals.get(&account).copied().unwrap_or(0),
                own: entry.admitted.get(&account).copied().unwrap_or(0),
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
