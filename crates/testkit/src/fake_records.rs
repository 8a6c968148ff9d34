//! Records of the requests that a fake ran, for checks after a test.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Started and not finished.
    Running,
    /// The complete response was written.
    Finished,
    /// Cancelled by an order or by a closed connection.
    Cancelled,
}

/// One request that a fake started to run.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// Request id that the agent sent with the request.
    pub request_id: String,
    /// Method and path.
    pub target: String,
    /// All headers as `name: value` lines.
    pub headers: Vec<String>,
    /// Body.
    pub body: String,
    /// Time at which the run started.
    pub started: Instant,
    /// Current state.
    pub state: RunState,
    /// Number of tokens written.
    pub tokens: u64,
}

/// The records of one fake.
#[derive(Debug, Clone, Default)]
pub struct FakeRecords {
    runs: Arc<Mutex<BTreeMap<u64, RunRecord>>>,
}

impl FakeRecords {
    /// Records a started run and returns its number.
    pub fn record_start(&self, record: RunRecord) -> u64 {
        let mut runs = self.lock();
        let number = runs.len() as u64;
        runs.insert(number, record);
        number
    }

    /// Updates the record of a run, if it exists.
    pub fn update(&self, number: u64, change: impl FnOnce(&mut RunRecord)) {
        if let Some(record) = self.lock().get_mut(&number) {
            change(record);
        }
    }

    /// Returns all records in the order in which the runs started.
    pub fn all(&self) -> Vec<RunRecord> {
        self.lock().values().cloned().collect()
    }

    /// Counts the runs whose request body contains a text.
    pub fn count_with(&self, text: &str) -> usize {
        self.lock()
            .values()
            .filter(|record| record.body.contains(text))
            .count()
    }

    /// Counts the runs that are in progress.
    pub fn running(&self) -> usize {
        self.lock()
            .values()
            .filter(|record| record.state == RunState::Running)
            .count()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, RunRecord>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
