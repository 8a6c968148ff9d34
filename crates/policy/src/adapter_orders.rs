//! Adapter orders of [`DemandPlacement`]: an adapter goes where its model is held and
//! a place is free, or replaces the least recently used one.

use std::time::{Duration, Instant};

use crate::demand_placement::DemandPlacement;
use crate::demand_tracker::AwaitedModel;
use crate::demand_types::{EngineInventory, OrderAnswer, OrderVerb, PlacementOrder};
use crate::engine_state::{OpenOrder, VersionFit, SETTLE_TIME};
use crate::placement_types::{EndpointName, ModelName};

/// Time without use after which an adapter may be evicted.
const ADAPTER_IDLE: Duration = Duration::from_millis(1_200);

/// Adapters that may be loading on an engine concurrently.
const PENDING_ADAPTER_LOADS_MAX: usize = 4;

impl DemandPlacement {
    /// Returns an accepted load for each adapter of an inventory, because the
    /// engine's next heartbeat may not contain them yet.
    pub(crate) fn accepted_adapter_loads(
        &mut self,
        now: Instant,
        endpoint: &EndpointName,
        inventory: &EngineInventory,
    ) -> Vec<OpenOrder> {
        let mut open_orders = Vec::new();
        for (model, adapters) in &inventory.models {
            for adapter in adapters {
                open_orders.push(OpenOrder {
                    order: self.new_order(endpoint, OrderVerb::Load, model, adapter),
                    answer: Some(OrderAnswer::Accepted),
                    expires_at: now + SETTLE_TIME,
                });
            }
        }
        open_orders
    }

    pub(crate) fn holds_adapter(&self, awaited: &AwaitedModel, fit: VersionFit<'_>) -> bool {
        let mut engines = self.engines.values();
        engines.any(|state| {
            state.report.is_usable
                && state.fits(fit)
                && state.will_hold_adapter(&awaited.model, &awaited.adapter)
        })
    }

    /// Issues the next order towards loading an awaited adapter on an engine that fits: its
    /// load, or an unload that frees a place for it.
    pub(crate) fn add_adapter(
        &mut self,
        now: Instant,
        awaited: &AwaitedModel,
        fit: VersionFit<'_>,
        orders: &mut Vec<PlacementOrder>,
    ) {
        let AwaitedModel { model, adapter, .. } = awaited;
        let Some(size) = self.spec_of(model).map(|spec| spec.adapter_mb) else {
            return;
        };
        let holders = self.engines.iter().filter(|(_, state)| {
            let held = state.report.models.contains_key(model) && state.fits(fit);
            state.can_accept_order() && held && !state.is_unloading(model)
        });
        let with_capacity = holders.clone().filter(|(_, state)| {
            state.occupied_adapter_places() < self.spec.adapter_places
                && state.pending_adapter_loads() < PENDING_ADAPTER_LOADS_MAX
                && self.free_mb(state) >= size
        });
        if let Some((endpoint, _)) =
            with_capacity.min_by_key(|(_, state)| state.occupied_adapter_places())
        {
            let order = self.new_order(&endpoint.clone(), OrderVerb::Load, model, adapter);
            self.issue_order(now, order, orders);
            return;
        }
        let mut least_recent: Option<(Option<Instant>, EndpointName, (ModelName, ModelName))> =
            None;
        for (endpoint, state) in holders {
            if state.has_adapter_unload() {
                return;
            }
            for key in state.adapters() {
                let last_use = self.demand.last_use(&key);
                let is_idle =
                    last_use.is_none_or(|at| now.saturating_duration_since(at) >= ADAPTER_IDLE);
                if is_idle
                    && least_recent
                        .as_ref()
                        .is_none_or(|(least, ..)| last_use < *least)
                {
                    least_recent = Some((last_use, endpoint.clone(), key));
                }
            }
        }
        if let Some((_, endpoint, (base, name))) = least_recent {
            let order = self.new_order(&endpoint, OrderVerb::Unload, &base, &name);
            self.issue_order(now, order, orders);
        }
    }
}
