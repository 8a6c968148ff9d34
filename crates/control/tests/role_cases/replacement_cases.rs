//! Planned replacements and lost disks at all times after one another.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::{ServingAnswer, ServingCall};
use mulberrywell_wire::serving::{PutServing, ServingConfig};
use rstest::rstest;

use crate::role_cluster::RoleCluster;

/// Time after which a new or emptied machine doesn't count as lost.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Time for which a machine that loses its disk is down.
const DOWN_TIME: Duration = Duration::from_millis(1_200);

/// Time within which service resumes after all are back.
pub const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Longest time from the end of the removed machine to the losses.
const DELAY_MAX_MS: u64 = 3_000;
const DELAY_STEP_MS: usize = 250;

fn put(version: u64) -> ServingCall {
    ServingCall::Put(PutServing {
        config: Some(ServingConfig {
            version,
            ..ServingConfig::default()
        }),
        source: source_of(version),
    })
}

fn source_of(version: u64) -> Bytes {
    Bytes::from(format!("version {version}"))
}

/// Returns the number of voters that the leader lists.
fn count_voters(cluster: &mut RoleCluster, leader: usize) -> usize {
    let answer = cluster.call(leader, "GET", "/v1/members", "");
    answer.body.matches("\"role\":").count() - answer.body.matches("\"role\":\"learner\"").count()
}

/// Waits for a leader that the running machines have within the limit.
pub fn wait_leader(cluster: &mut RoleCluster, limit: Duration) -> Option<usize> {
    let end = cluster.now() + limit;
    while cluster.now() < end {
        if let Some(leader) = cluster.leader() {
            return Some(leader);
        }
        cluster.run(Duration::from_millis(50));
    }
    None
}

/// Puts a version until it is accepted.
pub fn put_accepted(cluster: &mut RoleCluster, version: u64) {
    let end = cluster.now() + RECOVERY_LIMIT;
    while cluster.now() < end {
        if let Some(leader) = cluster.leader() {
            if cluster.call_serving(leader, put(version)) == ServingAnswer::Accepted {
                return;
            }
        }
        cluster.run(Duration::from_millis(50));
    }
    panic!("version {version} isn't accepted");
}

/// Checks that the last accepted version is read back within the limit, and that another one
/// is accepted.
pub fn check_recovered(cluster: &mut RoleCluster, version: u64) {
    let end = cluster.now() + RECOVERY_LIMIT;
    let source = loop {
        assert!(cluster.now() < end, "version {version} isn't read back");
        let leader = wait_leader(cluster, RECOVERY_LIMIT).expect("a leader after the losses");
        // A leader that is replaced meanwhile can't confirm the read.
        match cluster.call_serving(leader, ServingCall::Read) {
            ServingAnswer::Source(source) => break source,
            _ => cluster.run(Duration::from_millis(50)),
        }
    };
    assert_eq!(source, Some(source_of(version)));
    put_accepted(cluster, version + 1);
}

/// Stops all machines that run; those that lose their disks start with empty ones.
fn lose_disks_and_power(cluster: &mut RoleCluster, machines: usize, lost: &[usize]) {
    let running: Vec<usize> = (0..machines)
        .filter(|idx| cluster.is_running(*idx))
        .collect();
    for idx in &running {
        cluster.stop_machine(*idx);
    }
    cluster.run(DOWN_TIME);
    for idx in running {
        if lost.contains(&idx) {
            cluster.start_emptied(idx, idx, idx as u64 + 100);
        } else {
            cluster.start_from_disk(idx);
        }
    }
}

/// Stops machines, and starts them after a while with empty disks.
fn lose_disks(cluster: &mut RoleCluster, lost: &[usize]) {
    for idx in lost {
        cluster.stop_machine(*idx);
    }
    cluster.run(DOWN_TIME);
    for idx in lost {
        cluster.start_emptied(*idx, *idx, *idx as u64 + 100);
    }
}

/// The leader or another machine is removed, with and without notice; after any time the
/// given number of disks is lost, at the leader, the successor or others; at times all
/// others lose power with them.
#[rstest]
#[case::three(3, 1)]
#[case::five(5, 2)]
#[case::six(6, 2)]
#[case::eight(8, 2)]
fn replacement_then_disks_lost(
    #[case] voters: usize,
    #[case] losses: usize,
    #[values(true, false)] is_leader_removed: bool,
    #[values(true, false)] is_notified: bool,
    #[values(0, 1, 2)] first_lost: usize,
    #[values(false, true)] has_power_loss: bool,
) {
    let successor = voters;
    for delay_ms in (0..=DELAY_MAX_MS).step_by(DELAY_STEP_MS) {
        let mut cluster = RoleCluster::deployed_for(losses, voters + 1, voters);
        put_accepted(&mut cluster, 1);
        cluster.start_emptied(successor, successor, 99);
        cluster.run(CATCH_UP_TIME);
        put_accepted(&mut cluster, 2);
        let leader = cluster.leader().expect("a leader");
        let follower = (0..voters).find(|idx| *idx != leader).expect("a follower");
        let removed = if is_leader_removed { leader } else { follower };
        if is_notified {
            cluster.shut_down(removed);
            while !cluster.is_finished(removed) {
                cluster.run(Duration::from_millis(10));
            }
        }
        cluster.stop_machine(removed);
        cluster.run(Duration::from_millis(delay_ms));
        put_accepted(&mut cluster, 3);
        let leader = cluster.leader().expect("a leader");
        let others = (0..voters).filter(|idx| cluster.is_running(*idx) && *idx != leader);
        let mut lost: Vec<usize> = match first_lost {
            0 => vec![leader],
            1 => vec![successor],
            _ => Vec::new(),
        };
        lost.extend(others.filter(|idx| *idx != successor));
        lost.dedup();
        lost.truncate(losses);
        if has_power_loss {
            lose_disks_and_power(&mut cluster, voters + 1, &lost);
        } else {
            lose_disks(&mut cluster, &lost);
        }
        check_recovered(&mut cluster, 3);
    }
}

/// A lost disk, and another one while the first successor isn't a voter yet: it stands still
/// as soon as the old identity is removed.
#[rstest]
#[case::at_once(0)]
#[case::after_second(1_000)]
#[case::after_four(4_000)]
fn disk_lost_before_successor_caught_up(#[case] delay_ms: u64) {
    let mut cluster = RoleCluster::deployed(3, 3);
    put_accepted(&mut cluster, 1);
    let leader = cluster.leader().expect("a leader");
    let [first, second] = [1, 2].map(|offset| (leader + offset) % 3);
    lose_disks(&mut cluster, &[first]);
    let end = cluster.now() + RECOVERY_LIMIT;
    while count_voters(&mut cluster, leader) > 2 {
        assert!(cluster.now() < end, "the old identity stays");
        cluster.run(Duration::from_millis(10));
    }
    cluster.freeze(first);
    cluster.run(Duration::from_millis(delay_ms));
    put_accepted(&mut cluster, 2);
    lose_disks(&mut cluster, &[second]);
    check_recovered(&mut cluster, 2);
}

/// Guards against the first acknowledgement of a founder that is the only voter still: its
/// disk is lost right after it.
#[rstest]
fn first_change_kept_without_leader_disk(#[values(3, 5)] machines: usize) {
    let mut cluster = RoleCluster::starting(machines);
    let end = cluster.now() + RECOVERY_LIMIT;
    let leader = loop {
        assert!(cluster.now() < end, "no change is accepted");
        cluster.run(Duration::from_millis(10));
        let Some(leader) = cluster.leader() else {
            continue;
        };
        if cluster.call_serving(leader, put(1)) == ServingAnswer::Accepted {
            break leader;
        }
    };
    lose_disks(&mut cluster, &[leader]);
    check_recovered(&mut cluster, 1);
}

/// Only an emptied machine under the name and the address of a voter proves that this one's
/// disk is lost: of four voters, of which another one is away, two then have a leader.
#[rstest]
#[case::same_place(1, 1, true)]
#[case::other_address(4, 1, false)]
#[case::other_name(1, 4, false)]
#[case::other_machine(4, 4, false)]
fn voter_counted_without_proof(
    #[case] address_of: usize,
    #[case] name_of: usize,
    #[case] expected: bool,
) {
    let mut cluster = RoleCluster::deployed(5, 4);
    put_accepted(&mut cluster, 1);
    cluster.stop_machine(1);
    cluster.stop_machine(2);
    cluster.run(DOWN_TIME);
    cluster.start_emptied(address_of, name_of, 50);
    cluster.run(RECOVERY_LIMIT);
    assert_eq!(cluster.leader().is_some(), expected);
}

/// The disk that a machine had before proves nothing of the identity that took its place:
/// the four voters, of which another one is away, stay four.
#[test]
fn voter_counted_beside_old_disk() {
    let mut cluster = RoleCluster::deployed(4, 4);
    put_accepted(&mut cluster, 1);
    let old = cluster.copy_disk(1);
    lose_disks(&mut cluster, &[1]);
    cluster.run(RECOVERY_LIMIT);
    put_accepted(&mut cluster, 2);
    for idx in 0..4 {
        cluster.stop_machine(idx);
    }
    // The others know only what their disks hold.
    for idx in [0, 3] {
        let disk = cluster.copy_disk(idx);
        cluster.start_from(idx, idx, idx as u64 + 1, disk.without_defunct());
    }
    cluster.start_from(1, 1, 2, old);
    cluster.run(RECOVERY_LIMIT);
    assert_eq!(cluster.leader(), None);
}
