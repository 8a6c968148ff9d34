//! Crowds whose bytes arrive while a process can't read them.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::gateway_crowds::{request_head, SampledGateway};
use crate::{run_alone, ARRIVAL_CROWD, LOW_MEMORY_MB};

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
    thread::sleep(ARRIVAL_TIME);
    deployment.processes.resume("gateway").unwrap();
    gateway.check_ordinary("beside the crowd");
    drop(crowd);
    gateway.check_ordinary("after the crowd");
    gateway
        .sampler
        .check(LOW_MEMORY_MB * 1_024, ARRIVAL_DESCRIPTORS_MAX);
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
