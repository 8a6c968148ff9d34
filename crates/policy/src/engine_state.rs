//! One engine as the placement by demand knows it: what it says that it holds, and
//! the orders that its word does not show yet.
//!
//! Guarantees: what an order may take counts from the order on, what it frees
//! only once the engine says so.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::demand_types::{EngineReport, EngineSpec, OrderAnswer, OrderVerb, PlacementOrder};
use crate::placement_types::ModelName;

/// Time after which an order that was given up counts no more.
pub(crate) const ORDER_LIFETIME: Duration = Duration::from_millis(12_500);

/// Time after which an accepted order counts as settled by what the engine
/// says, two of its heartbeats and a margin.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Age of an engine's inventory: it shows what was some hundred milliseconds
/// before.
pub(crate) const INVENTORY_LAG: Duration = Duration::from_millis(450);

/// Times its usual length after which a load counts as failed.
pub(crate) const LOAD_PATIENCE: u32 = 4;

/// Costs of loads by where the weights are, in pressure: about a second for
/// each unit.
const MEMORY_COST: f64 = 0.1;
const DISK_COST: f64 = 0.3;
const STORE_COST: f64 = 1.0;

#[derive(Debug, Clone)]
pub(crate) struct OpenOrder {
    pub(crate) order: PlacementOrder,
    pub(crate) answer: Option<OrderAnswer>,
    /// When it stops counting whatever was heard.
    pub(crate) until: Instant,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct EngineState {
    pub(crate) report: EngineReport,
    /// When each model came to be held.
    pub(crate) since: BTreeMap<ModelName, Instant>,
    pub(crate) open: Vec<OpenOrder>,
    /// Until then no idle model gets the room that was made.
    pub(crate) promised: Option<Instant>,
    /// Orders that it has accepted; none while that is in doubt.
    pub(crate) orders: Option<u64>,
    /// When its inventory is asked for next; none while `orders` is known.
    pub(crate) ask_at: Option<Instant>,
}

impl EngineState {
    /// Tells whether it loads a model without the weight store.
    pub(crate) fn is_at_hand(&self, model: &ModelName) -> bool {
        self.report.in_memory.contains(model) || self.report.on_disk.contains(model)
    }

    /// Returns what a load costs beside the one that goes, in pressure.
    pub(crate) fn load_cost(&self, model: &ModelName) -> f64 {
        if self.report.in_memory.contains(model) {
            MEMORY_COST
        } else if self.report.on_disk.contains(model) {
            DISK_COST
        } else {
            STORE_COST
        }
    }

    pub(crate) fn loads(&self) -> impl Iterator<Item = &PlacementOrder> {
        let open = self.open.iter().map(|open| &open.order);
        open.filter(|order| order.verb == OrderVerb::Load)
    }

    pub(crate) fn unloads(&self) -> impl Iterator<Item = &PlacementOrder> {
        let open = self.open.iter().map(|open| &open.order);
        open.filter(|order| order.verb == OrderVerb::Unload)
    }

    /// Tells whether the report lists a model, or an adapter of it.
    pub(crate) fn lists(&self, model: &ModelName, adapter: &ModelName) -> bool {
        let held = self.report.models.get(model);
        held.is_some_and(|adapters| adapter.is_empty() || adapters.contains(adapter))
    }

    pub(crate) fn is_leaving(&self, model: &ModelName) -> bool {
        self.unloads()
            .any(|order| order.model == *model && order.adapter.is_empty())
    }

    pub(crate) fn will_hold(&self, model: &ModelName) -> bool {
        let held = self.report.models.contains_key(model) && !self.is_leaving(model);
        let mut loads = self.loads();
        held || loads.any(|order| order.model == *model && order.adapter.is_empty())
    }

    pub(crate) fn will_hold_adapter(&self, model: &ModelName, adapter: &ModelName) -> bool {
        let held = self.report.models.get(model);
        let held = held.is_some_and(|adapters| adapters.contains(adapter));
        let named = |order: &&PlacementOrder| order.model == *model && order.adapter == *adapter;
        (held && self.unloads().find(named).is_none()) || self.loads().find(named).is_some()
    }

    pub(crate) fn is_promised(&self, now: Instant) -> bool {
        self.promised.is_some_and(|until| until > now)
    }

    pub(crate) fn has_model_order(&self) -> bool {
        self.open.iter().any(|open| open.order.adapter.is_empty())
    }

    pub(crate) fn has_adapter_unload(&self) -> bool {
        self.unloads().any(|order| !order.adapter.is_empty())
    }

    pub(crate) fn adapters(&self) -> Vec<(ModelName, ModelName)> {
        let held = self.report.models.iter();
        let held = held.flat_map(|(model, adapters)| {
            let names = adapters.iter();
            names.map(|name| (model.clone(), name.clone()))
        });
        held.collect()
    }

    /// Tells whether it may be ordered: what it holds is certain and no order
    /// awaits its answer.
    pub(crate) fn takes_orders(&self) -> bool {
        let unanswered = self.open.iter().any(|open| open.answer.is_none());
        self.report.is_usable && self.orders.is_some() && !unanswered
    }

    pub(crate) fn count_order(&mut self) {
        self.orders = self.orders.map(|orders| orders + 1);
    }

    /// Notes that it is not certain what it has accepted.
    pub(crate) fn doubt(&mut self, now: Instant) {
        self.orders = None;
        self.ask_at = Some(now + INVENTORY_LAG);
    }

    /// Counts adapters that are being loaded.
    pub(crate) fn in_transit(&self) -> usize {
        let loads = self
            .loads()
            .filter(|order| !order.adapter.is_empty() && !self.lists(&order.model, &order.adapter));
        loads.count()
    }

    /// Counts the places that adapters take or may take: an adapter that is
    /// loaded or unloaded has its place, whether it is listed or not.
    pub(crate) fn adapter_count(&self) -> usize {
        let held: usize = self.report.models.values().map(BTreeSet::len).sum();
        let open = self.open.iter().map(|open| &open.order);
        let unlisted = open
            .filter(|order| !order.adapter.is_empty() && !self.lists(&order.model, &order.adapter));
        held + unlisted.count()
    }

    /// Ends the loads of an adapter that is unloaded.
    pub(crate) fn end_loads_before(&mut self, order: &PlacementOrder) {
        if order.verb == OrderVerb::Unload && !order.adapter.is_empty() {
            self.open.retain(|open| {
                let same = open.order.model == order.model && open.order.adapter == order.adapter;
                !same || open.order.number >= order.number
            });
        }
    }

    pub(crate) fn note_held(&mut self, order: &PlacementOrder, now: Instant) {
        let models = &mut self.report.models;
        match (order.verb, order.adapter.is_empty()) {
            (OrderVerb::Load, true) => {
                models.entry(order.model.clone()).or_default();
                self.since.insert(order.model.clone(), now);
            }
            (OrderVerb::Load, false) => {
                let adapters = models.entry(order.model.clone()).or_default();
                adapters.insert(order.adapter.clone());
            }
            (OrderVerb::Unload, true) => {
                models.remove(&order.model);
                self.since.remove(&order.model);
            }
            (OrderVerb::Unload, false) => {
                if let Some(adapters) = models.get_mut(&order.model) {
                    adapters.remove(&order.adapter);
                }
            }
        }
    }
}

/// Tells whether an order no longer counts beside what the engine says.
pub(crate) fn is_settled(
    now: Instant,
    open: &OpenOrder,
    report: &EngineReport,
    spec: &EngineSpec,
) -> bool {
    let order = &open.order;
    let held = report.models.get(&order.model);
    let is_held =
        held.is_some_and(|adapters| order.adapter.is_empty() || adapters.contains(&order.adapter));
    if open.answer != Some(OrderAnswer::Accepted) {
        return open.until <= now;
    }
    let wanted = order.verb == OrderVerb::Load;
    if !order.adapter.is_empty() {
        // Heartbeats lag behind orders, and from the order to unload an adapter
        // on callers are no longer told of it.
        return open.until <= now;
    }
    let load_time = spec.models.iter().find(|it| it.name == order.model);
    let load_time = load_time.map_or(ORDER_LIFETIME, |it| it.load_time * LOAD_PATIENCE);
    is_held == wanted || open.until + load_time <= now
}
