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

/// Endpoints that carry orders out after a while, some of which get lost.
struct SmallFleet {
    now: Instant,
    input: PlacementInput,
    planner: PlacementPlanner,
    output: PlacementOutput,
    /// Seconds left of each load.
    loading: BTreeMap<(usize, Bytes), (u64, Bytes)>,
    load_seconds: u64,
    seed: u64,
    /// Orders lost out of 100.
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
        assert!(self.loading.len() <= 4, "{:?}", self.loading);
    }

    fn index(&self, name: &Bytes) -> usize {
        let mut endpoints = self.input.endpoints.iter();
        endpoints.position(|item| item.name == *name).unwrap()
    }

    /// Live endpoints where a model answers.
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
fn plan_two_zones(#[case] loss: u64) {
    let mut fleet = SmallFleet::new(6, 4, 2);
    fleet.loss = loss;
    fleet.run(60);
    for idx in 0..6 {
        assert_eq!(fleet.zones(&format!("model-{idx:02}")), 2, "{idx}");
    }
    assert_eq!(fleet.loads, 12);
}

#[test]
fn plan_last_replica_first() {
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
fn plan_steady_no_moves() {
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
#[case::below_cost(16.0 * 20.0 * 2.0 + 4.0, false)]
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
fn plan_full_memory_keeps_last() {
    // Eight models fill two endpoints with one replica each.
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
fn plan_adapter_beside_base() {
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
fn plan_version_one_at_a_time(#[case] min_replicas: usize, #[case] tokens_per_second: f64) {
    let mut fleet = SmallFleet::new(2, 5, 2);
    let settings = PlacementSettings {
        min_replicas,
        ..PlacementSettings::default()
    };
    fleet.planner = PlacementPlanner::new(settings, fleet.now);
    fleet.demand("model-00", tokens_per_second);
    fleet.run(60);
    let least = fleet.hosts("model-00").len() - usize::from(min_replicas > 1);
    fleet.input.models[0].version = Bytes::from_static(b"2");
    for _ in 0..60 {
        fleet.step();
        assert!(fleet.hosts("model-00").len() >= least.max(1));
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
fn plan_new_leader_adopts() {
    let mut fleet = SmallFleet::new(6, 4, 2);
    fleet.run(60);
    let loads = fleet.loads;
    fleet.input.term = 2;
    fleet.planner = PlacementPlanner::new(PlacementSettings::default(), fleet.now);
    let report = fleet.input.endpoints[0].report.take();
    fleet.step();
    assert!(fleet.output.orders.is_empty(), "not all have reported");
    fleet.input.endpoints[0].report = report;
    fleet.run(30);
    assert_eq!(fleet.loads, loads);
    let report = fleet.input.endpoints[0].report.as_ref().unwrap();
    assert_eq!(report.order_term, 2);
}

#[test]
fn plan_repeats_until_confirmed() {
    let mut fleet = SmallFleet::new(2, 2, 2);
    fleet.loss = 100;
    fleet.run(10);
    let orders = fleet.output.orders.clone();
    assert!(!orders.is_empty());
    fleet.step();
    assert_eq!(fleet.output.orders, orders);
}

/// Demand moves, endpoints fail and return, orders get lost.
#[rstest]
fn plan_random_schedule(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = SmallFleet::new(10, 6, 3);
    fleet.seed = seed;
    fleet.loss = 20;
    fleet.run(60);
    let mut down: Option<usize> = None;
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
            down = Some(idx);
        }
        if round % 60 == 50 {
            if let Some(idx) = down.take() {
                let endpoint = &mut fleet.input.endpoints[idx];
                endpoint.state = PlacementState::Live;
                endpoint.incarnation += 1;
                endpoint.report = Some(EndpointReport::default());
            }
        }
        fleet.step();
        // Two replicas in two zones: one lost endpoint leaves one.
        if down.is_none() || round % 60 > 45 {
            fleet.assert_all_reachable();
        }
    }
}
