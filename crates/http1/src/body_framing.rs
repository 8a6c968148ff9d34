//! Where a body ends, and its bytes without the framing.

use bytes::{Buf, Bytes, BytesMut};

/// Longest line with a chunk's size in bytes.
const SIZE_LINE_MAX: usize = 256;

/// Longest trailer line in bytes.
const TRAILER_MAX: usize = 4 * 1024;

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// This many bytes.
    Length(u64),
    /// Chunks up to one of size 0.
    Chunked,
    /// All bytes until the connection's end.
    UntilClose,
}

/// The bytes are no body of this framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyFault;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// Bytes left of a length or a chunk.
    Plain(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Takes the framing off a body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder at the first byte of a body.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(len) => DecoderState::Plain(len),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Tells whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Notes the connection's end; tells whether that ends the body well.
    pub fn end_of_stream(&mut self) -> bool {
        if self.state == DecoderState::UntilClose {
            self.state = DecoderState::Done;
        }
        self.is_done()
    }

    /// Takes the next piece out of `buf`; none when more bytes are needed or
    /// the body is whole.
    ///
    /// # Errors
    /// Fails when the bytes break the framing.
    pub fn next_piece(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, BodyFault> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(None),
                DecoderState::UntilClose => {
                    let piece = buf.split().freeze();
                    return Ok((!piece.is_empty()).then_some(piece));
                }
                DecoderState::Plain(left) | DecoderState::ChunkData(left) => {
                    return Ok(self.take_plain(left, buf));
                }
                DecoderState::ChunkSize => {
                    if !self.take_size(buf)? {
                        return Ok(None);
                    }
                }
                DecoderState::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(BodyFault);
                    }
                    buf.advance(2);
                    self.state = DecoderState::ChunkSize;
                }
                DecoderState::Trailer => {
                    if !self.take_trailer(buf)? {
                        return Ok(None);
                    }
                }
            }
        }
    }

    fn take_plain(&mut self, left: u64, buf: &mut BytesMut) -> Option<Bytes> {
        let len = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
        if len == 0 {
            return None;
        }
        let rest = left - len as u64;
        self.state = match (self.state, rest) {
            (DecoderState::Plain(_), 0) => DecoderState::Done,
            (DecoderState::Plain(_), rest) => DecoderState::Plain(rest),
            (_, 0) => DecoderState::ChunkEnd,
            (_, rest) => DecoderState::ChunkData(rest),
        };
        Some(buf.split_to(len).freeze())
    }

    fn take_size(&mut self, buf: &mut BytesMut) -> Result<bool, BodyFault> {
        match httparse::parse_chunk_size(buf) {
            Ok(httparse::Status::Complete((len, size))) => {
                buf.advance(len);
                self.state = match size {
                    0 => DecoderState::Trailer,
                    size => DecoderState::ChunkData(size),
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buf.len() <= SIZE_LINE_MAX => Ok(false),
            _ => Err(BodyFault),
        }
    }

    fn take_trailer(&mut self, buf: &mut BytesMut) -> Result<bool, BodyFault> {
        let Some(end) = buf.windows(2).position(|pair| pair == b"\r\n") else {
            return if buf.len() > TRAILER_MAX {
                Err(BodyFault)
            } else {
                Ok(false)
            };
        };
        buf.advance(end + 2);
        if end == 0 {
            self.state = DecoderState::Done;
        }
        Ok(true)
    }
}
