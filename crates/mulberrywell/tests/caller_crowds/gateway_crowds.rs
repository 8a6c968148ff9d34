//! Crowds at a gateway's ports for callers, readiness checks and metrics.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use mulberrywell_testkit::{wait_until, HttpCaller};
use rstest::rstest;
use serde_json::{json, Value};

use crate::common::serving_deployment::{call, config, ServingDeployment, KEY};
use crate::crowd::{chunk_of, write_repeated, Crowd, CrowdForm, UsageSampler, BODY_MAX};
use crate::{
    run_alone, CROWD, DESCRIPTORS_KEPT, DESCRIPTORS_MAX, LOW_DESCRIPTORS, LOW_DESCRIPTORS_CROWD,
    LOW_MEMORY_CROWD, LOW_MEMORY_MB, MACHINE_KIB,
};

/// Time for which the endpoint works at a request of a crowd.
const ENDPOINT_DELAY: Duration = Duration::from_secs(2);

/// Time in which an ordinary request is answered at the latest.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A deployment whose gateway is sampled.
pub struct SampledGateway {
    pub deployment: ServingDeployment,
    pub sampler: UsageSampler,
}

impl SampledGateway {
    pub fn spawn(gateway_settings: &str) -> Self {
        Self::sample(ServingDeployment::spawn_bounded(gateway_settings))
    }

    /// Starts a deployment whose processes have [`LOW_DESCRIPTORS`].
    pub fn spawn_low_descriptors() -> Self {
        Self::sample(ServingDeployment::spawn_limited(LOW_DESCRIPTORS))
    }

    fn sample(deployment: ServingDeployment) -> Self {
        put_limits(&deployment, 2, BODY_MAX);
        let id = deployment.processes.id("gateway").unwrap();
        SampledGateway {
            sampler: UsageSampler::spawn(id),
            deployment,
        }
    }

    /// Fails unless a process with [`LOW_DESCRIPTORS`] has kept within its limits.
    pub fn check_low_descriptors(&self) {
        let kept = LOW_DESCRIPTORS - DESCRIPTORS_KEPT;
        self.sampler.check(MACHINE_KIB, kept);
    }

    /// Fails unless an ordinary request is answered.
    pub fn check_ordinary(&self, what: &str) {
        let response = self.deployment.call("/once/x", KEY);
        assert_eq!(response.status, 200, "{what}: {}", response.body);
    }
}

/// Puts a configuration in force that limits requests.
pub fn put_limits(deployment: &ServingDeployment, version: u64, body_max: usize) {
    let mut manifest: Value = config(version).manifest();
    manifest["limits"] = json!({
        "header_bytes": 16_384, "max_body_bytes": body_max,
        "header_timeout_ms": 20_000, "idle_timeout_ms": 60_000,
    });
    let body = manifest.to_string();
    wait_until("the limits are acknowledged", || {
        let response = deployment
            .operator
            .call_instance(0, "POST", "/api/config/put", &body);
        response.is_some_and(|(status, _)| status == 200)
    })
    .unwrap();
    let own_path = format!("/own-{version}/x");
    wait_until("the limits are in force", || {
        deployment.call(&own_path, KEY).status == 200
    })
    .unwrap();
}

/// Returns the head of a caller's request.
pub fn request_head(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd\r\n\
         Deadline-Ms: 4000\r\nCredential: {KEY}\r\n"
    )
}

/// Guards against bodies that are held for callers and not counted.
#[rstest]
#[case::chunks_short(CrowdForm::ChunksShort(64 * 1024))]
#[case::one_chunk_short(CrowdForm::ChunksShort(BODY_MAX))]
#[case::small_chunks(CrowdForm::SmallChunks(BODY_MAX / 2, 4))]
#[case::length_short(CrowdForm::LengthShort)]
#[case::endless_chunks(CrowdForm::EndlessChunks)]
#[case::huge_length(CrowdForm::HugeLength)]
#[case::extensions(CrowdForm::Extensions)]
#[case::long_head(CrowdForm::LongHead)]
#[case::bytes_behind(CrowdForm::BytesBehind)]
#[case::whole(CrowdForm::Whole)]
fn gateway_low_memory_bounded(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn(&format!("memory_mb = {LOW_MEMORY_MB}\n"));
    let deployment = &gateway.deployment;
    deployment.worker.set_delay(ENDPOINT_DELAY);
    let head = request_head("/once/x");
    let crowd = Crowd::send(deployment.callers, LOW_MEMORY_CROWD, &[form], &head);
    assert!(crowd.connected() > 0);
    deployment.worker.set_delay(Duration::ZERO);
    gateway.check_ordinary("beside the crowd");
    drop(crowd);
    gateway.check_ordinary("after the crowd");
    gateway
        .sampler
        .check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
}

/// Guards against a gateway without a bound, as its settings don't tell its memory.
#[rstest]
#[case::chunks_short(CrowdForm::ChunksShort(64 * 1024))]
#[case::length_short(CrowdForm::LengthShort)]
#[case::bytes_behind(CrowdForm::BytesBehind)]
#[case::whole(CrowdForm::Whole)]
fn gateway_untold_memory_bounded(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn("");
    let deployment = &gateway.deployment;
    deployment.worker.set_delay(ENDPOINT_DELAY);
    let head = request_head("/once/x");
    let crowd = Crowd::send(deployment.callers, CROWD, &[form], &head);
    deployment.worker.set_delay(Duration::ZERO);
    gateway.check_ordinary("beside the crowd");
    drop(crowd);
    gateway.check_ordinary("after the crowd");
    gateway.sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

/// Guards against bodies held at ports whose requests have none.
#[rstest]
#[case::readiness_chunks(false, CrowdForm::ChunksShort(64 * 1024))]
#[case::readiness_length(false, CrowdForm::LengthShort)]
#[case::metrics_chunks(true, CrowdForm::ChunksShort(64 * 1024))]
#[case::metrics_length(true, CrowdForm::LengthShort)]
fn gateway_probe_ports_bounded(#[case] is_metrics: bool, #[case] form: CrowdForm) {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn("");
    let deployment = &gateway.deployment;
    let (address, path) = match is_metrics {
        true => (deployment.metrics, "/metrics"),
        false => (deployment.ready, "/ready"),
    };
    let head = format!("GET {path} HTTP/1.1\r\nHost: h\r\n");
    let crowd = Crowd::send(address, CROWD, &[form], &head);
    check_probe(address, path);
    gateway.check_ordinary("beside the crowd");
    drop(crowd);
    gateway.sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

pub fn check_probe(address: SocketAddr, path: &str) {
    let caller = HttpCaller::with_timeout(address, None, ANSWER_TIMEOUT);
    let response = caller.call("GET", path, &[], "").unwrap();
    assert_eq!(response.status, 200);
}

/// Guards against a gateway that runs out of descriptors and never accepts again.
#[rstest]
#[case::half_heads(CrowdForm::HalfHead, false)]
#[case::silent(CrowdForm::Silent, false)]
#[case::silent_at_readiness(CrowdForm::Silent, true)]
fn gateway_low_descriptors_accepts(#[case] form: CrowdForm, #[case] is_readiness: bool) {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn_low_descriptors();
    let deployment = &gateway.deployment;
    let address = match is_readiness {
        true => deployment.ready,
        false => deployment.callers,
    };
    let head = request_head("/once/x");
    let crowd = Crowd::send(address, LOW_DESCRIPTORS_CROWD, &[form], &head);
    gateway.check_ordinary("beside the crowd");
    check_probe(deployment.ready, "/ready");
    drop(crowd);
    gateway.check_ordinary("after the crowd");
    gateway.check_low_descriptors();
}

/// Guards against requests of a crowd at a slow endpoint that use all descriptors: of the
/// callers' connections, of those to endpoints, or of both.
#[test]
fn gateway_low_descriptors_serves_beside_slow_endpoint() {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn_low_descriptors();
    let deployment = &gateway.deployment;
    deployment.worker.set_delay(ENDPOINT_DELAY);
    let head = request_head("/once/x");
    let forms = [CrowdForm::Short];
    let crowd = Crowd::send(deployment.callers, LOW_DESCRIPTORS_CROWD, &forms, &head);
    check_probe(deployment.ready, "/ready");
    wait_until("an ordinary request is answered", || {
        call(deployment.callers, "/once/x", KEY).is_some_and(|it| it.status == 200)
    })
    .unwrap();
    drop(crowd);
    gateway.check_low_descriptors();
}

/// Guards against small requests of a crowd at a slow endpoint that use all memory, so that
/// readiness checks are refused.
#[test]
fn gateway_low_memory_answers_probes_beside_slow_endpoint() {
    let _alone = run_alone();
    let settings = format!("[callers]\nmemory_mb = {LOW_MEMORY_MB}\nheld_kib = 8192\n");
    let gateway = SampledGateway::spawn(&settings);
    let deployment = &gateway.deployment;
    deployment.worker.set_delay(ENDPOINT_DELAY);
    let head = request_head("/once/x");
    let forms = [CrowdForm::Short];
    let crowd = Crowd::send(deployment.callers, LOW_DESCRIPTORS_CROWD, &forms, &head);
    check_probe(deployment.ready, "/ready");
    check_probe(deployment.metrics, "/metrics");
    drop(crowd);
    gateway
        .sampler
        .check(LOW_MEMORY_MB * 1_024, 2 * DESCRIPTORS_MAX);
}

/// Guards against idle callers that behave and are closed for a crowd.
#[rstest]
#[case::half_heads(CrowdForm::HalfHead)]
#[case::silent(CrowdForm::Silent)]
#[case::answered(CrowdForm::Answered)]
fn gateway_low_descriptors_keeps_idle(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn_low_descriptors();
    let deployment = &gateway.deployment;
    let mut idle = TcpStream::connect(deployment.callers).unwrap();
    idle.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    assert_eq!(call_on(&mut idle), 200);
    let head = request_head("/once/x");
    let crowd = Crowd::send(deployment.callers, LOW_DESCRIPTORS_CROWD, &[form], &head);
    assert_eq!(call_on(&mut idle), 200);
    drop(crowd);
    gateway.check_low_descriptors();
}

/// Guards against idle callers that behave and are closed for a crowd at another port, which
/// has had successful responses there.
#[test]
fn gateway_low_descriptors_keeps_idle_beside_probes() {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn_low_descriptors();
    let deployment = &gateway.deployment;
    let mut idle = TcpStream::connect(deployment.callers).unwrap();
    idle.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    assert_eq!(call_on(&mut idle), 200);
    let head = "GET /ready HTTP/1.1\r\nHost: h\r\n";
    let forms = [CrowdForm::Answered];
    let crowd = Crowd::send(deployment.ready, LOW_DESCRIPTORS_CROWD, &forms, head);
    assert_eq!(call_on(&mut idle), 200);
    drop(crowd);
    gateway.check_low_descriptors();
}

/// Sends a request on an open connection; returns the status of its response, which is read
/// whole.
pub fn call_on(stream: &mut TcpStream) -> u16 {
    let request = request_head("/once/x") + "Content-Length: 4\r\n\r\nbody";
    stream.write_all(request.as_bytes()).expect("is open");
    read_status(stream)
}

/// Reads a response with a length; returns its status.
pub fn read_status(stream: &mut TcpStream) -> u16 {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        assert_eq!(stream.read(&mut byte).expect("a response"), 1, "is closed");
        text.push(byte[0]);
    }
    let text = String::from_utf8(text).unwrap();
    let mut fields = text.lines().filter_map(|line| line.split_once(": "));
    let length = fields.find(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    let len = length.map_or(0, |(_, len)| len.parse().unwrap());
    let mut body = vec![0; len];
    stream.read_exact(&mut body).expect("a body");
    text[9..12].parse().unwrap()
}

/// Guards against limits that a single request within the configuration's meets.
#[rstest]
#[case::one_byte_chunks(Some(1))]
#[case::large_chunks(Some(64 * 1024))]
#[case::length(None)]
fn gateway_request_at_limit_served(#[case] chunk_len: Option<usize>) {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn(&format!("memory_mb = {LOW_MEMORY_MB}\n"));
    let mut stream = TcpStream::connect(gateway.deployment.callers).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let head = request_head("/once/x").replace("4000", "20000");
    send_at_limit(&mut stream, &head, chunk_len);
    assert_eq!(read_status(&mut stream), 200);
    gateway
        .sampler
        .check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
}

/// Sends a complete request with the longest body, in chunks of this many bytes or with a
/// length.
pub fn send_at_limit(stream: &mut TcpStream, head: &str, chunk_len: Option<usize>) {
    match chunk_len {
        Some(len) => {
            let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            write_repeated(stream, &chunk_of(len, ""), BODY_MAX / len).unwrap();
            stream.write_all(b"0\r\n\r\n").unwrap();
        }
        None => {
            let head = format!("{head}Content-Length: {BODY_MAX}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            write_repeated(stream, b"a", BODY_MAX).unwrap();
        }
    }
}

/// Guards against refusals that an operator can't see, and against a log that grows with
/// each of them.
#[test]
fn gateway_refusals_reported() {
    let _alone = run_alone();
    let gateway = SampledGateway::spawn(&format!("memory_mb = {LOW_MEMORY_MB}\n"));
    let deployment = &gateway.deployment;
    let head = request_head("/once/x");
    let forms = [CrowdForm::LengthShort];
    let crowd = Crowd::send(deployment.callers, 2 * LOW_MEMORY_CROWD, &forms, &head);
    let refused = || {
        let caller = HttpCaller::with_timeout(deployment.metrics, None, ANSWER_TIMEOUT);
        let text = caller.call("GET", "/metrics", &[], "").unwrap().body;
        let line = text
            .lines()
            .find(|line| line.contains("http_requests_refused"));
        let count = line.and_then(|line| line.rsplit(' ').next());
        count.and_then(|count| count.parse::<usize>().ok())
    };
    wait_until("refusals are counted", || refused() > Some(0)).unwrap();
    let line = "cause=\"limits on callers\"";
    let lines = || deployment.processes.log("gateway").matches(line).count();
    wait_until("a line is written", || lines() > 0).unwrap();
    assert!(lines() < refused().unwrap());
    gateway.check_ordinary("beside the crowd");
    drop(crowd);
    gateway
        .sampler
        .check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
}
