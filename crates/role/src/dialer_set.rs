//! Maintains one link to each of a set of control instances.
//!
//! Algorithm: every address has its own [`SeedDialer`]; link ids are assigned in
//! the order in which links are dialed. The dialer of an address that has left
//! the set is removed once its link has closed and no failure is recent, so that
//! there are never two links to one address and no address is dialed more often than
//! its back-off allows, however often the set changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use crate::{LinkCommand, LinkId, SeedDialer};

/// Dials each address of a set.
#[derive(Debug)]
pub struct DialerSet {
    dialers: BTreeMap<SocketAddr, SeedDialer>,
    /// Addresses in the set; they are redialed when their link closes.
    addresses: BTreeSet<SocketAddr>,
    /// Id of the next dialed link. It is even, since accepted links have odd ids.
    next_link: LinkId,
}

impl Default for DialerSet {
    fn default() -> Self {
        DialerSet {
            dialers: BTreeMap::new(),
            addresses: BTreeSet::new(),
            next_link: 2,
        }
    }
}

impl DialerSet {
    /// Replaces the set of addresses; the link of a removed address remains until
    /// it closes.
    pub fn set_addresses(&mut self, now: Instant, addresses: &BTreeSet<SocketAddr>) {
        self.addresses.clone_from(addresses);
        self.dialers.retain(|address, dialer| {
            addresses.contains(address) || dialer.has_link() || dialer.is_backing_off(now)
        });
        for address in addresses {
            self.dialers
                .entry(*address)
                .or_insert_with(|| SeedDialer::new(vec![*address], 0, now));
        }
    }

    /// Returns when [`DialerSet::dial`] must be called next, if at all.
    pub fn deadline(&self) -> Option<Instant> {
        let wanted = self.dialers.iter();
        let wanted = wanted.filter(|(address, _)| self.addresses.contains(address));
        wanted.filter_map(|(_, dialer)| dialer.deadline()).min()
    }

    /// Appends a command for each link that is due to be dialed.
    pub fn dial(&mut self, now: Instant, commands: &mut Vec<LinkCommand>) {
        let addresses = &self.addresses;
        let wanted = self.dialers.iter_mut();
        for (_, dialer) in wanted.filter(|(address, _)| addresses.contains(address)) {
            let link = self.next_link;
            if let Some(address) = dialer.dial(now, link) {
                self.next_link += 2;
                commands.push(LinkCommand::Dial { link, address });
            }
        }
    }

    /// Handles the opening of a link.
    pub fn handle_opened(&mut self, link: LinkId) {
        for dialer in self.dialers.values_mut() {
            dialer.handle_opened(link);
        }
    }

    /// Handles the closing of a link.
    pub fn handle_closed(&mut self, now: Instant, link: LinkId) {
        for dialer in self.dialers.values_mut() {
            dialer.handle_closed(now, link);
        }
        let addresses = &self.addresses;
        self.dialers.retain(|address, dialer| {
            addresses.contains(address) || dialer.has_link() || dialer.is_backing_off(now)
        });
    }

    /// Returns the address of an open or dialed link.
    pub fn address_of(&self, link: LinkId) -> Option<SocketAddr> {
        let mut dialers = self.dialers.iter();
        let (address, _) = dialers.find(|(_, dialer)| dialer.link() == Some(link))?;
        Some(*address)
    }

    /// Returns the open links, by address.
    pub fn open_links(&self) -> impl Iterator<Item = (SocketAddr, LinkId)> + '_ {
        let dialers = self.dialers.iter();
        dialers.filter_map(|(address, dialer)| Some((*address, dialer.open_link()?)))
    }
}
