//! Counts the events of a stream, so that an interrupted stream can be resumed.
//!
//! Only complete events are sent to the caller. A partial event left by a
//! failed attempt is discarded, and the next attempt starts with that event.
//! A blank line ends a block, which is an event if it has data; lines end in LF,
//! CR LF or CR (WHATWG HTML, server-sent events).
//!
//! Before the first event of an attempt, blocks of text that is neither a comment nor
//! a known field, such as an error's, are held back until the event. Where the attempt
//! resumes the stream, such text ends it, and all blocks are held back. The head of a
//! response among the events ends the attempt too.

use bytes::{Bytes, BytesMut};

/// Last line of the last event of a completion stream.
const LAST_LINE: &[u8] = b"data: [DONE]";

/// Maximum size of an event in bytes.
const EVENT_MAX: usize = 1024 * 1024;

/// Begin of the first line of a response's head; no field has such a name.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// Names of the fields that the format knows.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// A line end of two bytes.
const CR_LF: (u8, u8) = (b'\r', b'\n');

/// The event stream of one call across its attempts.
#[derive(Debug, Clone, Default)]
pub struct EventStream {
    /// Blocks that are held back, and received bytes of an incomplete one.
    partial: BytesMut,
    /// Bytes of `partial` that are held back.
    held: usize,
    /// Last received byte; 0 at the start of an attempt.
    last_byte: u8,
    /// Whether the current attempt has brought an event.
    has_event: bool,
    /// A head stands behind the events of the current attempt, which has no more of them.
    has_head: bool,
    /// An attempt broke off inside an event, and no attempt has brought one since.
    awaits_event: bool,
    delivered: u64,
    done: bool,
}

impl EventStream {
    /// Appends bytes and returns the events that they complete; none when an
    /// event is too long, the attempt resumes the stream with text that is no event,
    /// or a head has come before.
    pub fn push(&mut self, data: &Bytes) -> Option<Bytes> {
        if self.has_head {
            return None;
        }
        let mut cursor = self.partial.len();
        self.partial.extend_from_slice(data);
        let mut end = self.held;
        let mut is_held = self.held > 0;
        while cursor < self.partial.len() {
            let last_byte = std::mem::replace(&mut self.last_byte, self.partial[cursor]);
            if is_line_end(self.last_byte) {
                if cursor == end {
                    // A further blank line, or the LF of a CR LF.
                    end += 1;
                } else if is_line_end(last_byte) && (last_byte, self.last_byte) != CR_LF {
                    let block = &self.partial[end..cursor];
                    if lines(block).any(is_data) {
                        is_held = false;
                        self.has_event = true;
                        self.awaits_event = false;
                        self.delivered += 1;
                        self.done |= is_last_event(block);
                    } else if !self.has_event {
                        let is_resumption = self.delivered > 0;
                        let has_text = lines(block).any(is_text);
                        if is_resumption && has_text {
                            return None;
                        }
                        is_held |= is_resumption || has_text;
                    } else if block.starts_with(STATUS_LINE_START) {
                        self.has_head = true;
                        break;
                    }
                    end = cursor + 1;
                }
            }
            cursor += 1;
        }
        self.held = if is_held { end } else { 0 };
        let events = self.partial.split_to(end - self.held).freeze();
        (self.partial.len() <= EVENT_MAX).then_some(events)
    }

    /// Returns whether a response that ends here is truncated: it ends inside an
    /// event, before the first one of the stream or before the one at which an earlier
    /// attempt broke off.
    pub fn is_truncated(&self) -> bool {
        let is_inside_event = self.partial.len() > self.held;
        !self.done && (is_inside_event || self.delivered == 0 || self.awaits_event)
    }

    /// Discards a partial event left by a failed attempt.
    pub fn discard_partial(&mut self) {
        self.awaits_event |= lines(&self.partial[self.held..]).any(is_field);
        self.partial.clear();
        self.held = 0;
        self.has_event = false;
        self.has_head = false;
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

/// Returns the lines of a block, without their ends.
fn lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    block.split(|byte| is_line_end(*byte))
}

/// Returns the name of a field; empty for a comment and a blank line.
fn field_name(line: &[u8]) -> &[u8] {
    line.split(|byte| *byte == b':').next().unwrap_or(line)
}

/// Returns whether a line is a field, or the beginning of one.
fn is_field(line: &[u8]) -> bool {
    !field_name(line).is_empty()
}

fn is_data(line: &[u8]) -> bool {
    field_name(line) == b"data"
}

/// Returns whether a line is neither a comment nor a known field.
fn is_text(line: &[u8]) -> bool {
    let name = field_name(line);
    !name.is_empty() && !FIELD_NAMES.contains(&name)
}

fn is_last_event(event: &[u8]) -> bool {
    let mut lines = event.trim_ascii_end().rsplit(|byte| is_line_end(*byte));
    lines.next() == Some(LAST_LINE)
}
