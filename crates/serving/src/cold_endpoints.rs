//! Endpoints that are cold: they have just started or returned, and take only few
//! requests a second for a while.
//!
//! Purpose: control instances and gateways each keep one [`ColdEndpoints`] and ask it
//! for the rate at which an endpoint may be sent requests, all senders together.
//!
//! Algorithm: an endpoint reports the time that is left; each holder turns it into an
//! instant of its own clock, and sends on what is left then. A delay on the way so only
//! lengthens the cold time, by as much as the message was late. Reports are ordered by
//! the endpoint's start and sequence; of two of the same sequence the later end holds. A
//! state without a report ends by itself.
//!
//! Guarantees: services without a cold time have no state, and their endpoints are never
//! cold.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::serving::{EndpointPhase, EndpointStatus, ServingConfig};

use crate::endpoint_registry::{EndpointId, EndpointRegistry};

/// Requests a second, in thousandths.
type MilliRate = u64;

/// Longest time until the next report of an endpoint reaches all instances: heartbeats
/// come each 1.2 s, the rest is for late ones.
pub const COLD_REPORT_MAX: Duration = Duration::from_millis(1_500);

/// Longest cold time that is believed; a longer one is cut.
const COLD_LIFETIME_MAX: Duration = Duration::from_secs(600);

/// Difference of the ends of two reports that counts as a change. Reports are whole
/// milliseconds and arrive with different delays.
const END_TOLERANCE: Duration = Duration::from_millis(100);

/// What a service's configuration says of its cold endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ColdTerms {
    /// How long an endpoint is cold after its start.
    lifetime: Duration,
    /// What a cold endpoint takes from all instances together.
    rate: MilliRate,
}

/// What changed with a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChange {
    /// The endpoint is cold for this time, or for another time than before.
    Cold(Duration),
    /// It is not cold, or no longer.
    Warm,
}

#[derive(Debug)]
struct ColdState {
    born_ms: u64,
    /// Sequence of the latest report.
    sequence: u64,
    /// End of the cold time by the latest report, or by the lack of one.
    until: Instant,
    /// End of the time for which the endpoint is taken for cold because of what
    /// happened to a request.
    suspected_until: Instant,
    /// Reports before this instant may be older than the end of the endpoint's
    /// evacuation, and don't end its cold time.
    settled_from: Instant,
}

impl ColdState {
    fn end(&self) -> Instant {
        self.until.max(self.suspected_until)
    }
}

/// The cold endpoints as one instance knows them.
#[derive(Debug, Default)]
pub struct ColdEndpoints {
    /// Services whose endpoints can be cold.
    terms: BTreeMap<Bytes, ColdTerms>,
    /// Version of the configuration that the terms are from.
    version: u64,
    /// Endpoints of these services that have been heard of.
    states: BTreeMap<EndpointId, ColdState>,
    /// Requests have been served. Endpoints that start before the first of them are not
    /// cold.
    has_traffic: bool,
}

impl ColdEndpoints {
    /// Applies the configuration in force.
    pub fn set_config(&mut self, config: &ServingConfig) {
        if config.version == self.version {
            return;
        }
        self.version = config.version;
        let services = config.services.iter();
        let cold = services.filter(|it| it.cold_start_ms > 0 && it.cold_milli_per_s > 0);
        self.terms = cold
            .map(|service| {
                let terms = ColdTerms {
                    lifetime: capped(service.cold_start_ms),
                    rate: service.cold_milli_per_s,
                };
                (service.name.clone(), terms)
            })
            .collect();
    }

    /// Returns whether endpoints of a service can be cold.
    pub fn covers(&self, service: &Bytes) -> bool {
        self.terms.contains_key(service)
    }

    /// Records that requests are being served.
    pub fn record_traffic(&mut self) {
        self.has_traffic = true;
    }

    /// Records what a status says; returns the change.
    pub fn record_status(&mut self, now: Instant, status: &EndpointStatus) -> Option<ColdChange> {
        let terms = *self.terms.get(&status.service)?;
        let left = status.cold_left_ms.map(capped);
        let known = self.states.get_mut(&status.id);
        let Some(state) = known.filter(|state| state.born_ms >= status.born_ms) else {
            return self.record_start(now, status, left, terms);
        };
        let left = left?;
        if state.born_ms > status.born_ms || status.sequence < state.sequence {
            return None;
        }
        let before = state.end();
        let mut until = now + left;
        if status.sequence == state.sequence || now < state.settled_from {
            until = until.max(state.until);
        } else {
            state.suspected_until = now;
        }
        state.sequence = status.sequence;
        state.until = until;
        change(now, before, state.end())
    }

    /// Records a start that was not known. It is cold until its first report says
    /// otherwise.
    fn record_start(
        &mut self,
        now: Instant,
        status: &EndpointStatus,
        left: Option<Duration>,
        terms: ColdTerms,
    ) -> Option<ColdChange> {
        let assumed = if self.has_traffic {
            terms.lifetime
        } else {
            Duration::ZERO
        };
        let left = left.unwrap_or(assumed);
        let state = ColdState {
            born_ms: status.born_ms,
            sequence: status.sequence,
            until: now + left,
            suspected_until: now,
            settled_from: now,
        };
        self.states.insert(status.id.clone(), state);
        Some(if left.is_zero() {
            ColdChange::Warm
        } else {
            ColdChange::Cold(left)
        })
    }

    /// Records the cold time that a response names.
    pub fn record_response(
        &mut self,
        now: Instant,
        status: &EndpointStatus,
        left: Duration,
    ) -> Option<ColdChange> {
        let state = self.state(now, status)?;
        let before = state.end();
        state.suspected_until = now + left.min(COLD_LIFETIME_MAX);
        change(now, before, state.end())
    }

    /// Takes an endpoint for cold for a time, as a failed request may mean that it has
    /// restarted; returns the change.
    pub fn suspect(
        &mut self,
        now: Instant,
        status: &EndpointStatus,
        has_control: bool,
    ) -> Option<ColdChange> {
        let lifetime = self.terms.get(&status.service)?.lifetime;
        let state = self.state(now, status)?;
        let before = state.end();
        // With control, a restarted endpoint's first report comes in time. Without it,
        // nothing tells of a restart.
        let extra = if has_control {
            Duration::ZERO
        } else {
            lifetime
        };
        state.suspected_until = now + COLD_REPORT_MAX + extra;
        change(now, before, state.end())
    }

    /// Takes the endpoints of a zone for cold, each until its next report that is heard
    /// after `grace`; returns those for which this changes something.
    pub fn expect_zone(
        &mut self,
        now: Instant,
        zone: &Bytes,
        registry: &EndpointRegistry,
        grace: Duration,
    ) -> Vec<EndpointId> {
        let listed = registry.present().filter(|status| status.zone == *zone);
        let changed = listed.filter(|status| self.expect(now, status, grace).is_some());
        changed.map(|status| status.id.clone()).collect()
    }

    fn expect(
        &mut self,
        now: Instant,
        status: &EndpointStatus,
        grace: Duration,
    ) -> Option<ColdChange> {
        let lifetime = self.terms.get(&status.service)?.lifetime;
        let state = self.state(now, status)?;
        let before = state.end();
        state.settled_from = now + grace;
        state.until = state.until.max(now + grace + COLD_REPORT_MAX + lifetime);
        change(now, before, state.end())
    }

    /// Returns the state of a start, which begins warm if it is not known; none if its
    /// service has no cold endpoints or a later start is known.
    fn state(&mut self, now: Instant, status: &EndpointStatus) -> Option<&mut ColdState> {
        if !self.terms.contains_key(&status.service) {
            return None;
        }
        let state = self.states.entry(status.id.clone());
        let state = state.or_insert_with(|| ColdState {
            born_ms: status.born_ms,
            sequence: status.sequence,
            until: now,
            suspected_until: now,
            settled_from: now,
        });
        (state.born_ms == status.born_ms).then_some(state)
    }

    /// Returns the rate that a service's cold endpoints take.
    pub fn service_rate(&self, service: &Bytes) -> Option<MilliRate> {
        self.terms.get(service).map(|terms| terms.rate)
    }

    /// Returns the rate that an endpoint takes if it is cold now.
    pub fn rate(&self, now: Instant, status: &EndpointStatus) -> Option<MilliRate> {
        let state = self.states.get(&status.id)?;
        let is_cold = state.end() > now;
        is_cold.then(|| self.service_rate(&status.service))?
    }

    /// Returns the time for which a start is cold still, for sending on; none if nothing
    /// is known of it.
    pub fn left_ms(&self, now: Instant, status: &EndpointStatus) -> Option<u64> {
        self.terms.get(&status.service)?;
        let state = self.states.get(&status.id)?;
        let left = state.until.saturating_duration_since(now).as_micros();
        // Rounded up, so that no reader's cold time ends before the sender's.
        let left_ms = u64::try_from(left.div_ceil(1_000)).unwrap_or(u64::MAX);
        (state.born_ms == status.born_ms).then_some(left_ms)
    }

    /// Returns the number of endpoints that are cold now; none if no endpoint can be.
    pub fn count(&self, now: Instant) -> Option<u64> {
        let cold = self.states.values().filter(|state| state.end() > now);
        (!self.terms.is_empty()).then(|| cold.count() as u64)
    }

    /// Removes the endpoints that have gone or can't be cold any more.
    pub fn remove_gone(&mut self, registry: &EndpointRegistry) {
        let terms = &self.terms;
        self.states.retain(|id, _| {
            let status = registry.get(id);
            status.is_some_and(|status| {
                status.phase() != EndpointPhase::Gone && terms.contains_key(&status.service)
            })
        });
    }
}

fn capped(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms).min(COLD_LIFETIME_MAX)
}

/// Returns the change from one end of a cold time to another.
fn change(now: Instant, before: Instant, after: Instant) -> Option<ColdChange> {
    let difference = before.max(after) - before.min(after);
    match (before > now, after > now) {
        (false, false) => None,
        (true, false) => Some(ColdChange::Warm),
        (true, true) if difference <= END_TOLERANCE => None,
        (_, true) => Some(ColdChange::Cold(after - now)),
    }
}
