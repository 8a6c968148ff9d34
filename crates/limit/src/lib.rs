//! Pure accounting of limits.
//!
//! Purpose: token buckets of client accounts, and what is built on them.
//!
//! Guarantees: no clock, no randomness and no input or output of their own;
//! instants are arguments, so that equal calls give equal results.

mod token_bucket;

pub use token_bucket::{TakeOutcome, TokenBucket};
