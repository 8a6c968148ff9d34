//! The audit trail: who changed what, when, and with which outcome.

use std::collections::VecDeque;

use bytes::Bytes;
use mulberrywell_wire::command::AuditRecord;
use serde::Serialize;

use crate::state_summary::text;

/// Maximum number of entries in memory and in snapshots.
const ENTRIES_MAX: usize = 20_000;

/// An accepted or refused change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AuditEntry {
    /// Log index of the command.
    pub index: u64,
    /// Milliseconds since the Unix epoch, by the proposer's clock.
    pub at_ms: u64,
    /// Operator, control instance or endpoint.
    pub actor: String,
    /// The requested action.
    pub action: String,
    /// Summary of the affected items before the change; empty if there were
    /// none.
    pub before: String,
    /// Summary of the affected items after the change; empty if nothing
    /// changed.
    pub after: String,
    /// `accepted as version` and the version, or `refused:` and the reason.
    pub outcome: String,
}

/// The latest entries, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AuditTrail {
    /// Sorted by ascending index; at most [`ENTRIES_MAX`].
    entries: VecDeque<AuditEntry>,
}

impl AuditTrail {
    /// Adds an entry.
    pub fn push(&mut self, entry: AuditEntry) {
        self.entries.push_back(entry);
        if self.entries.len() > ENTRIES_MAX {
            self.entries.pop_front();
        }
    }

    /// Returns up to `limit` entries with an index above `index`.
    pub fn after(&self, index: u64, limit: usize) -> Vec<&AuditEntry> {
        self.entries
            .iter()
            .filter(|entry| entry.index > index)
            .take(limit)
            .collect()
    }

    /// Encodes all entries, oldest first.
    pub fn to_records(&self) -> Vec<AuditRecord> {
        let records = self.entries.iter().map(|entry| AuditRecord {
            index: entry.index,
            at_ms: entry.at_ms,
            actor: bytes(&entry.actor),
            action: bytes(&entry.action),
            before: bytes(&entry.before),
            after: bytes(&entry.after),
            outcome: bytes(&entry.outcome),
        });
        records.collect()
    }

    /// Decodes entries, oldest first.
    pub fn from_records(records: Vec<AuditRecord>) -> Self {
        let entries = records.into_iter().map(|record| AuditEntry {
            index: record.index,
            at_ms: record.at_ms,
            actor: text(&record.actor),
            action: text(&record.action),
            before: text(&record.before),
            after: text(&record.after),
            outcome: text(&record.outcome),
        });
        AuditTrail {
            entries: entries.collect(),
        }
    }
}

fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
