//! Tests of all promises under faults: real processes behind proxies, with a fixed
//! seed.

#[path = "../common/mod.rs"]
mod common;
mod fault_cluster;
mod long_run;

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use fault_cluster::{run_and_check, wait_completed, RunPlan, TWO_ACCOUNTS};
use mulberrywell_testkit::{wait_until, FakeService, FlowFault, ProcessCluster, ANY_PROCESS};

/// A run with faults and one control instance.
const SHORT_RUN: RunPlan = RunPlan {
    controls: 1,
    calls: 400,
    accounts: &TWO_ACCOUNTS,
    extra_plans: "",
    served_min: 100,
};

/// A run without faults.
const FAULT_FREE_RUN: RunPlan = RunPlan {
    served_min: 150,
    ..SHORT_RUN
};

/// A run with three control instances.
const CONTROL_RUN: RunPlan = RunPlan {
    controls: 3,
    ..SHORT_RUN
};

/// Waits until a service is running a call.
fn wait_running(service: &FakeService) {
    wait_until("a call is running", || service.records().running() > 0).unwrap();
}

/// Delays and cuts links, and suspends, kills and restarts processes, one after the
/// other.
fn inject_faults(cluster: &mut ProcessCluster, services: &[FakeService], completed: &AtomicU64) {
    let split_writes = FlowFault {
        delay: Duration::from_millis(3),
        jitter: Duration::from_millis(5),
        max_write_len: 7,
        ..FlowFault::default()
    };
    wait_completed(completed, 30);
    let engine_0 = cluster.proxy(ANY_PROCESS, "agent-engine-0").unwrap();
    engine_0.set_both(split_writes);
    wait_completed(completed, 60);
    engine_0.heal();
    engine_0.reset();
    let payments_0 = cluster.proxy(ANY_PROCESS, "agent-payments-0").unwrap();
    wait_running(&services[0]);
    payments_0.reset();
    services[1].drop_next_responses(3);
    wait_completed(completed, 90);
    wait_running(&services[0]);
    payments_0.stall();
    wait_completed(completed, 110);
    payments_0.heal();
    cluster.kill("entry-1").unwrap();
    wait_completed(completed, 150);
    cluster.restart("entry-1").unwrap();
    cluster.suspend("agent-engine-1").unwrap();
    wait_completed(completed, 180);
    cluster.resume("agent-engine-1").unwrap();
    wait_running(&services[1]);
    cluster.kill("agent-payments-1").unwrap();
    wait_completed(completed, 220);
    cluster.restart("agent-payments-1").unwrap();
    let entry_0 = cluster.proxy("entry-0", "control-0").unwrap();
    entry_0.stall();
    wait_completed(completed, 250);
    entry_0.heal();
    cluster.kill("agent-engine-0").unwrap();
    wait_completed(completed, 290);
    cluster.restart("agent-engine-0").unwrap();
    cluster.proxy("entry-0", "control-0").unwrap().reset();
}

#[test]
fn promises_kept_without_faults() {
    let (_, others) = run_and_check(FAULT_FREE_RUN, |_, _, _| {});
    assert_eq!(others, vec![]);
}

#[test]
fn promises_kept_under_faults() {
    let (_, others) = run_and_check(SHORT_RUN, inject_faults);
    assert_eq!(others, vec![]);
}

/// Kills and restarts each control instance in turn, including the leader, and
/// then injects the other faults.
fn inject_control_faults(
    cluster: &mut ProcessCluster,
    services: &[FakeService],
    completed: &AtomicU64,
) {
    for idx in 0..3 {
        let name = format!("control-{idx}");
        cluster.kill(&name).unwrap();
        wait_completed(completed, 10 + 8 * idx);
        cluster.restart(&name).unwrap();
        wait_until("a control instance answers again", || {
            cluster.operate_ok(&["show", "config", "--json"]).is_ok()
        })
        .unwrap();
    }
    inject_faults(cluster, services, completed);
}

#[test]
fn promises_kept_while_control_restarts() {
    let (_, others) = run_and_check(CONTROL_RUN, inject_control_faults);
    assert_eq!(others, vec![]);
}

#[test]
fn rate_kept_without_faults() {
    let (rate, _) = run_and_check(FAULT_FREE_RUN, |_, _, _| {});
    assert_eq!(rate, vec![]);
}

#[test]
fn rate_kept_under_faults() {
    let (rate, _) = run_and_check(SHORT_RUN, inject_faults);
    assert_eq!(rate, vec![]);
}
