//! Endpoints that drain or leave, beside the end of all instances.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::{ServingAnswer, ServingCall};
use mulberrywell_wire::serving::{EndpointPhase, EndpointStatus, ServingAttach};
use mulberrywell_wire::FrameBody;
use rstest::rstest;

use crate::role_cluster::RoleCluster;

const BORN_MS: u64 = 5;

fn heartbeat(sequence: u64, phase: EndpointPhase) -> ServingCall {
    ServingCall::Heartbeat(EndpointStatus {
        id: Bytes::from_static(b"e"),
        service: Bytes::from_static(b"s"),
        address: Bytes::from_static(b"10.0.0.1:80"),
        born_ms: BORN_MS,
        sequence,
        phase: phase.into(),
        ..EndpointStatus::default()
    })
}

fn leave(born_ms: u64) -> ServingCall {
    ServingCall::Leave {
        id: Bytes::from_static(b"e"),
        born_ms,
    }
}

/// Returns the last phase that a new gateway is told of the endpoint.
fn phase_at_gateway(cluster: &mut RoleCluster, idx: usize) -> Option<EndpointPhase> {
    let gateway = cluster.attach(idx, b"gateway");
    let attach = ServingAttach::default();
    cluster.send(&gateway, FrameBody::ServingAttach(attach));
    cluster.run(Duration::from_millis(300));
    let frames = cluster.drain_frames(&gateway).into_iter();
    let statuses = frames.filter_map(|frame| match frame {
        FrameBody::ServingUpdate(update) => Some(update.endpoints),
        _ => None,
    });
    statuses.flatten().last().map(|status| status.phase())
}

/// Guards against a confirmed `draining` or leave call that only memory holds: all instances
/// are killed, and a heartbeat that was sent before brings the endpoint back.
#[rstest]
#[case::leave(leave(BORN_MS))]
#[case::leave_known(leave(0))]
#[case::draining(heartbeat(4, EndpointPhase::Draining))]
fn ended_kept_over_restarts(
    #[case] call: ServingCall,
    #[values(1, 2)] restarts: usize,
    #[values(false, true)] has_snapshots: bool,
    #[values(false, true)] is_at_leader: bool,
) {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let idx = match is_at_leader {
        true => leader,
        false => (leader + 1) % 3,
    };
    let ready = heartbeat(3, EndpointPhase::Ready);
    let answer = cluster.call_serving(idx, ready.clone());
    assert_eq!(answer, ServingAnswer::Accepted);
    assert_eq!(cluster.call_serving(idx, call), ServingAnswer::Accepted);
    for _ in 0..restarts {
        if has_snapshots {
            cluster.run(Duration::from_secs(1));
            cluster.save_snapshots();
        }
        cluster.restart_all();
        cluster.run(Duration::from_secs(3));
    }
    let late = cluster.call_serving((idx + 1) % 3, ready);
    assert_eq!(late, ServingAnswer::Accepted);
    cluster.run(Duration::from_millis(200));
    for idx in 0..3 {
        let phase = phase_at_gateway(&mut cluster, idx);
        assert_ne!(phase, Some(EndpointPhase::Ready));
    }
    // A later start, or a later heartbeat of one that drained, counts.
    let ServingCall::Heartbeat(mut next) = heartbeat(9, EndpointPhase::Ready) else {
        unreachable!("a heartbeat");
    };
    next.born_ms = BORN_MS + 1;
    cluster.call_serving(idx, ServingCall::Heartbeat(next));
    let phase = phase_at_gateway(&mut cluster, idx);
    assert_eq!(phase, Some(EndpointPhase::Ready));
}

/// Guards against a log entry for each heartbeat of an endpoint that drains; one that was ready
/// again meanwhile gets another one.
#[test]
fn ended_recorded_once() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    cluster.call_serving(leader, heartbeat(1, EndpointPhase::Ready));
    let mut applied = Vec::new();
    for (sequence, phase) in [
        (2, EndpointPhase::Draining),
        (3, EndpointPhase::Draining),
        (4, EndpointPhase::Ready),
        (5, EndpointPhase::Draining),
    ] {
        let answer = cluster.call_serving(leader, heartbeat(sequence, phase));
        assert_eq!(answer, ServingAnswer::Accepted);
        applied.push(cluster.applied(leader));
    }
    let added: Vec<u64> = applied.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(added, [0, 0, 1]);
}

/// Guards against a `draining` of another writer whose sequence the endpoint never reaches, and
/// that keeps it out for good: it counts again once it alone is heard, also after a restart,
/// and what it says afterwards is kept.
#[rstest]
#[case::highest(u64::MAX)]
#[case::ahead(1_000)]
fn foreign_draining_withdrawn(
    #[case] foreign: u64,
    #[values(false, true)] is_restarted_first: bool,
    #[values(false, true)] is_at_leader: bool,
) {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let idx = match is_at_leader {
        true => leader,
        false => (leader + 1) % 3,
    };
    let mut sequence = 1;
    let mut call = |cluster: &mut RoleCluster, phase| {
        sequence += 1;
        let answer = cluster.call_serving(idx, heartbeat(sequence, phase));
        assert_eq!(answer, ServingAnswer::Accepted);
    };
    call(&mut cluster, EndpointPhase::Ready);
    cluster.call_serving((idx + 1) % 3, heartbeat(foreign, EndpointPhase::Draining));
    if is_restarted_first {
        cluster.restart_all();
        cluster.run(Duration::from_secs(3));
    }
    for _ in 0..6 {
        call(&mut cluster, EndpointPhase::Ready);
        cluster.run(Duration::from_millis(1_200));
    }
    for restarts in 0..2 {
        if restarts > 0 {
            cluster.restart_all();
            // Before a leader is elected no record is known to be in force.
            assert_eq!(cluster.leader(), None);
            call(&mut cluster, EndpointPhase::Ready);
            cluster.run(Duration::from_secs(3));
        }
        for idx in 0..3 {
            let phase = phase_at_gateway(&mut cluster, idx);
            assert_eq!(phase, Some(EndpointPhase::Ready), "{restarts} restarts");
        }
    }
    call(&mut cluster, EndpointPhase::Draining);
    cluster.restart_all();
    cluster.run(Duration::from_secs(3));
    cluster.call_serving(idx, heartbeat(sequence - 1, EndpointPhase::Ready));
    let phase = phase_at_gateway(&mut cluster, idx);
    assert_ne!(phase, Some(EndpointPhase::Ready));
}

/// Guards against a late heartbeat that arrives before a leader is elected again, and counts
/// for good.
#[test]
fn ended_applied_after_late_heartbeat() {
    let mut cluster = RoleCluster::formed(3);
    cluster.call_serving(0, heartbeat(1, EndpointPhase::Ready));
    let answer = cluster.call_serving(0, leave(BORN_MS));
    assert_eq!(answer, ServingAnswer::Accepted);
    cluster.restart_all();
    assert_eq!(cluster.leader(), None);
    cluster.call_serving(1, heartbeat(1, EndpointPhase::Ready));
    cluster.run(Duration::from_secs(3));
    for idx in 0..3 {
        let phase = phase_at_gateway(&mut cluster, idx);
        assert_ne!(phase, Some(EndpointPhase::Ready));
    }
}

/// Guards against a confirmation that no disk keeps: without a leader the call is in force,
/// and isn't confirmed.
#[rstest]
#[case::leave(leave(BORN_MS), EndpointPhase::Gone)]
#[case::draining(heartbeat(4, EndpointPhase::Draining), EndpointPhase::Draining)]
fn ended_without_leader_unconfirmed(#[case] call: ServingCall, #[case] expected: EndpointPhase) {
    let mut cluster = RoleCluster::formed(3);
    let ready = heartbeat(3, EndpointPhase::Ready);
    cluster.call_serving(0, ready);
    for idx in [1, 2] {
        cluster.isolate(idx);
    }
    cluster.run(Duration::from_secs(3));
    let answer = cluster.call_serving(0, call.clone());
    assert_eq!(answer, ServingAnswer::Unavailable);
    assert_eq!(phase_at_gateway(&mut cluster, 0), Some(expected));
    for idx in [1, 2] {
        cluster.rejoin(idx);
    }
    cluster.run(Duration::from_secs(4));
    assert_eq!(cluster.call_serving(0, call), ServingAnswer::Accepted);
}
