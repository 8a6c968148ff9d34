//! Links to all control instances.
//!
//! Algorithm: the seeds and every instance that a control instance advertises
//! are dialed. Once an advertised instance is linked, the links to seeds that were
//! never advertised are closed: they may be observers, which relay everything. On
//! each open link the gateway sends its configuration version and receives
//! changes. Load and demand reports go over one of them, the primary link.
//!
//! Two halves of a partitioned control may advertise different lists. A list replaces
//! another one only if it is known up to a higher index of the replicated log, and the
//! link to an instance that left the list stays open while the instance answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::{DialerSet, LinkCommand, LinkId};
use mulberrywell_wire::serving::ServingUpdate;
use mulberrywell_wire::FrameBody;

/// The links to all control instances.
#[derive(Debug)]
pub struct ControlLinks {
    seeds: BTreeSet<SocketAddr>,
    /// Addresses advertised by control instances.
    advertised: BTreeSet<SocketAddr>,
    /// Cluster, and index in its log, of `advertised`; zeros for a list without them.
    list_version: (u64, u64),
    /// Addresses of the list before, or of earlier ones while their links are open.
    former: BTreeSet<SocketAddr>,
    /// Cluster that each open link's instance named.
    clusters: BTreeMap<LinkId, u64>,
    /// Addresses that are dialed.
    wanted: BTreeSet<SocketAddr>,
    dialers: DialerSet,
    open: BTreeSet<LinkId>,
    /// Link for load and demand reports.
    primary: Option<LinkId>,
    /// Link to the leader.
    leader: Option<LinkId>,
    /// Links to instances that have had no leader for some time.
    leaderless: BTreeSet<LinkId>,
}

impl ControlLinks {
    /// Creates links that are yet to be dialed.
    pub fn new(seeds: &[SocketAddr], now: Instant) -> Self {
        let mut links = ControlLinks {
            seeds: seeds.iter().copied().collect(),
            advertised: BTreeSet::new(),
            list_version: (0, 0),
            former: BTreeSet::new(),
            clusters: BTreeMap::new(),
            wanted: BTreeSet::new(),
            dialers: DialerSet::default(),
            open: BTreeSet::new(),
            primary: None,
            leader: None,
            leaderless: BTreeSet::new(),
        };
        links.update_dialers(now);
        links
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, now: Instant, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().collect();
        self.update_dialers(now);
    }

    /// Replaces the addresses that control instances advertised with those of an
    /// update, unless its list is empty or older.
    pub fn apply_advertised(&mut self, now: Instant, link: LinkId, update: &ServingUpdate) {
        let parsed = update.controls.iter().filter_map(parse_address);
        let advertised: BTreeSet<SocketAddr> = parsed.collect();
        let version = (update.controls_cluster, update.controls_version);
        if advertised.is_empty() || !self.is_newer(link, version) {
            return;
        }
        self.list_version = version;
        if advertised == self.advertised {
            return;
        }
        let linked: BTreeSet<SocketAddr> = self.dialers.open_links().map(|it| it.0).collect();
        self.former.retain(|address| linked.contains(address));
        self.former.append(&mut self.advertised);
        self.former.retain(|address| !advertised.contains(address));
        self.advertised = advertised;
        self.update_dialers(now);
    }

    /// Returns whether a list from a link replaces the one that is known.
    fn is_newer(&mut self, link: LinkId, version: (u64, u64)) -> bool {
        self.clusters.insert(link, version.0);
        self.replaces(self.list_version, version)
    }

    /// Returns whether a list of one cluster and index replaces a known one. A list of
    /// another cluster does only once no instance of the known one is linked.
    pub fn replaces(&self, known: (u64, u64), version: (u64, u64)) -> bool {
        let (known_cluster, known_index) = known;
        let (cluster, index) = version;
        if cluster == known_cluster {
            // Lists without an index replace each other, as there is no order in them.
            return index > known_index || (index == 0 && known_index == 0);
        }
        known_cluster == 0 || !self.clusters.values().any(|it| *it == known_cluster)
    }

    fn update_dialers(&mut self, now: Instant) {
        let has_advertised = {
            let mut linked = self.dialers.open_links();
            linked.any(|(address, _)| self.advertised.contains(&address))
        };
        self.wanted = if has_advertised {
            self.advertised.clone()
        } else {
            // Whoever left the list may be all that is left of a partitioned control.
            let known = self.seeds.union(&self.advertised);
            known.chain(&self.former).copied().collect()
        };
        self.dialers.set_addresses(now, &self.wanted);
    }

    /// Returns when [`ControlLinks::dial`] is next due.
    pub fn deadline(&self) -> Option<Instant> {
        self.dialers.deadline()
    }

    /// Appends the commands for links that are due to be dialed, and for those to
    /// instances that were never advertised and are no longer wanted.
    pub fn dial(&mut self, now: Instant, commands: &mut Vec<LinkCommand>) {
        self.dialers.dial(now, commands);
        let linked = self.dialers.open_links();
        let unwanted = linked.filter(|(address, _)| {
            !self.wanted.contains(address) && !self.former.contains(address)
        });
        commands.extend(unwanted.map(|(_, link)| LinkCommand::Close { link }));
    }

    /// Records that a link opened.
    pub fn handle_opened(&mut self, now: Instant, link: LinkId) {
        self.dialers.handle_opened(link);
        self.open.insert(link);
        self.update_dialers(now);
    }

    /// Returns the address of an open or dialed link.
    pub fn address_of(&self, link: LinkId) -> Option<SocketAddr> {
        self.dialers.address_of(link)
    }

    /// Records that a link closed; returns whether it was open.
    pub fn handle_closed(&mut self, now: Instant, link: LinkId) -> bool {
        self.clusters.remove(&link);
        self.leaderless.remove(&link);
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

    /// Records whether the control instance of a link has had no leader for some time;
    /// returns whether that changed.
    pub fn record_leaderless(&mut self, link: LinkId, leaderless: bool) -> bool {
        if leaderless {
            self.leaderless.insert(link)
        } else {
            self.leaderless.remove(&link)
        }
    }

    /// Returns the link to the leader, if one is known.
    pub fn leader_link(&self) -> Option<LinkId> {
        self.leader
    }

    /// Chooses the open link with the lowest address as the primary link, so
    /// that all gateways report to the same instance. One whose instance reaches a
    /// leader comes first, since placement needs the reports. Returns whether the
    /// primary link changed.
    pub fn choose_primary(&mut self) -> bool {
        let dialed = self.dialers.open_links().map(|(_, link)| link);
        let open = dialed.filter(|link| self.open.contains(link));
        // The key of links to instances without a leader is the greater one; of equal
        // keys the first counts.
        let first = open.min_by_key(|link| self.leaderless.contains(link));
        std::mem::replace(&mut self.primary, first) != first
    }

    /// Returns the command that sends a frame on the primary link, if there is
    /// one.
    pub fn send_on_primary(&self, body: FrameBody) -> Option<LinkCommand> {
        self.primary.map(|link| LinkCommand::Send { link, body })
    }
}

fn parse_address(address: &Bytes) -> Option<SocketAddr> {
    std::str::from_utf8(address).ok()?.parse().ok()
}
