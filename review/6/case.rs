//! A machine of the core is replaced as planned; soon after the old one has gone, another
//! one loses its disk. Control never has a leader again.

#[path = "../kit-2/kit.rs"]
mod kit;

use std::path::Path;
use std::time::{Duration, Instant};

use kit::{has_trouble, Deployment, Record, Request, Role, BROKEN, HELD, NOT_RUN};

/// Time for which the new machine runs before the old one is removed: `catch_up_s` is 4.
const SUCCESSOR_TIME: Duration = Duration::from_secs(10);

/// Time from the end of the old machine's process to the loss of the other one's disk.
const LOSS_DELAY: Duration = Duration::from_millis(1_000);

/// Time for which the machine that loses its disk is down (site file: `down_s = 1.2`).
const DOWN_TIME: Duration = Duration::from_millis(1_200);

/// `recover_s` of the sheet.
const RECOVER: Duration = Duration::from_secs(12);

/// Time for which the operator tries to read the manifest back.
const READ_TIME: Duration = Duration::from_secs(40);

/// `grace_s` of the sheet.
const GRACE: Duration = Duration::from_secs(8);

fn manifest(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/lohu930/\",\"kind\":\"safe\",\"timeout_ms\":{},\"goal_ms\":300,\
         \"priority\":2,\"service\":\"wuno96b\",\"max_attempts\":2,\"public\":true,\
         \"sticky\":false,\"resumable\":false,\"gap_goal_ms\":0}}],\"services\":[{{\"name\":\
         \"wuno96b\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}",
        4000 + version
    )
}

fn main() {
    let root = std::env::current_dir().unwrap();
    let folder = "review/6";
    let record = Record::open(&root.join(folder));
    std::process::exit(run(&root, &record));
}

/// Puts a manifest until it is acknowledged.
fn put(deployment: &Deployment, version: u64, limit: Duration) -> bool {
    let call = Request::post("/api/config/put", manifest(version));
    let answer = deployment.call_control(&call, version as usize, limit);
    let status = answer.map_or(0, |it| it.status);
    deployment.record.say(&format!("operator: put version {version}: {status}"));
    status == 200
}

fn run(root: &Path, record: &Record) -> i32 {
    let Some(mut deployment) = Deployment::prepare(root, record.clone(), 4, 260) else {
        record.say("the case can't run: no free addresses, or no build");
        return NOT_RUN;
    };
    deployment.disks.push(3);
    for machine in 0..3 {
        deployment.start(Role::Control, machine);
    }
    for machine in 0..3 {
        deployment.start(Role::Gateway, machine);
    }
    if !put(&deployment, 1, Duration::from_secs(15)) {
        record.say("the case can't run: the first manifest wasn't acknowledged");
        return NOT_RUN;
    }
    deployment.set_founded();
    std::thread::sleep(Duration::from_secs(5));

    // replace_core, planned: the new machine first, at another address with an empty disk.
    record.say("platform: machine 4 is added, with an empty disk");
    let added = deployment.start(Role::Control, 3);
    deployment.start(Role::Gateway, 3);
    std::thread::sleep(SUCCESSOR_TIME);
    if !put(&deployment, 2, Duration::from_secs(5)) {
        record.say("the case can't run: no acknowledgement before the trouble");
        return NOT_RUN;
    }
    let removed = 0;
    if has_trouble() {
        record.say("platform: machine 1 is removed for good: SIGTERM");
        for index in [removed, 3] {
            deployment.signal(index, "TERM");
        }
        let end = Instant::now() + GRACE;
        let mut has_ended = false;
        while !has_ended && Instant::now() < end {
            has_ended = deployment.take_ended(removed).is_some();
            std::thread::sleep(Duration::from_millis(10));
        }
        record.say(&format!("platform: the control process of machine 1 has ended: {has_ended}"));
        // The gateway of the machine ends in its own time; nothing is sent to it here.
        std::thread::sleep(LOSS_DELAY);
        if !put(&deployment, 3, Duration::from_secs(5)) {
            record.say("the case can't run: no acknowledgement before the loss");
            return NOT_RUN;
        }
        record.say("platform: machine 2 loses power and its disk");
        for index in [1, 4] {
            deployment.signal(index, "KILL");
            deployment.wait_ended(index);
        }
        let _ = std::fs::remove_dir_all(deployment.data_folder(1));
        std::thread::sleep(DOWN_TIME);
        record.say("platform: machine 2 is back with an empty disk");
        for index in [1, 4] {
            deployment.spawn(index);
        }
    } else if !put(&deployment, 3, Duration::from_secs(5)) {
        return NOT_RUN;
    }
    // The operator reads back, and sends a further change.
    let back = Instant::now();
    let mut read_at = None;
    let mut tries = 0;
    let mut machine = 0;
    while read_at.is_none() && back.elapsed() < READ_TIME {
        machine += 1;
        let address = deployment.control(machine % 4);
        let answer = kit::send(address, &Request::get("/api/config/get"), Duration::from_secs(2));
        tries += 1;
        match answer {
            Ok(response) if response.status == 200 => {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                record.say(&format!("operator: read back {}", &text[..text.len().min(14)]));
                if text != manifest(3) {
                    record.say("CONFIG: the manifest isn't the newest that was acknowledged");
                    return BROKEN;
                }
                read_at = Some(back.elapsed());
            }
            Ok(response) => record.line(&format!("operator: get from {address}: {}", response.status)),
            Err(error) => record.line(&format!("operator: get from {address}: {error}")),
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let leaders = deployment.log(added).matches("became leader").count();
    record.line(&format!("machine 4 became leader {leaders} times"));
    match read_at {
        Some(time) if time <= RECOVER => {
            record.say(&format!("the manifest was read back after {:.1} s", time.as_secs_f64()));
            HELD
        }
        Some(time) => {
            record.say(&format!("RECOVER: read back only after {:.1} s", time.as_secs_f64()));
            BROKEN
        }
        None => {
            record.say(&format!(
                "CONFIG: the manifest that was acknowledged doesn't come: {tries} reads in {} s at \
                 all machines",
                READ_TIME.as_secs()
            ));
            BROKEN
        }
    }
}
