//! Registered endpoints, and the subscribers that receive them and the serving
//! configuration.
//!
//! Algorithm: each control instance handles heartbeats itself and sends the
//! resulting changes to its subscribers and to the other instances. An endpoint
//! belongs to the instance that received its last heartbeat; that instance
//! detects when the heartbeats stop. No leader is needed, so a partitioned
//! group of instances continues with the heartbeats it receives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::PlacementChange;
use mulberrywell_role::{LinkCommand, LinkId};
use mulberrywell_serving::{
    verify_status, ColdEndpoints, EndpointId, EndpointRegistry, MergeOutcome, UnnamedKey,
};
use mulberrywell_wire::serving::{
    EndpointLimit, EndpointPhase, EndpointStatus, HeldModel, LeavingEndpoint, LimitedEndpoint,
    ServiceSoftware, ServingAttach, ServingUpdate,
};

use crate::cluster_state::ClusterState;
use crate::ended_endpoints::EndedEndpoints;
use crate::evacuation_view::{EvacuationView, ListPosition};
use crate::order_dispatcher::apply_change;
use crate::outrun_endpoints::OutrunEndpoints;
use crate::update_frames::push_update;

/// Time without heartbeats after which an endpoint is marked silent: three
/// heartbeats of the platform's usual 1.2 s plus a margin for late ones.
const SILENT_AFTER: Duration = Duration::from_millis(4_500);

/// What a subscriber has been sent.
#[derive(Debug, Default)]
struct SubscriberRecord {
    /// Name of the subscriber's instance, which may have several links.
    instance: Bytes,
    /// Version of the serving configuration.
    version: u64,
    /// Whether all endpoints have been sent.
    has_all_endpoints: bool,
    /// Position of the list of evacuations.
    evacuations: Option<ListPosition>,
    /// Number of the list of software versions; 0 before the first one.
    software: u64,
}

/// The endpoints and their subscribers.
#[derive(Debug, Default)]
pub struct ServingRegistry {
    /// All endpoints.
    pub endpoints: EndpointRegistry,
    /// The cold ones of them.
    pub(crate) cold: ColdEndpoints,
    /// When each endpoint that belongs to this instance sent its last
    /// heartbeat.
    last_heard: BTreeMap<EndpointId, Instant>,
    /// The same of each status that is kept aside.
    unnamed_heard: BTreeMap<UnnamedKey, Instant>,
    /// Version of the configuration whose services are set.
    services_version: u64,
    /// Endpoints that send lower sequences than their records have.
    outrun: OutrunEndpoints,
    subscribers: BTreeMap<LinkId, SubscriberRecord>,
    /// Control instances that have not yet been sent all endpoints.
    unsynced_peers: BTreeSet<LinkId>,
    /// Endpoints with changes that have not been sent to subscribers.
    pub(crate) changed: BTreeSet<EndpointId>,
    /// The endpoints in `changed` whose change originates at this instance.
    pub(crate) own_changed: BTreeSet<EndpointId>,
    /// Addresses of all control instances but the observers in the last update.
    controls: Vec<Bytes>,
    /// Software versions of each service in the log, as in the last list, and how often
    /// they have changed.
    software: (BTreeMap<Bytes, BTreeSet<Bytes>>, u64),
}

impl ServingRegistry {
    /// Adds a subscriber.
    pub fn attach(&mut self, link: LinkId, instance: Bytes, attach: &ServingAttach) {
        let record = SubscriberRecord {
            instance,
            version: attach.version,
            has_all_endpoints: false,
            evacuations: None,
            software: 0,
        };
        self.subscribers.insert(link, record);
    }

    /// Removes a subscriber or control instance.
    pub fn detach(&mut self, link: LinkId) {
        self.subscribers.remove(&link);
        self.unsynced_peers.remove(&link);
    }

    /// Adds a control instance; the next distribution sends it all endpoints.
    pub fn insert_peer(&mut self, link: LinkId) {
        self.unsynced_peers.insert(link);
    }

    /// Applies the change that an order makes at an endpoint.
    pub fn apply_placement_change(&mut self, change: &PlacementChange) {
        let Some(status) = self.endpoints.get_mut(&change.endpoint) else {
            return;
        };
        if apply_change(status, change) {
            self.changed.insert(change.endpoint.clone());
            self.own_changed.insert(change.endpoint.clone());
        }
    }

    /// Records the models and adapters that an endpoint has loaded, unless their names
    /// exceed what a status may hold.
    pub fn record_models(
        &mut self,
        endpoint: &EndpointId,
        models: &BTreeMap<Bytes, BTreeSet<Bytes>>,
    ) {
        let Some(status) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let held = models.iter().map(|(name, adapters)| {
            let known = status.models.iter().find(|held| held.name == *name);
            HeldModel {
                name: name.clone(),
                version: known.map_or(0, |held| held.version),
                adapters: adapters.iter().cloned().collect(),
            }
        });
        let held: Vec<HeldModel> = held.collect();
        if status.models == held {
            return;
        }
        let former = std::mem::replace(&mut status.models, held);
        if verify_status(status).is_err() {
            status.models = former;
            return;
        }
        self.changed.insert(endpoint.clone());
        self.own_changed.insert(endpoint.clone());
    }

    /// Records that an endpoint announced in a response that it is leaving.
    pub fn record_leaving(&mut self, leaving: &LeavingEndpoint) {
        let Some(status) = self.endpoints.get_mut(&leaving.id) else {
            return;
        };
        if status.born_ms == leaving.born_ms && !status.leaving {
            status.leaving = true;
            self.changed.insert(leaving.id.clone());
            self.own_changed.insert(leaving.id.clone());
        }
    }

    /// Records the limit that an endpoint named in a response; returns whether it is
    /// new.
    pub fn record_limit(&mut self, endpoint: &LimitedEndpoint) -> bool {
        let is_new = self.endpoints.record_limit(endpoint);
        if is_new {
            self.changed.insert(endpoint.id.clone());
            self.own_changed.insert(endpoint.id.clone());
        }
        is_new
    }

    /// Returns the limit of a start of an endpoint, if it has named one.
    pub fn limit(&self, id: &EndpointId, born_ms: u64) -> Option<EndpointLimit> {
        let status = self.endpoints.get(id);
        status.filter(|status| status.born_ms == born_ms)?.limit
    }

    /// Resumes requests for models that are no longer to be unloaded.
    pub fn reopen(&mut self, is_kept: impl Fn(&EndpointStatus, &Bytes) -> bool) {
        let closing = self.endpoints.present().flat_map(|status| {
            let models = status.closing.iter();
            models.map(move |model| (status, model))
        });
        let kept = closing.filter(|(status, model)| is_kept(status, model));
        let changes: Vec<PlacementChange> = kept
            .map(|(status, model)| PlacementChange {
                endpoint: status.id.clone(),
                model: model.clone(),
                adapter: Bytes::new(),
                is_held: true,
            })
            .collect();
        for change in changes {
            self.apply_placement_change(&change);
        }
    }

    /// Applies a status received from an endpoint, unless it was sent before its endpoint
    /// `ended`.
    pub fn apply_status(
        &mut self,
        now: Instant,
        mut status: EndpointStatus,
        ended: &EndedEndpoints,
    ) -> MergeOutcome {
        let id = status.id.clone();
        let is_gone = status.phase() == EndpointPhase::Gone;
        let is_aside = self.endpoints.is_aside(&status);
        if !is_aside {
            let sequence = self.known_sequence(&status, ended);
            self.outrun.adjust(now, sequence, &mut status, SILENT_AFTER);
        }
        if ended.is_late(&status) {
            return MergeOutcome::Stale;
        }
        if is_aside {
            return self.keep_aside(now, status);
        }
        let known = self.endpoints.get(&id);
        if let Some(known) = known {
            if known.born_ms == status.born_ms {
                status.leaving = known.leaving;
                status.limit = known.limit;
                let held = |model: &&Bytes| status.models.iter().any(|it| it.name == **model);
                status.closing = known.closing.iter().filter(held).cloned().collect();
            }
        }
        self.record_cold(now, &mut status);
        let is_routed = self.changes_routing(&status);
        let outcome = self.endpoints.merge(status);
        self.remove_forgotten();
        if self.endpoints.is_displaced(&id) {
            self.last_heard.insert(id.clone(), now);
        }
        if matches!(outcome, MergeOutcome::Stale | MergeOutcome::Full) {
            return outcome;
        }
        if is_gone {
            self.last_heard.remove(&id);
        } else {
            self.last_heard.insert(id.clone(), now);
        }
        if outcome == MergeOutcome::Changed {
            if is_routed {
                self.changed.insert(id.clone());
            }
            self.own_changed.insert(id);
        }
        outcome
    }

    /// Returns the highest sequence that is recorded of a status's start; none if it has gone.
    fn known_sequence(&self, status: &EndpointStatus, ended: &EndedEndpoints) -> Option<u64> {
        let known = self.endpoints.get(&status.id).filter(|known| {
            known.born_ms == status.born_ms && known.phase() != EndpointPhase::Gone
        });
        let sequence = known.map(|known| known.sequence);
        sequence.max(ended.draining_sequence(status))
    }

    /// Keeps the status of an endpoint aside whose service no configuration names yet.
    fn keep_aside(&mut self, now: Instant, status: EndpointStatus) -> MergeOutcome {
        let key = (status.id.clone(), status.service.clone());
        let outcome = self.endpoints.merge(status);
        if matches!(outcome, MergeOutcome::Same | MergeOutcome::Changed) {
            self.unnamed_heard.insert(key, now);
        }
        outcome
    }

    /// Sets the services of the configuration in force. The statuses that were kept aside
    /// for a service that it names count from now on.
    fn update_services(&mut self, state: &ClusterState) {
        let put = state.serving.as_ref();
        let Some(config) = put.and_then(|put| put.config.as_ref()) else {
            return;
        };
        if config.version == self.services_version {
            return;
        }
        self.services_version = config.version;
        let names = config.services.iter().map(|service| service.name.clone());
        let change = self.endpoints.set_services(names.collect());
        self.remove_forgotten();
        for (id, service) in change.demoted {
            if let Some(heard) = self.last_heard.remove(&id) {
                self.unnamed_heard.insert((id, service), heard);
            }
        }
        for id in change.promoted.into_iter().chain(change.restored) {
            let service = self.endpoints.get(&id).map(|it| it.service.clone());
            let key = (id, service.unwrap_or_default());
            let heard = self.unnamed_heard.remove(&key);
            let (id, _) = key;
            self.changed.insert(id.clone());
            if let Some(heard) = heard {
                self.last_heard.insert(id.clone(), heard);
                self.own_changed.insert(id);
            }
        }
    }

    /// Removes what is kept of endpoints that were forgotten for lack of memory.
    fn remove_forgotten(&mut self) {
        for id in self.endpoints.take_forgotten() {
            self.last_heard.remove(&id);
            self.changed.remove(&id);
            self.own_changed.remove(&id);
        }
    }

    /// Returns whether a status differs from the known one in more than what only
    /// the placement uses.
    fn changes_routing(&self, status: &EndpointStatus) -> bool {
        let known = self.endpoints.get(&status.id);
        known.is_none_or(|known| {
            let mut known = routing_status(known);
            known.sequence = status.sequence;
            known.heard_by = status.heard_by;
            known != routing_status(status)
        })
    }

    /// Applies the endpoint statuses sent by another control instance, without late ones and
    /// those of a start after `latest_start`.
    pub fn apply_peer_update(
        &mut self,
        now: Instant,
        update: ServingUpdate,
        latest_start: u64,
        ended: &EndedEndpoints,
    ) {
        // Instances of an earlier version may tell of endpoints that this one refuses.
        let is_valid = |status: &EndpointStatus| {
            status.born_ms <= latest_start
                && !ended.is_late(status)
                && verify_status(status).is_ok()
        };
        for mut status in update.endpoints.into_iter().filter(is_valid) {
            if self.endpoints.is_aside(&status) {
                self.endpoints.merge(status);
                continue;
            }
            let id = status.id.clone();
            self.record_cold_of_peer(now, &mut status);
            let is_routed = self.changes_routing(&status);
            let outcome = self.endpoints.merge(status);
            self.remove_forgotten();
            if outcome == MergeOutcome::Changed {
                if is_routed {
                    self.changed.insert(id.clone());
                }
                self.last_heard.remove(&id);
            }
        }
        debug_assert!(self
            .last_heard
            .values()
            .all(|last_heard| *last_heard <= now));
    }

    /// Applies a status that follows from the replicated state, which all instances have.
    pub(crate) fn apply_record(&mut self, status: EndpointStatus) {
        let id = status.id.clone();
        if status.phase() == EndpointPhase::Gone {
            self.last_heard.remove(&id);
        }
        if self.endpoints.merge(status) == MergeOutcome::Changed {
            self.changed.insert(id);
        }
        self.remove_forgotten();
    }

    /// Marks endpoints whose heartbeats have stopped as silent, and forgets them if they are
    /// kept aside.
    pub fn tick(&mut self, now: Instant, ended: &EndedEndpoints) {
        let is_silent = |heard: Instant| now.saturating_duration_since(heard) >= SILENT_AFTER;
        let unnamed = self.unnamed_heard.iter();
        let silent = unnamed.filter(|(_, heard)| is_silent(**heard));
        let silent: Vec<UnnamedKey> = silent.map(|(key, _)| key.clone()).collect();
        for key in silent {
            self.unnamed_heard.remove(&key);
            self.endpoints.forget_unnamed(&key);
        }
        let endpoints = &self.endpoints;
        self.outrun
            .retain(|id| endpoints.get(id).is_some() || ended.contains_id(id));
        let silent = self
            .last_heard
            .iter()
            .filter(|(_, last_heard)| is_silent(**last_heard));
        let silent: Vec<EndpointId> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.last_heard.remove(&id);
            if let Some(status) = self.endpoints.get_mut(&id) {
                status.silent = true;
                self.changed.insert(id.clone());
                self.own_changed.insert(id);
            }
        }
    }

    /// Appends the updates for subscribers and other control instances. `evacuations`
    /// comes with the wall clock in milliseconds.
    pub fn distribute(
        &mut self,
        now: Instant,
        state: &ClusterState,
        evacuations: (&EvacuationView, u64),
        peers: &[LinkId],
        commands: &mut Vec<LinkCommand>,
    ) {
        self.update_services(state);
        self.update_cold(state);
        self.send_to_peers(now, peers, commands);
        self.send_to_subscribers(now, state, evacuations, commands);
        self.changed.clear();
        self.own_changed.clear();
    }

    fn send_to_peers(&mut self, now: Instant, peers: &[LinkId], commands: &mut Vec<LinkCommand>) {
        let changed = self.statuses(now, &self.own_changed);
        for link in peers {
            let endpoints = if self.unsynced_peers.remove(link) {
                let all = self.endpoints.all();
                all.map(|status| self.sent_status(now, status)).collect()
            } else {
                changed.clone()
            };
            if !endpoints.is_empty() {
                let update = ServingUpdate {
                    endpoints,
                    ..ServingUpdate::default()
                };
                push_update(*link, update, commands);
            }
        }
    }

    fn send_to_subscribers(
        &mut self,
        now: Instant,
        state: &ClusterState,
        (evacuations, clock_ms): (&EvacuationView, u64),
        commands: &mut Vec<LinkCommand>,
    ) {
        let changed = self.statuses(now, &self.changed);
        let changed: Vec<EndpointStatus> = changed.iter().map(routing_status).collect();
        let version = state.serving_version();
        let controls = control_addresses(state);
        let controls_changed = self.controls != controls;
        self.controls.clone_from(&controls);
        let (software, software_number) = self.update_software(state);
        let instances: BTreeSet<&Bytes> =
            self.subscribers.values().map(|it| &it.instance).collect();
        let entries = u32::try_from(instances.len()).unwrap_or(u32::MAX);
        let is_new = |subscriber: &SubscriberRecord| !subscriber.has_all_endpoints;
        let all: Vec<EndpointStatus> = if self.subscribers.values().any(is_new) {
            let all = self.endpoints.all();
            let all = all.map(|status| self.sent_status(now, status));
            all.map(|status| routing_status(&status)).collect()
        } else {
            Vec::new()
        };
        for (link, subscriber) in &mut self.subscribers {
            let endpoints = if subscriber.has_all_endpoints {
                changed.clone()
            } else {
                all.clone()
            };
            let put = state
                .serving
                .as_ref()
                .filter(|_| subscriber.version < version);
            let position = evacuations.position();
            let has_evacuations = subscriber.evacuations == position;
            let has_software = subscriber.software == software_number;
            let is_current = put.is_none()
                && has_evacuations
                && has_software
                && endpoints.is_empty()
                && subscriber.has_all_endpoints
                && !controls_changed;
            if is_current {
                continue;
            }
            subscriber.has_all_endpoints = true;
            subscriber.version = subscriber.version.max(version);
            subscriber.evacuations = position;
            subscriber.software = software_number;
            let list = (!has_evacuations).then(|| evacuations.list(state, clock_ms));
            let update = ServingUpdate {
                config: put.and_then(|put| put.config.clone()),
                endpoints,
                entries,
                controls: controls.clone(),
                evacuations: list.flatten(),
                controls_version: state.applied,
                controls_cluster: state.cluster,
                software: match has_software {
                    true => Vec::new(),
                    false => software.clone(),
                },
            };
            push_update(*link, update, commands);
        }
    }

    /// Returns the software versions of all services in the log, and the number of this
    /// list.
    fn update_software(&mut self, state: &ClusterState) -> (Vec<ServiceSoftware>, u64) {
        let (known, number) = &mut self.software;
        if *known != state.software {
            known.clone_from(&state.software);
            *number += 1;
        }
        let services = known.iter().map(|(service, versions)| ServiceSoftware {
            service: service.clone(),
            versions: versions.iter().cloned().collect(),
        });
        (services.collect(), *number)
    }

    fn statuses(&self, now: Instant, ids: &BTreeSet<EndpointId>) -> Vec<EndpointStatus> {
        let known = ids.iter().filter_map(|id| self.endpoints.get(id));
        let known = known.filter(|status| !self.endpoints.is_displaced(&status.id));
        known.map(|status| self.sent_status(now, status)).collect()
    }
}

/// Returns the addresses of all control instances but the observers.
fn control_addresses(state: &ClusterState) -> Vec<Bytes> {
    let members = state.members.values().filter(|member| !member.observer);
    members.map(|member| member.address.clone()).collect()
}

/// Returns a status without what only the placement uses.
fn routing_status(status: &EndpointStatus) -> EndpointStatus {
    EndpointStatus {
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        ..status.clone()
    }
}
