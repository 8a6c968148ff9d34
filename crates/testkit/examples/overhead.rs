//! Measures the overhead that entry and agent add to a stream: `overhead FOLDER`,
//! where FOLDER contains the two binaries.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use mulberrywell_testkit::{
    read_usage, run_streams, AgentPlan, BinaryPaths, ClusterPlan, EngineConfig, FakeEngine,
    FakeModel, ProcessCluster, ProcessUsage, ProxyFlow, StreamPlan, StreamTimes,
};

const PLANS: &str = r#"
[[plan]]
name = "bench"
rate = 100000000
burst = 1000000000
[[account]]
name = "bench"
plan = "bench"
"#;

const GRANTS: &str = r#"
[[model]]
name = "payroll"
pool = "bench"
memory_mib = 4000
[[grant]]
plan = "bench"
models = ["payroll"]
"#;

/// Numbers of concurrent streams to measure.
const STREAM_COUNTS: [u32; 3] = [1, 50, 300];

/// Number of rounds for each stream count, alternating between the engine and the
/// system.
const ROUNDS: u32 = 2;

/// Number of requests of each stream in a round.
const REQUESTS: u32 = 3;

/// Number of tokens of each request.
const TOKENS: u64 = 50;

/// Time over which the usage of idle processes is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

const PROCESS_NAMES: [&str; 3] = ["control-0", "entry-0", "agent-engine-0"];

fn main() -> Result<()> {
    let folder = PathBuf::from(
        std::env::args()
            .nth(1)
            .context("no folder of binaries given")?,
    );
    let binaries = BinaryPaths {
        serve: folder.join("mulberrywell"),
        agent: folder.join("mulberrywell-agent"),
    };
    let engine = FakeEngine::spawn(EngineConfig {
        models: vec![FakeModel {
            model: "payroll".to_owned(),
            memory_mib: 4_000,
            ready: true,
        }],
        first_token: Duration::from_millis(50),
        between_tokens: Duration::from_millis(20),
        ..EngineConfig::default()
    })?;
    measure_idle(&binaries, &engine)?;
    measure_streams(&binaries, &engine)
}

fn spawn_cluster(
    binaries: &BinaryPaths,
    engine: &FakeEngine,
    proxied: bool,
) -> Result<ProcessCluster> {
    let mut agent = AgentPlan::engine("engine-0", "bench", engine.address());
    agent.extra.push_str("\nslots = 512");
    let plan = ClusterPlan {
        controls: 1,
        entries: 1,
        agents: vec![agent],
        proxied,
        log_level: "info".to_owned(),
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(binaries, &plan)?;
    cluster.apply(PLANS, GRANTS)?;
    cluster.wait_ready(1)?;
    Ok(cluster)
}

fn usages(cluster: &ProcessCluster) -> Result<Vec<ProcessUsage>> {
    let ids = PROCESS_NAMES
        .iter()
        .map(|name| cluster.id(name).context("no process with this name"));
    ids.map(|id| read_usage(id?)).collect()
}

fn print_usage(cluster: &ProcessCluster, before: &[ProcessUsage], time: Duration) -> Result<()> {
    for ((name, before), after) in PROCESS_NAMES.iter().zip(before).zip(usages(cluster)?) {
        let used = after.processor.saturating_sub(before.processor);
        let share = 100.0 * used.as_secs_f64() / time.as_secs_f64();
        let memory = after.resident_kib as f64 / 1_024.0;
        println!("| {name} | {share:.2} % | {memory:.1} MB |");
    }
    Ok(())
}

fn forwarded(cluster: &ProcessCluster, name: &str) -> u64 {
    let proxies = cluster.proxies_of(name);
    let flows = [ProxyFlow::ToTarget, ProxyFlow::ToCaller];
    let sums = proxies
        .iter()
        .map(|proxy| flows.iter().map(|flow| proxy.forwarded(*flow)).sum::<u64>());
    sums.sum()
}

fn measure_idle(binaries: &BinaryPaths, engine: &FakeEngine) -> Result<()> {
    let cluster = spawn_cluster(binaries, engine, true)?;
    let before = usages(&cluster)?;
    let bytes_before: Vec<u64> = PROCESS_NAMES
        .iter()
        .map(|name| forwarded(&cluster, name))
        .collect();
    thread::sleep(IDLE_PERIOD);
    println!("idle for {IDLE_PERIOD:?}\n\n| process | of a core | memory |\n| --- | --- | --- |");
    print_usage(&cluster, &before, IDLE_PERIOD)?;
    println!("\n| process | control bytes a second |\n| --- | --- |");
    for (name, before) in PROCESS_NAMES.iter().zip(bytes_before) {
        let bytes = forwarded(&cluster, name) - before;
        println!("| {name} | {} |", bytes / IDLE_PERIOD.as_secs());
    }
    Ok(())
}

fn measure_streams(binaries: &BinaryPaths, engine: &FakeEngine) -> Result<()> {
    let cluster = spawn_cluster(binaries, engine, false)?;
    let key = cluster.create_key("bench", "bench")?;
    println!("\n| streams | time | quantile | direct ms | system ms | difference ms | ratio |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut usage_rows = Vec::new();
    for streams in STREAM_COUNTS {
        let direct_plan = StreamPlan {
            address: engine.address(),
            key: None,
            model: "payroll".to_owned(),
            streams,
            requests: REQUESTS,
            tokens: TOKENS,
        };
        let system_plan = StreamPlan {
            address: cluster.callers[0],
            key: Some(key.clone()),
            ..direct_plan.clone()
        };
        let (mut direct, mut system) = (StreamTimes::new()?, StreamTimes::new()?);
        for _ in 0..ROUNDS {
            direct.add(&run_streams(&direct_plan)?)?;
            let before = usages(&cluster)?;
            let started = std::time::Instant::now();
            system.add(&run_streams(&system_plan)?)?;
            usage_rows.push((streams, before, usages(&cluster)?, started.elapsed()));
        }
        print_times(
            streams,
            "first token",
            &direct.time_to_first_token,
            &system.time_to_first_token,
        );
        print_times(
            streams,
            "between tokens",
            &direct.inter_token_time,
            &system.inter_token_time,
        );
        println!(
            "failed at {streams} streams: direct {}, system {}",
            direct.failed, system.failed
        );
    }
    println!("\n| streams | process | of a core | memory |\n| --- | --- | --- | --- |");
    for (streams, before, after, time) in usage_rows {
        for ((name, before), after) in PROCESS_NAMES.iter().zip(before).zip(after) {
            let used = after.processor.saturating_sub(before.processor);
            let share = 100.0 * used.as_secs_f64() / time.as_secs_f64();
            let memory = after.resident_kib as f64 / 1_024.0;
            println!("| {streams} | {name} | {share:.1} % | {memory:.1} MB |");
        }
    }
    Ok(())
}

fn print_times(streams: u32, what: &str, direct: &Histogram<u64>, system: &Histogram<u64>) {
    for quantile in [0.50, 0.95, 0.99] {
        let millis = |times: &Histogram<u64>| times.value_at_quantile(quantile) as f64 / 1_000.0;
        let (direct, system) = (millis(direct), millis(system));
        println!(
            "| {streams} | {what} | p{:.0} | {direct:.2} | {system:.2} | {:+.2} | {:.3} |",
            quantile * 100.0,
            system - direct,
            system / direct,
        );
    }
}
