//! Messages between members and their encoding.
//!
//! Messages may be lost, delayed, repeated and reordered. The addresses are
//! part of a message, so that one meant for a member that lost its disk is
//! not taken by its successor at the same address.

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
    /// The rest.
    #[prost(oneof = "MessageBody", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub body: Option<MessageBody>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum MessageBody {
    /// Asks for a vote or a pre-vote.
    #[prost(message, tag = "10")]
    VoteRequest(VoteRequest),
    /// Answers it.
    #[prost(message, tag = "11")]
    VoteResponse(VoteResponse),
    /// Carries entries.
    #[prost(message, tag = "12")]
    AppendRequest(AppendRequest),
    /// Answers it, and any message of an earlier term's leader.
    #[prost(message, tag = "13")]
    AppendResponse(AppendResponse),
    /// Makes a leader heard.
    #[prost(message, tag = "14")]
    HeartbeatRequest(HeartbeatRequest),
    /// Answers it.
    #[prost(message, tag = "15")]
    HeartbeatResponse(HeartbeatResponse),
    /// Carries a part of a snapshot.
    #[prost(message, tag = "16")]
    SnapshotChunk(SnapshotChunk),
    /// Answers it.
    #[prost(message, tag = "17")]
    SnapshotResponse(SnapshotResponse),
    /// Asks the receiver to campaign at once.
    #[prost(message, tag = "18")]
    TimeoutNow(TimeoutNow),
}

/// Asks for a vote.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteRequest {
    /// Only asks whether the vote would be granted.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// The leader asked for the election itself.
    #[prost(bool, tag = "2")]
    pub transfer: bool,
    /// Candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "4")]
    pub last_term: Term,
}

/// Answers a [`VoteRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VoteResponse {
    /// As in the request.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is given.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Carries entries; none when a leader looks for the place where logs match.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Entry before the first one carried.
    #[prost(uint64, tag = "1")]
    pub prev_index: LogIndex,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: Term,
    /// Last entry that the leader knows to be committed.
    #[prost(uint64, tag = "3")]
    pub commit: LogIndex,
    /// Consecutive entries.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<LogEntry>,
}

/// Answers an [`AppendRequest`] once its entries are synced.
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

/// Makes a leader heard.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HeartbeatRequest {
    /// Number of the heartbeat round, rising within a term.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Last committed entry that the receiver is known to have.
    #[prost(uint64, tag = "2")]
    pub commit: LogIndex,
}

/// Answers a [`HeartbeatRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HeartbeatResponse {
    /// As in the request.
    #[prost(uint64, tag = "1")]
    pub round: u64,
}

/// Carries a part of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// The snapshot.
    #[prost(message, required, tag = "1")]
    pub meta: SnapshotMeta,
    /// Bytes of the whole state.
    #[prost(uint64, tag = "2")]
    pub len: u64,
    /// CRC-32 of the whole state.
    #[prost(uint32, tag = "3")]
    pub crc: u32,
    /// Place of the first byte carried.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

/// Answers a [`SnapshotChunk`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SnapshotResponse {
    /// Last entry of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: LogIndex,
    /// First byte that the receiver lacks.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// The snapshot is saved and in use.
    #[prost(bool, tag = "3")]
    pub done: bool,
}

/// Asks the receiver to campaign at once.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TimeoutNow {}

impl PeerMessage {
    /// Decodes a message that came from another member.
    ///
    /// # Errors
    /// Fails when the bytes are no message.
    pub fn from_bytes(data: Bytes) -> Result<Self, DecodeError> {
        PeerMessage::decode(data)
    }

    /// Encodes the message for another member.
    pub fn to_bytes(&self) -> Bytes {
        Bytes::from(self.encode_to_vec())
    }
}
