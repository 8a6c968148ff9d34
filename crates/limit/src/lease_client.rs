//! The holder's side of token leases.
//!
//! Purpose: admits requests against leased tokens, prefetches leases and
//! returns unused tokens.
//!
//! Guarantees:
//! * A lease is spent only within its lifetime, counted from the sending of
//!   its request, so a slow answer shortens it.
//! * Requests of one account are admitted in the order of their arrival.
//! * A request waits only while the expected accrual covers it before its
//!   deadline; otherwise it is refused immediately with a time to retry after.
//! * While the lease service does not answer, no lease is added: after
//!   [`ANSWER_TIMEOUT`] requests that the balance does not cover are refused.
//! * Every reservation is settled once: unused tokens go back into the lease
//!   while it is open, and to the service as a refund afterwards.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::account_balance::{AccountBalance, ClosedLease, PendingRequest, WaitingTicket};
use crate::account_ledger::LEASE_LIFETIME;
use crate::lease_message::{
    LeaseAnswer, LeaseMessage, Reservation, ReserveOutcome, ReservedPart, TicketEvent, TicketId,
};
use crate::lease_table::{AccountId, LeaseId};

/// Time without an answer of the lease service after which requests are refused.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time to retry after while the lease service does not answer.
pub const UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);

/// Period of recent demand that the balance must cover; below it a prefetch is
/// due.
const LOW_BALANCE_TIME: Duration = Duration::from_millis(100);

/// Delay of the next request after an answer that there is no leader.
const NO_LEADER_RETRY: Duration = Duration::from_millis(50);

/// Shortest interval between prefetches.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct PendingReturn {
    unspent: u64,
    /// Instant by which the lease has expired at the service.
    expires_at: Instant,
}

/// Leased tokens of all accounts at one holder.
#[derive(Debug)]
pub struct LeaseClient {
    accounts: BTreeMap<AccountId, AccountBalance>,
    /// Returns without an acknowledgement; sent again when the link reopens.
    pending_returns: BTreeMap<(AccountId, LeaseId), PendingReturn>,
    messages: Vec<LeaseMessage>,
    events: Vec<TicketEvent>,
    connected: bool,
    /// Since when a request is unanswered or the link is closed.
    unanswered_since: Option<Instant>,
    next_sequence: u64,
    next_refund: u64,
    draining: bool,
}

impl LeaseClient {
    /// Creates a client without a link.
    pub fn new(now: Instant) -> Self {
        LeaseClient {
            accounts: BTreeMap::new(),
            pending_returns: BTreeMap::new(),
            messages: Vec::new(),
            events: Vec::new(),
            connected: false,
            unanswered_since: Some(now),
            next_sequence: 1,
            next_refund: 1,
            draining: false,
        }
    }

    /// Reserves `tokens` for a request, or queues it until `deadline`.
    pub fn reserve(
        &mut self,
        now: Instant,
        account: &AccountId,
        ticket: TicketId,
        tokens: u64,
        deadline: Instant,
    ) -> ReserveOutcome {
        let unresponsive = self.is_unresponsive(now);
        let balance = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountBalance::new(now));
        balance.demand.record(tokens, now);
        let mut closed = Vec::new();
        if balance.waiting.is_empty() {
            if let Some(reservation) = balance.reserve(tokens, now, &mut closed) {
                self.send_returns(account, closed, now);
                self.request_if_low(now, account);
                return ReserveOutcome::Reserved(reservation);
            }
        }
        if unresponsive {
            self.request_if_low(now, account);
            return ReserveOutcome::Unavailable(UNAVAILABLE_RETRY);
        }
        if let Some(delay) = expected_wait(balance, tokens, now).filter(|d| now + *d > deadline) {
            return ReserveOutcome::Insufficient(delay);
        }
        balance.waiting.push_back(WaitingTicket {
            ticket,
            tokens,
            deadline,
        });
        self.request_if_low(now, account);
        ReserveOutcome::Waiting
    }

    /// Removes a waiting request without an event.
    pub fn cancel(&mut self, now: Instant, account: &AccountId, ticket: TicketId) {
        if let Some(balance) = self.accounts.get_mut(account) {
            balance.waiting.retain(|item| item.ticket != ticket);
            self.admit_waiting(now, account);
            self.request_if_low(now, account);
        }
    }

    /// Settles a reservation and releases its `unused` tokens.
    pub fn settle(
        &mut self,
        now: Instant,
        account: &AccountId,
        reservation: &Reservation,
        unused: u64,
    ) {
        let mut left = unused;
        for part in reservation.parts.iter().rev() {
            let tokens = left.min(part.tokens);
            left -= tokens;
            if tokens > 0 {
                let lease = part.lease;
                self.release_part(now, account, &ReservedPart { lease, tokens });
            }
        }
        self.admit_waiting(now, account);
    }

    /// Handles an answer of the lease service.
    pub fn handle_answer(&mut self, now: Instant, account: &AccountId, answer: &LeaseAnswer) {
        let Some(balance) = self.accounts.get_mut(account) else {
            return;
        };
        let Some(pending_request) = balance
            .pending_request
            .filter(|pending_request| pending_request.sequence == answer.sequence)
        else {
            return;
        };
        balance.pending_request = None;
        if answer.unavailable {
            balance.next_request_at = now + NO_LEADER_RETRY;
            balance.next_prefetch_at = balance.next_request_at;
            return;
        }
        self.unanswered_since = None;
        balance.rate = answer.rate;
        if answer.tokens > 0 {
            let expires_at = pending_request.sent_at + answer.lifetime;
            balance.add_lease(answer.lease, answer.tokens, expires_at);
            balance.next_request_at = now;
            balance.queued = false;
            self.admit_waiting(now, account);
        } else if pending_request.prefetch {
            balance.next_prefetch_at = now + answer.retry_after.unwrap_or(UNAVAILABLE_RETRY);
        } else {
            self.handle_decline(now, account, answer.retry_after);
        }
        self.request_if_low(now, account);
    }

    /// Handles the acknowledgement of a return.
    pub fn handle_return_ack(&mut self, account: &AccountId, lease: LeaseId) {
        self.pending_returns.remove(&(account.clone(), lease));
    }

    /// Handles the opening of the link to the service.
    pub fn handle_link_opened(&mut self, now: Instant) {
        self.connected = true;
        self.unanswered_since = None;
        for ((account, lease), pending) in &self.pending_returns {
            self.messages.push(LeaseMessage::Return {
                account: account.clone(),
                lease: *lease,
                unspent: pending.unspent,
            });
        }
        for balance in self.accounts.values_mut() {
            balance.pending_request = None;
            balance.next_request_at = now;
        }
    }

    /// Handles the closing of the link to the service.
    pub fn handle_link_closed(&mut self, now: Instant) {
        self.connected = false;
        self.unanswered_since = self.unanswered_since.or(Some(now));
        for balance in self.accounts.values_mut() {
            balance.pending_request = None;
        }
    }

    /// Returns all leases and stops prefetching.
    pub fn drain(&mut self, now: Instant) {
        self.draining = true;
        let accounts: Vec<AccountId> = self.accounts.keys().cloned().collect();
        for account in accounts {
            let mut closed = Vec::new();
            if let Some(balance) = self.accounts.get_mut(&account) {
                balance.close_all(&mut closed);
            }
            self.send_returns(&account, closed, now);
        }
    }

    /// Returns whether every return was acknowledged or its lease has expired.
    pub fn is_drained(&self) -> bool {
        self.pending_returns.is_empty()
    }

    /// Handles expired timers: leases, waiting requests and requests to the service.
    pub fn tick(&mut self, now: Instant) {
        self.pending_returns
            .retain(|_, pending| pending.expires_at > now);
        let unresponsive = self.is_unresponsive(now);
        let accounts: Vec<AccountId> = self.accounts.keys().cloned().collect();
        for account in accounts {
            self.close_due_leases(now, &account);
            self.expire_waiting(now, &account, unresponsive);
            self.request_if_low(now, &account);
        }
        self.accounts
            .retain(|_, balance| !balance.is_idle(now) || balance.pending_request.is_some());
    }

    /// Returns when [`LeaseClient::tick`] is due next.
    pub fn deadline(&self) -> Option<Instant> {
        let unresponsive = self
            .unanswered_since
            .filter(|_| self.accounts.values().any(|item| !item.waiting.is_empty()))
            .map(|since| since + ANSWER_TIMEOUT);
        let pending_returns = self
            .pending_returns
            .values()
            .map(|pending| pending.expires_at)
            .min();
        let balances = self
            .accounts
            .values()
            .filter_map(|balance| balance.next_due(LEASE_LIFETIME, self.connected));
        balances.chain(unresponsive).chain(pending_returns).min()
    }

    /// Removes and returns the messages to send.
    pub fn take_messages(&mut self) -> Vec<LeaseMessage> {
        std::mem::take(&mut self.messages)
    }

    /// Removes and returns the results of requests that waited.
    pub fn take_events(&mut self) -> Vec<TicketEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the tokens of an account that may be spent now.
    pub fn balance(&self, now: Instant, account: &AccountId) -> u64 {
        self.accounts
            .get(account)
            .map_or(0, |balance| balance.tokens(now))
    }

    fn is_unresponsive(&self, now: Instant) -> bool {
        self.unanswered_since
            .is_some_and(|since| now >= since + ANSWER_TIMEOUT)
    }

    fn release_part(&mut self, now: Instant, account: &AccountId, part: &ReservedPart) {
        let held = self
            .accounts
            .get_mut(account)
            .is_some_and(|balance| balance.release(part, now));
        if held {
            return;
        }
        self.messages.push(LeaseMessage::Refund {
            account: account.clone(),
            number: self.next_refund,
            lease: part.lease,
            tokens: part.tokens,
        });
        self.next_refund += 1;
    }

    /// Admits waiting requests in order while the balance covers them.
    fn admit_waiting(&mut self, now: Instant, account: &AccountId) {
        let mut closed = Vec::new();
        let Some(balance) = self.accounts.get_mut(account) else {
            return;
        };
        while let Some(first) = balance.waiting.front() {
            let (ticket, tokens) = (first.ticket, first.tokens);
            let Some(reservation) = balance.reserve(tokens, now, &mut closed) else {
                break;
            };
            let outcome = ReserveOutcome::Reserved(reservation);
            self.events.push(TicketEvent { ticket, outcome });
            balance.waiting.pop_front();
        }
        self.send_returns(account, closed, now);
    }

    /// Schedules the next request to the service and refuses the waiting requests
    /// that the accrual will not cover before their deadline.
    fn handle_decline(&mut self, now: Instant, account: &AccountId, delay: Option<Duration>) {
        let Some(balance) = self.accounts.get_mut(account) else {
            return;
        };
        let delay = delay.unwrap_or(UNAVAILABLE_RETRY);
        balance.next_request_at = now + delay;
        balance.queued = !balance.waiting.is_empty();
        let mut tokens_ahead = 0;
        let rate = balance.rate;
        let mut first = true;
        let events = &mut self.events;
        balance.waiting.retain(|item| {
            let own = if first { 0 } else { item.tokens };
            let wait = delay + accrual_time(tokens_ahead + own, rate);
            if now + wait > item.deadline {
                events.push(TicketEvent {
                    ticket: item.ticket,
                    outcome: ReserveOutcome::Insufficient(wait),
                });
                return false;
            }
            first = false;
            tokens_ahead += own;
            true
        });
        if balance.waiting.is_empty() {
            balance.next_request_at = now;
        }
    }

    fn expire_waiting(&mut self, now: Instant, account: &AccountId, unresponsive: bool) {
        let Some(balance) = self.accounts.get_mut(account) else {
            return;
        };
        let events = &mut self.events;
        balance.waiting.retain(|item| {
            if !unresponsive && now < item.deadline {
                return true;
            }
            let outcome = if unresponsive {
                ReserveOutcome::Unavailable(UNAVAILABLE_RETRY)
            } else {
                ReserveOutcome::Insufficient(UNAVAILABLE_RETRY)
            };
            let ticket = item.ticket;
            events.push(TicketEvent { ticket, outcome });
            false
        });
    }

    fn close_due_leases(&mut self, now: Instant, account: &AccountId) {
        let mut closed = Vec::new();
        if let Some(balance) = self.accounts.get_mut(account) {
            balance.close_due_leases(now, LEASE_LIFETIME, &mut closed);
        }
        self.send_returns(account, closed, now);
    }

    fn send_returns(&mut self, account: &AccountId, closed: Vec<ClosedLease>, now: Instant) {
        for ClosedLease { lease, unspent } in closed {
            let expires_at = now + LEASE_LIFETIME;
            let pending = PendingReturn {
                unspent,
                expires_at,
            };
            self.pending_returns
                .insert((account.clone(), lease), pending);
            self.messages.push(LeaseMessage::Return {
                account: account.clone(),
                lease,
                unspent,
            });
        }
    }

    /// Requests tokens if the balance is low and no request is pending.
    fn request_if_low(&mut self, now: Instant, account: &AccountId) {
        if !self.connected {
            return;
        }
        let Some(balance) = self.accounts.get_mut(account) else {
            return;
        };
        if balance
            .pending_request
            .is_some_and(|pending_request| now < pending_request.sent_at + ANSWER_TIMEOUT)
        {
            return;
        }
        let tokens = balance.tokens(now);
        let demand = balance.demand.rate(now);
        let first = balance.waiting.front();
        let min_tokens = first.map_or(0, |item| item.tokens.saturating_sub(tokens));
        let leaves_queue = first.is_none() && balance.queued;
        let is_low = u128::from(tokens) < u128::from(demand) * LOW_BALANCE_TIME.as_millis() / 1_000;
        let prefetch = is_low && !self.draining && now >= balance.next_prefetch_at;
        let due = if min_tokens > 0 {
            now >= balance.next_request_at
        } else {
            prefetch || leaves_queue
        };
        if !due {
            return;
        }
        let max_wait = first.map_or(Duration::ZERO, |item| {
            item.deadline.saturating_duration_since(now)
        });
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.messages.push(LeaseMessage::Request {
            sequence,
            account: account.clone(),
            min_tokens,
            tokens: balance.waiting_tokens().saturating_sub(tokens),
            demand,
            max_wait,
        });
        balance.queued = false;
        balance.pending_request = Some(PendingRequest {
            sequence,
            sent_at: now,
            prefetch: min_tokens == 0,
        });
        balance.next_prefetch_at = now + PREFETCH_INTERVAL;
        self.unanswered_since = self.unanswered_since.or(Some(now));
    }
}

/// Returns the expected wait of a new request behind the waiting ones; none
/// while no request is queued at the service.
fn expected_wait(balance: &AccountBalance, tokens: u64, now: Instant) -> Option<Duration> {
    if balance.waiting.is_empty() || !balance.queued {
        return None;
    }
    let first = balance.next_request_at.saturating_duration_since(now);
    let behind: u64 = balance.waiting.iter().skip(1).map(|item| item.tokens).sum();
    Some(first + accrual_time(behind + tokens, balance.rate))
}

/// Returns the time in which `tokens` accrue at `rate` tokens per second.
fn accrual_time(tokens: u64, rate: u64) -> Duration {
    match tokens.saturating_mul(1_000).checked_div(rate) {
        Some(millis) => Duration::from_millis(millis),
        None if tokens == 0 => Duration::ZERO,
        None => UNAVAILABLE_RETRY,
    }
}
