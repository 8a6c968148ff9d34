//! The agent's account of its endpoint's accelerator memory.
//!
//! Purpose: decides whether a model may be loaded, from what the agent ordered
//! and what the engine's own state confirms.
//!
//! Guarantees: the memory of all models that are resident, loading, unloading
//! or of unknown fate, and the KV reserve, never exceed the capacity by an
//! order of this agent. An order that got no answer keeps its memory until no
//! order can take effect any more and the engine's state, read after that
//! moment, shows what became of it.
//!
//! Algorithm: each order carries a fencing token higher than any before. An
//! engine that checks tokens refuses an order once it has taken one with a
//! higher token, so an order is *closed* when the engine has acknowledged a
//! higher token. At other engines an order is closed when its longest lifetime
//! has passed. (Fencing: Kleppmann, "How to do distributed locking", 2016.)

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::endpoint::TargetModel;

use crate::residency::{residency_chart, ResidencyChart, ResidencyEvent, ResidencyState};
use crate::{EngineState, OrderOutcome, ResidentModel};

/// Name of a model or an adapter.
pub type ModelName = Bytes;

/// How orders that got no answer are ruled out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceRule {
    /// The engine refuses an order with an older token.
    Token,
    /// An order can take effect for this long.
    Lifetime(Duration),
}

/// The last order for a model.
#[derive(Debug, Clone, Copy)]
struct LastOrder {
    token: u64,
    sent: Instant,
    load: bool,
    /// The engine answered that it has done the order.
    done: bool,
}

impl LastOrder {
    /// Tells whether the order can't take effect any more once the engine has
    /// taken a token; an unload that was taken can only be repeated.
    fn is_closed_by(&self, taken: u64) -> bool {
        taken > self.token || (!self.load && taken == self.token)
    }
}

/// A model's memory.
#[derive(Debug, Clone)]
pub struct LedgerEntry {
    /// Version; empty where the engine does not tell it.
    pub version: Bytes,
    /// Never less than what the engine reports, in MiB.
    pub memory_mib: u64,
    /// State by the residency chart; never `Absent`.
    pub state: ResidencyState,
    /// Base model of an adapter; empty where it is not known.
    pub base: ModelName,
    /// When the model began to drain.
    pub drain_since: Option<Instant>,
    order: Option<LastOrder>,
    /// When the last load was ordered.
    load_sent: Option<Instant>,
    /// Count of the ledger's changes at the last event of an order.
    touched: u64,
}

/// What the ledger knew when the engine's state was asked for.
#[derive(Debug, Clone, Copy)]
struct ReadMark {
    at: Instant,
    changes: u64,
    acknowledged: u64,
}

/// The ledger of one endpoint.
#[derive(Debug)]
pub struct MemoryLedger {
    /// Memory for models in MiB: without the KV reserve.
    capacity_mib: u64,
    rule: FenceRule,
    chart: ResidencyChart,
    entries: BTreeMap<ModelName, LedgerEntry>,
    /// Rises with each event of an order.
    changes: u64,
    /// Highest token that the engine has taken.
    acknowledged: u64,
    /// Token of the last order; each order has a higher one.
    last_token: u64,
    /// Start of the agent; orders of an earlier run may be on their way.
    started: Instant,
    /// Token from which orders are of this run; none before the first one.
    first_token: Option<u64>,
    /// An engine state has been read after all orders of earlier runs closed.
    settled: bool,
    read: Option<ReadMark>,
}

impl MemoryLedger {
    /// Creates the ledger of an endpoint whose state is not known.
    pub fn new(capacity_mib: u64, rule: FenceRule, now: Instant) -> Self {
        MemoryLedger {
            capacity_mib,
            rule,
            chart: residency_chart(),
            entries: BTreeMap::new(),
            changes: 0,
            acknowledged: 0,
            last_token: 0,
            started: now,
            first_token: None,
            settled: false,
            read: None,
        }
    }

    /// Returns the memory for models in MiB.
    pub fn capacity_mib(&self) -> u64 {
        self.capacity_mib
    }

    /// Returns the memory that models have or may have, in MiB.
    pub fn committed_mib(&self) -> u64 {
        self.entries.values().map(|entry| entry.memory_mib).sum()
    }

    /// Returns the memory that a load may take, in MiB; none until the orders
    /// of earlier runs of the agent are closed.
    pub fn free_mib(&self) -> u64 {
        if !self.settled {
            return 0;
        }
        self.capacity_mib.saturating_sub(self.committed_mib())
    }

    /// Tells whether memory may be given out.
    pub fn is_settled(&self) -> bool {
        self.settled
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

    /// Returns the token of the next order, given the one that control gave.
    pub fn next_token(&mut self, control_token: u64) -> u64 {
        let token = control_token.max(self.acknowledged.max(self.last_token) + 1);
        self.last_token = token;
        self.first_token.get_or_insert(token);
        token
    }

    /// Tells whether an order with a higher token would close open orders.
    pub fn needs_fence(&self) -> bool {
        let open = |entry: &LedgerEntry| {
            entry.state == ResidencyState::Unsettled
                && entry
                    .order
                    .is_some_and(|order| !order.is_closed_by(self.acknowledged))
        };
        self.rule == FenceRule::Token && (!self.is_fenced() || self.entries.values().any(open))
    }

    /// Tells whether the engine has taken an order of this run.
    fn is_fenced(&self) -> bool {
        self.first_token
            .is_some_and(|first| self.acknowledged >= first)
    }

    /// Notes that the engine has taken an order with a token.
    pub fn acknowledge(&mut self, token: u64) {
        self.changes += 1;
        self.acknowledged = self.acknowledged.max(token);
    }

    /// Reserves the memory of a load that is about to be ordered.
    ///
    /// Returns false, and reserves nothing, where it does not fit.
    pub fn begin_load(&mut self, now: Instant, load: &TargetModel, token: u64) -> bool {
        if self.entries.contains_key(&load.model) || load.memory_mib > self.free_mib() {
            return false;
        }
        self.changes += 1;
        let entry = LedgerEntry {
            version: load.version.clone(),
            memory_mib: load.memory_mib,
            state: self.chart.initial(),
            base: load.base.clone(),
            drain_since: None,
            order: Some(LastOrder {
                token,
                sent: now,
                load: true,
                done: false,
            }),
            load_sent: Some(now),
            touched: self.changes,
        };
        self.entries.insert(load.model.clone(), entry);
        debug_assert!(self.committed_mib() <= self.capacity_mib);
        true
    }

    /// Notes that an unload is about to be ordered.
    ///
    /// Returns false where the model is not drained.
    pub fn begin_unload(&mut self, now: Instant, model: &ModelName, token: u64) -> bool {
        if !self.apply(model, ResidencyEvent::Unload) {
            return false;
        }
        self.changes += 1;
        if let Some(entry) = self.entries.get_mut(model) {
            entry.touched = self.changes;
            entry.order = Some(LastOrder {
                token,
                sent: now,
                load: false,
                done: false,
            });
        }
        true
    }

    /// Takes a model out of service before its unload.
    pub fn drain(&mut self, now: Instant, model: &ModelName) -> bool {
        let drained = self.apply(model, ResidencyEvent::Drain);
        if let Some(entry) = self.entries.get_mut(model).filter(|_| drained) {
            entry.drain_since = Some(now);
        }
        drained
    }

    /// Takes a draining model back into service.
    pub fn recall(&mut self, model: &ModelName) -> bool {
        self.apply(model, ResidencyEvent::Recall)
    }

    /// Notes how the last order for a model ended.
    pub fn end_order(&mut self, model: &ModelName, token: u64, outcome: OrderOutcome) {
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
            self.acknowledge(token);
        }
        self.apply(model, event);
        self.changes += 1;
        if let Some(entry) = self.entries.get_mut(model) {
            entry.touched = self.changes;
            if let Some(order) = &mut entry.order {
                order.done = outcome == OrderOutcome::Done;
            }
        }
    }

    /// Notes that the engine is being asked for its state.
    pub fn begin_read(&mut self, now: Instant) {
        self.read = Some(ReadMark {
            at: now,
            changes: self.changes,
            acknowledged: self.acknowledged,
        });
    }

    /// Takes the engine's answer to the last read.
    pub fn take_state(&mut self, state: &EngineState) {
        let Some(mark) = self.read.take() else {
            return;
        };
        if state.fencing < mark.acknowledged {
            // The engine has restarted and forgotten the tokens.
            self.acknowledged = state.fencing;
            self.first_token = None;
            self.settled = false;
        } else {
            self.acknowledged = self.acknowledged.max(state.fencing);
        }
        for model in &state.models {
            self.see_model(model, mark, state.fencing);
        }
        self.see_absent(state, mark);
        self.settled = self.settled || self.orders_closed(mark, state.fencing);
    }

    /// Tells whether no order of an earlier run could take effect at a read.
    fn orders_closed(&self, mark: ReadMark, fencing: u64) -> bool {
        match self.rule {
            FenceRule::Token => self
                .first_token
                .is_some_and(|first| mark.acknowledged >= first && fencing >= first),
            FenceRule::Lifetime(lifetime) => mark.at >= self.started + lifetime,
        }
    }

    fn see_model(&mut self, model: &ResidentModel, mark: ReadMark, fencing: u64) {
        let seen = if model.ready {
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
            self.insert_found(model, state);
            return;
        };
        entry.memory_mib = entry.memory_mib.max(model.memory_mib);
        if entry.version.is_empty() {
            entry.version = model.version.clone();
        }
        let by_load = entry.order.is_none_or(|order| order.load);
        if entry.touched > mark.changes {
            return;
        }
        // A load that is seen to have ended can't end once more.
        if by_load || self.is_closed(&model.model, mark, fencing) {
            self.apply(&model.model, seen);
        }
    }

    fn insert_found(&mut self, model: &ResidentModel, state: ResidencyState) {
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
                touched: 0,
            },
        );
    }

    fn see_absent(&mut self, state: &EngineState, mark: ReadMark) {
        let shown = |name: &ModelName| state.models.iter().any(|model| model.model == *name);
        let missing: Vec<ModelName> = self
            .entries
            .iter()
            .filter(|(name, entry)| entry.touched <= mark.changes && !shown(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            let closed = self.is_closed(&name, mark, state.fencing);
            if closed || self.state(&name) != ResidencyState::Unsettled {
                self.apply(&name, ResidencyEvent::SeenAbsent);
            }
        }
    }

    /// Tells whether the orders for a model were closed at a read.
    fn is_closed(&self, model: &ModelName, mark: ReadMark, fencing: u64) -> bool {
        let Some(entry) = self.entries.get(model) else {
            return true;
        };
        let Some(order) = entry.order else {
            return true;
        };
        match self.rule {
            FenceRule::Token => order.is_closed_by(mark.acknowledged.max(fencing)),
            FenceRule::Lifetime(lifetime) => {
                let past = |sent: Instant| mark.at >= sent + lifetime;
                entry.load_sent.is_none_or(past) && (order.done || past(order.sent))
            }
        }
    }

    /// Moves a model by the chart; an absent one is forgotten.
    fn apply(&mut self, model: &ModelName, event: ResidencyEvent) -> bool {
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
