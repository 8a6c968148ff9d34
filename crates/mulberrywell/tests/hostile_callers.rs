//! Tests of hostile callers on the callers' port and on the operators' port.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::{planned_cluster, small_cluster, SmallCluster, GRANTS, PLANS};
use mulberrywell_testkit::{
    raw_exchange, wait_until, ClusterPlan, HttpCaller, RawCaller, RawEnd, RunState,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Limit of the time to a refusal, or to the first byte of a response.
const RESPONSE_LIMIT: Duration = Duration::from_secs(1);

/// Timeout for the server to close a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// `caller_stall_ms` of the entry in these tests.
const CALLER_STALL: Duration = Duration::from_millis(500);

/// Tokens of a stream that no buffers on its way can hold: about 1.1 GB, which an
/// engine takes minutes to write.
const LONG_STREAM_TOKENS: u64 = 10_000_000;

/// Plan and account whose burst allows a stream of [`LONG_STREAM_TOKENS`].
const LONG_PLAN: &str = r#"
[[plan]]
name = "long"
rate = 1000000
burst = 20000000

[[account]]
name = "bogota"
plan = "long"
"#;

/// Grant for the plan of [`LONG_PLAN`].
const LONG_GRANT: &str = r#"
[[grant]]
plan = "long"
models = ["payroll"]
"#;

/// A hostile request and the expected status.
struct HostileCase {
    name: &'static str,
    bytes: Vec<u8>,
    status: u16,
}

fn case(name: &'static str, bytes: impl Into<Vec<u8>>, status: u16) -> HostileCase {
    HostileCase {
        name,
        bytes: bytes.into(),
        status,
    }
}

/// Returns requests that each HTTP port must refuse.
fn hostile_cases() -> Vec<HostileCase> {
    let long = "a".repeat(20_000);
    vec![
        case(
            "tls",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(),
            400,
        ),
        case("blank", "\r\n\r\n", 400),
        case("no version", "GET /healthz\r\n\r\n", 400),
        case("http 2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
        case("bare line feeds", "GET /healthz HTTP/1.1\n\n", 400),
        case("no colon", "GET /healthz HTTP/1.1\r\nbad\r\n\r\n", 400),
        case("zero byte", "GET /\0 HTTP/1.1\r\n\r\n", 400),
        case("long path", format!("GET /{long} HTTP/1.1\r\n\r\n"), 431),
        case(
            "long header",
            format!("GET / HTTP/1.1\r\nA: {long}\r\n\r\n"),
            431,
        ),
        case(
            "many headers",
            format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(4_000)),
            431,
        ),
        case(
            "long body",
            "POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
            413,
        ),
        case(
            "longest body",
            "POST / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n",
            413,
        ),
        case(
            "body of an exbibyte",
            "POST / HTTP/1.1\r\nContent-Length: 1152921504606846976\r\n\r\n",
            413,
        ),
        case(
            "two lengths",
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            400,
        ),
        case(
            "length and chunks",
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        case(
            "bad chunk",
            "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
            400,
        ),
        case(
            "upgrade",
            "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
            400,
        ),
        case(
            "expectation",
            "POST / HTTP/1.1\r\nExpect: the unexpected\r\nContent-Length: 1\r\n\r\na",
            417,
        ),
    ]
}

fn is_healthy(address: SocketAddr, path: &str) -> bool {
    HttpCaller::new(address, None)
        .call("GET", path, &[], "")
        .is_ok_and(|response| response.status < 500)
}

fn check_cases(address: SocketAddr, path: &str) {
    for case in hostile_cases() {
        let started = Instant::now();
        let response = raw_exchange(address, &case.bytes, CLOSE_TIMEOUT).unwrap();
        let text = response.text();
        assert_eq!(response.status(), case.status, "{}: {text}", case.name);
        assert!(
            started.elapsed() < RESPONSE_LIMIT + CLOSE_TIMEOUT,
            "{}",
            case.name
        );
        assert_eq!(response.end, RawEnd::Closed, "{}", case.name);
        assert!(is_healthy(address, path), "after {}", case.name);
    }
}

fn check_random(address: SocketAddr, path: &str, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for round in 0..40 {
        let len = rng.random_range(1..40_000);
        let mut bytes = vec![0; len];
        rng.fill(&mut bytes[..]);
        if round % 2 == 0 {
            bytes.splice(..0, *b"POST /v1/completions HTTP/1.1\r\n");
        }
        let response = raw_exchange(address, &bytes, CLOSE_TIMEOUT).unwrap();
        assert!((400..500).contains(&response.status()), "round {round}");
        assert_ne!(response.end, RawEnd::Open, "round {round}");
    }
    assert!(is_healthy(address, path));
}

/// Starts a cluster whose entry has a short stall timeout and a low request limit.
fn strict_cluster() -> SmallCluster {
    planned_cluster(ClusterPlan {
        controls: 1,
        entry_extra: format!(
            "caller_stall_ms = {}\nmax_requests = 16",
            CALLER_STALL.as_millis()
        ),
        ..ClusterPlan::default()
    })
}

#[test]
fn malformed_requests_refused() {
    let mut small = small_cluster(1, 1);
    let (callers, operators) = (small.cluster.callers[0], small.cluster.operators[0]);
    check_cases(callers, "/healthz");
    check_cases(operators, "/v1/config");
    check_random(callers, "/healthz", 11);
    check_random(operators, "/v1/config", 12);
    for name in ["entry-0", "control-0"] {
        assert!(small.cluster.is_running(name), "{name}");
    }
    let caller = HttpCaller::new(callers, Some(&small.gold_key));
    assert_eq!(caller.chat("payroll", "x", 2, true).unwrap().status, 200);
}

#[test]
fn slow_head_refused() {
    let small = strict_cluster();
    let mut slow = RawCaller::connect(small.cluster.callers[0]).unwrap();
    let started = Instant::now();
    assert!(slow.send(b"GET /healthz HT"));
    let response = slow.read_to_end(CLOSE_TIMEOUT);
    assert_eq!(response.status(), 408);
    assert!(started.elapsed() >= CALLER_STALL);
}

#[test]
fn trickled_head_refused() {
    let small = strict_cluster();
    let mut slow = RawCaller::connect(small.cluster.callers[0]).unwrap();
    let end = Instant::now() + CLOSE_TIMEOUT;
    while slow.send(b"G") {
        assert!(Instant::now() < end, "the connection is still open");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn slow_body_refused() {
    let small = strict_cluster();
    let mut slow = RawCaller::connect(small.cluster.callers[0]).unwrap();
    assert!(slow.send(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 4000\r\n\r\n{"));
    assert_eq!(slow.read_to_end(CLOSE_TIMEOUT).status(), 408);
}

#[test]
fn idle_flood_tolerated() {
    let mut small = strict_cluster();
    let address = small.cluster.callers[0];
    let flood: Vec<_> = (0..200)
        .filter_map(|_| RawCaller::connect(address).ok())
        .collect();
    assert!(is_healthy(address, "/healthz"));
    drop(flood);
    assert!(small.cluster.is_running("control-0"));
}

#[test]
fn request_flood_refused() {
    let small = strict_cluster();
    let address = small.cluster.callers[0];
    small
        .engine
        .configure(|config| config.first_token = Duration::from_millis(1_500));
    let key = small.gold_key.clone();
    let threads: Vec<_> = (0..100)
        .map(|idx| {
            let caller = HttpCaller::new(address, Some(&key));
            thread::spawn(move || {
                let response = caller.chat("payroll", &format!("flood {idx}"), 1, false);
                response.map_or(0, |response| response.status)
            })
        })
        .collect();
    let statuses: Vec<u16> = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, 16, "{statuses:?}");
    assert!(is_healthy(address, "/healthz"));
}

/// Sends a streamed request and returns the connection.
fn start_stream(small: &SmallCluster, prompt: &str, tokens: u64) -> RawCaller {
    start_stream_of_version(small, "HTTP/1.1", prompt, tokens)
}

fn start_stream_of_version(
    small: &SmallCluster,
    version: &str,
    prompt: &str,
    tokens: u64,
) -> RawCaller {
    let body =
        format!(r#"{{"model":"payroll","prompt":"{prompt}","max_tokens":{tokens},"stream":true}}"#);
    let head = format!(
        "POST /v1/completions {version}\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        small.gold_key,
        body.len()
    );
    let mut caller = RawCaller::connect(small.cluster.callers[0]).unwrap();
    assert!(caller.send(head.as_bytes()));
    caller
}

fn wait_state(small: &SmallCluster, prompt: &str, state: RunState) {
    wait_until("the engine's run reaches the expected state", || {
        let records = small.engine.records().all();
        records
            .iter()
            .any(|run| run.body.contains(prompt) && run.state == state)
    })
    .unwrap();
}

#[test]
fn hang_up_before_first_token_frees_slot() {
    let small = small_cluster(1, 1);
    small
        .engine
        .configure(|config| config.first_token = Duration::from_secs(20));
    let caller = start_stream(&small, "hang up", 5_000);
    wait_state(&small, "hang up", RunState::Running);
    let started = Instant::now();
    drop(caller);
    wait_state(&small, "hang up", RunState::Cancelled);
    assert!(
        started.elapsed() < Duration::from_millis(1_000),
        "{:?}",
        started.elapsed()
    );
}

#[test]
fn hang_up_in_stream_frees_slot() {
    let small = small_cluster(1, 1);
    let mut caller = start_stream(&small, "in stream", 50_000);
    let first_part = caller.read_until(CLOSE_TIMEOUT, |bytes| bytes.len() > 1_000);
    assert_eq!(first_part.status(), 200);
    let started = Instant::now();
    drop(caller);
    wait_state(&small, "in stream", RunState::Cancelled);
    assert!(
        started.elapsed() < Duration::from_millis(1_000),
        "{:?}",
        started.elapsed()
    );
}

#[test]
fn caller_not_reading_disconnected() {
    let mut small = strict_cluster();
    let (plans, grants) = (PLANS.to_owned() + LONG_PLAN, GRANTS.to_owned() + LONG_GRANT);
    small.cluster.apply(&plans, &grants).unwrap();
    small.gold_key = small.cluster.create_key("bogota", "b1").unwrap();
    small
        .engine
        .configure(|config| config.between_tokens = Duration::ZERO);
    let started = Instant::now();
    let mut caller = start_stream(&small, "reads nothing", LONG_STREAM_TOKENS);
    wait_state(&small, "reads nothing", RunState::Cancelled);
    let elapsed = started.elapsed();
    assert!(elapsed < CLOSE_TIMEOUT, "{elapsed:?}");
    let response = caller.read_to_end(CLOSE_TIMEOUT);
    assert_eq!(response.end, RawEnd::Reset);
    let resident = small.cluster.resident_kib("control-0").unwrap();
    assert!(resident < 128 * 1024, "{resident} KiB");
}

#[test]
fn aborted_response_truncated() {
    let mut small = small_cluster(1, 1);
    small
        .engine
        .configure(|config| config.between_tokens = Duration::from_millis(20));
    let mut caller = start_stream(&small, "aborted", 5_000);
    let first_part = caller.read_until(CLOSE_TIMEOUT, |bytes| bytes.len() > 1_000);
    assert_eq!(first_part.status(), 200);
    small.cluster.kill("agent-engine-0").unwrap();
    let rest = caller.read_to_end(CLOSE_TIMEOUT);
    assert_eq!(rest.end, RawEnd::Reset, "{}", rest.text());
    assert!(!rest.text().ends_with("0\r\n\r\n"));
}

// Guards against a response without chunks looking complete when it is aborted.
#[test]
fn aborted_response_without_chunks_reset() {
    let mut small = small_cluster(1, 1);
    small
        .engine
        .configure(|config| config.between_tokens = Duration::from_millis(20));
    let mut caller = start_stream_of_version(&small, "HTTP/1.0", "aborted", 5_000);
    let first_part = caller.read_until(CLOSE_TIMEOUT, |bytes| bytes.len() > 1_000);
    assert_eq!(first_part.status(), 200);
    small.cluster.kill("agent-engine-0").unwrap();
    let rest = caller.read_to_end(CLOSE_TIMEOUT);
    assert_eq!(rest.end, RawEnd::Reset, "{}", rest.text());
}

// Guards against a response without chunks looking complete when its entry is killed.
#[test]
fn killed_entry_without_chunks_reset() {
    let mut small = small_cluster(1, 1);
    small
        .engine
        .configure(|config| config.between_tokens = Duration::from_millis(20));
    let mut caller = start_stream_of_version(&small, "HTTP/1.0", "killed", 5_000);
    let first_part = caller.read_until(CLOSE_TIMEOUT, |bytes| bytes.len() > 1_000);
    assert_eq!(first_part.status(), 200);
    small.cluster.kill("entry-0").unwrap();
    let rest = caller.read_to_end(CLOSE_TIMEOUT);
    assert_eq!(rest.end, RawEnd::Reset, "{}", rest.text());
}

// Guards against a response that the connection ends being reset although complete.
#[test]
fn complete_response_without_chunks_closed() {
    let small = small_cluster(1, 1);
    let mut caller = start_stream_of_version(&small, "HTTP/1.0", "complete", 3);
    let response = caller.read_to_end(CLOSE_TIMEOUT);
    assert_eq!(response.end, RawEnd::Closed);
    assert!(response.text().ends_with("data: [DONE]\n\n"));
}

// Guards against a response being cut short in an orderly way for a caller that
// has closed its sending side.
#[rstest]
#[case::without_chunks("HTTP/1.0")]
#[case::chunked("HTTP/1.1")]
fn half_closed_caller_reset(#[case] version: &str) {
    let small = small_cluster(1, 1);
    small
        .engine
        .configure(|config| config.between_tokens = Duration::from_millis(20));
    let mut caller = start_stream_of_version(&small, version, "half", 5_000);
    let first_part = caller.read_until(CLOSE_TIMEOUT, |bytes| bytes.len() > 1_000);
    assert_eq!(first_part.status(), 200);
    caller.end_sending().unwrap();
    let rest = caller.read_to_end(CLOSE_TIMEOUT);
    assert_eq!(rest.end, RawEnd::Reset, "{}", rest.text());
}

#[test]
fn pipelined_requests_answered_in_order() {
    let small = small_cluster(1, 1);
    let mut caller = RawCaller::connect(small.cluster.callers[0]).unwrap();
    let one = "GET /healthz HTTP/1.1\r\n\r\n";
    let two = "POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
    let three = "GET /no-such-path HTTP/1.1\r\nConnection: close\r\n\r\n";
    assert!(caller.send(format!("{one}{two}{three}").as_bytes()));
    let text = caller.read_to_end(CLOSE_TIMEOUT).text();
    let statuses: Vec<&str> = text
        .match_indices("HTTP/1.1 ")
        .map(|(at, _)| &text[at + 9..at + 12])
        .collect();
    assert_eq!(statuses.len(), 3, "{text}");
    assert_eq!((statuses[0], statuses[2]), ("200", "404"), "{text}");
    assert!(statuses[1].starts_with('4'), "{text}");
}

#[test]
fn burst_of_streams_starts_at_once() {
    let small = small_cluster(1, 1);
    let config = |config: &mut mulberrywell_testkit::EngineConfig| {
        config.between_tokens = Duration::from_millis(40);
    };
    small.engine.configure(config);
    let address = small.cluster.callers[0];
    let threads: Vec<_> = (0..32)
        .map(|idx| {
            let caller = HttpCaller::new(address, Some(&small.gold_key));
            thread::spawn(move || caller.chat("payroll", &format!("burst {idx}"), 50, true))
        })
        .collect();
    for thread in threads {
        let response = thread.join().unwrap().unwrap();
        assert_eq!(response.status, 200);
        assert!(response.complete);
        assert!(
            response.first_byte < RESPONSE_LIMIT,
            "{:?}",
            response.first_byte
        );
    }
}
