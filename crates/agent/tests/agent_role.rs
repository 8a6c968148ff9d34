//! The agent role, driven event by event.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_agent::{
    AgentAction, AgentConfig, AgentEvent, AgentRole, EngineState, OrderKind, OrderOutcome,
    ResidentModel, RunId,
};
use mulberrywell_role::{LinkCommand, LinkEvent, LinkId, RoleAction, RoleEvent, RoleMachine};
use mulberrywell_settings::AgentSettings;
use mulberrywell_wire::config::EndpointState;
use mulberrywell_wire::endpoint::{AnnounceAck, TargetModel, TargetOrder};
use mulberrywell_wire::request::{
    AttemptCancel, AttemptId, AttemptRefused, AttemptStart, Ran, RefusalReason,
};
use mulberrywell_wire::{FrameBody, PeerIdentity, PeerRole};
use rstest::rstest;

const INCARNATION: u64 = 7;
const ENTRY: LinkId = 1;
const OTHER_ENTRY: LinkId = 3;

const SETTINGS: &str = r#"
[instance]
name = "agent-0"
zone = "zone-a"
region = "region-a"
listen = "127.0.0.1:1"
secret_file = "secret"
seeds = ["127.0.0.1:2"]

[endpoint]
name = "engine-0"
pool = "pool"
kind = "engine"
address = "127.0.0.1:3"
memory_mib = 1000
kv_reserve_mib = 100
slots = 2
queue = 4
checks_fencing = true
"#;

/// An agent whose endpoint, control instance and entries are simulated.
struct AgentHarness {
    now: Instant,
    role: AgentRole,
    control: LinkId,
    engine: EngineState,
    actions: Vec<RoleAction<AgentAction>>,
}

impl AgentHarness {
    fn new(models: &[&str]) -> Self {
        Self::with_slots(models, 2)
    }

    fn with_slots(models: &[&str], slots: u32) -> Self {
        let now = Instant::now();
        let mut settings = AgentSettings::parse("agent.toml", SETTINGS).unwrap();
        settings.endpoint.slots = slots;
        settings.endpoint.queue = 2 * slots;
        let config = AgentConfig {
            settings: settings.endpoint,
            seeds: settings.instance.seeds,
            advertise: settings.instance.advertise,
            incarnation: INCARNATION,
            zone: settings.instance.zone,
            region: settings.instance.region,
        };
        let mut harness = AgentHarness {
            now,
            role: AgentRole::new(config, now),
            control: 0,
            engine: EngineState::default(),
            actions: Vec::new(),
        };
        harness.engine.models = models.iter().map(|name| resident(name, 300)).collect();
        harness.send(RoleEvent::Timer);
        harness.control = harness.dialed_link();
        harness.open_link(harness.control, PeerRole::Control);
        harness.open_link(ENTRY, PeerRole::Entry);
        harness.open_link(OTHER_ENTRY, PeerRole::Entry);
        harness.send_state();
        harness
    }

    fn send(&mut self, event: RoleEvent<AgentEvent>) {
        self.role.handle(self.now, event, &mut self.actions);
    }

    fn open_link(&mut self, link: LinkId, role: PeerRole) {
        let peer = PeerIdentity {
            role,
            instance: Bytes::from_static(b"peer"),
            incarnation: 1,
            zone: Bytes::new(),
        };
        self.send(RoleEvent::Link(LinkEvent::Opened { link, peer }));
    }

    fn send_frame(&mut self, link: LinkId, body: FrameBody) {
        self.send(RoleEvent::Link(LinkEvent::Frame { link, body }));
    }

    fn send_engine_event(&mut self, event: AgentEvent) {
        self.send(RoleEvent::RoleSpecific(event));
    }

    fn send_state(&mut self) {
        self.send_engine_event(AgentEvent::State(Some(self.engine.clone())));
    }

    /// Advances the clock; the engine answers queries for its state.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            if self.role.deadline().is_some_and(|at| at <= self.now) {
                self.send(RoleEvent::Timer);
            }
            let asked = |action: &RoleAction<AgentAction>| {
                matches!(action, RoleAction::RoleSpecific(AgentAction::ReadState))
            };
            if self.actions.iter().any(asked) {
                self.actions.retain(|action| !asked(action));
                self.send_state();
            }
        }
    }

    fn dialed_link(&mut self) -> LinkId {
        let mut actions = self.actions.iter();
        let dial = actions.find_map(|action| match action {
            RoleAction::Link(LinkCommand::Dial { link, .. }) => Some(*link),
            _ => None,
        });
        dial.unwrap()
    }

    /// Removes and returns the frames that were sent on a link.
    fn pop_sent(&mut self, on: LinkId) -> Vec<FrameBody> {
        let mut bodies = Vec::new();
        self.actions.retain_mut(|action| match action {
            RoleAction::Link(LinkCommand::Send { link, body }) if *link == on => {
                bodies.push(body.clone());
                false
            }
            _ => true,
        });
        bodies
    }

    fn pop_refusals(&mut self, on: LinkId) -> Vec<AttemptRefused> {
        let sent = self.pop_sent(on).into_iter();
        sent.filter_map(|body| match body {
            FrameBody::AttemptRefused(refused) => Some(refused),
            _ => None,
        })
        .collect()
    }

    /// Removes and returns the runs that were forwarded to the endpoint.
    fn pop_runs(&mut self) -> Vec<RunId> {
        let actions = std::mem::take(&mut self.actions);
        let mut runs = Vec::new();
        for action in actions {
            match action {
                RoleAction::RoleSpecific(AgentAction::Run { run, .. }) => runs.push(run),
                other => self.actions.push(other),
            }
        }
        runs
    }

    fn count_cancels(&self) -> usize {
        let cancel =
            |a: &&RoleAction<_>| matches!(a, RoleAction::RoleSpecific(AgentAction::Cancel { .. }));
        self.actions.iter().filter(cancel).count()
    }

    /// Removes and returns the orders; the engine executes them at once.
    fn execute_orders(&mut self) -> Vec<OrderKind> {
        let actions = std::mem::take(&mut self.actions);
        let mut orders = Vec::new();
        for action in actions {
            match action {
                RoleAction::RoleSpecific(AgentAction::Order(order)) => orders.push(order),
                other => self.actions.push(other),
            }
        }
        for order in &orders {
            self.engine.fencing = order.fencing;
            match &order.kind {
                OrderKind::Load { model, .. } => {
                    let name = std::str::from_utf8(model).unwrap();
                    self.engine.models.push(resident(name, 300));
                }
                OrderKind::Unload { model } => {
                    self.engine.models.retain(|item| item.model != *model);
                }
                OrderKind::ChangeRole { .. } => {}
            }
            self.send_engine_event(AgentEvent::OrderEnded {
                order: order.order,
                outcome: OrderOutcome::Done,
            });
        }
        orders.into_iter().map(|order| order.kind).collect()
    }

    fn send_ack(&mut self, draining: bool) {
        let body = FrameBody::AnnounceAck(AnnounceAck {
            incarnation: INCARNATION,
            fencing: 5,
            accepted: true,
            draining,
        });
        self.send_frame(self.control, body);
    }

    fn send_target(&mut self, revision: u64, models: &[&str]) {
        let models = models.iter().map(|name| TargetModel {
            model: Bytes::from((*name).to_owned()),
            memory_mib: 300,
            kv_mib: 60,
            ..TargetModel::default()
        });
        let body = FrameBody::TargetOrder(TargetOrder {
            term: 1,
            revision,
            endpoint: Bytes::from_static(b"engine-0"),
            incarnation: INCARNATION,
            models: models.collect(),
            load_permits: 2,
            engine_role: Bytes::new(),
        });
        self.send_frame(self.control, body);
    }

    fn pop_announcements(&mut self) -> Vec<(EndpointState, Vec<Bytes>)> {
        let sent = self.pop_sent(self.control).into_iter();
        sent.filter_map(|body| match body {
            FrameBody::Announce(announce) => announce.endpoint,
            _ => None,
        })
        .map(|item| (item.state(), item.resident))
        .collect()
    }
}

fn resident(name: &str, memory_mib: u64) -> ResidentModel {
    ResidentModel {
        model: Bytes::from(name.to_owned()),
        version: Bytes::new(),
        memory_mib,
        ready: true,
    }
}

fn attempt(sequence: u64) -> AttemptStart {
    AttemptStart {
        id: Some(AttemptId {
            incarnation: 1,
            sequence,
            attempt: 1,
        }),
        endpoint: Bytes::from_static(b"engine-0"),
        endpoint_incarnation: INCARNATION,
        account: Bytes::from_static(b"medellin"),
        model: Bytes::from_static(b"payroll"),
        deadline_ms: 10_000,
        prompt_tokens: 100,
        output_tokens: 100,
        idempotent: true,
        ..AttemptStart::default()
    }
}

fn send_start(harness: &mut AgentHarness, sequence: u64) {
    harness.send_frame(ENTRY, FrameBody::AttemptStart(attempt(sequence)));
}

fn send_cancel(harness: &mut AgentHarness, sequence: u64) {
    let id = attempt(sequence).id;
    harness.send_frame(ENTRY, FrameBody::AttemptCancel(AttemptCancel { id }));
}

#[test]
fn start_repeated_while_running() {
    let mut harness = AgentHarness::new(&["payroll"]);
    send_start(&mut harness, 1);
    send_start(&mut harness, 1);
    let runs = harness.pop_runs();
    assert_eq!(runs.len(), 1);
    assert!(harness.pop_refusals(ENTRY).is_empty());
    harness.send_engine_event(AgentEvent::End { run: runs[0] });
    let sent = harness.pop_sent(ENTRY);
    assert!(sent
        .iter()
        .any(|body| matches!(body, FrameBody::AttemptEnd(end) if end.whole)));
}

#[test]
fn start_repeated_after_end() {
    let mut harness = AgentHarness::new(&["payroll"]);
    send_start(&mut harness, 1);
    let run = harness.pop_runs()[0];
    harness.send_engine_event(AgentEvent::End { run });
    send_start(&mut harness, 1);
    assert!(harness.pop_runs().is_empty());
    let refused = harness.pop_refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Duplicate);
    assert_eq!(refused.ran(), Ran::Unknown);
}

#[test]
fn cancel_before_start() {
    let mut harness = AgentHarness::new(&["payroll"]);
    send_cancel(&mut harness, 1);
    send_start(&mut harness, 1);
    assert!(harness.pop_runs().is_empty());
    let refused = harness.pop_refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Cancelled);
    assert_eq!(refused.ran(), Ran::No);
}

#[rstest]
#[case::before_first_byte(false, Ran::No)]
#[case::after_first_byte(true, Ran::Unknown)]
fn cancel_races_forwarding(#[case] sent: bool, #[case] ran: Ran) {
    let mut harness = AgentHarness::new(&["payroll"]);
    send_start(&mut harness, 1);
    let run = harness.pop_runs()[0];
    send_cancel(&mut harness, 1);
    assert_eq!(harness.count_cancels(), 1);
    assert!(
        harness.pop_refusals(ENTRY).is_empty(),
        "refused before the endpoint reported how the run ended"
    );
    let crashed = false;
    harness.send_engine_event(AgentEvent::Failed { run, sent, crashed });
    let refused = harness.pop_refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Cancelled);
    assert_eq!(refused.ran(), ran);
}

/// Guards against crashes of the engine that its entry takes for broken responses, and
/// the reverse.
#[rstest]
#[case::broken_response(true, false, false, false)]
#[case::crashed(true, true, false, true)]
#[case::down_before(false, true, false, false)]
#[case::cancelled(true, true, true, false)]
fn failure_tells_crash(
    #[case] sent: bool,
    #[case] crashed: bool,
    #[case] is_cancelled: bool,
    #[case] is_told: bool,
) {
    let mut harness = AgentHarness::new(&["payroll"]);
    send_start(&mut harness, 1);
    let run = harness.pop_runs()[0];
    if is_cancelled {
        send_cancel(&mut harness, 1);
    }
    harness.send_engine_event(AgentEvent::Failed { run, sent, crashed });
    let refused = harness.pop_refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.crashed, is_told);
}

#[rstest]
#[case::idempotent(true, 1)]
#[case::not_idempotent(false, 0)]
fn entry_closed_running(#[case] idempotent: bool, #[case] cancels: usize) {
    let mut harness = AgentHarness::new(&["payroll"]);
    let attempt_start = AttemptStart {
        idempotent,
        ..attempt(1)
    };
    harness.send_frame(ENTRY, FrameBody::AttemptStart(attempt_start));
    harness.send(RoleEvent::Link(LinkEvent::Closed { link: ENTRY }));
    assert_eq!(harness.count_cancels(), cancels);
}

#[test]
fn announce_until_acknowledged() {
    let mut harness = AgentHarness::new(&["payroll"]);
    harness.pop_announcements();
    harness.advance(Duration::from_millis(3_500));
    assert!(harness.pop_announcements().len() >= 3);
    harness.send_ack(false);
    harness.advance(Duration::from_millis(1_500));
    assert!(harness.pop_announcements().len() <= 1);
}

#[test]
fn ack_draining() {
    let mut harness = AgentHarness::new(&["payroll"]);
    send_start(&mut harness, 1);
    harness.send_ack(true);
    send_start(&mut harness, 2);
    assert_eq!(harness.pop_runs().len(), 1);
    let refused = harness.pop_refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Leaving);
    assert_eq!(refused.ran(), Ran::No);
    harness.send_ack(false);
    send_start(&mut harness, 3);
    assert_eq!(harness.pop_runs().len(), 1);
}

fn is_finished(harness: &AgentHarness) -> bool {
    let mut actions = harness.actions.iter();
    actions.any(|action| matches!(action, RoleAction::Finished))
}

#[rstest]
#[case::acknowledged_last(false)]
#[case::acknowledged_first(true)]
fn shutdown_finishes_requests(#[case] ack_first: bool) {
    let mut harness = AgentHarness::new(&["payroll"]);
    for sequence in 1..=3 {
        send_start(&mut harness, sequence);
    }
    harness.send_ack(false);
    harness.pop_announcements();
    harness.send(RoleEvent::Shutdown);
    assert_eq!(harness.pop_announcements()[0].0, EndpointState::Leaving);
    send_start(&mut harness, 4);
    let refused = harness.pop_refusals(ENTRY);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].reason(), RefusalReason::Leaving);
    if ack_first {
        harness.send_ack(false);
    }
    for run in 1..=3 {
        assert!(!is_finished(&harness));
        harness.send_engine_event(AgentEvent::End { run });
    }
    if !ack_first {
        assert!(
            !is_finished(&harness),
            "finished before control acknowledged the announcement"
        );
        harness.send_ack(false);
    }
    assert!(
        !is_finished(&harness),
        "finished before the last response was written"
    );
    harness.advance(Duration::from_millis(1_000));
    assert!(is_finished(&harness));
    let sent = harness.pop_sent(ENTRY);
    let ended = sent
        .iter()
        .filter(|body| matches!(body, FrameBody::AttemptEnd(_)));
    assert_eq!(ended.count(), 3);
}

// Guards against attempts that entries sent just before they learned of a shutdown and
// that met a closed link: nobody knew whether they ran.
#[test]
fn shutdown_refuses_crossing_starts() {
    let mut harness = AgentHarness::new(&["payroll"]);
    harness.send_ack(false);
    harness.send(RoleEvent::Shutdown);
    harness.send_ack(false);
    harness.advance(Duration::from_millis(200));
    assert!(!is_finished(&harness), "finished while attempts may arrive");
    send_start(&mut harness, 1);
    let refused = harness.pop_refusals(ENTRY);
    assert_eq!(refused_sequences(&refused), [1]);
    harness.advance(Duration::from_millis(1_000));
    assert!(is_finished(&harness));
}

fn send_patient_start(harness: &mut AgentHarness, sequence: u64) {
    let start = AttemptStart {
        deadline_ms: 600_000,
        ..attempt(sequence)
    };
    harness.send_frame(ENTRY, FrameBody::AttemptStart(start));
}

/// An agent whose requests last 30 s, with two running for 5 s, four waiting and
/// 60 s for its shutdown, which has begun.
fn leaving_agent() -> AgentHarness {
    let mut harness = AgentHarness::new(&["payroll"]);
    harness.send_ack(false);
    send_patient_start(&mut harness, 1);
    let run = harness.pop_runs()[0];
    harness.advance(Duration::from_secs(30));
    let data = Bytes::from_static(b"{\"usage\": {\"completion_tokens\": 100}}");
    harness.send_engine_event(AgentEvent::Part { run, data });
    harness.send_engine_event(AgentEvent::End { run });
    for sequence in 2..=7 {
        send_patient_start(&mut harness, sequence);
    }
    assert_eq!(harness.pop_runs(), [2, 3]);
    harness.advance(Duration::from_secs(5));
    assert!(harness.pop_refusals(ENTRY).is_empty());
    harness.send(RoleEvent::Shutdown);
    harness.send_ack(false);
    harness
}

fn refused_sequences(refused: &[AttemptRefused]) -> Vec<u64> {
    let is_leaving =
        |item: &AttemptRefused| item.reason() == RefusalReason::Leaving && item.ran() == Ran::No;
    assert!(refused.iter().all(is_leaving), "{refused:?}");
    let ids = refused.iter().filter_map(|item| item.id);
    ids.map(|id| id.sequence).collect()
}

// Guards against attempts that wait for most of a shutdown although they can't end
// within it: their callers were refused or cut at its limit.
#[test]
fn shutdown_returns_waiting_that_would_outlast_it() {
    let mut harness = leaving_agent();
    let refused = harness.pop_refusals(ENTRY);
    assert_eq!(refused_sequences(&refused), [6, 7]);
    harness.advance(Duration::from_secs(25));
    for run in [2, 3] {
        harness.send_engine_event(AgentEvent::End { run });
    }
    assert_eq!(harness.pop_runs(), [4, 5]);
    assert!(harness.pop_refusals(ENTRY).is_empty());
}

// Guards against attempts that are forwarded so late in a shutdown that it cuts them.
#[test]
fn shutdown_forwards_nothing_that_it_would_cut() {
    let mut harness = leaving_agent();
    harness.pop_refusals(ENTRY);
    // The running requests last longer than those before them.
    harness.advance(Duration::from_secs(29));
    assert!(harness.pop_refusals(ENTRY).is_empty());
    harness.advance(Duration::from_secs(6));
    for run in [2, 3] {
        harness.send_engine_event(AgentEvent::End { run });
    }
    assert!(harness.pop_runs().is_empty(), "forwarded with 25 s left");
    let refused = harness.pop_refusals(ENTRY);
    assert_eq!(refused_sequences(&refused), [4, 5]);
}

#[test]
fn load_reports_all_entries() {
    let mut harness = AgentHarness::new(&["payroll"]);
    harness.pop_sent(ENTRY);
    harness.pop_sent(OTHER_ENTRY);
    send_start(&mut harness, 1);
    send_start(&mut harness, 2);
    send_start(&mut harness, 3);
    harness.advance(Duration::from_secs(1));
    for link in [ENTRY, OTHER_ENTRY] {
        let sent = harness.pop_sent(link);
        let reports: Vec<_> = sent
            .iter()
            .filter_map(|body| match body {
                FrameBody::LoadReport(report) => Some(report),
                _ => None,
            })
            .collect();
        assert!((5..=10).contains(&reports.len()), "{}", reports.len());
        let last = reports[reports.len() - 1];
        assert_eq!((last.running, last.queued, last.slots), (2, 1, 2));
        assert_eq!(last.models[0].model, "payroll");
    }
}

#[test]
fn target_loads_and_announces() {
    let mut harness = AgentHarness::new(&["payroll"]);
    harness.send_ack(false);
    harness.send_target(1, &["payroll", "summary"]);
    for _ in 0..4 {
        harness.execute_orders();
        harness.advance(Duration::from_secs(1));
    }
    let (_, resident) = harness.pop_announcements().pop().unwrap();
    assert_eq!(resident, [Bytes::from("payroll"), Bytes::from("summary")]);
    assert_eq!(harness.role.ledger().committed_mib(), 600);
}

#[test]
fn target_drains_before_unload() {
    let mut harness = AgentHarness::new(&["payroll"]);
    harness.send_ack(false);
    send_start(&mut harness, 1);
    let run = harness.pop_runs()[0];
    harness.pop_announcements();
    harness.send_target(1, &[]);
    let (_, resident) = harness.pop_announcements().pop().unwrap();
    assert!(
        resident.is_empty(),
        "a draining model must leave the announcement at once"
    );
    let mut orders = Vec::new();
    for _ in 0..4 {
        harness.advance(Duration::from_secs(1));
        orders.extend(harness.execute_orders());
    }
    let is_unload = |order: &OrderKind| matches!(order, OrderKind::Unload { .. });
    assert!(
        !orders.iter().any(is_unload),
        "unloaded while a request runs"
    );
    send_start(&mut harness, 2);
    let refused = harness.pop_refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::NotResident);
    harness.send_engine_event(AgentEvent::End { run });
    assert!(harness.execute_orders().iter().any(is_unload));
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.role.ledger().committed_mib(), 0);
}

#[test]
fn kv_reserve_bounds_running() {
    let mut harness = AgentHarness::new(&["payroll"]);
    harness.send_target(1, &["payroll"]);
    send_start(&mut harness, 1);
    send_start(&mut harness, 2);
    // Two slots are free, but each request needs 60 MiB of the KV reserve of
    // 100 MiB.
    let runs = harness.pop_runs();
    assert_eq!(runs.len(), 1);
    harness.send_engine_event(AgentEvent::End { run: runs[0] });
    assert_eq!(harness.pop_runs().len(), 1);
}

/// Guards against an entry out of date that resumes a stream at an endpoint that has
/// started again, maybe with another software version.
#[rstest]
#[case::former(INCARNATION - 1)]
#[case::later(INCARNATION + 1)]
fn start_of_other_incarnation_refused(#[case] incarnation: u64) {
    let mut harness = AgentHarness::new(&["payroll"]);
    let start = AttemptStart {
        endpoint_incarnation: incarnation,
        resume_events: 2,
        ..attempt(1)
    };
    harness.send_frame(ENTRY, FrameBody::AttemptStart(start));
    assert!(harness.pop_runs().is_empty());
    let refused = harness.pop_refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::WrongIncarnation);
    assert_eq!(refused.ran(), Ran::No);
}

#[test]
fn start_deadline_unreachable() {
    let mut harness = AgentHarness::new(&["payroll"]);
    send_start(&mut harness, 1);
    let run = harness.pop_runs()[0];
    harness.now += Duration::from_secs(2);
    let data = Bytes::from_static(b"{\"usage\": {\"completion_tokens\": 100}}");
    harness.send_engine_event(AgentEvent::Part { run, data });
    harness.send_engine_event(AgentEvent::End { run });
    for sequence in 2..=6 {
        send_start(&mut harness, sequence);
    }
    let short_deadline = AttemptStart {
        deadline_ms: 1_000,
        ..attempt(7)
    };
    harness.send_frame(ENTRY, FrameBody::AttemptStart(short_deadline));
    let refused = harness.pop_refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Deadline);
    assert_eq!(refused.ran(), Ran::No);
    assert!(refused.retry_after_ms > 0);
}

#[test]
fn heavy_account_light_admitted() {
    let mut harness = AgentHarness::new(&["payroll"]);
    for sequence in 1..=20 {
        send_start(&mut harness, sequence);
    }
    let light = AttemptStart {
        account: Bytes::from_static(b"cali"),
        ..attempt(99)
    };
    harness.send_frame(OTHER_ENTRY, FrameBody::AttemptStart(light));
    assert!(harness.pop_refusals(OTHER_ENTRY).is_empty());
    let run = harness.pop_runs()[0];
    harness.send_engine_event(AgentEvent::End { run });
    let next = harness.pop_runs()[0];
    harness.send_engine_event(AgentEvent::End { run: next });
    let sent = harness.pop_sent(OTHER_ENTRY);
    assert!(sent
        .iter()
        .any(|body| matches!(body, FrameBody::AttemptEnd(_))));
}

#[test]
fn heavy_account_slots_reserved() {
    let mut harness = AgentHarness::with_slots(&["payroll"], 16);
    let light = |sequence| AttemptStart {
        account: Bytes::from_static(b"cali"),
        ..attempt(sequence)
    };
    // The only active account may use all slots.
    for sequence in 1..=20 {
        send_start(&mut harness, sequence);
    }
    assert_eq!(harness.pop_runs().len(), 16);
    harness.send_frame(ENTRY, FrameBody::AttemptStart(light(50)));
    for run in 1..=4 {
        harness.send_engine_event(AgentEvent::End { run });
    }
    // Of the four released slots the other account gets one, the first account
    // one, and two stay reserved for the other account.
    assert_eq!(harness.pop_runs().len(), 2);
    harness.send_frame(ENTRY, FrameBody::AttemptStart(light(51)));
    harness.send_frame(ENTRY, FrameBody::AttemptStart(light(52)));
    assert_eq!(harness.pop_runs().len(), 2);
}

#[rstest]
#[case::one_part(&["data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"], 2)]
#[case::split_lines(&["da", "ta: {\"a\":1}\n", "\ndata:{\"a\":2}\n\ndata: [DO", "NE]\n\n"], 2)]
#[case::comment(&[": ping\n\ndata: {\"a\":1}\n\n"], 1)]
fn end_counts_events(#[case] parts: &[&'static str], #[case] tokens: u64) {
    let mut harness = AgentHarness::new(&["payroll"]);
    let streamed = AttemptStart {
        stream: true,
        ..attempt(1)
    };
    harness.send_frame(ENTRY, FrameBody::AttemptStart(streamed));
    let run = harness.pop_runs()[0];
    for part in parts {
        let data = Bytes::from_static(part.as_bytes());
        harness.send_engine_event(AgentEvent::Part { run, data });
    }
    harness.send_engine_event(AgentEvent::End { run });
    let sent = harness.pop_sent(ENTRY);
    let end = sent.iter().find_map(|body| match body {
        FrameBody::AttemptEnd(end) => Some(end.tokens),
        _ => None,
    });
    assert_eq!(end, Some(tokens));
}
