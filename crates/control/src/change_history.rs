//! The items changed by each version, from which deltas for subscribers are
//! built.
//!
//! Algorithm: the history stores the items of each version, up to
//! [`CHANGES_MAX`] items in total. A delta lists every item that changed after
//! its base version, with its current content or its removal, so that one delta
//! covers any number of versions. A subscriber whose version is older than the
//! history receives the full configuration.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use mulberrywell_wire::config::ItemKind;

/// Maximum number of changed items in the history.
const CHANGES_MAX: usize = 50_000;

/// Identifies one item of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemRef {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item; the digest for a key and the plan for a grant.
    pub name: Bytes,
}

#[derive(Debug, Clone)]
struct VersionChange {
    version: u64,
    items: Vec<ItemRef>,
}

/// The most recent changes.
#[derive(Debug, Clone, Default)]
pub struct ChangeHistory {
    /// Consecutive versions in ascending order.
    changes: VecDeque<VersionChange>,
    /// Number of items in `changes`, where a version without items counts as
    /// one; beyond [`CHANGES_MAX`] the oldest version is dropped.
    len: usize,
    /// `changes` contains every version after this one.
    base: u64,
}

impl ChangeHistory {
    /// Creates an empty history that starts after a version.
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

    /// Returns all items that changed after a version; `None` if the history
    /// does not reach back that far.
    pub fn since(&self, version: u64) -> Option<BTreeSet<&ItemRef>> {
        if version < self.base {
            return None;
        }
        let newest = self.changes.iter().rev();
        let later = newest.take_while(|change| change.version > version);
        Some(later.flat_map(|change| &change.items).collect())
    }
}

/// Replaces a map of items and appends the items that changed.
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
