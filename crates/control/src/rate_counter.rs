//! Counts the units that entries admit for each account and sends the totals to
//! the entries.
//!
//! Algorithm: every entry reports to every control instance, so each instance
//! has its own count; an entry uses the count of the instance that it queries.
//! Nothing is replicated; a count that restarts has a new epoch. Totals are sent
//! at an interval, and at once to an entry whose calls wait for them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use bytes::Bytes;
use mulberrywell_limit::{HolderSet, TotalCounter, UnitCount, HOLDER_LIFETIME};
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::serving::{AccountTotal, RateTotals, RateUse};
use mulberrywell_wire::FrameBody;

/// A link to an entry.
#[derive(Debug)]
struct EntryLink {
    /// Name of the entry's instance.
    instance: Bytes,
    /// Name and incarnation of the entry, which may have several links.
    holder: Bytes,
    /// Accounts whose total has changed since the last frame to this entry.
    unsent: BTreeSet<Bytes>,
}

/// All counts of this instance.
#[derive(Debug)]
pub struct RateCounter {
    epoch: u64,
    /// When the count began.
    started: Instant,
    /// Whether this instance leads and issues permits.
    leads: bool,
    /// Whether this instance has had no leader for some time.
    leaderless: bool,
    counter: TotalCounter,
    /// Entries by instance: a restarted one is not a further holder.
    holders: HolderSet,
    links: BTreeMap<LinkId, EntryLink>,
    /// Entries without a link, and when the last one closed. Their reports are kept
    /// for [`HOLDER_LIFETIME`]: what such an entry admits meanwhile is counted once
    /// it is linked again.
    unlinked: BTreeMap<Bytes, Instant>,
}

impl RateCounter {
    /// Creates an empty counter with an epoch.
    pub fn new(epoch: u64, now: Instant) -> Self {
        RateCounter {
            epoch,
            started: now,
            leads: false,
            leaderless: false,
            counter: TotalCounter::default(),
            holders: HolderSet::default(),
            links: BTreeMap::new(),
            unlinked: BTreeMap::new(),
        }
    }

    /// Sets whether this instance leads, which all frames to entries tell.
    pub fn set_leads(&mut self, leads: bool) {
        self.leads = leads;
    }

    /// Sets whether this instance has had no leader for some time, which all frames to
    /// entries tell.
    pub fn set_leaderless(&mut self, leaderless: bool) {
        self.leaderless = leaderless;
    }

    /// Returns whether a link leads to an entry that was added.
    pub fn is_attached(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// Adds a link to the entry `holder` of an instance.
    pub fn attach(&mut self, now: Instant, link: LinkId, instance: Bytes, holder: Bytes) {
        if self.links.contains_key(&link) {
            return;
        }
        self.holders.insert_link(&instance, now);
        self.unlinked.remove(&holder);
        let entry = EntryLink {
            instance,
            holder,
            unsent: BTreeSet::new(),
        };
        self.links.insert(link, entry);
    }

    /// Records an entry's report. An entry that waits for it gets its totals at
    /// once.
    pub fn record_report(
        &mut self,
        now: Instant,
        link: LinkId,
        report: &RateUse,
        commands: &mut Vec<LinkCommand>,
    ) {
        let Some(entry) = self.links.get(&link) else {
            return;
        };
        let holder = entry.holder.clone();
        let is_late = self.holders.record_report(&entry.instance);
        for item in &report.uses {
            let reported = UnitCount {
                admitted: item.admitted,
                returned: item.returned,
            };
            let (counter, account) = (&mut self.counter, &item.account);
            if is_late {
                counter.record_late_report(&holder, account, reported, item.confirmed);
            } else {
                counter.record_report(&holder, account, reported, item.confirmed);
            }
        }
        for entry in self.links.values_mut() {
            let changed = report.uses.iter().map(|item| item.account.clone());
            entry.unsent.extend(changed);
        }
        if report.confirm {
            self.send_totals(now, link, commands);
        }
    }

    /// Removes a link; the units admitted by its entry remain in the totals.
    pub fn remove(&mut self, now: Instant, link: LinkId) {
        let Some(closed) = self.links.remove(&link) else {
            return;
        };
        self.holders.remove_link(&closed.instance);
        let mut others = self.links.values();
        if !others.any(|other| other.holder == closed.holder) {
            self.unlinked.insert(closed.holder, now);
        }
    }

    /// Appends a frame with the changed totals for each entry. An empty frame
    /// means that nothing has changed.
    pub fn broadcast(&mut self, now: Instant, commands: &mut Vec<LinkCommand>) {
        self.holders.tick(now);
        let counter = &mut self.counter;
        self.unlinked.retain(|holder, closed_at| {
            let is_kept = now.saturating_duration_since(*closed_at) < HOLDER_LIFETIME;
            if !is_kept {
                counter.remove_holder(holder);
            }
            is_kept
        });
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        for link in links {
            self.send_totals(now, link, commands);
        }
    }

    fn send_totals(&mut self, now: Instant, link: LinkId, commands: &mut Vec<LinkCommand>) {
        let Some(entry) = self.links.get_mut(&link) else {
            return;
        };
        let unsent = std::mem::take(&mut entry.unsent).into_iter();
        let counter = &self.counter;
        let totals = unsent.map(|account| {
            let total = counter.total(&account);
            let own = counter.report(&entry.holder, &account);
            let late = counter.late(&account);
            AccountTotal {
                account,
                total: total.admitted,
                own: own.counted.admitted,
                total_returned: total.returned,
                own_returned: own.counted.returned,
                confirmed: own.reported.admitted,
                late,
                own_late: own.late,
            }
        });
        let totals = totals.collect();
        let count = self.holders.count();
        let age = now.saturating_duration_since(self.started);
        let frame = RateTotals {
            epoch: self.epoch,
            totals,
            entries: count.known,
            heard: count.heard,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            leads: self.leads,
            leaderless: self.leaderless,
        };
        let body = FrameBody::RateTotals(frame);
        commands.push(LinkCommand::Send { link, body });
    }
}
