//! Quarantines of prompt parts: reports of several entries add up, and an instance that
//! has lost its ledger learns the quarantines from its entries.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_wire::config::Subscribe;
use mulberrywell_wire::serving::{
    PromptCrash, PromptNotice, PromptQuarantine, PromptReport, ServingAttach, SoundPart, TrialEnd,
    TrialGrant, TrialRequest,
};
use mulberrywell_wire::FrameBody;

use crate::role_cluster::RoleCluster;

const SHARED: u64 = 1;
const CRASHING: u64 = 2;

/// Content of a request that comes again.
const REPEATED: u64 = 3;

fn crash(endpoint: &'static str) -> FrameBody {
    FrameBody::PromptReport(PromptReport {
        crashes: vec![PromptCrash {
            endpoint: Bytes::from_static(endpoint.as_bytes()),
            born_ms: 1,
            parts: vec![SHARED, CRASHING],
            running_ms: 50,
            age_ms: 5,
            content: u64::from(endpoint.as_bytes()[1]),
            ..PromptCrash::default()
        }],
        ..PromptReport::default()
    })
}

/// Returns a report of a request without prompt parts.
fn plain_crash(endpoint: &'static str, content: u64) -> FrameBody {
    FrameBody::PromptReport(PromptReport {
        crashes: vec![PromptCrash {
            endpoint: Bytes::from_static(endpoint.as_bytes()),
            born_ms: 1,
            parts: Vec::new(),
            running_ms: 50,
            age_ms: 5,
            content,
            ..PromptCrash::default()
        }],
        ..PromptReport::default()
    })
}

fn notices(frames: &[FrameBody]) -> Vec<&PromptNotice> {
    let notices = frames.iter().filter_map(|frame| match frame {
        FrameBody::PromptNotice(notice) => Some(notice),
        _ => None,
    });
    notices.collect()
}

/// Guards against crashes that each entry knows of by itself, so that no one finds the
/// part that they have in common.
#[test]
fn crashes_of_entries_quarantine_part() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [b"entry-0", b"entry-1", b"entry-2"].map(|name| cluster.attach(0, name));
    for entry in &entries {
        cluster.send(entry, FrameBody::ServingAttach(ServingAttach::default()));
    }
    for (entry, endpoint) in entries.iter().zip(["e1", "e2", "e3"]) {
        cluster.send(entry, crash(endpoint));
        cluster.run(Duration::from_millis(300));
        let sound = SoundPart {
            part: SHARED,
            age_ms: 0,
        };
        let report = PromptReport {
            sound: vec![sound],
            ..PromptReport::default()
        };
        cluster.send(entry, FrameBody::PromptReport(report));
    }
    cluster.run(Duration::from_millis(300));
    for entry in &entries {
        let frames = cluster.drain_frames(entry);
        let notices = notices(&frames);
        assert_eq!(notices[0].watched, [SHARED, CRASHING]);
        let last = notices.last().expect("a notice");
        assert_eq!(last.quarantines.len(), 1, "{notices:?}");
        assert_eq!(last.quarantines[0].parts, [CRASHING]);
        assert!(last.watched.is_empty(), "explained crashes");
    }
}

/// Guards against entries with agents that control tells of no quarantine, as they
/// attach by a subscription.
#[test]
fn subscribed_entry_told_of_quarantine() {
    let mut cluster = RoleCluster::formed(3);
    let entry = cluster.attach(0, b"entry-0");
    cluster.send(&entry, FrameBody::Subscribe(Subscribe::default()));
    for endpoint in ["e1", "e2", "e3"] {
        cluster.send(&entry, plain_crash(endpoint, REPEATED));
        cluster.run(Duration::from_millis(300));
    }
    cluster.run(Duration::from_millis(300));
    let later = cluster.attach(0, b"entry-1");
    cluster.send(&later, FrameBody::Subscribe(Subscribe::default()));
    for link in [&entry, &later] {
        let frames = cluster.drain_frames(link);
        let notices = notices(&frames);
        let last = notices.last().expect("a notice");
        assert_eq!(last.quarantines.len(), 1, "{notices:?}");
        assert_eq!(last.quarantines[0].parts, [REPEATED]);
    }
}

/// Guards against crashes that no instance adds up, as each entry with agents links to
/// one instance only.
#[test]
fn crashes_at_all_instances_quarantine_content() {
    let mut cluster = RoleCluster::formed(3);
    let links = [(0, b"entry-0"), (1, b"entry-1"), (2, b"entry-2")];
    let entries = links.map(|(idx, name)| cluster.attach(idx, name));
    for entry in &entries {
        cluster.send(entry, FrameBody::Subscribe(Subscribe::default()));
    }
    for (entry, endpoint) in entries.iter().zip(["e1", "e2", "e3"]) {
        cluster.send(entry, plain_crash(endpoint, REPEATED));
        cluster.run(Duration::from_millis(300));
    }
    cluster.run(Duration::from_millis(300));
    for entry in &entries {
        let frames = cluster.drain_frames(entry);
        let notices = notices(&frames);
        let last = notices.last().expect("a notice");
        assert_eq!(last.quarantines.len(), 1, "{notices:?}");
        assert_eq!(last.quarantines[0].parts, [REPEATED]);
    }
}

/// Guards against reports of a gateway, which links to all instances, that are relayed
/// and counted twice.
#[test]
fn report_of_gateway_not_relayed() {
    let mut cluster = RoleCluster::formed(3);
    let gateway = cluster.attach(0, b"gateway");
    cluster.send(&gateway, FrameBody::ServingAttach(ServingAttach::default()));
    let entry = cluster.attach(1, b"entry-0");
    cluster.send(&entry, FrameBody::Subscribe(Subscribe::default()));
    for endpoint in ["e1", "e2", "e3"] {
        cluster.send(&gateway, plain_crash(endpoint, REPEATED));
        cluster.run(Duration::from_millis(300));
    }
    cluster.run(Duration::from_millis(300));
    assert!(notices(&cluster.drain_frames(&entry)).is_empty());
    assert!(!notices(&cluster.drain_frames(&gateway)).is_empty());
}

/// Guards against a repeated request of a plain service that no one finds, as each
/// entry sees one of its crashes.
#[test]
fn crashes_of_entries_quarantine_content() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [b"entry-0", b"entry-1", b"entry-2"].map(|name| cluster.attach(0, name));
    for entry in &entries {
        cluster.send(entry, FrameBody::ServingAttach(ServingAttach::default()));
    }
    let endpoints = ["e1", "e2", "e3"];
    for (neighbour, (entry, endpoint)) in (100..).zip(entries.iter().zip(endpoints)) {
        cluster.send(entry, plain_crash(endpoint, REPEATED));
        cluster.send(entry, plain_crash(endpoint, neighbour));
        cluster.run(Duration::from_millis(300));
    }
    cluster.run(Duration::from_millis(300));
    for entry in &entries {
        let frames = cluster.drain_frames(entry);
        let notices = notices(&frames);
        assert_eq!(notices[0].watched, [REPEATED], "contents of two incidents");
        let last = notices.last().expect("a notice");
        assert_eq!(last.quarantines.len(), 1, "{notices:?}");
        assert_eq!(last.quarantines[0].parts, [REPEATED]);
    }
}

#[test]
fn quarantine_learned_from_entry() {
    let mut cluster = RoleCluster::formed(3);
    let first = cluster.attach(0, b"entry-0");
    cluster.send(&first, FrameBody::ServingAttach(ServingAttach::default()));
    let quarantine = PromptQuarantine {
        parts: vec![CRASHING],
        left_ms: 60_000,
    };
    let report = PromptReport {
        quarantines: vec![quarantine],
        ..PromptReport::default()
    };
    cluster.send(&first, FrameBody::PromptReport(report));
    cluster.run(Duration::from_millis(200));
    let second = cluster.attach(0, b"entry-1");
    cluster.send(&second, FrameBody::ServingAttach(ServingAttach::default()));
    cluster.run(Duration::from_millis(50));
    let frames = cluster.drain_frames(&second);
    let notices = notices(&frames);
    assert_eq!(notices[0].quarantines[0].parts, [CRASHING]);
    let left_ms = notices[0].quarantines[0].left_ms;
    assert!((59_000..=60_000).contains(&left_ms), "{left_ms}");
}

fn trial_request(sequence: u64, endpoint: &'static str) -> FrameBody {
    FrameBody::TrialRequest(TrialRequest {
        sequence,
        endpoint: Bytes::from_static(endpoint.as_bytes()),
        subjects: vec![REPEATED],
    })
}

fn grants(frames: &[FrameBody]) -> Vec<TrialGrant> {
    let grants = frames.iter().filter_map(|frame| match frame {
        FrameBody::TrialGrant(grant) => Some(*grant),
        _ => None,
    });
    grants.collect()
}

/// Guards against repeats of a request that crashed endpoints that are forwarded by
/// several processes at a time, by whichever instance they ask.
#[test]
fn trials_of_all_processes_granted_in_turn() {
    let mut cluster = RoleCluster::formed(3);
    let links = [(0, b"entry-0"), (1, b"entry-1"), (2, b"entry-2")];
    let entries = links.map(|(idx, name)| cluster.attach(idx, name));
    for entry in &entries {
        cluster.send(entry, FrameBody::ServingAttach(ServingAttach::default()));
        cluster.send(entry, plain_crash("e1", REPEATED));
        // As a gateway does, each reports to all instances.
        for idx in 0..3 {
            let link = cluster.attach(idx, b"reporter");
            cluster.send(&link, plain_crash("e1", REPEATED));
        }
    }
    cluster.run(Duration::from_millis(300));
    for entry in &entries {
        let frames = cluster.drain_frames(entry);
        assert_eq!(notices(&frames).last().unwrap().restricted, [REPEATED]);
        cluster.send(entry, trial_request(1, "e2"));
    }
    cluster.run(Duration::from_millis(100));
    let answers = |cluster: &mut RoleCluster| {
        let frames = entries.iter().map(|entry| cluster.drain_frames(entry));
        let frames: Vec<Vec<FrameBody>> = frames.collect();
        frames.iter().map(|it| grants(it)).collect::<Vec<_>>()
    };
    let first = answers(&mut cluster);
    assert!(first.iter().all(|grants| grants.len() == 1), "{first:?}");
    let granted = first.iter().position(|grants| grants[0].granted);
    let granted = granted.expect("a granted trial");
    let count = first.iter().filter(|grants| grants[0].granted).count();
    assert_eq!(count, 1, "one at a time");
    let end = TrialEnd {
        sequence: 1,
        broken: false,
    };
    cluster.send(&entries[granted], FrameBody::TrialEnd(end));
    cluster.run(Duration::from_millis(100));
    let next = (granted + 1) % entries.len();
    cluster.send(&entries[next], trial_request(2, "e2"));
    cluster.run(Duration::from_millis(100));
    assert!(answers(&mut cluster)[next][0].granted);
}

/// A request that the leader doesn't restrict needs no trial, and others aren't held up by it.
#[test]
fn trial_of_unrestricted_request_unneeded() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [(0, b"entry-0"), (1, b"entry-1")].map(|(idx, name)| cluster.attach(idx, name));
    for entry in &entries {
        cluster.send(entry, FrameBody::ServingAttach(ServingAttach::default()));
        cluster.send(entry, trial_request(1, "e2"));
    }
    cluster.run(Duration::from_millis(100));
    for entry in &entries {
        let grants = grants(&cluster.drain_frames(entry));
        assert!(grants[0].granted && grants[0].unneeded, "{grants:?}");
    }
}
