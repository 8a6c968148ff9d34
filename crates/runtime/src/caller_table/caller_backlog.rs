//! What is held in memory for callers, and the end of those that don't read.

use std::time::Instant;

use mulberrywell_role::{ListenerId, RequestId};

use super::{CallerEvents, CallerId, CallerPhase, CallerTable, RefusalKind};

/// A caller's connection that was closed because of the memory held for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedCaller {
    /// The caller's address; empty if it has gone.
    pub address: String,
    /// Bytes that were held for the caller.
    pub held: usize,
}

impl CallerTable {
    /// Returns whether bytes are queued that are not yet written.
    pub fn has_output(&self) -> bool {
        let mut connections = self.connections.values();
        connections.any(|connection| !connection.socket.output.is_empty())
    }

    /// Returns whether connections are open that close after their next responses, or once
    /// they have been idle for long enough.
    pub fn is_draining(&self) -> bool {
        let mut connections = self.connections.values();
        connections.any(|connection| {
            let record = self.listeners.get(&connection.listener);
            record.is_some_and(|record| record.closing)
        })
    }

    /// Returns the listeners whose connections close after their next responses.
    pub fn draining_listeners(&self) -> Vec<ListenerId> {
        let draining = self.listeners.iter().filter(|(_, record)| record.closing);
        draining.map(|(listener, _)| *listener).collect()
    }

    /// Returns the bytes that a request's caller has not read, and when it last read any;
    /// none if it has gone.
    pub fn backlog(&self, request: RequestId) -> Option<(usize, Instant)> {
        let connection = self.connections.get(self.requests.get(&request)?)?;
        Some((connection.socket.output.len(), connection.progress_at))
    }

    /// Returns the request that is in flight on a connection.
    pub fn request_in_flight(&self, id: CallerId) -> Option<RequestId> {
        match self.connections.get(&id)?.phase {
            CallerPhase::Processing(request) => Some(request),
            _ => None,
        }
    }

    /// Closes a connection whose caller has gone, if bytes behind its request are not read,
    /// so that reading doesn't tell.
    pub fn close_paused(&mut self, id: CallerId, events: &mut CallerEvents) {
        if self.connections.get(&id).is_some_and(|it| it.is_paused) {
            self.close(id, events);
        }
    }

    /// Closes the connection of a request whose caller doesn't read.
    pub fn end_request(
        &mut self,
        request: RequestId,
        events: &mut CallerEvents,
    ) -> Option<EndedCaller> {
        let id = *self.requests.get(&request)?;
        self.end_caller(id, events)
    }

    /// Closes the connection for which most unread bytes of responses are held; if there are
    /// none, refuses the largest incomplete request, or closes the connection with most
    /// bytes behind the request in flight, and adds it to `ended`. Returns whether there was
    /// one.
    pub fn end_largest(
        &mut self,
        now: Instant,
        events: &mut CallerEvents,
        ended: &mut Vec<EndedCaller>,
    ) -> bool {
        let arrived_max = self.budget.limits().arrived_max();
        let connections = self.connections.iter();
        let sizes = connections.map(|(id, connection)| {
            let input = match connection.phase {
                CallerPhase::Reading(_) => connection.charge.held(),
                CallerPhase::Processing(_) if connection.is_paused => arrived_max,
                _ => 0,
            };
            ((connection.socket.output.len(), input), *id)
        });
        let Some(((output, _), id)) = sizes.max().filter(|(size, _)| *size > (0, 0)) else {
            return false;
        };
        let phase = self.connections.get(&id).map(|it| it.phase);
        match phase {
            Some(CallerPhase::Reading(_)) if output == 0 => self.refuse_request(now, id),
            _ => ended.extend(self.end_caller(id, events)),
        }
        true
    }

    fn end_caller(&mut self, id: CallerId, events: &mut CallerEvents) -> Option<EndedCaller> {
        let connection = self.connections.get(&id)?;
        let address = connection.socket.stream().peer_addr();
        let ended = EndedCaller {
            address: address.map(|it| it.to_string()).unwrap_or_default(),
            held: connection.charge.held(),
        };
        self.close(id, events);
        self.budget.count(RefusalKind::Ended);
        Some(ended)
    }
}
