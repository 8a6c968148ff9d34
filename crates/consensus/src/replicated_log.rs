//! A member's log in memory, with the memberships that it contains.
//!
//! Some entries before a snapshot are retained for members that are slightly
//! behind.

use std::collections::VecDeque;

use prost::Message;

use crate::{LogEntry, LogIndex, Membership, SnapshotMeta, Term};

/// An index in the log and the term of its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    /// Compared before the index, as Raft compares logs in elections.
    pub(crate) term: Term,
    pub(crate) index: LogIndex,
}

#[derive(Debug)]
struct MembershipRecord {
    index: LogIndex,
    membership: Membership,
}

/// The log in memory.
#[derive(Debug)]
pub(crate) struct ReplicatedLog {
    /// Position before the first entry.
    base: LogPosition,
    /// Consecutive, from `base.index + 1` on; terms never decrease.
    entries: VecDeque<LogEntry>,
    /// Never empty, in ascending order of indexes; the first one is in force at
    /// `base`.
    memberships: Vec<MembershipRecord>,
}

impl ReplicatedLog {
    /// Creates a log that starts after a snapshot.
    pub(crate) fn starting_after(meta: &SnapshotMeta) -> Self {
        let first = MembershipRecord {
            index: meta.index,
            membership: meta.membership.clone(),
        };
        ReplicatedLog {
            base: LogPosition {
                term: meta.term,
                index: meta.index,
            },
            entries: VecDeque::new(),
            memberships: vec![first],
        }
    }

    pub(crate) fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| LogPosition {
            term: entry.term,
            index: entry.index,
        })
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.base.index + self.entries.len() as u64
    }

    /// Returns the entry at an index, if the log contains it.
    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term at an index from `base` to the last one.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Copies entries from `from` on up to `bytes_max`, but at least one if there
    /// is any.
    pub(crate) fn copy_from(&self, from: LogIndex, bytes_max: usize) -> Vec<LogEntry> {
        let mut copied = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            bytes += entry.encoded_len();
            if bytes > bytes_max && !copied.is_empty() {
                break;
            }
            copied.push(entry.clone());
            index += 1;
        }
        copied
    }

    /// Appends the next entry.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entries are consecutive"
        );
        debug_assert!(
            entry.term >= self.last_position().term,
            "terms never decrease"
        );
        if let Some(membership) = entry.membership() {
            self.memberships.push(MembershipRecord {
                index: entry.index,
                membership: membership.clone(),
            });
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on; `from` is after `base`.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        debug_assert!(
            from > self.base.index,
            "entries in a snapshot are never truncated"
        );
        let retained = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        self.memberships.retain(|record| record.index < from);
    }

    /// Returns the earliest index after which the entries up to `index` have at most
    /// `bytes_max` bytes.
    pub(crate) fn base_within(&self, index: LogIndex, bytes_max: usize) -> LogIndex {
        let mut base = index;
        let mut bytes = 0;
        while let Some(entry) = self.entry(base) {
            bytes += entry.encoded_len();
            if bytes > bytes_max {
                break;
            }
            base -= 1;
        }
        base
    }

    /// Drops the entries up to `index`, which is committed.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        while self.base.index < index {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base = LogPosition {
                term: entry.term,
                index: entry.index,
            };
        }
        let base = self.base.index;
        let in_force = self.memberships.iter().rposition(|it| it.index <= base);
        self.memberships.drain(..in_force.unwrap_or(0));
    }

    /// Returns the membership in force: that of the last entry that contains one.
    pub(crate) fn membership(&self) -> &Membership {
        &self.last_membership().membership
    }

    /// Returns the index of the entry that set the membership in force.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.last_membership().index
    }

    /// Returns the membership before the one in force, if the log contains it.
    pub(crate) fn previous_membership(&self) -> Option<&Membership> {
        let (_, earlier) = self.memberships.split_last()?;
        earlier.last().map(|record| &record.membership)
    }

    /// Returns the membership in force at an index of the log.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let records = self.memberships.iter().rev();
        let mut earlier = records.filter(|record| record.index <= index);
        earlier
            .next()
            .map_or(&self.memberships[0].membership, |it| &it.membership)
    }

    fn last_membership(&self) -> &MembershipRecord {
        self.memberships.last().expect("a log has a membership")
    }

    /// Returns the last index up to `index` whose term is at most `term`; no later
    /// one can match a log that has `term` at `index`.
    ///
    /// The result is before `base` when no entry of the log can match.
    pub(crate) fn matching_hint(&self, index: LogIndex, term: Term) -> LogIndex {
        let mut index = index.min(self.last_index());
        while self.term_at(index).is_some_and(|own| own > term) {
            index -= 1;
        }
        index
    }
}
