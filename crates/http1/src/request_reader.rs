//! Reader that buffers a caller's requests until they are complete.

use bytes::{Bytes, BytesMut};
use mulberrywell_role::HttpRequest;
use mulberrywell_wire::request::HeaderField;

use crate::body_framing::{BodyDecoder, BodyFraming};
use crate::head_fields::{
    fields_as_slices, framing_from_headers, list_has_token, HeadError, FIELDS_MAX,
};

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
}

/// A request whose body is incomplete.
#[derive(Debug)]
struct PartialRequest {
    request: ReadRequest,
    decoder: BodyDecoder,
    /// Body bytes received so far, without their framing.
    pieces: BytesMut,
}

/// Reads the requests on one connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    /// Set while a body is incomplete.
    partial: Option<PartialRequest>,
    /// The caller expects an interim response 100 before it sends its body.
    expects_continue: bool,
}

impl RequestReader {
    /// Returns whether a head was read whose body is still incomplete.
    pub fn is_open(&self) -> bool {
        self.partial.is_some()
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
        while let Some(piece) = partial
            .decoder
            .next_piece(buf)
            .map_err(|_| RequestError::BadBody)?
        {
            if partial.pieces.len() + piece.len() > limits.body_max {
                return Err(RequestError::BodyTooLong);
            }
            if partial.decoder.is_done() && partial.pieces.is_empty() {
                partial.request.http.body = piece;
            } else {
                partial.pieces.extend_from_slice(&piece);
            }
        }
        if !partial.decoder.is_done() {
            return Ok(None);
        }
        let done = self.partial.take();
        Ok(done.map(|mut partial| {
            if !partial.pieces.is_empty() {
                partial.request.http.body = partial.pieces.freeze();
            }
            partial.request
        }))
    }

    fn begin_request(
        &mut self,
        buf: &mut BytesMut,
        limits: RequestLimits,
    ) -> Result<bool, RequestError> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed
            .parse(buf)
            .map_err(|_| RequestError::Head(HeadError::Malformed))?;
        let len = match status {
            httparse::Status::Complete(len) if len <= limits.head_max => len,
            httparse::Status::Partial if buf.len() <= limits.head_max => return Ok(false),
            _ => return Err(RequestError::Head(HeadError::TooLong)),
        };
        let head = buf.split_to(len).freeze();
        let (http, minor) = parse_head(&head).map_err(RequestError::Head)?;
        let framing = framing_from_headers(&http.headers).map_err(RequestError::Head)?;
        let framing = framing.unwrap_or(BodyFraming::Length(0));
        if matches!(framing, BodyFraming::Length(len) if len > limits.body_max as u64) {
            return Err(RequestError::BodyTooLong);
        }
        self.expects_continue = list_has_token(&http.headers, "Expect", "100-continue");
        let closes_connection = list_has_token(&http.headers, "Connection", "close")
            || (minor == 0 && !list_has_token(&http.headers, "Connection", "keep-alive"));
        self.partial = Some(PartialRequest {
            request: ReadRequest {
                http,
                closes_connection,
                allows_chunks: minor > 0,
            },
            decoder: BodyDecoder::new(framing),
            pieces: BytesMut::new(),
        });
        Ok(true)
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
