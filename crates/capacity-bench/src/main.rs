//! Measures how costs grow with the cluster size, for the capacity documentation.
//!
//! Prints a Markdown table with the costs of the configuration, its distribution
//! and the choice of an endpoint for three cluster sizes. Everything runs in this
//! process, without links.

mod sample_cluster;

use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::{anyhow, Context, Result};
use bytes::Bytes;
use mulberrywell_control::{updates_since, ClusterState};
use mulberrywell_directory::ConfigDirectory;
use mulberrywell_policy::{ChoiceRequest, ChoiceSettings, EndpointCandidate, EndpointChooser};
use mulberrywell_wire::config::{Subscribe, Update};
use prost::Message;

use crate::sample_cluster::{build_cluster, endpoint_command, SampleSize};

const SIZES: [SampleSize; 3] = [
    SampleSize {
        models: 30,
        endpoints: 20,
        accounts: 5,
    },
    SampleSize {
        models: 100,
        endpoints: 300,
        accounts: 50,
    },
    SampleSize {
        models: 890,
        endpoints: 3_300,
        accounts: 500,
    },
];

/// Repetitions of each measurement. The fastest one is reported, because other
/// processes share the machine.
const ROUNDS: usize = 5;

/// Number of endpoint choices in each round.
const CHOICES: u32 = 2_000;

/// A row of the table.
struct SizeReport {
    size: SampleSize,
    resident_kib: u64,
    full_bytes: usize,
    full_apply: Duration,
    delta_bytes: usize,
    delta_build: Duration,
    delta_apply: Duration,
    command_apply: Duration,
    snapshot_bytes: usize,
    choice_time: Duration,
}

fn main() -> Result<()> {
    println!(
        "| models/endpoints/accounts | process memory KiB | full update bytes | full update apply \
         | delta bytes | delta build | delta apply | command apply | snapshot bytes | choice |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in SIZES {
        let report = measure_size(size)?;
        println!(
            "| {}/{}/{} | {} | {} | {:?} | {} | {:?} | {:?} | {:?} | {} | {:?} |",
            report.size.models,
            report.size.endpoints,
            report.size.accounts,
            report.resident_kib,
            report.full_bytes,
            report.full_apply,
            report.delta_bytes,
            report.delta_build,
            report.delta_apply,
            report.command_apply,
            report.snapshot_bytes,
            report.choice_time,
        );
    }
    Ok(())
}

fn measure_size(size: SampleSize) -> Result<SizeReport> {
    let mut state = build_cluster(size).map_err(|findings| anyhow!("{findings:?}"))?;
    let before = resident_kib()?;
    let full_update = updates_since(&state, &Subscribe::default());
    let directory = build_directory(&full_update);
    let resident_kib = resident_kib()?.max(before);
    let subscribe = Subscribe {
        version: state.version,
        cluster: state.cluster,
    };
    let command_apply = fastest_round(|| change_endpoint(&mut state, size));
    let delta = updates_since(&state, &subscribe);
    let delta_build = fastest_round(|| drop(black_box(updates_since(&state, &subscribe))));
    Ok(SizeReport {
        size,
        resident_kib,
        full_bytes: encoded_len(&full_update),
        full_apply: fastest_round(|| drop(black_box(build_directory(&full_update)))),
        delta_bytes: encoded_len(&delta),
        delta_build,
        delta_apply: measure_apply(&directory, &delta),
        command_apply,
        snapshot_bytes: state.encode_snapshot().len(),
        choice_time: measure_choice(&directory, size),
    })
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|text| text.parse().ok())
        .context("no VmRSS line in the process status")
}

fn build_directory(updates: &[Update]) -> ConfigDirectory {
    let mut directory = ConfigDirectory::default();
    for update in updates {
        directory.apply(update);
    }
    directory
}

fn encoded_len(updates: &[Update]) -> usize {
    updates.iter().map(Message::encoded_len).sum()
}

fn fastest_round(mut work: impl FnMut()) -> Duration {
    let times = (0..ROUNDS).map(|_| {
        let started = Instant::now();
        work();
        started.elapsed()
    });
    times.min().unwrap_or_default()
}

fn measure_apply(directory: &ConfigDirectory, updates: &[Update]) -> Duration {
    let times = (0..ROUNDS).map(|_| {
        let mut copy = directory.clone();
        let started = Instant::now();
        for update in updates {
            copy.apply(update);
        }
        started.elapsed()
    });
    times.min().unwrap_or_default()
}

/// Registers one endpoint again under a new incarnation.
fn change_endpoint(state: &mut ClusterState, size: SampleSize) {
    let incarnation = state.applied + 1;
    let command = endpoint_command(size, 0, incarnation);
    black_box(state.apply(state.applied + 1, &command));
}

fn measure_choice(directory: &ConfigDirectory, size: SampleSize) -> Duration {
    let entry = Bytes::from_static(b"entry-0");
    let zone = Bytes::from_static(b"zone-0");
    let mut chooser = EndpointChooser::new(entry, zone, ChoiceSettings::default());
    let model = Bytes::from(format!("model-{}", size.models - 1));
    let now = Instant::now();
    let total = fastest_round(|| {
        for seed in 0..CHOICES {
            let model_endpoints = directory.endpoints_of_model(&model);
            let candidates: Vec<EndpointCandidate<'_>> = model_endpoints
                .map(|endpoint| EndpointCandidate {
                    name: &endpoint.name,
                    zone: &endpoint.zone,
                    incarnation: endpoint.incarnation,
                    ready_delay: Duration::ZERO,
                })
                .collect();
            let request = ChoiceRequest {
                model: &model,
                prompt_tokens: 400,
                total_tokens: 600,
                prefix: u64::from(seed),
                time_left: Duration::from_secs(10),
                seed: u64::from(seed),
            };
            black_box(chooser.choose(now, &request, &candidates));
        }
    });
    total / CHOICES
}
