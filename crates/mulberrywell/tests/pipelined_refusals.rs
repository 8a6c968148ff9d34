//! Refusals of requests that a caller sends behind another one, whose response it
//! doesn't read yet: they don't take the place of the rest of that response.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use common::{binaries, GRANTS, PLANS};
use mulberrywell_testkit::{spawn_server, AgentPlan, ClusterPlan, ProcessCluster};
use nix::sys::signal::Signal;
use rstest::rstest;

/// Stall timeout of the entry.
const CALLER_STALL: Duration = Duration::from_millis(600);

/// Time in which the caller reads nothing: longer than the stall timeout, shorter than
/// the time in which a stalled connection is closed.
const UNREAD_TIME: Duration = Duration::from_millis(1_000);

/// Time in which an entry that shuts down refuses what it has not read; it ends 0.5 s
/// after that.
const SHUTDOWN_TIME: Duration = Duration::from_millis(300);

/// Timeout for a read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

fn spawn_endpoint(body_len: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn_server(listener, move |request, stream| {
        let len = if request.target == "/orders" {
            body_len
        } else {
            0
        };
        stream.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {len}\r\n\r\n{}",
            "x".repeat(len)
        ))
    });
    address
}

/// What makes the entry refuse the request behind the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RefusalCause {
    StalledBody,
    Shutdown,
}

/// Guards against a refusal in the middle of a response that its caller reads slowly,
/// where a length makes it a part of the body: the request behind it stalls, or the
/// entry shuts down.
#[rstest]
fn refusal_behind_unread_response(
    #[values(RefusalCause::StalledBody, RefusalCause::Shutdown)] cause: RefusalCause,
    #[values(200, 400, 600, 800, 1_200)] body_kib: usize,
) {
    let body_len = body_kib * 1024;
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        agents: vec![AgentPlan::service("payments", spawn_endpoint(body_len))],
        entry_extra: match cause {
            RefusalCause::StalledBody => format!("caller_stall_ms = {}", CALLER_STALL.as_millis()),
            RefusalCause::Shutdown => "shutdown_grace_ms = 100".to_owned(),
        },
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(1).unwrap();
    let key = cluster.create_key("medellin", "m1").unwrap();
    let mut caller = TcpStream::connect(cluster.callers[0]).unwrap();
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let head = format!("Host: entry\r\nAuthorization: Bearer {key}\r\n");
    let requests = format!(
        "GET /services/payments/orders HTTP/1.1\r\n{head}\r\n\
         POST /services/payments/orders HTTP/1.1\r\n{head}Content-Length: 4000\r\n\r\n{{"
    );
    caller.write_all(requests.as_bytes()).unwrap();
    thread::sleep(UNREAD_TIME);
    if cause == RefusalCause::Shutdown {
        cluster.signal("entry-0", Signal::SIGTERM).unwrap();
        thread::sleep(SHUTDOWN_TIME);
    }
    let mut bytes = Vec::new();
    // A reset ends the read with an error; what came before counts.
    let _ = caller.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    let (first, rest) = text.split_once("\r\n\r\n").unwrap();
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    let body = rest.trim_start_matches(|it: char| it != 'x');
    let body = body.split("HTTP/1.1").next().unwrap();
    let received = body.bytes().filter(|byte| *byte == b'x').count();
    let refusals = rest.matches("HTTP/1.1 ").count();
    assert!(
        refusals == 0 || received == body_len,
        "{refusals} refusals behind {received} of {body_len} bytes"
    );
}
