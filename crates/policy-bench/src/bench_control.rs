//! The control instance of a run: directory, planner and baseline placement.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{
    DemandEstimator, EndpointReport, ModelResidence, PlacementEndpoint, PlacementInput,
    PlacementModel, PlacementOutput, PlacementPlanner, PlacementState, ResidencePhase,
};
use mulberrywell_role::LinkId;
use mulberrywell_wire::config::EndpointState;
use mulberrywell_wire::endpoint::{AnnounceAck, StateReport, TargetModel, TargetOrder};
use mulberrywell_wire::FrameBody;

use crate::bench_entry::BenchEntries;
use crate::bench_matrix::{Deployment, PlacementRule, Variant};
use crate::fake_engine::{KV_MIB, KV_RESERVE_MIB, MEMORY_MIB, SLOTS};
use crate::request_stream::{base_of, model_name};

/// Memory for models per engine in MiB.
const CAPACITY_MIB: u64 = MEMORY_MIB - KV_RESERVE_MIB;

/// Memory of an adapter in MiB.
const ADAPTER_MIB: u64 = 100;

/// Time without a message after which an endpoint becomes suspect.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Control's record of an endpoint.
#[derive(Debug, Clone, Default)]
struct EndpointRecord {
    link: LinkId,
    incarnation: u64,
    last_message: Option<Instant>,
    report: Option<EndpointReport>,
    /// Models of the on-demand baseline, with the number of the plan in which each was
    /// last used.
    held: BTreeMap<usize, u64>,
    revision: u64,
}

/// The control instance.
pub struct BenchControl<'a> {
    deployment: &'a Deployment,
    variant: &'a Variant,
    models: Vec<PlacementModel>,
    names: Vec<Bytes>,
    endpoints: Vec<EndpointRecord>,
    planner: PlacementPlanner,
    demand: DemandEstimator,
    input: PlacementInput,
    output: PlacementOutput,
    plans: u64,
}

impl<'a> BenchControl<'a> {
    /// Creates a leader with the even placement that all variants start from.
    pub fn new(deployment: &'a Deployment, variant: &'a Variant, now: Instant) -> Self {
        let models: Vec<PlacementModel> = bench_models(deployment);
        let mut control = BenchControl {
            deployment,
            variant,
            names: models.iter().map(|model| model.name.clone()).collect(),
            models,
            endpoints: vec![EndpointRecord::default(); deployment.endpoints],
            planner: PlacementPlanner::new(variant.planner_settings(deployment), now),
            demand: DemandEstimator::new(variant.demand.clone(), now),
            input: PlacementInput {
                term: 1,
                ..PlacementInput::default()
            },
            output: PlacementOutput::default(),
            plans: 0,
        };
        control.place_evenly();
        control
    }

    /// Places each model on as many endpoints as an even share of the memory allows,
    /// rotating over the zones.
    fn place_evenly(&mut self) {
        let zones = self.deployment.zones;
        let mut free_mib = vec![CAPACITY_MIB; self.deployment.endpoints];
        for round in 0..self.deployment.endpoints {
            for base in 0..self.deployment.models {
                let with_adapters: Vec<usize> = (0..self.models.len())
                    .filter(|idx| base_of(self.deployment, *idx) == base)
                    .collect();
                let sizes = with_adapters.iter().map(|idx| self.models[*idx].memory_mib);
                let needed_mib: u64 = sizes.sum();
                let wanted_zone = (base + round) % zones;
                let best = (0..free_mib.len())
                    .filter(|host| free_mib[*host] >= needed_mib)
                    .filter(|host| !self.endpoints[*host].held.contains_key(&base))
                    .max_by_key(|host| (host % zones == wanted_zone, free_mib[*host], *host));
                if let Some(host) = best {
                    free_mib[host] -= needed_mib;
                    let held = &mut self.endpoints[host].held;
                    held.extend(with_adapters.iter().map(|idx| (*idx, 0)));
                }
            }
        }
    }

    /// Returns the models that an endpoint holds when the run starts.
    pub fn initial_models(&self, endpoint: usize) -> Vec<(Bytes, u64)> {
        let held = self.endpoints[endpoint].held.keys();
        held.map(|idx| {
            let model = &self.models[*idx];
            (model.name.clone(), model.memory_mib)
        })
        .collect()
    }

    /// Returns the names of all models and adapters.
    pub fn model_names(&self) -> &[Bytes] {
        &self.names
    }

    /// Records the link to an endpoint's agent.
    pub fn record_link(&mut self, endpoint: usize, link: LinkId) {
        self.endpoints[endpoint].link = link;
    }

    /// Returns the link to an endpoint's agent.
    pub fn link(&self, endpoint: usize) -> LinkId {
        self.endpoints[endpoint].link
    }

    /// Changes the version of a model in the grant list, as an operator would.
    pub fn edit_version(&mut self, model: usize) {
        self.models[model].version = Bytes::from(format!("version-{}", self.plans));
    }

    /// Replaces the leader with one that starts with an empty planner and demand
    /// estimate.
    pub fn replace_leader(&mut self, now: Instant) {
        let settings = self.variant.planner_settings(self.deployment);
        self.input.term = 2;
        self.planner = PlacementPlanner::new(settings, now);
        self.demand = DemandEstimator::new(self.variant.demand.clone(), now);
    }

    /// Handles a frame from an agent; returns the answer, if any.
    pub fn handle_frame(
        &mut self,
        now: Instant,
        endpoint: usize,
        body: FrameBody,
        entries: &mut BenchEntries<'_>,
    ) -> Option<FrameBody> {
        let record = &mut self.endpoints[endpoint];
        match body {
            FrameBody::Announce(announce) => {
                let item = announce.endpoint?;
                if record.incarnation != item.incarnation {
                    record.incarnation = item.incarnation;
                    record.report = None;
                }
                let live = item.state() == EndpointState::Live;
                record.last_message = Some(now);
                let view = &mut entries.directory[endpoint];
                view.resident = item.resident.iter().cloned().collect();
                view.incarnation = item.incarnation;
                view.live = live;
                Some(FrameBody::AnnounceAck(AnnounceAck {
                    incarnation: item.incarnation,
                    fencing: item.incarnation,
                    accepted: true,
                    draining: false,
                }))
            }
            FrameBody::StateReport(report) if report.incarnation == record.incarnation => {
                record.last_message = Some(now);
                record.report = Some(endpoint_report(&report));
                None
            }
            _ => None,
        }
    }

    /// Makes a plan and returns the orders to send.
    pub fn plan(
        &mut self,
        now: Instant,
        entries: &mut BenchEntries<'_>,
    ) -> Vec<(usize, TargetOrder)> {
        self.plans += 1;
        for (idx, record) in self.endpoints.iter().enumerate() {
            let is_silent = |last_message: Instant| now >= last_message + SUSPECT_AFTER;
            if record.last_message.is_none_or(is_silent) {
                entries.directory[idx].live = false;
            }
        }
        match self.variant.placement {
            PlacementRule::Static => Vec::new(),
            PlacementRule::OnDemand => self.plan_on_demand(entries),
            PlacementRule::Planner => self.plan_by_planner(now, entries),
        }
    }

    fn plan_by_planner(
        &mut self,
        now: Instant,
        entries: &mut BenchEntries<'_>,
    ) -> Vec<(usize, TargetOrder)> {
        for (model, tokens) in std::mem::take(&mut entries.demand) {
            self.demand.add_tokens(&self.names[model], tokens);
        }
        self.demand.estimate(now, &mut self.input.demand);
        self.input.models.clone_from(&self.models);
        self.input.endpoints.clear();
        for (idx, record) in self.endpoints.iter().enumerate() {
            self.input.endpoints.push(PlacementEndpoint {
                name: Bytes::from(format!("engine-{idx:04}")),
                pool: Bytes::from_static(b"pool"),
                zone: Bytes::from(format!("zone-{}", idx % self.deployment.zones)),
                incarnation: record.incarnation,
                capacity_mib: CAPACITY_MIB,
                kv_reserve_mib: KV_RESERVE_MIB,
                slots: SLOTS,
                state: if entries.directory[idx].live {
                    PlacementState::Live
                } else {
                    PlacementState::Suspect
                },
                report: record.report.clone(),
            });
        }
        self.planner.plan(now, &self.input, &mut self.output);
        let orders = self.output.orders.iter();
        orders
            .map(|order| {
                let digits = std::str::from_utf8(&order.endpoint[7..]).unwrap_or("0");
                let models = order.models.iter().map(|entry| TargetModel {
                    model: entry.model.clone(),
                    version: entry.version.clone(),
                    memory_mib: entry.memory_mib,
                    base: entry.base.clone(),
                    rank: entry.rank,
                    kv_mib: entry.kv_mib,
                });
                let target = TargetOrder {
                    term: order.term,
                    revision: order.revision,
                    endpoint: order.endpoint.clone(),
                    incarnation: order.incarnation,
                    models: models.collect(),
                    load_permits: order.load_permits,
                    engine_role: Bytes::new(),
                };
                (digits.parse().unwrap_or(0), target)
            })
            .collect()
    }

    /// Loads each model that had late or refused requests on the least busy endpoint
    /// without it, and evicts the least recently used models for it.
    fn plan_on_demand(&mut self, entries: &mut BenchEntries<'_>) -> Vec<(usize, TargetOrder)> {
        let used = std::mem::take(&mut entries.demand);
        for record in &mut self.endpoints {
            for (model, last) in &mut record.held {
                let base = base_of(self.deployment, *model);
                let is_used = used.keys().any(|idx| {
                    idx == model || (base == *model && base_of(self.deployment, *idx) == base)
                });
                if is_used {
                    *last = self.plans;
                }
            }
        }
        let mut changed_hosts = Vec::new();
        for model in std::mem::take(&mut entries.late_or_refused) {
            if let Some(host) = self.load_on_demand(model, entries) {
                changed_hosts.push(host);
            }
        }
        changed_hosts.sort_unstable();
        changed_hosts.dedup();
        let orders = changed_hosts
            .into_iter()
            .map(|host| (host, self.held_order(host)));
        orders.collect()
    }

    fn load_on_demand(&mut self, model: usize, entries: &BenchEntries<'_>) -> Option<usize> {
        let base = base_of(self.deployment, model);
        let host = (0..self.endpoints.len())
            .filter(|host| entries.directory[*host].live)
            .filter(|host| !self.endpoints[*host].held.contains_key(&model))
            .min_by_key(|host| {
                let has_base = self.endpoints[*host].held.contains_key(&base);
                (
                    !has_base && model != base,
                    entries.attempts_at(*host),
                    *host,
                )
            })?;
        for part in [base, model] {
            let memory = |idx: &usize| self.models[*idx].memory_mib;
            let held = &self.endpoints[host].held;
            if held.contains_key(&part) {
                continue;
            }
            let mut sum: u64 = held.keys().map(memory).sum();
            while sum + memory(&part) > CAPACITY_MIB {
                let held = &mut self.endpoints[host].held;
                let oldest = held.iter().filter(|item| *item.0 != base);
                let victim = *oldest.min_by_key(|item| *item.1)?.0;
                held.retain(|idx, _| {
                    *idx != victim
                        && (victim >= self.deployment.models
                            || base_of(self.deployment, *idx) != victim)
                });
                sum = held.keys().map(|idx| self.models[*idx].memory_mib).sum();
            }
            self.endpoints[host].held.insert(part, self.plans);
        }
        Some(host)
    }

    fn held_order(&mut self, host: usize) -> TargetOrder {
        let record = &mut self.endpoints[host];
        record.revision += 1;
        let models = record.held.keys().map(|idx| {
            let model = &self.models[*idx];
            TargetModel {
                model: model.name.clone(),
                version: Bytes::new(),
                memory_mib: model.memory_mib,
                base: model.base.clone(),
                rank: *idx as u32,
                kv_mib: model.kv_mib,
            }
        });
        TargetOrder {
            term: 1,
            revision: record.revision,
            endpoint: Bytes::from(format!("engine-{host:04}")),
            incarnation: record.incarnation,
            models: models.collect(),
            load_permits: 8,
            engine_role: Bytes::new(),
        }
    }
}

/// Returns the models, in three sizes, and their adapters.
pub fn bench_models(deployment: &Deployment) -> Vec<PlacementModel> {
    let all = 0..deployment.models + deployment.adapters;
    all.map(|idx| {
        let base = base_of(deployment, idx);
        let adapter = idx >= deployment.models;
        PlacementModel {
            name: model_name(deployment, idx),
            version: Bytes::from_static(b"1"),
            memory_mib: if adapter {
                ADAPTER_MIB
            } else {
                [8_000, 14_000, 20_000][base % 3]
            },
            kv_mib: KV_MIB,
            base: if adapter {
                model_name(deployment, base)
            } else {
                Bytes::new()
            },
            pool: Bytes::from_static(b"pool"),
        }
    })
    .collect()
}

fn endpoint_report(report: &StateReport) -> EndpointReport {
    let residences = report.models.iter().map(|item| ModelResidence {
        model: item.model.clone(),
        version: item.version.clone(),
        phase: match item.state.as_ref() {
            b"resident" => ResidencePhase::Resident,
            b"loading" => ResidencePhase::Loading,
            _ => ResidencePhase::Unloading,
        },
    });
    EndpointReport {
        residences: residences.collect(),
        order_term: report.order_term,
        order_revision: report.order_revision,
        tokens_per_second: report.tokens_per_second,
    }
}
