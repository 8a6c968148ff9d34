//! The state machine of the entry role: its state, events and timers.
//!
//! What becomes of a request is written in its parts: `admission`,
//! `token_leases`, `claims`, `attempts` and `answers`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::ApplyOutcome;
use mulberrywell_limit::{LeaseClient, RetryBudget};
use mulberrywell_policy::stable_hash;
use mulberrywell_role::{
    AnswerPart, HttpEvent, LinkCommand, LinkEvent, LinkId, LogLevel, RequestId, RoleAction,
    RoleEvent, RoleMachine,
};
use mulberrywell_settings::EntrySettings;
use mulberrywell_wire::claim::OutcomeReport;
use mulberrywell_wire::config::{EndpointItem, EndpointState, Update};
use mulberrywell_wire::FrameBody;

use crate::agent_links::AgentLinks;
use crate::call_stage::{call_chart, CallChart, CallEvent};
use crate::call_table::{CallSequence, CallTable};
use crate::claims::CLAIM_LIMIT;
use crate::config_link::ConfigLink;
use crate::demand_book::DemandBook;
use crate::endpoint_pool::EndpointPool;
use crate::http_answer::CallerFault;

/// Time to come back when nothing tells a better one.
pub(crate) const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Endpoints to whose agents links are kept open for load reports.
const LINKS_KEPT: usize = 64;

/// Time beyond the grace for which a shutdown waits for acknowledged outcomes.
const OUTCOME_LIMIT: Duration = Duration::from_secs(5);

/// Time for which the host may still write the last answer's end.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// Interval at which missing links are opened again.
const LINK_INTERVAL: Duration = Duration::from_secs(1);

/// Events of the entry role.
pub type EntryEvent = HttpEvent;

/// Actions of the entry role.
#[derive(Debug)]
pub enum EntryAction {
    /// Sends a part of an answer to a caller.
    Answer(RequestId, AnswerPart),
}

/// What the role needs to start.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Settings of the role.
    pub settings: EntrySettings,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
    /// Number of this start of the process.
    pub incarnation: u64,
    /// Availability zone of the instance.
    pub zone: Bytes,
}

pub(crate) type Actions = Vec<RoleAction<EntryAction>>;

/// The entry role.
#[derive(Debug)]
pub struct EntryRole {
    pub(crate) config: EntryConfig,
    pub(crate) chart: CallChart,
    pub(crate) link: ConfigLink,
    pub(crate) agents: AgentLinks,
    pub(crate) calls: CallTable,
    pub(crate) leases: LeaseClient,
    pub(crate) pool: EndpointPool,
    pub(crate) retries: RetryBudget,
    pub(crate) demand: DemandBook,
    /// Outcomes without an acknowledgement, by call.
    pub(crate) outcomes: BTreeMap<CallSequence, OutcomeReport>,
    /// Claims that were asked for by calls that have ended since.
    pub(crate) late_claims: BTreeMap<CallSequence, OutcomeReport>,
    /// Even; grows with each dialed link.
    pub(crate) next_link: LinkId,
    /// Set once a graceful shutdown began.
    pub(crate) draining: Option<Instant>,
    /// Set once the grace of a shutdown was seen to be over.
    grace_over: bool,
    /// Last instant at which an answer's part went out.
    last_answer: Instant,
    /// Instant of the last event.
    handled: Instant,
    /// When missing links are opened next.
    next_links: Instant,
    finished: bool,
    /// Reused for commands of the link structures.
    pub(crate) commands: Vec<LinkCommand>,
}

impl EntryRole {
    /// Creates the role; it connects with its first timer.
    pub fn new(config: EntryConfig, now: Instant) -> Self {
        let link = ConfigLink::new(
            config.seeds.clone(),
            config.incarnation,
            config.settings.freshness,
            now,
        );
        let name = Bytes::from(config.incarnation.to_string());
        EntryRole {
            link,
            chart: call_chart(),
            agents: AgentLinks::default(),
            calls: CallTable::default(),
            leases: LeaseClient::new(now),
            pool: EndpointPool::new(name, config.zone.clone()),
            retries: RetryBudget::default(),
            demand: DemandBook::new(now),
            outcomes: BTreeMap::new(),
            late_claims: BTreeMap::new(),
            next_link: 2,
            draining: None,
            grace_over: false,
            last_answer: now,
            handled: now,
            next_links: now,
            finished: false,
            commands: Vec::new(),
            config,
        }
    }

    /// Moves a call on as the chart says.
    pub(crate) fn advance(&mut self, sequence: CallSequence, event: CallEvent) {
        if let Some(call) = self.calls.get_mut(sequence) {
            if let Some(stage) = self.chart.next(call.stage, event) {
                call.stage = stage;
            }
        }
    }

    /// Tells whether the grace of a shutdown is over.
    pub(crate) fn refuses_all(&self, now: Instant) -> bool {
        self.grace_end().is_some_and(|end| now >= end)
    }

    fn grace_end(&self) -> Option<Instant> {
        self.draining
            .map(|since| since + self.config.settings.shutdown_grace)
    }

    fn take_link(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, .. } => match self.link.opened(now, link) {
                Some(command) => {
                    actions.push(RoleAction::Link(command));
                    self.leases.link_opened(now);
                    self.resend_outcomes(actions);
                }
                None => {
                    self.agents.opened(link, &mut self.commands);
                    self.flush(actions);
                }
            },
            LinkEvent::Closed { link } => self.link_closed(now, link, actions),
            LinkEvent::Frame { link, body } => self.take_frame(now, link, body, actions),
        }
    }

    fn link_closed(&mut self, now: Instant, link: LinkId, actions: &mut Actions) {
        if self.link.closed(now, link) {
            let text = "link to the control instance closed".to_owned();
            actions.push(RoleAction::Log(LogLevel::Warn, text));
            self.leases.link_closed(now);
            self.expire_claims(now, true, actions);
            return;
        }
        if let Some(was_open) = self.agents.closed(link) {
            self.fail_link(now, link, was_open, actions);
        }
    }

    fn take_frame(&mut self, now: Instant, link: LinkId, body: FrameBody, actions: &mut Actions) {
        match body {
            FrameBody::AttemptHead(head) => self.take_head(now, link, head, actions),
            FrameBody::AttemptPart(part) => self.take_part(now, link, part, actions),
            FrameBody::AttemptEnd(end) => self.take_end(now, link, &end, actions),
            FrameBody::AttemptRefused(refusal) => self.take_refusal(now, link, &refusal, actions),
            FrameBody::LoadReport(report) => self.pool.take_report(now, report),
            _ if self.link.is_open_link(link) => self.take_control(now, link, body, actions),
            _ => {}
        }
    }

    fn take_control(&mut self, now: Instant, link: LinkId, body: FrameBody, actions: &mut Actions) {
        match body {
            FrameBody::Update(update) => self.take_update(now, link, &update, actions),
            FrameBody::ConfirmAnswer(answer) => self.link.answer(&answer),
            FrameBody::LeaseGrant(grant) => self.take_grant(now, &grant),
            FrameBody::ReturnAck(ack) => self.leases.acknowledge(&ack.account, ack.lease),
            FrameBody::ClaimAnswer(answer) => self.take_claim(now, answer, actions),
            FrameBody::OutcomeAck(ack) => {
                self.outcomes.remove(&ack.sequence);
            }
            _ => {}
        }
    }

    fn take_update(&mut self, now: Instant, link: LinkId, update: &Update, actions: &mut Actions) {
        let (outcome, reply) = self.link.update(link, update);
        actions.extend(reply.map(RoleAction::Link));
        if outcome == ApplyOutcome::Foreign {
            let text = "a control instance of another cluster was refused".to_owned();
            actions.push(RoleAction::Log(LogLevel::Error, text));
        }
        if outcome == ApplyOutcome::Applied {
            self.end_withdrawn(now, actions);
            self.pool.retain(self.link.directory());
            self.next_links = now;
        }
    }

    /// Ends the calls whose key no longer stands for their account.
    fn end_withdrawn(&mut self, now: Instant, actions: &mut Actions) {
        let directory = self.link.directory();
        let withdrawn = self.calls.matching(|call| {
            call.key.as_ref().is_some_and(|key| {
                directory
                    .account_of_key(key)
                    .is_none_or(|account| account.name != call.account)
            })
        });
        for sequence in withdrawn {
            self.give_up(now, sequence, CallerFault::WrongKey, actions);
        }
    }

    fn take_timer(&mut self, now: Instant, actions: &mut Actions) {
        if let Some(command) = self.link.tick(now, &mut self.next_link) {
            actions.push(RoleAction::Link(command));
        }
        for sequence in self.calls.matching(|call| call.deadline <= now) {
            self.give_up(now, sequence, CallerFault::Deadline, actions);
        }
        if !self.link.is_fresh(now) {
            for sequence in self.calls.matching(|call| call.key.is_some()) {
                self.give_up(now, sequence, CallerFault::Stale, actions);
            }
        }
        self.expire_claims(now, false, actions);
        self.leases.tick(now);
        if let Some(report) = self.demand.report(now) {
            let command = self.link.send(FrameBody::DemandReport(report));
            actions.extend(command.map(RoleAction::Link));
        }
        self.keep_links(now, actions);
    }

    /// Keeps links to a stable subset of endpoints open for their reports.
    fn keep_links(&mut self, now: Instant, actions: &mut Actions) {
        if now < self.next_links || self.draining.is_some() {
            return;
        }
        self.next_links = now + LINK_INTERVAL;
        let name = self.config.incarnation.to_be_bytes();
        let directory = self.link.directory();
        let mut endpoints: Vec<&EndpointItem> = directory
            .endpoints()
            .filter(|endpoint| endpoint.state() == EndpointState::Live)
            .collect();
        endpoints.sort_by_cached_key(|endpoint| stable_hash(&[&name, &endpoint.name]));
        for endpoint in endpoints.into_iter().take(LINKS_KEPT) {
            self.agents
                .keep_open(endpoint, &mut self.next_link, &mut self.commands);
        }
        self.flush(actions);
    }

    fn check_drained(&mut self, now: Instant, actions: &mut Actions) {
        self.grace_over = self.refuses_all(now);
        if self.finished || !self.calls.is_empty() || !self.grace_over {
            return;
        }
        let given_up = self
            .grace_end()
            .is_some_and(|end| now >= end + OUTCOME_LIMIT);
        if !self.outcomes.is_empty() && !given_up {
            return;
        }
        self.leases.drain(now);
        if self.leases.is_drained() && now >= self.last_answer + FLUSH_TIME {
            self.finished = true;
            actions.push(RoleAction::Finished);
        }
    }

    pub(crate) fn flush(&mut self, actions: &mut Actions) {
        actions.extend(self.commands.drain(..).map(RoleAction::Link));
    }

    fn claim_deadline(&self) -> Option<Instant> {
        self.calls.claims_asked().map(|asked| asked + CLAIM_LIMIT)
    }
}

impl RoleMachine for EntryRole {
    type Event = EntryEvent;
    type Action = EntryAction;

    fn handle(&mut self, now: Instant, event: RoleEvent<EntryEvent>, actions: &mut Actions) {
        match event {
            RoleEvent::Link(event) => self.take_link(now, event, actions),
            RoleEvent::Timer => self.take_timer(now, actions),
            RoleEvent::Shutdown => self.draining = self.draining.or(Some(now)),
            // This role reaches endpoints through their agents.
            RoleEvent::Exchange(_) | RoleEvent::Caller(..) => {}
            RoleEvent::Own(HttpEvent::Request { request, http }) => {
                self.take_request(now, request, http, actions);
            }
            RoleEvent::Own(HttpEvent::Gone { request }) => self.caller_gone(now, request, actions),
        }
        self.handled = now;
        let answers = |action: &RoleAction<EntryAction>| matches!(action, RoleAction::Own(_));
        if actions.iter().any(answers) {
            self.last_answer = now;
        }
        self.check_drained(now, actions);
        self.pump_leases(now, actions);
    }

    fn deadline(&self) -> Option<Instant> {
        let grace = self.grace_end().filter(|_| !self.grace_over);
        let flushed = self.last_answer + FLUSH_TIME;
        let flushed = (self.grace_over && self.calls.is_empty()).then_some(flushed);
        let fresh = self.link.fresh_until().filter(|_| self.calls.has_keyed());
        let links = self.draining.is_none().then_some(self.next_links);
        [
            self.link.deadline(),
            self.calls.deadline(),
            self.leases.deadline(),
            self.claim_deadline(),
            Some(self.demand.deadline()),
            links,
            grace,
            flushed.filter(|at| *at > self.handled),
            fresh,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

/// Sends all parts of an answer.
pub(crate) fn answer_all(request: RequestId, parts: Vec<AnswerPart>, actions: &mut Actions) {
    for part in parts {
        actions.push(RoleAction::Own(EntryAction::Answer(request, part)));
    }
}
