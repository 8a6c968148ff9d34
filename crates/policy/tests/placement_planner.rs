//! Placement under demand, faults and late reports.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{
    mix_bits, DecisionKind, DecisionReason, DemandEstimate, EndpointReport, ModelResidence,
    PlacementEndpoint, PlacementInput, PlacementModel, PlacementOutput, PlacementPlanner,
    PlacementSettings, PlacementState, ResidencePhase,
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Simulated endpoints that execute orders with a delay; some orders are lost.
struct SmallFleet {
    now: Instant,
    input: PlacementInput,
    planner: PlacementPlanner,
    output: PlacementOutput,
    /// Remaining seconds and version of each load, by endpoint and model.
    loading: BTreeMap<(usize, Bytes), (u64, Bytes)>,
    load_seconds: u64,
    seed: u64,
    /// Number of orders lost out of 100.
    loss: u64,
    loads: usize,
}

fn model(name: &str, memory_mib: u64) -> PlacementModel {
    PlacementModel {
        name: Bytes::from(name.to_owned()),
        version: Bytes::from_static(b"1"),
        memory_mib,
        kv_mib: 10,
        base: Bytes::new(),
        pool: Bytes::from_static(b"pool"),
    }
}

fn endpoint(idx: usize, zones: usize) -> PlacementEndpoint {
    PlacementEndpoint {
        name: Bytes::from(format!("engine-{idx}")),
        pool: Bytes::from_static(b"pool"),
        zone: Bytes::from(format!("zone-{}", idx % zones)),
        incarnation: 1,
        capacity_mib: 40_000,
        kv_reserve_mib: 4_000,
        slots: 20,
        state: PlacementState::Live,
        report: Some(EndpointReport::default()),
    }
}

impl SmallFleet {
    fn new(models: usize, endpoints: usize, zones: usize) -> Self {
        let now = Instant::now();
        SmallFleet {
            now,
            input: PlacementInput {
                term: 1,
                models: (0..models)
                    .map(|idx| model(&format!("model-{idx:02}"), 10_000))
                    .collect(),
                endpoints: (0..endpoints).map(|idx| endpoint(idx, zones)).collect(),
                demand: Vec::new(),
            },
            planner: PlacementPlanner::new(PlacementSettings::default(), now),
            output: PlacementOutput::default(),
            loading: BTreeMap::new(),
            load_seconds: 3,
            seed: 1,
            loss: 0,
            loads: 0,
        }
    }

    fn draw(&mut self, limit: u64) -> u64 {
        self.seed = mix_bits(self.seed);
        self.seed % limit
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += SECOND;
        self.planner.plan(self.now, &self.input, &mut self.output);
        self.check_orders();
        for order in self.output.orders.clone() {
            if self.draw(100) < self.loss {
                continue;
            }
            let idx = self.index(&order.endpoint);
            let report = self.input.endpoints[idx].report.as_mut().unwrap();
            report.order_term = order.term;
            report.order_revision = order.revision;
            report.residences.retain(|residence| {
                order.models.iter().any(|entry| {
                    entry.model == residence.model && entry.version == residence.version
                })
            });
            let held: BTreeSet<Bytes> = report.residences.iter().map(|r| r.model.clone()).collect();
            self.loading.retain(|(at, model), _| {
                *at != idx || order.models.iter().any(|entry| entry.model == *model)
            });
            for entry in order.models {
                if !held.contains(&entry.model) {
                    let load = (self.load_seconds, entry.version.clone());
                    if self.loading.insert((idx, entry.model), load).is_none() {
                        self.loads += 1;
                    }
                }
            }
        }
        self.advance_loads();
    }

    fn advance_loads(&mut self) {
        let mut done = Vec::new();
        for (key, load) in &mut self.loading {
            load.0 = load.0.saturating_sub(1);
            if load.0 == 0 {
                done.push((key.clone(), load.1.clone()));
            }
        }
        for ((idx, model), version) in done {
            self.loading.remove(&(idx, model.clone()));
            if let Some(report) = &mut self.input.endpoints[idx].report {
                report.residences.push(ModelResidence {
                    model,
                    version,
                    phase: ResidencePhase::Resident,
                });
            }
        }
    }

    fn check_orders(&self) {
        for order in &self.output.orders {
            let endpoint = &self.input.endpoints[self.index(&order.endpoint)];
            let sum: u64 = order.models.iter().map(|entry| entry.memory_mib).sum();
            assert!(sum <= endpoint.capacity_mib, "{order:?}");
        }
        let is_model = |key: &&(usize, Bytes)| key.1.starts_with(b"model");
        let models = self.loading.keys().filter(is_model).count();
        assert!(models <= 4, "{:?}", self.loading);
        assert!(self.loading.len() - models <= 30, "{:?}", self.loading);
    }

    fn index(&self, name: &Bytes) -> usize {
        let mut endpoints = self.input.endpoints.iter();
        endpoints.position(|item| item.name == *name).unwrap()
    }

    /// Returns the live endpoints at which a model is resident.
    fn hosts(&self, name: &str) -> Vec<usize> {
        (0..self.input.endpoints.len())
            .filter(|idx| {
                let endpoint = &self.input.endpoints[*idx];
                let report = endpoint.report.as_ref();
                endpoint.state == PlacementState::Live
                    && report.is_some_and(|report| {
                        report
                            .residences
                            .iter()
                            .any(|residence| residence.model == name)
                    })
            })
            .collect()
    }

    fn zones(&self, name: &str) -> usize {
        let hosts = self.hosts(name);
        let zones: BTreeSet<&Bytes> = hosts
            .iter()
            .map(|idx| &self.input.endpoints[*idx].zone)
            .collect();
        zones.len()
    }

    fn fail(&mut self, idx: usize) {
        self.input.endpoints[idx].state = PlacementState::Suspect;
        self.loading.retain(|(at, _), _| *at != idx);
    }

    fn demand(&mut self, name: &str, tokens_per_second: f64) {
        self.input.demand.push(DemandEstimate {
            model: Bytes::from(name.to_owned()),
            tokens_per_second,
        });
    }

    fn assert_all_reachable(&self) {
        for item in &self.input.models {
            let name = std::str::from_utf8(&item.name).unwrap();
            assert!(!self.hosts(name).is_empty(), "{name}");
        }
    }
}

#[rstest]
#[case::no_loss(0)]
#[case::lost_orders(30)]
fn plan_spreads_over_two_zones(#[case] loss: u64) {
    let mut fleet = SmallFleet::new(6, 4, 2);
    fleet.loss = loss;
    fleet.run(60);
    for idx in 0..6 {
        assert_eq!(fleet.zones(&format!("model-{idx:02}")), 2, "{idx}");
    }
    assert_eq!(fleet.loads, 12);
}

#[test]
fn plan_restores_last_replica_first() {
    let mut fleet = SmallFleet::new(6, 6, 2);
    fleet.run(60);
    let lost = fleet.hosts("model-00");
    let spread: usize = (0..6)
        .filter(|idx| {
            let hosts = fleet.hosts(&format!("model-{idx:02}"));
            !hosts.iter().all(|host| lost.contains(host))
                && hosts.iter().any(|host| lost.contains(host))
        })
        .count();
    for host in &lost {
        fleet.fail(*host);
    }
    fleet.step();
    let loads: Vec<_> = fleet
        .output
        .decisions
        .iter()
        .filter(|item| item.kind == DecisionKind::Load)
        .collect();
    assert_eq!(loads[0].reason, DecisionReason::LastReplica, "{spread}");
    fleet.run(10);
    fleet.assert_all_reachable();
}

#[test]
fn plan_steady_demand_no_moves() {
    let mut fleet = SmallFleet::new(8, 4, 2);
    for idx in 0..8 {
        fleet.demand(&format!("model-{idx:02}"), 150.0);
    }
    fleet.run(60);
    let loads = fleet.loads;
    fleet.run(300);
    assert_eq!(fleet.loads, loads);
}

#[test]
fn plan_demand_adds_replicas() {
    let mut fleet = SmallFleet::new(4, 6, 2);
    fleet.run(60);
    assert_eq!(fleet.hosts("model-00").len(), 2);
    fleet.demand("model-00", 1_000.0);
    fleet.run(30);
    // 50 busy slots need four endpoints of 20 slots at 80%.
    assert!(fleet.hosts("model-00").len() >= 4);
}

#[rstest]
#[case::below_cost(16.0 * 20.0 * 2.0 + 2.0, false)]
#[case::above_cost(16.0 * 20.0 * 2.0 + 100.0, true)]
fn plan_hysteresis(#[case] tokens_per_second: f64, #[case] moves: bool) {
    let mut fleet = SmallFleet::new(1, 3, 3);
    fleet.run(30);
    assert_eq!(fleet.hosts("model-00").len(), 2);
    fleet.demand("model-00", tokens_per_second);
    fleet.run(30);
    assert_eq!(fleet.hosts("model-00").len() > 2, moves);
}

#[test]
fn plan_full_memory_keeps_last_replicas() {
    // Eight models with one replica each fill both endpoints.
    let mut fleet = SmallFleet::new(8, 2, 2);
    fleet.demand("model-00", 5_000.0);
    fleet.run(60);
    fleet.assert_all_reachable();
    assert_eq!(fleet.hosts("model-00").len(), 1);
}

#[test]
fn plan_evicts_surplus_for_demand() {
    let mut fleet = SmallFleet::new(2, 4, 2);
    fleet.demand("model-00", 2_000.0);
    fleet.run(60);
    assert_eq!(fleet.hosts("model-00").len(), 4);
    for _ in 0..12 {
        let idx = fleet.input.models.len();
        fleet
            .input
            .models
            .push(model(&format!("model-{idx:02}"), 10_000));
    }
    fleet.run(90);
    fleet.assert_all_reachable();
    assert!(fleet.hosts("model-00").len() < 4);
}

#[test]
fn plan_balances_overloaded_pool() {
    // A demand of 140 busy slots on a capacity of 80: 100 on two of the four
    // endpoints, and 40 on the others.
    let mut fleet = SmallFleet::new(2, 4, 2);
    for (idx, endpoint) in fleet.input.endpoints.iter_mut().enumerate() {
        let report = endpoint.report.as_mut().unwrap();
        report.residences.push(ModelResidence {
            model: Bytes::from(format!("model-{:02}", idx / 2)),
            version: Bytes::new(),
            phase: ResidencePhase::Resident,
        });
    }
    fleet.demand("model-00", 2_000.0);
    fleet.demand("model-01", 800.0);
    fleet.run(60);
    // A third replica brings each endpoint close to the mean.
    assert_eq!(fleet.hosts("model-00").len(), 3);
}

#[test]
fn plan_evicts_one_model_with_adapters() {
    // Seven models with five adapters each leave room for two replicas.
    let mut fleet = SmallFleet::new(7, 4, 2);
    for idx in 0..35 {
        let mut adapter = model(&format!("adapter-{idx:02}"), 10);
        adapter.base = Bytes::from(format!("model-{:02}", idx % 7));
        fleet.input.models.push(adapter);
        fleet.input.models[idx % 7].memory_mib = 9_900;
    }
    fleet.run(60);
    fleet.demand("model-01", 2_000.0);
    fleet.run(60);
    assert!(fleet.hosts("model-01").len() > 2);
    let loads = fleet.loads;
    fleet.input.demand.clear();
    fleet.demand("model-00", 1_000.0);
    fleet.run(60);
    assert!(fleet.hosts("model-00").len() > 2);
    // Each new replica loads its five adapters, and nothing else moves.
    let max_loads = 6 * (fleet.hosts("model-00").len() - 2);
    assert!(fleet.loads - loads <= max_loads, "{}", fleet.loads - loads);
    fleet.assert_all_reachable();
}

#[rstest]
#[case::not_reported(0, 2)]
#[case::fast_slots(8_000, 2)]
#[case::slow_slots(100, 4)]
fn plan_by_reported_rate(#[case] tokens_per_second: u64, #[case] replicas: usize) {
    let mut fleet = SmallFleet::new(1, 4, 2);
    fleet.run(30);
    fleet.demand("model-00", 600.0);
    for endpoint in &mut fleet.input.endpoints {
        let report = endpoint.report.as_mut().unwrap();
        report.tokens_per_second = tokens_per_second;
    }
    fleet.run(30);
    assert_eq!(fleet.hosts("model-00").len(), replicas);
}

#[test]
fn plan_places_adapter_with_base() {
    let mut fleet = SmallFleet::new(2, 4, 2);
    let mut adapter = model("adapter", 100);
    adapter.base = Bytes::from_static(b"model-01");
    fleet.input.models.push(adapter);
    fleet.run(60);
    assert_eq!(fleet.hosts("adapter"), fleet.hosts("model-01"));
}

#[rstest]
#[case::single_replica(1, 0.0)]
#[case::two_replicas(2, 0.0)]
#[case::four_replicas(2, 1_000.0)]
fn plan_replaces_versions_one_at_a_time(
    #[case] min_replicas: usize,
    #[case] tokens_per_second: f64,
) {
    let mut fleet = SmallFleet::new(2, 5, 2);
    let settings = PlacementSettings {
        min_replicas,
        ..PlacementSettings::default()
    };
    fleet.planner = PlacementPlanner::new(settings, fleet.now);
    fleet.demand("model-00", tokens_per_second);
    fleet.run(60);
    let min_hosts = fleet.hosts("model-00").len() - usize::from(min_replicas > 1);
    fleet.input.models[0].version = Bytes::from_static(b"2");
    for _ in 0..60 {
        fleet.step();
        assert!(fleet.hosts("model-00").len() >= min_hosts.max(1));
    }
    let reports = fleet
        .input
        .endpoints
        .iter()
        .filter_map(|endpoint| endpoint.report.as_ref());
    let versions: BTreeSet<Bytes> = reports
        .flat_map(|report| &report.residences)
        .filter(|residence| residence.model == "model-00")
        .map(|residence| residence.version.clone())
        .collect();
    assert_eq!(versions, [Bytes::from_static(b"2")].into());
}

#[test]
fn plan_new_leader_restores_sets() {
    let mut fleet = SmallFleet::new(6, 4, 2);
    fleet.run(60);
    let loads = fleet.loads;
    fleet.input.term = 2;
    fleet.planner = PlacementPlanner::new(PlacementSettings::default(), fleet.now);
    let report = fleet.input.endpoints[0].report.take();
    fleet.step();
    assert!(
        fleet.output.orders.is_empty(),
        "orders sent before all endpoints reported"
    );
    fleet.input.endpoints[0].report = report;
    fleet.run(30);
    assert_eq!(fleet.loads, loads);
    let report = fleet.input.endpoints[0].report.as_ref().unwrap();
    assert_eq!(report.order_term, 2);
}

#[test]
fn plan_repeats_unconfirmed_orders() {
    let mut fleet = SmallFleet::new(2, 2, 2);
    fleet.loss = 100;
    fleet.run(10);
    let orders = fleet.output.orders.clone();
    assert!(!orders.is_empty());
    fleet.step();
    assert_eq!(fleet.output.orders, orders);
}

/// Demand shifts, endpoints fail and return, and orders are lost; every model must be
/// reachable except in the round of a failure and the 15 rounds after it.
#[rstest]
fn plan_random_schedule(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = SmallFleet::new(10, 6, 3);
    fleet.seed = seed;
    fleet.loss = 20;
    fleet.run(60);
    let mut failed: Option<usize> = None;
    for round in 0..400 {
        if round % 40 == 0 {
            fleet.input.demand.clear();
            for _ in 0..3 {
                let name = format!("model-{:02}", fleet.draw(10));
                let rate = fleet.draw(1_500) as f64;
                fleet.demand(&name, rate);
            }
        }
        if round % 60 == 30 {
            let idx = fleet.draw(6) as usize;
            fleet.fail(idx);
            failed = Some(idx);
        }
        if round % 60 == 50 {
            if let Some(idx) = failed.take() {
                let endpoint = &mut fleet.input.endpoints[idx];
                endpoint.state = PlacementState::Live;
                endpoint.incarnation += 1;
                endpoint.report = Some(EndpointReport::default());
            }
        }
        fleet.step();
        // With two replicas in two zones, one replica survives the loss of one endpoint.
        if failed.is_none() || round % 60 > 45 {
            fleet.assert_all_reachable();
        }
    }
}
