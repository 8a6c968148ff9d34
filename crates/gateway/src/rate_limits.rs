//! Rates of the client accounts at this instance.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{BucketPlan, SharedBucket, SharedTotal};
use mulberrywell_wire::serving::{AccountUse, RateTotals, RateUse, ServingConfig};

/// Part of the tolerance that a bucket may be below empty, one in this many; the
/// rest is for what is admitted on old word.
const SLACK_PART: u64 = 4;

/// Interval of reports to control.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// All buckets of this instance.
#[derive(Debug)]
pub struct RateLimits {
    /// Units below empty that a bucket may be, of accounts counted in tokens.
    slack: u64,
    /// By account.
    buckets: BTreeMap<Bytes, SharedBucket>,
    /// Units that control was told, by account.
    told: BTreeMap<Bytes, u64>,
    next_report: Instant,
}

impl RateLimits {
    /// Creates limits that know no account.
    ///
    /// All instances together may admit `tolerance` tokens beyond a plan.
    pub fn new(tolerance: u64, now: Instant) -> Self {
        RateLimits {
            slack: tolerance / SLACK_PART,
            buckets: BTreeMap::new(),
            told: BTreeMap::new(),
            next_report: now,
        }
    }

    /// Takes in the accounts of a configuration.
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
    /// Fails with the time after which it fits.
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

    /// Gives back the units of a request that did not run.
    pub fn give_back(&mut self, account: &Bytes, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.give_back(units);
        }
    }

    /// Returns the units in an account's bucket, and when the other instances
    /// were last heard of.
    pub fn level(&self, account: &Bytes) -> (i64, Option<Instant>) {
        let bucket = self.buckets.get(account);
        bucket.map_or((0, None), |bucket| (bucket.level(), bucket.heard()))
    }

    /// Takes in what control has counted.
    pub fn hear(&mut self, now: Instant, totals: &RateTotals) {
        for bucket in self.buckets.values_mut() {
            bucket.hear_nothing_new(now);
        }
        for item in &totals.totals {
            if let Some(bucket) = self.buckets.get_mut(&item.account) {
                let told = SharedTotal {
                    epoch: totals.epoch,
                    total: item.total,
                    own: item.own,
                };
                bucket.hear(told, now);
            }
        }
    }

    /// Returns what control is to be told now, if anything.
    pub fn report(&mut self, now: Instant) -> Option<RateUse> {
        if now < self.next_report {
            return None;
        }
        let mut uses = Vec::new();
        for (account, bucket) in &self.buckets {
            let admitted = bucket.admitted();
            let told = self.told.entry(account.clone()).or_insert(u64::MAX);
            if *told != admitted {
                *told = admitted;
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

    /// Tells everything anew, as a link has opened.
    pub fn tell_all(&mut self) {
        self.told.clear();
    }

    /// Returns when [`RateLimits::report`] may have something to tell.
    pub fn deadline(&self) -> Option<Instant> {
        let mut buckets = self.buckets.iter();
        let untold = buckets
            .any(|(account, bucket)| self.told.get(account).copied() != Some(bucket.admitted()));
        untold.then_some(self.next_report)
    }
}
