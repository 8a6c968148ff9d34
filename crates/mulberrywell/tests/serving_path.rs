//! Tests of the serving path with real processes: three control instances, a
//! gateway, and workers that use the published protocol of the users' platform.

mod common;

use std::fs;
use std::time::Duration;

use common::serving_deployment::{call, config, ServingDeployment, KEY};
use mulberrywell_testkit::{wait_until, HttpCaller, RawCaller};
use nix::sys::signal::Signal;
use rstest::rstest;

#[test]
fn serving_end_to_end() {
    let deployment = ServingDeployment::spawn();
    let response = deployment.call("/once/x?q=1", KEY);
    assert_eq!(response.status, 200);
    assert_eq!(response.body, "/once/x?q=1 cali body");
    assert_eq!(response.header("Server-Signature"), "s1");
    let runs = deployment.worker.runs();
    assert_eq!(runs[0].request.header("Credential"), "");
    assert_eq!(deployment.call("/once/x", "other").status, 401);
    assert_eq!(deployment.call("/none/x", KEY).status, 404);
    let stream = deployment.call("/stream/x", KEY);
    assert!(stream.complete && stream.body.ends_with("id: 3\ndata: r1 e3\n\n"));
    assert!(
        stream.first_byte < stream.total,
        "the stream was not delivered event by event"
    );
    deployment.worker.set_shedding(true);
    let refused = deployment.call("/once/x", KEY);
    assert_eq!(refused.status, 503);
    assert_ne!(refused.header("Retry-After"), "");
    let metrics = HttpCaller::new(deployment.metrics, None);
    let text = metrics.call("GET", "/metrics", &[], "").unwrap().body;
    assert!(
        text.contains("mulberrywell_gateway_requests_total"),
        "{text}"
    );
    assert!(!text.contains(KEY));
    for name in ["gateway", "control-0"] {
        let log = fs::read_to_string(deployment.processes.path(&format!("{name}.log")));
        assert!(!log.unwrap().contains(KEY), "{name}");
    }
}

#[test]
fn serving_configuration_kept_over_control_restarts() {
    let mut deployment = ServingDeployment::spawn();
    assert!(deployment.operator.put(&config(7)));
    let names = ["control-0", "control-1", "control-2"];
    for name in names {
        deployment.processes.kill(name).unwrap();
    }
    // The gateway continues with the configuration that it has received.
    assert_eq!(deployment.call("/once/x", KEY).status, 200);
    for name in names {
        let without_bootstrap = |text: &str| text.replace("bootstrap = true", "bootstrap = false");
        deployment
            .processes
            .edit_settings(name, without_bootstrap)
            .unwrap();
        deployment.processes.restart(name).unwrap();
    }
    wait_until("the configuration is restored from disk", || {
        deployment.operator.version_at(1) == Some(7)
    })
    .unwrap();
}

#[test]
fn serving_shutdown_completes_requests() {
    let mut deployment = ServingDeployment::spawn();
    let processes = &mut deployment.processes;
    processes.signal("gateway", Signal::SIGHUP).unwrap();
    let callers = deployment.callers;
    let stream = std::thread::spawn(move || call(callers, "/stream/x", KEY));
    wait_until("the stream runs", || !deployment.worker.runs().is_empty()).unwrap();
    assert!(processes.is_running("gateway"), "SIGHUP ended the gateway");
    processes.signal("gateway", Signal::SIGTERM).unwrap();
    let response = stream.join().unwrap().unwrap();
    assert!(response.complete && response.body.ends_with("data: r1 e3\n\n"));
    wait_until("the gateway exits", || !processes.is_running("gateway")).unwrap();
    assert!(
        processes.wait("gateway").unwrap(),
        "the gateway's exit status is not 0"
    );
}

/// A request that crosses a planned stop on a connection that was idle is served,
/// however long the connection had been idle.
#[rstest]
#[case::just_used(0)]
#[case::idle_1200_ms(1_200)]
#[case::idle_3_s(3_000)]
fn serving_shutdown_idle_connection_served(#[case] idle_ms: u64) {
    let mut deployment = ServingDeployment::spawn();
    let mut caller = RawCaller::connect(deployment.callers).unwrap();
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 4000\r\n\
         Credential: {KEY}\r\nContent-Length: 4\r\n"
    );
    let mut send_request = |id: &str| {
        let request = format!("{head}Request-Id: {id}\r\n\r\nbody");
        assert!(caller.send(request.as_bytes()), "the connection is closed");
        caller.read_until(Duration::from_secs(4), |bytes| {
            bytes.ends_with(b"cali body")
        })
    };
    assert_eq!(send_request("r1").status(), 200);
    std::thread::sleep(Duration::from_millis(idle_ms));
    let processes = &mut deployment.processes;
    processes.signal("gateway", Signal::SIGTERM).unwrap();
    // Longer than the interval at which idle connections are checked.
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(send_request("r2").status(), 200);
}

// Guards against reloads that cut, drop or refuse what is in work at a gateway.
#[test]
fn serving_reload_cuts_nothing() {
    let deployment = ServingDeployment::spawn();
    deployment.worker.set_delay(Duration::from_millis(1_500));
    let callers = deployment.callers;
    let calls: Vec<_> = (0..4)
        .map(|idx| {
            let path = if idx % 2 == 0 { "/once/x" } else { "/stream/x" };
            std::thread::spawn(move || call(callers, path, KEY))
        })
        .collect();
    wait_until("the calls run", || deployment.worker.runs().len() == 4).unwrap();
    for round in 0..5 {
        for name in ["gateway", "control-0", "control-1", "control-2"] {
            let processes = &deployment.processes;
            processes
                .edit_settings(name, |text| match round % 2 {
                    0 => text.replacen("seeds = [", "seeds = [\"127.0.0.1:9\", ", 1),
                    _ => text.replacen("\"127.0.0.1:9\", ", "", 1),
                })
                .unwrap();
            processes.signal(name, Signal::SIGHUP).unwrap();
        }
        std::thread::sleep(Duration::from_millis(250));
        assert_eq!(deployment.call("/once/x", KEY).status, 200);
    }
    for call in calls {
        let response = call.join().unwrap().unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.complete);
    }
    // Five calls during the reloads; none of the others was started twice.
    assert_eq!(deployment.worker.runs().len(), 9);
    let log = deployment.processes.log("gateway");
    assert!(log.contains("seeds changed: true"), "no reload");
}

/// Guards against a response that a planned stop cuts because its caller reads it
/// slowly: the worker has ended, and the gateway holds the rest.
#[test]
fn serving_shutdown_slow_reader_gets_whole_response() {
    let mut deployment = ServingDeployment::spawn();
    let mut caller = RawCaller::connect(deployment.callers).unwrap();
    let body = "b".repeat(4_000_000);
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 4000\r\n\
         Credential: {KEY}\r\nRequest-Id: r1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    assert!(caller.send(head.as_bytes()) && caller.send(body.as_bytes()));
    wait_until("the request runs", || !deployment.worker.runs().is_empty()).unwrap();
    let processes = &mut deployment.processes;
    processes.signal("gateway", Signal::SIGTERM).unwrap();
    let mut len = 0;
    while len <= body.len() {
        let received = caller.read_until(Duration::from_secs(1), |bytes| !bytes.is_empty());
        len += received.bytes.len();
        if received.bytes.is_empty() {
            break;
        }
        std::thread::sleep(Duration::from_millis(4));
    }
    assert!(len > body.len(), "cut after {len} bytes");
}

/// Guards against a request that a planned stop reads and drops without an answer: it
/// follows a stream on the same connection, whose head did not announce the end.
#[test]
fn serving_shutdown_pipelined_request_answered() {
    let mut deployment = ServingDeployment::spawn();
    let mut caller = RawCaller::connect(deployment.callers).unwrap();
    let mut send_request = |path: &str, id: &str| {
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 4000\r\n\
             Credential: {KEY}\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody"
        );
        assert!(caller.send(request.as_bytes()), "the connection is closed");
    };
    send_request("/stream/x", "r1");
    send_request("/once/x", "r2");
    let begun = caller.read_until(Duration::from_secs(2), |bytes| !bytes.is_empty());
    assert_eq!(begun.status(), 200);
    assert!(!begun.text().contains("Connection: close"));
    let processes = &mut deployment.processes;
    processes.signal("gateway", Signal::SIGTERM).unwrap();
    let rest = caller.read_to_end(Duration::from_secs(4)).text();
    assert!(rest.contains("data: r1 e3"), "{rest}");
    assert!(rest.ends_with("/once/x cali body"), "{rest}");
}

/// Further signals during a planned stop neither end it early nor cut its stream.
#[test]
fn serving_shutdown_further_signals_ignored() {
    let mut deployment = ServingDeployment::spawn();
    let callers = deployment.callers;
    let stream = std::thread::spawn(move || call(callers, "/stream/x", KEY));
    wait_until("the stream runs", || !deployment.worker.runs().is_empty()).unwrap();
    let processes = &mut deployment.processes;
    for signal in [
        Signal::SIGTERM,
        Signal::SIGHUP,
        Signal::SIGTERM,
        Signal::SIGINT,
        Signal::SIGHUP,
    ] {
        processes.signal("gateway", signal).unwrap();
        std::thread::sleep(Duration::from_millis(50));
    }
    let response = stream.join().unwrap().unwrap();
    assert!(response.complete && response.body.ends_with("data: r1 e3\n\n"));
    assert!(processes.is_running("gateway"), "the stop ended early");
    assert!(processes.wait("gateway").unwrap());
}

/// Guards against a planned stop that ends the process while callers may still send on idle
/// connections: the last stream's head did not announce the end, so that its connection is
/// kept for a second.
#[rstest]
#[case::before_the_process_may_end(10)]
#[case::after_the_last_call(25)]
fn serving_shutdown_connection_of_last_stream_kept(#[case] events: u64) {
    let mut deployment = ServingDeployment::spawn();
    deployment.worker.set_stream_events(events);
    let mut caller = RawCaller::connect(deployment.callers).unwrap();
    let request = |path: &str, id: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 9000\r\n\
             Credential: {KEY}\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody"
        )
    };
    assert!(caller.send(request("/stream/x", "r1").as_bytes()));
    let begun = caller.read_until(Duration::from_secs(2), |bytes| !bytes.is_empty());
    assert!(!begun.text().contains("Connection: close"));
    let processes = &mut deployment.processes;
    processes.signal("gateway", Signal::SIGTERM).unwrap();
    let rest = caller.read_until(Duration::from_secs(9), |bytes| {
        bytes.ends_with(b"0\r\n\r\n")
    });
    assert!(rest.text().ends_with("0\r\n\r\n"), "{}", rest.text());
    std::thread::sleep(Duration::from_millis(300));
    let sent = caller.send(request("/once/x", "r2").as_bytes());
    let answer = caller.read_to_end(Duration::from_secs(2)).text();
    assert!(
        sent && answer.starts_with("HTTP/1.1 "),
        "sent={sent}: {answer}"
    );
}
