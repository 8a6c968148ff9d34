//! Timeouts of callers' connections.

use std::time::{Duration, Instant};

use super::{
    CallerConnection, CallerEvents, CallerId, CallerPhase, CallerTable, BOUNDS_DEFAULT, LINGER_MAX,
};

/// Connections that are asked for unread bytes to make room for one new connection.
const EVICTION_TRIES_MAX: usize = 8;

/// Time without progress allowed while a response is written to a slow caller. A socket
/// takes more bytes only once a good part of its buffer is sent.
const WRITE_STALL_MAX: Duration = Duration::from_secs(3);

impl CallerTable {
    /// Applies the timeouts of all connections.
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
            if now.saturating_duration_since(since) >= limit {
                overdue.push(*id);
            }
        }
        for id in overdue {
            self.expire(now, id, events);
        }
    }

    fn expire(&mut self, now: Instant, id: CallerId, events: &mut CallerEvents) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.has_arrived() {
            return;
        }
        if matches!(connection.phase, CallerPhase::Reading(_)) {
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

    /// Closes the connection that has been idle for longest.
    pub(super) fn evict_idle(&mut self) {
        let connections = self.connections.iter();
        let idle = connections.filter_map(|(id, connection)| match connection.phase {
            CallerPhase::Idle(since) if connection.socket.output.is_empty() => Some((since, *id)),
            _ => None,
        });
        let mut idle: Vec<(Instant, CallerId)> = idle.collect();
        idle.sort_unstable();
        let mut ids = idle.into_iter().map(|(_, id)| id).take(EVICTION_TRIES_MAX);
        let connections = &mut self.connections;
        let unused = ids.find(|id| connections.get(id).is_some_and(|it| !it.has_arrived()));
        if let Some(id) = unused {
            connections.remove(&id);
        }
    }
}

impl CallerConnection {
    /// Returns whether a request, or the rest of one, has arrived and is not yet read, which
    /// the poll will tell.
    pub(super) fn has_arrived(&self) -> bool {
        let awaits_request = matches!(self.phase, CallerPhase::Idle(_) | CallerPhase::Reading(_));
        awaits_request && self.socket.has_unread()
    }
}
