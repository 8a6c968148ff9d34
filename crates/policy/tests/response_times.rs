//! Estimates of how long responses last.

use std::time::{Duration, Instant};

use mulberrywell_policy::{DurationEstimate, RecentMaximum, ResponseTimes};

const SECOND: Duration = Duration::from_secs(1);
const PACE: Duration = Duration::from_millis(30);

/// Times after events at a steady pace.
fn steady_times() -> ResponseTimes {
    let mut times = ResponseTimes::default();
    for _ in 0..50 {
        times.record_first_chunk(PACE);
        times.record_pace(PACE);
    }
    times
}

#[test]
fn upper_steady_samples_close_to_mean() {
    let mut estimate = DurationEstimate::default();
    assert_eq!(estimate.upper(), None);
    estimate.record(SECOND);
    assert_eq!(estimate.upper(), Some(3 * SECOND), "one sample says little");
    for _ in 0..50 {
        estimate.record(SECOND);
    }
    assert!(estimate.upper().unwrap() < SECOND.mul_f64(1.01));
}

#[test]
fn upper_uneven_samples_covers_most() {
    let mut estimate = DurationEstimate::default();
    for sample in 0..100 {
        estimate.record(Duration::from_millis(20 + 30 * (sample % 3)));
    }
    assert!(estimate.upper().unwrap() > Duration::from_millis(80));
    assert!(estimate.upper_pace().unwrap() < estimate.upper().unwrap());
}

#[test]
fn stream_time_events_at_pace() {
    let times = steady_times();
    let whole = times.stream_time(50, None).unwrap();
    assert!(whole >= 50 * PACE && whole < 53 * PACE, "{whole:?}");
    let last = times.stream_time(10, None).unwrap();
    assert!(last < 13 * PACE, "{last:?}");
    let slow = times.stream_time(50, Some(2 * PACE)).unwrap();
    assert!(slow >= 100 * PACE, "the endpoint's own pace goes first");
}

#[test]
fn stream_time_unknown() {
    let times = ResponseTimes::default();
    assert_eq!(times.stream_time(200, Some(PACE)), None);
    assert_eq!(steady_times().longest(), None);
}

#[test]
fn recent_maximum_forgets() {
    let mut maximum = RecentMaximum::default();
    let now = Instant::now();
    maximum.record(now, 9);
    maximum.record(now + 70 * SECOND, 3);
    assert_eq!(maximum.get(), Some(9));
    maximum.record(now + 140 * SECOND, 2);
    assert_eq!(maximum.get(), Some(3));
}

#[test]
fn stream_time_huge_saturates() {
    let time = steady_times().stream_time(u64::MAX, None).unwrap();
    assert!(time > 1_000_000_000 * SECOND, "{time:?}");
    let time = steady_times().stream_time(u64::MAX, Some(SECOND * 60));
    assert_eq!(time, Some(Duration::MAX));
}

#[test]
fn stream_time_single_event_needs_no_pace() {
    let mut times = ResponseTimes::default();
    times.record_first_chunk(SECOND);
    assert_eq!(times.stream_time(1, None), Some(3 * SECOND));
    assert_eq!(times.stream_time(2, None), None);
}
