//! Workers that drain or leave, beside the end of all processes of the system.

mod common;

use std::thread;
use std::time::Duration;

use common::serving_deployment::{ServingDeployment, KEY};
use mulberrywell_platform_testkit::FakeWorker;
use mulberrywell_testkit::wait_until;
use rstest::rstest;

const PROCESSES: [&str; 4] = ["control-0", "control-1", "control-2", "gateway"];

/// Time for which killed processes are gone.
const DOWN_TIME: Duration = Duration::from_millis(600);

fn restart_all(deployment: &mut ServingDeployment) {
    for name in PROCESSES {
        deployment.processes.kill(name).unwrap();
    }
    thread::sleep(DOWN_TIME);
    for name in PROCESSES {
        let founded = |text: &str| text.replace("bootstrap = true", "bootstrap = false");
        deployment.processes.edit_settings(name, founded).unwrap();
        deployment.processes.restart(name).unwrap();
    }
}

/// Guards against a confirmed leave call or `draining` that is forgotten when all processes are
/// killed: a heartbeat that was sent before arrives late, and the worker gets requests.
#[rstest]
#[case::leave_at_once("leave", 0, 1)]
#[case::leave("leave", 300, 1)]
#[case::leave_killed_twice("leave", 300, 2)]
#[case::draining_at_once("draining", 0, 1)]
#[case::draining_killed_twice("draining", 300, 2)]
fn ended_worker_gets_no_request(#[case] call: &str, #[case] gap_ms: u64, #[case] kills: usize) {
    let mut deployment = ServingDeployment::spawn();
    let other = FakeWorker::spawn("w2").unwrap();
    let mut sequence = 1;
    assert!(deployment
        .operator
        .send_heartbeat("w2", &other.heartbeat("s1", "ready", sequence)));
    let late = deployment.worker.heartbeat("s1", "ready", 2);
    wait_until("the end is confirmed", || match call {
        "leave" => {
            let path = "/api/instances/w1/leave";
            let answer = deployment
                .operator
                .call_instance(1, "POST", path, "{\"born\":1000}");
            answer.is_some_and(|(status, _)| status == 200)
        }
        state => {
            let heartbeat = deployment.worker.heartbeat("s1", state, 3);
            deployment.operator.send_heartbeat("w1", &heartbeat)
        }
    })
    .unwrap();
    thread::sleep(Duration::from_millis(gap_ms));
    for _ in 0..kills {
        restart_all(&mut deployment);
        thread::sleep(Duration::from_secs(2));
    }
    assert!(deployment.operator.send_heartbeat("w1", &late));
    wait_until("the other worker serves", || {
        sequence += 1;
        let heartbeat = other.heartbeat("s1", "ready", sequence);
        deployment.operator.send_heartbeat("w2", &heartbeat);
        deployment.call("/once/1", KEY).status == 200
    })
    .unwrap();
    for number in 0..30 {
        sequence += 1;
        let heartbeat = other.heartbeat("s1", "ready", sequence);
        deployment.operator.send_heartbeat("w2", &heartbeat);
        let path = format!("/once/{number}");
        assert_eq!(deployment.call(&path, KEY).status, 200);
    }
    let runs = deployment.worker.runs();
    assert!(
        runs.is_empty(),
        "{} requests reached the worker",
        runs.len()
    );
}
