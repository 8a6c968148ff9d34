//! All promises under faults: real processes behind proxies, a fixed seed.

#[path = "../common/mod.rs"]
mod common;
mod fault_cluster;
mod long_run;

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use fault_cluster::{run_checked, wait_ended, RunPlan, TWO_ACCOUNTS};
use mulberrywell_testkit::{wait_until, FakeService, FlowFault, ProcessCluster, ANY_PROCESS};

/// A run with faults, behind one control instance.
const SHORT_RUN: RunPlan = RunPlan {
    controls: 1,
    calls: 400,
    accounts: &TWO_ACCOUNTS,
    more_plans: "",
    served_min: 100,
};

/// A run without faults.
const SHORT_QUIET: RunPlan = RunPlan {
    served_min: 150,
    ..SHORT_RUN
};

/// A run behind three control instances.
const CONTROL_RUN: RunPlan = RunPlan {
    controls: 3,
    ..SHORT_RUN
};

/// Waits until a service has a call in work.
fn wait_running(service: &FakeService) {
    wait_until("a call is in work", || service.records().running() > 0).unwrap();
}

/// Cuts, delays, freezes, kills and restarts, one after the other.
fn disturb(cluster: &mut ProcessCluster, services: &[FakeService], ended: &AtomicU64) {
    let chopped = FlowFault {
        delay: Duration::from_millis(3),
        jitter: Duration::from_millis(5),
        chop_len: 7,
        ..FlowFault::default()
    };
    wait_ended(ended, 30);
    let engine_0 = cluster.proxy(ANY_PROCESS, "agent-engine-0").unwrap();
    engine_0.set_both(chopped);
    wait_ended(ended, 60);
    engine_0.heal();
    engine_0.reset();
    let payments_0 = cluster.proxy(ANY_PROCESS, "agent-payments-0").unwrap();
    wait_running(&services[0]);
    payments_0.reset();
    services[1].leave_unanswered(3);
    wait_ended(ended, 90);
    wait_running(&services[0]);
    payments_0.stall();
    wait_ended(ended, 110);
    payments_0.heal();
    cluster.kill("entry-1").unwrap();
    wait_ended(ended, 150);
    cluster.restart("entry-1").unwrap();
    cluster.freeze("agent-engine-1").unwrap();
    wait_ended(ended, 180);
    cluster.thaw("agent-engine-1").unwrap();
    wait_running(&services[1]);
    cluster.kill("agent-payments-1").unwrap();
    wait_ended(ended, 220);
    cluster.restart("agent-payments-1").unwrap();
    let entry_0 = cluster.proxy("entry-0", "control-0").unwrap();
    entry_0.stall();
    wait_ended(ended, 250);
    entry_0.heal();
    cluster.kill("agent-engine-0").unwrap();
    wait_ended(ended, 290);
    cluster.restart("agent-engine-0").unwrap();
    cluster.proxy("entry-0", "control-0").unwrap().reset();
}

#[test]
fn promises_kept_without_faults() {
    let (_, others) = run_checked(SHORT_QUIET, |_, _, _| {});
    assert_eq!(others, vec![]);
}

#[test]
fn promises_kept_under_faults() {
    let (_, others) = run_checked(SHORT_RUN, disturb);
    assert_eq!(others, vec![]);
}

/// Kills each control instance in turn, one of which leads, besides all else.
fn disturb_control(cluster: &mut ProcessCluster, services: &[FakeService], ended: &AtomicU64) {
    for idx in 0..3 {
        let name = format!("control-{idx}");
        cluster.kill(&name).unwrap();
        wait_ended(ended, 10 + 8 * idx);
        cluster.restart(&name).unwrap();
        wait_until("control serves again", || {
            cluster.operate_well(&["show", "config", "--json"]).is_ok()
        })
        .unwrap();
    }
    disturb(cluster, services, ended);
}

#[test]
fn promises_kept_while_control_restarts() {
    let (_, others) = run_checked(CONTROL_RUN, disturb_control);
    assert_eq!(others, vec![]);
}

#[test]
fn rate_kept_without_faults() {
    let (rate, _) = run_checked(SHORT_QUIET, |_, _, _| {});
    assert_eq!(rate, vec![]);
}

#[test]
fn rate_kept_under_faults() {
    let (rate, _) = run_checked(SHORT_RUN, disturb);
    assert_eq!(rate, vec![]);
}
