//! Quorum-confirmed reads and the leader lease.

use mulberrywell_consensus::{NodeConfig, NodeOutput};
use rstest::rstest;

use crate::support::virtual_cluster::{VirtualCluster, MILLIS, SECONDS};
use crate::support::virtual_network::SlotLink;

fn is_failed(cluster: &VirtualCluster, read: u64) -> bool {
    let is_it =
        |it: &NodeOutput| matches!(it, NodeOutput::ReadFailed { read: it, .. } if *it == read);
    cluster.outputs().any(is_it)
}

#[test]
fn read_single_member() {
    let mut cluster = VirtualCluster::bootstrapped(1, 1, &NodeConfig::default());
    let read = cluster.read(0);
    assert!(cluster.was_confirmed(read));
}

/// A read requested before the first entry of the term is committed is confirmed
/// once that entry is committed, without further input.
#[test]
fn read_before_first_commit() {
    let mut cluster = VirtualCluster::new(6, 1, &NodeConfig::default());
    cluster.bootstrap();
    cluster.run_until(SECONDS, |cluster| cluster.leader().is_some());
    let read = cluster.read(0);
    cluster.run_for(SECONDS);
    assert!(cluster.was_confirmed(read));
}

#[rstest]
#[case::both_ways(true)]
#[case::answers_only(false)]
fn read_cut_off_leader(#[case] both_ways: bool) {
    let mut cluster = VirtualCluster::bootstrapped(2, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let until = cluster.now + 20 * SECONDS;
    cluster.isolate(leader, until);
    if !both_ways {
        // The others receive the leader's messages; the leader receives none.
        cluster.cuts.retain(|link, _| link.to == leader);
    }
    let read = cluster.read(leader);
    cluster.run_for(10 * SECONDS);
    assert!(!cluster.was_confirmed(read));
    assert!(is_failed(&cluster, read));
    assert!(!cluster.members[leader].is_leader());
    let next = cluster.leader().expect("another leader");
    let proposal = cluster.propose(next);
    cluster.run_for(SECONDS);
    assert!(cluster.was_accepted(proposal));
}

#[test]
fn read_resumed_leader() {
    let mut cluster = VirtualCluster::bootstrapped(3, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    cluster.members[leader].frozen_until = cluster.now + 30 * SECONDS;
    cluster.run_for(30 * SECONDS - MILLIS);
    cluster.members[leader].frozen_until = 0;
    let read = cluster.read(leader);
    assert!(
        is_failed(&cluster, read),
        "the first input after the freeze makes the leader step down"
    );
}

#[test]
fn read_shares_round() {
    let mut cluster = VirtualCluster::bootstrapped(4, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let reads: Vec<u64> = (0..50).map(|_| cluster.read(leader)).collect();
    cluster.run_for(50 * MILLIS);
    assert!(reads.iter().all(|read| cluster.was_confirmed(*read)));
}

#[test]
fn lease_ends_when_isolated() {
    let config = NodeConfig::default();
    let mut cluster = VirtualCluster::bootstrapped(5, 3, &config);
    let leader = cluster.leader().expect("a leader");
    let has_lease = |cluster: &VirtualCluster| {
        let member = &cluster.members[leader];
        let until = member.run.as_ref().and_then(|run| run.node.lease_until());
        until.is_some_and(|until| until > member.clock(cluster.now))
    };
    assert!(has_lease(&cluster));
    cluster.isolate(leader, cluster.now + 20 * SECONDS);
    let lasted = cluster.run_until(SECONDS, |cluster| !has_lease(cluster));
    assert!(lasted <= 400 * MILLIS, "{lasted} µs");
}

#[test]
fn read_late_response_ignored() {
    // A response to a heartbeat round sent before the read must not confirm it.
    let mut cluster = VirtualCluster::bootstrapped(6, 2, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    cluster.run_for(99 * MILLIS);
    let link = SlotLink {
        from: leader,
        to: 1 - leader,
    };
    cluster.cuts.insert(link, cluster.now + 20 * SECONDS);
    let read = cluster.read(leader);
    cluster.run_for(2 * SECONDS);
    assert!(!cluster.was_confirmed(read));
}
