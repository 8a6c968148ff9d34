//! Limits retries to a share of recent requests, so that retries do not
//! multiply the load on failing endpoints.
//!
//! Algorithm: each request adds a fraction of a retry to a bounded balance;
//! each retry subtracts one.

/// Hundredths of a retry that a request adds.
const EARNED_PER_REQUEST: u32 = 20;

/// Hundredths that a retry subtracts.
const COST_PER_RETRY: u32 = 100;

/// Balance at the start in hundredths, so that entries with few requests can
/// retry.
const INITIAL_BALANCE: u32 = 1_000;

/// Greatest balance in hundredths.
const BALANCE_MAX: u32 = 10_000;

/// Balance of the retries that may still be made.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Hundredths of a retry; at most `balance_max`.
    balance: u32,
    /// Hundredths that a request adds.
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
    /// Creates a budget to which each request adds `earned` hundredths of a
    /// retry; `reserve` is both its initial and its greatest balance.
    pub fn with_bounds(earned: u32, reserve: u32) -> Self {
        RetryBudget {
            balance: reserve,
            earned,
            balance_max: reserve,
        }
    }

    /// Changes the greatest balance; a higher one is reached by requests only.
    pub fn set_reserve(&mut self, reserve: u32) {
        self.balance_max = reserve;
        self.balance = self.balance.min(reserve);
    }

    /// Records a request's first attempt.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.earned).min(self.balance_max);
    }

    /// Returns whether the balance allows a retry.
    pub fn has_retry(&self) -> bool {
        self.balance >= COST_PER_RETRY
    }

    /// Subtracts one retry if the balance allows it; returns whether it does.
    pub fn acquire_retry(&mut self) -> bool {
        let remaining = self.balance.checked_sub(COST_PER_RETRY);
        self.balance = remaining.unwrap_or(self.balance);
        remaining.is_some()
    }
}
