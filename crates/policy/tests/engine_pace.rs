//! Estimates of engines' speeds.

use std::time::{Duration, Instant};

use mulberrywell_policy::{
    combined_speed, published_event_ms, BatchState, EnginePace, SlownessReport, SpeedReport,
};
use rstest::rstest;

const BATCH: BatchState = BatchState {
    running: 6,
    context_tokens: 30_000,
    tokens_per_event: 5,
};

/// Records windows of events at a slowness that depends on the window's number.
fn observe(pace: &mut EnginePace, start: Instant, windows: u32, slowness: impl Fn(u32) -> f64) {
    for window in 0..windows {
        let now = start + Duration::from_millis(200) * window;
        let event = published_event_ms(BATCH) * slowness(window) / 1_000.0;
        pace.record_event(now, BATCH, Duration::from_secs_f64(event));
    }
}

/// Guards against estimates that follow prefill of other requests, which lengthens half
/// of the windows, instead of the engine's own speed.
#[rstest]
#[case::slow(1.0 / 0.55)]
#[case::fast(1.0 / 1.2)]
fn speed_found_despite_prefill(#[case] slowness: f64) {
    let start = Instant::now();
    let mut pace = EnginePace::default();
    observe(&mut pace, start, 40, |window| {
        slowness * if window % 2 == 0 { 1.0 } else { 4.0 }
    });
    let found = pace.speed(start + Duration::from_secs(8)).step_slowness;
    assert!(
        (found / slowness - 1.0).abs() < 0.2,
        "{found} for {slowness}"
    );
    let prefill = pace.speed(start + Duration::from_secs(8)).prefill_slowness;
    assert!(
        (prefill / slowness - 1.0).abs() < 0.2,
        "{prefill} for {slowness}"
    );
}

/// Guards against a slow period of 0.6 s that makes an engine count as slow.
#[test]
fn slow_period_ignored() {
    let start = Instant::now();
    let mut pace = EnginePace::default();
    observe(
        &mut pace,
        start,
        40,
        |window| if window >= 37 { 2.5 } else { 1.0 },
    );
    let found = pace.speed(start + Duration::from_secs(8)).step_slowness;
    assert!(found < 1.2, "{found}");
}

/// Guards against an engine that counts as slow long after it has recovered.
#[test]
fn recovery_found() {
    let start = Instant::now();
    let mut pace = EnginePace::default();
    observe(&mut pace, start, 40, |_| 2.0);
    observe(&mut pace, start + Duration::from_secs(8), 25, |_| 1.0);
    let found = pace.speed(start + Duration::from_secs(13)).step_slowness;
    assert!(found < 1.15, "{found}");
}

/// Guards against an engine without samples that is never tried again.
#[test]
fn estimate_without_samples_returns_to_published() {
    let start = Instant::now();
    let mut pace = EnginePace::default();
    observe(&mut pace, start, 40, |_| 2.0);
    let found = pace.speed(start + Duration::from_secs(200)).step_slowness;
    assert!(found < 1.1, "{found}");
}

/// Guards against a cut-off gateway that keeps an old estimate of the fleet instead of its
/// own samples.
#[test]
fn own_samples_replace_old_fleet() {
    let start = Instant::now();
    let mut pace = EnginePace::default();
    let fast = SlownessReport {
        ratio: 0.8,
        weight: 60.0,
    };
    pace.record_fleet(
        start,
        SpeedReport {
            step: fast,
            prefill: fast,
        },
    );
    assert!(pace.speed(start).step_slowness < 0.85);
    observe(&mut pace, start + Duration::from_secs(40), 40, |_| 2.0);
    let found = pace.speed(start + Duration::from_secs(48)).step_slowness;
    assert!(found > 1.7, "{found}");
}

/// Guards against prompts of other gateways that make an engine seem many times slower
/// than its steps.
#[test]
fn prefill_near_steps() {
    let now = Instant::now();
    let mut pace = EnginePace::default();
    for _ in 0..30 {
        let event = published_event_ms(BATCH) / 1_000.0;
        pace.record_event(now, BATCH, Duration::from_secs_f64(event));
        pace.record_first_event(now, BATCH, 2_000, Duration::from_millis(900));
    }
    let found = pace.speed(now).prefill_slowness;
    assert!((1.9..2.1).contains(&found), "{found}");
}

#[test]
fn first_event_counts_tokens_ahead() {
    let now = Instant::now();
    let mut pace = EnginePace::default();
    for _ in 0..30 {
        let elapsed = published_event_ms(BATCH) + 12_000.0 / 38.7 * 2.0;
        let elapsed = Duration::from_secs_f64(elapsed / 1_000.0);
        pace.record_first_event(now, BATCH, 12_000, elapsed);
    }
    let found = pace.speed(now).prefill_slowness;
    assert!((1.5..2.1).contains(&found), "{found}");
}

/// Guards against one observer with wrong samples that moves the estimate of all.
#[test]
fn combined_speed_is_median() {
    let report = |ratio, weight| SpeedReport {
        step: SlownessReport { ratio, weight },
        ..SpeedReport::default()
    };
    let combined = combined_speed(&[report(1.0, 3.0), report(8.0, 5.0), report(1.1, 4.0)]);
    assert_eq!(combined.step.ratio, 1.1);
    assert_eq!(combined.step.weight, 12.0);
    assert_eq!(combined_speed(&[]), SpeedReport::default());
}
