//! What a member keeps only while it leads.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use prost::Message;

use crate::peer_progress::PeerProgress;
use crate::{LogEntry, LogIndex, MemberId, ProposalId, ReadId};

/// When a heartbeat round was sent.
#[derive(Debug, Clone, Copy)]
struct RoundRecord {
    round: u64,
    sent_at: Instant,
}

/// A read that waits for a quorum.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) read: ReadId,
    /// Covers every write acknowledged before the read was asked.
    pub(super) index: LogIndex,
    /// A quorum must answer this heartbeat round or a later one; the round is
    /// sent after the read was asked.
    pub(super) round: u64,
}

/// A transfer of the leadership that has not ended.
#[derive(Debug)]
pub(super) struct PendingTransfer {
    pub(super) to: MemberId,
    /// When the leader gives it up and leads on.
    pub(super) until: Instant,
    /// The voter was asked to campaign.
    pub(super) timeout_now_sent: bool,
}

/// State of one leadership.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// When the member began to lead.
    pub(super) started_at: Instant,
    /// Entry that opens the term; nothing is known to be committed before it.
    pub(super) term_start: LogIndex,
    /// All members but the leader.
    pub(super) progress: BTreeMap<MemberId, PeerProgress>,
    pub(super) heartbeat_at: Instant,
    /// Last heartbeat round that was sent.
    pub(super) round: u64,
    /// In rising round.
    rounds: VecDeque<RoundRecord>,
    /// Round that was sent for reads and is not yet answered by a quorum.
    pub(super) read_round: Option<u64>,
    /// In rising round.
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<PendingTransfer>,
    /// A voter was asked to campaign in this term; it may still do so, hence
    /// the lease holds no longer.
    pub(super) lease_disabled: bool,
    /// By index; each is uncommitted.
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

    /// Notes a new heartbeat round; rounds older than `kept` are forgotten.
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

    /// Notes that a member answered a round; forgotten rounds don't count.
    pub(super) fn record_round_ack(&mut self, from: MemberId, round: u64) {
        let found = self.rounds.binary_search_by_key(&round, |it| it.round);
        let Ok(place) = found else {
            return;
        };
        let sent_at = self.rounds[place].sent_at;
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.acked_round = progress.acked_round.max(round);
            progress.acked_at = progress.acked_at.max(Some(sent_at));
        }
    }

    /// Notes that an entry was committed; returns its proposal.
    pub(super) fn record_committed(&mut self, entry: &LogEntry) -> Option<ProposalId> {
        if entry.index >= self.term_start {
            let len = entry.encoded_len();
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(len);
        }
        self.proposals.remove(&entry.index)
    }
}
