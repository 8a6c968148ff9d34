//! Counts the output tokens of a response while it is forwarded.
//!
//! A streamed response is a sequence of server-sent events with one token
//! each; the event `[DONE]` ends it and is not counted. Any other response
//! states its output tokens in `usage.completion_tokens`, near its end.

/// Length of the end of a response that is searched for its usage.
const TAIL_LEN: usize = 1_024;

/// Length of the start of a line that is inspected.
const LINE_LEN: usize = 16;

const EVENT_START: &[u8] = b"data:";
const EVENT_DONE: &[u8] = b"[DONE]";
const USAGE_FIELD: &[u8] = b"\"completion_tokens\":";

/// Counts the output tokens of one response.
#[derive(Debug)]
pub struct TokenCounter {
    stream: bool,
    /// Events counted so far.
    events: u64,
    /// Start of the current line, up to [`LINE_LEN`] bytes, of a stream; the
    /// last bytes, up to [`TAIL_LEN`], of any other response.
    buf: Vec<u8>,
}

impl TokenCounter {
    /// Creates a counter for a streamed or a plain response.
    pub fn new(stream: bool) -> Self {
        TokenCounter {
            stream,
            events: 0,
            buf: Vec::new(),
        }
    }

    /// Processes the next piece of the body.
    pub fn feed(&mut self, data: &[u8]) {
        if self.stream {
            self.feed_lines(data);
        } else {
            self.feed_tail(data);
        }
    }

    /// Returns the tokens counted; 0 if a plain response states none.
    pub fn tokens(&self) -> u64 {
        if self.stream {
            return self.events + u64::from(is_event(&self.buf));
        }
        usage_tokens(&self.buf)
    }

    fn feed_lines(&mut self, data: &[u8]) {
        for byte in data {
            if *byte == b'\n' {
                self.events += u64::from(is_event(&self.buf));
                self.buf.clear();
            } else if self.buf.len() < LINE_LEN {
                self.buf.push(*byte);
            }
        }
    }

    fn feed_tail(&mut self, data: &[u8]) {
        let start = data.len().saturating_sub(TAIL_LEN);
        self.buf.extend_from_slice(&data[start..]);
        let surplus = self.buf.len().saturating_sub(TAIL_LEN);
        self.buf.drain(..surplus);
    }
}

/// Returns whether the start of a line is an event with a token.
fn is_event(line: &[u8]) -> bool {
    line.strip_prefix(EVENT_START)
        .map(<[u8]>::trim_ascii_start)
        .is_some_and(|rest| !rest.is_empty() && !rest.starts_with(EVENT_DONE))
}

fn usage_tokens(tail: &[u8]) -> u64 {
    let mut windows = tail.windows(USAGE_FIELD.len());
    let Some(position) = windows.rposition(|window| window == USAGE_FIELD) else {
        return 0;
    };
    let rest = tail[position + USAGE_FIELD.len()..].trim_ascii_start();
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit());
    digits.fold(0, |sum: u64, byte| {
        sum.saturating_mul(10)
            .saturating_add(u64::from(byte - b'0'))
    })
}
