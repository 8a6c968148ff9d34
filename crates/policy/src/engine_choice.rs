//! Estimates at which engine a request gets its first event soonest.
//!
//! Algorithm: the time to the first event is estimated from the prompt tokens of
//! requests at the engine that have not had their first event, the tokens of this
//! request that the engine has not cached, and the requests that share its batch
//! steps. Every instance counts only its own requests, so the requests of the other
//! instances are missing evenly from all estimates. Rendezvous hashing (Thaler and
//! Ravishankar, 1998) assigns the shared parts of a prompt to the same few home
//! engines at every instance, so that they are cached there and not everywhere. All
//! shared parts together are hashed: a leading part alone is common to so many
//! prompts that its home engines would be overloaded.

use crate::stable_hash::mix_bits;

/// Prompt tokens that an engine processes per millisecond; the published engines
/// process 38 to 45.
pub const PREFILL_TOKENS_PER_MS: f64 = 40.0;

/// Time that each running request adds to the first event of another one, from the
/// step times of the published engines with about half of their slots in use.
const RUNNING_REQUEST_MS: f64 = 0.6;

/// Time that each request beyond the slots of a full engine adds.
const QUEUED_REQUEST_MS: f64 = 60.0;

/// Time that an engine in another availability zone adds: the round trip, and the
/// price of traffic between zones.
const OTHER_ZONE_MS: f64 = 4.0;

/// Number of home engines for the shared parts of a prompt.
pub const HOME_COUNT: usize = 2;

/// Known state of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineView {
    /// Prompt tokens of requests at the engine that have not had their first event.
    pub pending_prefill_tokens: u64,
    /// Requests at the engine that have not ended.
    pub running: u32,
    /// Requests that this instance can run at the engine before further ones wait.
    pub slots: u32,
    /// Tokens of the prompt that the engine has cached.
    pub cached_tokens: u64,
    /// The engine is in another availability zone.
    pub is_other_zone: bool,
}

/// Returns the estimated time to the first event in milliseconds.
pub fn first_event_ms(view: &EngineView, prompt_tokens: u64) -> f64 {
    let uncached = prompt_tokens.saturating_sub(view.cached_tokens);
    let prefill_ms = (view.pending_prefill_tokens + uncached) as f64 / PREFILL_TOKENS_PER_MS;
    let queueing_ms = f64::from(view.running.saturating_sub(view.slots)) * QUEUED_REQUEST_MS;
    let batching_ms = f64::from(view.running) * RUNNING_REQUEST_MS;
    let zone_ms = if view.is_other_zone {
        OTHER_ZONE_MS
    } else {
        0.0
    };
    prefill_ms + queueing_ms + batching_ms + zone_ms
}

/// Returns the rendezvous weight of an engine for shared parts; the engines with the
/// highest weights are their homes.
pub fn rendezvous_weight(part: u64, engine: u64) -> u64 {
    mix_bits(mix_bits(part) ^ engine)
}
