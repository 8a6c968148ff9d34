//! Which trials of suspects are open at a time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{PartSet, TrialId, TrialTable, TRIAL_PAUSE};
use rstest::rstest;

fn id(sequence: u64) -> TrialId {
    (Bytes::from_static(b"gateway"), sequence)
}

fn grant(
    table: &mut TrialTable,
    now: Instant,
    sequence: u64,
    endpoint: &str,
    parts: &[u64],
) -> bool {
    let endpoint = Bytes::from(endpoint.to_string());
    table.grant(
        now,
        id(sequence),
        &endpoint,
        parts.iter().copied().collect::<PartSet>(),
    )
}

#[rstest]
#[case::same_subject("e2", &[1, 2], false)]
#[case::same_endpoint("e1", &[2], false)]
#[case::neither("e2", &[2], true)]
fn grant_beside_open_trial(#[case] endpoint: &str, #[case] parts: &[u64], #[case] granted: bool) {
    let (mut table, now) = (TrialTable::default(), Instant::now());
    assert!(grant(&mut table, now, 1, "e1", &[1]));
    assert_eq!(grant(&mut table, now, 2, endpoint, parts), granted);
    table.end(now, &id(1), false);
    assert_eq!(grant(&mut table, now, 3, endpoint, parts), !granted);
}

/// Guards against a further request of a suspect before its crash has been judged.
#[rstest]
#[case::broken(|table: &mut TrialTable, now| table.end(now, &id(1), true))]
#[case::link_lost(|table: &mut TrialTable, now| {
    table.remove_holder(now, &Bytes::from_static(b"gateway"));
})]
fn grant_after_crash_paused(#[case] end: fn(&mut TrialTable, Instant)) {
    let (mut table, now) = (TrialTable::default(), Instant::now());
    assert!(grant(&mut table, now, 1, "e1", &[1]));
    end(&mut table, now);
    let soon = now + TRIAL_PAUSE - Duration::from_millis(1);
    table.tick(soon);
    assert!(!grant(&mut table, soon, 2, "e2", &[1]));
    assert!(grant(&mut table, soon, 3, "e1", &[2]), "others don't pause");
    assert!(grant(&mut table, now + TRIAL_PAUSE, 4, "e2", &[1]));
}

/// Guards against sound requests that wait for a trial of a part although a quarantine of
/// something else explains its last crash.
#[rstest]
#[case::explained(&[1], true)]
#[case::explained_together(&[1, 2], true)]
#[case::other(&[3], false)]
#[case::partly(&[1, 3], false)]
fn end_pauses_of_crash(#[case] quarantined: &[u64], #[case] granted: bool) {
    let (mut table, now) = (TrialTable::default(), Instant::now());
    assert!(grant(&mut table, now, 1, "e1", &[1, 2]));
    table.end(now, &id(1), true);
    table.end_pauses(&quarantined.iter().copied().collect());
    assert_eq!(grant(&mut table, now, 2, "e2", &[2]), granted);
}

/// Guards against a suspect that is refused for good as the end of its trial was lost.
#[test]
fn grant_after_forgotten_trial() {
    let (mut table, now) = (TrialTable::default(), Instant::now());
    assert!(grant(&mut table, now, 1, "e1", &[1]));
    let later = now + Duration::from_secs(60);
    table.tick(later);
    assert!(grant(&mut table, later + TRIAL_PAUSE, 2, "e1", &[1]));
}
