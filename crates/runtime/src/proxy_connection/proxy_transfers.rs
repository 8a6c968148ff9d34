//! Transfers between the two sides of a proxied connection.

use std::time::Instant;

use super::{MoveOutcome, ProxyConnection, ProxyPhase};
use crate::head_check::{BodyLength, HEAD_MAX};
use crate::proxy_io::{read_some, write_some, ReadOutcome, WriteOutcome};

impl ProxyConnection {
    pub(super) fn read_caller(&mut self, now: Instant, scratch: &mut [u8]) -> MoveOutcome {
        if !self.caller_ready.read || self.caller_ended {
            return MoveOutcome::Idle;
        }
        let read_limit = self.caller_read_limit(scratch.len());
        if read_limit == 0 {
            return match self.caller_ready.closed && self.phase == ProxyPhase::Response {
                true => MoveOutcome::Failed,
                false => MoveOutcome::Idle,
            };
        }
        let buf = &mut scratch[..read_limit];
        match read_some(&mut self.caller, &mut self.caller_ready, buf) {
            ReadOutcome::Data(len) => self.handle_caller_data(now, &scratch[..len]),
            ReadOutcome::Blocked => MoveOutcome::Idle,
            ReadOutcome::Failed => MoveOutcome::Failed,
            ReadOutcome::End => self.handle_caller_end(now),
        }
    }

    /// Returns how many bytes may be read from the caller now.
    fn caller_read_limit(&self, buffer_len: usize) -> usize {
        match self.phase {
            ProxyPhase::Head | ProxyPhase::Response => {
                HEAD_MAX.saturating_sub(self.inbound.len()).min(buffer_len)
            }
            ProxyPhase::Body(_) if !self.inbound.is_empty() => 0,
            ProxyPhase::Body(_) | ProxyPhase::Closing | ProxyPhase::Lingering => buffer_len,
        }
    }

    fn handle_caller_data(&mut self, now: Instant, data: &[u8]) -> MoveOutcome {
        match self.phase {
            ProxyPhase::Closing | ProxyPhase::Lingering => return MoveOutcome::Moved,
            ProxyPhase::Head if self.inbound.is_empty() => self.phase_since = now,
            ProxyPhase::Body(_) => self.received_len += data.len(),
            _ => {}
        }
        self.inbound.extend_from_slice(data);
        MoveOutcome::Moved
    }

    /// Handles the end of the caller's stream: the caller has hung up, unless
    /// only response bytes remain to be written.
    fn handle_caller_end(&mut self, now: Instant) -> MoveOutcome {
        let has_pending_response = match self.phase {
            ProxyPhase::Head => !self.outbound.is_empty(),
            ProxyPhase::Closing => true,
            ProxyPhase::Body(_) | ProxyPhase::Response | ProxyPhase::Lingering => false,
        };
        if !has_pending_response {
            return MoveOutcome::Failed;
        }
        self.caller_ended = true;
        if self.phase == ProxyPhase::Head {
            self.shut_down_upstream();
            self.enter(ProxyPhase::Closing, now);
        }
        MoveOutcome::Moved
    }

    pub(super) fn write_upstream(&mut self, now: Instant) -> MoveOutcome {
        let ProxyPhase::Body(remaining) = self.phase else {
            return MoveOutcome::Idle;
        };
        let Some(upstream) = self.upstream.as_mut().filter(|_| self.upstream_ready.write) else {
            return MoveOutcome::Idle;
        };
        let limit = match remaining {
            BodyLength::Known(len) => usize::try_from(len).unwrap_or(usize::MAX),
            BodyLength::Chunked => usize::MAX,
        };
        let limit = limit.min(self.inbound.len());
        let socket = &mut upstream.socket;
        let outcome = write_some(socket, &mut self.upstream_ready, &mut self.inbound, limit);
        let len = match outcome {
            WriteOutcome::Written(len) => len,
            WriteOutcome::Blocked => return MoveOutcome::Idle,
            WriteOutcome::Failed => {
                // The upstream server has responded and closed before it
                // received the complete request.
                self.enter(ProxyPhase::Closing, now);
                return MoveOutcome::Moved;
            }
        };
        self.is_forwarded = true;
        match remaining {
            BodyLength::Known(rest) if rest <= len as u64 => self.enter(ProxyPhase::Response, now),
            BodyLength::Known(rest) => {
                self.phase = ProxyPhase::Body(BodyLength::Known(rest - len as u64));
            }
            BodyLength::Chunked => {}
        }
        MoveOutcome::Moved
    }

    pub(super) fn read_upstream(&mut self, scratch: &mut [u8]) -> MoveOutcome {
        if self.upstream_ended && self.outbound.is_empty() {
            let Some(refusal) = self.refusal.take() else {
                return MoveOutcome::Idle;
            };
            self.outbound.extend_from_slice(&refusal.bytes());
            return MoveOutcome::Moved;
        }
        let Some(upstream) = self.upstream.as_mut() else {
            return MoveOutcome::Idle;
        };
        if !self.upstream_ready.read || !self.outbound.is_empty() || self.upstream_ended {
            return MoveOutcome::Idle;
        }
        match read_some(&mut upstream.socket, &mut self.upstream_ready, scratch) {
            ReadOutcome::Data(len) => {
                self.outbound.extend_from_slice(&scratch[..len]);
                MoveOutcome::Moved
            }
            ReadOutcome::Blocked => MoveOutcome::Idle,
            ReadOutcome::Failed if self.refusal.take().is_some() => {
                // The response before the refusal may be truncated.
                MoveOutcome::Failed
            }
            ReadOutcome::End | ReadOutcome::Failed => {
                self.upstream_ended = true;
                MoveOutcome::Moved
            }
        }
    }

    pub(super) fn write_caller(&mut self) -> MoveOutcome {
        if !self.caller_ready.write {
            return MoveOutcome::Idle;
        }
        let limit = self.outbound.len();
        write_some(
            &mut self.caller,
            &mut self.caller_ready,
            &mut self.outbound,
            limit,
        )
        .into()
    }
}
