//! Tests of faults on the links between real processes.

mod common;

use common::proxied_cluster;
use mulberrywell_testkit::{wait_until, HttpCaller, ANY_PROCESS};

#[test]
fn agent_link_resets() {
    let small = proxied_cluster();
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    let proxy = small.cluster.proxy(ANY_PROCESS, "agent-engine-0").unwrap();
    assert_eq!(caller.chat("payroll", "a", 4, false).unwrap().status, 200);
    assert!(
        proxy.accepted() > 0,
        "the link does not go through the proxy"
    );
    proxy.reset();
    wait_until("the entry serves again", || {
        caller
            .chat("payroll", "b", 4, false)
            .is_ok_and(|response| response.status == 200)
    })
    .unwrap();
}

#[test]
fn agent_suspended_and_resumed() {
    let small = proxied_cluster();
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    let short_deadline = [("Mulberrywell-Deadline-Ms", "1000")];
    small.cluster.suspend("agent-engine-0").unwrap();
    let body = r#"{"model":"payroll","messages":[{"role":"user","content":"frozen"}]}"#;
    let response = caller
        .call("POST", "/v1/chat/completions", &short_deadline, body)
        .unwrap();
    assert!(response.status >= 500, "{}", response.status);
    small.cluster.resume("agent-engine-0").unwrap();
    wait_until("the entry serves again", || {
        caller
            .chat("payroll", "thawed", 4, false)
            .is_ok_and(|response| response.status == 200)
    })
    .unwrap();
}
