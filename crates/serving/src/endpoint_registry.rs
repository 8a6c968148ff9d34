//! The latest status of each endpoint.
//!
//! Algorithm: statuses are ordered by the endpoint's start, then by whether it
//! has gone, then by its own sequence number. At one address only the endpoint
//! with the latest start is present; any other has gone. Endpoints that have
//! gone stay in the registry, so that a late heartbeat does not add them again.
//! What responses told of an endpoint's start is merged by itself, as it isn't
//! ordered by the endpoint's sequence: leaving is final, and of two limits the one
//! with the higher revision holds.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_wire::serving::{EndpointLimit, EndpointPhase, EndpointStatus, LimitedEndpoint};

/// Identifier that an endpoint chooses for itself.
pub type EndpointId = Bytes;

/// Maximum number of endpoints that have gone and are retained.
const GONE_MAX: usize = 4_096;

/// Result of merging a status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is older than the stored status.
    Stale,
    /// It differs from the stored status at most in its sequence.
    Same,
    /// It is stored and differs from the status before.
    Changed,
}

/// The registered endpoints.
#[derive(Debug, Default, Clone)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<EndpointId, EndpointStatus>,
    /// Endpoint with the latest start at each address.
    addresses: BTreeMap<Bytes, EndpointId>,
    /// Endpoints that have gone, oldest first.
    gone: Vec<EndpointId>,
}

impl EndpointRegistry {
    /// Merges a status, unless it is older than the stored one or another
    /// endpoint has replaced the sender at its address.
    pub fn merge(&mut self, mut status: EndpointStatus) -> MergeOutcome {
        // Time that is left ages; `ColdEndpoints` keeps the end.
        status.cold_left_ms = None;
        if let Some(stored) = self.endpoints.get_mut(&status.id) {
            let is_joined = join_observations(stored, &mut status);
            if merge_order(&status) < merge_order(stored) {
                return if is_joined {
                    MergeOutcome::Changed
                } else {
                    MergeOutcome::Stale
                };
            }
            // The joined observations are new in both.
            if is_joined && has_same_content(stored, &status) {
                stored.sequence = status.sequence;
                return MergeOutcome::Changed;
            }
        }
        if self.is_replaced(&status) {
            return MergeOutcome::Stale;
        }
        let outcome = match self.endpoints.get(&status.id) {
            Some(stored) if has_same_content(stored, &status) => MergeOutcome::Same,
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

    /// Returns the latest status of an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointStatus> {
        self.endpoints.get(id)
    }

    /// Returns the latest status of an endpoint for setting the fields that the
    /// endpoint does not report itself.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointStatus> {
        self.endpoints.get_mut(id)
    }

    /// Records a limit that responses named; returns whether it is new.
    pub fn record_limit(&mut self, endpoint: &LimitedEndpoint) -> bool {
        let stored = self.endpoints.get_mut(&endpoint.id);
        let Some(stored) = stored.filter(|stored| stored.born_ms == endpoint.born_ms) else {
            return false;
        };
        let is_newer = limit_order(endpoint.limit) > limit_order(stored.limit);
        if is_newer {
            stored.limit = endpoint.limit;
        }
        is_newer
    }

    /// Returns all endpoints, including those that have gone.
    pub fn all(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.endpoints.values()
    }

    /// Returns the endpoints that have not gone.
    pub fn present(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.all()
            .filter(|status| status.phase() != EndpointPhase::Gone)
    }

    /// Returns whether another endpoint with a later start is at the address.
    fn is_replaced(&self, status: &EndpointStatus) -> bool {
        let owner = self.addresses.get(&status.address);
        let owner = owner.filter(|id| **id != status.id);
        let stored = owner.and_then(|id| self.endpoints.get(id));
        stored.is_some_and(|stored| {
            stored.phase() != EndpointPhase::Gone && stored.born_ms > status.born_ms
        })
    }

    /// Assigns the address to the endpoint; any other endpoint there has gone.
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
        if let Some(stored) = self.endpoints.get_mut(&owner) {
            if stored.phase() != EndpointPhase::Gone {
                stored.set_phase(EndpointPhase::Gone);
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

/// Joins what responses told of one start in both statuses; returns whether it is new
/// in the stored one.
fn join_observations(stored: &mut EndpointStatus, status: &mut EndpointStatus) -> bool {
    if stored.born_ms != status.born_ms {
        return false;
    }
    let limit = if limit_order(status.limit) > limit_order(stored.limit) {
        status.limit
    } else {
        stored.limit
    };
    let leaving = stored.leaving || status.leaving;
    let is_new = stored.limit != limit || stored.leaving != leaving;
    for joined in [stored, status] {
        joined.limit = limit;
        joined.leaving = leaving;
    }
    is_new
}

/// Returns the key that orders the limits of one start of an endpoint.
fn limit_order(limit: Option<EndpointLimit>) -> (u64, Reverse<u64>) {
    let limit = limit.unwrap_or_default();
    let milli_per_s = limit.milli_per_s.unwrap_or(u64::MAX);
    (limit.revision, Reverse(milli_per_s))
}

/// Returns the key that orders the statuses of one endpoint.
fn merge_order(status: &EndpointStatus) -> (u64, bool, u64) {
    let is_gone = status.phase() == EndpointPhase::Gone;
    (status.born_ms, is_gone, status.sequence)
}

/// Returns whether two statuses differ at most in their sequence.
fn has_same_content(stored: &EndpointStatus, status: &EndpointStatus) -> bool {
    let mut stored = stored.clone();
    stored.sequence = status.sequence;
    stored == *status
}
