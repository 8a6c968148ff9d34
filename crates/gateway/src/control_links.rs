//! Links to all control instances.
//!
//! Algorithm: the seeds and every instance that a control instance advertises
//! are dialed. Once an advertised instance is linked, the links to seeds that are
//! not advertised are closed: they may be observers, which relay everything. On
//! each open link the gateway sends its configuration version and receives
//! changes. Load and demand reports go over one of them, the primary link.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::{DialerSet, LinkCommand, LinkId};
use mulberrywell_wire::FrameBody;

/// The links to all control instances.
#[derive(Debug)]
pub struct ControlLinks {
    seeds: BTreeSet<SocketAddr>,
    /// Addresses advertised by control instances.
    advertised: BTreeSet<SocketAddr>,
    /// Addresses that are dialed.
    wanted: BTreeSet<SocketAddr>,
    dialers: DialerSet,
    open: BTreeSet<LinkId>,
    /// Link for load and demand reports.
    primary: Option<LinkId>,
    /// Link to the leader.
    leader: Option<LinkId>,
}

impl ControlLinks {
    /// Creates links that are yet to be dialed.
    pub fn new(seeds: &[SocketAddr], now: Instant) -> Self {
        let mut links = ControlLinks {
            seeds: seeds.iter().copied().collect(),
            advertised: BTreeSet::new(),
            wanted: BTreeSet::new(),
            dialers: DialerSet::default(),
            open: BTreeSet::new(),
            primary: None,
            leader: None,
        };
        links.update_dialers(now);
        links
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, now: Instant, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        self.update_dialers(now);
    }

    /// Replaces the addresses that a control instance advertised.
    pub fn set_advertised(&mut self, now: Instant, addresses: &[Bytes]) {
        let parsed = addresses
            .iter()
            .filter_map(|address| std::str::from_utf8(address).ok()?.parse().ok());
        let advertised: BTreeSet<SocketAddr> = parsed.collect();
        if !advertised.is_empty() && advertised != self.advertised {
            self.advertised = advertised;
            self.update_dialers(now);
        }
    }

    fn update_dialers(&mut self, now: Instant) {
        let has_advertised = {
            let mut linked = self.dialers.open_links();
            linked.any(|(address, _)| self.advertised.contains(&address))
        };
        self.wanted = if has_advertised {
            self.advertised.clone()
        } else {
            self.seeds.union(&self.advertised).copied().collect()
        };
        self.dialers.set_addresses(now, &self.wanted);
    }

    /// Returns when [`ControlLinks::dial`] is next due.
    pub fn deadline(&self) -> Option<Instant> {
        self.dialers.deadline()
    }

    /// Appends the commands for links that are due to be dialed, and for those that
    /// are no longer wanted.
    pub fn dial(&mut self, now: Instant, commands: &mut Vec<LinkCommand>) {
        self.dialers.dial(now, commands);
        let linked = self.dialers.open_links();
        let unwanted = linked.filter(|(address, _)| !self.wanted.contains(address));
        commands.extend(unwanted.map(|(_, link)| LinkCommand::Close { link }));
    }

    /// Records that a link opened.
    pub fn handle_opened(&mut self, now: Instant, link: LinkId) {
        self.dialers.handle_opened(link);
        self.open.insert(link);
        self.update_dialers(now);
    }

    /// Records that a link closed; returns whether it was open.
    pub fn handle_closed(&mut self, now: Instant, link: LinkId) -> bool {
        self.dialers.handle_closed(now, link);
        if self.primary == Some(link) {
            self.primary = None;
        }
        if self.leader == Some(link) {
            self.leader = None;
        }
        self.update_dialers(now);
        self.open.remove(&link)
    }

    /// Returns all open links.
    pub fn open_links(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.open.iter().copied()
    }

    /// Returns the number of control instances that are known, linked or not.
    pub fn instance_count(&self) -> usize {
        self.wanted.len()
    }

    /// Returns the primary link.
    pub fn primary_link(&self) -> Option<LinkId> {
        self.primary
    }

    /// Records whether the control instance of a link leads.
    pub fn record_leads(&mut self, link: LinkId, leads: bool) {
        if leads {
            self.leader = Some(link);
        } else if self.leader == Some(link) {
            self.leader = None;
        }
    }

    /// Returns the link to the leader, if one is known.
    pub fn leader_link(&self) -> Option<LinkId> {
        self.leader
    }

    /// Chooses the open link with the lowest address as the primary link, so
    /// that all gateways report to the same instance. Returns whether the
    /// primary link changed.
    pub fn choose_primary(&mut self) -> bool {
        let mut dialed = self.dialers.open_links().map(|(_, link)| link);
        let first = dialed.find(|link| self.open.contains(link));
        std::mem::replace(&mut self.primary, first) != first
    }

    /// Returns the command that sends a frame on the primary link, if there is
    /// one.
    pub fn send_on_primary(&self, body: FrameBody) -> Option<LinkCommand> {
        self.primary.map(|link| LinkCommand::Send { link, body })
    }
}
