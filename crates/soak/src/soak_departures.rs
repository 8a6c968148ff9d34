//! The schedule of a run in which instances and endpoints depart.
//!
//! Algorithm: rounds follow one another, each drawn from the seed: control instances are
//! removed for good while another one is away, or after a planned replacement; or an endpoint
//! leaves, and all control instances are killed, once or twice. No more instances are removed
//! at once than the deployment is designed for, and a round begins when the last successor
//! had the time to catch up.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::soak_cluster::ClusterSize;
use crate::soak_plan::{losses_max, PlannedFault, SoakFault, SoakPlan, CATCH_UP_TIME};

/// Longest time for which a control instance is away, in milliseconds, and longest gap to
/// the removal of another one.
const ABSENCE_MAX_MS: u64 = 7_000;

/// Time after which another instance takes the place of a removed one.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(1_500);

/// Time within which the end of a replaced instance that was killed is noticed.
const NOTICE_TIME: Duration = Duration::from_millis(600);

/// Time for which an endpoint that has left stays away; longer than the time in which
/// gateways may not have been told.
const LEAVE_TIME: Duration = Duration::from_secs(9);

/// Duration of the end of all control instances, in milliseconds.
const KILL_MS: std::ops::Range<u64> = 200..1_000;

/// Draws the rounds of a run.
pub(crate) fn draw(seed: u64, duration: Duration, size: ClusterSize) -> SoakPlan {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut faults: Vec<PlannedFault> = Vec::new();
    let mut begin = Duration::ZERO;
    loop {
        begin += random_ms(&mut rng, 0..2_000);
        let round = match rng.random_range(0..3) {
            0 => draw_absence(&mut rng, begin, size),
            1 => draw_replacement(&mut rng, begin, size),
            _ => draw_leave(&mut rng, begin, size),
        };
        let end = round.iter().map(|planned| planned.end).max();
        begin = end.unwrap_or(begin);
        if begin >= duration {
            break;
        }
        faults.extend(round);
        begin += CATCH_UP_TIME;
    }
    faults.sort_by_key(|planned| planned.begin);
    SoakPlan { faults }
}

fn random_ms(rng: &mut Pcg64Mcg, range_ms: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}

fn planned(begin: Duration, time: Duration, fault: SoakFault) -> PlannedFault {
    let end = begin + time;
    PlannedFault { begin, end, fault }
}

/// Returns the removals of the instances behind a place.
fn draw_removals(
    rng: &mut Pcg64Mcg,
    begin: Duration,
    place: usize,
    size: ClusterSize,
) -> Vec<PlannedFault> {
    let removals = rng.random_range(1..=losses_max(size.controls));
    let places = (1..=removals).map(|offset| (place + offset) % size.controls);
    let removals = places.map(|place| {
        let fault = SoakFault::Remove(format!("control-{place}"));
        planned(begin, SUCCESSOR_DELAY, fault)
    });
    removals.collect()
}

/// Instances are removed while another one is away, or right after it is back.
fn draw_absence(rng: &mut Pcg64Mcg, begin: Duration, size: ClusterSize) -> Vec<PlannedFault> {
    let place = rng.random_range(0..size.controls);
    let name = format!("control-{place}");
    let fault = match rng.random_bool(0.5) {
        true => SoakFault::Kill(name),
        false => SoakFault::Terminate(name),
    };
    let absence = random_ms(rng, 500..ABSENCE_MAX_MS);
    let gap = random_ms(rng, 0..ABSENCE_MAX_MS);
    let mut round = draw_removals(rng, begin + gap, place, size);
    round.push(planned(begin, absence, fault));
    round
}

/// Instances are removed soon after another one was replaced as planned.
fn draw_replacement(rng: &mut Pcg64Mcg, begin: Duration, size: ClusterSize) -> Vec<PlannedFault> {
    let place = rng.random_range(0..size.controls);
    let name = format!("control-{place}");
    let (fault, notice) = match rng.random_bool(0.7) {
        true => (SoakFault::Replace(name), Duration::ZERO),
        false => (SoakFault::ReplaceKilled(name), NOTICE_TIME),
    };
    let replacement = planned(begin, CATCH_UP_TIME, fault);
    let gap = notice + random_ms(rng, 0..3_000);
    let mut round = draw_removals(rng, replacement.end + gap, place, size);
    round.push(replacement);
    round
}

/// All control instances are killed after an endpoint has left.
fn draw_leave(rng: &mut Pcg64Mcg, begin: Duration, size: ClusterSize) -> Vec<PlannedFault> {
    let place = rng.random_range(0..size.endpoints);
    let fault = SoakFault::EndpointLeaves(place);
    let mut round = vec![planned(begin, LEAVE_TIME, fault)];
    let mut kill_begin = begin;
    for _ in 0..rng.random_range(1..=2) {
        kill_begin += random_ms(rng, 300..2_000);
        let kill_time = random_ms(rng, KILL_MS);
        round.push(planned(kill_begin, kill_time, SoakFault::KillControls));
        kill_begin += kill_time;
    }
    round
}
