//! Tracks the accelerator memory of the agent's endpoint.
//!
//! Purpose: decides whether a model may be loaded, based on the agent's orders
//! and the state that the engine reports.
//!
//! Guarantees: no order of this agent makes the KV reserve and the memory of
//! all models that are resident, loading, draining, unloading or of unknown
//! state exceed the endpoint's memory. The memory of an unanswered order stays
//! reserved until no order can take effect any more and the engine's state,
//! read after that moment, shows the result.
//!
//! Algorithm: each order carries a fencing token higher than any before. An
//! engine that checks tokens refuses an order once it has accepted one with a
//! higher token, so an order is *closed* when the engine has acknowledged a
//! higher token. At other engines an order is closed when its maximum lifetime
//! has passed. (Fencing: Kleppmann, "How to do distributed locking", 2016.)

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::endpoint::TargetModel;

use crate::residency::{residency_chart, ResidencyChart, ResidencyEvent, ResidencyState};
use crate::{EngineState, OrderOutcome, ResidentModel};

/// Name of a model or an adapter.
pub type ModelName = Bytes;

/// How unanswered orders are kept from taking effect later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceRule {
    /// The engine refuses an order with an older token.
    Token,
    /// An order can take effect no later than this long after it was sent.
    Lifetime(Duration),
}

/// The last order for a model.
#[derive(Debug, Clone, Copy)]
struct LastOrder {
    token: u64,
    sent_at: Instant,
    is_load: bool,
    /// The engine confirmed that it completed the order.
    done: bool,
}

impl LastOrder {
    /// Returns whether the order can't take effect any more once the engine has
    /// accepted a token. After an accepted unload only duplicates of it can
    /// arrive, and these change nothing.
    fn is_closed_by(&self, accepted: u64) -> bool {
        accepted > self.token || (!self.is_load && accepted == self.token)
    }
}

/// Memory and state of one model.
#[derive(Debug, Clone)]
pub struct LedgerEntry {
    /// Version; empty if the engine does not report it.
    pub version: Bytes,
    /// Memory in MiB; never less than what the engine reports.
    pub memory_mib: u64,
    /// State in the residency chart; never `Absent`.
    pub state: ResidencyState,
    /// Base model of an adapter; empty for a model or if unknown.
    pub base: ModelName,
    /// When the model began to drain.
    pub drain_since: Option<Instant>,
    order: Option<LastOrder>,
    /// When the last load was ordered.
    load_sent: Option<Instant>,
    /// The ledger's `change_count` at the last event of an order for the model.
    last_change: u64,
}

/// State of the ledger when the engine's state was requested.
#[derive(Debug, Clone, Copy)]
struct ReadStart {
    at: Instant,
    change_count: u64,
    acknowledged: u64,
}

/// The memory ledger of one endpoint.
#[derive(Debug)]
pub struct MemoryLedger {
    /// Memory for models in MiB, without the KV reserve.
    capacity_mib: u64,
    rule: FenceRule,
    chart: ResidencyChart,
    entries: BTreeMap<ModelName, LedgerEntry>,
    /// Incremented by each event of an order.
    change_count: u64,
    /// Highest token that the engine has accepted.
    acknowledged: u64,
    /// Token of the last order; each order has a higher one.
    last_token: u64,
    /// Start of the agent; orders of an earlier process may still be in flight.
    started: Instant,
    /// First token of this process; none before its first order.
    first_token: Option<u64>,
    /// An engine state was read after all orders of earlier processes closed.
    recovered: bool,
    pending_read: Option<ReadStart>,
}

impl MemoryLedger {
    /// Creates the ledger of an endpoint whose state is unknown.
    pub fn new(capacity_mib: u64, rule: FenceRule, now: Instant) -> Self {
        MemoryLedger {
            capacity_mib,
            rule,
            chart: residency_chart(),
            entries: BTreeMap::new(),
            change_count: 0,
            acknowledged: 0,
            last_token: 0,
            started: now,
            first_token: None,
            recovered: false,
            pending_read: None,
        }
    }

    /// Returns the memory for models in MiB.
    pub fn capacity_mib(&self) -> u64 {
        self.capacity_mib
    }

    /// Returns the memory that models occupy or may occupy, in MiB.
    pub fn committed_mib(&self) -> u64 {
        self.entries.values().map(|entry| entry.memory_mib).sum()
    }

    /// Returns the memory available for loads in MiB; 0 until the orders of
    /// earlier processes of the agent are closed.
    pub fn free_mib(&self) -> u64 {
        if !self.recovered {
            return 0;
        }
        self.capacity_mib.saturating_sub(self.committed_mib())
    }

    /// Returns whether memory may be allocated: a state was read after the
    /// orders of earlier processes closed.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Returns a model's entry.
    pub fn entry(&self, model: &ModelName) -> Option<&LedgerEntry> {
        self.entries.get(model)
    }

    /// Returns all entries by name.
    pub fn entries(&self) -> impl Iterator<Item = (&ModelName, &LedgerEntry)> {
        self.entries.iter()
    }

    /// Returns a model's state.
    pub fn state(&self, model: &ModelName) -> ResidencyState {
        let entry = self.entries.get(model);
        entry.map_or(ResidencyState::Absent, |entry| entry.state)
    }

    /// Allocates the token of the next order, at least the one from control.
    pub fn next_token(&mut self, control_token: u64) -> u64 {
        let token = control_token.max(self.acknowledged.max(self.last_token) + 1);
        self.last_token = token;
        self.first_token.get_or_insert(token);
        token
    }

    /// Returns whether an order with a higher token would close open orders.
    pub fn needs_fence(&self) -> bool {
        let open = |entry: &LedgerEntry| {
            entry.state == ResidencyState::Unsettled
                && entry
                    .order
                    .is_some_and(|order| !order.is_closed_by(self.acknowledged))
        };
        self.rule == FenceRule::Token && (!self.is_fenced() || self.entries.values().any(open))
    }

    /// Returns whether the engine has accepted an order of this process.
    fn is_fenced(&self) -> bool {
        self.first_token
            .is_some_and(|first| self.acknowledged >= first)
    }

    /// Records that the engine has accepted an order with a token.
    pub fn record_acknowledged(&mut self, token: u64) {
        self.change_count += 1;
        self.acknowledged = self.acknowledged.max(token);
    }

    /// Reserves the memory of a load that is about to be ordered.
    ///
    /// Returns false, and reserves nothing, if the memory does not suffice or
    /// the model has an entry already.
    pub fn begin_load(&mut self, now: Instant, load: &TargetModel, token: u64) -> bool {
        if self.entries.contains_key(&load.model) || load.memory_mib > self.free_mib() {
            return false;
        }
        self.change_count += 1;
        let entry = LedgerEntry {
            version: load.version.clone(),
            memory_mib: load.memory_mib,
            state: self.chart.initial(),
            base: load.base.clone(),
            drain_since: None,
            order: Some(LastOrder {
                token,
                sent_at: now,
                is_load: true,
                done: false,
            }),
            load_sent: Some(now),
            last_change: self.change_count,
        };
        self.entries.insert(load.model.clone(), entry);
        debug_assert!(self.committed_mib() <= self.capacity_mib);
        true
    }

    /// Records that an unload is about to be ordered.
    ///
    /// Returns false if the model is not draining.
    pub fn begin_unload(&mut self, now: Instant, model: &ModelName, token: u64) -> bool {
        if !self.apply_event(model, ResidencyEvent::Unload) {
            return false;
        }
        self.change_count += 1;
        if let Some(entry) = self.entries.get_mut(model) {
            entry.last_change = self.change_count;
            entry.order = Some(LastOrder {
                token,
                sent_at: now,
                is_load: false,
                done: false,
            });
        }
        true
    }

    /// Starts to drain a model before its unload.
    pub fn drain(&mut self, now: Instant, model: &ModelName) -> bool {
        let drained = self.apply_event(model, ResidencyEvent::Drain);
        if let Some(entry) = self.entries.get_mut(model).filter(|_| drained) {
            entry.drain_since = Some(now);
        }
        drained
    }

    /// Returns a draining model to service.
    pub fn recall(&mut self, model: &ModelName) -> bool {
        self.apply_event(model, ResidencyEvent::Recall)
    }

    /// Records the outcome of the last order for a model.
    pub fn record_outcome(&mut self, model: &ModelName, token: u64, outcome: OrderOutcome) {
        let current = self.entries.get(model).and_then(|entry| entry.order);
        if current.is_none_or(|order| order.token != token) {
            return;
        }
        let event = match outcome {
            OrderOutcome::Done => ResidencyEvent::OrderDone,
            OrderOutcome::Refused => ResidencyEvent::OrderRefused,
            OrderOutcome::Unknown => ResidencyEvent::OrderUnknown,
        };
        if outcome == OrderOutcome::Done {
            self.record_acknowledged(token);
        }
        self.apply_event(model, event);
        self.change_count += 1;
        if let Some(entry) = self.entries.get_mut(model) {
            entry.last_change = self.change_count;
            if let Some(order) = &mut entry.order {
                order.done = outcome == OrderOutcome::Done;
            }
        }
    }

    /// Records that the engine's state is being requested.
    pub fn begin_read(&mut self, now: Instant) {
        self.pending_read = Some(ReadStart {
            at: now,
            change_count: self.change_count,
            acknowledged: self.acknowledged,
        });
    }

    /// Applies the engine's response to the last read.
    pub fn apply_state(&mut self, state: &EngineState) {
        let Some(start) = self.pending_read.take() else {
            return;
        };
        if state.fencing < start.acknowledged {
            // The engine has restarted and lost its highest token.
            self.acknowledged = state.fencing;
            self.first_token = None;
            self.recovered = false;
        } else {
            self.acknowledged = self.acknowledged.max(state.fencing);
        }
        for model in &state.models {
            self.apply_reported(model, start, state.fencing);
        }
        self.apply_missing(state, start);
        self.recovered = self.recovered || self.earlier_orders_closed(start, state.fencing);
    }

    /// Returns whether no order of an earlier process could take effect any
    /// more when a read started.
    fn earlier_orders_closed(&self, start: ReadStart, fencing: u64) -> bool {
        match self.rule {
            FenceRule::Token => self
                .first_token
                .is_some_and(|first| start.acknowledged >= first && fencing >= first),
            FenceRule::Lifetime(lifetime) => start.at >= self.started + lifetime,
        }
    }

    fn apply_reported(&mut self, model: &ResidentModel, start: ReadStart, fencing: u64) {
        let observed = if model.ready {
            ResidencyEvent::SeenReady
        } else {
            ResidencyEvent::SeenLoading
        };
        let Some(entry) = self.entries.get_mut(&model.model) else {
            let state = if model.ready {
                ResidencyState::Resident
            } else {
                ResidencyState::Unsettled
            };
            self.insert_reported(model, state);
            return;
        };
        entry.memory_mib = entry.memory_mib.max(model.memory_mib);
        if entry.version.is_empty() {
            entry.version = model.version.clone();
        }
        let no_unload_ordered = entry.order.is_none_or(|order| order.is_load);
        if entry.last_change > start.change_count {
            return;
        }
        // A load whose result the engine reports can't take effect a second
        // time, so it need not be closed.
        if no_unload_ordered || self.is_closed(&model.model, start, fencing) {
            self.apply_event(&model.model, observed);
        }
    }

    fn insert_reported(&mut self, model: &ResidentModel, state: ResidencyState) {
        self.entries.insert(
            model.model.clone(),
            LedgerEntry {
                version: model.version.clone(),
                memory_mib: model.memory_mib,
                state,
                base: Bytes::new(),
                drain_since: None,
                order: None,
                load_sent: None,
                last_change: 0,
            },
        );
    }

    fn apply_missing(&mut self, state: &EngineState, start: ReadStart) {
        let is_reported = |name: &ModelName| state.models.iter().any(|model| model.model == *name);
        let missing: Vec<ModelName> = self
            .entries
            .iter()
            .filter(|(name, entry)| entry.last_change <= start.change_count && !is_reported(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            let closed = self.is_closed(&name, start, state.fencing);
            if closed || self.state(&name) != ResidencyState::Unsettled {
                self.apply_event(&name, ResidencyEvent::SeenAbsent);
            }
        }
    }

    /// Returns whether the orders for a model were closed when a read started.
    fn is_closed(&self, model: &ModelName, start: ReadStart, fencing: u64) -> bool {
        let Some(entry) = self.entries.get(model) else {
            return true;
        };
        let Some(order) = entry.order else {
            return true;
        };
        match self.rule {
            FenceRule::Token => order.is_closed_by(start.acknowledged.max(fencing)),
            FenceRule::Lifetime(lifetime) => {
                let is_expired = |sent_at: Instant| start.at >= sent_at + lifetime;
                entry.load_sent.is_none_or(is_expired) && (order.done || is_expired(order.sent_at))
            }
        }
    }

    /// Applies an event to a model by the chart; removes the entry of a model
    /// that becomes absent.
    fn apply_event(&mut self, model: &ModelName, event: ResidencyEvent) -> bool {
        let Some(entry) = self.entries.get_mut(model) else {
            return false;
        };
        let Some(next) = self.chart.next(entry.state, event) else {
            return false;
        };
        entry.state = next;
        if next != ResidencyState::Draining {
            entry.drain_since = None;
        }
        if next == ResidencyState::Absent {
            self.entries.remove(model);
        }
        true
    }
}
