//! Weighs the cached parts of a prompt for each request.
//!
//! Algorithm: cached tokens save the time that the engine would need for them at its
//! measured rate, if they are still there when the prompt is read: those that running
//! requests and the prompt itself displace count as none. What an engine doesn't hold it
//! reads again, which takes memory from other parts; this is a price on engines that
//! aren't homes of the prefix, so that instances which don't know of each other's
//! requests yet send a prefix to the same engines. The number of homes follows the
//! demand. The sum is compared with the queue and the batch of the engine, in the same
//! unit, by the choice of the engine.

use crate::prefix_cache::PrefixCache;

/// Shared tokens below which the engines that hold them aren't preferred: they save less
/// than 26 ms at the published rate.
pub const SHARED_TOKENS_MIN: u64 = 1_000;

/// Part of the prefill time of a new copy that counts as its price: a displaced part of
/// the same size is requested again about as often as one in three.
const COPY_SHARE: f64 = 0.3;

/// Part of an engine's time that the requests of one prefix may take at a home.
const HOME_LOAD_MAX: f64 = 0.25;

/// Smallest number of home engines of a prefix: with one, its failure would move all of
/// the prefix's requests to engines that don't hold it.
const HOMES_MIN: usize = 2;

/// Largest number of home engines of a prefix.
const HOMES_MAX: usize = 16;

/// A prompt and the memory of an engine for it.
#[derive(Debug, Clone, Copy)]
pub struct PromptFit<'a> {
    /// Chain hashes of the prompt's parts.
    pub chain: &'a [u64],
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens of the shared parts.
    pub shared_tokens: u64,
    /// Tokens that the engine's memory holds; none if unknown.
    pub memory_tokens: Option<u64>,
    /// Tokens of memory that running requests need.
    pub held_tokens: u64,
    /// The engine is a home of the prefix.
    pub is_home: bool,
    /// Measured prefill rate in tokens per millisecond.
    pub prefill_rate: f64,
}

/// Value of an engine's cached parts for a prompt in milliseconds of the caller's wait.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptValue {
    /// Cached tokens that are kept until the prompt is read.
    pub kept_tokens: u64,
    /// Time that they save.
    pub saved_ms: f64,
    /// Price of a new copy of the shared parts.
    pub copy_ms: f64,
}

/// Returns the value of what an engine has cached for a prompt.
pub fn prompt_value(cache: &PrefixCache, fit: &PromptFit<'_>) -> PromptValue {
    let cached = cache.cached_tokens(fit.chain).min(fit.prompt_tokens);
    let kept_tokens = match fit.memory_tokens {
        Some(memory) if cached > 0 => {
            let own = fit.prompt_tokens - cached;
            let room = memory.saturating_sub(fit.held_tokens.saturating_add(own));
            cache.kept_tokens(fit.chain, room).min(fit.prompt_tokens)
        }
        _ => cached,
    };
    let copied = fit.shared_tokens.saturating_sub(kept_tokens);
    let copy_ms = if fit.is_home {
        0.0
    } else {
        copied as f64 / fit.prefill_rate * COPY_SHARE
    };
    PromptValue {
        kept_tokens,
        saved_ms: kept_tokens as f64 / fit.prefill_rate,
        copy_ms,
    }
}

/// Returns the number of home engines of a prefix: as many as keep the requests with it
/// below a part of each one's time. `own_ms` is the prefill time of what they don't share.
pub fn home_count(requests_per_second: f64, own_ms: f64) -> usize {
    let load = requests_per_second * own_ms / 1_000.0;
    let count = (load / HOME_LOAD_MAX).ceil().clamp(0.0, HOMES_MAX as f64);
    (count as usize).max(HOMES_MIN)
}
