//! Measures the duration of a plan by fleet size.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{
    mix_bits, DemandEstimate, EndpointReport, ModelResidence, PlacementEndpoint, PlacementInput,
    PlacementModel, PlacementOutput, PlacementPlanner, PlacementSettings, PlacementState,
    ResidencePhase,
};

/// Numbers of models and endpoints of each fleet size.
const SIZES: [(usize, usize); 3] = [(30, 20), (100, 300), (890, 3_300)];

/// Number of plans per measurement.
const PLANS: u32 = 100;

/// Prints a row for each fleet size.
pub fn measure() {
    println!("| models | endpoints | replicas | first plan ms | median plan ms | worst plan ms |");
    println!("|---|---|---|---|---|---|");
    for (models, endpoints) in SIZES {
        measure_size(models, endpoints);
    }
}

fn measure_size(models: usize, endpoints: usize) {
    let mut now = Instant::now();
    let mut input = fleet(models, endpoints);
    let mut planner = PlacementPlanner::new(PlacementSettings::default(), now);
    let mut output = PlacementOutput::default();
    let mut times = Vec::new();
    for round in 0..u64::from(PLANS) {
        now += Duration::from_secs(1);
        change_demand(&mut input, round);
        let start = Instant::now();
        planner.plan(now, &input, &mut output);
        times.push(start.elapsed());
        apply_orders(&mut input, &output);
    }
    let first = times[0];
    times.sort_unstable();
    let replicas: u32 = output.models.iter().map(|model| model.resident).sum();
    println!(
        "| {models} | {endpoints} | {replicas} | {:.3} | {:.3} | {:.3} |",
        millis(first),
        millis(times[times.len() / 2]),
        millis(times[times.len() - 1]),
    );
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Builds a fleet whose memory for models is 80% full.
fn fleet(models: usize, endpoints: usize) -> PlacementInput {
    let pool = Bytes::from_static(b"pool");
    let model = |idx: usize| PlacementModel {
        name: Bytes::from(format!("model-{idx:04}")),
        memory_mib: 14_000,
        kv_mib: 100,
        pool: pool.clone(),
        ..PlacementModel::default()
    };
    let endpoint = |idx: usize| {
        let residences = (0..4).map(|place| ModelResidence {
            model: Bytes::from(format!("model-{:04}", (idx * 4 + place) % models)),
            version: Bytes::new(),
            phase: ResidencePhase::Resident,
        });
        PlacementEndpoint {
            name: Bytes::from(format!("engine-{idx:04}")),
            pool: pool.clone(),
            zone: Bytes::from(format!("zone-{}", idx % 13)),
            incarnation: 1,
            capacity_mib: 70_000,
            kv_reserve_mib: 10_000,
            slots: 16,
            state: PlacementState::Live,
            report: Some(EndpointReport {
                residences: residences.collect(),
                ..EndpointReport::default()
            }),
        }
    };
    PlacementInput {
        term: 1,
        models: (0..models).map(model).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
        demand: Vec::new(),
    }
}

/// Sets the demand, which changes every ten plans.
fn change_demand(input: &mut PlacementInput, round: u64) {
    let total_rate = 16.0 * 20.0 * 0.5 * input.endpoints.len() as f64;
    let mean_rate = total_rate / input.models.len() as f64;
    let models = input.models.iter().enumerate();
    input.demand = models
        .map(|(idx, model)| {
            let draw = mix_bits(round / 10 * 1_000_003 + idx as u64) % 1_000;
            DemandEstimate {
                model: model.name.clone(),
                tokens_per_second: mean_rate * 2.0 * (draw as f64 / 1_000.0).powi(2) * 1.5,
            }
        })
        .collect();
}

/// Applies all orders immediately, as ideal agents would.
fn apply_orders(input: &mut PlacementInput, output: &PlacementOutput) {
    for order in &output.orders {
        let same = |endpoint: &&mut PlacementEndpoint| endpoint.name == order.endpoint;
        let Some(endpoint) = input.endpoints.iter_mut().find(same) else {
            continue;
        };
        let residences = order.models.iter().map(|entry| ModelResidence {
            model: entry.model.clone(),
            version: entry.version.clone(),
            phase: ResidencePhase::Resident,
        });
        endpoint.report = Some(EndpointReport {
            residences: residences.collect(),
            order_term: order.term,
            order_revision: order.revision,
            tokens_per_second: 0,
        });
    }
}
