//! Benchmark of the replicated log on real files.
//!
//! `cargo run --release -p mulberrywell-consensus --example log_bench`
//! prints proposals per second, catch-up times, and sizes of log and snapshot.

mod member_host;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{bail, Result};
use bytes::{BufMut, Bytes, BytesMut};
use member_host::{HostReport, MemberHost, MemberTable, COMMAND_LEN};
use mulberrywell_consensus::{MembershipChange, NodeConfig, NodeInput};

/// Duration of each load measurement.
const LOAD_DURATION: Duration = Duration::from_secs(4);

fn main() -> Result<()> {
    let root = tempfile::tempdir()?;
    for members in [1, 3] {
        for outstanding in [1, 16, 256, 2_000] {
            let folder = root.path().join(format!("load-{members}-{outstanding}"));
            measure_load(&folder, members, outstanding)?;
        }
    }
    for entries in [500, 5_000, 50_000] {
        for by_snapshot in [true, false] {
            let folder = root
                .path()
                .join(format!("catch-up-{entries}-{by_snapshot}"));
            measure_catch_up(&folder, entries, by_snapshot)?;
        }
    }
    Ok(())
}

fn command(number: u64) -> Bytes {
    let mut buf = BytesMut::new();
    buf.put_u64(number);
    buf.put_bytes(b'x', COMMAND_LEN - buf.len());
    buf.freeze()
}

/// Bootstraps a cluster and makes the other members voters.
fn start_cluster(
    folder: &Path,
    members: u64,
    config: &NodeConfig,
    table: &MemberTable,
) -> Result<Vec<MemberHost>> {
    let mut hosts = Vec::new();
    for member in 1..=members {
        let member_folder = folder.join(member.to_string());
        let config = NodeConfig {
            seed: member,
            ..config.clone()
        };
        hosts.push(MemberHost::spawn(&member_folder, member, config, table)?);
    }
    let leader = &hosts[0];
    let address = Bytes::from_static(b"1");
    leader.tx.send(NodeInput::Bootstrap { address })?;
    while !matches!(leader.reports.recv()?, HostReport::BecameLeader) {}
    for host in &hosts[1..] {
        join(leader, host)?;
        let id = host.member;
        change_membership(leader, &MembershipChange::Promote { id })?;
    }
    Ok(hosts)
}

fn join(leader: &MemberHost, host: &MemberHost) -> Result<()> {
    let id = host.member;
    let address = Bytes::from(id.to_string());
    change_membership(leader, &MembershipChange::AddLearner { id, address })
}

/// Requests a membership change, and retries until it is accepted.
fn change_membership(leader: &MemberHost, change: &MembershipChange) -> Result<()> {
    let start = Instant::now();
    for proposal in u64::MAX - 1_000.. {
        if start.elapsed() > Duration::from_secs(10) {
            bail!("membership change not accepted within 10 s");
        }
        let change = change.clone();
        leader
            .tx
            .send(NodeInput::ChangeMembership { proposal, change })?;
        let until = Instant::now() + Duration::from_millis(200);
        while let Ok(report) = leader
            .reports
            .recv_timeout(until - Instant::now().min(until))
        {
            if matches!(report, HostReport::Accepted(it) if it == proposal) {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Measures throughput and latency with a fixed number of outstanding proposals.
fn measure_load(folder: &Path, members: u64, outstanding: usize) -> Result<()> {
    let table = Arc::new(Mutex::new(BTreeMap::new()));
    let hosts = start_cluster(folder, members, &NodeConfig::default(), &table)?;
    let leader = &hosts[0];
    let mut sent_at = BTreeMap::new();
    let mut latencies = Vec::new();
    let mut next = 0;
    let start = Instant::now();
    while start.elapsed() < LOAD_DURATION {
        while sent_at.len() < outstanding {
            let data = command(next);
            leader.tx.send(NodeInput::Propose {
                proposal: next,
                data,
            })?;
            sent_at.insert(next, Instant::now());
            next += 1;
        }
        if let HostReport::Accepted(proposal) = leader.reports.recv()? {
            if let Some(at) = sent_at.remove(&proposal) {
                latencies.push(at.elapsed());
            }
        }
    }
    latencies.sort_unstable();
    println!(
        "load: {members} members, {outstanding} outstanding: {:.0} proposals/s, p50 {:.2} ms, p95 {:.2} ms",
        latencies.len() as f64 / start.elapsed().as_secs_f64(),
        millis(latencies[latencies.len() / 2]),
        millis(latencies[latencies.len() * 95 / 100]),
    );
    Ok(())
}

/// Measures how long a new learner takes to catch up with the leader.
fn measure_catch_up(folder: &Path, entries: u64, by_snapshot: bool) -> Result<()> {
    let config = NodeConfig {
        snapshot_entries: if by_snapshot { entries } else { u64::MAX },
        snapshot_bytes: usize::MAX,
        retained_entries: 0,
        retained_bytes: 0,
        ..NodeConfig::default()
    };
    let table = Arc::new(Mutex::new(BTreeMap::new()));
    let hosts = start_cluster(folder, 1, &config, &table)?;
    let leader = &hosts[0];
    for number in 0..entries {
        let data = command(number);
        leader.tx.send(NodeInput::Propose {
            proposal: number,
            data,
        })?;
    }
    leader.wait_applied(entries)?;
    let snapshot_len = wait_snapshot(leader, by_snapshot)?;
    let learner = MemberHost::spawn(&folder.join("2"), 2, config, &table)?;
    let start = Instant::now();
    join(leader, &learner)?;
    let was_restored = learner.wait_applied(entries)?;
    let took = start.elapsed();
    println!(
        "catch-up: {entries} entries, {}: {:.1} ms; log {} KiB, snapshot {} KiB",
        if was_restored { "snapshot" } else { "replay" },
        millis(took),
        log_len(&folder.join("1"))? >> 10,
        snapshot_len >> 10,
    );
    Ok(())
}

/// Waits 300 ms for the report of a snapshot; returns its size in bytes, or 0
/// without a snapshot.
fn wait_snapshot(leader: &MemberHost, by_snapshot: bool) -> Result<usize> {
    if !by_snapshot {
        return Ok(0);
    }
    // The report of the snapshot may be among those already received.
    thread::sleep(Duration::from_millis(300));
    let mut len = 0;
    for report in leader.reports.try_iter() {
        if let HostReport::SnapshotQueued(bytes) = report {
            len = bytes;
        }
    }
    Ok(len)
}

/// Returns the total size of all segment files of a folder in bytes.
fn log_len(folder: &Path) -> Result<u64> {
    let mut len = 0;
    for file in fs::read_dir(folder)? {
        let file = file?;
        if file.file_name().to_string_lossy().starts_with("log-") {
            len += file.metadata()?.len();
        }
    }
    Ok(len)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
