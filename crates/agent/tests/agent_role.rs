//! The agent role as a whole, driven event by event.

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

/// An agent whose endpoint, control instance and entries are the test.
struct AgentBench {
    now: Instant,
    role: AgentRole,
    control: LinkId,
    engine: EngineState,
    actions: Vec<RoleAction<AgentAction>>,
}

impl AgentBench {
    fn new(models: &[&str]) -> Self {
        let now = Instant::now();
        let settings = AgentSettings::parse("agent.toml", SETTINGS).unwrap();
        let config = AgentConfig {
            settings: settings.endpoint,
            seeds: settings.instance.seeds,
            advertise: settings.instance.advertise,
            incarnation: INCARNATION,
            zone: settings.instance.zone,
            region: settings.instance.region,
        };
        let mut bench = AgentBench {
            now,
            role: AgentRole::new(config, now),
            control: 0,
            engine: EngineState::default(),
            actions: Vec::new(),
        };
        bench.engine.models = models.iter().map(|name| resident(name, 300)).collect();
        bench.send(RoleEvent::Timer);
        bench.control = bench.dialed();
        bench.open(bench.control, PeerRole::Control);
        bench.open(ENTRY, PeerRole::Entry);
        bench.open(OTHER_ENTRY, PeerRole::Entry);
        bench.tell_state();
        bench
    }

    fn send(&mut self, event: RoleEvent<AgentEvent>) {
        self.role.handle(self.now, event, &mut self.actions);
    }

    fn open(&mut self, link: LinkId, role: PeerRole) {
        let peer = PeerIdentity {
            role,
            instance: Bytes::from_static(b"peer"),
            incarnation: 1,
            zone: Bytes::new(),
        };
        self.send(RoleEvent::Link(LinkEvent::Opened { link, peer }));
    }

    fn frame(&mut self, link: LinkId, body: FrameBody) {
        self.send(RoleEvent::Link(LinkEvent::Frame { link, body }));
    }

    fn engine(&mut self, event: AgentEvent) {
        self.send(RoleEvent::Own(event));
    }

    fn tell_state(&mut self) {
        self.engine(AgentEvent::State(Some(self.engine.clone())));
    }

    /// Lets time pass; the engine answers questions for its state.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            if self.role.deadline().is_some_and(|at| at <= self.now) {
                self.send(RoleEvent::Timer);
            }
            let asked = |action: &RoleAction<AgentAction>| {
                matches!(action, RoleAction::Own(AgentAction::ReadState))
            };
            if self.actions.iter().any(asked) {
                self.actions.retain(|action| !asked(action));
                self.tell_state();
            }
        }
    }

    fn dialed(&mut self) -> LinkId {
        let mut actions = self.actions.iter();
        let dial = actions.find_map(|action| match action {
            RoleAction::Link(LinkCommand::Dial { link, .. }) => Some(*link),
            _ => None,
        });
        dial.unwrap()
    }

    /// Takes the frames that were sent on a link.
    fn sent(&mut self, on: LinkId) -> Vec<FrameBody> {
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

    fn refusals(&mut self, on: LinkId) -> Vec<AttemptRefused> {
        let sent = self.sent(on).into_iter();
        sent.filter_map(|body| match body {
            FrameBody::AttemptRefused(refused) => Some(refused),
            _ => None,
        })
        .collect()
    }

    /// Takes the runs that were handed to the endpoint.
    fn runs(&mut self) -> Vec<RunId> {
        let actions = std::mem::take(&mut self.actions);
        let mut runs = Vec::new();
        for action in actions {
            match action {
                RoleAction::Own(AgentAction::Run { run, .. }) => runs.push(run),
                other => self.actions.push(other),
            }
        }
        runs
    }

    fn cancels(&self) -> usize {
        let cancel =
            |action: &&RoleAction<_>| matches!(action, RoleAction::Own(AgentAction::Cancel { .. }));
        self.actions.iter().filter(cancel).count()
    }

    /// Takes the orders that were given; the engine does them at once.
    fn do_orders(&mut self) -> Vec<OrderKind> {
        let actions = std::mem::take(&mut self.actions);
        let mut orders = Vec::new();
        for action in actions {
            match action {
                RoleAction::Own(AgentAction::Order(order)) => orders.push(order),
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
            self.engine(AgentEvent::OrderEnded {
                order: order.order,
                outcome: OrderOutcome::Done,
            });
        }
        orders.into_iter().map(|order| order.kind).collect()
    }

    fn ack(&mut self, draining: bool) {
        let body = FrameBody::AnnounceAck(AnnounceAck {
            incarnation: INCARNATION,
            fencing: 5,
            accepted: true,
            draining,
        });
        self.frame(self.control, body);
    }

    fn target(&mut self, revision: u64, models: &[&str]) {
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
        self.frame(self.control, body);
    }

    fn announcements(&mut self) -> Vec<(EndpointState, Vec<Bytes>)> {
        let sent = self.sent(self.control).into_iter();
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

fn start(bench: &mut AgentBench, sequence: u64) {
    bench.frame(ENTRY, FrameBody::AttemptStart(attempt(sequence)));
}

fn cancel(bench: &mut AgentBench, sequence: u64) {
    let id = attempt(sequence).id;
    bench.frame(ENTRY, FrameBody::AttemptCancel(AttemptCancel { id }));
}

#[test]
fn start_repeated_while_running() {
    let mut bench = AgentBench::new(&["payroll"]);
    start(&mut bench, 1);
    start(&mut bench, 1);
    let runs = bench.runs();
    assert_eq!(runs.len(), 1);
    assert!(bench.refusals(ENTRY).is_empty());
    bench.engine(AgentEvent::End { run: runs[0] });
    let sent = bench.sent(ENTRY);
    assert!(sent
        .iter()
        .any(|body| matches!(body, FrameBody::AttemptEnd(end) if end.whole)));
}

#[test]
fn start_repeated_after_end() {
    let mut bench = AgentBench::new(&["payroll"]);
    start(&mut bench, 1);
    let run = bench.runs()[0];
    bench.engine(AgentEvent::End { run });
    start(&mut bench, 1);
    assert!(bench.runs().is_empty());
    let refused = bench.refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Duplicate);
    assert_eq!(refused.ran(), Ran::Unknown);
}

#[test]
fn cancel_before_start() {
    let mut bench = AgentBench::new(&["payroll"]);
    cancel(&mut bench, 1);
    start(&mut bench, 1);
    assert!(bench.runs().is_empty());
    let refused = bench.refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Cancelled);
    assert_eq!(refused.ran(), Ran::No);
}

#[rstest]
#[case::before_first_byte(false, Ran::No)]
#[case::after_first_byte(true, Ran::Unknown)]
fn cancel_races_hand_over(#[case] sent: bool, #[case] ran: Ran) {
    let mut bench = AgentBench::new(&["payroll"]);
    start(&mut bench, 1);
    let run = bench.runs()[0];
    cancel(&mut bench, 1);
    assert_eq!(bench.cancels(), 1);
    assert!(
        bench.refusals(ENTRY).is_empty(),
        "the endpoint has not said"
    );
    bench.engine(AgentEvent::Failed { run, sent });
    let refused = bench.refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Cancelled);
    assert_eq!(refused.ran(), ran);
}

#[rstest]
#[case::idempotent(true, 1)]
#[case::not_idempotent(false, 0)]
fn entry_gone_running(#[case] idempotent: bool, #[case] cancels: usize) {
    let mut bench = AgentBench::new(&["payroll"]);
    let begun = AttemptStart {
        idempotent,
        ..attempt(1)
    };
    bench.frame(ENTRY, FrameBody::AttemptStart(begun));
    bench.send(RoleEvent::Link(LinkEvent::Closed { link: ENTRY }));
    assert_eq!(bench.cancels(), cancels);
}

#[test]
fn announce_until_acknowledged() {
    let mut bench = AgentBench::new(&["payroll"]);
    bench.announcements();
    bench.pass(Duration::from_millis(3_500));
    assert!(bench.announcements().len() >= 3);
    bench.ack(false);
    bench.pass(Duration::from_millis(1_500));
    assert!(bench.announcements().len() <= 1);
}

#[test]
fn ack_draining() {
    let mut bench = AgentBench::new(&["payroll"]);
    start(&mut bench, 1);
    bench.ack(true);
    start(&mut bench, 2);
    assert_eq!(bench.runs().len(), 1);
    let refused = bench.refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Leaving);
    assert_eq!(refused.ran(), Ran::No);
    bench.ack(false);
    start(&mut bench, 3);
    assert_eq!(bench.runs().len(), 1);
}

#[rstest]
#[case::acknowledged_last(false)]
#[case::acknowledged_first(true)]
fn shutdown_finishes_requests(#[case] ack_first: bool) {
    let mut bench = AgentBench::new(&["payroll"]);
    for sequence in 1..=3 {
        start(&mut bench, sequence);
    }
    bench.ack(false);
    bench.announcements();
    bench.send(RoleEvent::Shutdown);
    assert_eq!(bench.announcements()[0].0, EndpointState::Leaving);
    start(&mut bench, 4);
    let refused = bench.refusals(ENTRY);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].reason(), RefusalReason::Leaving);
    let is_finished = |bench: &AgentBench| {
        bench
            .actions
            .iter()
            .any(|a| matches!(a, RoleAction::Finished))
    };
    if ack_first {
        bench.ack(false);
    }
    for run in 1..=3 {
        assert!(!is_finished(&bench));
        bench.engine(AgentEvent::End { run });
    }
    if !ack_first {
        assert!(!is_finished(&bench), "control does not know yet");
        bench.ack(false);
    }
    assert!(is_finished(&bench));
    let sent = bench.sent(ENTRY);
    let ended = sent
        .iter()
        .filter(|body| matches!(body, FrameBody::AttemptEnd(_)));
    assert_eq!(ended.count(), 3);
}

#[test]
fn load_reports_all_entries() {
    let mut bench = AgentBench::new(&["payroll"]);
    bench.sent(ENTRY);
    bench.sent(OTHER_ENTRY);
    start(&mut bench, 1);
    start(&mut bench, 2);
    start(&mut bench, 3);
    bench.pass(Duration::from_secs(1));
    for link in [ENTRY, OTHER_ENTRY] {
        let sent = bench.sent(link);
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
    let mut bench = AgentBench::new(&["payroll"]);
    bench.ack(false);
    bench.target(1, &["payroll", "summary"]);
    for _ in 0..4 {
        bench.do_orders();
        bench.pass(Duration::from_secs(1));
    }
    let (_, resident) = bench.announcements().pop().unwrap();
    assert_eq!(resident, [Bytes::from("payroll"), Bytes::from("summary")]);
    assert_eq!(bench.role.ledger().committed_mib(), 600);
}

#[test]
fn target_drains_before_unload() {
    let mut bench = AgentBench::new(&["payroll"]);
    bench.ack(false);
    start(&mut bench, 1);
    let run = bench.runs()[0];
    bench.announcements();
    bench.target(1, &[]);
    let (_, resident) = bench.announcements().pop().unwrap();
    assert!(resident.is_empty(), "out of the announcement at once");
    let mut orders = Vec::new();
    for _ in 0..4 {
        bench.pass(Duration::from_secs(1));
        orders.extend(bench.do_orders());
    }
    let is_unload = |order: &OrderKind| matches!(order, OrderKind::Unload { .. });
    assert!(!orders.iter().any(is_unload), "a request runs");
    start(&mut bench, 2);
    let refused = bench.refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::NotResident);
    bench.engine(AgentEvent::End { run });
    assert!(bench.do_orders().iter().any(is_unload));
    bench.pass(Duration::from_secs(2));
    assert_eq!(bench.role.ledger().committed_mib(), 0);
}

#[test]
fn kv_reserve_bounds_running() {
    let mut bench = AgentBench::new(&["payroll"]);
    bench.target(1, &["payroll"]);
    start(&mut bench, 1);
    start(&mut bench, 2);
    // Two slots, but 60 MiB of KV cache for each in a reserve of 100 MiB.
    let runs = bench.runs();
    assert_eq!(runs.len(), 1);
    bench.engine(AgentEvent::End { run: runs[0] });
    assert_eq!(bench.runs().len(), 1);
}

#[test]
fn start_deadline_out_of_reach() {
    let mut bench = AgentBench::new(&["payroll"]);
    start(&mut bench, 1);
    let run = bench.runs()[0];
    bench.now += Duration::from_secs(2);
    let data = Bytes::from_static(b"{\"usage\": {\"completion_tokens\": 100}}");
    bench.engine(AgentEvent::Part { run, data });
    bench.engine(AgentEvent::End { run });
    for sequence in 2..=6 {
        start(&mut bench, sequence);
    }
    let late = AttemptStart {
        deadline_ms: 1_000,
        ..attempt(7)
    };
    bench.frame(ENTRY, FrameBody::AttemptStart(late));
    let refused = bench.refusals(ENTRY).pop().unwrap();
    assert_eq!(refused.reason(), RefusalReason::Deadline);
    assert_eq!(refused.ran(), Ran::No);
    assert!(refused.retry_after_ms > 0);
}

#[test]
fn heavy_account_leaves_room() {
    let mut bench = AgentBench::new(&["payroll"]);
    for sequence in 1..=20 {
        start(&mut bench, sequence);
    }
    let light = AttemptStart {
        account: Bytes::from_static(b"cali"),
        ..attempt(99)
    };
    bench.frame(OTHER_ENTRY, FrameBody::AttemptStart(light));
    assert!(bench.refusals(OTHER_ENTRY).is_empty());
    let run = bench.runs()[0];
    bench.engine(AgentEvent::End { run });
    let next = bench.runs()[0];
    bench.engine(AgentEvent::End { run: next });
    let sent = bench.sent(OTHER_ENTRY);
    assert!(sent
        .iter()
        .any(|body| matches!(body, FrameBody::AttemptEnd(_))));
}

#[rstest]
#[case::whole(&["data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"], 2)]
#[case::cut(&["da", "ta: {\"a\":1}\n", "\ndata:{\"a\":2}\n\ndata: [DO", "NE]\n\n"], 2)]
#[case::comment(&[": ping\n\ndata: {\"a\":1}\n\n"], 1)]
fn end_counts_events(#[case] parts: &[&'static str], #[case] tokens: u64) {
    let mut bench = AgentBench::new(&["payroll"]);
    let streamed = AttemptStart {
        stream: true,
        ..attempt(1)
    };
    bench.frame(ENTRY, FrameBody::AttemptStart(streamed));
    let run = bench.runs()[0];
    for part in parts {
        let data = Bytes::from_static(part.as_bytes());
        bench.engine(AgentEvent::Part { run, data });
    }
    bench.engine(AgentEvent::End { run });
    let sent = bench.sent(ENTRY);
    let end = sent.iter().find_map(|body| match body {
        FrameBody::AttemptEnd(end) => Some(end.tokens),
        _ => None,
    });
    assert_eq!(end, Some(tokens));
}
