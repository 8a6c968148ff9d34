//! Host of one member, with threads for core, log storage and snapshot storage.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use mulberrywell_consensus::{
    ConsensusNode, FolderStore, LogIndex, LogStorage, MemberId, NodeConfig, NodeInput, NodeOutput,
    PeerMessage, PersistBatch, ProposalId, SnapshotImage,
};

/// Number of keys in the state machine; a command sets one of them.
pub const KEY_COUNT: u64 = 1_000;

/// Length of a command in bytes.
pub const COMMAND_LEN: usize = 100;

/// Senders of inputs to all members.
pub type MemberTable = Arc<Mutex<BTreeMap<MemberId, Sender<NodeInput>>>>;

/// An event of a member, reported to the benchmark.
#[derive(Debug)]
pub enum HostReport {
    /// The member became leader.
    BecameLeader,
    /// A proposal of this member is committed and applied.
    Accepted(ProposalId),
    /// The entry at this index was applied or restored.
    Applied(LogIndex),
    /// A snapshot of this many bytes was passed to the storage.
    SnapshotQueued(usize),
    /// A snapshot from the leader was restored.
    Restored,
}

/// A running member.
pub struct MemberHost {
    /// The member.
    pub member: MemberId,
    /// Sends inputs to the member.
    pub tx: Sender<NodeInput>,
    /// Receives the member's reports.
    pub reports: Receiver<HostReport>,
}

impl MemberHost {
    /// Starts a member on a folder.
    pub fn spawn(
        folder: &Path,
        new_member: MemberId,
        config: NodeConfig,
        table: &MemberTable,
    ) -> Result<Self> {
        let store = FolderStore::open(folder).context("failed to open the folder")?;
        let (storage, recovered) = LogStorage::open(store, new_member)?;
        let member = recovered.member;
        let (tx, rx) = channel();
        let (report_tx, reports) = channel();
        table
            .lock()
            .expect("no panic while locked")
            .insert(member, tx.clone());
        let node = ConsensusNode::open(config, recovered, Instant::now());
        let core = HostCore {
            node,
            state: BTreeMap::new(),
            applied: 0,
            persist: spawn_storage(storage, tx.clone()),
            tx: tx.clone(),
            table: table.clone(),
            reports: report_tx,
        };
        thread::spawn(move || core.run(&rx));
        Ok(MemberHost {
            member,
            tx,
            reports,
        })
    }

    /// Waits until the entry at `index` is applied; returns whether a snapshot was
    /// restored in the meantime.
    pub fn wait_applied(&self, index: LogIndex) -> Result<bool> {
        let mut was_restored = false;
        loop {
            match self.reports.recv()? {
                HostReport::Applied(at) if at >= index => return Ok(was_restored),
                HostReport::Restored => was_restored = true,
                _ => {}
            }
        }
    }
}

/// A job of the storage thread.
enum StorageJob {
    Persist(PersistBatch),
    Save(SnapshotImage),
}

/// State of the thread that runs the core.
struct HostCore {
    node: ConsensusNode,
    state: BTreeMap<u64, Bytes>,
    applied: LogIndex,
    persist: Sender<StorageJob>,
    tx: Sender<NodeInput>,
    table: MemberTable,
    reports: Sender<HostReport>,
}

impl HostCore {
    fn run(mut self, rx: &Receiver<NodeInput>) {
        let mut outputs = Vec::new();
        loop {
            let now = Instant::now();
            let deadline = self.node.deadline();
            let wait = deadline.map_or(Duration::from_secs(1), |at| at - now.min(at));
            let is_due = deadline.is_some_and(|at| at <= now);
            let received = if is_due {
                // A full queue must not delay the timer.
                Err(RecvTimeoutError::Timeout)
            } else {
                rx.recv_timeout(wait)
            };
            let input = match received {
                Ok(input) => input,
                Err(RecvTimeoutError::Timeout) => NodeInput::Timer,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.node.handle(Instant::now(), input, &mut outputs);
            for output in outputs.drain(..) {
                // The receiver of reports is dropped at the end of a run.
                if self.handle_output(output).is_none() {
                    return;
                }
            }
        }
    }

    fn handle_output(&mut self, output: NodeOutput) -> Option<()> {
        match output {
            NodeOutput::Send(message) => self.send(&message),
            NodeOutput::Persist(batch) => self.persist.send(StorageJob::Persist(batch)).ok(),
            NodeOutput::SaveSnapshot(image) => {
                let report = HostReport::SnapshotQueued(image.data.len());
                self.persist.send(StorageJob::Save(image)).ok()?;
                self.reports.send(report).ok()
            }
            NodeOutput::EncodeSnapshot { index } => {
                let data = encode_state(&self.state);
                self.tx
                    .send(NodeInput::SnapshotEncoded { index, data })
                    .ok()
            }
            NodeOutput::Restore(image) => {
                self.state = decode_state(image.data);
                self.applied = image.meta.index;
                self.reports.send(HostReport::Restored).ok()?;
                self.reports.send(HostReport::Applied(self.applied)).ok()
            }
            NodeOutput::Apply { entry, proposal } => {
                if let Some(data) = entry.command() {
                    let key = data.clone().get_u64() % KEY_COUNT;
                    self.state.insert(key, data.clone());
                }
                self.applied = entry.index;
                if let Some(proposal) = proposal {
                    self.reports.send(HostReport::Accepted(proposal)).ok()?;
                }
                self.reports.send(HostReport::Applied(self.applied)).ok()
            }
            NodeOutput::RoleChanged { leader, .. } if leader == Some(self.node.member()) => {
                self.reports.send(HostReport::BecameLeader).ok()
            }
            _ => Some(()),
        }
    }

    fn send(&self, message: &PeerMessage) -> Option<()> {
        let data = message.to_bytes();
        let table = self.table.lock().ok()?;
        if let Some(tx) = table.get(&message.to) {
            let message = PeerMessage::from_bytes(data).ok()?;
            // A message to a member that has ended is dropped.
            let _ = tx.send(NodeInput::Message(message));
        }
        Some(())
    }
}

/// Starts the storage thread, which writes all queued batches with one sync and
/// forwards snapshots to their own thread.
fn spawn_storage(
    mut storage: LogStorage<FolderStore>,
    tx: Sender<NodeInput>,
) -> Sender<StorageJob> {
    let (jobs_tx, jobs) = channel::<StorageJob>();
    let snapshots_tx = spawn_snapshots(&storage, tx.clone());
    thread::spawn(move || {
        while let Ok(first) = jobs.recv() {
            let mut batches = Vec::new();
            for job in std::iter::once(first).chain(jobs.try_iter()) {
                match job {
                    StorageJob::Persist(batch) => batches.push(batch),
                    StorageJob::Save(image) => drop(snapshots_tx.send(image)),
                }
            }
            if batches.is_empty() {
                continue;
            }
            let ticket = storage.persist(&batches).expect("the disk works");
            if tx.send(NodeInput::Persisted { ticket }).is_err() {
                return;
            }
        }
    });
    jobs_tx
}

fn spawn_snapshots(
    storage: &LogStorage<FolderStore>,
    tx: Sender<NodeInput>,
) -> Sender<SnapshotImage> {
    let mut snapshots = storage.snapshot_store();
    let (images_tx, images) = channel::<SnapshotImage>();
    thread::spawn(move || {
        for image in images {
            let index = image.meta.index;
            snapshots.save(&image).expect("the disk works");
            if tx.send(NodeInput::SnapshotSaved { index }).is_err() {
                return;
            }
        }
    });
    images_tx
}

fn encode_state(state: &BTreeMap<u64, Bytes>) -> Bytes {
    let mut buf = BytesMut::new();
    for data in state.values() {
        buf.put_slice(data);
    }
    buf.freeze()
}

fn decode_state(mut data: Bytes) -> BTreeMap<u64, Bytes> {
    let mut state = BTreeMap::new();
    while data.len() >= COMMAND_LEN {
        let command = data.split_to(COMMAND_LEN);
        state.insert(command.clone().get_u64() % KEY_COUNT, command);
    }
    state
}
