//! Volatile state of a leader.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use prost::Message;

use crate::peer_progress::PeerProgress;
use crate::{LogEntry, LogIndex, MemberId, ProposalId, ReadId};

/// Send time of a heartbeat round.
#[derive(Debug, Clone, Copy)]
struct RoundRecord {
    round: u64,
    sent_at: Instant,
}

/// A read that is not yet confirmed by a quorum.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) read: ReadId,
    /// Covers every write acknowledged before the read was requested.
    pub(super) index: LogIndex,
    /// A quorum must acknowledge this heartbeat round or a later one; the round
    /// is sent after the read was requested.
    pub(super) round: u64,
}

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct PendingTransfer {
    pub(super) to: MemberId,
    /// When the transfer times out and the leader accepts proposals again.
    pub(super) until: Instant,
    /// The voter was sent `TimeoutNow`.
    pub(super) timeout_now_sent: bool,
}

/// State of a leader during one term.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// When the member became leader.
    pub(super) started_at: Instant,
    /// Index of the first entry of the term; the leader's commit index may be
    /// stale until this entry is committed.
    pub(super) term_start: LogIndex,
    /// Progress of each member except the leader.
    pub(super) progress: BTreeMap<MemberId, PeerProgress>,
    pub(super) heartbeat_at: Instant,
    /// Last heartbeat round that was sent.
    pub(super) round: u64,
    /// In ascending order of rounds.
    rounds: VecDeque<RoundRecord>,
    /// Round that was sent for reads and is not yet acknowledged by a quorum.
    pub(super) read_round: Option<u64>,
    /// In ascending order of rounds.
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<PendingTransfer>,
    /// A voter was sent `TimeoutNow` in this term. It may still campaign, so the
    /// lease is no longer valid.
    pub(super) lease_disabled: bool,
    /// Uncommitted proposals by log index.
    pub(super) proposals: BTreeMap<LogIndex, ProposalId>,
    /// Encoded bytes of uncommitted entries of this term.
    pub(super) uncommitted_bytes: usize,
}

impl LeaderState {
    pub(super) fn new(now: Instant, term_start: LogIndex) -> Self {
        LeaderState {
            started_at: now,
            term_start,
            progress: BTreeMap::new(),
            heartbeat_at: now,
            round: 0,
            rounds: VecDeque::new(),
            read_round: None,
            reads: VecDeque::new(),
            transfer: None,
            lease_disabled: false,
            proposals: BTreeMap::new(),
            uncommitted_bytes: 0,
        }
    }

    /// Starts a new heartbeat round and drops rounds older than `retention`.
    pub(super) fn start_round(&mut self, now: Instant, retention: Duration) -> u64 {
        self.round += 1;
        self.rounds.push_back(RoundRecord {
            round: self.round,
            sent_at: now,
        });
        while self
            .rounds
            .front()
            .is_some_and(|it| it.sent_at + retention < now)
        {
            self.rounds.pop_front();
        }
        self.round
    }

    /// Records that a member acknowledged a round; dropped rounds are ignored.
    pub(super) fn record_round_ack(&mut self, from: MemberId, round: u64) {
        let found = self.rounds.binary_search_by_key(&round, |it| it.round);
        let Ok(position) = found else {
            return;
        };
        let sent_at = self.rounds[position].sent_at;
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.acked_round = progress.acked_round.max(round);
            progress.acked_at = progress.acked_at.max(Some(sent_at));
        }
    }

    /// Records that an entry was committed; returns its proposal.
    pub(super) fn record_committed(&mut self, entry: &LogEntry) -> Option<ProposalId> {
        if entry.index >= self.term_start {
            let len = entry.encoded_len();
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(len);
        }
        self.proposals.remove(&entry.index)
    }
}
