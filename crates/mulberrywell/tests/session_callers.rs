//! Compares callers' sessions with golden files.

mod common;

use common::session::{SessionLog, SessionRequest};
use common::{small_cluster, SmallCluster};
use mulberrywell_testkit::{wait_until, HttpCaller};

const JSON: &[(&str, &str)] = &[("content-type", "application/json")];
const CHAT: &str = r#"{"model":"payroll","messages":[{"role":"user","content":"When is my nanny's bonus due?"}],"max_tokens":3}"#;
const STREAM: &str = r#"{"model":"payroll","messages":[{"role":"user","content":"When is my nanny's bonus due?"}],"max_tokens":3,"stream":true}"#;

/// Starts a cluster and an empty session log.
fn session() -> (SmallCluster, SessionLog) {
    let small = small_cluster(1, 1);
    let mut log = SessionLog::default();
    log.redact(&small.gold_key, "key of medellin");
    log.redact(&small.small_key, "key of cali");
    (small, log)
}

fn chat<'a>(key: Option<&'a str>, body: &'a str) -> SessionRequest<'a> {
    SessionRequest {
        method: "POST",
        path: "/v1/chat/completions",
        key,
        headers: JSON,
        body,
    }
}

/// Sends one chat request and compares the session with its golden file.
fn compare_chat(name: &str, key: impl Fn(&SmallCluster) -> Option<String>, body: &str) {
    let (small, mut log) = session();
    let key = key(&small);
    let address = small.cluster.callers[0];
    log.request(address, &chat(key.as_deref(), body));
    log.compare(name);
}

fn gold_key(small: &SmallCluster) -> Option<String> {
    Some(small.gold_key.clone())
}

fn cali_key(small: &SmallCluster) -> Option<String> {
    Some(small.small_key.clone())
}

#[test]
fn session_chat_plain() {
    compare_chat("chat_plain", gold_key, CHAT);
}

#[test]
fn session_chat_streamed() {
    compare_chat("chat_streamed", gold_key, STREAM);
}

#[test]
fn session_unknown_model() {
    compare_chat(
        "unknown_model",
        gold_key,
        &CHAT.replace("payroll", "no-such-model"),
    );
}

#[test]
fn session_model_not_granted() {
    compare_chat(
        "model_not_granted",
        cali_key,
        &CHAT.replace("payroll", "summary"),
    );
}

#[test]
fn session_wrong_key() {
    compare_chat(
        "wrong_key",
        |_| Some("mw-a-key-that-is-not-known".to_owned()),
        CHAT,
    );
}

#[test]
fn session_no_key() {
    compare_chat("no_key", |_| None, CHAT);
}

#[test]
fn session_malformed_json() {
    compare_chat(
        "malformed_json",
        gold_key,
        r#"{"model":"payroll","messages":["#,
    );
}

#[test]
fn session_larger_than_burst() {
    compare_chat(
        "larger_than_burst",
        cali_key,
        &CHAT.replace(":3}", ":5000}"),
    );
}

#[test]
fn session_over_rate() {
    let (small, mut log) = session();
    let address = small.cluster.callers[0];
    let body = CHAT.replace(":3}", ":80}");
    let caller = HttpCaller::new(address, Some(&small.small_key));
    assert_eq!(
        caller.chat("payroll", "first", 90, false).unwrap().status,
        200
    );
    log.comment("after a request that took nearly the whole burst");
    let deadline = [JSON[0], ("mulberrywell-deadline-ms", "300")];
    let request = SessionRequest {
        headers: &deadline,
        ..chat(Some(&small.small_key), &body)
    };
    log.request(address, &request);
    log.compare("over_rate");
}

#[test]
fn session_oversized_body() {
    let long = "a".repeat(5 * 1024 * 1024);
    compare_chat("oversized_body", gold_key, &long);
}

#[test]
fn session_oversized_header() {
    let (small, mut log) = session();
    let long = "a".repeat(20_000);
    let headers = [("x-long", long.as_str())];
    let request = SessionRequest {
        headers: &headers,
        ..chat(Some(&small.gold_key), CHAT)
    };
    log.request(small.cluster.callers[0], &request);
    log.compare("oversized_header");
}

#[test]
fn session_service_call() {
    let (small, mut log) = session();
    let address = small.cluster.callers[0];
    let order = SessionRequest {
        method: "POST",
        path: "/services/payments/orders",
        key: Some(&small.gold_key),
        headers: JSON,
        body: r#"{"order":17}"#,
    };
    log.request(address, &order);
    log.comment("a route open to all");
    let open = SessionRequest {
        method: "GET",
        path: "/services/payments/open",
        ..SessionRequest::default()
    };
    log.request(address, &open);
    log.comment("an account without the grant");
    log.request(
        address,
        &SessionRequest {
            key: Some(&small.small_key),
            ..order
        },
    );
    log.compare("service_call");
}

#[test]
fn session_model_list() {
    let (small, mut log) = session();
    let address = small.cluster.callers[0];
    for key in [&small.gold_key, &small.small_key] {
        let list = SessionRequest {
            method: "GET",
            path: "/v1/models",
            key: Some(key),
            ..SessionRequest::default()
        };
        log.request(address, &list);
    }
    log.compare("model_list");
}

#[test]
fn session_key_withdrawn() {
    let (small, mut log) = session();
    let address = small.cluster.callers[0];
    let request = chat(Some(&small.gold_key), CHAT);
    log.request(address, &request);
    log.command(&small.cluster, &["key", "withdraw", "m1"]);
    let caller = HttpCaller::new(address, Some(&small.gold_key));
    wait_until("the key is refused", || {
        let response = caller.call("GET", "/v1/models", &[], "");
        response.is_ok_and(|response| response.status == 401)
    })
    .unwrap();
    log.comment("once the withdrawal is in force");
    log.request(address, &request);
    log.compare("key_withdrawn");
}
