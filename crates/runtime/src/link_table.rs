//! The links of one role: listening, dialing, pings and timeouts.
//!
//! Guarantees: an accepted connection counts as a caller's in the process's budget until its
//! handshake is complete; when the budget is used up, the connection makes room that has
//! been without a complete handshake for longest.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{LinkEvent, LinkId};
use mulberrywell_wire::{FrameBody, LinkHandshake, LinkSide, PeerIdentity};
use stakker::Fwd;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::caller_budget::{CallerBudget, CallerCharge, RefusalKind};
use crate::caller_table::is_connection_error;
use crate::link_socket::{LinkSocket, SocketError, SocketInput};

/// Interval of pings on an open link.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without received data after which a link is closed.
pub const LINK_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the links of a role; beyond it, incoming links are rejected.
const ACCEPTED_MAX: usize = 8_192;

/// Memory in bytes of an accepted connection until its handshake is complete: its buffers,
/// and what may have arrived and is not read.
const HANDSHAKE_MEMORY: usize = 72 * 1024;

/// Delay after a connection could not be accepted, as for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(500);

const POLL_PRIORITY: u32 = 10;

/// Identity and secret of the process.
#[derive(Clone)]
pub struct LinkCredentials {
    /// Identity of this process.
    pub identity: PeerIdentity,
    /// Cluster secret.
    pub secret: Bytes,
}

/// All links of one role.
pub struct LinkTable {
    credentials: LinkCredentials,
    listener: Option<MioSource<TcpListener>>,
    sockets: BTreeMap<LinkId, LinkSocket>,
    /// What accepted connections hold whose handshakes are not complete.
    handshakes: BTreeMap<LinkId, CallerCharge>,
    budget: CallerBudget,
    /// When connections that may wait are accepted, as the poll doesn't tell of them again.
    accept_at: Option<Instant>,
    /// Id of the next accepted link; odd and increasing.
    next_accepted: LinkId,
    /// Links with queued frames that are not yet written.
    dirty: Vec<LinkId>,
    next_ping: Instant,
    /// Reused between reads.
    inputs: Vec<SocketInput>,
}

impl LinkTable {
    /// Creates a table without links with a process's budget.
    pub fn new(credentials: LinkCredentials, budget: CallerBudget, now: Instant) -> Self {
        LinkTable {
            credentials,
            listener: None,
            accept_at: None,
            sockets: BTreeMap::new(),
            handshakes: BTreeMap::new(),
            budget,
            next_accepted: 1,
            dirty: Vec::new(),
            next_ping: now + PING_INTERVAL,
            inputs: Vec::new(),
        }
    }

    /// Starts accepting links; `ready` must lead to a call of
    /// [`LinkTable::accept`].
    ///
    /// # Errors
    /// Fails when the listener can't be polled.
    pub fn listen(
        &mut self,
        poll: &MioPoll,
        listener: TcpListener,
        ready: Fwd<Ready>,
    ) -> std::io::Result<()> {
        let source = poll.add(listener, Interest::READABLE, POLL_PRIORITY, ready)?;
        self.listener = Some(source);
        Ok(())
    }

    /// Returns whether pending connections must be accepted now; true once.
    pub fn take_accept_due(&mut self, now: Instant) -> bool {
        let is_due = self.accept_at.is_some_and(|at| at <= now);
        if is_due {
            self.accept_at = None;
        }
        is_due
    }

    /// Lets other connections be served before the next ones are accepted.
    pub fn defer_accepts(&mut self, now: Instant) {
        self.accept_at = Some(now);
    }

    /// Accepts the next pending connection.
    pub fn accept(&mut self, now: Instant) -> Option<(LinkId, TcpStream)> {
        loop {
            let stream = match self.listener.as_ref()?.accept() {
                Ok((stream, _)) => stream,
                Err(err) if err.kind() == ErrorKind::WouldBlock => return None,
                Err(err) if is_connection_error(err.kind()) => continue,
                Err(_) => {
                    self.accept_at = Some(now + ACCEPT_RETRY_DELAY);
                    self.budget.count(RefusalKind::AcceptFailure);
                    return None;
                }
            };
            let charge = match self.sockets.len() < ACCEPTED_MAX {
                true => self.admit(),
                false => None,
            };
            let Some(charge) = charge else {
                drop(stream);
                self.budget.count(RefusalKind::Connection);
                continue;
            };
            let link = self.next_accepted;
            self.next_accepted += 2;
            self.handshakes.insert(link, charge);
            return Some((link, stream));
        }
    }

    /// Takes what a new connection holds; closes those without a complete handshake that
    /// were accepted first while it is not free.
    fn admit(&mut self) -> Option<CallerCharge> {
        loop {
            let open = self.handshakes.len();
            let charge = self.budget.connect_unknown(open, HANDSHAKE_MEMORY);
            if charge.is_some() {
                return charge;
            }
            let (link, _) = self.handshakes.pop_first()?;
            self.sockets.remove(&link);
            self.budget.count(RefusalKind::Closed);
        }
    }

    /// Starts the handshake on a connection.
    ///
    /// # Errors
    /// Fails when the connection can't be polled.
    pub fn attach(
        &mut self,
        poll: &MioPoll,
        link: LinkId,
        stream: TcpStream,
        side: LinkSide,
        now: Instant,
        ready: Fwd<Ready>,
    ) -> std::io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, POLL_PRIORITY, ready)?;
        let (handshake, hello) = LinkHandshake::start(
            side,
            self.credentials.secret.clone(),
            &self.credentials.identity,
            rand::random(),
        );
        let socket = LinkSocket::new(source, handshake, &hello, now);
        self.sockets.insert(link, socket);
        Ok(())
    }

    /// Starts opening a connection without blocking.
    ///
    /// # Errors
    /// Fails when the system reports an error at once.
    pub fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
        TcpStream::connect(address)
    }

    /// Queues a frame; it is dropped when the link is not open.
    pub fn send(&mut self, link: LinkId, body: FrameBody, events: &mut Vec<LinkEvent>) {
        let Some(socket) = self.sockets.get_mut(&link).filter(|s| s.is_open()) else {
            return;
        };
        match socket.send(body) {
            Ok(()) => self.dirty.push(link),
            Err(error) => self.fail(link, &error, events),
        }
    }

    /// Closes a link.
    pub fn close(&mut self, link: LinkId, events: &mut Vec<LinkEvent>) {
        self.handshakes.remove(&link);
        if self.sockets.remove(&link).is_some() {
            events.push(LinkEvent::Closed { link });
        }
    }

    /// Handles a connection that is ready to read or write.
    pub fn handle_ready(
        &mut self,
        now: Instant,
        link: LinkId,
        ready: &Ready,
        events: &mut Vec<LinkEvent>,
    ) {
        let Some(socket) = self.sockets.get_mut(&link) else {
            return;
        };
        let mut outcome = Ok(());
        if ready.is_readable() || ready.is_error() {
            outcome = socket.read(now, &mut self.inputs);
        }
        if outcome.is_ok() {
            outcome = socket.flush();
        }
        for input in self.inputs.drain(..) {
            events.push(match input {
                SocketInput::Opened(peer) => {
                    self.handshakes.remove(&link);
                    LinkEvent::Opened { link, peer }
                }
                SocketInput::Frame(body) => LinkEvent::Frame { link, body },
            });
        }
        if let Err(error) = outcome {
            self.fail(link, &error, events);
        }
    }

    /// Writes the queued frames.
    pub fn flush(&mut self, events: &mut Vec<LinkEvent>) {
        let mut dirty = std::mem::take(&mut self.dirty);
        dirty.sort_unstable();
        dirty.dedup();
        for link in dirty.drain(..) {
            let outcome = self.sockets.get_mut(&link).map(LinkSocket::flush);
            if let Some(Err(error)) = outcome {
                self.fail(link, &error, events);
            }
        }
        self.dirty = dirty;
    }

    /// Returns when [`LinkTable::tick`] must be called next, or pending connections accepted.
    pub fn deadline(&self) -> Instant {
        self.accept_at
            .map_or(self.next_ping, |at| at.min(self.next_ping))
    }

    /// Sends pings on open links and closes those whose timeout has expired.
    pub fn tick(&mut self, now: Instant, events: &mut Vec<LinkEvent>) {
        if now < self.next_ping {
            return;
        }
        self.next_ping = now + PING_INTERVAL;
        let mut errors = Vec::new();
        for (link, socket) in &mut self.sockets {
            let last_activity = if socket.is_open() {
                socket.last_received
            } else {
                socket.connected_at
            };
            if now.saturating_duration_since(last_activity) >= LINK_TIMEOUT {
                errors.push((
                    *link,
                    SocketError("no data received within the timeout".to_owned()),
                ));
            } else if socket.is_open() {
                match socket.ping().and_then(|()| socket.flush()) {
                    Ok(()) => {}
                    Err(error) => errors.push((*link, error)),
                }
            }
        }
        for (link, error) in errors {
            self.fail(link, &error, events);
        }
    }

    fn fail(&mut self, link: LinkId, error: &SocketError, events: &mut Vec<LinkEvent>) {
        spdlog::debug!("link: closing link {1}: {0}", error.0, link);
        self.close(link, events);
    }
}
