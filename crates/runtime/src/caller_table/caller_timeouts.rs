//! Timeouts of callers' connections.

use std::time::{Duration, Instant};

use super::{
    CallerConnection, CallerEvents, CallerId, CallerPhase, CallerTable, BOUNDS_DEFAULT, LINGER_MAX,
};

/// Time without progress allowed while a response is written to a slow caller. A socket
/// takes more bytes only once a good part of its buffer is sent.
const WRITE_STALL_MAX: Duration = Duration::from_secs(3);

/// Multiple of a request's timeout after which its connection is not read any further,
/// whatever has arrived.
const OVERDUE_FACTOR: u32 = 2;

impl CallerTable {
    /// Applies the timeouts of all connections, and makes room for other ports.
    pub fn tick(&mut self, now: Instant, events: &mut CallerEvents) {
        let mut overdue = Vec::new();
        for (id, connection) in &mut self.connections {
            connection.record_progress(now);
            let Some(record) = self.listeners.get(&connection.listener) else {
                continue;
            };
            let is_written = connection.socket.output.is_empty();
            let (since, limit) = match connection.phase {
                CallerPhase::Idle(since) if !record.closing => {
                    let limit = record.bounds.idle_timeout.max(connection.idle_timeout);
                    (since, limit)
                }
                CallerPhase::Reading(since) => (since, record.bounds.head_timeout),
                CallerPhase::Idle(since) | CallerPhase::Lingering(since) if is_written => {
                    (since, LINGER_MAX)
                }
                CallerPhase::Idle(since) | CallerPhase::Lingering(since) => {
                    (since, WRITE_STALL_MAX)
                }
                CallerPhase::Processing(_) => continue,
            };
            let duration = now.saturating_duration_since(since);
            if duration >= limit {
                overdue.push((*id, duration >= limit * OVERDUE_FACTOR));
            }
        }
        for (id, is_final) in overdue {
            self.expire(now, id, is_final, events);
        }
        self.make_room(now);
    }

    /// Ends a connection that is overdue. One on which bytes have arrived is read first,
    /// unless it is overdue for good: its caller may send without end.
    fn expire(&mut self, now: Instant, id: CallerId, is_final: bool, events: &mut CallerEvents) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let is_reading = matches!(connection.phase, CallerPhase::Reading(_));
        if connection.has_arrived() && !(is_reading && is_final) {
            return;
        }
        if is_reading {
            connection.refuse(now, 408, &[]);
            self.dirty.push(id);
        } else {
            self.close(id, events);
        }
    }

    /// Starts the idle time of a connection whose response is complete.
    pub(super) fn begin_idle(&mut self, now: Instant, id: CallerId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = CallerPhase::Idle(now);
            let record = self.listeners.get(&connection.listener);
            let bounds = record.map_or(BOUNDS_DEFAULT, |record| record.bounds);
            connection.idle_timeout = bounds.idle_timeout;
        }
    }
}

impl CallerConnection {
    /// Returns whether a request, or the rest of one, has arrived and is not yet read, which
    /// the poll will tell.
    pub(super) fn has_arrived(&self) -> bool {
        self.awaits_request() && self.socket.has_unread()
    }
}
