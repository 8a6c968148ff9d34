//! The bound on the memory that an instance holds for callers and endpoints.
//!
//! Algorithm: a response is read from its endpoint only while the caller's unread part is
//! below a limit. Half of the bound is divided evenly among all callers that may connect; of
//! the other half, a caller gets a part of what is free (dynamic thresholds, Choudhury and
//! Hahne, 1998). So any number of callers that don't read leave memory to those that do.
//! The bytes held are counted at intervals and whenever enough were added since.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mulberrywell_role::{ExchangeId, RequestId};

use crate::caller_table::CONNECTIONS_MAX;
use crate::exchange_table::ConnectionId;

/// Divisor of the free part of the second half that gives the unread bytes allowed to one
/// caller.
const FREE_DIVISOR: usize = 16;

/// Unread bytes allowed to one caller however much memory is free.
const UNREAD_MAX: usize = 1024 * 1024;

/// Divisor of the bound that gives the bytes added after which all are counted again.
const RECOUNT_DIVISOR: usize = 64;

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
#[derive(Debug, Default)]
pub struct HeldMemory {
    /// Bytes that may be held; none without a bound.
    limit: Option<usize>,
    /// Bytes held when they were last counted.
    counted: usize,
    /// Bytes added since.
    added: usize,
    /// Requests by the exchanges whose responses are forwarded to them.
    readers: BTreeMap<ExchangeId, RequestId>,
    paused: BTreeMap<ConnectionId, PausedRead>,
    /// Connections in `paused` by request.
    paused_requests: BTreeMap<RequestId, ConnectionId>,
}

impl HeldMemory {
    /// Returns a bound of `limit` bytes.
    pub fn new(limit: Option<usize>) -> Self {
        HeldMemory {
            limit,
            ..HeldMemory::default()
        }
    }

    /// Returns the bound.
    pub fn limit(&self) -> Option<usize> {
        self.limit
    }

    /// Records bytes that are held from now on.
    pub fn add(&mut self, len: usize) {
        self.added = self.added.saturating_add(len);
    }

    /// Records the bytes held.
    pub fn set_counted(&mut self, held: usize) {
        self.counted = held;
        self.added = 0;
    }

    /// Returns whether the bytes held must be counted again.
    pub fn needs_count(&self) -> bool {
        self.limit.is_some_and(|limit| {
            self.added > limit / RECOUNT_DIVISOR || self.counted + self.added > limit
        })
    }

    /// Returns how many bytes more of a response may be read whose caller has not read
    /// `backlog` bytes.
    pub fn read_allowance(&self, backlog: usize) -> usize {
        let Some(limit) = self.limit else {
            return usize::MAX;
        };
        let half = limit / 2;
        let held = self.counted.saturating_add(self.added);
        let shared = half.saturating_sub(held) / FREE_DIVISOR;
        let unread_max = shared.min(UNREAD_MAX).max(half / CONNECTIONS_MAX);
        unread_max.saturating_sub(backlog)
    }

    /// Records that an exchange's response is forwarded to a request's caller.
    pub fn insert_reader(&mut self, exchange: ExchangeId, request: RequestId) {
        if self.limit.is_some() {
            self.readers.insert(exchange, request);
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
