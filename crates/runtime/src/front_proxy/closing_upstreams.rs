//! Connections to the upstream server whose callers' connections are closed.
//!
//! The upstream server closes its side some time after it has read the end of a connection.
//! Until then its descriptors are in use, and stay taken from the process's budget: without
//! a descriptor for a connection that it accepts, the server would end.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::ConnectionId;
use crate::caller_budget::CallerCharge;

/// Time allowed for the upstream server to close its side. One that is blocked while it
/// writes a response fails once the socket is closed.
const CLOSING_MAX: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct ClosingUpstream {
    socket: TcpStream,
    since: Instant,
    /// What the connection holds until it is closed.
    _charge: CallerCharge,
}

/// The connections that the upstream server has not closed yet.
#[derive(Debug, Default)]
pub(super) struct ClosingUpstreams {
    upstreams: BTreeMap<ConnectionId, ClosingUpstream>,
}

impl ClosingUpstreams {
    /// Tells the upstream server of the end of a connection.
    pub(super) fn insert(
        &mut self,
        now: Instant,
        id: ConnectionId,
        socket: TcpStream,
        charge: CallerCharge,
    ) {
        if socket.shutdown(Shutdown::Write).is_ok() {
            let closing = ClosingUpstream {
                socket,
                since: now,
                _charge: charge,
            };
            self.upstreams.insert(id, closing);
        }
    }

    /// Returns the number of connections.
    pub(super) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Discards what has arrived on a connection; returns whether it has ended.
    pub(super) fn handle_ready(&mut self, id: ConnectionId, scratch: &mut [u8]) -> bool {
        let Some(closing) = self.upstreams.get_mut(&id) else {
            return false;
        };
        loop {
            match closing.socket.read(scratch) {
                Ok(0) => break,
                Ok(_) => {}
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) if err.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => break,
            }
        }
        self.upstreams.remove(&id);
        true
    }

    /// Removes the connections that the upstream server hasn't closed in time.
    pub(super) fn expire(&mut self, now: Instant) {
        self.upstreams
            .retain(|_, closing| now.saturating_duration_since(closing.since) < CLOSING_MAX);
    }
}
