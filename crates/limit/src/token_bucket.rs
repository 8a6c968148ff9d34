//! Token bucket (RFC 2697 without its second bucket).
//!
//! The level is kept in thousandths of a token, so that short intervals at low
//! rates lose nothing by rounding.

use std::time::{Duration, Instant};

/// Parts that a token is counted in.
const MILLI_PER_TOKEN: u64 = 1_000;

/// What became of a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The tokens were taken.
    Acquired,
    /// They are there after this time, if nobody takes others before.
    Wait(Duration),
    /// They are more than the bucket ever holds.
    Unsatisfiable,
}

/// A bucket of tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: u64,
    /// Tokens that the bucket holds at the most.
    burst: u64,
    /// Thousandths of a token; at most `burst` tokens.
    level: u64,
    /// When `level` was last brought forward.
    updated: Instant,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` in tokens a second, `burst` in tokens.
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

    /// Takes `tokens` if they are there.
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
        // Thousandths of a token over tokens a second give milliseconds.
        AcquireOutcome::Wait(Duration::from_millis(missing.div_ceil(self.rate)))
    }

    /// Puts tokens back that were taken and not used.
    pub fn release(&mut self, tokens: u64, now: Instant) {
        self.refill(now);
        let limit = self.burst.saturating_mul(MILLI_PER_TOKEN);
        self.level = limit.min(
            self.level
                .saturating_add(tokens.saturating_mul(MILLI_PER_TOKEN)),
        );
    }

    /// Returns the whole tokens in the bucket.
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
