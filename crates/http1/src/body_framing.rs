//! Decoder for message bodies: finds the end of a body and removes its framing.

use bytes::{Buf, Bytes, BytesMut};

/// Longest chunk size line in bytes.
const SIZE_LINE_MAX: usize = 256;

/// Longest trailer section in bytes.
const TRAILER_MAX: usize = 4 * 1024;

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// A body of this many bytes.
    Length(u64),
    /// Chunks, ended by one of size 0.
    Chunked,
    /// All bytes until the connection closes.
    UntilClose,
}

/// The bytes violate the framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyError;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// Bytes left of a body with a length.
    Plain(u64),
    ChunkSize,
    /// Bytes left of a chunk.
    ChunkData(u64),
    ChunkEnd,
    /// Bytes that the rest of the trailer section may have.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Removes the framing from a body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder that expects the first byte of a body.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(len) => DecoderState::Plain(len),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Handles the close of the connection; returns whether the body is
    /// complete.
    pub fn end_of_stream(&mut self) -> bool {
        if self.state == DecoderState::UntilClose {
            self.state = DecoderState::Done;
        }
        self.is_done()
    }

    /// Removes the next piece of the body from `buf`; none when more bytes are
    /// needed or the body is complete.
    ///
    /// The data of all chunks in `buf` is one piece, so that the pieces handed on are as
    /// many as the reads and not as many as the chunks, whose number the peer chooses.
    /// Data that is in one chunk is not copied.
    ///
    /// # Errors
    /// Fails when the bytes violate the framing; what precedes them is returned first.
    pub fn next_piece(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        let len = self.next_data_len(buf)?;
        if len == 0 {
            return Ok(None);
        }
        let first = buf.split_to(len).freeze();
        let mut len = self.len_behind_piece(buf);
        if len == 0 {
            return Ok(Some(first));
        }
        let mut joined = BytesMut::from(&first[..]);
        while len > 0 {
            joined.extend_from_slice(&buf[..len]);
            buf.advance(len);
            len = self.len_behind_piece(buf);
        }
        Ok(Some(joined.freeze()))
    }

    /// Returns the length of the data that follows a piece. An error leaves its bytes in
    /// `buf`, so that the next piece fails with it.
    fn len_behind_piece(&mut self, buf: &mut BytesMut) -> usize {
        self.next_data_len(buf).unwrap_or(0)
    }

    /// Removes the framing before the next data from `buf`; returns the length of that
    /// data, which counts as read. It is 0 when more bytes are needed or the body is
    /// complete.
    pub(crate) fn next_data_len(&mut self, buf: &mut BytesMut) -> Result<usize, BodyError> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(0),
                DecoderState::UntilClose => return Ok(buf.len()),
                DecoderState::Plain(left) | DecoderState::ChunkData(left) => {
                    return Ok(self.count_body_bytes(left, buf.len()));
                }
                DecoderState::ChunkSize => {
                    if !self.read_chunk_size(buf)? {
                        return Ok(0);
                    }
                }
                DecoderState::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(0);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(BodyError);
                    }
                    buf.advance(2);
                    self.state = DecoderState::ChunkSize;
                }
                DecoderState::Trailer(left) => {
                    if !self.read_trailer_line(left, buf)? {
                        return Ok(0);
                    }
                }
            }
        }
    }

    /// Counts the body bytes among `available` ones, of `left` that the body or chunk
    /// still has.
    fn count_body_bytes(&mut self, left: u64, available: usize) -> usize {
        let len = usize::try_from(left).unwrap_or(usize::MAX).min(available);
        let rest = left - len as u64;
        self.state = match (self.state, rest) {
            (DecoderState::Plain(_), 0) => DecoderState::Done,
            (DecoderState::Plain(_), rest) => DecoderState::Plain(rest),
            (_, 0) => DecoderState::ChunkEnd,
            (_, rest) => DecoderState::ChunkData(rest),
        };
        len
    }

    fn read_chunk_size(&mut self, buf: &mut BytesMut) -> Result<bool, BodyError> {
        // The parser reads a size without digits as 0, which would end the body.
        if buf.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(BodyError);
        }
        match httparse::parse_chunk_size(buf) {
            Ok(httparse::Status::Complete((len, size))) if len <= SIZE_LINE_MAX => {
                buf.advance(len);
                self.state = match size {
                    0 => DecoderState::Trailer(TRAILER_MAX),
                    size => DecoderState::ChunkData(size),
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buf.len() <= SIZE_LINE_MAX => Ok(false),
            _ => Err(BodyError),
        }
    }

    fn read_trailer_line(&mut self, left: usize, buf: &mut BytesMut) -> Result<bool, BodyError> {
        let end = buf.windows(2).position(|pair| pair == b"\r\n");
        let len = end.map_or(buf.len(), |end| end + 2);
        let left = left.checked_sub(len).ok_or(BodyError)?;
        let Some(end) = end else {
            return Ok(false);
        };
        buf.advance(len);
        self.state = match end {
            0 => DecoderState::Done,
            _ => DecoderState::Trailer(left),
        };
        Ok(true)
    }
}
