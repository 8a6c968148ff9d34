//! The state machine of the gateway role.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{PromptGuard, RetryBudget, ReturnSchedule};
use mulberrywell_policy::ResponseTimes;
use mulberrywell_role::{
    ConnectionBounds, HttpEvent, LinkCommand, LinkEvent, LinkId, ListenerId, LogLevel, MetricKind,
    RoleAction, RoleEvent, RoleMachine,
};
use mulberrywell_serving::ServingIndex;
use mulberrywell_wire::serving::{
    CallerLimits, EndpointStatus, EvacuationList, LoadShare, ServingAttach, ServingUpdate,
};
use mulberrywell_wire::FrameBody;

use crate::admission::RateWait;
use crate::call_codec::CallCodec;
use crate::call_table::CallTable;
use crate::caller_responses::{send_empty_response, text};
use crate::control_links::ControlLinks;
use crate::crash_trials::CrashTrials;
use crate::deferred_calls::DeferredCalls;
use crate::demand_tracker::DemandTracker;
use crate::endpoint_choice::measured_traits;
use crate::endpoint_permits::EndpointPermits;
use crate::endpoint_probes::EndpointProbes;
use crate::endpoint_table::EndpointTable;
use crate::endpoint_wait::WAIT_INTERVAL;
use crate::gateway_metrics as metrics;
use crate::link_log::LinkLog;
use crate::memory_copies::MemoryCopies;
use crate::rate_limits::RateLimits;
use crate::shutdown::ShutdownState;
use crate::stream_origins::StreamOrigins;
use crate::token_waits::TokenWaits;

/// Listener for callers.
pub const CALLER_LISTENER: ListenerId = 0;

/// Listener for readiness checks.
pub const READINESS_LISTENER: ListenerId = 1;

/// Interval of periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Budget units of one retry; the budget counts in hundredths.
const RETRY_HUNDREDTHS: u32 = 100;

/// Limits on callers' requests where the configuration sets none.
const BOUNDS_DEFAULT: ConnectionBounds = ConnectionBounds {
    head_max: 16 * 1024,
    body_max: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Start parameters of the role.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Availability zone.
    pub zone: Bytes,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
    /// Retries for each hundred requests of a service.
    pub retry_percent: u32,
    /// Retries of a service that all instances together may make beyond that
    /// percentage.
    pub retry_extra: u32,
    /// Tokens that all instances together may admit beyond an account's rate
    /// and burst.
    pub rate_tolerance: u64,
    /// Minimum duration of a shutdown; the load balancer takes that long to
    /// notice that this instance is not ready.
    pub min_shutdown: Duration,
    /// Time after which a shutdown aborts the remaining calls.
    pub shutdown_limit: Duration,
}

/// Events specific to this role.
#[derive(Debug)]
pub enum GatewayEvent {
    /// The control instances in the settings changed.
    Seeds(Vec<SocketAddr>),
}

pub(crate) type Actions = Vec<RoleAction<()>>;

/// The gateway role.
pub struct GatewayRole<C> {
    pub(crate) codec: C,
    pub(crate) config: GatewayConfig,
    pub(crate) index: ServingIndex,
    pub(crate) endpoints: EndpointTable,
    pub(crate) calls: CallTable,
    pub(crate) rates: RateLimits,
    /// Retry budgets by service.
    pub(crate) budgets: BTreeMap<Bytes, RetryBudget>,
    pub(crate) links: ControlLinks,
    link_log: LinkLog,
    pub(crate) demand: DemandTracker,
    /// Durations of responses by route.
    pub(crate) times: BTreeMap<Bytes, ResponseTimes>,
    pub(crate) prompts: PromptGuard,
    pub(crate) probes: EndpointProbes,
    pub(crate) permits: EndpointPermits,
    pub(crate) trials: CrashTrials,
    pub(crate) streams: StreamOrigins,
    /// Calls whose units a total must contain before they are forwarded, in order
    /// of arrival.
    pub(crate) rate_waits: VecDeque<RateWait>,
    pub(crate) token_waits: TokenWaits,
    pub(crate) deferred: DeferredCalls,
    pub(crate) returns: ReturnSchedule,
    pub(crate) shutdown: ShutdownState,
    pub(crate) copies: MemoryCopies,
    /// Instant of the last event.
    pub(crate) last_handled: Instant,
    /// When the terms of a choice were last logged.
    pub(crate) choice_logged: Option<Instant>,
    next_tick: Instant,
    /// When waiting calls are next retried.
    next_retry: Instant,
    /// Reusable buffer for link commands.
    pub(crate) commands: Vec<LinkCommand>,
}

impl<C: CallCodec> GatewayRole<C> {
    /// Sets the memory in bytes that the statuses of endpoints may take.
    pub fn set_status_memory(&mut self, memory: usize) {
        self.endpoints.registry.set_memory_max(memory);
    }

    /// Creates a role without a configuration.
    pub fn new(config: GatewayConfig, codec: C, now: Instant) -> Self {
        GatewayRole {
            codec,
            index: ServingIndex::default(),
            endpoints: EndpointTable::default(),
            calls: CallTable::default(),
            rates: RateLimits::new(config.rate_tolerance, now),
            budgets: BTreeMap::new(),
            links: ControlLinks::new(&config.seeds, now),
            link_log: LinkLog::default(),
            demand: DemandTracker::default(),
            times: BTreeMap::new(),
            prompts: PromptGuard::default(),
            probes: EndpointProbes::default(),
            permits: EndpointPermits::default(),
            trials: CrashTrials::default(),
            streams: StreamOrigins::new(now),
            rate_waits: VecDeque::new(),
            token_waits: TokenWaits::default(),
            deferred: DeferredCalls::default(),
            returns: ReturnSchedule::default(),
            shutdown: ShutdownState::default(),
            copies: MemoryCopies::default(),
            last_handled: now,
            choice_logged: None,
            next_tick: now,
            next_retry: now,
            commands: Vec::new(),
            config,
        }
    }

    /// Returns whether this instance accepts callers.
    pub fn is_ready(&self) -> bool {
        self.index.version() > 0 && self.endpoints.len() > 0 && !self.shutdown.has_begun()
    }

    /// Returns this instance's share of a service's retry budget.
    pub(crate) fn new_budget(&self) -> RetryBudget {
        RetryBudget::with_bounds(self.config.retry_percent, self.retry_reserve())
    }

    /// Hundredths of a retry that this instance may have in reserve.
    fn retry_reserve(&self) -> u32 {
        let extra = self.config.retry_extra.saturating_mul(RETRY_HUNDREDTHS);
        (extra / self.rates.holders()).max(RETRY_HUNDREDTHS)
    }

    /// Divides the retry budgets anew after a change of the number of instances.
    fn update_budgets(&mut self) {
        let reserve = self.retry_reserve();
        for budget in self.budgets.values_mut() {
            budget.set_reserve(reserve);
        }
    }

    fn handle_link(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, .. } => self.handle_opened(now, link, actions),
            LinkEvent::Closed { link } => self.handle_closed(now, link, actions),
            LinkEvent::Frame { link, body } => match body {
                FrameBody::ServingUpdate(update) => self.handle_update(now, link, update, actions),
                FrameBody::LoadShare(share) if self.links.primary_link() == Some(link) => {
                    self.apply_load_share(now, share);
                }
                FrameBody::RateTotals(totals) => {
                    self.links.record_leads(link, totals.leads);
                    if self.links.record_leaderless(link, totals.leaderless) {
                        self.choose_primary();
                    }
                    if self.rates.apply_totals(now, &totals) {
                        self.update_budgets();
                    }
                    self.confirm_waiting_calls(now, actions);
                }
                FrameBody::StreamAnswer(answer) => {
                    self.handle_stream_answer(now, link, answer, actions);
                }
                FrameBody::PermitGrant(grant) => self.handle_permit_grant(now, &grant, actions),
                FrameBody::TrialGrant(grant) => {
                    self.handle_trial_grant(now, link, grant, actions);
                }
                FrameBody::PromptNotice(notice) => {
                    self.handle_prompt_notice(now, link, notice, actions);
                }
                _ => {}
            },
        }
    }

    fn handle_opened(&mut self, now: Instant, link: LinkId, actions: &mut Actions) {
        self.links.handle_opened(now, link);
        actions.push(RoleAction::Metric(
            MetricKind::Count,
            metrics::LINKS_OPENED,
            1,
        ));
        let address = self.links.address_of(link);
        self.log_link(
            now,
            address,
            LogLevel::Info,
            format!("control link {link} opened"),
            actions,
        );
        let attach = ServingAttach {
            version: self.index.version(),
        };
        let body = FrameBody::ServingAttach(attach);
        self.commands.push(LinkCommand::Send { link, body });
        if let Some(report) = self.prompts.quarantine_report(now) {
            let body = FrameBody::PromptReport(report);
            self.commands.push(LinkCommand::Send { link, body });
        }
        self.report_all_streams(now, link);
        self.choose_primary();
        self.rates.reset_reported();
    }

    fn handle_closed(&mut self, now: Instant, link: LinkId, actions: &mut Actions) {
        self.prompts.remove_link(link);
        let address = self.links.address_of(link);
        if self.links.handle_closed(now, link) {
            let text = format!("control link {link} closed");
            self.log_link(now, address, LogLevel::Warn, text, actions);
        }
        self.choose_primary();
    }

    fn log_link(
        &mut self,
        now: Instant,
        address: Option<SocketAddr>,
        level: LogLevel,
        text: String,
        actions: &mut Actions,
    ) {
        let line = match address {
            Some(address) => self.link_log.record(now, address, (level, text)),
            None => Some((level, text)),
        };
        actions.extend(line.map(|(level, text)| RoleAction::Log(level, text)));
    }

    /// Chooses the control instance to report loads and demand to: the one that
    /// all gateways report to, if its link is open. If it changed, all loads and limits
    /// are reported anew.
    fn choose_primary(&mut self) {
        if self.links.choose_primary() {
            self.endpoints.reset_loads();
            for endpoint in self.endpoints.limits() {
                self.demand.record_limit(endpoint);
            }
        }
    }

    fn handle_update(
        &mut self,
        now: Instant,
        link: LinkId,
        update: ServingUpdate,
        actions: &mut Actions,
    ) {
        self.links.apply_advertised(now, link, &update);
        let list = update.evacuations.as_ref();
        let mut changed = list.is_some_and(|list| self.apply_evacuations(now, list, actions));
        let version = (update.controls_cluster, update.controls_version);
        let versions = &mut self.endpoints.versions;
        if !update.software.is_empty() && self.links.replaces(versions.list_version(), version) {
            changed |= versions.apply(version, update.software);
        }
        if update.entries > 0 && self.rates.record_attached(now, update.entries) {
            self.update_budgets();
        }
        if let Some(config) = update.config {
            let held = self.index.version();
            let version = config.version;
            if self.index.apply(config) {
                let text = format!("configuration version={version} held={held} outcome=in_force");
                actions.push(RoleAction::Log(LogLevel::Info, text));
                self.rates.set_plans(now, self.index.config());
                self.endpoints.set_cold_config(self.index.config());
                let services = self.index.config().services.iter();
                let names = services.map(|service| service.name.clone());
                changed |= self.endpoints.set_services(names.collect());
                self.remove_unrouted_times();
                let limits = self.index.config().limits.unwrap_or_default();
                actions.push(RoleAction::SetConnectionBounds(
                    CALLER_LISTENER,
                    connection_bounds(&limits),
                ));
            }
        }
        for status in update.endpoints {
            changed |= self.merge_status(now, status, actions);
        }
        if changed {
            self.retry_waiting_calls(now, actions);
        }
    }

    /// Merges an endpoint's status; returns whether it changed anything.
    fn merge_status(
        &mut self,
        now: Instant,
        status: EndpointStatus,
        actions: &mut Actions,
    ) -> bool {
        let text = format!(
            "endpoint id={} born={} sequence={} phase={:?} silent={} limit_milli={:?}",
            String::from_utf8_lossy(&status.id),
            status.born_ms,
            status.sequence,
            status.phase(),
            status.silent,
            status.limit.and_then(|limit| limit.milli_per_s),
        );
        self.record_cold_status(now, &status, actions);
        let known = self.endpoints.status(&status.id);
        let replaced = known
            .filter(|known| known.born_ms < status.born_ms && known.software != status.software);
        let replaced = replaced.map(|known| (known.id.clone(), known.born_ms));
        if !self.endpoints.merge(status) {
            return false;
        }
        actions.push(RoleAction::Log(LogLevel::Info, text));
        if let Some((id, born_ms)) = replaced {
            self.handle_version_change(now, &id, born_ms, actions);
        }
        true
    }

    /// Applies a list of evacuated zones; returns whether it changed anything.
    fn apply_evacuations(
        &mut self,
        now: Instant,
        list: &EvacuationList,
        actions: &mut Actions,
    ) -> bool {
        let changes = self.endpoints.evacuations.apply(now, list);
        for change in &changes {
            let line = format!(
                "evacuation zone={} term={} index={} outcome={}",
                text(&change.zone),
                list.term,
                list.index,
                if change.is_evacuated {
                    "in_force"
                } else {
                    "ended"
                },
            );
            actions.push(RoleAction::Log(LogLevel::Info, line));
            if !change.is_evacuated {
                self.expect_cold_zone(now, &change.zone);
            }
        }
        let evacuated = self.endpoints.evacuations.len() as u64;
        let metric = RoleAction::Metric(MetricKind::Gauge, metrics::EVACUATED_ZONES, evacuated);
        actions.push(metric);
        !changes.is_empty()
    }

    fn handle_http(
        &mut self,
        now: Instant,
        listener: ListenerId,
        event: HttpEvent,
        actions: &mut Actions,
    ) {
        match event {
            HttpEvent::Request { request, .. } if listener == READINESS_LISTENER => {
                let status = if self.is_ready() { 200 } else { 503 };
                send_empty_response(request, status, Vec::new(), actions);
            }
            HttpEvent::Request { request, http } => self.handle_call(now, request, http, actions),
            HttpEvent::Disconnected { request } => self.handle_disconnect(now, request, actions),
        }
    }

    fn handle_timer(&mut self, now: Instant, actions: &mut Actions) {
        self.handle_due_calls(now, actions);
        self.expire_permits(now, actions);
        self.expire_lookups(now, actions);
        self.expire_copies(now, actions);
        self.confirm_waiting_calls(now, actions);
        self.retry_token_waits(now, actions);
        self.retry_deferred_calls(now, actions);
        self.links.dial(now, &mut self.commands);
        if self.next_tick <= now {
            self.next_tick = now + TICK_INTERVAL;
            self.demand.remove_expired(now);
            let lines = self.link_log.take_due(now).into_iter();
            actions.extend(lines.map(|(level, text)| RoleAction::Log(level, text)));
            self.report_loads(now);
            self.expire_probes(now, actions);
            self.move_slow_streams(now, actions);
            self.leave_token_waits(now, actions);
            self.report_cold_count(now, actions);
            self.report_prompts(now, true, actions);
            self.report_token_waits(now, actions);
            self.report_deferred_calls(now, actions);
            let in_flight = self.calls.len() as u64;
            let metric = RoleAction::Metric(MetricKind::Gauge, metrics::IN_WORK, in_flight);
            actions.push(metric);
        }
        if self.next_retry <= now {
            self.next_retry = now + WAIT_INTERVAL;
            self.retry_waiting_calls(now, actions);
        }
        self.check_shutdown(now, actions);
    }

    /// Reports the admitted units to every control instance.
    fn report_rates(&mut self, now: Instant) {
        if let Some(report) = self.rates.report(now) {
            for link in self.links.open_links() {
                let body = FrameBody::RateUse(report.clone());
                self.commands.push(LinkCommand::Send { link, body });
            }
        }
    }

    /// Applies what all other gateways have at endpoints and sent to them.
    fn apply_load_share(&mut self, now: Instant, share: LoadShare) {
        self.endpoints.apply_load_share(now, share.loads);
        for sends in &share.sends {
            let status = self.endpoints.status(&sends.endpoint);
            let traits = status.and_then(|it| measured_traits(&self.index, &it.service));
            if let Some(memory_tokens) = traits.map(|traits| traits.cache_tokens) {
                self.endpoints.apply_sends(now, sends, memory_tokens);
            }
        }
    }

    /// Reports this gateway's load at endpoints to control.
    fn report_loads(&mut self, now: Instant) {
        if self.links.primary_link().is_none() {
            return;
        }
        let share = self.endpoints.collect_load_changes(now);
        if !share.loads.is_empty() || !share.sends.is_empty() {
            self.commands
                .extend(self.links.send_on_primary(FrameBody::LoadShare(share)));
        }
    }

    fn report_demand(&mut self, now: Instant) {
        if self.links.primary_link().is_none() {
            return;
        }
        if let Some(report) = self.demand.report(now) {
            let command = self.links.send_on_primary(FrameBody::ServingDemand(report));
            self.commands.extend(command);
        }
    }
}

impl<C: CallCodec> RoleMachine for GatewayRole<C> {
    type Event = GatewayEvent;
    type Action = ();

    fn handle(&mut self, now: Instant, event: RoleEvent<GatewayEvent>, actions: &mut Actions) {
        self.last_handled = now;
        match event {
            RoleEvent::Link(event) => self.handle_link(now, event, actions),
            RoleEvent::Timer => self.handle_timer(now, actions),
            RoleEvent::Shutdown => self.begin_shutdown(now, actions),
            RoleEvent::Exchange(event) => self.handle_exchange(now, event, actions),
            RoleEvent::Http(listener, event) => self.handle_http(now, listener, event, actions),
            RoleEvent::RoleSpecific(GatewayEvent::Seeds(list)) => self.links.set_seeds(now, &list),
        }
        self.report_rates(now);
        self.report_demand(now);
        self.report_streams(now);
        self.report_prompts(now, false, actions);
        actions.extend(self.commands.drain(..).map(RoleAction::Link));
    }

    fn deadline(&self) -> Option<Instant> {
        let waiting = (!self.calls.waiting().is_empty()).then_some(self.next_retry);
        [
            self.calls.deadline(),
            self.links.deadline(),
            self.rates.deadline(),
            self.confirmation_deadline(),
            self.token_waits.deadline(),
            self.deferred.deadline(),
            self.permits.deadline(),
            self.streams.deadline(),
            self.copies.deadline(),
            waiting,
            self.shutdown_deadline(),
            Some(self.next_tick),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn connection_bounds(limits: &CallerLimits) -> ConnectionBounds {
    let size = |bytes: u64, default: usize| match bytes {
        0 => default,
        bytes => usize::try_from(bytes).unwrap_or(default),
    };
    let time = |ms: u64, default: Duration| match ms {
        0 => default,
        ms => Duration::from_millis(ms),
    };
    ConnectionBounds {
        head_max: size(limits.head_bytes, BOUNDS_DEFAULT.head_max),
        body_max: size(limits.body_bytes, BOUNDS_DEFAULT.body_max),
        head_timeout: time(limits.head_timeout_ms, BOUNDS_DEFAULT.head_timeout),
        idle_timeout: time(limits.idle_timeout_ms, BOUNDS_DEFAULT.idle_timeout),
    }
}
