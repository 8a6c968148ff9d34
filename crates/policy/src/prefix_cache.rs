//! What an endpoint is believed to keep of prompts.
//!
//! Algorithm: the parts of a prompt are named by a chain of hashes, so that a
//! part counts only behind all parts before it and for its own model. Parts
//! that were not used for longest yield once the bound is reached, as in the
//! engine itself.

use std::collections::BTreeMap;

use crate::stable_hash::mix_bits;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's name.
    pub id: u64,
    /// Tokens.
    pub tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct KeptPart {
    tokens: u64,
    stamp: u64,
}

/// Parts believed to be kept by one endpoint.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// By chain hash.
    parts: BTreeMap<u64, KeptPart>,
    /// Chain hashes by their last use.
    by_stamp: BTreeMap<u64, u64>,
    /// Tokens of all parts.
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
    /// Returns the tokens of a prompt that are kept.
    pub fn kept_tokens(&self, chain: &[u64]) -> u64 {
        let kept = chain.iter().map_while(|hash| self.parts.get(hash));
        kept.map(|part| part.tokens).sum()
    }

    /// Notes that a prompt was read; at most `tokens_max` tokens are kept.
    pub fn note(&mut self, chain: &[u64], parts: &[PromptPart], tokens_max: u64) {
        for (hash, part) in chain.iter().zip(parts) {
            self.next_stamp += 1;
            let kept = KeptPart {
                tokens: part.tokens,
                stamp: self.next_stamp,
            };
            self.by_stamp.insert(kept.stamp, *hash);
            self.tokens += kept.tokens;
            if let Some(old) = self.parts.insert(*hash, kept) {
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

    /// Forgets everything, as after a restart of the endpoint.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }
}
