//! What is held in memory for callers, and the end of those that don't read.

use std::time::Instant;

use mulberrywell_role::{ListenerId, RequestId};

use super::{CallerEvents, CallerId, CallerPhase, CallerTable};

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

    /// Returns the bytes held for all callers: what is not yet written or parsed, and the
    /// bodies of requests in flight.
    pub fn held_bytes(&self) -> usize {
        let connections = self.connections.values();
        connections.map(|it| it.held_bytes()).sum()
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

    /// Closes the connection of a request whose caller doesn't read.
    pub fn end_request(
        &mut self,
        request: RequestId,
        events: &mut CallerEvents,
    ) -> Option<EndedCaller> {
        let id = *self.requests.get(&request)?;
        self.end_caller(id, events)
    }

    /// Closes the connection for which most unread bytes are held or, if there are none,
    /// the one with the largest incomplete request.
    pub fn end_largest(&mut self, events: &mut CallerEvents) -> Option<EndedCaller> {
        let connections = self.connections.iter();
        let sizes = connections.map(|(id, connection)| {
            let input = match connection.phase {
                CallerPhase::Processing(_) => 0,
                _ => connection.socket.input.len(),
            };
            ((connection.socket.output.len(), input), *id)
        });
        let (size, id) = sizes.max()?;
        (size > (0, 0)).then(|| self.end_caller(id, events))?
    }

    fn end_caller(&mut self, id: CallerId, events: &mut CallerEvents) -> Option<EndedCaller> {
        let connection = self.connections.get(&id)?;
        let address = connection.socket.stream().peer_addr();
        let ended = EndedCaller {
            address: address.map(|it| it.to_string()).unwrap_or_default(),
            held: connection.held_bytes(),
        };
        self.close(id, events);
        Some(ended)
    }
}
