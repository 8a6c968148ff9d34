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

    /// Returns the name and incarnation of the process on a link, which
    /// identify one start of it.
    pub fn holder(&self, link: LinkId) -> Bytes {
        let peer = self.links.get(&link);
        peer.map_or_else(Bytes::new, |peer| {
            let mut holder = peer.instance.to_vec();
            holder.push(b':');
            holder.extend_from_slice(peer.incarnation.to_string().as_bytes());
            Bytes::from(holder)
        })
    }

    /// Returns all links.
    pub fn links(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.keys().copied()
    }
}
