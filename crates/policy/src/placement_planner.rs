//! Plans the assignment of models to endpoints.
//!
//! Purpose: the control leader calls [`PlacementPlanner::plan`] about once a
//! second and sends the orders of its output to the agents.
//!
//! Guarantees: orders are complete target sets identified by (term, revision), so
//! lost, late and repeated ones are harmless; a set fits its endpoint's memory; a
//! replica is removed only while another one is reported as resident; the orders
//! depend on the arguments of the calls alone.
//!
//! Algorithm: greedy passes (`placement_moves`) over a dense working copy
//! (`placement_view`) of the sets of the last plan. Sets persist from plan to plan,
//! and replicas are evicted only to free memory, so that models are still resident
//! when demand returns. A new leader initializes the sets from the agents' reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::load_pacer::{LoadPacer, PacerSettings};
use crate::placement_moves::MovePass;
use crate::placement_types::{
    DecisionKind, DecisionReason, EndpointName, EndpointReport, EndpointTarget, ModelName,
    ModelPlacement, PlacementDecision, PlacementEndpoint, PlacementInput, PlacementOutput,
    PlacementState, ResidencePhase, TargetEntry,
};
use crate::placement_view::{HeldModel, HostIndex, PlacementView};

/// Parameters of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Limits on loads.
    pub pacer: PacerSettings,
    /// Prompt and output tokens per second of one running request, assumed until
    /// endpoints report their rates.
    pub slot_tokens_per_second: f64,
    /// Share of an endpoint's slots up to which requests meet their latency target.
    pub utilisation: f64,
    /// Replicas that each model should have where memory allows.
    pub min_replicas: usize,
    /// Time over which the gain of a move is accumulated.
    pub horizon: Duration,
    /// Cost of a load in slot-seconds.
    pub load_cost: f64,
    /// Ratio of gain to cost above which a move is made.
    pub hysteresis: f64,
    /// Minimum time that a new replica stays before it may be evicted for demand or
    /// spread.
    pub min_residence: Duration,
    /// Time after which an unfinished load is abandoned.
    pub load_timeout: Duration,
    /// Time for which a new leader waits for the endpoints' reports.
    pub warmup: Duration,
    /// Maximum number of moves for demand in one plan.
    pub moves_per_plan: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            pacer: PacerSettings::default(),
            slot_tokens_per_second: 20.0,
            utilisation: 0.8,
            min_replicas: 2,
            horizon: Duration::from_secs(60),
            load_cost: 5.0,
            hysteresis: 1.5,
            min_residence: Duration::from_secs(30),
            load_timeout: Duration::from_secs(60),
            warmup: Duration::from_secs(3),
            moves_per_plan: 64,
        }
    }
}

/// Iterations of the distribution of demand over replicas.
const SPREAD_ROUNDS: usize = 3;

/// A model of a recorded target set.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RecordedModel {
    model: ModelName,
    version: Bytes,
    since: Instant,
}

/// The last target set of an endpoint.
#[derive(Debug, Default)]
struct TargetRecord {
    incarnation: u64,
    revision: u64,
    /// Sorted by name.
    models: Vec<RecordedModel>,
}

/// The planner of one control instance, which uses it while it is the leader.
#[derive(Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
    term: u64,
    /// Time of the first plan of the term.
    term_start: Instant,
    is_warmed_up: bool,
    /// Revision of the last changed set.
    revision: u64,
    records: BTreeMap<EndpointName, TargetRecord>,
    pacer: LoadPacer,
    view: PlacementView,
}

impl PlacementPlanner {
    /// Creates a planner without sets.
    pub fn new(settings: PlacementSettings, now: Instant) -> Self {
        PlacementPlanner {
            term: 0,
            term_start: now,
            is_warmed_up: false,
            revision: 0,
            records: BTreeMap::new(),
            pacer: LoadPacer::new(settings.pacer.clone(), now),
            view: PlacementView::default(),
            settings,
        }
    }

    /// Makes a plan; `out` is overwritten.
    pub fn plan(&mut self, now: Instant, input: &PlacementInput, out: &mut PlacementOutput) {
        out.orders.clear();
        out.decisions.clear();
        self.apply_term(now, input.term);
        let slot_rate = slot_rate(input).unwrap_or(self.settings.slot_tokens_per_second);
        self.view.reset(input, slot_rate, self.settings.utilisation);
        for host in 0..input.endpoints.len() {
            self.restore_set(now, host, input, out);
        }
        self.remove_missing_endpoints(input);
        if self.check_warmup(now, input) {
            self.make_moves(now, input, out);
            self.emit_orders(input, out);
        }
        self.summarize_models(input, out);
    }

    fn apply_term(&mut self, now: Instant, term: u64) {
        if self.term == term {
            return;
        }
        self.term = term;
        self.term_start = now;
        self.is_warmed_up = false;
        self.revision = 0;
        self.records.clear();
        self.pacer = LoadPacer::new(self.settings.pacer.clone(), now);
    }

    /// Returns whether enough endpoints have reported, or the warm-up time has
    /// passed, so that orders may be sent.
    fn check_warmup(&mut self, now: Instant, input: &PlacementInput) -> bool {
        let is_report_missing = input
            .endpoints
            .iter()
            .any(|endpoint| endpoint.state == PlacementState::Live && endpoint.report.is_none());
        let has_waited = now.saturating_duration_since(self.term_start) >= self.settings.warmup;
        self.is_warmed_up =
            self.is_warmed_up || has_waited || (!is_report_missing && !input.endpoints.is_empty());
        self.is_warmed_up
    }

    /// Fills an endpoint's set into the view, from the last plan or from its report.
    fn restore_set(
        &mut self,
        now: Instant,
        host: HostIndex,
        input: &PlacementInput,
        out: &mut PlacementOutput,
    ) {
        let endpoint = &input.endpoints[host];
        let Some(report) = &endpoint.report else {
            return;
        };
        let record = self.records.get(&endpoint.name);
        if record.is_none_or(|record| record.incarnation != endpoint.incarnation) {
            let record = record_from_report(now, endpoint, report);
            self.records.insert(endpoint.name.clone(), record);
        }
        if endpoint.state != PlacementState::Live {
            return;
        }
        self.view.hosts[host].usable = true;
        let models = self.records[&endpoint.name].models.clone();
        for item in &models {
            if let Some(reason) = self.restore_model(host, item, report, now, input) {
                out.decisions.push(PlacementDecision {
                    model: item.model.clone(),
                    endpoint: endpoint.name.clone(),
                    kind: DecisionKind::Unload,
                    reason,
                });
            }
        }
        self.remove_orphan_adapters(host, input);
    }

    /// Adds a model to the view, or returns the reason for unloading it.
    fn restore_model(
        &mut self,
        host: HostIndex,
        item: &RecordedModel,
        report: &EndpointReport,
        now: Instant,
        input: &PlacementInput,
    ) -> Option<DecisionReason> {
        let endpoint = &input.endpoints[host];
        let model = self.view.model_index.get(&item.model).copied();
        let in_pool = |model: &usize| input.models[*model].pool == endpoint.pool;
        let Some(model) = model.filter(in_pool) else {
            return Some(DecisionReason::Retired);
        };
        let residence = report
            .residences
            .iter()
            .find(|residence| residence.model == item.model)
            .filter(|residence| residence.phase == ResidencePhase::Resident);
        let resident = residence.is_some_and(|residence| {
            residence.version.is_empty() || residence.version == item.version
        });
        let age = now.saturating_duration_since(item.since);
        if residence.is_none() && age >= self.settings.load_timeout {
            return Some(DecisionReason::LoadTimeout);
        }
        let memory = input.models[model].memory_mib;
        if self.view.hosts[host].used_mib + memory > endpoint.capacity_mib {
            return Some(DecisionReason::NoRoom);
        }
        let held = HeldModel {
            model,
            version: item.version.clone(),
            since: item.since,
            resident,
            load: 0.0,
        };
        self.view.add(host, held, &input.models);
        None
    }

    /// Removes adapters from a set that no longer contains their base model.
    fn remove_orphan_adapters(&mut self, host: HostIndex, input: &PlacementInput) {
        let held: Vec<usize> = self.view.hosts[host]
            .held
            .iter()
            .map(|held| held.model)
            .collect();
        for model in held {
            let base = &input.models[model].base;
            let index = self.view.model_index.get(base).copied();
            let has_base = index.is_some_and(|base| self.view.held(host, base).is_some());
            if !base.is_empty() && !has_base {
                self.view.remove(host, model, &input.models);
            }
        }
    }

    fn remove_missing_endpoints(&mut self, input: &PlacementInput) {
        if self.records.len() > input.endpoints.len() {
            let names: std::collections::BTreeSet<&EndpointName> =
                input.endpoints.iter().map(|item| &item.name).collect();
            self.records.retain(|name, _| names.contains(name));
        }
    }

    fn make_moves(&mut self, now: Instant, input: &PlacementInput, out: &mut PlacementOutput) {
        let (models, adapters) = self.loads_in_flight(input);
        self.pacer.begin_plan(now, models, adapters);
        self.view.raise_limits(input);
        self.view.spread_demand(SPREAD_ROUNDS);
        let mut pass = MovePass {
            now,
            input,
            settings: &self.settings,
            view: &mut self.view,
            pacer: &mut self.pacer,
            out,
        };
        pass.restore_lost();
        pass.spread_replicas();
        pass.replace_versions();
        pass.meet_demand();
    }

    fn loads_in_flight(&self, input: &PlacementInput) -> (u32, u32) {
        let mut loads = (0, 0);
        let held = self.view.hosts.iter().flat_map(|host| &host.held);
        for held in held.filter(|held| !held.resident) {
            if input.models[held.model].base.is_empty() {
                loads.0 += 1;
            } else {
                loads.1 += 1;
            }
        }
        loads
    }

    fn emit_orders(&mut self, input: &PlacementInput, out: &mut PlacementOutput) {
        for (host, endpoint) in input.endpoints.iter().enumerate() {
            let Some(report) = &endpoint.report else {
                continue;
            };
            if !self.view.hosts[host].usable {
                continue;
            }
            let models = self.target_models(host, input);
            let record = self.records.entry(endpoint.name.clone()).or_default();
            if record.revision == 0 || !same_models(&record.models, &models) {
                self.revision += 1;
                record.revision = self.revision;
            }
            record.models = models;
            let confirmed = (report.order_term, report.order_revision);
            if confirmed != (self.term, record.revision) {
                let revision = record.revision;
                out.orders.push(self.target(host, revision, input));
            }
        }
    }

    fn target_models(&self, host: HostIndex, input: &PlacementInput) -> Vec<RecordedModel> {
        let held = self.view.hosts[host].held.iter();
        let mut models: Vec<RecordedModel> = held
            .map(|held| RecordedModel {
                model: input.models[held.model].name.clone(),
                version: held.version.clone(),
                since: held.since,
            })
            .collect();
        models.sort_by(|a, b| a.model.cmp(&b.model));
        models
    }

    fn target(&self, host: HostIndex, revision: u64, input: &PlacementInput) -> EndpointTarget {
        let view = &self.view.hosts[host];
        let mut held: Vec<&HeldModel> = view.held.iter().collect();
        let is_adapter = |held: &HeldModel| !input.models[held.model].base.is_empty();
        held.sort_by_key(|held| (is_adapter(held), held.since, held.model));
        let entries = held.iter().zip(0..).map(|(held, rank)| {
            let model = &input.models[held.model];
            TargetEntry {
                model: model.name.clone(),
                version: held.version.clone(),
                memory_mib: model.memory_mib,
                kv_mib: model.kv_mib,
                base: model.base.clone(),
                rank,
            }
        });
        let loads = view.held.iter().filter(|held| !held.resident).count();
        EndpointTarget {
            endpoint: input.endpoints[host].name.clone(),
            incarnation: input.endpoints[host].incarnation,
            term: self.term,
            revision,
            models: entries.collect(),
            load_permits: u32::try_from(loads).unwrap_or(u32::MAX),
        }
    }

    fn summarize_models(&self, input: &PlacementInput, out: &mut PlacementOutput) {
        out.models.clear();
        for (idx, model) in input.models.iter().enumerate() {
            let replicas = self.view.replicas[idx].iter();
            let resident = replicas
                .filter(|host| {
                    self.view
                        .held(**host, idx)
                        .is_some_and(|held| held.resident)
                })
                .count();
            let total = self.view.replicas[idx].len();
            out.models.push(ModelPlacement {
                model: model.name.clone(),
                resident: u32::try_from(resident).unwrap_or(u32::MAX),
                pending: u32::try_from(total - resident).unwrap_or(u32::MAX),
                demand_slots: self.view.demand[idx],
            });
        }
    }
}

/// Returns the tokens per second that one slot serves according to the reports;
/// `None` until an endpoint has reported a rate.
fn slot_rate(input: &PlacementInput) -> Option<f64> {
    let mut sums = (0.0, 0.0);
    for endpoint in &input.endpoints {
        let report = endpoint.report.as_ref();
        if let Some(report) = report.filter(|report| report.tokens_per_second > 0) {
            sums.0 += report.tokens_per_second as f64;
            sums.1 += f64::from(endpoint.slots);
        }
    }
    (sums.1 > 0.0).then(|| sums.0 / sums.1)
}

/// Creates the record of an endpoint's set from its report.
fn record_from_report(
    now: Instant,
    endpoint: &PlacementEndpoint,
    report: &EndpointReport,
) -> TargetRecord {
    let loaded = report
        .residences
        .iter()
        .filter(|residence| residence.phase != ResidencePhase::Unloading);
    let mut models: Vec<RecordedModel> = loaded
        .map(|residence| RecordedModel {
            model: residence.model.clone(),
            version: residence.version.clone(),
            since: now,
        })
        .collect();
    models.sort_by(|a, b| a.model.cmp(&b.model));
    TargetRecord {
        incarnation: endpoint.incarnation,
        revision: 0,
        models,
    }
}

fn same_models(a: &[RecordedModel], b: &[RecordedModel]) -> bool {
    let key = |item: &RecordedModel| (item.model.clone(), item.version.clone());
    a.len() == b.len() && a.iter().map(key).eq(b.iter().map(key))
}
