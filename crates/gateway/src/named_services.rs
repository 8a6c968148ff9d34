//! The services that the configuration in force names, and the endpoints that count by it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use mulberrywell_wire::serving::EndpointStatus;

use crate::endpoint_table::EndpointTable;

impl EndpointTable {
    /// Sets the services that the configuration in force names; returns whether other
    /// endpoints than before count.
    pub fn set_services(&mut self, services: BTreeSet<Bytes>) -> bool {
        let change = self.registry.set_services(services);
        if change.is_empty() {
            return false;
        }
        for id in change.promoted.iter().chain(&change.restored) {
            self.update_usage(id);
        }
        self.rebuild_index();
        true
    }
}

/// Returns an endpoint's network address; none when it can't be parsed.
pub(crate) fn parse_address(status: &EndpointStatus) -> Option<SocketAddr> {
    let text = std::str::from_utf8(&status.address);
    text.ok()?.parse().ok()
}
