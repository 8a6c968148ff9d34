//! Crowds whose requests take more memory once they are decoded than they have bytes.

use std::net::SocketAddr;
use std::time::Duration;

use mulberrywell_testkit::HttpCaller;
use rstest::rstest;

use crate::common::serving_deployment::{DeploymentSettings, ServingDeployment};
use crate::control_crowds::{check_put, sample_control};
use crate::crowd::{Crowd, CrowdForm, ItemBody, BODY_MAX};
use crate::gateway_crowds::{request_head, SampledGateway};
use crate::{run_alone, DECODED_CROWD, LOW_MEMORY_MB, MACHINE_KIB, PARTS_CROWD};

/// Time for which the endpoint works at a request of a crowd.
const ENDPOINT_DELAY: Duration = Duration::from_secs(2);

/// Timeout of a call with a large configuration, which a debug build beside load takes
/// a while to decode, verify and store.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(120);

/// Descriptors that a process beside such a crowd uses at most.
const DESCRIPTORS_MAX: u64 = 1_500;

const HEARTBEAT: &str = "/api/instances/w9/heartbeat";
const CONFIG: &str = "/api/config/put";

/// A worker's report with many cached models, without names.
const CACHED: ItemBody = ItemBody {
    before: r#"{"service":"s1","address":"127.0.0.1:1","zone":"z","state":"ready","sequence":1,"at_hand":{"in_memory":["#,
    item: r#""""#,
    after: "]}}",
};

/// A worker's report with many models.
const MODELS: ItemBody = ItemBody {
    before: r#"{"service":"s1","address":"127.0.0.1:1","zone":"z","state":"ready","sequence":1,"models":["#,
    item: r#"{"name":""}"#,
    after: "]}",
};

/// A configuration with many services, all with one name.
const SERVICES: ItemBody = ItemBody {
    before: r#"{"version":9,"routes":[],"services":["#,
    item: r#"{"name":""}"#,
    after: "]}",
};

/// A configuration with many keys of one account, all the same.
const KEYS: ItemBody = ItemBody {
    before: r#"{"version":9,"routes":[],"services":[],"tenants":[{"name":"n","api_keys":["#,
    item: r#""""#,
    after: "]}]}",
};

/// A configuration with many routes that have several faults each.
const ROUTES: ItemBody = ItemBody {
    before: r#"{"version":9,"services":[],"routes":["#,
    item: r#"{"host":"","path_prefix":"","kind":"","timeout_ms":0}"#,
    after: "]}",
};

/// A configuration with an account whose keys are all the same.
const NAMED_KEYS: ItemBody = ItemBody {
    before: r#"{"version":9,"routes":[],"services":[],"tenants":[{"name":"NAME","api_keys":["#,
    item: r#""""#,
    after: "]}]}",
};

/// A configuration with a route to services that are not known.
const NAMED_SHARES: ItemBody = ItemBody {
    before: r#"{"version":9,"services":[],"routes":[{"name":"NAME","host":"h","path_prefix":"/","kind":"safe","timeout_ms":1,"split":["#,
    item: r#"{"service":"a","weight":1}"#,
    after: "]}]}",
};

fn spawn_low_memory_control() -> ServingDeployment {
    ServingDeployment::spawn_with(DeploymentSettings {
        control: &format!("[callers]\nmemory_mb = {LOW_MEMORY_MB}\n"),
        ..DeploymentSettings::default()
    })
}

/// Guards against bodies that control instances decode into many times their length.
#[rstest]
#[case::cached(HEARTBEAT, CACHED)]
#[case::models(HEARTBEAT, MODELS)]
#[case::services(CONFIG, SERVICES)]
#[case::keys(CONFIG, KEYS)]
#[case::routes(CONFIG, ROUTES)]
fn control_decoded_bodies_bounded(
    #[case] path: &str,
    #[case] body: ItemBody,
    #[values(BODY_MAX, BODY_MAX / 8)] len: usize,
) {
    let _alone = run_alone();
    let deployment = spawn_low_memory_control();
    let sampler = sample_control(&deployment);
    let address = deployment.operator.address(0);
    let head = format!("POST {path} HTTP/1.1\r\nHost: h\r\n");
    let crowd = Crowd::send(
        address,
        DECODED_CROWD,
        &[CrowdForm::Items(body, len)],
        &head,
    );
    check_put(&deployment, 2);
    drop(crowd);
    check_put(&deployment, 3);
    sampler.check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
}

/// Guards against findings of one configuration that repeat a long name without a bound.
#[rstest]
#[case::account(NAMED_KEYS)]
#[case::route(NAMED_SHARES)]
fn control_repeated_findings_bounded(#[case] body: ItemBody) {
    const NAME_LEN: usize = 1024 * 1024;
    const ITEMS: usize = 500;
    let _alone = run_alone();
    let deployment = spawn_low_memory_control();
    let sampler = sample_control(&deployment);
    let name = "n".repeat(NAME_LEN);
    let text = body.text_of(ITEMS).replace("NAME", &name);
    assert_eq!(send_config(deployment.operator.address(0), &text), 400);
    check_put(&deployment, 2);
    sampler.check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
}

/// Guards against limits that a single large configuration meets.
#[test]
fn control_config_at_limit_accepted() {
    const ROUTE: &str = r#"{"name":"r-NUMBER","host":"h-NUMBER.example","path_prefix":"/p/","kind":"streaming","timeout_ms":12000,"goal_ms":5000,"priority":1,"service":"s1","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_goal_ms":600}"#;
    let _alone = run_alone();
    let deployment = ServingDeployment::spawn();
    let sampler = sample_control(&deployment);
    let before = r#"{"version":2,"services":[{"name":"s1"}],"tenants":[],"routes":["#;
    let mut body = before.to_owned();
    for number in 0.. {
        let route = ROUTE.replace("NUMBER", &number.to_string());
        if body.len() + route.len() + 3 > BODY_MAX {
            break;
        }
        body.push_str(&route);
        body.push(',');
    }
    body.pop();
    body.push_str("]}");
    assert_eq!(send_config(deployment.operator.address(0), &body), 200);
    check_put(&deployment, 3);
    sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

fn send_config(address: SocketAddr, body: &str) -> u16 {
    let caller = HttpCaller::with_timeout(address, None, CONFIG_TIMEOUT);
    let response = caller.call("POST", CONFIG, &[], body).expect("a response");
    response.status
}

/// Guards against short requests in flight that list more parts of a prompt than any other.
#[test]
fn gateway_prompt_parts_bounded() {
    const PARTS_LEN: usize = 15_000;
    let _alone = run_alone();
    let settings = format!("[callers]\nmemory_mb = {LOW_MEMORY_MB}\nreceive_kib = 4\n");
    let gateway = SampledGateway::spawn(&settings);
    let deployment = &gateway.deployment;
    deployment.worker.set_delay(ENDPOINT_DELAY);
    let parts = ":1,".repeat(PARTS_LEN / 3);
    let head = format!("{}Prompt-Prefix: {parts}:1\r\n", request_head("/once/x"));
    let callers = deployment.callers;
    let crowd = Crowd::send(callers, PARTS_CROWD, &[CrowdForm::Short], &head);
    deployment.worker.set_delay(Duration::ZERO);
    gateway.check_ordinary("beside the crowd");
    drop(crowd);
    gateway
        .sampler
        .check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
}
