//! What ordinary callers cost a gateway; printed with `--nocapture`.

use std::net::TcpStream;

use mulberrywell_testkit::{read_usage, ProcessUsage};

use crate::common::serving_deployment::ServingDeployment;
use crate::gateway_crowds::call_on;
use crate::run_alone;

/// Requests sent one after the other on one connection.
const REQUESTS: u32 = 2_000;

/// Connections that stay idle after one request each.
const IDLE_CONNECTIONS: u32 = 300;

fn usage(deployment: &ServingDeployment) -> ProcessUsage {
    read_usage(deployment.processes.id("gateway").unwrap()).unwrap()
}

/// Shows the processor time of a request and the memory of an idle connection, and guards
/// against ordinary callers that are refused or closed.
#[test]
fn gateway_calm_callers_served() {
    let _alone = run_alone();
    let deployment = ServingDeployment::spawn();
    let mut stream = TcpStream::connect(deployment.callers).unwrap();
    assert_eq!(call_on(&mut stream), 200);
    let before = usage(&deployment).processor;
    for _ in 0..REQUESTS {
        assert_eq!(call_on(&mut stream), 200);
    }
    let processor = usage(&deployment).processor - before;
    println!("{:?} of processor time a request", processor / REQUESTS);
    let before_kib = usage(&deployment).resident_kib;
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let mut stream = TcpStream::connect(deployment.callers).unwrap();
        assert_eq!(call_on(&mut stream), 200);
        idle.push(stream);
    }
    let more_kib = usage(&deployment).resident_kib.saturating_sub(before_kib);
    println!("{more_kib} KiB for {IDLE_CONNECTIONS} idle connections");
    for stream in &mut idle {
        assert_eq!(call_on(stream), 200);
    }
}
