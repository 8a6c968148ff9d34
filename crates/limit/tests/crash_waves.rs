//! How many requests with what crashes engines are forwarded before it is quarantined, and
//! how many sound ones are refused, over many forms of fleets in virtual time.

mod crash_fleet;

use std::time::Duration;

use crash_fleet::{CrashFleet, FleetOutcome, FleetPlan, PartPlace};
use rstest::rstest;

/// Requests that may be forwarded after [`crash_fleet::FORWARD_LIMIT`].
const LATE_MAX: usize = 3;

/// Seeds of each form; `CRASH_WAVE_SEEDS` sets another number.
const SEEDS: u64 = 2;

const RUN_TIME: Duration = Duration::from_secs(40);

const CRASHING_RATES: [f64; 4] = [0.5, 1.5, 4.0, 8.0];

const OUTAGES: [Option<Duration>; 2] = [None, Some(Duration::from_secs(2))];

/// Sound requests a second and engine.
const SOUND_RATE: f64 = 4.0;

fn seeds() -> u64 {
    let seeds = std::env::var("CRASH_WAVE_SEEDS").ok();
    seeds.map_or(SEEDS, |seeds| seeds.parse().expect("a number"))
}

fn fleet(engines: usize) -> FleetPlan {
    FleetPlan {
        place: PartPlace::Third,
        proven: false,
        holders: 0,
        cold_time: Duration::ZERO,
        engines,
        sound_rate: SOUND_RATE * engines as f64,
        crashing_rate: 1.0,
        one_subject: false,
        one_content: false,
        eager_share: 0.0,
        repeats_crashing: false,
        broken_share: 0.0,
        gateways: 8,
        popular_share: 0.0,
        delay_max: Duration::from_millis(100),
        lost_share: 0.0,
        outage_interval: None,
    }
}

/// Keeps the forms with outages, or those without.
fn with_outages(mut forms: Vec<FleetPlan>, has_outages: bool) -> Vec<FleetPlan> {
    forms.retain(|form| form.outage_interval.is_some() == has_outages);
    forms
}

/// Returns a fleet at each rate of crashing requests, with and without outages.
fn loads(plan: FleetPlan) -> Vec<FleetPlan> {
    let rates = CRASHING_RATES.into_iter();
    let loads = rates.flat_map(|crashing_rate| {
        OUTAGES.map(|outage_interval| FleetPlan {
            crashing_rate,
            outage_interval,
            ..plan
        })
    });
    loads.collect()
}

/// Returns a fleet whose model is at one engine, and is loaded at the next one after a
/// crash.
fn moving_model() -> FleetPlan {
    FleetPlan {
        holders: 1,
        cold_time: Duration::from_secs(3),
        ..fleet(6)
    }
}

/// Returns a fleet in which a part that was served before crashes engines, and its
/// requests are sent again.
fn repeated_proven(engines: usize) -> FleetPlan {
    FleetPlan {
        proven: true,
        repeats_crashing: true,
        ..fleet(engines)
    }
}

/// Returns the forms in which a prompt part crashes engines.
fn part_forms(plan: FleetPlan) -> Vec<FleetPlan> {
    let places = [PartPlace::Third, PartPlace::Subject, PartPlace::First];
    let forms = places.into_iter().flat_map(|place| {
        [false, true].map(|one_subject| FleetPlan {
            place,
            one_subject,
            ..plan
        })
    });
    forms.flat_map(loads).collect()
}

/// Returns the forms in which a repeated request crashes engines, alone and beside eager
/// callers and popular contents.
fn content_forms(plan: FleetPlan) -> Vec<FleetPlan> {
    let shares = [(0.0, 0.0), (0.5, 0.0), (0.5, 0.5)].into_iter();
    let forms = shares.map(|(eager_share, popular_share)| FleetPlan {
        one_content: true,
        one_subject: true,
        eager_share,
        popular_share,
        ..plan
    });
    forms.flat_map(loads).collect()
}

/// What the runs of several forms showed.
#[derive(Debug, Default)]
struct WaveCount {
    runs: usize,
    crashes: usize,
    /// Runs with more than [`LATE_MAX`] late requests, and the first one.
    late: usize,
    first_late: Option<String>,
    /// Runs in which sound requests were refused, and the first one.
    wrong: usize,
    first_wrong: Option<String>,
    refused_sound: usize,
    served_sound: usize,
    held_sound: usize,
}

impl WaveCount {
    fn run(forms: &[FleetPlan]) -> Self {
        let mut count = WaveCount::default();
        for plan in forms {
            for seed in 0..seeds() {
                let outcome = CrashFleet::run(*plan, seed, RUN_TIME);
                count.record(plan, seed, &outcome);
            }
        }
        count
    }

    fn record(&mut self, plan: &FleetPlan, seed: u64, outcome: &FleetOutcome) {
        self.runs += 1;
        self.crashes += outcome.crashes;
        self.refused_sound += outcome.refused_sound;
        self.served_sound += outcome.served_sound;
        self.held_sound += outcome.held_sound;
        let text = || format!("seed {seed} of {plan:?}: {outcome:x?}");
        if outcome.late > LATE_MAX {
            self.late += 1;
            self.first_late.get_or_insert_with(text);
        }
        if outcome.refused_sound > 0 {
            self.wrong += 1;
            self.first_wrong.get_or_insert_with(text);
        }
    }
}

/// Guards against crashing requests that go on being forwarded in waves, each of which
/// crashes whatever engines are up, until there are enough crashes to tell what they have
/// in common; and against sound requests that are refused in their place.
#[rstest]
#[case::fresh_part_4(part_forms(fleet(4)))]
#[case::fresh_part_12(part_forms(fleet(12)))]
#[case::proven_part_4(part_forms(FleetPlan { proven: true, ..fleet(4) }))]
#[case::proven_part_12(part_forms(FleetPlan { proven: true, ..fleet(12) }))]
#[case::fresh_content_3(content_forms(fleet(3)))]
#[case::fresh_content_12(content_forms(fleet(12)))]
#[case::proven_content_3(content_forms(FleetPlan { proven: true, ..fleet(3) }))]
#[case::proven_content_12(content_forms(FleetPlan { proven: true, ..fleet(12) }))]
#[case::moving_model_part(with_outages(part_forms(moving_model()), false))]
#[case::moving_model_content(content_forms(moving_model()))]
#[case::moving_part_outages(with_outages(part_forms(moving_model()), true))]
#[case::repeated_part_4(part_forms(FleetPlan { repeats_crashing: true, ..fleet(4) }))]
#[case::repeated_part_18(part_forms(FleetPlan { repeats_crashing: true, ..fleet(18) }))]
#[case::repeated_proven_part_4(part_forms(repeated_proven(4)))]
#[case::repeated_proven_part_18(part_forms(repeated_proven(18)))]
fn fleet_waves_bounded(#[case] forms: Vec<FleetPlan>) {
    let count = WaveCount::run(&forms);
    println!(
        "{} runs, {} crashes, {} late; {} wrong, {} sound requests refused, {} served, {} held",
        count.runs,
        count.crashes,
        count.late,
        count.wrong,
        count.refused_sound,
        count.served_sound,
        count.held_sound,
    );
    assert_eq!(count.late, 0, "{:?}", count.first_late);
    assert_eq!(count.wrong, 0, "{:?}", count.first_wrong);
}
