//! Crowds at an entry's port for callers and at the operators' port.

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::thread;
use std::time::Instant;

use mulberrywell_testkit::{wait_until, BinaryPaths, ClusterPlan, HttpCaller};
use rstest::rstest;
use tempfile::TempDir;

use crate::common::{binaries, cluster_of, small_cluster, SmallCluster};
use crate::crowd::{Crowd, CrowdForm, UsageSampler, BODY_MAX};
use crate::gateway_crowds::{read_status, send_at_limit, ANSWER_TIMEOUT};
use crate::{
    run_alone, CROWD, DESCRIPTORS_KEPT, DESCRIPTORS_MAX, LOW_DESCRIPTORS, LOW_DESCRIPTORS_CROWD,
    LOW_MEMORY_CROWD, LOW_MEMORY_MB, MACHINE_KIB,
};

fn sample_process(small: &SmallCluster, name: &str) -> UsageSampler {
    UsageSampler::spawn(small.cluster.id(name).unwrap())
}

fn check_chat(small: &SmallCluster) {
    let caller = HttpCaller::with_timeout(
        small.cluster.callers[0],
        Some(&small.gold_key),
        ANSWER_TIMEOUT,
    );
    let response = caller.chat("payroll", "x", 2, true).unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
}

/// Returns the head of a caller's request.
fn request_head(small: &SmallCluster) -> String {
    let key = &small.gold_key;
    format!("POST /services/payments/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n")
}

/// Guards against bodies that an entry's threads hold without a bound.
#[rstest]
#[case::chunks_short(CrowdForm::ChunksShort(64 * 1024))]
#[case::small_chunks(CrowdForm::SmallChunks(BODY_MAX / 8, 4))]
#[case::length_short(CrowdForm::LengthShort)]
#[case::endless_chunks(CrowdForm::EndlessChunks)]
#[case::half_heads(CrowdForm::HalfHead)]
#[case::long_heads(CrowdForm::LongHead)]
#[case::whole(CrowdForm::Whole)]
fn entry_untold_memory_bounded(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let small = small_cluster(1, 1);
    let address = small.cluster.callers[0];
    let sampler = sample_process(&small, "entry-0");
    let crowd = Crowd::send(address, CROWD, &[form], &request_head(&small));
    check_chat(&small);
    drop(crowd);
    check_chat(&small);
    sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

/// Guards against refusals of an entry that an operator can't see, and against a log that
/// grows with each of them.
#[test]
fn entry_refusals_reported() {
    let _alone = run_alone();
    let small = small_cluster(1, 1);
    let address = small.cluster.callers[0];
    let sampler = sample_process(&small, "entry-0");
    let forms = [CrowdForm::LengthShort];
    let began = Instant::now();
    let crowd = Crowd::send(address, CROWD, &forms, &request_head(&small));
    let lines = || {
        let log = small.cluster.log("entry-0");
        log.matches("cause=\"limits on callers\"").count()
    };
    wait_until("a line is written", || lines() > 0).unwrap();
    // One a second, and the first one.
    let written = lines();
    assert!(written <= usize::try_from(began.elapsed().as_secs()).unwrap() + 1);
    check_chat(&small);
    drop(crowd);
    sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

/// Guards against limits that a single request within an entry's meets.
#[rstest]
#[case::one_byte_chunks(Some(1))]
#[case::length(None)]
fn entry_request_at_limit_served(#[case] chunk_len: Option<usize>) {
    let _alone = run_alone();
    let small = small_cluster(1, 1);
    let address = small.cluster.callers[0];
    let sampler = sample_process(&small, "entry-0");
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let head = request_head(&small);
    send_at_limit(&mut stream, &head, chunk_len);
    assert_eq!(read_status(&mut stream), 201);
    sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

/// Guards against an entry that serves nobody else while a crowd has all connections that
/// its descriptors allow.
#[rstest]
#[case::half_heads(CrowdForm::HalfHead)]
#[case::silent(CrowdForm::Silent)]
#[case::length_short(CrowdForm::LengthShort)]
fn entry_low_descriptors_serves(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let (small, _folder) = spawn_low_descriptors(1);
    let address = small.cluster.callers[0];
    let sampler = sample_process(&small, "entry-0");
    let crowd = Crowd::send(address, CROWD, &[form], &request_head(&small));
    check_chat(&small);
    drop(crowd);
    check_chat(&small);
    sampler.check(MACHINE_KIB, LOW_DESCRIPTORS - DESCRIPTORS_KEPT);
}

/// Guards against idle callers of an entry that behave and are closed for a crowd.
#[rstest]
#[case::silent(&[CrowdForm::Silent, CrowdForm::HalfHead], None)]
#[case::answered(&[CrowdForm::Answered], Some("GET /healthz HTTP/1.1\r\nHost: h\r\n"))]
fn entry_low_descriptors_keeps_idle(#[case] forms: &[CrowdForm], #[case] head: Option<&str>) {
    const REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    let _alone = run_alone();
    let (small, _folder) = spawn_low_descriptors(1);
    let address = small.cluster.callers[0];
    let sampler = sample_process(&small, "entry-0");
    let mut idle = TcpStream::connect(address).unwrap();
    idle.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    idle.write_all(REQUEST).unwrap();
    assert_eq!(read_status(&mut idle), 200);
    let head = head.map_or_else(|| request_head(&small), str::to_owned);
    let crowd = Crowd::send(address, LOW_DESCRIPTORS_CROWD, forms, &head);
    idle.write_all(REQUEST).expect("is open");
    assert_eq!(read_status(&mut idle), 200);
    drop(crowd);
    sampler.check(MACHINE_KIB, LOW_DESCRIPTORS - DESCRIPTORS_KEPT);
}

/// Guards against a crowd at one port that shuts another port of the same process.
#[rstest]
#[case::half_heads(CrowdForm::HalfHead)]
#[case::length_short(CrowdForm::LengthShort)]
fn entry_crowd_leaves_operators_port(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let (small, _folder) = spawn_low_descriptors(0);
    let address = small.cluster.callers[0];
    let sampler = sample_process(&small, "control-0");
    let head = request_head(&small);
    let crowd = Crowd::send(address, LOW_DESCRIPTORS_CROWD, &[form], &head);
    small.cluster.operate_ok(&["show", "endpoints"]).unwrap();
    drop(crowd);
    small.cluster.operate_ok(&["show", "endpoints"]).unwrap();
    sampler.check(MACHINE_KIB, LOW_DESCRIPTORS - DESCRIPTORS_KEPT);
}

/// Guards against a crowd at one port whose stalled bodies keep all memory for large
/// requests from another port of the same process.
#[test]
fn entry_crowd_leaves_operators_memory() {
    const BODY_LEN: usize = BODY_MAX;
    let _alone = run_alone();
    let plan = ClusterPlan {
        controls: 1,
        entries: 0,
        entry_extra: "caller_stall_ms = 600000".to_owned(),
        ..ClusterPlan::default()
    };
    let small = cluster_of(plan, &binaries());
    let sampler = sample_process(&small, "control-0");
    let forms = [CrowdForm::LengthShort];
    let head = request_head(&small);
    let crowd = Crowd::send(small.cluster.callers[0], CROWD, &forms, &head);
    wait_until("a large request is read", || {
        let operators = small.cluster.operators[0];
        let caller = HttpCaller::with_timeout(operators, None, ANSWER_TIMEOUT);
        let body = "a".repeat(BODY_LEN);
        let response = caller.call("POST", "/v1/config", &[], &body);
        // It has no operator key.
        response.is_ok_and(|response| response.status == 401)
    })
    .unwrap();
    small.cluster.operate_ok(&["show", "endpoints"]).unwrap();
    drop(crowd);
    sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

/// Starts a cluster with one control instance and so many entries, whose processes have
/// [`LOW_DESCRIPTORS`]; without an entry the control instance is one too.
fn spawn_low_descriptors(entries: usize) -> (SmallCluster, TempDir) {
    let folder = TempDir::new().unwrap();
    let paths = BinaryPaths {
        serve: folder.path().join("serve"),
        ..binaries()
    };
    let binary = binaries().serve;
    let text = format!(
        "#!/bin/sh\nulimit -n {LOW_DESCRIPTORS} && exec {} \"$@\"\n",
        binary.display()
    );
    fs::write(&paths.serve, text).unwrap();
    fs::set_permissions(&paths.serve, fs::Permissions::from_mode(0o755)).unwrap();
    let plan = ClusterPlan {
        controls: 1,
        entries,
        ..ClusterPlan::default()
    };
    (cluster_of(plan, &paths), folder)
}

/// Guards against bodies that the threads of the operators' port hold without a bound.
#[rstest]
#[case::chunks_short(CrowdForm::ChunksShort(64 * 1024))]
#[case::length_short(CrowdForm::LengthShort)]
fn operators_port_untold_memory_bounded(#[case] form: CrowdForm) {
    let _alone = run_alone();
    let small = small_cluster(1, 1);
    let address = small.cluster.operators[0];
    let sampler = sample_process(&small, "control-0");
    let head = "POST /v1/config HTTP/1.1\r\nHost: h\r\n";
    let crowd = Crowd::send(address, CROWD, &[form], head);
    small.cluster.operate_ok(&["show", "endpoints"]).unwrap();
    drop(crowd);
    small.cluster.operate_ok(&["show", "endpoints"]).unwrap();
    sampler.check(MACHINE_KIB, DESCRIPTORS_MAX);
}

/// Guards against calls of operators that the leader holds for other control instances,
/// which forward them before their keys are checked.
#[test]
fn operators_ports_together_bounded() {
    let _alone = run_alone();
    let plan = ClusterPlan {
        controls: 3,
        entries: 1,
        control_extra: format!("[callers]\nmemory_mb = {LOW_MEMORY_MB}\n"),
        ..ClusterPlan::default()
    };
    let small = cluster_of(plan, &binaries());
    let samplers: Vec<UsageSampler> = ["control-0", "control-1", "control-2"]
        .iter()
        .map(|name| sample_process(&small, name))
        .collect();
    let head = "POST /v1/config HTTP/1.1\r\nHost: h\r\n";
    thread::scope(|scope| {
        for address in &small.cluster.operators {
            scope.spawn(|| {
                let forms = [CrowdForm::Whole];
                drop(Crowd::send(*address, LOW_MEMORY_CROWD, &forms, head));
            });
        }
    });
    small.cluster.operate_ok(&["show", "endpoints"]).unwrap();
    for sampler in &samplers {
        sampler.check(LOW_MEMORY_MB * 1_024, DESCRIPTORS_MAX);
    }
}
