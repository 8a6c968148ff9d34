//! A token bucket that several holders fill and empty together.
//!
//! Purpose: each holder admits by its own copy of an account's bucket and takes
//! in what the others have admitted as it hears of it, so that admission waits
//! for nobody.
//!
//! Guarantees: a holder counts its own admissions at once and those of others
//! once, however often and by however many places they are told; what was admitted on old word is paid
//! back before anything further is admitted, so over a window of length W the
//! holders admit at most burst + rate x W and what all of them admit within the
//! age of their word. A holder that hears nothing for [`WORD_LIFETIME`] uses its
//! share of the rate and burst only.

use std::time::{Duration, Instant};

/// Age of the last word of the others after which only a share is used.
pub const TOTALS_LIFETIME: Duration = Duration::from_millis(500);

/// Places whose counts are told apart; the one that was met first goes.
const COUNTERS_MAX: usize = 16;

/// Seconds of the rate that a bucket may be below empty.
const DEBT_SECONDS: f64 = 4.0;

/// Rate and burst of a bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BucketPlan {
    /// Units a second.
    pub rate: u64,
    /// Units at once.
    pub burst: u64,
    /// Units below empty to which a request may still be admitted, as word of
    /// the others is never quite new.
    pub slack: u64,
}

/// What was admitted of one account by all holders, as one place has counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SharedTotal {
    /// Which count it is; counts of different places can't be compared.
    pub epoch: u64,
    /// Units of all holders since the count began.
    pub total: u64,
    /// Units of this holder that are in `total`.
    pub own: u64,
}

/// One holder's copy.
#[derive(Debug, Clone)]
pub struct SharedBucket {
    plan: BucketPlan,
    /// Units; below 0 while what was admitted is paid back.
    level: f64,
    updated: Instant,
    /// Units that this holder has admitted, ever rising.
    admitted: u64,
    /// Units of others that were taken in since this bucket began.
    others: u64,
    /// What is added to each place's count of the others to compare it with
    /// `others`, by epoch in the order met.
    counters: Vec<(u64, i64)>,
    /// When the others were last heard of.
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

    /// Admits a request of `units`.
    ///
    /// # Errors
    /// Fails with the time after which the request fits.
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

    /// Gives back units of a request that did not run.
    pub fn give_back(&mut self, units: u64) {
        self.level = (self.level + units as f64).min(self.plan.burst as f64);
        self.admitted = self.admitted.saturating_sub(units);
    }

    /// Returns the units as of the last request; below 0 while others are paid
    /// back.
    pub fn level(&self) -> i64 {
        self.level as i64
    }

    /// Returns when the others were last heard of.
    pub fn heard(&self) -> Option<Instant> {
        self.reported_at
    }

    /// Returns the units that this holder has admitted.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Takes in what all holders have admitted, as one place has counted.
    pub fn hear(&mut self, reported: SharedTotal, now: Instant) {
        let others = signed(reported.total.saturating_sub(reported.own));
        self.reported_at = Some(now);
        let counter = self
            .counters
            .iter()
            .find(|(epoch, _)| *epoch == reported.epoch);
        let offset = match counter {
            Some((_, offset)) => *offset,
            None => {
                // What this place counted before is not told apart.
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

    /// Notes that the others were heard of and have admitted nothing further.
    pub fn hear_nothing_new(&mut self, now: Instant) {
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
