//! Tests of each fault of the proxy, as observed at both ends of a connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use mulberrywell_testkit::{free_port, wait_until, FaultProxy, FlowFault, ProxyFlow};

/// Time during which a stalled flow must not deliver any data.
const QUIET_PERIOD: Duration = Duration::from_millis(150);

/// Timeout of reads.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a proxy and both ends of a connection through it: the caller's and the
/// target's.
fn connect_through_proxy() -> (FaultProxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = FaultProxy::spawn_seeded(listener.local_addr().unwrap(), 7).unwrap();
    let caller = TcpStream::connect(proxy.address()).unwrap();
    let (target, _) = listener.accept().unwrap();
    for socket in [&caller, &target] {
        socket.set_nodelay(true).unwrap();
        socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    }
    (proxy, caller, target)
}

fn read_len(socket: &mut TcpStream, len: usize) -> Vec<u8> {
    let mut data = vec![0; len];
    socket.read_exact(&mut data).unwrap();
    data
}

fn receives_nothing(socket: &mut TcpStream) -> bool {
    socket.set_read_timeout(Some(QUIET_PERIOD)).unwrap();
    let outcome = socket.read(&mut [0; 16]);
    socket.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    outcome.is_err_and(|err| matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn proxy_forwards_both_directions() {
    let (proxy, mut caller, mut target) = connect_through_proxy();
    caller.write_all(b"question").unwrap();
    assert_eq!(read_len(&mut target, 8), b"question");
    target.write_all(b"answer").unwrap();
    assert_eq!(read_len(&mut caller, 6), b"answer");
    drop(target);
    assert_eq!(
        caller.read(&mut [0; 1]).unwrap(),
        0,
        "the end of the stream is forwarded"
    );
    assert_eq!(proxy.accepted(), 1);
}

#[test]
fn proxy_resumes_after_heal() {
    let (proxy, mut caller, mut target) = connect_through_proxy();
    proxy.stall();
    caller.write_all(b"late").unwrap();
    assert!(receives_nothing(&mut target));
    assert!(
        receives_nothing(&mut caller),
        "a stall is not visible to either end"
    );
    proxy.heal();
    assert_eq!(read_len(&mut target, 4), b"late");
}

#[test]
fn proxy_stalls_single_flow() {
    let (proxy, mut caller, mut target) = connect_through_proxy();
    let stalled = FlowFault {
        stalled: true,
        ..FlowFault::default()
    };
    proxy.set_flow(ProxyFlow::ToCaller, stalled);
    caller.write_all(b"in").unwrap();
    assert_eq!(read_len(&mut target, 2), b"in");
    target.write_all(b"out").unwrap();
    assert!(receives_nothing(&mut caller));
}

#[test]
fn proxy_resets_open_connections() {
    let (proxy, mut caller, mut target) = connect_through_proxy();
    caller.write_all(b"x").unwrap();
    read_len(&mut target, 1);
    proxy.reset();
    for socket in [&mut caller, &mut target] {
        let err = socket.read(&mut [0; 1]).unwrap_err();
        assert_eq!(err.kind(), ErrorKind::ConnectionReset);
    }
}

#[test]
fn proxy_resets_stalled_connections() {
    let (proxy, mut caller, _target) = connect_through_proxy();
    proxy.stall();
    caller.write_all(b"x").unwrap();
    assert!(receives_nothing(&mut caller));
    proxy.reset();
    assert!(caller.read(&mut [0; 1]).is_err());
}

#[test]
fn proxy_refuses_new_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = FaultProxy::spawn(listener.local_addr().unwrap()).unwrap();
    proxy.refuse(true);
    // The reset may arrive before or after `connect` has returned.
    if let Ok(mut refused) = TcpStream::connect(proxy.address()) {
        refused.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let err = refused.read(&mut [0; 1]).unwrap_err();
        assert_eq!(err.kind(), ErrorKind::ConnectionReset);
    }
    proxy.heal();
    let mut accepted_caller = TcpStream::connect(proxy.address()).unwrap();
    assert!(receives_nothing(&mut accepted_caller));
}

#[test]
fn proxy_delays_data() {
    let (proxy, mut caller, mut target) = connect_through_proxy();
    let delay = Duration::from_millis(80);
    let fault = FlowFault {
        delay,
        jitter: delay,
        ..FlowFault::default()
    };
    proxy.set_both(fault);
    let started = Instant::now();
    caller.write_all(b"x").unwrap();
    read_len(&mut target, 1);
    assert!(started.elapsed() >= delay);
}

#[test]
fn proxy_throttles_rate() {
    let (proxy, mut caller, mut target) = connect_through_proxy();
    let fault = FlowFault {
        bytes_per_second: 10_000,
        max_write_len: 100,
        ..FlowFault::default()
    };
    proxy.set_flow(ProxyFlow::ToTarget, fault);
    let started = Instant::now();
    caller.write_all(&[1; 2_000]).unwrap();
    read_len(&mut target, 2_000);
    assert!(started.elapsed() >= Duration::from_millis(180));
}

#[test]
fn proxy_splits_writes() {
    let (proxy, mut caller, mut target) = connect_through_proxy();
    proxy.set_both(FlowFault {
        max_write_len: 1,
        ..FlowFault::default()
    });
    let sent: Vec<u8> = (0..=255).collect();
    caller.write_all(&sent).unwrap();
    assert_eq!(read_len(&mut target, 256), sent);
    wait_until("the bytes are counted", || {
        proxy.forwarded(ProxyFlow::ToTarget) == 256
    })
    .unwrap();
}

#[test]
fn free_port_never_repeats() {
    let ports: std::collections::BTreeSet<_> = (0..200).map(|_| free_port().unwrap()).collect();
    assert_eq!(ports.len(), 200);
}

#[test]
fn proxy_stalls_matching_connections() {
    let (proxy, mut caller, mut target) = connect_through_proxy();
    caller.write_all(b"i am control-1").unwrap();
    assert_eq!(read_len(&mut target, 14), b"i am control-1");
    proxy.stall_matching("control-1", ProxyFlow::ToCaller);
    proxy.stall_matching("control-2", ProxyFlow::ToTarget);
    target.write_all(b"held").unwrap();
    caller.write_all(b"more").unwrap();
    assert_eq!(read_len(&mut target, 4), b"more");
    assert!(receives_nothing(&mut caller));
    proxy.resume_matching("control-1");
    assert_eq!(read_len(&mut caller, 4), b"held");
}
