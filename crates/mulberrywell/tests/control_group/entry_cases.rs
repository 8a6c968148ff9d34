//! Tests of the configuration at entries while control instances and links fail.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberrywell_testkit::{
    wait_until, AgentPlan, ClusterPlan, FakeEngine, HttpCaller, ProcessCluster, ANY_PROCESS,
};
use nix::sys::signal::Signal;
use serde_json::Value;

use crate::common::engine_config;
use crate::group_helper::ControlGroup;

/// Changes made while the entry is down.
const CHANGES: u64 = 500;

/// Limit of the time from a key's withdrawal to its refusal by a connected entry.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

/// Limit of the time from a key's withdrawal to its refusal by an entry that has no
/// connection to a control instance.
const ISOLATION_BOUND: Duration = Duration::from_secs(8);

/// Limit of the time from a drain until no new requests are admitted.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

struct ServedGroup {
    group: ControlGroup,
    _engine: FakeEngine,
    key: String,
}

/// Starts three control instances, two entries and one engine.
fn served_group(token_interval: Duration) -> ServedGroup {
    served_group_with(token_interval, ClusterPlan::default())
}

/// Starts the same group with the options and extra settings of a plan.
fn served_group_with(token_interval: Duration, plan: ClusterPlan) -> ServedGroup {
    let mut config = engine_config();
    config.between_tokens = token_interval;
    let engine = FakeEngine::spawn(config).unwrap();
    let plan = ClusterPlan {
        controls: 3,
        entries: 2,
        agents: vec![AgentPlan::engine("engine-0", "asistente", engine.address())],
        ..plan
    };
    let group = ControlGroup::spawn_plan(&plan);
    group.cluster.wait_ready(1).unwrap();
    let key = group.cluster.create_key("medellin", "m1").unwrap();
    ServedGroup {
        group,
        _engine: engine,
        key,
    }
}

pub fn ready_version(caller: &HttpCaller) -> Option<u64> {
    let response = caller.call("GET", "/readyz", &[], "").ok()?;
    let value: Value = serde_json::from_str(&response.body).ok()?;
    value["version"].as_u64()
}

fn wait_status(cluster: &ProcessCluster, index: usize, key: &str, status: u16) {
    let caller = HttpCaller::new(cluster.callers[index], Some(key));
    wait_until("requests with the key get the expected status", || {
        let response = caller.call("GET", "/v1/models", &[], "");
        response.is_ok_and(|response| response.status == status)
    })
    .unwrap();
}

#[test]
fn entry_restarted_after_changes() {
    let mut group = ControlGroup::spawn(3, 1);
    group.cluster.kill("entry-0").unwrap();
    let worker = group.spawn_edit_worker(0, CHANGES);
    let edits = worker.join();
    let last = edits.last().unwrap().version;
    group.cluster.restart("entry-0").unwrap();
    let caller = HttpCaller::new(group.cluster.callers[0], None);
    wait_until("the entry has the last change", || {
        ready_version(&caller).is_some_and(|version| version >= last)
    })
    .unwrap();
}

#[test]
fn version_monotonic_leader_killed() {
    let mut group = ControlGroup::spawn(3, 1);
    let first = group.edit("first");
    let caller = HttpCaller::new(group.cluster.callers[0], None);
    wait_until("the entry has the first edit", || {
        ready_version(&caller).is_some_and(|version| version >= first)
    })
    .unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let watcher = std::thread::spawn(move || {
        let mut versions = Vec::new();
        while !stopped.load(Ordering::Relaxed) {
            versions.extend(ready_version(&caller));
        }
        versions
    });
    let worker = group.spawn_edit_worker(0, 40);
    wait_until("edits are being accepted", || worker.accepted() > 10).unwrap();
    let leader = group.leader();
    group.cluster.kill(&leader).unwrap();
    let last = worker.join().last().unwrap().version;
    let probe = HttpCaller::new(group.cluster.callers[0], None);
    wait_until("the entry has the last edit", || {
        ready_version(&probe).is_some_and(|version| version >= last)
    })
    .unwrap();
    stop.store(true, Ordering::Relaxed);
    let versions = watcher.join().unwrap();
    assert!(
        versions.windows(2).all(|pair| pair[0] <= pair[1]),
        "{versions:?}"
    );
}

#[test]
fn key_withdrawn_stream_cut() {
    let served = served_group(Duration::from_millis(50));
    let cluster = &served.group.cluster;
    let caller = HttpCaller::new(cluster.callers[0], Some(&served.key));
    let stream = std::thread::spawn(move || caller.chat("payroll", "hello", 2_000, true));
    std::thread::sleep(Duration::from_millis(500));
    let withdrawn = Instant::now();
    cluster.operate_ok(&["key", "withdraw", "m1"]).unwrap();
    for index in 0..2 {
        wait_status(cluster, index, &served.key, 401);
    }
    let response = stream.join().unwrap().unwrap();
    assert!(
        withdrawn.elapsed() < WITHDRAWAL_BOUND,
        "{:?}",
        withdrawn.elapsed()
    );
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(
        !response.body.ends_with("data: [DONE]\n\n"),
        "the stream was not cut"
    );
}

#[test]
fn key_withdrawn_entry_cut_off() {
    let plan = ClusterPlan {
        proxied: true,
        ..ClusterPlan::default()
    };
    let served = served_group_with(Duration::from_millis(50), plan);
    let cluster = &served.group.cluster;
    let caller = HttpCaller::new(cluster.callers[0], Some(&served.key));
    let stream = std::thread::spawn(move || caller.chat("payroll", "hello", 2_000, true));
    std::thread::sleep(Duration::from_millis(500));
    for proxy in cluster.proxies_of("entry-0") {
        proxy.stall();
    }
    let withdrawn = Instant::now();
    cluster.operate_ok(&["key", "withdraw", "m1"]).unwrap();
    wait_status(cluster, 0, &served.key, 503);
    let response = stream.join().unwrap().unwrap();
    assert!(
        withdrawn.elapsed() < ISOLATION_BOUND,
        "{:?}",
        withdrawn.elapsed()
    );
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(
        !response.body.ends_with("data: [DONE]\n\n"),
        "the stream was not cut"
    );
}

#[test]
fn control_without_quorum_refuses() {
    let served = served_group(Duration::from_millis(1));
    let group = &served.group;
    let leader = group.leader();
    let isolated = group.others(&leader)[0];
    for idx in (0..3).filter(|idx| *idx != isolated) {
        let name = format!("control-{idx}");
        group.cluster.signal(&name, Signal::SIGSTOP).unwrap();
    }
    let stopped = Instant::now();
    wait_until("the isolated instance refuses requests", || {
        let asked = Instant::now();
        let response = group.operator(isolated).call("GET", "/v1/config", &[], "");
        let response = response.unwrap_or_default();
        let at_once = asked.elapsed() < Duration::from_millis(500);
        response.status == 503 && response.header("Retry-After") == "1" && at_once
    })
    .unwrap();
    for index in 0..2 {
        wait_status(&group.cluster, index, &served.key, 503);
    }
    assert!(
        stopped.elapsed() < ISOLATION_BOUND,
        "{:?}",
        stopped.elapsed()
    );
    for idx in (0..3).filter(|idx| *idx != isolated) {
        let name = format!("control-{idx}");
        group.cluster.signal(&name, Signal::SIGCONT).unwrap();
    }
    group.wait_voters(3);
    for index in 0..2 {
        wait_status(&group.cluster, index, &served.key, 200);
    }
}

fn endpoint_field(group: &ControlGroup, name: &str, field: &str) -> Value {
    let shown = group.read("/v1/endpoints").unwrap_or_default();
    let listed = shown["endpoints"].as_array().cloned().unwrap_or_default();
    let found = listed.into_iter().find(|item| item["name"] == name);
    found.map_or(Value::Null, |item| item[field].clone())
}

fn endpoint_state(group: &ControlGroup, name: &str) -> String {
    let state = endpoint_field(group, name, "state");
    state.as_str().unwrap_or("").to_owned()
}

#[test]
fn endpoint_drained_no_new_requests() {
    let served = served_group(Duration::from_millis(1));
    let cluster = &served.group.cluster;
    let caller = HttpCaller::new(cluster.callers[0], Some(&served.key));
    assert_eq!(
        caller.chat("payroll", "hello", 2, false).unwrap().status,
        200
    );
    cluster
        .operate_ok(&["endpoint", "drain", "engine-0"])
        .unwrap();
    let drained = Instant::now();
    assert_eq!(
        endpoint_state(&served.group, "engine-0"),
        "ENDPOINT_STATE_LEAVING"
    );
    for index in 0..2 {
        let caller = HttpCaller::new(cluster.callers[index], Some(&served.key));
        wait_until("new requests are refused", || {
            caller
                .chat("payroll", "hello", 2, false)
                .is_ok_and(|response| response.status == 503)
        })
        .unwrap();
    }
    assert!(drained.elapsed() < DRAIN_BOUND, "{:?}", drained.elapsed());
}

#[test]
fn endpoint_kept_leader_killed() {
    let plan = ClusterPlan {
        control_extra: "suspect_after_ms = 700\ngone_after_ms = 1500".to_owned(),
        ..ClusterPlan::default()
    };
    let mut served = served_group_with(Duration::from_millis(1), plan);
    let fencing = endpoint_field(&served.group, "engine-0", "fencing");
    let leader = served.group.leader();
    served.group.cluster.kill(&leader).unwrap();
    wait_until("the leader has changed", || served.group.leader() != leader).unwrap();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        std::thread::sleep(Duration::from_millis(50));
    }
    wait_until("the endpoint is live", || {
        endpoint_state(&served.group, "engine-0") == "ENDPOINT_STATE_LIVE"
    })
    .unwrap();
    // The token would be higher if the endpoint had been gone and had registered
    // again.
    assert_eq!(
        endpoint_field(&served.group, "engine-0", "fencing"),
        fencing
    );
}

/// Restarts an entry so that it connects to a given control instance; afterwards it
/// can reach all of them again.
fn pin_entry(group: &mut ControlGroup, entry: &str, control: &str) {
    let others = group.others(control);
    let proxy_to = |group: &ControlGroup, idx: usize, stalled: bool| {
        let proxy = group
            .cluster
            .proxy(entry, &format!("control-{idx}"))
            .unwrap();
        if stalled {
            proxy.stall();
        } else {
            proxy.heal();
        }
    };
    others.iter().for_each(|idx| proxy_to(group, *idx, true));
    group.cluster.kill(entry).unwrap();
    group.cluster.restart(entry).unwrap();
    let caller = HttpCaller::new(group.cluster.callers[0], None);
    wait_until("the entry is connected", || {
        ready_version(&caller).is_some_and(|version| version > 0)
    })
    .unwrap();
    others.iter().for_each(|idx| proxy_to(group, *idx, false));
}

/// Stalls all links between a control instance and the others without closing them;
/// entries can still reach it.
fn isolate_control(group: &ControlGroup, control: &str) {
    for idx in 0..3 {
        let name = format!("control-{idx}");
        group.cluster.proxy(ANY_PROCESS, &name).unwrap().stall();
        if name != control {
            group.cluster.proxy(control, &name).unwrap().stall();
            group.cluster.proxy(&name, control).unwrap().stall();
        }
    }
}

/// Guards against stale reads and a stuck entry while the leader is cut off from the
/// other members for longer than every limit.
#[test]
fn leader_cut_off_silently() {
    let plan = ClusterPlan {
        controls: 3,
        entries: 1,
        proxied: true,
        ..ClusterPlan::default()
    };
    let mut group = ControlGroup::spawn_plan(&plan);
    let before = group.edit("before the cut");
    let leader = group.leader();
    pin_entry(&mut group, "entry-0", &leader);
    isolate_control(&group, &leader);
    let cut = Instant::now();
    let others = group.others(&leader);
    let after = group.edit_at(&others, "during the cut");
    assert!(after > before);
    let isolated = leader.trim_start_matches("control-").parse().unwrap();
    let caller = HttpCaller::new(group.cluster.callers[0], None);
    let mut entry_version = 0;
    while cut.elapsed() < ISOLATION_BOUND {
        let response = group
            .operator(isolated)
            .call("GET", "/v1/config", &[], "")
            .unwrap();
        let shown: Value = serde_json::from_str(&response.body).unwrap();
        let stale = response.status == 200 && shown["version"].as_u64() < Some(after);
        assert!(!stale, "{}", response.body);
        let version = ready_version(&caller).unwrap_or(entry_version);
        assert!(version >= entry_version);
        entry_version = version;
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(
        entry_version >= after,
        "the entry did not move to a connected member"
    );
    for idx in 0..3 {
        let name = format!("control-{idx}");
        group
            .cluster
            .proxies_of(&name)
            .iter()
            .for_each(|proxy| proxy.heal());
    }
    group.wait_voters(3);
    let digests = group.wait_equal_digests(&[0, 1, 2]);
    assert!(digests.iter().all(|digest| *digest == digests[0]));
}
