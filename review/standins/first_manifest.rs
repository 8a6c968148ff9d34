//! The first manifest, and the loss of the disk of the machine that acknowledged it.
//!
//! Starts the control instances of a small deployment for the first time, sends the first
//! manifest until it is acknowledged, and takes the process and the disk of the machine
//! that acknowledged it, right after the acknowledgement. The machine comes back with an
//! empty disk. Then the manifest is read at all machines.

#[path = "kit.rs"]
mod kit;

use std::fs;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use kit::{address, call, control_settings, has_trouble, manifest, Ports, Response, Run};

/// Machines with a disk, which are the seeds, one in each zone; then those without.
const DISKS: [u8; 3] = [1, 2, 3];
const NO_DISKS: [u8; 3] = [4, 5, 6];
const ZONES: [&str; 3] = ["oslo-a", "oslo-b", "oslo-c"];

/// The machine is away for so long: `for_s` of `after_ack_wipe` at the site.
const AWAY: Duration = Duration::from_secs(3);

/// `recover_s`, then `contact_ms`, and a margin for this machine.
const RECOVER: Duration = Duration::from_secs(12);
const READING: Duration = Duration::from_secs(8);

fn main() {
    let run = Run::open();
    let ports = Ports::find(6);
    let data = |machine: u8| -> PathBuf { run.folder.join(format!("data-{machine}")) };
    let start = |machine: u8, bootstrap: bool| {
        let name = format!("control-{machine}");
        let zone = ZONES[usize::from((machine - 1) % 3)];
        let folder = data(machine);
        let folder = DISKS.contains(&machine).then_some(folder.as_path());
        let text = control_settings(&name, machine, zone, &DISKS, ports, folder, bootstrap);
        run.start(&name, &text);
    };
    for machine in DISKS.into_iter().chain(NO_DISKS) {
        start(machine, true);
    }
    run.record
        .line("all six control instances are started for the first time");
    let text = manifest(1, 0);
    let Some((acknowledged_by, took)) = put_until_acknowledged(&run, ports, &text) else {
        run.give_up("the first manifest was not acknowledged");
    };
    run.record.line(&format!(
        "manifest 1 is acknowledged by machine {acknowledged_by}, {took} ms after the call"
    ));
    if has_trouble() {
        let name = format!("control-{acknowledged_by}");
        run.kill(&name);
        let _ = fs::remove_dir_all(data(acknowledged_by));
        run.record.line(&format!(
            "machine {acknowledged_by} has lost its process and its disk"
        ));
        thread::sleep(AWAY);
        start(acknowledged_by, false);
        run.record.line(&format!(
            "machine {acknowledged_by} is started again with an empty disk, bootstrap = false"
        ));
    } else {
        thread::sleep(AWAY);
    }
    let back = Instant::now();
    let mut held_since = None;
    let mut wrong = false;
    let mut answers = [0_u32; 3];
    while back.elapsed() < RECOVER + READING {
        for machine in DISKS.into_iter().chain(NO_DISKS) {
            let response = read(ports, machine);
            let is_late = back.elapsed() > RECOVER;
            match response {
                Some(Response { status: 200, body }) if body == text.as_bytes() => {
                    if held_since.is_none() {
                        held_since = Some(back.elapsed());
                        run.record
                            .line(&format!("machine {machine} reads manifest 1"));
                    }
                    answers[0] += u32::from(is_late);
                }
                Some(Response { status: 200, body }) => {
                    run.record.line(&format!(
                        "machine {machine} reads another manifest: {}",
                        String::from_utf8_lossy(&body)
                    ));
                    wrong = true;
                }
                Some(response) => {
                    let _ = response.status;
                    answers[1] += u32::from(is_late);
                }
                None => answers[2] += u32::from(is_late),
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    run.record.line(&format!(
        "reads later than recover_s (12 s) after the machine was back: {} with manifest 1, {} \
         refused, {} without a response",
        answers[0], answers[1], answers[2]
    ));
    // Whether the installation works again at all: a further manifest.
    let next = manifest(2, 0);
    let accepted = DISKS.into_iter().chain(NO_DISKS).any(|machine| {
        let response = put(ports, machine, &next);
        response.is_some_and(|response| response.status == 200)
    });
    run.record.line(match accepted {
        true => "a further manifest is acknowledged",
        false => "a further manifest is acknowledged by no machine",
    });
    for machine in DISKS {
        for line in run.log_lines(&format!("control-{machine}"), "control: became leader") {
            run.record
                .line(&format!("log of machine {machine}: {line}"));
        }
        for line in run.log_lines(&format!("control-{machine}"), "cluster") {
            run.record
                .line(&format!("log of machine {machine}: {line}"));
        }
    }
    let broken = wrong || answers[0] == 0;
    run.finish(broken);
}

/// Sends the first manifest as an operator does: to one machine after the other, with a
/// second for the response, until one acknowledges it.
fn put_until_acknowledged(run: &Run, ports: Ports, text: &str) -> Option<(u8, u128)> {
    let begun = Instant::now();
    let mut pause = Duration::from_millis(50);
    while begun.elapsed() < Duration::from_secs(20) {
        for machine in DISKS {
            let sent = Instant::now();
            let response = put(ports, machine, text);
            if response
                .as_ref()
                .is_some_and(|response| response.status == 200)
            {
                return Some((machine, sent.elapsed().as_millis()));
            }
            let status = response.map(|response| response.status);
            run.record.line(&format!(
                "put of manifest 1 at machine {machine}: {status:?}"
            ));
            thread::sleep(pause);
        }
        pause = (pause * 2).min(Duration::from_millis(200));
    }
    None
}

fn put(ports: Ports, machine: u8, text: &str) -> Option<Response> {
    let fields = [("Content-Type", "application/json")];
    call(
        address(machine, ports.control),
        "POST",
        "/api/config/put",
        &fields,
        text.as_bytes(),
        Duration::from_secs(1),
    )
}

fn read(ports: Ports, machine: u8) -> Option<Response> {
    let timeout = Duration::from_secs(1);
    call(
        address(machine, ports.control),
        "GET",
        "/api/config/get",
        &[],
        b"",
        timeout,
    )
}
