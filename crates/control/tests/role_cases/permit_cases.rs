//! Limits of endpoints and permits for requests to them, in clusters of control roles.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::ServingCall;
use mulberrywell_wire::serving::{
    EndpointLimit, EndpointStatus, LimitedEndpoint, PermitGrant, PermitRequest, ServingAttach,
    ServingDemand,
};
use mulberrywell_wire::FrameBody;
use rstest::rstest;

use crate::role_cluster::{ClientLink, RoleCluster};

fn heartbeat(sequence: u64) -> ServingCall {
    ServingCall::Heartbeat(EndpointStatus {
        id: Bytes::from_static(b"e"),
        service: Bytes::from_static(b"s"),
        address: Bytes::from_static(b"10.0.0.1:80"),
        born_ms: 5,
        sequence,
        ..EndpointStatus::default()
    })
}

fn limited(milli_per_s: Option<u64>, revision: u64) -> LimitedEndpoint {
    LimitedEndpoint {
        id: Bytes::from_static(b"e"),
        born_ms: 5,
        limit: Some(EndpointLimit {
            milli_per_s,
            revision,
        }),
    }
}

fn attach(cluster: &mut RoleCluster, idx: usize) -> ClientLink {
    let entry = cluster.attach(idx, b"entry-0");
    cluster.send(&entry, FrameBody::ServingAttach(ServingAttach::default()));
    entry
}

fn request_permits(
    cluster: &mut RoleCluster,
    entry: &ClientLink,
    endpoint: LimitedEndpoint,
    permits: u32,
) -> PermitGrant {
    cluster.drain_frames(entry);
    let request = PermitRequest {
        sequence: 3,
        endpoint: Some(endpoint),
        permits,
        cold: false,
    };
    cluster.send(entry, FrameBody::PermitRequest(request));
    let frames = cluster.drain_frames(entry).into_iter();
    let mut grants = frames.filter_map(|frame| match frame {
        FrameBody::PermitGrant(grant) => Some(grant),
        _ => None,
    });
    let grant = grants.next().expect("an answer at once");
    assert_eq!(grant.sequence, 3);
    grant
}

/// Returns the limits of the endpoint in the updates since the last call.
fn told_limits(cluster: &mut RoleCluster, entry: &ClientLink) -> Vec<Option<u64>> {
    let frames = cluster.drain_frames(entry).into_iter();
    let updates = frames.filter_map(|frame| match frame {
        FrameBody::ServingUpdate(update) => Some(update.endpoints),
        _ => None,
    });
    let limits = updates.flatten().filter_map(|status| status.limit);
    limits.map(|limit| limit.milli_per_s).collect()
}

/// Guards against permits from two instances for one endpoint.
#[test]
fn permits_of_leader_only() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    cluster.call_serving(leader, heartbeat(1));
    cluster.run(Duration::from_secs(10));
    let other = attach(&mut cluster, (leader + 1) % 3);
    let grant = request_permits(&mut cluster, &other, limited(Some(1_000), 1), 1);
    assert!(grant.unavailable && grant.permits == 0, "{grant:?}");
    let entry = attach(&mut cluster, leader);
    let grant = request_permits(&mut cluster, &entry, limited(Some(1_000), 1), 5);
    assert_eq!((grant.permits, grant.unavailable), (1, false));
    assert!(grant.retry_after_ms > 0);
    let mut granted = 0;
    for _ in 0..80 {
        cluster.run(Duration::from_millis(100));
        granted += request_permits(&mut cluster, &entry, limited(Some(1_000), 1), 5).permits;
    }
    assert!((7..=9).contains(&granted), "{granted}");
}

/// Guards against a second leader that grants beside the first one, or what the first one
/// has just granted.
#[test]
fn permits_leader_lost() {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    cluster.call_serving(leader, heartbeat(1));
    let entries = [0, 1, 2].map(|idx| attach(&mut cluster, idx));
    cluster.run(Duration::from_secs(10));
    let endpoint = limited(Some(1_000), 1);
    let grant = request_permits(&mut cluster, &entries[leader], endpoint.clone(), 1);
    assert_eq!(grant.permits, 1);
    cluster.isolate(leader);
    let mut times = Vec::new();
    for _ in 0..60 {
        cluster.run(Duration::from_millis(100));
        for entry in &entries {
            let grant = request_permits(&mut cluster, entry, endpoint.clone(), 1);
            times.extend((0..grant.permits).map(|_| cluster.now()));
        }
    }
    assert!(times.len() >= 2, "a new leader grants permits");
    let windows = times.iter().map(|from| {
        let within = |at: &&_| **at >= *from && **at < *from + Duration::from_secs(4);
        times.iter().filter(within).count()
    });
    // The permits of the former leader's last interval, and those of the new one.
    assert!(windows.max().unwrap() <= 6, "{times:?}");
}

/// Every instance tells the limit to its entries, whichever one it was reported to and
/// whichever one hears the endpoint.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn limit_told_to_all(#[case] offset: usize) {
    let mut cluster = RoleCluster::formed(3);
    for idx in 0..3 {
        cluster.call_serving(idx, heartbeat(idx as u64 + 1));
    }
    let entries = [0, 1, 2].map(|idx| attach(&mut cluster, idx));
    cluster.run(Duration::from_millis(500));
    for entry in &entries {
        assert!(told_limits(&mut cluster, entry).is_empty());
    }
    let report = |endpoint| {
        FrameBody::ServingDemand(ServingDemand {
            limits: vec![endpoint],
            ..ServingDemand::default()
        })
    };
    cluster.send(&entries[offset], report(limited(Some(1_100), 1)));
    cluster.run(Duration::from_millis(500));
    for entry in &entries {
        assert_eq!(told_limits(&mut cluster, entry).last(), Some(&Some(1_100)));
    }
    // A later heartbeat, heard elsewhere, doesn't undo it.
    cluster.call_serving((offset + 1) % 3, heartbeat(9));
    cluster.run(Duration::from_millis(500));
    let late = attach(&mut cluster, (offset + 1) % 3);
    cluster.run(Duration::from_millis(500));
    assert_eq!(told_limits(&mut cluster, &late).last(), Some(&Some(1_100)));
    cluster.send(&entries[(offset + 2) % 3], report(limited(None, 2)));
    cluster.run(Duration::from_millis(500));
    for entry in &entries {
        assert_eq!(told_limits(&mut cluster, entry).last(), Some(&None));
    }
    let leader = cluster.leader().unwrap();
    let grant = request_permits(&mut cluster, &entries[leader], limited(Some(1_100), 1), 50);
    assert_eq!(grant.permits, 50, "the limit has ended");
}
