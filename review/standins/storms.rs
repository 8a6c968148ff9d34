//! Hundreds of changes of a large manifest, and the memory of the control instances.
//!
//! Starts the control instances of a small deployment, lets the manifest grow by many
//! routes and changes it again and again. A process that uses more than `memory_mb` is
//! killed and started again after a short delay, as the platform does.

#[path = "kit.rs"]
mod kit;

use std::collections::BTreeMap;
use std::fs;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{address, call, control_settings, has_trouble, manifest, Ports, Run};

/// Machines with a disk, which are the seeds, one in each zone; then those without.
const DISKS: [u8; 3] = [1, 2, 3];
const MACHINES: [u8; 6] = [1, 2, 3, 4, 5, 6];
const ZONES: [&str; 3] = ["oslo-a", "oslo-b", "oslo-c"];

/// `memory_mb` of the site's machines.
const MEMORY_MB: u64 = 260;

/// Delay after which the platform starts a process that has ended again.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Growth of the manifest: so many times `big_config` with `count = 350`.
const GROWTHS: usize = 11;
const GROWTH_ROUTES: usize = 350;

/// Changes in a storm, and the pauses in it and between two.
const STORM_CHANGES: usize = 25;
const STORM_GAP: Duration = Duration::from_millis(80);
const STORM_PAUSE: Duration = Duration::from_millis(500);

/// Storms at most: 700 changes.
const STORMS_MAX: usize = 28;

/// The operator makes no further change after this time.
const CHANGING_MAX: Duration = Duration::from_secs(100);

/// Ends of processes of one machine that break the rule, and core machines with as many.
const ENDS_MIN: usize = 3;
const CORE_MIN: usize = 2;

fn main() {
    let run = Arc::new(Run::open());
    let ports = Ports::find(6);
    for machine in MACHINES {
        start(&run, ports, machine, true);
    }
    let ends: Arc<Mutex<BTreeMap<u8, usize>>> = Arc::default();
    let peak = Arc::new(AtomicU64::new(0));
    let stops = Arc::new(AtomicBool::new(false));
    let platform = {
        let (run, ends, peak, stops) = (run.clone(), ends.clone(), peak.clone(), stops.clone());
        thread::spawn(move || {
            while !stops.load(Ordering::Relaxed) {
                for machine in MACHINES {
                    watch(&run, ports, machine, &ends, &peak);
                }
                thread::sleep(Duration::from_millis(20));
            }
        })
    };
    let mut operator = Operator {
        ports,
        next: 0,
        acknowledged: 0,
        unclear: 0,
        latest: 0,
    };
    let begun = Instant::now();
    let mut version = 1;
    if !operator.put_until_acknowledged(&manifest(1, 0), version) {
        stop(run, "the first manifest was not acknowledged");
    }
    for growth in 1..=GROWTHS {
        version += 1;
        let text = manifest(version, growth * GROWTH_ROUTES);
        if !operator.put_until_acknowledged(&text, version) {
            stop(run, "a growth of the manifest was not acknowledged");
        }
    }
    let text = manifest(version, GROWTHS * GROWTH_ROUTES);
    run.record.line(&format!(
        "the manifest has {} routes and {} bytes",
        GROWTHS * GROWTH_ROUTES + 1,
        text.len()
    ));
    for storm in 0..STORMS_MAX {
        for _ in 0..STORM_CHANGES {
            let sent = Instant::now();
            // Without the disruption, the manifest in force is sent once more, which changes
            // nothing.
            version += u64::from(has_trouble());
            operator.put_until_acknowledged(&manifest(version, GROWTHS * GROWTH_ROUTES), version);
            kit::sleep_until(sent + STORM_GAP);
        }
        run.record.line(&format!(
            "storm {storm}: {} calls acknowledged, {} without a clear response, version \
             {version}, peak {} MB, ends {:?}",
            operator.acknowledged,
            operator.unclear,
            peak.load(Ordering::Relaxed) / 1024,
            ends.lock().unwrap()
        ));
        if is_broken(&ends.lock().unwrap()) || begun.elapsed() > CHANGING_MAX {
            break;
        }
        thread::sleep(STORM_PAUSE);
    }
    stops.store(true, Ordering::Relaxed);
    platform.join().unwrap();
    let broken = is_broken(&ends.lock().unwrap());
    run.record.line(&format!(
        "ends of processes by machine, memory over the limit of {MEMORY_MB} MB: {:?}",
        ends.lock().unwrap()
    ));
    match Arc::try_unwrap(run) {
        Ok(run) => run.finish(broken),
        Err(_) => std::process::exit(kit::NOT_RUN),
    }
}

/// Returns whether processes ended by themselves three times on half of the core.
fn is_broken(ends: &BTreeMap<u8, usize>) -> bool {
    let core = DISKS.iter().filter(|machine| {
        let count = ends.get(machine).copied().unwrap_or_default();
        count >= ENDS_MIN
    });
    core.count() >= CORE_MIN
}

fn stop(run: Arc<Run>, reason: &str) -> ! {
    run.record.line(reason);
    for machine in MACHINES {
        run.kill(&format!("control-{machine}"));
    }
    let _ = fs::remove_dir_all(&run.folder);
    std::process::exit(kit::NOT_RUN);
}

fn start(run: &Run, ports: Ports, machine: u8, bootstrap: bool) {
    let name = format!("control-{machine}");
    let zone = ZONES[usize::from((machine - 1) % 3)];
    let folder = run.folder.join(format!("data-{machine}"));
    let folder = DISKS.contains(&machine).then_some(folder.as_path());
    let text = control_settings(&name, machine, zone, &DISKS, ports, folder, bootstrap);
    run.start(&name, &text);
}

/// Kills and restarts the process of a machine if it uses too much memory.
fn watch(
    run: &Run,
    ports: Ports,
    machine: u8,
    ends: &Mutex<BTreeMap<u8, usize>>,
    peak: &AtomicU64,
) {
    let name = format!("control-{machine}");
    let Some(memory_kb) = run.pid(&name).and_then(resident_kb) else {
        return;
    };
    peak.fetch_max(memory_kb, Ordering::Relaxed);
    if memory_kb <= MEMORY_MB * 1024 {
        return;
    }
    run.record.line(&format!(
        "machine {machine}: the process uses {} MB, over the limit; it is killed",
        memory_kb / 1024
    ));
    run.kill(&name);
    *ends.lock().unwrap().entry(machine).or_default() += 1;
    thread::sleep(RESTART_DELAY);
    start(run, ports, machine, false);
}

/// Returns the resident memory of a process.
fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// The operator: one change after the other, at any machine.
struct Operator {
    ports: Ports,
    next: usize,
    acknowledged: u64,
    unclear: u64,
    latest: u64,
}

impl Operator {
    /// Sends a change to one machine after the other until one acknowledges it.
    fn put_until_acknowledged(&mut self, text: &str, version: u64) -> bool {
        let begun = Instant::now();
        let mut pause = Duration::from_millis(50);
        while begun.elapsed() < Duration::from_secs(15) {
            let machine = MACHINES[self.next % MACHINES.len()];
            self.next += 1;
            let response = call(
                address(machine, self.ports.control),
                "POST",
                "/api/config/put",
                &[("Content-Type", "application/json")],
                text.as_bytes(),
                Duration::from_secs(2),
            );
            if response.is_some_and(|response| response.status == 200) {
                self.acknowledged += 1;
                self.latest = self.latest.max(version);
                return true;
            }
            self.unclear += 1;
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(400));
        }
        false
    }
}
