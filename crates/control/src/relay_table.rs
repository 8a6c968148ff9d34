//! Calls and frames that a follower passed on to the leader.
//!
//! Guarantees: each is answered at most once; one whose leader is lost, or
//! that is overdue, is given back so that its asker is told at once.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mulberrywell_role::{LinkId, RequestId};
use mulberrywell_wire::FrameBody;

/// Time that the leader gets.
const RELAY_TIMEOUT: Duration = Duration::from_secs(4);

/// Most calls and frames that await the leader.
const RELAYS_MAX: usize = 65_536;

/// Who asked.
#[derive(Debug)]
pub enum RelayRequester {
    /// An operator.
    Operator(RequestId),
    /// A caller of the serving interface.
    Serving(RequestId),
    /// An entry or agent; the frame is kept for a refusal.
    Client {
        /// Its link.
        link: LinkId,
        /// What it asked.
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

/// What awaits the leader.
#[derive(Debug, Default)]
pub struct RelayTable {
    /// By sequence; expiry rises with it.
    relays: BTreeMap<u64, OpenRelay>,
    last_sequence: u64,
}

impl RelayTable {
    /// Adds a relay; returns its sequence.
    ///
    /// # Errors
    /// Gives the asker back when too many are open.
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

    /// Ends a relay that was answered.
    pub fn remove(&mut self, sequence: u64) -> Option<RelayRequester> {
        self.relays.remove(&sequence).map(|relay| relay.requester)
    }

    /// Ends the relays of a link that closed.
    pub fn remove_link(&mut self, via: LinkId) -> Vec<RelayRequester> {
        self.remove_where(|relay| relay.via == via)
    }

    /// Ends overdue relays.
    pub fn expire(&mut self, now: Instant) -> Vec<RelayRequester> {
        let mut ended = Vec::new();
        while let Some(oldest) = self.relays.first_entry() {
            if oldest.get().expires > now {
                break;
            }
            ended.push(oldest.remove().requester);
        }
        ended
    }

    /// Ends all relays.
    pub fn clear(&mut self) -> Vec<RelayRequester> {
        self.remove_where(|_| true)
    }

    /// Returns when [`RelayTable::expire`] has something to do.
    pub fn deadline(&self) -> Option<Instant> {
        self.relays.values().next().map(|relay| relay.expires)
    }

    fn remove_where(&mut self, is_over: impl Fn(&OpenRelay) -> bool) -> Vec<RelayRequester> {
        let over = self.relays.iter().filter(|(_, relay)| is_over(relay));
        let sequences: Vec<u64> = over.map(|(sequence, _)| *sequence).collect();
        let ended = sequences
            .iter()
            .filter_map(|sequence| self.remove(*sequence));
        ended.collect()
    }
}
