//! What the ledger finds in fleets of engines in virtual time: crashing parts, repeated
//! requests, and sound ones beside them.

mod crash_fleet;

use std::time::Duration;

use crash_fleet::{CrashFleet, FleetPlan, PartPlace};
use rstest::rstest;

const PLAN: FleetPlan = FleetPlan {
    place: PartPlace::Third,
    proven: false,
    holders: 0,
    cold_time: Duration::ZERO,
    engines: 18,
    sound_rate: 50.0,
    crashing_rate: 8.0,
    one_subject: false,
    one_content: false,
    eager_share: 0.0,
    repeats_crashing: false,
    broken_share: 0.0,
    gateways: 1,
    popular_share: 0.0,
    delay_max: Duration::ZERO,
    lost_share: 0.0,
    outage_interval: None,
};

const FLEET_SEEDS: u64 = 20;

/// Requests with the part that may be forwarded after [`crash_fleet::FORWARD_LIMIT`].
const LATE_MAX: usize = 3;

/// Guards against a crashing part that is found too late, and against sound requests
/// that are refused with it.
#[rstest]
#[case::frequent(PLAN)]
#[case::seldom(FleetPlan { crashing_rate: 0.7, ..PLAN })]
#[case::one_subject(FleetPlan { one_subject: true, ..PLAN })]
#[case::few_engines(FleetPlan { engines: 6, sound_rate: 20.0, ..PLAN })]
#[case::beside_broken_requests(FleetPlan { broken_share: 0.05, ..PLAN })]
#[case::beside_outages(FleetPlan { outage_interval: Some(Duration::from_secs(2)), ..PLAN })]
#[case::as_subject(FleetPlan { place: PartPlace::Subject, ..PLAN })]
#[case::as_first_part(FleetPlan { place: PartPlace::First, ..PLAN })]
fn fleet_crashing_part_found(#[case] plan: FleetPlan) {
    for seed in 0..FLEET_SEEDS {
        let outcome = CrashFleet::run(plan, seed, Duration::from_secs(40));
        assert_eq!(outcome.refused_sound, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.late <= LATE_MAX, "seed {seed}: {outcome:?}");
    }
}

const REPEATED_PLAN: FleetPlan = FleetPlan {
    one_content: true,
    one_subject: true,
    crashing_rate: 0.7,
    ..PLAN
};

/// Guards against a repeated request that is found too late, and against sound requests
/// with its prompt parts, or repeated beside it, that are refused in its place.
#[rstest]
#[case::seldom(REPEATED_PLAN)]
#[case::frequent(FleetPlan { crashing_rate: 4.0, ..REPEATED_PLAN })]
#[case::few_engines(FleetPlan { engines: 3, sound_rate: 20.0, ..REPEATED_PLAN })]
#[case::beside_eager_callers(FleetPlan { eager_share: 0.5, ..REPEATED_PLAN })]
#[case::few_engines_eager_callers(FleetPlan {
    engines: 3,
    sound_rate: 20.0,
    eager_share: 0.5,
    ..REPEATED_PLAN
})]
#[case::beside_outages(FleetPlan {
    eager_share: 0.5,
    outage_interval: Some(Duration::from_secs(2)),
    ..REPEATED_PLAN
})]
fn fleet_repeated_request_found(#[case] plan: FleetPlan) {
    for seed in 0..FLEET_SEEDS {
        let outcome = CrashFleet::run(plan, seed, Duration::from_secs(40));
        assert_eq!(outcome.refused_sound, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.late <= LATE_MAX, "seed {seed}: {outcome:?}");
    }
}

/// Guards against a repeated request that is found one request too late, where its first
/// crashes overlap.
#[rstest]
#[case::few_engines_eager_callers(89, FleetPlan {
    engines: 3,
    sound_rate: 20.0,
    eager_share: 0.5,
    ..REPEATED_PLAN
})]
#[case::beside_outages(249, FleetPlan {
    eager_share: 0.5,
    outage_interval: Some(Duration::from_secs(2)),
    ..REPEATED_PLAN
})]
fn fleet_repeated_request_late_seed(#[case] seed: u64, #[case] plan: FleetPlan) {
    let outcome = CrashFleet::run(plan, seed, Duration::from_secs(40));
    assert!(outcome.late <= LATE_MAX, "{outcome:?}");
}

/// Guards against quarantines where nothing but crashes and broken requests of other
/// causes goes on.
#[rstest]
#[case::broken_requests(FleetPlan { broken_share: 0.05, ..PLAN })]
#[case::outages(FleetPlan { outage_interval: Some(Duration::from_secs(3)), ..PLAN })]
#[case::both(FleetPlan {
    broken_share: 0.05,
    outage_interval: Some(Duration::from_secs(3)),
    ..PLAN
})]
#[case::outages_eager_callers(FleetPlan {
    eager_share: 1.0,
    outage_interval: Some(Duration::from_millis(700)),
    ..PLAN
})]
fn fleet_sound_parts_kept(#[case] plan: FleetPlan) {
    let plan = FleetPlan {
        crashing_rate: 0.0,
        ..plan
    };
    for seed in 0..FLEET_SEEDS {
        let outcome = CrashFleet::run(plan, seed, Duration::from_secs(60));
        assert_eq!(outcome.quarantined, [], "seed {seed}");
    }
}

/// A fleet of the size of `crashing_part_kept_from_engines`: all engines crash within a
/// second, so that no response lasts meanwhile.
const SMALL_PLAN: FleetPlan = FleetPlan {
    engines: 8,
    sound_rate: 20.0,
    gateways: 3,
    popular_share: 0.5,
    ..PLAN
};

/// Number of seeds of the fleets whose reports are late or lost; `CRASH_FLEET_SEEDS`
/// sets another one.
const LATE_REPORT_SEEDS: u64 = 30;

fn late_report_seeds() -> u64 {
    let seeds = std::env::var("CRASH_FLEET_SEEDS").ok();
    seeds.map_or(LATE_REPORT_SEEDS, |seeds| seeds.parse().expect("a number"))
}

/// Guards against a quarantine of a sound content or part that many requests share, as
/// it was at all the engines that a part of rare requests crashed.
#[rstest]
#[case::prompt(SMALL_PLAN)]
#[case::all_popular(FleetPlan { popular_share: 1.0, ..SMALL_PLAN })]
#[case::late_reports(FleetPlan { delay_max: Duration::from_millis(200), ..SMALL_PLAN })]
#[case::very_late_reports(FleetPlan { delay_max: Duration::from_millis(400), ..SMALL_PLAN })]
#[case::lost_reports(FleetPlan { lost_share: 0.1, ..SMALL_PLAN })]
#[case::late_and_lost_reports(FleetPlan {
    delay_max: Duration::from_millis(200),
    lost_share: 0.1,
    ..SMALL_PLAN
})]
#[case::many_gateways(FleetPlan {
    engines: 30,
    sound_rate: 80.0,
    gateways: 50,
    delay_max: Duration::from_millis(200),
    lost_share: 0.1,
    ..SMALL_PLAN
})]
#[case::own_contents(FleetPlan {
    popular_share: 0.0,
    delay_max: Duration::from_millis(200),
    lost_share: 0.1,
    ..SMALL_PLAN
})]
#[case::beside_broken_requests(FleetPlan {
    broken_share: 0.05,
    delay_max: Duration::from_millis(200),
    ..SMALL_PLAN
})]
fn fleet_shared_subjects_kept(#[case] plan: FleetPlan) {
    let outcomes = (0..late_report_seeds()).map(|seed| {
        let outcome = CrashFleet::run(plan, seed, Duration::from_secs(20));
        (seed, outcome)
    });
    let mut wrong = Vec::new();
    let (mut crashes, mut late) = (0, 0);
    for (seed, outcome) in outcomes {
        crashes += outcome.crashes;
        late += outcome.late;
        if outcome.refused_sound > 0 {
            wrong.push((seed, outcome.quarantined));
        }
    }
    println!(
        "{crashes} crashes and {late} late requests; {} wrong",
        wrong.len()
    );
    assert!(wrong.is_empty(), "{wrong:x?}");
}
