//! Speeds and prompts that entries report with their loads.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_wire::serving::{EndpointLoad, EndpointSpeed, LoadShare, PromptSends, SentPart};
use mulberrywell_wire::FrameBody;

use crate::role_cluster::{ClientLink, RoleCluster};
use crate::serving_cases::load_share;

fn speed_report(born_ms: u64, step_milli: u32) -> FrameBody {
    FrameBody::LoadShare(LoadShare {
        loads: vec![EndpointLoad {
            endpoint: Bytes::from_static(b"e"),
            running: 1,
            speed: Some(EndpointSpeed {
                born_ms,
                step_milli,
                step_weight_milli: 2_000,
                prefill_milli: step_milli,
                prefill_weight_milli: 1_000,
            }),
            ..EndpointLoad::default()
        }],
        ..LoadShare::default()
    })
}

/// Returns the last combined speed that an entry received.
fn received_speed(cluster: &mut RoleCluster, entry: &ClientLink) -> Option<EndpointSpeed> {
    cluster.run(Duration::from_millis(800));
    let frames = cluster.drain_frames(entry).into_iter();
    let speeds = frames.filter_map(|frame| match frame {
        FrameBody::LoadShare(share) => share.loads.last()?.speed,
        _ => None,
    });
    speeds.last()
}

/// Guards against entries that each know only their own few measurements of an engine,
/// and against measurements of an earlier start that outlive a restart.
#[test]
fn measured_speeds_combined() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [b"entry-0", b"entry-1", b"entry-2"].map(|name| cluster.attach(0, name));
    for (entry, milli) in entries.iter().zip([900, 1_800, 6_000]) {
        cluster.send(entry, speed_report(5, milli));
    }
    for entry in &entries {
        let speed = received_speed(&mut cluster, entry).expect("a speed");
        assert_eq!((speed.born_ms, speed.step_milli), (5, 1_800));
        assert!(
            (5_000..=6_000).contains(&speed.step_weight_milli),
            "{speed:?}"
        );
    }
    cluster.send(&entries[0], speed_report(6, 1_000));
    cluster.send(&entries[1], speed_report(5, 1_800));
    let speed = received_speed(&mut cluster, &entries[2]).expect("a speed");
    assert_eq!((speed.born_ms, speed.step_milli), (6, 1_000));
}

fn send_report(parts: &[(u64, u32)], other_tokens: u64) -> FrameBody {
    let parts = parts.iter().map(|(chain, requests)| SentPart {
        chain: *chain,
        tokens: 3_000,
        requests: *requests,
    });
    FrameBody::LoadShare(LoadShare {
        sends: vec![PromptSends {
            endpoint: Bytes::from_static(b"e"),
            born_ms: 5,
            parts: parts.collect(),
            other_tokens,
        }],
        ..LoadShare::default()
    })
}

/// Returns the sends that an entry was told: chain and requests of each part, and other
/// tokens.
fn received_sends(cluster: &mut RoleCluster, entry: &ClientLink) -> (Vec<(u64, u32)>, u64) {
    let frames = cluster.drain_frames(entry).into_iter();
    let sends = frames.filter_map(|frame| match frame {
        FrameBody::LoadShare(share) => Some(share.sends),
        _ => None,
    });
    let sends: Vec<PromptSends> = sends.flatten().collect();
    let parts = sends.iter().flat_map(|it| &it.parts);
    let parts = parts.map(|part| (part.chain, part.requests)).collect();
    (parts, sends.iter().map(|it| it.other_tokens).sum())
}

/// Guards against entries that send a prompt where it isn't cached although another one
/// has sent it, against parts that are told once for each request, and against an entry
/// that counts its own requests twice.
#[test]
fn sent_prompts_told_to_others() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [b"entry-0", b"entry-1", b"entry-2"].map(|name| cluster.attach(0, name));
    for entry in &entries {
        cluster.send(entry, load_share(b"e", 1, 0));
    }
    cluster.run(Duration::from_millis(700));
    for entry in &entries {
        cluster.drain_frames(entry);
    }
    cluster.send(&entries[0], send_report(&[(1, 2), (2, 2)], 500));
    cluster.send(&entries[1], send_report(&[(1, 3), (3, 3)], 700));
    cluster.run(Duration::from_millis(800));
    let received = entries.map(|entry| received_sends(&mut cluster, &entry));
    assert_eq!(received[0], (vec![(1, 3), (3, 3)], 700));
    assert_eq!(received[1], (vec![(1, 2), (2, 2)], 500));
    assert_eq!(received[2], (vec![(1, 5), (2, 2), (3, 3)], 1_200));
}

/// Guards against frames that grow with what entries send.
#[test]
fn sent_prompts_bounded() {
    let mut cluster = RoleCluster::formed(3);
    let entries = [b"entry-0", b"entry-1"].map(|name| cluster.attach(0, name));
    cluster.send(&entries[1], load_share(b"e", 1, 0));
    let parts: Vec<(u64, u32)> = (0..9_000).map(|chain| (chain, 1)).collect();
    cluster.send(&entries[0], send_report(&parts, 0));
    cluster.run(Duration::from_millis(800));
    let (parts, _) = received_sends(&mut cluster, &entries[1]);
    assert_eq!(parts.len(), 4_096);
}
