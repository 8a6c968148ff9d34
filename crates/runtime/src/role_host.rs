//! Hosts one role's state machine as an actor.
//!
//! Algorithm: every event is passed to the machine, then its actions are
//! carried out in order; link events that the actions cause are passed in
//! turn until none is left. One timer covers the machine's deadline and the
//! links' pings.

use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use mulberrywell_role::{
    LinkCommand, LinkEvent, LinkId, LogLevel, RoleAction, RoleEvent, RoleMachine,
};
use mulberrywell_wire::LinkSide;
use stakker::{fail, fwd_to, timer_min, Fwd, MinTimerKey, CX};
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, Ready};

use crate::event_sender::EventSender;
use crate::link_table::{LinkCredentials, LinkTable};
use crate::metric_output::MetricOutput;

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
    metrics: MetricOutput,
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
            metrics: parts.metrics,
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

    /// Passes link events in until none is left, then sets the timer.
    fn settle(&mut self, cx: CX![]) {
        loop {
            while let Some(event) = self.link_events.pop_front() {
                self.feed(cx, RoleEvent::Link(event));
            }
            self.links.flush(&mut self.scratch);
            self.link_events.extend(self.scratch.drain(..));
            if self.link_events.is_empty() {
                break;
            }
        }
        let next = self.machine.deadline();
        let at = next.map_or(self.links.deadline(), |at| at.min(self.links.deadline()));
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
