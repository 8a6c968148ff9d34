//! Reconciles the models of an engine with the target set from control.
//!
//! Purpose: control sends the complete set of models that the endpoint should
//! have resident; this module compares it with the memory ledger and issues
//! the missing load and unload orders.
//!
//! Guarantees: a target set is applied only if its (term, revision) is higher
//! than that of the last one, so delayed and duplicate sets have no effect; a
//! model is unloaded only after it was removed from the announcement and its
//! requests ended; a load is ordered only after the ledger has reserved its
//! memory.
//!
//! Algorithm: level-triggered reconciliation: each pass compares the current
//! state with the target instead of reacting to changes, so that a lost order
//! is issued again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_wire::endpoint::{TargetModel, TargetOrder};

use crate::memory_ledger::{LedgerEntry, MemoryLedger, ModelName};
use crate::residency::ResidencyState;
use crate::{EngineOrder, EngineState, OrderId, OrderKind, OrderOutcome};

/// Time for which a draining model still accepts requests, so that entries with
/// a slightly outdated directory are served.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Minimum interval between two orders of the same kind for the same model.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which the outcome of an unanswered order counts as unknown.
const ORDER_TIMEOUT: Duration = Duration::from_secs(150);

/// Low bits of a fencing token, which count the orders of one incarnation.
const TOKEN_BITS: u32 = 24;

/// An order that the engine has not answered yet.
#[derive(Debug, Clone)]
struct PendingOrder {
    token: u64,
    sent_at: Instant,
    /// None for an order that changes the role or only raises the token.
    model: Option<ModelName>,
}

/// Reconciles one engine with its target set.
#[derive(Debug)]
pub struct OrderReconciler {
    ledger: MemoryLedger,
    /// Last target set applied; models by rank.
    target: Option<TargetOrder>,
    /// Fencing token of the endpoint's registration; 0 before it.
    registration_token: u64,
    /// Unanswered orders.
    pending: BTreeMap<OrderId, PendingOrder>,
    next_order: OrderId,
    /// Earliest time of the next order by model; the empty name stands for role
    /// changes.
    not_before: BTreeMap<ModelName, Instant>,
}

impl OrderReconciler {
    /// Creates a reconciler that has no target set.
    pub fn new(ledger: MemoryLedger) -> Self {
        OrderReconciler {
            ledger,
            target: None,
            registration_token: 0,
            pending: BTreeMap::new(),
            next_order: 1,
            not_before: BTreeMap::new(),
        }
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Returns the ledger for events other than orders.
    pub fn ledger_mut(&mut self) -> &mut MemoryLedger {
        &mut self.ledger
    }

    /// Returns term and revision of the last target set applied.
    pub fn target_version(&self) -> (u64, u64) {
        let target = self.target.as_ref();
        target.map_or((0, 0), |target| (target.term, target.revision))
    }

    /// Applies a target set; returns false if it is not newer than the last one.
    pub fn apply_target(&mut self, mut target: TargetOrder) -> bool {
        if self.target.is_some() && (target.term, target.revision) <= self.target_version() {
            return false;
        }
        target.models.sort_by_key(|model| model.rank);
        self.target = Some(target);
        true
    }

    /// Applies the fencing token of the endpoint's registration.
    pub fn apply_registration(&mut self, fencing: u64) {
        self.registration_token = self.registration_token.max(fencing);
    }

    /// Returns the KV cache of one request of a model in MiB.
    pub fn kv_mib(&self, model: &ModelName) -> u64 {
        let target = self.target.iter().flat_map(|target| &target.models);
        let mut matching = target.filter(|item| item.model == *model);
        matching.next().map_or(0, |item| item.kv_mib)
    }

    /// Returns whether a model accepts new requests.
    pub fn accepts_requests(&self, now: Instant, model: &ModelName) -> bool {
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

    /// Handles the end of an order; returns whether it was pending.
    pub fn handle_order_end(
        &mut self,
        now: Instant,
        order: OrderId,
        outcome: OrderOutcome,
    ) -> bool {
        let Some(pending) = self.pending.remove(&order) else {
            return false;
        };
        if outcome != OrderOutcome::Done {
            let model = pending.model.clone().unwrap_or_default();
            self.not_before.insert(model, now + RETRY_DELAY);
        }
        match pending.model {
            Some(model) => self.ledger.record_outcome(&model, pending.token, outcome),
            None if outcome == OrderOutcome::Done => self.ledger.record_acknowledged(pending.token),
            None => {}
        }
        true
    }

    /// Returns the orders that bring the engine closer to the target set.
    ///
    /// `in_use` counts a model's waiting and running requests.
    pub fn reconcile(
        &mut self,
        now: Instant,
        state: &EngineState,
        in_use: impl Fn(&ModelName) -> usize,
    ) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        self.expire_unanswered(now);
        let Some(target) = self.target.take() else {
            return orders;
        };
        if self.registration_token > 0 {
            self.reconcile_role(now, state, &target, &mut orders);
            self.reconcile_unloads(now, &target, in_use, &mut orders);
            self.reconcile_loads(now, &target, &mut orders);
        }
        self.target = Some(target);
        orders
    }

    fn expire_unanswered(&mut self, now: Instant) {
        let timed_out = |pending: &PendingOrder| now >= pending.sent_at + ORDER_TIMEOUT;
        let pending = self.pending.iter();
        let orders: Vec<OrderId> = pending
            .filter(|item| timed_out(item.1))
            .map(|i| *i.0)
            .collect();
        for order in orders {
            self.handle_order_end(now, order, OrderOutcome::Unknown);
        }
    }

    /// Orders a change of the engine's role, or its current role again if only
    /// the token that the engine checks must be raised.
    fn reconcile_role(
        &mut self,
        now: Instant,
        state: &EngineState,
        target: &TargetOrder,
        orders: &mut Vec<EngineOrder>,
    ) {
        let in_progress = self.pending.values().any(|pending| pending.model.is_none());
        let change = !target.engine_role.is_empty() && target.engine_role != state.role;
        let needed = change || self.ledger.needs_fence();
        if in_progress || !needed || !self.may_retry(now, &Bytes::new()) {
            return;
        }
        let role = if change {
            target.engine_role.clone()
        } else {
            state.role.clone()
        };
        let token = self.next_token();
        self.not_before.insert(Bytes::new(), now + RETRY_DELAY);
        orders.push(self.create_order(now, token, None, OrderKind::ChangeRole { role }));
    }

    fn reconcile_unloads(
        &mut self,
        now: Instant,
        target: &TargetOrder,
        in_use: impl Fn(&ModelName) -> usize,
        orders: &mut Vec<EngineOrder>,
    ) {
        let names: Vec<ModelName> = self.ledger.entries().map(|item| item.0.clone()).collect();
        for model in names {
            let needed = self.is_in_target(&model, target);
            match self.ledger.state(&model) {
                ResidencyState::Resident if !needed => {
                    self.ledger.drain(now, &model);
                }
                ResidencyState::Draining if needed => {
                    self.ledger.recall(&model);
                }
                ResidencyState::Draining if in_use(&model) == 0 => {
                    self.try_unload(now, &model, orders);
                }
                _ => {}
            }
        }
    }

    fn try_unload(&mut self, now: Instant, model: &ModelName, orders: &mut Vec<EngineOrder>) {
        let blocked = self.accepts_requests(now, model) || self.has_adapter(model);
        if blocked || !self.may_retry(now, model) {
            return;
        }
        let token = self.next_token();
        if self.ledger.begin_unload(now, model, token) {
            let kind = OrderKind::Unload {
                model: model.clone(),
            };
            orders.push(self.create_order(now, token, Some(model.clone()), kind));
        }
    }

    /// Returns whether an adapter of a model still occupies memory.
    fn has_adapter(&self, model: &ModelName) -> bool {
        self.ledger.entries().any(|(_, entry)| entry.base == *model)
    }

    fn reconcile_loads(
        &mut self,
        now: Instant,
        target: &TargetOrder,
        orders: &mut Vec<EngineOrder>,
    ) {
        let permits = target.load_permits.max(1) as usize;
        for item in &target.models {
            let loading = |entry: &LedgerEntry| entry.state == ResidencyState::Loading;
            let in_progress = self.ledger.entries().filter(|e| loading(e.1)).count();
            if in_progress >= permits {
                return;
            }
            self.try_load(now, item, orders);
        }
    }

    fn try_load(&mut self, now: Instant, item: &TargetModel, orders: &mut Vec<EngineOrder>) {
        let is_base_resident =
            item.base.is_empty() || self.ledger.state(&item.base) == ResidencyState::Resident;
        let is_absent = self.ledger.state(&item.model) == ResidencyState::Absent;
        let fits = item.memory_mib <= self.ledger.free_mib();
        if !is_base_resident || !is_absent || !fits || !self.may_retry(now, &item.model) {
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
            orders.push(self.create_order(now, token, Some(item.model.clone()), kind));
        }
    }

    fn is_in_target(&self, model: &ModelName, target: &TargetOrder) -> bool {
        let Some(item) = target.models.iter().find(|item| item.model == *model) else {
            return false;
        };
        let version = self.ledger.entry(model).map(|entry| &entry.version);
        version.is_none_or(|version| {
            version.is_empty() || item.version.is_empty() || *version == item.version
        })
    }

    fn may_retry(&mut self, now: Instant, model: &ModelName) -> bool {
        match self.not_before.get(model) {
            Some(at) if *at > now => false,
            _ => {
                self.not_before.remove(model);
                true
            }
        }
    }

    fn next_token(&mut self) -> u64 {
        self.ledger
            .next_token(self.registration_token << TOKEN_BITS)
    }

    fn create_order(
        &mut self,
        now: Instant,
        token: u64,
        model: Option<ModelName>,
        kind: OrderKind,
    ) -> EngineOrder {
        let order = self.next_order;
        self.next_order += 1;
        let pending = PendingOrder {
            token,
            model,
            sent_at: now,
        };
        self.pending.insert(order, pending);
        EngineOrder {
            order,
            fencing: token,
            kind,
        }
    }
}
