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

/// A link of an entry.
#[derive(Debug)]
struct EntryLink {
    /// Name and start of the entry, which may have several links.
    holder: Bytes,
    /// Accounts whose sum it was not told.
    unsent: BTreeSet<Bytes>,
}

/// All counts of this instance.
#[derive(Debug, Default)]
pub struct RateCounter {
    epoch: u64,
    /// Units of all entries, those that left with them.
    totals: BTreeMap<Bytes, u64>,
    /// Units that each entry has admitted since its start, by account.
    admitted: BTreeMap<Bytes, BTreeMap<Bytes, u64>>,
    links: BTreeMap<LinkId, EntryLink>,
}

impl RateCounter {
    /// Begins a count.
    pub fn new(epoch: u64) -> Self {
        RateCounter {
            epoch,
            ..RateCounter::default()
        }
    }

    /// Takes in a report of the entry `holder`.
    pub fn record_report(&mut self, link: LinkId, holder: Bytes, report: RateUse) {
        let mut changed = Vec::new();
        let uses = self.admitted.entry(holder.clone()).or_default();
        for item in report.uses {
            // The first report of an entry may tell of units counted before; a
            // lower one is older, or units were given back.
            let known = uses.entry(item.account.clone()).or_insert(item.admitted);
            let fresh = item.admitted.saturating_sub(*known);
            *known += fresh;
            let total = self.totals.entry(item.account.clone()).or_default();
            *total += fresh;
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

    /// Forgets a link; what its entry admitted stays counted.
    pub fn remove(&mut self, link: LinkId) {
        let Some(closed) = self.links.remove(&link) else {
            return;
        };
        let mut others = self.links.values();
        if !others.any(|other| other.holder == closed.holder) {
            self.admitted.remove(&closed.holder);
        }
    }

    /// Appends what entries were not told yet; an empty frame tells that there
    /// is nothing new.
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
