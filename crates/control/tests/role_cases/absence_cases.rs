//! Machines that are removed for good beside others that are away or replaced as planned.

use std::time::Duration;

use rstest::rstest;

use crate::replacement_cases::{check_recovered, put_accepted, wait_leader};
use crate::replacement_cases::{CATCH_UP_TIME, RECOVERY_LIMIT};
use crate::role_cluster::RoleCluster;

/// Time after which another machine takes the place of a removed one.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(1_500);

/// Time for which a machine is down at most.
const DOWN_MAX_MS: u64 = 7_000;

/// Which machine is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MachineRole {
    Founder,
    Leader,
    Follower,
}

/// Returns a machine with a role, other than `others`.
fn choose(cluster: &RoleCluster, role: MachineRole, voters: usize, others: &[usize]) -> usize {
    let leader = cluster.leader().expect("a leader");
    let chosen = match role {
        MachineRole::Founder => 0,
        MachineRole::Leader => leader,
        MachineRole::Follower => (0..voters)
            .rfind(|idx| *idx != leader && !others.contains(idx))
            .expect("a follower"),
    };
    match others.contains(&chosen) {
        true => (0..voters).find(|idx| !others.contains(idx)).unwrap(),
        false => chosen,
    }
}

/// Lets a machine pass with the time that it is down, after which its disk is back.
fn run_until(cluster: &mut RoleCluster, at: std::time::Instant) {
    let left = at.saturating_duration_since(cluster.now());
    cluster.run(left);
}

/// Guards against an odd number of voters that becomes even because one of them is away: a
/// machine that is removed for good meanwhile left half of them, and no leader ever again.
#[rstest]
#[case::three(3, 1)]
#[case::four(4, 1)]
#[case::five(5, 2)]
#[case::six(6, 2)]
#[case::seven(7, 2)]
#[case::eight(8, 2)]
fn removal_beside_absence(
    #[case] voters: usize,
    #[case] losses: usize,
    #[values(MachineRole::Founder, MachineRole::Leader, MachineRole::Follower)] away: MachineRole,
    #[values(MachineRole::Leader, MachineRole::Follower)] removed: MachineRole,
    #[values(true, false)] is_notified: bool,
) {
    for gap_ms in [0, 100, 400, 1_000, 2_600, 3_500, 5_500, 7_000] {
        let mut cluster = RoleCluster::deployed_for(losses, voters + losses, voters);
        put_accepted(&mut cluster, 1);
        let away = choose(&cluster, away, voters, &[]);
        let down_until = cluster.now() + Duration::from_millis(DOWN_MAX_MS + 500);
        cluster.remove_machine(away, is_notified);
        cluster.run(Duration::from_millis(gap_ms));
        let has_leader = wait_leader(&mut cluster, Duration::from_secs(2)).is_some();
        if has_leader {
            put_accepted(&mut cluster, 2);
        }
        let mut gone = vec![away];
        for _ in 0..losses {
            let role = match cluster.leader() {
                Some(_) => choose(&cluster, removed, voters, &gone),
                None => (0..voters).find(|idx| !gone.contains(idx)).unwrap(),
            };
            cluster.stop_machine(role);
            gone.push(role);
        }
        cluster.run(SUCCESSOR_DELAY);
        for spare in voters..voters + losses {
            cluster.start_emptied(spare, spare, spare as u64 + 100);
        }
        run_until(&mut cluster, down_until);
        cluster.start_from_disk(away);
        check_recovered(&mut cluster, if has_leader { 2 } else { 1 });
    }
}

/// Guards against a machine that was replaced as planned and still counts after its end: with
/// another one that is removed for good right after it, half of the voters were left, and no
/// leader ever again.
#[rstest]
#[case::three(3, 1)]
#[case::four(4, 1)]
#[case::five(5, 2)]
#[case::six(6, 2)]
#[case::seven(7, 2)]
#[case::eight(8, 2)]
fn removal_after_planned(
    #[case] voters: usize,
    #[case] losses: usize,
    #[values(MachineRole::Founder, MachineRole::Leader, MachineRole::Follower)]
    replaced: MachineRole,
    #[values(MachineRole::Leader, MachineRole::Follower)] removed: MachineRole,
    #[values(true, false)] is_notified: bool,
) {
    // Without notice the end of a process is known only after a while.
    let gaps_ms: &[u64] = match is_notified {
        true => &[0, 100, 500, 1_000, 2_500, 5_500],
        false => &[500, 1_000, 2_500, 5_500],
    };
    for gap_ms in gaps_ms {
        let mut cluster = RoleCluster::deployed_for(losses, voters + losses + 1, voters);
        put_accepted(&mut cluster, 1);
        cluster.start_emptied(voters, voters, 99);
        cluster.run(CATCH_UP_TIME);
        put_accepted(&mut cluster, 2);
        let replaced = choose(&cluster, replaced, voters, &[]);
        cluster.remove_machine(replaced, is_notified);
        cluster.run(Duration::from_millis(*gap_ms));
        // A leader that ended without notice is missed for a while.
        let limit = Duration::from_secs(2);
        wait_leader(&mut cluster, limit).expect("a leader after one loss");
        cluster.run(Duration::from_millis(if is_notified { 0 } else { 500 }));
        put_accepted(&mut cluster, 3);
        let mut gone = vec![replaced];
        for _ in 0..losses {
            let idx = choose(&cluster, removed, voters, &gone);
            gone.push(idx);
        }
        for idx in &gone[1..] {
            cluster.stop_machine(*idx);
        }
        cluster.run(SUCCESSOR_DELAY);
        for spare in voters + 1..=voters + losses {
            cluster.start_emptied(spare, spare, spare as u64 + 100);
        }
        check_recovered(&mut cluster, 3);
    }
}

/// Guards against a replaced machine that ends before it is removed, as the leader is removed
/// for good while it shuts down: it stays until another leader has removed it.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn removal_during_planned(#[case] voters: usize) {
    let mut cluster = RoleCluster::deployed(voters + 2, voters);
    put_accepted(&mut cluster, 1);
    cluster.start_emptied(voters, voters, 99);
    cluster.run(CATCH_UP_TIME);
    put_accepted(&mut cluster, 2);
    let leader = cluster.leader().expect("a leader");
    let replaced = choose(&cluster, MachineRole::Follower, voters, &[]);
    cluster.stop_machine(leader);
    cluster.remove_machine(replaced, true);
    cluster.run(SUCCESSOR_DELAY);
    cluster.start_emptied(voters + 1, voters + 1, 100);
    check_recovered(&mut cluster, 2);
}

/// Guards against a lost voter that an even number of them keeps: in an installation of four
/// disks a second machine that is away then ends service.
#[rstest]
#[case::four(4, 1, 2)]
#[case::five(5, 1, 2)]
#[case::six(6, 2, 3)]
#[case::eight(8, 2, 4)]
fn absences_in_turn(#[case] voters: usize, #[case] losses: usize, #[case] absences: usize) {
    let mut cluster = RoleCluster::deployed_for(losses, voters, voters);
    for idx in 0..absences {
        put_accepted(&mut cluster, idx as u64 + 1);
        cluster.stop_machine(idx);
        cluster.run(Duration::from_secs(4));
    }
    put_accepted(&mut cluster, absences as u64 + 1);
    for idx in 0..absences {
        cluster.start_from_disk(idx);
    }
    cluster.run(RECOVERY_LIMIT);
    check_recovered(&mut cluster, absences as u64 + 1);
}
