//! Choice of an endpoint from late hints and the entry's own attempts.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{
    ChoiceRequest, ChoiceSettings, ChosenEndpoint, EndpointCandidate, EndpointChooser, LoadHint,
};
use rstest::rstest;

static MODEL: Bytes = Bytes::from_static(b"payroll");
static ZONE: Bytes = Bytes::from_static(b"zone-a");

fn names(count: usize) -> Vec<Bytes> {
    (0..count)
        .map(|n| Bytes::from(format!("engine-{n}")))
        .collect()
}

fn chooser(entry: &'static str) -> EndpointChooser {
    EndpointChooser::new(Bytes::from(entry), ZONE.clone(), ChoiceSettings::default())
}

fn pick(
    chooser: &mut EndpointChooser,
    now: Instant,
    names: &[Bytes],
    seed: u64,
    prefix: u64,
) -> ChosenEndpoint {
    let candidates: Vec<_> = names
        .iter()
        .map(|name| EndpointCandidate {
            name,
            zone: &ZONE,
            incarnation: 1,
            ready_delay: Duration::ZERO,
        })
        .collect();
    let request = ChoiceRequest {
        model: &MODEL,
        prompt_tokens: 400,
        total_tokens: 600,
        prefix,
        time_left: Duration::from_secs(10),
        seed,
    };
    chooser.choose(now, &request, &candidates).unwrap()
}

fn hint(running: u32, queued: u32, wait_ms: u64) -> LoadHint {
    LoadHint {
        incarnation: 1,
        sequence: 1,
        running,
        queued,
        slots: 4,
        queue_limit: 4,
        tokens_per_second: 1_000,
        waits: [(MODEL.clone(), Duration::from_millis(wait_ms))].into(),
        ..LoadHint::default()
    }
}

#[test]
fn choose_no_candidate() {
    let request = ChoiceRequest {
        model: &MODEL,
        prompt_tokens: 1,
        total_tokens: 1,
        prefix: 0,
        time_left: Duration::from_secs(1),
        seed: 1,
    };
    assert!(chooser("entry-0")
        .choose(Instant::now(), &request, &[])
        .is_none());
}

#[test]
fn choose_stable_subset() {
    let (now, names) = (Instant::now(), names(100));
    let mut used = std::collections::BTreeSet::new();
    let mut chooser = chooser("entry-0");
    for seed in 0..1_000 {
        used.insert(pick(&mut chooser, now, &names, seed, 0).index);
    }
    assert_eq!(used.len(), ChoiceSettings::default().subset_len);
    // The subset does not change if an endpoint outside it is removed.
    let outside = (0..100).find(|idx| !used.contains(idx)).unwrap();
    let removed = names[outside].clone();
    let remaining: Vec<Bytes> = names
        .iter()
        .filter(|name| **name != removed)
        .cloned()
        .collect();
    for seed in 0..1_000 {
        let chosen = pick(&mut chooser, now, &remaining, seed, 0);
        let index = names
            .iter()
            .position(|name| *name == remaining[chosen.index]);
        assert!(used.contains(&index.unwrap()));
    }
}

#[rstest]
#[case::shorter_wait(hint(4, 1, 900), hint(4, 1, 50))]
#[case::not_full(hint(4, 4, 0), hint(4, 3, 2_000))]
#[case::not_leaving(LoadHint { leaving: true, ..hint(0, 0, 0) }, hint(4, 1, 500))]
fn choose_better_hint(#[case] worse: LoadHint, #[case] better: LoadHint) {
    let (now, names) = (Instant::now(), names(2));
    let mut chooser = chooser("entry-0");
    chooser.handle_hint(now, &names[0], worse);
    chooser.handle_hint(now, &names[1], better);
    for seed in 0..100 {
        assert_eq!(pick(&mut chooser, now, &names, seed, 0).index, 1);
    }
}

#[test]
fn choose_attempts_since_hint() {
    let (now, names) = (Instant::now(), names(2));
    let mut chooser = chooser("entry-0");
    chooser.handle_hint(now, &names[0], hint(3, 0, 0));
    chooser.handle_hint(now, &names[1], hint(4, 0, 100));
    assert_eq!(pick(&mut chooser, now, &names, 1, 0).index, 0);
    chooser.record_attempt_start(&names[0], 600, 0);
    assert_eq!(pick(&mut chooser, now, &names, 1, 0).index, 1);
    chooser.record_attempt_end(&names[0], 600);
    assert_eq!(pick(&mut chooser, now, &names, 1, 0).index, 0);
}

#[test]
fn choose_expired_hint() {
    let (now, names) = (Instant::now(), names(2));
    let mut chooser = chooser("entry-0");
    chooser.handle_hint(now, &names[0], hint(4, 4, 9_000));
    assert_eq!(pick(&mut chooser, now, &names, 1, 0).index, 1);
    chooser.record_attempt_start(&names[1], 600, 0);
    let later = now + ChoiceSettings::default().hint_lifetime;
    assert_eq!(pick(&mut chooser, later, &names, 1, 0).index, 0);
}

#[rstest]
#[case::repeated(1, 1)]
#[case::older(1, 0)]
#[case::old_incarnation(0, 9)]
fn handle_hint_stale(#[case] incarnation: u64, #[case] sequence: u64) {
    let (now, names) = (Instant::now(), names(2));
    let mut chooser = chooser("entry-0");
    chooser.handle_hint(now, &names[0], hint(0, 0, 0));
    chooser.handle_hint(now, &names[1], hint(4, 0, 50));
    let stale = LoadHint {
        incarnation,
        sequence,
        ..hint(4, 4, 9_000)
    };
    chooser.handle_hint(now, &names[0], stale);
    assert_eq!(pick(&mut chooser, now, &names, 1, 0).index, 0);
}

#[test]
fn choose_endpoint_with_prefix() {
    let (now, names) = (Instant::now(), names(8));
    let mut chooser = chooser("entry-0");
    chooser.record_attempt_start(&names[5], 600, 77);
    chooser.record_attempt_end(&names[5], 600);
    for seed in 0..100 {
        assert_eq!(pick(&mut chooser, now, &names, seed, 77).index, 5);
    }
}

#[test]
fn choose_outside_full_subset() {
    let (now, names) = (Instant::now(), names(20));
    let mut chooser = chooser("entry-0");
    let mut used = std::collections::BTreeSet::new();
    for seed in 0..500 {
        used.insert(pick(&mut chooser, now, &names, seed, 0).index);
    }
    for index in &used {
        chooser.handle_hint(now, &names[*index], hint(4, 4, 500));
    }
    let chosen = pick(&mut chooser, now, &names, 3, 0);
    assert!(chosen.spilled && !chosen.full && !used.contains(&chosen.index));
}
