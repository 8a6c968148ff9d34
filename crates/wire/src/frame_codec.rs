//! Length-delimited framing of [`PeerFrame`].
//!
//! Each frame is a four-byte big-endian length and a prost message. The length
//! is checked before memory is allocated for the message.

use std::fmt;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::PeerFrame;

/// Maximum length of a frame in bytes, without its length prefix.
pub const FRAME_LIMIT: usize = 20 * 1024 * 1024;

/// Reason why received bytes are not a valid frame.
#[derive(Debug)]
pub enum FrameError {
    /// The length field exceeds the limit of the codec, in bytes.
    TooLong(usize),
    /// The bytes do not decode as a message.
    Malformed(prost::DecodeError),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(limit) => write!(f, "frame longer than {limit} bytes"),
            FrameError::Malformed(err) => write!(f, "malformed frame: {err}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Splits a byte stream into frames.
#[derive(Debug)]
pub struct FrameCodec {
    framing: LengthDelimitedCodec,
    /// Received bytes that are not decoded yet; never more than one frame and
    /// one read.
    buf: BytesMut,
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::with_limit(FRAME_LIMIT)
    }
}

impl FrameCodec {
    /// Creates a codec that rejects frames longer than `limit` bytes.
    pub fn with_limit(limit: usize) -> Self {
        FrameCodec {
            framing: LengthDelimitedCodec::builder()
                .max_frame_length(limit)
                .new_codec(),
            buf: BytesMut::new(),
        }
    }

    /// Changes the limit, in bytes, for the frames that follow.
    pub fn set_limit(&mut self, limit: usize) {
        self.framing.set_max_frame_length(limit);
    }

    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Decodes the next frame; returns `None` while it is incomplete.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid frame; the link must then be closed.
    pub fn next_frame(&mut self) -> Result<Option<PeerFrame>, FrameError> {
        match self.framing.decode(&mut self.buf) {
            Ok(Some(data)) => decode_frame(data.freeze()).map(Some),
            Ok(None) => Ok(None),
            Err(_) => Err(FrameError::TooLong(self.framing.max_frame_length())),
        }
    }
}

/// Decodes one frame without its length prefix.
///
/// # Errors
/// Fails if the bytes do not decode as a message.
pub fn decode_frame(data: Bytes) -> Result<PeerFrame, FrameError> {
    PeerFrame::decode(data).map_err(FrameError::Malformed)
}

/// Appends a frame with its length prefix to `out`.
pub fn encode_frame(frame: &PeerFrame, out: &mut Vec<u8>) {
    let len = frame.encoded_len();
    debug_assert!(len <= FRAME_LIMIT);
    out.extend_from_slice(&u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes());
    out.reserve(len);
    frame
        .encode(out)
        .expect("encoding into a Vec never runs out of space");
}
