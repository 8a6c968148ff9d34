//! Which prompt part the ledger finds in crashes.

mod ledger_script;

use std::time::Duration;

use mulberrywell_limit::{PartSet, QuarantineFinding};

use ledger_script::{LedgerScript, CULPRIT, FIRST, NEIGHBOUR, REPEATED, RUNNING, SETTLED, SUBJECT};

#[test]
fn tick_incidents_of_earlier_quarantine_counted() {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        script.crash(&[CULPRIT], RUNNING);
        script.advance(SETTLED);
    }
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
    script.crash(&[SUBJECT, CULPRIT], RUNNING);
    script.advance(SETTLED);
    for _ in 0..3 {
        script.crash(&[SUBJECT], RUNNING);
        script.advance(SETTLED);
    }
    let found = QuarantineFinding {
        parts: PartSet::from([SUBJECT]),
        incidents: 3,
        explained: 1,
    };
    assert_eq!(script.ledger.tick(script.now), [found]);
}

#[test]
fn tick_part_in_every_crash_quarantined() {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        assert_eq!(script.quarantined(), []);
        script.crash(&[FIRST, CULPRIT], RUNNING);
        script.advance(SETTLED);
        script.ledger.record_sound(FIRST, script.now);
    }
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
    script.crash(&[FIRST, CULPRIT], RUNNING);
    assert!(script.ledger.suspects().is_empty(), "explained crashes");
}

/// Guards against a quarantine of what happens to run at many endpoints that go down
/// together.
#[test]
fn tick_endpoints_down_together_nothing_quarantined() {
    let mut script = LedgerScript::new();
    for _ in 0..6 {
        script.crash(&[FIRST, SUBJECT], Duration::from_secs(1));
    }
    for _ in 0..30 {
        script.advance(SETTLED);
        assert_eq!(script.quarantined(), []);
    }
}

#[test]
fn tick_bystanders_not_quarantined() {
    let mut script = LedgerScript::new();
    for number in 0..4 {
        script.crash(&[FIRST, CULPRIT], RUNNING);
        if number < 3 {
            script.crashes -= 1;
            script.crash(&[FIRST, SUBJECT], RUNNING);
        }
        script.advance(SETTLED);
    }
    script.ledger.record_sound(FIRST, script.now);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
}

/// Parts that explain the same crashes are quarantined together, until a response on
/// one of them lasts.
#[test]
fn tick_tie_quarantined_together() {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        script.crash(&[SUBJECT, CULPRIT], RUNNING);
        script.advance(SETTLED);
    }
    assert_eq!(script.quarantined(), []);
    script.advance(Duration::from_secs(1));
    assert_eq!(script.quarantined(), [PartSet::from([SUBJECT, CULPRIT])]);
    script.ledger.record_sound(SUBJECT, script.now);
    assert_eq!(script.quarantined(), []);
    let held: Vec<&PartSet> = script
        .ledger
        .quarantines()
        .iter()
        .map(|(parts, _)| parts)
        .collect();
    assert_eq!(held, [&PartSet::from([CULPRIT])]);
}

/// A part that is quarantined together with another crashes an endpoint without it.
#[test]
fn tick_tie_ended_by_crash() {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        script.crash(&[SUBJECT, CULPRIT], RUNNING);
        script.advance(SETTLED);
    }
    script.advance(Duration::from_secs(1));
    assert_eq!(script.quarantined().len(), 1);
    script.crash(&[FIRST, CULPRIT], RUNNING);
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
    assert_eq!(script.ledger.quarantines().iter().count(), 1);
}

/// Guards against a repeated request whose crashes are charged to the prompt parts that
/// it shares with sound ones.
#[test]
fn tick_content_goes_before_its_parts() {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        script.crash_content(REPEATED, &[FIRST, SUBJECT], RUNNING);
        script.advance(SETTLED);
    }
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([REPEATED])]);
    script.advance(Duration::from_secs(2));
    assert_eq!(script.quarantined(), [], "its parts stay");
}

/// Guards against a quarantine of what ran beside a crashing request and was repeated
/// as often.
#[test]
fn tick_repeated_neighbour_not_quarantined() {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        script.crash_content(REPEATED, &[], RUNNING);
        script.crashes -= 1;
        script.crash_content(NEIGHBOUR, &[], RUNNING);
        script.advance(SETTLED);
    }
    script.advance(Duration::from_secs(2));
    assert_eq!(script.quarantined(), [], "either may be the cause");
    script.crash_content(REPEATED, &[], RUNNING);
    script.advance(2 * SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([REPEATED])]);
}

/// Guards against a quarantine of a request that is repeated eagerly through outages,
/// and served between them.
#[test]
fn tick_served_content_not_quarantined() {
    let mut script = LedgerScript::new();
    for _ in 0..8 {
        script.crash_content(REPEATED, &[], RUNNING);
        script.advance(SETTLED);
        script.ledger.record_sound(REPEATED, script.now);
        script.advance(SETTLED);
        assert_eq!(script.quarantined(), []);
    }
}

/// Guards against a quarantine of a request that is retried at once while several
/// endpoints go down together, and meets each of them just after it went.
#[test]
fn tick_retries_into_outage_not_quarantined() {
    let mut script = LedgerScript::new();
    for _ in 0..6 {
        script.crash_content(REPEATED, &[FIRST, SUBJECT], Duration::from_millis(1));
        script.advance(Duration::from_millis(2));
    }
    for _ in 0..10 {
        script.advance(SETTLED);
        assert_eq!(script.quarantined(), []);
    }
}

/// A request that was forwarded after its endpoint had crashed is not a cause.
#[test]
fn tick_request_after_crash_not_suspected() {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        script.crash_content(REPEATED, &[], RUNNING);
        script.crashes -= 1;
        script.now += Duration::from_millis(5);
        script.crash_content(NEIGHBOUR, &[], Duration::from_millis(2));
        script.advance(SETTLED);
    }
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([REPEATED])]);
}

/// A part that crashes endpoints under different contents is found, though each of its
/// requests is retried once.
#[test]
fn tick_part_of_retried_requests_quarantined() {
    let mut script = LedgerScript::new();
    for content in [REPEATED, NEIGHBOUR] {
        for _ in 0..2 {
            script.crash_content(content, &[FIRST, CULPRIT], RUNNING);
            script.advance(SETTLED);
            script.ledger.record_sound(FIRST, script.now);
        }
    }
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
}

/// A ledger that has quarantined a repeated request, and took its part for sound.
fn quarantined_content_script() -> LedgerScript {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        script.crash_content(REPEATED, &[FIRST, CULPRIT], RUNNING);
        script.advance(SETTLED);
        script.ledger.record_sound(FIRST, script.now);
    }
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([REPEATED])]);
    script
}

/// Guards against a crashing part that is never found, as each of its requests is repeated
/// until it is quarantined by itself.
#[test]
fn tick_part_of_quarantined_content_quarantined() {
    let mut script = quarantined_content_script();
    for _ in 0..2 {
        assert_eq!(script.quarantined(), []);
        script.crash_content(NEIGHBOUR, &[FIRST, CULPRIT], RUNNING);
        script.advance(SETTLED);
        script.ledger.record_sound(FIRST, script.now);
    }
    let found = QuarantineFinding {
        parts: PartSet::from([CULPRIT]),
        incidents: 5,
        explained: 0,
    };
    assert_eq!(script.ledger.tick(script.now), [found]);
}

/// Guards against further crashes under a part while its repeated requests are judged: their
/// crashes counted for the part only afterwards.
#[test]
fn tick_part_of_suspected_contents_quarantined() {
    let mut script = LedgerScript::new();
    for content in [NEIGHBOUR, REPEATED, NEIGHBOUR, REPEATED, REPEATED] {
        script.advance(Duration::from_millis(100));
        script.crash_content(content, &[FIRST, CULPRIT], RUNNING);
        script.ledger.record_sound(FIRST, script.now);
    }
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
}

/// Guards against waves of requests with a crashing part after one of them is quarantined.
#[test]
fn restricted_part_of_quarantined_content() {
    let mut script = quarantined_content_script();
    assert_eq!(script.restricted(), [CULPRIT, REPEATED]);
    script.ledger.record_sound(CULPRIT, script.now);
    assert_eq!(script.restricted(), [REPEATED]);
}

/// Guards against a quarantine of parts that were in crashes beside a repeated request only.
#[test]
fn tick_parts_beside_quarantined_content_kept() {
    let mut script = LedgerScript::new();
    for _ in 0..4 {
        script.crash_content(REPEATED, &[FIRST], RUNNING);
        script.crashes -= 1;
        script.crash(&[SUBJECT], RUNNING);
        script.advance(SETTLED);
        script.ledger.record_sound(FIRST, script.now);
    }
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([REPEATED])]);
    for _ in 0..2 {
        script.crash(&[SUBJECT], RUNNING);
        script.advance(SETTLED);
        assert_eq!(script.quarantined(), []);
    }
}

/// Guards against a quarantine of a content that sound requests share, as it was at all
/// engines that a part of other requests crashed.
#[test]
fn tick_shared_content_goes_after_rare_part() {
    let mut script = LedgerScript::new();
    script.ledger.record_sound(REPEATED, script.now);
    script.ledger.record_sound(FIRST, script.now);
    script.advance(SETTLED);
    for _ in 0..6 {
        script.crash(&[FIRST, CULPRIT], RUNNING);
        script.crashes -= 1;
        script.crash_content(REPEATED, &[FIRST], RUNNING);
        script.advance(SETTLED);
    }
    script.advance(Duration::from_secs(2));
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
    assert_eq!(script.quarantined(), []);
}

/// Guards against a quarantine of a part that sound requests share, where the request
/// that crashed one of the endpoints is missing from the reports.
#[test]
fn tick_shared_part_goes_after_rare_part() {
    let mut script = LedgerScript::new();
    script.crash(&[CULPRIT], RUNNING);
    script.advance(SETTLED);
    script.ledger.record_sound(FIRST, script.now);
    for parts in [&[FIRST][..], &[FIRST, CULPRIT], &[FIRST, CULPRIT]] {
        script.advance(SETTLED);
        script.crash(parts, RUNNING);
    }
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
}

/// A part on which responses have lasted is quarantined, if no other one is at its
/// crashes.
#[test]
fn tick_once_sound_part_quarantined() {
    let mut script = LedgerScript::new();
    script.ledger.record_sound(FIRST, script.now);
    script.ledger.record_sound(CULPRIT, script.now);
    for _ in 0..5 {
        script.advance(SETTLED);
        assert_eq!(script.quarantined(), []);
        script.crash(&[FIRST, CULPRIT], RUNNING);
        script.ledger.record_sound(FIRST, script.now);
    }
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
}

#[test]
fn tick_quarantine_ends() {
    let mut script = LedgerScript::new();
    let until = script.now + Duration::from_secs(10);
    let parts = PartSet::from([CULPRIT]);
    script.ledger.record_quarantine(parts, until);
    let left = script.ledger.quarantines();
    assert_eq!(left.find(script.now, &[FIRST, CULPRIT]), Some(until));
    assert_eq!(left.find(script.now, &[FIRST, SUBJECT]), None);
    script.advance(Duration::from_secs(11));
    script.quarantined();
    assert_eq!(script.ledger.quarantines().iter().count(), 0);
}

/// A part on which responses have lasted is found after fewer crashes if two trials of it
/// crashed.
#[test]
fn tick_once_sound_part_quarantined_after_trials() {
    let mut script = LedgerScript::new();
    script.ledger.record_sound(FIRST, script.now);
    script.ledger.record_sound(CULPRIT, script.now);
    script.advance(SETTLED);
    script.crash(&[FIRST, CULPRIT], RUNNING);
    for _ in 0..2 {
        script.advance(SETTLED);
        assert_eq!(script.quarantined(), []);
        script.ledger.record_sound(FIRST, script.now);
        script.crash_trial(&[FIRST, CULPRIT], RUNNING);
    }
    script.advance(SETTLED);
    script.ledger.record_sound(FIRST, script.now);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
}

/// Guards against further crashes under a part on which responses have lasted, because a
/// request with a rarer part was repeated through the first ones.
#[test]
fn tick_once_sound_part_quarantined_beside_repeated_request() {
    let mut script = LedgerScript::new();
    script.ledger.record_sound(CULPRIT, script.now);
    for _ in 0..3 {
        script.advance(Duration::from_millis(5));
        script.crash_content(REPEATED, &[SUBJECT, CULPRIT], RUNNING);
    }
    for _ in 0..2 {
        script.advance(SETTLED);
        assert_eq!(script.quarantined(), []);
        script.crash_trial(&[CULPRIT], RUNNING);
    }
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
}

/// Guards against crashes without a quarantine, because a part that is only in requests
/// forwarded after them is taken for one without any response: gateways report the
/// responses on what is watched.
#[test]
fn suspects_request_after_crash_watched() {
    let mut script = LedgerScript::new();
    let served = script.now;
    script.advance(SETTLED);
    for _ in 0..4 {
        script.crash(&[FIRST, CULPRIT], RUNNING);
        script.crashes -= 1;
        script.now += Duration::from_millis(5);
        script.crash(&[FIRST, SUBJECT], Duration::from_millis(2));
    }
    let suspects = script.ledger.suspects();
    let watched = [FIRST, SUBJECT, CULPRIT].into_iter();
    for part in watched.filter(|part| suspects.contains(part)) {
        script.ledger.record_sound(part, served);
    }
    for _ in 0..2 {
        script.advance(SETTLED);
        script.crash_trial(&[FIRST, CULPRIT], RUNNING);
    }
    script.advance(SETTLED);
    script.ledger.record_sound(FIRST, script.now);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
}

/// Guards against a quarantine of a rare part that is in three of many crashes of other
/// causes.
#[test]
fn tick_part_among_many_crashes_not_quarantined() {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        for _ in 0..3 {
            script.crash(&[FIRST], RUNNING);
            script.advance(SETTLED);
            script.ledger.record_sound(FIRST, script.now);
        }
        script.crash(&[FIRST, SUBJECT], RUNNING);
        script.advance(SETTLED);
        script.ledger.record_sound(FIRST, script.now);
        assert_eq!(script.quarantined(), []);
    }
}

/// A part without any response is restricted after one crash, once gateways had time to
/// tell of earlier responses; one on which some lasted only after the second crash.
#[test]
fn restricted_parts_of_crashes() {
    let mut script = LedgerScript::new();
    script.ledger.record_sound(FIRST, script.now);
    script.advance(SETTLED);
    script.crash(&[FIRST, CULPRIT], RUNNING);
    assert_eq!(script.restricted(), []);
    script.advance(SETTLED);
    assert_eq!(script.restricted(), [CULPRIT]);
    script.crash(&[FIRST, CULPRIT], RUNNING);
    assert_eq!(script.restricted(), [FIRST, CULPRIT]);
    script.ledger.record_sound(FIRST, script.now);
    assert_eq!(script.restricted(), [CULPRIT]);
}

/// Guards against copies of a request that gather at the next endpoint, although a crash
/// broke off several of them.
#[test]
fn restricted_content_with_two_copies() {
    let mut script = LedgerScript::new();
    script.crash_content(REPEATED, &[], RUNNING);
    assert_eq!(script.restricted(), []);
    script.crashes -= 1;
    script.crash_content(REPEATED, &[], RUNNING);
    assert_eq!(script.restricted(), [REPEATED]);
    script.advance(SETTLED);
    script.ledger.record_sound(REPEATED, script.now);
    assert_eq!(script.restricted(), []);
}

const FIRST_QUARANTINE: Duration = Duration::from_secs(30);

fn quarantined_script() -> LedgerScript {
    let mut script = LedgerScript::new();
    for _ in 0..3 {
        script.crash(&[FIRST, CULPRIT], RUNNING);
        script.advance(SETTLED);
        script.ledger.record_sound(FIRST, script.now);
    }
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
    script
}

/// Guards against a part quarantined in error whose requests are refused for ten minutes:
/// one request decides when the first quarantine ends.
#[test]
fn released_part_cleared_by_response() {
    let mut script = quarantined_script();
    assert_eq!(script.restricted(), [CULPRIT], "gateways know it in time");
    script.end_quarantine(FIRST_QUARANTINE);
    assert_eq!(script.restricted(), [CULPRIT]);
    script.ledger.record_sound(CULPRIT, script.now);
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), []);
    assert_eq!(script.restricted(), []);
}

/// Guards against suspects that are kept for good after their last request.
#[test]
fn released_part_without_requests_forgotten() {
    let mut script = quarantined_script();
    script.end_quarantine(FIRST_QUARANTINE);
    script.advance(Duration::from_secs(599));
    assert_eq!(script.quarantined(), []);
    assert_eq!(script.restricted(), [CULPRIT]);
    script.advance(Duration::from_secs(2));
    assert_eq!(script.quarantined(), []);
    assert_eq!(script.restricted(), []);
}

#[test]
fn released_part_quarantined_by_next_crash() {
    let mut script = quarantined_script();
    script.end_quarantine(FIRST_QUARANTINE);
    script.advance(SETTLED);
    script.crash_trial(&[FIRST, CULPRIT], RUNNING);
    script.advance(SETTLED);
    assert_eq!(script.quarantined(), [PartSet::from([CULPRIT])]);
    script.advance(Duration::from_secs(590));
    script.quarantined();
    assert_eq!(script.ledger.quarantines().iter().count(), 1);
    script.end_quarantine(Duration::from_secs(20));
    assert_eq!(
        script.restricted(),
        [CULPRIT],
        "one request at a time again"
    );
}
