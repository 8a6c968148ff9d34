//! The latest status of each endpoint.
//!
//! Algorithm: statuses are ordered by the endpoint's start, then by whether it
//! has gone, then by its own sequence number. At one address only the endpoint
//! with the latest start is present; any other has gone. Endpoints that have
//! gone stay in the registry, so that a late heartbeat does not add them again.
//! What responses told of an endpoint's start is merged by itself, as it isn't
//! ordered by the endpoint's sequence: leaving is final, and of two limits the one
//! with the higher revision holds.
//!
//! Anyone can claim to be an endpoint, so that the memory of all statuses has a bound. When
//! it is reached, endpoints that have gone are forgotten, the oldest first, but for the last
//! ones; then silent endpoints, those with the largest statuses first; then the last ones
//! that have gone. If there are none, a status that needs more memory is refused. Of
//! endpoints that have gone the names of models are not kept.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use mulberrywell_wire::serving::{EndpointLimit, EndpointPhase, EndpointStatus, LimitedEndpoint};

use crate::status_verifier::names;

/// Identifier that an endpoint chooses for itself.
pub type EndpointId = Bytes;

/// Maximum number of endpoints that have gone and are retained.
const GONE_MAX: usize = 4_096;

/// Endpoints that have gone and are retained while silent ones can be forgotten: their late
/// heartbeats may still be on their way.
const GONE_MIN: usize = 256;

/// Memory in bytes that the statuses may take, unless another bound is set.
pub const STATUS_MEMORY_DEFAULT: usize = 16 * 1024 * 1024;

/// Memory in bytes of a status without its names, with what is kept of the endpoint
/// elsewhere.
const STATUS_MEMORY: usize = 1_024;

/// Memory in bytes of a name beside its text.
const NAME_MEMORY: usize = 64;

/// Result of merging a status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is older than the stored status.
    Stale,
    /// It differs from the stored status at most in its sequence.
    Same,
    /// It is stored and differs from the status before.
    Changed,
    /// There is no memory for it.
    Full,
}

/// The registered endpoints.
#[derive(Debug, Clone)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<EndpointId, EndpointStatus>,
    /// Memory of each status when it was merged.
    sizes: BTreeMap<EndpointId, usize>,
    /// Sum of `sizes`.
    memory: usize,
    /// Bound of `memory`.
    memory_max: usize,
    /// Endpoints that were forgotten for lack of memory, until they are taken.
    forgotten: Vec<EndpointId>,
    /// Endpoint with the latest start at each address.
    addresses: BTreeMap<Bytes, EndpointId>,
    /// Endpoints that have gone, oldest first.
    gone: VecDeque<EndpointId>,
}

impl Default for EndpointRegistry {
    fn default() -> Self {
        EndpointRegistry {
            endpoints: BTreeMap::new(),
            sizes: BTreeMap::new(),
            memory: 0,
            memory_max: STATUS_MEMORY_DEFAULT,
            forgotten: Vec::new(),
            addresses: BTreeMap::new(),
            gone: VecDeque::new(),
        }
    }
}

impl EndpointRegistry {
    /// Sets the memory in bytes that the statuses may take.
    pub fn set_memory_max(&mut self, memory_max: usize) {
        self.memory_max = memory_max;
    }

    /// Removes and returns the endpoints that were forgotten.
    pub fn take_forgotten(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.forgotten)
    }

    /// Merges a status, unless it is older than the stored one or another
    /// endpoint has replaced the sender at its address.
    pub fn merge(&mut self, mut status: EndpointStatus) -> MergeOutcome {
        // Time that is left ages; `ColdEndpoints` keeps the end.
        status.cold_left_ms = None;
        if status.phase() == EndpointPhase::Gone {
            shed_names(&mut status);
        }
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
        if !self.make_room(&status) {
            return MergeOutcome::Full;
        }
        self.update_address(&status);
        let id = status.id.clone();
        let is_gone = status.phase() == EndpointPhase::Gone;
        self.set_size(&id, Some(status_memory(&status)));
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

    /// Forgets endpoints until there is memory for a status; false if there is none.
    fn make_room(&mut self, status: &EndpointStatus) -> bool {
        let more = status_memory(status).saturating_sub(self.size(&status.id));
        while self.memory + more > self.memory_max {
            let is_forgotten = (self.gone.len() > GONE_MIN && self.forget_gone())
                || self.forget_silent(&status.id)
                || self.forget_gone();
            if !is_forgotten {
                // What takes no more than before is never refused.
                return more == 0;
            }
        }
        true
    }

    /// Forgets the silent endpoint with the largest status, other than `except`.
    fn forget_silent(&mut self, except: &EndpointId) -> bool {
        let silent = self.present().filter(|it| it.silent && it.id != *except);
        let largest = silent.max_by_key(|it| self.size(&it.id));
        let Some(id) = largest.map(|it| it.id.clone()) else {
            return false;
        };
        self.forget(&id);
        true
    }

    /// Forgets the endpoint that has gone first; false if none has.
    fn forget_gone(&mut self) -> bool {
        let Some(id) = self.gone.pop_front() else {
            return false;
        };
        // One that has restarted since is present, or has gone again.
        let stored = self.endpoints.get(&id);
        let is_gone = stored.is_some_and(|stored| stored.phase() == EndpointPhase::Gone);
        if is_gone && !self.gone.contains(&id) {
            self.forget(&id);
        }
        true
    }

    fn forget(&mut self, id: &EndpointId) {
        let Some(status) = self.endpoints.remove(id) else {
            return;
        };
        self.set_size(id, None);
        if self.addresses.get(&status.address) == Some(id) {
            self.addresses.remove(&status.address);
        }
        self.forgotten.push(id.clone());
    }

    fn size(&self, id: &EndpointId) -> usize {
        self.sizes.get(id).copied().unwrap_or(0)
    }

    /// Sets the memory of a status; none if it is removed.
    fn set_size(&mut self, id: &EndpointId, size: Option<usize>) {
        let before = match size {
            Some(size) => self.sizes.insert(id.clone(), size),
            None => self.sizes.remove(id),
        };
        self.memory += size.unwrap_or(0);
        self.memory -= before.unwrap_or(0);
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
                shed_names(stored);
                let size = status_memory(stored);
                self.set_size(&owner, Some(size));
                self.record_gone(owner);
            }
        }
    }

    fn record_gone(&mut self, id: EndpointId) {
        self.gone.push_back(id);
        if self.gone.len() > GONE_MAX {
            self.forget_gone();
        }
    }
}

/// Removes what only a present endpoint has.
fn shed_names(status: &mut EndpointStatus) {
    status.models = Vec::new();
    status.closing = Vec::new();
    status.in_memory = Vec::new();
    status.on_disk = Vec::new();
}

/// Returns the memory in bytes that a status takes.
fn status_memory(status: &EndpointStatus) -> usize {
    let names = names(status).map(|name| NAME_MEMORY + name.len());
    STATUS_MEMORY + names.sum::<usize>()
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
