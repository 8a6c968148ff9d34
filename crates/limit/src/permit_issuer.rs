//! Permits for requests to endpoints that have a limit.
//!
//! Purpose: the control leader keeps one [`PermitIssuer`] and grants each permit to
//! one gateway, so that all gateways together stay within an endpoint's limit, also
//! where they outnumber the requests that it allows in a second.
//!
//! Guarantees: in any time t, no more than rate x t + the bucket's capacity are
//! granted for one start of an endpoint, across a change of the leader too: a new
//! leader starts with empty buckets.
//!
//! Algorithm: a token bucket for each start of an endpoint. Gateways that come too
//! early are told different times to come back, one for each request of the limit, so
//! that requests for permits don't grow with the number of gateways.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// One start of an endpoint: its id, and its start in milliseconds since the Unix
/// epoch.
pub type EndpointStart = (Bytes, u64);

/// Requests a second, in thousandths.
pub type MilliRate = u64;

/// Lowest rate at which permits are granted: one in ten seconds. Only a response shows
/// that a limit has ended.
const RATE_MIN: MilliRate = 100;

/// Capacity of a bucket in seconds of its rate, and at least one request.
const CAPACITY_SECONDS: f64 = 0.25;

/// Longest time after which a refused gateway is told to come back.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Time after which an unused bucket is removed: a bucket of the lowest rate is full
/// by then.
const IDLE_LIFETIME: Duration = Duration::from_secs(20);

/// Answer to a request for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitDecision {
    /// Permits that were granted; at most those asked for.
    pub granted: u32,
    /// Time after which to ask again if fewer were granted than asked for.
    pub retry_after: Duration,
}

/// All buckets of one leader.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<EndpointStart, PermitBucket>,
    /// When this issuer began; buckets were empty then.
    began: Option<Instant>,
}

#[derive(Debug)]
struct PermitBucket {
    /// Requests a second.
    rate: f64,
    /// Permits that can be granted; below 0 after an order that went first.
    level: f64,
    updated: Instant,
    /// Last time that a refused gateway was told to come back at.
    last_slot: Instant,
}

impl PermitIssuer {
    /// Starts to issue permits, with empty buckets.
    pub fn start(&mut self, now: Instant) {
        self.buckets.clear();
        self.began = Some(now);
    }

    /// Stops issuing permits.
    pub fn stop(&mut self) {
        self.buckets.clear();
        self.began = None;
    }

    /// Grants permits for an endpoint whose limit is `rate`; `None` if this issuer has
    /// not started.
    pub fn grant(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        rate: MilliRate,
        wanted: u32,
    ) -> Option<PermitDecision> {
        let bucket = self.bucket(now, start, rate)?;
        // The level is at most the capacity, which fits.
        let granted = wanted.min(bucket.level.max(0.0) as u32);
        bucket.level -= f64::from(granted);
        let retry_after = if granted < wanted {
            bucket.next_slot(now)
        } else {
            Duration::ZERO
        };
        Some(PermitDecision {
            granted,
            retry_after,
        })
    }

    /// Grants a permit for an order of the leader itself, ahead of the gateways;
    /// returns whether it was granted.
    pub fn grant_order(&mut self, now: Instant, start: &EndpointStart, rate: MilliRate) -> bool {
        let Some(bucket) = self.bucket(now, start, rate) else {
            return false;
        };
        let is_granted = bucket.level >= 0.0;
        if is_granted {
            bucket.level -= 1.0;
        }
        is_granted
    }

    /// Removes the buckets that were not used lately.
    pub fn remove_idle(&mut self, now: Instant) {
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.updated) < IDLE_LIFETIME);
    }

    fn bucket(
        &mut self,
        now: Instant,
        start: &EndpointStart,
        rate: MilliRate,
    ) -> Option<&mut PermitBucket> {
        let began = self.began?;
        let rate = rate.max(RATE_MIN) as f64 / 1_000.0;
        let bucket = self.buckets.entry(start.clone());
        let bucket = bucket.or_insert_with(|| PermitBucket {
            rate,
            level: 0.0,
            updated: began,
            last_slot: now,
        });
        bucket.refill(now, rate);
        Some(bucket)
    }
}

impl PermitBucket {
    fn refill(&mut self, now: Instant, rate: f64) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let capacity = (rate * CAPACITY_SECONDS).max(1.0);
        self.level = (self.level + elapsed * self.rate.min(rate)).min(capacity);
        self.updated = self.updated.max(now);
        self.rate = rate;
    }

    /// Returns the time until a permit that no other gateway was told to come back for.
    fn next_slot(&mut self, now: Instant) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / self.rate);
        let missing = (1.0 - self.level).max(0.0);
        let first = now + Duration::from_secs_f64(missing / self.rate);
        let slot = first.max(self.last_slot + interval).min(now + RETRY_MAX);
        self.last_slot = slot;
        slot.saturating_duration_since(now)
    }
}
