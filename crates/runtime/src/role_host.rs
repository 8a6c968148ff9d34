//! Hosts one role's state machine as an actor.
//!
//! Algorithm: each event is passed to the machine, then its actions are carried
//! out in order; socket events that the actions cause are passed in turn until
//! none is left. One timer covers the deadlines of the machine, of the links'
//! pings and of HTTP connections.

use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{
    ExchangeCommand, HttpEvent, LinkCommand, LinkEvent, LinkId, ListenerId, LogLevel, ResponsePart,
    RoleAction, RoleEvent, RoleMachine,
};
use mulberrywell_wire::LinkSide;
use stakker::{fail, fwd_to, timer_min, Fwd, MinTimerKey, CX};
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, Ready};

use crate::budget_log::BudgetLog;
use crate::caller_budget::CallerBudget;
use crate::caller_table::{CallerId, RequestUse};
use crate::event_sender::EventSender;
use crate::exchange_table::ConnectionId;
use crate::http_driver::{DriverEvent, HttpDriver};
use crate::link_table::{LinkCredentials, LinkTable};
use crate::metric_output::MetricOutput;

/// Listener at which metrics are read.
const METRIC_LISTENER: ListenerId = ListenerId::MAX;

/// Connections accepted from one listener before others are served.
const ACCEPTS_MAX: usize = 64;

/// Events handled from the threads' queue before sockets are served again.
const BATCH_LEN: usize = 256;

/// Time before the end of a shutdown at which requests that have not arrived completely are
/// refused; their callers receive the refusals in it.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Carries out the actions specific to one role.
pub trait ActionHandler<M: RoleMachine> {
    /// Carries out one action; must not block.
    fn perform(&mut self, action: M::Action);

    /// Returns an event that must be handled before the next one.
    fn preceding_event(&mut self) -> Option<M::Event> {
        None
    }
}

/// Parts from which a host is built.
pub struct HostParts<M: RoleMachine, P> {
    /// Fixed prefix of the role's log lines.
    pub prefix: &'static str,
    /// The role's state machine.
    pub machine: M,
    /// Credentials of the process on its links.
    pub credentials: LinkCredentials,
    /// Listener for links, if the role accepts links.
    pub listener: Option<std::net::TcpListener>,
    /// The role's own HTTP listeners, and what it does with their requests.
    pub http: Vec<(ListenerId, RequestUse, std::net::TcpListener)>,
    /// The process's budget of what is held for callers.
    pub budget: CallerBudget,
    /// Listener at which metrics are read as text.
    pub metric_listen: Option<std::net::TcpListener>,
    /// Builds the event that notifies the role of new seeds, if it has one.
    pub seeds_event: Option<fn(Vec<std::net::SocketAddr>) -> M::Event>,
    /// Output of the role's metrics.
    pub metrics: MetricOutput,
    /// Builds the action handler from the sender of the role's events.
    pub handler: Box<dyn FnOnce(EventSender<M::Event>) -> P>,
    /// Called once the graceful shutdown has completed.
    pub finished: Fwd<()>,
}

/// Actor that runs one role.
pub struct RoleHost<M: RoleMachine + 'static, P: ActionHandler<M> + 'static> {
    prefix: &'static str,
    machine: M,
    handler: P,
    links: LinkTable,
    driver: HttpDriver,
    metrics: MetricOutput,
    budget_log: BudgetLog,
    seeds_event: Option<fn(Vec<std::net::SocketAddr>) -> M::Event>,
    rx: Receiver<M::Event>,
    wake: Fwd<()>,
    finished: Fwd<()>,
    /// Set once the machine has finished, until the callers have been sent what is
    /// queued for them: when the shutdown ends at the latest.
    finish_by: Option<Instant>,
    timer: MinTimerKey,
    /// Empty between events.
    link_events: VecDeque<LinkEvent>,
    /// Reused between events.
    actions: Vec<RoleAction<M::Action>>,
    /// Reused between events.
    scratch: Vec<LinkEvent>,
}

impl<M: RoleMachine + 'static, P: ActionHandler<M> + 'static> RoleHost<M, P> {
    /// Creates the actor and starts its listeners and timer.
    pub fn init(cx: CX![], parts: HostParts<M, P>) -> Option<Self> {
        let wake = fwd_to!([cx], drain_queue() as ());
        let (sender, rx) = EventSender::new(cx, wake.clone());
        let now = cx.now();
        let mut host = RoleHost {
            prefix: parts.prefix,
            machine: parts.machine,
            handler: (parts.handler)(sender),
            links: LinkTable::new(parts.credentials, parts.budget.clone(), now),
            driver: HttpDriver::new(now, parts.budget),
            metrics: parts.metrics,
            budget_log: BudgetLog::default(),
            seeds_event: parts.seeds_event,
            rx,
            wake,
            finished: parts.finished,
            finish_by: None,
            timer: MinTimerKey::default(),
            link_events: VecDeque::new(),
            actions: Vec::new(),
            scratch: Vec::new(),
        };
        if let Some(listener) = parts.listener {
            if let Err(err) = host.listen_links(cx, listener) {
                fail!(cx, "{}: can't listen: {}", host.prefix, err);
                return None;
            }
        }
        let metric_listen = parts.metric_listen.into_iter();
        let metric_listen = metric_listen.map(|it| (METRIC_LISTENER, RequestUse::Answered, it));
        for (id, request_use, listener) in parts.http.into_iter().chain(metric_listen) {
            if let Err(err) = host.listen_http(cx, id, listener) {
                fail!(cx, "{}: can't listen for callers: {}", host.prefix, err);
                return None;
            }
            host.driver.callers.set_request_use(id, request_use);
        }
        host.handle_timer(cx);
        Some(host)
    }

    fn listen_links(&mut self, cx: CX![], listener: std::net::TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let ready = fwd_to!([cx], accept_links() as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        self.links
            .listen(&poll, TcpListener::from_std(listener), ready)
    }

    fn listen_http(
        &mut self,
        cx: CX![],
        id: ListenerId,
        listener: std::net::TcpListener,
    ) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        self.driver.activate();
        let ready = fwd_to!([cx], handle_accept_ready(id) as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        let listener = TcpListener::from_std(listener);
        self.driver.callers.listen(&poll, id, listener, ready)
    }

    fn handle_accept_ready(&mut self, cx: CX![], listener: ListenerId, _: Ready) {
        self.accept_callers(cx, listener);
    }

    fn accept_callers(&mut self, cx: CX![], listener: ListenerId) {
        for _ in 0..ACCEPTS_MAX {
            let accepted = self.driver.callers.accept(cx.now(), listener);
            let Some((id, stream)) = accepted else {
                return;
            };
            let ready = fwd_to!([cx], handle_caller_ready(id) as (Ready));
            let poll = cx.anymap_get::<MioPoll>();
            let callers = &mut self.driver.callers;
            let attached = callers.attach(&poll, cx.now(), listener, id, stream, ready);
            if let Err(err) = attached {
                spdlog::warn!(
                    "{}: can't accept a caller's connection: {}",
                    self.prefix,
                    err
                );
            }
        }
        self.driver.callers.defer_accepts(cx.now(), listener);
    }

    fn stop_accepting(&mut self, cx: CX![], listener: ListenerId) {
        self.driver.callers.stop_accepting(listener);
        self.accept_callers(cx, listener);
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "signature required by `fwd_to!`"
    )]
    fn handle_caller_ready(&mut self, cx: CX![], id: CallerId, ready: Ready) {
        self.driver.read_caller(cx.now(), id);
        if ready.is_read_closed() {
            self.driver.close_paused(id);
        }
        self.process_events(cx);
    }

    fn handle_endpoint_ready(&mut self, cx: CX![], id: ConnectionId, _: Ready) {
        self.driver.read_endpoint(cx.now(), id);
        self.process_events(cx);
    }

    fn handle_exchange_command(&mut self, cx: CX![], command: ExchangeCommand) {
        let Some(start) = self.driver.handle_command(command) else {
            return;
        };
        let id = self.driver.exchanges.next_connection_id();
        let ready = fwd_to!([cx], handle_endpoint_ready(id) as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        let exchanges = &mut self.driver.exchanges;
        if let Err(err) = exchanges.open(&poll, cx.now(), id, &start, ready) {
            spdlog::debug!(
                "{}: can't connect to {}: {}",
                self.prefix,
                start.address,
                err
            );
            self.driver.fail_start(&start);
        }
    }

    /// Notifies the role of new seeds.
    pub fn set_seeds(&mut self, cx: CX![], seeds: Vec<std::net::SocketAddr>) {
        if let Some(build) = self.seeds_event {
            self.dispatch(cx, RoleEvent::RoleSpecific(build(seeds)));
            self.process_events(cx);
        }
    }

    /// Responds to a request for metrics.
    fn send_metrics(&mut self, cx: CX![], event: &HttpEvent) {
        let HttpEvent::Request { request, .. } = *event else {
            return;
        };
        let body = Bytes::from(self.metrics.to_text());
        let head = ResponsePart::Head {
            status: 200,
            headers: Vec::new(),
            length: Some(body.len() as u64),
        };
        for part in [head, ResponsePart::Data(body), ResponsePart::End] {
            self.driver.respond(cx.now(), request, part);
        }
    }

    /// Starts a graceful shutdown.
    pub fn shut_down(&mut self, cx: CX![]) {
        spdlog::info!("{}: graceful shutdown began", self.prefix);
        self.dispatch(cx, RoleEvent::Shutdown);
        self.process_events(cx);
    }

    fn accept_links(&mut self, cx: CX![], _: Ready) {
        self.accept_pending_links(cx);
    }

    fn accept_pending_links(&mut self, cx: CX![]) {
        for _ in 0..ACCEPTS_MAX {
            let Some((link, stream)) = self.links.accept(cx.now()) else {
                return;
            };
            if let Err(err) = self.attach_link(cx, link, stream, LinkSide::Listener) {
                spdlog::warn!("{}: can't accept a link: {}", self.prefix, err);
                self.links.close(link, &mut self.scratch);
            }
        }
        self.links.defer_accepts(cx.now());
    }

    fn attach_link(
        &mut self,
        cx: CX![],
        link: LinkId,
        stream: TcpStream,
        side: LinkSide,
    ) -> std::io::Result<()> {
        let ready = fwd_to!([cx], handle_link_ready(link) as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        self.links
            .attach(&poll, link, stream, side, cx.now(), ready)
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "signature required by `fwd_to!`"
    )]
    fn handle_link_ready(&mut self, cx: CX![], link: LinkId, ready: Ready) {
        self.links
            .handle_ready(cx.now(), link, &ready, &mut self.scratch);
        self.link_events.extend(self.scratch.drain(..));
        self.process_events(cx);
    }

    /// Handles events from the threads' queue.
    fn drain_queue(&mut self, cx: CX![]) {
        for _ in 0..BATCH_LEN {
            match self.rx.try_recv() {
                Ok(event) => self.dispatch(cx, RoleEvent::RoleSpecific(event)),
                Err(_) => {
                    self.process_events(cx);
                    return;
                }
            }
        }
        self.process_events(cx);
        self.wake.fwd(());
    }

    fn handle_timer(&mut self, cx: CX![]) {
        let now = cx.now();
        self.links.tick(now, &mut self.scratch);
        self.link_events.extend(self.scratch.drain(..));
        if self.links.take_accept_due(now) {
            self.accept_pending_links(cx);
        }
        for listener in self.driver.callers.take_listeners_due(now) {
            self.accept_callers(cx, listener);
        }
        self.driver.tick(now);
        if let Some(report) = self.driver.take_report() {
            self.budget_log.report(now, &report, &self.metrics);
        }
        if self.machine.deadline().is_some_and(|at| at <= now) {
            self.dispatch(cx, RoleEvent::Timer);
        }
        self.process_events(cx);
    }

    fn dispatch(&mut self, cx: CX![], event: RoleEvent<M::Event>) {
        if let Some(preceding_event) = self.handler.preceding_event() {
            self.machine.handle(
                cx.now(),
                RoleEvent::RoleSpecific(preceding_event),
                &mut self.actions,
            );
        }
        self.machine.handle(cx.now(), event, &mut self.actions);
        self.perform_actions(cx);
    }

    /// Handles socket events until none is left, then sets the timer.
    fn process_events(&mut self, cx: CX![]) {
        loop {
            while let Some(event) = self.link_events.pop_front() {
                self.dispatch(cx, RoleEvent::Link(event));
            }
            while let Some(event) = self.driver.pop_event() {
                match event {
                    DriverEvent::Http(METRIC_LISTENER, event) => self.send_metrics(cx, &event),
                    DriverEvent::Http(listener, event) => {
                        self.dispatch(cx, RoleEvent::Http(listener, event));
                    }
                    DriverEvent::Exchange(event) => self.dispatch(cx, RoleEvent::Exchange(event)),
                }
            }
            self.links.flush(&mut self.scratch);
            self.link_events.extend(self.scratch.drain(..));
            self.driver.flush();
            if self.link_events.is_empty() && !self.driver.has_events() {
                break;
            }
        }
        self.check_finished(cx.now());
        let refusal = self.finish_by.and_then(|at| at.checked_sub(REFUSAL_TIME));
        let deadlines = [
            self.finish_by,
            refusal.filter(|at| *at > cx.now()),
            Some(self.links.deadline()),
            self.machine.deadline(),
            self.driver.deadline(cx.now()),
        ];
        let next = deadlines.into_iter().flatten().min();
        let at = next.unwrap_or_else(|| self.links.deadline());
        // A deadline that has passed must not starve the sockets.
        let at = at.max(cx.now() + Duration::from_millis(1));
        timer_min!(&mut self.timer, at, [cx], handle_timer());
    }

    /// Ends the shutdown of a machine that has finished, once nothing is left to write and
    /// no caller can send a request any more on a connection that is still open.
    fn check_finished(&mut self, now: Instant) {
        let Some(at) = self.finish_by else {
            return;
        };
        if at <= now + REFUSAL_TIME {
            self.driver.callers.refuse_incomplete(now);
            self.driver.flush();
        }
        let callers = &self.driver.callers;
        if at <= now || !(callers.has_output() || callers.is_draining()) {
            self.finish_by = None;
            self.finished.fwd(());
        }
    }

    fn perform_actions(&mut self, cx: CX![]) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                RoleAction::Link(command) => self.handle_link_command(cx, command),
                RoleAction::Log(level, text) => self.log(level, &text),
                RoleAction::Metric(kind, name, value) => self.metrics.report(kind, name, value),
                RoleAction::Exchange(command) => self.handle_exchange_command(cx, command),
                RoleAction::Respond(request, part) => {
                    self.driver.respond(cx.now(), request, part);
                }
                RoleAction::SetConnectionBounds(listener, bounds) => {
                    self.driver.callers.set_bounds(listener, bounds);
                }
                RoleAction::DrainConnections(listener) => {
                    self.driver.callers.drain_connections(cx.now(), listener);
                }
                RoleAction::StopAccepting(listener) => self.stop_accepting(cx, listener),
                RoleAction::Finished => self.finished.fwd(()),
                RoleAction::FinishedBy(at) => {
                    self.finish_by = Some(at);
                    // The end of the process would reset connections that wait to be accepted.
                    for listener in self.driver.callers.draining_listeners() {
                        self.stop_accepting(cx, listener);
                    }
                }
                RoleAction::RoleSpecific(action) => self.handler.perform(action),
            }
        }
        self.actions = actions;
    }

    fn handle_link_command(&mut self, cx: CX![], command: LinkCommand) {
        match command {
            LinkCommand::Dial { link, address } => {
                let dialed = LinkTable::connect(address)
                    .and_then(|stream| self.attach_link(cx, link, stream, LinkSide::Dialer));
                if let Err(err) = dialed {
                    spdlog::debug!("{}: can't dial {}: {}", self.prefix, address, err);
                    self.link_events.push_back(LinkEvent::Closed { link });
                }
            }
            LinkCommand::Send { link, body } => {
                self.links.send(link, body, &mut self.scratch);
                self.link_events.extend(self.scratch.drain(..));
            }
            LinkCommand::Close { link } => {
                self.links.close(link, &mut self.scratch);
                self.link_events.extend(self.scratch.drain(..));
            }
        }
    }

    fn log(&self, level: LogLevel, text: &str) {
        match level {
            LogLevel::Debug => spdlog::debug!("{}: {}", self.prefix, text),
            LogLevel::Info => spdlog::info!("{}: {}", self.prefix, text),
            LogLevel::Warn => spdlog::warn!("{}: {}", self.prefix, text),
            LogLevel::Error => spdlog::error!("{}: {}", self.prefix, text),
        }
    }
}

/// Checks at compile time that stakker uses the standard instant type.
const _: fn(Instant) -> stakker::time::Instant = |now| now;
