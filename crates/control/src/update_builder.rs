//! Builds the configuration updates for subscribers.
//!
//! Algorithm: a subscriber whose version is covered by the change history gets
//! one delta. Any other gets the full configuration in parts of at most
//! [`PART_ITEMS`] items, which the subscriber applies together.

use mulberrywell_wire::config::{
    EndpointItem, EndpointState, ItemKind, Removal, Subscribe, Update,
};

use crate::change_history::ItemRef;
use crate::cluster_state::ClusterState;

/// Maximum number of items in one part of the full configuration.
const PART_ITEMS: usize = 2_000;

/// Returns the updates that bring a subscriber up to date. Returns none if the
/// subscriber has the state's version already, or a later one that another
/// member sent it.
pub fn updates_since(state: &ClusterState, subscriber: &Subscribe) -> Vec<Update> {
    let same = subscriber.cluster == state.cluster;
    if state.cluster == 0 || (same && subscriber.version >= state.version) {
        return Vec::new();
    }
    let known = same && subscriber.version != 0;
    let items = state.history.since(subscriber.version).filter(|_| known);
    let Some(items) = items else {
        return full_updates(state);
    };
    let mut update = empty_update(state);
    update.base = subscriber.version;
    for item in items {
        add_item(state, item, &mut update);
    }
    vec![update]
}

/// Returns the full configuration in parts.
fn full_updates(state: &ClusterState) -> Vec<Update> {
    let items = all_items(state);
    let mut updates: Vec<Update> = Vec::new();
    for part in items.chunks(PART_ITEMS) {
        let mut update = empty_update(state);
        update.whole = true;
        update.more = true;
        for item in part {
            add_item(state, item, &mut update);
        }
        updates.push(update);
    }
    if updates.is_empty() {
        let mut update = empty_update(state);
        update.whole = true;
        updates.push(update);
    }
    if let Some(last) = updates.last_mut() {
        last.more = false;
    }
    updates
}

fn all_items(state: &ClusterState) -> Vec<ItemRef> {
    let mut items = Vec::new();
    let mut add = |kind, name: &bytes::Bytes| {
        items.push(ItemRef {
            kind,
            name: name.clone(),
        });
    };
    state
        .plans
        .keys()
        .for_each(|name| add(ItemKind::Plan, name));
    state
        .accounts
        .keys()
        .for_each(|name| add(ItemKind::Account, name));
    state.keys.keys().for_each(|name| add(ItemKind::Key, name));
    state
        .models
        .keys()
        .for_each(|name| add(ItemKind::Model, name));
    state
        .services
        .keys()
        .for_each(|name| add(ItemKind::Service, name));
    state
        .grants
        .keys()
        .for_each(|name| add(ItemKind::Grant, name));
    state
        .endpoints
        .keys()
        .for_each(|name| add(ItemKind::Endpoint, name));
    items
}

fn empty_update(state: &ClusterState) -> Update {
    Update {
        version: state.version,
        cluster: state.cluster,
        ..Update::default()
    }
}

/// Adds an item's current content, or its removal.
fn add_item(state: &ClusterState, item: &ItemRef, update: &mut Update) {
    let name = &item.name;
    let found = match item.kind {
        ItemKind::Plan => push(state.plans.get(name), &mut update.plans),
        ItemKind::Account => push(state.accounts.get(name), &mut update.accounts),
        ItemKind::Key => push(state.keys.get(name), &mut update.keys),
        ItemKind::Model => push(state.models.get(name), &mut update.models),
        ItemKind::Service => push(state.services.get(name), &mut update.services),
        ItemKind::Grant => push(state.grants.get(name), &mut update.grants),
        ItemKind::Endpoint => {
            let item = state.endpoints.get(name).map(|record| &record.item);
            update
                .endpoints
                .extend(item.map(|item| listed_endpoint(state, item)));
            item.is_some()
        }
        ItemKind::Unspecified => true,
    };
    if !found {
        update.removals.push(Removal {
            kind: item.kind.into(),
            name: name.clone(),
        });
    }
}

/// Returns an endpoint as subscribers are told of it: one in an evacuated zone gets no
/// requests, like one that is leaving.
fn listed_endpoint(state: &ClusterState, item: &EndpointItem) -> EndpointItem {
    let mut item = item.clone();
    if item.state() != EndpointState::Gone && state.evacuations.contains(&item.zone) {
        item.set_state(EndpointState::Leaving);
    }
    item
}

fn push<T: Clone>(item: Option<&T>, items: &mut Vec<T>) -> bool {
    items.extend(item.cloned());
    item.is_some()
}
