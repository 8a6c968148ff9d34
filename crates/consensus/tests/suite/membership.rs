//! Membership changes, learners, lost disks and transfers.

use bytes::Bytes;
use mulberrywell_consensus::{
    ChangeRejection, MemberId, Membership, MembershipChange, NodeConfig, NodeInput, NodeOutput,
    ProposalRejection,
};
use rstest::rstest;

use crate::support::fake_disk::FakeDisk;
use crate::support::virtual_cluster::{SlotId, VirtualCluster, MILLIS, SECONDS};

fn rejection(cluster: &mut VirtualCluster, change: MembershipChange) -> Option<ChangeRejection> {
    cluster.recorded.clear();
    cluster.change_members(change);
    cluster.outputs().find_map(|output| match output {
        NodeOutput::Rejected {
            reason: ProposalRejection::Change(rejection),
            ..
        } => Some(*rejection),
        _ => None,
    })
}

fn membership(cluster: &VirtualCluster, slot: SlotId) -> Membership {
    let run = cluster.members[slot]
        .run
        .as_ref()
        .expect("the member is running");
    run.node.membership().clone()
}

fn add_learner(cluster: &mut VirtualCluster, id: MemberId) {
    let address = Bytes::from_static(b"new");
    cluster.change_members(MembershipChange::AddLearner { id, address });
}

#[test]
fn learner_counts_in_no_quorum() {
    let mut cluster = VirtualCluster::bootstrapped(1, 2, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let voter = 1 - leader;
    // The second cluster starts with one voter and three learners.
    let mut wide = VirtualCluster::new(1, 4, &NodeConfig::default());
    wide.bootstrap();
    wide.run_for(SECONDS);
    for slot in 1..4 {
        let id = wide.members[slot].id;
        add_learner(&mut wide, id);
    }
    let first = wide.members[1].id;
    wide.change_members(MembershipChange::Promote { id: first });
    let proposal = wide.propose(0);
    wide.run_for(SECONDS);
    assert!(wide.was_accepted(proposal));
    // One of two voters has crashed; the two learners do not replace it.
    wide.crash(1);
    let lost = wide.propose(0);
    wide.run_for(300 * MILLIS);
    assert!(!wide.was_accepted(lost));
    wide.run_for(5 * SECONDS);
    assert_eq!(
        wide.leader(),
        None,
        "learners do not keep a leader from stepping down"
    );
    // Two voters of which one has crashed elect no leader.
    cluster.crash(voter);
    cluster.run_for(5 * SECONDS);
    assert_eq!(cluster.leader(), None);
}

#[test]
fn vote_by_promoted_learner_without_entry() {
    // A promoted learner that has not received the entry with its promotion
    // must still vote.
    let mut cluster = VirtualCluster::new(2, 3, &NodeConfig::default());
    cluster.bootstrap();
    cluster.run_for(SECONDS);
    for slot in 1..3 {
        let id = cluster.members[slot].id;
        add_learner(&mut cluster, id);
    }
    let id = cluster.members[1].id;
    cluster.change_members(MembershipChange::Promote { id });
    let id = cluster.members[2].id;
    cluster.isolate(2, cluster.now + 2 * SECONDS);
    let leader = cluster.leader().expect("a leader");
    let proposal = cluster.next_number();
    let change = MembershipChange::Promote { id };
    cluster.input(leader, NodeInput::ChangeMembership { proposal, change });
    cluster.run_for(300 * MILLIS);
    assert!(!membership(&cluster, 2).is_voter(id));
    cluster.crash(leader);
    cluster.run_for(5 * SECONDS);
    assert!(cluster.leader().is_some_and(|slot| slot != leader));
}

#[rstest]
#[case::unknown(|_: &VirtualCluster, _| MembershipChange::Promote { id: 5 }, ChangeRejection::Unknown)]
#[case::voter(
    |cluster: &VirtualCluster, leader: SlotId| MembershipChange::Promote { id: cluster.members[leader].id },
    ChangeRejection::Already
)]
#[case::leader(
    |cluster: &VirtualCluster, leader: SlotId| MembershipChange::Remove { id: cluster.members[leader].id },
    ChangeRejection::Leading
)]
#[case::member(
    |cluster: &VirtualCluster, leader: SlotId| MembershipChange::AddLearner {
        id: cluster.members[leader].id,
        address: Bytes::new(),
    },
    ChangeRejection::Already
)]
fn change_rejected(
    #[case] change: fn(&VirtualCluster, SlotId) -> MembershipChange,
    #[case] expected: ChangeRejection,
) {
    let mut cluster = VirtualCluster::bootstrapped(3, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let change = change(&cluster, leader);
    assert_eq!(rejection(&mut cluster, change), Some(expected));
}

#[test]
fn promote_unresponsive_learner_rejected() {
    let mut cluster = VirtualCluster::bootstrapped(4, 3, &NodeConfig::default());
    add_learner(&mut cluster, 99);
    let change = MembershipChange::Promote { id: 99 };
    let expected = Some(ChangeRejection::NotCaughtUp);
    assert_eq!(rejection(&mut cluster, change), expected);
}

#[test]
fn remove_live_voter_rejected_while_one_is_down() {
    let mut cluster = VirtualCluster::bootstrapped(11, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let crashed = (leader + 1) % 3;
    let live = cluster.members[(leader + 2) % 3].id;
    cluster.crash(crashed);
    cluster.run_for(2 * SECONDS);
    let change = MembershipChange::Remove { id: live };
    let expected = Some(ChangeRejection::QuorumAtRisk);
    assert_eq!(rejection(&mut cluster, change), expected);
    let change = MembershipChange::Remove {
        id: cluster.members[crashed].id,
    };
    assert_eq!(rejection(&mut cluster, change), None);
}

#[test]
fn change_rejected_while_earlier_uncommitted() {
    let mut cluster = VirtualCluster::bootstrapped(5, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    for id in [98, 99] {
        let proposal = cluster.next_number();
        let address = Bytes::from_static(b"new");
        let change = MembershipChange::AddLearner { id, address };
        cluster.input(leader, NodeInput::ChangeMembership { proposal, change });
    }
    cluster.run_for(SECONDS);
    assert!(membership(&cluster, leader).member(98).is_some());
    assert!(membership(&cluster, leader).member(99).is_none());
}

#[test]
fn address_change_reaches_all_members() {
    let mut cluster = VirtualCluster::bootstrapped(6, 3, &NodeConfig::default());
    let id = cluster.members[2].id;
    let address = Bytes::from_static(b"moved");
    cluster.change_members(MembershipChange::SetAddress {
        id,
        address: address.clone(),
    });
    for slot in 0..3 {
        let membership = membership(&cluster, slot);
        assert_eq!(membership.member(id).map(|it| &it.address), Some(&address));
    }
}

#[test]
fn lost_disk_rejoins_as_new_member() {
    let mut cluster = VirtualCluster::bootstrapped(7, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let accepted: Vec<u64> = (0..20).map(|_| cluster.propose(leader)).collect();
    cluster.run_for(SECONDS);
    let lost = (leader + 1) % 3;
    let old = cluster.members[lost].id;
    cluster.crash(lost);
    cluster.members[lost].disk = FakeDisk::new();
    cluster.start_member(lost);
    let new = cluster.members[lost].id;
    assert_ne!(new, old);
    cluster.run_for(SECONDS);
    assert_eq!(
        cluster.members[lost]
            .run
            .as_ref()
            .unwrap()
            .node
            .last_index(),
        0
    );
    cluster.change_members(MembershipChange::Remove { id: old });
    add_learner(&mut cluster, new);
    cluster.change_members(MembershipChange::Promote { id: new });
    // A second member is lost right after the first one was replaced.
    cluster.crash(leader);
    cluster.run_for(3 * SECONDS);
    let next = cluster
        .leader()
        .expect("the replaced member counts in the quorum");
    let state = &cluster.members[next].run.as_ref().unwrap().state;
    assert!(accepted.iter().all(|it| state.commands.contains(it)));
}

#[test]
fn transfer_moves_leadership() {
    let mut cluster = VirtualCluster::bootstrapped(8, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let to = Some(cluster.members[(leader + 1) % 3].id);
    cluster.input(leader, NodeInput::Transfer { to });
    let took = cluster.run_until(SECONDS, |cluster| {
        cluster.leader() == Some((leader + 1) % 3)
    });
    assert!(took < 100 * MILLIS, "{took} µs");
}

#[rstest]
#[case::learner(Some(99))]
#[case::unknown(Some(98))]
fn transfer_rejected(#[case] to: Option<MemberId>) {
    let mut cluster = VirtualCluster::bootstrapped(9, 3, &NodeConfig::default());
    add_learner(&mut cluster, 99);
    let leader = cluster.leader().expect("a leader");
    cluster.recorded.clear();
    cluster.input(leader, NodeInput::Transfer { to });
    let is_failure = |it: &NodeOutput| matches!(it, NodeOutput::TransferFailed);
    assert!(cluster.outputs().any(is_failure));
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn transfer_to_crashed_voter_times_out() {
    let mut cluster = VirtualCluster::bootstrapped(10, 3, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let crashed = (leader + 1) % 3;
    cluster.crash(crashed);
    let to = Some(cluster.members[crashed].id);
    cluster.input(leader, NodeInput::Transfer { to });
    cluster.run_for(2 * SECONDS);
    assert_eq!(cluster.leader(), Some(leader));
    let proposal = cluster.propose(leader);
    cluster.run_for(SECONDS);
    assert!(cluster.was_accepted(proposal));
}

/// Guards against a removed member that never learns that its removal is committed: until
/// then it is needed for a quorum of the voters before.
#[test]
fn removed_member_knows_removal_committed() {
    let mut cluster = VirtualCluster::bootstrapped(12, 4, &NodeConfig::default());
    let leader = cluster.leader().expect("a leader");
    let removed = (leader + 1) % 4;
    let id = cluster.members[removed].id;
    cluster.change_members(MembershipChange::Remove { id });
    let run = cluster.members[removed].run.as_ref().expect("it runs");
    let mut memberships = run.node.memberships_in_force();
    assert!(memberships.all(|it| !it.is_voter(id)));
}

#[rstest]
#[case::even_left_odd(4, 1, true)]
#[case::even_for_two(6, 2, true)]
#[case::single_left(2, 1, false)]
#[case::odd_left_two(3, 1, false)]
#[case::odd_left_four(5, 1, true)]
#[case::odd_for_two(5, 2, false)]
#[case::odd_left_six(7, 2, true)]
fn absent_voter_spared(#[case] voters: u64, #[case] losses: usize, #[case] expected: bool) {
    let mut membership = Membership::bootstrapped_by(1, Bytes::new());
    for id in 2..=voters + 1 {
        let address = Bytes::new();
        let change = MembershipChange::AddLearner { id, address };
        membership = membership.with_change(&change).unwrap();
        if id <= voters {
            let change = MembershipChange::Promote { id };
            membership = membership.with_change(&change).unwrap();
        }
    }
    assert_eq!(membership.can_spare(voters, losses), expected);
    // A learner counts in no quorum.
    assert!(membership.can_spare(voters + 1, losses));
}
