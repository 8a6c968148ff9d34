//! Reads that need a quorum to confirm the leader.
//!
//! Algorithm: one confirmation round runs at a time. Tasks that arrive
//! meanwhile wait for the next round, so that any number of reads shares one
//! confirmation. The tasks of a confirmed round are executed once the state has
//! applied the round's index (Ongaro, section 6.4).

use std::collections::BTreeMap;

use mulberrywell_consensus::{LogIndex, ReadId};

/// Tasks `T` that each need a confirmed read.
#[derive(Debug)]
pub struct ReadRounds<T> {
    waiting: Vec<T>,
    running: Option<ReadRound<T>>,
    /// Confirmed tasks, by the index that must be applied first.
    confirmed: BTreeMap<LogIndex, Vec<T>>,
    last_read: ReadId,
}

#[derive(Debug)]
struct ReadRound<T> {
    read: ReadId,
    tasks: Vec<T>,
}

impl<T> Default for ReadRounds<T> {
    fn default() -> Self {
        ReadRounds {
            waiting: Vec::new(),
            running: None,
            confirmed: BTreeMap::new(),
            last_read: 0,
        }
    }
}

impl<T> ReadRounds<T> {
    /// Adds a task.
    pub fn push(&mut self, task: T) {
        self.waiting.push(task);
    }

    /// Starts a round if tasks are waiting and no round is running; returns the
    /// id of the read to request.
    pub fn start(&mut self) -> Option<ReadId> {
        if self.running.is_some() || self.waiting.is_empty() {
            return None;
        }
        self.last_read += 1;
        self.running = Some(ReadRound {
            read: self.last_read,
            tasks: std::mem::take(&mut self.waiting),
        });
        Some(self.last_read)
    }

    /// Records the confirmation of a round.
    pub fn confirm(&mut self, read: ReadId, index: LogIndex) {
        if let Some(round) = self.running.take_if(|round| round.read == read) {
            self.confirmed.entry(index).or_default().extend(round.tasks);
        }
    }

    /// Ends a round that can't be confirmed; returns its tasks.
    pub fn fail(&mut self, read: ReadId) -> Vec<T> {
        let failed = self.running.take_if(|round| round.read == read);
        failed.map_or_else(Vec::new, |round| round.tasks)
    }

    /// Returns the tasks that were not executed yet.
    pub fn tasks(&self) -> impl Iterator<Item = &T> {
        let running = self.running.iter().flat_map(|round| &round.tasks);
        let confirmed = self.confirmed.values().flatten();
        self.waiting.iter().chain(running).chain(confirmed)
    }

    /// Removes and returns all tasks.
    pub fn clear(&mut self) -> Vec<T> {
        let mut tasks = std::mem::take(&mut self.waiting);
        let running = self.running.take().into_iter();
        tasks.extend(running.flat_map(|round| round.tasks));
        let confirmed = std::mem::take(&mut self.confirmed);
        tasks.extend(confirmed.into_values().flatten());
        tasks
    }

    /// Removes and returns the confirmed tasks that can run at an applied
    /// index.
    pub fn pop_ready(&mut self, applied: LogIndex) -> Vec<T> {
        let later = self.confirmed.split_off(&(applied + 1));
        let ready = std::mem::replace(&mut self.confirmed, later);
        ready.into_values().flatten().collect()
    }
}
