//! Leased tokens and waiting requests of one client account at one holder.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::demand_meter::DemandMeter;
use crate::lease_message::{Reservation, ReservedPart, TicketId};
use crate::lease_table::LeaseId;

/// Percentage of a lease's lifetime after which its unspent tokens are returned.
const RETURN_AFTER_PERCENT: u32 = 80;

/// A lease whose tokens may be spent.
#[derive(Debug, Clone)]
struct HeldLease {
    id: LeaseId,
    /// Unspent tokens.
    tokens: u64,
    /// From this instant on its tokens may not be spent.
    expires_at: Instant,
}

/// A request that waits for tokens.
#[derive(Debug, Clone)]
pub(crate) struct WaitingTicket {
    pub(crate) ticket: TicketId,
    pub(crate) tokens: u64,
    /// Latest instant at which a reservation is useful.
    pub(crate) deadline: Instant,
}

/// A request to the lease service that has no answer yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRequest {
    pub(crate) sequence: u64,
    pub(crate) sent_at: Instant,
    /// Whether no waiting request needs the tokens.
    pub(crate) prefetch: bool,
}

/// A lease that the holder has closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ClosedLease {
    pub(crate) lease: LeaseId,
    pub(crate) unspent: u64,
}

/// Tokens of one account at one holder.
#[derive(Debug, Clone)]
pub(crate) struct AccountBalance {
    /// Oldest first.
    leases: VecDeque<HeldLease>,
    /// In the order of arrival; the balance does not cover the first one.
    pub(crate) waiting: VecDeque<WaitingTicket>,
    pub(crate) pending_request: Option<PendingRequest>,
    /// Earliest next request for waiting requests, by the last answer.
    pub(crate) next_request_at: Instant,
    /// Earliest next prefetch.
    pub(crate) next_prefetch_at: Instant,
    /// Whether the holder may be queued at the service; once nothing waits here,
    /// a request with `min_tokens` 0 removes it from that queue.
    pub(crate) queued: bool,
    pub(crate) demand: DemandMeter,
    /// Rate by the last answer, in tokens per second.
    pub(crate) rate: u64,
}

impl AccountBalance {
    pub(crate) fn new(now: Instant) -> Self {
        AccountBalance {
            leases: VecDeque::new(),
            waiting: VecDeque::new(),
            pending_request: None,
            next_request_at: now,
            next_prefetch_at: now,
            queued: false,
            demand: DemandMeter::new(now),
            rate: 0,
        }
    }

    /// Returns the tokens that may be spent now.
    pub(crate) fn tokens(&self, now: Instant) -> u64 {
        self.leases
            .iter()
            .filter(|lease| lease.expires_at > now)
            .map(|lease| lease.tokens)
            .sum()
    }

    /// Returns the tokens that all waiting requests need.
    pub(crate) fn waiting_tokens(&self) -> u64 {
        self.waiting.iter().map(|item| item.tokens).sum()
    }

    pub(crate) fn add_lease(&mut self, id: LeaseId, tokens: u64, expires_at: Instant) {
        self.leases.push_back(HeldLease {
            id,
            tokens,
            expires_at,
        });
    }

    /// Reserves tokens if the balance covers all of them; leases without tokens
    /// are closed and appended to `closed`.
    pub(crate) fn reserve(
        &mut self,
        tokens: u64,
        now: Instant,
        closed: &mut Vec<ClosedLease>,
    ) -> Option<Reservation> {
        if self.tokens(now) < tokens {
            return None;
        }
        let mut missing = tokens;
        let mut parts = Vec::with_capacity(1);
        for lease in self
            .leases
            .iter_mut()
            .filter(|lease| lease.expires_at > now)
        {
            let part = missing.min(lease.tokens);
            if part > 0 {
                lease.tokens -= part;
                missing -= part;
                parts.push(ReservedPart {
                    lease: lease.id,
                    tokens: part,
                });
            }
        }
        self.close_leases(|lease| lease.tokens == 0, closed);
        Some(Reservation { parts })
    }

    /// Releases tokens into their lease; false if the lease is closed or expired.
    pub(crate) fn release(&mut self, part: &ReservedPart, now: Instant) -> bool {
        let held = self
            .leases
            .iter_mut()
            .find(|lease| lease.id == part.lease && lease.expires_at > now);
        if let Some(lease) = held {
            lease.tokens += part.tokens;
            return true;
        }
        false
    }

    /// Closes the leases whose return is due.
    pub(crate) fn close_due_leases(
        &mut self,
        now: Instant,
        lifetime: Duration,
        closed: &mut Vec<ClosedLease>,
    ) {
        self.close_leases(|lease| return_at(lease, lifetime) <= now, closed);
    }

    /// Closes all leases.
    pub(crate) fn close_all(&mut self, closed: &mut Vec<ClosedLease>) {
        self.close_leases(|_| true, closed);
    }

    /// Returns when the next return of a lease is due.
    fn next_return(&self, lifetime: Duration) -> Option<Instant> {
        self.leases
            .iter()
            .map(|lease| return_at(lease, lifetime))
            .min()
    }

    /// Returns when the next return of a lease, request to the service or expiry of
    /// a waiting request is due.
    pub(crate) fn next_due(&self, lifetime: Duration, connected: bool) -> Option<Instant> {
        let may_request = connected && !self.waiting.is_empty() && self.pending_request.is_none();
        let request_due = may_request.then_some(self.next_request_at);
        let waiting = self.waiting.iter().map(|item| item.deadline).min();
        [self.next_return(lifetime), request_due, waiting]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns whether there are no leases, no waiting requests and no recent
    /// demand.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        self.leases.is_empty() && self.waiting.is_empty() && self.demand.rate(now) == 0
    }

    fn close_leases(
        &mut self,
        should_close: impl Fn(&HeldLease) -> bool,
        closed: &mut Vec<ClosedLease>,
    ) {
        self.leases.retain(|lease| {
            if should_close(lease) {
                closed.push(ClosedLease {
                    lease: lease.id,
                    unspent: lease.tokens,
                });
                return false;
            }
            true
        });
    }
}

fn return_at(lease: &HeldLease, lifetime: Duration) -> Instant {
    let kept = lifetime * RETURN_AFTER_PERCENT / 100;
    lease
        .expires_at
        .checked_sub(lifetime.saturating_sub(kept))
        .unwrap_or(lease.expires_at)
}
