//! Times at which rejected callers are told to return.
//!
//! Algorithm: capacity becomes free at a rate, so the callers that are rejected while there
//! is none get one time after the other, each later by what it costs at that rate. Callers
//! that were all told the same time would return together, and most would be rejected
//! again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

/// Number of subjects beyond which those with no time in the future are removed.
const SUBJECTS_MAX: usize = 1_024;

/// The next free time of each account or service.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    next: BTreeMap<Bytes, Instant>,
}

impl ReturnSchedule {
    /// Returns after which time a caller is told to return: not before `earliest`, and
    /// `cost` before the next caller. Times beyond `latest` begin at `earliest` anew, as
    /// callers don't wait for those.
    pub fn assign(
        &mut self,
        now: Instant,
        subject: &Bytes,
        earliest: Duration,
        cost: Duration,
        latest: Duration,
    ) -> Duration {
        if self.next.len() >= SUBJECTS_MAX {
            self.next.retain(|_, at| *at > now);
        }
        let first = now + earliest;
        let next = self.next.entry(subject.clone()).or_insert(first);
        let mut at = first.max(*next);
        if at > now + latest.max(earliest) {
            at = first;
        }
        *next = at + cost;
        at.saturating_duration_since(now)
    }
}
