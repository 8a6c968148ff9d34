//! One side of a link, for tests that send what no process would.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use bytes::Bytes;
use mulberrywell_wire::{
    encode_frame, FrameBody, FrameCodec, HandshakeStep, LinkHandshake, LinkSide, PeerFrame,
    PeerIdentity, PeerRole,
};

/// Longest wait for a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Frames of a handshake as they were sent and received.
#[derive(Debug, Clone, Default)]
pub struct LinkRecording {
    /// Frames of this side.
    pub sent: Vec<PeerFrame>,
    /// Frames of the other side.
    pub received: Vec<PeerFrame>,
}

/// One connection to a link port.
#[derive(Debug)]
pub struct LinkCaller {
    stream: TcpStream,
    codec: FrameCodec,
    /// The handshake as far as it came.
    pub recording: LinkRecording,
}

impl LinkCaller {
    /// Connects without a handshake.
    ///
    /// # Errors
    /// Fails when the connection is refused.
    pub fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(FRAME_TIMEOUT))?;
        Ok(LinkCaller {
            stream,
            codec: FrameCodec::default(),
            recording: LinkRecording::default(),
        })
    }

    /// Connects and opens the link in a role.
    ///
    /// # Errors
    /// Fails when the other side closes before it has proved itself.
    pub fn open(address: SocketAddr, role: PeerRole, secret: &str) -> Result<Self> {
        let mut caller = Self::connect(address)?;
        let identity = PeerIdentity {
            role,
            instance: Bytes::from_static(b"test-peer"),
            incarnation: 1,
            zone: Bytes::from_static(b"zone-a"),
        };
        let secret = Bytes::from(secret.to_owned());
        let (mut handshake, hello) =
            LinkHandshake::start(LinkSide::Dialer, secret, &identity, rand::random());
        caller.send(&hello)?;
        caller.recording.sent.push(hello);
        loop {
            let frame = caller.receive()?;
            caller.recording.received.push(frame.clone());
            match handshake.advance(frame)? {
                HandshakeStep::Reply(frame) => {
                    caller.send(&frame)?;
                    caller.recording.sent.push(*frame);
                }
                HandshakeStep::Open(_) => return Ok(caller),
            }
        }
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    /// Fails when the connection is over.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> Result<()> {
        Ok(self.stream.write_all(bytes)?)
    }

    /// Sends a frame.
    ///
    /// # Errors
    /// Fails when the connection is over.
    pub fn send(&mut self, frame: &PeerFrame) -> Result<()> {
        let mut out = Vec::new();
        encode_frame(frame, &mut out);
        self.send_bytes(&out)
    }

    /// Sends a frame's body.
    ///
    /// # Errors
    /// Fails when the connection is over.
    pub fn send_body(&mut self, body: FrameBody) -> Result<()> {
        self.send(&body.into())
    }

    /// Waits for the next frame.
    ///
    /// # Errors
    /// Fails when none comes in time or the connection is over.
    pub fn receive(&mut self) -> Result<PeerFrame> {
        let mut buf = [0; 4_096];
        loop {
            if let Some(frame) = self.codec.next_frame()? {
                return Ok(frame);
            }
            let len = self.stream.read(&mut buf).context("no frame in time")?;
            if len == 0 {
                bail!("the link was closed");
            }
            self.codec.feed(&buf[..len]);
        }
    }

    /// Waits until the other side closes; false when `limit` passes first.
    pub fn is_closed_within(&mut self, limit: Duration) -> bool {
        let end = std::time::Instant::now() + limit;
        let mut buf = [0; 4_096];
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return false;
            }
            match self.stream.read(&mut buf) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(err) => {
                    use std::io::ErrorKind::{TimedOut, WouldBlock};
                    if !matches!(err.kind(), TimedOut | WouldBlock) {
                        return true;
                    }
                }
            }
        }
    }
}
