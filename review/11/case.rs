//! Two plays side by side, each with an installation of its own. In the first, one machine of the
//! core is down for some seconds, and another one is removed for good meanwhile. In the second,
//! a machine is replaced as planned, and another one is removed for good a second after. See
//! claim.txt.

#[path = "../kit-3/kit.rs"]
mod kit;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const RECOVER_MS: u64 = 12_000;
const CATCH_UP_MS: u64 = 4_000;

fn manifest(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r1\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/desk1/\",\"kind\":\"safe\",\"timeout_ms\":{},\"goal_ms\":300,\"priority\":1,\
         \"service\":\"desk\",\"max_attempts\":1,\"public\":true}}],\"services\":[{{\"name\":\"desk\",\
         \"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}]}}",
        2_000 + version
    )
}

/// Reads the manifest back; its version, if any node gives it.
fn read_back(system: &Deployment, limit: Duration) -> Option<u64> {
    let answer = system.operate("GET", "/api/config/get", "", limit)?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    json_field(&text, "version").filter(|_| answer.status == 200)?.parse().ok()
}

/// Sends the next version; whether it is confirmed in time.
fn put(system: &Deployment, version: u64, limit: Duration) -> bool {
    let answer = system.operate("POST", "/api/config/put", &manifest(version), limit);
    let is_confirmed = answer.is_some_and(|it| it.status == 200);
    system.record.say(format!("{}: version {version} confirmed: {is_confirmed}", system.label));
    is_confirmed
}

/// Starts the first three machines; the others are spare. None if they don't come up.
fn start(record: &Record, label: &str) -> Option<Deployment> {
    let net = free_net();
    let mut system = Deployment::new(record, &net, 5, 0);
    label.clone_into(&mut system.label);
    for idx in 0..3 {
        system.start(idx, "control", true);
        system.start(idx, "gateway", true);
    }
    let is_up = put(&system, 1, Duration::from_secs(20));
    sleep_ms(3_000);
    (is_up && put(&system, 2, Duration::from_secs(5))).then_some(system)
}

fn say(system: &Deployment, text: String) {
    system.record.say(format!("{}: {text}", system.label));
}

/// Adds a spare machine with an empty disk at its own address.
fn add(system: &mut Deployment, idx: usize) {
    system.start(idx, "control", false);
    system.start(idx, "gateway", false);
    say(system, format!("an empty machine is added at {}", system.machines[idx].ip));
}

fn remove(system: &mut Deployment, idx: usize) {
    system.kill_machines(&[idx]);
    say(system, format!("{} is removed for good", system.machines[idx].ip));
}

/// Waits until the last machine has had its time to catch up and `recover_s` has passed; whether
/// the newest confirmed manifest then comes and can be changed.
fn has_recovered(system: &Deployment, confirmed: u64) -> bool {
    sleep_ms(CATCH_UP_MS + RECOVER_MS);
    let begun = Instant::now();
    let read = read_back(system, Duration::from_secs(20));
    say(
        system,
        format!(
            "read back, asked for {:.1} s: version {read:?}, confirmed {confirmed}",
            begun.elapsed().as_secs_f64()
        ),
    );
    let is_changed = put(system, confirmed + 10, Duration::from_secs(10));
    read.is_some_and(|version| version >= confirmed) && is_changed
}

/// A machine is down for 5.5 s; another one is removed for good meanwhile.
fn play_overlap(record: &Record) -> Option<bool> {
    let mut system = start(record, "first play")?;
    let (down, removed, spare) = (2, 1, 3);
    if has_trouble() {
        system.kill_machines(&[down]);
        say(&system, format!("{} is down", system.machines[down].ip));
    }
    sleep_ms(3_500);
    let confirmed = if put(&system, 3, Duration::from_secs(4)) { 3 } else { 2 };
    if has_trouble() {
        remove(&mut system, removed);
        sleep_ms(1_500);
        add(&mut system, spare);
        sleep_ms(500);
        system.start(down, "control", false);
        system.start(down, "gateway", false);
        say(&system, format!("{} is back with its disk", system.machines[down].ip));
    }
    let is_kept = has_recovered(&system, confirmed);
    system.clear();
    Some(is_kept)
}

/// A machine is replaced as planned, the new one first; 1 s after its end another one is
/// removed for good.
fn play_planned(record: &Record) -> Option<bool> {
    let mut system = start(record, "second play")?;
    let (replaced, removed, successor, spare) = (2, 1, 3, 4);
    add(&mut system, successor);
    sleep_ms(10_000);
    let mut confirmed = if put(&system, 3, Duration::from_secs(4)) { 3 } else { 2 };
    for role in ["control", "gateway"] {
        system.signal(replaced, role, "TERM");
    }
    say(&system, format!("{} gets SIGTERM and doesn't return", system.machines[replaced].ip));
    sleep_ms(1_000);
    if put(&system, 4, Duration::from_secs(1)) {
        confirmed = 4;
    }
    if has_trouble() {
        remove(&mut system, removed);
        sleep_ms(1_500);
        add(&mut system, spare);
    }
    let is_kept = has_recovered(&system, confirmed);
    system.clear();
    Some(is_kept)
}

fn main() {
    let folder = Path::new("review/11").to_owned();
    let record = Record::new();
    let first = {
        let record = record.clone();
        thread::spawn(move || play_overlap(&record))
    };
    let second = {
        let record = record.clone();
        thread::spawn(move || play_planned(&record))
    };
    let plays = [first, second].map(|play| play.join().ok().flatten());
    for (label, play) in ["first", "second"].iter().zip(&plays) {
        let text = match play {
            Some(true) => "held",
            Some(false) => "broken",
            None => "didn't come up",
        };
        record.say(format!("{label} play: {text}"));
    }
    let status = match plays {
        [Some(true), Some(true)] => 0,
        [None, _] | [_, None] => 2,
        _ => 1,
    };
    record.say(format!("exit {status}"));
    record.save(&folder);
    std::process::exit(status);
}
