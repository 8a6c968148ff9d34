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
pub enum RelayAsker {
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
    asker: RelayAsker,
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
    pub fn open(
        &mut self,
        now: Instant,
        via: LinkId,
        asker: RelayAsker,
    ) -> Result<u64, RelayAsker> {
        if self.relays.len() >= RELAYS_MAX {
            return Err(asker);
        }
        self.last_sequence += 1;
        let relay = OpenRelay {
            asker,
            via,
            expires: now + RELAY_TIMEOUT,
        };
        self.relays.insert(self.last_sequence, relay);
        Ok(self.last_sequence)
    }

    /// Ends a relay that was answered.
    pub fn finish(&mut self, sequence: u64) -> Option<RelayAsker> {
        self.relays.remove(&sequence).map(|relay| relay.asker)
    }

    /// Ends the relays of a link that closed.
    pub fn close_link(&mut self, via: LinkId) -> Vec<RelayAsker> {
        self.end(|relay| relay.via == via)
    }

    /// Ends overdue relays.
    pub fn expire(&mut self, now: Instant) -> Vec<RelayAsker> {
        let mut ended = Vec::new();
        while let Some(oldest) = self.relays.first_entry() {
            if oldest.get().expires > now {
                break;
            }
            ended.push(oldest.remove().asker);
        }
        ended
    }

    /// Ends all relays.
    pub fn clear(&mut self) -> Vec<RelayAsker> {
        self.end(|_| true)
    }

    /// Returns when [`RelayTable::expire`] has something to do.
    pub fn deadline(&self) -> Option<Instant> {
        self.relays.values().next().map(|relay| relay.expires)
    }

    fn end(&mut self, is_over: impl Fn(&OpenRelay) -> bool) -> Vec<RelayAsker> {
        let over = self.relays.iter().filter(|(_, relay)| is_over(relay));
        let sequences: Vec<u64> = over.map(|(sequence, _)| *sequence).collect();
        let ended = sequences
            .iter()
            .filter_map(|sequence| self.finish(*sequence));
        ended.collect()
    }
}
