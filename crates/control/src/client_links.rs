//! Links to entries and agents.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::LinkId;
use mulberrywell_wire::PeerIdentity;

/// All open links to entries and agents.
#[derive(Debug, Default)]
pub struct ClientLinks {
    links: BTreeMap<LinkId, ClientLink>,
}

#[derive(Debug)]
struct ClientLink {
    peer: PeerIdentity,
    opened_at: Instant,
}

impl ClientLinks {
    /// Adds a link.
    pub fn insert(&mut self, now: Instant, link: LinkId, peer: PeerIdentity) {
        let opened_at = now;
        self.links.insert(link, ClientLink { peer, opened_at });
    }

    /// Removes a link.
    pub fn remove(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Returns the name of the instance on a link.
    pub fn instance(&self, link: LinkId) -> Option<&Bytes> {
        self.links.get(&link).map(|client| &client.peer.instance)
    }

    /// Returns the name and incarnation of the process on a link, which
    /// identify one start of it.
    pub fn holder(&self, link: LinkId) -> Bytes {
        let client = self.links.get(&link);
        client.map_or_else(Bytes::new, |ClientLink { peer, .. }| {
            let mut holder = peer.instance.to_vec();
            holder.push(b':');
            holder.extend_from_slice(peer.incarnation.to_string().as_bytes());
            Bytes::from(holder)
        })
    }

    /// Returns the links that opened before an instant.
    pub fn opened_before(&self, instant: Instant) -> impl Iterator<Item = LinkId> + '_ {
        let links = self.links.iter();
        let older = links.filter(move |(_, client)| client.opened_at < instant);
        older.map(|(link, _)| *link)
    }
}
