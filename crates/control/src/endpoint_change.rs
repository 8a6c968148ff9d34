//! Commands that register endpoints and change their state according to the
//! state chart.
//!
//! Guarantees: a later incarnation replaces an earlier one and gets a higher
//! fencing token; from then on the earlier one is always refused.

use mulberrywell_wire::command::{EndpointSignal, PutEndpoint, SetEndpointState};
use mulberrywell_wire::config::{EndpointItem, EndpointState, ItemKind};

use crate::cluster_state::{ClusterState, EndpointRecord};
use crate::command_outcome::EditConflict;

impl ClusterState {
    pub(crate) fn put_endpoint(&mut self, put: &PutEndpoint) -> Result<u64, EditConflict> {
        let item = put.endpoint.as_ref().ok_or(EditConflict::NotFound)?;
        let known = self.endpoints.get(&item.name);
        if let Some(known) = known.filter(|known| known.item.incarnation > item.incarnation) {
            return Err(EditConflict::OldIncarnation {
                incarnation: known.item.incarnation,
            });
        }
        let same = known.filter(|known| known.item.incarnation == item.incarnation);
        let fencing = same.map_or(self.fencing + 1, |known| known.item.fencing);
        let state = self.announced_state(same, item);
        self.fencing = self.fencing.max(fencing);
        let record = EndpointRecord {
            item: EndpointItem {
                fencing,
                state: state.into(),
                ..item.clone()
            },
            memory_mib: put.memory_mib,
            slots: put.slots,
            accelerators: put.accelerators,
        };
        self.record_change(ItemKind::Endpoint, &item.name);
        self.endpoints.insert(item.name.clone(), record);
        Ok(self.advance_version())
    }

    /// Returns the state of an endpoint after an announcement; `same` is the
    /// registration of the same incarnation, if there is one.
    pub(crate) fn announced_state(
        &self,
        same: Option<&EndpointRecord>,
        item: &EndpointItem,
    ) -> EndpointState {
        let state = same.map_or(self.chart.initial(), |known| known.item.state());
        let signal = match item.state() {
            EndpointState::Live => EndpointSignal::Ready,
            EndpointState::Leaving => EndpointSignal::Drain,
            _ => EndpointSignal::Unspecified,
        };
        self.chart.next(state, signal).unwrap_or(state)
    }

    pub(crate) fn signal_endpoint(&mut self, set: &SetEndpointState) -> Result<u64, EditConflict> {
        let record = self
            .endpoints
            .get_mut(&set.name)
            .ok_or(EditConflict::NotFound)?;
        if record.item.incarnation != set.incarnation {
            return Err(EditConflict::OldIncarnation {
                incarnation: record.item.incarnation,
            });
        }
        let Some(next) = self.chart.next(record.item.state(), set.signal()) else {
            return Ok(self.version);
        };
        record.item.state = next.into();
        if next == EndpointState::Gone {
            self.endpoints.remove(&set.name);
        }
        self.record_change(ItemKind::Endpoint, &set.name);
        Ok(self.advance_version())
    }
}
