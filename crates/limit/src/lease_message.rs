//! Messages between requests, the holder of leases and the lease service.

use std::time::Duration;

use crate::lease_table::{AccountId, LeaseId};

/// Identifies a request for tokens at a holder.
pub type TicketId = u64;

/// Tokens of one lease in a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedPart {
    /// Lease that the tokens were reserved from.
    pub lease: LeaseId,
    /// Reserved tokens.
    pub tokens: u64,
}

/// Tokens that a request has reserved.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Ordered by lease, oldest first.
    pub parts: Vec<ReservedPart>,
}

/// Result of a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved(Reservation),
    /// The request waits; a [`TicketEvent`] reports its result.
    Waiting,
    /// The tokens do not accrue before the deadline; retry after this time.
    Insufficient(Duration),
    /// The lease service does not answer; retry after this time.
    Unavailable(Duration),
}

/// The end of a wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketEvent {
    /// Request that waited.
    pub ticket: TicketId,
    /// Result; never `Waiting`.
    pub outcome: ReserveOutcome,
}

/// A message to the lease service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseMessage {
    /// Requests tokens.
    Request {
        /// Number of the request.
        sequence: u64,
        /// Account whose tokens are requested.
        account: AccountId,
        /// Smallest useful grant in tokens; 0 for a prefetch.
        min_tokens: u64,
        /// Tokens that the waiting requests need.
        tokens: u64,
        /// Recent demand in tokens per second.
        demand: u64,
        /// Longest useful wait.
        max_wait: Duration,
    },
    /// Closes a lease.
    Return {
        /// Account of the lease.
        account: AccountId,
        /// Lease to close.
        lease: LeaseId,
        /// Tokens of the lease that were not spent.
        unspent: u64,
    },
    /// Refunds tokens of a closed lease.
    Refund {
        /// Account of the lease.
        account: AccountId,
        /// Increases with each refund of this client.
        number: u64,
        /// Lease that the tokens were reserved from.
        lease: LeaseId,
        /// Refunded tokens.
        tokens: u64,
    },
}

/// The service's answer to a request for tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// Number of the request.
    pub sequence: u64,
    /// Id of the granted lease; 0 if nothing was granted.
    pub lease: LeaseId,
    /// Granted tokens.
    pub tokens: u64,
    /// Time for which they may be spent, from the sending of the request.
    pub lifetime: Duration,
    /// Time until the request is expected to be covered; none if it never is.
    pub retry_after: Option<Duration>,
    /// The account's rate in tokens per second.
    pub rate: u64,
    /// There is no leader that could grant tokens.
    pub unavailable: bool,
}
