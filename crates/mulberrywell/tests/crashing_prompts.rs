//! Requests that share a prompt part under which engines crash, with real processes:
//! two gateways, three control instances and eight engines that restart.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::serving_deployment::{ServingDeployment, KEY};
use mulberrywell_platform_testkit::{FakeOperator, FakeWorker};
use mulberrywell_testkit::{wait_until, HttpCaller};

const ENGINES: usize = 8;
const MODEL: &str = "m";
const CRASHING_PART: &str = "dead";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Pause between two requests with the crashing part at one gateway, and between two
/// sound ones of one caller.
const CRASHING_PAUSE: Duration = Duration::from_millis(200);
const SOUND_PAUSE: Duration = Duration::from_millis(120);

/// Time after the fifth crash in which requests with the part may still reach engines,
/// and after which sound requests must be served again: `contact_ms` of the users'
/// first sites, and twice that.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
const RECOVERY_TIME: Duration = Duration::from_millis(6_000);

/// Crashes after which [`CONTACT_TIME`] begins.
const CRASHES_ALLOWED: usize = 5;

/// Requests with the part that may reach engines after [`CONTACT_TIME`].
const LATE_REQUESTS_MAX: usize = 3;

/// A sound request's start, and whether its stream was complete.
type SoundResult = (Instant, bool);

struct EngineFleet {
    engines: Vec<FakeWorker>,
    gateways: Vec<SocketAddr>,
    is_stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// Keeps the processes.
    _deployment: ServingDeployment,
}

impl EngineFleet {
    fn spawn() -> Self {
        let mut deployment = ServingDeployment::spawn();
        let engines: Vec<FakeWorker> = (0..ENGINES)
            .map(|number| FakeWorker::spawn(&format!("e{number}")).unwrap())
            .collect();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for engine in &engines {
            engine.set_model(MODEL);
            engine.set_crashing_part(CRASHING_PART);
            let operator = deployment.operator.clone();
            threads.push(spawn_heartbeats(engine, operator, &is_stopping));
        }
        let gateways = vec![deployment.callers, deployment.add_gateway("gateway-2")];
        for (number, gateway) in gateways.iter().enumerate() {
            wait_until("the gateway knows the engines", || {
                send(*gateway, &format!("first-{number}"), "aa:100,11:20")
            })
            .unwrap();
        }
        EngineFleet {
            engines,
            gateways,
            is_stopping,
            threads,
            _deployment: deployment,
        }
    }

    /// Sends requests with the crashing part to each gateway until the fleet stops.
    fn send_crashing_requests(&mut self) {
        for (number, gateway) in self.gateways.iter().copied().enumerate() {
            let is_stopping = self.is_stopping.clone();
            self.threads.push(thread::spawn(move || {
                let mut sequence = 0;
                while !is_stopping.load(Ordering::Relaxed) {
                    sequence += 1;
                    let id = format!("crash-{number}-{sequence}");
                    let prefix = format!("aa:100,{CRASHING_PART}:50,c{number}{sequence:x}:20");
                    thread::spawn(move || send(gateway, &id, &prefix));
                    thread::sleep(CRASHING_PAUSE);
                }
            }));
        }
    }

    /// Sends sound requests with the same key and first part to each gateway until the
    /// fleet stops.
    fn send_sound_requests(&mut self) -> Arc<Mutex<Vec<SoundResult>>> {
        let results = Arc::new(Mutex::new(Vec::new()));
        for (number, gateway) in self.gateways.iter().copied().enumerate() {
            let is_stopping = self.is_stopping.clone();
            let results = results.clone();
            self.threads.push(thread::spawn(move || {
                let mut sequence = 0;
                while !is_stopping.load(Ordering::Relaxed) {
                    sequence += 1;
                    let id = format!("sound-{number}-{sequence}");
                    let prefix = format!("aa:100,b{}:50,d{number}{sequence:x}:20", sequence % 4);
                    let results = results.clone();
                    thread::spawn(move || {
                        let started = Instant::now();
                        let is_complete = send(gateway, &id, &prefix);
                        results.lock().unwrap().push((started, is_complete));
                    });
                    thread::sleep(SOUND_PAUSE);
                }
            }));
        }
        results
    }

    /// Returns the times of all crashes in order.
    fn crashes(&self) -> Vec<Instant> {
        let mut crashes: Vec<Instant> = self.engines.iter().flat_map(FakeWorker::crashes).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Counts the requests with the crashing part that engines ran after an instant.
    fn crashing_runs_after(&self, instant: Instant) -> usize {
        let runs = self.engines.iter().flat_map(FakeWorker::runs);
        let crashing = runs.filter(|run| run.id.starts_with("crash-"));
        crashing.filter(|run| run.started_at > instant).count()
    }

    fn stop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
    }
}

/// Sends the heartbeats of an engine while it is up.
fn spawn_heartbeats(
    engine: &FakeWorker,
    operator: FakeOperator,
    is_stopping: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (engine, is_stopping) = (engine.clone(), is_stopping.clone());
    thread::spawn(move || {
        let mut sequence = 0;
        while !is_stopping.load(Ordering::Relaxed) {
            if engine.is_up() {
                sequence += 1;
                let heartbeat = engine.heartbeat("s1", "ready", sequence);
                operator.send_heartbeat(engine.id(), &heartbeat);
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    })
}

/// Sends a request to a gateway; returns whether its stream was complete.
fn send(gateway: SocketAddr, id: &str, prefix: &str) -> bool {
    let headers = [
        ("Host", "h.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "3000"),
        ("Credential", KEY),
        ("Model", MODEL),
        ("Token-Count", "170,20"),
        ("Prompt-Prefix", prefix),
    ];
    let caller = HttpCaller::with_timeout(gateway, None, Duration::from_secs(5));
    let response = caller.call("POST", "/stream/x", &headers, "body");
    response.is_ok_and(|response| response.status == 200 && response.complete)
}

/// Guards against a prompt part that crashes one engine after the other, because its
/// requests go on being forwarded; sound requests with the same key and first part must
/// be served meanwhile.
#[test]
fn crashing_part_kept_from_engines() {
    let mut fleet = EngineFleet::spawn();
    let results = fleet.send_sound_requests();
    thread::sleep(Duration::from_millis(1_500));
    let started = Instant::now();
    fleet.send_crashing_requests();
    thread::sleep(RECOVERY_TIME + Duration::from_millis(4_500));
    fleet.stop();
    let crashes = fleet.crashes();
    let last_counted = crashes
        .iter()
        .take(CRASHES_ALLOWED)
        .next_back()
        .copied()
        .expect("a crash");
    let late = fleet.crashing_runs_after(last_counted + CONTACT_TIME);
    let sound = results.lock().unwrap();
    let recovered: Vec<bool> = sound
        .iter()
        .filter(|(sent, _)| *sent > last_counted + RECOVERY_TIME)
        .map(|(_, is_complete)| *is_complete)
        .collect();
    let served = recovered.iter().filter(|is_complete| **is_complete).count();
    println!(
        "{} crashes, the fifth or last after {:?}; {late} late requests; {served} of {} sound \
         requests served",
        crashes.len(),
        last_counted.saturating_duration_since(started),
        recovered.len(),
    );
    assert!(late <= LATE_REQUESTS_MAX, "{late} requests came late");
    assert!(recovered.len() >= 20, "{}", recovered.len());
    assert!(2 * served >= recovered.len(), "{served}");
}
