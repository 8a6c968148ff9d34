//! Requests that may not be repeated, on new and on kept connections, through the whole
//! planned stop of a gateway process.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use common::serving_deployment::{ServingDeployment, KEY};
use mulberrywell_testkit::{wait_until, RawCaller, RawResponse};
use nix::sys::signal::Signal;
use rstest::rstest;

/// Time after which no process runs any more: a supervisor kills it 8 s after SIGTERM.
const STOP_TIME: Duration = Duration::from_millis(8_100);

/// Longer than a stop; the route allows 5 s.
const CALLER_TIMEOUT: Duration = Duration::from_secs(9);

/// Events of a stream of 4.65 s.
const STREAM_EVENTS: u64 = 31;

/// Age of the stop at which a second stream begins, which ends at 7.2 s.
const SECOND_STREAM_AGE: Duration = Duration::from_millis(2_500);

/// Age of the stop from which on requests may take longer than all before.
const SLOW_AGE: Duration = Duration::from_millis(5_000);

/// Outcomes of requests as their callers see them, by request id.
#[derive(Clone, Default)]
struct OutcomeLog {
    outcomes: Arc<Mutex<BTreeMap<String, String>>>,
    last_id: Arc<AtomicU64>,
}

impl OutcomeLog {
    fn new_id(&self, kind: &str) -> String {
        let number = self.last_id.fetch_add(1, Ordering::Relaxed);
        format!("{kind}-{number}")
    }

    fn record(&self, id: &str, response: &RawResponse) {
        let text = response.text();
        let outcome = if is_whole(&response.bytes) {
            text
        } else {
            format!("unanswered, end={:?}, received={text:?}", response.end)
        };
        let mut outcomes = self.outcomes.lock().unwrap();
        outcomes.insert(id.to_owned(), outcome);
    }
}

/// Returns whether bytes are a response with its whole body.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("Content-Length: "));
    length.is_some_and(|length| length.parse() == Ok(body.len()))
}

fn request(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 20000\r\n\
         Credential: {KEY}\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

fn send_once(caller: &mut RawCaller, log: &OutcomeLog, kind: &str) -> RawResponse {
    let id = log.new_id(kind);
    caller.send(request("/once/x", &id).as_bytes());
    let response = caller.read_until(CALLER_TIMEOUT, is_whole);
    log.record(&id, &response);
    response
}

/// Sends requests one after the other until `end`, on one connection as long as the
/// gateway keeps it.
fn send_steadily(callers: SocketAddr, log: &OutcomeLog, end: Instant) {
    let mut kept = None;
    while Instant::now() < end {
        let Some(mut caller) = kept.take().or_else(|| RawCaller::connect(callers).ok()) else {
            sleep(Duration::from_millis(20));
            continue;
        };
        let response = send_once(&mut caller, log, "steady");
        let is_kept = is_whole(&response.bytes) && !response.text().contains("Connection: close");
        kept = is_kept.then_some(caller);
        sleep(Duration::from_millis(15));
    }
}

/// Sends a request on a connection that was used before the stop, at an age of the stop.
fn send_on_idle(mut caller: RawCaller, log: &OutcomeLog, at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
    send_once(&mut caller, log, "idle");
}

/// Sends a request whose body comes after `pause`.
fn send_slowly(callers: SocketAddr, log: &OutcomeLog, at: Instant, pause: Duration) {
    sleep(at.saturating_duration_since(Instant::now()));
    let Ok(mut caller) = RawCaller::connect(callers) else {
        return;
    };
    let id = log.new_id("slow");
    let whole = request("/once/x", &id);
    let head = whole.strip_suffix("dy").unwrap();
    caller.send(head.as_bytes());
    sleep(pause);
    caller.send(b"dy");
    let response = caller.read_until(CALLER_TIMEOUT, is_whole);
    log.record(&id, &response);
}

/// Sends a request behind a stream on the same connection: at once, or when the stream has
/// ended.
fn send_behind_stream(mut caller: RawCaller, log: &OutcomeLog, is_pipelined: bool) {
    let id = log.new_id("behind");
    if is_pipelined {
        caller.send(request("/once/x", &id).as_bytes());
    }
    let stream = caller.read_until(CALLER_TIMEOUT, |bytes| rest_behind_stream(bytes).is_some());
    if !is_pipelined {
        sleep(Duration::from_millis(400));
        caller.send(request("/once/x", &id).as_bytes());
    }
    let mut bytes = rest_behind_stream(&stream.bytes).unwrap_or_default();
    let response = caller.read_until(CALLER_TIMEOUT, |rest| is_whole(&[&bytes, rest].concat()));
    bytes.extend_from_slice(&response.bytes);
    let end = response.end;
    log.record(&id, &RawResponse { bytes, end });
}

/// Returns the bytes behind the end of a stream.
fn rest_behind_stream(bytes: &[u8]) -> Option<Vec<u8>> {
    let end = b"\r\n0\r\n\r\n";
    let at = bytes.windows(end.len()).position(|part| part == end)?;
    Some(bytes[at + end.len()..].to_vec())
}

fn begin_stream(callers: SocketAddr, id: &str) -> RawCaller {
    let mut caller = RawCaller::connect(callers).unwrap();
    caller.send(request("/stream/x", id).as_bytes());
    let begun = caller.read_until(Duration::from_secs(2), |bytes| !bytes.is_empty());
    assert_eq!(begun.status(), 200);
    caller
}

/// Guards against requests that a planned stop takes and then cuts: requests that may not
/// be repeated arrive through the whole stop, on connections that are new, kept in use,
/// idle, behind a stream, or whose bodies come slowly. What the worker runs is answered
/// with its whole response.
#[rstest]
#[case::usual_time(30)]
#[case::late_runs_slow(2_600)]
fn late_once_requests_answered_or_not_run(#[case] late_delay_ms: u64) {
    let mut deployment = ServingDeployment::spawn();
    let (worker, callers) = (deployment.worker.clone(), deployment.callers);
    worker.set_delay(Duration::from_millis(30));
    worker.set_stream_events(STREAM_EVENTS);
    let log = OutcomeLog::default();
    let idle: Vec<RawCaller> = (0..40)
        .map(|_| {
            let mut caller = RawCaller::connect(callers).unwrap();
            assert_eq!(send_once(&mut caller, &log, "before").status(), 200);
            caller
        })
        .collect();
    let streams = ["stream-0", "stream-1"].map(|id| begin_stream(callers, id));
    deployment
        .processes
        .signal("gateway", Signal::SIGTERM)
        .unwrap();
    let begun = Instant::now();
    let end = begun + STOP_TIME;
    let mut threads = Vec::new();
    for _ in 0..6 {
        let log = log.clone();
        threads.push(spawn(move || send_steadily(callers, &log, end)));
    }
    for (place, caller) in idle.into_iter().enumerate() {
        let log = log.clone();
        let at = begun + STOP_TIME * place as u32 / 40;
        threads.push(spawn(move || send_on_idle(caller, &log, at)));
    }
    for place in 0..16_u32 {
        let log = log.clone();
        let at = begun + Duration::from_millis(400) * place;
        let pause = Duration::from_millis(700) * (place % 4 + 1);
        threads.push(spawn(move || send_slowly(callers, &log, at, pause)));
    }
    for (caller, is_pipelined) in streams.into_iter().zip([true, false]) {
        let log = log.clone();
        threads.push(spawn(move || {
            send_behind_stream(caller, &log, is_pipelined);
        }));
    }
    sleep((begun + SECOND_STREAM_AGE).saturating_duration_since(Instant::now()));
    let last_stream = begin_stream(callers, "stream-2");
    sleep((begun + SLOW_AGE).saturating_duration_since(Instant::now()));
    worker.set_delay(Duration::from_millis(late_delay_ms));
    for thread in threads {
        thread.join().unwrap();
    }
    drop(last_stream);
    let processes = &mut deployment.processes;
    wait_until("the gateway exits", || !processes.is_running("gateway")).unwrap();
    assert!(begun.elapsed() < Duration::from_secs(20));

    let outcomes = log.outcomes.lock().unwrap();
    let mut runs: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
    for run in worker.runs() {
        let age = run.started_at.saturating_duration_since(begun);
        runs.entry(run.id).or_default().push(age);
    }
    let mut cut = Vec::new();
    for (id, ages) in runs.iter().filter(|(id, _)| !id.starts_with("stream")) {
        assert_eq!(ages.len(), 1, "{id} ran more than once");
        let outcome = &outcomes[id];
        if !outcome.starts_with("HTTP/1.1 200") {
            cut.push(format!("{id}, run at {:?}: {outcome}", ages[0]));
        }
    }
    assert!(cut.is_empty(), "{} cut: {cut:#?}", cut.len());
    for (id, outcome) in outcomes.iter().filter(|(id, _)| !runs.contains_key(*id)) {
        let is_refused = outcome.starts_with("HTTP/1.1 503") && outcome.contains("Retry-After: ");
        let is_unanswered = outcome.starts_with("unanswered");
        assert!(is_refused || is_unanswered, "{id}: {outcome}");
    }
    let served = runs.values().flatten();
    let served = served.filter(|age| **age > Duration::from_secs(1)).count();
    assert!(served > 50, "{served} requests ran in the stop");
}

/// Guards against requests on new connections that are reset without an answer when a stop
/// has nothing left to do: the process ends beside connections that wait to be accepted or
/// were accepted just now, and new ones keep it running to its limit.
#[test]
fn late_connections_answered_or_not_accepted() {
    let mut deployment = ServingDeployment::spawn();
    let callers = deployment.callers;
    let log = OutcomeLog::default();
    let processes = &mut deployment.processes;
    processes.signal("gateway", Signal::SIGTERM).unwrap();
    let begun = Instant::now();
    let threads: Vec<_> = (0..8)
        .map(|_| {
            let log = log.clone();
            spawn(move || {
                while let Ok(mut caller) = RawCaller::connect(callers) {
                    send_once(&mut caller, &log, "new");
                    sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let refused_age = begun.elapsed();
    wait_until("the gateway exits", || !processes.is_running("gateway")).unwrap();
    let outcomes = log.outcomes.lock().unwrap();
    let unanswered = outcomes
        .iter()
        .filter(|(_, it)| it.starts_with("unanswered"));
    let unanswered: Vec<_> = unanswered.collect();
    assert!(
        unanswered.is_empty(),
        "{}: {unanswered:#?}",
        unanswered.len()
    );
    // The load balancer needs up to 2.5 s to take the instance out.
    let is_in_time = (2_400..4_000).contains(&refused_age.as_millis());
    assert!(
        is_in_time,
        "connections were accepted until {refused_age:?}"
    );
}

/// Guards against a connection that closes without an answer when the stop ends, though a
/// part of a request has come on it: its caller can't tell that the request was not run.
#[test]
fn late_upload_refused_at_the_end() {
    let mut deployment = ServingDeployment::spawn();
    let callers = deployment.callers;
    deployment.worker.set_stream_events(STREAM_EVENTS);
    let first = begin_stream(callers, "stream-0");
    let processes = &mut deployment.processes;
    processes.signal("gateway", Signal::SIGTERM).unwrap();
    sleep(SECOND_STREAM_AGE);
    let second = begin_stream(callers, "stream-1");
    sleep(Duration::from_millis(3_500));
    let mut caller = RawCaller::connect(callers).unwrap();
    let whole = request("/once/x", "upload");
    assert!(caller.send(whole.strip_suffix("dy").unwrap().as_bytes()));
    let response = caller.read_to_end(CALLER_TIMEOUT);
    assert_eq!(response.status(), 503, "{}", response.text());
    assert!(response.text().contains("Retry-After: "));
    wait_until("the gateway exits", || !processes.is_running("gateway")).unwrap();
    drop([first, second]);
}
