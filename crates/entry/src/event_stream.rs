//! Counts the events of a stream, so that an interrupted stream can be resumed.
//!
//! Only complete events are sent to the caller. A partial event left by a
//! failed attempt is discarded, and the next attempt starts with that event.
//! A blank line ends an event; lines end in LF, CR LF or CR (WHATWG HTML,
//! server-sent events).

use bytes::{Bytes, BytesMut};

/// Last line of the last event of a completion stream.
const LAST_LINE: &[u8] = b"data: [DONE]";

/// Maximum size of an event in bytes.
const EVENT_MAX: usize = 1024 * 1024;

/// A line end of two bytes.
const CR_LF: (u8, u8) = (b'\r', b'\n');

/// The event stream of one call across its attempts.
#[derive(Debug, Clone, Default)]
pub struct EventStream {
    /// Received bytes of an incomplete event.
    partial: BytesMut,
    /// Last received byte; 0 at the start of an attempt.
    last_byte: u8,
    delivered: u64,
    done: bool,
}

impl EventStream {
    /// Appends bytes and returns the events that they complete; none when an
    /// event is too long.
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        let mut cursor = self.partial.len();
        self.partial.extend_from_slice(data);
        let mut end = 0;
        while cursor < self.partial.len() {
            let last_byte = std::mem::replace(&mut self.last_byte, self.partial[cursor]);
            if is_line_end(self.last_byte) {
                if cursor == end {
                    // A further blank line, or the LF of a CR LF.
                    end += 1;
                } else if is_line_end(last_byte) && (last_byte, self.last_byte) != CR_LF {
                    self.delivered += 1;
                    self.done |= is_last_event(&self.partial[end..cursor]);
                    end = cursor + 1;
                }
            }
            cursor += 1;
        }
        let events = self.partial.split_to(end).freeze();
        (self.partial.len() <= EVENT_MAX).then_some(events)
    }

    /// Returns whether a response that ends here is truncated: it ends inside an
    /// event or before the first one of the stream.
    pub fn is_truncated(&self) -> bool {
        !self.done && (!self.partial.is_empty() || self.delivered == 0)
    }

    /// Discards a partial event left by a failed attempt.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.last_byte = 0;
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

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

fn is_last_event(event: &[u8]) -> bool {
    let mut lines = event.trim_ascii_end().rsplit(|byte| is_line_end(*byte));
    lines.next() == Some(LAST_LINE)
}
