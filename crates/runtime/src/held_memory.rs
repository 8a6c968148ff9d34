//! The part of the budget's memory that responses may take.
//!
//! Algorithm: a response is read from its endpoint only while the caller's unread part is
//! below a limit. What the requests of all callers that may connect leave of the bound is
//! divided evenly among these; while less than half of the bound is held, a caller gets a
//! part of what is free of it (dynamic thresholds, Choudhury and Hahne, 1998). So any number
//! of callers that don't read leave memory to those that do.
//! What is held is counted by the process's budget.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mulberrywell_role::{ExchangeId, RequestId};

use crate::caller_budget::{CallerBudget, CallerCharge};
use crate::caller_table::{CONNECTION_MEMORY, REQUEST_MEMORY};
use crate::exchange_table::ConnectionId;

/// Divisor of the free part of one half that gives the unread bytes allowed to one caller.
const FREE_DIVISOR: usize = 16;

/// Divisor of each caller's part that gives what is left for spare capacity.
const OVERHEAD_DIVISOR: usize = 3;

/// Unread bytes allowed to one caller however little memory is free, so that each response
/// proceeds.
const UNREAD_MIN: usize = 4 * 1024;

/// Unread bytes allowed to one caller however much memory is free.
const UNREAD_MAX: usize = 1024 * 1024;

/// Time for which a caller may read nothing while its response is not read from the
/// endpoint. Endpoints cut off a response that remains unread for some seconds.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection to an endpoint that is not read, as the caller doesn't read.
#[derive(Debug, Clone, Copy)]
pub struct PausedRead {
    /// The caller's request.
    pub request: RequestId,
    /// Since when.
    pub since: Instant,
}

/// State of the bound.
#[derive(Debug)]
pub struct HeldMemory {
    budget: CallerBudget,
    /// Requests by the exchanges whose responses are forwarded to them.
    readers: BTreeMap<ExchangeId, RequestId>,
    paused: BTreeMap<ConnectionId, PausedRead>,
    /// Connections in `paused` by request.
    paused_requests: BTreeMap<RequestId, ConnectionId>,
    /// Bytes of responses by request that the role has received and not yet passed on, as
    /// it does once they are complete.
    in_role: BTreeMap<RequestId, usize>,
    /// Holds the sum of `in_role` in the budget.
    role_charge: CallerCharge,
}

impl HeldMemory {
    /// Returns a bound by a budget.
    pub fn new(budget: CallerBudget) -> Self {
        HeldMemory {
            role_charge: budget.charge(),
            in_role: BTreeMap::new(),
            budget,
            readers: BTreeMap::new(),
            paused: BTreeMap::new(),
            paused_requests: BTreeMap::new(),
        }
    }

    /// Returns how many bytes more of a response may be read whose caller has not read
    /// `backlog` bytes.
    pub fn read_allowance(&self, request: Option<RequestId>, backlog: usize) -> usize {
        let in_role = request.map_or(0, |request| self.in_role(request));
        self.unread_max().saturating_sub(backlog + in_role)
    }

    /// Returns whether it is the role that holds most of a response which isn't read any
    /// further.
    pub fn is_role_full(&self, request: RequestId) -> bool {
        self.in_role(request) * 2 >= self.unread_max()
    }

    fn in_role(&self, request: RequestId) -> usize {
        self.in_role.get(&request).copied().unwrap_or(0)
    }

    /// Returns the bytes of a response that may be held for one caller.
    fn unread_max(&self) -> usize {
        let limits = self.budget.limits();
        let half = limits.memory / 2;
        let shared = half.saturating_sub(self.budget.held()) / FREE_DIVISOR;
        let each = limits.memory / limits.descriptors.max(1);
        let each = each.saturating_sub(CONNECTION_MEMORY + REQUEST_MEMORY);
        let each = (each - each / OVERHEAD_DIVISOR).max(UNREAD_MIN);
        shared.min(UNREAD_MAX).max(each)
    }

    /// Records that an exchange's response is forwarded to a request's caller.
    pub fn insert_reader(&mut self, exchange: ExchangeId, request: RequestId) {
        self.readers.insert(exchange, request);
        self.in_role.entry(request).or_insert(0);
    }

    /// Records bytes of a response that the role receives.
    pub fn record_received(&mut self, exchange: ExchangeId, len: usize) {
        let request = self.readers.get(&exchange);
        if let Some(held) = request.and_then(|request| self.in_role.get_mut(request)) {
            *held += len;
            let sum = self.role_charge.held() + len;
            self.role_charge.set(sum);
        }
    }

    /// Records that the role passes on, or has dropped, all that it holds of a response.
    pub fn record_passed(&mut self, exchange: ExchangeId) {
        if let Some(request) = self.reader(exchange) {
            let held = self.in_role(request);
            self.record_responded(request, held);
        }
    }

    /// Records bytes of a response that the role passes on.
    pub fn record_responded(&mut self, request: RequestId, len: usize) {
        if let Some(held) = self.in_role.get_mut(&request) {
            let passed = len.min(*held);
            *held -= passed;
            let sum = self.role_charge.held() - passed;
            self.role_charge.set(sum);
        }
    }

    /// Removes a request whose response has ended.
    pub fn remove_request(&mut self, request: RequestId) {
        if let Some(held) = self.in_role.remove(&request) {
            let sum = self.role_charge.held() - held;
            self.role_charge.set(sum);
        }
    }

    /// Removes an exchange that has ended.
    pub fn remove_reader(&mut self, exchange: ExchangeId) {
        self.readers.remove(&exchange);
    }

    /// Returns the request whose caller an exchange's response is forwarded to.
    pub fn reader(&self, exchange: ExchangeId) -> Option<RequestId> {
        self.readers.get(&exchange).copied()
    }

    /// Records that a connection is not read.
    pub fn pause(&mut self, now: Instant, id: ConnectionId, request: RequestId) {
        let paused = self.paused.entry(id);
        paused.or_insert(PausedRead {
            request,
            since: now,
        });
        self.paused_requests.insert(request, id);
    }

    /// Records that a connection is read again, or has ended.
    pub fn resume(&mut self, id: ConnectionId) {
        if let Some(paused) = self.paused.remove(&id) {
            self.paused_requests.remove(&paused.request);
        }
    }

    /// Returns the connection that is not read because of a request's caller.
    pub fn paused_by(&self, request: RequestId) -> Option<ConnectionId> {
        self.paused_requests.get(&request).copied()
    }

    /// Returns the connections that are not read.
    pub fn paused(&self) -> Vec<(ConnectionId, PausedRead)> {
        self.paused.iter().map(|(id, it)| (*id, *it)).collect()
    }
}
