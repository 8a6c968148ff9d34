//! Reports of workers to the leading control instance.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use common::serving_deployment::{config, ServingDeployment};
use mulberrywell_testkit::{spawn_server, wait_until};
use rstest::rstest;
use serde_json::json;

/// Interval of the worker's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a worker that responds to each call with this status and a report.
fn spawn_worker(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn_server(listener, move |_, response| {
        let models = [json!({"name": "m1", "version": 1, "adapters": []})];
        let report = json!({"stage": "both", "busy": false, "sequence": 7, "models": models});
        response.respond(status, &report)
    });
    address
}

/// Puts a configuration in force in which the worker's service has engines.
fn put_engine_config(deployment: &ServingDeployment) {
    let mut manifest = config(2).manifest();
    let model = json!({"name": "m1", "weights_mb": 10.0, "load_time_s": 0.1, "adapters": 2,
        "adapter_mb": 1.0});
    manifest["services"][0]["engine"] = json!({"slots": 8, "kv_cache_tokens": 100_000,
        "weights_mb": 100.0, "adapter_slots": 2, "loads_per_s": 1.0, "models": [model]});
    let body = manifest.to_string();
    wait_until("the configuration is accepted", || {
        let operator = &deployment.operator;
        let response = operator.call_instance(0, "POST", "/api/config/put", &body);
        response.is_some_and(|(status, _)| status == 200)
    })
    .unwrap();
}

/// A complete error response with the body of a report counted as a report.
#[rstest]
#[case::ok(200, "orders=Some(7)")]
#[case::unavailable(503, "orders=None")]
fn report_used_by_status(#[case] status: u16, #[case] expected: &str) {
    let deployment = ServingDeployment::spawn();
    put_engine_config(&deployment);
    let address = spawn_worker(status);
    let worker = &deployment.worker;
    worker.set_model("m1");
    let inventory = || {
        let names = ["control-0", "control-1", "control-2"];
        let logs = names.map(|name| deployment.processes.log(name)).concat();
        let line = logs
            .lines()
            .find(|line| line.contains("inventory endpoint=w2"));
        line.map(str::to_owned)
    };
    let mut sequence = 0;
    wait_until("the worker was queried", || {
        sequence += 1;
        let heartbeat = worker.heartbeat_at(address, "s1", "ready", sequence);
        assert!(deployment.operator.send_heartbeat("w2", &heartbeat));
        thread::sleep(HEARTBEAT_INTERVAL);
        inventory().is_some()
    })
    .unwrap();
    let line = inventory().unwrap();
    assert!(line.contains(expected), "{line}");
}
