//! One machine of the core is down for some seconds; meanwhile another one is removed for good
//! and replaced by an empty one at another address. See claim.txt.

#[path = "../kit-3/kit.rs"]
mod kit;

use std::path::Path;
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

fn main() {
    let folder = Path::new("review/11").to_owned();
    let record = Record::new();
    let net = free_net();
    // The fourth machine is the spare one; the seeds are the first three.
    let mut system = Deployment::new(&record, &net, 4, 0);
    for idx in 0..3 {
        system.start(idx, "control", true);
        system.start(idx, "gateway", true);
    }
    let mut acked = 0;
    for version in 1..=3 {
        let put = system.operate("POST", "/api/config/put", &manifest(version), Duration::from_secs(20));
        if put.is_none_or(|it| it.status != 200) {
            record.say("the deployment didn't come up".to_owned());
            system.finish(&folder, 2);
        }
        acked = version;
        record.say(format!("version {version} is confirmed"));
        sleep_ms(1_000);
    }
    sleep_ms(2_000);
    // Where nothing is disturbed, the same is asked at the same times.
    let (down, removed, spare) = (2, 1, 3);
    if has_trouble() {
        system.kill_machines(&[down]);
        record.say(format!("{} is down", system.machines[down].name));
    }
    sleep_ms(3_500);
    let put = system.operate("POST", "/api/config/put", &manifest(4), Duration::from_secs(4));
    if put.is_some_and(|it| it.status == 200) {
        acked = 4;
        record.say("version 4 is confirmed".to_owned());
    }
    if has_trouble() {
        system.kill_machines(&[removed]);
        record.say(format!("{} is removed for good", system.machines[removed].name));
    }
    sleep_ms(1_500);
    if has_trouble() {
        system.start(spare, "control", false);
        system.start(spare, "gateway", false);
        record.say(format!("an empty machine is added at {}", system.machines[spare].ip));
    }
    sleep_ms(500);
    if has_trouble() {
        system.start(down, "control", false);
        system.start(down, "gateway", false);
        record.say(format!("{} is back with its disk", system.machines[down].name));
    }
    let back = record.ms();
    // The successor has had its time to catch up, and then `recover_s` has passed.
    while record.ms() < back + CATCH_UP_MS + RECOVER_MS {
        sleep_ms(100);
    }
    let begun = Instant::now();
    let read = read_back(&system, Duration::from_secs(20));
    record.say(format!(
        "read back {} ms after the last machine was back, asked for {:.1} s: version {read:?}, confirmed {acked}",
        record.ms() - back,
        begun.elapsed().as_secs_f64()
    ));
    let put = system.operate("POST", "/api/config/put", &manifest(5), Duration::from_secs(10));
    let put = put.map(|it| it.status);
    record.say(format!("version 5 is sent for 10 s: {put:?}"));
    let is_kept = read.is_some_and(|version| version >= acked) && put == Some(200);
    system.finish(&folder, i32::from(!is_kept));
}
