//! One TCP connection of a link: buffers, framing and handshake.

use std::time::Instant;

use mulberrywell_wire::link::{Ping, Pong};
use mulberrywell_wire::{
    encode_frame, may_send, FrameBody, FrameCodec, HandshakeStep, LinkHandshake, PeerFrame,
    PeerIdentity, PeerRole, FRAME_LIMIT,
};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioSource, ReadStatus, TcpStreamBuf};

/// Maximum length in bytes of a frame during the handshake.
const HANDSHAKE_LIMIT: usize = 4 * 1024;

/// Bytes that may be buffered for a slow peer before the link is closed.
const OUTPUT_LIMIT: usize = 2 * FRAME_LIMIT;

/// Size in bytes of one read.
const READ_LEN: usize = 64 * 1024;

/// Size in bytes of one read during the handshake.
const HANDSHAKE_READ_LEN: usize = HANDSHAKE_LIMIT;

/// Input received on a socket.
#[derive(Debug)]
pub enum SocketInput {
    /// The handshake completed.
    Opened(PeerIdentity),
    /// A frame for the role.
    Frame(FrameBody),
}

/// Why a socket must be closed.
#[derive(Debug)]
pub struct SocketError(pub String);

/// One connection.
pub struct LinkSocket {
    buf: TcpStreamBuf,
    codec: FrameCodec,
    /// Role of the peer; set once the link is open.
    peer: Option<PeerRole>,
    /// Handshake in progress; none once the link is open.
    handshake: Option<LinkHandshake>,
    /// When the last bytes were received.
    pub last_received: Instant,
    /// When the connection was accepted or dialed.
    pub connected_at: Instant,
    ping_sequence: u64,
}

impl LinkSocket {
    /// Wraps a connection and queues the first frame of the handshake.
    pub fn new(
        source: MioSource<TcpStream>,
        handshake: LinkHandshake,
        hello: &PeerFrame,
        now: Instant,
    ) -> Self {
        let mut buf = TcpStreamBuf::new();
        buf.set_nodelay(true);
        buf.init(source);
        encode_frame(hello, &mut buf.out);
        LinkSocket {
            buf,
            codec: FrameCodec::with_limit(HANDSHAKE_LIMIT),
            peer: None,
            handshake: Some(handshake),
            last_received: now,
            connected_at: now,
            ping_sequence: 0,
        }
    }

    /// Returns whether the handshake has completed.
    pub fn is_open(&self) -> bool {
        self.handshake.is_none()
    }

    /// Queues a frame.
    ///
    /// # Errors
    /// Fails when the output buffer is full.
    pub fn send(&mut self, body: FrameBody) -> Result<(), SocketError> {
        if self.buf.out.len() > OUTPUT_LIMIT {
            return Err(SocketError("output buffer is full".to_owned()));
        }
        encode_frame(&body.into(), &mut self.buf.out);
        Ok(())
    }

    /// Queues a ping.
    ///
    /// # Errors
    /// Fails when the output buffer is full.
    pub fn ping(&mut self) -> Result<(), SocketError> {
        self.ping_sequence += 1;
        self.send(FrameBody::Ping(Ping {
            sequence: self.ping_sequence,
        }))
    }

    /// Writes queued bytes until the socket would block.
    ///
    /// # Errors
    /// Fails when the connection failed.
    pub fn flush(&mut self) -> Result<(), SocketError> {
        self.buf
            .flush()
            .map_err(|err| SocketError(format!("write failed: {err}")))
    }

    /// Reads all available frames and appends them to `inputs`.
    ///
    /// # Errors
    /// Fails when the connection ended or failed, or received an invalid frame.
    pub fn read(&mut self, now: Instant, inputs: &mut Vec<SocketInput>) -> Result<(), SocketError> {
        loop {
            let read_len = match self.is_open() {
                true => READ_LEN,
                false => HANDSHAKE_READ_LEN,
            };
            match self.buf.read(read_len) {
                ReadStatus::NewData => {
                    self.last_received = now;
                    self.codec.feed(&self.buf.inp[self.buf.rd..self.buf.wr]);
                    self.buf.rd = self.buf.wr;
                    self.handle_frames(inputs)?;
                }
                ReadStatus::WouldBlock => return Ok(()),
                ReadStatus::EndOfStream => {
                    return Err(SocketError("peer closed the connection".to_owned()))
                }
                ReadStatus::Error(err) => return Err(SocketError(format!("read failed: {err}"))),
            }
        }
    }

    fn handle_frames(&mut self, inputs: &mut Vec<SocketInput>) -> Result<(), SocketError> {
        loop {
            let next = self.codec.next_frame();
            let Some(frame) = next.map_err(|err| SocketError(err.to_string()))? else {
                return Ok(());
            };
            match &mut self.handshake {
                Some(handshake) => {
                    let step = handshake.handle_frame(frame);
                    match step.map_err(|err| SocketError(err.to_string()))? {
                        HandshakeStep::Reply(frame) => encode_frame(&frame, &mut self.buf.out),
                        HandshakeStep::Open(peer) => {
                            self.handshake = None;
                            self.peer = Some(peer.role);
                            self.codec.set_limit(FRAME_LIMIT);
                            inputs.push(SocketInput::Opened(peer));
                        }
                    }
                }
                None => self.handle_body(frame, inputs)?,
            }
        }
    }

    fn handle_body(
        &mut self,
        frame: PeerFrame,
        inputs: &mut Vec<SocketInput>,
    ) -> Result<(), SocketError> {
        match frame.body {
            Some(FrameBody::Ping(ping)) => self.send(FrameBody::Pong(Pong {
                sequence: ping.sequence,
            })),
            Some(FrameBody::Pong(_)) | None => Ok(()),
            Some(FrameBody::Hello(_) | FrameBody::Proof(_)) => {
                Err(SocketError("handshake frame on an open link".to_owned()))
            }
            Some(body) if !self.peer.is_some_and(|peer| may_send(peer, &body)) => Err(SocketError(
                "frame that the peer's role may not send".to_owned(),
            )),
            Some(body) => {
                inputs.push(SocketInput::Frame(body));
                Ok(())
            }
        }
    }
}
