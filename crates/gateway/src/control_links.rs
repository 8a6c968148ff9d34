//! Links to all control instances.
//!
//! Algorithm: the seeds, and every instance that one of them names, are dialed;
//! each open link is told what version is held and tells of changes. Questions
//! go over one of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::{DialerSet, LinkCommand, LinkId};
use mulberrywell_wire::FrameBody;

/// All links.
#[derive(Debug)]
pub struct ControlLinks {
    seeds: BTreeSet<SocketAddr>,
    /// Addresses that control instances named.
    named: BTreeSet<SocketAddr>,
    dialers: DialerSet,
    /// Open links.
    open: BTreeSet<LinkId>,
    /// Link that questions go over.
    asked: Option<LinkId>,
}

impl ControlLinks {
    /// Creates links that are yet to be dialed.
    pub fn new(seeds: &[SocketAddr], now: Instant) -> Self {
        let mut links = ControlLinks {
            seeds: seeds.iter().copied().collect(),
            named: BTreeSet::new(),
            dialers: DialerSet::default(),
            open: BTreeSet::new(),
            asked: None,
        };
        links.redial(now);
        links
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, now: Instant, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        self.redial(now);
    }

    /// Takes in the addresses that a control instance named.
    pub fn set_named(&mut self, now: Instant, addresses: &[Bytes]) {
        let parsed = addresses
            .iter()
            .filter_map(|address| std::str::from_utf8(address).ok()?.parse().ok());
        let named: BTreeSet<SocketAddr> = parsed.collect();
        if !named.is_empty() && named != self.named {
            self.named = named;
            self.redial(now);
        }
    }

    fn redial(&mut self, now: Instant) {
        let wanted: BTreeSet<SocketAddr> = self.seeds.union(&self.named).copied().collect();
        self.dialers.set_addresses(now, &wanted);
    }

    /// Returns when [`ControlLinks::dial`] has something to do.
    pub fn deadline(&self) -> Option<Instant> {
        self.dialers.deadline()
    }

    /// Appends the links that it is time to dial.
    pub fn dial(&mut self, now: Instant, commands: &mut Vec<LinkCommand>) {
        self.dialers.dial(now, commands);
    }

    /// Notes an open link.
    pub fn opened(&mut self, link: LinkId) {
        self.dialers.opened(link);
        self.open.insert(link);
    }

    /// Notes a closed link; tells whether it was open.
    pub fn closed(&mut self, now: Instant, link: LinkId) -> bool {
        self.dialers.closed(now, link);
        if self.asked == Some(link) {
            self.asked = None;
        }
        self.open.remove(&link)
    }

    /// Returns all open links.
    pub fn open_links(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.open.iter().copied()
    }

    /// Returns the link that questions go over.
    pub fn asked_link(&self) -> Option<LinkId> {
        self.asked
    }

    /// Chooses the open link with the lowest address for questions, so that all
    /// entries ask the same instance; tells whether it is another one.
    pub fn choose_asked(&mut self) -> bool {
        let mut dialed = self.dialers.open_links().map(|(_, link)| link);
        let first = dialed.find(|link| self.open.contains(link));
        std::mem::replace(&mut self.asked, first) != first
    }

    /// Returns the command that sends a question, if a link is open.
    pub fn ask(&self, body: FrameBody) -> Option<LinkCommand> {
        self.asked.map(|link| LinkCommand::Send { link, body })
    }
}
