//! Token bucket (RFC 2697 without its second bucket).
//!
//! The level is stored in thousandths of a token, so that short intervals at low
//! rates lose nothing to rounding.

use std::time::{Duration, Instant};

/// Resolution of the level: units per token.
const MILLI_PER_TOKEN: u64 = 1_000;

/// Result of a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The tokens were removed from the bucket.
    Acquired,
    /// The bucket holds them after this time unless others acquire tokens first.
    Wait(Duration),
    /// The bucket never holds that many: they exceed the burst or the rate is 0.
    Unsatisfiable,
}

/// A bucket of tokens that refills at a constant rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: u64,
    /// Capacity in tokens.
    burst: u64,
    /// Thousandths of a token; at most `burst` tokens.
    level: u64,
    /// Instant up to which `level` includes the accrual.
    updated: Instant,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` is in tokens per second, `burst` in tokens.
    pub fn new(rate: u64, burst: u64, now: Instant) -> Self {
        TokenBucket {
            rate,
            burst,
            level: burst.saturating_mul(MILLI_PER_TOKEN),
            updated: now,
        }
    }

    /// Changes rate and burst; tokens above the new burst are lost.
    pub fn resize(&mut self, rate: u64, burst: u64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst.saturating_mul(MILLI_PER_TOKEN));
    }

    /// Removes `tokens` from the bucket if it holds them.
    pub fn acquire(&mut self, tokens: u64, now: Instant) -> AcquireOutcome {
        self.refill(now);
        let requested = tokens.saturating_mul(MILLI_PER_TOKEN);
        if requested <= self.level {
            self.level -= requested;
            return AcquireOutcome::Acquired;
        }
        if tokens > self.burst || self.rate == 0 {
            return AcquireOutcome::Unsatisfiable;
        }
        let missing = requested - self.level;
        // Thousandths of a token divided by tokens per second are milliseconds.
        AcquireOutcome::Wait(Duration::from_millis(missing.div_ceil(self.rate)))
    }

    /// Returns unused tokens to the bucket, up to its capacity.
    pub fn release(&mut self, tokens: u64, now: Instant) {
        self.refill(now);
        let limit = self.burst.saturating_mul(MILLI_PER_TOKEN);
        self.level = limit.min(
            self.level
                .saturating_add(tokens.saturating_mul(MILLI_PER_TOKEN)),
        );
    }

    /// Returns the number of tokens in the bucket, rounded down.
    pub fn level(&mut self, now: Instant) -> u64 {
        self.refill(now);
        self.level / MILLI_PER_TOKEN
    }

    fn refill(&mut self, now: Instant) {
        let Some(elapsed) = now.checked_duration_since(self.updated) else {
            return;
        };
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let gained = self.rate.saturating_mul(micros) / 1_000;
        if gained == 0 {
            return;
        }
        self.level =
            (self.level.saturating_add(gained)).min(self.burst.saturating_mul(MILLI_PER_TOKEN));
        self.updated = now;
    }
}
