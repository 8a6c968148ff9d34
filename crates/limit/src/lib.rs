//! Pure accounting of limits.
//!
//! Purpose: token buckets of client accounts, and what is built on them.
//!
//! Guarantees: no clock, no randomness and no input or output of their own;
//! instants are arguments, so that equal calls give equal results.

mod account_ledger;
mod headroom_log;
mod lease_book;
mod token_bucket;
mod waiting_line;

pub use account_ledger::LEASE_LIFETIME;
pub use lease_book::{
    AccountId, BlockProposal, HolderId, LeaseAsk, LeaseBook, LeaseDecision, LeaseId, TokenPlan,
    TokenRefund,
};
pub use token_bucket::{TakeOutcome, TokenBucket};
