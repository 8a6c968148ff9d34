//! Estimates of how long responses last.

use std::time::{Duration, Instant};

use mulberrywell_policy::{DurationEstimate, RecentMaximum, ResponseTimes};

const SECOND: Duration = Duration::from_secs(1);
const PACE: Duration = Duration::from_millis(30);

/// Times after streams with `events` events at a steady pace for a limit of 200 tokens.
fn times_after(events: u64, now: Instant) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    for _ in 0..50 {
        times.record_first_chunk(PACE);
        times.record_pace(PACE);
    }
    times.record_events(now, events, 200);
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
fn stream_time_limit_and_pace() {
    let times = times_after(50, Instant::now());
    let whole = times.stream_time(200, 0, None).unwrap();
    assert!(whole >= 50 * PACE && whole < 53 * PACE, "{whole:?}");
    let half = times.stream_time(100, 0, None).unwrap();
    assert!(half < 28 * PACE, "half of the limit, half of the events");
    let resumed = times.stream_time(200, 40, None).unwrap();
    assert!(resumed < 13 * PACE, "{resumed:?}");
    let slow = times.stream_time(200, 0, Some(2 * PACE)).unwrap();
    assert!(slow >= 100 * PACE, "the endpoint's own pace goes first");
}

#[test]
fn stream_time_unknown() {
    let times = ResponseTimes::default();
    assert_eq!(times.stream_time(200, 0, Some(PACE)), None);
    assert_eq!(times_after(50, Instant::now()).longest(), None);
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
