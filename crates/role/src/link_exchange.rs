//! Links between processes, as a role sees them.

use std::net::SocketAddr;

use mulberrywell_wire::{FrameBody, PeerIdentity};

/// Identifies a link within one process and one of its runs.
///
/// A role numbers the links that it dials with even numbers; the host
/// numbers accepted links with odd ones.
pub type LinkId = u64;

/// What happens on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The handshake ended well.
    Opened {
        /// The link.
        link: LinkId,
        /// Who is on the other side.
        peer: PeerIdentity,
    },
    /// The link failed, was closed or could not be dialed.
    Closed {
        /// The link.
        link: LinkId,
    },
    /// A frame came.
    Frame {
        /// The link.
        link: LinkId,
        /// The frame.
        body: FrameBody,
    },
}

/// What a role asks of its links.
#[derive(Debug)]
pub enum LinkCommand {
    /// Connects; `Opened` or `Closed` follows.
    Dial {
        /// A new id.
        link: LinkId,
        /// The peer's address.
        address: SocketAddr,
    },
    /// Sends a frame; it is dropped when the link is closed.
    Send {
        /// The link.
        link: LinkId,
        /// The frame.
        body: FrameBody,
    },
    /// Closes; `Closed` follows.
    Close {
        /// The link.
        link: LinkId,
    },
}
