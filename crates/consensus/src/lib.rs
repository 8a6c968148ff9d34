//! The replicated log: election, replication, snapshots and membership.
//!
//! Purpose: the members of a cluster agree on one sequence of commands. The
//! core, [`ConsensusNode`], is a pure state machine: it handles an input at an
//! instant and appends outputs. It owns no clock, socket, thread, file or
//! unseeded randomness. [`LogStorage`] stores a member's state in one folder.
//!
//! Guarantees: at most one leader in each term; a committed entry is never
//! lost or changed; every member applies the same entries in the same order;
//! nothing is acknowledged before a quorum has synced it; a confirmed read
//! index covers every write acknowledged before the read was requested.
//!
//! Algorithm: Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014)
//! with pre-vote (section 9.6), check-quorum (6.2), leadership transfer
//! (3.10), one-at-a-time membership change (4.1 to 4.3), read index and leader
//! lease (6.4), and batched, pipelined replication (10.2).
//!
//! Contract of the host:
//! 1. [`LogStorage::open`] returns the storage and the [`RecoveredState`]; the
//!    host restores its state machine from the snapshot, if there is one, and
//!    calls [`ConsensusNode::open`].
//! 2. Exactly one member of a new cluster receives [`NodeInput::Bootstrap`].
//! 3. Outputs are carried out in order. [`NodeOutput::Persist`] goes to a
//!    storage thread, which writes all queued batches, syncs once and reports
//!    the last ticket with [`NodeInput::Persisted`].
//!    [`NodeOutput::SaveSnapshot`] goes to the [`SnapshotStore`] on another
//!    thread, so that commits do not wait for it.
//! 4. [`NodeInput::Timer`] is passed no later than [`ConsensusNode::deadline`]
//!    plus the host's delay.

mod log_entry;
mod membership;
mod node;
mod node_config;
mod node_event;
mod peer_message;
mod peer_progress;
mod replicated_log;
mod storage;

pub use log_entry::{
    EntryPayload, HardState, LogEntry, LogIndex, SnapshotImage, SnapshotMeta, Term,
};
pub use membership::{ChangeRejection, MemberId, MemberRecord, Membership, MembershipChange};
pub use node::ConsensusNode;
pub use node_config::NodeConfig;
pub use node_event::{
    NodeInput, NodeOutput, NodeRole, PersistBatch, PersistTicket, ProposalId, ProposalRejection,
    ReadId,
};
pub use peer_message::{
    AppendRequest, AppendResponse, HeartbeatRequest, HeartbeatResponse, MessageBody, PeerMessage,
    SnapshotChunk, SnapshotResponse, TimeoutNow, VoteRequest, VoteResponse,
};
pub use storage::{
    FileStore, FolderStore, LogStorage, RecoveredState, SnapshotStore, StorageError, StoreFile,
};
