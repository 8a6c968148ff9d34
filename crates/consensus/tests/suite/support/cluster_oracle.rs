//! Invariants across all members, checked at each step.

use std::collections::{BTreeMap, BTreeSet};

use mulberrywell_consensus::{
    LogEntry, LogIndex, MemberId, MessageBody, PeerMessage, ProposalId, ReadId, Term,
};
use prost::Message;

/// An entry as applied by the first member that applied it.
#[derive(Debug, Clone, PartialEq)]
struct AppliedRecord {
    term: Term,
    /// Digest of the state after the entry.
    digest: u64,
}

/// An entry as first observed in a log.
#[derive(Debug, PartialEq)]
struct LoggedRecord {
    hash: u32,
    prev_term: Term,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogKey {
    index: LogIndex,
    term: Term,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct VoteKey {
    term: Term,
    voter: MemberId,
}

/// Records the observable actions of all members and checks the invariants.
#[derive(Debug, Default)]
pub struct ClusterOracle {
    leaders: BTreeMap<Term, MemberId>,
    votes: BTreeMap<VoteKey, MemberId>,
    logged: BTreeMap<LogKey, LoggedRecord>,
    applied: BTreeMap<LogIndex, AppliedRecord>,
    /// Minimum index of each read.
    reads: BTreeMap<ReadId, LogIndex>,
    rejected: BTreeSet<ProposalId>,
    /// Accepted proposals.
    pub accepted: BTreeSet<ProposalId>,
    /// Counts of what was exercised.
    pub stats: ScheduleStats,
}

/// Counts of what a schedule exercised, so that an idle schedule does not pass.
#[derive(Debug, Default, Clone, Copy)]
pub struct ScheduleStats {
    pub leaders: u64,
    pub accepted: u64,
    pub confirmed_reads: u64,
    pub restored: u64,
    pub membership_changes: u64,
    pub truncations: u64,
    pub transfers: u64,
    pub lost_disks: u64,
    pub replaced: u64,
    /// Losses after which no majority of an even number of voters was left.
    pub halved: u64,
    /// Leaders in whose terms a defunct voter isn't counted.
    pub uncounted_leaders: u64,
    pub full_disks: u64,
    pub failed_disks: u64,
    /// Members that were away and came back with their disks.
    pub absences: u64,
    /// Members that were removed for good, and replaced later.
    pub removals: u64,
    /// Members whose successors came first.
    pub retirements: u64,
}

impl ScheduleStats {
    pub fn add(&mut self, other: &ScheduleStats) {
        self.leaders += other.leaders;
        self.accepted += other.accepted;
        self.confirmed_reads += other.confirmed_reads;
        self.restored += other.restored;
        self.membership_changes += other.membership_changes;
        self.truncations += other.truncations;
        self.transfers += other.transfers;
        self.lost_disks += other.lost_disks;
        self.replaced += other.replaced;
        self.halved += other.halved;
        self.uncounted_leaders += other.uncounted_leaders;
        self.full_disks += other.full_disks;
        self.failed_disks += other.failed_disks;
        self.absences += other.absences;
        self.removals += other.removals;
        self.retirements += other.retirements;
    }
}

impl ClusterOracle {
    /// Returns the greatest index that any member has applied.
    pub fn last_applied(&self) -> LogIndex {
        self.applied.last_key_value().map_or(0, |(index, _)| *index)
    }

    pub fn record_leader(&mut self, term: Term, leader: MemberId) {
        self.stats.leaders += 1;
        let known = *self.leaders.entry(term).or_insert(leader);
        assert_eq!(known, leader, "term {term} has two leaders");
    }

    pub fn record_message(&mut self, message: &PeerMessage) {
        let Some(MessageBody::VoteResponse(response)) = &message.body else {
            return;
        };
        if !response.granted || response.pre_vote {
            return;
        }
        let key = VoteKey {
            term: message.term,
            voter: message.from,
        };
        let known = *self.votes.entry(key).or_insert(message.to);
        assert_eq!(known, message.to, "{:x} voted twice", message.from);
    }

    /// Records an entry in a log whose previous entry has the term `prev_term`.
    pub fn record_logged(&mut self, entry: &LogEntry, prev_term: Term) {
        let key = LogKey {
            index: entry.index,
            term: entry.term,
        };
        let record = LoggedRecord {
            hash: crc32fast::hash(&entry.encode_to_vec()),
            prev_term,
        };
        match self.logged.get(&key) {
            Some(known) => assert_eq!(*known, record, "logs differ at {key:?}"),
            None => {
                self.logged.insert(key, record);
            }
        }
    }

    /// Records the state after the entry at `index`.
    pub fn record_applied(&mut self, index: LogIndex, term: Term, digest: u64) {
        let record = AppliedRecord { term, digest };
        match self.applied.get(&index) {
            Some(known) => assert_eq!(*known, record, "committed entry {index} changed"),
            None => {
                assert_eq!(
                    index,
                    self.last_applied() + 1,
                    "a committed entry is missing"
                );
                self.applied.insert(index, record);
            }
        }
    }

    pub fn record_command(&mut self, command: ProposalId, proposal: Option<ProposalId>) {
        assert!(
            !self.rejected.contains(&command),
            "rejected proposal {command} was applied"
        );
        if let Some(proposal) = proposal {
            assert_eq!(
                proposal, command,
                "the applied command belongs to another proposal"
            );
            self.accepted.insert(proposal);
            self.stats.accepted += 1;
        }
    }

    pub fn record_rejected(&mut self, proposal: ProposalId) {
        self.rejected.insert(proposal);
    }

    pub fn record_read_request(&mut self, read: ReadId) {
        self.reads.insert(read, self.last_applied());
    }

    pub fn record_read_confirmed(&mut self, read: ReadId, index: LogIndex) {
        let index_min = self.reads[&read];
        assert!(
            index >= index_min,
            "read {read} confirmed at {index}, older than {index_min}"
        );
        self.stats.confirmed_reads += 1;
    }
}
