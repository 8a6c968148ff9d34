//! Connections to the HTTP library on which it has not begun.
//!
//! The library's pool queues a connection when it counts an idle thread, and
//! counts a thread that is already on its way to another connection. A
//! queued connection then waits until any thread ends. An empty connection
//! that comes later gets a thread of its own, which ends at once and takes the
//! queued one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that the library gets to begin on a connection.
const DELAY_MIN: Duration = Duration::from_millis(1);

/// Longest time between two empty connections for one that waits.
const DELAY_MAX: Duration = Duration::from_secs(1);

/// When a connection is due, and after which delay it is due again.
#[derive(Debug, Clone, Copy)]
struct StartEntry {
    due: Instant,
    delay: Duration,
}

/// The connections that wait, by their ids.
#[derive(Debug, Default)]
pub struct StartTracker {
    entries: BTreeMap<usize, StartEntry>,
}

impl StartTracker {
    /// Adds a connection.
    pub fn insert(&mut self, id: usize, now: Instant) {
        let entry = StartEntry {
            due: now + DELAY_MIN,
            delay: DELAY_MIN,
        };
        self.entries.insert(id, entry);
    }

    /// Takes out a connection on which the library has begun.
    pub fn remove(&mut self, id: usize) {
        self.entries.remove(&id);
    }

    /// Returns when the next connection is due.
    pub fn deadline(&self) -> Option<Instant> {
        self.entries.values().map(|entry| entry.due).min()
    }

    /// Counts the connections that are due and doubles their delays.
    pub fn reschedule_due(&mut self, now: Instant) -> usize {
        let due = self.entries.values_mut().filter(|entry| entry.due <= now);
        due.map(|entry| {
            entry.delay = (entry.delay * 2).min(DELAY_MAX);
            entry.due = now + entry.delay;
        })
        .count()
    }
}
