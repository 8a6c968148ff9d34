//! The fault schedule of a run.
//!
//! Algorithm: the whole schedule is drawn from the seed before the run. Faults
//! follow one another and may overlap, except for data loss: at most one control
//! instance at a time lacks entries that it has acknowledged, and another one
//! loses its data only after the first has had time to catch up. A deployment of
//! three control instances is designed to tolerate exactly this; of five, two may
//! lose their data at the same time. Control instances are replaced as planned: the
//! successor first, and the old one ends once the successor had the time to catch up.
//! Another instance loses its data soon after that in most cases. Limits that
//! endpoints name are drawn by themselves and may overlap any fault; half of the
//! endpoints name none. Of the others, some become cold.

use std::fmt;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::soak_cluster::ClusterSize;

/// Mean time between the starts of two consecutive faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum and maximum duration of a fault, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (200, 4_500);

/// Time from a restart with an empty data folder until another control instance
/// may lose its data: the platform's limit for catching up.
pub(crate) const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Maximum time from the end of a replaced instance to the loss of another one's data,
/// in milliseconds.
const LOSS_DELAY_MAX_MS: u64 = 3_000;

/// Maximum time between two replacements, in milliseconds.
const REPLACEMENT_PAUSE_MAX_MS: u64 = 8_000;

/// Number of control instances from which on two may lose their data at once.
const TWO_LOSSES_MIN: usize = 5;

/// Returns how many of a number of control instances may lose their data at once.
pub(crate) fn losses_max(controls: usize) -> usize {
    if controls < TWO_LOSSES_MIN {
        1
    } else {
        2
    }
}

/// Changes the random sequence of the replacements from that of the faults.
const REPLACEMENT_SEED: u64 = 0x5e_c0_4d;

/// Minimum and maximum duration of an endpoint's limit, in milliseconds; longer than
/// the time until it binds and the window over which it is checked.
const LIMIT_DURATION_MS: (u64, u64) = (7_500, 12_000);

/// Maximum time between two limits of any endpoint, in milliseconds.
const LIMIT_PAUSE_MAX_MS: u64 = 3_000;

/// Limits in requests a second, as endpoints name them.
const LIMITS: [&str; 4] = ["0.5", "1", "1.1", "4"];

/// Changes the random sequence of the limits from that of the faults.
const LIMIT_SEED: u64 = 0x11_31_75;

/// Duration of a cold time, in milliseconds; longer than the time until all know it.
const COLD_DURATION_MS: u64 = 6_000;

/// Maximum time between two cold times of any endpoint, in milliseconds.
const COLD_PAUSE_MAX_MS: u64 = 6_000;

/// Changes the random sequence of the cold times from that of the faults.
const COLD_SEED: u64 = 0xc0_1d;

/// A fault to inject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakFault {
    /// A process is killed and restarted when the fault ends.
    Kill(String),
    /// A process is asked to terminate and restarted after it has exited.
    Terminate(String),
    /// A process is suspended and resumed when the fault ends.
    Freeze(String),
    /// A process receives SIGHUP, which makes it reload its settings.
    Hangup(String),
    /// A control instance is killed and restarted without its data.
    LoseData(String),
    /// A control instance is replaced: the successor starts, and when the fault ends the
    /// old instance is asked to terminate and never returns.
    Replace(String),
    /// The same, and the old instance is killed.
    ReplaceKilled(String),
    /// A control instance is killed and its data is lost with the machine; when the fault
    /// ends, another one takes its place at another address.
    Remove(String),
    /// A control instance cannot create files because its data folder is moved away.
    HideData(String),
    /// All control instances are killed together.
    KillControls,
    /// A control instance is partitioned from all other processes.
    Isolate(String),
    /// Traffic from a process to all control instances is stalled.
    Mute(String),
    /// Traffic from all control instances to a process is stalled.
    Deafen(String),
    /// Links to a control instance have latency and jitter.
    Delay(String),
    /// Links to a control instance are reset, and new ones are reset until the
    /// fault ends.
    Refuse(String),
    /// An endpoint closes connections without a response.
    EndpointDown(usize),
    /// An endpoint refuses all requests.
    EndpointSheds(usize),
    /// An endpoint runs requests, but its responses are lost.
    EndpointLoses(usize),
    /// An endpoint responds slowly.
    EndpointSlow(usize),
    /// Connections to an endpoint are stalled.
    EndpointCut(usize),
    /// Connections to an endpoint are reset.
    EndpointReset(usize),
    /// An endpoint names a limit in requests a second.
    EndpointLimits(usize, &'static str),
    /// An endpoint is cold.
    EndpointCold(usize),
    /// An endpoint leaves, while its last heartbeat arrives late again and again; when the
    /// fault ends, it starts again.
    EndpointLeaves(usize),
}

impl SoakFault {
    /// Returns whether the fault is planned maintenance, a limit or a cold time, during
    /// which no request may be interrupted.
    pub fn is_maintenance(&self) -> bool {
        matches!(
            self,
            SoakFault::Terminate(_)
                | SoakFault::Hangup(_)
                | SoakFault::Replace(_)
                | SoakFault::EndpointLimits(..)
                | SoakFault::EndpointCold(_)
        )
    }

    /// Returns whether gateways may not be told what endpoints report.
    pub fn hides_reports(&self) -> bool {
        matches!(
            self,
            SoakFault::Freeze(_)
                | SoakFault::KillControls
                | SoakFault::Isolate(_)
                | SoakFault::Mute(_)
                | SoakFault::Deafen(_)
        )
    }
}

/// A fault with its start and end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start, relative to the start of the traffic.
    pub begin: Duration,
    /// End, relative to the start of the traffic; later than `begin`.
    pub end: Duration,
    /// Fault to inject.
    pub fault: SoakFault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (begin, end) = (self.begin.as_millis(), self.end.as_millis());
        write!(f, "{begin} to {end} ms {:?}", self.fault)
    }
}

/// The faults of one run, ordered by their start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakPlan {
    /// Faults of the run.
    pub faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Draws the faults of a run from a seed.
    pub fn draw(seed: u64, duration: Duration, size: ClusterSize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut begin = Duration::ZERO;
        let mut next_data_loss = Duration::ZERO;
        let mut active_targets = Vec::new();
        let replacements = draw_replacements(seed, duration, size);
        loop {
            begin += FAULT_INTERVAL.mul_f64(2.0 * rng.random::<f64>());
            let fault_duration =
                Duration::from_millis(rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1));
            let end = begin + fault_duration;
            if end >= duration {
                faults.extend(draw_limits(seed, duration, size));
                faults.extend(draw_cold_times(seed, duration, size));
                faults.extend(replacements);
                faults.sort_by_key(|planned| planned.begin);
                return SoakPlan { faults };
            }
            let fault = draw_fault(&mut rng, size);
            let planned = PlannedFault { begin, end, fault };
            if conflicts(&planned, &replacements, size) {
                continue;
            }
            let PlannedFault { fault, .. } = planned;
            if matches!(fault, SoakFault::LoseData(_)) {
                if begin < next_data_loss {
                    continue;
                }
                next_data_loss = end + CATCH_UP_TIME;
            }
            // A process or endpoint has at most one fault at a time.
            let fault_targets = fault_targets(&fault, size);
            active_targets.retain(|(until, _)| *until > begin);
            if fault_targets
                .iter()
                .any(|name| active_targets.iter().any(|(_, target)| target == name))
            {
                continue;
            }
            active_targets.extend(fault_targets.into_iter().map(|name| (end, name)));
            faults.push(PlannedFault { begin, end, fault });
        }
    }
}

/// Draws the replacements of a run, one after another, each with the losses of data that
/// follow it.
fn draw_replacements(seed: u64, duration: Duration, size: ClusterSize) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ REPLACEMENT_SEED);
    let mut replacements = Vec::new();
    let mut next = Duration::ZERO;
    loop {
        let begin = next + Duration::from_millis(rng.random_range(0..REPLACEMENT_PAUSE_MAX_MS));
        let end = begin + CATCH_UP_TIME;
        let replaced = rng.random_range(0..size.controls);
        let name = format!("control-{replaced}");
        let fault = match rng.random_bool(0.5) {
            true => SoakFault::Replace(name),
            false => SoakFault::ReplaceKilled(name),
        };
        let losses = rng
            .random_range(0..=losses_max(size.controls))
            .max(rng.random_range(0..=1));
        let loss_begin = end + Duration::from_millis(rng.random_range(0..LOSS_DELAY_MAX_MS));
        let loss_time = rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1);
        let loss_end = loss_begin + Duration::from_millis(loss_time);
        let first_lost = rng.random_range(0..size.controls);
        next = loss_end + CATCH_UP_TIME;
        if loss_end >= duration {
            return replacements;
        }
        replacements.push(PlannedFault { begin, end, fault });
        for offset in 0..losses {
            let place = (first_lost + offset) % size.controls;
            replacements.push(PlannedFault {
                begin: loss_begin,
                end: loss_end,
                fault: SoakFault::LoseData(format!("control-{place}")),
            });
        }
    }
}

/// Returns whether a fault overlaps a replacement or one of its losses at the same
/// instance, or is a loss of data around one.
fn conflicts(planned: &PlannedFault, replacements: &[PlannedFault], size: ClusterSize) -> bool {
    let targets = fault_targets(&planned.fault, size);
    replacements.iter().any(|other| {
        let is_loss = matches!(planned.fault, SoakFault::LoseData(_));
        let margin = if is_loss {
            CATCH_UP_TIME
        } else {
            Duration::ZERO
        };
        let overlaps = planned.begin < other.end + margin && other.begin < planned.end + margin;
        let known = fault_targets(&other.fault, size);
        overlaps && (is_loss || targets.iter().any(|target| known.contains(target)))
    })
}

/// Draws the limits of a run for the first half of the endpoints, at most one at a time
/// for each.
fn draw_limits(seed: u64, duration: Duration, size: ClusterSize) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ LIMIT_SEED);
    let mut limits = Vec::new();
    let mut limited_until = vec![Duration::ZERO; size.endpoints.div_ceil(2)];
    let mut begin = Duration::ZERO;
    loop {
        begin += Duration::from_millis(rng.random_range(0..LIMIT_PAUSE_MAX_MS));
        let limit_duration = rng.random_range(LIMIT_DURATION_MS.0..LIMIT_DURATION_MS.1);
        let end = begin + Duration::from_millis(limit_duration);
        if end >= duration {
            return limits;
        }
        let place = rng.random_range(0..limited_until.len());
        let limit = LIMITS[rng.random_range(0..LIMITS.len())];
        if limited_until[place] < begin {
            limited_until[place] = end;
            let fault = SoakFault::EndpointLimits(place, limit);
            limits.push(PlannedFault { begin, end, fault });
        }
    }
}

/// Draws the cold times of a run for the second half of the endpoints, one after another.
fn draw_cold_times(seed: u64, duration: Duration, size: ClusterSize) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ COLD_SEED);
    let places = size.endpoints.div_ceil(2)..size.endpoints;
    let mut cold_times = Vec::new();
    let mut end = Duration::ZERO;
    while !places.is_empty() {
        let begin = end + Duration::from_millis(rng.random_range(0..COLD_PAUSE_MAX_MS));
        end = begin + Duration::from_millis(COLD_DURATION_MS);
        if end >= duration {
            break;
        }
        let fault = SoakFault::EndpointCold(rng.random_range(places.clone()));
        cold_times.push(PlannedFault { begin, end, fault });
    }
    cold_times
}

fn draw_fault(rng: &mut Pcg64Mcg, size: ClusterSize) -> SoakFault {
    let control = format!("control-{}", rng.random_range(0..size.controls));
    let gateway = format!("gateway-{}", rng.random_range(0..size.gateways));
    let endpoint = rng.random_range(0..size.endpoints);
    let process = if rng.random_bool(0.5) {
        control.clone()
    } else {
        gateway.clone()
    };
    match rng.random_range(0..23) {
        0 | 1 => SoakFault::Kill(process),
        2 | 3 => SoakFault::Terminate(process),
        4 | 5 => SoakFault::Freeze(process),
        6 => SoakFault::Hangup(process),
        7 => SoakFault::LoseData(control),
        15 => SoakFault::HideData(control),
        8 => SoakFault::KillControls,
        9 | 10 => SoakFault::Isolate(control),
        11 => SoakFault::Mute(process),
        12 => SoakFault::Deafen(process),
        13 => SoakFault::Delay(control),
        14 => SoakFault::Refuse(control),
        16 => SoakFault::Terminate(gateway),
        17 => SoakFault::EndpointDown(endpoint),
        18 => SoakFault::EndpointSheds(endpoint),
        19 => SoakFault::EndpointLoses(endpoint),
        20 => SoakFault::EndpointSlow(endpoint),
        21 => SoakFault::EndpointCut(endpoint),
        _ => SoakFault::EndpointReset(endpoint),
    }
}

/// Returns the names of the processes and endpoints that a fault affects.
fn fault_targets(fault: &SoakFault, size: ClusterSize) -> Vec<String> {
    match fault {
        SoakFault::Kill(name)
        | SoakFault::Remove(name)
        | SoakFault::Terminate(name)
        | SoakFault::Freeze(name)
        | SoakFault::Hangup(name)
        | SoakFault::LoseData(name)
        | SoakFault::HideData(name)
        | SoakFault::Isolate(name)
        | SoakFault::Mute(name)
        | SoakFault::Deafen(name)
        | SoakFault::Delay(name)
        | SoakFault::Refuse(name) => vec![name.clone()],
        // A successor has its time to catch up only while the others are in order.
        SoakFault::KillControls | SoakFault::Replace(_) | SoakFault::ReplaceKilled(_) => {
            let places = 0..size.controls;
            places.map(|place| format!("control-{place}")).collect()
        }
        SoakFault::EndpointDown(place)
        | SoakFault::EndpointSheds(place)
        | SoakFault::EndpointLoses(place)
        | SoakFault::EndpointSlow(place)
        | SoakFault::EndpointCut(place)
        | SoakFault::EndpointReset(place)
        | SoakFault::EndpointCold(place)
        | SoakFault::EndpointLeaves(place)
        | SoakFault::EndpointLimits(place, _) => vec![format!("endpoint-{place}")],
    }
}
