//! Hosts one role's state machine as an actor.
//!
//! Algorithm: every event is passed to the machine, then its actions are
//! carried out in order; link events that the actions cause are passed in
//! turn until none is left. One timer covers the machine's deadline and the
//! links' pings.

use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{
    AnswerPart, ExchangeCommand, HttpEvent, LinkCommand, LinkEvent, LinkId, ListenerId, LogLevel,
    RoleAction, RoleEvent, RoleMachine,
};
use mulberrywell_wire::LinkSide;
use stakker::{fail, fwd_to, timer_min, Fwd, MinTimerKey, CX};
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, Ready};

use crate::caller_table::CallerId;
use crate::event_sender::EventSender;
use crate::exchange_table::ConnectionId;
use crate::http_ports::{HttpPorts, PortEvent};
use crate::link_table::{LinkCredentials, LinkTable};
use crate::metric_output::MetricOutput;

/// Listener of those who read metrics.
const METRICS: ListenerId = ListenerId::MAX;

/// Events taken from the threads' queue before links get their turn.
const BATCH_LEN: usize = 256;

/// Carries out the actions that only one role has.
pub trait RolePort<M: RoleMachine> {
    /// Carries out one action; must not block.
    fn perform(&mut self, action: M::Action);

    /// Returns an event that must precede the next one.
    fn prelude(&mut self) -> Option<M::Event> {
        None
    }
}

/// What a host is made of.
pub struct HostParts<M: RoleMachine, P> {
    /// Fixed prefix of the role's log lines.
    pub prefix: &'static str,
    /// The state machine.
    pub machine: M,
    /// Identity of the process on its links.
    pub credentials: LinkCredentials,
    /// Listener for links, where the role accepts any.
    pub listener: Option<std::net::TcpListener>,
    /// The role's own HTTP listeners.
    pub http: Vec<(ListenerId, std::net::TcpListener)>,
    /// Listener that metrics are read at as text.
    pub metric_listen: Option<std::net::TcpListener>,
    /// Builds the event that tells the role of new seeds, if it has one.
    pub seeds_event: Option<fn(Vec<std::net::SocketAddr>) -> M::Event>,
    /// Where metrics go.
    pub metrics: MetricOutput,
    /// Builds the port from the sender of the role's events.
    pub port: Box<dyn FnOnce(EventSender<M::Event>) -> P>,
    /// Told once the graceful shutdown has ended.
    pub finished: Fwd<()>,
}

/// One role in its actor.
pub struct RoleHost<M: RoleMachine + 'static, P: RolePort<M> + 'static> {
    prefix: &'static str,
    machine: M,
    port: P,
    links: LinkTable,
    ports: HttpPorts,
    metrics: MetricOutput,
    seeds_event: Option<fn(Vec<std::net::SocketAddr>) -> M::Event>,
    rx: Receiver<M::Event>,
    wake: Fwd<()>,
    finished: Fwd<()>,
    timer: MinTimerKey,
    /// Empty between events.
    link_events: VecDeque<LinkEvent>,
    /// Reused between events.
    actions: Vec<RoleAction<M::Action>>,
    /// Reused between events.
    scratch: Vec<LinkEvent>,
}

impl<M: RoleMachine + 'static, P: RolePort<M> + 'static> RoleHost<M, P> {
    /// Starts the role.
    pub fn init(cx: CX![], parts: HostParts<M, P>) -> Option<Self> {
        let wake = fwd_to!([cx], drain() as ());
        let (sender, rx) = EventSender::new(cx, wake.clone());
        let now = cx.now();
        let mut host = RoleHost {
            prefix: parts.prefix,
            machine: parts.machine,
            port: (parts.port)(sender),
            links: LinkTable::new(parts.credentials, now),
            ports: HttpPorts::new(now),
            metrics: parts.metrics,
            seeds_event: parts.seeds_event,
            rx,
            wake,
            finished: parts.finished,
            timer: MinTimerKey::default(),
            link_events: VecDeque::new(),
            actions: Vec::new(),
            scratch: Vec::new(),
        };
        if let Some(listener) = parts.listener {
            if let Err(err) = host.listen(cx, listener) {
                fail!(cx, "{}: can't listen: {}", host.prefix, err);
                return None;
            }
        }
        let metric_listen = parts.metric_listen.map(|it| (METRICS, it));
        for (id, listener) in parts.http.into_iter().chain(metric_listen) {
            if let Err(err) = host.listen_http(cx, id, listener) {
                fail!(cx, "{}: can't listen for callers: {}", host.prefix, err);
                return None;
            }
        }
        host.timer_fired(cx);
        Some(host)
    }

    fn listen(&mut self, cx: CX![], listener: std::net::TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let ready = fwd_to!([cx], accept() as (Ready));
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
        self.ports.begin_use();
        let ready = fwd_to!([cx], accept_caller(id) as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        let listener = TcpListener::from_std(listener);
        self.ports.callers.listen(&poll, id, listener, ready)
    }

    fn accept_caller(&mut self, cx: CX![], listener: ListenerId, _: Ready) {
        while let Some((id, stream)) = self.ports.callers.accept(listener) {
            let ready = fwd_to!([cx], caller_ready(id) as (Ready));
            let poll = cx.anymap_get::<MioPoll>();
            let callers = &mut self.ports.callers;
            let attached = callers.attach(&poll, cx.now(), listener, id, stream, ready);
            if let Err(err) = attached {
                spdlog::warn!("{}: can't take a caller: {}", self.prefix, err);
            }
        }
    }

    fn caller_ready(&mut self, cx: CX![], id: CallerId, _: Ready) {
        let ports = &mut self.ports;
        let events = &mut ports.caller_events;
        ports
            .callers
            .ready(cx.now(), id, &mut ports.scratch, events);
        self.settle(cx);
    }

    fn endpoint_ready(&mut self, cx: CX![], id: ConnectionId, _: Ready) {
        let ports = &mut self.ports;
        let events = &mut ports.exchange_events;
        ports
            .exchanges
            .ready(cx.now(), id, &mut ports.scratch, events);
        self.settle(cx);
    }

    fn command_exchange(&mut self, cx: CX![], command: ExchangeCommand) {
        let Some(start) = self.ports.command(command) else {
            return;
        };
        let id = self.ports.exchanges.next_connection();
        let ready = fwd_to!([cx], endpoint_ready(id) as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        let exchanges = &mut self.ports.exchanges;
        if let Err(err) = exchanges.open(&poll, cx.now(), id, &start, ready) {
            spdlog::debug!("{}: can't reach {}: {}", self.prefix, start.address, err);
            self.ports.refuse(&start);
        }
    }

    /// Tells the role of new seeds.
    pub fn set_seeds(&mut self, cx: CX![], seeds: Vec<std::net::SocketAddr>) {
        if let Some(build) = self.seeds_event {
            self.feed(cx, RoleEvent::Own(build(seeds)));
            self.settle(cx);
        }
    }

    /// Answers a reader of metrics.
    fn answer_metrics(&mut self, cx: CX![], event: &HttpEvent) {
        let HttpEvent::Request { request, .. } = *event else {
            return;
        };
        let body = Bytes::from(self.metrics.to_text());
        let head = AnswerPart::Head {
            status: 200,
            headers: Vec::new(),
            length: Some(body.len() as u64),
        };
        for part in [head, AnswerPart::Data(body), AnswerPart::End] {
            let events = &mut self.ports.caller_events;
            self.ports.callers.answer(cx.now(), request, part, events);
        }
    }

    /// Begins a graceful shutdown.
    pub fn shut_down(&mut self, cx: CX![]) {
        spdlog::info!("{}: graceful shutdown began", self.prefix);
        self.feed(cx, RoleEvent::Shutdown);
        self.settle(cx);
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        while let Some((link, stream)) = self.links.accept() {
            if let Err(err) = self.attach(cx, link, stream, LinkSide::Listener) {
                spdlog::warn!("{}: can't take a link: {}", self.prefix, err);
            }
        }
    }

    fn attach(
        &mut self,
        cx: CX![],
        link: LinkId,
        stream: TcpStream,
        side: LinkSide,
    ) -> std::io::Result<()> {
        let ready = fwd_to!([cx], link_ready(link) as (Ready));
        let poll = cx.anymap_get::<MioPoll>();
        self.links
            .attach(&poll, link, stream, side, cx.now(), ready)
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "the shape that `fwd_to!` calls"
    )]
    fn link_ready(&mut self, cx: CX![], link: LinkId, ready: Ready) {
        self.links.ready(cx.now(), link, &ready, &mut self.scratch);
        self.link_events.extend(self.scratch.drain(..));
        self.settle(cx);
    }

    /// Takes events from the threads' queue.
    fn drain(&mut self, cx: CX![]) {
        for _ in 0..BATCH_LEN {
            match self.rx.try_recv() {
                Ok(event) => self.feed(cx, RoleEvent::Own(event)),
                Err(_) => {
                    self.settle(cx);
                    return;
                }
            }
        }
        self.settle(cx);
        self.wake.fwd(());
    }

    fn timer_fired(&mut self, cx: CX![]) {
        let now = cx.now();
        self.links.tick(now, &mut self.scratch);
        self.link_events.extend(self.scratch.drain(..));
        self.ports.tick(now);
        if self.machine.deadline().is_some_and(|at| at <= now) {
            self.feed(cx, RoleEvent::Timer);
        }
        self.settle(cx);
    }

    fn feed(&mut self, cx: CX![], event: RoleEvent<M::Event>) {
        if let Some(prelude) = self.port.prelude() {
            self.machine
                .handle(cx.now(), RoleEvent::Own(prelude), &mut self.actions);
        }
        self.machine.handle(cx.now(), event, &mut self.actions);
        self.perform(cx);
    }

    /// Passes events of sockets in until none is left, then sets the timer.
    fn settle(&mut self, cx: CX![]) {
        loop {
            while let Some(event) = self.link_events.pop_front() {
                self.feed(cx, RoleEvent::Link(event));
            }
            while let Some(event) = self.ports.next_event() {
                match event {
                    PortEvent::Caller(METRICS, event) => self.answer_metrics(cx, &event),
                    PortEvent::Caller(listener, event) => {
                        self.feed(cx, RoleEvent::Caller(listener, event));
                    }
                    PortEvent::Exchange(event) => self.feed(cx, RoleEvent::Exchange(event)),
                }
            }
            self.links.flush(&mut self.scratch);
            self.link_events.extend(self.scratch.drain(..));
            self.ports.flush();
            if self.link_events.is_empty() && !self.ports.has_events() {
                break;
            }
        }
        let deadlines = [
            Some(self.links.deadline()),
            self.machine.deadline(),
            self.ports.deadline(),
        ];
        let next = deadlines.into_iter().flatten().min();
        let at = next.unwrap_or_else(|| self.links.deadline());
        // A deadline that has passed must not starve the links.
        let at = at.max(cx.now() + Duration::from_millis(1));
        timer_min!(&mut self.timer, at, [cx], timer_fired());
    }

    fn perform(&mut self, cx: CX![]) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                RoleAction::Link(command) => self.command_link(cx, command),
                RoleAction::Log(level, text) => self.log(level, &text),
                RoleAction::Metric(kind, name, value) => self.metrics.report(kind, name, value),
                RoleAction::Exchange(command) => self.command_exchange(cx, command),
                RoleAction::Answer(request, part) => {
                    let events = &mut self.ports.caller_events;
                    self.ports.callers.answer(cx.now(), request, part, events);
                }
                RoleAction::Bound(listener, bounds) => {
                    self.ports.callers.set_bounds(listener, bounds);
                }
                RoleAction::CloseCallers(listener) => {
                    self.ports.callers.close_callers(cx.now(), listener);
                }
                RoleAction::StopCallers(listener) => self.ports.callers.stop(listener),
                RoleAction::Finished => self.finished.fwd(()),
                RoleAction::Own(action) => self.port.perform(action),
            }
        }
        self.actions = actions;
    }

    fn command_link(&mut self, cx: CX![], command: LinkCommand) {
        match command {
            LinkCommand::Dial { link, address } => {
                let dialed = LinkTable::connect(address)
                    .and_then(|stream| self.attach(cx, link, stream, LinkSide::Dialer));
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

/// The instant type that stakker uses is the standard one.
const _: fn(Instant) -> stakker::time::Instant = |now| now;
