//! TCP proxy between callers and the HTTP server library.
//!
//! Purpose: the library uses a thread for each connection, limits neither the
//! time nor the length of a head, does not report that a caller hung up and
//! can't close a connection. The proxy accepts connections in its place and
//! forwards only well-formed requests to the library, its upstream server; see
//! [`crate::proxy_connection`].
//!
//! Guarantees: the number of connections, their buffers and their durations are
//! bounded; at the limit, a connection without a request in flight is closed in
//! favour of a new one, an idle one of a caller that behaves only while such ones
//! are more than half; requests of a caller that hung up are reported at once;
//! bytes that did not pass through the proxy never start a request.
//!
//! Algorithm: one thread polls all sockets. The library listens on loopback and
//! reports the peer port of each connection, which is the proxy's local port
//! and identifies the connection. The library may leave a connection in its
//! queue although it has no idle thread, until it accepts another one;
//! therefore the proxy opens empty connections while the library has not
//! started a forwarded request ([`crate::start_tracker`]).

mod closing_upstreams;
mod proxy_admission;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use mulberrywell_role::RequestId;
use socket2::SockRef;

use crate::caller_budget::{CallerBudget, RefusalKind};
use crate::caller_table::is_connection_error;
use crate::http_refusal::OVERLOADED;
use crate::open_ports::OpenPorts;
use crate::proxy_connection::{
    CloseMode, ConnectionLimits, ProxyConnection, ProxySide, ProxyStep, SocketReady,
    UpstreamSocket, READ_LEN,
};
use crate::start_tracker::StartTracker;

use closing_upstreams::ClosingUpstreams;
use proxy_admission::Admission;

/// Size in bytes of the socket buffer for responses to one caller.
pub const SEND_BUFFER: usize = 128 * 1024;

/// Interval at which timeouts are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after `accept` failed for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Capacity of the command queue.
const COMMANDS_MAX: usize = 4_096;

/// Maximum number of events returned by one poll.
const EVENTS_LEN: usize = 1_024;

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);

/// First token of a connection; each connection has two.
const FIRST_CONNECTION_TOKEN: usize = 2;

/// Id of a connection; never reused.
type ConnectionId = usize;

/// Limits of a proxy.
#[derive(Debug, Clone, Copy)]
pub struct ProxyLimits {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Limits of each connection.
    pub connection: ConnectionLimits,
}

/// Notification from a request thread to the proxy.
#[derive(Debug)]
enum ProxyCommand {
    Reading {
        port: u16,
    },
    Started {
        port: u16,
        request: RequestId,
    },
    Finished {
        port: u16,
        request: Option<RequestId>,
        close: CloseMode,
        is_success: bool,
    },
    RefuseUnread,
}

/// Handle by which request threads notify a running proxy.
#[derive(Clone)]
pub struct FrontProxy {
    open_ports: OpenPorts,
    tx: SyncSender<ProxyCommand>,
    waker: Arc<Waker>,
}

impl FrontProxy {
    /// Starts a proxy from `listener` to the library's listener at `upstream`;
    /// `notify_disconnect` is called for each request whose caller hung up, and
    /// must not block.
    ///
    /// # Errors
    /// Fails when the listener can't be polled.
    pub fn spawn<F: Fn(RequestId) + Send + 'static>(
        listener: std::net::TcpListener,
        upstream: SocketAddr,
        limits: ProxyLimits,
        budget: CallerBudget,
        notify_disconnect: F,
    ) -> Result<Self> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        let poll = Poll::new()?;
        let registry = poll.registry();
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(registry, WAKER)?);
        let (tx, rx) = sync_channel(COMMANDS_MAX);
        let open_ports = OpenPorts::default();
        let proxy = ProxyLoop {
            open_ports: open_ports.clone(),
            poll,
            listener,
            upstream,
            limits,
            budget,
            notify_disconnect,
            rx,
            connections: BTreeMap::new(),
            closing: ClosingUpstreams::default(),
            waiting: Vec::new(),
            ports: BTreeMap::new(),
            start_tracker: StartTracker::default(),
            next_id: 0,
            accept_resume_at: None,
            pending: Vec::new(),
            searched_at: None,
            refuses_unread: false,
            scratch: vec![0; READ_LEN],
        };
        thread::Builder::new()
            .name("front proxy".to_owned())
            .spawn(move || proxy.run())?;
        Ok(FrontProxy {
            open_ports,
            tx,
            waker,
        })
    }

    /// Notifies that the library has started a request and is reading its body.
    pub fn notify_reading(&self, port: u16) {
        self.send(ProxyCommand::Reading { port });
    }

    /// Starts the request of the connection at `port`, whose body has been read; false when
    /// it was refused or its caller has hung up, so that its body may be cut off.
    pub fn start_request(&self, port: u16) -> bool {
        self.open_ports.start_request(port)
    }

    /// Notifies that a request of the connection at `port` is passed to a role.
    pub fn notify_started(&self, port: u16, request: RequestId) {
        self.send(ProxyCommand::Started { port, request });
    }

    /// Notifies that nothing more of a response will be written, and whether it was a
    /// success; must be called before the library's writer is dropped.
    pub fn notify_finished(
        &self,
        port: u16,
        request: Option<RequestId>,
        close: CloseMode,
        is_success: bool,
    ) {
        self.send(ProxyCommand::Finished {
            port,
            request,
            close,
            is_success,
        });
    }

    /// Refuses the requests that are not passed to a role yet, and further ones.
    pub fn refuse_unread(&self) {
        self.send(ProxyCommand::RefuseUnread);
    }

    fn send(&self, command: ProxyCommand) {
        // The proxy thread runs as long as the process.
        let _ = self.tx.send(command);
        let _ = self.waker.wake();
    }
}

/// State of the proxy thread.
struct ProxyLoop<F> {
    open_ports: OpenPorts,
    poll: Poll,
    listener: TcpListener,
    upstream: SocketAddr,
    limits: ProxyLimits,
    budget: CallerBudget,
    notify_disconnect: F,
    rx: Receiver<ProxyCommand>,
    /// At most `limits.max_connections`.
    connections: BTreeMap<ConnectionId, ProxyConnection>,
    /// Connections to the library whose callers' are closed.
    closing: ClosingUpstreams,
    /// Connections that wait for descriptors of closing ones.
    waiting: Vec<ConnectionId>,
    /// Connections by their local port towards the library.
    ports: BTreeMap<u16, ConnectionId>,
    start_tracker: StartTracker,
    next_id: ConnectionId,
    /// When accepting resumes; set while it is paused.
    accept_resume_at: Option<Instant>,
    /// Connections whose last turn ended before their transfers did.
    pending: Vec<ConnectionId>,
    /// When a request to refuse was last searched for in vain.
    searched_at: Option<Instant>,
    /// Requests that are not passed to a role yet are refused.
    refuses_unread: bool,
    /// Reused between reads.
    scratch: Vec<u8>,
}

impl<F: Fn(RequestId)> ProxyLoop<F> {
    fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS_LEN);
        let mut sweep_at = Instant::now();
        loop {
            let idle = self.connections.is_empty()
                && self.closing.len() == 0
                && self.accept_resume_at.is_none();
            let until = self
                .start_tracker
                .deadline()
                .unwrap_or(sweep_at)
                .min(sweep_at);
            let wait = match self.pending.is_empty() {
                true => (!idle).then(|| until.saturating_duration_since(Instant::now())),
                false => Some(Duration::ZERO),
            };
            match self.poll.poll(&mut events, wait) {
                Ok(()) => {}
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) => {
                    spdlog::error!("http: the front proxy can't poll: {}", err);
                    return;
                }
            }
            let now = Instant::now();
            self.handle_commands(now);
            for event in &events {
                self.handle_event(now, event);
            }
            for id in std::mem::take(&mut self.pending) {
                self.advance(now, id);
            }
            self.open_empty_connections(now);
            if now >= sweep_at {
                self.sweep(now);
                sweep_at = now + SWEEP_INTERVAL;
            }
        }
    }

    fn handle_commands(&mut self, now: Instant) {
        while let Ok(command) = self.rx.try_recv() {
            match command {
                ProxyCommand::Reading { port } => {
                    if let Some(id) = self.ports.get(&port) {
                        self.start_tracker.remove(*id);
                    }
                }
                ProxyCommand::Started { port, request } => {
                    let Some((id, connection)) = self.connection_at_port(port) else {
                        (self.notify_disconnect)(request);
                        continue;
                    };
                    connection.record_request(now, request);
                    self.start_tracker.remove(id);
                    self.advance(now, id);
                }
                ProxyCommand::Finished {
                    port,
                    request,
                    close,
                    is_success,
                } => {
                    if let Some((id, connection)) = self.connection_at_port(port) {
                        if is_success {
                            connection.record_success();
                        }
                        connection.finish_request(now, request, close);
                        self.start_tracker.remove(id);
                        self.advance(now, id);
                    }
                }
                ProxyCommand::RefuseUnread => self.handle_refuse_unread(now),
            }
        }
    }

    fn handle_refuse_unread(&mut self, now: Instant) {
        self.refuses_unread = true;
        for connection in self.connections.values_mut() {
            connection.refuse_unread(now);
        }
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            self.advance(now, id);
        }
    }

    fn connection_at_port(&mut self, port: u16) -> Option<(ConnectionId, &mut ProxyConnection)> {
        let id = *self.ports.get(&port)?;
        Some((id, self.connections.get_mut(&id)?))
    }

    fn handle_event(&mut self, now: Instant, event: &Event) {
        match event.token() {
            LISTENER => self.accept(now),
            WAKER => {}
            Token(token) => {
                let (id, side) = connection_of(token);
                if let Some(connection) = self.connections.get_mut(&id) {
                    let ready = SocketReady {
                        read: event.is_readable() || event.is_read_closed() || event.is_error(),
                        write: event.is_writable() || event.is_error(),
                        closed: event.is_read_closed(),
                    };
                    connection.record_ready(side, ready);
                    self.advance(now, id);
                } else if self.closing.handle_ready(id, &mut self.scratch) {
                    self.pending.append(&mut self.waiting);
                }
            }
        }
    }

    fn accept(&mut self, now: Instant) {
        loop {
            match self.listener.accept() {
                Ok((caller, _)) => self.add_connection(now, caller),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                Err(err) if is_connection_error(err.kind()) => {}
                Err(_) => {
                    self.budget.count(RefusalKind::AcceptFailure);
                    self.accept_resume_at = Some(now + ACCEPT_RETRY_DELAY);
                    return;
                }
            }
        }
    }

    fn add_connection(&mut self, now: Instant, mut caller: TcpStream) {
        let Some(charge) = self.admit(now) else {
            // If the socket does not accept the bytes at once, it is closed
            // without a response.
            let _ = caller.write(&OVERLOADED.bytes());
            self.budget.count(RefusalKind::Connection);
            return;
        };
        let id = self.next_id;
        self.next_id += 1;
        // If these options can't be set, the connection is slower or uses more
        // memory but works.
        let _ = caller.set_nodelay(true);
        let _ = SockRef::from(&caller).set_send_buffer_size(SEND_BUFFER);
        let token = token_of(id, ProxySide::Caller);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        if registry.register(&mut caller, token, interest).is_err() {
            return;
        }
        let mut connection = ProxyConnection::new(caller, self.limits.connection, now, charge);
        if self.refuses_unread {
            connection.refuse_unread(now);
        }
        self.connections.insert(id, connection);
    }

    fn advance(&mut self, now: Instant, id: ConnectionId) {
        while let Some(connection) = self.connections.get_mut(&id) {
            match connection.advance(now, &mut self.scratch) {
                ProxyStep::Wait => return,
                ProxyStep::Again => return self.pending.push(id),
                ProxyStep::Ended => return self.remove_connection(now, id),
                ProxyStep::OpenUpstream => match self.take_descriptors(now, id) {
                    Admission::Admitted => self.open_upstream(now, id),
                    Admission::Later => return self.await_descriptors(id),
                    Admission::Refused => {
                        self.refuse_request(now, id);
                    }
                },
                ProxyStep::TakeMemory(len) => {
                    if !self.take_memory(now, id, len) && !self.refuse_request(now, id) {
                        return;
                    }
                }
            }
        }
    }

    fn await_descriptors(&mut self, id: ConnectionId) {
        if !self.waiting.contains(&id) {
            self.waiting.push(id);
        }
    }

    fn open_upstream(&mut self, now: Instant, id: ConnectionId) {
        let opened = TcpStream::connect(self.upstream).and_then(|mut upstream| {
            let token = token_of(id, ProxySide::Upstream);
            let interest = Interest::READABLE | Interest::WRITABLE;
            upstream.set_nodelay(true)?;
            self.poll
                .registry()
                .register(&mut upstream, token, interest)?;
            Ok((upstream.local_addr()?.port(), upstream))
        });
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match opened {
            Ok((port, upstream)) => {
                connection.set_upstream(UpstreamSocket {
                    port: self.open_ports.open(port),
                    socket: upstream,
                });
                self.ports.insert(port, id);
                self.start_tracker.insert(id, now);
            }
            Err(err) => {
                spdlog::warn!(
                    "http: can't open a connection to the server library: {}",
                    err
                );
                connection.refuse(now, OVERLOADED);
            }
        }
    }

    fn remove_connection(&mut self, now: Instant, id: ConnectionId) {
        let Some(mut connection) = self.connections.remove(&id) else {
            return;
        };
        self.start_tracker.remove(id);
        if connection.has_pending_response() {
            // An orderly close would end a body without length and chunks.
            connection.reset_on_drop();
        }
        for request in connection.requests() {
            (self.notify_disconnect)(request);
        }
        if let Some(address) = connection.upstream_address() {
            if self.ports.get(&address.port()) == Some(&id) {
                self.ports.remove(&address.port());
            }
        }
        // The poll removes a dropped socket by itself.
        let _ = self.poll.registry().deregister(connection.caller_mut());
        if let Some((upstream, charge)) = connection.into_upstream() {
            self.closing.insert(now, id, upstream, charge);
            // The upstream server may have closed its side already.
            self.closing.handle_ready(id, &mut self.scratch);
        }
    }

    /// Opens and drops an empty connection for each connection that may be
    /// stuck in the library's queue.
    fn open_empty_connections(&mut self, now: Instant) {
        for _ in 0..self.start_tracker.reschedule_due(now) {
            if !self.has_descriptors() {
                return;
            }
            if let Err(err) = TcpStream::connect(self.upstream) {
                spdlog::debug!(
                    "http: can't open an empty connection to the server library: {}",
                    err
                );
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        if self.accept_resume_at.is_some_and(|at| at <= now) {
            self.accept_resume_at = None;
            self.accept(now);
        }
        let mut ended = Vec::new();
        let mut remaining = Vec::new();
        for (id, connection) in &mut self.connections {
            match connection.expire(now) {
                ProxyStep::Ended => {
                    connection.reset_on_drop();
                    ended.push(*id);
                }
                _ => remaining.push(*id),
            }
        }
        for id in ended {
            self.remove_connection(now, id);
        }
        self.closing.expire(now);
        self.make_room(now);
        self.pending.append(&mut self.waiting);
        for id in remaining {
            self.advance(now, id);
        }
    }
}

fn token_of(id: ConnectionId, side: ProxySide) -> Token {
    Token(FIRST_CONNECTION_TOKEN + 2 * id + side as usize)
}

fn connection_of(token: usize) -> (ConnectionId, ProxySide) {
    let number = token - FIRST_CONNECTION_TOKEN;
    let side = match number % 2 {
        0 => ProxySide::Caller,
        _ => ProxySide::Upstream,
    };
    (number / 2, side)
}
