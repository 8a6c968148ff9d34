//! The state machine of the agent role.
//!
//! This module handles frames from entries and control, timers and shutdown;
//! `engine_events` handles the events of the endpoint.

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
use mulberrywell_wire::request::{AttemptCancel, AttemptStart, RefusalReason};
use mulberrywell_wire::{FrameBody, PeerRole};

use crate::agent_frames::{
    announcement, engine_request, is_reply, refuse_waiting, resident_models, state_report,
    to_refusal, AttemptRefusal,
};
use crate::announcer::Announcer;
use crate::attempt_scheduler::{AttemptScheduler, CancelOutcome, QueueOutcome};
use crate::load_reporter::{LoadReporter, ReportContext};
use crate::memory_ledger::{FenceRule, MemoryLedger};
use crate::{AgentAction, AgentEvent, EngineState, OrderReconciler};

/// Interval of state reports, which are also heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of queries for the endpoint's state.
const STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an unanswered query for the state counts as lost.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that shutdown waits for control to acknowledge that the endpoint leaves.
const LEAVE_ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the begin of a shutdown and after the last frame to an entry in which
/// attempts that cross the leave are refused and frames are written.
const CROSSING_TIME: Duration = Duration::from_millis(500);

/// Configuration of the role.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// Settings of the endpoint.
    pub settings: EndpointSettings,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
    /// Address that entries connect to.
    pub advertise: SocketAddr,
    /// Incarnation of this process; greater than that of any earlier one.
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
    scheduler: AttemptScheduler,
    orders: OrderReconciler,
    announcer: Announcer,
    reporter: LoadReporter,
    /// Last reported state; none until the endpoint responded once, and while it
    /// does not respond.
    state: Option<EngineState>,
    /// Models of the last announcement, by name.
    announced_models: Vec<Bytes>,
    next_link: LinkId,
    next_report: Instant,
    next_state_read: Instant,
    /// When the pending query for the endpoint's state was sent.
    state_requested_at: Option<Instant>,
    report_sequence: u64,
    /// An operator drains the endpoint; no attempt is admitted.
    draining: bool,
    /// Start of a graceful shutdown, from which on no attempt is admitted.
    leaving_since: Option<Instant>,
    /// When the last frame about an attempt was sent to an entry.
    last_reply: Instant,
    finished: bool,
    /// Buffer that is reused for the load reporter's commands.
    commands: Vec<LinkCommand>,
}

impl AgentRole {
    /// Creates the role; it connects to control on its first timer event.
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
            scheduler: AttemptScheduler::new(settings.slots as usize, settings.queue as usize),
            orders: OrderReconciler::new(ledger),
            announcer: Announcer::new(now),
            reporter: LoadReporter::new(settings.load_interval, now),
            state: None,
            announced_models: Vec::new(),
            next_link: 2,
            next_report: now,
            next_state_read: now,
            state_requested_at: None,
            report_sequence: 0,
            draining: false,
            leaving_since: None,
            last_reply: now,
            finished: false,
            commands: Vec::new(),
            config,
        }
    }

    /// Returns the memory ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        self.orders.ledger()
    }

    fn handle_start(
        &mut self,
        now: Instant,
        link: LinkId,
        start: AttemptStart,
        actions: &mut Actions,
    ) {
        let id = start.id;
        if let Some(reason) = self.refusal_reason(now, &start) {
            actions.push(AttemptRefusal::not_run(reason).to_action(link, id));
            return;
        }
        match self.scheduler.enqueue(now, link, start) {
            QueueOutcome::Waiting => {}
            QueueOutcome::Repeated => {
                actions.push(RoleAction::Metric(MetricKind::Count, "agent.repeated", 1));
            }
            QueueOutcome::Refused(refusal) => actions.push(to_refusal(refusal).to_action(link, id)),
            QueueOutcome::Replaced(evicted, refusal) => {
                actions.push(to_refusal(refusal).to_action(evicted.link, evicted.start.id));
            }
        }
        self.forward_waiting(now, actions);
    }

    fn refusal_reason(&self, now: Instant, start: &AttemptStart) -> Option<RefusalReason> {
        if self.is_rejecting() {
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
        let resident = !self.is_engine() || self.orders.accepts_requests(now, &start.model);
        (!resident).then_some(RefusalReason::NotResident)
    }

    /// Refuses waiting attempts past their deadline, and in a shutdown those that
    /// it would cut; forwards others while slots and KV reserve are free.
    fn forward_waiting(&mut self, now: Instant, actions: &mut Actions) {
        for waiting in self
            .scheduler
            .remove_waiting(|waiting| waiting.deadline <= now)
        {
            refuse_waiting(&waiting, RefusalReason::Deadline, actions);
        }
        if let Some(end) = self.shutdown_end() {
            for waiting in self.scheduler.remove_ending_after(now, end) {
                refuse_waiting(&waiting, RefusalReason::Leaving, actions);
            }
        }
        let limit = self.kv_limit_mib();
        let orders = &self.orders;
        while let Some((run, waiting)) = self.scheduler.start_next(now, limit, |m| orders.kv_mib(m))
        {
            let request = engine_request(now, waiting);
            actions.push(RoleAction::RoleSpecific(AgentAction::Run { run, request }));
        }
    }

    /// Returns the memory for the KV cache of running requests in MiB: the
    /// reserve, less the memory that models use beyond their capacity.
    fn kv_limit_mib(&self) -> u64 {
        let settings = &self.config.settings;
        let free = settings
            .memory_mib
            .saturating_sub(self.ledger().committed_mib());
        settings.kv_reserve_mib.min(free)
    }

    fn handle_cancel(&mut self, now: Instant, cancel: &AttemptCancel, actions: &mut Actions) {
        let Some(id) = cancel.id else {
            return;
        };
        match self.scheduler.cancel(&id) {
            CancelOutcome::Dequeued(waiting) => {
                refuse_waiting(&waiting, RefusalReason::Cancelled, actions);
                self.reconcile_orders(now, actions);
            }
            CancelOutcome::Running(run) => {
                actions.push(RoleAction::RoleSpecific(AgentAction::Cancel { run }));
            }
            CancelOutcome::NotFound => {}
        }
    }

    /// Issues missing orders and announces changes of the resident models.
    fn reconcile_orders(&mut self, now: Instant, actions: &mut Actions) {
        if let Some(state) = self.state.as_ref().filter(|_| self.leaving_since.is_none()) {
            let uses = self.scheduler.model_use();
            let in_use = |model: &Bytes| {
                let used = uses.get(model).copied().unwrap_or_default();
                (used.running + used.waiting) as usize
            };
            for order in self.orders.reconcile(now, state, in_use) {
                let text = format!("sending order {}: {:?}", order.order, order.kind);
                actions.push(RoleAction::Log(LogLevel::Info, text));
                actions.push(RoleAction::Metric(MetricKind::Count, "agent.orders", 1));
                actions.push(RoleAction::RoleSpecific(AgentAction::Order(order)));
            }
        }
        if self.is_engine() && resident_models(self.ledger()) != self.announced_models {
            self.announcer.mark_changed(now);
            self.announce(now, actions);
            self.next_report = now;
        }
    }

    fn handle_link_event(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, peer } => {
                if self.dialer.handle_opened(link) {
                    self.announcer.handle_link_opened(now);
                    self.announce(now, actions);
                } else if peer.role == PeerRole::Entry {
                    self.reporter.insert_link(now, link);
                }
            }
            LinkEvent::Closed { link } => {
                if !self.dialer.handle_closed(now, link) {
                    self.handle_entry_closed(now, link, actions);
                }
            }
            LinkEvent::Frame { link, body } => match body {
                FrameBody::AttemptStart(start) => self.handle_start(now, link, start, actions),
                FrameBody::AttemptCancel(cancel) => self.handle_cancel(now, &cancel, actions),
                FrameBody::AnnounceAck(ack) => self.handle_ack(now, &ack, actions),
                FrameBody::TargetOrder(order) => self.handle_target(now, order, actions),
                _ => {}
            },
        }
    }

    /// Drops the waiting attempts of a closed link and cancels the running
    /// idempotent ones; the others run to completion.
    fn handle_entry_closed(&mut self, now: Instant, link: LinkId, actions: &mut Actions) {
        self.reporter.remove_link(link);
        self.scheduler
            .remove_waiting(|waiting| waiting.link == link);
        for run in self.scheduler.runs_of_link(link) {
            if self
                .scheduler
                .running_mut(run)
                .is_some_and(|item| item.idempotent)
            {
                actions.push(RoleAction::RoleSpecific(AgentAction::Cancel { run }));
            }
        }
        self.reconcile_orders(now, actions);
    }

    fn handle_ack(&mut self, now: Instant, ack: &AnnounceAck, actions: &mut Actions) {
        if ack.incarnation != self.config.incarnation {
            if !ack.accepted {
                let text = format!(
                    "control has registered a later incarnation {}; stopping",
                    ack.incarnation
                );
                actions.push(RoleAction::Log(LogLevel::Error, text));
                self.finished = true;
                actions.push(RoleAction::Finished);
            }
            return;
        }
        if !ack.accepted {
            return;
        }
        self.announcer.handle_ack(now);
        self.orders.apply_registration(ack.fencing);
        if self.draining != ack.draining {
            self.draining = ack.draining;
            self.reporter.schedule_now(now);
        }
        self.reconcile_orders(now, actions);
    }

    fn handle_target(&mut self, now: Instant, order: TargetOrder, actions: &mut Actions) {
        let is_own = order.endpoint == self.config.settings.name
            && order.incarnation == self.config.incarnation;
        if !is_own || !self.orders.apply_target(order) {
            actions.push(RoleAction::Metric(
                MetricKind::Count,
                "agent.stale_targets",
                1,
            ));
            return;
        }
        self.reconcile_orders(now, actions);
        self.next_report = now;
    }

    fn announce(&mut self, now: Instant, actions: &mut Actions) {
        let Some(link) = self.dialer.open_link() else {
            return;
        };
        if self.state.is_none() {
            return;
        }
        self.announced_models = resident_models(self.ledger());
        self.announcer.record_sent(now);
        let body = announcement(
            &self.config,
            &self.announced_models,
            self.leaving_since.is_some(),
        );
        actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
    }

    fn report(&mut self, actions: &mut Actions) {
        let (Some(link), Some(state)) = (self.dialer.open_link(), &self.state) else {
            return;
        };
        self.report_sequence += 1;
        let leaving = self.is_rejecting();
        let role = state.role.clone();
        let body = state_report(
            &self.config,
            &self.orders,
            role,
            self.scheduler.tokens_per_second(),
            leaving,
            self.report_sequence,
        );
        actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
        let gauges = [
            ("agent.running", self.scheduler.running_len() as u64),
            ("agent.waiting", self.scheduler.waiting_len() as u64),
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
            leaving: self.leaving_since.is_some() || self.draining,
        };
        self.reporter
            .report(now, &self.scheduler, context, &mut self.commands);
        actions.extend(self.commands.drain(..).map(RoleAction::Link));
    }

    fn handle_timer(&mut self, now: Instant, actions: &mut Actions) {
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
        self.forward_waiting(now, actions);
        self.reconcile_orders(now, actions);
    }

    /// Queries the endpoint's state, with one query in flight at a time.
    fn read_state(&mut self, now: Instant, actions: &mut Actions) {
        let timed_out = |requested_at: Instant| now >= requested_at + STATE_TIMEOUT;
        if self.next_state_read > now || !self.state_requested_at.is_none_or(timed_out) {
            return;
        }
        self.next_state_read = now + STATE_INTERVAL;
        self.state_requested_at = Some(now);
        self.orders.ledger_mut().begin_read(now);
        actions.push(RoleAction::RoleSpecific(AgentAction::ReadState));
    }

    fn handle_shutdown(&mut self, now: Instant, actions: &mut Actions) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            self.announcer.mark_changed(now);
            self.announce(now, actions);
            self.reporter.schedule_now(now);
            self.forward_waiting(now, actions);
        }
    }

    /// Returns when a shutdown ends at the latest; none before it began.
    fn shutdown_end(&self) -> Option<Instant> {
        self.leaving_since
            .map(|since| since + self.config.settings.shutdown_grace)
    }

    fn finish_if_idle(&mut self, now: Instant, actions: &mut Actions) {
        let Some(since) = self.leaving_since.filter(|_| !self.finished) else {
            return;
        };
        let idle = self.scheduler.running_len() == 0 && self.scheduler.waiting_len() == 0;
        let acknowledged = self.announcer.is_acknowledged() || now >= since + LEAVE_ACK_TIMEOUT;
        let grace_expired = self.shutdown_end().is_some_and(|end| now >= end);
        let crossed = now >= since.max(self.last_reply) + CROSSING_TIME;
        if grace_expired || (idle && acknowledged && crossed) {
            for waiting in self.scheduler.remove_waiting(|_| true) {
                refuse_waiting(&waiting, RefusalReason::Leaving, actions);
            }
            self.finished = true;
            actions.push(RoleAction::Finished);
        }
    }

    fn is_rejecting(&self) -> bool {
        self.leaving_since.is_some() || self.draining
    }

    fn is_engine(&self) -> bool {
        self.config.settings.kind == EndpointKind::Engine
    }
}

impl RoleMachine for AgentRole {
    type Event = AgentEvent;
    type Action = AgentAction;

    fn handle(&mut self, now: Instant, event: RoleEvent<AgentEvent>, actions: &mut Actions) {
        let earlier_actions = actions.len();
        match event {
            RoleEvent::Link(event) => self.handle_link_event(now, event, actions),
            RoleEvent::Timer => self.handle_timer(now, actions),
            RoleEvent::Shutdown => self.handle_shutdown(now, actions),
            // This role has no listener; its engine is reached through
            // `AgentAction`.
            RoleEvent::Exchange(_) | RoleEvent::Http(..) => {}
            RoleEvent::RoleSpecific(event) => self.handle_engine_event(now, event, actions),
        }
        if actions[earlier_actions..].iter().any(is_reply) {
            self.last_reply = now;
        }
        self.read_state(now, actions);
        self.report_load(now, actions);
        self.finish_if_idle(now, actions);
    }

    fn deadline(&self) -> Option<Instant> {
        let read = self
            .state_requested_at
            .map(|requested_at| requested_at + STATE_TIMEOUT);
        let can_announce = self.dialer.open_link().is_some() && self.state.is_some();
        [
            self.dialer.deadline(),
            self.scheduler.deadline(),
            self.reporter.deadline(),
            can_announce.then(|| self.announcer.deadline()),
            Some(read.unwrap_or(self.next_state_read)),
            Some(self.next_report),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
