//! Tests of the times at which rejected callers are told to return.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::ReturnSchedule;

const COST: Duration = Duration::from_millis(20);

/// Load: a retry storm of 100 callers in one moment. Guards against callers that return
/// together: no 100 ms may get more of them than capacity for it becomes free.
#[test]
fn assign_spreads_callers_over_freed_capacity() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let earliest = Duration::from_millis(300);
    let account = Bytes::from_static(b"a");
    let latest = Duration::from_secs(4);
    let times: Vec<Duration> = (0..100)
        .map(|_| schedule.assign(now, &account, earliest, COST, latest))
        .collect();
    assert_eq!(times[0], earliest);
    for start in (0..4_000).step_by(100).map(Duration::from_millis) {
        let end = start + Duration::from_millis(100);
        let returning = times.iter().filter(|time| (start..end).contains(time));
        assert!(returning.count() <= 5, "from {start:?}");
    }
}

/// Guards against times that a caller has no time to wait for, and against one account
/// whose callers delay those of another.
#[test]
fn assign_keeps_to_what_callers_wait_for() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let latest = Duration::from_secs(1);
    for number in 0..500 {
        let account = Bytes::from_static(b"a");
        let time = schedule.assign(now, &account, Duration::ZERO, COST, latest);
        assert!(time <= latest, "{number}: {time:?}");
    }
    let other = Bytes::from_static(b"b");
    let time = schedule.assign(now, &other, Duration::ZERO, COST, latest);
    assert_eq!(time, Duration::ZERO);
    let far = Duration::from_secs(30);
    let time = schedule.assign(now, &other, far, COST, latest);
    assert_eq!(time, far, "a true time is never shortened");
}

/// Guards against times that stay in the future after the rush is over.
#[test]
fn assign_starts_anew_after_the_rush() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let account = Bytes::from_static(b"a");
    let latest = Duration::from_secs(4);
    for _ in 0..50 {
        schedule.assign(now, &account, Duration::ZERO, COST, latest);
    }
    let later = now + Duration::from_secs(2);
    let time = schedule.assign(later, &account, COST, COST, latest);
    assert_eq!(time, COST);
}
