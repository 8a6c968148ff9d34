//! The persistent state of a member: log entries, hard state and snapshot.
//!
//! The types define their encoding, which is the same on the wire and on disk.

use bytes::Bytes;

use crate::{MemberId, Membership};

/// Position of an entry in the log, from 1; 0 is the position before the first
/// entry.
pub type LogIndex = u64;

/// Election term; it never decreases.
pub type Term = u64;

/// One entry of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    /// Position in the log.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    #[prost(uint64, tag = "2")]
    pub term: Term,
    /// Empty for the no-op entry at the start of a leader's term.
    #[prost(oneof = "EntryPayload", tags = "3, 4")]
    pub payload: Option<EntryPayload>,
}

/// Payload of an entry.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EntryPayload {
    /// A command of the host's state machine.
    #[prost(bytes = "bytes", tag = "3")]
    Command(Bytes),
    /// The membership in force from this entry on.
    #[prost(message, tag = "4")]
    Membership(Membership),
}

impl LogEntry {
    /// Returns the host's command, if the entry contains one.
    pub fn command(&self) -> Option<&Bytes> {
        match &self.payload {
            Some(EntryPayload::Command(data)) => Some(data),
            _ => None,
        }
    }

    /// Returns the membership, if the entry changes it.
    pub fn membership(&self) -> Option<&Membership> {
        match &self.payload {
            Some(EntryPayload::Membership(membership)) => Some(membership),
            _ => None,
        }
    }
}

/// State beside the log that must survive a restart.
///
/// Term and vote are synced before the member sends a vote, a vote request or an
/// acknowledgement of entries in the term.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HardState {
    /// Latest term that the member has observed.
    #[prost(uint64, tag = "1")]
    pub term: Term,
    /// Candidate that received this member's vote in the term; 0 for none.
    #[prost(uint64, tag = "2")]
    pub vote: MemberId,
    /// Index of the last membership known to be committed; the log contains its
    /// entry, or a saved snapshot covers it.
    #[prost(uint64, tag = "3")]
    pub settled_membership: LogIndex,
    /// Members that are known to be defunct, each once: their disks were lost, so
    /// that they never act again. Ids are never taken out.
    #[prost(uint64, repeated, tag = "4")]
    pub defunct: Vec<MemberId>,
}

/// Extent of a snapshot: the part of the log that it replaces.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: Term,
    /// Members as of that entry.
    #[prost(message, required, tag = "3")]
    pub membership: Membership,
}

/// A complete snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SnapshotImage {
    /// Part of the log that it replaces.
    #[prost(message, required, tag = "1")]
    pub meta: SnapshotMeta,
    /// State of the state machine, encoded by the host.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}
