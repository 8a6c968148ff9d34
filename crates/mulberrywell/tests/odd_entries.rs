//! Odd entries of another writer beside the heartbeats of sound workers, with real
//! processes: three control instances, two gateways and three workers under load.

mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::serving_deployment::{call, config, ServingDeployment, KEY};
use common::worker_fleet::{count_served, SoundResult, WorkerFleet};
use mulberrywell_platform_testkit::{FakeConfig, FakeWorker};
use mulberrywell_testkit::{raw_exchange, wait_until};
use rstest::rstest;
use serde_json::json;

const PROCESSES: [&str; 5] = [
    "control-0",
    "control-1",
    "control-2",
    "gateway",
    "gateway-2",
];
const CONTROLS: [&str; 3] = ["control-0", "control-1", "control-2"];

/// Pause of the callers at each gateway between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Limit of the time until an odd call is answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Time in which a record that another writer has spoilt recovers.
const RECOVERY: Duration = Duration::from_secs(9);

/// Levels of nesting that would overflow the stack of a recursive reader.
const LEVELS: usize = 100_000;

/// A little less than the longest body of a call; six of them exceed a frame.
const LARGE: usize = 4_000_000;

/// Returns a heartbeat with one field as text.
fn with_field(name: &str, value: &str) -> Vec<u8> {
    let mut body = json!({
        "service": "s1", "address": "127.0.0.1:1", "zone": "zone-a", "version": "v1",
        "slots": 8, "state": "draining", "sequence": 1, "born": 1_000, "cold_left_ms": 0,
    });
    body[name] = json!("VALUE");
    let body = body.to_string().replace("\"VALUE\"", value);
    body.into_bytes()
}

/// Returns fields of heartbeats with odd values.
fn odd_fields() -> Vec<(&'static str, String)> {
    let nested = "[".repeat(LEVELS) + &"]".repeat(LEVELS);
    let model = json!({"name": "m", "adapters": ["a"]});
    let models = json!(vec![model; 100_000]).to_string();
    let mut fields = vec![
        ("models", nested.clone()),
        ("extra", nested),
        ("models", models),
    ];
    for letter in 'a'..'g' {
        let large = format!("\"{}\"", String::from(letter).repeat(LARGE));
        fields.extend(["version", "zone"].map(|name| (name, large.clone())));
    }
    let numbers = [
        "-1",
        "1e300",
        "1e999",
        "18446744073709551616",
        "\"NaN\"",
        "null",
    ];
    for name in ["sequence", "born", "slots", "cold_left_ms"] {
        fields.extend(numbers.map(|value| (name, value.to_owned())));
        fields.push((name, u64::MAX.to_string()));
    }
    let addresses = [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "[fe80::1%4294967295]:80",
        "[::1%2]:1",
        "0.0.0.0:1",
        "here",
        "",
    ];
    fields.extend(addresses.map(|address| ("address", format!("\"{address}\""))));
    fields.push(("zone", "\"a\\r\\nb\\u0000\"".to_owned()));
    fields.push(("service", "\"unheard_of\"".to_owned()));
    fields.push(("state", "\"dreaming\"".to_owned()));
    fields
}

/// Sends one body under an id to a control instance; returns whether it answered.
fn send(fleet: &WorkerFleet, control: usize, call: &str, body: &[u8]) -> bool {
    let address = fleet.deployment.operator.address(control);
    let head = format!(
        "POST /api/instances/{call} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [head.as_bytes(), body].concat();
    raw_exchange(address, &bytes, ANSWER_LIMIT).is_ok_and(|response| response.status() > 0)
}

/// Sends all odd entries: under an id of their own, and some under that of a worker.
fn send_odd_entries(fleet: &WorkerFleet) {
    let mut bodies: Vec<(String, Vec<u8>)> = Vec::new();
    for (number, (name, value)) in odd_fields().into_iter().enumerate() {
        let mut body = with_field(name, &value);
        let mut call = "odd/heartbeat".to_owned();
        if value.len() > 100 {
            // Together they would exceed a frame; one doesn't replace the other.
            call = format!("odd-{number}/heartbeat");
            let text = String::from_utf8_lossy(&body);
            let address = format!("127.0.0.1:{}", number + 1);
            body = text.replace("127.0.0.1:1", &address).into_bytes();
        }
        bodies.push((call, body));
    }
    for name in ["sequence", "born"] {
        let value = u64::MAX.to_string();
        bodies.push(("w1/heartbeat".to_owned(), with_field(name, &value)));
    }
    bodies.push((
        "w1/leave".to_owned(),
        br#"{"born":18446744073709551615}"#.to_vec(),
    ));
    bodies.push(("w1/leave".to_owned(), b"\xff\xfe{".to_vec()));
    bodies.push(("odd/heartbeat".to_owned(), b"\xff\x00\xfe".to_vec()));
    for (place, (call, body)) in bodies.iter().enumerate() {
        assert!(
            send(fleet, place % CONTROLS.len(), call, body),
            "{call} {place}"
        );
    }
}

/// Checks that no process has ended by itself.
fn check_running(fleet: &mut WorkerFleet) {
    for name in PROCESSES {
        assert!(fleet.deployment.processes.is_running(name), "{name}");
        assert!(
            !fleet.deployment.processes.log(name).contains("panicked"),
            "{name}"
        );
    }
}

/// Checks that all workers get requests and that callers are served from now on.
fn check_served(fleet: &mut WorkerFleet, results: &Mutex<Vec<SoundResult>>) {
    let from = Instant::now();
    thread::sleep(Duration::from_secs(3));
    check_running(fleet);
    let (served, all) = count_served(results, from);
    assert!(
        all > 20 && served == all,
        "{served} of {all} requests served"
    );
    for worker in &fleet.workers {
        let runs = worker.runs().into_iter();
        let runs = runs.filter(|run| run.started_at > from).count();
        assert!(runs > 0, "{} isn't followed", worker.id());
    }
}

/// Kills control instances, starts them again and waits until all serve.
fn restart(fleet: &mut WorkerFleet, names: &[&str]) {
    let processes = &mut fleet.deployment.processes;
    for name in names {
        processes.kill(name).unwrap();
    }
    for name in names {
        let without_bootstrap = |text: &str| text.replace("bootstrap = true", "bootstrap = false");
        processes.edit_settings(name, without_bootstrap).unwrap();
        processes.restart(name).unwrap();
    }
    wait_until("the control instances serve", || {
        (0..CONTROLS.len()).all(|idx| fleet.deployment.operator.version_at(idx) == Some(1))
    })
    .unwrap();
}

/// Guards against an entry of another writer that ends a process, that ends it again
/// after a restart, or that keeps instances from following the sound workers.
#[test]
fn odd_entries_sound_workers_serve() {
    let mut fleet = WorkerFleet::spawn_services(2, 3);
    for worker in &fleet.workers {
        worker.set_delay(Duration::from_millis(250));
    }
    let call_once = |gateway| call(gateway, "/safe/x", KEY).is_some_and(|it| it.status == 200);
    fleet.wait_ready(call_once);
    let results: Arc<Mutex<Vec<SoundResult>>> = Arc::default();
    let recorded = results.clone();
    fleet.spawn_callers(CALL_PAUSE, move |slot| {
        let started = Instant::now();
        let is_served = call_once(slot.gateway);
        recorded.lock().unwrap().push((started, is_served));
    });
    check_served(&mut fleet, &results);
    send_odd_entries(&fleet);
    thread::sleep(RECOVERY);
    check_served(&mut fleet, &results);
    // What the others keep is told to each instance that returns.
    for name in CONTROLS {
        restart(&mut fleet, &[name]);
    }
    check_served(&mut fleet, &results);
    restart(&mut fleet, &CONTROLS);
    check_served(&mut fleet, &results);
    fleet.stop();
    let (served, all) = count_served(&results, Instant::now() - Duration::from_secs(120));
    assert_eq!(served, all, "requests served at any time");
}

/// Guards against heartbeats of another writer, for a service that no configuration names,
/// that take the address or the id of a sound worker: its service is never served again.
#[rstest]
#[case::own_id("odd", 1, 2_000)]
#[case::own_id_much_later("odd", 1, 1_700_000_000_000)]
#[case::worker_id_later_start("w1", 1, 2_000)]
#[case::worker_id_later_sequence("w1", 1_000_000, 1_000)]
fn unnamed_service_takes_nothing(#[case] id: &str, #[case] sequence: u64, #[case] born: u64) {
    let deployment = ServingDeployment::spawn();
    let worker = &deployment.worker;
    let mut body = with_field("service", "\"unheard_of\"");
    let text = String::from_utf8(std::mem::take(&mut body)).unwrap();
    let mut foreign: serde_json::Value = serde_json::from_str(&text).unwrap();
    foreign["address"] = json!(worker.address().to_string());
    foreign["state"] = json!("ready");
    foreign["sequence"] = json!(sequence);
    foreign["born"] = json!(born);
    for _ in 0..3 {
        deployment.operator.send_heartbeat(id, &foreign.to_string());
    }
    for sequence in 2..6 {
        let heartbeat = worker.heartbeat("s1", "ready", sequence);
        assert!(deployment.operator.send_heartbeat("w1", &heartbeat));
        thread::sleep(Duration::from_millis(300));
        assert_eq!(deployment.call("/safe/1", KEY).status, 200);
    }
}

/// Guards against a worker that announces itself before its service is named, and doesn't
/// count as soon as it is.
#[test]
fn worker_before_its_service_served() {
    let deployment = ServingDeployment::spawn();
    let early = FakeWorker::spawn("w2").unwrap();
    let heartbeat = early.heartbeat("s2", "ready", 1);
    assert!(deployment.operator.send_heartbeat("w2", &heartbeat));
    thread::sleep(Duration::from_millis(500));
    let next = FakeConfig {
        service: "s2".to_owned(),
        ..config(2)
    };
    wait_until("the configuration is accepted", || {
        deployment.operator.put(&next)
    })
    .unwrap();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(deployment.call("/safe/1", KEY).status, 200);
    assert!(!early.runs().is_empty());
}
