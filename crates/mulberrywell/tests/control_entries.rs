//! What entries hold of the configuration while control instances and links
//! fail, in real processes.

mod common;
mod control_common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::engine_config;
use control_common::cut_proxy::CutProxy;
use control_common::ControlGroup;
use mulberrywell_testkit::{
    wait_until, AgentPlan, ClusterPlan, FakeEngine, HttpCaller, ProcessCluster,
};
use nix::sys::signal::Signal;
use serde_json::Value;

/// Changes that an entry does not see.
const CHANGES: u64 = 500;

/// Bound from a withdrawal to the refusal at a connected entry.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

/// Bound from a withdrawal to the refusal at an entry without control.
const CUT_BOUND: Duration = Duration::from_secs(8);

struct ServedGroup {
    group: ControlGroup,
    _engine: FakeEngine,
    key: String,
}

/// Starts three control instances and two entries before one engine.
fn served_group(pace: Duration) -> ServedGroup {
    let mut config = engine_config();
    config.between_tokens = pace;
    let engine = FakeEngine::spawn(config).unwrap();
    let plan = ClusterPlan {
        controls: 3,
        entries: 2,
        agents: vec![AgentPlan::engine("engine-0", "asistente", engine.address())],
        ..ClusterPlan::default()
    };
    let group = ControlGroup::spawn_plan(&plan);
    group.cluster.wait_ready(1).unwrap();
    let key = group.cluster.give_key("medellin", "m1").unwrap();
    ServedGroup {
        group,
        _engine: engine,
        key,
    }
}

fn ready_version(caller: &HttpCaller) -> Option<u64> {
    let answer = caller.call("GET", "/readyz", &[], "").ok()?;
    let value: Value = serde_json::from_str(&answer.body).ok()?;
    value["version"].as_u64()
}

fn wait_refused(cluster: &ProcessCluster, place: usize, key: &str, status: u16) {
    let caller = HttpCaller::new(cluster.callers[place], Some(key));
    wait_until("the key is refused", || {
        let answer = caller.call("GET", "/v1/models", &[], "");
        answer.is_ok_and(|answer| answer.status == status)
    })
    .unwrap();
}

#[test]
fn entry_restarted_after_changes() {
    let mut group = ControlGroup::spawn(3, 1);
    group.cluster.kill("entry-0").unwrap();
    let racer = group.spawn_racer(0, CHANGES);
    let edits = racer.join();
    let last = edits.last().unwrap().version;
    group.cluster.restart("entry-0").unwrap();
    let caller = HttpCaller::new(group.cluster.callers[0], None);
    wait_until("the entry holds the last change", || {
        ready_version(&caller).is_some_and(|version| version >= last)
    })
    .unwrap();
}

#[test]
fn version_never_falls_leader_killed() {
    let mut group = ControlGroup::spawn(3, 1);
    let first = group.edit("first");
    let caller = HttpCaller::new(group.cluster.callers[0], None);
    wait_until("the entry holds the first edit", || {
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
    let racer = group.spawn_racer(0, 40);
    wait_until("edits run", || racer.accepted() > 10).unwrap();
    let leader = group.leader();
    group.cluster.kill(&leader).unwrap();
    let last = racer.join().last().unwrap().version;
    let probe = HttpCaller::new(group.cluster.callers[0], None);
    wait_until("the entry holds the last edit", || {
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
    cluster.operate_well(&["key", "withdraw", "m1"]).unwrap();
    for place in 0..2 {
        wait_refused(cluster, place, &served.key, 401);
    }
    let answer = stream.join().unwrap().unwrap();
    assert!(
        withdrawn.elapsed() < WITHDRAWAL_BOUND,
        "{:?}",
        withdrawn.elapsed()
    );
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert!(
        !answer.body.ends_with("data: [DONE]\n\n"),
        "the stream was not cut"
    );
}

#[test]
fn key_withdrawn_entry_cut_off() {
    let mut served = served_group(Duration::from_millis(50));
    let cluster = &mut served.group.cluster;
    let proxies: Vec<CutProxy> = cluster.links.iter().map(|l| CutProxy::spawn(*l)).collect();
    cluster.kill("entry-0").unwrap();
    let settings = cluster.folder().join("entry-0.toml");
    let mut text = std::fs::read_to_string(&settings).unwrap();
    for (link, proxy) in cluster.links.iter().zip(&proxies) {
        text = text.replace(&link.to_string(), &proxy.address.to_string());
    }
    std::fs::write(&settings, text).unwrap();
    cluster.restart("entry-0").unwrap();
    cluster.wait_ready(1).unwrap();
    let caller = HttpCaller::new(cluster.callers[0], Some(&served.key));
    let stream = std::thread::spawn(move || caller.chat("payroll", "hello", 2_000, true));
    std::thread::sleep(Duration::from_millis(500));
    proxies.iter().for_each(CutProxy::cut);
    let withdrawn = Instant::now();
    cluster.operate_well(&["key", "withdraw", "m1"]).unwrap();
    wait_refused(cluster, 0, &served.key, 503);
    let answer = stream.join().unwrap().unwrap();
    assert!(withdrawn.elapsed() < CUT_BOUND, "{:?}", withdrawn.elapsed());
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert!(
        !answer.body.ends_with("data: [DONE]\n\n"),
        "the stream was not cut"
    );
}

#[test]
fn control_cut_off_refuses() {
    let served = served_group(Duration::from_millis(1));
    let group = &served.group;
    let leader = group.leader();
    let alone = group.others(&leader)[0];
    for idx in (0..3).filter(|idx| *idx != alone) {
        let name = format!("control-{idx}");
        group.cluster.signal(&name, Signal::SIGSTOP).unwrap();
    }
    let stopped = Instant::now();
    wait_until("the instance alone refuses", || {
        let asked = Instant::now();
        let answer = group.operator(alone).call("GET", "/v1/config", &[], "");
        let answer = answer.unwrap_or_default();
        let at_once = asked.elapsed() < Duration::from_millis(500);
        answer.status == 503 && answer.header("Retry-After") == "1" && at_once
    })
    .unwrap();
    for place in 0..2 {
        wait_refused(&group.cluster, place, &served.key, 503);
    }
    assert!(stopped.elapsed() < CUT_BOUND, "{:?}", stopped.elapsed());
    for idx in (0..3).filter(|idx| *idx != alone) {
        let name = format!("control-{idx}");
        group.cluster.signal(&name, Signal::SIGCONT).unwrap();
    }
    group.wait_voters(3);
    for place in 0..2 {
        wait_refused(&group.cluster, place, &served.key, 200);
    }
}
