//! Subscribers to the configuration and the version sent to each.

use std::collections::BTreeMap;

use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_wire::config::Subscribe;
use mulberrywell_wire::FrameBody;

use crate::cluster_state::ClusterState;
use crate::update_builder::updates_since;

/// All subscribers linked to this instance.
#[derive(Debug, Default)]
pub struct SubscriberTable {
    /// Version that each subscriber has after applying what was sent to it;
    /// within one cluster it only rises.
    subscribers: BTreeMap<LinkId, Subscribe>,
}

impl SubscriberTable {
    /// Adds a subscriber, or updates the version that a known one has.
    pub fn insert(&mut self, link: LinkId, sent: Subscribe) {
        self.subscribers.insert(link, sent);
    }

    /// Returns whether a link is a subscriber's.
    pub fn contains(&self, link: LinkId) -> bool {
        self.subscribers.contains_key(&link)
    }

    /// Removes a subscriber.
    pub fn remove(&mut self, link: LinkId) {
        self.subscribers.remove(&link);
    }

    /// Appends the updates that bring every subscriber to the state's version.
    pub fn distribute(&mut self, state: &ClusterState, commands: &mut Vec<LinkCommand>) {
        for (link, sent) in &mut self.subscribers {
            let updates = updates_since(state, sent);
            if updates.is_empty() {
                continue;
            }
            *sent = Subscribe {
                version: state.version,
                cluster: state.cluster,
            };
            let frames = updates.into_iter().map(FrameBody::Update);
            commands.extend(frames.map(|body| LinkCommand::Send { link: *link, body }));
        }
    }
}
