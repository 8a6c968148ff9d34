//! The last tenant is taken out of the manifest.
//!
//! Starts a small deployment whose manifest has one tenant, and then takes that tenant out.
//! A client with a key that no manifest ever held sends requests before and after.

#[path = "kit.rs"]
mod kit;
#[path = "worker.rs"]
mod worker;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use kit::{address, call, control_settings, gateway_settings, has_trouble, machine_ip, Ports, Run};
use worker::Worker;

const MACHINES: [u8; 3] = [1, 2, 3];
const ZONES: [&str; 3] = ["oslo-a", "oslo-b", "oslo-c"];

/// `config_apply_ms`, and a margin for this machine.
const APPLY: Duration = Duration::from_millis(2_000 + 3_000);

const TENANT_KEY: &str = "i9n73hh2b9wu3fexd9dn";
const FOREIGN_KEY: &str = "zz00000000000000zzzz";

fn main() {
    let run = Run::open();
    let ports = Ports::find(3);
    for machine in MACHINES {
        let zone = ZONES[usize::from(machine - 1)];
        let data = run.folder.join(format!("data-{machine}"));
        let name = format!("control-{machine}");
        let folder = Some(data.as_path());
        let text = control_settings(&name, machine, zone, &MACHINES, ports, folder, true);
        run.start(&name, &text);
        let name = format!("gateway-{machine}");
        let text = gateway_settings(&name, machine, zone, &MACHINES, ports);
        run.start(&name, &text);
    }
    let worker = Worker::spawn("i-7f3a91c2", machine_ip(9), &run.record);
    let controls: Vec<SocketAddr> = MACHINES.map(|it| address(it, ports.control)).to_vec();
    worker.send_heartbeats("desk", ZONES[0], controls.clone());
    if !put(&run, &controls, &manifest(1, true)) {
        run.give_up("the first manifest was not acknowledged");
    }
    let ready = Instant::now();
    while !MACHINES.iter().all(|machine| is_ready(*machine, ports)) {
        if ready.elapsed() > Duration::from_secs(20) {
            run.give_up("the gateways don't get ready");
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(4));
    let mut calls = 0;
    let mut send = |key: &str, what: &str| -> Vec<Option<u16>> {
        let statuses = MACHINES.map(|machine| {
            calls += 1;
            let id = format!("{what}-{calls}");
            let fields = [
                ("Host", "ficu95.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "4000"),
                ("Credential", key),
            ];
            let front = address(machine, ports.front);
            let timeout = Duration::from_secs(5);
            let response = call(front, "POST", "/first/1", &fields, b"body", timeout);
            response.map(|response| response.status)
        });
        statuses.to_vec()
    };
    let own = send(TENANT_KEY, "before-own");
    let foreign = send(FOREIGN_KEY, "before-foreign");
    run.record.line(&format!(
        "before: with the tenant's key {own:?}, with a foreign key {foreign:?}"
    ));
    if own.iter().any(|status| *status != Some(200)) {
        run.give_up("requests with the tenant's key are not served");
    }
    if !put(&run, &controls, &manifest(2, !has_trouble())) {
        run.give_up("the second manifest was not acknowledged");
    }
    run.record.line(match has_trouble() {
        true => "manifest 2, without the tenant, is acknowledged",
        false => "manifest 2, with the tenant, is acknowledged",
    });
    thread::sleep(APPLY);
    let own = send(TENANT_KEY, "after-own");
    let foreign = send(FOREIGN_KEY, "after-foreign");
    run.record.line(&format!(
        "after: with the tenant's key {own:?}, with a foreign key {foreign:?}"
    ));
    let runs = worker.runs();
    let ran_foreign = runs.iter().filter(|it| it.id.contains("foreign")).count();
    let ran_own = runs
        .iter()
        .filter(|it| it.id.starts_with("after-own"))
        .count();
    run.record.line(&format!(
        "requests run: {ran_foreign} with a key that no manifest ever held, {ran_own} with the \
         tenant's key after manifest 2"
    ));
    run.finish(ran_foreign > 0 || (has_trouble() && ran_own > 0));
}

fn manifest(version: u64, has_tenant: bool) -> String {
    let text = kit::manifest(version, 0);
    if has_tenant {
        return text;
    }
    let (before, _) = text.split_once("\"tenants\":").unwrap();
    format!("{before}\"tenants\":[]}}")
}

fn put(run: &Run, controls: &[SocketAddr], text: &str) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(15) {
        for control in controls {
            let fields = [("Content-Type", "application/json")];
            let body = text.as_bytes();
            let timeout = Duration::from_secs(1);
            let response = call(*control, "POST", "/api/config/put", &fields, body, timeout);
            let status = response.map(|response| response.status);
            if status == Some(200) {
                return true;
            }
            run.record.line(&format!("put at {control}: {status:?}"));
            thread::sleep(Duration::from_millis(100));
        }
    }
    false
}

fn is_ready(machine: u8, ports: Ports) -> bool {
    let ready = address(machine, ports.ready);
    let response = call(ready, "GET", "/api/ready", &[], b"", Duration::from_secs(1));
    response.is_some_and(|response| response.status == 200)
}
