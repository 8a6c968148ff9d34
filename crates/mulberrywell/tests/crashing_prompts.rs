//! Requests that share a prompt part under which engines crash, with real processes:
//! gateways, three control instances and engines that restart.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::serving_deployment::KEY;
use common::worker_fleet::{count_served, SoundResult, WorkerFleet};
use mulberrywell_testkit::{HttpCaller, ProcessSet};
use rstest::rstest;

const GATEWAYS: usize = 2;
const ENGINES: usize = 8;
const FEW_ENGINES: usize = 3;

/// Gateways and engines of a deployment of the users' size.
const SITE_GATEWAYS: usize = 7;
const SITE_ENGINES: usize = 18;

/// Time from the head of a response to the crash of its engine.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Time from a crash until an engine of that deployment is back.
const SITE_RESTART_TIME: Duration = Duration::from_millis(3_000);

/// Times that a caller sends a request again that has failed, and the pause before.
const REPEATS: usize = 2;
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Time for which requests with the part are sent.
const SITE_TIME: Duration = Duration::from_secs(22);
const MODEL: &str = "m";
const CRASHING_PART: &str = "dead";

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

/// Time after that in which sound requests are counted; trials are seconds apart, so that
/// the fifth crash may come late.
const OBSERVED_TIME: Duration = Duration::from_millis(9_000);

/// Time for which a part that crashes engines later is served before.
const SOUND_TIME: Duration = Duration::from_secs(4);

fn spawn_fleet(gateways: usize, engines: usize) -> WorkerFleet {
    let fleet = WorkerFleet::spawn_engines(gateways, engines, MODEL);
    fleet.wait_ready(|gateway| send(gateway, "first", "aa:100,11:20"));
    fleet
}

/// Sends requests with the crashing part to each gateway until the fleet stops.
fn send_crashing_requests(fleet: &mut WorkerFleet) {
    fleet.spawn_callers(CRASHING_PAUSE, |call| {
        let (number, sequence) = (call.number, call.sequence);
        let id = format!("crash-{number}-{sequence}");
        let prefix = format!("aa:100,{CRASHING_PART}:50,c{number}{sequence:x}:20");
        send(call.gateway, &id, &prefix);
    });
}

/// Sends requests with the crashing part to the gateways in turn, `pause` apart, until the
/// fleet stops. Their callers send each again, with a new id, when it has failed.
fn send_repeated_requests(fleet: &mut WorkerFleet, pause: Duration) {
    let gateways = u32::try_from(SITE_GATEWAYS).expect("a small number");
    fleet.spawn_callers(gateways * pause, move |call| {
        let (number, sequence) = (call.number, call.sequence);
        let turn = u32::try_from(number).expect("a small number");
        thread::sleep(turn * pause);
        let prefix = format!("aa:100,{CRASHING_PART}:50,c{number}{sequence:x}:20");
        for repeat in 0..=REPEATS {
            let id = format!("crash-{number}-{sequence}-{repeat}");
            if send(call.gateway, &id, &prefix) {
                return;
            }
            thread::sleep(REPEAT_PAUSE);
        }
    });
}

/// Sends sound requests with the same key and first part to each gateway until the
/// fleet stops.
fn send_sound_requests(fleet: &mut WorkerFleet) -> Arc<Mutex<Vec<SoundResult>>> {
    let results = Arc::new(Mutex::new(Vec::new()));
    let log = results.clone();
    fleet.spawn_callers(SOUND_PAUSE, move |call| {
        let (number, sequence) = (call.number, call.sequence);
        let id = format!("sound-{number}-{sequence}");
        let prefix = format!("aa:100,b{}:50,d{number}{sequence:x}:20", sequence % 4);
        let started = Instant::now();
        let is_complete = send(call.gateway, &id, &prefix);
        log.lock().unwrap().push((started, is_complete));
    });
    results
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
#[rstest]
#[case::fresh(ENGINES, false)]
#[case::fresh_few_engines(FEW_ENGINES, false)]
#[case::served_before(ENGINES, true)]
#[case::served_before_few_engines(FEW_ENGINES, true)]
fn crashing_part_kept_from_engines(#[case] engines: usize, #[case] is_proven: bool) {
    let mut fleet = spawn_fleet(GATEWAYS, engines);
    let results = send_sound_requests(&mut fleet);
    thread::sleep(Duration::from_millis(1_500));
    if is_proven {
        send_crashing_requests(&mut fleet);
        thread::sleep(SOUND_TIME);
    }
    for engine in &fleet.workers {
        engine.set_crashing_part(CRASHING_PART);
    }
    let started = Instant::now();
    if !is_proven {
        send_crashing_requests(&mut fleet);
    }
    thread::sleep(RECOVERY_TIME + OBSERVED_TIME);
    fleet.stop();
    assert_part_kept(&fleet, &results, started);
}

/// Guards against crashes of one engine after the other where callers repeat each request
/// with the crashing part: each repeated request was quarantined by itself, and its crashes
/// counted for the part no longer.
#[rstest]
#[case::rare(Duration::from_millis(1_500))]
#[case::seldom(Duration::from_millis(800))]
#[case::frequent(Duration::from_millis(200))]
fn crashing_part_of_repeated_requests_kept(#[case] pause: Duration) {
    let mut fleet = spawn_fleet(SITE_GATEWAYS, SITE_ENGINES);
    let results = send_sound_requests(&mut fleet);
    thread::sleep(Duration::from_millis(1_500));
    for engine in &fleet.workers {
        engine.set_stream_crash_delay(CRASH_DELAY);
        engine.set_restart_time(SITE_RESTART_TIME);
        engine.set_crashing_part(CRASHING_PART);
    }
    let started = Instant::now();
    send_repeated_requests(&mut fleet, pause);
    thread::sleep(SITE_TIME);
    fleet.stop();
    assert_part_kept(&fleet, &results, started);
}

/// What happens to the system's processes while requests with the part are sent.
#[derive(Debug, Clone, Copy)]
enum ProcessTrouble {
    /// Each control instance is killed and started again, in turn.
    ControlRestarts,
    /// Each control instance stands still for a time, in turn, so that leaders change.
    ControlStalls,
    /// Each further gateway is killed and started again, in turn.
    GatewayRestarts,
}

/// Pause before each process in turn, and the time for which one stands still.
const TROUBLE_PAUSE: Duration = Duration::from_millis(1_000);
const STALL_TIME: Duration = Duration::from_millis(2_500);

impl ProcessTrouble {
    fn apply(self, processes: &mut ProcessSet) {
        let (kind, numbers) = match self {
            ProcessTrouble::ControlRestarts | ProcessTrouble::ControlStalls => ("control", 0..3),
            ProcessTrouble::GatewayRestarts => ("gateway", 2..SITE_GATEWAYS + 1),
        };
        for name in numbers.map(|number| format!("{kind}-{number}")) {
            thread::sleep(TROUBLE_PAUSE);
            if let ProcessTrouble::ControlStalls = self {
                processes.suspend(&name).unwrap();
                thread::sleep(STALL_TIME);
                processes.resume(&name).unwrap();
            } else {
                processes.kill(&name).unwrap();
                processes.restart(&name).unwrap();
            }
        }
    }
}

/// Guards against crashes of one engine after the other while control instances or
/// gateways restart, or leaders change.
#[rstest]
fn crashing_part_kept_through_trouble(
    #[values(
        ProcessTrouble::ControlRestarts,
        ProcessTrouble::ControlStalls,
        ProcessTrouble::GatewayRestarts
    )]
    trouble: ProcessTrouble,
    #[values(Duration::from_millis(1_500), Duration::from_millis(500))] pause: Duration,
) {
    let mut fleet = spawn_fleet(SITE_GATEWAYS, SITE_ENGINES);
    let results = send_sound_requests(&mut fleet);
    thread::sleep(Duration::from_millis(1_500));
    for engine in &fleet.workers {
        engine.set_stream_crash_delay(CRASH_DELAY);
        engine.set_restart_time(SITE_RESTART_TIME);
        engine.set_crashing_part(CRASHING_PART);
    }
    let started = Instant::now();
    send_repeated_requests(&mut fleet, pause);
    trouble.apply(&mut fleet.deployment.processes);
    thread::sleep(SITE_TIME.saturating_sub(started.elapsed()));
    fleet.stop();
    assert_part_kept(&fleet, &results, started);
}

/// Checks that few requests with the part reached engines once it was known, and that
/// sound ones were served.
fn assert_part_kept(fleet: &WorkerFleet, results: &Mutex<Vec<SoundResult>>, started: Instant) {
    let crashes = fleet.crashes();
    let last_counted = fleet.last_crash_of(CRASHES_ALLOWED).expect("a crash");
    let late = fleet.crashing_runs_after(last_counted + CONTACT_TIME);
    let (served, total) = count_served(results, last_counted + RECOVERY_TIME);
    for line in fleet.quarantine_lines() {
        println!("{line}");
    }
    println!(
        "{} crashes, the fifth or last after {:?}; {late} late requests; {served} of {total} sound \
         requests served",
        crashes.len(),
        last_counted.saturating_duration_since(started),
    );
    assert!(late <= LATE_REQUESTS_MAX, "{late} requests came late");
    assert!(total >= 20, "{total}");
    assert!(2 * served >= total, "{served}");
}
