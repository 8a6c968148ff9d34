//! Validates the head of an HTTP request before it is forwarded to the HTTP
//! server library.
//!
//! Purpose: the library limits neither the length of a head nor the body length
//! that a head states, and it accepts some malformed heads, which it interprets
//! in its own way. A head that passes this check is unambiguous (RFC 9112): its
//! body has a known length or is chunked.
//!
//! Algorithm: [`HeadScan`] examines each byte once, as it arrives, so that
//! bytes that can't be a head are rejected at once. [`check_head`] then
//! validates the fields of the complete head.

/// Maximum length of a head in bytes.
pub const HEAD_MAX: usize = 16 * 1024;

/// Supported HTTP versions.
const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not a valid head.
    Malformed,
    /// The head is longer than [`HEAD_MAX`].
    TooLong,
    /// The body is longer than the limit.
    BodyTooLong,
    /// The body lengths contradict each other or can't be parsed.
    AmbiguousLength,
    /// The caller requests a protocol upgrade.
    Upgrade,
}

/// Where the body of a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// After this many bytes.
    Known(u64),
    /// After its last chunk.
    Chunked,
}

/// Incremental scanner for the end of a head.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeadScan {
    /// Number of bytes scanned; at most [`HEAD_MAX`].
    scanned: usize,
    /// Number of bytes of the final `\r\n\r\n` matched so far; at most 4.
    matched: usize,
}

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

impl HeadScan {
    /// Scans the bytes of `head` that earlier calls did not scan; returns the
    /// length of the head once it is complete.
    ///
    /// # Errors
    /// Fails as soon as the bytes can't become a head.
    pub fn advance(&mut self, head: &[u8]) -> Result<Option<usize>, HeadError> {
        for (idx, byte) in head.iter().enumerate().skip(self.scanned) {
            if idx >= HEAD_MAX {
                return Err(HeadError::TooLong);
            }
            self.scanned = idx + 1;
            self.scan_byte(idx, *byte)?;
            if self.matched == HEAD_END.len() {
                return Ok(Some(self.scanned));
            }
        }
        if self.scanned >= HEAD_MAX {
            return Err(HeadError::TooLong);
        }
        Ok(None)
    }

    fn scan_byte(&mut self, idx: usize, byte: u8) -> Result<(), HeadError> {
        if idx == 0 && !byte.is_ascii_uppercase() {
            return Err(HeadError::Malformed);
        }
        let expected = HEAD_END[self.matched];
        self.matched = match byte {
            _ if byte == expected => self.matched + 1,
            b'\r' | b'\n' => return Err(HeadError::Malformed),
            // A carriage return must be followed by a line feed.
            _ if self.matched % 2 == 1 => return Err(HeadError::Malformed),
            b'\t' | b' '..=b'~' => 0,
            _ => return Err(HeadError::Malformed),
        };
        Ok(())
    }
}

/// Validates the fields of a complete head; bodies may have up to `max_body`
/// bytes.
///
/// # Errors
/// Fails when the head is malformed or ambiguous, states a body over the limit
/// or requests an upgrade.
pub fn check_head(head: &[u8], max_body: u64) -> Result<BodyLength, HeadError> {
    let text = std::str::from_utf8(head).map_err(|_| HeadError::Malformed)?;
    let mut lines = text.trim_end().split("\r\n");
    if !lines.next().is_some_and(is_request_line) {
        return Err(HeadError::Malformed);
    }
    let mut length = None;
    let mut chunked = false;
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(HeadError::Malformed)?;
        if name.is_empty() || !name.bytes().all(is_token_byte) {
            return Err(HeadError::Malformed);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            if length.is_some() {
                return Err(HeadError::AmbiguousLength);
            }
            length = Some(parse_length(value)?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !value.eq_ignore_ascii_case("chunked") {
                return Err(HeadError::AmbiguousLength);
            }
            chunked = true;
        } else if name.eq_ignore_ascii_case("connection") && has_upgrade(value) {
            return Err(HeadError::Upgrade);
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(HeadError::AmbiguousLength),
        (Some(length), false) if length > max_body => Err(HeadError::BodyTooLong),
        (Some(length), false) => Ok(BodyLength::Known(length)),
        (None, true) => Ok(BodyLength::Chunked),
        (None, false) => Ok(BodyLength::Known(0)),
    }
}

/// Returns whether the sender of a valid head supports chunked transfer coding.
pub fn allows_chunks(head: &[u8]) -> bool {
    let line = head.split(|byte| *byte == b'\r').next();
    !line.is_some_and(|line| line.ends_with(b" HTTP/1.0"))
}

/// Returns whether a line has a method, a path and a supported version.
fn is_request_line(line: &str) -> bool {
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default();
    let path = words.next().unwrap_or_default();
    let version = words.next().unwrap_or_default();
    method.bytes().all(is_token_byte)
        && path.starts_with(['/', '*'])
        && VERSIONS.contains(&version)
        && words.next().is_none()
}

/// Parses a body length; one that exceeds 64 bits counts as too long, not as
/// malformed.
fn parse_length(value: &str) -> Result<u64, HeadError> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HeadError::AmbiguousLength);
    }
    Ok(value.parse().unwrap_or(u64::MAX))
}

fn has_upgrade(value: &str) -> bool {
    value.to_ascii_lowercase().contains("upgrade")
}

/// Returns whether a byte may occur in a token (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
