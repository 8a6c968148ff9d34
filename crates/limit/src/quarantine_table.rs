//! Prompt parts whose requests are refused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::crash_incident::PartId;

/// Parts that are quarantined together: requests with all of them are refused.
pub type PartSet = BTreeSet<PartId>;

/// Maximum number of quarantines.
const QUARANTINES_MAX: usize = 1_024;

/// All quarantines.
#[derive(Debug, Default, Clone)]
pub struct QuarantineTable {
    /// End of each quarantine. No set contains another.
    quarantines: BTreeMap<PartSet, Instant>,
}

impl QuarantineTable {
    /// Adds or extends a quarantine; returns whether it refuses more than before. It
    /// replaces those of larger sets.
    pub fn insert(&mut self, parts: PartSet, until: Instant) -> bool {
        if parts.is_empty() {
            return false;
        }
        let mut known = self.quarantines.iter_mut();
        if let Some((_, end)) = known.find(|(known, _)| known.is_subset(&parts)) {
            *end = (*end).max(until);
            return false;
        }
        self.quarantines.retain(|known, _| !parts.is_subset(known));
        if self.quarantines.len() >= QUARANTINES_MAX {
            self.quarantines.pop_first();
        }
        self.quarantines.insert(parts, until);
        true
    }

    /// Removes the quarantines that have ended.
    pub fn remove_expired(&mut self, now: Instant) {
        self.quarantines.retain(|_, until| *until > now);
    }

    /// Returns when the quarantine ends that refuses a request with these parts.
    pub fn find(&self, now: Instant, parts: &[PartId]) -> Option<Instant> {
        let mut quarantines = self.quarantines.iter();
        let found = quarantines
            .find(|(set, until)| **until > now && set.iter().all(|part| parts.contains(part)));
        found.map(|(_, until)| *until)
    }

    /// Returns whether some subset of these parts is quarantined.
    pub fn covers(&self, parts: &PartSet) -> bool {
        self.quarantines.keys().any(|known| known.is_subset(parts))
    }

    /// Returns whether a part is quarantined by itself.
    pub fn has_single(&self, part: PartId) -> bool {
        self.quarantines.contains_key(&PartSet::from([part]))
    }

    /// Returns whether there is no quarantine.
    pub fn is_empty(&self) -> bool {
        self.quarantines.is_empty()
    }

    /// Returns all quarantines and their ends.
    pub fn iter(&self) -> impl Iterator<Item = (&PartSet, Instant)> + '_ {
        self.quarantines
            .iter()
            .map(|(parts, until)| (parts, *until))
    }
}
