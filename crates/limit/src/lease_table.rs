//! The control leader's accounting of token buckets that the fleet shares.
//!
//! Purpose: one bucket for each client account. Holders (entries) lease tokens
//! from it; a lease is debited when granted and may be spent for
//! [`LEASE_LIFETIME`](crate::LEASE_LIFETIME) only. What is left of it comes
//! back by its id; what does not come back in time is lost.
//!
//! Guarantees:
//! * Over any window an account's holders spend at most burst + rate x time:
//!   bucket and open leases together never hold more than the burst, so that
//!   neither a held lease nor a late refund lets accrual pile up beside it.
//! * A return or refund counts once; a lease has one end.
//! * Tokens are granted only from blocks that the log has committed. A new
//!   leader counts all committed blocks as spent and, for one lease lifetime,
//!   as still spendable by holders; it loses at most burst + rate x lifetime.
//! * Waiting holders are served in the order of their requests.
//!
//! Every control instance keeps a book and calls
//! [`LeaseBook::block_committed`] for each block in the log; only the leader
//! grants. A leader must have stopped granting before another calls
//! [`LeaseBook::new_leader`].
//!
//! Sizing: a grant covers the tokens asked for. Ahead of demand it takes a
//! share, by recent demand, of what lies above the larger of half the burst
//! and the largest recent request, so that idle leases starve nobody.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::account_ledger::AccountLedger;

/// Name of a client account.
pub type AccountId = Bytes;

/// Name of a holder of leases; another one after each start of its process.
pub type HolderId = Bytes;

/// Identifies a lease; unique under rising leader terms.
pub type LeaseId = u64;

/// Bits of a lease id below the leader's term.
const TERM_SHIFT: u32 = 40;

/// Rate and burst of a client account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenPlan {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens.
    pub burst: u64,
}

/// A holder's request for tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseAsk {
    /// Who asks.
    pub holder: HolderId,
    /// Tokens without which a grant is of no use; 0 to ask ahead of demand.
    pub least: u64,
    /// Tokens that waiting requests need; at least `least`.
    pub tokens: u64,
    /// Recent demand in tokens a second.
    pub demand: u64,
    /// Longest wait that is of use; a longer one keeps no place in the line.
    pub patience: Duration,
}

/// The answer to a [`LeaseAsk`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseDecision {
    /// 0 when nothing was granted.
    pub lease: LeaseId,
    /// Tokens that were granted.
    pub tokens: u64,
    /// Time for which they may be spent, counted from the sending of the
    /// request.
    pub lifetime: Duration,
    /// When nothing was granted: time until the request is expected to be
    /// covered; none when it never is.
    pub retry_after: Option<Duration>,
    /// The account's rate in tokens a second.
    pub rate: u64,
    /// The account's burst in tokens; 0 when the account is not known.
    pub burst: u64,
}

/// Tokens that a request reserved and did not use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRefund {
    /// Who gives them back.
    pub holder: HolderId,
    /// Number among the holder's refunds for the account; rises.
    pub number: u64,
    /// Earliest lease that they were taken from.
    pub lease: LeaseId,
    /// Tokens.
    pub tokens: u64,
}

/// A block of tokens to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockProposal {
    /// Account.
    pub account: AccountId,
    /// Tokens.
    pub tokens: u64,
}

/// The token buckets of all client accounts.
#[derive(Debug, Clone, Default)]
pub struct LeaseBook {
    accounts: BTreeMap<AccountId, AccountLedger>,
    leading: bool,
    next_lease: LeaseId,
}

impl LeaseBook {
    /// Creates a book that does not lead and knows no account.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an account from a snapshot: what its holders spent lately is
    /// not known, so its bucket starts empty.
    pub fn restore_plan(&mut self, now: Instant, account: AccountId, plan: TokenPlan) {
        self.accounts
            .insert(account, AccountLedger::empty(plan, now));
    }

    /// Creates an account with a full bucket, or changes its rate and burst.
    pub fn set_plan(&mut self, now: Instant, account: &AccountId, plan: TokenPlan) {
        match self.accounts.get_mut(account) {
            Some(ledger) => ledger.resize(plan, now),
            None => {
                let ledger = AccountLedger::full(plan, now);
                self.accounts.insert(account.clone(), ledger);
            }
        }
    }

    /// Stops all grants for an account; its bucket is kept, so that an account
    /// that comes back gets no second burst.
    pub fn end_plan(&mut self, now: Instant, account: &AccountId) {
        if let Some(ledger) = self.accounts.get_mut(account) {
            ledger.resize(TokenPlan::default(), now);
        }
    }

    /// Takes the lead of a term that is higher than any before.
    pub fn new_leader(&mut self, now: Instant, term: u64) {
        self.leading = true;
        self.next_lease = term << TERM_SHIFT;
        for ledger in self.accounts.values_mut() {
            ledger.start_leading(now);
        }
    }

    /// Stops granting.
    pub fn follow(&mut self) {
        self.leading = false;
    }

    /// Decides on a request; nothing is granted while the book does not lead.
    pub fn request(&mut self, now: Instant, account: &AccountId, ask: &LeaseAsk) -> LeaseDecision {
        let Some(ledger) = self.accounts.get_mut(account).filter(|_| self.leading) else {
            return LeaseDecision::default();
        };
        let id = self.next_lease + 1;
        let decision = ledger.handle_request(ask, id, now);
        if decision.lease == id {
            self.next_lease = id;
        }
        decision
    }

    /// Closes a lease of which `unspent` tokens are left; idempotent.
    pub fn give_back(
        &mut self,
        now: Instant,
        account: &AccountId,
        holder: &HolderId,
        lease: LeaseId,
        unspent: u64,
    ) {
        if let Some(ledger) = self.accounts.get_mut(account).filter(|_| self.leading) {
            ledger.close_lease(lease, holder, unspent, now);
        }
    }

    /// Credits what a bucket would hold more had the refunded tokens never
    /// been reserved; idempotent by number.
    pub fn refund(&mut self, now: Instant, account: &AccountId, refund: &TokenRefund) {
        if let Some(ledger) = self.accounts.get_mut(account).filter(|_| self.leading) {
            ledger.apply_refund(refund, now);
        }
    }

    /// Returns the size of the block to commit for an account now, if one is
    /// due; it is not asked for again until committed or overdue.
    pub fn propose_block(&mut self, now: Instant, account: &AccountId) -> Option<u64> {
        let ledger = self.accounts.get_mut(account).filter(|_| self.leading)?;
        ledger.propose_block(now)
    }

    /// Returns all blocks that are due.
    pub fn blocks_wanted(&mut self, now: Instant) -> Vec<BlockProposal> {
        if !self.leading {
            return Vec::new();
        }
        let due = self.accounts.iter_mut().filter_map(|(account, ledger)| {
            let tokens = ledger.propose_block(now)?;
            let account = account.clone();
            Some(BlockProposal { account, tokens })
        });
        due.collect()
    }

    /// Notes a block that the log has committed.
    pub fn block_committed(&mut self, now: Instant, account: &AccountId, tokens: u64) {
        if let Some(ledger) = self.accounts.get_mut(account) {
            ledger.apply_block(tokens, self.leading, now);
        }
    }

    /// Returns the tokens of an account that are in its bucket or in leases.
    pub fn spendable(&mut self, now: Instant, account: &AccountId) -> u64 {
        let ledger = self.accounts.get_mut(account);
        ledger.map_or(0, |ledger| ledger.spendable(now))
    }
}
