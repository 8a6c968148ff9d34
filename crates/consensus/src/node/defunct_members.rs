//! Members whose disks were lost, and the quorums that are needed without them.
//!
//! Algorithm: of an even number of voters N, any N/2 + 1 commit an entry or elect
//! a leader. If one voter is defunct, N/2 of the N - 1 others do so as well: they
//! meet every majority, and each other as long as all leave out the same voter.
//! Two halves that leave out distinct voters could only miss each other if each
//! contained the voter that the other leaves out, and so acted after that one's
//! end. Neither can be: a voter is left out from the start of a campaign on,
//! whose votes and acknowledgements were all given later. This holds within one
//! membership; for the next one see [`ConsensusNode::quorum_value`].
//! `docs/design/lost-disks.md` has the proof and the ways that were weighed.

use crate::node::ConsensusNode;
use crate::{HardState, MemberId, Membership};

impl ConsensusNode {
    /// Records a defunct member. A campaign or leadership that has begun still
    /// counts it.
    pub(super) fn record_defunct(&mut self, id: MemberId) {
        if id == self.id || id == 0 || self.is_defunct(id) {
            return;
        }
        let mut hard_state = self.hard_state.clone();
        hard_state.defunct.push(id);
        self.set_hard_state(hard_state);
    }

    /// Returns the members known to be defunct.
    pub fn defunct_members(&self) -> &[MemberId] {
        &self.hard_state.defunct
    }

    /// Returns whether a member is known to be defunct.
    pub fn is_defunct(&self, id: MemberId) -> bool {
        self.hard_state.defunct.contains(&id)
    }

    /// Returns the defunct voter that isn't counted in the current campaign or
    /// leadership, if any.
    pub fn uncounted_voter(&self) -> Option<MemberId> {
        Some(self.uncounted).filter(|id| *id != 0)
    }

    /// Iterates over the memberships of which quorums are needed: the one of the
    /// last entry that contains one and, until it is known to be committed, the one
    /// before it.
    pub fn memberships_in_force(&self) -> impl Iterator<Item = &Membership> {
        let previous = self.log.previous_membership();
        let previous = previous.filter(|_| !self.is_membership_settled());
        [Some(self.log.membership()), previous]
            .into_iter()
            .flatten()
    }

    /// Returns the greatest value that a quorum of each membership in force has
    /// reached.
    ///
    /// A change is therefore committed only by quorums of both memberships, so that
    /// no candidate without it wins by either. Returns `None` when there is no voter.
    pub(super) fn quorum_value<T: Ord>(&self, value: impl Fn(MemberId) -> T) -> Option<T> {
        let memberships = self.memberships_in_force();
        let values = memberships.filter_map(|it| it.quorum_value(self.uncounted, &value));
        values.min()
    }

    /// Returns whether this member alone is a quorum of a membership in force, so that
    /// its disk may be the only one with a committed entry.
    pub fn is_lone_quorum(&self) -> bool {
        let mut memberships = self.memberships_in_force();
        memberships.any(|it| it.quorum_value(self.uncounted, |id| id == self.id) == Some(true))
    }

    /// Returns the defunct voter that a campaign starting now doesn't count; 0 for
    /// none.
    pub(super) fn choose_uncounted(&self) -> MemberId {
        let mut even = self
            .memberships_in_force()
            .filter(|it| it.has_even_voters());
        let found = even.find_map(|it| it.voters().find(|id| self.is_defunct(*id)));
        found.unwrap_or(0)
    }

    /// Returns whether the membership in force is known to be committed.
    pub(super) fn is_membership_settled(&self) -> bool {
        let settled = self.commit.max(self.hard_state.settled_membership);
        self.log.membership_index() <= settled
    }

    /// Records in the hard state that the membership in force is committed, once its
    /// entry is synced: a torn write could otherwise leave this record without the
    /// entry, beside an earlier membership that was never committed.
    pub(super) fn record_settled_membership(&mut self) {
        let index = self.log.membership_index();
        let is_known = index <= self.hard_state.settled_membership;
        if is_known || index > self.commit.min(self.outbox.persisted_index()) {
            return;
        }
        self.set_hard_state(HardState {
            settled_membership: index,
            ..self.hard_state.clone()
        });
    }
}
