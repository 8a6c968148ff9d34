//! The latest status of each endpoint.
//!
//! Algorithm: statuses are ordered by the endpoint's start, then by whether it
//! has gone, then by its own sequence number. At one address only the endpoint
//! with the latest start is present; any other has gone. Endpoints that have
//! gone stay in the registry, so that a late heartbeat does not add them again.
//! A status for a service that the configuration in force doesn't name takes no id and no
//! address from an endpoint of a service that it names. It is kept aside, one for each id
//! and service, until a configuration names the service. An endpoint whose service is no
//! longer named stays registered, as requests may still need it, but holds its id and its
//! address against no other, and gives back the addresses that it took from endpoints of
//! other services. Before the first configuration every service counts as named.
//!
//! What responses told of an endpoint's start is merged by itself, as it isn't
//! ordered by the endpoint's sequence: leaving is final, and of two limits the one
//! with the higher revision holds.
//!
//! Anyone can claim to be an endpoint, so that the memory of all statuses has a bound. When
//! it is reached, statuses that are kept aside are forgotten first, then endpoints that have
//! gone, the oldest first, but for the last ones; then silent endpoints, those with the
//! largest statuses first; then the last ones
//! that have gone. If there are none, a status that needs more memory is refused. Of
//! endpoints that have gone the names of models are not kept.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use mulberrywell_wire::serving::{EndpointLimit, EndpointPhase, EndpointStatus, LimitedEndpoint};

use crate::status_verifier::names;
use crate::unnamed_statuses::UnnamedStatuses;

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

/// Endpoints that are kept while another one, of another service, has their address.
const DISPLACED_MAX: usize = 256;

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

/// An endpoint whose address an endpoint of another service has taken.
#[derive(Debug, Clone)]
struct DisplacedEndpoint {
    by: EndpointId,
    /// Its latest status; never gone.
    status: EndpointStatus,
}

/// Key of a status that is kept aside: an id and a service.
pub type UnnamedKey = (EndpointId, Bytes);

/// What a change of the named services did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceChange {
    /// Endpoints that had taken addresses and were set aside.
    pub demoted: Vec<UnnamedKey>,
    /// Endpoints that count from now on.
    pub promoted: Vec<EndpointId>,
    /// Endpoints that have their addresses again.
    pub restored: Vec<EndpointId>,
}

impl ServiceChange {
    /// Returns whether the endpoints that count are the same as before.
    pub fn is_empty(&self) -> bool {
        self.demoted.is_empty() && self.promoted.is_empty() && self.restored.is_empty()
    }
}

/// The registered endpoints.
#[derive(Debug, Clone)]
pub struct EndpointRegistry {
    /// Services that the configuration in force names; none before the first one.
    services: Option<BTreeSet<Bytes>>,
    /// Statuses that are kept aside; none of a service that is named.
    unnamed: UnnamedStatuses,
    /// Their records in `endpoints` are gone, with the same start.
    displaced: BTreeMap<EndpointId, DisplacedEndpoint>,
    endpoints: BTreeMap<EndpointId, EndpointStatus>,
    /// Memory of each status when it was merged.
    sizes: BTreeMap<EndpointId, usize>,
    /// Sum of `sizes`, without the statuses that are kept aside.
    memory: usize,
    /// Bound of the memory of all statuses.
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
            services: None,
            unnamed: UnnamedStatuses::default(),
            displaced: BTreeMap::new(),
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
            self.unnamed.remove_ended(&status);
            self.end_displaced(&status);
        } else if self.is_aside(&status) {
            return self.keep_unnamed(status);
        } else if self.update_displaced(&status) {
            return MergeOutcome::Stale;
        }
        self.withdraw_other_service(&status);
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
        self.keep_other_service(&status);
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

    /// Returns whether the configuration in force names a service.
    pub fn is_named(&self, service: &Bytes) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Returns whether a status is kept aside: its service isn't named, and no endpoint of
    /// its id and service is registered.
    pub fn is_aside(&self, status: &EndpointStatus) -> bool {
        let stored = self.endpoints.get(&status.id);
        let is_registered = stored.is_some_and(|stored| stored.service == status.service);
        let is_gone = status.phase() == EndpointPhase::Gone;
        !is_gone && !is_registered && !self.is_named(&status.service)
    }

    /// Sets the services that the configuration in force names.
    pub fn set_services(&mut self, services: BTreeSet<Bytes>) -> ServiceChange {
        let mut change = ServiceChange::default();
        if self.services.as_ref() == Some(&services) {
            return change;
        }
        self.services = Some(services);
        let takers = self.displaced.values().map(|it| it.by.clone());
        let takers: BTreeSet<EndpointId> = takers.collect();
        for id in takers {
            let taker = self.endpoints.get(&id);
            if taker.is_some_and(|it| !self.is_named(&it.service)) {
                change.demoted.extend(self.set_aside(&id));
                self.restore_displaced(|it| it.by == id, &mut change.restored);
            }
        }
        // What was taken from an endpoint while its service wasn't named.
        let starts: BTreeMap<EndpointId, u64> = self
            .present()
            .map(|it| (it.id.clone(), it.born_ms))
            .collect();
        let services = self.services.clone().unwrap_or_default();
        let is_later = |it: &DisplacedEndpoint| {
            services.contains(&it.status.service)
                && starts
                    .get(&it.by)
                    .is_some_and(|start| *start < it.status.born_ms)
        };
        self.restore_displaced(is_later, &mut change.restored);
        let mut statuses = self.unnamed.take_named(&services);
        statuses.extend(self.take_without_address());
        // The one with the latest start keeps an address.
        statuses.sort_by_key(merge_order);
        for status in statuses {
            let id = status.id.clone();
            if self.merge(status) == MergeOutcome::Changed {
                change.promoted.push(id);
            }
        }
        change
    }

    /// Removes and returns the endpoints of named services whose addresses aren't theirs.
    fn take_without_address(&mut self) -> Vec<EndpointStatus> {
        let without = self.present().filter(|it| {
            self.is_named(&it.service)
                && !it.address.is_empty()
                && self.addresses.get(&it.address) != Some(&it.id)
        });
        let ids: Vec<EndpointId> = without.map(|it| it.id.clone()).collect();
        ids.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the latest status of an endpoint, also of one that may have its address
    /// again, or the one that is kept aside.
    pub fn known(&self, id: &EndpointId) -> Option<&EndpointStatus> {
        let displaced = self.displaced.get(id).map(|it| &it.status);
        let registered = displaced.or_else(|| self.get(id));
        registered.or_else(|| self.unnamed.latest(id))
    }

    /// Forgets a status that is kept aside.
    pub fn forget_unnamed(&mut self, key: &UnnamedKey) {
        self.unnamed.remove(key);
    }

    /// Returns the latest status of an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointStatus> {
        self.endpoints.get(id)
    }

    /// Returns the latest status of an endpoint for setting the fields that the
    /// endpoint does not report itself.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointStatus> {
        match self.displaced.get_mut(id) {
            Some(displaced) => Some(&mut displaced.status),
            None => self.endpoints.get_mut(id),
        }
    }

    /// Returns whether another endpoint has an endpoint's address, which it may have again.
    pub fn is_displaced(&self, id: &EndpointId) -> bool {
        self.displaced.contains_key(id)
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

    /// Returns all endpoints, including those that have gone, but none that may have its
    /// address again.
    pub fn all(&self) -> impl Iterator<Item = &EndpointStatus> {
        let all = self.endpoints.values();
        all.filter(|status| !self.is_displaced(&status.id))
    }

    /// Returns the endpoints that have not gone.
    pub fn present(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.all()
            .filter(|status| status.phase() != EndpointPhase::Gone)
    }

    /// Forgets endpoints until there is memory for a status; false if there is none.
    fn make_room(&mut self, status: &EndpointStatus) -> bool {
        let more = status_memory(status).saturating_sub(self.size(&status.id));
        while self.memory + self.unnamed.memory() + more > self.memory_max {
            let is_forgotten = self.unnamed.forget_oldest()
                || (self.gone.len() > GONE_MIN && self.forget_gone())
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
        if self.remove(id).is_some() {
            self.forgotten.push(id.clone());
        }
    }

    fn remove(&mut self, id: &EndpointId) -> Option<EndpointStatus> {
        let status = self.endpoints.remove(id)?;
        self.set_size(id, None);
        self.displaced.remove(id);
        if self.addresses.get(&status.address) == Some(id) {
            self.addresses.remove(&status.address);
        }
        Some(status)
    }

    /// Keeps a status aside; its service isn't named.
    fn keep_unnamed(&mut self, status: EndpointStatus) -> MergeOutcome {
        let ended = self.endpoints.get(&status.id);
        let has_ended = ended.is_some_and(|stored| {
            stored.phase() == EndpointPhase::Gone
                && stored.born_ms >= status.born_ms
                && !self.is_displaced(&status.id)
        });
        if has_ended {
            return MergeOutcome::Stale;
        }
        let size = status_memory(&status);
        let memory_max = self.memory_max.saturating_sub(self.memory);
        self.unnamed.merge(status, size, memory_max)
    }

    /// Removes an endpoint, and keeps its status aside.
    fn set_aside(&mut self, id: &EndpointId) -> Option<UnnamedKey> {
        let status = self.remove(id)?;
        let key = (id.clone(), status.service.clone());
        self.keep_unnamed(status);
        Some(key)
    }

    /// Sets the endpoint of the same id aside if its service isn't named and that of the
    /// status is.
    fn withdraw_other_service(&mut self, status: &EndpointStatus) {
        let stored = self.endpoints.get(&status.id);
        let is_withdrawn = stored.is_some_and(|stored| {
            stored.phase() != EndpointPhase::Gone
                && !self.is_named(&stored.service)
                && self.is_named(&status.service)
        });
        if is_withdrawn {
            self.set_aside(&status.id);
        }
    }

    /// Keeps the status of the same id for another service, until a configuration tells
    /// which one it names.
    fn keep_other_service(&mut self, status: &EndpointStatus) {
        let stored = self.endpoints.get(&status.id);
        let other = stored.filter(|stored| {
            stored.service != status.service && stored.phase() != EndpointPhase::Gone
        });
        if let Some(other) = other.filter(|_| self.services.is_none()) {
            self.keep_unnamed(other.clone());
        }
    }

    /// Updates the status of an endpoint whose address another one has taken; returns
    /// whether it is one.
    fn update_displaced(&mut self, status: &EndpointStatus) -> bool {
        let Some(displaced) = self.displaced.get_mut(&status.id) else {
            return false;
        };
        let known = &mut displaced.status;
        if status.born_ms > known.born_ms {
            // It has started again.
            self.displaced.remove(&status.id);
            return false;
        }
        let is_newer = merge_order(status) > merge_order(known);
        if is_newer && status.address == known.address {
            *known = status.clone();
        }
        true
    }

    /// Removes an endpoint whose address another one has taken, and that has gone.
    fn end_displaced(&mut self, status: &EndpointStatus) {
        let known = self.displaced.get(&status.id);
        if known.is_some_and(|known| known.status.born_ms <= status.born_ms) {
            self.displaced.remove(&status.id);
        }
    }

    /// Gives some of the endpoints whose addresses were taken their addresses back.
    fn restore_displaced(
        &mut self,
        is_restored: impl Fn(&DisplacedEndpoint) -> bool,
        restored: &mut Vec<EndpointId>,
    ) {
        let displaced = self.displaced.iter().filter(|(_, it)| is_restored(it));
        let ids: Vec<EndpointId> = displaced.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let Some(displaced) = self.displaced.remove(&id) else {
                continue;
            };
            self.remove(&id);
            if self.merge(displaced.status) == MergeOutcome::Changed {
                restored.push(id);
            }
        }
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
            stored.phase() != EndpointPhase::Gone
                && stored.born_ms > status.born_ms
                && self.is_named(&stored.service)
        })
    }

    /// Assigns the address to the endpoint; any other endpoint there has gone.
    fn update_address(&mut self, status: &EndpointStatus) {
        let is_gone = status.phase() == EndpointPhase::Gone;
        if is_gone || status.address.is_empty() || !self.is_named(&status.service) {
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
                if stored.service != status.service && self.displaced.len() < DISPLACED_MAX {
                    let displaced = DisplacedEndpoint {
                        by: status.id.clone(),
                        status: stored.clone(),
                    };
                    self.displaced.insert(owner.clone(), displaced);
                }
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
pub(crate) fn merge_order(status: &EndpointStatus) -> (u64, bool, u64) {
    let is_gone = status.phase() == EndpointPhase::Gone;
    (status.born_ms, is_gone, status.sequence)
}

/// Returns whether two statuses differ at most in their sequence.
pub(crate) fn has_same_content(stored: &EndpointStatus, status: &EndpointStatus) -> bool {
    let mut stored = stored.clone();
    stored.sequence = status.sequence;
    stored == *status
}
