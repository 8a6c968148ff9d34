//! Links to entries and agents.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_role::LinkId;
use mulberrywell_wire::PeerIdentity;

/// All open links to entries and agents.
#[derive(Debug, Default)]
pub struct ClientLinks {
    links: BTreeMap<LinkId, PeerIdentity>,
}

impl ClientLinks {
    /// Adds a link.
    pub fn insert(&mut self, link: LinkId, peer: PeerIdentity) {
        self.links.insert(link, peer);
    }

    /// Removes a link.
    pub fn remove(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Returns the name of the instance on a link.
    pub fn instance(&self, link: LinkId) -> Option<&Bytes> {
        self.links.get(&link).map(|peer| &peer.instance)
    }

    /// Returns all links.
    pub fn links(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.keys().copied()
    }
}
