//! The control leader's accounting of the token buckets that all entries share.
//!
//! Purpose: one bucket for each client account. Holders (entries) lease tokens
//! from it. A lease is debited when granted and may be spent only for
//! [`LEASE_LIFETIME`](crate::LEASE_LIFETIME). Its unspent tokens are returned
//! under its id; tokens that are not returned in time are lost.
//!
//! Guarantees:
//! * Over any window an account's holders spend at most burst + rate x time:
//!   the bucket and the open leases together never hold more than the burst, so
//!   neither an open lease nor a late refund lets tokens accrue beyond it.
//! * A return or refund counts once; a lease is closed once.
//! * Tokens are granted only from blocks that the log has committed. A new
//!   leader counts all committed blocks as spent and, for one lease lifetime,
//!   as still spendable by holders; it loses at most burst + rate x lifetime.
//! * Waiting holders are served in the order of their requests.
//!
//! Every control instance has a table and calls [`LeaseTable::apply_block`] for
//! each block in the log; only the leader grants. A leader must have stopped
//! granting before another calls [`LeaseTable::start_leading`].
//!
//! Sizing: a grant covers the requested tokens. For prefetching it adds a
//! share, in proportion to recent demand, of the level above the larger of half
//! the burst and the largest recent request, so that idle leases do not starve
//! other holders.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::account_ledger::AccountLedger;

/// Name of a client account.
pub type AccountId = Bytes;

/// Name of a holder of leases; a new one for each start of its process.
pub type HolderId = Bytes;

/// Identifies a lease; unique as long as leader terms increase.
pub type LeaseId = u64;

/// Bits of a lease id below the leader's term.
const TERM_SHIFT: u32 = 40;

/// Rate and burst of a client account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenPlan {
    /// Tokens per second.
    pub rate: u64,
    /// Capacity of the bucket in tokens.
    pub burst: u64,
}

/// A holder's request for tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenRequest {
    /// Requesting holder.
    pub holder: HolderId,
    /// Smallest useful grant in tokens; 0 for a prefetch.
    pub min_tokens: u64,
    /// Tokens that the waiting requests need; at least `min_tokens`.
    pub tokens: u64,
    /// Recent demand in tokens per second.
    pub demand: u64,
    /// Longest useful wait; the holder is not queued if it would wait longer.
    pub max_wait: Duration,
}

/// The answer to a [`TokenRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseDecision {
    /// Id of the granted lease; 0 if nothing was granted.
    pub lease: LeaseId,
    /// Granted tokens.
    pub tokens: u64,
    /// Time for which they may be spent, from the sending of the request.
    pub lifetime: Duration,
    /// If nothing was granted: the time until the request is expected to be
    /// covered; none if it never is.
    pub retry_after: Option<Duration>,
    /// The account's rate in tokens per second.
    pub rate: u64,
    /// The account's burst in tokens; 0 if the account is unknown.
    pub burst: u64,
}

/// Tokens that a request reserved and did not use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenRefund {
    /// Holder that returns the tokens.
    pub holder: HolderId,
    /// Sequence number among the holder's refunds for the account; increases.
    pub number: u64,
    /// Lease that the tokens were reserved from; the earliest one if several.
    pub lease: LeaseId,
    /// Refunded tokens.
    pub tokens: u64,
}

/// A block of tokens to commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockProposal {
    /// Account whose bucket the block is for.
    pub account: AccountId,
    /// Size of the block in tokens.
    pub tokens: u64,
}

/// The token buckets of all client accounts.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    accounts: BTreeMap<AccountId, AccountLedger>,
    leading: bool,
    next_lease: LeaseId,
}

impl LeaseTable {
    /// Creates a table that does not lead and has no accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts an account from a snapshot. Its holders' recent spending is
    /// unknown, so the bucket starts empty.
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

    /// Stops all grants for an account. Its bucket is kept, so that an account
    /// that is removed and added again gets no second burst.
    pub fn remove_plan(&mut self, now: Instant, account: &AccountId) {
        if let Some(ledger) = self.accounts.get_mut(account) {
            ledger.resize(TokenPlan::default(), now);
        }
    }

    /// Starts granting as the leader of a term, which must be higher than any
    /// term before.
    pub fn start_leading(&mut self, now: Instant, term: u64) {
        self.leading = true;
        self.next_lease = term << TERM_SHIFT;
        for ledger in self.accounts.values_mut() {
            ledger.start_leading(now);
        }
    }

    /// Stops granting.
    pub fn stop_leading(&mut self) {
        self.leading = false;
    }

    /// Decides on a request; nothing is granted while the table does not lead.
    pub fn handle_request(
        &mut self,
        now: Instant,
        account: &AccountId,
        request: &TokenRequest,
    ) -> LeaseDecision {
        let Some(ledger) = self.accounts.get_mut(account).filter(|_| self.leading) else {
            return LeaseDecision::default();
        };
        let id = self.next_lease + 1;
        let decision = ledger.handle_request(request, id, now);
        if decision.lease == id {
            self.next_lease = id;
        }
        decision
    }

    /// Closes a lease and returns its `unspent` tokens to the bucket; idempotent.
    pub fn close_lease(
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

    /// Credits the amount by which the bucket's level would be higher if the
    /// refunded tokens had never been reserved; idempotent by number.
    pub fn apply_refund(&mut self, now: Instant, account: &AccountId, refund: &TokenRefund) {
        if let Some(ledger) = self.accounts.get_mut(account).filter(|_| self.leading) {
            ledger.apply_refund(refund, now);
        }
    }

    /// Returns the size of the block to commit for an account now, if one is
    /// due. It is not proposed again until it is committed or overdue.
    pub fn propose_block(&mut self, now: Instant, account: &AccountId) -> Option<u64> {
        let ledger = self.accounts.get_mut(account).filter(|_| self.leading)?;
        ledger.propose_block(now)
    }

    /// Returns the blocks that are due, of all accounts.
    pub fn propose_blocks(&mut self, now: Instant) -> Vec<BlockProposal> {
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

    /// Applies a block that the log has committed.
    pub fn apply_block(&mut self, now: Instant, account: &AccountId, tokens: u64) {
        if let Some(ledger) = self.accounts.get_mut(account) {
            ledger.apply_block(tokens, self.leading, now);
        }
    }

    /// Returns the tokens of an account in its bucket and in open leases.
    pub fn spendable(&mut self, now: Instant, account: &AccountId) -> u64 {
        let ledger = self.accounts.get_mut(account);
        ledger.map_or(0, |ledger| ledger.spendable(now))
    }
}
