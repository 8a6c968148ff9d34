//! Counts the events of a stream, so that an interrupted stream can be resumed.
//!
//! Only complete events are sent to the caller. A partial event left by a
//! failed attempt is discarded, and the next attempt starts with that event.

use bytes::{Bytes, BytesMut};

/// End of an event (WHATWG HTML, server-sent events).
const EVENT_END: &[u8] = b"\n\n";

/// Last event of a completion stream.
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Maximum size of an event in bytes.
const EVENT_MAX: usize = 1024 * 1024;

/// The event stream of one call across its attempts.
#[derive(Debug, Clone, Default)]
pub struct EventStream {
    /// Received bytes of an incomplete event.
    partial: BytesMut,
    delivered: u64,
    done: bool,
}

impl EventStream {
    /// Appends bytes and returns the events that they complete; none when an
    /// event is too long.
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        let search_start = self.partial.len().saturating_sub(EVENT_END.len() - 1);
        self.partial.extend_from_slice(data);
        let mut end = 0;
        let mut cursor = search_start;
        while cursor + EVENT_END.len() <= self.partial.len() {
            if self.partial[cursor..].starts_with(EVENT_END) {
                cursor += EVENT_END.len();
                end = cursor;
                self.delivered += 1;
            } else {
                cursor += 1;
            }
        }
        let events = self.partial.split_to(end).freeze();
        self.done |= events.ends_with(LAST_EVENT);
        (self.partial.len() <= EVENT_MAX).then_some(events)
    }

    /// Removes and returns the remaining bytes at the end of a complete stream.
    pub fn drain_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards a partial event left by a failed attempt.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the number of events sent to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns whether the last event was delivered.
    pub fn is_done(&self) -> bool {
        self.done
    }
}
