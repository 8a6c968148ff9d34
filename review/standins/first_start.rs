//! The first start, at which one machine of the core is lost and replaced.
//!
//! Starts a small deployment for the first time. One machine with a disk is gone for good as
//! soon as it has started. One second later an empty machine with the same roles comes at
//! another address. The operator sends the first manifest until it is accepted, and clients send
//! requests.

#[path = "kit.rs"]
mod kit;
#[path = "worker.rs"]
mod worker;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use kit::{
    address, call, control_settings, gateway_settings, has_trouble, machine_ip, manifest, Ports,
    Run,
};
use worker::Worker;

/// Machines with a disk, which are the seeds, one in each zone; then those without.
const DISKS: [u8; 3] = [1, 2, 3];
const NO_DISKS: [u8; 3] = [4, 5, 6];
const ZONES: [&str; 3] = ["oslo-a", "oslo-b", "oslo-c"];

/// The machine that is lost, and the one that replaces it.
const LOST: u8 = 3;
const SUCCESSOR: u8 = 7;

/// `x` of `replace_core`: the successor comes so much later.
const REPLACED_AFTER: Duration = Duration::from_secs(1);

/// `catch_up_s`, then `contact_ms`, `ack_ms`, and a margin for this machine.
const ACK_MAX: Duration = Duration::from_millis(4_000 + 3_000 + 4_000 + 9_000);

/// Time for which the run goes on after that, to see whether it ever works.
const WATCH: Duration = Duration::from_secs(20);

fn main() {
    let run = Run::open();
    let ports = Ports::find(SUCCESSOR);
    let start = |machine: u8, bootstrap: bool, seeds: &[u8]| {
        let zone = ZONES[usize::from((machine - 1) % 3)];
        let zone = if machine == SUCCESSOR { ZONES[2] } else { zone };
        let data = run.folder.join(format!("data-{machine}"));
        let data = (!NO_DISKS.contains(&machine)).then_some(data.as_path());
        let name = format!("control-{machine}");
        let text = control_settings(&name, machine, zone, seeds, ports, data, bootstrap);
        run.start(&name, &text);
        let name = format!("gateway-{machine}");
        let text = gateway_settings(&name, machine, zone, seeds, ports);
        run.start(&name, &text);
    };
    let mut machines = Vec::new();
    for machine in [1, 2, 4, 5, 6, LOST] {
        start(machine, true, &DISKS);
        machines.push(machine);
    }
    run.record.line(&format!(
        "machines {machines:?} are started for the first time"
    ));
    if has_trouble() {
        run.kill(&format!("control-{LOST}"));
        run.kill(&format!("gateway-{LOST}"));
        machines.retain(|machine| *machine != LOST);
        run.record.line(&format!("machine {LOST} is gone for good"));
    }
    let started = Instant::now();
    let worker = Worker::spawn("i-7f3a91c2", machine_ip(9), &run.record);
    let controls: Vec<SocketAddr> = machines
        .iter()
        .map(|it| address(*it, ports.control))
        .collect();
    worker.send_heartbeats("desk", ZONES[0], controls);
    let text = manifest(1, 0);
    let mut acknowledged = None;
    let mut refusals = 0;
    let mut is_replaced = !has_trouble();
    let end = REPLACED_AFTER + ACK_MAX + WATCH;
    while acknowledged.is_none() && started.elapsed() < end {
        if !is_replaced && started.elapsed() >= REPLACED_AFTER {
            is_replaced = true;
            // The operator's list has the successor in the place of the lost machine.
            start(SUCCESSOR, false, &[1, 2, SUCCESSOR]);
            machines.push(SUCCESSOR);
            run.record.line(&format!(
                "machine {SUCCESSOR} replaces machine {LOST}, with an empty disk, bootstrap = false"
            ));
        }
        for machine in machines.clone() {
            let fields = [("Content-Type", "application/json")];
            let control = address(machine, ports.control);
            let body = text.as_bytes();
            let timeout = Duration::from_secs(1);
            let response = call(control, "POST", "/api/config/put", &fields, body, timeout);
            if response.is_some_and(|response| response.status == 200) {
                acknowledged = Some((machine, started.elapsed()));
                break;
            }
            refusals += 1;
        }
        thread::sleep(Duration::from_millis(200));
    }
    match acknowledged {
        Some((machine, after)) => run.record.line(&format!(
            "manifest 1 is acknowledged by machine {machine}, {} ms after the start",
            after.as_millis()
        )),
        None => run.record.line(&format!(
            "manifest 1 is acknowledged by no machine: {refusals} calls refused or without a \
             response in {} s",
            started.elapsed().as_secs()
        )),
    }
    let served = send_requests(&run, &machines, ports);
    run.record.line(&format!(
        "requests served: {served} of {}",
        3 * machines.len()
    ));
    for machine in &machines {
        for line in run.log_lines(&format!("control-{machine}"), "control: became leader") {
            run.record
                .line(&format!("log of machine {machine}: {line}"));
        }
    }
    let is_late = acknowledged.is_none_or(|(_, after)| after > REPLACED_AFTER + ACK_MAX);
    run.finish(is_late && served == 0);
}

/// Sends three requests to each gateway; returns how many succeed.
fn send_requests(run: &Run, machines: &[u8], ports: Ports) -> usize {
    thread::sleep(Duration::from_secs(3));
    let mut served = 0;
    let mut statuses = Vec::new();
    for round in 0..3 {
        for machine in machines {
            let id = format!("request-{round}-{machine}");
            let fields = [
                ("Host", "ficu95.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "4000"),
                ("Credential", "i9n73hh2b9wu3fexd9dn"),
            ];
            let front = address(*machine, ports.front);
            let timeout = Duration::from_secs(5);
            let response = call(front, "POST", "/first/1", &fields, b"body", timeout);
            let status = response.map(|response| response.status);
            served += usize::from(status == Some(200));
            statuses.push(status);
        }
    }
    run.record
        .line(&format!("statuses of requests: {statuses:?}"));
    served
}
