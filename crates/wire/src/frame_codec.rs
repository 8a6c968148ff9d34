//! Length-delimited framing of [`PeerFrame`].
//!
//! Each frame is a four-byte big-endian length and a prost message. The
//! length is checked before any memory is reserved for it.

use std::fmt;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::PeerFrame;

/// Longest frame in bytes.
pub const FRAME_LIMIT: usize = 20 * 1024 * 1024;

/// Why bytes are not a frame.
#[derive(Debug)]
pub enum FrameError {
    /// The length field is past [`FRAME_LIMIT`].
    TooLong,
    /// The bytes are not a message.
    Malformed(prost::DecodeError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong => write!(f, "frame longer than {FRAME_LIMIT} bytes"),
            FrameError::Malformed(err) => write!(f, "malformed frame: {err}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Cuts a stream of bytes into frames.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
    /// Bytes that are not yet a whole frame; never longer than one frame and
    /// one read.
    buf: BytesMut,
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::with_limit(FRAME_LIMIT)
    }
}

impl FrameCodec {
    /// Creates a codec that refuses frames past `limit` bytes.
    pub fn with_limit(limit: usize) -> Self {
        FrameCodec {
            lengths: LengthDelimitedCodec::builder()
                .max_frame_length(limit)
                .new_codec(),
            buf: BytesMut::new(),
        }
    }

    /// Changes the longest frame, in bytes, that is accepted from now on.
    pub fn set_limit(&mut self, limit: usize) {
        self.lengths.set_max_frame_length(limit);
    }

    /// Adds received bytes.
    pub fn feed(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Takes the next whole frame.
    ///
    /// # Errors
    /// Fails when the bytes are no frame; the link must then be closed.
    pub fn next_frame(&mut self) -> Result<Option<PeerFrame>, FrameError> {
        match self.lengths.decode(&mut self.buf) {
            Ok(Some(data)) => decode_frame(data.freeze()).map(Some),
            Ok(None) => Ok(None),
            Err(_) => Err(FrameError::TooLong),
        }
    }
}

/// Decodes one frame without its length.
///
/// # Errors
/// Fails when the bytes are no message.
pub fn decode_frame(data: Bytes) -> Result<PeerFrame, FrameError> {
    PeerFrame::decode(data).map_err(FrameError::Malformed)
}

/// Appends a frame with its length to `out`.
pub fn encode_frame(frame: &PeerFrame, out: &mut Vec<u8>) {
    let len = frame.encoded_len();
    debug_assert!(len <= FRAME_LIMIT);
    out.extend_from_slice(&u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes());
    out.reserve(len);
    frame.encode(out).expect("a Vec takes any number of bytes");
}
