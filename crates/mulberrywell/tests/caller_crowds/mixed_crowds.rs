//! Crowds of unlike forms, in waves, across a change of limits and during a planned stop.

use std::thread;
use std::time::Duration;

use mulberrywell_testkit::wait_until;
use nix::sys::signal::Signal;

use crate::common::serving_deployment::{call, KEY};
use crate::crowd::{Crowd, CrowdForm, BODY_MAX};
use crate::gateway_crowds::{put_limits, request_head, SampledGateway};
use crate::{run_alone, DESCRIPTORS_MAX, LOW_MEMORY_CROWD, LOW_MEMORY_MB};

/// Time for which the endpoint works at a request.
const ENDPOINT_DELAY: Duration = Duration::from_secs(2);

/// Waves of a crowd.
const WAVES: usize = 5;

/// Forms that hold memory in different places.
const FORMS: [CrowdForm; 10] = [
    CrowdForm::ChunksShort(64 * 1024),
    CrowdForm::LengthShort,
    CrowdForm::SmallChunks(BODY_MAX / 2, 4),
    CrowdForm::HalfHead,
    CrowdForm::BytesBehind,
    CrowdForm::Whole,
    CrowdForm::EndlessChunks,
    CrowdForm::Silent,
    CrowdForm::SmallChunks(BODY_MAX / 8, 1),
    CrowdForm::LongHead,
];

fn spawn_gateway() -> SampledGateway {
    SampledGateway::spawn(&format!("memory_mb = {LOW_MEMORY_MB}\n"))
}

fn check_bounds(gateway: &SampledGateway) {
    let sampler = &gateway.sampler;
    sampler.check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
}

/// Guards against a bound that holds for one form only.
#[test]
fn gateway_unlike_forms_bounded() {
    let _alone = run_alone();
    let gateway = spawn_gateway();
    let deployment = &gateway.deployment;
    let head = request_head("/once/x");
    let crowd = Crowd::send(deployment.callers, 2 * LOW_MEMORY_CROWD, &FORMS, &head);
    gateway.check_ordinary("beside the crowd");
    drop(crowd);
    gateway.check_ordinary("after the crowd");
    check_bounds(&gateway);
}

/// Guards against memory of one wave that is not free for the next.
#[test]
fn gateway_waves_bounded() {
    let _alone = run_alone();
    let gateway = spawn_gateway();
    let deployment = &gateway.deployment;
    let head = request_head("/once/x");
    for wave in 0..WAVES {
        let forms = [FORMS[wave], FORMS[wave + 1]];
        let crowd = Crowd::send(deployment.callers, LOW_MEMORY_CROWD, &forms, &head);
        gateway.check_ordinary("beside a wave");
        drop(crowd);
    }
    gateway.check_ordinary("after the waves");
    check_bounds(&gateway);
}

/// Guards against a change of limits that leaves what was read under the limits before
/// without a bound.
#[test]
fn gateway_changed_limits_bounded() {
    let _alone = run_alone();
    let gateway = spawn_gateway();
    let deployment = &gateway.deployment;
    let head = request_head("/once/x");
    let mut crowds = Vec::new();
    for (version, body_max) in [(3, BODY_MAX / 4), (4, 2 * BODY_MAX), (5, BODY_MAX)] {
        let address = deployment.callers;
        crowds.push(Crowd::send(address, LOW_MEMORY_CROWD, &FORMS[..3], &head));
        put_limits(deployment, version, body_max);
        gateway.check_ordinary("under new limits");
    }
    drop(crowds);
    gateway.check_ordinary("after the crowds");
    check_bounds(&gateway);
}

/// Guards against a planned stop that a crowd holds up, or that cuts an ordinary request.
#[test]
fn gateway_stop_beside_crowd() {
    let _alone = run_alone();
    let mut gateway = spawn_gateway();
    let deployment = &gateway.deployment;
    let head = request_head("/once/x");
    let crowd = Crowd::send(deployment.callers, LOW_MEMORY_CROWD, &FORMS, &head);
    let runs = deployment.worker.runs().len();
    deployment.worker.set_delay(ENDPOINT_DELAY);
    let callers = deployment.callers;
    let ordinary = thread::spawn(move || call(callers, "/once/ordinary", KEY));
    wait_until("the ordinary request runs", || {
        deployment.worker.runs().len() > runs
    })
    .unwrap();
    check_bounds(&gateway);
    let processes = &mut gateway.deployment.processes;
    processes.signal("gateway", Signal::SIGTERM).unwrap();
    let response = ordinary.join().unwrap().expect("an answer");
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(processes.wait("gateway").unwrap(), "it ends as planned");
    drop(crowd);
}
