//! The handshake that opens a link.
//!
//! Each side sends a `Hello` with a fresh nonce, then a `Proof`: an
//! HMAC-SHA-256, keyed with the cluster secret, over its side's tag, its own
//! hello and the peer's hello. A recorded proof is invalid for another nonce,
//! which prevents replay, and the tag prevents a proof from being reflected to
//! its sender.

use std::fmt;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;

use crate::link::{Hello, Proof};
use crate::{FrameBody, PeerFrame, PeerRole};

/// Protocol version; both sides must use the same.
pub const PROTOCOL_VERSION: u32 = 1;

/// Length of a nonce in bytes.
const NONCE_LEN: usize = 16;

/// Side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSide {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted the connection.
    Listener,
}

/// Identity of a process on its links.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Role of the process.
    pub role: PeerRole,
    /// Name of the instance.
    pub instance: Bytes,
    /// Number that distinguishes this start of the process from others.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: Bytes,
}

/// Reason why a handshake failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HandshakeError {
    /// A frame other than the expected one was received.
    UnexpectedFrame,
    /// The peer uses another protocol version.
    WrongVersion(u32),
    /// The hello has no known role, or a nonce of the wrong length.
    BadHello,
    /// The peer does not have the cluster secret.
    WrongProof,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandshakeError::UnexpectedFrame => write!(f, "unexpected frame during the handshake"),
            HandshakeError::WrongVersion(version) => {
                write!(f, "peer uses protocol version {version}")
            }
            HandshakeError::BadHello => write!(
                f,
                "hello without a known role, or with a nonce of the wrong length"
            ),
            HandshakeError::WrongProof => write!(f, "peer does not have the cluster secret"),
        }
    }
}

impl std::error::Error for HandshakeError {}

/// Next step after a frame of the handshake.
#[derive(Debug)]
pub enum HandshakeStep {
    /// Send this frame and wait for the next one.
    Reply(Box<PeerFrame>),
    /// The link is open.
    Open(PeerIdentity),
}

/// Handshake state of one side.
#[derive(Debug)]
pub struct LinkHandshake {
    side: LinkSide,
    secret: Bytes,
    own: Hello,
    /// Hello of the peer; once it is set, the peer's proof is expected.
    peer: Option<Hello>,
}

impl LinkHandshake {
    /// Starts a handshake and returns the hello to send.
    ///
    /// `nonce` must be fresh random bytes.
    pub fn start(
        side: LinkSide,
        secret: Bytes,
        identity: &PeerIdentity,
        nonce: [u8; NONCE_LEN],
    ) -> (Self, PeerFrame) {
        let own = Hello {
            protocol: PROTOCOL_VERSION,
            role: identity.role.into(),
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            zone: identity.zone.clone(),
            nonce: Bytes::copy_from_slice(&nonce),
        };
        let hello = FrameBody::Hello(own.clone()).into();
        let handshake = LinkHandshake {
            side,
            secret,
            own,
            peer: None,
        };
        (handshake, hello)
    }

    /// Handles the next frame of the peer.
    ///
    /// # Errors
    /// Fails if the frame is unexpected or invalid, or if the peer does not belong
    /// to this cluster; the link must then be closed.
    pub fn handle_frame(&mut self, frame: PeerFrame) -> Result<HandshakeStep, HandshakeError> {
        match (frame.body, self.peer.is_some()) {
            (Some(FrameBody::Hello(hello)), false) => self.handle_hello(hello),
            (Some(FrameBody::Proof(proof)), true) => self.handle_proof(&proof),
            _ => Err(HandshakeError::UnexpectedFrame),
        }
    }

    fn handle_hello(&mut self, hello: Hello) -> Result<HandshakeStep, HandshakeError> {
        if hello.protocol != PROTOCOL_VERSION {
            return Err(HandshakeError::WrongVersion(hello.protocol));
        }
        if hello.nonce.len() != NONCE_LEN || hello.role() == PeerRole::Unspecified {
            return Err(HandshakeError::BadHello);
        }
        let mac = self
            .mac(self.side, &self.own, &hello)
            .finalize()
            .into_bytes();
        self.peer = Some(hello);
        let proof = Proof {
            mac: Bytes::copy_from_slice(&mac),
        };
        Ok(HandshakeStep::Reply(Box::new(
            FrameBody::Proof(proof).into(),
        )))
    }

    fn handle_proof(&mut self, proof: &Proof) -> Result<HandshakeStep, HandshakeError> {
        let Some(peer) = &self.peer else {
            return Err(HandshakeError::UnexpectedFrame);
        };
        let other = match self.side {
            LinkSide::Dialer => LinkSide::Listener,
            LinkSide::Listener => LinkSide::Dialer,
        };
        self.mac(other, peer, &self.own)
            .verify_slice(&proof.mac)
            .map_err(|_| HandshakeError::WrongProof)?;
        Ok(HandshakeStep::Open(PeerIdentity {
            role: peer.role(),
            instance: peer.instance.clone(),
            incarnation: peer.incarnation,
            zone: peer.zone.clone(),
        }))
    }

    fn mac(&self, side: LinkSide, sender: &Hello, receiver: &Hello) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC accepts a key of any length");
        let tag: &[u8] = match side {
            LinkSide::Dialer => b"mulberrywell dialer",
            LinkSide::Listener => b"mulberrywell listener",
        };
        mac.update(tag);
        for hello in [sender, receiver] {
            mac.update(&hello.encode_length_delimited_to_vec());
        }
        mac
    }
}
