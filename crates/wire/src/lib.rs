//! Frames exchanged by the processes of the system.
//!
//! Purpose: the messages of all links (`proto/`, generated into
//! `src/generated`), their framing and the handshake that opens a link.
//!
//! Guarantees: a frame is never longer than [`FRAME_LIMIT`]; no other frame is
//! accepted before the handshake is complete; both sides prove that they have
//! the cluster secret without sending it.
//!
//! This package does no I/O: the runtime passes received bytes to the codec and
//! writes encoded frames to its sockets.

mod frame_codec;
mod frame_sender;
mod link_handshake;

pub use frame_codec::{decode_frame, encode_frame, FrameCodec, FrameError, FRAME_LIMIT};
pub use frame_sender::may_send;
pub use link_handshake::{
    HandshakeError, HandshakeStep, LinkHandshake, LinkSide, PeerIdentity, PROTOCOL_VERSION,
};

macro_rules! generated {
    ($(#[$doc:meta])* $name:ident, $file:literal) => {
        $(#[$doc])*
        #[expect(missing_docs, reason = "generated code carries the comments of its .proto")]
        pub mod $name {
            include!(concat!("generated/mulberrywell.", $file, ".rs"));
        }
    };
}

generated!(
    /// Versioned configuration that control instances distribute.
    config, "config"
);
generated!(
    /// Attempts to run a caller's request on an endpoint.
    request, "request"
);
generated!(
    /// Token leases of client accounts.
    rate, "rate"
);
generated!(
    /// Claims of idempotency keys.
    claim, "claim"
);
generated!(
    /// Announcements of endpoints and orders to endpoints.
    endpoint, "endpoint"
);
generated!(
    /// Frames between control instances.
    consensus, "consensus"
);
generated!(
    /// Operators' calls that are forwarded to the leader.
    operate, "operate"
);
generated!(
    /// Commands of the replicated log.
    command, "command"
);
generated!(
    /// The serving configuration and registered endpoints.
    serving, "serving"
);
generated!(
    /// The envelope and the handshake of all links.
    link, "link"
);

pub use link::peer_frame::Body as FrameBody;
pub use link::{PeerFrame, PeerRole};

impl From<FrameBody> for PeerFrame {
    fn from(body: FrameBody) -> Self {
        PeerFrame { body: Some(body) }
    }
}
