//! Queue of the holders whose requests for tokens are not covered yet.

use std::collections::VecDeque;
use std::time::Instant;

use crate::lease_table::{HolderId, TokenRequest};

/// A queued request; a holder has at most one.
#[derive(Debug, Clone)]
struct QueuedHolder {
    holder: HolderId,
    min_tokens: u64,
    expires_at: Instant,
}

/// Holders in the order of their first uncovered request.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitQueue {
    holders: VecDeque<QueuedHolder>,
}

impl WaitQueue {
    /// Updates the holder's queued request, or appends it; it is dropped at
    /// `expires_at` unless the holder repeats it.
    pub(crate) fn upsert(&mut self, request: &TokenRequest, expires_at: Instant) {
        let queued = self
            .holders
            .iter_mut()
            .find(|item| item.holder == request.holder);
        match queued {
            Some(item) => {
                item.min_tokens = request.min_tokens;
                item.expires_at = expires_at;
            }
            None => self.holders.push_back(QueuedHolder {
                holder: request.holder.clone(),
                min_tokens: request.min_tokens,
                expires_at,
            }),
        }
    }

    /// Returns the sum of the tokens that the holders before this one wait for;
    /// of all holders if this one is not queued.
    pub(crate) fn tokens_ahead_of(&self, holder: &HolderId) -> u64 {
        self.holders
            .iter()
            .take_while(|item| item.holder != *holder)
            .map(|item| item.min_tokens)
            .sum()
    }

    /// Removes a holder.
    pub(crate) fn remove(&mut self, holder: &HolderId) {
        self.holders.retain(|item| item.holder != *holder);
    }

    /// Removes the holders that did not repeat their request in time.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.holders.retain(|item| item.expires_at > now);
    }

    pub(crate) fn clear(&mut self) {
        self.holders.clear();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
