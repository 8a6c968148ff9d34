//! Keeps one link to each of a set of control instances.
//!
//! Algorithm: every address has a [`SeedDialer`] of its own; links are numbered
//! in the order in which they are dialed. An address that is no longer wanted
//! goes once its link has closed, so that a set that changes often never has two
//! links to one address.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use crate::{LinkCommand, LinkId, SeedDialer};

/// Dials each address of a set.
#[derive(Debug)]
pub struct DialerSet {
    dialers: BTreeMap<SocketAddr, SeedDialer>,
    /// Addresses that are dialed again when their link closes.
    wanted: BTreeSet<SocketAddr>,
    /// Even, as links that a host accepts are odd; grows with each
    /// dialed link.
    next_link: LinkId,
}

impl Default for DialerSet {
    fn default() -> Self {
        DialerSet {
            dialers: BTreeMap::new(),
            wanted: BTreeSet::new(),
            next_link: 2,
        }
    }
}

impl DialerSet {
    /// Dials these addresses from now on; the link of a former one stays until it
    /// closes.
    pub fn set_addresses(&mut self, now: Instant, wanted: &BTreeSet<SocketAddr>) {
        self.wanted.clone_from(wanted);
        self.dialers
            .retain(|address, dialer| wanted.contains(address) || dialer.has_link());
        for address in wanted {
            self.dialers
                .entry(*address)
                .or_insert_with(|| SeedDialer::new(vec![*address], 0, now));
        }
    }

    /// Returns when [`DialerSet::dial`] has something to do.
    pub fn deadline(&self) -> Option<Instant> {
        self.dialers.values().filter_map(SeedDialer::deadline).min()
    }

    /// Appends the links that it is time to dial.
    pub fn dial(&mut self, now: Instant, commands: &mut Vec<LinkCommand>) {
        for dialer in self.dialers.values_mut() {
            let link = self.next_link;
            if let Some(address) = dialer.dial(now, link) {
                self.next_link += 2;
                commands.push(LinkCommand::Dial { link, address });
            }
        }
    }

    /// Notes an open link.
    pub fn opened(&mut self, link: LinkId) {
        for dialer in self.dialers.values_mut() {
            dialer.opened(link);
        }
    }

    /// Notes a closed link.
    pub fn closed(&mut self, now: Instant, link: LinkId) {
        let wanted = &self.wanted;
        self.dialers
            .retain(|address, dialer| !dialer.closed(now, link) || wanted.contains(address));
    }

    /// Returns the open links, by address.
    pub fn open_links(&self) -> impl Iterator<Item = (SocketAddr, LinkId)> + '_ {
        let dialers = self.dialers.iter();
        dialers.filter_map(|(address, dialer)| Some((*address, dialer.open_link()?)))
    }
}
