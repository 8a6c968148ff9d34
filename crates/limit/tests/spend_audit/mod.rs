//! Simulated holders that spend at random, and an audit of every window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{
    LeaseId, LeaseTable, TokenPlan, TokenRefund, TokenRequest, LEASE_LIFETIME,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HOLDERS: usize = 4;
const STEPS: u64 = 20_000;
const STEP: Duration = Duration::from_millis(5);

/// Probabilities of faults and changes in each step.
#[derive(Debug, Clone, Default)]
pub struct FleetCase {
    pub loss: f64,
    pub leader_change: f64,
    pub plan_edit: f64,
}

struct Spend {
    at: Instant,
    lease: LeaseId,
    holder: usize,
    tokens: u64,
}

struct HeldLease {
    id: LeaseId,
    holder: usize,
    tokens: u64,
    until: Instant,
}

/// All spending and all plans of one run.
pub struct SpendAudit {
    spends: Vec<Spend>,
    plans: Vec<(Instant, TokenPlan)>,
}

impl SpendAudit {
    pub fn spent(&self) -> u64 {
        self.spends.iter().map(|spend| spend.tokens).sum()
    }

    /// Returns the greatest excess of any window over burst + rate x time.
    ///
    /// The burst is the one in force when the window begins; a lowered burst
    /// counts once the leases granted before it have ended.
    pub fn max_excess(&self) -> u64 {
        let starts = self.plans.iter().map(|(at, _)| *at);
        let ends = self.plans.iter().map(|(at, _)| *at + LEASE_LIFETIME);
        let mut bounds: Vec<Instant> = starts.chain(ends).collect();
        bounds.sort();
        let last = bounds[bounds.len() - 1] + Duration::from_secs(1_000_000);
        bounds.push(last);
        let spans = bounds
            .windows(2)
            .map(|pair| self.excess_between(pair[0], pair[1]));
        spans.max().unwrap_or(0)
    }

    /// Returns the greatest excess of the windows that begin in a span in
    /// which one burst is in force.
    fn excess_between(&self, from: Instant, to: Instant) -> u64 {
        let burst = self.burst(from) as f64;
        let (mut fill, mut excess, mut last) = (0.0_f64, 0.0_f64, from);
        for spend in self.spends.iter().filter(|spend| spend.at >= from) {
            fill -= self.accrued(last, spend.at);
            if spend.at < to {
                fill = fill.max(0.0);
            }
            fill += spend.tokens as f64;
            last = spend.at;
            excess = excess.max(fill - burst);
        }
        excess.ceil() as u64
    }

    fn accrued(&self, from: Instant, to: Instant) -> f64 {
        let ends = self.plans.iter().skip(1).map(|(at, _)| *at);
        let spans = self.plans.iter().zip(ends.chain([to]));
        spans
            .map(|((start, plan), end)| {
                let span = end.min(to).saturating_duration_since((*start).max(from));
                plan.rate as f64 * span.as_secs_f64()
            })
            .sum()
    }

    fn burst(&self, at: Instant) -> u64 {
        let ends = self.plans.iter().skip(1).map(|(at, _)| *at);
        let spans = self.plans.iter().zip(ends.chain([at + LEASE_LIFETIME]));
        spans
            .filter(|((start, _), end)| *start <= at && *end + LEASE_LIFETIME > at)
            .map(|((_, plan), _)| plan.burst)
            .max()
            .unwrap_or(0)
    }
}

struct FleetRun {
    /// The first one leads; the others apply the same log.
    tables: Vec<LeaseTable>,
    rng: StdRng,
    case: FleetCase,
    account: Bytes,
    now: Instant,
    term: u64,
    refunds: u64,
    leases: Vec<HeldLease>,
    running: VecDeque<usize>,
    audit: SpendAudit,
}

/// Simulates holders and lease tables in virtual time.
pub fn run_fleet(case: &FleetCase, seed: u64) -> SpendAudit {
    let now = Instant::now() + Duration::from_secs(1_000);
    let plan = TokenPlan {
        rate: 400,
        burst: 900,
    };
    let mut run = FleetRun {
        tables: vec![LeaseTable::new(), LeaseTable::new()],
        rng: StdRng::seed_from_u64(seed),
        case: case.clone(),
        account: Bytes::from_static(b"cali"),
        now,
        term: 1,
        refunds: 0,
        leases: Vec::new(),
        running: VecDeque::new(),
        audit: SpendAudit {
            spends: Vec::new(),
            plans: vec![(now, plan)],
        },
    };
    run.tables[0].start_leading(now, 1);
    for table in &mut run.tables {
        table.set_plan(now, &run.account, plan);
    }
    for _ in 0..STEPS {
        run.step();
    }
    run.audit
}

impl FleetRun {
    fn step(&mut self) {
        self.now += STEP;
        self.change_leader();
        self.edit_plan();
        self.commit_blocks();
        match self.rng.random_range(0..10) {
            0..=3 => self.request(),
            4..=7 => self.spend(),
            8 => self.close_lease(),
            _ => self.refund(),
        }
    }

    fn draw(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    fn change_leader(&mut self) {
        if self.draw(self.case.leader_change) {
            self.term += 1;
            self.tables[0].stop_leading();
            self.tables.swap(0, 1);
            self.tables[0].start_leading(self.now, self.term);
        }
    }

    fn edit_plan(&mut self) {
        if self.draw(self.case.plan_edit) {
            let plan = TokenPlan {
                rate: self.rng.random_range(100..900),
                burst: self.rng.random_range(300..1_500),
            };
            self.audit.plans.push((self.now, plan));
            for table in &mut self.tables {
                table.set_plan(self.now, &self.account, plan);
            }
        }
    }

    fn commit_blocks(&mut self) {
        for block in self.tables[0].propose_blocks(self.now) {
            for table in &mut self.tables {
                table.apply_block(self.now, &block.account, block.tokens);
            }
        }
    }

    fn holder(idx: usize) -> Bytes {
        Bytes::from(format!("entry-{idx}"))
    }

    fn request(&mut self) {
        let holder = self.rng.random_range(0..HOLDERS);
        let min_tokens = self.rng.random_range(1..200);
        let request = TokenRequest {
            holder: Self::holder(holder),
            min_tokens,
            tokens: min_tokens + self.rng.random_range(0..100),
            demand: self.rng.random_range(0..300),
            max_wait: Duration::from_secs(2),
        };
        let decision = self.tables[0].handle_request(self.now, &self.account, &request);
        if decision.tokens > 0 && !self.draw(self.case.loss) {
            self.leases.push(HeldLease {
                id: decision.lease,
                holder,
                tokens: decision.tokens,
                until: self.now + decision.lifetime,
            });
        }
    }

    fn spend(&mut self) {
        let now = self.now;
        self.leases.retain(|lease| lease.until > now);
        if self.leases.is_empty() {
            return;
        }
        let idx = self.rng.random_range(0..self.leases.len());
        let lease = &mut self.leases[idx];
        let tokens = self.rng.random_range(0..=lease.tokens);
        lease.tokens -= tokens;
        self.audit.spends.push(Spend {
            at: now,
            lease: lease.id,
            holder: lease.holder,
            tokens,
        });
        self.running.push_back(self.audit.spends.len() - 1);
    }

    fn close_lease(&mut self) {
        if self.leases.is_empty() {
            return;
        }
        let idx = self.rng.random_range(0..self.leases.len());
        let lease = self.leases.swap_remove(idx);
        let holder = Self::holder(lease.holder);
        for _ in 0..2 {
            if !self.draw(self.case.loss) {
                let table = &mut self.tables[0];
                table.close_lease(self.now, &self.account, &holder, lease.id, lease.tokens);
            }
        }
    }

    fn refund(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let pick = self.rng.random_range(0..self.running.len());
        let Some(idx) = self.running.remove(pick) else {
            return;
        };
        let spend = &mut self.audit.spends[idx];
        let tokens = self.rng.random_range(0..=spend.tokens);
        spend.tokens -= tokens;
        self.refunds += 1;
        let refund = TokenRefund {
            holder: Self::holder(spend.holder),
            number: self.refunds,
            lease: spend.lease,
            tokens,
        };
        for _ in 0..2 {
            self.tables[0].apply_refund(self.now, &self.account, &refund);
        }
    }
}
