//! Rate limits of the client accounts at this instance.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{BucketPlan, SharedBucket, SharedTotal};
use mulberrywell_wire::serving::{AccountUse, RateTotals, RateUse, ServingConfig};

/// Divisor of the tolerance that gives the debt allowed to a bucket; the rest
/// of the tolerance covers what is admitted on outdated totals.
const SLACK_DIVISOR: u64 = 4;

/// Interval of reports to control.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// The token buckets of all accounts at this instance.
#[derive(Debug)]
pub struct RateLimits {
    /// Debt in units that is allowed to the bucket of an account whose rate is
    /// counted in tokens.
    slack: u64,
    /// Buckets by account.
    buckets: BTreeMap<Bytes, SharedBucket>,
    /// Admitted units last reported to control, by account.
    reported: BTreeMap<Bytes, u64>,
    next_report: Instant,
}

impl RateLimits {
    /// Creates limits without accounts.
    ///
    /// All instances together may admit `tolerance` tokens beyond a plan.
    pub fn new(tolerance: u64, now: Instant) -> Self {
        RateLimits {
            slack: tolerance / SLACK_DIVISOR,
            buckets: BTreeMap::new(),
            reported: BTreeMap::new(),
            next_report: now,
        }
    }

    /// Applies the rates of a configuration's accounts.
    pub fn set_plans(&mut self, now: Instant, config: &ServingConfig, entries: u32) {
        for account in config.accounts.iter().filter(|account| account.rate > 0) {
            let plan = BucketPlan {
                rate: account.rate,
                burst: account.burst,
                slack: if account.counts_tokens { self.slack } else { 0 },
            };
            let bucket = self.buckets.entry(account.name.clone());
            bucket
                .or_insert_with(|| SharedBucket::new(plan, now))
                .set_plan(plan, now, entries);
        }
    }

    /// Admits a request.
    ///
    /// # Errors
    /// Fails with the delay after which the request would be admitted.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &Bytes,
        units: u64,
        entries: u32,
    ) -> Result<(), Duration> {
        match self.buckets.get_mut(account) {
            Some(bucket) => bucket.admit(units, now, entries),
            None => Ok(()),
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, account: &Bytes, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.release(units);
        }
    }

    /// Returns the units in an account's bucket, and when the totals of all
    /// instances were last received.
    pub fn level(&self, account: &Bytes) -> (i64, Option<Instant>) {
        let bucket = self.buckets.get(account);
        bucket.map_or((0, None), |bucket| (bucket.level(), bucket.reported_at()))
    }

    /// Applies the totals counted by control.
    pub fn apply_totals(&mut self, now: Instant, totals: &RateTotals) {
        for bucket in self.buckets.values_mut() {
            bucket.record_unchanged(now);
        }
        for item in &totals.totals {
            if let Some(bucket) = self.buckets.get_mut(&item.account) {
                let total = SharedTotal {
                    epoch: totals.epoch,
                    total: item.total,
                    own: item.own,
                };
                bucket.apply_total(total, now);
            }
        }
    }

    /// Returns the report that is due, if any.
    pub fn report(&mut self, now: Instant) -> Option<RateUse> {
        if now < self.next_report {
            return None;
        }
        let mut uses = Vec::new();
        for (account, bucket) in &self.buckets {
            let admitted = bucket.admitted();
            let reported = self.reported.entry(account.clone()).or_insert(u64::MAX);
            if *reported != admitted {
                *reported = admitted;
                let account = account.clone();
                uses.push(AccountUse { account, admitted });
            }
        }
        if uses.is_empty() {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        Some(RateUse { uses })
    }

    /// Marks all accounts as unreported, as a newly opened link needs a full
    /// report.
    pub fn reset_reported(&mut self) {
        self.reported.clear();
    }

    /// Returns when [`RateLimits::report`] may return a report.
    pub fn deadline(&self) -> Option<Instant> {
        let mut buckets = self.buckets.iter();
        let unreported = buckets
            .any(|(name, bucket)| self.reported.get(name).copied() != Some(bucket.admitted()));
        unreported.then_some(self.next_report)
    }
}
