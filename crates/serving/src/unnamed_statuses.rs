//! Statuses for services that the configuration in force doesn't name.
//!
//! A worker may announce itself before the configuration that names its service, or stay
//! while one drops its service and a later one names it again. Anyone may also send such
//! statuses, so that they are kept one for each id and service, further ones are refused
//! where memory is short, and the oldest are forgotten for endpoints of named services.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_wire::serving::EndpointStatus;

use crate::endpoint_registry::{
    has_same_content, merge_order, EndpointId, MergeOutcome, UnnamedKey,
};

/// A status that is kept.
#[derive(Debug, Clone)]
struct UnnamedStatus {
    status: EndpointStatus,
    /// Memory in bytes.
    size: usize,
    /// Position of its first merge among all.
    position: u64,
}

/// The statuses, by id and service.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnnamedStatuses {
    statuses: BTreeMap<UnnamedKey, UnnamedStatus>,
    /// Sum of the sizes.
    memory: usize,
    /// Key of each status, by position.
    oldest: BTreeMap<u64, UnnamedKey>,
    next_position: u64,
}

impl UnnamedStatuses {
    /// Returns the memory in bytes that the statuses take.
    pub fn memory(&self) -> usize {
        self.memory
    }

    /// Merges a status of `size` bytes, where all may take `memory_max`.
    pub fn merge(
        &mut self,
        status: EndpointStatus,
        size: usize,
        memory_max: usize,
    ) -> MergeOutcome {
        let key = (status.id.clone(), status.service.clone());
        let stored = self.statuses.get(&key);
        if stored.is_some_and(|stored| merge_order(&status) < merge_order(&stored.status)) {
            return MergeOutcome::Stale;
        }
        let before = stored.map_or(0, |stored| stored.size);
        // What takes no more than before is never refused.
        if size > before && self.memory - before + size > memory_max {
            return MergeOutcome::Full;
        }
        let is_same = stored.is_some_and(|stored| has_same_content(&stored.status, &status));
        self.remove(&key);
        let position = self.next_position;
        self.next_position += 1;
        self.oldest.insert(position, key.clone());
        self.memory += size;
        let kept = UnnamedStatus {
            status,
            size,
            position,
        };
        self.statuses.insert(key, kept);
        match is_same {
            true => MergeOutcome::Same,
            false => MergeOutcome::Changed,
        }
    }

    /// Returns the status of an id with the latest start.
    pub fn latest(&self, id: &EndpointId) -> Option<&EndpointStatus> {
        let first = (id.clone(), Bytes::new());
        let of_id = self.statuses.range(first..);
        let of_id = of_id.take_while(|((known, _), _)| known == id);
        let latest = of_id.max_by_key(|(_, kept)| merge_order(&kept.status));
        latest.map(|(_, kept)| &kept.status)
    }

    /// Removes the statuses of an endpoint that has gone.
    pub fn remove_ended(&mut self, gone: &EndpointStatus) {
        let first = (gone.id.clone(), Bytes::new());
        let of_id = self.statuses.range(first..);
        let of_id = of_id.take_while(|((id, _), _)| *id == gone.id);
        let ended = of_id.filter(|(_, kept)| kept.status.born_ms <= gone.born_ms);
        let keys: Vec<UnnamedKey> = ended.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Removes and returns the statuses of named services, in the order of their starts.
    pub fn take_named(&mut self, services: &BTreeSet<Bytes>) -> Vec<EndpointStatus> {
        let named = self.statuses.keys();
        let named = named.filter(|(_, service)| services.contains(service));
        let keys: Vec<UnnamedKey> = named.cloned().collect();
        let mut taken: Vec<EndpointStatus> =
            keys.iter().filter_map(|key| self.remove(key)).collect();
        taken.sort_by_key(merge_order);
        taken
    }

    /// Forgets the status that was merged first; false if there is none.
    pub fn forget_oldest(&mut self) -> bool {
        let oldest = self.oldest.first_key_value();
        let Some(key) = oldest.map(|(_, key)| key.clone()) else {
            return false;
        };
        self.remove(&key).is_some()
    }

    /// Removes a status.
    pub fn remove(&mut self, key: &UnnamedKey) -> Option<EndpointStatus> {
        let kept = self.statuses.remove(key)?;
        self.memory -= kept.size;
        self.oldest.remove(&kept.position);
        Some(kept.status)
    }
}
