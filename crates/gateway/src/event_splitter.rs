//! Whole events out of a stream's bytes (WHATWG HTML, server-sent events).
//!
//! Guarantees: only whole events are given out, in their order and unchanged;
//! what is left at the end is an event that broke off.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes.
const EVENT_MAX: usize = 1024 * 1024;

/// Splits one stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that are not yet a whole event.
    tail: BytesMut,
    /// Bytes of `tail` that were searched for an event's end.
    searched: usize,
    /// Id of the last whole event.
    last_event: Option<u64>,
}

/// An event is longer than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Creates a splitter for a stream that goes on after an event.
    pub fn after(last_event: Option<u64>) -> Self {
        EventSplitter {
            last_event,
            ..EventSplitter::default()
        }
    }

    /// Returns the id of the last whole event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Tells whether an event has begun and not ended.
    pub fn has_tail(&self) -> bool {
        !self.tail.is_empty()
    }

    /// Drops an event that broke off.
    pub fn drop_tail(&mut self) {
        self.tail.clear();
        self.searched = 0;
    }

    /// Takes bytes in; returns the events that are whole by them.
    ///
    /// # Errors
    /// Fails when an event is longer than the limit.
    pub fn feed(&mut self, data: &Bytes) -> Result<Option<Bytes>, EventTooLong> {
        self.tail.extend_from_slice(data);
        let start = self.searched.saturating_sub(1);
        let found = self.tail[start..]
            .windows(2)
            .rposition(|pair| pair == b"\n\n");
        let Some(place) = found else {
            self.searched = self.tail.len();
            return if self.tail.len() > EVENT_MAX {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        let events = self.tail.split_to(start + place + 2).freeze();
        self.searched = self.tail.len();
        if let Some(id) = last_id(&events) {
            self.last_event = Some(id);
        }
        Ok(Some(events))
    }
}

/// Returns the id that the last event with one names.
fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
    })
}
