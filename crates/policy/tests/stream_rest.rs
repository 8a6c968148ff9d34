//! Streams that would outlast a set time, and whether they go on elsewhere.

use std::time::Duration;

use mulberrywell_policy::{observed_pace, should_move, MoveKind, StreamRest};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn rest(events: u64, pace_ms: u64, delay_ms: u64) -> StreamRest {
    StreamRest {
        events,
        pace: Duration::from_millis(pace_ms),
        delay: Duration::from_millis(delay_ms),
    }
}

/// Guards against streams that are cut where they are, and against moves that help none,
/// under the load of a few overloaded engines among others.
#[rstest]
#[case::ends_in_time(rest(70, 100, 0), rest(70, 20, 0), true, false)]
#[case::overloaded(rest(90, 100, 0), rest(90, 20, 0), true, true)]
#[case::overloaded_resumed(rest(90, 100, 0), rest(90, 20, 500), false, true)]
#[case::equally_loaded(rest(90, 100, 0), rest(90, 90, 0), true, false)]
#[case::somewhat_faster_copied(rest(90, 100, 0), rest(90, 60, 0), true, true)]
#[case::somewhat_faster_resumed(rest(90, 100, 0), rest(90, 60, 0), false, false)]
#[case::too_late_resumed(rest(900, 100, 0), rest(900, 20, 0), false, false)]
#[case::too_late_copied(rest(900, 100, 0), rest(900, 20, 0), true, true)]
#[case::longer_backlog(rest(900, 100, 0), rest(900, 20, 8_500), true, false)]
#[case::waits_too_long(rest(20, 20, 9_000), rest(20, 20, 0), false, true)]
fn should_move_eight_seconds_left(
    #[case] here: StreamRest,
    #[case] there: StreamRest,
    #[case] is_copied: bool,
    #[case] expected: bool,
) {
    let kind = if is_copied {
        MoveKind::Copied
    } else {
        MoveKind::Resumed
    };
    assert_eq!(should_move(&here, &there, 8 * SECOND, kind), expected);
}

/// Guards against a rest that can't be represented, for a huge output limit.
#[test]
fn time_huge_limit_saturates() {
    assert_eq!(rest(u64::MAX, 1_000, 1).time(), Duration::MAX);
}

#[rstest]
#[case::first_event(0, 300, 0, 300)]
#[case::steady(1_000, 1_050, 10, 100)]
#[case::stalled(1_000, 6_600, 10, 600)]
fn observed_pace_counts_wait(
    #[case] brought_ms: u64,
    #[case] elapsed_ms: u64,
    #[case] events: u64,
    #[case] expected_ms: u64,
) {
    let [brought, elapsed, expected] =
        [brought_ms, elapsed_ms, expected_ms].map(Duration::from_millis);
    assert_eq!(observed_pace(brought, elapsed, events), expected);
}
