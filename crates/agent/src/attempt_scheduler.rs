//! Admission and scheduling of attempts: slots, KV reserve, queue, duplicates.
//!
//! The fair queue orders the attempts of all accounts. In addition the
//! scheduler reserves a part of the slots for accounts that use less than
//! their share, so that they need not wait until a response of another account
//! ends.
//!
//! Guarantees: at most `slots` attempts run at a time, and the KV cache of the
//! running attempts stays within the reserve; an attempt is forwarded at most
//! once; an attempt that is not expected to meet its deadline is refused on
//! arrival.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
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
    /// Link of the entry that sent the attempt.
    pub link: LinkId,
    /// The frame that started the attempt.
    pub start: AttemptStart,
    /// Time from which a response is of no use to the caller.
    pub deadline: Instant,
}

/// An attempt that was forwarded to the endpoint.
#[derive(Debug)]
pub struct RunningAttempt {
    /// Link of the entry that sent the attempt.
    pub link: LinkId,
    /// The attempt.
    pub id: AttemptId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The attempt resumes a stream.
    pub is_resumption: bool,
    /// The response has a length or chunks; otherwise it ends with its connection.
    pub is_delimited: bool,
    /// Bytes of the response body sent to the entry.
    pub sent_bytes: u64,
    /// The entry cancelled the attempt.
    pub cancelled: bool,
    /// Counts the output tokens of the response.
    pub counter: TokenCounter,
    account: Bytes,
    model: Bytes,
    prompt_tokens: u64,
    /// Upper bound of prompt and output tokens, charged to the account.
    charged_tokens: u64,
    kv_mib: u64,
    started: Instant,
}

impl RunningAttempt {
    /// Returns whether a response that ends here is complete. The end of a connection
    /// that brought nothing doesn't show that a stream to be resumed has nothing left.
    pub fn is_whole(&self) -> bool {
        self.is_delimited || !self.is_resumption || self.sent_bytes > 0
    }
}

/// Refusal of an attempt that was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed; zero for an immediate retry.
    pub retry_after: Duration,
}

/// Result of [`AttemptScheduler::enqueue`].
#[derive(Debug)]
pub enum QueueOutcome {
    /// The attempt is in the queue.
    Waiting,
    /// The attempt is in the queue; another one was evicted and is refused.
    Replaced(WaitingAttempt, QueueRefusal),
    /// The attempt is refused.
    Refused(QueueRefusal),
    /// The attempt is already waiting or running and continues.
    Repeated,
}

/// Requests of one model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ModelUse {
    /// Requests running at the engine.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
}

/// Slots and queue of one endpoint.
#[derive(Debug)]
pub struct AttemptScheduler {
    slots: usize,
    queue: FairQueue<WaitingAttempt>,
    /// At most `slots`.
    running: BTreeMap<RunId, RunningAttempt>,
    /// Total KV cache of `running`.
    kv_used_mib: u64,
    /// Accounts by name; their `running` counts add up to the number of running
    /// attempts.
    accounts: BTreeMap<Bytes, ActiveAccount>,
    meter: ServiceMeter,
    /// Recently admitted or cancelled attempts, oldest first in `seen_order`;
    /// false for those that were cancelled before they arrived.
    seen: BTreeMap<AttemptKey, bool>,
    seen_order: VecDeque<AttemptKey>,
    next_run_id: RunId,
}

/// One in this many slots is reserved for accounts below their share.
const RESERVE_DIVISOR: usize = 8;

/// Time after the last request for which an idle account keeps its share.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum of an expected duration, which keeps sums of instants in range.
const DURATION_MAX: Duration = Duration::from_secs(24 * 3_600);

/// An account that sent requests recently.
#[derive(Debug, Clone, Copy)]
struct ActiveAccount {
    weight: u32,
    running: usize,
    last_seen: Instant,
}

/// Maximum number of attempts kept in `seen` to refuse duplicates.
const SEEN_MAX: usize = 65_536;

impl AttemptScheduler {
    /// Creates a scheduler for up to `slots` running and `queue_limit` waiting
    /// attempts.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        AttemptScheduler {
            slots,
            queue: FairQueue::new(queue_limit.max(1)),
            running: BTreeMap::new(),
            kv_used_mib: 0,
            accounts: BTreeMap::new(),
            meter: ServiceMeter::default(),
            seen: BTreeMap::new(),
            seen_order: VecDeque::new(),
            next_run_id: 1,
        }
    }

    /// Adds an attempt to the queue, or refuses it.
    pub fn enqueue(&mut self, now: Instant, link: LinkId, start: AttemptStart) -> QueueOutcome {
        let key = attempt_key(start.id.as_ref());
        if let Some(admitted) = self.seen.get(&key) {
            return self.handle_repeated(link, &key, *admitted);
        }
        let wait = self.expected_wait(&start);
        let time_left = Duration::from_millis(start.deadline_ms);
        if time_left.is_zero() || wait >= time_left {
            return QueueOutcome::Refused(QueueRefusal {
                reason: RefusalReason::Deadline,
                retry_after: wait.saturating_sub(time_left),
            });
        }
        let overloaded = QueueRefusal {
            reason: RefusalReason::Overloaded,
            retry_after: wait,
        };
        let item = QueuedItem {
            account: start.account.clone(),
            weight: start.weight,
            priority: start.priority,
            tokens: token_bound(&start),
            deadline: now + time_left,
            payload: WaitingAttempt {
                link,
                start,
                deadline: now + time_left,
            },
        };
        self.record_account(now, &item.account, item.weight);
        let outcome = self.queue.push(item);
        if !matches!(outcome, PushOutcome::Full(_)) {
            self.record_seen(key, true);
        }
        match outcome {
            PushOutcome::Queued => QueueOutcome::Waiting,
            PushOutcome::Replaced(evicted) => QueueOutcome::Replaced(evicted.payload, overloaded),
            PushOutcome::Full(_) => QueueOutcome::Refused(overloaded),
        }
    }

    fn record_account(&mut self, now: Instant, account: &Bytes, weight: u32) {
        self.accounts
            .retain(|_, item| item.running > 0 || now < item.last_seen + ACCOUNT_IDLE_TIMEOUT);
        let item = self
            .accounts
            .entry(account.clone())
            .or_insert(ActiveAccount {
                weight,
                running: 0,
                last_seen: now,
            });
        item.weight = weight.max(1);
        item.last_seen = now;
    }

    /// Handles an attempt whose key was seen before.
    ///
    /// A copy of a waiting or running attempt on the same link is ignored: the
    /// entry would mistake its refusal for the end of the original.
    fn handle_repeated(&self, link: LinkId, key: &AttemptKey, admitted: bool) -> QueueOutcome {
        let is_waiting = |item: &QueuedItem<WaitingAttempt>| {
            let waiting = &item.payload;
            waiting.link == link && attempt_key(waiting.start.id.as_ref()) == *key
        };
        let is_running =
            |item: &RunningAttempt| item.link == link && attempt_key(Some(&item.id)) == *key;
        if self.queue.iter().any(is_waiting) || self.running.values().any(is_running) {
            return QueueOutcome::Repeated;
        }
        let reason = if admitted {
            RefusalReason::Duplicate
        } else {
            RefusalReason::Cancelled
        };
        QueueOutcome::Refused(QueueRefusal {
            reason,
            retry_after: Duration::ZERO,
        })
    }

    /// Returns the time that an attempt would wait in the queue.
    fn expected_wait(&self, start: &AttemptStart) -> Duration {
        if self.running.len() < self.slots && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self
            .queue
            .tokens_ahead(&start.account, start.weight, token_bound(start));
        self.meter.estimate_wait(ahead, self.slots)
    }

    /// Returns the time that a request of an account without requests would
    /// wait in the queue.
    pub fn new_account_wait(&self) -> Duration {
        if self.running.len() < self.slots && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let mean = self.queue.iter().map(|item| item.tokens).sum::<u64>()
            / u64::try_from(self.queue.len().max(1)).unwrap_or(1);
        let ahead = self.queue.tokens_ahead(&Bytes::new(), 1, mean);
        self.meter.estimate_wait(ahead, self.slots)
    }

    /// Moves the next waiting attempt into a free slot.
    ///
    /// `kv_mib` returns the KV cache of one request of a model; its total over
    /// the running attempts stays within `kv_limit_mib`.
    pub fn start_next(
        &mut self,
        now: Instant,
        kv_limit_mib: u64,
        kv_mib: impl Fn(&Bytes) -> u64,
    ) -> Option<(RunId, WaitingAttempt)> {
        if self.running.len() >= self.slots {
            return None;
        }
        let free = kv_limit_mib.saturating_sub(self.kv_used_mib);
        let in_reserve = self.running.len() >= self.slots - self.slots / RESERVE_DIVISOR;
        let (accounts, slots) = (&self.accounts, self.slots);
        let item = self.queue.pop(|item| {
            let fits = kv_mib(&item.payload.start.model) <= free;
            fits && (!in_reserve || may_use_reserve(accounts, slots, &item.account))
        })?;
        if let Some(account) = self.accounts.get_mut(&item.account) {
            account.running += 1;
        }
        let waiting = item.payload;
        let run = self.next_run_id;
        self.next_run_id += 1;
        let kv_mib = kv_mib(&waiting.start.model);
        self.kv_used_mib += kv_mib;
        self.running.insert(
            run,
            RunningAttempt {
                link: waiting.link,
                id: waiting.start.id.unwrap_or_default(),
                idempotent: waiting.start.idempotent,
                is_resumption: waiting.start.resume_events > 0,
                is_delimited: false,
                sent_bytes: 0,
                cancelled: false,
                counter: TokenCounter::new(waiting.start.stream),
                account: waiting.start.account.clone(),
                model: waiting.start.model.clone(),
                prompt_tokens: waiting.start.prompt_tokens,
                charged_tokens: item.tokens,
                kv_mib,
                started: now,
            },
        );
        Some((run, waiting))
    }

    pub fn running_mut(&mut self, run: RunId) -> Option<&mut RunningAttempt> {
        self.running.get_mut(&run)
    }

    /// Releases the slot of a running attempt and records its service.
    pub fn finish(&mut self, now: Instant, run: RunId) -> Option<RunningAttempt> {
        let running = self.running.remove(&run)?;
        self.kv_used_mib -= running.kv_mib;
        if let Some(account) = self.accounts.get_mut(&running.account) {
            account.running -= 1;
        }
        let output = running.counter.tokens();
        if output > 0 {
            let used = running.prompt_tokens + output;
            let time = now.saturating_duration_since(running.started);
            self.queue
                .settle(&running.account, running.charged_tokens, used);
            self.meter.add_sample(running.charged_tokens, used, time);
        }
        Some(running)
    }

    /// Cancels an attempt that waits, runs or has not arrived yet.
    pub fn cancel(&mut self, id: &AttemptId) -> CancelOutcome {
        let key = attempt_key(Some(id));
        let is_match =
            |item: &QueuedItem<WaitingAttempt>| attempt_key(item.payload.start.id.as_ref()) == key;
        if let Some(item) = self.queue.remove_where(is_match).pop() {
            return CancelOutcome::Dequeued(item.payload);
        }
        let mut running = self.running.iter_mut();
        if let Some((run, attempt)) = running.find(|item| item.1.id == *id) {
            attempt.cancelled = true;
            return CancelOutcome::Running(*run);
        }
        if !self.seen.contains_key(&key) {
            self.record_seen(key, false);
        }
        CancelOutcome::NotFound
    }

    /// Returns the running attempts of a link.
    pub fn runs_of_link(&self, link: LinkId) -> Vec<RunId> {
        self.running
            .iter()
            .filter(|(_, running)| running.link == link)
            .map(|(run, _)| *run)
            .collect()
    }

    /// Removes the waiting attempts that match a predicate from the queue.
    pub fn remove_waiting(
        &mut self,
        predicate: impl Fn(&WaitingAttempt) -> bool,
    ) -> Vec<WaitingAttempt> {
        let dropped = self.queue.remove_where(|item| predicate(&item.payload));
        dropped.into_iter().map(|item| item.payload).collect()
    }

    /// Removes the waiting attempts that are not expected to end by `end`.
    ///
    /// Algorithm: list scheduling of the queue on the slots with the measured
    /// durations of ended requests. Without one of them, all attempts remain.
    pub fn remove_ending_after(&mut self, now: Instant, end: Instant) -> Vec<WaitingAttempt> {
        let running = self.running.values();
        let mut free_at: Vec<Instant> = running
            .map(|item| (item.started + self.duration_of(item.charged_tokens)).max(now))
            .collect();
        free_at.resize(self.slots.max(free_at.len()), now);
        let mut late = BTreeSet::new();
        for item in self.queue.service_order() {
            let Some(slot) = free_at.iter_mut().min() else {
                break;
            };
            let ends_at = *slot + self.duration_of(item.tokens);
            if ends_at > end {
                late.insert(attempt_key(item.payload.start.id.as_ref()));
            } else {
                *slot = ends_at;
            }
        }
        self.remove_waiting(|waiting| late.contains(&attempt_key(waiting.start.id.as_ref())))
    }

    /// Returns the expected duration of a request.
    fn duration_of(&self, tokens: u64) -> Duration {
        self.meter.estimate_duration(tokens).min(DURATION_MAX)
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

    /// Returns the maximum number of waiting attempts.
    pub fn queue_limit(&self) -> usize {
        self.queue.limit()
    }

    /// Returns the tokens per second that the endpoint serves with all slots
    /// in use.
    pub fn tokens_per_second(&self) -> u64 {
        self.meter.tokens_per_second(self.slots)
    }

    /// Returns the models that have waiting or running requests.
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

    fn record_seen(&mut self, key: AttemptKey, admitted: bool) {
        self.seen.insert(key, admitted);
        self.seen_order.push_back(key);
        if self.seen_order.len() > SEEN_MAX {
            if let Some(oldest) = self.seen_order.pop_front() {
                self.seen.remove(&oldest);
            }
        }
    }
}

/// Result of [`AttemptScheduler::cancel`].
#[derive(Debug)]
pub enum CancelOutcome {
    /// It was removed from the queue and was not run.
    Dequeued(WaitingAttempt),
    /// It runs at the endpoint.
    Running(RunId),
    /// It ended, or has not arrived yet and will be refused on arrival.
    NotFound,
}

/// Returns whether an account may use a reserved slot: its running attempts are
/// below 1.5 times its weighted share of the slots.
fn may_use_reserve(
    accounts: &BTreeMap<Bytes, ActiveAccount>,
    slots: usize,
    account: &Bytes,
) -> bool {
    let all: u64 = accounts.values().map(|item| u64::from(item.weight)).sum();
    accounts.get(account).is_none_or(|item| {
        item.running as u64 * all * 2 < u64::from(item.weight) * slots as u64 * 3
    })
}

fn token_bound(start: &AttemptStart) -> u64 {
    start.prompt_tokens.saturating_add(start.output_tokens)
}

fn attempt_key(id: Option<&AttemptId>) -> AttemptKey {
    let id = id.copied().unwrap_or_default();
    (id.incarnation, id.sequence, id.attempt)
}
