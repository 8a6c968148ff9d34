//! Requests of a run, generated from its seed before it starts.

use bytes::Bytes;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::bench_matrix::{Deployment, Scenario};

/// Time before the first request, for the first announcements, in seconds.
const WARMUP_SECONDS: f64 = 2.0;

/// Length of a run in seconds.
pub const RUN_SECONDS: f64 = 180.0;

/// Start of the scenario's change, in seconds.
pub const CHANGE_SECONDS: f64 = 60.0;

/// Duration of a tenfold shift in demand, in seconds.
const SHIFT_SECONDS: f64 = 60.0;

/// Requests per second per endpoint.
const ENDPOINT_RATE: f64 = 4.3;

/// Additional rate of the heavy account, relative to the rate of the whole fleet;
/// together with its own share it sends more than five times its rate.
const HEAVY_EXTRA: f64 = 1.0;

/// Index of the account that exceeds its rate.
pub const HEAVY_ACCOUNT: usize = 1;

/// One request.
#[derive(Debug, Clone)]
pub struct BenchRequest {
    pub at_us: u64,
    pub account: usize,
    /// Model or adapter.
    pub model: usize,
    pub prompt: u64,
    pub output: u64,
    pub prefix: u64,
}

/// Returns the name of a model or, for an index beyond the models, of an adapter.
pub fn model_name(deployment: &Deployment, idx: usize) -> Bytes {
    if idx < deployment.models {
        Bytes::from(format!("model-{idx:03}"))
    } else {
        Bytes::from(format!("adapter-{idx:04}"))
    }
}

/// Returns the base model of an adapter; a model is its own base.
pub fn base_of(deployment: &Deployment, idx: usize) -> usize {
    idx % deployment.models
}

/// Generates all requests of a run, in order of arrival.
pub fn generate_requests(
    deployment: &Deployment,
    scenario: Scenario,
    random: &mut Pcg64Mcg,
) -> Vec<BenchRequest> {
    let mut requests = Vec::new();
    let base_rate = ENDPOINT_RATE * deployment.endpoints as f64;
    let max_rate = base_rate * (1.0 + HEAVY_EXTRA);
    let order = shuffled(deployment.models, random);
    let mut at = WARMUP_SECONDS;
    loop {
        at += -random.random::<f64>().max(1e-12).ln() / max_rate;
        if at >= RUN_SECONDS {
            return requests;
        }
        let has_changed = at >= CHANGE_SECONDS;
        let is_heavy = scenario == Scenario::HeavyAccount && has_changed;
        let rate = if is_heavy { max_rate } else { base_rate };
        if random.random::<f64>() * max_rate > rate {
            continue;
        }
        let is_extra = is_heavy && random.random::<f64>() * max_rate > base_rate;
        let account = if is_extra {
            HEAVY_ACCOUNT
        } else {
            draw_account(deployment.accounts, random)
        };
        let base = draw_model(scenario, at, &order, random);
        requests.push(BenchRequest {
            at_us: (at * 1e6) as u64,
            account,
            model: draw_adapter(deployment, base, random),
            prompt: random.random_range(200..800),
            output: random.random_range(20..150),
            prefix: 1 + (account * 64 + random.random_range(0..16)) as u64,
        });
    }
}

fn shuffled(count: usize, random: &mut Pcg64Mcg) -> Vec<usize> {
    let mut order: Vec<usize> = (0..count).collect();
    for idx in (1..count).rev() {
        order.swap(idx, random.random_range(0..=idx));
    }
    order
}

/// Probability that a request belongs to an account if it belongs to none of the
/// accounts before it.
const ACCOUNT_PROBABILITY: f64 = 0.34;

/// Draws an account. A few accounts are large: each sends two thirds as much as the
/// one before.
fn draw_account(count: usize, random: &mut Pcg64Mcg) -> usize {
    let mut account = 0;
    while account + 1 < count && random.random::<f64>() > ACCOUNT_PROBABILITY {
        account += 1;
    }
    account
}

/// Returns an account's weight, which is its share of the fleet's rate.
pub fn account_weight(count: usize, account: usize) -> u32 {
    let preceding_share = (1.0 - ACCOUNT_PROBABILITY).powi(account as i32);
    let own_share = if account + 1 < count {
        ACCOUNT_PROBABILITY
    } else {
        1.0
    };
    ((1_000.0 * preceding_share * own_share) as u32).max(1)
}

/// Draws a base model by Zipf's law over a popularity order that the scenario may
/// change.
fn draw_model(scenario: Scenario, at: f64, order: &[usize], random: &mut Pcg64Mcg) -> usize {
    let progress = ((at - CHANGE_SECONDS) / SHIFT_SECONDS).clamp(0.0, 1.0);
    let last = order.len() - 1;
    if scenario == Scenario::PopularModel && progress > 0.0 && random.random::<f64>() < 0.3 {
        return order[last];
    }
    let total: f64 = (1..=order.len()).map(|rank| 1.0 / rank as f64).sum();
    let mut remaining = random.random::<f64>() * total;
    let mut rank = 0;
    while rank < last && remaining > 1.0 / (rank + 1) as f64 {
        remaining -= 1.0 / (rank + 1) as f64;
        rank += 1;
    }
    if scenario == Scenario::TenfoldMove && random.random::<f64>() < progress {
        // The head and the tail of the distribution are exchanged.
        rank = last - rank;
    }
    order[rank]
}

/// Draws the model or one of its adapters; half of the requests are for an adapter.
fn draw_adapter(deployment: &Deployment, base: usize, random: &mut Pcg64Mcg) -> usize {
    let adapters_per_model = deployment.adapters / deployment.models;
    if adapters_per_model == 0 || random.random::<bool>() {
        return base;
    }
    deployment.models * (1 + random.random_range(0..adapters_per_model)) + base
}
