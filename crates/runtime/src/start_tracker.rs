//! Connections to the HTTP server library whose requests it has not started.
//!
//! The library's thread pool queues a connection when it counts an idle thread,
//! but its count includes a thread that is already about to handle another
//! connection. The queued connection then waits until any thread becomes free.
//! A later, empty connection gets a thread of its own, which becomes free at
//! once and handles the queued connection.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time allowed for the library to start a connection before the first empty
/// connection is opened.
const DELAY_MIN: Duration = Duration::from_millis(1);

/// Maximum interval between empty connections opened for one waiting
/// connection.
const DELAY_MAX: Duration = Duration::from_secs(1);

/// When the next empty connection is due, and the current back-off delay.
#[derive(Debug, Clone, Copy)]
struct StartEntry {
    due: Instant,
    delay: Duration,
}

/// Waiting connections by their ids.
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

    /// Removes a connection that the library has started or that has ended.
    pub fn remove(&mut self, id: usize) {
        self.entries.remove(&id);
    }

    /// Returns the number of waiting connections.
    pub fn waiting_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns when the next empty connection is due.
    pub fn deadline(&self) -> Option<Instant> {
        self.entries.values().map(|entry| entry.due).min()
    }

    /// Returns the number of connections that are due, and reschedules each
    /// with twice its delay.
    pub fn reschedule_due(&mut self, now: Instant) -> usize {
        let due = self.entries.values_mut().filter(|entry| entry.due <= now);
        due.map(|entry| {
            entry.delay = (entry.delay * 2).min(DELAY_MAX);
            entry.due = now + entry.delay;
        })
        .count()
    }
}
