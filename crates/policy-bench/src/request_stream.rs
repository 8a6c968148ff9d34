//! Requests of a run, drawn from its seed before it starts.

use bytes::Bytes;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::bench_plan::{Deployment, Scenario};

/// Time for the first announcements, before the first request, in seconds.
const QUIET_SECONDS: f64 = 2.0;

/// Length of a run in seconds.
pub const RUN_SECONDS: f64 = 180.0;

/// When the scenario's change begins, in seconds.
pub const CHANGE_SECONDS: f64 = 60.0;

/// Time over which demand moves tenfold, in seconds.
const MOVE_SECONDS: f64 = 60.0;

/// Requests a second for each endpoint.
const ENDPOINT_RATE: f64 = 4.3;

/// What the heavy account sends on top, in parts of the whole fleet's rate;
/// with its own share it sends more than five times its rate.
const HEAVY_EXTRA: f64 = 1.0;

/// Place of the account that sends too much.
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

/// Returns the name of a model or, past the models, of an adapter.
pub fn model_name(deployment: &Deployment, idx: usize) -> Bytes {
    if idx < deployment.models {
        Bytes::from(format!("model-{idx:03}"))
    } else {
        Bytes::from(format!("adapter-{idx:04}"))
    }
}

/// Returns the base of a model or adapter; a model is its own.
pub fn base_of(deployment: &Deployment, idx: usize) -> usize {
    idx % deployment.models
}

/// Draws all requests of a run, in order of time.
pub fn draw_requests(
    deployment: &Deployment,
    scenario: Scenario,
    random: &mut Pcg64Mcg,
) -> Vec<BenchRequest> {
    let mut requests = Vec::new();
    let base_rate = ENDPOINT_RATE * deployment.endpoints as f64;
    let most = base_rate * (1.0 + HEAVY_EXTRA);
    let order = shuffled(deployment.models, random);
    let mut at = QUIET_SECONDS;
    loop {
        at += -random.random::<f64>().max(1e-12).ln() / most;
        if at >= RUN_SECONDS {
            return requests;
        }
        let changed = at >= CHANGE_SECONDS;
        let heavy = scenario == Scenario::HeavyAccount && changed;
        let rate = if heavy { most } else { base_rate };
        if random.random::<f64>() * most > rate {
            continue;
        }
        let extra = heavy && random.random::<f64>() * most > base_rate;
        let account = if extra {
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

/// Part of the accounts from this one on that belongs to it.
const ACCOUNT_SHARE: f64 = 0.34;

/// A few accounts are large: each sends two thirds of the one before.
fn draw_account(count: usize, random: &mut Pcg64Mcg) -> usize {
    let mut account = 0;
    while account + 1 < count && random.random::<f64>() > ACCOUNT_SHARE {
        account += 1;
    }
    account
}

/// Returns the weight of an account's plan: its part of the fleet's rate.
pub fn account_weight(count: usize, account: usize) -> u32 {
    let before = (1.0 - ACCOUNT_SHARE).powi(account as i32);
    let own = if account + 1 < count {
        ACCOUNT_SHARE
    } else {
        1.0
    };
    ((1_000.0 * before * own) as u32).max(1)
}

/// Draws a base model by Zipf's law over a popularity order that may change.
fn draw_model(scenario: Scenario, at: f64, order: &[usize], random: &mut Pcg64Mcg) -> usize {
    let moved = ((at - CHANGE_SECONDS) / MOVE_SECONDS).clamp(0.0, 1.0);
    let last = order.len() - 1;
    if scenario == Scenario::PopularModel && moved > 0.0 && random.random::<f64>() < 0.3 {
        return order[last];
    }
    let total: f64 = (1..=order.len()).map(|rank| 1.0 / rank as f64).sum();
    let mut left = random.random::<f64>() * total;
    let mut rank = 0;
    while rank < last && left > 1.0 / (rank + 1) as f64 {
        left -= 1.0 / (rank + 1) as f64;
        rank += 1;
    }
    if scenario == Scenario::TenfoldMove && random.random::<f64>() < moved {
        // The tail takes the place of the head.
        rank = last - rank;
    }
    order[rank]
}

/// Half of the requests are for an adapter of the model.
fn draw_adapter(deployment: &Deployment, base: usize, random: &mut Pcg64Mcg) -> usize {
    let each = deployment.adapters / deployment.models;
    if each == 0 || random.random::<bool>() {
        return base;
    }
    deployment.models * (1 + random.random_range(0..each)) + base
}
