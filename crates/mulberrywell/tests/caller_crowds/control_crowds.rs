//! Crowds at the port of a control instance for workers and operators.

use mulberrywell_testkit::{free_port, wait_until};
use rstest::rstest;

use crate::common::serving_deployment::{config, DeploymentSettings, ServingDeployment};
use crate::crowd::{Crowd, CrowdForm, UsageSampler};
use crate::gateway_crowds::check_probe;
use crate::{
    run_alone, CROWD, DESCRIPTORS_KEPT, DESCRIPTORS_MAX, LOW_DESCRIPTORS, LOW_DESCRIPTORS_CROWD,
    MACHINE_KIB,
};

const HEAD: &str = "POST /api/config/put HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n";

/// Starts to sample the first control instance.
pub fn sample_control(deployment: &ServingDeployment) -> UsageSampler {
    let id = deployment.processes.id("control-0").unwrap();
    UsageSampler::spawn(id)
}

/// Fails unless the first control instance takes a configuration.
pub fn check_put(deployment: &ServingDeployment, version: u64) {
    wait_until("a configuration is accepted", || {
        deployment.operator.put_at(0, &config(version))
    })
    .unwrap();
}

/// Guards against bodies that a control instance holds without a bound.
#[rstest]
#[case::chunks_short(CrowdForm::ChunksShort(64 * 1024))]
#[case::length_short(CrowdForm::LengthShort)]
#[case::endless_chunks(CrowdForm::EndlessChunks)]
fn control_untold_memory_bounded(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let deployment = ServingDeployment::spawn();
    let sampler = sample_control(&deployment);
    let crowd = Crowd::send(deployment.operator.address(0), CROWD, &[form], HEAD);
    check_put(&deployment, 2);
    drop(crowd);
    check_put(&deployment, 3);
    sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

/// Guards against bodies held at a control instance's port for metrics, and against
/// descriptors used up there.
#[rstest]
#[case::chunks(CrowdForm::ChunksShort(64 * 1024))]
#[case::length(CrowdForm::LengthShort)]
#[case::half_heads(CrowdForm::HalfHead)]
#[case::answered(CrowdForm::Answered)]
fn control_metrics_port_bounded(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let metrics = free_port().unwrap();
    let deployment = ServingDeployment::spawn_with(DeploymentSettings {
        control: &format!("[metrics]\nlisten = \"{metrics}\"\n"),
        descriptors: Some(LOW_DESCRIPTORS),
        ..DeploymentSettings::default()
    });
    let sampler = sample_control(&deployment);
    let head = "GET /metrics HTTP/1.1\r\nHost: h\r\n";
    let crowd = Crowd::send(metrics, LOW_DESCRIPTORS_CROWD, &[form], head);
    check_probe(metrics, "/metrics");
    check_put(&deployment, 2);
    drop(crowd);
    check_put(&deployment, 3);
    sampler.check(MACHINE_KIB, LOW_DESCRIPTORS - DESCRIPTORS_KEPT);
}

/// Guards against a control instance that runs out of descriptors and never accepts again.
#[rstest]
#[case::half_heads(CrowdForm::HalfHead)]
#[case::silent(CrowdForm::Silent)]
fn control_low_descriptors_accepts(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let deployment = ServingDeployment::spawn_limited(LOW_DESCRIPTORS);
    let sampler = sample_control(&deployment);
    let address = deployment.operator.address(0);
    let crowd = Crowd::send(address, LOW_DESCRIPTORS_CROWD, &[form], HEAD);
    check_put(&deployment, 2);
    drop(crowd);
    check_put(&deployment, 3);
    sampler.check(MACHINE_KIB, LOW_DESCRIPTORS - DESCRIPTORS_KEPT);
}
