//! One side of a link, for tests that send frames no process would send.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use bytes::Bytes;
use mulberrywell_wire::{
    encode_frame, FrameBody, FrameCodec, HandshakeStep, LinkHandshake, LinkSide, PeerFrame,
    PeerIdentity, PeerRole,
};

/// Timeout of a read of a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Frames that were sent and received during a handshake.
#[derive(Debug, Clone, Default)]
pub struct LinkRecording {
    /// Frames that this side sent.
    pub sent: Vec<PeerFrame>,
    /// Frames that the peer sent.
    pub received: Vec<PeerFrame>,
}

/// A connection to a link port.
#[derive(Debug)]
pub struct LinkCaller {
    stream: TcpStream,
    codec: FrameCodec,
    /// Frames of the handshake so far.
    pub recording: LinkRecording,
}

impl LinkCaller {
    /// Connects without a handshake.
    ///
    /// # Errors
    /// Fails if the connection is refused.
    pub fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(FRAME_TIMEOUT))?;
        Ok(LinkCaller {
            stream,
            codec: FrameCodec::default(),
            recording: LinkRecording::default(),
        })
    }

    /// Connects and completes the handshake in a role.
    ///
    /// # Errors
    /// Fails if the peer closes the connection or fails to authenticate itself.
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
            match handshake.handle_frame(frame)? {
                HandshakeStep::Reply(frame) => {
                    caller.send(&frame)?;
                    caller.recording.sent.push(*frame);
                }
                HandshakeStep::Open(_) => return Ok(caller),
            }
        }
    }

    /// Sends bytes unchanged.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> Result<()> {
        Ok(self.stream.write_all(bytes)?)
    }

    /// Sends a frame.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn send(&mut self, frame: &PeerFrame) -> Result<()> {
        let mut out = Vec::new();
        encode_frame(frame, &mut out);
        self.send_bytes(&out)
    }

    /// Sends a frame with a body.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn send_body(&mut self, body: FrameBody) -> Result<()> {
        self.send(&body.into())
    }

    /// Waits for the next frame.
    ///
    /// # Errors
    /// Fails if no frame is received before the timeout or the connection is closed.
    pub fn receive(&mut self) -> Result<PeerFrame> {
        let mut buf = [0; 4_096];
        loop {
            if let Some(frame) = self.codec.next_frame()? {
                return Ok(frame);
            }
            let len = self
                .stream
                .read(&mut buf)
                .context("failed to read a frame")?;
            if len == 0 {
                bail!("peer closed the link");
            }
            self.codec.feed(&buf[..len]);
        }
    }

    /// Waits until the peer closes the connection; returns false if `limit` elapses
    /// first.
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
