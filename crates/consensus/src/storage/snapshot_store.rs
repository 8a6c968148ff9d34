//! The latest snapshot of a member.
//!
//! A snapshot is written to a temporary file, synced and renamed; older ones are
//! removed afterwards, so that there is always a complete one.

use bytes::{Buf, Bytes};
use prost::Message;

use super::{write_atomically, FileStore, StorageError};
use crate::SnapshotImage;

const PREFIX: &str = "snapshot-";

/// Length in bytes of the checksum before the snapshot.
const HEADER_LEN: usize = 4;

/// Saves snapshots; used on a dedicated thread.
#[derive(Debug)]
pub struct SnapshotStore<S> {
    store: S,
    /// Set once a write or sync failed; nothing is written afterwards.
    failed: bool,
}

impl<S: FileStore> SnapshotStore<S> {
    pub(super) fn new(store: S) -> Self {
        SnapshotStore {
            store,
            failed: false,
        }
    }

    /// Saves a snapshot and removes older ones.
    ///
    /// # Errors
    /// After [`StorageError::DiskFull`] the earlier snapshot is still in
    /// place. Any other error is final for this run of the member.
    pub fn save(&mut self, image: &SnapshotImage) -> Result<(), StorageError> {
        let name = file_name(image.meta.index);
        if self.failed {
            return Err(StorageError::Failed {
                context: name,
                source: None,
            });
        }
        let mut content = vec![0; HEADER_LEN];
        image
            .encode(&mut content)
            .expect("a vector grows as needed");
        let crc = crc32fast::hash(&content[HEADER_LEN..]);
        content[..HEADER_LEN].copy_from_slice(&crc.to_be_bytes());
        let saved =
            write_atomically(&self.store, &name, &content).and_then(|()| self.remove_old(&name));
        self.failed = matches!(saved, Err(StorageError::Failed { .. }));
        saved
    }

    fn remove_old(&self, latest: &str) -> Result<(), StorageError> {
        let names = self
            .store
            .list()
            .map_err(|err| StorageError::failed(PREFIX, err))?;
        for name in snapshot_names(&names).filter(|name| name.as_str() < latest) {
            self.store
                .remove(name)
                .map_err(|err| StorageError::failed(name, err))?;
        }
        Ok(())
    }
}

/// Reads the latest snapshot.
pub(super) fn read_latest_snapshot<S: FileStore>(
    store: &S,
    names: &[String],
) -> Result<Option<SnapshotImage>, StorageError> {
    let Some(name) = snapshot_names(names).last() else {
        return Ok(None);
    };
    let content = store
        .read(name)
        .map_err(|err| StorageError::failed(name, err))?;
    match decode_image(Bytes::from(content)) {
        Some(image) => Ok(Some(image)),
        None => Err(StorageError::Corrupt {
            file: name.clone(),
            offset: 0,
            reason: "the snapshot has a wrong checksum or encoding",
        }),
    }
}

fn snapshot_names(names: &[String]) -> impl Iterator<Item = &String> {
    let is_complete = |name: &&String| name.starts_with(PREFIX) && !name.ends_with(".part");
    names.iter().filter(is_complete)
}

fn decode_image(mut content: Bytes) -> Option<SnapshotImage> {
    if content.len() < HEADER_LEN {
        return None;
    }
    let crc = content.get_u32();
    if crc32fast::hash(&content) != crc {
        return None;
    }
    SnapshotImage::decode(content).ok()
}

fn file_name(index: u64) -> String {
    format!("{PREFIX}{index:020}")
}
