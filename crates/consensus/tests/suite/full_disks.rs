//! Full disks of all members, one after another.

use mulberrywell_consensus::NodeConfig;
use rstest::rstest;

use crate::support::virtual_cluster::{VirtualCluster, MILLIS, SECONDS};

const PROPOSAL_INTERVAL: u64 = 100 * MILLIS;
const FULL_DISK_SEEDS: u64 = 4;

/// Proposes at the leader at an interval and counts what was accepted within two seconds.
fn propose_for(cluster: &mut VirtualCluster, duration: u64) -> (usize, usize) {
    let mut proposals = Vec::new();
    for _ in 0..duration / PROPOSAL_INTERVAL {
        if let Some(leader) = cluster.leader() {
            proposals.push(cluster.propose(leader));
        }
        cluster.run_for(PROPOSAL_INTERVAL);
    }
    cluster.run_for(2 * SECONDS);
    let accepted = proposals.iter().filter(|it| cluster.was_accepted(**it));
    (accepted.count(), proposals.len())
}

/// Guards against changes that are refused, or stay unanswered, long after the disks of all
/// members were full one after another, never two at once.
#[rstest]
#[case::three_leader_first(3, true, 0)]
#[case::three_in_order(3, false, 0)]
#[case::three_some_bytes_free(3, true, 900)]
#[case::five_leader_first(5, true, 0)]
#[case::five_some_bytes_free(5, false, 900)]
fn full_disks_in_turn_changes_accepted(
    #[case] members: usize,
    #[case] leader_first: bool,
    #[case] free: usize,
) {
    for seed in 0..FULL_DISK_SEEDS {
        let config = NodeConfig {
            snapshot_bytes: 2_000,
            retained_entries: 5,
            ..NodeConfig::default()
        };
        let mut cluster = VirtualCluster::bootstrapped(seed, members, &config);
        let mut left: Vec<usize> = (0..members).collect();
        while !left.is_empty() {
            let leader = cluster.leader().filter(|_| leader_first);
            let found = leader.and_then(|leader| left.iter().position(|slot| *slot == leader));
            let slot = left.remove(found.unwrap_or(0));
            cluster.members[slot].disk.set_free(Some(free));
            propose_for(&mut cluster, 3 * SECONDS);
            cluster.members[slot].disk.set_free(None);
            propose_for(&mut cluster, SECONDS);
        }
        let (accepted, proposed) = propose_for(&mut cluster, 20 * SECONDS);
        assert_eq!(accepted, proposed, "seed {seed}");
        assert_eq!(
            proposed as u64,
            20 * SECONDS / PROPOSAL_INTERVAL,
            "seed {seed}"
        );
        cluster.run_for(5 * SECONDS);
        let states = cluster
            .members
            .iter()
            .map(|it| &it.run.as_ref().unwrap().state);
        let states: Vec<_> = states.collect();
        assert!(
            states.windows(2).all(|pair| pair[0] == pair[1]),
            "seed {seed}"
        );
    }
}
