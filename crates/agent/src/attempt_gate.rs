//! Admission of attempts: slots, KV reserve, the queue and duplicates.
//!
//! Guarantees: no more than `slots` attempts run, and the KV cache of those
//! that run stays within the reserve; an attempt is handed over at most once;
//! an attempt that can't meet its deadline is refused when it comes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{FairQueue, PushOutcome, QueuedItem, ServiceMeter};
use mulberrywell_role::LinkId;
use mulberrywell_wire::request::{AttemptId, AttemptStart, RefusalReason};

use crate::token_counter::TokenCounter;
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
    /// Set once the entry asked to cancel the attempt.
    pub cancelled: bool,
    /// Counts the tokens of the answer.
    pub counter: TokenCounter,
    account: Bytes,
    model: Bytes,
    prompt_tokens: u64,
    /// Bound of prompt and output in tokens.
    charged: u64,
    kv_mib: u64,
    started: Instant,
}

/// Why an attempt was not taken in; it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When coming back may help; zero for at once.
    pub retry_after: Duration,
}

/// What happened to an attempt that came.
#[derive(Debug)]
pub enum GateOutcome {
    /// The attempt waits.
    Waiting,
    /// The attempt waits, and this one had to go.
    Replaced(WaitingAttempt, GateRefusal),
    /// The attempt is refused.
    Refused(GateRefusal),
    /// The attempt is here already and goes on.
    Repeated,
}

/// Requests and wait of one model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelUse {
    /// Requests at the engine.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
}

/// Slots and queue of one endpoint.
#[derive(Debug)]
pub struct AttemptGate {
    slots: usize,
    queue: FairQueue<WaitingAttempt>,
    /// At most `slots`.
    running: BTreeMap<RunId, RunningAttempt>,
    /// Sum of the KV cache of `running`.
    kv_used_mib: u64,
    meter: ServiceMeter,
    /// Attempts that were taken in or cancelled lately, oldest first in
    /// `seen_order`; false for those that were cancelled before they came.
    seen: BTreeMap<AttemptKey, bool>,
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
            queue: FairQueue::new(queue_limit.max(1)),
            running: BTreeMap::new(),
            kv_used_mib: 0,
            meter: ServiceMeter::default(),
            seen: BTreeMap::new(),
            seen_order: VecDeque::new(),
            next_run: 1,
        }
    }

    /// Takes an attempt into the queue, or tells why not.
    pub fn enqueue(&mut self, now: Instant, link: LinkId, start: AttemptStart) -> GateOutcome {
        let key = attempt_key(start.id.as_ref());
        if let Some(taken) = self.seen.get(&key) {
            return self.repeated(link, &key, *taken);
        }
        let wait = self.expected_wait(&start);
        let allowed = Duration::from_millis(start.deadline_ms);
        if allowed.is_zero() || wait >= allowed {
            return GateOutcome::Refused(GateRefusal {
                reason: RefusalReason::Deadline,
                retry_after: wait.saturating_sub(allowed),
            });
        }
        let full = GateRefusal {
            reason: RefusalReason::Overloaded,
            retry_after: wait,
        };
        let item = QueuedItem {
            account: start.account.clone(),
            weight: start.weight,
            priority: start.priority,
            tokens: token_bound(&start),
            deadline: now + allowed,
            payload: WaitingAttempt {
                link,
                start,
                deadline: now + allowed,
            },
        };
        let outcome = self.queue.push(item);
        if !matches!(outcome, PushOutcome::Full(_)) {
            self.remember(key, true);
        }
        match outcome {
            PushOutcome::Queued => GateOutcome::Waiting,
            PushOutcome::Replaced(gone) => GateOutcome::Replaced(gone.payload, full),
            PushOutcome::Full(_) => GateOutcome::Refused(full),
        }
    }

    /// Judges an attempt that was seen before.
    ///
    /// A refusal of a live attempt would be taken for the end of the first, so
    /// a copy on the same link is passed over.
    fn repeated(&self, link: LinkId, key: &AttemptKey, taken: bool) -> GateOutcome {
        let waits = |item: &QueuedItem<WaitingAttempt>| {
            let waiting = &item.payload;
            waiting.link == link && attempt_key(waiting.start.id.as_ref()) == *key
        };
        let runs = |item: &RunningAttempt| item.link == link && attempt_key(Some(&item.id)) == *key;
        if self.queue.iter().any(waits) || self.running.values().any(runs) {
            return GateOutcome::Repeated;
        }
        let reason = if taken {
            RefusalReason::Duplicate
        } else {
            RefusalReason::Cancelled
        };
        GateOutcome::Refused(GateRefusal {
            reason,
            retry_after: Duration::ZERO,
        })
    }

    /// Returns the wait that an attempt would have in the queue.
    fn expected_wait(&self, start: &AttemptStart) -> Duration {
        if self.running.len() < self.slots && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self
            .queue
            .tokens_ahead(&start.account, start.weight, token_bound(start));
        self.meter.wait(ahead, self.slots)
    }

    /// Returns the wait of a new request of an account that has none here.
    pub fn new_wait(&self) -> Duration {
        if self.running.len() < self.slots && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let mean = self.queue.iter().map(|item| item.tokens).sum::<u64>()
            / u64::try_from(self.queue.len().max(1)).unwrap_or(1);
        let ahead = self.queue.tokens_ahead(&Bytes::new(), 1, mean);
        self.meter.wait(ahead, self.slots)
    }

    /// Gives the next waiting attempt a slot.
    ///
    /// `kv_mib` returns the KV cache of a request, whose sum stays within
    /// `kv_limit_mib`.
    pub fn next_run(
        &mut self,
        now: Instant,
        kv_limit_mib: u64,
        kv_mib: impl Fn(&Bytes) -> u64,
    ) -> Option<(RunId, WaitingAttempt)> {
        if self.running.len() >= self.slots {
            return None;
        }
        let free = kv_limit_mib.saturating_sub(self.kv_used_mib);
        let item = self
            .queue
            .pop(|item| kv_mib(&item.payload.start.model) <= free)?;
        let waiting = item.payload;
        let run = self.next_run;
        self.next_run += 1;
        let kv_mib = kv_mib(&waiting.start.model);
        self.kv_used_mib += kv_mib;
        self.running.insert(
            run,
            RunningAttempt {
                link: waiting.link,
                id: waiting.start.id.unwrap_or_default(),
                idempotent: waiting.start.idempotent,
                sent: 0,
                cancelled: false,
                counter: TokenCounter::new(waiting.start.stream),
                account: waiting.start.account.clone(),
                model: waiting.start.model.clone(),
                prompt_tokens: waiting.start.prompt_tokens,
                charged: item.tokens,
                kv_mib,
                started: now,
            },
        );
        Some((run, waiting))
    }

    /// Returns a running attempt.
    pub fn running_mut(&mut self, run: RunId) -> Option<&mut RunningAttempt> {
        self.running.get_mut(&run)
    }

    /// Frees the slot of a running attempt.
    pub fn finish(&mut self, now: Instant, run: RunId) -> Option<RunningAttempt> {
        let running = self.running.remove(&run)?;
        self.kv_used_mib -= running.kv_mib;
        let output = running.counter.tokens();
        if output > 0 {
            let taken = running.prompt_tokens + output;
            let time = now.saturating_duration_since(running.started);
            self.queue.settle(&running.account, running.charged, taken);
            self.meter.add_sample(running.charged, taken, time);
        }
        Some(running)
    }

    /// Cancels an attempt; it may be waiting, running or still to come.
    pub fn cancel(&mut self, id: &AttemptId) -> CancelOutcome {
        let key = attempt_key(Some(id));
        let fits =
            |item: &QueuedItem<WaitingAttempt>| attempt_key(item.payload.start.id.as_ref()) == key;
        if let Some(item) = self.queue.take_where(fits).pop() {
            return CancelOutcome::Dropped(item.payload);
        }
        let mut running = self.running.iter_mut();
        if let Some((run, attempt)) = running.find(|item| item.1.id == *id) {
            attempt.cancelled = true;
            return CancelOutcome::Running(*run);
        }
        if !self.seen.contains_key(&key) {
            self.remember(key, false);
        }
        CancelOutcome::NotHere
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
        let dropped = self.queue.take_where(|item| fits(&item.payload));
        dropped.into_iter().map(|item| item.payload).collect()
    }

    /// Returns the earliest deadline in the queue.
    pub fn deadline(&self) -> Option<Instant> {
        self.queue.iter().map(|item| item.deadline).min()
    }

    /// Counts running attempts.
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Counts waiting attempts.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the most attempts that may wait.
    pub fn queue_limit(&self) -> usize {
        self.queue.limit()
    }

    /// Returns the tokens a second that the endpoint serves when it is full.
    pub fn tokens_per_second(&self) -> u64 {
        self.meter.tokens_per_second(self.slots)
    }

    /// Returns the models that have requests here.
    pub fn model_use(&self) -> BTreeMap<Bytes, ModelUse> {
        let mut uses: BTreeMap<Bytes, ModelUse> = BTreeMap::new();
        for running in self.running.values() {
            uses.entry(running.model.clone()).or_default().running += 1;
        }
        for item in self.queue.iter() {
            let model = item.payload.start.model.clone();
            uses.entry(model).or_default().waiting += 1;
        }
        uses
    }

    fn remember(&mut self, key: AttemptKey, taken: bool) {
        self.seen.insert(key, taken);
        self.seen_order.push_back(key);
        if self.seen_order.len() > SEEN_MAX {
            if let Some(oldest) = self.seen_order.pop_front() {
                self.seen.remove(&oldest);
            }
        }
    }
}

/// Where a cancelled attempt was.
#[derive(Debug)]
pub enum CancelOutcome {
    /// In the queue; it was not run.
    Dropped(WaitingAttempt),
    /// At the endpoint.
    Running(RunId),
    /// Ended, or not here yet; it is refused if it comes.
    NotHere,
}

fn token_bound(start: &AttemptStart) -> u64 {
    start.prompt_tokens.saturating_add(start.output_tokens)
}

fn attempt_key(id: Option<&AttemptId>) -> AttemptKey {
    let id = id.copied().unwrap_or_default();
    (id.incarnation, id.sequence, id.attempt)
}
