//! What goes wrong in a run, and when.
//!
//! Algorithm: all is drawn from the seed before the run. Faults come in series
//! and overlap, but for lost data: at most one control instance at a time is
//! without what it had acknowledged, and the next loses it only once that one
//! has had time to catch up, which is what a deployment of three is built for.

use std::fmt;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::soak_cluster::ClusterSize;

/// Mean time between the begins of two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// Shortest and longest time that a fault lasts.
const FAULT_TIME: (u64, u64) = (200, 4_500);

/// Time from a restart with an empty disk until another may be lost: the
/// platform's time for catching up, and a margin.
const CATCH_UP: Duration = Duration::from_secs(6);

/// One way in which something fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakFault {
    /// A process is killed, and started again at the fault's end.
    Kill(String),
    /// A process is asked to end, and started again once it has.
    Terminate(String),
    /// A process is stopped and goes on at the fault's end.
    Freeze(String),
    /// A process is told that its settings have changed.
    Hangup(String),
    /// A control instance is killed and starts again without its data.
    LoseData(String),
    /// A control instance can make no file in its data folder.
    HideData(String),
    /// All control instances are killed at the same moment.
    KillControls,
    /// A control instance is cut off from all other processes.
    Isolate(String),
    /// What a process sends to all control instances is held back.
    Mute(String),
    /// What all control instances send to a process is held back.
    Deafen(String),
    /// Links to a control instance are slow and uneven.
    Delay(String),
    /// Links to a control instance are reset, and new ones for the fault's time.
    Refuse(String),
    /// An endpoint closes connections without an answer.
    EndpointDown(usize),
    /// An endpoint refuses all requests.
    EndpointSheds(usize),
    /// An endpoint's answers get lost after it has run the requests.
    EndpointLoses(usize),
    /// An endpoint is slow.
    EndpointSlow(usize),
    /// The way to an endpoint is silent.
    EndpointCut(usize),
    /// Connections to an endpoint are reset.
    EndpointReset(usize),
}

impl SoakFault {
    /// Tells whether it is work that the platform plans, beside which no request
    /// may be cut.
    pub fn is_planned(&self) -> bool {
        matches!(self, SoakFault::Terminate(_) | SoakFault::Hangup(_))
    }
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// From the begin of the traffic.
    pub begin: Duration,
    /// From the begin of the traffic, after `begin`.
    pub end: Duration,
    /// What fails.
    pub fault: SoakFault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (begin, end) = (self.begin.as_millis(), self.end.as_millis());
        write!(f, "{begin} to {end} ms {:?}", self.fault)
    }
}

/// The faults of one run, by their begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakPlan {
    /// All faults.
    pub faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Draws the faults of a run.
    pub fn draw(seed: u64, duration: Duration, size: ClusterSize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut begin = Duration::ZERO;
        let mut disks_from = Duration::ZERO;
        let mut busy = Vec::new();
        loop {
            begin += FAULT_INTERVAL.mul_f64(2.0 * rng.random::<f64>());
            let lasts = Duration::from_millis(rng.random_range(FAULT_TIME.0..FAULT_TIME.1));
            let end = begin + lasts;
            if end >= duration {
                return SoakPlan { faults };
            }
            let fault = draw_fault(&mut rng, size);
            if matches!(fault, SoakFault::LoseData(_)) {
                if begin < disks_from {
                    continue;
                }
                disks_from = end + CATCH_UP;
            }
            // A process that has one fault has no other one at the same time.
            let subjects = subjects(&fault, size);
            busy.retain(|(until, _)| *until > begin);
            if subjects
                .iter()
                .any(|name| busy.iter().any(|(_, busy)| busy == name))
            {
                continue;
            }
            busy.extend(subjects.into_iter().map(|name| (end, name)));
            faults.push(PlannedFault { begin, end, fault });
        }
    }
}

fn draw_fault(rng: &mut Pcg64Mcg, size: ClusterSize) -> SoakFault {
    let control = format!("control-{}", rng.random_range(0..size.controls));
    let gateway = format!("gateway-{}", rng.random_range(0..size.gateways));
    let endpoint = rng.random_range(0..size.endpoints);
    let any = if rng.random_bool(0.5) {
        control.clone()
    } else {
        gateway.clone()
    };
    match rng.random_range(0..23) {
        0 | 1 => SoakFault::Kill(any),
        2 | 3 => SoakFault::Terminate(any),
        4 | 5 => SoakFault::Freeze(any),
        6 => SoakFault::Hangup(any),
        7 => SoakFault::LoseData(control),
        15 => SoakFault::HideData(control),
        8 => SoakFault::KillControls,
        9 | 10 => SoakFault::Isolate(control),
        11 => SoakFault::Mute(any),
        12 => SoakFault::Deafen(any),
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

/// Returns the names of what a fault takes.
fn subjects(fault: &SoakFault, size: ClusterSize) -> Vec<String> {
    match fault {
        SoakFault::Kill(name)
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
        SoakFault::KillControls => {
            let places = 0..size.controls;
            places.map(|place| format!("control-{place}")).collect()
        }
        SoakFault::EndpointDown(place)
        | SoakFault::EndpointSheds(place)
        | SoakFault::EndpointLoses(place)
        | SoakFault::EndpointSlow(place)
        | SoakFault::EndpointCut(place)
        | SoakFault::EndpointReset(place) => vec![format!("endpoint-{place}")],
    }
}
