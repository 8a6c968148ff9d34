//! What a process that forwards requests knows of those under which endpoints crash.
//!
//! Algorithm: the process reports each request that an endpoint broke off in a crash,
//! with its content and the shared parts of its prompt, to control instances, and
//! those that control watches on which responses last. Control finds what the crashes
//! have in common and quarantines it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::serving::{
    PromptCrash, PromptNotice, PromptQuarantine, PromptReport, SoundPart,
};

use crate::crash_incident::{PartId, SuspectRequest};
use crate::quarantine_table::{PartSet, QuarantineTable};

/// Identifies the link to a control instance.
type LinkId = u64;

/// Time for which an endpoint responds until the response counts as lasting. An
/// endpoint that crashes under a prompt does so when it begins to respond.
pub const SOUND_TIME: Duration = Duration::from_millis(500);

/// Maximum number of parts whose latest lasting response is remembered.
const SOUND_MAX: usize = 4_096;

/// Crashes, sound responses and quarantines, as far as this process knows them.
#[derive(Debug, Default)]
pub struct PromptGuard {
    quarantines: QuarantineTable,
    /// When the latest lasting response on each part was begun.
    sound: BTreeMap<PartId, Instant>,
    /// Parts and contents that each control instance watches.
    watched: BTreeMap<LinkId, BTreeSet<PartId>>,
    /// Those of which requests need a trial.
    restricted: BTreeMap<LinkId, BTreeSet<PartId>>,
    /// Crashes that have not been reported.
    crashes: Vec<PromptCrash>,
    /// Watched parts with a lasting response that has not been reported.
    unreported: BTreeSet<PartId>,
}

impl PromptGuard {
    /// Returns whether there is a quarantine.
    pub fn has_quarantines(&self) -> bool {
        !self.quarantines.is_empty()
    }

    /// Returns the number of quarantines.
    pub fn quarantine_count(&self) -> usize {
        self.quarantines.iter().count()
    }

    /// Returns when the quarantine ends that refuses a request with these subjects.
    pub fn quarantine_end(&self, now: Instant, subjects: &[PartId]) -> Option<Instant> {
        self.quarantines.find(now, subjects)
    }

    /// Returns whether control watches anything.
    pub fn is_watching(&self) -> bool {
        self.watched.values().any(|watched| !watched.is_empty())
    }

    /// Returns whether control watches a part or a content. Requests with a watched
    /// content were at several crashes that nothing explains yet.
    pub fn is_watched(&self, part: PartId) -> bool {
        self.watched.values().any(|watched| watched.contains(&part))
    }

    /// Returns whether responses that last on a part or a content are reported.
    fn is_reported(&self, subject: PartId) -> bool {
        self.is_watched(subject) || !self.restricted(&[subject]).is_empty()
    }

    /// Returns those of these parts and contents of which requests need a trial.
    pub fn restricted(&self, subjects: &[PartId]) -> PartSet {
        let is_restricted = |subject: &&PartId| {
            let mut restricted = self.restricted.values();
            restricted.any(|known| known.contains(*subject))
        };
        subjects.iter().filter(is_restricted).copied().collect()
    }

    /// Returns whether any request needs a trial.
    pub fn has_restricted(&self) -> bool {
        let mut restricted = self.restricted.values();
        restricted.any(|known| !known.is_empty())
    }

    /// Returns whether there is something to report.
    pub fn has_report(&self) -> bool {
        self.has_crashes() || !self.unreported.is_empty()
    }

    /// Returns whether crashes have not been reported.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Records the requests that an endpoint broke off when it crashed, with the time
    /// of the crash.
    pub fn record_crashes(
        &mut self,
        now: Instant,
        endpoint: &Bytes,
        born_ms: u64,
        requests: impl Iterator<Item = (SuspectRequest, Instant)>,
    ) {
        let since = |at: Instant| millis(now.saturating_duration_since(at));
        self.crashes
            .extend(requests.map(|(request, broken_at)| PromptCrash {
                endpoint: endpoint.clone(),
                born_ms,
                running_ms: since(request.forwarded),
                content: request.content,
                parts: request.parts.into_iter().collect(),
                age_ms: since(broken_at),
                trial: request.is_trial,
            }));
    }

    /// Records that a response, begun at an instant, has lasted.
    pub fn record_sound(&mut self, subjects: &[PartId], begun: Instant) {
        for subject in subjects {
            let known = self.sound.entry(*subject).or_insert(begun);
            *known = (*known).max(begun);
            if self.is_reported(*subject) {
                self.unreported.insert(*subject);
            }
        }
        if self.sound.len() > SOUND_MAX {
            let mut times: Vec<Instant> = self.sound.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(SOUND_MAX / 2);
            let median = *median;
            self.sound.retain(|_, begun| *begun > median);
        }
    }

    /// Applies a notice; returns the quarantines that are new.
    pub fn apply_notice(
        &mut self,
        now: Instant,
        link: LinkId,
        notice: PromptNotice,
    ) -> Vec<PartSet> {
        let watched: BTreeSet<PartId> = notice.watched.into_iter().collect();
        let restricted: BTreeSet<PartId> = notice.restricted.into_iter().collect();
        let known = watched.union(&restricted);
        let known = known.filter(|part| self.sound.contains_key(part));
        let known: Vec<PartId> = known
            .filter(|part| !self.is_reported(**part))
            .copied()
            .collect();
        self.unreported.extend(known);
        self.watched.insert(link, watched);
        self.restricted.insert(link, restricted);
        let mut added = Vec::new();
        for quarantine in notice.quarantines {
            let parts: PartSet = quarantine.parts.into_iter().collect();
            let until = now + Duration::from_millis(quarantine.left_ms);
            if self.quarantines.insert(parts.clone(), until) {
                added.push(parts);
            }
        }
        added
    }

    /// Removes a link to a control instance.
    pub fn remove_link(&mut self, link: LinkId) {
        self.watched.remove(&link);
        self.restricted.remove(&link);
    }

    /// Returns the quarantines, for a control instance that may not know them.
    pub fn quarantine_report(&self, now: Instant) -> Option<PromptReport> {
        let quarantines = self
            .quarantines
            .iter()
            .map(|(parts, until)| PromptQuarantine {
                parts: parts.iter().copied().collect(),
                left_ms: millis(until.saturating_duration_since(now)),
            });
        (!self.quarantines.is_empty()).then(|| PromptReport {
            quarantines: quarantines.collect(),
            ..PromptReport::default()
        })
    }

    /// Removes and returns what has not been reported.
    pub fn take_report(&mut self, now: Instant) -> Option<PromptReport> {
        if self.crashes.is_empty() && self.unreported.is_empty() {
            return None;
        }
        let sound = std::mem::take(&mut self.unreported).into_iter();
        let sound = sound.filter_map(|part| {
            let begun = *self.sound.get(&part)?;
            let age_ms = millis(now.saturating_duration_since(begun));
            Some(SoundPart { part, age_ms })
        });
        Some(PromptReport {
            sound: sound.collect(),
            crashes: std::mem::take(&mut self.crashes),
            quarantines: Vec::new(),
        })
    }

    /// Removes the quarantines that have ended.
    pub fn remove_expired(&mut self, now: Instant) {
        self.quarantines.remove_expired(now);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
