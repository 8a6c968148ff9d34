//! The evacuation of a zone outlives the loss of all processes, with real processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::serving_deployment::{call, KEY};
use common::worker_fleet::WorkerFleet;
use mulberrywell_platform_testkit::{FakeOperator, FakeWorker};
use mulberrywell_testkit::wait_until;

const PROCESSES: [&str; 5] = [
    "gateway",
    "gateway-2",
    "control-0",
    "control-1",
    "control-2",
];

/// Zone of the gateways, which prefer its workers.
const ZONE: &str = "zone-a";

fn is_served(gateway: SocketAddr) -> bool {
    call(gateway, "/once/x", KEY).is_some_and(|response| response.status == 200)
}

fn calls_since(worker: &FakeWorker, from: Instant) -> usize {
    let arrivals = worker.arrivals().into_iter();
    arrivals.filter(|arrival| arrival.at >= from).count()
}

fn evacuate(operator: &FakeOperator, is_start: bool) {
    wait_until("the call is acknowledged", || {
        (0..3).any(|place| operator.evacuate_at(place, ZONE, is_start))
    })
    .unwrap();
}

/// Guards against an acknowledged evacuation that is forgotten when all processes are
/// killed at once, or that gateways learn of only after they have sent requests.
#[test]
fn evacuation_outlives_loss_of_all() {
    let mut fleet = WorkerFleet::spawn_services(2, 2);
    let evacuated = fleet.workers[0].clone();
    fleet.workers[1].set_zone("zone-b");
    let elsewhere = fleet.workers[1].clone();
    let is_used = |fleet: &WorkerFleet, from: Instant| {
        fleet.gateways.iter().for_each(|gateway| {
            is_served(*gateway);
        });
        calls_since(&evacuated, from) > 0
    };
    wait_until("the zone is used", || is_used(&fleet, Instant::now())).unwrap();
    evacuate(&fleet.deployment.operator, true);
    for name in PROCESSES {
        fleet.deployment.processes.kill(name).unwrap();
    }
    let killed = Instant::now();
    for name in PROCESSES {
        fleet.deployment.processes.restart(name).unwrap();
    }
    for gateway in &fleet.gateways {
        wait_until("the gateway serves", || is_served(*gateway)).unwrap();
    }
    let serving = Instant::now();
    while serving.elapsed() < Duration::from_secs(6) {
        fleet.gateways.iter().for_each(|gateway| {
            assert!(is_served(*gateway));
        });
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(calls_since(&evacuated, killed), 0);
    assert!(calls_since(&elsewhere, killed) > 0);
    evacuate(&fleet.deployment.operator, false);
    wait_until("the zone is used", || is_used(&fleet, serving)).unwrap();
    fleet.stop();
}
