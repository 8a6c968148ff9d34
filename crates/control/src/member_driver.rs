//! Drives the membership towards what operators have requested.
//!
//! Algorithm: the leader checks at an interval and makes one change at a time.
//! An instance that belongs to no other cluster becomes a learner if operators
//! want it, or, if they have requested nothing for its name, if it was reached
//! at the address of a seed or its name is known. It receives a snapshot and
//! the tail of the log and becomes a voter once it has caught up. An instance
//! that lost its disk returns under the same name with a new identity; the old
//! identity is removed once it is disconnected. An observer, which has no disk, stays a
//! learner. A new member first receives a copy of the log and counts in a quorum only
//! later (Ongaro, section 4.2.1).
//!
//! With open membership any instance is admitted, and a member that is away is removed if
//! the others can spare it ([`Membership::can_spare`]); it is admitted again when it is
//! back. Whether it will be back with its disk isn't known. One that tells that it is
//! shutting down is removed before its process ends, one without a link after
//! [`ENDED_AFTER`] from an even number of voters, as nothing is lost by that, and after
//! [`LOST_AFTER`] otherwise (`docs/design/lost-disks.md`).

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use mulberrywell_chart::{ChartSymbol, StateChart};
use mulberrywell_consensus::{MemberId, MemberRecord, Membership, MembershipChange};
use mulberrywell_settings::Finding;
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{DropMember, MemberItem, PutMember};

use crate::cluster_state::ClusterState;
use crate::peer_links::{PeerInfo, PeerLinks};

/// Time without a link after which a member counts as lost; longer than a
/// restart takes.
pub const LOST_AFTER: Duration = Duration::from_millis(2_500);

/// Time without a link after which a process has ended or can't be reached; longer than
/// a closed link takes to be opened again.
pub const ENDED_AFTER: Duration = Duration::from_millis(300);

const CHART_FILE: &str = "charts/member.toml";
const CHART_TEXT: &str = include_str!("../../../charts/member.toml");

/// Role of an instance in the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberPhase {
    /// Not a member yet.
    Outside,
    /// Receives the log and counts in no quorum.
    Learner,
    /// Counts in quorums.
    Voter,
    /// No longer a member; this identity is never admitted again.
    Removed,
}

impl ChartSymbol for MemberPhase {
    const ALL: &'static [(Self, &'static str)] = &[
        (MemberPhase::Outside, "outside"),
        (MemberPhase::Learner, "learner"),
        (MemberPhase::Voter, "voter"),
        (MemberPhase::Removed, "removed"),
    ];
}

/// An event that changes an instance's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberEvent {
    /// It may become a member.
    Admitted,
    /// It has caught up with the log.
    CaughtUp,
    /// It is unwanted or has been replaced.
    Removed,
}

impl ChartSymbol for MemberEvent {
    const ALL: &'static [(Self, &'static str)] = &[
        (MemberEvent::Admitted, "admitted"),
        (MemberEvent::CaughtUp, "caught_up"),
        (MemberEvent::Removed, "removed"),
    ];
}

/// The leader's next step.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberStep {
    /// Proposes a command.
    Command(Body),
    /// Changes the membership.
    Change(MembershipChange),
    /// Transfers the leadership, because this instance itself is to be removed.
    Transfer,
}

/// Selects the next steps towards the requested membership.
#[derive(Debug)]
pub struct MemberDriver {
    chart: StateChart<MemberPhase, MemberEvent>,
}

/// Input for the selection of steps.
#[derive(Debug, Clone, Copy)]
pub struct MemberView<'a> {
    /// The replicated state.
    pub state: &'a ClusterState,
    /// Members of the consensus group.
    pub membership: &'a Membership,
    /// Links to other instances.
    pub peers: &'a PeerLinks,
    /// Members without a link, with the time since when each has had none.
    pub absent: &'a BTreeMap<MemberId, Duration>,
    /// Whether any instance may become a member.
    pub is_open: bool,
    /// Number of disks that may be lost for good at the same time.
    pub losses_max: usize,
}

impl MemberView<'_> {
    /// Returns whether a member that is away, or about to be, is to be removed.
    pub fn is_spared(&self, id: MemberId, is_leaving: bool) -> bool {
        let is_spare = self.is_open && self.membership.can_spare(id, self.losses_max);
        if !is_spare || !self.has_linked_quorum() {
            return false;
        }
        let is_even = self.membership.is_voter(id) && self.membership.has_even_voters();
        let limit = if is_even { ENDED_AFTER } else { LOST_AFTER };
        let absent = self.absent.get(&id);
        is_leaving || absent.is_some_and(|time| *time >= limit)
    }

    /// Returns whether a quorum of the voters is linked, which can commit a change.
    pub fn has_linked_quorum(&self) -> bool {
        let is_linked = |id| !self.absent.contains_key(&id);
        self.membership.quorum_value(0, is_linked) == Some(true)
    }
}

impl MemberDriver {
    /// Parses and verifies the chart.
    ///
    /// # Errors
    /// Fails with all faults found in the chart.
    pub fn open() -> Result<Self, Vec<Finding>> {
        let chart = StateChart::parse(CHART_FILE, CHART_TEXT)?;
        Ok(MemberDriver { chart })
    }

    /// Returns the steps that are applicable now, most urgent first. The
    /// consensus node may reject any of them; they are then retried later.
    pub fn steps(&self, view: MemberView<'_>) -> Vec<MemberStep> {
        let connected = view.peers.connected();
        let mut steps = Vec::new();
        // Of several changes the node makes the first one. Members that leave come first, as
        // they can still acknowledge their removal, then those that are away for longest, as
        // they are the least likely to be back.
        let mut members: Vec<&MemberRecord> = view.membership.members.iter().collect();
        members.sort_by_key(|it| {
            let is_leaving = connected.get(&it.id).is_some_and(|info| info.leaving);
            Reverse((is_leaving, view.absent.get(&it.id)))
        });
        for member in members {
            let phase = phase_of(member.voter);
            if let Some(event) = next_event(view, &connected, member.id, phase) {
                if self.chart.next(phase, event).is_some() {
                    steps.push(step_of(view, member.id, event));
                }
            }
        }
        steps.extend(address_steps(view, &connected));
        steps.extend(self.admissions(view, &connected));
        steps.extend(dropped_members(view, &connected));
        steps
    }

    /// Returns whether an instance with a disk is linked that isn't a voter yet and may
    /// become one.
    pub fn awaits_voter(&self, view: MemberView<'_>) -> bool {
        let connected = view.peers.connected();
        let mut others = connected.values().filter(|info| {
            let id = info.member.id;
            !info.member.observer && !view.membership.is_voter(id)
        });
        others.any(|info| is_admitted(view, info))
    }

    fn admissions(
        &self,
        view: MemberView<'_>,
        connected: &BTreeMap<MemberId, &PeerInfo>,
    ) -> Vec<MemberStep> {
        let outside = connected
            .values()
            .filter(|info| view.membership.member(info.member.id).is_none());
        let admitted = outside.filter(|info| is_admitted(view, info));
        let start = self.chart.initial();
        let steps = admitted.filter_map(|info| {
            self.chart.next(start, MemberEvent::Admitted)?;
            let member = &info.member;
            Some(if view.state.members.get(&member.id) == Some(member) {
                MemberStep::Change(MembershipChange::AddLearner {
                    id: member.id,
                    address: member.address.clone(),
                })
            } else {
                put_member(member)
            })
        });
        steps.collect()
    }
}

fn phase_of(voter: bool) -> MemberPhase {
    if voter {
        MemberPhase::Voter
    } else {
        MemberPhase::Learner
    }
}

fn next_event(
    view: MemberView<'_>,
    connected: &BTreeMap<MemberId, &PeerInfo>,
    id: MemberId,
    phase: MemberPhase,
) -> Option<MemberEvent> {
    let own = view.peers.own().id == id;
    let mut is_observer = false;
    if let Some(item) = view.state.members.get(&id) {
        is_observer = item.observer;
        let unwanted = view.state.wishes.get(&item.name) == Some(&false);
        let replaced = !own
            && !connected.contains_key(&id)
            && connected
                .values()
                .any(|info| info.member.name == item.name && is_admitted(view, info));
        let is_leaving = connected.get(&id).is_some_and(|info| info.leaving);
        if unwanted || replaced || view.is_spared(id, is_leaving) {
            return Some(MemberEvent::Removed);
        }
    }
    let mut present = connected.get(&id).into_iter().filter(|info| !info.leaving);
    let catches_up = phase == MemberPhase::Learner && !is_observer && present.next().is_some();
    catches_up.then_some(MemberEvent::CaughtUp)
}

fn step_of(view: MemberView<'_>, id: MemberId, event: MemberEvent) -> MemberStep {
    match event {
        MemberEvent::Removed if view.peers.own().id == id => MemberStep::Transfer,
        MemberEvent::Removed => MemberStep::Change(MembershipChange::Remove { id }),
        MemberEvent::Admitted | MemberEvent::CaughtUp => {
            MemberStep::Change(MembershipChange::Promote { id })
        }
    }
}

/// Returns whether an instance may become a member.
fn is_admitted(view: MemberView<'_>, info: &PeerInfo) -> bool {
    if info.leaving {
        return false;
    }
    if info.cluster != 0 && info.cluster != view.state.cluster {
        return false;
    }
    if view.is_open {
        return true;
    }
    let name: &Bytes = &info.member.name;
    match view.state.wishes.get(name) {
        Some(wish) => *wish,
        None => {
            let known = view.state.members.values().any(|item| item.name == *name);
            known || view.peers.is_seed(info.member.id)
        }
    }
}

fn put_member(member: &MemberItem) -> MemberStep {
    MemberStep::Command(Body::PutMember(PutMember {
        member: Some(member.clone()),
    }))
}

/// Returns steps for members whose addresses have changed or are unknown.
fn address_steps(
    view: MemberView<'_>,
    connected: &BTreeMap<MemberId, &PeerInfo>,
) -> Vec<MemberStep> {
    let others = connected.values().map(|info| &info.member);
    let mut steps = Vec::new();
    for member in others.chain([view.peers.own()]) {
        let Some(known) = view.membership.member(member.id) else {
            continue;
        };
        if view.state.members.get(&member.id) != Some(member) {
            steps.push(put_member(member));
        }
        if known.address != member.address {
            steps.push(MemberStep::Change(MembershipChange::SetAddress {
                id: member.id,
                address: member.address.clone(),
            }));
        }
    }
    steps
}

fn dropped_members(
    view: MemberView<'_>,
    connected: &BTreeMap<MemberId, &PeerInfo>,
) -> Vec<MemberStep> {
    let known = view.state.members.iter();
    let dropped = known.filter(|(id, item)| {
        let unwanted = view.state.wishes.get(&item.name) == Some(&false);
        view.membership.member(**id).is_none() && (unwanted || !connected.contains_key(*id))
    });
    let steps =
        dropped.map(|(id, _)| MemberStep::Command(Body::DropMember(DropMember { id: *id })));
    steps.collect()
}
