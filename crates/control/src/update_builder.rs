//! Builds the updates that readers of the configuration get.

use mulberrywell_wire::config::Update;

use crate::cluster_state::ClusterState;

/// Returns the whole configuration.
pub fn whole_update(state: &ClusterState) -> Update {
    Update {
        base: 0,
        version: state.version,
        whole: true,
        cluster: state.cluster,
        plans: state.plans.values().cloned().collect(),
        accounts: state.accounts.values().cloned().collect(),
        keys: state.keys.values().cloned().collect(),
        models: state.models.values().cloned().collect(),
        services: state.services.values().cloned().collect(),
        grants: state.grants.values().cloned().collect(),
        endpoints: state
            .endpoints
            .values()
            .map(|record| record.item.clone())
            .collect(),
        removals: Vec::new(),
        more: false,
    }
}
