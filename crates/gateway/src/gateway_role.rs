//! The state machine of the gateway role.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::RetryBudget;
use mulberrywell_role::{
    HttpEvent, LinkCommand, LinkEvent, LinkId, ListenerId, LogLevel, MetricKind, RequestBounds,
    RoleAction, RoleEvent, RoleMachine,
};
use mulberrywell_serving::ServingIndex;
use mulberrywell_wire::serving::{
    CallerLimits, RepeatRule, ServingAttach, ServingRoute, ServingUpdate,
};
use mulberrywell_wire::FrameBody;

use crate::attempts::WAIT_INTERVAL;
use crate::call_book::CallBook;
use crate::call_codec::{CallCodec, RefusalReason};
use crate::caller_answers::send_empty;
use crate::control_links::ControlLinks;
use crate::endpoint_table::EndpointTable;
use crate::gateway_counters as counters;
use crate::rate_limits::RateLimits;
use crate::wanted_models::WantedModels;

/// Listener of callers.
pub const CALLERS: ListenerId = 0;

/// Listener that tells whether this instance takes callers.
pub const READINESS: ListenerId = 1;

/// Interval of regular work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time before the end of a shutdown at which callers are taken no more: a plain
/// service answers well within it.
const PLAIN_TIME: Duration = Duration::from_millis(1_500);

/// Hundredths of a retry in one.
const RETRY_HUNDREDTHS: u32 = 100;

/// Time in which callers get their last answers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Entries that share endpoints and budgets before control counted them.
const ENTRIES_DEFAULT: u32 = 8;

/// Bounds on callers where the configuration names none.
const BOUNDS_DEFAULT: RequestBounds = RequestBounds {
    head_max: 16 * 1024,
    body_max: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// What the role needs to start.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Availability zone.
    pub zone: Bytes,
    /// Link addresses of control instances.
    pub seeds: Vec<SocketAddr>,
    /// Second hand-overs for each hundred requests of a service.
    pub retry_percent: u32,
    /// Second hand-overs of a service that all instances together may make
    /// beyond that share.
    pub retry_extra: u32,
    /// Tokens that all instances together may admit beyond an account's rate
    /// and burst.
    pub rate_tolerance: u64,
    /// Time after the begin of a shutdown before which it does not end, as the
    /// balancer takes that long to see that this instance is not ready.
    pub shutdown_accept: Duration,
    /// Time after which a shutdown cuts the calls that are left.
    pub shutdown_limit: Duration,
}

/// Events that only this role has.
#[derive(Debug)]
pub enum GatewayEvent {
    /// The settings name these control instances from now on.
    Seeds(Vec<SocketAddr>),
}

pub(crate) type Actions = Vec<RoleAction<()>>;

/// The gateway role.
pub struct GatewayRole<C> {
    pub(crate) codec: C,
    pub(crate) config: GatewayConfig,
    pub(crate) index: ServingIndex,
    pub(crate) endpoints: EndpointTable,
    pub(crate) calls: CallBook,
    pub(crate) rates: RateLimits,
    /// By service.
    pub(crate) budgets: BTreeMap<Bytes, RetryBudget>,
    pub(crate) links: ControlLinks,
    pub(crate) wanted: WantedModels,
    /// Entries that share endpoints and budgets.
    pub(crate) entries: u32,
    /// When the shutdown began.
    stopping: Option<Instant>,
    /// Callers are taken no more.
    refusing: bool,
    finished: bool,
    /// Instant of the last event.
    handled: Instant,
    next_tick: Instant,
    next_waiting: Instant,
    /// Reused for commands of the links.
    commands: Vec<LinkCommand>,
}

impl<C: CallCodec> GatewayRole<C> {
    /// Creates a role that knows no configuration.
    pub fn new(config: GatewayConfig, codec: C, now: Instant) -> Self {
        GatewayRole {
            codec,
            index: ServingIndex::default(),
            endpoints: EndpointTable::default(),
            calls: CallBook::default(),
            rates: RateLimits::new(config.rate_tolerance, now),
            budgets: BTreeMap::new(),
            links: ControlLinks::new(&config.seeds, now),
            wanted: WantedModels::default(),
            entries: ENTRIES_DEFAULT,
            stopping: None,
            refusing: false,
            finished: false,
            handled: now,
            next_tick: now,
            next_waiting: now,
            commands: Vec::new(),
            config,
        }
    }

    /// Tells whether this instance takes callers.
    pub fn is_ready(&self) -> bool {
        self.index.version() > 0 && self.endpoints.len() > 0 && self.stopping.is_none()
    }

    /// Returns this instance's part of a service's budget of second hand-overs.
    pub(crate) fn new_budget(&self) -> RetryBudget {
        let extra = self.config.retry_extra.saturating_mul(RETRY_HUNDREDTHS);
        let reserve = extra / self.entries.max(1);
        RetryBudget::with_bounds(self.config.retry_percent, reserve.max(RETRY_HUNDREDTHS))
    }

    fn take_link(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, .. } => self.take_opened(link, actions),
            LinkEvent::Closed { link } => self.take_closed(now, link, actions),
            LinkEvent::Frame { link, body } => match body {
                FrameBody::ServingUpdate(update) => self.take_update(now, update, actions),
                FrameBody::LoadShare(share) if self.links.asked_link() == Some(link) => {
                    self.endpoints.hear_loads(share);
                }
                FrameBody::RateTotals(totals) => self.rates.hear(now, &totals),
                _ => {}
            },
        }
    }

    fn take_opened(&mut self, link: LinkId, actions: &mut Actions) {
        self.links.opened(link);
        let text = format!("control link {link} opened");
        actions.push(RoleAction::Log(LogLevel::Info, text));
        let attach = ServingAttach {
            version: self.index.version(),
        };
        let body = FrameBody::ServingAttach(attach);
        self.commands.push(LinkCommand::Send { link, body });
        self.choose_asked();
        self.rates.tell_all();
    }

    fn take_closed(&mut self, now: Instant, link: LinkId, actions: &mut Actions) {
        if self.links.closed(now, link) {
            let text = format!("control link {link} closed");
            actions.push(RoleAction::Log(LogLevel::Warn, text));
        }
        self.choose_asked();
    }

    /// Asks the instance that all others ask, if it is linked.
    fn choose_asked(&mut self) {
        if self.links.choose_asked() {
            self.endpoints.forget_loads();
        }
    }

    fn take_update(&mut self, now: Instant, update: ServingUpdate, actions: &mut Actions) {
        self.links.set_named(now, &update.controls);
        if update.entries > 0 {
            self.entries = update.entries;
        }
        if let Some(config) = update.config {
            let held = self.index.version();
            let version = config.version;
            if self.index.apply(config) {
                let text = format!("configuration version={version} held={held} outcome=in_force");
                actions.push(RoleAction::Log(LogLevel::Info, text));
                self.rates.set_plans(now, self.index.config(), self.entries);
                let limits = self.index.config().limits.unwrap_or_default();
                actions.push(RoleAction::Bound(CALLERS, bounds_of(&limits)));
            }
        }
        let mut changed = false;
        for status in update.endpoints {
            let text = format!(
                "endpoint id={} born={} sequence={} phase={:?} silent={}",
                String::from_utf8_lossy(&status.id),
                status.born_ms,
                status.sequence,
                status.phase(),
                status.silent
            );
            if self.endpoints.merge(status) {
                changed = true;
                actions.push(RoleAction::Log(LogLevel::Info, text));
            }
        }
        if changed {
            self.try_waiting(now, actions);
        }
    }

    fn take_caller(
        &mut self,
        now: Instant,
        listener: ListenerId,
        event: HttpEvent,
        actions: &mut Actions,
    ) {
        match event {
            HttpEvent::Request { request, .. } if listener == READINESS => {
                let status = if self.is_ready() { 200 } else { 503 };
                send_empty(request, status, Vec::new(), actions);
            }
            HttpEvent::Request { request, http } => self.take_request(now, request, http, actions),
            HttpEvent::Gone { request } => self.caller_gone(now, request, actions),
        }
    }

    fn take_timer(&mut self, now: Instant, actions: &mut Actions) {
        self.check_calls(now, actions);
        self.links.dial(now, &mut self.commands);
        if self.next_tick <= now {
            self.next_tick = now + TICK_INTERVAL;
            self.wanted.tick(now);
            self.report_loads();
            let in_work = self.calls.len() as u64;
            let metric = RoleAction::Metric(MetricKind::Gauge, counters::IN_WORK, in_work);
            actions.push(metric);
        }
        if self.next_waiting <= now {
            self.next_waiting = now + WAIT_INTERVAL;
            self.try_waiting(now, actions);
        }
        self.check_shutdown(now, actions);
    }

    fn shut_down(&mut self, now: Instant, actions: &mut Actions) {
        self.stopping = self.stopping.or(Some(now));
        actions.push(RoleAction::CloseCallers(CALLERS));
    }

    /// Tells whether a call of a route may begin here: once a shutdown has begun
    /// other instances take the streams, whose length is not known.
    pub(crate) fn may_begin(&self, route: &ServingRoute) -> bool {
        self.stopping.is_none() || route.repeat() != RepeatRule::Stream
    }

    /// Ends a shutdown once no call is left and no new one is to come.
    fn check_shutdown(&mut self, now: Instant, actions: &mut Actions) {
        let Some(since) = self.stopping.filter(|_| !self.finished) else {
            return;
        };
        let spent = now.saturating_duration_since(since);
        let last_callers = self.config.shutdown_limit.saturating_sub(PLAIN_TIME);
        if spent >= last_callers && !self.refusing {
            self.refusing = true;
            actions.push(RoleAction::StopCallers(CALLERS));
        }
        if spent >= self.config.shutdown_limit {
            for request in self.calls.requests() {
                self.end_unserved(now, request, RefusalReason::TimedOut, actions);
            }
        }
        let quiet = spent >= self.config.shutdown_accept && self.calls.is_empty();
        if quiet || spent >= self.config.shutdown_limit + FLUSH_TIME {
            self.finished = true;
            actions.push(RoleAction::Finished);
        }
    }

    /// Tells every control instance what was admitted.
    fn report_rates(&mut self, now: Instant) {
        if let Some(report) = self.rates.report(now) {
            for link in self.links.open_links() {
                let body = FrameBody::RateUse(report.clone());
                self.commands.push(LinkCommand::Send { link, body });
            }
        }
    }

    /// Tells control what this entry has at endpoints.
    fn report_loads(&mut self) {
        if self.links.asked_link().is_none() {
            return;
        }
        let share = self.endpoints.take_loads();
        if !share.loads.is_empty() {
            self.commands
                .extend(self.links.ask(FrameBody::LoadShare(share)));
        }
    }

    fn report_wants(&mut self, now: Instant) {
        if self.links.asked_link().is_none() {
            return;
        }
        if let Some(demand) = self.wanted.report(now) {
            let command = self.links.ask(FrameBody::ServingDemand(demand));
            self.commands.extend(command);
        }
    }

    fn shutdown_deadline(&self) -> Option<Instant> {
        let since = self.stopping.filter(|_| !self.finished)?;
        let times = [
            self.config.shutdown_accept,
            self.config.shutdown_limit.saturating_sub(PLAIN_TIME),
            self.config.shutdown_limit,
            self.config.shutdown_limit + FLUSH_TIME,
        ];
        let instants = times.map(|time| since + time);
        instants.into_iter().find(|at| *at > self.handled)
    }
}

impl<C: CallCodec> RoleMachine for GatewayRole<C> {
    type Event = GatewayEvent;
    type Action = ();

    fn handle(&mut self, now: Instant, event: RoleEvent<GatewayEvent>, actions: &mut Actions) {
        self.handled = now;
        match event {
            RoleEvent::Link(event) => self.take_link(now, event, actions),
            RoleEvent::Timer => self.take_timer(now, actions),
            RoleEvent::Shutdown => self.shut_down(now, actions),
            RoleEvent::Exchange(event) => self.take_exchange(now, event, actions),
            RoleEvent::Caller(listener, event) => self.take_caller(now, listener, event, actions),
            RoleEvent::Own(GatewayEvent::Seeds(seeds)) => self.links.set_seeds(now, &seeds),
        }
        self.report_rates(now);
        self.report_wants(now);
        actions.extend(self.commands.drain(..).map(RoleAction::Link));
    }

    fn deadline(&self) -> Option<Instant> {
        let waiting = (!self.calls.waiting().is_empty()).then_some(self.next_waiting);
        [
            self.calls.deadline(),
            self.links.deadline(),
            self.rates.deadline(),
            waiting,
            self.shutdown_deadline(),
            Some(self.next_tick),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn bounds_of(limits: &CallerLimits) -> RequestBounds {
    let size = |bytes: u64, default: usize| match bytes {
        0 => default,
        bytes => usize::try_from(bytes).unwrap_or(default),
    };
    let time = |ms: u64, default: Duration| match ms {
        0 => default,
        ms => Duration::from_millis(ms),
    };
    RequestBounds {
        head_max: size(limits.head_bytes, BOUNDS_DEFAULT.head_max),
        body_max: size(limits.body_bytes, BOUNDS_DEFAULT.body_max),
        head_timeout: time(limits.head_timeout_ms, BOUNDS_DEFAULT.head_timeout),
        idle_timeout: time(limits.idle_timeout_ms, BOUNDS_DEFAULT.idle_timeout),
    }
}
