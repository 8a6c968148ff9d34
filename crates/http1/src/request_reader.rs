//! Reads a caller's requests whole.

use bytes::{Bytes, BytesMut};
use mulberrywell_role::HttpRequest;
use mulberrywell_wire::request::HeaderField;

use crate::body_framing::{BodyDecoder, BodyFraming};
use crate::head_fields::{lists_token, named_framing, slice_fields, HeadFault, FIELDS_MAX};

/// Bounds of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Longest head in bytes.
    pub head_max: usize,
    /// Longest body in bytes.
    pub body_max: usize,
}

/// Why a request is refused; the connection can't be used any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFault {
    /// The head can't be used.
    Head(HeadFault),
    /// The body is longer than the limit.
    BodyTooLong,
    /// The body breaks its framing.
    BadBody,
}

/// A request with what its connection needs to know.
#[derive(Debug)]
pub struct ReadRequest {
    /// The request.
    pub http: HttpRequest,
    /// The caller takes no further answer on the connection.
    pub last: bool,
    /// The caller reads chunks.
    pub chunks: bool,
}

#[derive(Debug)]
struct OpenRequest {
    request: ReadRequest,
    decoder: BodyDecoder,
    /// Pieces of the body that have come.
    pieces: BytesMut,
}

/// Reads one request after the other.
#[derive(Debug, Default)]
pub struct RequestReader {
    /// Set while a body is awaited.
    open: Option<OpenRequest>,
    /// The caller waits for word that its body is wanted.
    wants_continue: bool,
}

impl RequestReader {
    /// Tells whether a head has come whose body is awaited.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Takes the caller's wish for an interim answer, once.
    pub fn take_continue(&mut self) -> bool {
        std::mem::take(&mut self.wants_continue)
    }

    /// Takes the next whole request out of `buf`.
    ///
    /// # Errors
    /// Fails when the bytes are no request or exceed a limit.
    pub fn next_request(
        &mut self,
        buf: &mut BytesMut,
        limits: RequestLimits,
    ) -> Result<Option<ReadRequest>, RequestFault> {
        if self.open.is_none() && !self.take_head(buf, limits)? {
            return Ok(None);
        }
        let Some(open) = &mut self.open else {
            return Ok(None);
        };
        while let Some(piece) = open
            .decoder
            .next_piece(buf)
            .map_err(|_| RequestFault::BadBody)?
        {
            if open.pieces.len() + piece.len() > limits.body_max {
                return Err(RequestFault::BodyTooLong);
            }
            if open.decoder.is_done() && open.pieces.is_empty() {
                open.request.http.body = piece;
            } else {
                open.pieces.extend_from_slice(&piece);
            }
        }
        if !open.decoder.is_done() {
            return Ok(None);
        }
        let done = self.open.take();
        Ok(done.map(|mut open| {
            if !open.pieces.is_empty() {
                open.request.http.body = open.pieces.freeze();
            }
            open.request
        }))
    }

    fn take_head(
        &mut self,
        buf: &mut BytesMut,
        limits: RequestLimits,
    ) -> Result<bool, RequestFault> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed
            .parse(buf)
            .map_err(|_| RequestFault::Head(HeadFault::Malformed))?;
        let len = match status {
            httparse::Status::Complete(len) if len <= limits.head_max => len,
            httparse::Status::Partial if buf.len() <= limits.head_max => return Ok(false),
            _ => return Err(RequestFault::Head(HeadFault::TooLong)),
        };
        let head = buf.split_to(len).freeze();
        let (http, minor) = read_head(&head).map_err(RequestFault::Head)?;
        let framing = named_framing(&http.headers).map_err(RequestFault::Head)?;
        let framing = framing.unwrap_or(BodyFraming::Length(0));
        if matches!(framing, BodyFraming::Length(len) if len > limits.body_max as u64) {
            return Err(RequestFault::BodyTooLong);
        }
        self.wants_continue = lists_token(&http.headers, "Expect", "100-continue");
        let last = lists_token(&http.headers, "Connection", "close")
            || (minor == 0 && !lists_token(&http.headers, "Connection", "keep-alive"));
        self.open = Some(OpenRequest {
            request: ReadRequest {
                http,
                last,
                chunks: minor > 0,
            },
            decoder: BodyDecoder::new(framing),
            pieces: BytesMut::new(),
        });
        Ok(true)
    }
}

/// Reads a whole head; returns the minor version of HTTP/1 with it.
fn read_head(head: &Bytes) -> Result<(HttpRequest, u8), HeadFault> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    parsed.parse(head).map_err(|_| HeadFault::Malformed)?;
    let (Some(method), Some(path)) = (parsed.method, parsed.path) else {
        return Err(HeadFault::Malformed);
    };
    let headers: Vec<HeaderField> = slice_fields(head, parsed.headers);
    let http = HttpRequest {
        method: head.slice_ref(method.as_bytes()),
        path: head.slice_ref(path.as_bytes()),
        headers,
        body: Bytes::new(),
    };
    Ok((http, parsed.version.unwrap_or(1)))
}
