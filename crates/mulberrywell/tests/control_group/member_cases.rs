//! Tests of loss, repair and suspension of control instances.

use std::time::{Duration, Instant};

use mulberrywell_testkit::wait_until;
use nix::sys::signal::Signal;

use crate::group_helper::ControlGroup;

/// Time for which an instance is suspended: longer than the election timeout
/// (0.8 s), the timeout of links (2 s) and the relay timeout (4 s).
const SUSPEND_TIME: Duration = Duration::from_secs(5);

/// Number of edits that each of two concurrent operators makes.
const EDITS: u64 = 60;

#[test]
fn members_form_group() {
    let group = ControlGroup::spawn(3, 0);
    let digests = group.wait_equal_digests(&[0, 1, 2]);
    assert_eq!(digests.len(), 3);
    assert!(digests.iter().all(|digest| *digest == digests[0]));
}

#[test]
fn leader_killed_racing_edits() {
    let mut group = ControlGroup::spawn(3, 0);
    let leader = group.leader();
    let workers = [0, 1].map(|worker| group.spawn_edit_worker(worker, EDITS));
    wait_until("some edits are accepted", || {
        workers.iter().all(|worker| worker.accepted() >= EDITS / 4)
    })
    .unwrap();
    group.cluster.kill(&leader).unwrap();
    let mut accepted = Vec::new();
    for worker in workers {
        accepted.extend(worker.join());
    }
    group.cluster.restart(&leader).unwrap();
    group.wait_voters(3);
    let mut bases: Vec<u64> = accepted.iter().map(|edit| edit.base).collect();
    bases.sort_unstable();
    let count = bases.len();
    bases.dedup();
    assert_eq!(bases.len(), count, "two edits of one base were accepted");
    assert_eq!(
        count as u64,
        2 * EDITS,
        "not all edits of the operators were accepted"
    );
    let trail = group.accepted_edits();
    for edit in &accepted {
        assert!(trail.contains(&edit.version), "edit {edit:?} is lost");
    }
    let digests = group.wait_equal_digests(&[0, 1, 2]);
    assert!(digests.iter().all(|digest| *digest == digests[0]));
}

#[test]
fn disk_lost_second_loss() {
    let mut group = ControlGroup::spawn(3, 0);
    let version = group.edit("before the loss");
    group.cluster.kill("control-2").unwrap();
    let old = group.member_id("control-2");
    std::fs::remove_dir_all(group.cluster.folder().join("data-control-2")).unwrap();
    group.cluster.restart("control-2").unwrap();
    group.wait_replaced("control-2", &old);
    let leader = group.leader();
    let lost = if leader == "control-2" {
        "control-0".to_owned()
    } else {
        leader
    };
    group.cluster.kill(&lost).unwrap();
    let later = group.edit("after the second loss");
    assert!(later > version);
    assert!(group.accepted_edits().contains(&version));
}

#[test]
fn leader_suspended_no_stale_responses() {
    let group = ControlGroup::spawn(3, 0);
    let before = group.edit("before the freeze");
    let leader = group.leader();
    group.cluster.signal(&leader, Signal::SIGSTOP).unwrap();
    // The reads are sent while the leader is suspended and answered after it resumes.
    let reads = group.spawn_reads(&leader);
    let suspended = Instant::now();
    let others = group.others(&leader);
    let after = group.edit_at(&others, "during the freeze");
    assert!(after > before);
    while suspended.elapsed() < SUSPEND_TIME {
        std::thread::sleep(Duration::from_millis(50));
    }
    group.cluster.signal(&leader, Signal::SIGCONT).unwrap();
    for response in reads.join().unwrap() {
        let stale = response.status == 200 && response.version < after;
        assert!(!stale, "{response:?} after version {after}");
    }
    group.wait_voters(3);
    let digests = group.wait_equal_digests(&[0, 1, 2]);
    assert!(digests.iter().all(|digest| *digest == digests[0]));
}

#[test]
fn member_removed_and_added() {
    let mut group = ControlGroup::spawn(3, 0);
    let leader = group.leader();
    group
        .cluster
        .operate_ok(&["member", "remove", &leader])
        .unwrap();
    group.wait_voters(2);
    assert_ne!(group.leader(), leader);
    let between = group.edit_at(&group.others(&leader), "between");
    // The removed instance is restarted with an empty data folder and therefore
    // gets a new id.
    group.cluster.kill(&leader).unwrap();
    std::fs::remove_dir_all(group.cluster.folder().join(format!("data-{leader}"))).unwrap();
    group.cluster.restart(&leader).unwrap();
    group
        .cluster
        .operate_ok(&["member", "add", &leader])
        .unwrap();
    group.wait_voters(3);
    assert!(group.accepted_edits().contains(&between));
    let digests = group.wait_equal_digests(&[0, 1, 2]);
    assert!(digests.iter().all(|digest| *digest == digests[0]));
}

#[test]
fn request_resent_same_response() {
    let group = ControlGroup::spawn(3, 0);
    let first = group.resend("resent-1", "one");
    assert_eq!(group.resend("resent-1", "one"), first);
    assert_eq!(first.status, 200);
    let other = group.resend("resent-1", "other content");
    assert_eq!(
        (other.status, other.code.as_str()),
        (409, "request_id_reused")
    );
}
