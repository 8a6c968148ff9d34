//! Places models and adapters on engines with individual load and unload orders.
//!
//! Purpose: the control leader keeps one [`DemandPlacement`] per service of
//! engines, feeds it engine reports and caller demand, and sends the orders that
//! [`DemandPlacement::plan`] returns.
//!
//! Guarantees: the models and adapters that an engine holds or is ordered to load
//! never exceed its memory and adapter places; an engine has one order for a model
//! at a time; the last loaded replica of a model with demand is evicted only for a
//! model that no engine holds, or none of the software version that its callers need, and
//! if callers don't wait for one that no engine holds, only where its pressure is at least
//! [`GAIN_MIN`] times that of the evicted model without a replica; memory for loads from the weight store is freed no faster than the store
//! can fill it.
//!
//! Each order carries the number of orders that the engine should have accepted
//! before it, which the engine checks before it executes the order. An order that
//! arrives late, after one that was planned without it, is thereby void. The number
//! and the matching set of models come from the engine's inventory, which is
//! requested whenever the number is uncertain, or a report lacks what no order
//! unloaded.
//!
//! Algorithm: a model's pressure is its demand per replica, or the total load of
//! the least loaded engine that holds it where that is far above the mean. Models
//! and adapters that callers wait for are loaded first. Then the model with the
//! highest pressure replaces, on an engine with little load, the model whose demand
//! per replica would be lowest after the eviction, if the ratio of the two exceeds
//! [`GAIN_MIN`]. An adapter replaces the least recently used one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::demand_tracker::{AwaitedModel, DemandTracker};
use crate::demand_types::{
    EngineInventory, EngineReport, EngineSpec, ModelSpec, OrderAnswer, OrderNumber, OrderVerb,
    PlacementChange, PlacementOrder,
};
use crate::engine_option::EngineOption;
use crate::engine_state::{
    is_settled, EngineFit, EngineState, OpenOrder, VersionFit, INVENTORY_LAG, ORDER_LIFETIME,
    SETTLE_TIME,
};
use crate::load_pacer::{LoadPacer, PacerSettings};
use crate::placement_types::{EndpointName, ModelName, SoftwareName};

/// Minimum ratio of the pressure of the model to load to that of the evicted model
/// after the eviction.
const GAIN_MIN: f64 = 2.0;

/// Requests per second per replica below which a model needs no further replica.
const PRESSURE_MIN: f64 = 4.0;

/// Ratio of an engine's load to the mean of all engines above which the engine
/// counts as overloaded.
const OVERLOAD_FACTOR: f64 = 1.5;

/// Requests per second per replica below which a model gets no further replica on
/// account of an overloaded engine.
const OVERLOAD_RATE_MIN: f64 = 1.0;

/// Weight of an engine's load, in pressure per request per second, so that replicas
/// go to engines with little load.
const LOAD_WEIGHT: f64 = 0.25;

/// Assumed requests per second of an idle model: above zero, so that it is loaded
/// where memory is free.
const IDLE_RATE: f64 = 0.01;

/// Factor on the demand for a model that no engine holds, because its callers wait
/// for a load.
const UNHELD_FACTOR: f64 = 100.0;

/// Time for which memory that is being freed is not given to idle models; the
/// unloaded model first finishes its running requests.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(4);

/// Maximum number of models that get a further replica in one plan.
const RELIEVED_MODELS_MAX: usize = 4;

/// Time after which a missing inventory is requested again.
const INVENTORY_TIMEOUT: Duration = Duration::from_secs(2);

/// Placement of one service's models.
#[derive(Debug)]
pub struct DemandPlacement {
    pub(crate) spec: EngineSpec,
    pub(crate) engines: BTreeMap<EndpointName, EngineState>,
    pub(crate) demand: DemandTracker,
    pacer: LoadPacer,
    next_number: OrderNumber,
    /// Usable engines that hold each model or were ordered to load it, during a plan.
    pub(crate) replica_counts: BTreeMap<ModelName, usize>,
    /// Usable engines that hold each model, during a plan.
    pub(crate) loaded_counts: BTreeMap<ModelName, usize>,
    /// Engines that can be given a model order, during a plan.
    pub(crate) options: BTreeMap<EndpointName, EngineOption>,
}

impl DemandPlacement {
    /// Creates a placement without engines.
    pub fn new(now: Instant) -> Self {
        let pacer = LoadPacer::new(PacerSettings::default(), now);
        DemandPlacement {
            spec: EngineSpec::default(),
            engines: BTreeMap::new(),
            demand: DemandTracker::default(),
            pacer,
            next_number: 1,
            replica_counts: BTreeMap::new(),
            loaded_counts: BTreeMap::new(),
            options: BTreeMap::new(),
        }
    }

    /// Sets the engines' specification and the limits of their weight store.
    pub fn set_spec(&mut self, spec: EngineSpec, pacer: PacerSettings) {
        self.spec = spec;
        self.pacer.set_settings(pacer);
    }

    /// Handles an engine's report.
    pub fn handle_report(&mut self, now: Instant, endpoint: &EndpointName, report: EngineReport) {
        let state = self.engines.entry(endpoint.clone()).or_default();
        if state.report.incarnation != report.incarnation {
            *state = EngineState {
                inventory_due_at: Some(now),
                ..EngineState::default()
            };
        }
        for model in report.models.keys() {
            state.held_since.entry(model.clone()).or_insert(now);
        }
        let models = &report.models;
        state
            .held_since
            .retain(|model, _| models.contains_key(model));
        let expected = state.expected_holdings();
        state.report = report;
        let spec = &self.spec;
        let report = &state.report;
        state
            .open_orders
            .retain(|open| !is_settled(now, open, report, spec));
        // Another control instance may have sent a report that is older than the last
        // orders. An engine loses nothing without an order, so nothing is planned on
        // such a report.
        let mut expected = expected.iter();
        let is_incomplete = expected.any(|(model, adapter)| state.is_missing(model, adapter));
        if is_incomplete && state.accepted_orders.is_some() {
            state.invalidate_inventory(now);
        }
    }

    /// Returns the engines whose inventory should be requested now.
    pub fn inventories_due(&mut self, now: Instant) -> Vec<EndpointName> {
        let mut due = Vec::new();
        for (endpoint, state) in &mut self.engines {
            if state.report.is_usable && state.inventory_due_at.is_some_and(|at| at <= now) {
                state.inventory_due_at = Some(now + INVENTORY_TIMEOUT);
                due.push(endpoint.clone());
            }
        }
        due
    }

    /// Handles an inventory, or `None` if the request for it failed; returns whether
    /// the inventory was applied.
    pub fn handle_inventory(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        inventory: Option<&EngineInventory>,
    ) -> bool {
        let Some(state) = self.engines.get_mut(endpoint) else {
            return false;
        };
        let Some(inventory) = inventory.filter(|it| !it.is_busy) else {
            state.inventory_due_at = Some(now + INVENTORY_LAG);
            return false;
        };
        state.accepted_orders = Some(inventory.orders);
        state.inventory_due_at = None;
        state.report.models.clone_from(&inventory.models);
        let open_orders = self.accepted_adapter_loads(now, endpoint, inventory);
        if let Some(state) = self.engines.get_mut(endpoint) {
            state.open_orders = open_orders;
        }
        true
    }

    /// Removes the engines that are not in `present`.
    pub fn retain_engines(&mut self, present: &BTreeSet<EndpointName>) {
        self.engines
            .retain(|endpoint, _| present.contains(endpoint));
    }

    /// Records that callers wait for a model or an adapter; those that take up streams
    /// wait for it at engines of one software version.
    pub fn record_awaited(
        &mut self,
        now: Instant,
        model: ModelName,
        adapter: ModelName,
        software: Option<SoftwareName>,
    ) {
        let awaited = AwaitedModel {
            model,
            adapter,
            software,
        };
        self.demand.record_awaited(now, awaited);
    }

    /// Records requests for a model or an adapter.
    pub fn record_requests(
        &mut self,
        now: Instant,
        model: &ModelName,
        adapter: &ModelName,
        requests: u64,
    ) {
        self.demand.record_requests(now, model, adapter, requests);
    }

    /// Returns the orders that are due now.
    pub fn plan(&mut self, now: Instant) -> Vec<PlacementOrder> {
        self.demand.remove_expired_awaited(now);
        let loading = self.store_loads();
        self.pacer.begin_plan(now, loading, 0);
        self.count_replicas();
        self.update_options(now, None);
        let mut orders = Vec::new();
        for awaited in self.demand.awaited_by_rate(now) {
            self.place_awaited(now, &awaited, &mut orders);
        }
        self.relieve_pressure(now, &mut orders);
        orders
    }

    /// Handles the answer to an order; returns the change in routing, if any.
    pub fn handle_answer(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        number: OrderNumber,
        answer: OrderAnswer,
    ) -> Option<PlacementChange> {
        let state = self.engines.get_mut(endpoint)?;
        let position = state
            .open_orders
            .iter()
            .position(|open| open.order.number == number)?;
        let order = state.open_orders[position].order.clone();
        match answer {
            OrderAnswer::Refused => {
                state.open_orders.remove(position);
                state.invalidate_inventory(now);
                let is_still_held = order.verb == OrderVerb::Unload;
                return is_still_held.then(|| PlacementChange {
                    endpoint: endpoint.clone(),
                    model: order.model,
                    adapter: order.adapter,
                    is_held: true,
                });
            }
            OrderAnswer::Unknown => {
                state.open_orders[position].answer = Some(answer);
                state.open_orders[position].expires_at = now + ORDER_LIFETIME;
                state.invalidate_inventory(now);
                return None;
            }
            OrderAnswer::Accepted if order.adapter.is_empty() => {
                state.open_orders[position].answer = Some(answer);
                state.record_accepted_order();
                return None;
            }
            OrderAnswer::Accepted => {
                state.open_orders[position].answer = Some(answer);
                state.open_orders[position].expires_at = now + SETTLE_TIME;
                state.record_accepted_order();
                state.remove_superseded_loads(&order);
            }
            OrderAnswer::Done => {
                state.open_orders.remove(position);
                state.remove_superseded_loads(&order);
                if order.verb == OrderVerb::Unload {
                    state.record_accepted_order();
                }
                state.apply_done_order(&order, now);
            }
        }
        Some(PlacementChange {
            endpoint: endpoint.clone(),
            is_held: order.verb == OrderVerb::Load,
            model: order.model,
            adapter: order.adapter,
        })
    }

    /// Returns whether an engine was ordered to unload a model.
    pub fn is_unloading(&self, endpoint: &EndpointName, model: &ModelName) -> bool {
        let state = self.engines.get(endpoint);
        state.is_some_and(|state| state.is_unloading(model))
    }

    /// Counts the open loads of models from the weight store.
    fn store_loads(&self) -> u32 {
        let states = self.engines.values();
        let loads = states.map(|state| {
            let loads = state.loads().filter(|order| order.adapter.is_empty());
            loads
                .filter(|order| !state.is_cached_on_host(&order.model))
                .count()
        });
        u32::try_from(loads.sum::<usize>()).unwrap_or(u32::MAX)
    }

    pub(crate) fn spec_of(&self, model: &ModelName) -> Option<&ModelSpec> {
        self.spec.models.iter().find(|spec| spec.name == *model)
    }

    /// Returns whether callers ask for a model, or asked for it a moment ago.
    pub(crate) fn has_demand(&self, now: Instant, model: &ModelName) -> bool {
        self.demand.rate(now, model) > IDLE_RATE || self.demand.is_awaited(model)
    }

    pub(crate) fn pressure(&self, now: Instant, model: &ModelName, replicas: usize) -> f64 {
        let rate = self.demand.rate(now, model);
        match replicas {
            0 => rate.max(IDLE_RATE) * UNHELD_FACTOR,
            count => rate / count as f64,
        }
    }

    /// Issues the next order for what callers wait for. They wait in spite of what engines
    /// with a limit hold, so that those are used only where no other will do.
    fn place_awaited(
        &mut self,
        now: Instant,
        awaited: &AwaitedModel,
        orders: &mut Vec<PlacementOrder>,
    ) {
        let first = orders.len();
        // At one software version, the model goes before others as if no engine held it.
        let pressure = match self.replicas(&awaited.model) {
            0 => f64::MAX,
            _ => self.pressure(now, &awaited.model, 0),
        };
        for fit in [EngineFit::Unlimited, EngineFit::Any] {
            let fit = (awaited.software.as_ref(), fit);
            if self.will_hold_model(&awaited.model, fit) {
                if !awaited.adapter.is_empty() && !self.holds_adapter(awaited, fit) {
                    self.add_adapter(now, awaited, fit, orders);
                }
                return;
            }
            self.add_replica(now, &awaited.model, fit, pressure, orders);
            let has_limited = self.engines.values().any(|it| it.report.is_limited);
            if orders.len() > first || !has_limited {
                return;
            }
        }
    }

    /// Returns whether an engine that fits holds a model or was ordered to load it.
    fn will_hold_model(&self, model: &ModelName, fit: VersionFit<'_>) -> bool {
        let mut states = self.engines.values();
        states.any(|state| state.report.is_usable && state.fits(fit) && state.will_hold(model))
    }

    /// Adds one replica for each of the models with the highest pressures.
    fn relieve_pressure(&mut self, now: Instant, orders: &mut Vec<PlacementOrder>) {
        let mut pressures = self.model_pressures(now);
        pressures.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (pressure, model) in pressures.into_iter().take(RELIEVED_MODELS_MAX) {
            if pressure >= PRESSURE_MIN || self.replicas(&model) == 0 {
                let fit = (None, EngineFit::Any);
                self.add_replica(now, &model, fit, pressure, orders);
            }
        }
    }

    /// Returns the pressure of each model.
    fn model_pressures(&self, now: Instant) -> Vec<(f64, ModelName)> {
        let usable = self.engines.values().filter(|it| it.report.is_usable);
        let loads: Vec<(&EngineState, f64)> = usable
            .map(|state| (state, self.engine_load(now, state)))
            .collect();
        let total: f64 = loads.iter().map(|(_, load)| load).sum();
        let mean = total / loads.len().max(1) as f64;
        let overload_threshold = PRESSURE_MIN.max(OVERLOAD_FACTOR * mean);
        let pressures = self.spec.models.iter().map(|spec| {
            let own_pressure = self.pressure(now, &spec.name, self.replicas(&spec.name));
            let holders = loads.iter().filter(|(it, _)| it.will_hold(&spec.name));
            let least_load = holders.map(|(_, load)| *load).min_by(f64::total_cmp);
            let least_load = least_load
                .filter(|load| own_pressure >= OVERLOAD_RATE_MIN && *load >= overload_threshold);
            (
                own_pressure.max(least_load.unwrap_or(0.0)),
                spec.name.clone(),
            )
        });
        pressures.collect()
    }

    /// Issues the next order towards a further replica of a model: its load, or an
    /// unload that frees memory for it, on an engine that fits.
    fn add_replica(
        &mut self,
        now: Instant,
        model: &ModelName,
        fit: VersionFit<'_>,
        pressure: f64,
        orders: &mut Vec<PlacementOrder>,
    ) {
        let Some(weight) = self.spec_of(model).map(|spec| spec.weight_mb) else {
            return;
        };
        let is_idle = !self.has_demand(now, model);
        let is_unheld = self.replicas(model) == 0 || fit.0.is_some();
        let mut best: Option<(f64, f64, EndpointName, Option<ModelName>)> = None;
        for (endpoint, option) in &self.options {
            let Some(state) = self.engines.get(endpoint) else {
                continue;
            };
            let is_reserved = is_idle && state.has_reserved_memory(now);
            if is_reserved || !state.fits(fit) || state.will_hold(model) {
                continue;
            }
            let victim = match is_unheld {
                true => &option.victim,
                false => &option.spare_victim,
            };
            let (value, victim) = match victim {
                _ if option.free_mb >= weight => (-1.0, None),
                Some((value, victim)) => (*value, Some(victim)),
                None => continue,
            };
            let cost = value + option.load * LOAD_WEIGHT + state.load_cost(model);
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, value, endpoint.clone(), victim.cloned()));
            }
        }
        let Some((_, value, endpoint, victim)) = best else {
            return;
        };
        if pressure < value * GAIN_MIN {
            return;
        }
        let is_cached_on_host = self.is_cached_on_host(&endpoint, model);
        match victim {
            Some(victim) => {
                if !is_cached_on_host
                    && self.unused_reservations(now) >= self.pacer.loads_per_second()
                {
                    return;
                }
                let order =
                    self.new_order(&endpoint, OrderVerb::Unload, &victim, &ModelName::new());
                self.issue_order(now, order, orders);
                if let Some(state) = self.engines.get_mut(&endpoint) {
                    state.reserved_until = Some(now + RESERVATION_LIFETIME);
                }
                self.remove_replica(now, &victim);
            }
            None if is_cached_on_host || self.pacer.acquire_permit(false) => {
                let order = self.new_order(&endpoint, OrderVerb::Load, model, &ModelName::new());
                self.issue_order(now, order, orders);
                self.options.remove(&endpoint);
                self.insert_ordered_replica(now, model);
            }
            None => {}
        }
    }

    /// Counts the engines with freed memory that no load has used yet.
    fn unused_reservations(&self, now: Instant) -> u32 {
        let states = self.engines.values();
        let reservations = states
            .filter(|state| state.has_reserved_memory(now))
            .count();
        u32::try_from(reservations).unwrap_or(u32::MAX)
    }

    /// Returns whether an engine loads a model without the weight store.
    fn is_cached_on_host(&self, endpoint: &EndpointName, model: &ModelName) -> bool {
        let state = self.engines.get(endpoint);
        state.is_some_and(|state| state.is_cached_on_host(model))
    }

    pub(crate) fn new_order(
        &mut self,
        endpoint: &EndpointName,
        verb: OrderVerb,
        model: &ModelName,
        adapter: &ModelName,
    ) -> PlacementOrder {
        let number = self.next_number;
        self.next_number += 1;
        let state = self.engines.get(endpoint);
        PlacementOrder {
            number,
            endpoint: endpoint.clone(),
            incarnation: state.map_or(0, |state| state.report.incarnation),
            verb,
            model: model.clone(),
            adapter: adapter.clone(),
            expected: state.and_then(|state| state.accepted_orders).unwrap_or(0),
        }
    }

    pub(crate) fn issue_order(
        &mut self,
        now: Instant,
        order: PlacementOrder,
        orders: &mut Vec<PlacementOrder>,
    ) {
        if let Some(state) = self.engines.get_mut(&order.endpoint) {
            if order.verb == OrderVerb::Load && order.adapter.is_empty() {
                state.reserved_until = None;
            }
            state.open_orders.push(OpenOrder {
                order: order.clone(),
                answer: None,
                expires_at: now + ORDER_LIFETIME,
            });
            orders.push(order);
        }
    }
}
