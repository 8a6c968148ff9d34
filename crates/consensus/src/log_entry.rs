//! What a member keeps: entries of the log, the hard state and the snapshot.
//!
//! The types are their own encoding, on the wire and on disk.

use bytes::Bytes;

use crate::{MemberId, Membership};

/// Place of an entry in the log; the first is 1, 0 stands before it.
pub type LogIndex = u64;

/// Number of an election; it only rises.
pub type Term = u64;

/// One entry of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    /// Place in the log.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    #[prost(uint64, tag = "2")]
    pub term: Term,
    /// Empty for the entry that opens a leader's term.
    #[prost(oneof = "EntryPayload", tags = "3, 4")]
    pub payload: Option<EntryPayload>,
}

/// What an entry carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum EntryPayload {
    /// A command of the host's state machine.
    #[prost(bytes = "bytes", tag = "3")]
    Command(Bytes),
    /// The members from this entry on.
    #[prost(message, tag = "4")]
    Membership(Membership),
}

impl LogEntry {
    /// Returns the host's command, if the entry carries one.
    pub fn command(&self) -> Option<&Bytes> {
        match &self.payload {
            Some(EntryPayload::Command(data)) => Some(data),
            _ => None,
        }
    }

    /// Returns the members, if the entry changes them.
    pub fn membership(&self) -> Option<&Membership> {
        match &self.payload {
            Some(EntryPayload::Membership(membership)) => Some(membership),
            _ => None,
        }
    }
}

/// What a member must remember of elections.
///
/// It is synced before any message of the term is sent.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HardState {
    /// Latest term that the member has seen.
    #[prost(uint64, tag = "1")]
    pub term: Term,
    /// Member that got this member's vote in the term; 0 for none.
    #[prost(uint64, tag = "2")]
    pub vote: MemberId,
}

/// What a snapshot replaces.
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

/// A whole snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SnapshotImage {
    /// What it replaces.
    #[prost(message, required, tag = "1")]
    pub meta: SnapshotMeta,
    /// The state machine as the host encoded it.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}
