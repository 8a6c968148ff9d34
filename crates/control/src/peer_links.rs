//! Links between control instances.
//!
//! Algorithm: each instance dials every seed and every member's address. Both
//! sides first send a `MemberHello` with the member's identity, so that a link
//! is bound to an identity and not to an address. Any open link to a member is
//! used in both directions.
//!
//! If an instance that started with an empty disk has the name and the address of a member
//! without a link, that member's disk is lost: only one process can be reached at an
//! address, and an instance that was given another address keeps its disk and is known by
//! that address. The instances tell each other in their hellos which members are defunct.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_consensus::{MemberId, Membership};
use mulberrywell_role::{DialerSet, LinkCommand, LinkId};
use mulberrywell_wire::command::MemberItem;
use mulberrywell_wire::operate::MemberHello;
use mulberrywell_wire::FrameBody;

/// Time within which an instance that ended without notice may be back with its disk.
const RETURN_LIMIT: Duration = Duration::from_secs(10);

/// Identity that a peer sent on one link.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerInfo {
    /// Identity and addresses.
    pub member: MemberItem,
    /// Cluster of the peer; 0 while it belongs to none.
    pub cluster: u64,
    /// Instance that the peer names as the founder of the cluster; 0 for none.
    pub founder: MemberId,
    /// Whether the peer's log was empty when the link was opened.
    pub was_empty: bool,
    /// Whether the peer is shutting down.
    pub leaving: bool,
}

/// All links to other control instances.
#[derive(Debug)]
pub struct PeerLinks {
    own: MemberItem,
    /// Addresses of this instance: the advertised one and the one it listens
    /// on.
    own_addresses: [SocketAddr; 2],
    seeds: Vec<SocketAddr>,
    /// Addresses of members.
    members: Vec<Bytes>,
    /// One dialer for each address, except this instance's own.
    dialers: DialerSet,
    /// Instances that were reached at the address of a seed.
    seed_members: BTreeSet<MemberId>,
    /// Whether this instance's log is empty.
    is_empty: bool,
    /// Members known to be defunct, which the hellos contain.
    defunct: Vec<MemberId>,
    /// Whether this instance is shutting down; it stays so.
    leaving: bool,
    /// Open links to control instances; `None` until the peer's hello arrives.
    links: BTreeMap<LinkId, Option<PeerInfo>>,
    /// Instances with a disk whose last link closed without notice within
    /// [`RETURN_LIMIT`], with the time at which it closed.
    ended: BTreeMap<MemberId, Instant>,
    /// Instance that this one names as the founder of the cluster; 0 for none.
    founder: MemberId,
}

impl PeerLinks {
    /// Creates the table and starts to dial the seeds.
    pub fn new(
        own: MemberItem,
        own_addresses: [SocketAddr; 2],
        seeds: Vec<SocketAddr>,
        now: Instant,
    ) -> Self {
        let mut links = PeerLinks {
            own,
            own_addresses,
            seeds,
            members: Vec::new(),
            dialers: DialerSet::default(),
            seed_members: BTreeSet::new(),
            is_empty: false,
            defunct: Vec::new(),
            leaving: false,
            links: BTreeMap::new(),
            ended: BTreeMap::new(),
            founder: 0,
        };
        links.set_addresses(now, &[]);
        links
    }

    /// Returns this instance's own identity and addresses.
    pub fn own(&self) -> &MemberItem {
        &self.own
    }

    /// Sets the members' addresses, which are dialed in addition to the seeds.
    pub fn set_addresses(&mut self, now: Instant, members: &[Bytes]) {
        self.members = members.to_vec();
        let parsed = members.iter().filter_map(parse_address);
        let wanted: BTreeSet<SocketAddr> = parsed
            .chain(self.seeds.iter().copied())
            .filter(|address| !self.own_addresses.contains(address))
            .collect();
        self.dialers.set_addresses(now, &wanted);
    }

    /// Replaces the seeds; links to former seeds stay open while they are
    /// members.
    pub fn set_seeds(&mut self, now: Instant, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        let members = self.members.clone();
        self.set_addresses(now, &members);
    }

    /// Returns whether this instance is the one that founds the cluster: the first
    /// of the seeds with a disk or, if none has one, the instance that the first
    /// seed names. All seeds must be connected.
    pub fn is_founder(&self) -> bool {
        let mut seeds = self.seeds.clone();
        seeds.sort_unstable();
        let infos: Option<Vec<&PeerInfo>> = seeds
            .iter()
            .filter(|seed| !self.own_addresses.contains(seed))
            .map(|seed| self.info_of(seed))
            .collect();
        let Some(infos) = infos else {
            return false;
        };
        let own_idx = seeds
            .iter()
            .position(|seed| self.own_addresses.contains(seed));
        let before_own = infos.iter().take(own_idx.unwrap_or(infos.len()));
        let is_first = before_own.clone().all(|info| info.member.observer);
        match own_idx {
            Some(_) => is_first,
            None => is_first && infos.first().is_some_and(|it| it.founder == self.own.id),
        }
    }

    /// Names the instance that founds the cluster if this instance is the first
    /// seed and no seed has a disk; returns whether it named one just now. The
    /// choice is final, so that no second cluster is founded.
    pub fn name_founder(&mut self) -> bool {
        let first = self.seeds.iter().min();
        let is_first = first.is_some_and(|seed| self.own_addresses.contains(seed));
        if self.founder != 0 || !is_first || !self.own.observer {
            return false;
        }
        let others = self.seeds.iter();
        let others = others.filter(|seed| !self.own_addresses.contains(seed));
        let mut infos = others.map(|seed| self.info_of(seed));
        if !infos.all(|info| info.is_some_and(|info| info.member.observer)) {
            return false;
        }
        let connected = self.connected();
        let durable = connected.values().filter(|info| !info.member.observer);
        let first = durable.min_by_key(|info| &info.member.address);
        self.founder = first.map_or(0, |info| info.member.id);
        self.founder != 0
    }

    /// Returns what the instance at an address that this one dials has told.
    fn info_of(&self, address: &SocketAddr) -> Option<&PeerInfo> {
        let mut open = self.dialers.open_links();
        let (_, link) = open.find(|(known, _)| known == address)?;
        self.links.get(&link)?.as_ref()
    }

    /// Returns whether an instance with a disk is connected.
    pub fn has_durable_peer(&self) -> bool {
        let mut infos = self.links.values().flatten();
        infos.any(|info| !info.member.observer)
    }

    /// Returns whether an instance was reached at the address of a seed.
    pub fn is_seed(&self, id: MemberId) -> bool {
        self.seed_members.contains(&id)
    }

    /// Returns the number of seeds other than this instance.
    pub fn other_seed_count(&self) -> usize {
        let seeds = self.seeds.iter();
        let others = seeds.filter(|seed| !self.own_addresses.contains(seed));
        others.count()
    }

    /// Returns when [`PeerLinks::dial`] is due next.
    pub fn deadline(&self) -> Option<Instant> {
        self.dialers.deadline()
    }

    /// Appends the commands that dial the links that are due.
    pub fn dial(&mut self, now: Instant, commands: &mut Vec<LinkCommand>) {
        self.dialers.dial(now, commands);
    }

    /// Inserts an open link to a control instance; returns the hello to send.
    pub fn insert_link(&mut self, link: LinkId, cluster: u64) -> LinkCommand {
        self.dialers.handle_opened(link);
        self.links.insert(link, None);
        self.hello(link, cluster)
    }

    /// Returns a hello for each open link, sent after this instance has joined
    /// a cluster.
    pub fn hello_commands(&self, cluster: u64) -> Vec<LinkCommand> {
        let links = self.links.keys();
        links.map(|link| self.hello(*link, cluster)).collect()
    }

    fn hello(&self, link: LinkId, cluster: u64) -> LinkCommand {
        let hello = MemberHello {
            member: Some(self.own.clone()),
            cluster,
            founder: self.founder,
            members: self.members.clone(),
            defunct: self.defunct.clone(),
            empty: self.is_empty,
            leaving: self.leaving,
        };
        let body = FrameBody::MemberHello(hello);
        LinkCommand::Send { link, body }
    }

    /// Removes a closed link; returns whether it led to a control instance.
    pub fn remove_link(&mut self, now: Instant, link: LinkId) -> bool {
        self.dialers.handle_closed(now, link);
        let Some(closed) = self.links.remove(&link) else {
            return false;
        };
        self.ended.retain(|_, at| *at + RETURN_LIMIT > now);
        if let Some(info) = closed.filter(|it| !it.leaving && !it.member.observer) {
            let id = info.member.id;
            if self.link_of(id).is_none() {
                self.ended.insert(id, now);
            }
        }
        true
    }

    /// Returns whether an instance that isn't a member may be back with its disk: it ended
    /// without notice a short time ago.
    pub fn awaits_return(&self, now: Instant, membership: &Membership) -> bool {
        let mut ended = self.ended.iter();
        ended.any(|(id, at)| *at + RETURN_LIMIT > now && membership.member(*id).is_none())
    }

    /// Records the identity from a peer's hello. An instance that knows no members
    /// dials those that the peer knows.
    pub fn handle_hello(&mut self, now: Instant, link: LinkId, hello: MemberHello) {
        if self.members.is_empty() && !hello.members.is_empty() {
            self.set_addresses(now, &hello.members);
        }
        let Some(info) = self.links.get_mut(&link) else {
            return;
        };
        let member = hello.member.unwrap_or_default();
        self.ended.remove(&member.id);
        let mut open = self.dialers.open_links();
        let dialed = open.find(|(_, known)| *known == link);
        if dialed.is_some_and(|(address, _)| self.seeds.contains(&address)) {
            self.seed_members.insert(member.id);
        }
        *info = Some(PeerInfo {
            member,
            cluster: hello.cluster,
            founder: hello.founder,
            was_empty: hello.empty || info.as_ref().is_some_and(|it| it.was_empty),
            leaving: hello.leaving,
        });
    }

    /// Records that this instance is shutting down; returns a hello for each open link.
    pub fn set_leaving(&mut self, cluster: u64) -> Vec<LinkCommand> {
        self.leaving = true;
        self.hello_commands(cluster)
    }

    /// Sets whether this instance's log is empty.
    pub fn set_empty(&mut self, is_empty: bool) {
        self.is_empty = is_empty;
    }

    /// Sets the members known to be defunct; returns whether they have changed.
    pub fn set_defunct(&mut self, defunct: &[MemberId]) -> bool {
        let is_changed = self.defunct != defunct;
        if is_changed {
            self.defunct = defunct.to_vec();
        }
        is_changed
    }

    /// Returns whether an instance with a new identity has taken the place of a member
    /// that isn't linked: it started with an empty disk under the member's name and at
    /// its address.
    pub fn is_defunct(&self, member: &MemberItem) -> bool {
        let known = self.links.values().flatten();
        let mut others = known.clone();
        let is_linked = others.any(|info| info.member.id == member.id);
        if is_linked || member.id == self.own.id || member.observer {
            return false;
        }
        let mut emptied = known.filter(|info| info.was_empty && !info.member.observer);
        emptied.any(|info| info.member.name == member.name && info.member.address == member.address)
    }

    /// Returns whether a link leads to a control instance.
    pub fn is_peer(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// Returns the newest open link to a member.
    pub fn link_of(&self, id: MemberId) -> Option<LinkId> {
        let newest = self.links.iter().rev();
        let mut matching = newest.filter(|(_, info)| {
            let info = info.as_ref();
            info.is_some_and(|info| info.member.id == id)
        });
        matching.next().map(|(link, _)| *link)
    }

    /// Returns the connected control instances, each once.
    pub fn connected(&self) -> BTreeMap<MemberId, &PeerInfo> {
        let known = self.links.values().flatten();
        let others = known.filter(|info| info.member.id != self.own.id);
        others.map(|info| (info.member.id, info)).collect()
    }

    /// Returns one open link to each connected control instance.
    pub fn member_links(&self) -> Vec<LinkId> {
        let ids: Vec<MemberId> = self.connected().into_keys().collect();
        ids.into_iter().filter_map(|id| self.link_of(id)).collect()
    }
}

fn parse_address(address: &Bytes) -> Option<SocketAddr> {
    std::str::from_utf8(address).ok()?.parse().ok()
}
