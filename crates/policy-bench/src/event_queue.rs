//! Event queue of a run, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Events ordered by time; events at the same time keep the order in which they
/// were scheduled.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, E>,
    sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event for a time in microseconds.
    pub fn push(&mut self, at_us: u64, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse((at_us, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((at_us, sequence)) = self.heap.pop()?;
        self.events.remove(&sequence).map(|event| (at_us, event))
    }
}
