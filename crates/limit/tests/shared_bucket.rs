//! Buckets that several holders share.

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

fn told(total: u64, own: u64) -> SharedTotal {
    SharedTotal {
        epoch: 1,
        total,
        own,
    }
}

#[test]
fn admit_others_counted_once() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    bucket.hear(told(0, 0), now);
    assert_eq!(bucket.admit(300, now, HOLDERS), Ok(()));
    for _ in 0..3 {
        bucket.hear(told(900, 300), now);
    }
    assert_eq!(bucket.admit(100, now, HOLDERS), Ok(()));
    let wait = bucket.admit(100, now, HOLDERS).expect_err("a refusal");
    assert_eq!(wait, millis(100));
    assert_eq!(bucket.admit(100, now + wait, HOLDERS), Ok(()));
}

#[test]
fn admit_debt_paid_first() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    bucket.hear(told(0, 0), now);
    bucket.hear(told(1_500, 0), now);
    let wait = bucket.admit(100, now, HOLDERS).expect_err("a refusal");
    assert_eq!(wait, millis(600));
}

#[test]
fn admit_larger_than_burst_when_full() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    bucket.hear(told(0, 0), now);
    assert_eq!(bucket.admit(2_500, now, HOLDERS), Ok(()));
    assert!(bucket.admit(1, now + millis(1_400), HOLDERS).is_err());
}

#[test]
fn hear_new_count_is_no_use() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    bucket.hear(told(5_000, 0), now);
    assert_eq!(bucket.admit(1_000, now, HOLDERS), Ok(()));
    let other = SharedTotal {
        epoch: 2,
        total: 90_000,
        own: 0,
    };
    bucket.hear(other, now);
    let later = now + millis(500);
    bucket.hear(other, later);
    assert_eq!(bucket.admit(500, later, HOLDERS), Ok(()));
}

#[test]
fn hear_two_places_counted_once() {
    let now = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, now);
    let by = |epoch, total| SharedTotal {
        epoch,
        total,
        own: 0,
    };
    for epoch in [1, 2] {
        bucket.hear(by(epoch, 10 * epoch), now);
    }
    // The second place is ahead, then stands still while the first goes on.
    bucket.hear(by(2, 420), now);
    bucket.hear(by(1, 310), now);
    bucket.hear(by(1, 610), now);
    assert_eq!(bucket.admit(400, now, HOLDERS), Ok(()));
    assert_eq!(bucket.admit(1, now, HOLDERS), Err(millis(1)));
}

/// Holders that hear nothing of each other keep to the plan together.
#[rstest]
#[case(1)]
#[case(4)]
fn admit_unheard_within_plan(#[case] holders: u32) {
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

/// Holders that hear of each other with some delay admit the rate, and at most
/// what they admit in the delay beyond it.
#[rstest]
#[case::even([1, 1, 1, 1])]
#[case::one_hot([40, 1, 1, 1])]
fn admit_heard_late_near_plan(#[case] wishes: [u64; 4]) {
    const DELAY: u64 = 150;
    let start = Instant::now();
    let buckets = wishes.map(|_| SharedBucket::new(PLAN, start));
    let mut buckets: Vec<SharedBucket> = buckets.into();
    let mut total = 0;
    for step in 0..8_000 {
        let now = start + millis(step);
        for (bucket, wish) in buckets.iter_mut().zip(wishes) {
            if step % (100 / wish.min(100)) == 0 && bucket.admit(50, now, HOLDERS).is_ok() {
                total += 50;
            }
        }
        if step % DELAY == 0 {
            let counted: u64 = buckets.iter().map(SharedBucket::admitted).sum();
            for bucket in &mut buckets {
                let own = bucket.admitted();
                bucket.hear(told(counted, own), now);
            }
        }
    }
    let wished: u64 = wishes.iter().map(|wish| 500 * wish).sum();
    let offered = wished * DELAY / 1_000;
    assert!(total <= PLAN.burst + 8 * PLAN.rate + offered, "{total}");
    assert!(total * 10 >= 9 * 8 * PLAN.rate.min(wished), "{total}");
}
