//! Recovery of the log from the segment files of a folder.
//!
//! An invalid record in the last segment is the tail of a torn write, which was
//! never acknowledged; the segment ends before it. It is corruption instead if a
//! later `Synced` record of the file covers its offset, or if the segment is not
//! the last one.

use bytes::Bytes;

use super::log_record::{decode_record, decode_synced, RecordBody};
use super::{FileStore, StorageError};
use crate::{HardState, LogEntry, LogIndex, SnapshotImage};

/// Prefix of a segment's file name; the sequence number follows.
pub(super) const SEGMENT_PREFIX: &str = "log-";

/// One segment file.
#[derive(Debug, Clone)]
pub(super) struct SegmentInfo {
    /// Increases by one from segment to segment.
    pub(super) sequence: u64,
    /// Greatest index that was ever written to it; 0 for none.
    pub(super) last_index: LogIndex,
    /// Length of the valid records in bytes.
    pub(super) len: u64,
}

impl SegmentInfo {
    pub(super) fn file_name(&self) -> String {
        format!("{SEGMENT_PREFIX}{:020}", self.sequence)
    }
}

/// Content of all segments.
#[derive(Debug, Default)]
pub(super) struct RecoveredLog {
    pub(super) hard_state: HardState,
    /// Consecutive.
    pub(super) entries: Vec<LogEntry>,
    /// In ascending order of sequence numbers.
    pub(super) segments: Vec<SegmentInfo>,
    /// Bytes after the last valid record of the last segment.
    pub(super) torn_bytes: u64,
}

impl RecoveredLog {
    /// Reads all segments.
    pub(super) fn read<S: FileStore>(store: &S, names: &[String]) -> Result<Self, StorageError> {
        let mut log = RecoveredLog::default();
        let sequences: Vec<u64> = names.iter().filter_map(|name| sequence_of(name)).collect();
        for (position, sequence) in sequences.iter().enumerate() {
            let is_last = position + 1 == sequences.len();
            log.read_segment(store, *sequence, is_last)?;
        }
        Ok(log)
    }

    fn read_segment<S: FileStore>(
        &mut self,
        store: &S,
        sequence: u64,
        is_last: bool,
    ) -> Result<(), StorageError> {
        let mut segment = SegmentInfo {
            sequence,
            last_index: 0,
            len: 0,
        };
        let name = segment.file_name();
        let expected = self.segments.last().map(|last| last.sequence + 1);
        if expected.is_some_and(|expected| expected != sequence) {
            return Err(corrupt(&name, 0, "the previous segment is missing"));
        }
        let mut content = match store.read(&name) {
            Ok(content) => Bytes::from(content),
            Err(err) => return Err(StorageError::failed(&name, err)),
        };
        while let Some(record) = decode_record(&content) {
            self.apply_record(record.body, &mut segment)
                .map_err(|reason| corrupt(&name, segment.len, reason))?;
            segment.len += record.len as u64;
            content = content.slice(record.len..);
        }
        if !content.is_empty() && (!is_last || was_synced(&content, segment.len)) {
            return Err(corrupt(&name, segment.len, "a synced record is damaged"));
        }
        self.torn_bytes = content.len() as u64;
        self.segments.push(segment);
        Ok(())
    }

    fn apply_record(
        &mut self,
        body: RecordBody,
        segment: &mut SegmentInfo,
    ) -> Result<(), &'static str> {
        match body {
            RecordBody::Entry(entry) => {
                let last = self.entries.last();
                if last.is_some_and(|last| last.index + 1 != entry.index) {
                    return Err("the previous entry is missing");
                }
                segment.last_index = segment.last_index.max(entry.index);
                self.entries.push(entry);
            }
            RecordBody::HardState(hard_state) => self.hard_state = hard_state,
            RecordBody::Truncate(from) => self.entries.retain(|entry| entry.index < from),
            RecordBody::Synced(_) => {}
        }
        Ok(())
    }

    /// Drops the entries that the snapshot covers; returns whether all entries
    /// were dropped because the log ends before the snapshot or conflicts with
    /// it.
    pub(super) fn trim_to_snapshot(
        &mut self,
        snapshot: Option<&SnapshotImage>,
    ) -> Result<bool, &'static str> {
        let (index, term) = snapshot.map_or((0, 0), |image| (image.meta.index, image.meta.term));
        let Some(first) = self.entries.first().map(|entry| entry.index) else {
            return Ok(false);
        };
        if first > index + 1 {
            return Err("entries between the snapshot and the log are missing");
        }
        let last = first + self.entries.len() as u64 - 1;
        let mut covered = self.entries.iter().filter(|entry| entry.index == index);
        let conflicts = covered.next().is_some_and(|entry| entry.term != term);
        if conflicts || last < index {
            self.entries.clear();
            return Ok(true);
        }
        self.entries.retain(|entry| entry.index > index);
        Ok(false)
    }
}

/// Returns whether a valid `Synced` record in `content` covers `offset`.
fn was_synced(content: &Bytes, offset: u64) -> bool {
    (0..content.len()).any(|start| {
        let synced = decode_synced(&content.slice(start..));
        synced.is_some_and(|synced| synced > offset)
    })
}

fn sequence_of(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

fn corrupt(file: &str, offset: u64, reason: &'static str) -> StorageError {
    StorageError::Corrupt {
        file: file.to_owned(),
        offset,
        reason,
    }
}
