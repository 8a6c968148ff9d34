//! Outputs of a member at the end of an input: at most one batch to persist,
//! messages to send at once, and messages deferred until a sync.
//!
//! Guarantees: a deferred message is released only after every batch up to its
//! own is synced; messages are released in the order in which they were
//! deferred.

use std::collections::VecDeque;

use crate::{
    HardState, LogEntry, LogIndex, MemberId, MessageBody, NodeOutput, PeerMessage, PersistBatch,
    PersistTicket, Term,
};

#[derive(Debug)]
struct PendingBatch {
    ticket: PersistTicket,
    /// Last entry of the log that is synced once the batch is.
    last_index: LogIndex,
}

#[derive(Debug)]
struct DeferredMessage {
    ticket: PersistTicket,
    message: PeerMessage,
}

/// Collects batches and messages.
#[derive(Debug)]
pub(super) struct NodeOutbox {
    id: MemberId,
    /// The batch of the current input.
    batch: PersistBatch,
    /// The batch is not empty.
    dirty: bool,
    last_ticket: PersistTicket,
    persisted_ticket: PersistTicket,
    /// Last entry of the log that is synced.
    persisted_index: LogIndex,
    /// Unsynced batches in ascending order of tickets.
    pending: VecDeque<PendingBatch>,
    /// Messages of the current input that are sent at once.
    ready: Vec<PeerMessage>,
    /// Messages of the current input that are deferred until its batch is
    /// synced.
    unsynced: Vec<PeerMessage>,
    /// In ascending order of tickets.
    deferred: VecDeque<DeferredMessage>,
    /// Last entry of the log.
    last_index: LogIndex,
}

impl NodeOutbox {
    pub(super) fn new(id: MemberId, last_index: LogIndex) -> Self {
        NodeOutbox {
            id,
            batch: PersistBatch::default(),
            dirty: false,
            last_ticket: 0,
            persisted_ticket: 0,
            persisted_index: last_index,
            pending: VecDeque::new(),
            ready: Vec::new(),
            unsynced: Vec::new(),
            deferred: VecDeque::new(),
            last_index,
        }
    }

    pub(super) fn persisted_index(&self) -> LogIndex {
        self.persisted_index
    }

    pub(super) fn write_hard_state(&mut self, hard_state: HardState) {
        self.batch.hard_state = Some(hard_state);
        self.dirty = true;
    }

    pub(super) fn write_entry(&mut self, entry: LogEntry) {
        self.last_index = entry.index;
        self.batch.entries.push(entry);
        self.dirty = true;
    }

    /// Drops the entries from `from` on.
    pub(super) fn write_truncation(&mut self, from: LogIndex) {
        self.batch.entries.retain(|entry| entry.index < from);
        let earlier = self.batch.truncate_from.unwrap_or(from);
        self.batch.truncate_from = Some(earlier.min(from));
        self.dirty = true;
        self.last_index = from - 1;
        self.persisted_index = self.persisted_index.min(from - 1);
        for pending in &mut self.pending {
            pending.last_index = pending.last_index.min(from - 1);
        }
    }

    /// Replaces the entire log with a saved snapshot up to `index`.
    pub(super) fn write_reset(&mut self, index: LogIndex) {
        self.write_truncation(1);
        self.last_index = index;
        self.persisted_index = index;
    }

    pub(super) fn write_compaction(&mut self, index: LogIndex) {
        self.batch.compact_to = Some(index);
        self.persisted_index = self.persisted_index.max(index);
        self.dirty = true;
    }

    /// Sends a message at the end of the input.
    pub(super) fn send(&mut self, term: Term, to: MemberId, body: MessageBody) {
        let message = self.message(term, to, body);
        self.ready.push(message);
    }

    /// Sends a message once all earlier writes are synced.
    pub(super) fn send_synced(&mut self, term: Term, to: MemberId, body: MessageBody) {
        let message = self.message(term, to, body);
        self.unsynced.push(message);
    }

    fn message(&self, term: Term, to: MemberId, body: MessageBody) -> PeerMessage {
        PeerMessage {
            from: self.id,
            to,
            term,
            body: Some(body),
        }
    }

    /// Records that all batches up to `ticket` are synced.
    pub(super) fn record_persisted(&mut self, ticket: PersistTicket) {
        self.persisted_ticket = self.persisted_ticket.max(ticket.min(self.last_ticket));
        let done = self.persisted_ticket;
        while self.pending.front().is_some_and(|it| it.ticket <= done) {
            let batch = self.pending.pop_front().expect("the queue is not empty");
            self.persisted_index = self.persisted_index.max(batch.last_index);
        }
    }

    /// Removes and returns the deferred messages whose batches are synced.
    pub(super) fn pop_released(&mut self) -> Vec<PeerMessage> {
        let done = self.persisted_ticket;
        let mut released = Vec::new();
        while self.deferred.front().is_some_and(|it| it.ticket <= done) {
            released.extend(self.deferred.pop_front().map(|it| it.message));
        }
        released
    }

    /// Emits the batch and the messages of the current input.
    pub(super) fn flush(&mut self, outputs: &mut Vec<NodeOutput>) {
        if self.dirty {
            self.flush_batch(outputs);
        }
        outputs.extend(self.ready.drain(..).map(NodeOutput::Send));
        for message in self.unsynced.drain(..) {
            self.deferred.push_back(DeferredMessage {
                ticket: self.last_ticket,
                message,
            });
        }
    }

    /// Drops all pending output, as the storage accepts no more writes.
    pub(super) fn discard(&mut self) {
        self.batch = PersistBatch::default();
        self.dirty = false;
        self.ready.clear();
        self.unsynced.clear();
        self.deferred.clear();
    }

    fn flush_batch(&mut self, outputs: &mut Vec<NodeOutput>) {
        self.last_ticket += 1;
        let mut batch = std::mem::take(&mut self.batch);
        batch.ticket = self.last_ticket;
        self.dirty = false;
        self.pending.push_back(PendingBatch {
            ticket: self.last_ticket,
            last_index: self.last_index,
        });
        outputs.push(NodeOutput::Persist(batch));
    }
}
