//! The state machine of the entry role: its state, events and timers.
//!
//! The processing of requests is implemented in `admission`, `token_leases`,
//! `claims`, `attempts`, `attempt_responses` and `prompt_guard`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::ApplyOutcome;
use mulberrywell_limit::{LeaseClient, PromptGuard, RetryBudget};
use mulberrywell_policy::stable_hash;
use mulberrywell_role::{
    HttpEvent, LinkCommand, LinkEvent, LinkId, LogLevel, RequestId, ResponsePart, RoleAction,
    RoleEvent, RoleMachine,
};
use mulberrywell_settings::EntrySettings;
use mulberrywell_wire::claim::OutcomeReport;
use mulberrywell_wire::config::{EndpointItem, EndpointState, Update};
use mulberrywell_wire::FrameBody;

use crate::agent_links::AgentLinks;
use crate::call_stage::{call_chart, CallChart, CallEvent};
use crate::call_table::{CallSequence, CallTable};
use crate::claims::CLAIM_TIMEOUT;
use crate::config_link::ConfigLink;
use crate::demand_counter::DemandCounter;
use crate::endpoint_pool::EndpointPool;
use crate::http_response::{CallerError, CallerRefusal};
use crate::prompt_guard::LostLinks;

/// Default retry delay sent to callers.
pub(crate) const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of endpoints to whose agents links are kept open for load
/// reports.
const REPORT_LINKS_MAX: usize = 64;

/// Time after the grace period and after the last call's end for which a shutdown
/// waits for outcomes to be acknowledged and for late claims to be released.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the host to write the end of the last response.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// Interval at which missing links are reopened.
const LINK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Events of the entry role.
pub type EntryEvent = HttpEvent;

/// Actions of the entry role.
#[derive(Debug)]
pub enum EntryAction {
    /// Sends a part of a response to a caller.
    Respond(RequestId, ResponsePart),
    /// Refuses the requests that the host has not read completely, and further ones.
    RefuseUnread,
}

/// Start parameters of the role.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// Settings of the role.
    pub settings: EntrySettings,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
    /// Incarnation number of this process start.
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
    pub(crate) demand: DemandCounter,
    pub(crate) prompts: PromptGuard,
    pub(crate) lost_links: LostLinks,
    /// When sound contents are next reported.
    pub(crate) next_prompt_report: Instant,
    /// Unacknowledged outcomes, by call.
    pub(crate) outcomes: BTreeMap<CallSequence, OutcomeReport>,
    /// Claims requested by calls that have since ended.
    pub(crate) late_claims: BTreeMap<CallSequence, OutcomeReport>,
    /// Next link id; even, and increased with each dialed link.
    pub(crate) next_link: LinkId,
    /// When a graceful shutdown began.
    pub(crate) draining: Option<Instant>,
    /// Whether the grace period of a shutdown was over at the last event.
    grace_over: bool,
    /// Whether a shutdown has refused the requests that were still being read.
    unread_refused: bool,
    /// When a part of a response or the refusal of unread requests was last sent.
    last_response: Instant,
    /// When a call last ended.
    pub(crate) last_call_end: Instant,
    /// Instant of the last event.
    last_handled: Instant,
    /// When missing links are next reopened.
    next_link_check: Instant,
    finished: bool,
    /// Reusable buffer for link commands.
    pub(crate) commands: Vec<LinkCommand>,
}

impl EntryRole {
    /// Creates the role; it connects with its first timer.
    pub fn new(config: EntryConfig, now: Instant) -> Self {
        let link = ConfigLink::new(
            config.seeds.clone(),
            config.incarnation,
            config.settings.config_max_age,
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
            demand: DemandCounter::new(now),
            prompts: PromptGuard::default(),
            lost_links: LostLinks::default(),
            next_prompt_report: now,
            outcomes: BTreeMap::new(),
            late_claims: BTreeMap::new(),
            next_link: 2,
            draining: None,
            grace_over: false,
            unread_refused: false,
            last_response: now,
            last_call_end: now,
            last_handled: now,
            next_link_check: now,
            finished: false,
            commands: Vec::new(),
            config,
        }
    }

    /// Advances a call's stage according to the chart.
    pub(crate) fn advance(&mut self, sequence: CallSequence, event: CallEvent) {
        if let Some(call) = self.calls.get_mut(sequence) {
            if let Some(stage) = self.chart.next(call.stage, event) {
                call.stage = stage;
            }
        }
    }

    /// Returns whether the grace period of a shutdown is over.
    pub(crate) fn is_past_grace(&self, now: Instant) -> bool {
        self.grace_end().is_some_and(|end| now >= end)
    }

    fn grace_end(&self) -> Option<Instant> {
        let end = self.draining? + self.config.settings.shutdown_grace;
        Some(self.shutdown_end().map_or(end, |limit| limit.min(end)))
    }

    /// Returns when a shutdown ends the remaining calls; none without a limit.
    pub(crate) fn shutdown_end(&self) -> Option<Instant> {
        let limit = self.config.settings.shutdown_limit?;
        self.draining.map(|since| since + limit)
    }

    /// Ends the calls that a shutdown can't wait for, as the process would be killed
    /// before they are answered.
    fn end_remaining_calls(&mut self, now: Instant, actions: &mut Actions) {
        if self.shutdown_end().is_none_or(|end| now < end) {
            return;
        }
        for sequence in self.calls.matching(|_| true) {
            let refusal = CallerRefusal::from(CallerError::ShuttingDown).retry_after(RETRY_DELAY);
            self.cancel_with_refusal(now, sequence, refusal, actions);
        }
    }

    /// Returns when a shutdown no longer waits for outcomes of the ended calls.
    fn outcome_end(&self) -> Option<Instant> {
        let end = self.grace_end()?.max(self.last_call_end) + OUTCOME_TIMEOUT;
        Some(self.shutdown_end().map_or(end, |limit| limit.min(end)))
    }

    fn handle_link(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, .. } => match self.link.handle_opened(now, link) {
                Some(command) => {
                    actions.push(RoleAction::Link(command));
                    self.leases.handle_link_opened(now);
                    self.resend_outcomes(actions);
                    self.send_quarantines(now, actions);
                }
                None => {
                    self.agents.handle_opened(link, &mut self.commands);
                    self.flush(actions);
                }
            },
            LinkEvent::Closed { link } => self.handle_closed(now, link, actions),
            LinkEvent::Frame { link, body } => self.handle_frame(now, link, body, actions),
        }
    }

    fn handle_closed(&mut self, now: Instant, link: LinkId, actions: &mut Actions) {
        if self.link.handle_closed(now, link) {
            let text = "link to the control instance closed".to_owned();
            actions.push(RoleAction::Log(LogLevel::Warn, text));
            self.leases.handle_link_closed(now);
            self.prompts.remove_link(link);
            self.expire_claims(now, true, actions);
            // The answers to them were due on this link.
            self.late_claims.clear();
            return;
        }
        if let Some(was_open) = self.agents.handle_closed(link) {
            self.fail_link_attempts(now, link, was_open, actions);
        }
    }

    fn handle_frame(&mut self, now: Instant, link: LinkId, body: FrameBody, actions: &mut Actions) {
        match body {
            FrameBody::AttemptHead(head) => self.handle_head(now, link, head, actions),
            FrameBody::AttemptPart(part) => self.handle_part(now, link, part, actions),
            FrameBody::AttemptEnd(end) => self.handle_end(now, link, &end, actions),
            FrameBody::AttemptRefused(refusal) => self.handle_refusal(now, link, &refusal, actions),
            FrameBody::LoadReport(report) => self.pool.apply_load_report(now, report),
            _ if self.link.is_open_link(link) => self.handle_control(now, link, body, actions),
            _ => {}
        }
    }

    fn handle_control(
        &mut self,
        now: Instant,
        link: LinkId,
        body: FrameBody,
        actions: &mut Actions,
    ) {
        match body {
            FrameBody::Update(update) => self.handle_update(now, link, &update, actions),
            FrameBody::ConfirmAnswer(answer) => self.link.handle_confirm_answer(&answer),
            FrameBody::LeaseGrant(grant) => self.handle_lease_grant(now, &grant),
            FrameBody::ReturnAck(ack) => self.leases.handle_return_ack(&ack.account, ack.lease),
            FrameBody::ClaimAnswer(answer) => self.handle_claim_answer(now, answer, actions),
            FrameBody::OutcomeAck(ack) => {
                self.outcomes.remove(&ack.sequence);
            }
            FrameBody::PromptNotice(notice) => {
                self.handle_prompt_notice(now, link, notice, actions);
            }
            _ => {}
        }
    }

    fn handle_update(
        &mut self,
        now: Instant,
        link: LinkId,
        update: &Update,
        actions: &mut Actions,
    ) {
        let (outcome, reply) = self.link.apply_update(link, update);
        actions.extend(reply.map(RoleAction::Link));
        if outcome == ApplyOutcome::Foreign {
            let text = "refused a control instance of another cluster".to_owned();
            actions.push(RoleAction::Log(LogLevel::Error, text));
        }
        if outcome == ApplyOutcome::Applied {
            self.end_withdrawn_calls(now, actions);
            self.record_restarts(now, actions);
            self.pool.retain(self.link.directory());
            self.next_link_check = now;
        }
    }

    /// Ends the calls whose key no longer belongs to their account.
    fn end_withdrawn_calls(&mut self, now: Instant, actions: &mut Actions) {
        let directory = self.link.directory();
        let withdrawn = self.calls.matching(|call| {
            call.key.as_ref().is_some_and(|key| {
                directory
                    .account_of_key(key)
                    .is_none_or(|account| account.name != call.account)
            })
        });
        for sequence in withdrawn {
            self.cancel_call(now, sequence, CallerError::WrongKey, actions);
        }
    }

    fn handle_timer(&mut self, now: Instant, actions: &mut Actions) {
        if let Some(command) = self.link.tick(now, &mut self.next_link) {
            actions.push(RoleAction::Link(command));
        }
        for sequence in self.calls.matching(|call| call.deadline <= now) {
            self.cancel_call(now, sequence, CallerError::Deadline, actions);
        }
        if !self.link.is_fresh(now) {
            for sequence in self.calls.matching(|call| call.key.is_some()) {
                self.cancel_call(now, sequence, CallerError::Stale, actions);
            }
        }
        self.expire_claims(now, false, actions);
        self.leases.tick(now);
        if let Some(report) = self.demand.report(now) {
            let command = self.link.send(FrameBody::DemandReport(report));
            actions.extend(command.map(RoleAction::Link));
        }
        self.open_report_links(now, actions);
    }

    /// Keeps links to a stable subset of endpoints open for load reports.
    fn open_report_links(&mut self, now: Instant, actions: &mut Actions) {
        if now < self.next_link_check || self.draining.is_some() {
            return;
        }
        self.next_link_check = now + LINK_CHECK_INTERVAL;
        let name = self.config.incarnation.to_be_bytes();
        let directory = self.link.directory();
        let mut endpoints: Vec<&EndpointItem> = directory
            .endpoints()
            .filter(|endpoint| endpoint.state() == EndpointState::Live)
            .collect();
        endpoints.sort_by_cached_key(|endpoint| stable_hash(&[&name, &endpoint.name]));
        for endpoint in endpoints.into_iter().take(REPORT_LINKS_MAX) {
            self.agents
                .ensure_open(endpoint, &mut self.next_link, &mut self.commands);
        }
        self.flush(actions);
    }

    fn check_drained(&mut self, now: Instant, actions: &mut Actions) {
        self.grace_over = self.is_past_grace(now);
        if self.finished || !self.calls.is_empty() || !self.grace_over {
            return;
        }
        let timed_out = self.outcome_end().is_some_and(|end| now >= end);
        let has_outcomes = !self.outcomes.is_empty() || !self.late_claims.is_empty();
        if has_outcomes && !timed_out {
            return;
        }
        if !self.unread_refused {
            self.unread_refused = true;
            self.last_response = now;
            actions.push(RoleAction::RoleSpecific(EntryAction::RefuseUnread));
        }
        self.leases.drain(now);
        if self.leases.is_drained() && now >= self.last_response + FLUSH_TIME {
            self.finished = true;
            actions.push(RoleAction::Finished);
        }
    }

    pub(crate) fn flush(&mut self, actions: &mut Actions) {
        actions.extend(self.commands.drain(..).map(RoleAction::Link));
    }

    fn claim_deadline(&self) -> Option<Instant> {
        self.calls
            .earliest_claim_request()
            .map(|requested| requested + CLAIM_TIMEOUT)
    }
}

impl RoleMachine for EntryRole {
    type Event = EntryEvent;
    type Action = EntryAction;

    fn handle(&mut self, now: Instant, event: RoleEvent<EntryEvent>, actions: &mut Actions) {
        match event {
            RoleEvent::Link(event) => self.handle_link(now, event, actions),
            RoleEvent::Timer => self.handle_timer(now, actions),
            RoleEvent::Shutdown => self.draining = self.draining.or(Some(now)),
            // This role reaches endpoints through their agents, and callers'
            // requests arrive as role-specific events.
            RoleEvent::Exchange(_) | RoleEvent::Http(..) => {}
            RoleEvent::RoleSpecific(HttpEvent::Request { request, http }) => {
                self.handle_request(now, request, http, actions);
            }
            RoleEvent::RoleSpecific(HttpEvent::Disconnected { request }) => {
                self.handle_disconnect(now, request, actions)
            }
        }
        self.last_handled = now;
        let is_response =
            |action: &RoleAction<EntryAction>| matches!(action, RoleAction::RoleSpecific(_));
        if actions.iter().any(is_response) {
            self.last_response = now;
        }
        self.report_prompts(now, actions);
        self.end_remaining_calls(now, actions);
        self.check_drained(now, actions);
        self.process_lease_events(now, actions);
    }

    fn deadline(&self) -> Option<Instant> {
        let grace = self.grace_end().filter(|_| !self.grace_over);
        let flushed = self.last_response + FLUSH_TIME;
        let flushed = (self.grace_over && self.calls.is_empty()).then_some(flushed);
        let outcomes = self
            .outcome_end()
            .filter(|_| self.grace_over && self.calls.is_empty());
        let fresh = self
            .link
            .fresh_until()
            .filter(|_| self.calls.has_authenticated());
        let links = self.draining.is_none().then_some(self.next_link_check);
        [
            self.link.deadline(),
            self.calls.deadline(),
            self.leases.deadline(),
            self.claim_deadline(),
            Some(self.demand.deadline()),
            self.report_deadline(),
            links,
            grace,
            flushed.filter(|at| *at > self.last_handled),
            outcomes.filter(|at| *at > self.last_handled),
            self.shutdown_end().filter(|at| *at > self.last_handled),
            fresh,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

/// Sends all parts of a response.
pub(crate) fn send_response(request: RequestId, parts: Vec<ResponsePart>, actions: &mut Actions) {
    for part in parts {
        actions.push(RoleAction::RoleSpecific(EntryAction::Respond(
            request, part,
        )));
    }
}
