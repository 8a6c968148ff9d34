//! The file with the id of the member that owns a folder.
//!
//! The file is written after the first segment. A folder that has the file but
//! no segment has lost its log, and with it the votes of its member, so opening
//! it fails. An empty folder is initialized for a new member.

use super::{write_atomically, FileStore, StorageError};
use crate::MemberId;

pub(super) const MEMBER_FILE: &str = "member";

const FILE_LEN: usize = 12;

/// Reads the id; returns `None` when the folder is new.
pub(super) fn read_member<S: FileStore>(
    store: &S,
    names: &[String],
) -> Result<Option<MemberId>, StorageError> {
    if !names.iter().any(|name| name == MEMBER_FILE) {
        return Ok(None);
    }
    let content = store
        .read(MEMBER_FILE)
        .map_err(|err| StorageError::failed(MEMBER_FILE, err))?;
    match decode_member(&content) {
        Some(member) => Ok(Some(member)),
        None => Err(StorageError::Corrupt {
            file: MEMBER_FILE.to_owned(),
            offset: 0,
            reason: "the member id has a wrong length or checksum",
        }),
    }
}

/// Writes the id of a new folder.
pub(super) fn write_member<S: FileStore>(store: &S, member: MemberId) -> Result<(), StorageError> {
    let id = member.to_be_bytes();
    let mut content = Vec::with_capacity(FILE_LEN);
    content.extend_from_slice(&id);
    content.extend_from_slice(&crc32fast::hash(&id).to_be_bytes());
    write_atomically(store, MEMBER_FILE, &content)
}

fn decode_member(content: &[u8]) -> Option<MemberId> {
    let content: &[u8; FILE_LEN] = content.try_into().ok()?;
    let (id, crc) = content.split_at(8);
    if crc32fast::hash(id).to_be_bytes() != crc {
        return None;
    }
    Some(MemberId::from_be_bytes(id.try_into().ok()?))
}
