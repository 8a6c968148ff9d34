//! Frames between the system's processes.
//!
//! Purpose: the messages of all links (`proto/`, generated into
//! `src/generated`), their framing and the handshake that opens a link.
//!
//! Guarantees: a frame is never longer than [`FRAME_LIMIT`]; a link whose
//! handshake has not ended passes no other frame; both sides prove that they
//! hold the cluster secret without sending it.
//!
//! This package knows nothing of sockets: the runtime feeds bytes in and
//! takes bytes out.

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
    /// Configuration that control instances distribute by version.
    config, "config"
);
generated!(
    /// Attempts to run a caller's request at an endpoint.
    request, "request"
);
generated!(
    /// Leases of a client account's tokens.
    rate, "rate"
);
generated!(
    /// Claims of idempotency keys.
    claim, "claim"
);
generated!(
    /// Announcement of endpoints and orders to them.
    endpoint, "endpoint"
);
generated!(
    /// Frames between control instances.
    consensus, "consensus"
);
generated!(
    /// Operators' calls on their way to the leader.
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
    /// The envelope of all frames.
    link, "link"
);

pub use link::peer_frame::Body as FrameBody;
pub use link::{PeerFrame, PeerRole};

impl From<FrameBody> for PeerFrame {
    fn from(body: FrameBody) -> Self {
        PeerFrame { body: Some(body) }
    }
}
