//! The links of one role: listening, dialing, pings and timeouts.

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

use crate::link_socket::{LinkSocket, SocketError, SocketInput};

/// Interval of pings on an open link.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without received data after which a link is closed.
pub const LINK_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the links of a role; beyond it, incoming links are rejected.
const ACCEPTED_MAX: usize = 8_192;

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
    /// A connection could not be accepted, of which the poll doesn't tell again.
    accepts_again: bool,
    /// Id of the next accepted link; odd and increasing.
    next_accepted: LinkId,
    /// Links with queued frames that are not yet written.
    dirty: Vec<LinkId>,
    next_ping: Instant,
    /// Reused between reads.
    inputs: Vec<SocketInput>,
}

impl LinkTable {
    /// Creates a table without links.
    pub fn new(credentials: LinkCredentials, now: Instant) -> Self {
        LinkTable {
            credentials,
            listener: None,
            accepts_again: false,
            sockets: BTreeMap::new(),
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

    /// Returns whether pending connections must be accepted, as an attempt failed.
    pub fn accepts_again(&self) -> bool {
        self.accepts_again
    }

    /// Accepts the next pending connection.
    pub fn accept(&mut self) -> Option<(LinkId, TcpStream)> {
        self.accepts_again = false;
        loop {
            let stream = match self.listener.as_ref()?.accept() {
                Ok((stream, _)) => stream,
                Err(err) => {
                    // Descriptors may be free later.
                    self.accepts_again = err.kind() != ErrorKind::WouldBlock;
                    return None;
                }
            };
            if self.sockets.len() >= ACCEPTED_MAX {
                drop(stream);
                continue;
            }
            let link = self.next_accepted;
            self.next_accepted += 2;
            return Some((link, stream));
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
                SocketInput::Opened(peer) => LinkEvent::Opened { link, peer },
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

    /// Returns when [`LinkTable::tick`] must be called next.
    pub fn deadline(&self) -> Instant {
        self.next_ping
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
