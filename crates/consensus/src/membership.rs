//! The members of a cluster and membership changes.
//!
//! Guarantees: two consecutive memberships differ by at most one voter. A learner
//! counts in no quorum.
//!
//! Any two majorities of a membership overlap. If the number of voters is even,
//! a majority also overlaps every half of the voters without a given one, since
//! it contains such a half itself, and two such halves overlap. So one voter that
//! never acts again need not be counted (`docs/design/lost-disks.md`).

use std::fmt;

use bytes::Bytes;

/// Permanent id of a member, generated at random with its data folder.
///
/// 0 means no member. A member that lost its disk generates a new id.
pub type MemberId = u64;

/// One member.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct MemberRecord {
    /// The member.
    #[prost(uint64, tag = "1")]
    pub id: MemberId,
    /// Address at which the host reaches it, as text.
    #[prost(bytes = "bytes", tag = "2")]
    pub address: Bytes,
    /// Whether it counts in quorums; a learner does not.
    #[prost(bool, tag = "3")]
    pub voter: bool,
}

/// All members, in the order of their ids.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Membership {
    /// Ids are unique and in ascending order.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberRecord>,
}

/// One change of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that receives the log and counts in no quorum.
    AddLearner {
        /// The new member.
        id: MemberId,
        /// Address at which the host reaches it.
        address: Bytes,
    },
    /// Promotes a caught-up learner to a voter.
    Promote {
        /// The learner.
        id: MemberId,
    },
    /// Removes a learner or a voter; the leader can't remove itself.
    Remove {
        /// The member.
        id: MemberId,
    },
    /// Changes the address of a member.
    SetAddress {
        /// The member.
        id: MemberId,
        /// The new address.
        address: Bytes,
    },
}

/// Reason why a membership change was rejected; nothing was changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeRejection {
    /// An earlier change, or the first entry of the leader's term, is not yet
    /// committed.
    InProgress,
    /// No such member.
    Unknown,
    /// The change has no effect: the member already has the requested state.
    Already,
    /// The learner still lacks entries or has not responded recently.
    NotCaughtUp,
    /// The member is the leader; it must transfer its leadership first.
    Leading,
    /// The last voter can't be removed.
    LastVoter,
    /// Fewer than a quorum of the voters before or after the change have responded
    /// recently.
    QuorumAtRisk,
    /// The member's disk was lost; its id is never used again.
    Defunct,
}

impl fmt::Display for ChangeRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ChangeRejection::InProgress => "an earlier change is not yet committed",
            ChangeRejection::Unknown => "no such member",
            ChangeRejection::Already => "the member already has this state",
            ChangeRejection::NotCaughtUp => "the learner has not caught up",
            ChangeRejection::Leading => "the member is the leader; transfer its leadership first",
            ChangeRejection::LastVoter => "the last voter can't be removed",
            ChangeRejection::QuorumAtRisk => "too few of the voters responded recently",
            ChangeRejection::Defunct => "the member's disk was lost",
        })
    }
}

impl Membership {
    /// Creates the membership of a new cluster with one voter.
    pub fn bootstrapped_by(id: MemberId, address: Bytes) -> Self {
        let first_member = MemberRecord {
            id,
            address,
            voter: true,
        };
        Membership {
            members: vec![first_member],
        }
    }

    /// Returns a member.
    pub fn member(&self, id: MemberId) -> Option<&MemberRecord> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Returns whether the member counts in quorums.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.member(id).is_some_and(|member| member.voter)
    }

    /// Iterates over the ids of all voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        let voters = self.members.iter().filter(|member| member.voter);
        voters.map(|member| member.id)
    }

    /// Returns the number of voters in a quorum.
    pub fn quorum_len(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether a member that is away, and may come back with its disk, can be
    /// removed meanwhile.
    ///
    /// A removal from an even number of voters makes the quorum smaller by one, so that
    /// the others bear as many losses as before. From an odd number the quorum stays, so
    /// that they bear one less: they must be enough for `losses_max` of them to be lost for
    /// good. A quorum of one would leave what is committed next on a single disk.
    pub fn can_spare(&self, id: MemberId, losses_max: usize) -> bool {
        if !self.is_voter(id) {
            return true;
        }
        let left = self.voters().count() - 1;
        let quorum = left / 2 + 1;
        if self.has_even_voters() {
            quorum > 1
        } else {
            left >= quorum + losses_max
        }
    }

    /// Returns whether quorums get smaller when one voter isn't counted.
    pub fn has_even_voters(&self) -> bool {
        self.voters().count() % 2 == 0
    }

    /// Returns the greatest value that a quorum of voters has reached.
    ///
    /// `uncounted` is a voter that isn't counted if the number of voters is even;
    /// 0 for none. Returns `None` when there is no voter.
    pub fn quorum_value<T: Ord>(
        &self,
        uncounted: MemberId,
        value: impl FnMut(MemberId) -> T,
    ) -> Option<T> {
        let is_even = self.has_even_voters();
        let counted = self.voters().filter(|id| !is_even || *id != uncounted);
        let mut values: Vec<T> = counted.map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let majority = values.len() / 2 + 1;
        values.into_iter().nth(majority - 1)
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    /// Fails when the change can't be applied to this membership. The caller
    /// checks whether a learner has caught up and which member leads.
    pub fn with_change(&self, change: &MembershipChange) -> Result<Membership, ChangeRejection> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner { id, address } => next.add(*id, address)?,
            MembershipChange::Promote { id } => {
                let member = next.member_mut(*id)?;
                if member.voter {
                    return Err(ChangeRejection::Already);
                }
                member.voter = true;
            }
            MembershipChange::Remove { id } => next.remove(*id)?,
            MembershipChange::SetAddress { id, address } => {
                let member = next.member_mut(*id)?;
                if member.address == *address {
                    return Err(ChangeRejection::Already);
                }
                member.address = address.clone();
            }
        }
        Ok(next)
    }

    fn member_mut(&mut self, id: MemberId) -> Result<&mut MemberRecord, ChangeRejection> {
        let mut members = self.members.iter_mut();
        members
            .find(|member| member.id == id)
            .ok_or(ChangeRejection::Unknown)
    }

    fn add(&mut self, id: MemberId, address: &Bytes) -> Result<(), ChangeRejection> {
        let position = self.members.binary_search_by_key(&id, |member| member.id);
        let Err(position) = position else {
            return Err(ChangeRejection::Already);
        };
        let member = MemberRecord {
            id,
            address: address.clone(),
            voter: false,
        };
        self.members.insert(position, member);
        Ok(())
    }

    fn remove(&mut self, id: MemberId) -> Result<(), ChangeRejection> {
        self.member_mut(id)?;
        if self.is_voter(id) && self.voters().count() == 1 {
            return Err(ChangeRejection::LastVoter);
        }
        self.members.retain(|member| member.id != id);
        Ok(())
    }
}
