//! Splits a byte stream into complete events (WHATWG HTML, server-sent events).
//!
//! Guarantees: only complete events are returned, in order and unchanged, and none
//! whose id is not above the last one's; what remains at the end of the stream is a
//! truncated event.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const EVENT_MAX: usize = 1024 * 1024;

/// Splitter state of one stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of an incomplete event.
    partial: BytesMut,
    /// Bytes of `partial` already searched for the end of an event.
    searched: usize,
    /// Id of the last complete event; none if it has none.
    last_event: Option<u64>,
}

/// Why a stream can't be forwarded any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than the limit.
    TooLong,
    /// Events that the caller has received come again.
    Repeated,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after an event.
    pub fn resuming_after(last_event: Option<u64>) -> Self {
        EventSplitter {
            last_event,
            ..EventSplitter::default()
        }
    }

    /// Returns the id of the last complete event; none if it has none, so that the
    /// stream can't be resumed after it.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns whether an event is incomplete.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards an incomplete event.
    pub fn discard_partial_event(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    /// Fails when an event is longer than the limit, or not after the last one.
    pub fn feed(&mut self, data: &Bytes) -> Result<Option<Bytes>, EventError> {
        self.partial.extend_from_slice(data);
        let start = self.searched.saturating_sub(1);
        let found = self.partial[start..]
            .windows(2)
            .rposition(|pair| pair == b"\n\n");
        let Some(offset) = found else {
            self.searched = self.partial.len();
            return if self.partial.len() > EVENT_MAX {
                Err(EventError::TooLong)
            } else {
                Ok(None)
            };
        };
        let events = self.partial.split_to(start + offset + 2).freeze();
        self.searched = self.partial.len();
        if first_id(&events).is_some_and(|id| self.last_event.is_some_and(|last| id <= last)) {
            return Err(EventError::Repeated);
        }
        if let Some(last) = last_position(&events) {
            self.last_event = last;
        }
        Ok(Some(events))
    }
}

/// Returns the id, if any, of the last event; none if there is no event. A block
/// without a `data` field, such as a comment, is no event.
fn last_position(events: &[u8]) -> Option<Option<u64>> {
    let mut has_data = false;
    for line in events.rsplit(|byte| *byte == b'\n') {
        if let Some(id) = parse_id(line) {
            return Some(Some(id));
        }
        if line.is_empty() && has_data {
            return Some(None);
        }
        has_data |= line.starts_with(b"data");
    }
    has_data.then_some(None)
}

/// Returns the id of the first event, if it has one.
fn first_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut fields = lines.take_while(|line| !line.is_empty());
    fields.find_map(parse_id)
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}
