//! What the proxy does when memory or descriptors for callers are short: which connections
//! it closes, and which requests it refuses.

use std::cmp::Reverse;
use std::time::Instant;

use mulberrywell_role::RequestId;

use super::{ConnectionId, ProxyLoop};
use crate::caller_budget::{
    CallerCharge, RefusalKind, IDLE_DIVISOR, SEARCH_INTERVAL, STALL_MIN, VICTIM_DIVISOR,
};
use crate::descriptor_limit::open_descriptors;
use crate::http_refusal::OVERLOADED;
use crate::proxy_connection::{ProxyRank, ProxyStep, PROXIED_DESCRIPTORS};

/// Whether a connection to the upstream server may be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// Its descriptors are taken.
    Admitted,
    /// They are free once the upstream server has closed other connections.
    Later,
    /// They are not free.
    Refused,
}

impl<F: Fn(RequestId)> ProxyLoop<F> {
    /// Takes the descriptor of a new connection; closes another one if that is necessary
    /// and possible.
    pub(super) fn admit(&mut self, now: Instant) -> Option<CallerCharge> {
        if self.connections.len() >= self.limits.max_connections && !self.close_one(now, None) {
            return None;
        }
        if let Some(charge) = self.budget.connect(self.connections.len(), 1) {
            return Some(charge);
        }
        self.close_one(now, None);
        self.budget.connect(self.connections.len(), 1)
    }

    /// Closes the connection without a request in flight that is closed first, other than
    /// `except`; false if there is none. Idle connections of callers that behave are closed
    /// only while they are more than half of those that are allowed.
    pub(super) fn close_one(&mut self, now: Instant, except: Option<ConnectionId>) -> bool {
        let connections = self.connections.iter();
        let ranked = connections.filter_map(|(id, it)| Some((it.close_rank()?, Reverse(*id))));
        let ranked: Vec<(ProxyRank, Reverse<ConnectionId>)> = ranked.collect();
        let proven = ranked.iter().filter(|(rank, _)| rank.is_proven()).count();
        let allowed = self.budget.limits().descriptors / PROXIED_DESCRIPTORS;
        let keeps_proven = proven <= allowed.min(self.limits.max_connections) / IDLE_DIVISOR;
        let closable = ranked.into_iter().filter(|(rank, Reverse(id))| {
            Some(*id) != except && !(keeps_proven && rank.is_proven())
        });
        let Some((_, Reverse(id))) = closable.min() else {
            return false;
        };
        self.remove_connection(now, id);
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
            let Some(stalled) = self.find_stalled(now, Some(id), len / VICTIM_DIVISOR) else {
                self.budget.want(now, len);
                return false;
            };
            if !self.refuse_request(now, stalled) {
                return false;
            }
            // The refusal is written in the next turn.
            self.pending.push(stalled);
        }
    }

    /// Refuses requests that have stalled while another port of the process wants what they
    /// hold.
    pub(super) fn make_room(&mut self, now: Instant) {
        while let Some(wanted) = self.budget.wanted(now) {
            let Some(stalled) = self.find_stalled(now, None, wanted / VICTIM_DIVISOR) else {
                return;
            };
            if !self.refuse_request(now, stalled) {
                return;
            }
            self.pending.push(stalled);
        }
    }

    /// Returns the connection whose stalled incomplete request holds most for longest, of
    /// those that hold at least `held_min` bytes.
    pub(super) fn find_stalled(
        &mut self,
        now: Instant,
        except: Option<ConnectionId>,
        held_min: usize,
    ) -> Option<ConnectionId> {
        if self
            .searched_at
            .is_some_and(|at| now < at + SEARCH_INTERVAL)
        {
            return None;
        }
        let connections = self.connections.iter();
        let connections = connections.filter(|(id, _)| Some(**id) != except);
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
            self.remove_connection(now, id);
        }
        true
    }

    /// Takes the descriptors of a connection that is opened to the upstream server; closes
    /// others while they are not free.
    pub(super) fn take_descriptors(&mut self, now: Instant, id: ConnectionId) -> Admission {
        loop {
            let open = self.connections.len();
            let Some(connection) = self.connections.get_mut(&id) else {
                return Admission::Refused;
            };
            if connection.take_descriptors(open) {
                return match self.has_descriptors() {
                    true => Admission::Admitted,
                    false => Admission::Later,
                };
            }
            // One that closes gives back as many as are wanted.
            if self.waiting.len() < self.closing.len() {
                return Admission::Later;
            }
            if !self.close_one(now, Some(id)) {
                return match self.closing.len() {
                    0 => Admission::Refused,
                    _ => Admission::Later,
                };
            }
        }
    }

    /// Returns whether the upstream server has descriptors for a further connection. It
    /// keeps those of a connection for some time after its end, and would itself end if it
    /// had none.
    pub(super) fn has_descriptors(&self) -> bool {
        let limits = self.budget.limits();
        if self.budget.descriptors() < limits.descriptors / 2 {
            return true;
        }
        // Those that wait to be accepted don't have all of theirs yet.
        let wanted = (self.start_tracker.waiting_count() + 1) * PROXIED_DESCRIPTORS;
        open_descriptors().is_none_or(|open| open + wanted <= limits.all_descriptors)
    }
}
