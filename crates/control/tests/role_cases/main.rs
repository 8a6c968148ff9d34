//! The control role in virtual time: clusters of roles linked in memory.

mod absence_cases;
mod ended_cases;
mod evacuation_cases;
mod load_cases;
mod observer_cases;
mod permit_cases;
mod prompt_cases;
mod replacement_cases;
mod role_cluster;
mod serving_cases;
mod shutdown_cases;
mod stream_cases;

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_wire::claim::{ClaimRequest, ClaimState, OutcomeReport, StoredAnswer};
use mulberrywell_wire::config::ConfirmQuery;
use mulberrywell_wire::rate::LeaseRequest;
use mulberrywell_wire::FrameBody;
use rstest::rstest;

use role_cluster::RoleCluster;

const LISTS: &str = r#"{"plans":"[[plan]]\nname=\"gold\"\nrate=1\nburst=1000\n[[account]]\nname=\"cali\"\nplan=\"gold\"\n","grants":"","request_id":"lists"}"#;

fn claim_frame(sequence: u64, digest: &'static str) -> FrameBody {
    FrameBody::ClaimRequest(ClaimRequest {
        sequence,
        account: Bytes::from_static(b"cali"),
        key: Bytes::from_static(b"key"),
        digest: Bytes::from_static(digest.as_bytes()),
    })
}

fn lease_frame(sequence: u64) -> FrameBody {
    FrameBody::LeaseRequest(LeaseRequest {
        sequence,
        account: Bytes::from_static(b"cali"),
        tokens: 10,
        least: 10,
        patience_ms: 1_000,
        ..LeaseRequest::default()
    })
}

#[test]
fn read_resumed_leader_refused() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    assert_eq!(cluster.call(leader, "GET", "/v1/config", "").status, 200);
    cluster.freeze(leader);
    cluster.run(Duration::from_secs(5));
    // The operator's request is the first event after the suspension.
    cluster.thaw(leader);
    let answer = cluster.call_immediately(leader, "GET", "/v1/config", "");
    assert_eq!(answer.status, 503, "{}", answer.body);
}

#[test]
fn confirmation_resumed_leader_refused() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let entry = cluster.attach(leader, b"entry-0");
    cluster.freeze(leader);
    cluster.run(Duration::from_secs(5));
    cluster.thaw(leader);
    cluster.send(
        &entry,
        FrameBody::ConfirmQuery(ConfirmQuery { sequence: 1 }),
    );
    let frames = cluster.drain_frames(&entry);
    let [FrameBody::ConfirmAnswer(answer)] = frames.as_slice() else {
        panic!("{frames:?}");
    };
    assert!(!answer.confirmed);
}

/// Offsets of the contacted role from the leader.
#[rstest]
#[case(0)]
#[case(1)]
fn claim_any_instance(#[case] offset: usize) {
    let mut cluster = RoleCluster::formed(3);
    let idx = (cluster.leader().unwrap() + offset) % 3;
    let entry = cluster.attach(idx, b"entry-0");
    let first = cluster.send_and_receive(&entry, claim_frame(1, "body"));
    let Some(FrameBody::ClaimAnswer(granted)) = first else {
        panic!("{first:?}");
    };
    assert_eq!(granted.state(), ClaimState::Granted);
    let other = cluster.attach((idx + 1) % 3, b"entry-1");
    let answer_of = |frame| match frame {
        Some(FrameBody::ClaimAnswer(answer)) => answer,
        other => panic!("{other:?}"),
    };
    let pending = answer_of(cluster.send_and_receive(&other, claim_frame(2, "body")));
    assert_eq!(pending.state(), ClaimState::Pending);
    let mismatch = answer_of(cluster.send_and_receive(&other, claim_frame(3, "another body")));
    assert_eq!(mismatch.state(), ClaimState::Mismatch);
    let report = FrameBody::OutcomeReport(OutcomeReport {
        sequence: 4,
        account: Bytes::from_static(b"cali"),
        key: Bytes::from_static(b"key"),
        claim: granted.claim,
        answer: Some(StoredAnswer {
            status: 201,
            ..StoredAnswer::default()
        }),
        not_run: false,
    });
    assert!(matches!(
        cluster.send_and_receive(&entry, report),
        Some(FrameBody::OutcomeAck(_))
    ));
    let done = answer_of(cluster.send_and_receive(&other, claim_frame(5, "body")));
    assert_eq!(done.state(), ClaimState::Done);
    assert_eq!(done.answer.unwrap().status, 201);
}

#[test]
fn claim_without_quorum_unavailable() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let entry = cluster.attach(leader, b"entry-0");
    cluster.freeze((leader + 1) % 3);
    cluster.freeze((leader + 2) % 3);
    let answer = cluster.send_and_receive(&entry, claim_frame(1, "body"));
    let Some(FrameBody::ClaimAnswer(answer)) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(answer.state(), ClaimState::Unavailable);
}

#[test]
fn lease_leader_changes_bounded() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let answer = cluster.call(leader, "POST", "/v1/lists", LISTS);
    assert_eq!(answer.status, 200, "{}", answer.body);
    let started = cluster.now();
    let mut granted = 0;
    let mut sequence = 0;
    for round in 0..3 {
        let idx = (cluster.leader().unwrap() + round) % 3;
        let entry = cluster.attach(idx, b"entry-0");
        let until = cluster.now() + Duration::from_secs(4);
        while cluster.now() < until {
            sequence += 1;
            if let Some(FrameBody::LeaseGrant(grant)) =
                cluster.send_and_receive(&entry, lease_frame(sequence))
            {
                granted += grant.tokens;
            }
            cluster.run(Duration::from_millis(20));
        }
        assert!(granted > 0);
        let leader = cluster.leader().unwrap();
        cluster.freeze(leader);
        cluster.run(Duration::from_secs(3));
        cluster.thaw(leader);
        cluster.run(Duration::from_secs(1));
    }
    let seconds = (cluster.now() - started).as_secs();
    assert!(granted <= 1_000 + seconds + 1, "{granted} in {seconds} s");
}

/// An instance that reaches no other seed must not found a second cluster.
#[test]
fn found_without_seeds_refused() {
    let mut cluster = RoleCluster::unlinked(3);
    cluster.run(Duration::from_secs(60));
    assert_eq!(cluster.leader(), None);
}

/// Members that start their election time-outs at the same instant must not
/// keep campaigning simultaneously.
#[rstest]
#[case(3)]
#[case(5)]
fn restart_simultaneous_elects(#[case] count: usize) {
    let mut cluster = RoleCluster::restarted(count);
    cluster.run(Duration::from_secs(6));
    assert!(cluster.leader().is_some());
}
