//! Finds what crashes endpoints: the content of a request that comes again, or a part
//! that prompts share.
//!
//! Purpose: an endpoint that crashes breaks off all of its requests, most of which
//! have nothing to do with it. The ledger receives what all gateways saw and finds what
//! the crashes have in common, so that its requests can be refused.
//!
//! Guarantees: something is quarantined only after crashes that follow from each other.
//! A content goes before the parts of its prompt, as it refuses less; a part that
//! explains no more crashes than another is quarantined only together with that one.
//!
//! Algorithm: each endpoint that broke off is an incident, with the requests that may
//! have caused it. A response that was begun on a content or a part and lasted clears
//! it of all incidents before. It is suspected if its incidents form a chain of
//! [`CHAIN_MIN`], where each request was forwarded after the incident before.
//!
//! A suspected content is quarantined if no other one is in all of its incidents: its
//! neighbours at one endpoint are not those at the next.
//!
//! A suspected part is quarantined if no other part is in all of its incidents, and no
//! content of its requests in all but one. Parts that stay equal for [`TIE_TIME`], less
//! those on which a response has ever lasted if others have none, are quarantined
//! together: only requests with all of them are refused, and a part that turns out to be
//! sound is taken out. Incidents with a part that is quarantined by itself are explained
//! and count for nothing else. Those with such a content count for no other content, but
//! for the parts of its requests: one of them may crash endpoints under any content.
//!
//! A part or a content on which responses have lasted needs [`PROVEN_CHAIN_MIN`]
//! incidents, unless trials crashed, and no part without any response in half of them that
//! may have caused the crashes under trials too.
//!
//! What is suspected is restricted until then, and what was quarantined afterwards: see
//! `suspect_restriction`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::crash_incident::{find_chain, CrashIncident, PartId, SubjectKind, SuspectRequest};
use crate::quarantine_table::{PartSet, QuarantineTable};

/// Incidents in a chain that quarantine a content or a part on which no response has ever
/// lasted.
const CHAIN_MIN: usize = 3;

/// Incidents in a chain that quarantine a content or a part on which responses have
/// lasted. It may be in three by chance, where reports of what causes them are lost, or
/// where most of the crashes have another cause.
const PROVEN_CHAIN_MIN: usize = 5;

/// Incidents under a trial from which on [`CHAIN_MIN`] do for what responses have lasted
/// on: a trial is the only request with suspects at its endpoint.
const TRIED_INCIDENTS_MIN: usize = 2;

/// Incidents in a chain that do if no response has ever lasted: endpoints that crash at
/// about the same time form no longer chain. A part needs [`UNPROVEN_INCIDENTS_MIN`]
/// incidents then, a content [`CHAIN_MIN`], as other requests don't have it by chance.
const UNPROVEN_CHAIN_MIN: usize = 2;
const UNPROVEN_INCIDENTS_MIN: usize = 5;

/// Time in which the reports of one incident arrive from all gateways.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time after a content's chain of incidents in which gateways report that a response on
/// it has lasted: a notice to them and a report, each at the next tick.
const CONTENT_SETTLE_TIME: Duration = Duration::from_millis(400);

/// Incidents of a content from which on gateways watch for responses on it.
const WATCHED_INCIDENTS_MIN: usize = 2;

/// Incidents of a part that don't have the content which most of them have.
const OTHER_CONTENTS_MIN: usize = 2;

/// Incidents from which on a part on which no response has ever lasted is a rival of one
/// that many requests share, if these are at least half of that one's incidents.
const RIVAL_INCIDENTS_MIN: usize = 2;

/// Time in which failures at one endpoint belong to the same incident.
const INCIDENT_SPAN: Duration = Duration::from_secs(1);

/// Time for which an incident is considered.
const INCIDENT_LIFETIME: Duration = Duration::from_secs(60);

/// Time after which parts that explain the same incidents are quarantined together.
const TIE_TIME: Duration = Duration::from_secs(1);

/// Duration of the first quarantine, and of one that a crash after it began anew.
const FIRST_QUARANTINE_TIME: Duration = Duration::from_secs(30);
pub(crate) const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of incidents.
const INCIDENTS_MAX: usize = 128;

/// Maximum number of parts and contents whose responses are recorded.
const SOUND_MAX: usize = 4_096;

/// What the ledger has quarantined, and what for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineFinding {
    /// What is quarantined.
    pub parts: PartSet,
    /// Incidents that it explains.
    pub incidents: usize,
    /// Incidents with it that don't count, as earlier quarantines explain them.
    pub explained: usize,
}

/// Crashes of endpoints, and what is quarantined for them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// In order of their first reports.
    pub(crate) incidents: Vec<CrashIncident>,
    /// When the latest response that lasted was begun on a part or a content.
    pub(crate) sound: BTreeMap<PartId, Instant>,
    pub(crate) quarantines: QuarantineTable,
    /// What was quarantined and has not been shown to be sound or to crash endpoints
    /// since the quarantine ended, at this instant.
    pub(crate) released: BTreeMap<PartSet, Instant>,
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
        let index = self.open_incident(now, endpoint, born_ms);
        let incident = &mut self.incidents[index];
        incident.push(request);
        incident.record_quarantines(&self.quarantines);
    }

    /// Returns the index of the incident of an endpoint, which may be new.
    fn open_incident(&mut self, now: Instant, endpoint: &Bytes, born_ms: u64) -> usize {
        let found = self.incidents.iter().position(|incident| {
            incident.endpoint == *endpoint
                && incident.born_ms == born_ms
                && now.saturating_duration_since(incident.at) < INCIDENT_SPAN
        });
        found.unwrap_or_else(|| {
            if self.incidents.len() >= INCIDENTS_MAX {
                self.incidents.remove(0);
            }
            let incident = CrashIncident::new(endpoint.clone(), born_ms, now);
            self.incidents.push(incident);
            self.incidents.len() - 1
        })
    }

    /// Records that a response was begun on a part or a content at an instant and
    /// lasted.
    pub fn record_sound(&mut self, part: PartId, begun: Instant) {
        let known = self.sound.entry(part).or_insert(begun);
        *known = (*known).max(begun);
        if self.sound.len() > SOUND_MAX {
            let oldest = self.sound.iter().min_by_key(|(_, begun)| **begun);
            let oldest = oldest.map(|(part, _)| *part);
            self.sound.retain(|part, _| Some(*part) != oldest);
        }
    }

    /// Quarantines parts, or a content.
    pub fn record_quarantine(&mut self, parts: PartSet, until: Instant) {
        self.quarantines.insert(parts, until);
        for incident in &mut self.incidents {
            incident.record_quarantines(&self.quarantines);
        }
    }

    /// Quarantines what explains the incidents; returns the new quarantines.
    pub fn tick(&mut self, now: Instant) -> Vec<QuarantineFinding> {
        self.release_quarantines(now);
        self.incidents
            .retain(|incident| now.saturating_duration_since(incident.at) < INCIDENT_LIFETIME);
        self.narrow_quarantines();
        let mut found = self.renew_quarantines(now);
        loop {
            let culprits = self.find_content(now).or_else(|| self.find_parts(now));
            let Some((parts, incidents)) = culprits else {
                return found;
            };
            let explained = self.explained_incidents(&parts);
            self.record_quarantine(parts.clone(), now + FIRST_QUARANTINE_TIME);
            found.push(QuarantineFinding {
                parts,
                incidents,
                explained,
            });
        }
    }

    /// Returns the number of incidents with all of these subjects that count for none of them,
    /// as an earlier quarantine explains them.
    pub(crate) fn explained_incidents(&self, subjects: &PartSet) -> usize {
        let explained = self.incidents.iter().filter(|incident| {
            let mut subjects = subjects.iter();
            subjects.all(|it| incident.involves(*it) && !incident.has(*it))
        });
        explained.count()
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

    /// Returns the parts and contents whose sound responses matter: the parts that may have
    /// caused incidents, of requests that seem to be late too, and the contents of several.
    pub fn suspects(&self) -> BTreeSet<PartId> {
        let mut suspects = self.repeated(SubjectKind::Content, WATCHED_INCIDENTS_MIN);
        suspects.extend(self.incidents.iter().flat_map(CrashIncident::all_parts));
        suspects
    }

    /// Returns the subjects of a kind of at least `min` incidents that count for them.
    fn repeated(&self, kind: SubjectKind, min: usize) -> BTreeSet<PartId> {
        let mut counts: BTreeMap<PartId, usize> = BTreeMap::new();
        for incident in self.incidents.iter().filter(|it| it.is_open(kind)) {
            let subjects: PartSet = match kind {
                SubjectKind::Content => incident.contents().collect(),
                SubjectKind::Part => incident.parts().collect(),
            };
            for subject in subjects {
                *counts.entry(subject).or_default() += 1;
            }
        }
        at_least(counts, min).collect()
    }

    /// Returns the quarantines.
    pub fn quarantines(&self) -> &QuarantineTable {
        &self.quarantines
    }

    /// Returns a content that alone explains a chain of incidents, and the number of
    /// these.
    fn find_content(&self, now: Instant) -> Option<(PartSet, usize)> {
        let contents = self.repeated(SubjectKind::Content, CHAIN_MIN);
        contents.into_iter().find_map(|content| {
            let incidents = self.incidents_of(now, content);
            let chain_end = self.chain_end(SubjectKind::Content, content, &incidents)?;
            let is_settled = now.saturating_duration_since(chain_end) >= CONTENT_SETTLE_TIME;
            if !is_settled || self.quarantines.has_single(content) {
                return None;
            }
            let first = incidents.first()?;
            let mut others = first.contents().filter(|other| *other != content);
            let has_rival = others.any(|other| self.explains(other, &incidents))
                || self.has_rival_part(content, &incidents);
            (!has_rival).then(|| (PartSet::from([content]), incidents.len()))
        })
    }

    /// Returns parts that together explain a chain of incidents, and the number of
    /// these.
    fn find_parts(&self, now: Instant) -> Option<(PartSet, usize)> {
        let parts = self.repeated(SubjectKind::Part, CHAIN_MIN);
        parts.into_iter().find_map(|part| {
            let incidents = self.incidents_of(now, part);
            let settled_at = self.chain_end(SubjectKind::Part, part, &incidents)?;
            let mut parts = self.rivals(part, &incidents);
            let has_more = |rival: &PartId| self.incidents_of(now, *rival).len() > incidents.len();
            if parts.iter().any(has_more) || self.has_unproven_rival(part, &incidents) {
                return None;
            }
            if !parts.is_empty() && now.saturating_duration_since(settled_at) < TIE_TIME {
                return None;
            }
            parts.insert(part);
            if parts.iter().any(|part| !self.sound.contains_key(part)) {
                parts.retain(|part| !self.sound.contains_key(part));
            }
            if parts
                .iter()
                .any(|part| !self.has_other_contents(*part, &incidents))
            {
                return None;
            }
            let mut requests = incidents.iter().flat_map(|it| it.suspects());
            let is_one_request = requests.any(|it| parts.is_subset(&it.parts));
            let is_new = !self.quarantines.covers(&parts);
            (is_one_request && is_new).then_some((parts, incidents.len()))
        })
    }

    /// Returns whether requests with a part were in enough of these incidents under other
    /// contents than the one that most of them have.
    fn has_other_contents(&self, part: PartId, incidents: &[&CrashIncident]) -> bool {
        let mut counts: BTreeMap<PartId, usize> = BTreeMap::new();
        for incident in incidents {
            let requests = incident.suspects().filter(|it| it.parts.contains(&part));
            let contents: PartSet = requests.map(|it| it.content).collect();
            let known = contents.into_iter().filter(|content| *content != 0);
            for content in known.filter(|content| self.is_suspect(*content, incident)) {
                *counts.entry(content).or_default() += 1;
            }
        }
        let most = counts.into_values().max().unwrap_or_default();
        most + OTHER_CONTENTS_MIN <= incidents.len()
    }

    /// Returns when the incidents of a part or a content had formed a chain that is long
    /// enough: a longer one if responses have lasted on it and trials haven't crashed, or
    /// if most incidents of that time are without it. If no response ever has, a shorter
    /// one does, of enough incidents.
    fn chain_end(
        &self,
        kind: SubjectKind,
        subject: PartId,
        incidents: &[&CrashIncident],
    ) -> Option<Instant> {
        let chain = find_chain(subject, incidents);
        let is_unproven = !self.sound.contains_key(&subject);
        let trials = incidents.iter().filter(|it| it.has_trial(subject));
        let is_tried = trials.count() >= TRIED_INCIDENTS_MIN;
        let chain_min = match self.is_most_frequent(kind, incidents) && (is_unproven || is_tried) {
            true => CHAIN_MIN,
            false => PROVEN_CHAIN_MIN,
        };
        let unproven_min = match kind {
            SubjectKind::Content => CHAIN_MIN,
            SubjectKind::Part => UNPROVEN_INCIDENTS_MIN,
        };
        let last = incidents.get(unproven_min - 1);
        let last = last.filter(|_| is_unproven && chain.len() >= UNPROVEN_CHAIN_MIN);
        let ends = [chain.get(chain_min - 1).copied(), last.map(|last| last.at)];
        ends.into_iter().flatten().min()
    }

    /// Returns whether these are at least half of the incidents of their time that count for
    /// subjects of a kind. Among many crashes of other causes a subject is in several by
    /// chance.
    fn is_most_frequent(&self, kind: SubjectKind, incidents: &[&CrashIncident]) -> bool {
        let (Some(first), Some(last)) = (incidents.first(), incidents.last()) else {
            return false;
        };
        let span = first.at..=last.at;
        let all = self.incidents.iter();
        let all = all.filter(|it| it.is_open(kind) && span.contains(&it.at));
        2 * incidents.len() >= all.count()
    }

    /// Returns the settled incidents that a part or a content may have caused.
    fn incidents_of(&self, now: Instant, subject: PartId) -> Vec<&CrashIncident> {
        let incidents = self.incidents.iter().filter(|incident| {
            let is_settled = now.saturating_duration_since(incident.at) >= SETTLE_TIME;
            is_settled && self.is_suspect(subject, incident)
        });
        let mut incidents: Vec<&CrashIncident> = incidents.collect();
        incidents.sort_by_key(|incident| incident.at);
        incidents
    }

    pub(crate) fn is_suspect(&self, subject: PartId, incident: &CrashIncident) -> bool {
        let sound = self.sound.get(&subject);
        let is_cleared = sound.is_some_and(|at| *at >= incident.at);
        !is_cleared && incident.has(subject)
    }

    /// Returns whether a part or a content may have caused all of these incidents.
    fn explains(&self, subject: PartId, incidents: &[&CrashIncident]) -> bool {
        let mut all = incidents.iter();
        all.all(|incident| self.is_suspect(subject, incident))
    }

    /// Returns whether a part explains the incidents of a content better. A content on
    /// which no response has ever lasted goes before all parts, as it refuses less.
    fn has_rival_part(&self, content: PartId, incidents: &[&CrashIncident]) -> bool {
        self.sound.contains_key(&content) && self.has_unproven_rival(content, incidents)
    }

    /// Returns whether a part on which no response has ever lasted was in half of these
    /// incidents of another part or content. If none has lasted on that one either, the
    /// part must have more incidents.
    ///
    /// A part or a content that many requests share is at most crashes, and no response
    /// clears it while all endpoints are down; a part without any response is in several
    /// crashes only if it causes them, or if one request is repeated: what crashed under
    /// trials without the part has another cause. A request may be missing from an incident,
    /// as its report is lost, or seem to come after it, as the report is late.
    fn has_unproven_rival(&self, subject: PartId, incidents: &[&CrashIncident]) -> bool {
        let is_unproven = |part: &PartId| !self.sound.contains_key(part);
        let trials = incidents.iter().filter(|it| it.has_trial(subject));
        let trials: Vec<PartSet> = trials.map(|it| it.all_parts().collect()).collect();
        let is_tried_without = |part: &PartId| {
            let others = trials.iter().filter(|parts| !parts.contains(part));
            others.count() >= TRIED_INCIDENTS_MIN
        };
        let counts = count_parts(incidents.iter().copied());
        let count_min = RIVAL_INCIDENTS_MIN.max(incidents.len() / 2);
        let rivals = counts
            .into_iter()
            .filter(|(part, count)| *part != subject && *count >= count_min && is_unproven(part));
        let rivals = rivals.map(|(part, _)| part);
        let mut rivals = rivals.filter(|part| !is_tried_without(part)).peekable();
        if rivals.peek().is_none() || !is_unproven(&subject) {
            return rivals.peek().is_some();
        }
        let totals = count_parts(self.incidents.iter());
        rivals.any(|part| {
            totals
                .get(&part)
                .is_some_and(|total| *total > incidents.len())
        })
    }

    /// Returns the other parts that may have caused all of these incidents.
    fn rivals(&self, part: PartId, incidents: &[&CrashIncident]) -> PartSet {
        let Some(first) = incidents.first() else {
            return PartSet::new();
        };
        let others = first.parts().filter(|other| *other != part);
        others
            .filter(|other| self.explains(*other, incidents))
            .collect()
    }
}

/// Returns in how many incidents each part was, in requests that seem to be late too.
fn count_parts<'a>(incidents: impl Iterator<Item = &'a CrashIncident>) -> BTreeMap<PartId, usize> {
    let mut counts = BTreeMap::new();
    for incident in incidents {
        let parts: PartSet = incident.all_parts().collect();
        for part in parts {
            *counts.entry(part).or_default() += 1;
        }
    }
    counts
}

/// Returns the subjects with a count of at least `min`.
pub(crate) fn at_least(
    counts: BTreeMap<PartId, usize>,
    min: usize,
) -> impl Iterator<Item = PartId> {
    let counts = counts.into_iter().filter(move |(_, count)| *count >= min);
    counts.map(|(subject, _)| subject)
}
