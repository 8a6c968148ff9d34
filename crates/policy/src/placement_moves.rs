//! The passes of a plan, in the order of their priority for weight store loads.
//!
//! 1. A model without a replica on a usable endpoint is restored.
//! 2. A model with too few replicas, or with replicas in one zone only, is spread.
//! 3. A replica whose version differs from the grant list is replaced, one at a
//!    time and only while another replica serves requests.
//! 4. A model whose demand overloads its endpoints gets a further replica if the
//!    busy slots gained over the horizon exceed the cost of the move.
//!
//! Guarantees: a replica is removed only while enough others serve requests; a
//! target set never exceeds its endpoint's capacity; every load has a permit.

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

/// Cost of loading an adapter, relative to that of a model.
const ADAPTER_COST: f64 = 0.01;

/// Condition under which replicas may be evicted.
#[derive(Debug, Clone, Copy)]
struct EvictRule {
    /// Replicas that must serve requests at other endpoints.
    min_remaining: usize,
    /// Whether a recently added replica may be evicted.
    may_evict_recent: bool,
}

/// An endpoint that could hold a further replica of a model.
#[derive(Debug, Clone)]
struct HostCandidate {
    host: HostIndex,
    /// Replicas that would have to be evicted first.
    victims: Vec<ModelIndex>,
    /// Busy slots of the victims at the endpoint.
    victim_load: f64,
    /// All replicas of the model are in the endpoint's zone.
    same_zone: bool,
    /// Load of the endpoint relative to its limit.
    load_ratio: f64,
}

/// A model with its adapters at an endpoint, which are evicted together.
#[derive(Debug)]
struct VictimGroup {
    load: f64,
    memory_mib: u64,
    models: Vec<ModelIndex>,
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
    /// Restores models that no usable endpoint holds, base models first.
    pub fn restore_lost(&mut self) {
        let rule = EvictRule {
            min_remaining: 1,
            may_evict_recent: true,
        };
        for model in self.models_by_demand(|view, model| view.replicas[model].is_empty()) {
            self.place(model, DecisionReason::LastReplica, Some(rule));
        }
    }

    /// Adds replicas up to the minimum number, in two zones where possible.
    pub fn spread_replicas(&mut self) {
        let min_replicas = self.settings.min_replicas;
        let rule = EvictRule {
            min_remaining: min_replicas,
            may_evict_recent: false,
        };
        let lacks_spread = |view: &PlacementView, model: ModelIndex| {
            let replicas = &view.replicas[model];
            let is_in_one_zone = replicas
                .first()
                .is_some_and(|host| !view.has_other_zone(model, view.hosts[*host].zone));
            !replicas.is_empty()
                && (replicas.len() < min_replicas || (is_in_one_zone && min_replicas > 1))
        };
        for model in self.models_by_demand(lacks_spread) {
            if self.view.replicas[model].len() < min_replicas
                || self.has_endpoint_in_other_zone(model)
            {
                self.place(model, DecisionReason::Spread, Some(rule));
            }
        }
    }

    /// Replaces replicas of an old version.
    pub fn replace_versions(&mut self) {
        for model in 0..self.input.models.len() {
            let wanted = &self.input.models[model].version;
            let replicas = &self.view.replicas[model];
            let outdated = replicas.iter().copied().find(|host| {
                let held = self.view.held(*host, model);
                held.is_some_and(|held| held.version != *wanted)
            });
            if let Some(host) = outdated {
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
        let is_pending = self.view.replicas[model].iter().any(|other| {
            let held = self.view.held(*other, model);
            held.is_some_and(|held| !held.resident)
        });
        if is_pending || !self.pacer.acquire_permit(self.is_adapter(model)) {
            return;
        }
        let now = self.now;
        let held = &mut self.view.hosts[host].held;
        if let Some(held) = held.iter_mut().find(|held| held.model == model) {
            held.version = wanted;
            held.since = now;
            held.resident = false;
        }
        self.record_decision(
            model,
            Some(host),
            DecisionKind::Replace,
            DecisionReason::Version,
        );
    }

    /// Adds replicas where demand overloads endpoints and a move has a net gain.
    ///
    /// The gain of a further replica of a base model includes the overload of its
    /// adapters, which follow it. No second replica is added while one is pending.
    pub fn meet_demand(&mut self) {
        let mut excess = Vec::new();
        let mut skipped: Vec<bool> = (0..self.input.models.len())
            .map(|model| self.has_pending(model))
            .collect();
        for _ in 0..self.settings.moves_per_plan {
            self.excess_by_model(&mut excess);
            let most_overloaded = (0..excess.len())
                .filter(|model| !skipped[*model] && excess[*model] > 0.0)
                .max_by(|a, b| excess[*a].total_cmp(&excess[*b]));
            let Some(model) = most_overloaded else {
                return;
            };
            let is_relieved = self.relieve_overload(model, excess[model]);
            skipped[model] = !is_relieved || !self.is_adapter(model);
        }
    }

    fn has_pending(&self, model: ModelIndex) -> bool {
        self.view.replicas[model].iter().any(|host| {
            let held = self.view.held(*host, model);
            held.is_some_and(|held| !held.resident)
        })
    }

    /// Attributes each endpoint's overload to its models in proportion to their
    /// load; a base model also gets the overload of its adapters.
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
        for (base, adapters) in self.view.adapters.iter().enumerate() {
            let sum: f64 = adapters.iter().map(|adapter| excess[*adapter]).sum();
            excess[base] += sum;
        }
    }

    /// Adds a replica for a model's excess load if that has a net gain.
    fn relieve_overload(&mut self, model: ModelIndex, excess: f64) -> bool {
        if !self.pacer.has_permit(self.is_adapter(model)) {
            return false;
        }
        let rule = EvictRule {
            min_remaining: self.settings.min_replicas,
            may_evict_recent: false,
        };
        let best = self
            .candidates(model, Some(rule))
            .into_iter()
            .map(|candidate| (self.net_gain(model, &candidate, excess), candidate))
            .max_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, candidate)) = best.filter(|best| best.0 > 0.0) else {
            return false;
        };
        self.apply_move(model, &candidate, DecisionReason::Demand);
        self.view.spread_model(model);
        true
    }

    /// Returns the gain of a move minus its cost, in slot-seconds.
    fn net_gain(&self, model: ModelIndex, candidate: &HostCandidate, excess: f64) -> f64 {
        let headroom = self.view.hosts[candidate.host].headroom() + candidate.victim_load;
        let gained = excess.min(headroom) - candidate.victim_load;
        let moved = candidate.victims.iter().chain([&model]);
        let cost: f64 = moved
            .map(|model| {
                if self.is_adapter(*model) {
                    self.settings.load_cost * ADAPTER_COST
                } else {
                    self.settings.load_cost
                }
            })
            .sum();
        gained * self.settings.horizon.as_secs_f64() - cost * self.settings.hysteresis
    }

    /// Returns the models that match, base models before adapters and by descending
    /// demand.
    fn models_by_demand(
        &self,
        matches: impl Fn(&PlacementView, ModelIndex) -> bool,
    ) -> Vec<ModelIndex> {
        let mut models: Vec<ModelIndex> = (0..self.input.models.len())
            .filter(|model| matches(self.view, *model))
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

    /// Returns whether a zone other than that of the model's first replica has a
    /// usable endpoint of its pool.
    fn has_endpoint_in_other_zone(&self, model: ModelIndex) -> bool {
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

    /// Adds a replica at the best endpoint; returns whether there was one.
    fn place(
        &mut self,
        model: ModelIndex,
        reason: DecisionReason,
        rule: Option<EvictRule>,
    ) -> bool {
        if !self.pacer.has_permit(self.is_adapter(model)) {
            self.record_decision(model, None, DecisionKind::Defer, DecisionReason::Paced);
            return false;
        }
        let best = self
            .candidates(model, rule)
            .into_iter()
            .min_by(compare_candidates);
        // A further replica in the same zone does not improve the spread.
        let min_replicas = self.settings.min_replicas;
        let adds_no_spread = |candidate: &HostCandidate| {
            candidate.same_zone
                && reason == DecisionReason::Spread
                && self.view.replicas[model].len() >= min_replicas
        };
        let Some(candidate) = best.filter(|candidate| !adds_no_spread(candidate)) else {
            self.record_decision(model, None, DecisionKind::Defer, DecisionReason::NoRoom);
            return false;
        };
        self.apply_move(model, &candidate, reason);
        self.view.spread_model(model);
        true
    }

    fn apply_move(&mut self, model: ModelIndex, candidate: &HostCandidate, reason: DecisionReason) {
        let models = &self.input.models;
        self.pacer.acquire_permit(self.is_adapter(model));
        for victim in &candidate.victims {
            self.view.remove(candidate.host, *victim, models);
            self.view.spread_model(*victim);
            let reason = DecisionReason::MakeRoom;
            self.record_decision(*victim, Some(candidate.host), DecisionKind::Unload, reason);
        }
        let held = HeldModel {
            model,
            version: models[model].version.clone(),
            since: self.now,
            resident: false,
            load: 0.0,
        };
        self.view.add(candidate.host, held, models);
        self.record_decision(model, Some(candidate.host), DecisionKind::Load, reason);
    }

    /// Returns the endpoints that could hold a further replica.
    fn candidates(&self, model: ModelIndex, rule: Option<EvictRule>) -> Vec<HostCandidate> {
        let spec = &self.input.models[model];
        let Some(hosts) = self.view.pools.get(&spec.pool) else {
            return Vec::new();
        };
        hosts
            .iter()
            .filter(|host| self.can_hold(**host, model, spec))
            .filter_map(|host| self.candidate(*host, model, rule))
            .collect()
    }

    fn can_hold(&self, host: HostIndex, model: ModelIndex, spec: &PlacementModel) -> bool {
        let endpoint = &self.input.endpoints[host];
        let base = self.view.model_index.get(&spec.base);
        let has_base = spec.base.is_empty()
            || base.is_some_and(|base| {
                let held = self.view.held(host, *base);
                held.is_some_and(|held| held.resident)
            });
        self.view.hosts[host].usable
            && spec.kv_mib <= endpoint.kv_reserve_mib
            && spec.memory_mib <= endpoint.capacity_mib
            && has_base
            && self.view.held(host, model).is_none()
    }

    fn candidate(
        &self,
        host: HostIndex,
        model: ModelIndex,
        rule: Option<EvictRule>,
    ) -> Option<HostCandidate> {
        let view = &self.view.hosts[host];
        let free = self.input.endpoints[host]
            .capacity_mib
            .saturating_sub(view.used_mib);
        let needed_mib = self.input.models[model].memory_mib.saturating_sub(free);
        let victims = if needed_mib == 0 {
            Vec::new()
        } else {
            self.victims(host, model, needed_mib, rule?)?
        };
        let load =
            |victim: &ModelIndex| self.view.held(host, *victim).map_or(0.0, |held| held.load);
        Some(HostCandidate {
            host,
            victim_load: victims.iter().map(load).sum(),
            victims,
            same_zone: !self.view.replicas[model].is_empty()
                && !self.view.has_other_zone(model, view.zone),
            load_ratio: view.load / view.limit.max(1.0),
        })
    }

    /// Chooses replicas to evict that free `needed_mib`: a single model with its
    /// adapters if that is enough, otherwise several, the least loaded first.
    ///
    /// Only adapters are evicted for an adapter, because a model is worth more than
    /// an adapter.
    fn victims(
        &self,
        host: HostIndex,
        model: ModelIndex,
        needed_mib: u64,
        rule: EvictRule,
    ) -> Option<Vec<ModelIndex>> {
        let adapter = self.is_adapter(model);
        let mut groups: Vec<VictimGroup> = self.view.hosts[host]
            .held
            .iter()
            .filter(|held| self.is_adapter(held.model) == adapter)
            .filter(|held| self.may_evict(host, held, rule))
            .map(|held| self.victim_group(host, held.model))
            .collect();
        groups.sort_by(|a, b| a.load.total_cmp(&b.load));
        if let Some(group) = groups.iter().find(|group| group.memory_mib >= needed_mib) {
            return Some(group.models.clone());
        }
        let mut victims = Vec::new();
        let mut freed_mib = 0;
        for group in groups {
            if freed_mib < needed_mib {
                freed_mib += group.memory_mib;
                victims.extend(group.models);
            }
        }
        (freed_mib >= needed_mib).then_some(victims)
    }

    fn victim_group(&self, host: HostIndex, model: ModelIndex) -> VictimGroup {
        let models = self.with_adapters(host, model);
        let load = |model: &ModelIndex| self.view.held(host, *model).map_or(0.0, |held| held.load);
        VictimGroup {
            load: models.iter().map(load).sum(),
            memory_mib: models
                .iter()
                .map(|model| self.input.models[*model].memory_mib)
                .sum(),
            models,
        }
    }

    /// Returns a model's adapters at an endpoint, followed by the model.
    fn with_adapters(&self, host: HostIndex, model: ModelIndex) -> Vec<ModelIndex> {
        let adapters = self.view.adapters[model].iter().copied();
        adapters
            .filter(|adapter| self.view.held(host, *adapter).is_some())
            .chain([model])
            .collect()
    }

    fn may_evict(&self, host: HostIndex, held: &HeldModel, rule: EvictRule) -> bool {
        let is_recent =
            self.now.saturating_duration_since(held.since) < self.settings.min_residence;
        if !held.resident || (is_recent && !rule.may_evict_recent) {
            return false;
        }
        let has_enough_others = |model: &ModelIndex| {
            let others = self.view.resident_elsewhere(*model, host);
            others >= rule.min_remaining
                && (rule.min_remaining < 2 || self.keeps_zone_spread(*model, host))
        };
        self.with_adapters(host, held.model)
            .iter()
            .all(has_enough_others)
    }

    /// Returns whether evicting this replica leaves the model in as many zones as
    /// before, counted up to two.
    fn keeps_zone_spread(&self, model: ModelIndex, host: HostIndex) -> bool {
        let others = self.view.replicas[model]
            .iter()
            .filter(|other| **other != host);
        let mut zones: Vec<u32> = others.map(|other| self.view.hosts[*other].zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len() >= 2 || zones.contains(&self.view.hosts[host].zone)
    }

    fn record_decision(
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

/// Orders candidates: a new zone first, then the fewest and least loaded victims,
/// then the least loaded endpoint.
fn compare_candidates(a: &HostCandidate, b: &HostCandidate) -> Ordering {
    a.same_zone
        .cmp(&b.same_zone)
        .then(a.victims.len().cmp(&b.victims.len()))
        .then(a.victim_load.total_cmp(&b.victim_load))
        .then(a.load_ratio.total_cmp(&b.load_ratio))
        .then(a.host.cmp(&b.host))
}
