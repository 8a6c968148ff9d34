//! Calls and frames that a follower has forwarded to the leader.
//!
//! Guarantees: each is answered at most once. If the leader is lost or does not
//! answer in time, the requester is returned so that it can be notified
//! immediately.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mulberrywell_role::{LinkId, RequestId};
use mulberrywell_wire::FrameBody;

/// Time limit for the leader's answer.
const RELAY_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of calls and frames without an answer.
const RELAYS_MAX: usize = 65_536;

/// The origin of a forwarded call or frame.
#[derive(Debug)]
pub enum RelayRequester {
    /// An operator.
    Operator(RequestId),
    /// A caller of the serving interface.
    Serving(RequestId),
    /// A caller whose change a leader of an earlier version takes for a read.
    ServingChange(RequestId),
    /// An entry or agent; the frame is stored to build a refusal.
    Client {
        /// Its link.
        link: LinkId,
        /// The forwarded frame.
        frame: Box<FrameBody>,
    },
}

#[derive(Debug)]
struct OpenRelay {
    requester: RelayRequester,
    /// Link to the leader.
    via: LinkId,
    expires: Instant,
}

/// Calls and frames without an answer from the leader.
#[derive(Debug, Default)]
pub struct RelayTable {
    /// By sequence; the expiry times ascend with the sequence.
    relays: BTreeMap<u64, OpenRelay>,
    last_sequence: u64,
}

impl RelayTable {
    /// Inserts a relay; returns its sequence.
    ///
    /// # Errors
    /// Returns the requester if the table is full.
    pub fn insert(
        &mut self,
        now: Instant,
        via: LinkId,
        requester: RelayRequester,
    ) -> Result<u64, RelayRequester> {
        if self.relays.len() >= RELAYS_MAX {
            return Err(requester);
        }
        self.last_sequence += 1;
        let relay = OpenRelay {
            requester,
            via,
            expires: now + RELAY_TIMEOUT,
        };
        self.relays.insert(self.last_sequence, relay);
        Ok(self.last_sequence)
    }

    /// Removes an answered relay; returns its requester.
    pub fn remove(&mut self, sequence: u64) -> Option<RelayRequester> {
        self.relays.remove(&sequence).map(|relay| relay.requester)
    }

    /// Removes the relays of a closed link; returns their requesters.
    pub fn remove_link(&mut self, via: LinkId) -> Vec<RelayRequester> {
        self.remove_where(|relay| relay.via == via)
    }

    /// Removes overdue relays; returns their requesters.
    pub fn expire(&mut self, now: Instant) -> Vec<RelayRequester> {
        let mut requesters = Vec::new();
        while let Some(oldest) = self.relays.first_entry() {
            if oldest.get().expires > now {
                break;
            }
            requesters.push(oldest.remove().requester);
        }
        requesters
    }

    /// Removes all relays; returns their requesters.
    pub fn clear(&mut self) -> Vec<RelayRequester> {
        self.remove_where(|_| true)
    }

    /// Returns whether a call is without an answer, not counting frames.
    pub fn has_calls(&self) -> bool {
        let mut relays = self.relays.values();
        relays.any(|relay| !matches!(relay.requester, RelayRequester::Client { .. }))
    }

    /// Returns when [`RelayTable::expire`] is due next.
    pub fn deadline(&self) -> Option<Instant> {
        self.relays.values().next().map(|relay| relay.expires)
    }

    fn remove_where(&mut self, matches: impl Fn(&OpenRelay) -> bool) -> Vec<RelayRequester> {
        let matching = self.relays.iter().filter(|(_, relay)| matches(relay));
        let sequences: Vec<u64> = matching.map(|(sequence, _)| *sequence).collect();
        let requesters = sequences
            .iter()
            .filter_map(|sequence| self.remove(*sequence));
        requesters.collect()
    }
}
