//! Measurements of the replicated state. They are run on demand and assert only that
//! each round completes.

use std::process::Command;
use std::time::{Duration, Instant};

use mulberrywell_testkit::{wait_until, HttpCaller};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::entry_cases::ready_version;
use crate::group_helper::ControlGroup;

const ROUNDS: usize = 20;
const EDITS: usize = 200;
const KEYS: usize = 500;
const OPERATORS: usize = 8;

/// Time over which the traffic of an idle member is counted.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Prints the percentiles of durations.
fn print_percentiles(title: &str, mut durations: Vec<Duration>) {
    durations.sort_unstable();
    let at = |part: usize| durations[(durations.len() * part).div_ceil(100).max(1) - 1];
    let (count, max) = (durations.len(), at(100));
    println!(
        "{title}: n {count} p50 {:?} p95 {:?} max {max:?}",
        at(50),
        at(95)
    );
}

#[test]
#[ignore = "a measurement"]
fn measure_leader_loss() {
    let mut group = ControlGroup::spawn(3, 0);
    let mut killed = Vec::new();
    let mut suspended = Vec::new();
    for round in 0..2 * ROUNDS {
        let leader = group.leader();
        let others = group.others(&leader);
        let kills = round % 2 == 0;
        let lost = Instant::now();
        if kills {
            group.cluster.kill(&leader).unwrap();
        } else {
            group.cluster.signal(&leader, Signal::SIGSTOP).unwrap();
        }
        group.edit_at(&others, &format!("round {round}"));
        if kills {
            killed.push(lost.elapsed());
            group.cluster.restart(&leader).unwrap();
        } else {
            suspended.push(lost.elapsed());
            group.cluster.signal(&leader, Signal::SIGCONT).unwrap();
        }
        group.wait_voters(3);
    }
    print_percentiles("leader killed -> edit accepted", killed);
    print_percentiles("leader frozen -> edit accepted", suspended);
}

#[test]
#[ignore = "a measurement"]
fn measure_edit_in_force() {
    let group = ControlGroup::spawn(3, 2);
    let mut edited = Vec::new();
    let mut in_force = Vec::new();
    for number in 0..EDITS {
        let asked = Instant::now();
        let version = group.edit(&format!("edit {number}"));
        edited.push(asked.elapsed());
        let accepted = Instant::now();
        wait_until("the edit is in force", || {
            // A reused connection would add the time of delayed TCP acknowledgements.
            let entries = group.cluster.callers.iter();
            let mut versions = entries.map(|at| ready_version(&HttpCaller::new(*at, None)));
            versions.all(|known| known >= Some(version))
        })
        .unwrap();
        in_force.push(accepted.elapsed());
    }
    print_percentiles("edit asked -> accepted", edited);
    print_percentiles("edit accepted -> in force at both entries", in_force);
    let mut refused = Vec::new();
    for number in 0..ROUNDS {
        let label = format!("k{number}");
        let key = group.cluster.create_key("medellin", &label).unwrap();
        group
            .cluster
            .operate_ok(&["key", "withdraw", &label])
            .unwrap();
        let accepted = Instant::now();
        for at in &group.cluster.callers {
            let caller = HttpCaller::new(*at, Some(&key));
            wait_until("the key is refused", || {
                let response = caller.call("GET", "/v1/models", &[], "");
                response.is_ok_and(|response| response.status == 401)
            })
            .unwrap();
        }
        refused.push(accepted.elapsed());
    }
    print_percentiles("withdrawal accepted -> refused at both entries", refused);
}

#[test]
#[ignore = "a measurement"]
fn measure_edit_rate() {
    let group = ControlGroup::spawn(3, 0);
    for operators in [1, OPERATORS] {
        let started = Instant::now();
        std::thread::scope(|scope| {
            for operator in 0..operators {
                let group = &group;
                scope.spawn(move || give_keys(group, operators, operator));
            }
        });
        let changes = operators * KEYS;
        let rate = changes as f64 / started.elapsed().as_secs_f64();
        println!("{operators} operators, {changes} changes: {rate:.0} a second");
    }
}

/// Creates keys, each over a new connection.
fn give_keys(group: &ControlGroup, operators: usize, operator: usize) {
    for number in 0..KEYS {
        let caller = group.operator(operator % 3);
        let label = format!("{operators}-{operator}-{number}");
        let digest: String = format!("{label:0>64}").bytes().map(hex_digit).collect();
        let request = json!({
            "account": "medellin",
            "label": label,
            "digest": digest,
            "request_id": label,
        });
        let response = caller.call("POST", "/v1/keys/give", &[], &request.to_string());
        assert_eq!(response.unwrap().status, 200);
    }
}

/// Returns a digit unchanged and maps any other byte to `f`.
fn hex_digit(byte: u8) -> char {
    if byte.is_ascii_digit() {
        char::from(byte)
    } else {
        'f'
    }
}

/// Returns the bytes that a process has sent and received on its open TCP
/// connections.
fn tcp_bytes(id: u32) -> u64 {
    let output = Command::new("ss").args(["-tnipH"]).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let owner = format!("pid={id},");
    let mut lines = text.lines().peekable();
    let mut total = 0;
    while let Some(line) = lines.next() {
        if !line.contains(&owner) {
            continue;
        }
        let fields = lines.peek().copied().unwrap_or("").split_whitespace();
        let counts = fields.filter_map(|field| {
            let sent = field.strip_prefix("bytes_sent:");
            let count = sent.or(field.strip_prefix("bytes_received:"))?;
            count.parse::<u64>().ok()
        });
        total += counts.sum::<u64>();
    }
    total
}

fn resident_kib(id: u32) -> String {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.unwrap_or("")
        .trim_start_matches("VmRSS:")
        .trim()
        .to_owned()
}

#[test]
#[ignore = "a measurement"]
fn measure_idle_member() {
    let group = ControlGroup::spawn(3, 1);
    for name in ["control-0", "control-1", "control-2"] {
        let id = group.cluster.id(name).unwrap();
        let before = tcp_bytes(id);
        std::thread::sleep(IDLE_TIME);
        let rate = (tcp_bytes(id) - before) / IDLE_TIME.as_secs();
        println!("{name}: resident {}, {rate} bytes/s", resident_kib(id));
    }
}
