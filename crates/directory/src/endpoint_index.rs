//! Index of the endpoints that serve a model or service.
//!
//! Purpose: the choice for a request examines only the endpoints that can serve
//! it. The index is updated as endpoints are added, changed and removed.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_wire::config::EndpointItem;

use crate::{EndpointName, ModelName, ServiceName};

/// Endpoint names by what they serve.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointIndex {
    /// Engines by resident model; no set is empty.
    models: BTreeMap<ModelName, BTreeSet<EndpointName>>,
    /// Endpoints of plain services by service; no set is empty.
    services: BTreeMap<ServiceName, BTreeSet<EndpointName>>,
}

impl EndpointIndex {
    /// Adds an endpoint that is not in the index.
    pub fn insert(&mut self, endpoint: &EndpointItem) {
        let name = &endpoint.name;
        if endpoint.engine {
            for model in &endpoint.resident {
                let names = self.models.entry(model.clone()).or_default();
                names.insert(name.clone());
            }
        } else {
            let names = self.services.entry(endpoint.pool.clone()).or_default();
            names.insert(name.clone());
        }
    }

    /// Removes an endpoint; its fields must be those with which it was inserted.
    pub fn remove(&mut self, endpoint: &EndpointItem) {
        let name = &endpoint.name;
        if endpoint.engine {
            for model in &endpoint.resident {
                remove_name(&mut self.models, model, name);
            }
        } else {
            remove_name(&mut self.services, &endpoint.pool, name);
        }
    }

    /// Returns the engines that have a model resident, ordered by name.
    pub fn endpoints_of_model(&self, model: &ModelName) -> impl Iterator<Item = &EndpointName> {
        self.models.get(model).into_iter().flatten()
    }

    /// Returns the endpoints of a plain service, ordered by name.
    pub fn endpoints_of_service(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &EndpointName> {
        self.services.get(service).into_iter().flatten()
    }
}

fn remove_name(sets: &mut BTreeMap<Bytes, BTreeSet<Bytes>>, key: &Bytes, name: &EndpointName) {
    if let Some(names) = sets.get_mut(key) {
        names.remove(name);
        if names.is_empty() {
            sets.remove(key);
        }
    }
}
