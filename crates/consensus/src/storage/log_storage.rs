//! The hard state and the log of a member, in segment files.
//!
//! All batches of a call are written and synced together (group commit). A new
//! segment is started when the last one has reached [`SEGMENT_BYTES`]; a segment
//! is removed when a snapshot covers all of its entries.

use std::io;

use super::log_record::{encode_record, RecordBody};
use super::log_recovery::{RecoveredLog, SegmentInfo, SEGMENT_PREFIX};
use super::member_file::{read_member, write_member};
use super::snapshot_store::read_latest_snapshot;
use super::{FileStore, RecoveredState, SnapshotStore, StorageError, StoreFile};
use crate::{HardState, LogIndex, MemberId, PersistBatch, PersistTicket};

/// Length in bytes at which a new segment is started.
pub const SEGMENT_BYTES: u64 = 8 << 20;

/// The open log of one folder.
#[derive(Debug)]
pub struct LogStorage<S: FileStore> {
    store: S,
    /// The last segment's file.
    file: S::File,
    /// Never empty; records are appended to the last one.
    segments: Vec<SegmentInfo>,
    /// As last written; it becomes the first record of the next segment.
    hard_state: HardState,
    /// Set once a write or sync failed; nothing is written afterwards.
    failed: bool,
    buf: Vec<u8>,
}

impl<S: FileStore + Clone> LogStorage<S> {
    /// Opens a folder and recovers its content.
    ///
    /// `new_member` becomes the folder's member when the folder is empty; it
    /// must be random and not 0.
    ///
    /// # Errors
    /// Fails when the folder can't be accessed, or when synced content is damaged
    /// or missing; such a folder must be discarded and its member replaced.
    pub fn open(store: S, new_member: MemberId) -> Result<(Self, RecoveredState), StorageError> {
        let names = store
            .list()
            .map_err(|err| StorageError::failed("folder", err))?;
        remove_partial_files(&store, &names)?;
        let member = read_member(&store, &names)?;
        let snapshot = read_latest_snapshot(&store, &names)?;
        let mut log = match member {
            Some(_) => RecoveredLog::read(&store, &names)?,
            None => create_log(&store, &names)?,
        };
        if log.segments.is_empty() {
            return Err(corrupt_log("the folder has a member file but no log"));
        }
        let was_reset = log
            .trim_to_snapshot(snapshot.as_ref())
            .map_err(corrupt_log)?;
        if member.is_none() {
            write_member(&store, new_member)?;
        }
        let recovered = RecoveredState {
            member: member.unwrap_or(new_member),
            hard_state: log.hard_state.clone(),
            snapshot,
            torn_bytes: log.torn_bytes,
            entries: log.entries,
        };
        let mut storage = LogStorage::resume(store, log.segments, log.hard_state)?;
        if was_reset {
            storage.write_reset()?;
        }
        Ok((storage, recovered))
    }

    /// Returns the store of this folder's snapshots, for use on another thread.
    pub fn snapshot_store(&self) -> SnapshotStore<S> {
        SnapshotStore::new(self.store.clone())
    }

    /// Reopens the last segment, and truncates a torn tail.
    fn resume(
        store: S,
        segments: Vec<SegmentInfo>,
        hard_state: HardState,
    ) -> Result<Self, StorageError> {
        let last = segments.last().expect("a log has a segment");
        let name = last.file_name();
        let file = store
            .open(&name)
            .and_then(|mut file| {
                file.set_len(last.len)?;
                file.sync()?;
                Ok(file)
            })
            .map_err(|err| StorageError::failed(&name, err))?;
        Ok(LogStorage {
            store,
            file,
            segments,
            hard_state,
            failed: false,
            buf: Vec::new(),
        })
    }

    /// Drops all entries from the log on disk.
    fn write_reset(&mut self) -> Result<(), StorageError> {
        let batch = PersistBatch {
            truncate_from: Some(1),
            ..PersistBatch::default()
        };
        self.persist(&[batch]).map(|_| ())
    }
}

impl<S: FileStore> LogStorage<S> {
    /// Writes all batches and syncs them together; returns the last ticket.
    ///
    /// # Errors
    /// After [`StorageError::DiskFull`] none of the batches was written; the
    /// caller must pass them again. Any other error is final for this run of the
    /// member.
    pub fn persist(&mut self, batches: &[PersistBatch]) -> Result<PersistTicket, StorageError> {
        if self.failed {
            return Err(StorageError::Failed {
                context: "log".to_owned(),
                source: None,
            });
        }
        let persisted = self.persist_all(batches);
        self.failed = matches!(persisted, Err(StorageError::Failed { .. }));
        persisted
    }

    /// Returns the total length of all segments in bytes.
    pub fn byte_len(&self) -> u64 {
        self.segments.iter().map(|segment| segment.len).sum()
    }

    fn persist_all(&mut self, batches: &[PersistBatch]) -> Result<PersistTicket, StorageError> {
        if self.current().len >= SEGMENT_BYTES {
            self.start_segment()?;
        }
        let last_index = self.encode(batches);
        self.write_buf()?;
        let mut hard_states = batches.iter().filter_map(|batch| batch.hard_state.as_ref());
        if let Some(hard_state) = hard_states.next_back() {
            self.hard_state.clone_from(hard_state);
        }
        let current = self.current_mut();
        current.last_index = current.last_index.max(last_index);
        if let Some(index) = batches.iter().filter_map(|batch| batch.compact_to).max() {
            self.remove_segments(index)?;
        }
        Ok(batches.last().map_or(0, |batch| batch.ticket))
    }

    /// Encodes the batches; returns the greatest index among them.
    fn encode(&mut self, batches: &[PersistBatch]) -> LogIndex {
        let synced = self.current().len;
        self.buf.clear();
        encode_record(RecordBody::Synced(synced), &mut self.buf);
        let mut last_index = 0;
        for batch in batches {
            if let Some(hard_state) = &batch.hard_state {
                encode_record(RecordBody::HardState(hard_state.clone()), &mut self.buf);
            }
            if let Some(from) = batch.truncate_from {
                encode_record(RecordBody::Truncate(from), &mut self.buf);
            }
            for entry in &batch.entries {
                last_index = last_index.max(entry.index);
                encode_record(RecordBody::Entry(entry.clone()), &mut self.buf);
            }
        }
        last_index
    }

    fn write_buf(&mut self) -> Result<(), StorageError> {
        let name = self.current().file_name();
        let len = self.current().len;
        if let Err(err) = self.file.append(&self.buf) {
            let cause = StorageError::from_write_error(&name, err);
            self.file
                .set_len(len)
                .map_err(|err| StorageError::failed(&name, err))?;
            return Err(cause);
        }
        // If a full disk is detected only here, any part of the write may be lost.
        self.file
            .sync()
            .map_err(|err| StorageError::failed(&name, err))?;
        self.current_mut().len += self.buf.len() as u64;
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let sequence = self.current().sequence + 1;
        let (file, segment) = create_segment(&self.store, sequence, self.hard_state.clone())?;
        self.file = file;
        self.segments.push(segment);
        Ok(())
    }

    /// Removes the leading segments that contain no entry after `index`.
    fn remove_segments(&mut self, index: LogIndex) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let name = self.segments[0].file_name();
            // Each removal is synced, so that a crash can't leave a gap.
            self.store
                .remove(&name)
                .and_then(|()| self.store.sync_folder())
                .map_err(|err| StorageError::failed(&name, err))?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn current(&self) -> &SegmentInfo {
        self.segments.last().expect("a log has a segment")
    }

    fn current_mut(&mut self) -> &mut SegmentInfo {
        self.segments.last_mut().expect("a log has a segment")
    }
}

/// Creates the first segment of a new folder.
fn create_log<S: FileStore>(store: &S, names: &[String]) -> Result<RecoveredLog, StorageError> {
    let mut segments = names.iter().filter(|name| name.starts_with(SEGMENT_PREFIX));
    // A crash before the member file was written leaves at most one segment.
    if segments.nth(1).is_some() {
        return Err(corrupt_log("the folder has a log but no member file"));
    }
    let (_, segment) = create_segment(store, 1, HardState::default())?;
    Ok(RecoveredLog {
        segments: vec![segment],
        ..RecoveredLog::default()
    })
}

fn create_segment<S: FileStore>(
    store: &S,
    sequence: u64,
    hard_state: HardState,
) -> Result<(S::File, SegmentInfo), StorageError> {
    let mut buf = Vec::new();
    encode_record(RecordBody::HardState(hard_state), &mut buf);
    let segment = SegmentInfo {
        sequence,
        last_index: 0,
        len: buf.len() as u64,
    };
    let name = segment.file_name();
    let written = store
        .create(&name)
        .and_then(|mut file| file.append(&buf).map(|()| file));
    let mut file = match written {
        Ok(file) => file,
        Err(err) => {
            let cause = StorageError::from_write_error(&name, err);
            remove_if_present(store, &name)?;
            return Err(cause);
        }
    };
    file.sync()
        .and_then(|()| store.sync_folder())
        .map_err(|err| StorageError::failed(&name, err))?;
    Ok((file, segment))
}

fn remove_if_present<S: FileStore>(store: &S, name: &str) -> Result<(), StorageError> {
    match store.remove(name) {
        Err(err) if err.kind() != io::ErrorKind::NotFound => Err(StorageError::failed(name, err)),
        _ => Ok(()),
    }
}

/// Removes partially written files that a crash left behind.
fn remove_partial_files<S: FileStore>(store: &S, names: &[String]) -> Result<(), StorageError> {
    for name in names.iter().filter(|name| name.ends_with(".part")) {
        remove_if_present(store, name)?;
    }
    Ok(())
}

fn corrupt_log(reason: &'static str) -> StorageError {
    StorageError::Corrupt {
        file: SEGMENT_PREFIX.to_owned(),
        offset: 0,
        reason,
    }
}
