//! Reads an endpoint's answers piece by piece.

use bytes::{Bytes, BytesMut};
use mulberrywell_wire::request::HeaderField;

use crate::body_framing::{BodyDecoder, BodyFraming};
use crate::head_fields::{lists_token, named_framing, slice_fields, HeadFault, FIELDS_MAX};

/// Longest head of an answer in bytes.
const HEAD_MAX: usize = 64 * 1024;

/// Head of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// HTTP status; 200 or more.
    pub status: u16,
    /// In the order received.
    pub headers: Vec<HeaderField>,
    /// How the body is framed.
    pub framing: BodyFraming,
    /// The endpoint closes the connection after this answer.
    pub last: bool,
}

/// What came of an answer.
#[derive(Debug)]
pub enum AnswerInput {
    /// A head.
    Head(AnswerHead),
    /// A piece of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// Reads the answers on one connection.
#[derive(Debug, Default)]
pub struct AnswerReader {
    /// Set between a head and the end of its body.
    body: Option<BodyDecoder>,
}

impl AnswerReader {
    /// Tells whether a head has come whose body is not whole.
    pub fn is_open(&self) -> bool {
        self.body.is_some()
    }

    /// Takes the next input out of `buf`; none when more bytes are needed.
    ///
    /// `bodyless` tells that the request was a HEAD.
    ///
    /// # Errors
    /// Fails when the bytes are no answer; the connection is then spoiled.
    pub fn next_input(
        &mut self,
        buf: &mut BytesMut,
        bodyless: bool,
    ) -> Result<Option<AnswerInput>, HeadFault> {
        let Some(body) = &mut self.body else {
            return self.take_head(buf, bodyless);
        };
        if let Some(piece) = body.next_piece(buf).map_err(|_| HeadFault::BadFraming)? {
            return Ok(Some(AnswerInput::Data(piece)));
        }
        if body.is_done() {
            self.body = None;
            return Ok(Some(AnswerInput::End));
        }
        Ok(None)
    }

    /// Notes an orderly end of the connection; tells whether the answer is
    /// whole by that.
    pub fn end_of_stream(&mut self) -> bool {
        let ended = self.body.as_mut().is_some_and(BodyDecoder::end_of_stream);
        if ended {
            self.body = None;
        }
        ended
    }

    fn take_head(
        &mut self,
        buf: &mut BytesMut,
        bodyless: bool,
    ) -> Result<Option<AnswerInput>, HeadFault> {
        if buf.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(buf).map_err(|_| HeadFault::Malformed)?;
        let httparse::Status::Complete(len) = status else {
            return if buf.len() > HEAD_MAX {
                Err(HeadFault::TooLong)
            } else {
                Ok(None)
            };
        };
        let head = buf.split_to(len).freeze();
        let head = read_head(&head, bodyless)?;
        if head.status < 200 {
            return self.take_head(buf, bodyless);
        }
        self.body = Some(BodyDecoder::new(head.framing));
        Ok(Some(AnswerInput::Head(head)))
    }
}

fn read_head(head: &Bytes, bodyless: bool) -> Result<AnswerHead, HeadFault> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut fields);
    parsed.parse(head).map_err(|_| HeadFault::Malformed)?;
    let (Some(status), Some(minor)) = (parsed.code, parsed.version) else {
        return Err(HeadFault::Malformed);
    };
    let headers = slice_fields(head, parsed.headers);
    let framing = if bodyless || status < 200 || status == 204 || status == 304 {
        BodyFraming::Length(0)
    } else {
        named_framing(&headers)?.unwrap_or(BodyFraming::UntilClose)
    };
    let last = framing == BodyFraming::UntilClose
        || lists_token(&headers, "Connection", "close")
        || (minor == 0 && !lists_token(&headers, "Connection", "keep-alive"));
    Ok(AnswerHead {
        status,
        headers,
        framing,
        last,
    })
}
