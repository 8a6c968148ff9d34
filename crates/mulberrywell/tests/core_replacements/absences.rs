//! Instances that are removed for good beside others that are away or replaced as planned.

use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::core_group::CoreGroup;

/// Time after which another instance takes the place of a removed one.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(1_500);

/// Guards against a voter that is removed because it is away: a second one that is then lost
/// for good leaves half of the voters, and no leader ever again.
#[rstest]
#[case::three_follower(3, Signal::SIGKILL, false, 3_500)]
#[case::three_leader(3, Signal::SIGTERM, true, 3_000)]
#[case::four_follower(4, Signal::SIGTERM, false, 1_000)]
fn absence_then_removal(
    #[case] disks: usize,
    #[case] signal: Signal,
    #[case] is_leader_away: bool,
    #[case] gap_ms: u64,
) {
    let mut group = CoreGroup::spawn(disks);
    let away = match is_leader_away {
        true => group.leader(),
        false => group.followers(&[])[0],
    };
    group.stop(away, signal);
    thread::sleep(Duration::from_millis(gap_ms));
    group.put();
    let removed = group.followers(&[away])[0];
    group.remove(removed, Signal::SIGKILL);
    thread::sleep(SUCCESSOR_DELAY);
    group.add();
    group.restart(away);
    group.check_recovered();
}

/// Guards against an instance that was replaced as planned and counts after its end: another
/// one that is then lost for good leaves half of the voters, and no leader ever again.
#[rstest]
#[case::term_at_once(3, Signal::SIGTERM, false, 0)]
#[case::term_after_second(3, Signal::SIGTERM, false, 1_000)]
#[case::term_leader(3, Signal::SIGTERM, true, 500)]
#[case::kill_after_second(3, Signal::SIGKILL, false, 1_000)]
#[case::five_term(5, Signal::SIGTERM, true, 0)]
fn planned_then_removal(
    #[case] disks: usize,
    #[case] signal: Signal,
    #[case] is_leader_replaced: bool,
    #[case] gap_ms: u64,
) {
    let mut group = CoreGroup::spawn(disks);
    let successor = group.add_successor();
    group.put();
    let replaced = match is_leader_replaced {
        true => group.leader(),
        false => group.followers(&[successor])[0],
    };
    group.remove(replaced, signal);
    thread::sleep(Duration::from_millis(gap_ms));
    group.put();
    for _ in 0..CoreGroup::losses_max(disks) {
        let removed = group.followers(&[successor])[0];
        group.remove(removed, Signal::SIGKILL);
    }
    thread::sleep(SUCCESSOR_DELAY);
    group.add();
    group.check_recovered();
}
