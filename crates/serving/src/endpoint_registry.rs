//! The newest word of each endpoint.
//!
//! Algorithm: words are ordered by the endpoint's start, then by whether it has
//! left, then by its own sequence. At one address the endpoint with the latest
//! start is there; any other has gone. Endpoints that have gone stay in the
//! book, so that a late heartbeat does not bring them back.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_wire::serving::{EndpointPhase, EndpointStatus};

/// An endpoint's own name.
pub type EndpointId = Bytes;

/// Endpoints that have gone and are remembered.
const GONE_MAX: usize = 4_096;

/// What became of a word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is older than what is known.
    Stale,
    /// It says what is known.
    Same,
    /// It changed what is known.
    Changed,
}

/// All endpoints.
#[derive(Debug, Default, Clone)]
pub struct EndpointBook {
    endpoints: BTreeMap<EndpointId, EndpointStatus>,
    /// Latest start at each address.
    addresses: BTreeMap<Bytes, EndpointId>,
    /// Endpoints that have gone, oldest first.
    gone: Vec<EndpointId>,
}

impl EndpointBook {
    /// Takes a word in.
    pub fn merge(&mut self, status: EndpointStatus) -> MergeOutcome {
        if let Some(known) = self.endpoints.get(&status.id) {
            if merge_order(&status) < merge_order(known) {
                return MergeOutcome::Stale;
            }
        }
        if self.is_replaced(&status) {
            return MergeOutcome::Stale;
        }
        let outcome = match self.endpoints.get(&status.id) {
            Some(known) if has_same_content(known, &status) => MergeOutcome::Same,
            _ => MergeOutcome::Changed,
        };
        self.update_address(&status);
        let id = status.id.clone();
        let is_gone = status.phase() == EndpointPhase::Gone;
        self.endpoints.insert(id.clone(), status);
        if is_gone && outcome == MergeOutcome::Changed {
            self.record_gone(id);
        }
        outcome
    }

    /// Returns an endpoint.
    pub fn find(&self, id: &EndpointId) -> Option<&EndpointStatus> {
        self.endpoints.get(id)
    }

    /// Returns an endpoint to note on it what it does not say itself.
    pub fn find_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointStatus> {
        self.endpoints.get_mut(id)
    }

    /// Returns all endpoints, those that have gone with them.
    pub fn all(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.endpoints.values()
    }

    /// Returns the endpoints that have not gone.
    pub fn present(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.all()
            .filter(|status| status.phase() != EndpointPhase::Gone)
    }

    /// Tells whether a later endpoint is at the address.
    fn is_replaced(&self, status: &EndpointStatus) -> bool {
        let owner = self.addresses.get(&status.address);
        let owner = owner.filter(|id| **id != status.id);
        let known = owner.and_then(|id| self.endpoints.get(id));
        known.is_some_and(|known| {
            known.phase() != EndpointPhase::Gone && known.born_ms > status.born_ms
        })
    }

    fn update_address(&mut self, status: &EndpointStatus) {
        if status.phase() == EndpointPhase::Gone || status.address.is_empty() {
            return;
        }
        let owner = self
            .addresses
            .insert(status.address.clone(), status.id.clone());
        let Some(owner) = owner.filter(|id| *id != status.id) else {
            return;
        };
        if let Some(known) = self.endpoints.get_mut(&owner) {
            if known.phase() != EndpointPhase::Gone {
                known.set_phase(EndpointPhase::Gone);
                self.record_gone(owner);
            }
        }
    }

    fn record_gone(&mut self, id: EndpointId) {
        self.gone.push(id);
        if self.gone.len() > GONE_MAX {
            let oldest = self.gone.remove(0);
            self.endpoints.remove(&oldest);
        }
    }
}

/// Orders the words of one endpoint.
fn merge_order(status: &EndpointStatus) -> (u64, bool, u64) {
    let is_gone = status.phase() == EndpointPhase::Gone;
    (status.born_ms, is_gone, status.sequence)
}

fn has_same_content(known: &EndpointStatus, status: &EndpointStatus) -> bool {
    let mut known = known.clone();
    known.sequence = status.sequence;
    known == *status
}
