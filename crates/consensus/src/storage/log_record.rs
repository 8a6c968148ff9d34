//! Records of a segment file.
//!
//! A record consists of the length of its body and the CRC-32 of its body, both
//! four bytes in network order, and the body. Files are append-only: entries
//! that a new leader replaces are dropped by a `Truncate` record.

use bytes::{Buf, Bytes};
use prost::Message;

use crate::{HardState, LogEntry, LogIndex};

/// Length in bytes of the header before the body of a record.
const HEADER_LEN: usize = 8;

/// Maximum body length of a `Synced` record: a tag and a varint of ten bytes.
const SYNCED_LEN_MAX: u32 = 11;

/// A record of a segment file.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LogRecord {
    #[prost(oneof = "RecordBody", tags = "1, 2, 3, 4")]
    pub(super) body: Option<RecordBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(super) enum RecordBody {
    /// The next entry.
    #[prost(message, tag = "1")]
    Entry(LogEntry),
    /// Replaces the hard state; the first record of every segment.
    #[prost(message, tag = "2")]
    HardState(HardState),
    /// Drops the entries from this index on.
    #[prost(uint64, tag = "3")]
    Truncate(LogIndex),
    /// The first record of every write: all bytes of the file before this length
    /// were synced when the write started.
    #[prost(uint64, tag = "4")]
    Synced(u64),
}

/// Appends a record to a buffer.
pub(super) fn encode_record(body: RecordBody, buf: &mut Vec<u8>) {
    let record = LogRecord { body: Some(body) };
    let start = buf.len();
    buf.extend_from_slice(&[0; HEADER_LEN]);
    record.encode(buf).expect("a vector grows as needed");
    let body = &buf[start + HEADER_LEN..];
    let len = u32::try_from(body.len()).expect("an entry is shorter than 4 GiB");
    let crc = crc32fast::hash(body);
    buf[start..start + 4].copy_from_slice(&len.to_be_bytes());
    buf[start + 4..start + HEADER_LEN].copy_from_slice(&crc.to_be_bytes());
}

/// A record and its encoded length in bytes.
pub(super) struct SizedRecord {
    pub(super) body: RecordBody,
    pub(super) len: usize,
}

/// Decodes the record at the start of `content`; returns `None` if it is
/// incomplete or invalid.
pub(super) fn decode_record(content: &Bytes) -> Option<SizedRecord> {
    let mut header = content.get(..HEADER_LEN)?;
    let len = usize::try_from(header.get_u32()).ok()?;
    let crc = header.get_u32();
    let end = HEADER_LEN.checked_add(len)?;
    if end > content.len() {
        return None;
    }
    let data = content.slice(HEADER_LEN..end);
    if crc32fast::hash(&data) != crc {
        return None;
    }
    let record = LogRecord::decode(data).ok()?;
    Some(SizedRecord {
        body: record.body?,
        len: end,
    })
}

/// Decodes a `Synced` record at the start of `content`.
///
/// The length is checked first, so that a scan of all offsets takes linear time.
pub(super) fn decode_synced(content: &Bytes) -> Option<u64> {
    let len = content.get(..4)?.get_u32();
    if len > SYNCED_LEN_MAX {
        return None;
    }
    match decode_record(content)?.body {
        RecordBody::Synced(synced) => Some(synced),
        _ => None,
    }
}
