//! Turns target sets into orders to the engine.
//!
//! Purpose: control orders the whole set of models that the endpoint is to
//! hold; this module compares it with the memory ledger and gives the load and
//! unload orders that are missing.
//!
//! Guarantees: a set is taken in only if its (term, revision) is higher than
//! that of the last one, so late and repeated sets change nothing; a model is
//! unloaded only after it left the announcement and its requests ended; a load
//! is ordered only when the ledger has reserved its memory.
//!
//! Algorithm: level-triggered reconciliation: each step looks at the state as
//! it is and not at what changed, so that a lost order is given again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::endpoint::{TargetModel, TargetOrder};

use crate::memory_ledger::{LedgerEntry, MemoryLedger, ModelName};
use crate::residency::ResidencyState;
use crate::{EngineOrder, EngineState, OrderId, OrderKind, OrderOutcome};

/// Time for which a draining model still takes requests, so that entries
/// whose directory is a little behind are served.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Time between two orders of the same kind for the same model.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which an order without an answer counts as unknown.
const ANSWER_LIMIT: Duration = Duration::from_secs(150);

/// Bits of a fencing token that count the orders of one incarnation.
const TOKEN_BITS: u32 = 24;

/// What an order in flight is about.
#[derive(Debug, Clone)]
struct SentOrder {
    token: u64,
    at: Instant,
    /// None for an order that changes the role or only raises the token.
    model: Option<ModelName>,
}

/// Reconciles one engine with its target set.
#[derive(Debug)]
pub struct OrderReconciler {
    ledger: MemoryLedger,
    /// Last set taken in; models by rank.
    target: Option<TargetOrder>,
    /// Fencing token of the endpoint's registration; 0 before it.
    registration: u64,
    /// Orders without an answer.
    sent: BTreeMap<OrderId, SentOrder>,
    next_order: OrderId,
    /// Earliest next order by model; the empty name is for role changes.
    retry: BTreeMap<ModelName, Instant>,
}

impl OrderReconciler {
    /// Creates a reconciler that has no target set.
    pub fn new(ledger: MemoryLedger) -> Self {
        OrderReconciler {
            ledger,
            target: None,
            registration: 0,
            sent: BTreeMap::new(),
            next_order: 1,
            retry: BTreeMap::new(),
        }
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Returns the ledger for events that are not about orders.
    pub fn ledger_mut(&mut self) -> &mut MemoryLedger {
        &mut self.ledger
    }

    /// Returns term and revision of the last set taken in.
    pub fn confirmed(&self) -> (u64, u64) {
        let target = self.target.as_ref();
        target.map_or((0, 0), |target| (target.term, target.revision))
    }

    /// Takes a set in; false for one that is not newer than the last.
    pub fn take_target(&mut self, mut target: TargetOrder) -> bool {
        if self.target.is_some() && (target.term, target.revision) <= self.confirmed() {
            return false;
        }
        target.models.sort_by_key(|model| model.rank);
        self.target = Some(target);
        true
    }

    /// Takes the fencing token of the endpoint's registration.
    pub fn take_registration(&mut self, fencing: u64) {
        self.registration = self.registration.max(fencing);
    }

    /// Returns the KV cache of one request of a model in MiB.
    pub fn kv_mib(&self, model: &ModelName) -> u64 {
        let target = self.target.iter().flat_map(|target| &target.models);
        let mut named = target.filter(|item| item.model == *model);
        named.next().map_or(0, |item| item.kv_mib)
    }

    /// Tells whether a model takes new requests.
    pub fn takes_requests(&self, now: Instant, model: &ModelName) -> bool {
        let Some(entry) = self.ledger.entry(model) else {
            return false;
        };
        let in_grace = || {
            let since = entry.drain_since;
            since.is_some_and(|since| now < since + DRAIN_GRACE)
        };
        match entry.state {
            ResidencyState::Resident => true,
            ResidencyState::Draining => in_grace(),
            _ => false,
        }
    }

    /// Notes how an order ended; tells whether it was in flight.
    pub fn end_order(&mut self, now: Instant, order: OrderId, outcome: OrderOutcome) -> bool {
        let Some(sent) = self.sent.remove(&order) else {
            return false;
        };
        if outcome != OrderOutcome::Done {
            let model = sent.model.clone().unwrap_or_default();
            self.retry.insert(model, now + RETRY_DELAY);
        }
        match sent.model {
            Some(model) => self.ledger.end_order(&model, sent.token, outcome),
            None if outcome == OrderOutcome::Done => self.ledger.acknowledge(sent.token),
            None => {}
        }
        true
    }

    /// Gives the orders that are missing.
    ///
    /// `in_use` counts a model's waiting and running requests.
    pub fn step(
        &mut self,
        now: Instant,
        state: &EngineState,
        in_use: impl Fn(&ModelName) -> usize,
    ) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        self.give_up_unanswered(now);
        let Some(target) = self.target.take() else {
            return orders;
        };
        if self.registration > 0 {
            self.order_role(now, state, &target, &mut orders);
            self.order_unloads(now, &target, in_use, &mut orders);
            self.order_loads(now, &target, &mut orders);
        }
        self.target = Some(target);
        orders
    }

    fn give_up_unanswered(&mut self, now: Instant) {
        let late = |sent: &SentOrder| now >= sent.at + ANSWER_LIMIT;
        let sent = self.sent.iter();
        let orders: Vec<OrderId> = sent.filter(|item| late(item.1)).map(|i| *i.0).collect();
        for order in orders {
            self.end_order(now, order, OrderOutcome::Unknown);
        }
    }

    /// Changes the engine's role, or repeats the one in force to raise the
    /// token that the engine checks.
    fn order_role(
        &mut self,
        now: Instant,
        state: &EngineState,
        target: &TargetOrder,
        orders: &mut Vec<EngineOrder>,
    ) {
        let in_flight = self.sent.values().any(|sent| sent.model.is_none());
        let change = !target.engine_role.is_empty() && target.engine_role != state.role;
        let wanted = change || self.ledger.needs_fence();
        if in_flight || !wanted || !self.may_retry(now, &Bytes::new()) {
            return;
        }
        let role = if change {
            target.engine_role.clone()
        } else {
            state.role.clone()
        };
        let token = self.next_token();
        self.retry.insert(Bytes::new(), now + RETRY_DELAY);
        orders.push(self.send(now, token, None, OrderKind::ChangeRole { role }));
    }

    fn order_unloads(
        &mut self,
        now: Instant,
        target: &TargetOrder,
        in_use: impl Fn(&ModelName) -> usize,
        orders: &mut Vec<EngineOrder>,
    ) {
        let names: Vec<ModelName> = self.ledger.entries().map(|item| item.0.clone()).collect();
        for model in names {
            let wanted = self.is_wanted(&model, target);
            match self.ledger.state(&model) {
                ResidencyState::Resident if !wanted => {
                    self.ledger.drain(now, &model);
                }
                ResidencyState::Draining if wanted => {
                    self.ledger.recall(&model);
                }
                ResidencyState::Draining if in_use(&model) == 0 => {
                    self.order_unload(now, &model, orders);
                }
                _ => {}
            }
        }
    }

    fn order_unload(&mut self, now: Instant, model: &ModelName, orders: &mut Vec<EngineOrder>) {
        let waits = self.takes_requests(now, model) || self.has_adapter(model);
        if waits || !self.may_retry(now, model) {
            return;
        }
        let token = self.next_token();
        if self.ledger.begin_unload(now, model, token) {
            let kind = OrderKind::Unload {
                model: model.clone(),
            };
            orders.push(self.send(now, token, Some(model.clone()), kind));
        }
    }

    /// Tells whether an adapter of a model still has memory.
    fn has_adapter(&self, model: &ModelName) -> bool {
        self.ledger.entries().any(|(_, entry)| entry.base == *model)
    }

    fn order_loads(&mut self, now: Instant, target: &TargetOrder, orders: &mut Vec<EngineOrder>) {
        let permits = target.load_permits.max(1) as usize;
        for item in &target.models {
            let loading = |entry: &LedgerEntry| entry.state == ResidencyState::Loading;
            let in_flight = self.ledger.entries().filter(|e| loading(e.1)).count();
            if in_flight >= permits {
                return;
            }
            self.order_load(now, item, orders);
        }
    }

    fn order_load(&mut self, now: Instant, item: &TargetModel, orders: &mut Vec<EngineOrder>) {
        let has_base =
            item.base.is_empty() || self.ledger.state(&item.base) == ResidencyState::Resident;
        let absent = self.ledger.state(&item.model) == ResidencyState::Absent;
        let fits = item.memory_mib <= self.ledger.free_mib();
        if !has_base || !absent || !fits || !self.may_retry(now, &item.model) {
            return;
        }
        let token = self.next_token();
        if self.ledger.begin_load(now, item, token) {
            let kind = OrderKind::Load {
                model: item.model.clone(),
                version: item.version.clone(),
                base: item.base.clone(),
                memory_mib: item.memory_mib,
            };
            orders.push(self.send(now, token, Some(item.model.clone()), kind));
        }
    }

    fn is_wanted(&self, model: &ModelName, target: &TargetOrder) -> bool {
        let Some(item) = target.models.iter().find(|item| item.model == *model) else {
            return false;
        };
        let version = self.ledger.entry(model).map(|entry| &entry.version);
        version.is_none_or(|version| {
            version.is_empty() || item.version.is_empty() || *version == item.version
        })
    }

    fn may_retry(&mut self, now: Instant, model: &ModelName) -> bool {
        match self.retry.get(model) {
            Some(at) if *at > now => false,
            _ => {
                self.retry.remove(model);
                true
            }
        }
    }

    fn next_token(&mut self) -> u64 {
        self.ledger.next_token(self.registration << TOKEN_BITS)
    }

    fn send(
        &mut self,
        now: Instant,
        token: u64,
        model: Option<ModelName>,
        kind: OrderKind,
    ) -> EngineOrder {
        let order = self.next_order;
        self.next_order += 1;
        let sent = SentOrder {
            token,
            model,
            at: now,
        };
        self.sent.insert(order, sent);
        EngineOrder {
            order,
            fencing: token,
            kind,
        }
    }
}
