//! Outcomes of operator requests, stored to deduplicate retries.
//!
//! Guarantees: a retry with the same content gets the outcome of the first
//! request; a request with the same id but other content is refused. The oldest
//! outcome is evicted when there are more than [`RESULTS_MAX`].

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_wire::command::{LogCommand, RememberedResult};
use prost::Message;

use crate::command_outcome::{CommandOutcome, EditConflict};

/// Maximum number of stored outcomes.
const RESULTS_MAX: usize = 10_000;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    actor: Bytes,
    request_id: Bytes,
}

#[derive(Debug, Clone, PartialEq)]
struct StoredResult {
    /// SHA-256 of the request's content.
    digest: Bytes,
    outcome: CommandOutcome,
}

/// Stored outcomes by request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DedupTable {
    results: BTreeMap<RequestKey, StoredResult>,
    /// Keys of `results`, oldest first; at most [`RESULTS_MAX`].
    order: VecDeque<RequestKey>,
}

impl DedupTable {
    /// Returns the outcome of an earlier request with the command's id.
    pub fn find(&self, command: &LogCommand) -> Option<CommandOutcome> {
        if command.request_id.is_empty() {
            return None;
        }
        let stored = self.results.get(&key_of(command))?;
        if stored.digest == content_digest(command) {
            return Some(stored.outcome.clone());
        }
        Some(CommandOutcome::Refused(EditConflict::RequestReused))
    }

    /// Stores the outcome of a command that has a request id.
    pub fn record(&mut self, command: &LogCommand, outcome: &CommandOutcome) {
        if command.request_id.is_empty() {
            return;
        }
        let stored = StoredResult {
            digest: content_digest(command),
            outcome: outcome.clone(),
        };
        self.insert(key_of(command), stored);
    }

    fn insert(&mut self, key: RequestKey, stored: StoredResult) {
        if self.results.insert(key.clone(), stored).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > RESULTS_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.results.remove(&oldest);
            }
        }
    }

    /// Encodes all outcomes, oldest first.
    pub fn to_records(&self) -> Vec<RememberedResult> {
        let stored = self.order.iter().filter_map(|key| {
            let stored = self.results.get(key)?;
            Some(RememberedResult {
                actor: key.actor.clone(),
                request_id: key.request_id.clone(),
                digest: stored.digest.clone(),
                result: Some(stored.outcome.to_result()),
            })
        });
        stored.collect()
    }

    /// Decodes outcomes, oldest first.
    pub fn from_records(records: Vec<RememberedResult>) -> Self {
        let mut table = DedupTable::default();
        for record in records {
            let key = RequestKey {
                actor: record.actor,
                request_id: record.request_id,
            };
            let stored = StoredResult {
                digest: record.digest,
                outcome: CommandOutcome::from_result(record.result.unwrap_or_default()),
            };
            table.insert(key, stored);
        }
        table
    }
}

fn key_of(command: &LogCommand) -> RequestKey {
    RequestKey {
        actor: command.actor.clone(),
        request_id: command.request_id.clone(),
    }
}

/// Returns the digest of a command without its timestamp.
fn content_digest(command: &LogCommand) -> Bytes {
    let bare = LogCommand {
        at_ms: 0,
        ..command.clone()
    };
    digest_key(&bare.encode_to_vec())
}
