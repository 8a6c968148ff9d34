//! Messages between members and their encoding.
//!
//! Messages may be lost, delayed, duplicated and reordered. Each message
//! contains the ids of sender and receiver, so that a message to a member that
//! lost its disk is not handled by its replacement at the same address.

use bytes::Bytes;
use prost::{DecodeError, Message};

use crate::{LogEntry, LogIndex, MemberId, SnapshotMeta, Term};

/// One message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// Sender.
    #[prost(uint64, tag = "1")]
    pub from: MemberId,
    /// Receiver.
    #[prost(uint64, tag = "2")]
    pub to: MemberId,
    /// Sender's term; in a pre-vote the term that the sender would campaign in.
    #[prost(uint64, tag = "3")]
    pub term: Term,
    /// Content of the message.
    #[prost(oneof = "MessageBody", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub body: Option<MessageBody>,
}

/// Content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum MessageBody {
    /// Requests a vote or a pre-vote.
    #[prost(message, tag = "10")]
    VoteRequest(VoteRequest),
    /// Responds to a vote request.
    #[prost(message, tag = "11")]
    VoteResponse(VoteResponse),
    /// Replicates entries.
    #[prost(message, tag = "12")]
    AppendRequest(AppendRequest),
    /// Responds to an append request, and to any message of an earlier term's
    /// leader.
    #[prost(message, tag = "13")]
    AppendResponse(AppendResponse),
    /// Heartbeat of the leader.
    #[prost(message, tag = "14")]
    HeartbeatRequest(HeartbeatRequest),
    /// Responds to a heartbeat.
    #[prost(message, tag = "15")]
    HeartbeatResponse(HeartbeatResponse),
    /// Contains a part of a snapshot.
    #[prost(message, tag = "16")]
    SnapshotChunk(SnapshotChunk),
    /// Responds to a chunk.
    #[prost(message, tag = "17")]
    SnapshotResponse(SnapshotResponse),
    /// Requests that the receiver campaign at once.
    #[prost(message, tag = "18")]
    TimeoutNow(TimeoutNow),
}

/// Requests a vote.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteRequest {
    /// The request is a pre-vote, which only asks whether the vote would be
    /// granted.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// The leader itself requested the election.
    #[prost(bool, tag = "2")]
    pub transfer: bool,
    /// Candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "4")]
    pub last_term: Term,
}

/// Responds to a [`VoteRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteResponse {
    /// As in the request.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Replicates entries; may have none when the leader sends a commit index or
/// probes for the position up to which the logs match.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Index of the entry before `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: Term,
    /// Last entry known to the leader to be committed.
    #[prost(uint64, tag = "3")]
    pub commit: LogIndex,
    /// Consecutive entries.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<LogEntry>,
}

/// Responds to an [`AppendRequest`]; an acknowledgement is sent once the entries
/// are synced.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AppendResponse {
    /// Whether `prev_index` did not match.
    #[prost(bool, tag = "1")]
    pub rejected: bool,
    /// Last entry that matches and is synced; when rejected, the request's
    /// `prev_index`.
    #[prost(uint64, tag = "2")]
    pub index: LogIndex,
    /// When rejected, the last entry that may match.
    #[prost(uint64, tag = "3")]
    pub hint_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "4")]
    pub hint_term: Term,
}

/// Heartbeat of the leader.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HeartbeatRequest {
    /// Number of the heartbeat round, ascending within a term.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Last committed entry that the receiver is known to have.
    #[prost(uint64, tag = "2")]
    pub commit: LogIndex,
}

/// Responds to a [`HeartbeatRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HeartbeatResponse {
    /// As in the request.
    #[prost(uint64, tag = "1")]
    pub round: u64,
}

/// Contains a part of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// The snapshot.
    #[prost(message, required, tag = "1")]
    pub meta: SnapshotMeta,
    /// Length of the complete state in bytes.
    #[prost(uint64, tag = "2")]
    pub len: u64,
    /// CRC-32 of the complete state.
    #[prost(uint32, tag = "3")]
    pub crc: u32,
    /// Offset of `data` in the state.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

/// Responds to a [`SnapshotChunk`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotResponse {
    /// Last entry of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// Offset of the first byte that the receiver lacks.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The snapshot is saved and in use.
    #[prost(bool, tag = "3")]
    pub done: bool,
}

/// Requests that the receiver campaign at once.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TimeoutNow {}

impl PeerMessage {
    /// Decodes a message from another member.
    ///
    /// # Errors
    /// Fails when the bytes are not a valid message.
    pub fn from_bytes(data: Bytes) -> Result<Self, DecodeError> {
        PeerMessage::decode(data)
    }

    /// Encodes the message for another member.
    pub fn to_bytes(&self) -> Bytes {
        Bytes::from(self.encode_to_vec())
    }
}
