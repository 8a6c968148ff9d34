//! A token bucket that is replicated at several holders.
//!
//! Purpose: each holder admits requests against its own copy of an account's
//! bucket and subtracts the other holders' admissions when totals report them,
//! so that few admissions wait for a message.
//!
//! Guarantees: a holder counts its own admissions immediately and those of
//! others once, however often and by however many counters they are reported.
//! Units that no total contains yet are limited to an even share of what is left
//! in the bucket, so that all holders together never admit more of them than is
//! left; a larger request is charged first and admitted once the total of a
//! counter that hears all holders contains it. A holder that gets no totals for [`TOTALS_LIFETIME`] uses only its share
//! of the rate and burst, and the holders that still hear each other leave that
//! share to it. docs/design/rate.md derives the bound.

use std::time::{Duration, Instant};

use crate::total_counter::{HolderCount, UnitCount};

/// Age of the last totals after which a holder uses only its share.
pub const TOTALS_LIFETIME: Duration = Duration::from_millis(500);

/// Time for which units stay reserved once all holders are heard again: their first
/// reports and the totals that contain them take some tenths of a second.
const RESERVE_LIFETIME: Duration = Duration::from_secs(2);

/// Counters that are tracked; the one that was added first is evicted.
const COUNTERS_MAX: usize = 16;

/// Greatest debt of a bucket, in seconds of its rate.
const DEBT_SECONDS: f64 = 4.0;

/// Longest delay that a refusal names.
const DELAY_MAX_SECONDS: f64 = 3_600.0;

/// Rate and burst of a bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BucketPlan {
    /// Units per second.
    pub rate: u64,
    /// Capacity in units.
    pub burst: u64,
    /// Units below empty down to which requests are still admitted, because
    /// totals are always slightly outdated.
    pub slack: u64,
    /// Units that all holders together may admit before a total contains them,
    /// beyond what is left in the bucket.
    pub margin: u64,
}

/// Admissions of all holders for one account, as one counter has added them up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SharedTotal {
    /// Identifies the counter; totals of different counters are not comparable.
    pub epoch: u64,
    /// Time since the counter started.
    pub age: Duration,
    /// Units of all holders since the counter started.
    pub total: UnitCount,
    /// Units of this holder that `total` includes.
    pub own: UnitCount,
    /// Units that this holder has admitted since its start, as far as the counter
    /// knows.
    pub confirmed: u64,
    /// Holders that the counter hears.
    pub heard: u32,
}

/// Outcome of a request for units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateDecision {
    /// The request is admitted.
    Admitted,
    /// The units are charged; [`SharedBucket::confirm`] decides once a total
    /// contains all units up to `mark`.
    AwaitTotals {
        /// Units that this holder has admitted, this request included.
        mark: u64,
    },
    /// The bucket does not cover the request, and nothing was charged. The delay
    /// is the time after which it would.
    Refused(Duration),
}

/// One holder's copy of an account's bucket.
#[derive(Debug, Clone)]
pub struct SharedBucket {
    plan: BucketPlan,
    holders: HolderCount,
    /// Units; below 0 while excess admissions are repaid.
    level: f64,
    /// Units of others beyond the greatest debt, which were not subtracted.
    dropped_debt: f64,
    updated: Instant,
    /// Units that this holder has admitted and returned; neither ever falls.
    own: UnitCount,
    /// Units that are charged for requests that wait for a total.
    awaiting: u64,
    /// The greatest part of `own.admitted` that a total contained.
    confirmed: u64,
    /// Units of the other holders that were applied since this bucket was
    /// created.
    others: UnitCount,
    /// Units left to holders that are not heard: what they report late is taken from
    /// these first, as the refill of this copy left them out.
    reserved: f64,
    /// Since when all holders are heard.
    whole_since: Option<Instant>,
    /// Epoch of each counter and the offset from its total of the others to
    /// `others`, in the order in which the counters were first reported.
    counters: Vec<(u64, UnitOffset)>,
    /// When totals last arrived, or when this bucket was created.
    heard_at: Instant,
    /// End of the time for which the last totals count; `None` while this holder
    /// uses only its share.
    fresh_until: Option<Instant>,
}

/// Difference of two counts.
#[derive(Debug, Clone, Copy)]
struct UnitOffset {
    admitted: i64,
    returned: i64,
    /// Late units of the others in the counter's last total.
    late: u64,
}

impl SharedBucket {
    /// Creates a bucket that covers this holder's share of the burst. The slack may be
    /// used up, as the holder may have restarted.
    pub fn new(plan: BucketPlan, holders: HolderCount, now: Instant) -> Self {
        SharedBucket {
            plan,
            holders,
            level: plan.burst as f64 / f64::from(holders.known.max(1)) - plan.slack as f64,
            dropped_debt: 0.0,
            updated: now,
            own: UnitCount::default(),
            awaiting: 0,
            confirmed: 0,
            others: UnitCount::default(),
            reserved: 0.0,
            whole_since: None,
            counters: Vec::new(),
            heard_at: now,
            fresh_until: None,
        }
    }

    /// Changes rate and burst; units above the new burst are lost.
    pub fn set_plan(&mut self, plan: BucketPlan, now: Instant) {
        self.refill(now);
        self.plan = plan;
        self.level = self.level.min(plan.burst as f64);
    }

    /// Changes the number of holders. Units that are left are divided with the
    /// holders that are no longer heard, as those use their share of them.
    pub fn set_holders(&mut self, holders: HolderCount, now: Instant) {
        self.refill(now);
        if holders.heard < self.holders.heard && self.level > 0.0 {
            let kept = f64::from(holders.heard.max(1)) / f64::from(self.holders.heard);
            self.reserved += self.level * (1.0 - kept);
            self.level *= kept;
        }
        self.holders = holders;
    }

    /// Requests units for a call; a full bucket admits one above the burst.
    pub fn admit(&mut self, units: u64, now: Instant) -> RateDecision {
        self.refill(now);
        let wanted = units.min(self.plan.burst) as f64;
        let missing = wanted - self.level - self.slack();
        if missing > 0.0 {
            return RateDecision::Refused(self.delay(missing));
        }
        let is_immediate = !self.is_shared() || self.unconfirmed() + units <= self.immediate_max();
        self.level -= units as f64;
        self.own.admitted += units;
        if is_immediate {
            RateDecision::Admitted
        } else {
            self.awaiting += units;
            RateDecision::AwaitTotals {
                mark: self.own.admitted,
            }
        }
    }

    /// Decides on a request whose units were charged up to `mark`; `None` while no
    /// total contains them. The units of a refused request are returned.
    pub fn confirm(&mut self, mark: u64, units: u64, now: Instant) -> Option<RateDecision> {
        if self.confirmed < mark {
            return None;
        }
        self.refill(now);
        let above_burst = units.saturating_sub(self.plan.burst) as f64;
        let missing = -(self.level + self.slack() + above_burst);
        if missing <= 0.0 {
            return Some(RateDecision::Admitted);
        }
        let delay = self.delay(missing);
        self.release(units);
        Some(RateDecision::Refused(delay))
    }

    /// Ends the wait of a request for a total, however it ends.
    pub fn end_wait(&mut self, units: u64) {
        self.awaiting = self.awaiting.saturating_sub(units);
    }

    /// Returns the units of a request that did not run.
    pub fn release(&mut self, units: u64) {
        self.level = (self.level + units as f64).min(self.plan.burst as f64);
        self.own.returned += units;
    }

    /// Returns the units as of the last request; below 0 while excess
    /// admissions are repaid.
    pub fn level(&self) -> i64 {
        self.level as i64
    }

    /// Returns the units that this holder has admitted and returned.
    pub fn own(&self) -> UnitCount {
        self.own
    }

    /// Applies one counter's totals of what all holders have admitted.
    pub fn apply_total(&mut self, reported: SharedTotal, now: Instant) {
        self.apply_late_total(reported, 0, now);
    }

    /// Applies one counter's totals, of which the other holders admitted `late` units
    /// while the counter did not hear them.
    pub fn apply_late_total(&mut self, reported: SharedTotal, late: u64, now: Instant) {
        self.refill(now);
        let others = UnitCount {
            admitted: reported
                .total
                .admitted
                .saturating_sub(reported.own.admitted),
            returned: reported
                .total
                .returned
                .saturating_sub(reported.own.returned),
        };
        let (offset, is_complete) = self.offset_of(&reported, others, late, now);
        if is_complete && reported.heard >= self.holders.heard {
            self.confirmed = self.confirmed.max(reported.confirmed);
        }
        self.record_unchanged(now);
        let admitted = growth(others.admitted, offset.admitted, self.others.admitted);
        let returned = growth(others.returned, offset.returned, self.others.returned);
        self.others.admitted += admitted;
        self.others.returned += returned;
        let late = late.saturating_sub(offset.late);
        let from_reserve = (admitted.min(late) as f64).min(self.reserved);
        self.reserved -= from_reserve;
        self.charge(admitted as f64 - from_reserve);
        self.credit(returned as f64);
    }

    /// Subtracts the units of others, down to the greatest debt.
    fn charge(&mut self, units: f64) {
        let floor = -(self.plan.rate as f64) * DEBT_SECONDS;
        let level = (self.level - units).max(floor.min(self.level));
        self.dropped_debt += units - (self.level - level);
        self.level = level;
    }

    /// Adds units that were returned. Those that were not charged beyond the
    /// greatest debt are not added either.
    fn credit(&mut self, units: f64) {
        let dropped = units.min(self.dropped_debt);
        self.dropped_debt -= dropped;
        self.level = (self.level + units - dropped).min(self.plan.burst as f64);
    }

    /// Returns the offset from a counter's total of the others to `others`.
    ///
    /// The total of a counter that is new here can't be separated from the units
    /// that other counters reported, so only its growth is counted; but a counter
    /// that started after the last totals contains only units that are new. The
    /// flag is set if all units in the total are counted.
    fn offset_of(
        &mut self,
        reported: &SharedTotal,
        others: UnitCount,
        late: u64,
        now: Instant,
    ) -> (UnitOffset, bool) {
        let mut counters = self.counters.iter_mut();
        if let Some((_, offset)) = counters.find(|(known, _)| *known == reported.epoch) {
            let before = *offset;
            offset.late = late;
            return (before, true);
        }
        let is_newer = now.saturating_duration_since(self.heard_at) > reported.age;
        let known = if is_newer {
            UnitCount::default()
        } else {
            others
        };
        let offset = UnitOffset {
            admitted: signed(self.others.admitted) - signed(known.admitted),
            returned: signed(self.others.returned) - signed(known.returned),
            late,
        };
        if self.counters.len() >= COUNTERS_MAX {
            self.counters.remove(0);
        }
        self.counters.push((reported.epoch, offset));
        (offset, is_newer)
    }

    /// Records that totals arrived without further admissions of the others.
    pub fn record_unchanged(&mut self, now: Instant) {
        self.refill(now);
        self.heard_at = now;
        self.fresh_until = Some(now + TOTALS_LIFETIME);
    }

    /// Returns whether this holder's copy follows the totals of all holders, as
    /// of the last refill.
    pub fn is_shared(&self) -> bool {
        self.fresh_until.is_some()
    }

    /// Returns the units of this holder that a total has contained.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Units that no total contains yet.
    fn unconfirmed(&self) -> u64 {
        self.own.admitted.saturating_sub(self.confirmed)
    }

    /// Units that this holder may have admitted without confirmation: its share
    /// of what is left for all holders.
    fn immediate_max(&self) -> u64 {
        let margin = self.plan.margin as f64 * self.heard_part();
        let left = (self.level + self.slack()).max(0.0) + margin;
        (left / f64::from(self.holders.known.max(1))) as u64
    }

    fn slack(&self) -> f64 {
        if self.is_shared() {
            self.plan.slack as f64 * self.heard_part()
        } else {
            0.0
        }
    }

    fn delay(&self, missing: f64) -> Duration {
        let seconds = missing / self.rate().max(1.0);
        Duration::from_secs_f64(seconds.min(DELAY_MAX_SECONDS))
    }

    /// Units per second for this holder's copy: those of all holders that hear
    /// each other, or its own share.
    fn rate(&self) -> f64 {
        self.plan.rate as f64 * self.heard_part()
    }

    /// Part of all holders whose admissions this copy follows, its own included.
    fn heard_part(&self) -> f64 {
        let known = f64::from(self.holders.known.max(1));
        let heard = if self.is_shared() {
            f64::from(self.holders.heard).clamp(1.0, known)
        } else {
            1.0
        };
        heard / known
    }

    fn refill(&mut self, now: Instant) {
        if let Some(end) = self.fresh_until {
            self.add_units(now.min(end), self.plan.burst as f64);
            if now >= end {
                self.fresh_until = None;
                // Requests that wait are not admitted without a total and return
                // their units whole.
                let awaiting = self.awaiting as f64;
                let left = (self.level + awaiting) / f64::from(self.holders.known.max(1));
                self.level = left - awaiting;
            }
        }
        if !self.is_shared() {
            let share = self.plan.burst as f64 / f64::from(self.holders.known.max(1));
            self.add_units(now, share);
        }
    }

    /// Adds what the refill of `elapsed` seconds leaves to holders that are not heard. It
    /// ends once all have been heard for [`RESERVE_LIFETIME`].
    fn reserve(&mut self, elapsed: f64, now: Instant) {
        let part = 1.0 - self.heard_part();
        if !self.is_shared() {
            self.reserved = 0.0;
            return;
        }
        if part > 0.0 {
            self.whole_since = None;
            self.reserved += elapsed * self.plan.rate as f64 * part;
            return;
        }
        let since = *self.whole_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= RESERVE_LIFETIME {
            self.reserved = 0.0;
        }
    }

    /// Refills the bucket up to `capacity`.
    fn add_units(&mut self, now: Instant, capacity: f64) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.reserve(elapsed, now);
        self.level = (self.level + elapsed * self.rate()).min(capacity);
        if self.level >= 0.0 {
            self.dropped_debt = 0.0;
        }
    }
}

/// Returns by how much a counter is ahead of what is known.
fn growth(counted: u64, offset: i64, known: u64) -> u64 {
    let counted = u64::try_from(signed(counted) + offset).unwrap_or(0);
    counted.saturating_sub(known)
}

fn signed(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX / 4)
}
