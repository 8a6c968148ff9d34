//! Control instances without a disk, which receive the log and never vote.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::{ServingAnswer, ServingCall};
use mulberrywell_wire::serving::{
    EndpointPhase, EndpointStatus, PutServing, ServingAttach, ServingConfig, ServingService,
    ServingUpdate,
};
use mulberrywell_wire::FrameBody;
use rstest::rstest;

use crate::role_cluster::RoleCluster;

fn put(version: u64) -> ServingCall {
    ServingCall::Put(PutServing {
        config: Some(ServingConfig {
            version,
            services: vec![ServingService {
                name: Bytes::from_static(b"s"),
                ..ServingService::default()
            }],
            ..ServingConfig::default()
        }),
        source: Bytes::from(format!("version {version}")),
    })
}

fn heartbeat() -> ServingCall {
    ServingCall::Heartbeat(EndpointStatus {
        id: Bytes::from_static(b"e"),
        service: Bytes::from_static(b"s"),
        address: Bytes::from_static(b"10.0.0.1:80"),
        born_ms: 5,
        sequence: 1,
        phase: EndpointPhase::Ready.into(),
        ..EndpointStatus::default()
    })
}

fn count_members(cluster: &mut RoleCluster, leader: usize, role: &str) -> usize {
    let answer = cluster.call(leader, "GET", "/v1/members", "");
    let pattern = format!("\"role\":\"{role}\"");
    answer.body.matches(&pattern).count()
}

/// One cluster is founded, whichever of the seeds have a disk; the instances with
/// one vote and the others learn.
#[rstest]
#[case::all_with_disk(&[false, false, false], &[0, 1, 2])]
#[case::first_seed_without(&[true, false, false, false, true], &[0, 1, 2])]
#[case::last_seed_without(&[false, false, true, false], &[0, 1, 2])]
#[case::no_seed_with(&[true, true, true, false, false, false], &[0, 1, 2])]
#[case::no_seed_with_first_last(&[false, false, false, true, true, true], &[5, 3, 4])]
fn observer_cluster_founded_once(#[case] observers: &[bool], #[case] seeds: &[usize]) {
    let mut cluster = RoleCluster::founded(observers, seeds);
    let first = cluster.cluster_of(0);
    assert_ne!(first, 0);
    assert!((0..observers.len()).all(|idx| cluster.cluster_of(idx) == first));
    let leader = cluster.leader().expect("a leader");
    assert!(!observers[leader]);
    let voters = observers
        .iter()
        .filter(|is_observer| !**is_observer)
        .count();
    // The list shows the leader as such.
    assert_eq!(count_members(&mut cluster, leader, "voter"), voters - 1);
    let learners = observers.len() - voters;
    assert_eq!(count_members(&mut cluster, leader, "learner"), learners);
}

const OBSERVERS: [bool; 5] = [false, false, false, true, true];

fn formed() -> RoleCluster {
    RoleCluster::founded(&OBSERVERS, &[0, 1, 2])
}

/// The observers don't replace lost voters: without a majority of these nothing is
/// acknowledged.
#[test]
fn observer_never_votes() {
    let mut cluster = formed();
    let leader = cluster.leader().unwrap();
    for idx in (0..3).filter(|idx| *idx != leader) {
        cluster.freeze(idx);
    }
    cluster.run(Duration::from_secs(3));
    for idx in [leader, 3, 4] {
        assert_eq!(
            cluster.call_serving(idx, put(5)),
            ServingAnswer::Unavailable
        );
    }
    assert!([3, 4].iter().all(|idx| cluster.leader() != Some(*idx)));
}

/// An observer passes on configurations, reads and heartbeats.
#[test]
fn observer_relays_calls() {
    let mut cluster = formed();
    assert_eq!(cluster.call_serving(3, put(5)), ServingAnswer::Accepted);
    let source = ServingAnswer::Source(Some(Bytes::from_static(b"version 5")));
    assert_eq!(cluster.call_serving(4, ServingCall::Read), source);
    let leader = cluster.leader().unwrap();
    let gateway = cluster.attach(leader, b"gateway");
    cluster.send(&gateway, FrameBody::ServingAttach(ServingAttach::default()));
    assert_eq!(
        cluster.call_serving(3, heartbeat()),
        ServingAnswer::Accepted
    );
    cluster.run(Duration::from_millis(200));
    let frames = cluster.drain_frames(&gateway).into_iter();
    let updates = frames.filter_map(|frame| match frame {
        FrameBody::ServingUpdate(update) => Some(update),
        _ => None,
    });
    let updates: Vec<ServingUpdate> = updates.collect();
    let mut endpoints = updates.iter().flat_map(|update| &update.endpoints);
    assert!(endpoints.any(|status| status.id == "e"));
    let controls = &updates.last().expect("an update").controls;
    assert_eq!(controls.len(), 3, "observers are not advertised");
}

/// An observer that reaches no other instance acknowledges no heartbeat, as nobody
/// would learn of it.
#[test]
fn observer_isolated_refuses_heartbeats() {
    let mut cluster = formed();
    cluster.isolate(3);
    cluster.run(Duration::from_millis(100));
    assert_eq!(
        cluster.call_serving(3, heartbeat()),
        ServingAnswer::Unavailable
    );
    assert_eq!(
        cluster.call_serving(4, heartbeat()),
        ServingAnswer::Accepted
    );
}
