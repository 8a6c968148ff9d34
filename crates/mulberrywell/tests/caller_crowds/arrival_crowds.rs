//! Crowds whose bytes arrive while a process can't read them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use mulberrywell_testkit::wait_until;
use serde_json::json;

use crate::common::serving_deployment::config;
use crate::crowd::{Crowd, CrowdForm};
use crate::gateway_crowds::{request_head, SampledGateway};
use crate::{run_alone, ARRIVAL_CROWD, LOW_MEMORY_MB, RESPONSE_CROWD};

/// Bytes that each caller tries to send.
const SENT_LEN: usize = 256 * 1024;

/// Time for which bytes arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// Descriptors that a process with as many callers as the crowd uses at most.
const ARRIVAL_DESCRIPTORS_MAX: u64 = 1_500;

/// Guards against bytes that arrive on many connections while the process is suspended, as
/// the platform counts what has arrived and isn't read.
#[test]
fn gateway_suspended_arrivals_bounded() {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn(&format!("memory_mb = {LOW_MEMORY_MB}\n"));
    let deployment = &gateway.deployment;
    let connect = |_| TcpStream::connect(deployment.callers).unwrap();
    let mut crowd: Vec<TcpStream> = (0..ARRIVAL_CROWD).map(connect).collect();
    // Connections are accepted in order, so that those of the crowd are by now.
    gateway.check_ordinary("beside idle connections");
    deployment.processes.suspend("gateway").unwrap();
    let head = request_head("/once/x") + "Transfer-Encoding: chunked\r\n\r\n";
    for stream in &mut crowd {
        send_some(stream, &head);
    }
    check_arrivals(&gateway, crowd);
}

/// Guards against responses that arrive for callers which don't read, while the process is
/// suspended, beside requests that arrive behind theirs.
#[test]
fn gateway_suspended_responses_bounded() {
    let _alone = run_alone();
    let settings = format!("[callers]\nmemory_mb = {LOW_MEMORY_MB}\nreceive_kib = 4\n");
    let gateway = SampledGateway::spawn(&settings);
    let deployment = &gateway.deployment;
    let endpoint = spawn_endless_endpoint();
    let mut manifest = config(3).manifest();
    manifest["services"][0]["max_conns"] = json!(10 * RESPONSE_CROWD);
    manifest["services"] = json!([manifest["services"][0], {
        "name": "endless", "health_path": "/health", "max_conns": 10 * RESPONSE_CROWD
    }]);
    manifest["routes"][1]["service"] = json!("endless");
    wait_until("the configuration is accepted", || {
        let body = manifest.to_string();
        let operator = &deployment.operator;
        let response = operator.call_instance(0, "POST", "/api/config/put", &body);
        response.is_some_and(|(status, _)| status == 200)
    })
    .unwrap();
    let heartbeat = json!({
        "service": "endless", "address": endpoint.to_string(), "zone": "zone-a",
        "state": "ready", "sequence": 1, "slots": 10 * RESPONSE_CROWD,
    });
    assert!(deployment
        .operator
        .send_heartbeat("w2", &heartbeat.to_string()));
    let head = request_head("/safe/x");
    let forms = [CrowdForm::BytesBehind];
    let crowd = Crowd::send(deployment.callers, RESPONSE_CROWD, &forms, &head);
    deployment.processes.suspend("gateway").unwrap();
    check_arrivals(&gateway, crowd);
}

/// Lets bytes arrive at a suspended gateway, then checks it beside the crowd and after it.
fn check_arrivals<C>(gateway: &SampledGateway, crowd: C) {
    thread::sleep(ARRIVAL_TIME);
    gateway.deployment.processes.resume("gateway").unwrap();
    gateway.check_ordinary("beside the crowd");
    drop(crowd);
    gateway.check_ordinary("after the crowd");
    gateway
        .sampler
        .check(LOW_MEMORY_MB * 1_024, ARRIVAL_DESCRIPTORS_MAX);
}

/// Starts an endpoint that answers each request with bytes without end.
fn spawn_endless_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buf = [0; 64 * 1024];
                // The request fits into one read.
                let len = stream.read(&mut buf).unwrap_or(0);
                if buf[..len].starts_with(b"GET") {
                    return stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
                let head = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: crowd\r\n\
                            Content-Length: 99999999999\r\n\r\n";
                stream.write_all(head.as_bytes())?;
                loop {
                    stream.write_all(&buf)?;
                }
            });
        }
    });
    address
}

/// Sends as much of a request as the connection takes.
fn send_some(stream: &mut TcpStream, head: &str) {
    stream.set_nonblocking(true).unwrap();
    let mut text = head.as_bytes().to_vec();
    text.extend_from_slice(format!("{SENT_LEN:x}\r\n").as_bytes());
    text.resize(text.len() + SENT_LEN, b'a');
    let mut sent = 0;
    while sent < text.len() {
        match stream.write(&text[sent..]) {
            Ok(len) => sent += len,
            // The buffers are full, or the connection was refused.
            Err(_) => return,
        }
    }
}
