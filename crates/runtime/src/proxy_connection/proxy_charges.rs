//! What a proxied connection takes from the process's budget, and the refusals of its
//! requests.

use std::time::{Duration, Instant};

use super::{
    ProxyConnection, ProxyPhase, ProxyStep, BODY_COPIES, CONNECTION_MEMORY, PROXIED_DESCRIPTORS,
    READ_LEN, UPSTREAM_MEMORY,
};
use crate::http_refusal::{HttpRefusal, SHUTTING_DOWN};

/// How readily a connection is closed to make room; the lowest goes first, and of equal
/// ones the one that was opened last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyRank {
    /// Successful responses that its caller has had.
    pub successes: u32,
    /// Since when it is idle, if its caller is not known to behave.
    pub idle_since: Option<Instant>,
}

impl ProxyRank {
    /// Returns whether the caller is known to behave.
    pub fn is_proven(&self) -> bool {
        self.successes > 0
    }
}

impl ProxyConnection {
    /// Returns in which order connections are closed to make room; none with a request in
    /// flight.
    pub fn close_rank(&self) -> Option<ProxyRank> {
        let rank = ProxyRank {
            successes: self.successes,
            idle_since: (self.successes == 0).then_some(self.phase_since),
        };
        (self.phase == ProxyPhase::Head).then_some(rank)
    }

    /// Returns the bytes held for the caller.
    pub fn held_bytes(&self) -> usize {
        self.charge.held()
    }

    /// Returns how much is held for an incomplete request times how long, if no byte of it
    /// was received for `stall_min` and it can be refused. One whose bytes wait for this
    /// process, to be read or to be forwarded, has not stalled.
    pub fn stalled_weight(&self, now: Instant, stall_min: Duration) -> Option<u128> {
        let awaits_process = self.caller_ready.read || !self.inbound.is_empty();
        let silence = now.saturating_duration_since(self.last_progress);
        let is_stalled = silence >= stall_min && !awaits_process;
        let age = now.saturating_duration_since(self.phase_since);
        let is_reading = matches!(self.phase, ProxyPhase::Body(_));
        let is_refusable = is_reading && is_stalled && !self.has_pending_response();
        is_refusable.then_some(self.charge.held() as u128 * age.as_millis())
    }

    /// Takes memory that [`ProxyStep::TakeMemory`] requires; false when it is not free.
    pub fn take_memory(&mut self, len: usize) -> bool {
        let request_len = self.body_len.unwrap_or(self.received_len);
        self.charge.take(len, request_len)
    }

    /// Takes the descriptors that [`ProxyStep::OpenUpstream`] requires, beside `open`
    /// connections; false when they are not free.
    pub fn take_descriptors(&mut self, open: usize) -> bool {
        self.charge.use_descriptors(open, PROXIED_DESCRIPTORS)
    }

    /// Refuses the request that is being read; none if it has started. The connection ends
    /// if a response before it is still to be written.
    pub fn refuse_request(&mut self, now: Instant, refusal: HttpRefusal) -> Option<ProxyStep> {
        if !self.is_forwarded {
            self.refuse_next(now, refusal);
            return Some(ProxyStep::Wait);
        }
        if self.has_pending_response() {
            // A refusal would stand in the middle of the response before.
            return Some(ProxyStep::Ended);
        }
        if !self.abandon_request() {
            return None;
        }
        self.refuse(now, refusal);
        Some(ProxyStep::Wait)
    }

    /// Makes sure that the request that is being read never starts; false when it has.
    pub(super) fn abandon_request(&self) -> bool {
        let upstream = self.upstream.as_ref();
        upstream.is_none_or(|upstream| upstream.port.abandon_request())
    }

    /// Refuses the request that is being read, if any, and further ones.
    pub fn refuse_unread(&mut self, now: Instant) {
        self.refuses_unread = true;
        // A refusal would stand in the middle of a response that is still to be written.
        let is_reading = matches!(self.phase, ProxyPhase::Body(_));
        if is_reading && !self.has_pending_response() && self.abandon_request() {
            self.refuse(now, SHUTTING_DOWN);
        }
    }

    /// Sends an error response behind the one before, of which the upstream server may
    /// still hold a part, and closes.
    pub(super) fn refuse_next(&mut self, now: Instant, refusal: HttpRefusal) {
        if self.upstream.is_none() || self.upstream_ended {
            self.refuse(now, refusal);
            return;
        }
        // The end of the upstream connection follows the rest of the response.
        self.shut_down_upstream();
        self.refusal = Some(refusal);
        self.inbound = Vec::new();
        self.charge.set(CONNECTION_MEMORY + UPSTREAM_MEMORY);
        self.enter(ProxyPhase::Closing, now);
    }

    /// Sends an error response in place of the upstream server's and closes.
    pub fn refuse(&mut self, now: Instant, refusal: HttpRefusal) {
        self.shut_down_upstream();
        self.upstream = None;
        self.upstream_ended = true;
        self.inbound = Vec::new();
        self.charge.set(CONNECTION_MEMORY);
        self.outbound.extend_from_slice(&refusal.bytes());
        self.enter(ProxyPhase::Closing, now);
    }

    /// Returns the memory that the current request takes, with the next read of its body.
    pub(super) fn required_memory(&self) -> usize {
        if !matches!(self.phase, ProxyPhase::Body(_)) {
            return 0;
        }
        let max_body = usize::try_from(self.limits.max_body).unwrap_or(usize::MAX);
        let body_len = self.body_len.unwrap_or(self.received_len + READ_LEN);
        // The upstream server stops reading beyond the limit, whatever the chunks' framing.
        CONNECTION_MEMORY + UPSTREAM_MEMORY + BODY_COPIES * body_len.min(max_body)
    }
}
