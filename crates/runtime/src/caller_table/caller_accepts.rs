//! New connections: which are accepted, and which are closed to make room for them.
//!
//! Algorithm: when callers use all descriptors that they may, a connection that is about to
//! close makes room first, then one whose caller has had no successful response, then one
//! whose request has stalled, then an idle one; of each kind one of the listener with most
//! connections, and of these one of the address with most. Of these the one goes that has
//! been silent for longest, or, of idle ones whose callers behave, that has had the fewest
//! successful responses and was opened last: a crowd that behaves comes after ordinary
//! callers; idle ones are closed only while they are more than half of the connections that
//! are allowed. So a crowd makes room for itself before others. A listener with few connections
//! keeps those whose requests may still be on their way, as a crowd at another one, all of it
//! in flight, would otherwise close each of them. If there is none, the new connection is
//! refused.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mulberrywell_http1::write_response_head;
use mulberrywell_role::ListenerId;
use stakker_mio::mio::net::TcpStream;

use super::caller_refusals::retry_after;
use super::{CallerCharge, CallerConnection, CallerId, CallerPhase, CallerTable, RefusalKind};
use crate::caller_budget::{IDLE_DIVISOR, PORT_RESERVE};

/// Delay after a connection could not be accepted, as for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without received bytes after which an incomplete request has stalled.
const STALLED_MIN: Duration = Duration::from_secs(1);

/// Connections of a listener up to which it keeps the new ones. Below the number that may
/// exceed the limit, so that such connections don't shut other ports.
const NEW_KEPT: usize = PORT_RESERVE / 4;

/// Connections found at a time that may be closed to make room.
const CLOSABLE_MAX: usize = 64;

/// How readily a connection is closed to make room; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CloseRank {
    /// Its last response is written.
    Ended,
    /// Its caller has had no successful response, and no request is in flight.
    Unproven,
    /// Its request is incomplete and has stalled.
    Stalled,
    /// Its caller behaves, and is idle.
    Idle,
}

impl CallerTable {
    /// Accepts the next pending connection of a listener; none when none is pending, or it
    /// can't be accepted for now.
    pub fn accept(&mut self, now: Instant, id: ListenerId) -> Option<(CallerId, TcpStream)> {
        let record = self.listeners.get_mut(&id)?;
        loop {
            match record.source.as_ref()?.accept() {
                Ok((stream, _)) => {
                    self.next_id += 1;
                    return Some((self.next_id, stream));
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => {
                    if record.is_stopping {
                        record.source = None;
                    }
                    return None;
                }
                Err(err) if is_connection_error(err.kind()) => {}
                Err(_) => {
                    // The poll tells only of further connections, which a full queue keeps out.
                    record.accept_at = Some(now + ACCEPT_RETRY_DELAY);
                    self.budget.count(RefusalKind::AcceptFailure);
                    return None;
                }
            }
        }
    }

    /// Lets other connections be served before the next ones of a listener are accepted.
    pub fn defer_accepts(&mut self, now: Instant, id: ListenerId) {
        if let Some(record) = self.listeners.get_mut(&id) {
            record.accept_at = Some(now);
        }
    }

    /// Returns the listeners whose pending connections are to be accepted now.
    pub fn take_listeners_due(&mut self, now: Instant) -> Vec<ListenerId> {
        let listeners = self.listeners.iter_mut();
        let due = listeners.filter(|(_, record)| record.accept_at.is_some_and(|at| at <= now));
        due.map(|(id, record)| {
            record.accept_at = None;
            *id
        })
        .collect()
    }

    /// Returns when pending connections are to be accepted.
    pub fn accept_deadline(&self) -> Option<Instant> {
        self.listeners.values().filter_map(|it| it.accept_at).min()
    }

    /// Takes the descriptor of a listener's new connection; closes another one if that is
    /// necessary and possible.
    pub(super) fn admit(&mut self, now: Instant, listener: ListenerId) -> Option<CallerCharge> {
        if let Some(charge) = self.budget.connect(self.open_count(listener), 1) {
            return Some(charge);
        }
        self.close_one(now);
        self.budget.connect(self.open_count(listener), 1)
    }

    /// Returns the number of a listener's connections.
    fn open_count(&self, listener: ListenerId) -> usize {
        let record = self.listeners.get(&listener);
        record.map_or(0, |record| record.open_count)
    }

    /// Removes a connection.
    pub(super) fn remove(&mut self, id: CallerId) -> Option<CallerConnection> {
        let connection = self.connections.remove(&id)?;
        if let Some(record) = self.listeners.get_mut(&connection.listener) {
            record.open_count -= 1;
        }
        Some(connection)
    }

    /// Tells the caller of a connection that is not taken to come back; it is closed
    /// without a response if the socket doesn't take the bytes at once.
    pub(super) fn refuse_connection(&self, id: CallerId, mut stream: &TcpStream) {
        let mut output = BytesMut::new();
        write_response_head(503, &retry_after(id), Some(0), true, true, &mut output);
        // The connection closes in any case.
        let _ = stream.write(&output);
        self.budget.count(RefusalKind::Connection);
    }

    /// Closes the connection that may be closed soonest; false if there is none.
    pub(super) fn close_one(&mut self, now: Instant) -> bool {
        if self.close_found(now) {
            return true;
        }
        self.find_closable(now);
        self.close_found(now)
    }

    /// Closes the first connection that was found and may still be closed.
    fn close_found(&mut self, now: Instant) -> bool {
        while let Some((rank, id)) = self.closable.pop_front() {
            let found = self.connections.get(&id);
            let rank_now = found.and_then(|it| self.close_rank(now, it));
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            // A request that has arrived is served, or refused by its own reading.
            if rank_now != Some(rank) || connection.has_arrived() {
                continue;
            }
            if matches!(connection.phase, CallerPhase::Reading(_)) {
                connection.refuse(now, 503, &retry_after(id));
                // What the socket doesn't take at once is lost with the connection.
                connection.flush();
            }
            self.remove(id);
            self.budget.count(RefusalKind::Closed);
            return true;
        }
        false
    }

    /// Returns how readily one of the connections is closed to make room; none if it can't be.
    fn close_rank(&self, now: Instant, connection: &CallerConnection) -> Option<CloseRank> {
        let rank = connection.close_rank(now)?;
        let is_new = rank == CloseRank::Unproven && connection.silence(now) < STALLED_MIN;
        let is_kept = is_new && self.open_count(connection.listener) <= NEW_KEPT;
        (!is_kept).then_some(rank)
    }

    fn find_closable(&mut self, now: Instant) {
        let mut listener_counts: BTreeMap<ListenerId, usize> = BTreeMap::new();
        let mut source_counts: BTreeMap<(ListenerId, IpAddr), usize> = BTreeMap::new();
        for connection in self.connections.values() {
            let listener = connection.listener;
            *listener_counts.entry(listener).or_default() += 1;
            let source = (listener, connection.source);
            *source_counts.entry(source).or_default() += 1;
        }
        let connections = self.connections.iter();
        let ranked = connections.filter_map(|(id, connection)| {
            let rank = self.close_rank(now, connection)?;
            let listener = connection.listener;
            let listener_count = listener_counts.get(&listener).copied();
            let source_count = source_counts.get(&(listener, connection.source)).copied();
            let silence = connection.silence(now);
            let order = match rank {
                CloseRank::Idle => (connection.successes, Reverse(Duration::ZERO), !*id),
                _ => (0, Reverse(silence), *id),
            };
            let counts = (Reverse(listener_count), Reverse(source_count));
            Some((rank, counts, order, *id))
        });
        let mut ranked: Vec<_> = ranked.collect();
        let idle = ranked
            .iter()
            .filter(|(rank, ..)| *rank == CloseRank::Idle)
            .count();
        if idle <= self.budget.limits().descriptors / IDLE_DIVISOR {
            ranked.retain(|(rank, ..)| *rank != CloseRank::Idle);
        }
        if ranked.len() > CLOSABLE_MAX {
            ranked.select_nth_unstable(CLOSABLE_MAX);
            ranked.truncate(CLOSABLE_MAX);
        }
        ranked.sort_unstable();
        let first_rank = ranked.first().map(|(rank, ..)| *rank);
        if first_rank == Some(CloseRank::Idle) {
            // Connections that come until the next search go before another idle one.
            ranked.truncate(1);
        }
        let same_rank = ranked
            .into_iter()
            .filter(|(rank, ..)| Some(*rank) == first_rank);
        self.closable = same_rank.map(|(rank, .., id)| (rank, id)).collect();
    }
}

impl CallerConnection {
    /// Returns how long nothing has been received.
    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received_at)
    }

    /// Returns how readily the connection is closed to make room; none if it can't be.
    fn close_rank(&self, now: Instant) -> Option<CloseRank> {
        let is_written = self.socket.output.is_empty();
        match self.phase {
            CallerPhase::Lingering(_) => Some(CloseRank::Ended).filter(|_| is_written),
            CallerPhase::Idle(_) if !is_written => None,
            CallerPhase::Idle(_) | CallerPhase::Reading(_) if self.successes == 0 => {
                Some(CloseRank::Unproven)
            }
            CallerPhase::Idle(_) => Some(CloseRank::Idle),
            CallerPhase::Reading(_) => {
                (self.silence(now) >= STALLED_MIN).then_some(CloseRank::Stalled)
            }
            CallerPhase::Processing(_) => None,
        }
    }
}

/// Returns whether an error of `accept` concerns only the connection that was to be
/// accepted.
pub(crate) fn is_connection_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Interrupted | ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
    )
}
