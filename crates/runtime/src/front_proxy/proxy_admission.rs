//! What the proxy does when memory or descriptors for callers are short: which connections
//! it closes, and which requests it refuses.

use std::time::Instant;

use mulberrywell_role::RequestId;

use super::{ConnectionId, ProxyLoop};
use crate::caller_budget::{CallerCharge, RefusalKind, SEARCH_INTERVAL, STALL_MIN, VICTIM_DIVISOR};
use crate::http_refusal::OVERLOADED;
use crate::proxy_connection::ProxyStep;

impl<F: Fn(RequestId)> ProxyLoop<F> {
    /// Takes the descriptor of a new connection; closes another one if that is necessary
    /// and possible.
    pub(super) fn admit(&mut self) -> Option<CallerCharge> {
        if self.connections.len() >= self.limits.max_connections && !self.close_one(None) {
            return None;
        }
        if let Some(charge) = self.budget.connect(self.connections.len(), 1) {
            return Some(charge);
        }
        self.close_one(None);
        self.budget.connect(self.connections.len(), 1)
    }

    /// Closes the connection without a request in flight that is closed first, other than
    /// `except`.
    pub(super) fn close_one(&mut self, except: Option<ConnectionId>) -> bool {
        let connections = self.connections.iter();
        let others = connections.filter(|(id, _)| Some(**id) != except);
        let ranked = others.filter_map(|(id, connection)| Some((connection.close_rank()?, *id)));
        let Some((_, id)) = ranked.min() else {
            return false;
        };
        self.remove_connection(id);
        self.budget.count(RefusalKind::Closed);
        true
    }

    /// Takes memory for a connection's request; refuses other requests that have stalled
    /// while it is not free.
    pub(super) fn take_memory(&mut self, now: Instant, id: ConnectionId, len: usize) -> bool {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return false;
            };
            if connection.take_memory(len) {
                return true;
            }
            let Some(stalled) = self.find_stalled(now, id, len / VICTIM_DIVISOR) else {
                return false;
            };
            if !self.refuse_request(now, stalled) {
                return false;
            }
            // The refusal is written in the next turn.
            self.pending.push(stalled);
        }
    }

    /// Returns the connection whose stalled incomplete request holds most for longest, of
    /// those that hold at least `held_min` bytes.
    pub(super) fn find_stalled(
        &mut self,
        now: Instant,
        except: ConnectionId,
        held_min: usize,
    ) -> Option<ConnectionId> {
        if self
            .searched_at
            .is_some_and(|at| now < at + SEARCH_INTERVAL)
        {
            return None;
        }
        let connections = self.connections.iter().filter(|(id, _)| **id != except);
        let holders = connections.filter(|(_, it)| it.held_bytes() >= held_min);
        let weights = holders
            .filter_map(|(id, connection)| Some((connection.stalled_weight(now, STALL_MIN)?, *id)));
        let found = weights.max().map(|(_, id)| id);
        self.searched_at = found.is_none().then_some(now);
        found
    }

    /// Refuses a connection's request for lack of memory or descriptors; false when it has
    /// started, of which a command is on its way.
    pub(super) fn refuse_request(&mut self, now: Instant, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let Some(step) = connection.refuse_request(now, OVERLOADED) else {
            return false;
        };
        self.budget.count(RefusalKind::Request);
        if step == ProxyStep::Ended {
            self.remove_connection(id);
        }
        true
    }

    /// Takes the descriptors of a connection that is opened to the upstream server; closes
    /// others while they are not free.
    pub(super) fn take_descriptors(&mut self, id: ConnectionId) -> bool {
        loop {
            let open = self.connections.len();
            let Some(connection) = self.connections.get_mut(&id) else {
                return false;
            };
            if connection.take_descriptors(open) {
                return true;
            }
            if !self.close_one(Some(id)) {
                return false;
            }
        }
    }
}
