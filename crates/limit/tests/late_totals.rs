//! Units that holders admit while a counter doesn't hear them.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{
    BucketPlan, HolderCount, HolderSet, SharedBucket, SharedTotal, TotalCounter, UnitCount,
    SILENT_TICKS_MAX,
};

const PLAN: BucketPlan = BucketPlan {
    rate: 1_000,
    burst: 1_000,
    slack: 0,
    margin: 0,
};

fn admitted(units: u64) -> UnitCount {
    UnitCount {
        admitted: units,
        returned: 0,
    }
}

fn total(units: u64) -> SharedTotal {
    SharedTotal {
        epoch: 1,
        age: Duration::from_secs(60),
        total: admitted(units),
        own: UnitCount::default(),
        confirmed: 0,
        heard: 4,
    }
}

/// What holders used of their share while they weren't heard was never in this copy's
/// refill and isn't taken from it again: gateways that rejoined refused everything for
/// seconds. What they used beyond their share is.
#[test]
fn apply_late_total_share_not_charged() {
    let start = Instant::now();
    let mut bucket = SharedBucket::new(PLAN, HolderCount::all_heard(1), start);
    bucket.apply_total(total(0), start);
    bucket.set_holders(HolderCount { known: 4, heard: 2 }, start);
    for step in 1..=20 {
        let now = start + Duration::from_millis(100 * step);
        bucket.apply_total(total(50 * step), now);
    }
    let now = start + Duration::from_secs(2);
    let before = bucket.level();
    bucket.set_holders(HolderCount::all_heard(4), now);
    bucket.apply_late_total(total(1_900), 900, now);
    assert_eq!(bucket.level(), before);
    bucket.apply_late_total(total(2_700), 1_700, now);
    assert!(bucket.level() < before, "beyond the share");
    let charged = bucket.level();
    bucket.apply_late_total(total(2_800), 1_700, now);
    assert_eq!(bucket.level(), charged - 100, "not late");
}

/// Only the first report after a silence is late, and only by what it adds.
#[test]
fn record_late_report_first_after_silence() {
    let now = Instant::now();
    let (mut holders, mut counter) = (HolderSet::default(), TotalCounter::default());
    let (holder, account) = (Bytes::from_static(b"a"), Bytes::from_static(b"cali"));
    holders.insert_link(&holder, now);
    assert!(!holders.record_report(&holder));
    counter.record_report(&holder, &account, admitted(10), 0);
    for _ in 0..SILENT_TICKS_MAX {
        holders.tick(now);
    }
    assert!(holders.record_report(&holder));
    counter.record_late_report(&holder, &account, admitted(40), 0);
    assert!(!holders.record_report(&holder));
    counter.record_report(&holder, &account, admitted(70), 0);
    assert_eq!(counter.late(&account), 30);
    assert_eq!(counter.total(&account), admitted(70));
    holders.remove_link(&holder);
    holders.insert_link(&holder, now + Duration::from_secs(1));
    assert!(holders.record_report(&holder), "linked again");
}
