//! Tests of the checker with records that satisfy all guarantees and records that
//! breach one.

use std::time::{Duration, Instant};

use mulberrywell_testkit::{
    check_promises, streamed_response, AccountAllowance, CallKind, MemoryPeak, ObservedCall,
    Promise, RanClaim, RunEvidence, RunRecord, RunState,
};
use rstest::rstest;

fn run(body: &str, started: Instant, tokens: u64) -> RunRecord {
    RunRecord {
        request_id: "1-1".to_owned(),
        target: "POST /v1/completions".to_owned(),
        headers: vec!["content-type: application/json".to_owned()],
        body: body.to_owned(),
        started,
        state: RunState::Finished,
        tokens,
    }
}

fn call(body: &str, sent: Instant, tokens: u64) -> ObservedCall {
    ObservedCall {
        account: "cali".to_owned(),
        kind: CallKind::Stream(tokens),
        body: body.to_owned(),
        idempotent: true,
        sent,
        status: 200,
        ran: RanClaim::Yes,
        complete: true,
        response: streamed_response(body, tokens),
    }
}

/// Returns records without a breach: two streams, a service request and a refused
/// stream.
fn valid_evidence() -> RunEvidence {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let order = ObservedCall {
        kind: CallKind::Service,
        idempotent: false,
        status: 201,
        response: r#"{"echo":"order"}"#.to_owned(),
        ..call("order", now, 0)
    };
    let refused = ObservedCall {
        status: 503,
        ran: RanClaim::No,
        response: String::new(),
        ..call("refused", now, 5)
    };
    RunEvidence {
        calls: vec![call("one", now, 50), call("two", later, 60), order, refused],
        runs: vec![
            run("one", now, 50),
            run("two", later, 60),
            run("order", now, 0),
        ],
        keys: vec!["mw-secret".to_owned()],
        allowances: vec![AccountAllowance {
            account: "cali".to_owned(),
            rate: 10.0,
            burst: 100.0,
        }],
        memory: vec![MemoryPeak {
            peak: 100,
            capacity: 100,
        }],
    }
}

#[test]
fn checker_accepts_valid_evidence() {
    assert_eq!(check_promises(&valid_evidence()), vec![]);
}

#[test]
fn checker_accepts_reported_truncation() {
    let mut evidence = valid_evidence();
    let truncated_call = &mut evidence.calls[0];
    truncated_call.complete = false;
    truncated_call.response.truncate(500);
    assert_eq!(check_promises(&evidence), vec![]);
}

#[rstest]
#[case::order_ran_twice(Promise::SingleRun, |e: &mut RunEvidence| e.runs.push(e.runs[2].clone()))]
#[case::refused_ran(Promise::NotRun, |e: &mut RunEvidence| e.runs.push(run("refused", Instant::now(), 0)))]
#[case::answered_without_run(Promise::Ran, |e: &mut RunEvidence| drop(e.runs.remove(2)))]
#[case::response_of_another(Promise::OwnResponse, |e: &mut RunEvidence| e.calls[0].response = streamed_response("two", 50))]
#[case::response_short(Promise::OwnResponse, |e: &mut RunEvidence| e.calls[0].response = streamed_response("one", 49))]
#[case::response_doubled(Promise::OwnResponse, |e: &mut RunEvidence| {
    e.calls[0].response = streamed_response("one", 50).repeat(2);
})]
#[case::response_without_end(Promise::OwnResponse, |e: &mut RunEvidence| {
    e.calls[0].response = streamed_response("one", 50).replace("data: [DONE]\n\n", "");
})]
#[case::truncated_response_of_another(Promise::OwnResponse, |e: &mut RunEvidence| {
    e.calls[0].complete = false;
    e.calls[0].response = streamed_response("two", 3);
})]
#[case::echo_of_another(Promise::OwnResponse, |e: &mut RunEvidence| {
    e.calls[2].response = r#"{"echo":"another"}"#.to_owned();
})]
#[case::key_in_header(Promise::HiddenKey, |e: &mut RunEvidence| {
    e.runs[0].headers.push("cookie: k=mw-secret".to_owned());
})]
#[case::key_in_path(Promise::HiddenKey, |e: &mut RunEvidence| e.runs[0].target.push_str("?key=mw-secret"))]
#[case::over_burst(Promise::Rate, |e: &mut RunEvidence| e.runs[1].tokens = 61)]
#[case::over_memory(Promise::Memory, |e: &mut RunEvidence| e.memory[0].peak = 101)]
fn checker_reports(#[case] promise: Promise, #[case] corrupt: fn(&mut RunEvidence)) {
    let mut evidence = valid_evidence();
    corrupt(&mut evidence);
    let breached: Vec<Promise> = check_promises(&evidence)
        .into_iter()
        .map(|breach| breach.promise)
        .collect();
    assert_eq!(breached, vec![promise]);
}

#[test]
fn checker_ignores_wait_before_run() {
    let mut evidence = valid_evidence();
    // The calls were sent a second apart, but their runs started together.
    evidence.runs[0].started = evidence.runs[1].started;
    assert_eq!(check_promises(&evidence), vec![]);
}
