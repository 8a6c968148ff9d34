//! What goes between requests, the holder of leases and the lease service.

use std::time::Duration;

use crate::lease_table::{AccountId, LeaseId};

/// Identifies a request that wants tokens.
pub type TicketId = u64;

/// Tokens of one lease in a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedPart {
    /// Lease.
    pub lease: LeaseId,
    /// Tokens.
    pub tokens: u64,
}

/// Tokens that a request has taken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reservation {
    /// By rising lease.
    pub parts: Vec<ReservedPart>,
}

/// What becomes of a request that wants tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// It has them.
    Taken(Reservation),
    /// An event follows.
    Waiting,
    /// They are not there in time; come back after this.
    Short(Duration),
    /// The lease service does not answer; come back after this.
    Unavailable(Duration),
}

/// The end of a wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketEvent {
    /// Which request.
    pub ticket: TicketId,
    /// Never `Waiting`.
    pub outcome: ReserveOutcome,
}

/// A message to the lease service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseMessage {
    /// Asks for tokens.
    Ask {
        /// Number of the question.
        sequence: u64,
        /// Account.
        account: AccountId,
        /// Least useful grant; 0 to ask ahead of demand.
        least: u64,
        /// Tokens that waiting requests need.
        tokens: u64,
        /// Recent demand in tokens a second.
        demand: u64,
        /// Longest useful wait.
        patience: Duration,
    },
    /// Ends a lease.
    Return {
        /// Account.
        account: AccountId,
        /// Lease.
        lease: LeaseId,
        /// What is left of it.
        unspent: u64,
    },
    /// Gives tokens of an ended lease back.
    Refund {
        /// Account.
        account: AccountId,
        /// Rises with each refund of this client.
        number: u64,
        /// Lease.
        lease: LeaseId,
        /// Tokens.
        tokens: u64,
    },
}

/// The service's answer to a question.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// Number of the question.
    pub sequence: u64,
    /// 0 when nothing was granted.
    pub lease: LeaseId,
    /// Tokens.
    pub tokens: u64,
    /// Time from the sending of the question on.
    pub lifetime: Duration,
    /// Time until the question is expected to be covered; none when never.
    pub retry_after: Option<Duration>,
    /// The account's rate in tokens a second.
    pub rate: u64,
    /// There is no leader now.
    pub unavailable: bool,
}
