//! Finds the prompt part under which endpoints crash.
//!
//! Purpose: an endpoint that crashes breaks off all of its requests, most of which
//! have nothing to do with it. The ledger receives what all gateways saw and finds the
//! part that the crashes have in common, so that its requests can be refused.
//!
//! Guarantees: parts are quarantined only after crashes that follow from each other;
//! a part that explains no more of them than another is quarantined only together with
//! that one.
//!
//! Algorithm: each endpoint that broke off is an incident, with the shared parts of
//! the requests that may have caused it. A response that was begun on a part and
//! lasted clears the part of all incidents before it. A part is quarantined once its
//! incidents form a chain of [`CHAIN_MIN`], where each request was forwarded after the
//! incident before, and no other part is in all of them. Parts that stay equal for
//! [`TIE_TIME`], less those on which a response has ever lasted if others have none, are
//! quarantined together: only requests with all of them are refused, and a part that
//! turns out to be sound is taken out. Incidents with a part that is
//! quarantined by itself are explained and count for no other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::quarantine_table::{PartSet, QuarantineTable};

/// Identifies a part of a prompt.
pub type PartId = u64;

/// Incidents in a chain that quarantine a part.
const CHAIN_MIN: usize = 3;

/// Incidents in a chain that do if no response has ever lasted on the part and it has
/// [`UNPROVEN_INCIDENTS_MIN`] incidents: endpoints that crash at about the same time
/// form no longer chain.
const UNPROVEN_CHAIN_MIN: usize = 2;
const UNPROVEN_INCIDENTS_MIN: usize = 5;

/// Time in which the reports of one incident arrive from all gateways.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time in which failures at one endpoint belong to the same incident.
const INCIDENT_SPAN: Duration = Duration::from_secs(1);

/// Time for which an incident is considered.
const INCIDENT_LIFETIME: Duration = Duration::from_secs(60);

/// Time after which parts that explain the same incidents are quarantined together.
const TIE_TIME: Duration = Duration::from_secs(1);

/// Time for which a part is quarantined.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of incidents, and of requests of one incident.
const INCIDENTS_MAX: usize = 128;
const INCIDENT_REQUESTS_MAX: usize = 64;

/// Maximum number of parts whose responses are recorded.
const SOUND_MAX: usize = 4_096;

/// A request that an endpoint broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRequest {
    /// The shared parts of its prompt.
    pub parts: PartSet,
    /// When it was forwarded.
    pub forwarded: Instant,
}

/// An endpoint that broke off its requests.
#[derive(Debug)]
struct CrashIncident {
    endpoint: Bytes,
    born_ms: u64,
    at: Instant,
    requests: Vec<SuspectRequest>,
    /// One of the requests has a part that is quarantined by itself.
    is_explained: bool,
}

impl CrashIncident {
    fn has_part(&self, part: PartId) -> bool {
        self.requests.iter().any(|it| it.parts.contains(&part))
    }

    fn parts(&self) -> impl Iterator<Item = PartId> + '_ {
        self.requests.iter().flat_map(|it| it.parts.iter().copied())
    }

    /// Returns when the latest request with a part was forwarded.
    fn forwarded(&self, part: PartId) -> Option<Instant> {
        let requests = self.requests.iter().filter(|it| it.parts.contains(&part));
        requests.map(|it| it.forwarded).max()
    }
}

/// Crashes of endpoints, and the parts that are quarantined for them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// In order of their first reports.
    incidents: Vec<CrashIncident>,
    /// When the latest response that lasted was begun on a part.
    sound: BTreeMap<PartId, Instant>,
    quarantines: QuarantineTable,
}

impl CrashLedger {
    /// Records that an endpoint broke off a request.
    pub fn record_crash(
        &mut self,
        now: Instant,
        endpoint: &Bytes,
        born_ms: u64,
        request: SuspectRequest,
    ) {
        if request.parts.is_empty() {
            return;
        }
        let mut parts = request.parts.iter();
        let is_explained = parts.any(|part| self.quarantines.has_single(*part));
        let incident = self.open_incident(now, endpoint, born_ms);
        incident.is_explained |= is_explained;
        if incident.requests.len() < INCIDENT_REQUESTS_MAX {
            incident.requests.push(request);
        }
    }

    fn open_incident(
        &mut self,
        now: Instant,
        endpoint: &Bytes,
        born_ms: u64,
    ) -> &mut CrashIncident {
        let found = self.incidents.iter().position(|incident| {
            incident.endpoint == *endpoint
                && incident.born_ms == born_ms
                && now.saturating_duration_since(incident.at) < INCIDENT_SPAN
        });
        let index = found.unwrap_or_else(|| {
            if self.incidents.len() >= INCIDENTS_MAX {
                self.incidents.remove(0);
            }
            self.incidents.push(CrashIncident {
                endpoint: endpoint.clone(),
                born_ms,
                at: now,
                requests: Vec::new(),
                is_explained: false,
            });
            self.incidents.len() - 1
        });
        &mut self.incidents[index]
    }

    /// Records that a response was begun on a part at an instant and lasted.
    pub fn record_sound(&mut self, part: PartId, begun: Instant) {
        let known = self.sound.entry(part).or_insert(begun);
        *known = (*known).max(begun);
        if self.sound.len() > SOUND_MAX {
            let oldest = self.sound.iter().min_by_key(|(_, begun)| **begun);
            let oldest = oldest.map(|(part, _)| *part);
            self.sound.retain(|part, _| Some(*part) != oldest);
        }
    }

    /// Quarantines parts.
    pub fn record_quarantine(&mut self, parts: PartSet, until: Instant) {
        if let (1, Some(part)) = (parts.len(), parts.first()) {
            for incident in &mut self.incidents {
                incident.is_explained |= incident.has_part(*part);
            }
        }
        self.quarantines.insert(parts, until);
    }

    /// Quarantines the parts that explain the incidents; returns the new quarantines
    /// with the number of their incidents.
    pub fn tick(&mut self, now: Instant) -> Vec<(PartSet, usize)> {
        self.quarantines.remove_expired(now);
        self.incidents
            .retain(|incident| now.saturating_duration_since(incident.at) < INCIDENT_LIFETIME);
        self.narrow_quarantines();
        let mut found = Vec::new();
        while let Some((parts, incidents)) = self.find_culprits(now) {
            self.record_quarantine(parts.clone(), now + QUARANTINE_TIME);
            found.push((parts, incidents));
        }
        found
    }

    /// Takes the parts on which a response was begun since, and lasted, out of
    /// quarantines of several parts.
    fn narrow_quarantines(&mut self) {
        let shared = self.quarantines.iter().filter(|(parts, _)| parts.len() > 1);
        let shared: Vec<(PartSet, Instant)> = shared
            .map(|(parts, until)| (parts.clone(), until))
            .collect();
        for (parts, until) in shared {
            let incidents = self.incidents.iter().filter(|incident| {
                let mut requests = incident.requests.iter();
                requests.any(|it| parts.is_subset(&it.parts))
            });
            let Some(latest) = incidents.map(|incident| incident.at).max() else {
                continue;
            };
            let is_sound = |part: &PartId| self.sound.get(part).is_some_and(|at| *at > latest);
            let left: PartSet = parts.iter().copied().filter(|it| !is_sound(it)).collect();
            if !left.is_empty() && left.len() < parts.len() {
                self.record_quarantine(left, until);
            }
        }
    }

    /// Returns the parts whose sound responses matter: those of unexplained incidents.
    pub fn suspects(&self) -> BTreeSet<PartId> {
        let unexplained = self.incidents.iter().filter(|it| !it.is_explained);
        unexplained.flat_map(CrashIncident::parts).collect()
    }

    /// Returns the parts of enough unexplained incidents to be quarantined.
    fn repeated_suspects(&self) -> Vec<PartId> {
        let mut counts: BTreeMap<PartId, usize> = BTreeMap::new();
        for incident in self.incidents.iter().filter(|it| !it.is_explained) {
            let parts: PartSet = incident.parts().collect();
            for part in parts {
                *counts.entry(part).or_default() += 1;
            }
        }
        let repeated = counts.into_iter().filter(|(_, count)| *count >= CHAIN_MIN);
        repeated.map(|(part, _)| part).collect()
    }

    /// Returns the quarantines.
    pub fn quarantines(&self) -> &QuarantineTable {
        &self.quarantines
    }

    /// Returns parts that together explain a chain of incidents, and the number of
    /// these.
    fn find_culprits(&self, now: Instant) -> Option<(PartSet, usize)> {
        self.repeated_suspects().into_iter().find_map(|part| {
            let incidents = self.incidents_of(now, part);
            let settled_at = self.chain_end(part, &incidents)?;
            let mut parts = self.rivals(part, &incidents);
            let has_more = |rival: &PartId| self.incidents_of(now, *rival).len() > incidents.len();
            if parts.iter().any(has_more) {
                return None;
            }
            if !parts.is_empty() && now.saturating_duration_since(settled_at) < TIE_TIME {
                return None;
            }
            parts.insert(part);
            if parts.iter().any(|part| !self.sound.contains_key(part)) {
                parts.retain(|part| !self.sound.contains_key(part));
            }
            let mut requests = incidents.iter().flat_map(|it| &it.requests);
            let is_one_request = requests.any(|it| parts.is_subset(&it.parts));
            let is_new = !self.quarantines.covers(&parts);
            (is_one_request && is_new).then_some((parts, incidents.len()))
        })
    }

    /// Returns when the incidents of a part had formed a chain that is long enough.
    fn chain_end(&self, part: PartId, incidents: &[&CrashIncident]) -> Option<Instant> {
        let chain = find_chain(part, incidents);
        if let Some(third) = chain.get(CHAIN_MIN - 1) {
            return Some(*third);
        }
        let is_unproven = !self.sound.contains_key(&part);
        let last = incidents.get(UNPROVEN_INCIDENTS_MIN - 1)?;
        (is_unproven && chain.len() >= UNPROVEN_CHAIN_MIN).then_some(last.at)
    }

    /// Returns the settled incidents that a part may have caused.
    fn incidents_of(&self, now: Instant, part: PartId) -> Vec<&CrashIncident> {
        let incidents = self.incidents.iter().filter(|incident| {
            let is_settled = now.saturating_duration_since(incident.at) >= SETTLE_TIME;
            is_settled && self.is_suspect(part, incident)
        });
        let mut incidents: Vec<&CrashIncident> = incidents.collect();
        incidents.sort_by_key(|incident| incident.at);
        incidents
    }

    fn is_suspect(&self, part: PartId, incident: &CrashIncident) -> bool {
        let is_cleared = self.sound.get(&part).is_some_and(|at| *at >= incident.at);
        !incident.is_explained && !is_cleared && incident.has_part(part)
    }

    /// Returns the other parts that may have caused all of these incidents.
    fn rivals(&self, part: PartId, incidents: &[&CrashIncident]) -> PartSet {
        let Some(first) = incidents.first() else {
            return PartSet::new();
        };
        let others = first.parts().filter(|other| *other != part);
        let rivals = others.filter(|other| {
            let mut all = incidents.iter();
            all.all(|incident| self.is_suspect(*other, incident))
        });
        rivals.collect()
    }
}

/// Returns the times of a chain of incidents in which each request with the part was
/// forwarded after the incident before.
fn find_chain(part: PartId, incidents: &[&CrashIncident]) -> Vec<Instant> {
    let mut chain: Vec<Instant> = Vec::new();
    for incident in incidents {
        let forwarded = incident.forwarded(part);
        let is_next = chain
            .last()
            .is_none_or(|last| forwarded.is_some_and(|at| at > *last));
        if is_next {
            chain.push(incident.at);
        }
    }
    chain
}
