//! Tests of buckets that several holders share.

use std::time::{Duration, Instant};

use mulberrywell_limit::{BucketPlan, SharedBucket, SharedTotal};
use rstest::rstest;

const PLAN: BucketPlan = BucketPlan {
    rate: 1_000,
    burst: 1_000,
    slack: 0,
};

const HOLDERS: u32 = 4;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn shared_total(total: u64, own: u64) -> SharedTotal {
    SharedTotal {
        epoch: 1,
        total,
        own,
    }
}

#[test]
fn admit_others_charged_once() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    bucket.apply_total(shared_total(0, 0), now);
    assert_eq!(bucket.admit(300, now, HOLDERS), Ok(()));
    for _ in 0..3 {
        bucket.apply_total(shared_total(900, 300), now);
    }
    assert_eq!(bucket.admit(100, now, HOLDERS), Ok(()));
    let wait = bucket
        .admit(100, now, HOLDERS)
        .expect_err("the request is refused");
    assert_eq!(wait, millis(100));
    assert_eq!(bucket.admit(100, now + wait, HOLDERS), Ok(()));
}

#[test]
fn admit_debt_repaid_first() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    bucket.apply_total(shared_total(0, 0), now);
    bucket.apply_total(shared_total(1_500, 0), now);
    let wait = bucket
        .admit(100, now, HOLDERS)
        .expect_err("the request is refused");
    assert_eq!(wait, millis(600));
}

#[test]
fn admit_larger_than_burst_when_full() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    bucket.apply_total(shared_total(0, 0), now);
    assert_eq!(bucket.admit(2_500, now, HOLDERS), Ok(()));
    assert!(bucket.admit(1, now + millis(1_400), HOLDERS).is_err());
}

#[test]
fn apply_total_new_epoch_not_charged() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    bucket.apply_total(shared_total(5_000, 0), now);
    assert_eq!(bucket.admit(1_000, now, HOLDERS), Ok(()));
    let other = SharedTotal {
        epoch: 2,
        total: 90_000,
        own: 0,
    };
    bucket.apply_total(other, now);
    let later = now + millis(500);
    bucket.apply_total(other, later);
    assert_eq!(bucket.admit(500, later, HOLDERS), Ok(()));
}

#[test]
fn apply_total_two_counters_charged_once() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    let counted_in = |epoch, total| SharedTotal {
        epoch,
        total,
        own: 0,
    };
    for epoch in [1, 2] {
        bucket.apply_total(counted_in(epoch, 10 * epoch), now);
    }
    // The second counter is ahead, then stops while the first continues.
    bucket.apply_total(counted_in(2, 420), now);
    bucket.apply_total(counted_in(1, 310), now);
    bucket.apply_total(counted_in(1, 610), now);
    assert_eq!(bucket.admit(400, now, HOLDERS), Ok(()));
    assert_eq!(bucket.admit(1, now, HOLDERS), Err(millis(1)));
}

/// Holders that receive no totals stay within the plan together.
#[rstest]
#[case(1)]
#[case(4)]
fn admit_without_totals_within_plan(#[case] holders: u32) {
    let start = Instant::now();
    let buckets = (0..holders).map(|_| SharedBucket::new(PLAN, start));
    let mut buckets: Vec<SharedBucket> = buckets.collect();
    let mut admitted = 0;
    for step in 0..8_000 {
        let now = start + millis(step);
        for bucket in &mut buckets {
            while bucket.admit(10, now, holders).is_ok() {
                admitted += 10;
            }
        }
    }
    assert!(admitted <= PLAN.burst + 8 * PLAN.rate, "{admitted}");
    assert!(admitted >= 8 * PLAN.rate, "{admitted}");
}

/// Holders whose totals are delayed admit the full rate, and beyond it at most
/// what they admit within the delay.
#[rstest]
#[case::even([1, 1, 1, 1])]
#[case::one_hot([40, 1, 1, 1])]
fn admit_delayed_totals_near_plan(#[case] demands: [u64; 4]) {
    const DELAY: u64 = 150;
    let start = Instant::now();
    let buckets = demands.map(|_| SharedBucket::new(PLAN, start));
    let mut buckets: Vec<SharedBucket> = buckets.into();
    let mut total = 0;
    for step in 0..8_000 {
        let now = start + millis(step);
        for (bucket, demand) in buckets.iter_mut().zip(demands) {
            if step % (100 / demand.min(100)) == 0 && bucket.admit(50, now, HOLDERS).is_ok() {
                total += 50;
            }
        }
        if step % DELAY == 0 {
            let counted: u64 = buckets.iter().map(SharedBucket::admitted).sum();
            for bucket in &mut buckets {
                let own = bucket.admitted();
                bucket.apply_total(shared_total(counted, own), now);
            }
        }
    }
    let demanded: u64 = demands.iter().map(|demand| 500 * demand).sum();
    let offered = demanded * DELAY / 1_000;
    assert!(total <= PLAN.burst + 8 * PLAN.rate + offered, "{total}");
    assert!(total * 10 >= 9 * 8 * PLAN.rate.min(demanded), "{total}");
}
