//! Two simple schemes to share a rate, simulated without message delays.

use std::time::{Duration, Instant};

use mulberrywell_limit::{AcquireOutcome, TokenBucket, LEASE_LIFETIME};

use crate::workload::{CaseResult, CaseSetup, OfferedRequest, Spend, PLAN};

/// Simulates entries that each have an equal part of rate and burst.
pub fn run_divided(setup: &CaseSetup, requests: &[OfferedRequest]) -> CaseResult {
    let parts = setup.entries as u64;
    let start = requests[0].at;
    let bucket = TokenBucket::new(PLAN.rate / parts, PLAN.burst / parts, start);
    let mut buckets = vec![bucket; setup.entries];
    // When the last waiting request of each entry is admitted.
    let mut free_at = vec![start; setup.entries];
    let mut spends = Vec::new();
    let mut waits = Vec::new();
    for request in requests {
        let bucket = &mut buckets[request.entry];
        let from = request.at.max(free_at[request.entry]);
        let deadline = request.at + setup.deadline;
        let admitted = match bucket.clone().acquire(request.reserved, from) {
            AcquireOutcome::Acquired => Some(from),
            AcquireOutcome::Wait(delay) => Some(from + delay),
            AcquireOutcome::Unsatisfiable => None,
        };
        let Some(at) = admitted.filter(|at| *at <= deadline) else {
            continue;
        };
        bucket.acquire(request.reserved, at);
        free_at[request.entry] = at;
        // The unused part is released immediately, which favours this scheme.
        bucket.release(request.reserved - request.used, at);
        waits.push(at - request.at);
        spends.push(Spend {
            at,
            tokens: request.used,
        });
    }
    CaseResult::of(requests.len(), spends, waits)
}

struct FixedHolder {
    tokens: u64,
    until: Instant,
}

/// Simulates entries that acquire leases of one size from a shared bucket and
/// return the unspent tokens when the lifetime ends.
pub fn run_fixed(setup: &CaseSetup, requests: &[OfferedRequest]) -> CaseResult {
    const STEP: Duration = Duration::from_millis(5);
    let size = PLAN.burst / 4;
    let start = requests[0].at;
    let mut bucket = TokenBucket::new(PLAN.rate, PLAN.burst, start);
    let mut holders: Vec<FixedHolder> = (0..setup.entries)
        .map(|_| FixedHolder {
            tokens: 0,
            until: start,
        })
        .collect();
    let mut waiting: Vec<OfferedRequest> = Vec::new();
    let mut spends = Vec::new();
    let mut waits = Vec::new();
    let mut next = 0;
    let mut now = start;
    while next < requests.len() || !waiting.is_empty() {
        now += STEP;
        while next < requests.len() && requests[next].at <= now {
            waiting.push(requests[next].clone());
            next += 1;
        }
        for holder in holders.iter_mut().filter(|holder| holder.until <= now) {
            bucket.release(holder.tokens, now);
            holder.tokens = 0;
        }
        waiting.retain(|request| {
            let holder = &mut holders[request.entry];
            while holder.tokens < request.reserved
                && bucket.acquire(size, now) == AcquireOutcome::Acquired
            {
                holder.tokens += size;
                holder.until = now + LEASE_LIFETIME;
            }
            if holder.tokens >= request.reserved {
                holder.tokens -= request.used;
                waits.push(now - request.at);
                spends.push(Spend {
                    at: now,
                    tokens: request.used,
                });
                return false;
            }
            now < request.at + setup.deadline
        });
    }
    CaseResult::of(requests.len(), spends, waits)
}
