//! Requests whose chunked bodies end before their last chunk.

mod common;

use std::time::Duration;

use common::{planned_cluster, SmallCluster};
use mulberrywell_testkit::{ClusterPlan, HttpCaller, RawCaller};
use rstest::rstest;

/// Timeout for the server to refuse a request, or to close its connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a cluster whose entry refuses a body soon that makes no progress.
fn strict_cluster() -> SmallCluster {
    planned_cluster(ClusterPlan {
        controls: 1,
        entry_extra: "caller_stall_ms = 500".to_owned(),
        ..ClusterPlan::default()
    })
}

fn start_order(small: &SmallCluster, body: &str) -> RawCaller {
    let mut caller = RawCaller::connect(small.cluster.callers[0]).unwrap();
    let key = &small.gold_key;
    let head = format!(
        "POST /services/payments/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n\
         Transfer-Encoding: chunked\r\n\r\n{body}"
    );
    assert!(caller.send(head.as_bytes()));
    caller
}

/// Fails unless one complete order is the only one that runs.
fn check_runs(small: &SmallCluster) {
    let caller = HttpCaller::new(small.cluster.callers[0], Some(&small.gold_key));
    let response = caller.call("POST", "/services/payments/orders", &[], "order");
    assert_eq!(response.unwrap().status, 201);
    assert_eq!(small.service.records().all().len(), 1);
}

/// Guards against a request that runs with the part of its body that arrived, though its
/// caller is told that it has not run: the HTTP library doesn't tell a body that is cut off
/// from a complete one.
#[rstest]
#[case::inside_chunk("5\r\nab")]
#[case::between_chunks("2\r\nab\r\n")]
#[case::before_last_line("2\r\nab\r\n0\r\n")]
fn refused_chunked_body_not_run(#[case] body: &str) {
    let small = strict_cluster();
    let mut caller = start_order(&small, body);
    assert_eq!(caller.read_to_end(CLOSE_TIMEOUT).status(), 408);
    check_runs(&small);
}

/// Guards against a request that runs with a part of its body because its caller hung up.
#[rstest]
#[case::inside_chunk("5\r\nab")]
#[case::between_chunks("2\r\nab\r\n")]
fn abandoned_chunked_body_not_run(#[case] body: &str) {
    let small = strict_cluster();
    drop(start_order(&small, body));
    std::thread::sleep(Duration::from_millis(500));
    check_runs(&small);
}
