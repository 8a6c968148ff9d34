//! Crowds at the port of a control instance for the links of the system's own processes.

use rstest::rstest;

use crate::common::serving_deployment::{call, DeploymentSettings, ServingDeployment, KEY};
use crate::control_crowds::{check_put, sample_control};
use crate::crowd::{Crowd, CrowdForm};
use crate::{
    run_alone, DESCRIPTORS_KEPT, LINK_CROWD, LOW_DESCRIPTORS, LOW_DESCRIPTORS_CROWD, LOW_MEMORY_MB,
    MACHINE_KIB,
};

/// Descriptors that a process beside a crowd of links uses at most.
const DESCRIPTORS_MAX: u64 = 1_500;

/// Guards against a crowd that uses the descriptors kept for others, by connections that
/// never show that they are links.
#[rstest]
#[case::silent(CrowdForm::Silent)]
#[case::frame_part(CrowdForm::FramePart)]
fn link_port_low_descriptors_accepts(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let deployment = ServingDeployment::spawn_limited(LOW_DESCRIPTORS);
    let sampler = sample_control(&deployment);
    let crowd = Crowd::send(deployment.seeds[0], LOW_DESCRIPTORS_CROWD, &[form], "");
    check_put(&deployment, 2);
    drop(crowd);
    check_put(&deployment, 3);
    sampler.check(MACHINE_KIB, LOW_DESCRIPTORS - DESCRIPTORS_KEPT);
}

/// Guards against memory held for connections that never show that they are links.
#[test]
fn link_port_low_memory_bounded() {
    let _alone = run_alone();
    let deployment = ServingDeployment::spawn_with(DeploymentSettings {
        control: &format!("[callers]\nmemory_mb = {LOW_MEMORY_MB}\n"),
        ..DeploymentSettings::default()
    });
    let sampler = sample_control(&deployment);
    let forms = [CrowdForm::FramePart];
    let crowd = Crowd::send(deployment.seeds[0], LINK_CROWD, &forms, "");
    check_put(&deployment, 2);
    drop(crowd);
    check_put(&deployment, 3);
    sampler.check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
}

/// Guards against processes that can't open their links while a crowd has all connections
/// that descriptors allow.
#[test]
fn link_port_crowd_keeps_deployment() {
    let _alone = run_alone();
    let mut deployment = ServingDeployment::spawn_limited(LOW_DESCRIPTORS);
    let sampler = sample_control(&deployment);
    let forms = [CrowdForm::Silent, CrowdForm::FramePart];
    let crowds: Vec<Crowd> = deployment
        .seeds
        .iter()
        .map(|address| Crowd::send(*address, LOW_DESCRIPTORS_CROWD, &forms, ""))
        .collect();
    let callers = deployment.add_gateway("gateway-1");
    let response = call(callers, "/once/x", KEY);
    assert_eq!(response.expect("an answer").status, 200);
    drop(crowds);
    sampler.check(MACHINE_KIB, LOW_DESCRIPTORS - DESCRIPTORS_KEPT);
}
