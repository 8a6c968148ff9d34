//! A bounded queue that is fair across client accounts.
//!
//! Purpose: the agent's queue before an endpoint. However many requests one
//! account sends, the others get their share of the endpoint's service.
//!
//! Guarantees: while accounts have work waiting, the tokens of service that
//! they start differ from their shares by weight by no more than one request
//! each; within an account a lower priority class is served first, and a class
//! in order of arrival; a full queue loses the last request of the account
//! that holds the most for its weight.
//!
//! Algorithm: start-time fair queueing (Goyal, Vin, Cheng: "Start-Time Fair
//! Queueing", 1996) with tokens as lengths: each account has a virtual start,
//! which grows by tokens over weight with each request served, and the lowest
//! one is served next. An account that becomes active starts no earlier than
//! the queue's virtual time, so that it can't save up service. Requests are
//! charged by their bound; [`FairQueue::settle`] corrects the charge.

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
    /// Share among accounts; 0 counts as 1.
    pub weight: u32,
    /// 0 is served first within the account.
    pub priority: u32,
    /// Bound of the service in tokens; 0 counts as 1.
    pub tokens: u64,
    /// When the request is of no more use.
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
struct AccountLane<T> {
    weight: f64,
    /// Virtual start of the next request.
    start: f64,
    /// By priority; no class is empty.
    classes: BTreeMap<u32, VecDeque<QueuedItem<T>>>,
    /// Sum of the tokens of all classes.
    tokens: f64,
    len: usize,
}

impl<T> AccountLane<T> {
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
        self.note_gone(item)
    }

    fn pop_last(&mut self) -> Option<QueuedItem<T>> {
        let mut class = self.classes.last_entry()?;
        let item = class.get_mut().pop_back();
        if class.get().is_empty() {
            class.remove();
        }
        self.note_gone(item)
    }

    fn note_gone(&mut self, item: Option<QueuedItem<T>>) -> Option<QueuedItem<T>> {
        if let Some(item) = &item {
            self.tokens -= item.cost();
            self.len -= 1;
        }
        item
    }

    /// Returns the waiting tokens for a unit of weight.
    fn backlog(&self) -> f64 {
        self.tokens / self.weight
    }
}

/// What a push did.
#[derive(Debug)]
pub enum PushOutcome<T> {
    /// The request waits.
    Queued,
    /// The request waits; this one of another account had to go.
    Replaced(QueuedItem<T>),
    /// The queue is full and the account holds its share of it.
    Full(QueuedItem<T>),
}

/// Accounts without waiting requests whose virtual start is remembered.
const IDLE_LANES_MAX: usize = 1_024;

/// The queue.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    /// At most `limit`.
    len: usize,
    /// Virtual start of the last request served; never falls.
    virtual_time: f64,
    lanes: BTreeMap<AccountName, AccountLane<T>>,
}

impl<T> FairQueue<T> {
    /// Creates a queue for up to `limit` requests.
    pub fn new(limit: usize) -> Self {
        FairQueue {
            limit,
            len: 0,
            virtual_time: 0.0,
            lanes: BTreeMap::new(),
        }
    }

    /// Counts the waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the most requests that may wait.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Takes a request in.
    pub fn push(&mut self, item: QueuedItem<T>) -> PushOutcome<T> {
        if self.len < self.limit {
            self.insert(item);
            return PushOutcome::Queued;
        }
        let own = self.backlog_with(&item);
        let heaviest = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.len > 0)
            .max_by(|(_, a), (_, b)| a.backlog().total_cmp(&b.backlog()));
        let Some((name, lane)) = heaviest else {
            return PushOutcome::Full(item);
        };
        if *name == item.account || lane.backlog() <= own {
            return PushOutcome::Full(item);
        }
        let name = name.clone();
        let last = self.lanes.get_mut(&name).and_then(AccountLane::pop_last);
        self.len -= 1;
        self.insert(item);
        last.map_or(PushOutcome::Queued, PushOutcome::Replaced)
    }

    fn backlog_with(&self, item: &QueuedItem<T>) -> f64 {
        let waiting = self
            .lanes
            .get(&item.account)
            .map_or(0.0, |lane| lane.tokens);
        (waiting + item.cost()) / f64::from(item.weight.max(1))
    }

    fn insert(&mut self, item: QueuedItem<T>) {
        let now = self.virtual_time;
        let lane = self
            .lanes
            .entry(item.account.clone())
            .or_insert_with(|| AccountLane {
                weight: 1.0,
                start: now,
                classes: BTreeMap::new(),
                tokens: 0.0,
                len: 0,
            });
        if lane.len == 0 {
            lane.start = lane.start.max(now);
        }
        lane.push(item);
        self.len += 1;
    }

    /// Takes the next request out whose turn may be now.
    ///
    /// An account whose first request does not fit is passed over.
    pub fn pop(&mut self, fits: impl Fn(&QueuedItem<T>) -> bool) -> Option<QueuedItem<T>> {
        let (name, _) = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.head().is_some_and(&fits))
            .min_by(|(_, a), (_, b)| a.start.total_cmp(&b.start))?;
        let name = name.clone();
        let lane = self.lanes.get_mut(&name)?;
        self.virtual_time = self.virtual_time.max(lane.start);
        let item = lane.pop_head()?;
        lane.start += item.cost() / lane.weight;
        self.len -= 1;
        self.forget_idle();
        Some(item)
    }

    /// Corrects the charge of a served request to what it really took.
    pub fn settle(&mut self, account: &AccountName, charged: u64, taken: u64) {
        if let Some(lane) = self.lanes.get_mut(account) {
            let change = taken.max(1) as f64 - charged.max(1) as f64;
            lane.start += change / lane.weight;
        }
    }

    /// Takes all requests out that fit a condition.
    pub fn take_where(&mut self, fits: impl Fn(&QueuedItem<T>) -> bool) -> Vec<QueuedItem<T>> {
        let mut taken = Vec::new();
        for lane in self.lanes.values_mut() {
            for class in lane.classes.values_mut() {
                if !class.iter().any(&fits) {
                    continue;
                }
                let (gone, kept): (Vec<_>, VecDeque<_>) = split_items(class, &fits);
                *class = kept;
                lane.len -= gone.len();
                lane.tokens -= gone.iter().map(QueuedItem::cost).sum::<f64>();
                taken.extend(gone);
            }
            lane.classes.retain(|_, class| !class.is_empty());
        }
        self.len -= taken.len();
        taken
    }

    /// Returns the waiting requests in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedItem<T>> {
        self.lanes
            .values()
            .flat_map(|lane| lane.classes.values().flatten())
    }

    /// Returns the tokens that are served before a new request of an account.
    ///
    /// Another account goes first with what it has waiting, but with no more
    /// than its share of what this account has waiting itself.
    pub fn tokens_ahead(&self, account: &AccountName, weight: u32, tokens: u64) -> u64 {
        let weight = f64::from(weight.max(1));
        let waiting = self.lanes.get(account).map_or(0.0, |lane| lane.tokens);
        let own = waiting + tokens as f64;
        let ahead: f64 = self
            .lanes
            .iter()
            .filter(|(name, _)| *name != account)
            .map(|(_, lane)| lane.tokens.min(own * lane.weight / weight))
            .sum();
        (ahead + waiting) as u64
    }

    /// Drops accounts that can't be told from new ones.
    fn forget_idle(&mut self) {
        if self.lanes.len() > IDLE_LANES_MAX {
            let now = self.virtual_time;
            self.lanes
                .retain(|_, lane| lane.len > 0 || lane.start > now);
        }
    }
}

fn split_items<T>(
    class: &mut VecDeque<QueuedItem<T>>,
    fits: impl Fn(&QueuedItem<T>) -> bool,
) -> (Vec<QueuedItem<T>>, VecDeque<QueuedItem<T>>) {
    let mut gone = Vec::new();
    let mut kept = VecDeque::new();
    for item in class.drain(..) {
        if fits(&item) {
            gone.push(item);
        } else {
            kept.push_back(item);
        }
    }
    (gone, kept)
}
