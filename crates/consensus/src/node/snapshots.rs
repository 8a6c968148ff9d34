//! Snapshots: requested from the host, saved separately from the log, and sent
//! in chunks.
//!
//! Algorithm: Ongaro's chapter 5. The host encodes its state on a separate
//! thread while entries continue to be committed. Once the snapshot is saved,
//! the log before it is dropped, except for some entries that are retained for
//! members slightly behind. A member that needs earlier entries receives the
//! snapshot, one chunk at a time from the first byte that it lacks, and then the
//! entries after it; Memgraph's replication specification treats a stale replica
//! in the same way.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use prost::Message;

use crate::node::ConsensusNode;
use crate::peer_progress::{SendState, SnapshotTransfer};
use crate::replicated_log::ReplicatedLog;
use crate::{
    LogEntry, LogIndex, MemberId, MessageBody, NodeOutput, SnapshotChunk, SnapshotImage,
    SnapshotMeta, SnapshotResponse,
};

/// A snapshot being received from the leader.
#[derive(Debug)]
struct IncomingSnapshot {
    meta: SnapshotMeta,
    len: u64,
    crc: u32,
    buf: BytesMut,
}

impl IncomingSnapshot {
    fn starting_with(chunk: &SnapshotChunk) -> Self {
        IncomingSnapshot {
            meta: chunk.meta.clone(),
            len: chunk.len,
            crc: chunk.crc,
            buf: BytesMut::new(),
        }
    }

    /// Returns whether a chunk belongs to this snapshot.
    fn matches_chunk(&self, chunk: &SnapshotChunk) -> bool {
        self.meta == chunk.meta && self.len == chunk.len && self.crc == chunk.crc
    }

    fn is_complete(&self) -> bool {
        self.buf.len() as u64 == self.len
    }
}

/// Snapshots being encoded, saved or received.
#[derive(Debug)]
pub(super) struct SnapshotTracker {
    /// The host is encoding its state as of this entry.
    requested: Option<SnapshotMeta>,
    /// The host is saving this snapshot.
    saving: Option<SnapshotImage>,
    incoming: Option<IncomingSnapshot>,
    /// Last entry that the most recently requested snapshot covers.
    requested_index: LogIndex,
    /// Bytes of the entries applied after that entry.
    applied_bytes: usize,
}

impl SnapshotTracker {
    pub(super) fn new(index: LogIndex) -> Self {
        SnapshotTracker {
            requested: None,
            saving: None,
            incoming: None,
            requested_index: index,
            applied_bytes: 0,
        }
    }

    pub(super) fn record_applied(&mut self, entry: &LogEntry) {
        self.applied_bytes += entry.encoded_len();
    }
}

impl ConsensusNode {
    /// Requests a snapshot from the host when the log has grown enough.
    pub(super) fn request_snapshot(&mut self, outputs: &mut Vec<NodeOutput>) {
        let tracker = &mut self.snapshots;
        let entries = self.applied.saturating_sub(tracker.requested_index);
        let is_due = entries >= self.config.snapshot_entries
            || tracker.applied_bytes >= self.config.snapshot_bytes;
        if !is_due || tracker.requested.is_some() || tracker.saving.is_some() {
            return;
        }
        let index = self.applied;
        tracker.requested_index = index;
        tracker.applied_bytes = 0;
        tracker.requested = Some(SnapshotMeta {
            index,
            term: self
                .log
                .term_at(index)
                .expect("an applied entry is in the log"),
            membership: self.log.membership_at(index).clone(),
        });
        outputs.push(NodeOutput::EncodeSnapshot { index });
    }

    pub(super) fn handle_encoded(
        &mut self,
        index: LogIndex,
        data: Bytes,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let requested = self.snapshots.requested.take_if(|meta| meta.index == index);
        let Some(meta) = requested else {
            return;
        };
        if index > self.snapshot_index() {
            self.save_snapshot(SnapshotImage { meta, data }, outputs);
        }
    }

    fn save_snapshot(&mut self, image: SnapshotImage, outputs: &mut Vec<NodeOutput>) {
        self.snapshots.saving = Some(image.clone());
        outputs.push(NodeOutput::SaveSnapshot(image));
    }

    pub(super) fn handle_snapshot_save_failure(&mut self, index: LogIndex) {
        self.snapshots
            .saving
            .take_if(|image| image.meta.index == index);
    }

    pub(super) fn handle_snapshot_saved(&mut self, index: LogIndex, outputs: &mut Vec<NodeOutput>) {
        let saving = self.snapshots.saving.take_if(|it| it.meta.index == index);
        let Some(image) = saving else {
            return;
        };
        if index > self.commit {
            self.install_snapshot(&image, outputs);
        }
        self.snapshot = Some(image);
        self.outbox.write_compaction(index);
        let earliest = index.saturating_sub(self.config.retained_entries);
        let retained_bytes = self.config.retained_bytes;
        let base = self.log.base_within(index, retained_bytes);
        self.log.compact_to(base.max(earliest));
        self.acknowledge_installed();
        self.save_incoming(outputs);
    }

    /// Replaces the state, and also the log unless it contains the last entry of
    /// the snapshot.
    fn install_snapshot(&mut self, image: &SnapshotImage, outputs: &mut Vec<NodeOutput>) {
        let index = image.meta.index;
        if self.log.term_at(index) != Some(image.meta.term) {
            self.log = ReplicatedLog::starting_after(&image.meta);
            self.outbox.write_reset(index);
        }
        self.commit = index;
        self.applied = index;
        self.snapshots.requested = None;
        self.snapshots.requested_index = index;
        self.snapshots.applied_bytes = 0;
        outputs.push(NodeOutput::Restore(image.clone()));
    }

    /// Notifies the leader that a snapshot received from it is in use.
    fn acknowledge_installed(&mut self) {
        let commit = self.commit;
        let is_installed = |it: &mut IncomingSnapshot| it.meta.index <= commit;
        let Some(incoming) = self.snapshots.incoming.take_if(is_installed) else {
            return;
        };
        if let Some(leader) = self.leader.filter(|leader| *leader != self.id) {
            self.send_chunk_response(leader, incoming.meta.index, incoming.len, true);
        }
    }

    pub(super) fn handle_chunk(
        &mut self,
        from: MemberId,
        chunk: &SnapshotChunk,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let index = chunk.meta.index;
        if index <= self.commit {
            self.send_chunk_response(from, index, chunk.len, true);
            return;
        }
        let incoming = self.snapshots.incoming.take();
        let matching = incoming.filter(|incoming| incoming.matches_chunk(chunk));
        let mut incoming = matching.unwrap_or_else(|| IncomingSnapshot::starting_with(chunk));
        if chunk.offset == incoming.buf.len() as u64 {
            incoming.buf.extend_from_slice(&chunk.data);
        }
        if incoming.is_complete() && crc32fast::hash(&incoming.buf) != incoming.crc {
            incoming.buf.clear();
        }
        let offset = incoming.buf.len() as u64;
        self.snapshots.incoming = Some(incoming);
        self.send_chunk_response(from, index, offset, false);
        self.save_incoming(outputs);
    }

    /// Saves a received snapshot once it is complete and no other is being saved.
    fn save_incoming(&mut self, outputs: &mut Vec<NodeOutput>) {
        if self.snapshots.saving.is_some() {
            return;
        }
        let Some(incoming) = &self.snapshots.incoming else {
            return;
        };
        if !incoming.is_complete() || incoming.meta.index <= self.commit {
            return;
        }
        let image = SnapshotImage {
            meta: incoming.meta.clone(),
            data: Bytes::copy_from_slice(&incoming.buf),
        };
        self.save_snapshot(image, outputs);
    }

    /// Responds to a chunk; `done` is reported only after a sync.
    fn send_chunk_response(&mut self, to: MemberId, index: LogIndex, offset: u64, done: bool) {
        let response = SnapshotResponse {
            index,
            offset,
            done,
        };
        let body = MessageBody::SnapshotResponse(response);
        let term = self.hard_state.term;
        if done {
            self.outbox.send_synced(term, to, body);
        } else {
            self.outbox.send(term, to, body);
        }
    }

    /// Starts sending the latest snapshot to a member.
    pub(super) fn start_snapshot_transfer(&mut self, to: MemberId) {
        let Some(image) = self.snapshot.clone() else {
            return;
        };
        let progress = self
            .leader_state
            .as_mut()
            .and_then(|it| it.progress.get_mut(&to));
        let Some(progress) = progress else {
            return;
        };
        progress.state = SendState::Snapshot(SnapshotTransfer {
            crc: crc32fast::hash(&image.data),
            image,
            offset: 0,
            sent_at: self.now,
        });
        self.send_chunk(to);
    }

    fn snapshot_transfer_mut(&mut self, to: MemberId) -> Option<&mut SnapshotTransfer> {
        match &mut self.leader_state.as_mut()?.progress.get_mut(&to)?.state {
            SendState::Snapshot(transfer) => Some(transfer),
            _ => None,
        }
    }

    fn send_chunk(&mut self, to: MemberId) {
        let now: Instant = self.now;
        let chunk_bytes = self.config.chunk_bytes;
        let Some(transfer) = self.snapshot_transfer_mut(to) else {
            return;
        };
        transfer.sent_at = now;
        let len = transfer.image.data.len();
        let end = len.min(transfer.offset + chunk_bytes);
        let chunk = SnapshotChunk {
            meta: transfer.image.meta.clone(),
            len: len as u64,
            crc: transfer.crc,
            offset: transfer.offset as u64,
            data: transfer.image.data.slice(transfer.offset..end),
        };
        let body = MessageBody::SnapshotChunk(chunk);
        self.outbox.send(self.hard_state.term, to, body);
    }

    /// Resends a chunk that was not acknowledged within a heartbeat interval;
    /// returns whether a snapshot transfer to the member is in progress.
    pub(super) fn resend_chunk(&mut self, to: MemberId) -> bool {
        let now = self.now;
        let interval = self.config.heartbeat_interval;
        let Some(transfer) = self.snapshot_transfer_mut(to) else {
            return false;
        };
        if now >= transfer.sent_at + interval {
            self.send_chunk(to);
        }
        true
    }

    pub(super) fn handle_chunk_response(&mut self, from: MemberId, response: SnapshotResponse) {
        if response.done {
            let progress = self
                .leader_state
                .as_mut()
                .and_then(|it| it.progress.get_mut(&from));
            if let Some(progress) = progress {
                progress.record_matched(response.index);
                self.advance_commit();
                self.replicate_to(from);
            }
            return;
        }
        let Some(transfer) = self.snapshot_transfer_mut(from) else {
            return;
        };
        let len = transfer.image.data.len();
        let offset = usize::try_from(response.offset).unwrap_or(len).min(len);
        if transfer.image.meta.index != response.index || offset == transfer.offset {
            return;
        }
        transfer.offset = offset;
        if offset < len {
            self.send_chunk(from);
        }
    }
}
