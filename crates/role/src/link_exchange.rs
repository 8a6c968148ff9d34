//! Commands and events of links between processes.

use std::net::SocketAddr;

use mulberrywell_wire::{FrameBody, PeerIdentity};

/// Identifies a link within one process and one of its runs.
///
/// A role assigns even ids to the links that it dials; the host assigns odd ids
/// to accepted links.
pub type LinkId = u64;

/// An event of a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The handshake succeeded.
    Opened {
        /// The link.
        link: LinkId,
        /// Identity of the peer.
        peer: PeerIdentity,
    },
    /// The link failed, was closed or could not be dialed.
    Closed {
        /// The link.
        link: LinkId,
    },
    /// A frame was received.
    Frame {
        /// The link.
        link: LinkId,
        /// The frame.
        body: FrameBody,
    },
}

/// A command of a role for one of its links.
#[derive(Debug)]
pub enum LinkCommand {
    /// Opens a link; `Opened` or `Closed` follows.
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
    /// Closes a link; `Closed` follows.
    Close {
        /// The link.
        link: LinkId,
    },
}
