//! Trials of what may crash endpoints: few requests of a suspect are forwarded at a time.
//!
//! Purpose: the control leader keeps one [`TrialTable`] and grants each trial to one
//! gateway, so that a suspected part or content is at one endpoint at a time, whatever
//! the number of gateways. A trial costs one endpoint at most, and its end tells more of
//! the suspect than a crash under many requests.
//!
//! Guarantees: no two trials of a subject, and none at one endpoint, are open at a time,
//! unless the leader changes, so that a crash tells the suspects of one request.
//! After one that was broken off, the next begins after [`TRIAL_PAUSE`], or once a
//! quarantine explains it, so that the crash has been reported and judged by then.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::quarantine_table::PartSet;

/// Time from a crash under a suspect to its next trial. It covers the report of the
/// crash, and the responses that clear other requests of the same endpoint.
pub const TRIAL_PAUSE: Duration = Duration::from_millis(1_300);

/// Time after which a gateway that was denied a trial asks again.
pub const TRIAL_RETRY: Duration = Duration::from_millis(100);

/// Time after which a trial whose end was never told counts as broken off.
const TRIAL_LIFETIME: Duration = Duration::from_secs(60);

/// Identifies a trial: the process that asked for it, and its number for the trial.
pub type TrialId = (Bytes, u64);

/// A granted trial.
#[derive(Debug)]
struct OpenTrial {
    endpoint: Bytes,
    subjects: PartSet,
    granted: Instant,
}

/// All open trials of one leader.
#[derive(Debug, Default)]
pub struct TrialTable {
    trials: BTreeMap<TrialId, OpenTrial>,
    /// Subjects of trials that were broken off, and when.
    broken: Vec<(PartSet, Instant)>,
}

impl TrialTable {
    /// Grants a trial of these subjects at an endpoint; returns whether it was granted.
    pub fn grant(
        &mut self,
        now: Instant,
        id: TrialId,
        endpoint: &Bytes,
        subjects: PartSet,
    ) -> bool {
        let mut open = self.trials.values();
        let is_open =
            open.any(|trial| trial.endpoint == *endpoint || !trial.subjects.is_disjoint(&subjects));
        let is_paused = self.broken.iter().any(|(broken, at)| {
            let is_recent = now.saturating_duration_since(*at) < TRIAL_PAUSE;
            is_recent && !broken.is_disjoint(&subjects)
        });
        if is_open || is_paused {
            return false;
        }
        let trial = OpenTrial {
            endpoint: endpoint.clone(),
            subjects,
            granted: now,
        };
        self.trials.insert(id, trial);
        true
    }

    /// Ends a trial; `is_broken` if its endpoint broke it off.
    pub fn end(&mut self, now: Instant, id: &TrialId, is_broken: bool) {
        let Some(trial) = self.trials.remove(id) else {
            return;
        };
        if is_broken {
            self.broken.push((trial.subjects, now));
        }
    }

    /// Ends the trials of a process whose link was lost: what became of them isn't known.
    pub fn remove_holder(&mut self, now: Instant, holder: &Bytes) {
        let lost = self.trials.keys().filter(|id| id.0 == *holder);
        let lost: Vec<TrialId> = lost.cloned().collect();
        for id in lost {
            self.end(now, &id, true);
        }
    }

    /// Ends the pauses after trials whose crash a quarantine explains: other subjects of
    /// their requests needn't wait any longer.
    pub fn end_pauses(&mut self, quarantined: &PartSet) {
        self.broken
            .retain(|(subjects, _)| !quarantined.is_subset(subjects));
    }

    /// Forgets all trials, as another instance leads.
    pub fn clear(&mut self) {
        self.trials.clear();
        self.broken.clear();
    }

    /// Ends the trials that have lasted too long, and forgets earlier ones.
    pub fn tick(&mut self, now: Instant) {
        let has_expired =
            |trial: &OpenTrial| now.saturating_duration_since(trial.granted) >= TRIAL_LIFETIME;
        let trials = self.trials.iter().filter(|(_, trial)| has_expired(trial));
        let expired: Vec<TrialId> = trials.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.end(now, &id, true);
        }
        self.broken
            .retain(|(_, at)| now.saturating_duration_since(*at) < TRIAL_PAUSE);
    }
}
