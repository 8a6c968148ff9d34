//! The state machine of the agent role.
//!
//! Frames of entries and control, timers and shutdown are taken here; what the
//! endpoint says is taken in `engine_events`.

mod engine_events;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{
    LinkCommand, LinkEvent, LinkId, LogLevel, MetricKind, RoleAction, RoleEvent, RoleMachine,
    SeedDialer,
};
use mulberrywell_settings::{EndpointKind, EndpointSettings};
use mulberrywell_wire::endpoint::{AnnounceAck, TargetOrder};
use mulberrywell_wire::request::{AttemptCancel, AttemptStart, Ran, RefusalReason};
use mulberrywell_wire::{FrameBody, PeerRole};

use crate::agent_frames::{
    announcement, engine_request, resident_models, state_report, AttemptRefusal,
};
use crate::announcer::Announcer;
use crate::attempt_gate::{AttemptGate, CancelOutcome, GateOutcome, GateRefusal, WaitingAttempt};
use crate::load_reporter::{LoadReporter, ReportContext};
use crate::memory_ledger::{FenceRule, MemoryLedger};
use crate::{AgentAction, AgentEvent, EngineState, OrderReconciler};

/// Interval of state reports, which are also heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the endpoint is asked for its state.
const STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a question for the state counts as lost.
const STATE_LIMIT: Duration = Duration::from_secs(30);

/// Time that control gets to acknowledge that the endpoint leaves.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// What the role needs to start.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Settings of the endpoint.
    pub settings: EndpointSettings,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
    /// Address that entries connect to.
    pub advertise: SocketAddr,
    /// Number of this start of the process; greater than any earlier one.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: Bytes,
    /// Region.
    pub region: Bytes,
}

type Actions = Vec<RoleAction<AgentAction>>;

/// The agent role.
#[derive(Debug)]
pub struct AgentRole {
    config: AgentConfig,
    dialer: SeedDialer,
    gate: AttemptGate,
    orders: OrderReconciler,
    announcer: Announcer,
    reporter: LoadReporter,
    /// None until the endpoint answered once, and while it does not answer.
    state: Option<EngineState>,
    /// Models of the last announcement, by name.
    announced: Vec<Bytes>,
    next_link: LinkId,
    next_report: Instant,
    next_state: Instant,
    /// When the endpoint was asked for its state, until it answers.
    state_asked: Option<Instant>,
    report_sequence: u64,
    /// An operator drains the endpoint; nothing is admitted.
    draining: bool,
    /// Set once a graceful shutdown began; nothing is admitted from then on.
    leaving: Option<Instant>,
    finished: bool,
    /// Reused for commands of the load reporter.
    commands: Vec<LinkCommand>,
}

impl AgentRole {
    /// Creates the role; it connects with its first timer.
    pub fn new(config: AgentConfig, now: Instant) -> Self {
        let settings = &config.settings;
        let rule = if settings.checks_fencing {
            FenceRule::Token
        } else {
            FenceRule::Lifetime(settings.order_lifetime)
        };
        let capacity = settings.memory_mib.saturating_sub(settings.kv_reserve_mib);
        let ledger = MemoryLedger::new(capacity, rule, now);
        AgentRole {
            dialer: SeedDialer::new(config.seeds.clone(), config.incarnation, now),
            gate: AttemptGate::new(settings.slots as usize, settings.queue as usize),
            orders: OrderReconciler::new(ledger),
            announcer: Announcer::new(now),
            reporter: LoadReporter::new(settings.load_interval, now),
            state: None,
            announced: Vec::new(),
            next_link: 2,
            next_report: now,
            next_state: now,
            state_asked: None,
            report_sequence: 0,
            draining: false,
            leaving: None,
            finished: false,
            commands: Vec::new(),
            config,
        }
    }

    /// Returns the memory ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        self.orders.ledger()
    }

    fn take_start(
        &mut self,
        now: Instant,
        link: LinkId,
        start: AttemptStart,
        actions: &mut Actions,
    ) {
        let id = start.id;
        if let Some(reason) = self.refusal_of(now, &start) {
            actions.push(AttemptRefusal::not_run(reason).send(link, id));
            return;
        }
        match self.gate.enqueue(now, link, start) {
            GateOutcome::Waiting => {}
            GateOutcome::Repeated => {
                actions.push(RoleAction::Metric(MetricKind::Count, "agent.repeated", 1));
            }
            GateOutcome::Refused(refusal) => actions.push(gate_refusal(refusal).send(link, id)),
            GateOutcome::Replaced(gone, refusal) => {
                actions.push(gate_refusal(refusal).send(gone.link, gone.start.id));
            }
        }
        self.hand_over(now, actions);
    }

    fn refusal_of(&self, now: Instant, start: &AttemptStart) -> Option<RefusalReason> {
        if self.takes_no_work() {
            return Some(RefusalReason::Leaving);
        }
        if start.endpoint != self.config.settings.name
            || start.endpoint_incarnation != self.config.incarnation
        {
            return Some(RefusalReason::WrongIncarnation);
        }
        if self.state.is_none() {
            return Some(RefusalReason::EngineDown);
        }
        let resident = !self.is_engine() || self.orders.takes_requests(now, &start.model);
        (!resident).then_some(RefusalReason::NotResident)
    }

    /// Hands waiting attempts over while there are slots and KV reserve.
    fn hand_over(&mut self, now: Instant, actions: &mut Actions) {
        for waiting in self.gate.drop_waiting(|waiting| waiting.deadline <= now) {
            refuse_waiting(&waiting, RefusalReason::Deadline, actions);
        }
        let limit = self.kv_limit_mib();
        let orders = &self.orders;
        while let Some((run, waiting)) = self.gate.next_run(now, limit, |m| orders.kv_mib(m)) {
            let request = engine_request(now, waiting);
            actions.push(RoleAction::Own(AgentAction::Run { run, request }));
        }
    }

    /// Returns the memory for the KV cache of running requests: the reserve,
    /// less what models hold past their capacity.
    fn kv_limit_mib(&self) -> u64 {
        let settings = &self.config.settings;
        let free = settings
            .memory_mib
            .saturating_sub(self.ledger().committed_mib());
        settings.kv_reserve_mib.min(free)
    }

    fn take_cancel(&mut self, now: Instant, cancel: &AttemptCancel, actions: &mut Actions) {
        let Some(id) = cancel.id else {
            return;
        };
        match self.gate.cancel(&id) {
            CancelOutcome::Dropped(waiting) => {
                refuse_waiting(&waiting, RefusalReason::Cancelled, actions);
                self.step_orders(now, actions);
            }
            CancelOutcome::Running(run) => {
                actions.push(RoleAction::Own(AgentAction::Cancel { run }));
            }
            CancelOutcome::NotHere => {}
        }
    }

    /// Gives the orders that are missing and announces what changed by them.
    fn step_orders(&mut self, now: Instant, actions: &mut Actions) {
        if let Some(state) = self.state.as_ref().filter(|_| self.leaving.is_none()) {
            let uses = self.gate.model_use();
            let in_use = |model: &Bytes| {
                let used = uses.get(model).copied().unwrap_or_default();
                (used.running + used.waiting) as usize
            };
            for order in self.orders.step(now, state, in_use) {
                let text = format!("order {}: {:?}", order.order, order.kind);
                actions.push(RoleAction::Log(LogLevel::Info, text));
                actions.push(RoleAction::Metric(MetricKind::Count, "agent.orders", 1));
                actions.push(RoleAction::Own(AgentAction::Order(order)));
            }
        }
        if self.is_engine() && resident_models(self.ledger()) != self.announced {
            self.announcer.changed(now);
            self.announce(now, actions);
            self.next_report = now;
        }
    }

    fn take_link(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, peer } => {
                if self.dialer.opened(link) {
                    self.announcer.link_opened(now);
                    self.announce(now, actions);
                } else if peer.role == PeerRole::Entry {
                    self.reporter.link_opened(now, link);
                }
            }
            LinkEvent::Closed { link } => {
                if !self.dialer.closed(now, link) {
                    self.entry_gone(now, link, actions);
                }
            }
            LinkEvent::Frame { link, body } => match body {
                FrameBody::AttemptStart(start) => self.take_start(now, link, start, actions),
                FrameBody::AttemptCancel(cancel) => self.take_cancel(now, &cancel, actions),
                FrameBody::AnnounceAck(ack) => self.take_ack(now, &ack, actions),
                FrameBody::TargetOrder(order) => self.take_target(now, order, actions),
                _ => {}
            },
        }
    }

    /// Drops the waiting attempts of a closed link and cancels the running
    /// ones that may be repeated; the others run to their end.
    fn entry_gone(&mut self, now: Instant, link: LinkId, actions: &mut Actions) {
        self.reporter.link_closed(link);
        self.gate.drop_waiting(|waiting| waiting.link == link);
        for run in self.gate.runs_of_link(link) {
            if self
                .gate
                .running_mut(run)
                .is_some_and(|item| item.idempotent)
            {
                actions.push(RoleAction::Own(AgentAction::Cancel { run }));
            }
        }
        self.step_orders(now, actions);
    }

    fn take_ack(&mut self, now: Instant, ack: &AnnounceAck, actions: &mut Actions) {
        if ack.incarnation != self.config.incarnation {
            if !ack.accepted {
                let text = format!("a later incarnation {} is registered", ack.incarnation);
                actions.push(RoleAction::Log(LogLevel::Error, text));
                self.finished = true;
                actions.push(RoleAction::Finished);
            }
            return;
        }
        if !ack.accepted {
            return;
        }
        self.announcer.take_ack(now);
        self.orders.take_registration(ack.fencing);
        if self.draining != ack.draining {
            self.draining = ack.draining;
            self.reporter.changed(now);
        }
        self.step_orders(now, actions);
    }

    fn take_target(&mut self, now: Instant, order: TargetOrder, actions: &mut Actions) {
        let own = order.endpoint == self.config.settings.name
            && order.incarnation == self.config.incarnation;
        if !own || !self.orders.take_target(order) {
            actions.push(RoleAction::Metric(
                MetricKind::Count,
                "agent.stale_targets",
                1,
            ));
            return;
        }
        self.step_orders(now, actions);
        self.next_report = now;
    }

    fn announce(&mut self, now: Instant, actions: &mut Actions) {
        let Some(link) = self.dialer.open_link() else {
            return;
        };
        if self.state.is_none() {
            return;
        }
        self.announced = resident_models(self.ledger());
        self.announcer.sent(now);
        let body = announcement(&self.config, &self.announced, self.leaving.is_some());
        actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
    }

    fn report(&mut self, actions: &mut Actions) {
        let (Some(link), Some(state)) = (self.dialer.open_link(), &self.state) else {
            return;
        };
        self.report_sequence += 1;
        let leaving = self.takes_no_work();
        let role = state.role.clone();
        let body = state_report(
            &self.config,
            &self.orders,
            role,
            self.gate.tokens_per_second(),
            leaving,
            self.report_sequence,
        );
        actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
        let gauges = [
            ("agent.running", self.gate.running_len() as u64),
            ("agent.waiting", self.gate.waiting_len() as u64),
            ("agent.committed_mib", self.ledger().committed_mib()),
        ];
        for (name, value) in gauges {
            actions.push(RoleAction::Metric(MetricKind::Gauge, name, value));
        }
    }

    fn report_load(&mut self, now: Instant, actions: &mut Actions) {
        let prefixes = self.state.as_ref().map_or(&[][..], |state| &state.prefixes);
        let context = ReportContext {
            endpoint: &self.config.settings.name,
            incarnation: self.config.incarnation,
            slots: self.config.settings.slots,
            prefixes,
            leaving: self.leaving.is_some() || self.draining,
        };
        self.reporter
            .report(now, &self.gate, context, &mut self.commands);
        actions.extend(self.commands.drain(..).map(RoleAction::Link));
    }

    fn take_timer(&mut self, now: Instant, actions: &mut Actions) {
        if let Some(address) = self.dialer.dial(now, self.next_link) {
            let link = self.next_link;
            self.next_link += 2;
            actions.push(RoleAction::Link(LinkCommand::Dial { link, address }));
        }
        if self.announcer.is_due(now) {
            self.announce(now, actions);
        }
        if self.next_report <= now {
            self.next_report = now + REPORT_INTERVAL;
            self.report(actions);
        }
        self.hand_over(now, actions);
        self.step_orders(now, actions);
    }

    /// Asks for the endpoint's state, one question at a time.
    fn read_state(&mut self, now: Instant, actions: &mut Actions) {
        let lost = |asked: Instant| now >= asked + STATE_LIMIT;
        if self.next_state > now || !self.state_asked.is_none_or(lost) {
            return;
        }
        self.next_state = now + STATE_INTERVAL;
        self.state_asked = Some(now);
        self.orders.ledger_mut().begin_read(now);
        actions.push(RoleAction::Own(AgentAction::ReadState));
    }

    fn shut_down(&mut self, now: Instant, actions: &mut Actions) {
        if self.leaving.is_none() {
            self.leaving = Some(now);
            self.announcer.changed(now);
            self.announce(now, actions);
            self.reporter.changed(now);
        }
    }

    fn check_left(&mut self, now: Instant, actions: &mut Actions) {
        let Some(since) = self.leaving.filter(|_| !self.finished) else {
            return;
        };
        let idle = self.gate.running_len() == 0 && self.gate.waiting_len() == 0;
        let known = self.announcer.is_acknowledged() || now >= since + LEAVE_LIMIT;
        let over = now >= since + self.config.settings.shutdown_grace;
        if over || (idle && known) {
            for waiting in self.gate.drop_waiting(|_| true) {
                refuse_waiting(&waiting, RefusalReason::Leaving, actions);
            }
            self.finished = true;
            actions.push(RoleAction::Finished);
        }
    }

    fn takes_no_work(&self) -> bool {
        self.leaving.is_some() || self.draining
    }

    fn is_engine(&self) -> bool {
        self.config.settings.kind == EndpointKind::Engine
    }
}

impl RoleMachine for AgentRole {
    type Event = AgentEvent;
    type Action = AgentAction;

    fn handle(&mut self, now: Instant, event: RoleEvent<AgentEvent>, actions: &mut Actions) {
        match event {
            RoleEvent::Link(event) => self.take_link(now, event, actions),
            RoleEvent::Timer => self.take_timer(now, actions),
            RoleEvent::Shutdown => self.shut_down(now, actions),
            // This role has no listener and speaks to its engine by its port.
            RoleEvent::Exchange(_) | RoleEvent::Caller(..) => {}
            RoleEvent::Own(event) => self.take_engine(now, event, actions),
        }
        self.read_state(now, actions);
        self.report_load(now, actions);
        self.check_left(now, actions);
    }

    fn deadline(&self) -> Option<Instant> {
        let read = self.state_asked.map(|asked| asked + STATE_LIMIT);
        let can_announce = self.dialer.open_link().is_some() && self.state.is_some();
        [
            self.dialer.deadline(),
            self.gate.deadline(),
            self.reporter.deadline(),
            can_announce.then(|| self.announcer.deadline()),
            Some(read.unwrap_or(self.next_state)),
            Some(self.next_report),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn gate_refusal(refusal: GateRefusal) -> AttemptRefusal {
    AttemptRefusal {
        reason: refusal.reason,
        // A copy of an attempt that was taken in tells nothing of the first.
        ran: match refusal.reason {
            RefusalReason::Duplicate => Ran::Unknown,
            _ => Ran::No,
        },
        retry_after: refusal.retry_after,
    }
}

fn refuse_waiting(waiting: &WaitingAttempt, reason: RefusalReason, actions: &mut Actions) {
    actions.push(AttemptRefusal::not_run(reason).send(waiting.link, waiting.start.id));
}
