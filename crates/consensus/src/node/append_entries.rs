//! The follower's side of replication.
//!
//! Algorithm: Ongaro's section 3.5. Entries are acknowledged once they are
//! synced. The response to a mismatch names the last position that could match,
//! so that the leader skips an entire term at a time.

use crate::node::ConsensusNode;
use crate::{
    AppendRequest, AppendResponse, HeartbeatRequest, HeartbeatResponse, LogEntry, LogIndex,
    MemberId, MessageBody,
};

impl ConsensusNode {
    pub(super) fn handle_heartbeat(&mut self, from: MemberId, request: HeartbeatRequest) {
        self.commit_to(request.commit.min(self.log.last_index()));
        let response = HeartbeatResponse {
            round: request.round,
        };
        let body = MessageBody::HeartbeatResponse(response);
        self.outbox.send(self.hard_state.term, from, body);
    }

    pub(super) fn handle_append_request(&mut self, from: MemberId, request: AppendRequest) {
        if request.prev_index < self.commit {
            self.append_after_commit(from, request);
            return;
        }
        if self.log.term_at(request.prev_index) != Some(request.prev_term) {
            self.reject_append(from, &request);
            return;
        }
        self.append_matching(from, request);
    }

    /// Handles a request that starts before the commit index. Committed entries
    /// match, so only later ones are considered.
    fn append_after_commit(&mut self, from: MemberId, mut request: AppendRequest) {
        let commit = self.commit;
        request.entries.retain(|entry| entry.index > commit);
        request.prev_index = commit;
        self.append_matching(from, request);
    }

    fn append_matching(&mut self, from: MemberId, request: AppendRequest) {
        let matched = request.prev_index + request.entries.len() as u64;
        self.append_new_entries(request.entries);
        self.commit_to(request.commit.min(matched));
        self.acknowledge_append(from, matched);
    }

    /// Appends new entries, and drops local entries that conflict with them.
    fn append_new_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.drop_entries_from(entry.index),
                None => {}
            }
            self.append_entry(entry);
        }
    }

    fn drop_entries_from(&mut self, index: LogIndex) {
        assert!(index > self.commit, "a committed entry never conflicts");
        self.log.truncate_from(index);
        self.outbox.write_truncation(index);
    }

    /// Appends to the log in memory and to the current batch.
    pub(super) fn append_entry(&mut self, entry: LogEntry) {
        self.outbox.write_entry(entry.clone());
        self.log.append(entry);
    }

    pub(super) fn acknowledge_append(&mut self, to: MemberId, index: LogIndex) {
        let response = AppendResponse {
            index,
            ..AppendResponse::default()
        };
        let body = MessageBody::AppendResponse(response);
        self.outbox.send_synced(self.hard_state.term, to, body);
    }

    fn reject_append(&mut self, to: MemberId, request: &AppendRequest) {
        let hint = self
            .log
            .matching_hint(request.prev_index, request.prev_term);
        let response = AppendResponse {
            rejected: true,
            index: request.prev_index,
            hint_index: hint,
            hint_term: self.log.term_at(hint).unwrap_or(0),
        };
        let body = MessageBody::AppendResponse(response);
        self.outbox.send(self.hard_state.term, to, body);
    }

    /// Raises the commit index; it never decreases.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        debug_assert!(
            index <= self.log.last_index(),
            "only entries in the log are committed"
        );
        self.commit = self.commit.max(index);
    }
}
