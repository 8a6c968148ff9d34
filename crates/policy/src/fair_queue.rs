//! A bounded queue that is fair across client accounts.
//!
//! Purpose: the agent's queue in front of an endpoint. However many requests one
//! account sends, the others get their share of the endpoint's service.
//!
//! Guarantees: among accounts with waiting requests, the tokens of service started
//! deviate from the accounts' weighted shares by at most one request each; within
//! an account, lower priority values are served first, and requests of the same
//! priority in order of arrival; a full queue drops the last request of the account
//! with the largest backlog relative to its weight.
//!
//! Algorithm: start-time fair queueing (Goyal, Vin, Cheng: "Start-Time Fair
//! Queueing", 1996) with tokens as lengths: each account has a virtual start time,
//! which advances by tokens over weight with each request served, and the account
//! with the earliest one is served next. An account that becomes active starts no
//! earlier than the queue's virtual time, so that it can't accumulate service while
//! idle. Requests are charged by their token bound; [`FairQueue::settle`] corrects
//! the charge.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use bytes::Bytes;

/// Name of a client account.
pub type AccountName = Bytes;

/// A waiting request.
#[derive(Debug)]
pub struct QueuedItem<T> {
    /// Client account.
    pub account: AccountName,
    /// Weight of the account; 0 counts as 1.
    pub weight: u32,
    /// Priority within the account; 0 is served first.
    pub priority: u32,
    /// Upper bound of the service in tokens; 0 counts as 1.
    pub tokens: u64,
    /// When the request expires.
    pub deadline: Instant,
    /// The request.
    pub payload: T,
}

impl<T> QueuedItem<T> {
    fn cost(&self) -> f64 {
        self.tokens.max(1) as f64
    }
}

/// Waiting requests of one account.
#[derive(Debug)]
struct AccountQueue<T> {
    weight: f64,
    /// Virtual start time of the next request.
    start: f64,
    /// Waiting requests by priority; no class is empty.
    classes: BTreeMap<u32, VecDeque<QueuedItem<T>>>,
    /// Total tokens of all classes.
    tokens: f64,
    len: usize,
}

impl<T> AccountQueue<T> {
    fn push(&mut self, item: QueuedItem<T>) {
        self.weight = f64::from(item.weight.max(1));
        self.tokens += item.cost();
        self.len += 1;
        let class = self.classes.entry(item.priority).or_default();
        class.push_back(item);
    }

    fn head(&self) -> Option<&QueuedItem<T>> {
        self.classes.values().next()?.front()
    }

    fn pop_head(&mut self) -> Option<QueuedItem<T>> {
        let mut class = self.classes.first_entry()?;
        let item = class.get_mut().pop_front();
        if class.get().is_empty() {
            class.remove();
        }
        self.record_removal(item)
    }

    fn pop_last(&mut self) -> Option<QueuedItem<T>> {
        let mut class = self.classes.last_entry()?;
        let item = class.get_mut().pop_back();
        if class.get().is_empty() {
            class.remove();
        }
        self.record_removal(item)
    }

    fn record_removal(&mut self, item: Option<QueuedItem<T>>) -> Option<QueuedItem<T>> {
        if let Some(item) = &item {
            self.tokens -= item.cost();
            self.len -= 1;
        }
        item
    }

    /// Returns the waiting tokens per unit of weight.
    fn backlog(&self) -> f64 {
        self.tokens / self.weight
    }
}

/// Outcome of a push.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// The request was queued.
    Queued,
    /// The request was queued in place of this one of another account.
    Replaced(QueuedItem<T>),
    /// The queue is full and the account already has its share of it; returns the
    /// request.
    Full(QueuedItem<T>),
}

/// Number of accounts above which those without waiting requests are removed.
const IDLE_ACCOUNTS_MAX: usize = 1_024;

/// A bounded queue that is fair across client accounts.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    /// At most `limit`.
    len: usize,
    /// Virtual start time of the last request served; never decreases.
    virtual_time: f64,
    queues: BTreeMap<AccountName, AccountQueue<T>>,
}

impl<T> FairQueue<T> {
    /// Creates a queue for at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        FairQueue {
            limit,
            len: 0,
            virtual_time: 0.0,
            queues: BTreeMap::new(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the maximum number of waiting requests.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Adds a request; a full queue drops a request or refuses this one.
    pub fn push(&mut self, item: QueuedItem<T>) -> PushOutcome<T> {
        if self.len < self.limit {
            self.insert(item);
            return PushOutcome::Queued;
        }
        let own = self.backlog_with(&item);
        let heaviest = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.len > 0)
            .max_by(|(_, a), (_, b)| a.backlog().total_cmp(&b.backlog()));
        let Some((name, queue)) = heaviest else {
            return PushOutcome::Full(item);
        };
        if *name == item.account || queue.backlog() <= own {
            return PushOutcome::Full(item);
        }
        let name = name.clone();
        let last = self.queues.get_mut(&name).and_then(AccountQueue::pop_last);
        self.len -= 1;
        self.insert(item);
        last.map_or(PushOutcome::Queued, PushOutcome::Replaced)
    }

    fn backlog_with(&self, item: &QueuedItem<T>) -> f64 {
        let waiting = self
            .queues
            .get(&item.account)
            .map_or(0.0, |queue| queue.tokens);
        (waiting + item.cost()) / f64::from(item.weight.max(1))
    }

    fn insert(&mut self, item: QueuedItem<T>) {
        let now = self.virtual_time;
        let queue = self
            .queues
            .entry(item.account.clone())
            .or_insert_with(|| AccountQueue {
                weight: 1.0,
                start: now,
                classes: BTreeMap::new(),
                tokens: 0.0,
                len: 0,
            });
        if queue.len == 0 {
            queue.start = queue.start.max(now);
        }
        queue.push(item);
        self.len += 1;
    }

    /// Removes and returns the next eligible request.
    ///
    /// Accounts whose first request is not eligible are skipped.
    pub fn pop(&mut self, is_eligible: impl Fn(&QueuedItem<T>) -> bool) -> Option<QueuedItem<T>> {
        let (name, _) = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.head().is_some_and(&is_eligible))
            .min_by(|(_, a), (_, b)| a.start.total_cmp(&b.start))?;
        let name = name.clone();
        let queue = self.queues.get_mut(&name)?;
        self.virtual_time = self.virtual_time.max(queue.start);
        let item = queue.pop_head()?;
        queue.start += item.cost() / queue.weight;
        self.len -= 1;
        self.remove_idle_accounts();
        Some(item)
    }

    /// Corrects the charge of a served request to the tokens that it used.
    pub fn settle(&mut self, account: &AccountName, charged: u64, used: u64) {
        if let Some(queue) = self.queues.get_mut(account) {
            let change = used.max(1) as f64 - charged.max(1) as f64;
            queue.start += change / queue.weight;
        }
    }

    /// Removes and returns all requests that match a condition.
    pub fn remove_where(&mut self, matches: impl Fn(&QueuedItem<T>) -> bool) -> Vec<QueuedItem<T>> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            for class in queue.classes.values_mut() {
                if !class.iter().any(&matches) {
                    continue;
                }
                let (matching, remaining): (Vec<_>, VecDeque<_>) = split_matching(class, &matches);
                *class = remaining;
                queue.len -= matching.len();
                queue.tokens -= matching.iter().map(QueuedItem::cost).sum::<f64>();
                removed.extend(matching);
            }
            queue.classes.retain(|_, class| !class.is_empty());
        }
        self.len -= removed.len();
        removed
    }

    /// Returns the waiting requests in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedItem<T>> {
        self.queues
            .values()
            .flat_map(|queue| queue.classes.values().flatten())
    }

    /// Returns the waiting requests in the order in which they are served if no other
    /// request arrives and each is eligible.
    pub fn service_order(&self) -> Vec<&QueuedItem<T>> {
        let mut lanes: Vec<_> = self
            .queues
            .values()
            .map(|queue| {
                let items = queue.classes.values().flatten().peekable();
                (queue.start, queue.weight, items)
            })
            .collect();
        let mut order = Vec::with_capacity(self.len);
        while let Some((start, weight, items)) = lanes
            .iter_mut()
            .filter_map(|(start, weight, items)| {
                items.peek().is_some().then_some((start, weight, items))
            })
            .min_by(|(a, ..), (b, ..)| a.total_cmp(b))
        {
            let Some(item) = items.next() else {
                break;
            };
            *start += item.cost() / *weight;
            order.push(item);
        }
        order
    }

    /// Returns the tokens that are served before a new request of an account.
    ///
    /// For each other account, these are its waiting tokens, but no more than its
    /// weighted share relative to the tokens that this account has waiting.
    pub fn tokens_ahead(&self, account: &AccountName, weight: u32, tokens: u64) -> u64 {
        let weight = f64::from(weight.max(1));
        let waiting = self.queues.get(account).map_or(0.0, |queue| queue.tokens);
        let own = waiting + tokens as f64;
        let ahead: f64 = self
            .queues
            .iter()
            .filter(|(name, _)| *name != account)
            .map(|(_, queue)| queue.tokens.min(own * queue.weight / weight))
            .sum();
        (ahead + waiting) as u64
    }

    /// Removes accounts that are in the same state as new ones.
    fn remove_idle_accounts(&mut self) {
        if self.queues.len() > IDLE_ACCOUNTS_MAX {
            let now = self.virtual_time;
            self.queues
                .retain(|_, queue| queue.len > 0 || queue.start > now);
        }
    }
}

fn split_matching<T>(
    class: &mut VecDeque<QueuedItem<T>>,
    matches: impl Fn(&QueuedItem<T>) -> bool,
) -> (Vec<QueuedItem<T>>, VecDeque<QueuedItem<T>>) {
    let mut matching = Vec::new();
    let mut remaining = VecDeque::new();
    for item in class.drain(..) {
        if matches(&item) {
            matching.push(item);
        } else {
            remaining.push_back(item);
        }
    }
    (matching, remaining)
}
