//! One run: traffic, faults, healing, checks.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use mulberrywell_platform_testkit::FakeCaller;
use mulberrywell_testkit::{wait_until, HttpCaller};

use crate::soak_checks::{find_breaches, PlayedFault, SoakBreach, SoakRecords};
use crate::soak_cluster::{ClusterSize, SoakCluster};
use crate::soak_plan::{PlannedFault, SoakPlan};
use crate::soak_traffic::{config, locked, send_call, CallKind, Traffic, TrafficLog};

/// Time after the last fault until the deployment serves as before: the
/// platform's `recover_s`, counted on a machine shared by all processes.
const RECOVER_LIMIT: Duration = Duration::from_secs(24);

/// Time for one question whether the deployment has settled.
const CHECK_LIMIT: Duration = Duration::from_secs(2);

/// What to play.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// `mulberrywell`.
    pub binary: PathBuf,
    /// Seed of faults and traffic.
    pub seed: u64,
    /// Time in which faults come.
    pub duration: Duration,
    /// Processes.
    pub size: ClusterSize,
    /// Callers at the same time.
    pub callers: u64,
    /// Where the logs of a run with breaches are kept, in a folder for its seed.
    pub log_folder: Option<PathBuf>,
}

/// What came out.
#[derive(Debug)]
pub struct SoakReport {
    /// Faults that were played.
    pub faults: Vec<PlannedFault>,
    /// Calls that were sent.
    pub calls: usize,
    /// Calls that were answered whole with success.
    pub served: usize,
    /// Proved breaches.
    pub breaches: Vec<SoakBreach>,
}

/// Plays one run.
///
/// # Errors
/// Fails when a process can't be started or signalled; breaches are no error.
pub fn run_soak(settings: &SoakSettings) -> Result<SoakReport> {
    let plan = SoakPlan::draw(settings.seed, settings.duration, settings.size);
    let cluster = SoakCluster::spawn(&settings.binary, settings.size, settings.seed)?;
    let cluster = Mutex::new(cluster);
    let traffic = Traffic {
        cluster: &cluster,
        log: TrafficLog::default(),
        is_over: AtomicBool::new(false),
        is_ended: AtomicBool::new(false),
    };
    let mut faults = Vec::new();
    let mut settled = None;
    thread::scope(|scope| -> Result<()> {
        let traffic = &traffic;
        // Ends all threads, also when the run fails.
        let _ends = [&traffic.is_over, &traffic.is_ended].map(SetOnDrop);
        scope.spawn(|| traffic.beat_on());
        wait_until("the configuration is taken", || {
            traffic.begin_configuration()
        })?;
        wait_until("all gateways serve", || settle(traffic).is_none())?;
        let callers = (0..settings.callers)
            .map(|caller| scope.spawn(move || traffic.call_on(settings.seed, caller)));
        let mut threads: Vec<_> = callers.collect();
        threads.push(scope.spawn(|| traffic.operate_on(settings.seed)));
        faults = play(&cluster, &plan)?;
        traffic.is_over.store(true, Ordering::Relaxed);
        for thread in threads {
            thread
                .join()
                .ok()
                .context("a thread of the traffic failed")?;
        }
        settled = await_settled(traffic);
        Ok(())
    })?;
    let cluster = locked(&cluster);
    let runs = cluster
        .endpoints
        .iter()
        .flat_map(|endpoint| endpoint.runs());
    let records = SoakRecords {
        calls: traffic.log.calls().clone(),
        runs: runs.collect(),
        versions: traffic.log.versions().clone(),
        reads: traffic.log.reads().clone(),
        faults,
    };
    let mut breaches = find_breaches(&records);
    breaches.extend(settled.map(|detail| SoakBreach {
        promise: "not settled",
        detail,
    }));
    if let Some(folder) = settings
        .log_folder
        .as_ref()
        .filter(|_| !breaches.is_empty())
    {
        keep_logs(&cluster, &folder.join(format!("seed-{}", settings.seed)))?;
    }
    let served = records
        .calls
        .iter()
        .filter(|call| call.status == 200 && call.is_whole);
    Ok(SoakReport {
        faults: plan.faults,
        calls: records.calls.len(),
        served: served.count(),
        breaches,
    })
}

/// Sets a flag when it is dropped.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Begins and ends all faults at their times.
fn play(cluster: &Mutex<SoakCluster>, plan: &SoakPlan) -> Result<Vec<PlayedFault>> {
    let started = Instant::now();
    let mut steps = Vec::new();
    for (place, fault) in plan.faults.iter().enumerate() {
        steps.push((fault.begin, false, place));
        steps.push((fault.end, true, place));
    }
    steps.sort_unstable();
    let mut played: Vec<Option<PlayedFault>> = vec![None; plan.faults.len()];
    for (at, ends, place) in steps {
        thread::sleep(at.saturating_sub(started.elapsed()));
        let fault = &plan.faults[place].fault;
        let begin = Instant::now();
        if ends {
            locked(cluster).end(fault)?;
            if let Some(played) = &mut played[place] {
                played.end = Instant::now();
            }
        } else {
            locked(cluster).begin(fault)?;
            played[place] = Some(PlayedFault {
                begin,
                end: Instant::now(),
                fault: fault.clone(),
            });
        }
    }
    Ok(played.into_iter().flatten().collect())
}

/// Waits until the deployment serves as it should; tells what still fails at
/// the end.
fn await_settled(traffic: &Traffic<'_>) -> Option<String> {
    let end = Instant::now() + RECOVER_LIMIT;
    loop {
        let failing = settle(traffic)?;
        if Instant::now() >= end {
            return Some(failing);
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Tells what keeps the deployment from serving one version everywhere; nothing
/// when it does.
fn settle(traffic: &Traffic<'_>) -> Option<String> {
    let (operator, gateways, controls) = {
        let mut cluster = locked(traffic.cluster);
        if let Some(name) = cluster.ended_process() {
            return Some(format!("{name} has ended by itself"));
        }
        let controls = cluster.control_count();
        (cluster.operator.clone(), cluster.gateways.clone(), controls)
    };
    let versions: Vec<_> = (0..controls)
        .map(|place| operator.version_at(place))
        .collect();
    let newest = versions[0];
    let acknowledged = {
        let sent = traffic.log.versions();
        let taken = sent.iter().filter(|version| version.acknowledged.is_some());
        taken.map(|version| version.version).max()
    };
    let Some(version) = newest.filter(|_| newest >= acknowledged) else {
        return Some(format!(
            "{versions:?} are read back, {acknowledged:?} was acknowledged"
        ));
    };
    if versions.iter().any(|read| *read != newest) {
        return Some(format!("{versions:?} are read back"));
    }
    for (place, gateway) in gateways.iter().enumerate() {
        let ready = HttpCaller::with_limit(gateway.ready, None, CHECK_LIMIT);
        let answer = ready.call("GET", "/ready", &[], "");
        if answer.ok().map(|answer| answer.status) != Some(200) {
            return Some(format!("gateway-{place} is not ready"));
        }
        if let Some(failing) = probe(traffic, place, version) {
            return Some(format!("gateway-{place}: {failing}"));
        }
    }
    None
}

/// Calls a gateway on routes and with keys of the version in force and of
/// earlier ones.
fn probe(traffic: &Traffic<'_>, place: usize, version: u64) -> Option<String> {
    let address = locked(traffic.cluster).gateways[place].callers;
    let caller = FakeCaller::new(address, CHECK_LIMIT);
    let key = |version: u64| config(version).accounts[0].keys[0].clone();
    let earlier = version.saturating_sub(1).max(1);
    let probes = [
        (CallKind::Once, version, 200),
        (CallKind::OwnRoute(version), version, 200),
        (CallKind::OwnRoute(earlier), version, 404),
        (CallKind::Once, earlier, 401),
    ];
    for (number, (kind, keys_of, expected)) in probes.into_iter().enumerate() {
        if expected != 200 && earlier == version {
            continue;
        }
        let id = format!("probe-{place}-{number}-{}", traffic.log.calls().len());
        let record = send_call(&caller, id, kind, key(keys_of));
        let status = record.status;
        traffic.log.calls().push(record);
        if status != expected {
            return Some(format!(
                "{kind:?} by version {version}: {status}, not {expected}"
            ));
        }
    }
    None
}

fn keep_logs(cluster: &SoakCluster, folder: &Path) -> Result<()> {
    fs::create_dir_all(folder)?;
    for name in cluster.names() {
        fs::write(folder.join(format!("{name}.log")), cluster.log(&name))?;
    }
    Ok(())
}
