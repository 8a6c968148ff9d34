//! Applied log index and state digest of each member, exchanged between
//! members.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_consensus::MemberId;
use mulberrywell_wire::operate::MemberStatus;

use crate::cluster_state::ClusterState;

/// Interval at which a member sends its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// The most recent status of each member.
#[derive(Debug)]
pub struct StatusTable {
    statuses: BTreeMap<MemberId, MemberStatus>,
    next_broadcast: Instant,
}

impl StatusTable {
    /// Creates an empty table.
    pub fn new(now: Instant) -> Self {
        StatusTable {
            statuses: BTreeMap::new(),
            next_broadcast: now,
        }
    }

    /// Stores a member's status.
    pub fn insert(&mut self, status: MemberStatus) {
        self.statuses.insert(status.member, status);
    }

    /// Returns a member's most recent status.
    pub fn find(&self, member: MemberId) -> Option<&MemberStatus> {
        self.statuses.get(&member)
    }

    /// Returns this member's status if it is time to send it.
    pub fn due_status(
        &mut self,
        now: Instant,
        own: MemberId,
        state: &ClusterState,
    ) -> Option<MemberStatus> {
        if now < self.next_broadcast {
            return None;
        }
        self.next_broadcast = now + STATUS_INTERVAL;
        Some(self.refresh(own, state))
    }

    /// Updates this member's status; the digest is recomputed only if the state
    /// has changed.
    pub fn refresh(&mut self, own: MemberId, state: &ClusterState) -> MemberStatus {
        let known = self.statuses.get(&own);
        if let Some(known) = known.filter(|known| known.applied == state.applied) {
            return known.clone();
        }
        let status = MemberStatus {
            member: own,
            applied: state.applied,
            digest: state.digest(),
        };
        self.insert(status.clone());
        status
    }
}

/// Returns the first bytes of a digest in hex.
pub fn short_hex(digest: &Bytes) -> String {
    let bytes = digest.iter().take(8);
    bytes.map(|byte| format!("{byte:02x}")).collect()
}
