//! End-to-end tests of the request path with real processes.

mod common;

use common::small_cluster;
use mulberrywell_testkit::HttpCaller;

#[test]
fn chat_plain() {
    let small = small_cluster(1, 0);
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    let response = caller.chat("payroll", "hello", 4, false).unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(response.header("Mulberrywell-Ran"), "yes");
    assert!(response.complete);
    assert!(response.body.contains(".3 "), "{}", response.body);
}

#[test]
fn chat_streamed() {
    let small = small_cluster(1, 1);
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    let response = caller.chat("payroll", "hello", 20, true).unwrap();
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(response.complete);
    assert_eq!(response.body.matches("data: ").count(), 21);
    assert!(response.body.ends_with("data: [DONE]\n\n"));
}

#[test]
fn service_call() {
    let small = small_cluster(1, 1);
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    let response = caller
        .call("POST", "/services/payments/orders", &[], "order 1")
        .unwrap();
    assert_eq!(response.status, 201, "{}", response.body);
    assert_eq!(small.service.records().count_with("order 1"), 1);
    let keyless = HttpCaller::new(small.cluster.callers[0], None);
    let response = keyless
        .call("GET", "/services/payments/open", &[], "")
        .unwrap();
    assert_eq!(response.status, 201, "{}", response.body);
    for record in small.service.records().all() {
        assert!(!format!("{record:?}").contains(&small.gold_key));
    }
}

#[test]
fn shutdown_graceful() {
    let mut small = small_cluster(1, 1);
    let names = ["entry-0", "agent-engine-0", "agent-payments-0", "control-0"];
    for name in names {
        small
            .cluster
            .signal(name, nix::sys::signal::Signal::SIGTERM)
            .unwrap();
        assert!(small.cluster.wait(name).unwrap(), "{name}");
    }
}

#[test]
fn tokens_flushed_immediately() {
    let small = small_cluster(1, 1);
    let token_interval = std::time::Duration::from_millis(600);
    small
        .engine
        .configure(|config| config.between_tokens = token_interval);
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    let response = caller.chat("payroll", "hello", 3, true).unwrap();
    assert!(response.complete);
    assert!(
        response.first_byte < token_interval,
        "{:?}",
        response.first_byte
    );
    assert!(response.total >= 2 * token_interval, "{:?}", response.total);
}
