//! Calls in the graceful shutdown of control roles.

use std::time::Duration;

use mulberrywell_control::{ServingAnswer, ServingCall};
use rstest::rstest;

use crate::role_cluster::RoleCluster;
use crate::serving_cases::put;

/// Longer than any shutdown.
const SHUTDOWN_TIME: Duration = Duration::from_millis(1_200);

/// Returns three linked roles, the leader and a follower.
fn formed() -> (RoleCluster, usize, usize) {
    let cluster = RoleCluster::formed(3);
    let leader = cluster.leader().unwrap();
    (cluster, leader, (leader + 1) % 3)
}

/// Guards against calls that an instance has read and forwarded to the leader, and whose
/// callers get no answer because it stops before the leader's answer arrives.
#[rstest]
#[case::put(put(1))]
#[case::read(ServingCall::Read)]
fn shutdown_follower_answers_forwarded_call(#[case] call: ServingCall) {
    let (mut cluster, _, follower) = formed();
    let request = cluster.begin_serving(follower, call.clone());
    assert_eq!(cluster.reply(follower, request), None);
    cluster.shut_down(follower);
    cluster.run(Duration::from_millis(300));
    let expected = match call {
        ServingCall::Read => ServingAnswer::Source(None),
        _ => ServingAnswer::Accepted,
    };
    let reply = cluster.reply(follower, request);
    let is_answered = reply == Some(&expected) || reply == Some(&ServingAnswer::Unavailable);
    assert!(is_answered, "{reply:?}");
    assert!(cluster.is_finished(follower));
}

/// Guards against an operator's call that is forwarded and not answered, as above.
#[test]
fn shutdown_follower_answers_forwarded_operator() {
    let (mut cluster, _, follower) = formed();
    let request = cluster.request(follower, "GET", "/v1/members", "");
    cluster.shut_down(follower);
    cluster.run(Duration::from_millis(100));
    assert_eq!(cluster.operator_status(request), 200);
    cluster.run(Duration::from_millis(300));
    assert!(cluster.is_finished(follower));
}

/// Guards against calls that a leader has read and that get no answer because it hands the
/// leadership over.
#[test]
fn shutdown_leader_answers_calls() {
    let (mut cluster, leader, _) = formed();
    let serving = cluster.begin_serving(leader, put(1));
    let operator = cluster.request(leader, "GET", "/v1/members", "");
    cluster.shut_down(leader);
    cluster.run(SHUTDOWN_TIME);
    assert!(cluster.reply(leader, serving).is_some());
    assert_ne!(cluster.operator_status(operator), 0);
    assert!(cluster.is_finished(leader));
}

/// Guards against a call without an answer when the leader doesn't answer before the
/// shutdown ends, and against a shutdown that waits for it.
#[test]
fn shutdown_without_leader_calls_refused() {
    let (mut cluster, leader, follower) = formed();
    let serving = cluster.begin_serving(follower, put(1));
    let operator = cluster.request(follower, "GET", "/v1/members", "");
    cluster.freeze(leader);
    cluster.shut_down(follower);
    cluster.run(SHUTDOWN_TIME);
    let refused = Some(&ServingAnswer::Unavailable);
    assert_eq!(cluster.reply(follower, serving), refused);
    assert!(cluster.operator_status(operator) >= 500);
    assert!(cluster.is_finished(follower));
}

/// Guards against calls that are taken in a shutdown and prolong it: another instance can
/// answer them.
#[test]
fn shutdown_new_calls_refused_at_once() {
    let (mut cluster, leader, follower) = formed();
    cluster.begin_serving(follower, put(1));
    cluster.freeze(leader);
    cluster.shut_down(follower);
    let serving = cluster.begin_serving(follower, ServingCall::Read);
    let refused = Some(&ServingAnswer::Unavailable);
    assert_eq!(cluster.reply(follower, serving), refused);
    let operator = cluster.request(follower, "GET", "/v1/members", "");
    assert_eq!(cluster.operator_status(operator), 503);
    assert!(!cluster.is_finished(follower));
}

/// Guards against a shutdown that takes longer where nothing waits for an answer.
#[test]
fn shutdown_idle_follower_finishes_at_once() {
    let (mut cluster, _, follower) = formed();
    cluster.run(Duration::from_secs(1));
    cluster.shut_down(follower);
    assert!(cluster.is_finished(follower));
}
