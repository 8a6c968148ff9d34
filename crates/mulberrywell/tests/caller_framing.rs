//! Responses of a gateway to callers without chunked transfer coding, whose
//! bodies end with the connection.

mod common;

use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use common::serving_deployment::{ServingDeployment, KEY};
use mulberrywell_testkit::{spawn_server, wait_until, RawCaller, RawEnd};
use rstest::rstest;

/// Timeout for a connection to end.
const END_TIMEOUT: Duration = Duration::from_secs(8);

/// Length in bytes of each chunk of the endpoint's responses.
const CHUNK_LEN: usize = 64 * 1024;

/// Time before a truncated response ends, in which the caller receives its start.
const CUT_DELAY: Duration = Duration::from_millis(300);

/// Chunks of a response that a gateway forwards before its end.
const LONG_CHUNKS: usize = 16;

/// Chunks of a response that is longer than the buffers on its way.
const OVERLONG_CHUNKS: usize = 512;

/// Chunks of a response that the buffers on its way hold.
const BUFFERED_CHUNKS: usize = 112;

/// Starts a deployment whose endpoint responds in chunks: `/once/cut` with a
/// truncated body, `/once/hold` without an end, the others completely.
fn spawn_chunk_endpoint() -> ServingDeployment {
    let deployment = ServingDeployment::spawn();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn_server(listener, |request, stream| {
        let id = request.header("Request-Id");
        stream.write(&format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        ));
        let count = match request.target.as_str() {
            "/once/overlong" => OVERLONG_CHUNKS,
            "/once/buffered" => BUFFERED_CHUNKS,
            _ => LONG_CHUNKS,
        };
        for _ in 0..count {
            stream.write_chunk(&"x".repeat(CHUNK_LEN));
        }
        match request.target.as_str() {
            "/once/cut" => {
                thread::sleep(CUT_DELAY);
                false
            }
            "/once/hold" => {
                thread::sleep(END_TIMEOUT);
                false
            }
            _ => stream.write_chunk(""),
        }
    });
    let worker = &deployment.worker;
    let draining = worker.heartbeat("s1", "draining", 2);
    assert!(deployment.operator.send_heartbeat("w1", &draining));
    let ready = worker.heartbeat_at(address, "s1", "ready", 1);
    assert!(deployment.operator.send_heartbeat("w2", &ready));
    wait_until("requests reach the endpoint", || {
        let mut caller = start_call(&deployment, "/once/whole");
        let response = caller.read_to_end(END_TIMEOUT);
        response.bytes.len() > LONG_CHUNKS * CHUNK_LEN
    })
    .unwrap();
    deployment
}

fn start_call(deployment: &ServingDeployment, path: &str) -> RawCaller {
    let mut caller = RawCaller::connect(deployment.callers).unwrap();
    let request = format!(
        "POST {path} HTTP/1.0\r\nHost: h.example\r\nDeadline-Ms: 7000\r\nCredential: {KEY}\r\n\
         Request-Id: r1\r\nContent-Length: 4\r\n\r\nbody"
    );
    assert!(caller.send(request.as_bytes()));
    caller
}

fn has_started(bytes: &[u8]) -> bool {
    bytes.len() > CHUNK_LEN
}

// Guards against a response that the connection ends being reset although complete.
#[test]
fn unframed_body_whole_closed() {
    let deployment = spawn_chunk_endpoint();
    let response = start_call(&deployment, "/once/whole").read_to_end(END_TIMEOUT);
    assert_eq!(response.end, RawEnd::Closed);
    let text = response.text();
    let (_, body) = text.split_once("\r\n\r\n").unwrap();
    assert_eq!(body.len(), LONG_CHUNKS * CHUNK_LEN);
}

// Guards against an aborted response looking complete.
#[test]
fn unframed_body_aborted_reset() {
    let deployment = spawn_chunk_endpoint();
    let response = start_call(&deployment, "/once/cut").read_to_end(END_TIMEOUT);
    assert_eq!(response.status(), 200);
    assert_eq!(response.end, RawEnd::Reset);
}

// Guards against the rest of a response being dropped in an orderly way for a
// caller that reads slowly.
#[rstest]
#[case::overlong("/once/overlong")]
#[case::buffered("/once/buffered")]
fn unframed_body_not_read_reset(#[case] path: &str) {
    let deployment = spawn_chunk_endpoint();
    let mut caller = start_call(&deployment, path);
    thread::sleep(Duration::from_secs(4));
    let response = caller.read_to_end(END_TIMEOUT);
    assert_eq!(response.end, RawEnd::Reset, "{}", response.bytes.len());
}

// Guards against a response ending in an orderly way when its gateway ends, or
// for a caller that has closed its sending side.
#[rstest]
#[case::gateway_killed(true)]
#[case::caller_half_closed(false)]
fn unframed_body_connection_lost_reset(#[case] is_killed: bool) {
    let mut deployment = spawn_chunk_endpoint();
    let mut caller = start_call(&deployment, "/once/hold");
    let first_part = caller.read_until(END_TIMEOUT, has_started);
    assert_eq!(first_part.status(), 200);
    if is_killed {
        deployment.processes.kill("gateway").unwrap();
    } else {
        caller.end_sending().unwrap();
    }
    assert_eq!(caller.read_to_end(END_TIMEOUT).end, RawEnd::Reset);
}
