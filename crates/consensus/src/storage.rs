//! A member's state on disk.
//!
//! Purpose: [`LogStorage`] stores the hard state and the log in segment files,
//! [`SnapshotStore`] stores the latest snapshot, and a separate file stores the
//! member id. All files are accessed through a [`FileStore`], so that a fake can
//! simulate a full disk, a failed sync, a torn write or the loss of unsynced
//! data.
//!
//! Guarantees: persisted state is recovered after a crash, or recovery fails
//! with the location of the damage; a torn tail is truncated; a full disk leaves
//! the state unchanged and the same batches may be persisted again; after any
//! other failed write or sync nothing more is written in this run.

mod file_store;
mod log_record;
mod log_recovery;
mod log_storage;
mod member_file;
mod snapshot_store;

use std::fmt;
use std::io;

pub use file_store::{FileStore, FolderStore, StoreFile};
pub use log_storage::LogStorage;
pub use snapshot_store::SnapshotStore;

use crate::{HardState, LogEntry, MemberId, SnapshotImage};

/// Content of a member's folder at its start.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct RecoveredState {
    /// The member that owns the folder.
    pub member: MemberId,
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<SnapshotImage>,
    /// All entries after the snapshot, consecutive.
    pub entries: Vec<LogEntry>,
    /// Bytes of a torn write that were truncated.
    pub torn_bytes: u64,
}

/// Error of a storage operation.
#[derive(Debug)]
pub enum StorageError {
    /// The disk is full; nothing was changed and the call may be repeated.
    DiskFull,
    /// A write or sync failed; the content of the disk is unknown, and the
    /// storage accepts no more writes in this run.
    Failed {
        /// File or operation that failed.
        context: String,
        /// Cause; `None` when an earlier call failed.
        source: Option<io::Error>,
    },
    /// Synced content is damaged or missing.
    Corrupt {
        /// File name.
        file: String,
        /// Byte at which the damage starts.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StorageError::DiskFull => f.write_str("the disk is full"),
            StorageError::Failed { context, source } => match source {
                Some(err) => write!(f, "{context}: {err}"),
                None => write!(f, "{context}: an earlier write failed"),
            },
            StorageError::Corrupt {
                file,
                offset,
                reason,
            } => write!(f, "{file}, byte {offset}: {reason}"),
        }
    }
}

impl std::error::Error for StorageError {}

impl StorageError {
    fn failed(context: &str, source: io::Error) -> Self {
        StorageError::Failed {
            context: context.to_owned(),
            source: Some(source),
        }
    }

    /// Converts the error of a write, and distinguishes a full disk.
    fn from_write_error(context: &str, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StorageError::DiskFull,
            _ => StorageError::failed(context, source),
        }
    }
}

/// Writes and syncs a temporary file, renames it to `name` and syncs the folder.
fn write_atomically<S: FileStore>(
    store: &S,
    name: &str,
    content: &[u8],
) -> Result<(), StorageError> {
    let part_name = format!("{name}.part");
    let written = store
        .create(&part_name)
        .and_then(|mut file| file.append(content).map(|()| file));
    let mut file = match written {
        Ok(file) => file,
        Err(err) => {
            // The partial file is removed at the next start if this fails too.
            let _ = store.remove(&part_name);
            return Err(StorageError::from_write_error(&part_name, err));
        }
    };
    file.sync()
        .and_then(|()| store.rename(&part_name, name))
        .and_then(|()| store.sync_folder())
        .map_err(|err| StorageError::failed(name, err))
}
