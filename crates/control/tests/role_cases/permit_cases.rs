//! Limits of endpoints and permits for requests to them, in clusters of control roles.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::ServingCall;
use mulberrywell_wire::serving::{
    EndpointLimit, EndpointStatus, LimitedEndpoint, PermitGrant, PermitRequest, PutServing,
    ServingAttach, ServingConfig, ServingDemand, ServingService,
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
    let request = PermitRequest {
        sequence: 3,
        endpoint: Some(endpoint),
        permits,
        cold: false,
    };
    send_request(cluster, entry, request)
}

fn send_request(
    cluster: &mut RoleCluster,
    entry: &ClientLink,
    request: PermitRequest,
) -> PermitGrant {
    cluster.drain_frames(entry);
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

fn cold_cluster(cold_milli_per_s: u64) -> (RoleCluster, ClientLink) {
    let mut cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    let config = ServingConfig {
        version: 1,
        services: vec![ServingService {
            name: Bytes::from_static(b"s"),
            cold_start_ms: 3_000,
            cold_milli_per_s,
            ..ServingService::default()
        }],
        ..ServingConfig::default()
    };
    let put = PutServing {
        config: Some(config),
        source: Bytes::from_static(b"text"),
    };
    cluster.call_serving(leader, ServingCall::Put(put));
    let entry = attach(&mut cluster, leader);
    (cluster, entry)
}

fn cold_heartbeat(born_ms: u64, sequence: u64, left_ms: u64) -> ServingCall {
    let ServingCall::Heartbeat(mut status) = heartbeat(sequence) else {
        unreachable!("a heartbeat");
    };
    status.born_ms = born_ms;
    status.cold_left_ms = Some(left_ms);
    ServingCall::Heartbeat(status)
}

fn request_cold(cluster: &mut RoleCluster, entry: &ClientLink, born_ms: u64) -> PermitGrant {
    let mut endpoint = limited(None, 0);
    endpoint.born_ms = born_ms;
    endpoint.limit = None;
    let request = PermitRequest {
        sequence: 3,
        endpoint: Some(endpoint),
        permits: 20,
        cold: true,
    };
    send_request(cluster, entry, request)
}

/// Guards against a second bucket for a restarted endpoint, and against permits for a
/// start that the leader doesn't know.
#[test]
fn cold_permits_counted_by_address() {
    let (mut cluster, entry) = cold_cluster(8_000);
    let leader = cluster.leader().unwrap();
    cluster.call_serving(leader, cold_heartbeat(5, 1, 0));
    cluster.run(Duration::from_secs(2));
    assert_eq!(request_cold(&mut cluster, &entry, 5).permits, 2);
    assert!(request_cold(&mut cluster, &entry, 6).unavailable);
    cluster.call_serving(leader, cold_heartbeat(6, 1, 3_000));
    assert_eq!(request_cold(&mut cluster, &entry, 6).permits, 0);
    assert!(request_cold(&mut cluster, &entry, 5).unavailable);
    cluster.run(Duration::from_secs(1));
    assert_eq!(request_cold(&mut cluster, &entry, 6).permits, 2);
}

/// Guards against a service without a cold rate whose endpoints are told as cold, and
/// against time left that is passed on as it came instead of as it is.
#[rstest]
#[case::no_rate(0, None)]
#[case::rate(8_000, Some(2_000))]
fn cold_time_told(#[case] rate: u64, #[case] left_ms: Option<u64>) {
    let (mut cluster, _) = cold_cluster(rate);
    let other = (cluster.leader().unwrap() + 1) % 3;
    cluster.call_serving(other, cold_heartbeat(5, 1, 3_000));
    cluster.run(Duration::from_secs(1));
    let late = attach(&mut cluster, (other + 1) % 3);
    cluster.run(Duration::from_millis(200));
    let told = cold_times(&mut cluster, &late).last().copied();
    match (told, left_ms) {
        (Some(told), Some(left)) => assert!((left - 50..=left + 50).contains(&told), "{told}"),
        (told, left) => assert_eq!(told, left),
    }
}

/// Guards against a zone whose evacuation has ended that is told as warm by a heartbeat
/// from before the end, and against one that no heartbeat makes warm again.
#[test]
fn cold_zone_until_next_heartbeat() {
    let (mut cluster, entry) = cold_cluster(8_000);
    let leader = cluster.leader().unwrap();
    cluster.call_serving(leader, cold_heartbeat(5, 1, 0));
    cluster.run(Duration::from_millis(500));
    cluster.expect_cold_zone(&Bytes::new());
    let mut told = Vec::new();
    for sequence in 2..4 {
        cluster.run(Duration::from_millis(100));
        cluster.call_serving(leader, cold_heartbeat(5, sequence, 0));
        told.push(cold_times(&mut cluster, &entry));
        cluster.run(Duration::from_millis(200));
    }
    assert!(told[0].last() > Some(&4_000), "{told:?}");
    assert_eq!(told[1].last(), Some(&0), "{told:?}");
}

/// Returns the cold times in the updates since the last call.
fn cold_times(cluster: &mut RoleCluster, entry: &ClientLink) -> Vec<u64> {
    let frames = cluster.drain_frames(entry).into_iter();
    let updates = frames.filter_map(|frame| match frame {
        FrameBody::ServingUpdate(update) => Some(update.endpoints),
        _ => None,
    });
    let statuses = updates.flatten();
    statuses.filter_map(|status| status.cold_left_ms).collect()
}
