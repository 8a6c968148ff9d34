//! Tests of hostile peers on the link ports of the control instance and the agent.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{small_cluster, SmallCluster};
use mulberrywell_testkit::{HttpCaller, LinkCaller, CLUSTER_SECRET};
use mulberrywell_wire::consensus::ConsensusFrame;
use mulberrywell_wire::endpoint::{Announce, TargetOrder};
use mulberrywell_wire::link::{Hello, Proof};
use mulberrywell_wire::request::{AttemptEnd, AttemptStart};
use mulberrywell_wire::{FrameBody, PeerRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Limit of the time until a link is closed after a violation.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// Limit of the time until a link without traffic is closed.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

fn link_ports(small: &SmallCluster) -> [SocketAddr; 2] {
    [small.cluster.links[0], small.cluster.agents[0]]
}

/// Checks that all processes are running and that a valid request is served.
fn check_serves(small: &mut SmallCluster) {
    for name in ["control-0", "entry-0", "agent-engine-0", "agent-payments-0"] {
        assert!(small.cluster.is_running(name), "{name}");
    }
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    assert_eq!(caller.chat("payroll", "x", 2, true).unwrap().status, 200);
}

fn hello() -> Hello {
    Hello {
        protocol: 1,
        role: PeerRole::Entry.into(),
        nonce: vec![7; 16].into(),
        ..Hello::default()
    }
}

#[test]
fn bytes_before_handshake_refused() {
    let mut small = small_cluster(1, 1);
    let mut rng = Pcg64Mcg::seed_from_u64(21);
    for address in link_ports(&small) {
        for round in 0..30 {
            let mut bytes = vec![0; rng.random_range(4..60_000)];
            rng.fill(&mut bytes[..]);
            // With a first byte of at least 1, the length field exceeds the limit of
            // the handshake.
            bytes[0] |= 1;
            let mut peer = LinkCaller::connect(address).unwrap();
            // The listener may close the connection before it has read all bytes.
            let _ = peer.send_bytes(&bytes);
            assert!(
                peer.is_closed_within(CLOSE_LIMIT),
                "{address} round {round}"
            );
        }
    }
    check_serves(&mut small);
}

#[test]
fn bad_frames_before_handshake_refused() {
    let mut small = small_cluster(1, 1);
    let frames: Vec<(&str, FrameBody)> = vec![
        ("start", FrameBody::AttemptStart(AttemptStart::default())),
        ("announce", FrameBody::Announce(Announce::default())),
        (
            "proof",
            FrameBody::Proof(Proof {
                mac: vec![0; 32].into(),
            }),
        ),
        (
            "version",
            FrameBody::Hello(Hello {
                protocol: 99,
                ..hello()
            }),
        ),
        (
            "nonce",
            FrameBody::Hello(Hello {
                nonce: vec![7; 3].into(),
                ..hello()
            }),
        ),
        ("role", FrameBody::Hello(Hello { role: 0, ..hello() })),
        (
            "unknown role",
            FrameBody::Hello(Hello {
                role: 77,
                ..hello()
            }),
        ),
        (
            "long hello",
            FrameBody::Hello(Hello {
                zone: vec![0; 8_000].into(),
                ..hello()
            }),
        ),
    ];
    for address in link_ports(&small) {
        for (name, body) in &frames {
            let mut peer = LinkCaller::connect(address).unwrap();
            peer.send_body(body.clone()).unwrap();
            assert!(peer.is_closed_within(CLOSE_LIMIT), "{address} {name}");
        }
        let mut peer = LinkCaller::connect(address).unwrap();
        peer.send_bytes(&[0, 0, 0, 3, 0xff, 0xff, 0xff]).unwrap();
        assert!(peer.is_closed_within(CLOSE_LIMIT), "{address} no message");
    }
    check_serves(&mut small);
}

#[test]
fn truncated_frame_closed_after_silence() {
    let mut small = small_cluster(1, 1);
    for address in link_ports(&small) {
        let mut peer = LinkCaller::connect(address).unwrap();
        peer.send_bytes(&[0, 0, 0, 90, 10]).unwrap();
        assert!(peer.is_closed_within(SILENCE_LIMIT), "{address}");
    }
    check_serves(&mut small);
}

#[test]
fn wrong_secret_refused() {
    let mut small = small_cluster(1, 1);
    for address in link_ports(&small) {
        let opened = LinkCaller::open(address, PeerRole::Entry, "another secret of some length");
        assert!(opened.is_err(), "{address}");
    }
    check_serves(&mut small);
}

#[test]
fn reflected_proof_refused() {
    let mut small = small_cluster(1, 1);
    for address in link_ports(&small) {
        let mut peer = LinkCaller::connect(address).unwrap();
        let peer_hello = peer.receive().unwrap();
        peer.send(&peer_hello).unwrap();
        let proof = peer.receive().unwrap();
        peer.send(&proof).unwrap();
        assert!(peer.is_closed_within(CLOSE_LIMIT), "{address}");
    }
    check_serves(&mut small);
}

#[test]
fn replayed_handshake_refused() {
    let mut small = small_cluster(1, 1);
    for address in link_ports(&small) {
        let good = LinkCaller::open(address, PeerRole::Entry, CLUSTER_SECRET).unwrap();
        let mut peer = LinkCaller::connect(address).unwrap();
        for frame in &good.recording.sent {
            peer.send(frame).unwrap();
        }
        assert!(peer.is_closed_within(CLOSE_LIMIT), "{address}");
    }
    check_serves(&mut small);
}

#[test]
fn frames_of_wrong_role_refused() {
    let mut small = small_cluster(1, 1);
    let start = FrameBody::AttemptStart(AttemptStart::default());
    let order = FrameBody::TargetOrder(TargetOrder::default());
    let announce = FrameBody::Announce(Announce::default());
    let end = FrameBody::AttemptEnd(AttemptEnd::default());
    let consensus = FrameBody::Consensus(ConsensusFrame::default());
    let cases = [
        (PeerRole::Agent, start.clone()),
        (PeerRole::Control, start),
        (PeerRole::Entry, order.clone()),
        (PeerRole::Agent, order),
        (PeerRole::Entry, announce),
        (PeerRole::Entry, end),
        (PeerRole::Entry, consensus),
        (PeerRole::Entry, FrameBody::Hello(hello())),
    ];
    for address in link_ports(&small) {
        for (role, body) in &cases {
            let mut peer = LinkCaller::open(address, *role, CLUSTER_SECRET).unwrap();
            peer.send_body(body.clone()).unwrap();
            assert!(
                peer.is_closed_within(CLOSE_LIMIT),
                "{address} {role:?} {body:?}"
            );
        }
    }
    check_serves(&mut small);
}

#[test]
fn oversized_frame_refused() {
    let mut small = small_cluster(1, 1);
    for address in link_ports(&small) {
        let mut peer = LinkCaller::open(address, PeerRole::Entry, CLUSTER_SECRET).unwrap();
        peer.send_bytes(&u32::MAX.to_be_bytes()).unwrap();
        assert!(peer.is_closed_within(CLOSE_LIMIT), "{address}");
    }
    check_serves(&mut small);
}

#[test]
fn empty_frames_of_own_role_tolerated() {
    let mut small = small_cluster(1, 1);
    let frames = [
        (
            PeerRole::Entry,
            FrameBody::AttemptStart(AttemptStart::default()),
        ),
        (PeerRole::Agent, FrameBody::Announce(Announce::default())),
        (
            PeerRole::Control,
            FrameBody::TargetOrder(TargetOrder::default()),
        ),
        (
            PeerRole::Control,
            FrameBody::Consensus(ConsensusFrame::default()),
        ),
        (
            PeerRole::Agent,
            FrameBody::AttemptEnd(AttemptEnd::default()),
        ),
    ];
    for address in link_ports(&small) {
        for (role, body) in &frames {
            let mut peer = LinkCaller::open(address, *role, CLUSTER_SECRET).unwrap();
            peer.send_body(body.clone()).unwrap();
        }
    }
    check_serves(&mut small);
}
