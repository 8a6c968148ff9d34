//! The passes of a plan, in the order of their claim on the weight store.
//!
//! 1. A model that no endpoint answers for is restored.
//! 2. A model with too few endpoints, or in one zone only, is spread.
//! 3. A replica in another version than the grant list's is replaced, one at
//!    a time and only while another one answers.
//! 4. A model whose demand overloads its endpoints gets a further replica
//!    where the busy slots gained over the horizon exceed the cost of the move.
//!
//! Guarantees: a replica is taken away only while enough others answer; a set
//! never exceeds its endpoint's capacity; every load has a permit.

use std::cmp::Ordering;
use std::time::Instant;

use bytes::Bytes;

use crate::load_pacer::LoadPacer;
use crate::placement_planner::PlacementSettings;
use crate::placement_types::{
    DecisionKind, DecisionReason, PlacementDecision, PlacementInput, PlacementModel,
    PlacementOutput,
};
use crate::placement_view::{HeldModel, HostIndex, ModelIndex, PlacementView};

/// Which replicas may go to make room.
#[derive(Debug, Clone, Copy)]
struct EvictRule {
    /// Replicas that must answer elsewhere.
    left: usize,
    /// Whether a replica that came lately may go.
    recent: bool,
}

/// An endpoint that could take a model.
#[derive(Debug, Clone)]
struct HostOffer {
    host: HostIndex,
    /// Replicas that would have to go first.
    victims: Vec<ModelIndex>,
    /// Busy slots that the victims serve there.
    victim_load: f64,
    /// All replicas of the model are in the endpoint's zone.
    same_zone: bool,
    /// Busy share of the endpoint.
    busy: f64,
}

/// The passes of one plan.
pub(crate) struct MovePass<'a> {
    pub now: Instant,
    pub input: &'a PlacementInput,
    pub settings: &'a PlacementSettings,
    pub view: &'a mut PlacementView,
    pub pacer: &'a mut LoadPacer,
    pub out: &'a mut PlacementOutput,
}

impl MovePass<'_> {
    /// Restores models that no usable endpoint holds, bases first.
    pub fn restore_lost(&mut self) {
        let rule = EvictRule {
            left: 1,
            recent: true,
        };
        for model in self.by_demand(|view, model| view.replicas[model].is_empty()) {
            self.place(model, DecisionReason::LastReplica, Some(rule));
        }
    }

    /// Adds replicas up to the least number, in two zones where that works.
    pub fn spread_replicas(&mut self) {
        let least = self.settings.min_replicas;
        let rule = EvictRule {
            left: least,
            recent: false,
        };
        let lacks = |view: &PlacementView, model: ModelIndex| {
            let replicas = &view.replicas[model];
            let one_zone = replicas
                .first()
                .is_some_and(|host| !view.has_other_zone(model, view.hosts[*host].zone));
            !replicas.is_empty() && (replicas.len() < least || (one_zone && least > 1))
        };
        for model in self.by_demand(lacks) {
            if self.view.replicas[model].len() < least || self.has_free_zone(model) {
                self.place(model, DecisionReason::Spread, Some(rule));
            }
        }
    }

    /// Replaces replicas in an old version.
    pub fn replace_versions(&mut self) {
        for model in 0..self.input.models.len() {
            let wanted = &self.input.models[model].version;
            let replicas = &self.view.replicas[model];
            let old = replicas.iter().copied().find(|host| {
                let held = self.view.held(*host, model);
                held.is_some_and(|held| held.version != *wanted)
            });
            if let Some(host) = old {
                self.replace_version(model, host, wanted.clone());
            }
        }
    }

    fn replace_version(&mut self, model: ModelIndex, host: HostIndex, wanted: Bytes) {
        let others = self.view.resident_elsewhere(model, host);
        if others == 0 {
            if self.view.replicas[model].len() < 2 {
                self.place(model, DecisionReason::Version, None);
            }
            return;
        }
        let pending = self.view.replicas[model].iter().any(|other| {
            let held = self.view.held(*other, model);
            held.is_some_and(|held| !held.resident)
        });
        if pending || !self.pacer.take_permit(self.is_adapter(model)) {
            return;
        }
        let now = self.now;
        let held = &mut self.view.hosts[host].held;
        if let Some(held) = held.iter_mut().find(|held| held.model == model) {
            held.version = wanted;
            held.since = now;
            held.resident = false;
        }
        self.note(
            model,
            Some(host),
            DecisionKind::Replace,
            DecisionReason::Version,
        );
    }

    /// Adds replicas where demand overloads endpoints and a move pays.
    pub fn meet_demand(&mut self) {
        let mut excess = Vec::new();
        let mut skipped = vec![false; self.input.models.len()];
        for _ in 0..self.settings.moves_per_plan {
            self.excess_by_model(&mut excess);
            let worst = (0..excess.len())
                .filter(|model| !skipped[*model] && excess[*model] > 0.0)
                .max_by(|a, b| excess[*a].total_cmp(&excess[*b]));
            let Some(model) = worst else {
                return;
            };
            if !self.relieve(model, excess[model]) {
                skipped[model] = true;
            }
        }
    }

    /// Shares each endpoint's overload among its models by their load.
    fn excess_by_model(&self, excess: &mut Vec<f64>) {
        excess.clear();
        excess.resize(self.input.models.len(), 0.0);
        for host in self.view.hosts.iter().filter(|host| host.usable) {
            let overload = host.overload();
            if overload <= 0.0 {
                continue;
            }
            for held in &host.held {
                excess[held.model] += overload * held.load / host.load;
            }
        }
    }

    fn relieve(&mut self, model: ModelIndex, excess: f64) -> bool {
        if self.relieve_by(model, model, excess) {
            return true;
        }
        let base = self
            .view
            .model_index
            .get(&self.input.models[model].base)
            .copied();
        base.is_some_and(|base| self.relieve_by(base, model, excess))
    }

    /// Adds a replica of `placed` for the excess of `model`, if that pays.
    fn relieve_by(&mut self, placed: ModelIndex, model: ModelIndex, excess: f64) -> bool {
        if !self.pacer.has_permit(self.is_adapter(placed)) {
            return false;
        }
        let rule = EvictRule {
            left: self.settings.min_replicas,
            recent: false,
        };
        let gain = |pass: &Self, offer: &HostOffer| {
            let headroom = pass.view.hosts[offer.host].headroom() + offer.victim_load;
            let gained = excess.min(headroom) - offer.victim_load;
            let cost = pass.settings.load_cost * (1 + offer.victims.len()) as f64;
            gained * pass.settings.horizon.as_secs_f64() - cost * pass.settings.hysteresis
        };
        let best = self
            .offers(placed, Some(rule))
            .into_iter()
            .max_by(|a, b| gain(self, a).total_cmp(&gain(self, b)));
        let Some(offer) = best.filter(|offer| gain(self, offer) > 0.0) else {
            return false;
        };
        self.take_offer(placed, &offer, DecisionReason::Demand);
        self.view.spread_model(model);
        true
    }

    /// Returns the models that fit, the highest demand first, bases first.
    fn by_demand(&self, fits: impl Fn(&PlacementView, ModelIndex) -> bool) -> Vec<ModelIndex> {
        let mut models: Vec<ModelIndex> = (0..self.input.models.len())
            .filter(|model| fits(self.view, *model))
            .collect();
        models.sort_by(|a, b| {
            let adapters = self.is_adapter(*a).cmp(&self.is_adapter(*b));
            let demand = self.view.demand[*b].total_cmp(&self.view.demand[*a]);
            adapters.then(demand).then(a.cmp(b))
        });
        models
    }

    fn is_adapter(&self, model: ModelIndex) -> bool {
        !self.input.models[model].base.is_empty()
    }

    /// Tells whether a zone without the model has an endpoint of its pool.
    fn has_free_zone(&self, model: ModelIndex) -> bool {
        let Some(first) = self.view.replicas[model].first() else {
            return true;
        };
        let zone = self.view.hosts[*first].zone;
        let pool = self.view.pools.get(&self.input.models[model].pool);
        pool.is_some_and(|hosts| {
            hosts
                .iter()
                .any(|host| self.view.hosts[*host].usable && self.view.hosts[*host].zone != zone)
        })
    }

    /// Adds a replica at the best endpoint; tells whether there was one.
    fn place(
        &mut self,
        model: ModelIndex,
        reason: DecisionReason,
        rule: Option<EvictRule>,
    ) -> bool {
        if !self.pacer.has_permit(self.is_adapter(model)) {
            self.note(model, None, DecisionKind::Defer, DecisionReason::Paced);
            return false;
        }
        let best = self.offers(model, rule).into_iter().min_by(compare_offers);
        // A further replica in the same zone adds nothing to the spread.
        let least = self.settings.min_replicas;
        let useless = |offer: &HostOffer| {
            offer.same_zone
                && reason == DecisionReason::Spread
                && self.view.replicas[model].len() >= least
        };
        let Some(offer) = best.filter(|offer| !useless(offer)) else {
            self.note(model, None, DecisionKind::Defer, DecisionReason::NoRoom);
            return false;
        };
        self.take_offer(model, &offer, reason);
        self.view.spread_model(model);
        true
    }

    fn take_offer(&mut self, model: ModelIndex, offer: &HostOffer, reason: DecisionReason) {
        let models = &self.input.models;
        self.pacer.take_permit(self.is_adapter(model));
        for victim in &offer.victims {
            self.view.remove(offer.host, *victim, models);
            self.view.spread_model(*victim);
            let reason = DecisionReason::MakeRoom;
            self.note(*victim, Some(offer.host), DecisionKind::Unload, reason);
        }
        let held = HeldModel {
            model,
            version: models[model].version.clone(),
            since: self.now,
            resident: false,
            load: 0.0,
        };
        self.view.add(offer.host, held, models);
        self.note(model, Some(offer.host), DecisionKind::Load, reason);
    }

    /// Lists the endpoints that could take a further replica.
    fn offers(&self, model: ModelIndex, rule: Option<EvictRule>) -> Vec<HostOffer> {
        let item = &self.input.models[model];
        let Some(hosts) = self.view.pools.get(&item.pool) else {
            return Vec::new();
        };
        hosts
            .iter()
            .filter(|host| self.may_hold(**host, model, item))
            .filter_map(|host| self.offer(*host, model, rule))
            .collect()
    }

    fn may_hold(&self, host: HostIndex, model: ModelIndex, item: &PlacementModel) -> bool {
        let endpoint = &self.input.endpoints[host];
        let base = self.view.model_index.get(&item.base);
        let has_base = item.base.is_empty()
            || base.is_some_and(|base| {
                let held = self.view.held(host, *base);
                held.is_some_and(|held| held.resident)
            });
        self.view.hosts[host].usable
            && item.kv_mib <= endpoint.kv_reserve_mib
            && item.memory_mib <= endpoint.capacity_mib
            && has_base
            && self.view.held(host, model).is_none()
    }

    fn offer(
        &self,
        host: HostIndex,
        model: ModelIndex,
        rule: Option<EvictRule>,
    ) -> Option<HostOffer> {
        let view = &self.view.hosts[host];
        let free = self.input.endpoints[host]
            .capacity_mib
            .saturating_sub(view.used_mib);
        let need = self.input.models[model].memory_mib.saturating_sub(free);
        let victims = if need == 0 {
            Vec::new()
        } else {
            self.victims(host, model, need, rule?)?
        };
        let load =
            |victim: &ModelIndex| self.view.held(host, *victim).map_or(0.0, |held| held.load);
        Some(HostOffer {
            host,
            victim_load: victims.iter().map(load).sum(),
            victims,
            same_zone: !self.view.replicas[model].is_empty()
                && !self.view.has_other_zone(model, view.zone),
            busy: view.load / view.limit.max(1.0),
        })
    }

    /// Chooses replicas that free `need` MiB, the least busy first.
    fn victims(
        &self,
        host: HostIndex,
        model: ModelIndex,
        need: u64,
        rule: EvictRule,
    ) -> Option<Vec<ModelIndex>> {
        let base = self
            .view
            .model_index
            .get(&self.input.models[model].base)
            .copied();
        let mut held: Vec<&HeldModel> = self.view.hosts[host]
            .held
            .iter()
            .filter(|held| Some(held.model) != base && self.may_evict(host, held, rule))
            .collect();
        held.sort_by(|a, b| a.load.total_cmp(&b.load).then(a.model.cmp(&b.model)));
        let mut victims = Vec::new();
        let mut freed = 0;
        for held in held {
            if freed >= need {
                break;
            }
            for victim in self.with_adapters(host, held.model) {
                if !victims.contains(&victim) {
                    victims.push(victim);
                    freed += self.input.models[victim].memory_mib;
                }
            }
        }
        (freed >= need).then_some(victims)
    }

    /// Returns a model's adapters at an endpoint, and then the model.
    fn with_adapters(&self, host: HostIndex, model: ModelIndex) -> Vec<ModelIndex> {
        let adapters = self.view.adapters[model].iter().copied();
        adapters
            .filter(|adapter| self.view.held(host, *adapter).is_some())
            .chain([model])
            .collect()
    }

    fn may_evict(&self, host: HostIndex, held: &HeldModel, rule: EvictRule) -> bool {
        let recent = self.now.saturating_duration_since(held.since) < self.settings.hold;
        if !held.resident || (recent && !rule.recent) {
            return false;
        }
        let enough = |model: &ModelIndex| {
            let others = self.view.resident_elsewhere(*model, host);
            others >= rule.left && (rule.left < 2 || self.stays_spread(*model, host))
        };
        self.with_adapters(host, held.model).iter().all(enough)
    }

    /// Tells whether a model without this replica is in as many zones, up to
    /// two, as with it.
    fn stays_spread(&self, model: ModelIndex, host: HostIndex) -> bool {
        let others = self.view.replicas[model]
            .iter()
            .filter(|other| **other != host);
        let mut zones: Vec<u32> = others.map(|other| self.view.hosts[*other].zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len() >= 2 || zones.contains(&self.view.hosts[host].zone)
    }

    fn note(
        &mut self,
        model: ModelIndex,
        host: Option<HostIndex>,
        kind: DecisionKind,
        reason: DecisionReason,
    ) {
        let endpoint = host.map(|host| self.input.endpoints[host].name.clone());
        self.out.decisions.push(PlacementDecision {
            model: self.input.models[model].name.clone(),
            endpoint: endpoint.unwrap_or_default(),
            kind,
            reason,
        });
    }
}

/// Orders offers: a new zone, no busy victim, an idle endpoint go first.
fn compare_offers(a: &HostOffer, b: &HostOffer) -> Ordering {
    a.same_zone
        .cmp(&b.same_zone)
        .then(a.victims.len().cmp(&b.victims.len()))
        .then(a.victim_load.total_cmp(&b.victim_load))
        .then(a.busy.total_cmp(&b.busy))
        .then(a.host.cmp(&b.host))
}
