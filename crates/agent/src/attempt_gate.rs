//! Admission of attempts: slots, the queue before them, and duplicates.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use mulberrywell_role::LinkId;
use mulberrywell_wire::request::{AttemptId, AttemptStart, RefusalReason};

use crate::RunId;

/// Identifies an attempt: entry incarnation, sequence and number.
pub type AttemptKey = (u64, u64, u32);

/// An attempt that waits for a slot.
#[derive(Debug)]
pub struct WaitingAttempt {
    /// Link of the entry that asks.
    pub link: LinkId,
    /// The request.
    pub start: AttemptStart,
    /// When it is of no more use.
    pub deadline: Instant,
}

/// An attempt that was handed over.
#[derive(Debug)]
pub struct RunningAttempt {
    /// Link of the entry that asks.
    pub link: LinkId,
    /// The attempt.
    pub id: AttemptId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Bytes of the body that were passed on.
    pub sent: u64,
}

/// Slots and queue of one endpoint.
#[derive(Debug)]
pub struct AttemptGate {
    slots: usize,
    queue_limit: usize,
    /// At most `queue_limit`.
    queue: VecDeque<WaitingAttempt>,
    /// At most `slots`.
    running: BTreeMap<RunId, RunningAttempt>,
    /// Attempts that were taken in lately, oldest first in `seen_order`.
    seen: BTreeMap<AttemptKey, ()>,
    seen_order: VecDeque<AttemptKey>,
    next_run: RunId,
}

/// Attempts that are remembered to refuse duplicates.
const SEEN_MAX: usize = 65_536;

impl AttemptGate {
    /// Creates a gate with room for `slots` running and `queue_limit` waiting.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        AttemptGate {
            slots,
            queue_limit,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            seen: BTreeMap::new(),
            seen_order: VecDeque::new(),
            next_run: 1,
        }
    }

    /// Takes an attempt into the queue.
    ///
    /// # Errors
    /// Fails with the reason of the refusal; the attempt was then not run.
    pub fn enqueue(
        &mut self,
        now: Instant,
        link: LinkId,
        start: AttemptStart,
    ) -> Result<(), RefusalReason> {
        let key = attempt_key(start.id.as_ref());
        if self.seen.contains_key(&key) {
            return Err(RefusalReason::Duplicate);
        }
        if start.deadline_ms == 0 {
            return Err(RefusalReason::Deadline);
        }
        if self.running.len() >= self.slots && self.queue.len() >= self.queue_limit {
            return Err(RefusalReason::Overloaded);
        }
        self.remember(key);
        let deadline = now + Duration::from_millis(start.deadline_ms);
        self.queue.push_back(WaitingAttempt {
            link,
            start,
            deadline,
        });
        Ok(())
    }

    /// Gives the next waiting attempt a slot.
    pub fn next_run(&mut self) -> Option<(RunId, WaitingAttempt)> {
        if self.running.len() >= self.slots {
            return None;
        }
        let waiting = self.queue.pop_front()?;
        let run = self.next_run;
        self.next_run += 1;
        self.running.insert(
            run,
            RunningAttempt {
                link: waiting.link,
                id: waiting.start.id.unwrap_or_default(),
                idempotent: waiting.start.idempotent,
                sent: 0,
            },
        );
        Some((run, waiting))
    }

    /// Returns a running attempt.
    pub fn running_mut(&mut self, run: RunId) -> Option<&mut RunningAttempt> {
        self.running.get_mut(&run)
    }

    /// Frees the slot of a running attempt.
    pub fn finish(&mut self, run: RunId) -> Option<RunningAttempt> {
        self.running.remove(&run)
    }

    /// Returns the run of an attempt.
    pub fn run_of(&self, id: &AttemptId) -> Option<RunId> {
        self.running
            .iter()
            .find(|(_, running)| running.id == *id)
            .map(|(run, _)| *run)
    }

    /// Returns the runs of a link.
    pub fn runs_of_link(&self, link: LinkId) -> Vec<RunId> {
        self.running
            .iter()
            .filter(|(_, running)| running.link == link)
            .map(|(run, _)| *run)
            .collect()
    }

    /// Takes the waiting attempts that fit a condition out of the queue.
    pub fn drop_waiting(&mut self, fits: impl Fn(&WaitingAttempt) -> bool) -> Vec<WaitingAttempt> {
        let (dropped, kept) = self.queue.drain(..).partition(fits);
        self.queue = kept;
        let dropped: VecDeque<WaitingAttempt> = dropped;
        dropped.into()
    }

    /// Returns the earliest deadline in the queue.
    pub fn deadline(&self) -> Option<Instant> {
        self.queue.iter().map(|waiting| waiting.deadline).min()
    }

    /// Counts running attempts.
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Counts waiting attempts.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    fn remember(&mut self, key: AttemptKey) {
        self.seen.insert(key, ());
        self.seen_order.push_back(key);
        if self.seen_order.len() > SEEN_MAX {
            if let Some(oldest) = self.seen_order.pop_front() {
                self.seen.remove(&oldest);
            }
        }
    }
}

fn attempt_key(id: Option<&AttemptId>) -> AttemptKey {
    let id = id.copied().unwrap_or_default();
    (id.incarnation, id.sequence, id.attempt)
}
