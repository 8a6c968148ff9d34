//! The holders whose requests for tokens are not covered yet.

use std::collections::VecDeque;
use std::time::Instant;

use crate::lease_book::{HolderId, LeaseAsk};

/// A place in the line.
#[derive(Debug, Clone)]
struct WaitingHolder {
    holder: HolderId,
    least: u64,
    until: Instant,
}

/// Holders in the order of their requests, with one place for each.
#[derive(Debug, Clone, Default)]
pub(crate) struct WaitingLine {
    places: VecDeque<WaitingHolder>,
}

impl WaitingLine {
    /// Keeps the holder's place, or gives it the last one, until an instant.
    pub(crate) fn keep(&mut self, ask: &LeaseAsk, until: Instant) {
        let known = self
            .places
            .iter_mut()
            .find(|place| place.holder == ask.holder);
        match known {
            Some(place) => {
                place.least = ask.least;
                place.until = until;
            }
            None => self.places.push_back(WaitingHolder {
                holder: ask.holder.clone(),
                least: ask.least,
                until,
            }),
        }
    }

    /// Returns the tokens that holders before this one wait for.
    pub(crate) fn ahead_of(&self, holder: &HolderId) -> u64 {
        self.places
            .iter()
            .take_while(|place| place.holder != *holder)
            .map(|place| place.least)
            .sum()
    }

    /// Takes a holder out.
    pub(crate) fn leave(&mut self, holder: &HolderId) {
        self.places.retain(|place| place.holder != *holder);
    }

    /// Takes out the holders that did not ask again in time.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.places.retain(|place| place.until > now);
    }

    /// Takes all holders out.
    pub(crate) fn clear(&mut self) {
        self.places.clear();
    }

    /// Tells whether nobody waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
