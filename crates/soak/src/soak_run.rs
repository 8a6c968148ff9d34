//! One soak run: traffic, fault injection, recovery and checks.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use mulberrywell_platform_testkit::FakeCaller;
use mulberrywell_testkit::{wait_until, HttpCaller};

use crate::soak_checks::{find_breaches, SoakBreach, SoakRecords, TimedFault};
use crate::soak_cluster::{ClusterSize, SoakCluster};
use crate::soak_departures;
use crate::soak_plan::{PlannedFault, SoakPlan};
use crate::soak_traffic::{config, lock_mutex, send_call, CallKind, SoakTraffic, TrafficLog};

/// Longest time that the deployment may take to recover after the last fault:
/// the platform's `recover_s`, for a machine that all processes share.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(24);

/// Interval at which the plan looks whether a process has stopped.
const STOP_POLL: Duration = Duration::from_millis(10);

/// Timeout of each call that checks whether the deployment has recovered.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Which faults a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanKind {
    /// Faults of all kinds that end again, and planned replacements.
    Faults,
    /// Instances and endpoints that depart, beside others that are away or killed.
    Departures,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Path of the `mulberrywell` binary.
    pub binary: PathBuf,
    /// Which faults the run has.
    pub plan: PlanKind,
    /// Seed of the fault schedule and the traffic.
    pub seed: u64,
    /// Duration of fault injection.
    pub duration: Duration,
    /// Number of instances of each kind.
    pub size: ClusterSize,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Folder in which the logs of a run with breaches are saved, in a subfolder
    /// for its seed.
    pub log_folder: Option<PathBuf>,
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Faults of the schedule.
    pub faults: Vec<PlannedFault>,
    /// Number of calls that were sent.
    pub calls: usize,
    /// Number of calls that got a complete response with status 200.
    pub served: usize,
    /// Number of evacuations whose start was acknowledged.
    pub evacuations: usize,
    /// Breaches that the records prove.
    pub breaches: Vec<SoakBreach>,
}

/// Executes one run.
///
/// # Errors
/// Fails if a process can't be started or signalled. Breaches are not errors.
pub fn run_soak(settings: &SoakSettings) -> Result<SoakReport> {
    let plan = match settings.plan {
        PlanKind::Faults => SoakPlan::draw(settings.seed, settings.duration, settings.size),
        PlanKind::Departures => {
            soak_departures::draw(settings.seed, settings.duration, settings.size)
        }
    };
    let cluster = SoakCluster::spawn(&settings.binary, settings.size, settings.seed)?;
    let cluster = Mutex::new(cluster);
    let traffic = SoakTraffic {
        cluster: &cluster,
        log: TrafficLog::default(),
        stop_traffic: AtomicBool::new(false),
        stop_heartbeats: AtomicBool::new(false),
    };
    let mut faults = Vec::new();
    let mut unrecovered = None;
    thread::scope(|scope| -> Result<()> {
        let traffic = &traffic;
        // Stops all threads, also if the run fails.
        let _stop_guards = [&traffic.stop_traffic, &traffic.stop_heartbeats].map(SetOnDrop);
        scope.spawn(|| traffic.run_heartbeats());
        wait_until("the configuration is acknowledged", || {
            traffic.put_initial_config()
        })?;
        wait_until("all gateways serve", || recovery_failure(traffic).is_none())?;
        let callers = (0..settings.callers)
            .map(|caller| scope.spawn(move || traffic.run_caller(settings.seed, caller)));
        let mut threads: Vec<_> = callers.collect();
        threads.push(scope.spawn(|| traffic.run_operator(settings.seed)));
        threads.push(scope.spawn(|| traffic.run_evacuations(settings.seed)));
        faults = execute_plan(&cluster, &plan)?;
        traffic.stop_traffic.store(true, Ordering::Relaxed);
        for thread in threads {
            thread.join().ok().context("a traffic thread panicked")?;
        }
        unrecovered = wait_until_recovered(traffic);
        Ok(())
    })?;
    let cluster = lock_mutex(&cluster);
    let runs = cluster
        .endpoints
        .iter()
        .flat_map(|endpoint| endpoint.runs());
    let arrivals = cluster.endpoints.iter().map(|endpoint| {
        let arrivals = endpoint.arrivals().into_iter();
        arrivals.map(|arrival| arrival.at).collect()
    });
    let records = SoakRecords {
        calls: traffic.log.calls().clone(),
        runs: runs.collect(),
        arrivals: arrivals.collect(),
        versions: traffic.log.versions().clone(),
        reads: traffic.log.reads().clone(),
        evacuations: traffic.log.evacuations().clone(),
        leaves: cluster.leaves.clone(),
        faults,
    };
    let mut breaches = find_breaches(&records);
    breaches.extend(unrecovered.map(|detail| SoakBreach {
        promise: "not recovered",
        detail,
    }));
    if let Some(folder) = settings
        .log_folder
        .as_ref()
        .filter(|_| !breaches.is_empty())
    {
        save_logs(&cluster, &folder.join(format!("seed-{}", settings.seed)))?;
    }
    let served = records
        .calls
        .iter()
        .filter(|call| call.status == 200 && call.is_complete);
    Ok(SoakReport {
        faults: plan.faults,
        calls: records.calls.len(),
        served: served.count(),
        evacuations: records.evacuations.len(),
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

/// Injects and clears all faults of the plan at their times. A step that takes long, as a
/// process stops, delays all later ones: the times between them bound what the deployment is
/// asked to bear.
fn execute_plan(cluster: &Mutex<SoakCluster>, plan: &SoakPlan) -> Result<Vec<TimedFault>> {
    let mut started = Instant::now();
    let mut steps = Vec::new();
    for (idx, fault) in plan.faults.iter().enumerate() {
        steps.push((fault.begin, false, idx));
        steps.push((fault.end, true, idx));
    }
    steps.sort_unstable();
    let mut injected: Vec<Option<TimedFault>> = vec![None; plan.faults.len()];
    for (at, is_end, idx) in steps {
        thread::sleep(at.saturating_sub(started.elapsed()));
        let fault = &plan.faults[idx].fault;
        let begin = Instant::now();
        if is_end {
            lock_mutex(cluster).prepare_clear(fault)?;
            // Heartbeats and operators need the lock while a process stops.
            while !lock_mutex(cluster).can_clear(fault) {
                thread::sleep(STOP_POLL);
            }
            lock_mutex(cluster).clear_fault(fault)?;
            if let Some(injected) = &mut injected[idx] {
                injected.end = Instant::now();
            }
        } else {
            lock_mutex(cluster).inject_fault(fault)?;
            injected[idx] = Some(TimedFault {
                begin,
                end: Instant::now(),
                fault: fault.clone(),
            });
        }
        started += begin.elapsed();
    }
    Ok(injected.into_iter().flatten().collect())
}

/// Waits until the deployment has recovered; returns what still fails after
/// [`RECOVERY_TIMEOUT`].
fn wait_until_recovered(traffic: &SoakTraffic<'_>) -> Option<String> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        let reason = recovery_failure(traffic)?;
        if Instant::now() >= end {
            return Some(reason);
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Returns why the deployment does not serve the same configuration version
/// everywhere; `None` if it does.
fn recovery_failure(traffic: &SoakTraffic<'_>) -> Option<String> {
    let (operator, gateways, controls) = {
        let mut cluster = lock_mutex(traffic.cluster);
        if let Some(name) = cluster.find_exited_process() {
            return Some(format!("{name} exited on its own"));
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
        let confirmed = sent.iter().filter(|version| version.acknowledged.is_some());
        confirmed.map(|version| version.version).max()
    };
    let Some(version) = newest.filter(|_| newest >= acknowledged) else {
        return Some(format!(
            "control instances read back versions {versions:?}, {acknowledged:?} was acknowledged"
        ));
    };
    if versions.iter().any(|read| *read != newest) {
        return Some(format!(
            "control instances read back different versions {versions:?}"
        ));
    }
    for (place, gateway) in gateways.iter().enumerate() {
        let ready = HttpCaller::with_timeout(gateway.ready_address, None, CHECK_TIMEOUT);
        let response = ready.call("GET", "/ready", &[], "");
        if response.ok().map(|response| response.status) != Some(200) {
            return Some(format!("gateway-{place} is not ready"));
        }
        if let Some(failure) = probe_gateway(traffic, place, version) {
            return Some(format!("gateway-{place}: {failure}"));
        }
    }
    None
}

/// Calls a gateway on routes and with keys of the current version and of the
/// previous one; returns the first unexpected status.
fn probe_gateway(traffic: &SoakTraffic<'_>, place: usize, version: u64) -> Option<String> {
    let address = lock_mutex(traffic.cluster).gateways[place].caller_address;
    let caller = FakeCaller::new(address, CHECK_TIMEOUT);
    let key = |version: u64| config(version).accounts[0].keys[0].clone();
    let earlier = version.saturating_sub(1).max(1);
    let probes = [
        (CallKind::Once, version, 200),
        (CallKind::OwnRoute(version), version, 200),
        (CallKind::OwnRoute(earlier), version, 404),
        (CallKind::Once, earlier, 401),
    ];
    for (number, (kind, key_version, expected)) in probes.into_iter().enumerate() {
        if expected != 200 && earlier == version {
            continue;
        }
        let id = format!("probe-{place}-{number}-{}", traffic.log.calls().len());
        let record = send_call(&caller, id, kind, key(key_version), None);
        let status = record.status;
        traffic.log.calls().push(record);
        if status != expected {
            return Some(format!(
                "{kind:?} at version {version}: got status {status}, expected {expected}"
            ));
        }
    }
    None
}

fn save_logs(cluster: &SoakCluster, folder: &Path) -> Result<()> {
    fs::create_dir_all(folder)?;
    for (name, log) in cluster.logs() {
        fs::write(folder.join(format!("{name}.log")), log)?;
    }
    Ok(())
}
