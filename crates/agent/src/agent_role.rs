//! The state machine of the agent role.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{
    LinkCommand, LinkEvent, LinkId, LogLevel, MetricKind, RoleAction, RoleEvent, RoleMachine,
    SeedDialer,
};
use mulberrywell_settings::{EndpointKind, EndpointSettings};
use mulberrywell_wire::config::{EndpointItem, EndpointState};
use mulberrywell_wire::endpoint::{Announce, AnnounceAck, ModelResidency, StateReport};
use mulberrywell_wire::request::{
    AttemptCancel, AttemptEnd, AttemptHead, AttemptId, AttemptPart, AttemptRefused, AttemptStart,
    Ran, RefusalReason,
};
use mulberrywell_wire::FrameBody;

use crate::attempt_gate::{AttemptGate, WaitingAttempt};
use crate::{AgentAction, AgentEvent, EngineRequest, EngineState, RunId};

/// Interval of state reports, which are also heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the endpoint is asked for its state.
const STATE_INTERVAL: Duration = Duration::from_secs(1);

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
    /// None until the endpoint answered once, and while it does not answer.
    state: Option<EngineState>,
    next_link: LinkId,
    next_report: Instant,
    next_state: Instant,
    report_sequence: u64,
    /// Set once a graceful shutdown began; nothing is admitted from then on.
    leaving: Option<Instant>,
    finished: bool,
}

impl AgentRole {
    /// Creates the role; it connects with its first timer.
    pub fn new(config: AgentConfig, now: Instant) -> Self {
        let slots = config.settings.slots as usize;
        let queue = config.settings.queue as usize;
        AgentRole {
            dialer: SeedDialer::new(config.seeds.clone(), config.incarnation, now),
            gate: AttemptGate::new(slots, queue),
            state: None,
            next_link: 2,
            next_report: now,
            next_state: now,
            report_sequence: 0,
            leaving: None,
            finished: false,
            config,
        }
    }

    fn take_start(
        &mut self,
        now: Instant,
        link: LinkId,
        start: AttemptStart,
        actions: &mut Actions,
    ) {
        let id = start.id;
        let outcome = match self.refusal_of(&start) {
            Some(reason) => Err(reason),
            None => self.gate.enqueue(now, link, start),
        };
        if let Err(reason) = outcome {
            refuse(link, id, reason, Ran::No, actions);
        }
        self.hand_over(now, actions);
    }

    fn refusal_of(&self, start: &AttemptStart) -> Option<RefusalReason> {
        if self.leaving.is_some() {
            return Some(RefusalReason::Leaving);
        }
        if start.endpoint != self.config.settings.name
            || start.endpoint_incarnation != self.config.incarnation
        {
            return Some(RefusalReason::WrongIncarnation);
        }
        let Some(state) = &self.state else {
            return Some(RefusalReason::EngineDown);
        };
        let answers = state
            .models
            .iter()
            .any(|item| item.ready && item.model == start.model);
        (self.is_engine() && !answers).then_some(RefusalReason::NotResident)
    }

    /// Hands waiting attempts over while there are slots.
    fn hand_over(&mut self, now: Instant, actions: &mut Actions) {
        for waiting in self.gate.drop_waiting(|waiting| waiting.deadline <= now) {
            refuse_waiting(&waiting, RefusalReason::Deadline, actions);
        }
        while let Some((run, waiting)) = self.gate.next_run() {
            let request = engine_request(now, waiting);
            actions.push(RoleAction::Own(AgentAction::Run { run, request }));
        }
    }

    fn take_cancel(&mut self, cancel: &AttemptCancel, actions: &mut Actions) {
        let Some(id) = cancel.id else {
            return;
        };
        for waiting in self
            .gate
            .drop_waiting(|waiting| waiting.start.id == Some(id))
        {
            refuse_waiting(&waiting, RefusalReason::Cancelled, actions);
        }
        if let Some(run) = self.gate.run_of(&id) {
            actions.push(RoleAction::Own(AgentAction::Cancel { run }));
        }
    }

    fn take_engine(&mut self, now: Instant, event: AgentEvent, actions: &mut Actions) {
        match event {
            AgentEvent::Head {
                run,
                status,
                headers,
            } => {
                self.reply(run, actions, |id, _| {
                    FrameBody::AttemptHead(AttemptHead {
                        id,
                        status: u32::from(status),
                        headers,
                    })
                });
            }
            AgentEvent::Part { run, data } => {
                self.reply(run, actions, |id, sent| {
                    let offset = *sent;
                    *sent += data.len() as u64;
                    FrameBody::AttemptPart(AttemptPart { id, offset, data })
                });
            }
            AgentEvent::End { run } => {
                self.reply(run, actions, |id, sent| {
                    FrameBody::AttemptEnd(AttemptEnd {
                        id,
                        length: *sent,
                        whole: true,
                        ran: Ran::Yes.into(),
                        tokens: 0,
                    })
                });
                self.gate.finish(run);
                self.hand_over(now, actions);
            }
            AgentEvent::Failed { run, sent } => self.take_failure(now, run, sent, actions),
            AgentEvent::State(state) => self.take_state(state, actions),
            AgentEvent::OrderEnded { .. } => {}
        }
    }

    fn take_failure(&mut self, now: Instant, run: RunId, sent: bool, actions: &mut Actions) {
        let ran = if sent { Ran::Unknown } else { Ran::No };
        if let Some(running) = self.gate.finish(run) {
            let reason = RefusalReason::EngineDown;
            refuse(running.link, Some(running.id), reason, ran, actions);
        }
        self.hand_over(now, actions);
    }

    fn take_state(&mut self, state: Option<EngineState>, actions: &mut Actions) {
        if self.state == state {
            return;
        }
        let text = match &state {
            Some(state) => format!("endpoint answers with {} models", state.models.len()),
            None => "endpoint does not answer".to_owned(),
        };
        self.state = state;
        actions.push(RoleAction::Log(LogLevel::Info, text));
        self.announce(actions);
    }

    fn reply(
        &mut self,
        run: RunId,
        actions: &mut Actions,
        make: impl FnOnce(Option<AttemptId>, &mut u64) -> FrameBody,
    ) {
        if let Some(running) = self.gate.running_mut(run) {
            let body = make(Some(running.id), &mut running.sent);
            let link = running.link;
            actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
        }
    }

    fn take_link(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, .. } => {
                if self.dialer.opened(link) {
                    self.announce(actions);
                }
            }
            LinkEvent::Closed { link } => {
                if !self.dialer.closed(now, link) {
                    self.entry_gone(link, actions);
                }
            }
            LinkEvent::Frame { link, body } => match body {
                FrameBody::AttemptStart(start) => self.take_start(now, link, start, actions),
                FrameBody::AttemptCancel(cancel) => self.take_cancel(&cancel, actions),
                FrameBody::AnnounceAck(ack) => self.take_ack(&ack, actions),
                _ => {}
            },
        }
    }

    /// Drops the waiting attempts of a closed link and cancels the running
    /// ones that may be repeated; the others run to their end.
    fn entry_gone(&mut self, link: LinkId, actions: &mut Actions) {
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
    }

    fn take_ack(&mut self, ack: &AnnounceAck, actions: &mut Actions) {
        if !ack.accepted && ack.incarnation != self.config.incarnation {
            let text = format!("a later incarnation {} is registered", ack.incarnation);
            actions.push(RoleAction::Log(LogLevel::Error, text));
            self.finished = true;
            actions.push(RoleAction::Finished);
        }
    }

    fn announce(&mut self, actions: &mut Actions) {
        let Some(link) = self.dialer.open_link() else {
            return;
        };
        let Some(state) = &self.state else {
            return;
        };
        let settings = &self.config.settings;
        let resident = state
            .models
            .iter()
            .filter(|item| item.ready)
            .map(|item| item.model.clone());
        let phase = if self.leaving.is_some() {
            EndpointState::Leaving
        } else {
            EndpointState::Live
        };
        let endpoint = EndpointItem {
            name: settings.name.clone(),
            address: Bytes::from(self.config.advertise.to_string()),
            zone: self.config.zone.clone(),
            region: self.config.region.clone(),
            pool: settings.pool.clone(),
            engine: self.is_engine(),
            incarnation: self.config.incarnation,
            fencing: 0,
            state: phase.into(),
            resident: resident.collect(),
        };
        let body = FrameBody::Announce(Announce {
            endpoint: Some(endpoint),
            memory_mib: settings.memory_mib,
            fenced: settings.checks_fencing,
            slots: settings.slots,
            accelerators: settings.accelerators,
        });
        actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
    }

    fn report(&mut self, actions: &mut Actions) {
        let (Some(link), Some(state)) = (self.dialer.open_link(), &self.state) else {
            return;
        };
        self.report_sequence += 1;
        let models = state.models.iter().map(|item| ModelResidency {
            model: item.model.clone(),
            version: item.version.clone(),
            state: Bytes::from_static(if item.ready { b"resident" } else { b"loading" }),
            memory_mib: item.memory_mib,
        });
        let body = FrameBody::StateReport(StateReport {
            endpoint: self.config.settings.name.clone(),
            incarnation: self.config.incarnation,
            models: models.collect(),
            committed_mib: state.models.iter().map(|item| item.memory_mib).sum(),
            capacity_mib: self.config.settings.memory_mib,
            order_term: 0,
            order_revision: 0,
            leaving: self.leaving.is_some(),
            sequence: self.report_sequence,
        });
        actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
        let running = self.gate.running_len() as u64;
        let waiting = self.gate.waiting_len() as u64;
        actions.push(RoleAction::Metric(
            MetricKind::Gauge,
            "agent.running",
            running,
        ));
        actions.push(RoleAction::Metric(
            MetricKind::Gauge,
            "agent.waiting",
            waiting,
        ));
    }

    fn take_timer(&mut self, now: Instant, actions: &mut Actions) {
        if let Some(address) = self.dialer.dial(now, self.next_link) {
            let link = self.next_link;
            self.next_link += 2;
            actions.push(RoleAction::Link(LinkCommand::Dial { link, address }));
        }
        if self.next_state <= now {
            self.next_state = now + STATE_INTERVAL;
            actions.push(RoleAction::Own(AgentAction::ReadState));
        }
        if self.next_report <= now {
            self.next_report = now + REPORT_INTERVAL;
            self.report(actions);
        }
        self.hand_over(now, actions);
    }

    fn shut_down(&mut self, now: Instant, actions: &mut Actions) {
        if self.leaving.is_none() {
            self.leaving = Some(now);
            self.announce(actions);
        }
    }

    fn check_left(&mut self, now: Instant, actions: &mut Actions) {
        let Some(since) = self.leaving.filter(|_| !self.finished) else {
            return;
        };
        let idle = self.gate.running_len() == 0 && self.gate.waiting_len() == 0;
        if idle || now >= since + self.config.settings.shutdown_grace {
            self.finished = true;
            actions.push(RoleAction::Finished);
        }
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
            RoleEvent::Own(event) => self.take_engine(now, event, actions),
        }
        self.check_left(now, actions);
    }

    fn deadline(&self) -> Option<Instant> {
        [
            self.dialer.deadline(),
            self.gate.deadline(),
            Some(self.next_report),
            Some(self.next_state),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn engine_request(now: Instant, waiting: WaitingAttempt) -> EngineRequest {
    let left = waiting.deadline.saturating_duration_since(now);
    let start = waiting.start;
    EngineRequest {
        method: start.method,
        path: start.path,
        headers: start.headers,
        body: start.body,
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        priority: start.priority,
        resume_events: start.resume_events,
    }
}

fn refuse_waiting(waiting: &WaitingAttempt, reason: RefusalReason, actions: &mut Actions) {
    refuse(waiting.link, waiting.start.id, reason, Ran::No, actions);
}

fn refuse(
    link: LinkId,
    id: Option<AttemptId>,
    reason: RefusalReason,
    ran: Ran,
    actions: &mut Actions,
) {
    let body = FrameBody::AttemptRefused(AttemptRefused {
        id,
        reason: reason.into(),
        ran: ran.into(),
        retry_after_ms: 0,
    });
    actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
}
