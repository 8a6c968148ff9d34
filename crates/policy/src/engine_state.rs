//! State of one engine in demand placement: what the engine reports, and the
//! orders that its reports do not reflect yet.
//!
//! Guarantees: memory and adapter places that an order may take are counted as
//! soon as the order is issued; what an order frees is counted as free only once
//! the engine reports it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::demand_types::{EngineReport, EngineSpec, OrderAnswer, OrderVerb, PlacementOrder};
use crate::placement_types::{ModelName, SoftwareName};

/// Time after which an order without an answer stops counting.
pub(crate) const ORDER_LIFETIME: Duration = Duration::from_millis(12_500);

/// Time after which the engine's reports are taken to reflect an accepted order:
/// two heartbeats and a margin.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Lag of an engine's inventory, which shows a state that is some hundred
/// milliseconds old.
pub(crate) const INVENTORY_LAG: Duration = Duration::from_millis(450);

/// A load counts as failed after this many times its usual duration.
pub(crate) const LOAD_TIMEOUT_FACTOR: u32 = 4;

/// Costs of loads by the source of the weights, in units of pressure; one unit is
/// about a second.
const MEMORY_COST: f64 = 0.1;
const DISK_COST: f64 = 0.3;
const STORE_COST: f64 = 1.0;

/// A model, or an adapter of it; the adapter is empty for the model itself.
pub(crate) type Holding = (ModelName, ModelName);

/// Which engines fit by their limit on requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineFit {
    /// Those without one.
    Unlimited,
    Any,
}

/// Which engines fit by their software version, if only one does, and by their limit.
pub(crate) type VersionFit<'a> = (Option<&'a SoftwareName>, EngineFit);

#[derive(Debug, Clone)]
pub(crate) struct OpenOrder {
    pub(crate) order: PlacementOrder,
    pub(crate) answer: Option<OrderAnswer>,
    /// When the order stops counting, whatever the engine reports.
    pub(crate) expires_at: Instant,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct EngineState {
    pub(crate) report: EngineReport,
    /// When each model was first seen at the engine.
    pub(crate) held_since: BTreeMap<ModelName, Instant>,
    pub(crate) open_orders: Vec<OpenOrder>,
    /// Until then, idle models are not loaded into the memory that was freed.
    pub(crate) reserved_until: Option<Instant>,
    /// Orders that the engine has accepted; `None` while the number is uncertain.
    pub(crate) accepted_orders: Option<u64>,
    /// When the inventory is requested next; `None` while `accepted_orders` is
    /// known.
    pub(crate) inventory_due_at: Option<Instant>,
}

impl EngineState {
    /// Returns whether the engine loads a model without the weight store.
    pub(crate) fn is_cached_on_host(&self, model: &ModelName) -> bool {
        self.report.in_memory.contains(model) || self.report.on_disk.contains(model)
    }

    /// Returns the cost of a load without that of the eviction, in units of
    /// pressure.
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
        let open = self.open_orders.iter().map(|open| &open.order);
        open.filter(|order| order.verb == OrderVerb::Load)
    }

    pub(crate) fn unloads(&self) -> impl Iterator<Item = &PlacementOrder> {
        let open = self.open_orders.iter().map(|open| &open.order);
        open.filter(|order| order.verb == OrderVerb::Unload)
    }

    /// Returns whether the report contains a model, or an adapter of it.
    pub(crate) fn holds(&self, model: &ModelName, adapter: &ModelName) -> bool {
        let held = self.report.models.get(model);
        held.is_some_and(|adapters| adapter.is_empty() || adapters.contains(adapter))
    }

    /// Returns what the engine holds according to its report and the loads that it
    /// has accepted, without what it was ordered to unload.
    pub(crate) fn expected_holdings(&self) -> Vec<Holding> {
        let models = self.report.models.keys();
        let models = models.map(|model| (model.clone(), ModelName::new()));
        let open = self.open_orders.iter();
        let accepted = open.filter(|open| {
            open.order.verb == OrderVerb::Load && open.answer == Some(OrderAnswer::Accepted)
        });
        let loads = accepted.map(|open| (open.order.model.clone(), open.order.adapter.clone()));
        let holdings = models.chain(self.adapters()).chain(loads);
        let is_kept = |(model, adapter): &Holding| {
            let mut unloads = self.unloads().filter(|order| order.model == *model);
            !unloads.any(|order| order.adapter.is_empty() || order.adapter == *adapter)
        };
        holdings.filter(is_kept).collect()
    }

    /// Returns whether a model or an adapter is missing at the engine: the report
    /// lacks it, and no load of it counts any more. The adapters of a missing model
    /// are not counted.
    pub(crate) fn is_missing(&self, model: &ModelName, adapter: &ModelName) -> bool {
        let is_base_missing = !adapter.is_empty() && !self.report.models.contains_key(model);
        let mut loads = self.loads();
        let is_loading = loads.any(|order| order.model == *model && order.adapter == *adapter);
        !self.holds(model, adapter) && !is_base_missing && !is_loading
    }

    pub(crate) fn is_unloading(&self, model: &ModelName) -> bool {
        self.unloads()
            .any(|order| order.model == *model && order.adapter.is_empty())
    }

    /// Returns the models that the engine holds or was ordered to load, without those
    /// that it unloads.
    pub(crate) fn held_models(&self) -> BTreeSet<ModelName> {
        let loads = self.loads().filter(|order| order.adapter.is_empty());
        let ordered = loads.map(|order| order.model.clone());
        let reported = self.report.models.keys();
        let kept = reported.filter(|model| !self.is_unloading(model));
        kept.cloned().chain(ordered).collect()
    }

    /// Returns whether the engine fits callers, of which some can use one software version
    /// only. Those have few engines and don't rely on one that may have crashed.
    pub(crate) fn fits(&self, (software, fit): VersionFit<'_>) -> bool {
        let report = &self.report;
        let has_version = software.is_none_or(|it| report.software == *it && !report.is_refusing);
        has_version && (fit == EngineFit::Any || !report.is_limited)
    }

    pub(crate) fn will_hold(&self, model: &ModelName) -> bool {
        let held = self.report.models.contains_key(model) && !self.is_unloading(model);
        let mut loads = self.loads();
        held || loads.any(|order| order.model == *model && order.adapter.is_empty())
    }

    pub(crate) fn will_hold_adapter(&self, model: &ModelName, adapter: &ModelName) -> bool {
        let held = self.report.models.get(model);
        let held = held.is_some_and(|adapters| adapters.contains(adapter));
        let matches = |order: &&PlacementOrder| order.model == *model && order.adapter == *adapter;
        (held && self.unloads().find(matches).is_none()) || self.loads().find(matches).is_some()
    }

    pub(crate) fn has_reserved_memory(&self, now: Instant) -> bool {
        self.reserved_until.is_some_and(|until| until > now)
    }

    pub(crate) fn has_model_order(&self) -> bool {
        self.open_orders
            .iter()
            .any(|open| open.order.adapter.is_empty())
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

    /// Returns whether the engine can be sent an order: its inventory is certain
    /// and no order awaits an answer.
    pub(crate) fn can_accept_order(&self) -> bool {
        let unanswered = self.open_orders.iter().any(|open| open.answer.is_none());
        self.report.is_usable && self.accepted_orders.is_some() && !unanswered
    }

    pub(crate) fn record_accepted_order(&mut self) {
        self.accepted_orders = self.accepted_orders.map(|orders| orders.saturating_add(1));
    }

    /// Marks the number of accepted orders as uncertain and schedules an inventory
    /// request.
    pub(crate) fn invalidate_inventory(&mut self, now: Instant) {
        self.accepted_orders = None;
        self.inventory_due_at = Some(now + INVENTORY_LAG);
    }

    /// Counts the adapters that are being loaded.
    pub(crate) fn pending_adapter_loads(&self) -> usize {
        let loads = self
            .loads()
            .filter(|order| !order.adapter.is_empty() && !self.holds(&order.model, &order.adapter));
        loads.count()
    }

    /// Counts the adapter places that are or may be in use: an adapter that is being
    /// loaded or unloaded occupies a place, whether the report contains it or not.
    pub(crate) fn occupied_adapter_places(&self) -> usize {
        let held: usize = self.report.models.values().map(BTreeSet::len).sum();
        let open = self.open_orders.iter().map(|open| &open.order);
        let unlisted = open
            .filter(|order| !order.adapter.is_empty() && !self.holds(&order.model, &order.adapter));
        held + unlisted.count()
    }

    /// Removes earlier loads of an adapter that an order unloads.
    pub(crate) fn remove_superseded_loads(&mut self, order: &PlacementOrder) {
        if order.verb == OrderVerb::Unload && !order.adapter.is_empty() {
            self.open_orders.retain(|open| {
                let same = open.order.model == order.model && open.order.adapter == order.adapter;
                !same || open.order.number >= order.number
            });
        }
    }

    pub(crate) fn apply_done_order(&mut self, order: &PlacementOrder, now: Instant) {
        let models = &mut self.report.models;
        match (order.verb, order.adapter.is_empty()) {
            (OrderVerb::Load, true) => {
                models.entry(order.model.clone()).or_default();
                self.held_since.insert(order.model.clone(), now);
            }
            (OrderVerb::Load, false) => {
                let adapters = models.entry(order.model.clone()).or_default();
                adapters.insert(order.adapter.clone());
            }
            (OrderVerb::Unload, true) => {
                models.remove(&order.model);
                self.held_since.remove(&order.model);
            }
            (OrderVerb::Unload, false) => {
                if let Some(adapters) = models.get_mut(&order.model) {
                    adapters.remove(&order.adapter);
                }
            }
        }
    }
}

/// Returns whether an order no longer counts in addition to the engine's report.
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
        return open.expires_at <= now;
    }
    let should_hold = order.verb == OrderVerb::Load;
    if !order.adapter.is_empty() {
        // Heartbeats lag behind orders, and an adapter is no longer announced to
        // callers once an order to unload it has been issued, so a report alone does
        // not settle the order.
        return open.expires_at <= now;
    }
    let load_time = spec.models.iter().find(|it| it.name == order.model);
    let load_time = load_time.map_or(ORDER_LIFETIME, |it| it.load_time * LOAD_TIMEOUT_FACTOR);
    is_held == should_hold || open.expires_at + load_time <= now
}
