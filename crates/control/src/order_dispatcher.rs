//! Load and unload orders for engines that control instances reach directly.
//!
//! Purpose: the leader places models and adapters according to the demand
//! reported by entries and sends the orders; no other instance does.
//!
//! Guarantees: a leader sends orders only while its lease excludes any other
//! leader, and not before [`LEADER_CHANGE_DELAY`] has passed since the last
//! order of any earlier leader; so it hands the leadership over only when none of its
//! orders waits for an answer. Its term is its fencing token. An engine whose
//! number of accepted orders is uncertain receives no orders until its
//! inventory has reported the number. Orders and queries count towards the limit
//! of their engine; an order that exceeds it waits for [`DEFER_MAX`] at most.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::EndpointStart;
use mulberrywell_policy::{
    DemandPlacement, EngineInventory, OrderAnswer, OrderNumber, OrderVerb, PlacementChange,
    PlacementOrder,
};
use mulberrywell_role::{LogLevel, RoleAction};
use mulberrywell_serving::{EndpointId, EndpointRegistry};
use mulberrywell_wire::serving::{EndpointStatus, ServingConfig, ServingDemand};
use mulberrywell_wire::FrameBody;

use crate::control_event::ControlAction;
use crate::control_role::{send, Actions, ControlRole};
use crate::engine_reports::{engine_spec, pacer_settings, update_engines};
use crate::evacuation_table::EvacuationTable;
use crate::state_summary::text;

/// Minimum time between the orders of two leaders: the platform's lease of 3 s
/// plus a margin for an order in transit.
const LEADER_CHANGE_DELAY: Duration = Duration::from_millis(3_150);

/// Interval of plans that neither a wanted model nor the answer to an order
/// triggers.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two plans. Answers and reports of what callers wait for come
/// in their hundreds each second; one plan covers all of them.
const PLAN_PAUSE: Duration = Duration::from_millis(20);

/// Time from the acceptance of an order until the adapter is ready for
/// requests.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(12);

/// Time after which the answer to an order is treated as unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time for which a leader that is about to hand the leadership over sends no orders; longer
/// than the interval at which it tries again.
const TRANSFER_PAUSE: Duration = Duration::from_millis(500);

/// Time for which an order waits for its engine's limit before it counts as refused.
const DEFER_MAX: Duration = Duration::from_secs(3);

/// Time for which an engine that refused a connection counts as refusing; its heartbeats
/// count as missing by then.
const REFUSING_LIFETIME: Duration = Duration::from_secs(5);

/// An order to be sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Service that the engine belongs to.
    pub service: Bytes,
    /// Address of the engine.
    pub address: Bytes,
    /// The order.
    pub order: PlacementOrder,
    /// Name of this instance.
    pub holder: Bytes,
    /// Fencing token.
    pub token: u64,
}

/// A query for the inventory of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineQuery {
    /// Service that the engine belongs to.
    pub service: Bytes,
    /// The engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: Bytes,
}

/// A planned order that waits for its engine's limit.
#[derive(Debug)]
struct DeferredOrder {
    planned_at: Instant,
    service: Bytes,
    order: PlacementOrder,
}

/// Placement and pending orders of all services with engines.
#[derive(Debug, Default)]
pub struct OrderDispatcher {
    services: BTreeMap<Bytes, DemandPlacement>,
    /// When this leader may start to send orders; `None` on a follower.
    orders_allowed_from: Option<Instant>,
    /// Until when no orders are sent, as the leadership is about to be handed over.
    paused_until: Option<Instant>,
    next_plan: Option<Instant>,
    /// When the last plan was made.
    last_plan: Option<Instant>,
    /// Adapters being loaded, with the time at which they become ready.
    loading: Vec<(Instant, PlacementChange)>,
    /// Orders that are not yet sent, in the order of their plans.
    deferred: VecDeque<DeferredOrder>,
    /// Orders without an answer, with the time at which they were sent.
    sent: Vec<(Instant, EngineOrder)>,
    /// Engines that refused connections, and when entries last reported it.
    refusing: BTreeMap<EndpointStart, Instant>,
}

impl OrderDispatcher {
    /// Starts to plan as the leader, after [`LEADER_CHANGE_DELAY`].
    pub fn become_leader(&mut self, now: Instant) {
        self.services.clear();
        self.loading.clear();
        self.deferred.clear();
        self.sent.clear();
        self.orders_allowed_from = Some(now + LEADER_CHANGE_DELAY);
        self.paused_until = None;
        self.next_plan = Some(now + LEADER_CHANGE_DELAY);
    }

    /// Stops sending orders, drops the pending ones and returns those without an answer.
    pub fn become_follower(&mut self) -> Vec<EngineOrder> {
        self.orders_allowed_from = None;
        self.next_plan = None;
        self.loading.clear();
        self.deferred.clear();
        let sent = std::mem::take(&mut self.sent).into_iter();
        sent.map(|(_, order)| order).collect()
    }

    /// Sends no orders for [`TRANSFER_PAUSE`].
    pub fn pause(&mut self, now: Instant) {
        self.paused_until = Some(now + TRANSFER_PAUSE);
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns when the answer to each order that was sent is known or has timed out; none
    /// if no order waits for its answer.
    pub fn answer_deadline(&self) -> Option<Instant> {
        self.sent.last().map(|(at, _)| *at + ANSWER_TIMEOUT)
    }

    /// Returns when [`OrderDispatcher::plan`], [`OrderDispatcher::pop_due`] or
    /// the time-out of an order is due next.
    pub fn deadline(&self) -> Option<Instant> {
        let loading = self.loading.iter().map(|(at, _)| *at);
        let sent = self.sent.first().map(|(at, _)| *at + ANSWER_TIMEOUT);
        loading.chain(self.next_plan).chain(sent).min()
    }

    /// Records the demand reported by an entry.
    pub fn record_demand(&mut self, now: Instant, demand: &ServingDemand) {
        if self.orders_allowed_from.is_none() {
            return;
        }
        for start in &demand.refusing {
            let start = (start.id.clone(), start.born_ms);
            self.refusing.insert(start, now);
        }
        for share in &demand.shares {
            let placement = self.placement(now, &share.service);
            placement.record_requests(now, &share.model, &share.adapter, share.requests);
        }
        for awaited in &demand.wanted {
            let placement = self.placement(now, &awaited.service);
            let (model, adapter) = (awaited.model.clone(), awaited.adapter.clone());
            placement.record_awaited(now, model, adapter, awaited.software.clone());
        }
        if !demand.wanted.is_empty() || !demand.refusing.is_empty() {
            self.plan_soon(now);
        }
    }

    fn placement(&mut self, now: Instant, service: &Bytes) -> &mut DemandPlacement {
        let placement = self.services.entry(service.clone());
        placement.or_insert_with(|| DemandPlacement::new(now))
    }

    /// Schedules a plan as soon as one is allowed.
    pub(crate) fn plan_soon(&mut self, now: Instant) {
        let pause_end = self.last_plan.map_or(now, |at| now.max(at + PLAN_PAUSE));
        self.next_plan = self.orders_allowed_from.map(|from| from.max(pause_end));
    }

    /// Postpones a plan that is due.
    fn defer_plan(&mut self, now: Instant) {
        self.next_plan = self.next_plan.map(|at| at.max(now + PLAN_INTERVAL));
    }

    /// Returns the orders that are due.
    pub fn plan(
        &mut self,
        now: Instant,
        config: &ServingConfig,
        endpoints: &EndpointRegistry,
        evacuations: &EvacuationTable,
    ) -> Vec<(Bytes, PlacementOrder)> {
        if self.next_plan.is_none_or(|at| at > now) {
            return Vec::new();
        }
        self.next_plan = Some(now + PLAN_INTERVAL);
        self.last_plan = Some(now);
        self.refusing
            .retain(|_, at| now.saturating_duration_since(*at) < REFUSING_LIFETIME);
        let refusing = std::mem::take(&mut self.refusing);
        let mut orders = Vec::new();
        for service in &config.services {
            let Some(traits) = &service.engine else {
                continue;
            };
            let placement = self.placement(now, &service.name);
            placement.set_spec(engine_spec(traits), pacer_settings(traits));
            update_engines(
                now,
                placement,
                &service.name,
                endpoints,
                evacuations,
                &refusing,
            );
            let planned = placement.plan(now).into_iter();
            orders.extend(planned.map(|order| (service.name.clone(), order)));
        }
        self.refusing = refusing;
        orders
    }

    /// Returns the queries for engine inventories that are due.
    fn queries(&mut self, now: Instant, endpoints: &EndpointRegistry) -> Vec<EngineQuery> {
        let mut queries = Vec::new();
        for (service, placement) in &mut self.services {
            for endpoint in placement.inventories_due(now) {
                let status = endpoints.get(&endpoint);
                queries.push(EngineQuery {
                    service: service.clone(),
                    address: status.map(|it| it.address.clone()).unwrap_or_default(),
                    endpoint,
                });
            }
        }
        queries
    }

    /// Applies the answer to an order; returns the change for callers that
    /// takes effect immediately.
    pub fn apply_answer(
        &mut self,
        now: Instant,
        service: &Bytes,
        endpoint: &EndpointId,
        number: OrderNumber,
        answer: OrderAnswer,
    ) -> Option<PlacementChange> {
        let placement = self.services.get_mut(service)?;
        let change = placement.handle_answer(now, endpoint, number, answer)?;
        // An order that freed memory is followed by the load that needs it, so
        // plan now.
        self.plan_soon(now);
        let is_loading = change.is_held && answer == OrderAnswer::Accepted;
        if is_loading && !change.adapter.is_empty() {
            self.loading.push((now + ADAPTER_LOAD_TIME, change));
            return None;
        }
        Some(change)
    }

    /// Removes an answered order; returns `None` if it was abandoned.
    fn remove_sent(&mut self, order: &EngineOrder) -> Option<EngineOrder> {
        let idx = self.sent.iter().position(|(_, sent)| sent == order)?;
        Some(self.sent.remove(idx).1)
    }

    /// Removes and returns the orders whose answer has timed out.
    fn pop_overdue(&mut self, now: Instant) -> Vec<EngineOrder> {
        let is_overdue = |at: &Instant| *at + ANSWER_TIMEOUT <= now;
        let overdue = self.sent.iter().filter(|(at, _)| is_overdue(at));
        let orders = overdue.map(|(_, order)| order.clone()).collect();
        self.sent.retain(|(at, _)| !is_overdue(at));
        orders
    }

    /// Returns whether an engine of a service was ordered to unload a model.
    fn is_unloading(&self, service: &Bytes, endpoint: &EndpointId, model: &Bytes) -> bool {
        let placement = self.services.get(service);
        placement.is_some_and(|placement| placement.is_unloading(endpoint, model))
    }

    /// Removes and returns the changes of adapters that are ready by now.
    pub fn pop_due(&mut self, now: Instant) -> Vec<PlacementChange> {
        let loading = self.loading.iter().filter(|(at, _)| *at <= now);
        let changes = loading.map(|(_, change)| change.clone()).collect();
        self.loading.retain(|(at, _)| *at > now);
        changes
    }
}

impl ControlRole {
    /// Records an entry's demand, or forwards it to the leader.
    pub(crate) fn handle_serving_demand(
        &mut self,
        now: Instant,
        mut demand: ServingDemand,
        actions: &mut Actions,
    ) {
        for endpoint in std::mem::take(&mut demand.leaving) {
            self.serving.record_leaving(&endpoint);
        }
        for endpoint in std::mem::take(&mut demand.limits) {
            self.record_limit(&endpoint, actions);
        }
        if demand.shares.iter().any(|share| share.requests > 0) {
            self.serving.cold.record_traffic();
        }
        if self.is_leader() {
            self.orders.record_demand(now, &demand);
            self.dispatch_orders(now, actions);
        } else if let Some(leader) = self.leader_link() {
            send(leader, FrameBody::ServingDemand(demand), actions);
        }
    }

    /// Returns whether the leadership is handed over, or is about to be.
    fn is_handing_over(&self, now: Instant) -> bool {
        let is_leaving = self.shutdown.has_begun() || self.orders.is_paused(now);
        is_leaving || self.node.is_transferring()
    }

    /// Sends the orders that are due.
    pub(crate) fn dispatch_orders(&mut self, now: Instant, actions: &mut Actions) {
        if !self.is_leader() || self.applied_term != self.term {
            return;
        }
        for change in self.orders.pop_due(now) {
            self.serving.apply_placement_change(&change);
        }
        for order in self.orders.pop_overdue(now) {
            actions.push(RoleAction::RoleSpecific(ControlAction::AbandonOrder(
                order.clone(),
            )));
            self.apply_order_answer(now, &order, OrderAnswer::Unknown, actions);
        }
        self.leave_leadership(now);
        if !self.has_lease(now) || self.is_handing_over(now) {
            self.orders.defer_plan(now);
            return;
        }
        let put = self.state.serving.as_ref();
        let Some(config) = put.and_then(|put| put.config.as_ref()) else {
            return;
        };
        let evacuations = &self.state.evacuations;
        let orders = self
            .orders
            .plan(now, config, &self.serving.endpoints, evacuations);
        let planner = &self.orders;
        if planner.orders_allowed_from.is_some_and(|from| from <= now) {
            self.serving
                .reopen(|status, model| !planner.is_unloading(&status.service, &status.id, model));
        }
        for query in self.orders.queries(now, &self.serving.endpoints) {
            // A query that the limit doesn't allow is due again later.
            if self.acquire_order_permit(now, &query.endpoint) {
                actions.push(RoleAction::RoleSpecific(ControlAction::QueryInventory(
                    query,
                )));
            }
        }
        let deferred = orders.into_iter().map(|(service, order)| DeferredOrder {
            planned_at: now,
            service,
            order,
        });
        self.orders.deferred.extend(deferred);
        self.dispatch_deferred(now, actions);
    }

    /// Sends the planned orders that the limits of their engines allow, those of one
    /// engine in the order of their plans.
    fn dispatch_deferred(&mut self, now: Instant, actions: &mut Actions) {
        let mut blocked = BTreeSet::new();
        for deferred in std::mem::take(&mut self.orders.deferred) {
            let endpoint = &deferred.order.endpoint;
            if !blocked.contains(endpoint) && self.acquire_order_permit(now, endpoint) {
                self.dispatch_order(now, deferred.service, deferred.order, actions);
                continue;
            }
            blocked.insert(endpoint.clone());
            if now.saturating_duration_since(deferred.planned_at) < DEFER_MAX {
                self.orders.deferred.push_back(deferred);
                continue;
            }
            let DeferredOrder { service, order, .. } = deferred;
            let line = format!("order {} outcome=deferred_too_long", describe_order(&order));
            actions.push(RoleAction::Log(LogLevel::Info, line));
            let refused = OrderAnswer::Refused;
            let change =
                self.orders
                    .apply_answer(now, &service, &order.endpoint, order.number, refused);
            if let Some(change) = change {
                self.serving.apply_placement_change(&change);
            }
        }
    }

    /// Handles the inventory of an engine; `None` if the query failed.
    pub(crate) fn handle_inventory(
        &mut self,
        now: Instant,
        query: &EngineQuery,
        inventory: Option<&EngineInventory>,
        actions: &mut Actions,
    ) {
        let line = format!(
            "inventory endpoint={} orders={:?} busy={:?}",
            text(&query.endpoint),
            inventory.map(|it| it.orders),
            inventory.map(|it| it.is_busy),
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        let placement = self.orders.services.get_mut(&query.service);
        let is_applied = placement
            .is_some_and(|placement| placement.handle_inventory(now, &query.endpoint, inventory));
        if let Some(inventory) = inventory.filter(|_| is_applied) {
            self.serving
                .record_models(&query.endpoint, &inventory.models);
        }
    }

    fn dispatch_order(
        &mut self,
        now: Instant,
        service: Bytes,
        order: PlacementOrder,
        actions: &mut Actions,
    ) {
        let status = self.serving.endpoints.get(&order.endpoint);
        // A deferred order may be older than the evacuation of the engine's zone.
        let evacuations = &self.state.evacuations;
        let status = status.filter(|status| !evacuations.contains(&status.zone));
        let address = status.map(|status| status.address.clone());
        let Some(address) = address else {
            let refused = OrderAnswer::Refused;
            self.orders
                .apply_answer(now, &service, &order.endpoint, order.number, refused);
            return;
        };
        let line = format!(
            "order {} token={} outcome=sent",
            describe_order(&order),
            self.term
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        if order.verb == OrderVerb::Unload {
            // Stop routing requests to the model before it is unloaded.
            self.serving.apply_placement_change(&PlacementChange {
                endpoint: order.endpoint.clone(),
                model: order.model.clone(),
                adapter: order.adapter.clone(),
                is_held: false,
            });
        }
        let order = EngineOrder {
            service,
            address,
            order,
            holder: self.config.instance.clone(),
            token: self.term,
        };
        self.orders.sent.push((now, order.clone()));
        actions.push(RoleAction::RoleSpecific(ControlAction::Order(order)));
    }

    /// Handles the answer to an order.
    pub(crate) fn handle_order_answer(
        &mut self,
        now: Instant,
        order: &EngineOrder,
        answer: OrderAnswer,
        actions: &mut Actions,
    ) {
        if self.orders.remove_sent(order).is_some() {
            self.apply_order_answer(now, order, answer, actions);
            self.dispatch_orders(now, actions);
        }
    }

    fn apply_order_answer(
        &mut self,
        now: Instant,
        order: &EngineOrder,
        answer: OrderAnswer,
        actions: &mut Actions,
    ) {
        let line = format!("order {} outcome={answer:?}", describe_order(&order.order));
        actions.push(RoleAction::Log(LogLevel::Info, line));
        let placed = &order.order;
        let change =
            self.orders
                .apply_answer(now, &order.service, &placed.endpoint, placed.number, answer);
        if let Some(change) = change {
            self.serving.apply_placement_change(&change);
        }
    }
}

fn describe_order(order: &PlacementOrder) -> String {
    format!(
        "number={} verb={:?} endpoint={} model={} adapter={}",
        order.number,
        order.verb,
        text(&order.endpoint),
        text(&order.model),
        text(&order.adapter)
    )
}

/// Applies a change to the models and adapters of an endpoint; returns whether
/// the status changed.
///
/// The endpoint itself reports which models it has loaded; for a model, only
/// whether it receives requests is changed here.
pub(crate) fn apply_change(status: &mut EndpointStatus, change: &PlacementChange) -> bool {
    if change.adapter.is_empty() {
        return apply_closing(&mut status.closing, change);
    }
    let mut models = status.models.iter_mut();
    let Some(held) = models.find(|held| held.name == change.model) else {
        return false;
    };
    set_listed(&mut held.adapters, &change.adapter, change.is_held)
}

fn apply_closing(closing: &mut Vec<Bytes>, change: &PlacementChange) -> bool {
    set_listed(closing, &change.model, !change.is_held)
}

/// Adds a name to a list or removes it; returns whether the list changed.
fn set_listed(names: &mut Vec<Bytes>, name: &Bytes, is_listed: bool) -> bool {
    let idx = names.iter().position(|known| known == name);
    match (idx, is_listed) {
        (None, true) => names.push(name.clone()),
        (Some(idx), false) => {
            names.remove(idx);
        }
        _ => return false,
    }
    true
}
