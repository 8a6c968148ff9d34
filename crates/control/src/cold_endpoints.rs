//! Endpoints that are cold, as a control instance knows them.
//!
//! The instance that hears a heartbeat tells the time that is left to the other instances
//! and to its subscribers, whenever it differs from what was known. Each holder keeps its
//! end by its own clock. Nothing is durable: the next heartbeat tells the state again.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{EndpointStart, MilliRate};
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::serving::EndpointStatus;

use crate::cluster_state::ClusterState;
use crate::control_role::ControlRole;
use crate::serving_registry::ServingRegistry;

/// Time after the end of an evacuation for which heartbeats may have been sent before
/// it; a heartbeat takes some tens of milliseconds between zones.
const EVACUATION_GRACE: Duration = Duration::from_millis(200);

/// Start under which the permits of all starts at one address are counted.
const ADDRESS_START: u64 = 0;

impl ControlRole {
    /// Takes the endpoints of a zone whose evacuation has ended for cold until their next
    /// heartbeat, and tells all others with the next update.
    pub fn expect_cold_zone(&mut self, now: Instant, zone: &Bytes) {
        let serving = &mut self.serving;
        let registry = &serving.endpoints;
        let changed = serving
            .cold
            .expect_zone(now, zone, registry, EVACUATION_GRACE);
        serving.changed.extend(changed.iter().cloned());
        serving.own_changed.extend(changed);
    }
}

impl ServingRegistry {
    /// Applies the cold times of the configuration in force.
    pub(crate) fn update_cold(&mut self, state: &ClusterState) {
        let put = state.serving.as_ref();
        if let Some(config) = put.and_then(|put| put.config.as_ref()) {
            self.cold.set_config(config);
        }
        if !self.changed.is_empty() {
            self.cold.remove_gone(&self.endpoints);
        }
    }

    /// Records what a heartbeat says of the endpoint's cold time, and removes it from the
    /// status.
    pub(crate) fn record_cold(&mut self, now: Instant, status: &mut EndpointStatus) {
        if self.record_cold_of_peer(now, status) {
            self.own_changed.insert(status.id.clone());
        }
    }

    /// Does the same with a status that another control instance sent to all; returns whether
    /// something changed.
    pub(crate) fn record_cold_of_peer(
        &mut self,
        now: Instant,
        status: &mut EndpointStatus,
    ) -> bool {
        let change = self.cold.record_status(now, status);
        status.cold_left_ms = None;
        if change.is_some() {
            self.changed.insert(status.id.clone());
        }
        change.is_some()
    }

    /// Returns whether an endpoint is taken for cold now.
    pub(crate) fn is_cold(&self, now: Instant, id: &EndpointId) -> bool {
        let status = self.endpoints.get(id);
        status.is_some_and(|status| self.cold.rate(now, status).is_some())
    }

    /// Returns a status as it is sent now, with the cold time that is left.
    pub(crate) fn sent_status(&self, now: Instant, status: &EndpointStatus) -> EndpointStatus {
        EndpointStatus {
            cold_left_ms: self.cold.left_ms(now, status),
            ..status.clone()
        }
    }

    /// Returns the rate that a start of an endpoint takes while it is cold; none if it is
    /// not, or is not known. `is_cold` tells what the asking gateway knows.
    pub(crate) fn cold_rate(
        &self,
        now: Instant,
        start: &EndpointStart,
        is_cold: bool,
    ) -> Option<MilliRate> {
        let status = self.start_status(start)?;
        let rate = self.cold.rate(now, status);
        rate.or_else(|| self.cold.service_rate(&status.service).filter(|_| is_cold))
    }

    /// Returns what the permits of a start are counted by. Where endpoints can be cold it
    /// is the address, so that a restart doesn't begin a second bucket: probes of the
    /// former start reach the new one.
    pub(crate) fn permit_start(&self, start: &EndpointStart) -> EndpointStart {
        let status = self.start_status(start);
        let status = status.filter(|status| self.cold.covers(&status.service));
        status.map_or_else(
            || start.clone(),
            |status| (status.address.clone(), ADDRESS_START),
        )
    }

    fn start_status(&self, start: &EndpointStart) -> Option<&EndpointStatus> {
        let (id, born_ms): (&EndpointId, u64) = (&start.0, start.1);
        self.endpoints.get(id).filter(|it| it.born_ms == born_ms)
    }
}
