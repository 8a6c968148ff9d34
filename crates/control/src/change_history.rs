//! Which items each version changed, for deltas to readers.
//!
//! Algorithm: the items of each version are kept until [`CHANGES_MAX`] are
//! held. A delta names every item that changed after its base, with its
//! present content or its removal, so that one delta covers any number of
//! versions. A reader from before the history gets the whole configuration.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use mulberrywell_wire::config::ItemKind;

/// Changed items that are kept.
const CHANGES_MAX: usize = 50_000;

/// Names one item of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemRef {
    /// What the item is.
    pub kind: ItemKind,
    /// Name; the digest of a key.
    pub name: Bytes,
}

#[derive(Debug, Clone)]
struct VersionChange {
    version: u64,
    items: Vec<ItemRef>,
}

/// The latest changes.
#[derive(Debug, Clone, Default)]
pub struct ChangeHistory {
    /// Versions rise without a gap.
    changes: VecDeque<VersionChange>,
    /// Items in `changes`; past [`CHANGES_MAX`] the oldest version goes.
    len: usize,
    /// Every later version is in `changes`.
    base: u64,
}

impl ChangeHistory {
    /// Creates a history that begins after a version.
    pub fn new(base: u64) -> Self {
        ChangeHistory {
            base,
            ..ChangeHistory::default()
        }
    }

    /// Adds the changes of the next version.
    pub fn push(&mut self, version: u64, items: Vec<ItemRef>) {
        self.len += items.len().max(1);
        self.changes.push_back(VersionChange { version, items });
        while self.len > CHANGES_MAX {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.len -= oldest.items.len().max(1);
            self.base = oldest.version;
        }
    }

    /// Returns all items that changed after a version; none when the history
    /// does not reach back to it.
    pub fn since(&self, version: u64) -> Option<BTreeSet<&ItemRef>> {
        if version < self.base {
            return None;
        }
        let newest = self.changes.iter().rev();
        let later = newest.take_while(|change| change.version > version);
        Some(later.flat_map(|change| &change.items).collect())
    }
}

/// Replaces a map of items and appends what changed.
pub fn replace_items<T: PartialEq>(
    kind: ItemKind,
    map: &mut BTreeMap<Bytes, T>,
    new: BTreeMap<Bytes, T>,
    changes: &mut Vec<ItemRef>,
) {
    let gone = map.keys().filter(|name| !new.contains_key(*name));
    let changed = new
        .iter()
        .filter(|(name, item)| map.get(*name) != Some(item));
    let names = gone.chain(changed.map(|(name, _)| name));
    changes.extend(names.map(|name| ItemRef {
        kind,
        name: name.clone(),
    }));
    *map = new;
}
