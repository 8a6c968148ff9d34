//! Crowds of unlike forms, in waves, across a change of limits and during a planned stop.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use mulberrywell_testkit::wait_until;
use nix::sys::signal::Signal;

use crate::common::serving_deployment::{call, KEY};
use crate::crowd::{Crowd, CrowdForm, BODY_MAX};
use crate::gateway_crowds::{put_limits, request_head, SampledGateway};
use crate::{run_alone, CROWD, DESCRIPTORS_MAX, LOW_MEMORY_CROWD, LOW_MEMORY_MB, MACHINE_KIB};

/// Time for which the endpoint works at a request.
const ENDPOINT_DELAY: Duration = Duration::from_secs(2);

/// Period in which a process gets a part of a core, and the part: 0.19, as a machine of the
/// users has it.
const CORE_PERIOD: Duration = Duration::from_millis(100);
const CORE_SHARE: Duration = Duration::from_millis(19);

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

/// Guards against turns so long that ordinary requests aren't answered by a process that
/// has a small part of a core, and against bytes that arrive while it has none.
#[test]
fn gateway_part_of_core_serves() {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn("");
    let deployment = &gateway.deployment;
    let head = request_head("/once/x");
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_done.load(Ordering::Relaxed) {
                deployment.processes.suspend("gateway").unwrap();
                thread::sleep(CORE_PERIOD - CORE_SHARE);
                deployment.processes.resume("gateway").unwrap();
                thread::sleep(CORE_SHARE);
            }
        });
        let crowd = Crowd::send(deployment.callers, CROWD, &FORMS, &head);
        wait_until("an ordinary request is answered beside the crowd", || {
            call(deployment.callers, "/once/x", KEY).is_some_and(|it| it.status == 200)
        })
        .unwrap();
        drop(crowd);
        is_done.store(true, Ordering::Relaxed);
    });
    gateway.check_ordinary("after the crowd");
    gateway.sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
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
