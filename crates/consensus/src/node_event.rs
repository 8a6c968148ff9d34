//! Inputs and outputs of a member.

use std::fmt;

use bytes::Bytes;

use crate::{
    ChangeRejection, HardState, LogEntry, LogIndex, MemberId, Membership, MembershipChange,
    PeerMessage, SnapshotImage, Term,
};

/// Numbers the persist batches of one run of a member; each is one more than
/// the last.
pub type PersistTicket = u64;

/// The host's name for a proposal, unique within one run of a member.
pub type ProposalId = u64;

/// The host's name for a read, unique within one run of a member.
pub type ReadId = u64;

/// What a member is told.
#[derive(Debug, Clone)]
pub enum NodeInput {
    /// The deadline has come.
    Timer,
    /// Founds a cluster of this member alone; ignored unless the log is empty
    /// and no other member was heard of.
    Found {
        /// Where other members will reach this one.
        address: Bytes,
    },
    /// A message came; messages for another member id are dropped.
    Message(PeerMessage),
    /// Every batch up to this ticket is synced.
    Persisted {
        /// The last synced ticket.
        ticket: PersistTicket,
    },
    /// A batch found the disk full and will be tried again. Until a batch is
    /// persisted the member takes no proposals and does not campaign; a leader
    /// tries to transfer its leadership.
    DiskFull,
    /// A write or sync failed; the member takes no further part in this run.
    StorageFailed,
    /// Asks for a command to be appended; `Apply` or `Rejected` or
    /// `OutcomeUnknown` follows.
    Propose {
        /// The proposal.
        proposal: ProposalId,
        /// The command.
        data: Bytes,
    },
    /// Asks for a membership change; answered like a proposal.
    ChangeMembership {
        /// The proposal.
        proposal: ProposalId,
        /// The change.
        change: MembershipChange,
    },
    /// Asks for an index that covers every write acknowledged so far.
    ReadIndex {
        /// The read.
        read: ReadId,
    },
    /// Asks a leader to hand its leadership to a voter.
    Transfer {
        /// The voter; the one with the longest log when it is not given.
        to: Option<MemberId>,
    },
    /// The host has encoded its state as `MakeSnapshot` asked.
    SnapshotMade {
        /// Index that `MakeSnapshot` named.
        index: LogIndex,
        /// The state.
        data: Bytes,
    },
    /// The snapshot that `SaveSnapshot` gave is synced.
    SnapshotSaved {
        /// Last entry that the snapshot covers.
        index: LogIndex,
    },
    /// The snapshot that `SaveSnapshot` gave could not be saved; the log keeps
    /// its entries. A later snapshot is tried.
    SnapshotUnsaved {
        /// Last entry that the snapshot covers.
        index: LogIndex,
    },
}

/// What a member asks of its host; carried out in order.
#[derive(Debug, Clone)]
pub enum NodeOutput {
    /// Sends a message; it may be lost.
    Send(PeerMessage),
    /// Writes and syncs a batch after all earlier ones.
    Persist(PersistBatch),
    /// Applies a committed entry to the state machine.
    Apply {
        /// The entry; indexes follow each other without a gap.
        entry: LogEntry,
        /// The proposal of this run that the entry answers.
        proposal: Option<ProposalId>,
    },
    /// Replaces the state machine's state.
    Restore(SnapshotImage),
    /// Asks for the state as of the last entry applied; `SnapshotMade`
    /// follows, at any later time.
    MakeSnapshot {
        /// Last entry applied.
        index: LogIndex,
    },
    /// Saves a snapshot apart from the log; `SnapshotSaved` follows.
    SaveSnapshot(SnapshotImage),
    /// The proposal was not appended and never will be.
    Rejected {
        /// The proposal.
        proposal: ProposalId,
        /// Why.
        reason: ProposalRejection,
    },
    /// The member leads no longer; the proposal may or may not be committed.
    OutcomeUnknown {
        /// The proposal.
        proposal: ProposalId,
    },
    /// At some moment after the read was asked a quorum confirmed this leader;
    /// the state may be read once `index` is applied.
    ReadConfirmed {
        /// The read.
        read: ReadId,
        /// Index that covers every write acknowledged before the read.
        index: LogIndex,
    },
    /// The read can't be confirmed here.
    ReadFailed {
        /// The read.
        read: ReadId,
        /// The leader as far as this member knows.
        leader: Option<MemberId>,
    },
    /// The member's role, term or leader changed.
    RoleChanged {
        /// The role.
        role: NodeRole,
        /// The term.
        term: Term,
        /// The leader as far as this member knows.
        leader: Option<MemberId>,
    },
    /// The members changed; the change may not be committed yet.
    MembershipChanged(Membership),
    /// The leadership was not taken over in time; this member leads on.
    TransferFailed,
}

/// The part that a member plays in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Takes no part since its storage failed.
    Failed,
}

/// Why a proposal was not appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalRejection {
    /// Another member leads, if any.
    NotLeader {
        /// The leader as far as this member knows.
        leader: Option<MemberId>,
    },
    /// The leadership is being transferred.
    Transferring,
    /// Too many bytes are uncommitted.
    Overloaded,
    /// The member's disk is full.
    DiskFull,
    /// The membership change does not fit.
    Change(ChangeRejection),
}

impl fmt::Display for ProposalRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposalRejection::NotLeader { .. } => f.write_str("this member does not lead"),
            ProposalRejection::Transferring => f.write_str("the leadership is being transferred"),
            ProposalRejection::Overloaded => f.write_str("too many bytes are uncommitted"),
            ProposalRejection::DiskFull => f.write_str("the disk is full"),
            ProposalRejection::Change(rejection) => rejection.fmt(f),
        }
    }
}

/// What is written and synced together.
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
