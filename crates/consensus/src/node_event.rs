//! Inputs and outputs of a member.

use std::fmt;

use bytes::Bytes;

use crate::{
    ChangeRejection, HardState, LogEntry, LogIndex, MemberId, Membership, MembershipChange,
    PeerMessage, SnapshotImage, Term,
};

/// Sequence number of a persist batch within one run of a member, rising by one
/// from batch to batch.
pub type PersistTicket = u64;

/// The host's id of a proposal, unique within one run of a member.
pub type ProposalId = u64;

/// The host's id of a read, unique within one run of a member.
pub type ReadId = u64;

/// An input of a member.
#[derive(Debug, Clone)]
pub enum NodeInput {
    /// The deadline has passed.
    Timer,
    /// Bootstraps a cluster with this member as its only member; ignored unless
    /// the log is empty, the term is 0 and no leader is known.
    Bootstrap {
        /// Address at which other members will reach this one.
        address: Bytes,
    },
    /// A message was received; messages for another member id and those of defunct
    /// members are dropped.
    Message(PeerMessage),
    /// A member is defunct: its disk was lost and its process has ended, so that it
    /// will never send, vote or acknowledge anything again.
    ///
    /// The host has proof of it for this very id; that it doesn't respond, or that
    /// its name or address is in use elsewhere, is none. Losing acknowledged entries
    /// is possible if two defunct members of one membership act again.
    MemberDefunct {
        /// The member.
        id: MemberId,
    },
    /// Every batch up to this ticket is synced.
    Persisted {
        /// The last synced ticket.
        ticket: PersistTicket,
    },
    /// The disk was full when a batch was written; the write will be retried.
    /// Until a batch is persisted the member rejects proposals and does not
    /// campaign; a leader tries to transfer its leadership.
    DiskFull,
    /// A write or sync failed; the member stops participating for this run.
    StorageFailed,
    /// Requests that a command be appended; `Apply`, `Rejected` or
    /// `OutcomeUnknown` follows.
    Propose {
        /// The proposal.
        proposal: ProposalId,
        /// The command.
        data: Bytes,
    },
    /// Requests a membership change; the outputs are those of a proposal.
    ChangeMembership {
        /// The proposal.
        proposal: ProposalId,
        /// The change.
        change: MembershipChange,
    },
    /// Requests an index that covers every write acknowledged so far.
    ReadIndex {
        /// The read.
        read: ReadId,
    },
    /// Requests that the leader transfer its leadership to a voter.
    Transfer {
        /// The voter. By default the one that responded to the most recent
        /// heartbeat round and, among several, the one with the longest log.
        to: Option<MemberId>,
    },
    /// The host has encoded its state as requested by `EncodeSnapshot`.
    SnapshotEncoded {
        /// Index from `EncodeSnapshot`.
        index: LogIndex,
        /// The state.
        data: Bytes,
    },
    /// The snapshot of `SaveSnapshot` is synced.
    SnapshotSaved {
        /// Last entry that the snapshot covers.
        index: LogIndex,
    },
    /// The snapshot of `SaveSnapshot` could not be saved. The log retains its
    /// entries, and a later snapshot will be attempted.
    SnapshotSaveFailed {
        /// Last entry that the snapshot covers.
        index: LogIndex,
    },
}

/// An output of a member; the host carries outputs out in order.
#[derive(Debug, Clone)]
pub enum NodeOutput {
    /// Sends a message; it may be lost.
    Send(PeerMessage),
    /// Writes and syncs a batch after all earlier ones.
    Persist(PersistBatch),
    /// Applies a committed entry to the state machine.
    Apply {
        /// The entry; indexes are consecutive.
        entry: LogEntry,
        /// The proposal of this run that created the entry.
        proposal: Option<ProposalId>,
    },
    /// Replaces the state machine's state.
    Restore(SnapshotImage),
    /// Requests the state as of the last entry applied; the host replies with
    /// `SnapshotEncoded` at any later time.
    EncodeSnapshot {
        /// Last entry applied.
        index: LogIndex,
    },
    /// Saves a snapshot separately from the log; the host replies with
    /// `SnapshotSaved` or `SnapshotSaveFailed`.
    SaveSnapshot(SnapshotImage),
    /// The proposal was not appended and never will be.
    Rejected {
        /// The proposal.
        proposal: ProposalId,
        /// The reason.
        reason: ProposalRejection,
    },
    /// The member is no longer the leader; the proposal may or may not be
    /// committed.
    OutcomeUnknown {
        /// The proposal.
        proposal: ProposalId,
    },
    /// A quorum confirmed this leader at some point after the read was
    /// requested; the state may be read once `index` is applied.
    ReadConfirmed {
        /// The read.
        read: ReadId,
        /// Index that covers every write acknowledged before the read.
        index: LogIndex,
    },
    /// The read can't be confirmed by this member.
    ReadFailed {
        /// The read.
        read: ReadId,
        /// The leader known to this member.
        leader: Option<MemberId>,
    },
    /// The member's role, term or leader changed.
    RoleChanged {
        /// The role.
        role: NodeRole,
        /// The term.
        term: Term,
        /// The leader known to this member.
        leader: Option<MemberId>,
    },
    /// The membership changed; the change may not be committed yet.
    MembershipChanged(Membership),
    /// A leadership transfer could not be started, or it timed out; if this
    /// member is the leader, it remains so.
    TransferFailed,
}

/// Role of a member in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Requests pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates entries to the other members.
    Leader,
    /// Does not participate, because its storage failed.
    Failed,
}

/// Reason why a proposal was not appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalRejection {
    /// This member is not the leader.
    NotLeader {
        /// The leader known to this member.
        leader: Option<MemberId>,
    },
    /// The leadership is being transferred.
    Transferring,
    /// Too many bytes are uncommitted.
    Overloaded,
    /// The member's disk is full.
    DiskFull,
    /// The membership change is not possible.
    Change(ChangeRejection),
}

impl fmt::Display for ProposalRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposalRejection::NotLeader { .. } => f.write_str("this member is not the leader"),
            ProposalRejection::Transferring => f.write_str("the leadership is being transferred"),
            ProposalRejection::Overloaded => f.write_str("too many bytes are uncommitted"),
            ProposalRejection::DiskFull => f.write_str("the disk is full"),
            ProposalRejection::Change(rejection) => rejection.fmt(f),
        }
    }
}

/// State that is written and synced together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PersistBatch {
    /// Number of the batch.
    pub ticket: PersistTicket,
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// Entries from this index on are dropped before `entries` are written.
    pub truncate_from: Option<LogIndex>,
    /// Entries up to this index are covered by a saved snapshot and no longer
    /// needed.
    pub compact_to: Option<LogIndex>,
    /// Consecutive entries.
    pub entries: Vec<LogEntry>,
}
