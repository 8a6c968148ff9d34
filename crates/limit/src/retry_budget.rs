//! Bounds retries to a share of recent requests, so that a failing fleet is
//! not met with a multiple of its load.
//!
//! Algorithm: each request earns a part of a retry up to a bound; each retry
//! takes a whole one.

/// Hundredths of a retry that a request earns.
const EARNED: u32 = 20;

/// Hundredths that a retry costs.
const COST: u32 = 100;

/// Hundredths that are there at first, for entries with few requests.
const INITIAL: u32 = 1_000;

/// Hundredths that can be saved up.
const SAVED_MAX: u32 = 10_000;

/// Retries that may still be made.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Hundredths of a retry; at most [`SAVED_MAX`].
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: INITIAL }
    }
}

impl RetryBudget {
    /// Notes a request's first attempt.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED_MAX);
    }

    /// Takes one retry, if there is one.
    pub fn take_retry(&mut self) -> bool {
        let rest = self.saved.checked_sub(COST);
        self.saved = rest.unwrap_or(self.saved);
        rest.is_some()
    }
}
