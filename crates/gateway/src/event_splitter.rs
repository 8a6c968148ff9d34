//! Splits a byte stream into complete events (WHATWG HTML, server-sent events).
//!
//! Guarantees: only complete events are returned, in order and unchanged; a run that
//! resumes the stream repeats no event of the runs before it. What remains at the end
//! of a run is a truncated event if it has a field. Blocks without data, such as
//! comments, are held back until the run's first event, so that a run without one can
//! be replaced. A run that resumes the stream brings no text of its own before its first
//! event, such as an error's: only comments and known fields. Lines end with a newline,
//! or with a return and a newline.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const EVENT_MAX: usize = 1024 * 1024;

/// Names of the fields that the format knows.
const FIELD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Begin of the first line of a response's head.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// Splitter state of one stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Blocks that are held back, and bytes of an incomplete event.
    partial: BytesMut,
    /// Bytes of `partial` that are held back until the first event of the run.
    held: usize,
    /// Bytes of `partial` already searched for the end of an event.
    searched: usize,
    /// Id of the last complete event; none if it has none. Before the first event, the
    /// caller's own position.
    last_event: Option<u64>,
    /// Whether the current run has returned an event.
    has_event: bool,
    /// Id of the last event that the runs before the current one have returned.
    resumed_after: Option<u64>,
    /// A run broke off inside an event, and no run has returned one since.
    awaits_event: bool,
}

/// Why a stream can't be forwarded any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than the limit.
    TooLong,
    /// Events that the caller has received come again.
    Repeated,
    /// A run that resumes the stream begins with text that is no event.
    Foreign,
    /// The head of a response stands among the events.
    SecondHead,
}

impl EventSplitter {
    /// Creates a splitter for a stream that its caller resumes after an event.
    pub fn resuming_after(last_event: Option<u64>) -> Self {
        EventSplitter {
            last_event,
            ..EventSplitter::default()
        }
    }

    /// Returns the id of the last complete event, or the caller's own position before
    /// the first; none if that event has none.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns the id of the last event returned; none if there is no such event or it
    /// has none, so that the stream can't be resumed after it.
    pub fn resume_position(&self) -> Option<u64> {
        if self.has_event {
            self.last_event
        } else {
            self.resumed_after
        }
    }

    /// Returns whether a run before the current one broke off inside an event that is
    /// still to come, so that the stream isn't complete.
    pub fn awaits_event(&self) -> bool {
        self.awaits_event
    }

    /// Returns whether the current run has returned an event.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether an event is incomplete. Comments and blank lines belong to none.
    pub fn has_partial_event(&self) -> bool {
        lines(&self.partial[self.held..]).any(is_field)
    }

    /// Returns whether the current run resumes the stream and has brought fields, but no
    /// event that they belong to.
    pub fn has_fields_only(&self) -> bool {
        let is_resumption = self.resumed_after.is_some();
        is_resumption && !self.has_event && lines(&self.partial).any(is_field)
    }

    /// Returns what remains of a stream that is complete.
    pub fn take_rest(&mut self) -> Bytes {
        self.held = 0;
        self.searched = 0;
        self.partial.split().freeze()
    }

    /// Ends a run and discards its incomplete event. The next run must continue after
    /// the events returned so far.
    pub fn end_run(&mut self) {
        self.awaits_event |= self.has_partial_event();
        self.partial.clear();
        self.held = 0;
        self.searched = 0;
        self.resumed_after = self.resume_position();
        self.has_event = false;
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    /// Fails when an event is longer than the limit, or was returned in an earlier run,
    /// when a run that resumes the stream begins with text that is no event, and when a
    /// head stands among the events.
    pub fn feed(&mut self, data: &Bytes) -> Result<Option<Bytes>, EventError> {
        self.partial.extend_from_slice(data);
        let start = std::mem::replace(&mut self.searched, self.partial.len());
        if let Some(end) = last_block_end(&self.partial, start) {
            let blocks = &self.partial[self.held..end];
            if self
                .resumed_after
                .is_some_and(|last| has_id_up_to(blocks, last))
            {
                return Err(EventError::Repeated);
            }
            let is_begin = self.resumed_after.is_some() && !self.has_event;
            if is_begin && begins_with_text(blocks) {
                return Err(EventError::Foreign);
            }
            if self.has_event || has_data(blocks) {
                if lines(blocks).any(is_status_line) {
                    return Err(EventError::SecondHead);
                }
                return Ok(Some(self.split_events(end)));
            }
            self.held = end;
        }
        if self.partial.len() > EVENT_MAX {
            return Err(EventError::TooLong);
        }
        Ok(None)
    }

    fn split_events(&mut self, end: usize) -> Bytes {
        let events = self.partial.split_to(end).freeze();
        self.held = 0;
        self.searched = self.partial.len();
        self.has_event = true;
        self.awaits_event = false;
        if let Some(last) = last_position(&events) {
            self.last_event = last;
        }
        events
    }
}

/// Returns the end of the last block of `bytes`; none if it is not beyond `start`.
fn last_block_end(bytes: &[u8], start: usize) -> Option<usize> {
    let bytes_backwards = bytes[start..].iter().enumerate().rev();
    let mut line_ends = bytes_backwards
        .filter(|(_, byte)| **byte == b'\n')
        .map(|(offset, _)| start + offset);
    let blank_line = line_ends.find(|idx| strip_return(&bytes[..*idx]).ends_with(b"\n"));
    blank_line.map(|idx| idx + 1)
}

/// Returns the lines of blocks, without their ends.
fn lines(blocks: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    blocks.split(|byte| *byte == b'\n').map(strip_return)
}

fn strip_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Returns the id, if any, of the last event; none if there is no event.
fn last_position(events: &[u8]) -> Option<Option<u64>> {
    let mut has_data = false;
    for line in lines(events).rev() {
        if let Some(id) = parse_id(line) {
            return Some(Some(id));
        }
        if line.is_empty() && has_data {
            return Some(None);
        }
        has_data |= is_data(line);
    }
    has_data.then_some(None)
}

/// Returns whether one of the blocks is an event. A block without a `data` field, such
/// as a comment, is none.
fn has_data(blocks: &[u8]) -> bool {
    lines(blocks).any(is_data)
}

/// Returns whether a block before the first event has a line that is neither a comment
/// nor a known field.
fn begins_with_text(blocks: &[u8]) -> bool {
    let mut has_text = false;
    for line in lines(blocks).take_while(|line| !is_data(line)) {
        if line.is_empty() && has_text {
            return true;
        }
        has_text |= is_field(line) && !is_known_field(line);
    }
    false
}

fn is_known_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next();
    name.is_some_and(|name| FIELD_NAMES.contains(&name))
}

/// Returns whether a line begins the head of a response. No field has such a name.
fn is_status_line(line: &[u8]) -> bool {
    line.starts_with(STATUS_LINE_START)
}

/// Returns whether a line is a field, or the beginning of one.
fn is_field(line: &[u8]) -> bool {
    line.first().is_some_and(|byte| *byte != b':')
}

fn is_data(line: &[u8]) -> bool {
    line.strip_prefix(b"data")
        .is_some_and(|rest| rest.first().is_none_or(|byte| *byte == b':'))
}

/// Returns whether an id among the events is not above `last`.
fn has_id_up_to(events: &[u8], last: u64) -> bool {
    lines(events).any(|line| parse_id(line).is_some_and(|id| id <= last))
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}
