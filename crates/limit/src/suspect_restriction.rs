//! Restriction of suspects: which parts and contents need a trial, before a quarantine and
//! after it.
//!
//! Purpose: the crashes that follow until it is certain what causes them cost one request
//! each, and a quarantine in error ends with one request.
//!
//! Algorithm: a part without any response is restricted after one crash, any other part
//! and a content after two; a response that was begun since, and lasts, ends it. A
//! quarantine that ends leaves its parts restricted: the next crash under them renews it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::crash_incident::PartId;
use crate::crash_ledger::{at_least, CrashLedger, QuarantineFinding, QUARANTINE_TIME, SETTLE_TIME};
use crate::quarantine_table::PartSet;

/// Incidents from which on a part is restricted although responses have lasted on it; one
/// crash has many such parts, and none of them crashes endpoints in most cases.
const RESTRICTED_INCIDENTS_MIN: usize = 2;

/// Requests with a content in crashes from which on it is restricted. One request has a
/// content of its own in most cases.
const RESTRICTED_COPIES_MIN: usize = 2;

/// Time after an incident in which gateways report the responses that lasted on its parts
/// before.
const HISTORY_TIME: Duration = Duration::from_millis(300);

/// Time after the end of a quarantine for which a trial is needed; what no request has in
/// that time is forgotten.
const RELEASED_LIFETIME: Duration = Duration::from_secs(600);

impl CrashLedger {
    /// Ends the quarantines that are due; what they held is restricted until a response on
    /// it lasts.
    pub(crate) fn release_quarantines(&mut self, now: Instant) {
        let ended = self.quarantines.iter().filter(|(_, until)| *until <= now);
        let ended: Vec<PartSet> = ended.map(|(parts, _)| parts.clone()).collect();
        self.quarantines.remove_expired(now);
        self.released
            .extend(ended.into_iter().map(|parts| (parts, now)));
        let sound = &self.sound;
        self.released.retain(|parts, released| {
            let is_sound = |part| sound.get(part).is_some_and(|begun| begun >= released);
            let is_recent = now.saturating_duration_since(*released) < RELEASED_LIFETIME;
            is_recent && !parts.iter().any(is_sound)
        });
    }

    /// Quarantines again what was at a crash after its quarantine had ended.
    pub(crate) fn renew_quarantines(&mut self, now: Instant) -> Vec<QuarantineFinding> {
        let released = self.released.iter();
        let crashed = released.filter(|(parts, released)| {
            let mut incidents = self.incidents.iter();
            incidents.any(|incident| {
                let is_settled = now.saturating_duration_since(incident.at) >= SETTLE_TIME;
                let mut requests = incident.suspects();
                let has_parts = requests.any(|it| parts.iter().all(|part| it.has(*part)));
                incident.at > **released && is_settled && has_parts
            })
        });
        let crashed: Vec<PartSet> = crashed.map(|(parts, _)| parts.clone()).collect();
        let mut found = Vec::new();
        for parts in crashed {
            let explained = self.explained_incidents(&parts);
            self.released.remove(&parts);
            self.record_quarantine(parts.clone(), now + QUARANTINE_TIME);
            found.push(QuarantineFinding {
                parts,
                incidents: 1,
                explained,
            });
        }
        found
    }

    /// Returns the parts and contents of which few requests may be at endpoints at a time,
    /// until a response on them lasts: those that crashes may be due to, and those whose
    /// quarantine ends.
    pub fn restricted(&self, now: Instant) -> BTreeSet<PartId> {
        let mut incidents: BTreeMap<PartId, usize> = BTreeMap::new();
        let mut copies: BTreeMap<PartId, usize> = BTreeMap::new();
        let mut fresh = BTreeSet::new();
        for incident in &self.incidents {
            let is_known = now.saturating_duration_since(incident.at) >= HISTORY_TIME;
            let parts: PartSet = incident.parts().collect();
            for part in parts
                .into_iter()
                .filter(|it| self.is_suspect(*it, incident))
            {
                *incidents.entry(part).or_default() += 1;
                if is_known && !self.sound.contains_key(&part) {
                    fresh.insert(part);
                }
            }
            if incident.is_explained() {
                continue;
            }
            let contents = incident.contents();
            for content in contents.filter(|it| self.is_suspect(*it, incident)) {
                *copies.entry(content).or_default() += 1;
            }
        }
        let parts = at_least(incidents, RESTRICTED_INCIDENTS_MIN);
        let contents = at_least(copies, RESTRICTED_COPIES_MIN);
        let held = self.quarantines.iter().map(|(parts, _)| parts);
        let held = held.chain(self.released.keys()).flatten().copied();
        parts.chain(contents).chain(fresh).chain(held).collect()
    }
}
