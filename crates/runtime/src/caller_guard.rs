//! Stands between callers and the HTTP library.
//!
//! Purpose: the library gives each connection a thread, bounds neither time
//! nor length of a head, does not tell that a caller hung up and can't close
//! a connection. The guard accepts in its place and passes on only requests
//! that are well formed; see [`crate::guard_connection`].
//!
//! Guarantees: connections, their bytes and their times are bounded; a
//! connection without a request in work makes room for a new one; requests
//! of a caller that hung up are reported at once; bytes that did not come
//! through the guard never start a request.
//!
//! Algorithm: one thread polls all sockets. The library listens on loopback
//! and knows a connection by its peer port, which is the guard's own. The
//! library may leave a connection in its queue although it has no idle thread,
//! until it gets a further one; so a connection whose request does not show up
//! is followed by empty ones ([`crate::start_queue`]).

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

use crate::guard_connection::{
    CloseMode, ConnectionLimits, GuardConnection, GuardSide, GuardStep, SocketReady, READ_LEN,
};
use crate::http_refusal::OVERLOADED;
use crate::start_queue::StartQueue;

/// Socket buffer for answers to one caller in bytes.
pub const SEND_BUFFER: usize = 128 * 1024;

/// Interval at which times are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Wait after an accept failed for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Commands that may wait for the guard.
const COMMANDS_MAX: usize = 4_096;

/// Poll events taken at once.
const EVENTS_LEN: usize = 1_024;

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);

/// First token of a connection; each has two.
const TOKEN_MIN: usize = 2;

/// Number of a connection; never used twice.
type ConnectionId = usize;

/// Bounds of a guard.
#[derive(Debug, Clone, Copy)]
pub struct GuardLimits {
    /// Most connections at the same time.
    pub max_connections: usize,
    /// Bounds of each connection.
    pub connection: ConnectionLimits,
}

/// What the request threads tell the guard.
#[derive(Debug)]
enum GuardCommand {
    Seen {
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
    },
}

/// Tells a running guard about requests.
#[derive(Clone)]
pub struct CallerGuard {
    tx: SyncSender<GuardCommand>,
    waker: Arc<Waker>,
}

impl CallerGuard {
    /// Guards `listener` before the library's listener at `library`; `gone`
    /// is called for each request whose caller hung up, and must not block.
    ///
    /// # Errors
    /// Fails when the listener can't be polled.
    pub fn spawn<G: Fn(RequestId) + Send + 'static>(
        listener: std::net::TcpListener,
        library: SocketAddr,
        limits: GuardLimits,
        gone: G,
    ) -> Result<Self> {
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        let poll = Poll::new()?;
        let registry = poll.registry();
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(registry, WAKER)?);
        let (tx, rx) = sync_channel(COMMANDS_MAX);
        let guard = GuardLoop {
            poll,
            listener,
            library,
            limits,
            gone,
            rx,
            connections: BTreeMap::new(),
            ports: BTreeMap::new(),
            starting: StartQueue::default(),
            next_id: 0,
            accept_at: None,
            scratch: vec![0; READ_LEN],
        };
        thread::Builder::new()
            .name("caller guard".to_owned())
            .spawn(move || guard.run())?;
        Ok(CallerGuard { tx, waker })
    }

    /// Tells that the library has begun on a request whose body is awaited.
    pub fn seen(&self, port: u16) {
        self.send(GuardCommand::Seen { port });
    }

    /// Tells that a role gets a request of the connection at `port`.
    pub fn started(&self, port: u16, request: RequestId) {
        self.send(GuardCommand::Started { port, request });
    }

    /// Tells that an answer is written as far as it will be; to be called
    /// before the library's writer is dropped.
    pub fn finished(&self, port: u16, request: Option<RequestId>, close: CloseMode) {
        self.send(GuardCommand::Finished {
            port,
            request,
            close,
        });
    }

    fn send(&self, command: GuardCommand) {
        // The guard runs as long as the process.
        let _ = self.tx.send(command);
        let _ = self.waker.wake();
    }
}

/// The guard's thread.
struct GuardLoop<G> {
    poll: Poll,
    listener: TcpListener,
    library: SocketAddr,
    limits: GuardLimits,
    gone: G,
    rx: Receiver<GuardCommand>,
    /// At most `limits.max_connections`.
    connections: BTreeMap<ConnectionId, GuardConnection>,
    /// Connections by the port that the library sees.
    ports: BTreeMap<u16, ConnectionId>,
    starting: StartQueue,
    next_id: ConnectionId,
    /// Set while accepting pauses.
    accept_at: Option<Instant>,
    /// Reused between reads.
    scratch: Vec<u8>,
}

impl<G: Fn(RequestId)> GuardLoop<G> {
    fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS_LEN);
        let mut sweep_at = Instant::now();
        loop {
            let idle = self.connections.is_empty() && self.accept_at.is_none();
            let until = self.starting.deadline().unwrap_or(sweep_at).min(sweep_at);
            let wait = (!idle).then(|| until.saturating_duration_since(Instant::now()));
            match self.poll.poll(&mut events, wait) {
                Ok(()) => {}
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) => {
                    spdlog::error!("http: the guard can't poll: {}", err);
                    return;
                }
            }
            let now = Instant::now();
            self.take_commands(now);
            for event in &events {
                self.take_event(now, event);
            }
            self.prod_library(now);
            if now >= sweep_at {
                self.sweep(now);
                sweep_at = now + SWEEP_INTERVAL;
            }
        }
    }

    fn take_commands(&mut self, now: Instant) {
        while let Ok(command) = self.rx.try_recv() {
            match command {
                GuardCommand::Seen { port } => {
                    if let Some(id) = self.ports.get(&port) {
                        self.starting.remove(*id);
                    }
                }
                GuardCommand::Started { port, request } => {
                    let Some((id, connection)) = self.at_port(port) else {
                        (self.gone)(request);
                        continue;
                    };
                    connection.request_started(now, request);
                    self.starting.remove(id);
                    self.advance(now, id);
                }
                GuardCommand::Finished {
                    port,
                    request,
                    close,
                } => {
                    if let Some((id, connection)) = self.at_port(port) {
                        connection.request_finished(now, request, close);
                        self.starting.remove(id);
                        self.advance(now, id);
                    }
                }
            }
        }
    }

    fn at_port(&mut self, port: u16) -> Option<(ConnectionId, &mut GuardConnection)> {
        let id = *self.ports.get(&port)?;
        Some((id, self.connections.get_mut(&id)?))
    }

    fn take_event(&mut self, now: Instant, event: &Event) {
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
                    connection.note_ready(side, ready);
                    self.advance(now, id);
                }
            }
        }
    }

    fn accept(&mut self, now: Instant) {
        loop {
            match self.listener.accept() {
                Ok((caller, _)) => self.take_caller(now, caller),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                Err(err) if is_of_one_connection(&err) => {}
                Err(err) => {
                    spdlog::warn!("http: can't accept: {}", err);
                    self.accept_at = Some(now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    fn take_caller(&mut self, now: Instant, mut caller: TcpStream) {
        if self.connections.len() >= self.limits.max_connections && !self.evict_idle() {
            // A socket that takes no bytes at once is closed without them.
            let _ = caller.write(&OVERLOADED.bytes());
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        // Without these the connection is slower or larger, and no less right.
        let _ = caller.set_nodelay(true);
        let _ = SockRef::from(&caller).set_send_buffer_size(SEND_BUFFER);
        let token = token_of(id, GuardSide::Caller);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        if registry.register(&mut caller, token, interest).is_err() {
            return;
        }
        let connection = GuardConnection::new(caller, self.limits.connection, now);
        self.connections.insert(id, connection);
    }

    /// Closes the connection that has been without a request for longest.
    fn evict_idle(&mut self) -> bool {
        let idle = self.connections.iter();
        let idle = idle.filter_map(|(id, connection)| Some((connection.idle_since()?, *id)));
        match idle.min() {
            Some((_, id)) => {
                self.drop_connection(id);
                true
            }
            None => false,
        }
    }

    fn advance(&mut self, now: Instant, id: ConnectionId) {
        while let Some(connection) = self.connections.get_mut(&id) {
            match connection.advance(now, &mut self.scratch) {
                GuardStep::Wait => return,
                GuardStep::Ended => return self.drop_connection(id),
                GuardStep::OpenLibrary => self.open_library(now, id),
            }
        }
    }

    fn open_library(&mut self, now: Instant, id: ConnectionId) {
        let opened = TcpStream::connect(self.library).and_then(|mut library| {
            let token = token_of(id, GuardSide::Library);
            let interest = Interest::READABLE | Interest::WRITABLE;
            library.set_nodelay(true)?;
            self.poll
                .registry()
                .register(&mut library, token, interest)?;
            Ok((library.local_addr()?.port(), library))
        });
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match opened {
            Ok((port, library)) => {
                connection.set_library(library);
                self.ports.insert(port, id);
                self.starting.insert(id, now);
            }
            Err(err) => {
                spdlog::warn!("http: can't pass a request on: {}", err);
                connection.refuse(now, OVERLOADED);
            }
        }
    }

    fn drop_connection(&mut self, id: ConnectionId) {
        let Some(mut connection) = self.connections.remove(&id) else {
            return;
        };
        self.starting.remove(id);
        for request in connection.requests() {
            (self.gone)(request);
        }
        if let Some(address) = connection.library_address() {
            if self.ports.get(&address.port()) == Some(&id) {
                self.ports.remove(&address.port());
            }
        }
        // A dropped socket leaves the poll by itself.
        let _ = self.poll.registry().deregister(connection.caller_mut());
        if let Some(library) = connection.library_mut() {
            let _ = self.poll.registry().deregister(library);
        }
    }

    /// Opens and drops a connection for each that the library may have left in
    /// its queue.
    fn prod_library(&mut self, now: Instant) {
        for _ in 0..self.starting.take_due(now) {
            if let Err(err) = TcpStream::connect(self.library) {
                spdlog::debug!("http: can't prod the library: {}", err);
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        if self.accept_at.is_some_and(|at| at <= now) {
            self.accept_at = None;
            self.accept(now);
        }
        let mut ended = Vec::new();
        let mut refused = Vec::new();
        for (id, connection) in &mut self.connections {
            match connection.expire(now) {
                GuardStep::Ended => {
                    connection.reset_on_drop();
                    ended.push(*id);
                }
                _ => refused.push(*id),
            }
        }
        for id in ended {
            self.drop_connection(id);
        }
        for id in refused {
            self.advance(now, id);
        }
    }
}

/// Errors of `accept` that concern only the connection that it would return.
fn is_of_one_connection(err: &std::io::Error) -> bool {
    matches!(
        err.kind(),
        ErrorKind::Interrupted | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
    )
}

fn token_of(id: ConnectionId, side: GuardSide) -> Token {
    Token(TOKEN_MIN + 2 * id + side as usize)
}

fn connection_of(token: usize) -> (ConnectionId, GuardSide) {
    let number = token - TOKEN_MIN;
    let side = match number % 2 {
        0 => GuardSide::Caller,
        _ => GuardSide::Library,
    };
    (number / 2, side)
}
