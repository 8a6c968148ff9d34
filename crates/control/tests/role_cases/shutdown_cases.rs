//! Calls in the graceful shutdown of control roles.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use mulberrywell_control::{ServingAnswer, ServingCall};
use mulberrywell_policy::OrderAnswer;
use mulberrywell_wire::serving::{ServingDemand, WantedModel};
use mulberrywell_wire::FrameBody;
use rstest::rstest;

use crate::role_cluster::{ClientLink, RoleCluster};
use crate::serving_cases::{engine_config, engine_heartbeat, put, ORDER_LEASE};

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

/// Time after which the answer to an order counts as unknown, and some more.
const ANSWER_TIME: Duration = Duration::from_millis(1_300);

/// Time in which another instance takes the leadership over.
const TRANSFER_TIME: Duration = Duration::from_millis(200);

/// Callers at all roles who ask for the adapters of a model that an engine has.
struct AdapterDemand {
    cluster: RoleCluster,
    entries: Vec<ClientLink>,
    /// Adapters asked for so far.
    wanted: u64,
}

impl AdapterDemand {
    /// Lets the leader of so many roles send an order; returns the leader, too.
    fn ordered(count: usize) -> (Self, usize) {
        let mut cluster = RoleCluster::formed(count);
        let leader = cluster.leader().unwrap();
        let models = &mut cluster.inventory.models;
        models.insert(Bytes::from_static(b"m"), BTreeSet::new());
        cluster.call_serving(leader, engine_config());
        cluster.call_serving(leader, engine_heartbeat());
        cluster.run(Duration::from_secs(4));
        let entries = (0..count).map(|idx| cluster.attach(idx, b"entry-0"));
        let entries = entries.collect();
        let mut demand = AdapterDemand {
            cluster,
            entries,
            wanted: 0,
        };
        demand.want(leader);
        demand.cluster.run(Duration::from_millis(50));
        assert_eq!(demand.cluster.orders.len(), 1);
        (demand, leader)
    }

    /// Asks for another adapter.
    fn want(&mut self, idx: usize) {
        self.wanted += 1;
        let wanted = WantedModel {
            service: Bytes::from_static(b"s"),
            model: Bytes::from_static(b"m"),
            adapter: Bytes::from(format!("a{}", self.wanted)),
            software: None,
        };
        let demand = ServingDemand {
            wanted: vec![wanted],
            ..ServingDemand::default()
        };
        let entry = &self.entries[idx];
        self.cluster.send(entry, FrameBody::ServingDemand(demand));
    }

    /// Asks for adapters for a while; the engine is heard.
    fn run(&mut self, duration: Duration) {
        let end = self.cluster.now() + duration;
        while self.cluster.now() < end {
            if let Some(leader) = self.cluster.leader() {
                self.want(leader);
                let ServingCall::Heartbeat(mut status) = engine_heartbeat() else {
                    unreachable!("a heartbeat");
                };
                status.sequence += self.wanted;
                self.cluster
                    .begin_serving(leader, ServingCall::Heartbeat(status));
            }
            self.cluster.run(Duration::from_millis(50));
        }
    }
}

/// How a leader is asked to hand the leadership over.
#[derive(Debug, Clone, Copy)]
enum TransferCause {
    Shutdown,
    Removal,
}

/// Guards against an order of the leader before that arrives late, as its packet was lost,
/// and so less than the lease before the first one of the next leader: the leadership is
/// handed over only when the order is answered, or its answer has timed out.
#[rstest]
#[case::answered(TransferCause::Shutdown, Some(400))]
#[case::answered_late(TransferCause::Shutdown, Some(1_000))]
#[case::unanswered(TransferCause::Shutdown, None)]
#[case::removal_answered(TransferCause::Removal, Some(400))]
#[case::removal_unanswered(TransferCause::Removal, None)]
fn transfer_awaits_order_answer(#[case] cause: TransferCause, #[case] answer_ms: Option<u64>) {
    let (mut demand, leader) = AdapterDemand::ordered(3);
    match cause {
        TransferCause::Shutdown => demand.cluster.shut_down(leader),
        TransferCause::Removal => {
            let wish = format!("{{\"remove\": \"control-{leader}\", \"request_id\": \"r1\"}}");
            let answer = demand
                .cluster
                .call(leader, "POST", "/v1/members/wish", &wish);
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    }
    let answered_at = match answer_ms {
        Some(delay) => {
            demand.run(Duration::from_millis(delay));
            assert_eq!(demand.cluster.leader(), Some(leader));
            demand
                .cluster
                .answer_order(leader, 0, OrderAnswer::Accepted);
            demand.cluster.now()
        }
        None => {
            demand.run(Duration::from_secs(1));
            assert_eq!(demand.cluster.leader(), Some(leader));
            demand.cluster.run(ANSWER_TIME - Duration::from_secs(1));
            assert_eq!(demand.cluster.abandoned, demand.cluster.orders);
            demand.cluster.order_times[0]
        }
    };
    assert_eq!(demand.cluster.orders.len(), 1, "an order in the hand-over");
    demand.run(TRANSFER_TIME);
    assert!(demand.cluster.leader().is_some_and(|idx| idx != leader));
    demand.run(ORDER_LEASE + Duration::from_secs(1));
    let later = demand.cluster.orders.get(1).expect("an order");
    assert_ne!(later.holder, demand.cluster.orders[0].holder);
    let pause = demand.cluster.order_times[1] - answered_at;
    assert!(pause >= ORDER_LEASE, "{pause:?}");
}

/// Guards against an order on a connection that is still being opened when its leader has
/// lost the leadership, and which is sent while another one leads.
#[test]
fn lost_leadership_abandons_order() {
    let (mut demand, leader) = AdapterDemand::ordered(3);
    demand.cluster.freeze(leader);
    demand.cluster.run(Duration::from_secs(4));
    assert!(demand.cluster.leader().is_some());
    assert!(demand.cluster.abandoned.is_empty());
    demand.cluster.thaw_by_timer(leader);
    demand.cluster.run(Duration::from_millis(100));
    assert_eq!(demand.cluster.abandoned, demand.cluster.orders[..1]);
}

/// Guards against an order that is still on its way when its leader, the only instance, has
/// ended, and which arrives less than the lease before the first one after the restart.
#[test]
fn shutdown_lone_leader_awaits_order_answer() {
    let (mut demand, leader) = AdapterDemand::ordered(1);
    demand.cluster.shut_down(leader);
    demand.run(Duration::from_millis(400));
    assert!(!demand.cluster.is_finished(leader));
    demand
        .cluster
        .answer_order(leader, 0, OrderAnswer::Accepted);
    demand.cluster.run(TRANSFER_TIME);
    assert!(demand.cluster.is_finished(leader));
    assert_eq!(demand.cluster.orders.len(), 1);
}
