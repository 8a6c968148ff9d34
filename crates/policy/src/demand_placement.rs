//! Models and adapters of engines that are ordered one by one.
//!
//! Purpose: the control leader keeps one [`DemandPlacement`] for each service of
//! engines, tells it what engines hold and what callers ask for, and sends the
//! orders that [`DemandPlacement::plan`] returns.
//!
//! Guarantees: the memory and the adapter places that an engine holds and that
//! it is ordered to load never exceed what it has; an engine has one order for a
//! model at a time; a model leaves its last engine only for one that is asked
//! for while it is not; room is made no faster than the weight store fills it.
//!
//! Each order names how many orders the engine has accepted before it, which
//! the engine checks when it begins: an order that comes late, after one that
//! was planned without it, is void. What an engine holds beside that number
//! comes from its inventory, which is asked for whenever the number is in doubt.
//!
//! Algorithm: a model's pressure is its demand by replica, or what all models of
//! its least busy engine bring that engine where that is far above the mean. What
//! callers wait for is loaded first; then the model under the highest pressure
//! takes the place of the one whose demand by replica would be lowest without it,
//! if the ratio of both exceeds [`GAIN_MIN`], on an engine with little to do. An
//! adapter takes the place of the one that was used longest ago.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::demand_book::DemandBook;
use crate::demand_types::{
    EngineInventory, EngineReport, EngineSpec, ModelSpec, OrderAnswer, OrderNumber, OrderVerb,
    PlacementChange, PlacementOrder,
};
use crate::engine_state::{
    is_settled, EngineState, OpenOrder, INVENTORY_LAG, ORDER_LIFETIME, SETTLE_TIME,
};
use crate::load_pacer::{LoadPacer, PacerSettings};
use crate::placement_types::{EndpointName, ModelName};

/// Pressure of the newcomer over that of the one that goes.
const GAIN_MIN: f64 = 2.0;

/// Requests a second by replica below which a model needs no further one.
const PRESSURE_MIN: f64 = 4.0;

/// Requests of an engine, in means of all engines, above which its models count as
/// crowded.
const CROWDED_MEANS: f64 = 1.5;

/// Requests a second by replica below which a model does not leave a crowded
/// engine.
const CROWDED_RATE_MIN: f64 = 1.0;

/// Pressure that a request a second at an engine counts as, so that replicas go
/// to engines with little to do.
const LOAD_WEIGHT: f64 = 0.25;

/// Requests a second that an idle model counts with: above nothing, so that it
/// is loaded where there is room.
const IDLE_RATE: f64 = 0.01;

/// Factor of the demand for a model that no engine holds: its callers wait for
/// a load.
const UNHELD_FACTOR: f64 = 100.0;

/// Time for which room that is being made is kept from idle models: the runs of
/// the model that goes end first.
const PROMISE_LIFETIME: Duration = Duration::from_secs(4);

/// Models that one plan gives a further replica.
const RELIEVED_MAX: usize = 4;

/// Time for which a new replica stays, so that two models don't swap.
const HOLD_TIME: Duration = Duration::from_secs(4);

/// Time without use after which an adapter may make room.
const ADAPTER_IDLE: Duration = Duration::from_millis(1_200);

/// Time after which an inventory that did not come is asked for again.
const INVENTORY_TIMEOUT: Duration = Duration::from_secs(2);

/// Adapters that may be on their way to an engine at the same time.
const TRANSIT_MAX: usize = 4;

/// Placement of one service's models.
#[derive(Debug)]
pub struct DemandPlacement {
    spec: EngineSpec,
    engines: BTreeMap<EndpointName, EngineState>,
    demand: DemandBook,
    pacer: LoadPacer,
    next_number: OrderNumber,
}

impl DemandPlacement {
    /// Creates a placement that knows no engine.
    pub fn new(now: Instant) -> Self {
        let pacer = LoadPacer::new(PacerSettings::default(), now);
        DemandPlacement {
            spec: EngineSpec::default(),
            engines: BTreeMap::new(),
            demand: DemandBook::default(),
            pacer,
            next_number: 1,
        }
    }

    /// Sets what the engines are, and what their weight store allows.
    pub fn set_spec(&mut self, spec: EngineSpec, pacer: PacerSettings) {
        self.spec = spec;
        self.pacer.set_settings(pacer);
    }

    /// Takes in what an engine says.
    pub fn observe(&mut self, now: Instant, endpoint: &EndpointName, report: EngineReport) {
        let state = self.engines.entry(endpoint.clone()).or_default();
        if state.report.incarnation != report.incarnation {
            *state = EngineState {
                ask_at: Some(now),
                ..EngineState::default()
            };
        }
        for model in report.models.keys() {
            state.since.entry(model.clone()).or_insert(now);
        }
        let models = &report.models;
        state.since.retain(|model, _| models.contains_key(model));
        state.report = report;
        let spec = &self.spec;
        let report = &state.report;
        state
            .open
            .retain(|open| !is_settled(now, open, report, spec));
    }

    /// Returns the engines whose inventory is to be asked for now.
    pub fn inventories_due(&mut self, now: Instant) -> Vec<EndpointName> {
        let mut due = Vec::new();
        for (endpoint, state) in &mut self.engines {
            if state.report.is_usable && state.ask_at.is_some_and(|at| at <= now) {
                state.ask_at = Some(now + INVENTORY_TIMEOUT);
                due.push(endpoint.clone());
            }
        }
        due
    }

    /// Takes in an inventory, or that none came; tells whether it is what the
    /// engine holds.
    pub fn take_inventory(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        inventory: Option<&EngineInventory>,
    ) -> bool {
        let Some(state) = self.engines.get_mut(endpoint) else {
            return false;
        };
        let Some(inventory) = inventory.filter(|it| !it.is_busy) else {
            state.ask_at = Some(now + INVENTORY_LAG);
            return false;
        };
        state.orders = Some(inventory.orders);
        state.ask_at = None;
        state.report.models.clone_from(&inventory.models);
        let open = self.held_adapters(now, endpoint, inventory);
        if let Some(state) = self.engines.get_mut(endpoint) {
            state.open = open;
        }
        true
    }

    /// Returns accepted loads in place of the adapters of an inventory, which
    /// the engine's next heartbeat may lack.
    fn held_adapters(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        inventory: &EngineInventory,
    ) -> Vec<OpenOrder> {
        let mut open = Vec::new();
        for (model, adapters) in &inventory.models {
            for adapter in adapters {
                open.push(OpenOrder {
                    order: self.order(endpoint, OrderVerb::Load, model, adapter),
                    answer: Some(OrderAnswer::Accepted),
                    until: now + SETTLE_TIME,
                });
            }
        }
        open
    }

    /// Drops engines that are not among these.
    pub fn retain(&mut self, present: &BTreeSet<EndpointName>) {
        self.engines
            .retain(|endpoint, _| present.contains(endpoint));
    }

    /// Notes that callers wait for a model or an adapter.
    pub fn want(&mut self, now: Instant, model: ModelName, adapter: ModelName) {
        self.demand.want(now, model, adapter);
    }

    /// Notes requests that callers made.
    pub fn note_use(
        &mut self,
        now: Instant,
        model: &ModelName,
        adapter: &ModelName,
        requests: u64,
    ) {
        self.demand.note_use(now, model, adapter, requests);
    }

    /// Returns the orders that are due now.
    pub fn plan(&mut self, now: Instant) -> Vec<PlacementOrder> {
        self.demand.forget_old_wants(now);
        let loading = self.store_loads();
        self.pacer.begin(now, loading, 0);
        let mut orders = Vec::new();
        for (model, adapter) in self.demand.wants(now) {
            if self.replicas(&model) == 0 {
                self.add_replica(now, &model, f64::MAX, &mut orders);
            } else if !adapter.is_empty() && !self.holds_adapter(&model, &adapter) {
                self.add_adapter(now, &model, &adapter, &mut orders);
            }
        }
        self.relieve(now, &mut orders);
        orders
    }

    /// Takes in an answer; returns what it changes for callers.
    pub fn answer(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        number: OrderNumber,
        answer: OrderAnswer,
    ) -> Option<PlacementChange> {
        let state = self.engines.get_mut(endpoint)?;
        let place = state
            .open
            .iter()
            .position(|open| open.order.number == number)?;
        let order = state.open[place].order.clone();
        match answer {
            OrderAnswer::Refused => {
                state.open.remove(place);
                state.doubt(now);
                let stays = order.verb == OrderVerb::Unload;
                return stays.then(|| PlacementChange {
                    endpoint: endpoint.clone(),
                    model: order.model,
                    adapter: order.adapter,
                    is_held: true,
                });
            }
            OrderAnswer::Unknown => {
                state.open[place].answer = Some(answer);
                state.open[place].until = now + ORDER_LIFETIME;
                state.doubt(now);
                return None;
            }
            OrderAnswer::Accepted if order.adapter.is_empty() => {
                state.open[place].answer = Some(answer);
                state.count_order();
                return None;
            }
            OrderAnswer::Accepted => {
                state.open[place].answer = Some(answer);
                state.open[place].until = now + SETTLE_TIME;
                state.count_order();
                state.end_loads_before(&order);
            }
            OrderAnswer::Done => {
                state.open.remove(place);
                state.end_loads_before(&order);
                if order.verb == OrderVerb::Unload {
                    state.count_order();
                }
                state.note_held(&order, now);
            }
        }
        Some(PlacementChange {
            endpoint: endpoint.clone(),
            is_held: order.verb == OrderVerb::Load,
            model: order.model,
            adapter: order.adapter,
        })
    }

    /// Tells whether an engine was ordered to unload a model.
    pub fn is_leaving(&self, endpoint: &EndpointName, model: &ModelName) -> bool {
        let state = self.engines.get(endpoint);
        state.is_some_and(|state| state.is_leaving(model))
    }

    /// Counts loads of models from the weight store that have not settled.
    fn store_loads(&self) -> u32 {
        let states = self.engines.values();
        let loads = states.map(|state| {
            let loads = state.loads().filter(|order| order.adapter.is_empty());
            loads
                .filter(|order| !state.is_at_hand(&order.model))
                .count()
        });
        u32::try_from(loads.sum::<usize>()).unwrap_or(u32::MAX)
    }

    fn spec_of(&self, model: &ModelName) -> Option<&ModelSpec> {
        self.spec.models.iter().find(|spec| spec.name == *model)
    }

    /// Counts usable engines that hold the model or are to load it.
    fn replicas(&self, model: &ModelName) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|state| state.report.is_usable && state.will_hold(model))
            .count()
    }

    fn holds_adapter(&self, model: &ModelName, adapter: &ModelName) -> bool {
        let mut engines = self.engines.values();
        engines.any(|state| state.report.is_usable && state.will_hold_adapter(model, adapter))
    }

    fn pressure(&self, now: Instant, model: &ModelName, replicas: usize) -> f64 {
        let rate = self.demand.rate(now, model);
        match replicas {
            0 => rate.max(IDLE_RATE) * UNHELD_FACTOR,
            count => rate / count as f64,
        }
    }

    /// Gives the models under the highest pressures one more replica each.
    fn relieve(&mut self, now: Instant, orders: &mut Vec<PlacementOrder>) {
        let mut pressures = self.model_pressures(now);
        pressures.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (pressure, model) in pressures.into_iter().take(RELIEVED_MAX) {
            if pressure >= PRESSURE_MIN || self.replicas(&model) == 0 {
                self.add_replica(now, &model, pressure, orders);
            }
        }
    }

    /// Returns all models with their pressures.
    fn model_pressures(&self, now: Instant) -> Vec<(f64, ModelName)> {
        let usable = self.engines.values().filter(|it| it.report.is_usable);
        let loads: Vec<(&EngineState, f64)> = usable
            .map(|state| (state, self.engine_load(now, state)))
            .collect();
        let total: f64 = loads.iter().map(|(_, load)| load).sum();
        let mean = total / loads.len().max(1) as f64;
        let crowded = PRESSURE_MIN.max(CROWDED_MEANS * mean);
        let pressures = self.spec.models.iter().map(|spec| {
            let own = self.pressure(now, &spec.name, self.replicas(&spec.name));
            let holders = loads.iter().filter(|(it, _)| it.will_hold(&spec.name));
            let crowd = holders.map(|(_, load)| *load).min_by(f64::total_cmp);
            let crowd = crowd.filter(|load| own >= CROWDED_RATE_MIN && *load >= crowded);
            (own.max(crowd.unwrap_or(0.0)), spec.name.clone())
        });
        pressures.collect()
    }

    /// Orders what brings a model to one more engine.
    fn add_replica(
        &mut self,
        now: Instant,
        model: &ModelName,
        pressure: f64,
        orders: &mut Vec<PlacementOrder>,
    ) {
        let Some(weight) = self.spec_of(model).map(|spec| spec.weight_mb) else {
            return;
        };
        let rate = self.demand.rate(now, model);
        let is_idle = rate <= IDLE_RATE && !self.demand.is_wanted(model);
        let mut best: Option<(f64, f64, EndpointName, Option<ModelName>)> = None;
        for (endpoint, state) in &self.engines {
            let takes_orders = state.takes_orders() && !state.has_model_order();
            let is_kept = is_idle && state.is_promised(now);
            if !takes_orders || is_kept || state.will_hold(model) {
                continue;
            }
            let (value, victim) = if self.free_mb(state) >= weight {
                (-1.0, None)
            } else {
                let Some((value, victim)) = self.victim(now, state) else {
                    continue;
                };
                (value, Some(victim))
            };
            let load = self.engine_load(now, state) * LOAD_WEIGHT;
            let cost = value + load + state.load_cost(model);
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, value, endpoint.clone(), victim));
            }
        }
        let Some((_, value, endpoint, victim)) = best else {
            return;
        };
        if pressure < value * GAIN_MIN {
            return;
        }
        let is_at_hand = self.is_at_hand(&endpoint, model);
        match victim {
            Some(victim) => {
                if !is_at_hand && self.rooms_made(now) >= self.pacer.loads_per_second() {
                    return;
                }
                let order = self.order(&endpoint, OrderVerb::Unload, &victim, &ModelName::new());
                self.open_order(now, order, orders);
                if let Some(state) = self.engines.get_mut(&endpoint) {
                    state.promised = Some(now + PROMISE_LIFETIME);
                }
            }
            None if is_at_hand || self.pacer.take_permit(false) => {
                let order = self.order(&endpoint, OrderVerb::Load, model, &ModelName::new());
                self.open_order(now, order, orders);
            }
            None => {}
        }
    }

    /// Counts engines on which room was made that no load has taken.
    fn rooms_made(&self, now: Instant) -> u32 {
        let states = self.engines.values();
        let rooms = states.filter(|state| state.is_promised(now)).count();
        u32::try_from(rooms).unwrap_or(u32::MAX)
    }

    /// Tells whether an engine loads a model without the weight store.
    fn is_at_hand(&self, endpoint: &EndpointName, model: &ModelName) -> bool {
        let state = self.engines.get(endpoint);
        state.is_some_and(|state| state.is_at_hand(model))
    }

    /// Returns the requests a second that an engine's models bring it.
    fn engine_load(&self, now: Instant, state: &EngineState) -> f64 {
        let models = state.report.models.keys();
        let rates = models.map(|model| self.pressure(now, model, self.replicas(model).max(1)));
        rates.sum()
    }

    /// Returns the model of an engine that is missed least, with its pressure
    /// once it has left.
    fn victim(&self, now: Instant, state: &EngineState) -> Option<(f64, ModelName)> {
        let old = state
            .since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= HOLD_TIME);
        let values = old.map(|(model, _)| {
            let left = self.replicas(model).saturating_sub(1);
            (self.pressure(now, model, left), model.clone())
        });
        values.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn free_mb(&self, state: &EngineState) -> u64 {
        let weight = |model: &ModelName| self.spec_of(model).map_or(0, |spec| spec.weight_mb);
        let adapter = |model: &ModelName| self.spec_of(model).map_or(0, |spec| spec.adapter_mb);
        let held = state.report.models.iter();
        let held: u64 = held
            .map(|(model, adapters)| weight(model) + adapters.len() as u64 * adapter(model))
            .sum();
        let unlisted = |order: &&PlacementOrder| !state.lists(&order.model, &order.adapter);
        let loads = state.loads().filter(unlisted).map(|order| {
            if order.adapter.is_empty() {
                weight(&order.model)
            } else {
                adapter(&order.model)
            }
        });
        self.spec
            .memory_mb
            .saturating_sub(held + loads.sum::<u64>())
    }

    /// Orders what brings an adapter to one engine.
    fn add_adapter(
        &mut self,
        now: Instant,
        model: &ModelName,
        adapter: &ModelName,
        orders: &mut Vec<PlacementOrder>,
    ) {
        let Some(size) = self.spec_of(model).map(|spec| spec.adapter_mb) else {
            return;
        };
        let holders = self.engines.iter().filter(|(_, state)| {
            let held = state.report.models.contains_key(model);
            state.takes_orders() && held && !state.is_leaving(model)
        });
        let roomy = holders.clone().filter(|(_, state)| {
            state.adapter_count() < self.spec.adapter_places
                && state.in_transit() < TRANSIT_MAX
                && self.free_mb(state) >= size
        });
        if let Some((endpoint, _)) = roomy.min_by_key(|(_, state)| state.adapter_count()) {
            let order = self.order(&endpoint.clone(), OrderVerb::Load, model, adapter);
            self.open_order(now, order, orders);
            return;
        }
        let mut oldest: Option<(Option<Instant>, EndpointName, (ModelName, ModelName))> = None;
        for (endpoint, state) in holders {
            if state.has_adapter_unload() {
                return;
            }
            for key in state.adapters() {
                let used = self.demand.last_use(&key);
                let idle = used.is_none_or(|at| now.saturating_duration_since(at) >= ADAPTER_IDLE);
                if idle && oldest.as_ref().is_none_or(|(least, ..)| used < *least) {
                    oldest = Some((used, endpoint.clone(), key));
                }
            }
        }
        if let Some((_, endpoint, (base, name))) = oldest {
            let order = self.order(&endpoint, OrderVerb::Unload, &base, &name);
            self.open_order(now, order, orders);
        }
    }

    fn order(
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
            expected: state.and_then(|state| state.orders).unwrap_or(0),
        }
    }

    fn open_order(
        &mut self,
        now: Instant,
        order: PlacementOrder,
        orders: &mut Vec<PlacementOrder>,
    ) {
        if let Some(state) = self.engines.get_mut(&order.endpoint) {
            if order.verb == OrderVerb::Load && order.adapter.is_empty() {
                state.promised = None;
            }
            state.open.push(OpenOrder {
                order: order.clone(),
                answer: None,
                until: now + ORDER_LIFETIME,
            });
            orders.push(order);
        }
    }
}
