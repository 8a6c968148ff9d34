//! Which engine a request reaches its first event at soonest.
//!
//! Algorithm: the time to the first event is estimated from the prompt tokens
//! that were handed to the engine and have not had their first event, those of
//! this request that it does not keep, and the requests that share its steps.
//! Every instance counts only its own requests, so that the counts of the
//! others are missing evenly. Rendezvous hashing (Thaler and Ravishankar, 1998)
//! gives the shared parts of a prompt the same few homes at every instance, so
//! that they are kept there and not everywhere. All shared parts together are
//! hashed: a leading part alone is common to so many prompts that its homes would
//! be overloaded.

use crate::stable_hash::mix_bits;

/// Prompt tokens that an engine reads in a millisecond; the published engines
/// read 38 to 45.
pub const READ_TOKENS_PER_MS: f64 = 40.0;

/// Time that each running request adds to the first event of another one, by
/// the published engines' steps at about half of their slots.
const RUNNING_MS: f64 = 0.6;

/// Time that a full engine adds for each request above its slots.
const WAITING_MS: f64 = 60.0;

/// Time that another availability zone adds, there and back, with its price.
const FAR_MS: f64 = 4.0;

/// Homes of the shared parts of a prompt.
pub const HOMES: usize = 2;

/// What is known of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineView {
    /// Prompt tokens handed over that have not had their first event.
    pub unread_tokens: u64,
    /// Requests handed over that have not ended.
    pub running: u32,
    /// Requests that this instance may run there before they wait.
    pub slots: u32,
    /// Tokens of the prompt that are kept.
    pub kept_tokens: u64,
    /// The engine is in another availability zone.
    pub is_far: bool,
}

/// Returns the estimated time to the first event in milliseconds.
pub fn first_event_ms(view: &EngineView, prompt_tokens: u64) -> f64 {
    let missing = prompt_tokens.saturating_sub(view.kept_tokens);
    let reading = (view.unread_tokens + missing) as f64 / READ_TOKENS_PER_MS;
    let waiting = f64::from(view.running.saturating_sub(view.slots)) * WAITING_MS;
    let sharing = f64::from(view.running) * RUNNING_MS;
    let distance = if view.is_far { FAR_MS } else { 0.0 };
    reading + waiting + sharing + distance
}

/// Returns the rank of an engine for shared parts; the highest are their homes.
pub fn home_rank(part: u64, engine: u64) -> u64 {
    mix_bits(mix_bits(part) ^ engine)
}
