//! Counts the events of a stream, so that a broken one can be resumed.
//!
//! Only whole events go to the caller; the part of an event that a broken
//! attempt left is dropped, and the next attempt begins with that event.

use bytes::{Bytes, BytesMut};

/// End of an event (WHATWG HTML, server-sent events).
const EVENT_END: &[u8] = b"\n\n";

/// Last event of a completion stream.
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Longest event in bytes.
const EVENT_MAX: usize = 1024 * 1024;

/// The stream of one call over all its attempts.
#[derive(Debug, Clone, Default)]
pub struct EventStream {
    /// Start of an event that is not whole.
    partial: BytesMut,
    delivered: u64,
    done: bool,
}

impl EventStream {
    /// Takes in bytes and returns the whole events among them; none when an
    /// event is too long.
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        let seen = self.partial.len().saturating_sub(EVENT_END.len() - 1);
        self.partial.extend_from_slice(data);
        let mut end = 0;
        let mut place = seen;
        while place + EVENT_END.len() <= self.partial.len() {
            if self.partial[place..].starts_with(EVENT_END) {
                place += EVENT_END.len();
                end = place;
                self.delivered += 1;
            } else {
                place += 1;
            }
        }
        let whole = self.partial.split_to(end).freeze();
        self.done |= whole.ends_with(LAST_EVENT);
        (self.partial.len() <= EVENT_MAX).then_some(whole)
    }

    /// Returns what is left when the stream ended whole.
    pub fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the part of an event that a broken attempt left.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Returns the number of events that the caller has.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Tells whether the last event was delivered.
    pub fn is_done(&self) -> bool {
        self.done
    }
}
