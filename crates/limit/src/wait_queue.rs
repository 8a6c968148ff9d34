//! The holders whose requests for tokens are not covered yet.

use std::collections::VecDeque;
use std::time::Instant;

use crate::lease_table::{HolderId, LeaseAsk};

/// A place in the line.
#[derive(Debug, Clone)]
struct QueuedHolder {
    holder: HolderId,
    least: u64,
    expires_at: Instant,
}

/// Holders in the order of their requests, with one place for each.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitQueue {
    queue: VecDeque<QueuedHolder>,
}

impl WaitQueue {
    /// Keeps the holder's place, or gives it the last one, until an instant.
    pub(crate) fn upsert(&mut self, ask: &LeaseAsk, expires_at: Instant) {
        let queued = self.queue.iter_mut().find(|item| item.holder == ask.holder);
        match queued {
            Some(item) => {
                item.least = ask.least;
                item.expires_at = expires_at;
            }
            None => self.queue.push_back(QueuedHolder {
                holder: ask.holder.clone(),
                least: ask.least,
                expires_at,
            }),
        }
    }

    /// Returns the tokens that holders before this one wait for.
    pub(crate) fn tokens_ahead_of(&self, holder: &HolderId) -> u64 {
        self.queue
            .iter()
            .take_while(|item| item.holder != *holder)
            .map(|item| item.least)
            .sum()
    }

    /// Takes a holder out.
    pub(crate) fn remove(&mut self, holder: &HolderId) {
        self.queue.retain(|item| item.holder != *holder);
    }

    /// Takes out the holders that did not ask again in time.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.queue.retain(|item| item.expires_at > now);
    }

    /// Takes all holders out.
    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }

    /// Tells whether nobody waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
