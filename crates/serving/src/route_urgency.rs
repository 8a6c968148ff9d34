//! Which routes of a configuration are deferrable.
//!
//! Algorithm: a route is deferrable at a service if a more urgent route of the same
//! service has a latency objective that is several times tighter. Work of a deferrable
//! route can yield to urgent work and still meet its own objective. A configuration
//! without such a pair has no deferrable routes.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_wire::serving::{ServingConfig, ServingRoute};

/// Factor between the objectives of an urgent and of a deferrable route. Below it, work
/// that yields to an urgent request of its usual duration misses its own objective.
const DEFERRABLE_FACTOR: u64 = 4;

/// Priorities and objectives of the routes of each service.
#[derive(Debug, Default)]
pub(crate) struct RouteUrgency {
    /// By service: priority and objective in milliseconds of each of its routes with an
    /// objective.
    services: BTreeMap<Bytes, Vec<(u32, u64)>>,
}

impl RouteUrgency {
    pub(crate) fn of(config: &ServingConfig) -> Self {
        let mut services: BTreeMap<Bytes, Vec<(u32, u64)>> = BTreeMap::new();
        for route in config.routes.iter().filter(|route| route.objective_ms > 0) {
            for share in &route.shares {
                let entries = services.entry(share.service.clone()).or_default();
                let entry = (route.priority, route.objective_ms);
                if !entries.contains(&entry) {
                    entries.push(entry);
                }
            }
        }
        RouteUrgency { services }
    }

    pub(crate) fn is_deferrable(&self, route: &ServingRoute) -> bool {
        let mut services = route.shares.iter().map(|share| &share.service);
        let entry = (route.priority, route.objective_ms);
        services.any(|service| self.is_deferrable_at(service, entry))
    }

    pub(crate) fn has_deferrable(&self, service: &Bytes) -> bool {
        let entries = self.services.get(service).into_iter().flatten();
        let mut entries = entries.copied();
        entries.any(|entry| self.is_deferrable_at(service, entry))
    }

    /// Returns the tightest objective in milliseconds of the routes of a service that are
    /// more urgent than a priority.
    pub(crate) fn urgent_objective(&self, service: &Bytes, priority: u32) -> Option<u64> {
        let entries = self.services.get(service).into_iter().flatten();
        let urgent = entries.filter(|(other, _)| *other < priority);
        urgent.map(|(_, objective)| *objective).min()
    }

    fn is_deferrable_at(&self, service: &Bytes, (priority, objective): (u32, u64)) -> bool {
        let mut entries = self.services.get(service).into_iter().flatten();
        entries.any(|(other_priority, other_objective)| {
            *other_priority < priority
                && other_objective.saturating_mul(DEFERRABLE_FACTOR) <= objective
        })
    }
}
