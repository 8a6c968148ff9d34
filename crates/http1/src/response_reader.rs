//! Incremental parser for an endpoint's responses.

use std::ops::RangeInclusive;

use bytes::{Bytes, BytesMut};
use mulberrywell_wire::request::HeaderField;

use crate::body_framing::{BodyDecoder, BodyFraming};
use crate::head_fields::{
    fields_as_slices, framing_from_headers, list_has_token, HeadError, FIELDS_MAX,
};

/// Longest head of a response in bytes, including the interim heads before it.
const HEAD_MAX: usize = 64 * 1024;

/// Statuses that a response may have (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// HTTP status; 200 to 599.
    pub status: u16,
    /// In the order received.
    pub headers: Vec<HeaderField>,
    /// How the body is framed.
    pub framing: BodyFraming,
    /// The endpoint closes the connection after this response.
    pub closes_connection: bool,
}

/// A part of a response.
#[derive(Debug)]
pub enum ResponseInput {
    /// Status and headers.
    Head(ResponseHead),
    /// A piece of the body.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// Reads the responses on one connection.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// Set from a head until the end of its body.
    body: Option<BodyDecoder>,
    /// Bytes of the interim heads before the head that is expected.
    interim_len: usize,
}

impl ResponseReader {
    /// Returns whether a head was read whose body is still incomplete.
    pub fn is_open(&self) -> bool {
        self.body.is_some()
    }

    /// Removes the next part of a response from `buf`; none when more bytes
    /// are needed.
    ///
    /// `is_head_request` says that the request's method was HEAD, so that the
    /// response has no body.
    ///
    /// # Errors
    /// Fails when the bytes are not a valid response; the connection can't be
    /// used any further.
    pub fn next_input(
        &mut self,
        buf: &mut BytesMut,
        is_head_request: bool,
    ) -> Result<Option<ResponseInput>, HeadError> {
        let Some(body) = &mut self.body else {
            return self.next_head(buf, is_head_request);
        };
        if let Some(piece) = body.next_piece(buf).map_err(|_| HeadError::BadFraming)? {
            return Ok(Some(ResponseInput::Data(piece)));
        }
        if body.is_done() {
            self.body = None;
            return Ok(Some(ResponseInput::End));
        }
        Ok(None)
    }

    /// Handles an orderly close of the connection; returns whether it
    /// completed a response.
    pub fn end_of_stream(&mut self) -> bool {
        let completed = self.body.as_mut().is_some_and(BodyDecoder::end_of_stream);
        if completed {
            self.body = None;
        }
        completed
    }

    fn next_head(
        &mut self,
        buf: &mut BytesMut,
        is_head_request: bool,
    ) -> Result<Option<ResponseInput>, HeadError> {
        while !buf.is_empty() {
            let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
            let mut parsed = httparse::Response::new(&mut fields);
            let status = parsed.parse(buf).map_err(|_| HeadError::Malformed)?;
            let len = match status {
                httparse::Status::Complete(len) => len,
                httparse::Status::Partial => buf.len(),
            };
            if self.interim_len + len > HEAD_MAX {
                return Err(HeadError::TooLong);
            }
            if status.is_partial() {
                break;
            }
            let head = parse_head(&buf.split_to(len).freeze(), is_head_request)?;
            if head.status < 200 {
                self.interim_len += len;
                continue;
            }
            self.interim_len = 0;
            self.body = Some(BodyDecoder::new(head.framing));
            return Ok(Some(ResponseInput::Head(head)));
        }
        Ok(None)
    }
}

fn parse_head(head: &Bytes, is_head_request: bool) -> Result<ResponseHead, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut fields);
    parsed.parse(head).map_err(|_| HeadError::Malformed)?;
    let (Some(status), Some(minor)) = (parsed.code, parsed.version) else {
        return Err(HeadError::Malformed);
    };
    if !STATUSES.contains(&status) {
        return Err(HeadError::Malformed);
    }
    let headers = fields_as_slices(head, parsed.headers);
    let framing = if is_head_request || status < 200 || status == 204 || status == 304 {
        BodyFraming::Length(0)
    } else {
        framing_from_headers(&headers)?.unwrap_or(BodyFraming::UntilClose)
    };
    let closes_connection = framing == BodyFraming::UntilClose
        || list_has_token(&headers, "Connection", "close")
        || (minor == 0 && !list_has_token(&headers, "Connection", "keep-alive"));
    Ok(ResponseHead {
        status,
        headers,
        framing,
        closes_connection,
    })
}
