//! Origins of streams in clusters of control roles.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::ServingCall;
use mulberrywell_wire::serving::{
    EndpointPhase, EndpointStatus, ServingAttach, StreamAnswer, StreamKnowledge, StreamOrigin,
    StreamQuery, StreamReport,
};
use mulberrywell_wire::FrameBody;
use rstest::rstest;

use crate::role_cluster::{ClientLink, RoleCluster};

const STREAM: u64 = 77;

/// Time for which a gateway waits for answers.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

fn heartbeat(id: &'static str, software: &str, phase: EndpointPhase) -> ServingCall {
    ServingCall::Heartbeat(EndpointStatus {
        id: Bytes::from_static(id.as_bytes()),
        service: Bytes::from_static(b"s"),
        address: Bytes::from(format!("10.0.0.{}:80", id.len())),
        born_ms: 5,
        sequence: 1,
        software: Bytes::from(software.to_owned()),
        phase: phase.into(),
        ..EndpointStatus::default()
    })
}

fn attach(cluster: &mut RoleCluster, idx: usize) -> ClientLink {
    let entry = cluster.attach(idx, b"entry-0");
    let attach = FrameBody::ServingAttach(ServingAttach::default());
    cluster.send(&entry, attach);
    entry
}

fn report(cluster: &mut RoleCluster, idx: usize, software: &str, lifetime_ms: u64) {
    let entry = attach(cluster, idx);
    let origin = StreamOrigin {
        stream: STREAM,
        service: Bytes::from_static(b"s"),
        software: Bytes::from(software.to_owned()),
        lifetime_ms,
    };
    let origins = vec![origin];
    cluster.send(&entry, FrameBody::StreamReport(StreamReport { origins }));
}

/// Sends an instance a query; returns what it answers within the time for which a gateway
/// waits, and the version that it names.
fn ask(cluster: &mut RoleCluster, idx: usize) -> Option<(StreamKnowledge, String)> {
    let entry = attach(cluster, idx);
    cluster.drain_frames(&entry);
    let query = StreamQuery {
        sequence: 4,
        stream: STREAM,
        service: Bytes::from_static(b"s"),
    };
    cluster.send(&entry, FrameBody::StreamQuery(query));
    let sent = cluster.now();
    let answer: StreamAnswer = loop {
        let frames = cluster.drain_frames(&entry).into_iter();
        let mut answers = frames.filter_map(|frame| match frame {
            FrameBody::StreamAnswer(answer) => Some(answer),
            _ => None,
        });
        if let Some(answer) = answers.next() {
            break answer;
        }
        if cluster.now() - sent >= LOOKUP_TIMEOUT {
            return None;
        }
        cluster.run(Duration::from_millis(10));
    };
    assert_eq!(answer.sequence, 4);
    let origin = answer.origin.clone().unwrap_or_default();
    let software = String::from_utf8(origin.software.to_vec()).unwrap();
    Some((answer.knowledge(), software))
}

/// Returns what an instance answers in time.
fn query(cluster: &mut RoleCluster, idx: usize) -> (StreamKnowledge, String) {
    ask(cluster, idx).expect("an answer in time")
}

/// Returns whether an instance names a version as the only one.
fn names_only_version(cluster: &mut RoleCluster, idx: usize) -> bool {
    ask(cluster, idx).is_some_and(|(knowledge, _)| knowledge == StreamKnowledge::OnlyVersion)
}

fn formed(versions: &[(&'static str, &str)]) -> RoleCluster {
    let mut cluster = RoleCluster::formed(3);
    for (id, software) in versions {
        cluster.call_serving(0, heartbeat(id, software, EndpointPhase::Ready));
    }
    cluster.run(Duration::from_secs(1));
    cluster
}

/// While there is one version, it has begun every stream.
#[test]
fn only_version_named() {
    let mut cluster = formed(&[("e", "v1"), ("ee", "v1")]);
    for idx in 0..3 {
        let expected = (StreamKnowledge::OnlyVersion, "v1".to_owned());
        assert_eq!(query(&mut cluster, idx), expected);
    }
}

/// Guards against a version that is taken for the only one.
#[rstest]
#[case::both_serve(false)]
#[case::one_has_left(true)]
fn only_version_of_several_not_named(#[case] has_left: bool) {
    let mut cluster = formed(&[("e", "v1"), ("ee", "v2")]);
    if has_left {
        cluster.call_serving(1, heartbeat("e", "v1", EndpointPhase::Gone));
        cluster.run(Duration::from_secs(60));
    }
    for idx in 0..3 {
        let expected = (StreamKnowledge::None, String::new());
        assert_eq!(query(&mut cluster, idx), expected);
    }
}

/// Guards against a version that has left and is forgotten when all instances restart.
#[test]
fn version_that_left_outlives_restart() {
    let mut cluster = formed(&[("e", "v1"), ("ee", "v2")]);
    cluster.call_serving(1, heartbeat("e", "v1", EndpointPhase::Gone));
    cluster.run(Duration::from_secs(1));
    cluster.restart_all();
    cluster.call_serving(0, heartbeat("ee", "v2", EndpointPhase::Ready));
    cluster.run(Duration::from_secs(6));
    for idx in 0..3 {
        assert_eq!(query(&mut cluster, idx).0, StreamKnowledge::None);
    }
}

/// Guards against streams of which nobody knows the version after all instances were
/// lost, or after the one that they were reported to.
#[rstest]
#[case::all_restart(true)]
#[case::running(false)]
fn origin_kept(#[case] restarts: bool) {
    let mut cluster = formed(&[("e", "v1"), ("ee", "v2")]);
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, "v1", 12_000);
    cluster.run(Duration::from_millis(400));
    if restarts {
        cluster.restart_all();
        cluster.run(Duration::from_secs(6));
    }
    for idx in 0..3 {
        let expected = (StreamKnowledge::Recorded, "v1".to_owned());
        assert_eq!(query(&mut cluster, idx), expected, "instance {idx}");
    }
}

/// Streams that were begun while there was one version are put into the log once there
/// are two.
#[test]
fn origin_of_single_version_saved_with_second() {
    let mut cluster = formed(&[("e", "v1")]);
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, "v1", 30_000);
    cluster.run(Duration::from_secs(1));
    let other = (leader + 1) % 3;
    // Its answer is the leader's, which was told of the stream.
    let expected = (StreamKnowledge::Recorded, "v1".to_owned());
    assert_eq!(query(&mut cluster, other), expected);
    cluster.call_serving(0, heartbeat("ee", "v2", EndpointPhase::Ready));
    cluster.run(Duration::from_millis(600));
    cluster.restart_all();
    cluster.run(Duration::from_secs(6));
    assert_eq!(query(&mut cluster, other), expected);
}

/// Guards against one of two origins that is taken for the true one.
#[test]
fn origin_reported_twice_unknown() {
    let mut cluster = formed(&[("e", "v1"), ("ee", "v2")]);
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, "v1", 12_000);
    report(&mut cluster, leader, "v2", 12_000);
    cluster.run(Duration::from_millis(400));
    assert_eq!(query(&mut cluster, leader).0, StreamKnowledge::None);
}

/// Origins are dropped once no caller can take the stream up.
#[test]
fn origin_expires() {
    let mut cluster = formed(&[("e", "v1"), ("ee", "v2")]);
    let leader = cluster.leader().unwrap();
    report(&mut cluster, leader, "v1", 2_000);
    cluster.run(Duration::from_secs(1));
    assert_eq!(query(&mut cluster, leader).0, StreamKnowledge::Recorded);
    cluster.run(Duration::from_secs(2));
    cluster.set_clocks(60_000);
    // Any command carries the clock.
    cluster.call_serving(0, heartbeat("eee", "v3", EndpointPhase::Ready));
    cluster.run(Duration::from_secs(1));
    let other = (leader + 1) % 3;
    assert_eq!(query(&mut cluster, other).0, StreamKnowledge::None);
}

/// Guards against a majority of instances that have restarted from snapshots and name the
/// version as the only one that was so before the snapshots.
#[test]
fn only_version_of_snapshot_not_named() {
    let mut cluster = formed(&[("e", "v1")]);
    cluster.save_snapshots();
    cluster.call_serving(0, heartbeat("ee", "v2", EndpointPhase::Ready));
    cluster.run(Duration::from_secs(1));
    cluster.restart_all();
    for _ in 0..20 {
        for idx in 0..3 {
            assert!(!names_only_version(&mut cluster, idx), "instance {idx}");
        }
    }
    for idx in 0..3 {
        assert_eq!(query(&mut cluster, idx).0, StreamKnowledge::None);
    }
}

/// Guards against an instance that is cut off from the others while a version joins.
#[rstest]
#[case::link_closed(true)]
#[case::link_silent(false)]
fn only_version_of_cut_off_not_named(#[case] is_closed: bool) {
    let mut cluster = formed(&[("e", "v1")]);
    let cut_off = (cluster.leader().unwrap() + 1) % 3;
    if is_closed {
        cluster.isolate(cut_off);
    } else {
        for idx in (0..3).filter(|idx| *idx != cut_off) {
            cluster.freeze(idx);
        }
    }
    cluster.run(Duration::from_millis(100));
    assert!(!names_only_version(&mut cluster, cut_off));
}

/// Guards against an instance that stood still while a version joined, and handles an
/// entry's query before what the others have sent meanwhile.
#[test]
fn only_version_before_suspension_not_named() {
    let mut cluster = formed(&[("e", "v1")]);
    let leader = cluster.leader().unwrap();
    let suspended = (leader + 1) % 3;
    cluster.freeze(suspended);
    cluster.call_serving(leader, heartbeat("ee", "v2", EndpointPhase::Ready));
    cluster.run(Duration::from_secs(3));
    cluster.thaw(suspended);
    assert!(!names_only_version(&mut cluster, suspended));
}

/// Guards against a leader that stood still while a version joined elsewhere.
#[test]
fn only_version_of_suspended_leader_not_named() {
    let mut cluster = formed(&[("e", "v1")]);
    let suspended = cluster.leader().unwrap();
    cluster.freeze(suspended);
    let other = (suspended + 1) % 3;
    cluster.run(Duration::from_secs(2));
    cluster.call_serving(other, heartbeat("ee", "v2", EndpointPhase::Ready));
    cluster.run(Duration::from_secs(1));
    cluster.thaw(suspended);
    assert!(!names_only_version(&mut cluster, suspended));
}
