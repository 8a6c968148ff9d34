//! Requests within the rate, and the results of a simulation.

use std::time::{Duration, Instant};

use mulberrywell_limit::{AcquireOutcome, TokenBucket, TokenPlan};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Virtual time of one run.
pub const RUN_TIME: Duration = Duration::from_secs(60);

/// Share of the rate that is offered before shaping.
const OFFERED_SHARE: f64 = 0.9;

/// Interval in seconds at which an uneven balancer rotates its weights.
const ROTATION_INTERVAL: f64 = 5.0;

pub const PLAN: TokenPlan = TokenPlan {
    rate: 5_000,
    burst: 10_000,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestSize {
    /// 20 to 200 tokens.
    Small,
    /// 2,000 to 8,000 tokens at a burst of 10,000.
    Large,
}

#[derive(Debug, Clone)]
pub struct CaseSetup {
    pub entries: usize,
    pub even: bool,
    pub size: RequestSize,
    pub leader_change: bool,
    /// Time for which a request may wait.
    pub deadline: Duration,
}

#[derive(Debug, Clone)]
pub struct OfferedRequest {
    pub at: Instant,
    pub entry: usize,
    pub reserved: u64,
    pub used: u64,
    pub run_time: Duration,
}

#[derive(Debug, Clone)]
pub struct Spend {
    /// When the request was admitted.
    pub at: Instant,
    pub tokens: u64,
}

#[derive(Debug, Clone, Default)]
pub struct CaseResult {
    pub offered: usize,
    pub refused: usize,
    pub above: u64,
    pub waits: Vec<Duration>,
}

impl CaseResult {
    pub fn of(offered: usize, mut spends: Vec<Spend>, waits: Vec<Duration>) -> Self {
        spends.sort_by_key(|spend| spend.at);
        CaseResult {
            offered,
            refused: offered - spends.len(),
            above: max_excess(&spends),
            waits,
        }
    }

    pub fn add(&mut self, other: CaseResult) {
        self.offered += other.offered;
        self.refused += other.refused;
        self.above = self.above.max(other.above);
        self.waits.extend(other.waits);
    }

    pub fn wait_percentile(&self, percent: usize) -> Duration {
        let mut waits = self.waits.clone();
        waits.sort();
        waits
            .get(waits.len() * percent / 100)
            .copied()
            .unwrap_or_default()
    }
}

/// Draws random requests and keeps those that one ideal bucket admits
/// immediately.
pub fn shape(setup: &CaseSetup, seed: u64) -> Vec<OfferedRequest> {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let (low, high) = match setup.size {
        RequestSize::Small => (20, 200),
        RequestSize::Large => (2_000, 8_000),
    };
    let mean = (low + high) as f64 / 2.0;
    let per_second = PLAN.rate as f64 * OFFERED_SHARE / mean;
    let mut ideal = TokenBucket::new(PLAN.rate, PLAN.burst, start);
    let mut requests = Vec::new();
    let mut elapsed = 0.0;
    while elapsed < RUN_TIME.as_secs_f64() {
        elapsed += -rng.random::<f64>().max(1e-12).ln() / per_second;
        let at = start + Duration::from_secs_f64(elapsed);
        let reserved = rng.random_range(low..=high);
        let used = rng.random_range(reserved / 2..=reserved);
        let entry = choose_entry(setup, elapsed, &mut rng);
        let run_time = Duration::from_millis(rng.random_range(50..1_000));
        if ideal.acquire(reserved, at) == AcquireOutcome::Acquired {
            requests.push(OfferedRequest {
                at,
                entry,
                reserved,
                used,
                run_time,
            });
        }
    }
    requests
}

/// Chooses the entry of a request. An uneven balancer gives entry `i` a weight
/// of 1 / (i + 1) and rotates the entries at [`ROTATION_INTERVAL`].
fn choose_entry(setup: &CaseSetup, elapsed: f64, rng: &mut StdRng) -> usize {
    if setup.even {
        return rng.random_range(0..setup.entries);
    }
    let weights: Vec<f64> = (0..setup.entries).map(|i| 1.0 / (i + 1) as f64).collect();
    let mut pick = rng.random::<f64>() * weights.iter().sum::<f64>();
    let rotation = (elapsed / ROTATION_INTERVAL) as usize;
    for (idx, weight) in weights.iter().enumerate() {
        pick -= weight;
        if pick <= 0.0 {
            return (idx + rotation) % setup.entries;
        }
    }
    0
}

/// Returns the greatest excess of any window over burst + rate x time.
fn max_excess(spends: &[Spend]) -> u64 {
    let mut backlog = 0.0_f64;
    let mut excess = 0.0_f64;
    let mut last = spends.first().map(|spend| spend.at);
    for spend in spends {
        let span = last.map_or(Duration::ZERO, |last| spend.at - last);
        backlog = (backlog - PLAN.rate as f64 * span.as_secs_f64()).max(0.0) + spend.tokens as f64;
        last = Some(spend.at);
        excess = excess.max(backlog - PLAN.burst as f64);
    }
    excess.ceil() as u64
}
