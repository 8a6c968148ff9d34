//! Counts the units that the holders of shared buckets admit.
//!
//! Algorithm: each holder reports counts that never fall. The counter adds up
//! their growth, so that lost, repeated and reordered reports do no harm. It
//! also counts the holders: one that can't be heard is still counted for
//! [`HOLDER_LIFETIME`], as it may be running and admitting on its own.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Time for which a holder that is not heard still counts; longer than the
/// freezes and partitions that a process survives.
pub const HOLDER_LIFETIME: Duration = Duration::from_secs(15);

/// Calls of [`HolderSet::tick`] without a report after which a holder is not heard.
/// Ticks are counted and not time, so that a counter that was suspended does not
/// take the holders for silent.
pub const SILENT_TICKS_MAX: u32 = 6;

/// Units since the start of a process; neither count ever falls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnitCount {
    /// Units of admitted requests.
    pub admitted: u64,
    /// The part of `admitted` whose requests did not run.
    pub returned: u64,
}

impl UnitCount {
    fn add(&mut self, added: UnitCount) {
        self.admitted += added.admitted;
        self.returned += added.returned;
    }
}

/// Number of holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderCount {
    /// Holders that may be admitting requests; at least 1.
    pub known: u32,
    /// The part of `known` whose reports arrive.
    pub heard: u32,
}

impl HolderCount {
    /// Returns a count of holders that are all heard.
    pub fn all_heard(holders: u32) -> Self {
        HolderCount {
            known: holders,
            heard: holders,
        }
    }
}

/// Units of all holders, by account.
#[derive(Debug, Default)]
pub struct TotalCounter {
    /// Units of all holders, including those that have ended.
    totals: BTreeMap<Bytes, UnitCount>,
    /// The part of the admitted units that holders reported late, by account.
    late: BTreeMap<Bytes, u64>,
    /// By holder and account.
    reports: BTreeMap<Bytes, BTreeMap<Bytes, HolderReport>>,
}

/// What one holder reported for one account.
#[derive(Debug, Clone, Copy, Default)]
pub struct HolderReport {
    /// The part of the total that the holder admitted.
    pub counted: UnitCount,
    /// Units since the start of the holder, which may be before that of the
    /// counter.
    pub reported: UnitCount,
    /// The part of `counted` that the holder admitted while it was not heard.
    pub late: u64,
}

impl TotalCounter {
    /// Records the first report of a holder that was not heard for a while: what it
    /// admitted meanwhile was not taken from what the other holders had left.
    pub fn record_late_report(
        &mut self,
        holder: &Bytes,
        account: &Bytes,
        reported: UnitCount,
        confirmed: u64,
    ) {
        let before = self.report(holder, account).counted.admitted;
        self.record_report(holder, account, reported, confirmed);
        let accounts = self.reports.entry(holder.clone()).or_default();
        let report = accounts.entry(account.clone()).or_default();
        let added = report.counted.admitted - before;
        report.late += added;
        *self.late.entry(account.clone()).or_default() += added;
    }

    /// Records what a holder has admitted for an account since its start;
    /// `confirmed` is the part of it that any counter's total has contained.
    pub fn record_report(
        &mut self,
        holder: &Bytes,
        account: &Bytes,
        reported: UnitCount,
        confirmed: u64,
    ) {
        let accounts = self.reports.entry(holder.clone()).or_default();
        // Of the first report, only what no other counter has added up is counted.
        // A lower value is an outdated report.
        let report = accounts.entry(account.clone()).or_insert(HolderReport {
            counted: UnitCount::default(),
            reported: UnitCount {
                admitted: confirmed.min(reported.admitted),
                ..reported
            },
            late: 0,
        });
        let added = UnitCount {
            admitted: reported.admitted.saturating_sub(report.reported.admitted),
            returned: reported.returned.saturating_sub(report.reported.returned),
        };
        report.reported.add(added);
        report.counted.add(added);
        self.totals.entry(account.clone()).or_default().add(added);
    }

    /// Forgets a holder that has ended; its units remain in the totals.
    pub fn remove_holder(&mut self, holder: &Bytes) {
        self.reports.remove(holder);
    }

    /// Returns the units of all holders for an account.
    pub fn total(&self, account: &Bytes) -> UnitCount {
        self.totals.get(account).copied().unwrap_or_default()
    }

    /// Returns the units for an account that holders reported late.
    pub fn late(&self, account: &Bytes) -> u64 {
        self.late.get(account).copied().unwrap_or_default()
    }

    /// Returns what a holder has reported for an account.
    pub fn report(&self, holder: &Bytes, account: &Bytes) -> HolderReport {
        let accounts = self.reports.get(holder);
        let report = accounts.and_then(|accounts| accounts.get(account));
        report.copied().unwrap_or_default()
    }
}

/// The holders that may be admitting requests.
#[derive(Debug, Default)]
pub struct HolderSet {
    holders: BTreeMap<Bytes, HolderState>,
}

#[derive(Debug)]
struct HolderState {
    /// Number of open links.
    open: u32,
    /// When the holder was last heard, by the last tick.
    heard_at: Instant,
    /// Ticks since the last report.
    silent_ticks: u32,
    /// Whether the next report is the first one since the holder was not heard.
    is_late: bool,
}

impl HolderState {
    fn is_heard(&self) -> bool {
        self.open > 0 && self.silent_ticks < SILENT_TICKS_MAX
    }
}

impl HolderSet {
    /// Records a further link to a holder.
    pub fn insert_link(&mut self, holder: &Bytes, now: Instant) {
        let state = self.holders.entry(holder.clone());
        let state = state.or_insert(HolderState {
            open: 0,
            heard_at: now,
            silent_ticks: 0,
            is_late: false,
        });
        state.is_late |= state.open == 0 && now > state.heard_at;
        state.open += 1;
        state.silent_ticks = 0;
    }

    /// Records that a link to a holder closed.
    pub fn remove_link(&mut self, holder: &Bytes) {
        if let Some(state) = self.holders.get_mut(holder) {
            state.open = state.open.saturating_sub(1);
        }
    }

    /// Records a report of a holder, which each one sends several times within
    /// [`SILENT_TICKS_MAX`] ticks. Returns whether it is the first one since the holder
    /// was not heard.
    pub fn record_report(&mut self, holder: &Bytes) -> bool {
        let Some(state) = self.holders.get_mut(holder) else {
            return false;
        };
        let is_late = state.is_late || state.silent_ticks >= SILENT_TICKS_MAX;
        state.is_late = false;
        state.silent_ticks = 0;
        is_late
    }

    /// Advances the silence of all holders and removes those that were not heard
    /// for [`HOLDER_LIFETIME`].
    pub fn tick(&mut self, now: Instant) {
        self.holders.retain(|_, state| {
            state.silent_ticks = state.silent_ticks.saturating_add(1);
            if state.is_heard() {
                state.heard_at = now;
            }
            now.saturating_duration_since(state.heard_at) < HOLDER_LIFETIME
        });
    }

    /// Returns the number of holders.
    pub fn count(&self) -> HolderCount {
        let heard = self.holders.values().filter(|state| state.is_heard());
        HolderCount {
            known: u32::try_from(self.holders.len()).unwrap_or(u32::MAX).max(1),
            heard: u32::try_from(heard.count()).unwrap_or(u32::MAX),
        }
    }
}
