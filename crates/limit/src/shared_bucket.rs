//! A token bucket that is replicated at several holders.
//!
//! Purpose: each holder admits requests against its own copy of an account's
//! bucket and subtracts the other holders' admissions when totals report them,
//! so that no admission waits for a message.
//!
//! Guarantees: a holder counts its own admissions immediately and those of
//! others once, however often and by however many counters they are reported.
//! Units that were admitted on outdated totals are repaid before anything
//! further is admitted, so over a window of length W the holders admit at most
//! burst + rate x W plus what all of them admit within the age of their totals.
//! A holder that gets no totals for [`TOTALS_LIFETIME`] uses only its share of
//! the rate and burst.

use std::time::{Duration, Instant};

/// Age of the last totals after which a holder uses only its share.
pub const TOTALS_LIFETIME: Duration = Duration::from_millis(500);

/// Counters that are tracked; the one that was added first is evicted.
const COUNTERS_MAX: usize = 16;

/// Greatest debt of a bucket, in seconds of its rate.
const DEBT_SECONDS: f64 = 4.0;

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
}

/// Admissions of all holders for one account, as one counter has added them up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SharedTotal {
    /// Identifies the counter; totals of different counters are not comparable.
    pub epoch: u64,
    /// Units of all holders since the counter started.
    pub total: u64,
    /// Units of this holder that `total` includes.
    pub own: u64,
}

/// One holder's copy of an account's bucket.
#[derive(Debug, Clone)]
pub struct SharedBucket {
    plan: BucketPlan,
    /// Units; below 0 while excess admissions are repaid.
    level: f64,
    updated: Instant,
    /// Units that this holder has admitted in total.
    admitted: u64,
    /// Units of the other holders that were subtracted since this bucket was
    /// created.
    others: u64,
    /// Epoch of each counter and the offset from its total of the others to
    /// `others`, in the order in which the counters were first reported.
    counters: Vec<(u64, i64)>,
    /// When totals last arrived.
    reported_at: Option<Instant>,
}

impl SharedBucket {
    /// Creates a full bucket.
    pub fn new(plan: BucketPlan, now: Instant) -> Self {
        SharedBucket {
            plan,
            level: plan.burst as f64,
            updated: now,
            admitted: 0,
            others: 0,
            counters: Vec::new(),
            reported_at: None,
        }
    }

    /// Changes rate and burst; units above the new burst are lost.
    pub fn set_plan(&mut self, plan: BucketPlan, now: Instant, holders: u32) {
        self.refill(now, holders);
        self.plan = plan;
        self.level = self.level.min(plan.burst as f64);
    }

    /// Admits a request of `units`; a full bucket admits one above the burst.
    ///
    /// # Errors
    /// Fails with the time after which the bucket covers the request.
    pub fn admit(&mut self, units: u64, now: Instant, holders: u32) -> Result<(), Duration> {
        self.refill(now, holders);
        let wanted = units.min(self.plan.burst) as f64;
        let slack = if self.has_fresh_totals(now) {
            self.plan.slack as f64
        } else {
            0.0
        };
        let missing = wanted - self.level - slack;
        if missing > 0.0 {
            let rate = self.rate(now, holders).max(1.0);
            return Err(Duration::from_secs_f64((missing / rate).min(3_600.0)));
        }
        self.level -= units as f64;
        self.admitted += units;
        Ok(())
    }

    /// Releases the units of a request that did not run.
    pub fn release(&mut self, units: u64) {
        self.level = (self.level + units as f64).min(self.plan.burst as f64);
        self.admitted = self.admitted.saturating_sub(units);
    }

    /// Returns the units as of the last request; below 0 while excess
    /// admissions are repaid.
    pub fn level(&self) -> i64 {
        self.level as i64
    }

    /// Returns when totals last arrived.
    pub fn reported_at(&self) -> Option<Instant> {
        self.reported_at
    }

    /// Returns the units that this holder has admitted.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Applies one counter's totals of what all holders have admitted.
    pub fn apply_total(&mut self, reported: SharedTotal, now: Instant) {
        let others = signed(reported.total.saturating_sub(reported.own));
        self.reported_at = Some(now);
        let counter = self
            .counters
            .iter()
            .find(|(epoch, _)| *epoch == reported.epoch);
        let offset = match counter {
            Some((_, offset)) => *offset,
            None => {
                // The counter's total so far can't be separated from the units
                // that other counters reported, so only its growth is counted.
                let offset = signed(self.others) - others;
                if self.counters.len() >= COUNTERS_MAX {
                    self.counters.remove(0);
                }
                self.counters.push((reported.epoch, offset));
                offset
            }
        };
        let counted = u64::try_from(others + offset).unwrap_or(0);
        let newly_admitted = counted.saturating_sub(self.others);
        self.others += newly_admitted;
        let floor = -(self.plan.rate as f64) * DEBT_SECONDS;
        self.level = (self.level - newly_admitted as f64).max(floor);
    }

    /// Records that totals arrived without further admissions of the others.
    pub fn record_unchanged(&mut self, now: Instant) {
        self.reported_at = Some(now);
    }

    fn has_fresh_totals(&self, now: Instant) -> bool {
        let age = self
            .reported_at
            .map(|reported_at| now.saturating_duration_since(reported_at));
        age.is_some_and(|age| age < TOTALS_LIFETIME)
    }

    fn rate(&self, now: Instant, holders: u32) -> f64 {
        let rate = self.plan.rate as f64;
        if self.has_fresh_totals(now) {
            rate
        } else {
            rate / f64::from(holders.max(1))
        }
    }

    fn refill(&mut self, now: Instant, holders: u32) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let mut capacity = self.plan.burst as f64;
        if !self.has_fresh_totals(now) {
            capacity /= f64::from(holders.max(1));
        }
        self.level += elapsed * self.rate(now, holders);
        self.level = self.level.min(capacity.max(0.0));
    }
}

fn signed(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX / 4)
}
