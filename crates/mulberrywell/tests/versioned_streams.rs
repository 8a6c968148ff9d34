//! Streams of endpoints of two software versions, with real processes: what a caller
//! takes up after a break goes on at the version that began it.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::serving_deployment::KEY;
use common::worker_fleet::WorkerFleet;
use mulberrywell_testkit::{HttpCaller, HttpResponse};
use rstest::rstest;

const GATEWAYS: usize = 3;
const ENGINES: usize = 6;
const MODEL: &str = "m";
const STREAM_EVENTS: u64 = 10;

/// Pause of the callers at each gateway between two streams.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a caller takes up its stream.
const CALLER_TIMEOUT: Duration = Duration::from_secs(9);

/// Pause of a caller before it takes its stream up once more.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// One stream of a caller, over all its requests.
#[derive(Debug, Default, Clone)]
struct StreamRecord {
    /// The versions whose events the caller holds.
    versions: BTreeSet<String>,
    events: u64,
    /// Requests that took the stream up.
    resumptions: usize,
    /// Longest time to a refusal of one of them.
    longest_refusal: Duration,
    is_complete: bool,
}

impl StreamRecord {
    fn append(&mut self, body: &str) {
        for event in body
            .split_inclusive("\n\n")
            .filter(|it| it.ends_with("\n\n"))
        {
            let Some((id, data)) = event.trim_end().split_once('\n') else {
                continue;
            };
            let number: u64 = id.trim_start_matches("id: ").parse().unwrap();
            assert_eq!(number, self.events + 1, "{event}");
            self.events = number;
            let version = data.split(' ').nth(3).unwrap_or("v1");
            self.versions.insert(version.to_owned());
        }
    }
}

type StreamLog = Arc<Mutex<Vec<StreamRecord>>>;

fn send(gateway: SocketAddr, id: &str, more: &[(&str, &str)]) -> Option<HttpResponse> {
    let fields = [
        ("Host", "h.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "9000"),
        ("Credential", KEY),
        ("Model", MODEL),
        ("Token-Count", "170,20"),
        ("Prompt-Prefix", "aa:100,bb:50"),
    ];
    let fields: Vec<(&str, &str)> = fields.iter().chain(more).copied().collect();
    let caller = HttpCaller::with_timeout(gateway, None, CALLER_TIMEOUT);
    caller.call("POST", "/stream/x", &fields, "body").ok()
}

/// Requests a stream and takes it up at the other gateways until it is complete.
fn run_stream(gateways: &[SocketAddr], number: usize, name: &str, log: &StreamLog) {
    let started = Instant::now();
    let mut record = StreamRecord::default();
    let mut first_id = String::new();
    for attempt in 0.. {
        if started.elapsed() > CALLER_TIMEOUT || record.is_complete {
            break;
        }
        if attempt > 0 {
            thread::sleep(RETRY_PAUSE);
        }
        let gateway = gateways[(number + attempt) % gateways.len()];
        let id = format!("{name}-{attempt}");
        let position = record.events.to_string();
        let resumed = [("Last-Event-Id", &*position), ("Resumes", &first_id)];
        let is_resumption = record.events > 0;
        let sent = Instant::now();
        let response = send(gateway, &id, if is_resumption { &resumed } else { &[] });
        let Some(response) = response else {
            continue;
        };
        record.resumptions += usize::from(is_resumption);
        if response.status != 200 {
            record.longest_refusal = record.longest_refusal.max(sent.elapsed());
            continue;
        }
        record.append(&response.body);
        if first_id.is_empty() && record.events > 0 {
            first_id = id;
        }
        record.is_complete = response.complete && record.events == STREAM_EVENTS;
    }
    log.lock().unwrap().push(record);
}

fn spawn_fleet() -> WorkerFleet {
    let fleet = WorkerFleet::spawn_engines(GATEWAYS, ENGINES, MODEL);
    fleet.wait_ready(|gateway| {
        let response = send(gateway, "first", &[]);
        response.is_some_and(|response| response.status == 200 && response.complete)
    });
    for engine in &fleet.workers {
        engine.set_stream_events(STREAM_EVENTS);
    }
    for engine in &fleet.workers[ENGINES / 2..] {
        engine.set_version("v1.1");
        // A new version comes with a new start.
        engine.crash(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_millis(1_200));
    fleet
}

fn spawn_callers(fleet: &mut WorkerFleet) -> StreamLog {
    let log = StreamLog::default();
    let (records, gateways) = (log.clone(), fleet.gateways.clone());
    fleet.spawn_callers(CALL_PAUSE, move |call| {
        let name = format!("c{}-{}", call.number, call.sequence);
        run_stream(&gateways, call.number, &name, &records);
    });
    log
}

fn kill_gateway(fleet: &mut WorkerFleet) {
    fleet.deployment.processes.kill("gateway-2").unwrap();
}

/// The processes of all instances are killed at once and start again.
fn kill_all(fleet: &mut WorkerFleet) {
    let names = [
        "gateway",
        "gateway-2",
        "gateway-3",
        "control-0",
        "control-1",
        "control-2",
    ];
    for name in names {
        fleet.deployment.processes.kill(name).unwrap();
    }
    thread::sleep(Duration::from_millis(300));
    for name in names {
        fleet.deployment.processes.restart(name).unwrap();
    }
}

/// A gateway is killed while the control instances restart one after the other.
fn kill_gateway_and_controls(fleet: &mut WorkerFleet) {
    for name in ["control-0", "control-1", "control-2"] {
        fleet.deployment.processes.kill(name).unwrap();
        thread::sleep(Duration::from_millis(100));
        fleet.deployment.processes.restart(name).unwrap();
        thread::sleep(Duration::from_millis(700));
    }
    kill_gateway(fleet);
}

/// One engine of each version crashes, twice.
fn crash_engines(fleet: &mut WorkerFleet) {
    for _ in 0..2 {
        for engine in [0, ENGINES - 1] {
            fleet.workers[engine].crash(Duration::from_millis(1_000));
        }
        thread::sleep(Duration::from_millis(1_500));
    }
}

/// Guards against streams whose events come from two software versions.
#[rstest]
#[case::gateway_killed(kill_gateway)]
#[case::all_killed(kill_all)]
#[case::controls_restarted(kill_gateway_and_controls)]
#[case::engines_crash(crash_engines)]
fn stream_version_kept(#[case] break_streams: fn(&mut WorkerFleet)) {
    let mut fleet = spawn_fleet();
    let log = spawn_callers(&mut fleet);
    thread::sleep(Duration::from_millis(2_500));
    break_streams(&mut fleet);
    thread::sleep(Duration::from_millis(2_500));
    fleet.stop();
    let records = log.lock().unwrap().clone();
    let joined = records.iter().filter(|it| it.versions.len() > 1).count();
    let taken_up: Vec<&StreamRecord> = records.iter().filter(|it| it.resumptions > 0).collect();
    let gone_on = taken_up.iter().filter(|it| it.is_complete).count();
    println!(
        "{} streams, {} taken up, {gone_on} of them complete, {joined} joined",
        records.len(),
        taken_up.len()
    );
    assert_eq!(joined, 0);
    assert!(2 * gone_on >= taken_up.len(), "{gone_on}");
}

/// Guards against streams that go on at another version once theirs is gone, and against
/// callers that are kept waiting for it.
#[test]
fn stream_version_gone_refused() {
    let mut fleet = spawn_fleet();
    let log = spawn_callers(&mut fleet);
    thread::sleep(Duration::from_millis(2_500));
    for engine in &fleet.workers[..ENGINES / 2] {
        engine.crash(Duration::from_secs(60));
    }
    kill_all(&mut fleet);
    thread::sleep(Duration::from_millis(2_500));
    fleet.stop();
    let records = log.lock().unwrap().clone();
    let joined = records.iter().filter(|it| it.versions.len() > 1).count();
    let refused = records
        .iter()
        .filter(|it| it.resumptions > 0 && !it.is_complete);
    let longest = refused.clone().map(|it| it.longest_refusal).max();
    println!(
        "{} streams, {} refused, {joined} joined, refusals took up to {longest:?}",
        records.len(),
        refused.count()
    );
    assert_eq!(joined, 0);
    assert!(longest.unwrap_or_default() < Duration::from_millis(1_000));
}
