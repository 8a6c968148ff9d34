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
    /// Hundredths of a retry; at most `saved_max`.
    saved: u32,
    /// Hundredths that a request earns.
    earned: u32,
    saved_max: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            saved: INITIAL,
            earned: EARNED,
            saved_max: SAVED_MAX,
        }
    }
}

impl RetryBudget {
    /// Creates a budget of which each request earns `earned` hundredths of a
    /// retry, and that starts with and never holds more than `reserve`.
    pub fn with_bounds(earned: u32, reserve: u32) -> Self {
        RetryBudget {
            saved: reserve,
            earned,
            saved_max: reserve,
        }
    }

    /// Notes a request's first attempt.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + self.earned).min(self.saved_max);
    }

    /// Takes one retry, if there is one.
    pub fn take_retry(&mut self) -> bool {
        let rest = self.saved.checked_sub(COST);
        self.saved = rest.unwrap_or(self.saved);
        rest.is_some()
    }
}
