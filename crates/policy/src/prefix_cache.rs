//! Tracks the prompt parts that an endpoint is assumed to have cached.
//!
//! Algorithm: the parts of a prompt are identified by a chain of hashes, so that a
//! part matches only after the same preceding parts and for the same model. The
//! least recently used parts are evicted at the capacity limit, as in the engine
//! itself.

use std::collections::BTreeMap;

use crate::stable_hash::{mix_bits, stable_hash};

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's name.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u64,
}

/// Parts of a prompt that are told apart, so that a request takes little memory and time
/// however many its caller lists.
pub const PROMPT_PARTS_MAX: usize = 64;

impl PromptPart {
    /// Returns this part and the one behind it as one part.
    pub fn joined(self, next: PromptPart) -> PromptPart {
        PromptPart {
            id: stable_hash(&[&self.id.to_be_bytes(), &next.id.to_be_bytes()]),
            tokens: self.tokens.saturating_add(next.tokens),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u64,
    stamp: u64,
}

/// Prompt parts that one endpoint is assumed to have cached.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// By chain hash.
    parts: BTreeMap<u64, CachedPart>,
    /// Chain hashes by the stamp of their last use.
    by_stamp: BTreeMap<u64, u64>,
    /// Total tokens of all parts.
    tokens: u64,
    next_stamp: u64,
}

/// Returns the chain hashes of a prompt's parts under a model.
pub fn chain_hashes(model: u64, parts: &[PromptPart]) -> Vec<u64> {
    let mut chain = mix_bits(model);
    let hashes = parts.iter().map(|part| {
        chain = mix_bits(chain ^ part.id);
        chain
    });
    hashes.collect()
}

impl PrefixCache {
    /// Returns the number of leading prompt tokens that are cached.
    pub fn cached_tokens(&self, chain: &[u64]) -> u64 {
        let cached = chain.iter().map_while(|hash| self.parts.get(hash));
        cached.map(|part| part.tokens).sum()
    }

    /// Records that the endpoint processed a prompt; the cache holds at most
    /// `tokens_max` tokens.
    pub fn record_prompt(&mut self, chain: &[u64], parts: &[PromptPart], tokens_max: u64) {
        for (hash, part) in chain.iter().zip(parts) {
            self.next_stamp += 1;
            let cached = CachedPart {
                tokens: part.tokens,
                stamp: self.next_stamp,
            };
            self.by_stamp.insert(cached.stamp, *hash);
            self.tokens += cached.tokens;
            if let Some(old) = self.parts.insert(*hash, cached) {
                self.by_stamp.remove(&old.stamp);
                self.tokens -= old.tokens;
            }
        }
        while self.tokens > tokens_max {
            let Some((_, hash)) = self.by_stamp.pop_first() else {
                return;
            };
            if let Some(old) = self.parts.remove(&hash) {
                self.tokens -= old.tokens;
            }
        }
    }

    /// Returns the number of leading prompt tokens that are cached and stay so while the
    /// endpoint has room for `room` cached tokens: the least recently used parts are
    /// evicted first.
    pub fn kept_tokens(&self, chain: &[u64], room: u64) -> u64 {
        let (mut newer, mut oldest_kept) = (0_u64, None);
        for (stamp, hash) in self.by_stamp.iter().rev() {
            let part = self.parts.get(hash);
            newer = newer.saturating_add(part.map_or(0, |part| part.tokens));
            if newer > room {
                break;
            }
            oldest_kept = Some(*stamp);
        }
        let Some(oldest) = oldest_kept else {
            return 0;
        };
        let cached = chain.iter().map_while(|hash| self.parts.get(hash));
        let kept = cached.take_while(|part| part.stamp >= oldest);
        kept.map(|part| part.tokens).sum()
    }

    /// Records that the endpoint has processed a part after those that it follows.
    pub fn record_part(&mut self, hash: u64, tokens: u64) {
        self.record_prompt(&[hash], &[PromptPart { id: hash, tokens }], u64::MAX);
    }

    /// Records tokens that displace cached parts and are not requested again.
    pub fn record_other(&mut self, tokens: u64) {
        if tokens > 0 {
            self.record_part(mix_bits(self.next_stamp), tokens);
        }
    }

    /// Evicts the least recently used parts beyond a number of tokens or of parts.
    pub fn trim(&mut self, tokens_max: u64, parts_max: usize) {
        while self.tokens > tokens_max || self.by_stamp.len() > parts_max {
            let Some((_, hash)) = self.by_stamp.pop_first() else {
                return;
            };
            if let Some(old) = self.parts.remove(&hash) {
                self.tokens -= old.tokens;
            }
        }
    }

    /// Removes all parts, as a restart of the endpoint does.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }
}
