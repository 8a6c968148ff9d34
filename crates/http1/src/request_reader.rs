//! Reader that buffers a caller's requests until they are complete.
//!
//! Guarantees: a body takes at most a quarter more memory than it has bytes, or the length
//! that its head states; the time to read a head or body is linear in its length, however
//! its bytes are divided.

use bytes::{Buf, Bytes, BytesMut};
use mulberrywell_role::HttpRequest;
use mulberrywell_wire::request::HeaderField;

use crate::body_framing::{BodyDecoder, BodyFraming};
use crate::head_fields::{
    fields_as_slices, framing_from_headers, list_has_token, HeadError, FIELDS_MAX,
};

/// Length of the longest end of a head: the end of a line and an empty line.
const HEAD_END_LEN: usize = 3;

/// Memory in bytes of one field of a head, beside its text.
const FIELD_MEMORY: usize = std::mem::size_of::<HeaderField>();

/// Divisor of the length of a body that gives the spare memory taken with it.
const SPARE_DIVISOR: usize = 4;

/// Size limits of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Longest head in bytes.
    pub head_max: usize,
    /// Longest body in bytes.
    pub body_max: usize,
}

/// Why a request is rejected; the connection can't be used any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The head is rejected.
    Head(HeadError),
    /// The body is longer than the limit.
    BodyTooLong,
    /// The body violates its framing.
    BadBody,
}

/// A complete request and the properties of its connection.
#[derive(Debug)]
pub struct ReadRequest {
    /// The request.
    pub http: HttpRequest,
    /// The caller expects the connection to close after this response.
    pub closes_connection: bool,
    /// The caller accepts a chunked response: it speaks HTTP/1.1.
    pub allows_chunks: bool,
    /// Length of the head in bytes.
    pub head_len: usize,
}

impl ReadRequest {
    /// Returns the memory in bytes of the head.
    pub fn head_memory(&self) -> usize {
        self.head_len + self.http.headers.len() * FIELD_MEMORY
    }
}

/// A request whose body is incomplete.
#[derive(Debug)]
struct PartialRequest {
    request: ReadRequest,
    decoder: BodyDecoder,
    /// Length of the body, if the head states it.
    length: Option<usize>,
    /// Body bytes received so far, without their framing.
    pieces: Vec<u8>,
}

/// Reads the requests on one connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    /// Set while a body is incomplete.
    partial: Option<PartialRequest>,
    /// Bytes of an incomplete head in which its end was looked for.
    scanned: usize,
    /// Bytes of an incomplete head that were parsed, and are valid.
    parsed: usize,
    /// The caller expects an interim response 100 before it sends its body.
    expects_continue: bool,
}

impl RequestReader {
    /// Returns whether a head was read whose body is still incomplete.
    pub fn is_open(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the memory in bytes that the incomplete body has or will take; a body whose
    /// length is not stated takes more as it arrives.
    pub fn reserved_len(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| {
            let stated = partial.length.unwrap_or(0);
            partial.pieces.capacity().max(stated)
        })
    }

    /// Returns how many bytes of the incomplete body are still to come, if its head states
    /// its length.
    pub fn remaining_len(&self) -> Option<usize> {
        let partial = self.partial.as_ref()?;
        Some(partial.length?.saturating_sub(partial.pieces.len()))
    }

    /// Returns the memory in bytes of the head whose body is incomplete.
    pub fn head_memory(&self) -> usize {
        let partial = self.partial.as_ref();
        partial.map_or(0, |partial| partial.request.head_memory())
    }

    /// Returns whether the caller expects an interim response 100; true once
    /// per request.
    pub fn pop_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// Removes the next complete request from `buf`; none when more bytes are
    /// needed.
    ///
    /// # Errors
    /// Fails when the bytes are not a valid request or exceed a limit.
    pub fn next_request(
        &mut self,
        buf: &mut BytesMut,
        limits: RequestLimits,
    ) -> Result<Option<ReadRequest>, RequestError> {
        if self.partial.is_none() && !self.begin_request(buf, limits)? {
            return Ok(None);
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        partial.read_body(buf, limits.body_max)?;
        if !partial.decoder.is_done() {
            return Ok(None);
        }
        let done = self.partial.take();
        Ok(done.map(|mut partial| {
            if !partial.pieces.is_empty() {
                partial.pieces.shrink_to_fit();
                partial.request.http.body = Bytes::from(partial.pieces);
            }
            partial.request
        }))
    }

    fn begin_request(
        &mut self,
        buf: &mut BytesMut,
        limits: RequestLimits,
    ) -> Result<bool, RequestError> {
        if !self.is_parse_due(buf, limits.head_max) {
            return Ok(false);
        }
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed
            .parse(buf)
            .map_err(|_| RequestError::Head(HeadError::Malformed))?;
        let len = match status {
            httparse::Status::Complete(len) if len <= limits.head_max => len,
            httparse::Status::Partial if buf.len() <= limits.head_max => {
                self.parsed = buf.len();
                return Ok(false);
            }
            _ => return Err(RequestError::Head(HeadError::TooLong)),
        };
        (self.scanned, self.parsed) = (0, 0);
        let head = buf.split_to(len).freeze();
        let (mut http, minor) = parse_head(&head).map_err(RequestError::Head)?;
        let framing = framing_from_headers(&http.headers).map_err(RequestError::Head)?;
        let framing = framing.unwrap_or(BodyFraming::Length(0));
        if matches!(framing, BodyFraming::Length(len) if len > limits.body_max as u64) {
            return Err(RequestError::BodyTooLong);
        }
        if !matches!(framing, BodyFraming::Length(len) if len <= buf.len() as u64) {
            // A slice would keep the memory of all that arrived with the head until the
            // body is complete.
            (http, _) = parse_head(&Bytes::copy_from_slice(&head)).map_err(RequestError::Head)?;
        }
        self.expects_continue = list_has_token(&http.headers, "Expect", "100-continue");
        let closes_connection = list_has_token(&http.headers, "Connection", "close")
            || (minor == 0 && !list_has_token(&http.headers, "Connection", "keep-alive"));
        self.partial = Some(PartialRequest {
            request: ReadRequest {
                http,
                closes_connection,
                allows_chunks: minor > 0,
                head_len: len,
            },
            decoder: BodyDecoder::new(framing),
            length: match framing {
                BodyFraming::Length(len) => usize::try_from(len).ok(),
                BodyFraming::Chunked | BodyFraming::UntilClose => None,
            },
            pieces: Vec::new(),
        });
        Ok(true)
    }

    /// Returns whether a head must be parsed: it may be complete, is too long, or is twice
    /// as long as when it was last found valid. Parsing it for each byte that arrives would
    /// take time that grows with the square of its length.
    fn is_parse_due(&mut self, buf: &[u8], head_max: usize) -> bool {
        let unscanned = &buf[self.scanned.saturating_sub(HEAD_END_LEN - 1).min(buf.len())..];
        self.scanned = buf.len();
        let mut line_ends = unscanned.windows(2).zip(1..);
        let has_end = line_ends.any(|(pair, idx)| {
            pair == b"\n\n" || (pair == b"\n\r" && unscanned.get(idx + 1) == Some(&b'\n'))
        });
        has_end || buf.len() > head_max || buf.len() >= 2 * self.parsed
    }
}

impl PartialRequest {
    /// Moves the body bytes in `buf` to the body.
    fn read_body(&mut self, buf: &mut BytesMut, body_max: usize) -> Result<(), RequestError> {
        loop {
            let next_len = self.decoder.next_data_len(buf);
            let len = next_len.map_err(|_| RequestError::BadBody)?;
            if len == 0 {
                return Ok(());
            }
            if self.pieces.len() + len > body_max {
                return Err(RequestError::BodyTooLong);
            }
            if self.pieces.is_empty() && self.length == Some(len) {
                self.request.http.body = buf.split_to(len).freeze();
                return Ok(());
            }
            self.reserve_body(len);
            self.pieces.extend_from_slice(&buf[..len]);
            buf.advance(len);
        }
    }

    /// Makes room for `len` more bytes.
    fn reserve_body(&mut self, len: usize) {
        let needed = self.pieces.len() + len;
        if needed > self.pieces.capacity() {
            let target = self.length.unwrap_or(needed + needed / SPARE_DIVISOR);
            let additional = target.max(needed) - self.pieces.len();
            self.pieces.reserve_exact(additional);
        }
    }
}

/// Parses a complete head; also returns the minor version of HTTP/1.
fn parse_head(head: &Bytes) -> Result<(HttpRequest, u8), HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    parsed.parse(head).map_err(|_| HeadError::Malformed)?;
    let (Some(method), Some(path)) = (parsed.method, parsed.path) else {
        return Err(HeadError::Malformed);
    };
    let headers: Vec<HeaderField> = fields_as_slices(head, parsed.headers);
    let http = HttpRequest {
        method: head.slice_ref(method.as_bytes()),
        path: head.slice_ref(path.as_bytes()),
        headers,
        body: Bytes::new(),
    };
    Ok((http, parsed.version.unwrap_or(1)))
}
