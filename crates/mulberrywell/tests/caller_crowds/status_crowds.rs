//! Crowds that claim to be endpoints, at the port of a control instance for workers.

use mulberrywell_testkit::{wait_until, HttpCaller};
use serde_json::json;

use crate::common::serving_deployment::{DeploymentSettings, ServingDeployment, KEY};
use crate::control_crowds::sample_control;
use crate::crowd::UsageSampler;
use crate::gateway_crowds::ANSWER_TIMEOUT;
use crate::{run_alone, LOW_MEMORY_MB, STATUS_CROWD};

/// Descriptors that a process beside such a crowd uses at most.
const DESCRIPTORS_MAX: u64 = 1_500;

/// Models that each endpoint claims to have in memory, and the length of their names.
const MODELS: usize = 270;
const NAME_LEN: usize = 200;

/// Guards against statuses of more and more endpoints that control instances and gateways
/// keep without a bound, and against a bound that keeps other endpoints out for good.
#[test]
fn control_endpoint_statuses_bounded() {
    let _alone = run_alone();
    let limits = format!("[callers]\nmemory_mb = {LOW_MEMORY_MB}\n");
    let deployment = ServingDeployment::spawn_with(DeploymentSettings {
        gateway: &limits,
        control: &limits,
        ..DeploymentSettings::default()
    });
    let control = sample_control(&deployment);
    let gateway = UsageSampler::spawn(deployment.processes.id("gateway").unwrap());
    let address = deployment.operator.address(0);
    let caller = HttpCaller::with_timeout(address, None, ANSWER_TIMEOUT);
    let mut refused = 0;
    for number in 0..STATUS_CROWD {
        let name = format!("{number:0NAME_LEN$}");
        let status = json!({
            "service": "other", "address": format!("127.1.{}.{}:9", number / 250, number % 250 + 1),
            "zone": "zone-a", "state": "ready", "sequence": 1,
            "at_hand": {"in_memory": vec![name; MODELS]},
        });
        let path = format!("/api/instances/fake-{number}/heartbeat");
        let response = caller.call("POST", &path, &[], &status.to_string());
        refused += usize::from(response.is_ok_and(|response| response.status == 503));
    }
    let heartbeat = deployment.worker.heartbeat("s1", "ready", 2);
    assert!(deployment.operator.send_heartbeat("w1", &heartbeat));
    wait_until("a new endpoint is accepted", || {
        let status = json!({
            "service": "other", "address": "127.2.0.1:9", "zone": "zone-a", "state": "ready",
            "sequence": 1,
        });
        let path = "/api/instances/w2/heartbeat";
        let response = caller.call("POST", path, &[], &status.to_string());
        response.is_ok_and(|response| response.status == 200)
    })
    .unwrap();
    assert_eq!(deployment.call("/once/x", KEY).status, 200);
    control.check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
    gateway.check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
    assert!(refused > 0, "the crowd is one");
}
