//! The disk of a role in memory, which syncs immediately.

use bytes::Bytes;
use mulberrywell_consensus::{
    EntryPayload, HardState, LogEntry, PersistBatch, RecoveredState, SnapshotImage, SnapshotMeta,
};

/// What a role has written to its disk.
#[derive(Debug, Clone, Default)]
pub struct RoleDisk {
    hard_state: HardState,
    snapshot: Option<SnapshotImage>,
    entries: Vec<LogEntry>,
}

impl RoleDisk {
    pub fn with_entries(entries: &[LogEntry]) -> Self {
        RoleDisk {
            entries: entries.to_vec(),
            ..RoleDisk::default()
        }
    }

    pub fn write(&mut self, batch: &PersistBatch) {
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state.clone_from(hard_state);
        }
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(batch.entries.iter().cloned());
    }

    /// Replaces the entries up to an applied one by a snapshot of the state.
    pub fn compact(&mut self, applied: u64, data: Bytes) {
        let replaced = self.entries.iter().filter(|entry| entry.index <= applied);
        let memberships = replaced.clone().filter_map(|entry| match &entry.payload {
            Some(EntryPayload::Membership(membership)) => Some(membership.clone()),
            _ => None,
        });
        let before = self.snapshot.as_ref().map(|image| image.meta.clone());
        let last = memberships.last();
        let Some(last_entry) = replaced.clone().next_back() else {
            return;
        };
        let meta = SnapshotMeta {
            index: applied,
            term: last_entry.term,
            membership: last
                .or(before.map(|meta| meta.membership))
                .expect("a membership"),
        };
        self.snapshot = Some(SnapshotImage { meta, data });
        self.entries.retain(|entry| entry.index > applied);
    }

    /// Returns the disk of a member that was never told of a lost one.
    pub fn without_defunct(mut self) -> Self {
        self.hard_state.defunct.clear();
        self
    }

    /// Returns what a member finds when it starts.
    pub fn recover(&self, member: u64) -> RecoveredState {
        RecoveredState {
            member,
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
            torn_bytes: 0,
        }
    }
}
