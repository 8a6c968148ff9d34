//! Pure accounting of limits.
//!
//! Purpose: token buckets of client accounts, and what is built on them.
//!
//! Guarantees: no clock, no randomness and no input or output of their own;
//! instants are arguments, so that equal calls give equal results.

mod account_balance;
mod account_ledger;
mod circuit_breaker;
mod demand_meter;
mod failure_share;
mod headroom_log;
mod lease_book;
mod lease_client;
mod lease_message;
mod retry_budget;
mod shared_bucket;
mod token_bucket;
mod waiting_line;

pub use account_ledger::LEASE_LIFETIME;
pub use circuit_breaker::CircuitBreaker;
pub use demand_meter::DemandMeter;
pub use failure_share::FailureShare;
pub use lease_book::{
    AccountId, BlockProposal, HolderId, LeaseAsk, LeaseBook, LeaseDecision, LeaseId, TokenPlan,
    TokenRefund,
};
pub use lease_client::{LeaseClient, ANSWER_LIMIT, UNAVAILABLE_RETRY};
pub use lease_message::{
    LeaseAnswer, LeaseMessage, Reservation, ReserveOutcome, ReservedPart, TicketEvent, TicketId,
};
pub use retry_budget::RetryBudget;
pub use shared_bucket::{BucketPlan, SharedBucket, SharedTotal, WORD_LIFETIME};
pub use token_bucket::{TakeOutcome, TokenBucket};
