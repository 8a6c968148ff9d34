//! Threads that write the replicated log to disk.
//!
//! Algorithm: one thread writes all queued batches and syncs them once (group
//! commit); another saves snapshots, so that commits do not wait for them.
//!
//! Guarantees: data is synced before it is reported as persisted. A failed
//! write or sync ends the process, because the content of the disk is then
//! unknown. A full disk is reported and the same batches are retried.

use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use mulberrywell_consensus::{
    FolderStore, LogStorage, MemberId, PersistBatch, RecoveredState, SnapshotImage, SnapshotStore,
    StorageError,
};
use mulberrywell_control::ControlEvent;

use crate::event_sender::EventSender;

/// Capacity of the batch queue.
const BATCHES_MAX: usize = 65_536;

/// Capacity of the snapshot queue.
const SNAPSHOTS_MAX: usize = 4;

/// Delay before a write to a full disk is retried.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// An opened data folder whose threads are not started.
pub struct LogFolder {
    storage: LogStorage<FolderStore>,
}

impl LogFolder {
    /// Opens a data folder and recovers the state stored there.
    ///
    /// # Errors
    /// Fails when the folder can't be used or its content is damaged.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredState)> {
        let context = || format!("data folder {}", folder.display());
        let store = FolderStore::open(folder).with_context(context)?;
        let new_member = rand::random::<MemberId>().max(1);
        let (storage, recovered) = LogStorage::open(store, new_member).with_context(context)?;
        if recovered.torn_bytes > 0 {
            spdlog::warn!(
                "log: truncated {} bytes of a torn write",
                recovered.torn_bytes
            );
        }
        Ok((LogFolder { storage }, recovered))
    }

    /// Starts the threads.
    ///
    /// # Errors
    /// Fails when a thread can't be started.
    pub fn spawn(self, events: EventSender<ControlEvent>) -> Result<LogWriter> {
        let (batches, batch_rx) = sync_channel(BATCHES_MAX);
        let (snapshots, snapshot_rx) = sync_channel(SNAPSHOTS_MAX);
        let store = self.storage.snapshot_store();
        let snapshot_events = events.clone();
        thread::Builder::new()
            .name("snapshots".to_owned())
            .spawn(move || save_snapshots(store, &snapshot_rx, &snapshot_events))?;
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_batches(self.storage, &batch_rx, &events))?;
        Ok(LogWriter { batches, snapshots })
    }
}

/// Handle of the running threads.
pub struct LogWriter {
    batches: SyncSender<PersistBatch>,
    snapshots: SyncSender<SnapshotImage>,
}

impl LogWriter {
    /// Queues a batch; the event `Persisted` follows once it is synced.
    ///
    /// # Errors
    /// Fails when the queue is full or the thread has ended.
    pub fn persist(&self, batch: PersistBatch) -> Result<()> {
        if self.batches.try_send(batch).is_err() {
            bail!("can't queue a log batch: the queue is full or the log thread has ended");
        }
        Ok(())
    }

    /// Queues a snapshot; the event `SnapshotSaved` follows once it is synced.
    ///
    /// # Errors
    /// Fails when the queue is full or the thread has ended.
    pub fn save_snapshot(&self, image: SnapshotImage) -> Result<()> {
        if self.snapshots.try_send(image).is_err() {
            bail!("can't queue a snapshot: the queue is full or the snapshot thread has ended");
        }
        Ok(())
    }
}

/// Where the replicated log is kept.
pub enum LogSink {
    /// On disk, by the threads of a folder.
    Disk(LogWriter),
    /// Nowhere: an observer loses its copy with its process.
    Memory(EventSender<ControlEvent>),
}

impl LogSink {
    /// Stores a batch; the event `Persisted` follows.
    ///
    /// # Errors
    /// Fails when the queue of the disk is full or its thread has ended.
    pub fn persist(&self, batch: PersistBatch) -> Result<()> {
        match self {
            LogSink::Disk(writer) => writer.persist(batch),
            LogSink::Memory(events) => {
                let ticket = batch.ticket;
                events.send(ControlEvent::Persisted { ticket });
                Ok(())
            }
        }
    }

    /// Stores a snapshot; the event `SnapshotSaved` follows.
    ///
    /// # Errors
    /// Fails when the queue of the disk is full or its thread has ended.
    pub fn save_snapshot(&self, image: SnapshotImage) -> Result<()> {
        match self {
            LogSink::Disk(writer) => writer.save_snapshot(image),
            LogSink::Memory(events) => {
                let index = image.meta.index;
                events.send(ControlEvent::SnapshotSaved { index });
                Ok(())
            }
        }
    }
}

fn write_batches(
    mut storage: LogStorage<FolderStore>,
    rx: &Receiver<PersistBatch>,
    events: &EventSender<ControlEvent>,
) {
    let mut batches = Vec::new();
    while let Ok(first) = rx.recv() {
        batches.push(first);
        batches.extend(rx.try_iter());
        loop {
            match storage.persist(&batches) {
                Ok(ticket) => {
                    events.send(ControlEvent::Persisted { ticket });
                    break;
                }
                Err(StorageError::DiskFull) => {
                    events.send(ControlEvent::DiskFull);
                    thread::sleep(DISK_FULL_RETRY_DELAY);
                }
                Err(err) => end_process(&err),
            }
        }
        batches.clear();
    }
}

fn save_snapshots(
    mut store: SnapshotStore<FolderStore>,
    rx: &Receiver<SnapshotImage>,
    events: &EventSender<ControlEvent>,
) {
    while let Ok(image) = rx.recv() {
        let index = image.meta.index;
        match store.save(&image) {
            Ok(()) => events.send(ControlEvent::SnapshotSaved { index }),
            Err(StorageError::DiskFull) => events.send(ControlEvent::SnapshotSaveFailed { index }),
            Err(err) => end_process(&err),
        };
    }
}

/// Ends the process, because the state of the disk is unknown after a failed
/// write.
fn end_process(err: &StorageError) -> ! {
    spdlog::critical!("log: {}; aborting the process", err);
    std::process::abort();
}
