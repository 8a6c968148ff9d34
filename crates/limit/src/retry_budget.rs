//! Bounds retries to a share of recent requests, so that a failing fleet is
//! not met with a multiple of its load.
//!
//! Algorithm: each request earns a part of a retry up to a bound; each retry
//! takes a whole one.

/// Hundredths of a retry that a request earns.
const EARNED_PER_REQUEST: u32 = 20;

/// Hundredths that a retry costs.
const COST_PER_RETRY: u32 = 100;

/// Hundredths that are there at first, for entries with few requests.
const INITIAL_BALANCE: u32 = 1_000;

/// Hundredths that can be saved up.
const BALANCE_MAX: u32 = 10_000;

/// Retries that may still be made.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Hundredths of a retry; at most `saved_max`.
    balance: u32,
    /// Hundredths that a request earns.
    earned: u32,
    balance_max: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            balance: INITIAL_BALANCE,
            earned: EARNED_PER_REQUEST,
            balance_max: BALANCE_MAX,
        }
    }
}

impl RetryBudget {
    /// Creates a budget of which each request earns `earned` hundredths of a
    /// retry, and that starts with and never holds more than `reserve`.
    pub fn with_bounds(earned: u32, reserve: u32) -> Self {
        RetryBudget {
            balance: reserve,
            earned,
            balance_max: reserve,
        }
    }

    /// Notes a request's first attempt.
    pub fn note_request(&mut self) {
        self.balance = (self.balance + self.earned).min(self.balance_max);
    }

    /// Takes one retry, if there is one.
    pub fn take_retry(&mut self) -> bool {
        let remaining = self.balance.checked_sub(COST_PER_RETRY);
        self.balance = remaining.unwrap_or(self.balance);
        remaining.is_some()
    }
}
