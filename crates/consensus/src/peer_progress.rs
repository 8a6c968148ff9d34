//! Replication progress of another member, as tracked by the leader.

use std::collections::VecDeque;
use std::time::Instant;

use crate::{LogIndex, SnapshotImage};

/// Mode in which entries are sent to a member.
#[derive(Debug)]
pub(crate) enum SendState {
    /// The leader searches for the position up to which the logs match, one
    /// message at a time.
    Probe {
        /// A message is unacknowledged; a heartbeat response allows another.
        waiting: bool,
    },
    /// Entries are pipelined.
    Replicate {
        /// Last index of each unacknowledged message, ascending.
        inflight: VecDeque<LogIndex>,
    },
    /// The member needs entries that are no longer in the log.
    Snapshot(SnapshotTransfer),
}

/// A snapshot being sent to a member, one chunk at a time.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) image: SnapshotImage,
    /// CRC-32 of the state.
    pub(crate) crc: u32,
    /// Offset of the first byte that the member lacks.
    pub(crate) offset: usize,
    /// When the last chunk was sent.
    pub(crate) sent_at: Instant,
}

/// Replication progress of another member.
#[derive(Debug)]
pub(crate) struct PeerProgress {
    /// Last entry known to be synced by the member and equal to the leader's; it
    /// never decreases within a term.
    pub(crate) match_index: LogIndex,
    /// Next entry to send; greater than `match_index`.
    pub(crate) next_index: LogIndex,
    pub(crate) state: SendState,
    /// Latest heartbeat round that the member acknowledged.
    pub(crate) acked_round: u64,
    /// When the leader sent that round.
    pub(crate) acked_at: Option<Instant>,
}

impl PeerProgress {
    /// Creates the progress of a member whose log is not yet known.
    pub(crate) fn new(next_index: LogIndex) -> Self {
        PeerProgress {
            match_index: 0,
            next_index,
            state: SendState::Probe { waiting: false },
            acked_round: 0,
            acked_at: None,
        }
    }

    /// Returns whether a message with entries may be sent.
    pub(crate) fn can_send(&self, inflight_max: usize) -> bool {
        match &self.state {
            SendState::Probe { waiting } => !waiting,
            SendState::Replicate { inflight } => inflight.len() < inflight_max,
            SendState::Snapshot(_) => false,
        }
    }

    /// Records that entries up to `last` were sent.
    pub(crate) fn record_sent(&mut self, last: LogIndex) {
        match &mut self.state {
            SendState::Probe { waiting } => *waiting = true,
            SendState::Replicate { inflight } => {
                inflight.push_back(last);
                self.next_index = last + 1;
            }
            SendState::Snapshot(_) => {}
        }
    }

    /// Records that entries up to `index` match and are synced by the member.
    pub(crate) fn record_matched(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.state {
            SendState::Probe { .. } => {
                self.next_index = self.match_index + 1;
                self.state = SendState::Replicate {
                    inflight: VecDeque::new(),
                };
            }
            SendState::Replicate { inflight } => {
                while inflight.front().is_some_and(|last| *last <= index) {
                    inflight.pop_front();
                }
            }
            SendState::Snapshot(transfer) => {
                if self.match_index >= transfer.image.meta.index {
                    self.probe_from(self.match_index + 1);
                }
            }
        }
    }

    /// Starts to probe for the position up to which the logs match, at `next`.
    pub(crate) fn probe_from(&mut self, next: LogIndex) {
        self.next_index = next.max(self.match_index + 1);
        self.state = SendState::Probe { waiting: false };
    }

    /// Considers an unacknowledged message lost, so that another may be sent.
    pub(crate) fn release_inflight(&mut self, inflight_max: usize) {
        match &mut self.state {
            SendState::Probe { waiting } => *waiting = false,
            SendState::Replicate { inflight } => {
                if inflight.len() >= inflight_max {
                    inflight.pop_front();
                }
            }
            SendState::Snapshot(_) => {}
        }
    }
}
