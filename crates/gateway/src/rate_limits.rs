//! Rate limits of the client accounts at this instance.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{
    BucketPlan, HolderCount, RateDecision, SharedBucket, SharedTotal, UnitCount, HOLDER_LIFETIME,
    TOTALS_LIFETIME,
};
use mulberrywell_wire::serving::{AccountTotal, AccountUse, RateTotals, RateUse, ServingConfig};

/// Divisor of the tolerance that gives the debt allowed to a bucket, and what
/// all instances may admit before it is counted; the rest of the tolerance
/// covers the time until a partition is noticed.
const SLACK_DIVISOR: u64 = 4;

/// Interval of reports to control.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of reports without news, by which control knows that this instance
/// is in touch; well within `SILENT_TICKS_MAX` ticks of the counter.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(200);

/// Epoch under which the number of gateways in an update of the configuration is
/// recorded; counters draw theirs at random.
const UNCOUNTED_EPOCH: u64 = 0;
/// Longest delay that is computed; the counts of a request may be as large as it likes.
const DELAY_MAX_SECONDS: f64 = 3_600.0;

/// Divisor of a bucket's capacity that gives the part that deferrable calls leave to urgent
/// ones. A burst of urgent calls finds at least that much; deferrable calls get it as they
/// age, so it is never lost.
const RESERVE_DIVISOR: f64 = 4.0;

/// Assumed number of gateway instances until control reports it.
const HOLDERS_DEFAULT: u32 = 8;

/// The token buckets of all accounts at this instance.
#[derive(Debug)]
pub struct RateLimits {
    /// Debt in units that is allowed to the bucket of an account whose rate is
    /// counted in tokens.
    slack: u64,
    /// Buckets by account.
    buckets: BTreeMap<Bytes, SharedBucket>,
    /// Plans of the buckets.
    plans: BTreeMap<Bytes, BucketPlan>,
    /// Units last reported to control, by account.
    reported: BTreeMap<Bytes, UnitCount>,
    /// Gateway instances that each counter knows, by its epoch, and when it last
    /// reported them.
    counts: BTreeMap<u64, (HolderCount, Instant)>,
    holders: HolderCount,
    next_report: Instant,
    last_report: Instant,
    /// Whether calls wait for totals that contain units not yet reported.
    needs_confirmation: bool,
}

impl RateLimits {
    /// Creates limits without accounts.
    ///
    /// All instances together may admit `tolerance` tokens beyond a plan.
    pub fn new(tolerance: u64, now: Instant) -> Self {
        RateLimits {
            slack: tolerance / SLACK_DIVISOR,
            buckets: BTreeMap::new(),
            plans: BTreeMap::new(),
            reported: BTreeMap::new(),
            counts: BTreeMap::new(),
            holders: HolderCount::all_heard(HOLDERS_DEFAULT),
            next_report: now,
            last_report: now,
            needs_confirmation: false,
        }
    }

    /// Applies the rates of a configuration's accounts.
    pub fn set_plans(&mut self, now: Instant, config: &ServingConfig) {
        let holders = self.holders;
        for account in config.accounts.iter().filter(|account| account.rate > 0) {
            let slack = if account.counts_tokens { self.slack } else { 0 };
            let plan = BucketPlan {
                rate: account.rate,
                burst: account.burst,
                slack,
                margin: slack,
            };
            self.plans.insert(account.name.clone(), plan);
            let bucket = self.buckets.entry(account.name.clone());
            bucket
                .or_insert_with(|| SharedBucket::new(plan, holders, now))
                .set_plan(plan, now);
        }
    }

    /// Records the number of gateway instances that the counter `epoch` knows.
    ///
    /// The highest recent number holds: a control instance that restarted, or
    /// that is cut off together with a part of the gateways, knows too few.
    /// Returns whether the number of instances changed.
    pub fn record_holders(&mut self, now: Instant, epoch: u64, count: HolderCount) -> bool {
        self.counts.insert(epoch, (count, now));
        self.counts
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < HOLDER_LIFETIME);
        let counts = self.counts.values();
        let known = counts.clone().map(|(count, _)| count.known).max();
        let recent = counts
            .filter(|(_, at)| now.saturating_duration_since(*at) < TOTALS_LIFETIME)
            .map(|(count, _)| count.heard);
        let holders = HolderCount {
            known: known.unwrap_or(1).max(1),
            heard: recent.max().unwrap_or(1).max(1),
        };
        if holders == self.holders {
            return false;
        }
        let is_changed = self.holders.known != holders.known;
        self.holders = holders;
        for bucket in self.buckets.values_mut() {
            bucket.set_holders(holders, now);
        }
        is_changed
    }

    /// Records the number of gateway instances with a link to a control instance, until
    /// counters report how many they know and hear: a link may be open to an instance
    /// that isn't heard, and divides the buckets each time the count falls again.
    /// Returns whether the number of instances changed.
    pub fn record_attached(&mut self, now: Instant, attached: u32) -> bool {
        let mut counts = self
            .counts
            .iter()
            .filter(|(epoch, _)| **epoch != UNCOUNTED_EPOCH);
        if counts.any(|(_, (_, at))| now.saturating_duration_since(*at) < TOTALS_LIFETIME) {
            return false;
        }
        self.record_holders(now, UNCOUNTED_EPOCH, HolderCount::all_heard(attached))
    }

    /// Returns the number of gateway instances.
    pub fn holders(&self) -> u32 {
        self.holders.known
    }

    /// Requests the units of a call.
    pub fn admit(&mut self, now: Instant, account: &Bytes, units: u64) -> RateDecision {
        let Some(bucket) = self.buckets.get_mut(account) else {
            return RateDecision::Admitted;
        };
        let decision = bucket.admit(units, now);
        self.needs_confirmation |= matches!(decision, RateDecision::AwaitTotals { .. });
        decision
    }

    /// Requests the units of a deferrable call, which leaves `reserve_part` of the reserve
    /// to urgent calls.
    pub fn admit_deferrable(
        &mut self,
        now: Instant,
        account: &Bytes,
        units: u64,
        reserve_part: f64,
    ) -> RateDecision {
        if let Some(view) = self.view(now, account) {
            let wanted = (units as f64).min(view.capacity);
            let reserve = (view.capacity / RESERVE_DIVISOR).min(view.capacity - wanted);
            let missing = wanted + reserve * reserve_part - view.level;
            if missing > 0.0 {
                return RateDecision::Refused(view.delay(missing));
            }
        }
        self.admit(now, account, units)
    }

    /// Returns the time after which an account's bucket covers these units if nothing else
    /// takes any.
    pub fn delay(&mut self, now: Instant, account: &Bytes, units: u64) -> Duration {
        let view = self.view(now, account);
        view.map_or(Duration::ZERO, |view| view.delay(units as f64 - view.level))
    }

    /// Returns the time in which this instance's share of an account's rate yields these
    /// units.
    pub fn refill_time(&self, account: &Bytes, units: u64) -> Duration {
        let Some(plan) = self.plans.get(account) else {
            return Duration::ZERO;
        };
        let view = BucketView {
            level: 0.0,
            capacity: 0.0,
            rate: plan.rate as f64 / f64::from(self.holders.known.max(1)),
        };
        view.delay(units as f64)
    }

    /// Returns the state of an account's bucket as of now.
    fn view(&mut self, now: Instant, account: &Bytes) -> Option<BucketView> {
        let bucket = self.buckets.get_mut(account)?;
        let plan = *self.plans.get(account)?;
        // An unchanged plan only brings the level up to date.
        bucket.set_plan(plan, now);
        let divisor = match bucket.is_shared() {
            true => 1.0,
            false => f64::from(self.holders.known.max(1)),
        };
        Some(BucketView {
            level: bucket.level() as f64,
            capacity: plan.burst as f64 / divisor,
            rate: plan.rate as f64 / divisor,
        })
    }

    /// Decides on a call whose units were charged up to `mark`; `None` while no
    /// total contains them. The units of a refused call are returned.
    pub fn confirm(
        &mut self,
        now: Instant,
        account: &Bytes,
        mark: u64,
        units: u64,
    ) -> Option<RateDecision> {
        match self.buckets.get_mut(account) {
            Some(bucket) => bucket.confirm(mark, units, now),
            None => Some(RateDecision::Admitted),
        }
    }

    /// Ends the wait of a call for a total, however it ends.
    pub fn end_wait(&mut self, account: &Bytes, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.end_wait(units);
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &Bytes, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.release(units);
        }
    }

    /// Returns the units in an account's bucket, and whether it follows the
    /// totals of all instances.
    pub fn level(&self, account: &Bytes) -> (i64, bool) {
        let bucket = self.buckets.get(account);
        bucket.map_or((0, false), |bucket| (bucket.level(), bucket.is_shared()))
    }

    /// Applies the totals counted by control; returns whether the number of gateway
    /// instances changed.
    pub fn apply_totals(&mut self, now: Instant, totals: &RateTotals) -> bool {
        let mut is_changed = false;
        if totals.entries > 0 {
            let count = HolderCount {
                known: totals.entries,
                heard: totals.heard,
            };
            is_changed = self.record_holders(now, totals.epoch, count);
        }
        for bucket in self.buckets.values_mut() {
            bucket.record_unchanged(now);
        }
        for item in &totals.totals {
            if let Some(bucket) = self.buckets.get_mut(&item.account) {
                let late = item.late.saturating_sub(item.own_late);
                bucket.apply_late_total(shared_total(totals, item), late, now);
            }
        }
        is_changed
    }

    /// Returns the report that is due, if any.
    pub fn report(&mut self, now: Instant) -> Option<RateUse> {
        let is_early = now < self.next_report && !self.needs_confirmation;
        if is_early || self.buckets.is_empty() {
            return None;
        }
        let mut uses = Vec::new();
        for (account, bucket) in &self.buckets {
            let own = bucket.own();
            if self.reported.insert(account.clone(), own) != Some(own) {
                uses.push(AccountUse {
                    account: account.clone(),
                    admitted: own.admitted,
                    returned: own.returned,
                    confirmed: bucket.confirmed(),
                });
            }
        }
        if uses.is_empty() && now < self.last_report + PRESENCE_INTERVAL {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        self.last_report = now;
        let confirm = std::mem::take(&mut self.needs_confirmation);
        Some(RateUse { uses, confirm })
    }

    /// Marks all accounts as unreported, as a newly opened link needs a full
    /// report.
    pub fn reset_reported(&mut self) {
        self.reported.clear();
    }

    /// Returns when [`RateLimits::report`] may return a report.
    pub fn deadline(&self) -> Option<Instant> {
        let mut buckets = self.buckets.iter();
        let is_unreported =
            buckets.any(|(name, bucket)| self.reported.get(name) != Some(&bucket.own()));
        if is_unreported {
            return Some(self.next_report);
        }
        (!self.buckets.is_empty()).then_some(self.last_report + PRESENCE_INTERVAL)
    }
}

/// State of a bucket; without recent totals, that of this instance's share.
struct BucketView {
    level: f64,
    capacity: f64,
    /// Units per second.
    rate: f64,
}

impl BucketView {
    /// Returns the time after which the bucket has `missing` units more.
    fn delay(&self, missing: f64) -> Duration {
        let seconds = missing.max(0.0) / self.rate.max(1.0);
        Duration::from_secs_f64(seconds.min(DELAY_MAX_SECONDS))
    }
}

fn shared_total(totals: &RateTotals, item: &AccountTotal) -> SharedTotal {
    SharedTotal {
        epoch: totals.epoch,
        age: Duration::from_millis(totals.age_ms),
        total: UnitCount {
            admitted: item.total,
            returned: item.total_returned,
        },
        own: UnitCount {
            admitted: item.own,
            returned: item.own_returned,
        },
        confirmed: item.confirmed,
        heard: totals.heard,
    }
}
