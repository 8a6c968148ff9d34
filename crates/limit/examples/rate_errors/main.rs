//! Measures both errors of a rate limit that entries share, in virtual time.
//!
//! The callers' requests are shaped by one ideal bucket, so all of them are
//! within the rate. Printed for each case: the tokens above burst + rate x time
//! in the worst window, and the share of requests that were refused.

mod baselines;
mod fleet;
mod workload;

use std::time::Duration;

use baselines::{run_divided, run_fixed};
use fleet::run_leases;
use workload::{shape, CaseResult, CaseSetup, RequestSize};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

fn main() {
    println!("| entries | balancer | requests | deadline ms | leader change | scheme | above | refused | median wait ms | 99% wait ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for entries in [2, 8, 32] {
        for even in [true, false] {
            for size in [RequestSize::Small, RequestSize::Large] {
                print_deadlines(entries, even, size);
            }
        }
    }
}

fn print_deadlines(entries: usize, even: bool, size: RequestSize) {
    for (deadline_ms, leader_change) in [(500, false), (5_000, false), (5_000, true)] {
        print_case(&CaseSetup {
            entries,
            even,
            size,
            leader_change,
            deadline: Duration::from_millis(deadline_ms),
        });
    }
}

fn print_case(setup: &CaseSetup) {
    type Scheme = (&'static str, fn(&CaseSetup, u64) -> CaseResult);
    let leases: Scheme = ("leases", |setup, seed| {
        run_leases(setup, &shape(setup, seed))
    });
    let divided: Scheme = ("divided", |setup, seed| {
        run_divided(setup, &shape(setup, seed))
    });
    let fixed: Scheme = ("one size", |setup, seed| {
        run_fixed(setup, &shape(setup, seed))
    });
    for (name, run) in [leases, divided, fixed] {
        if setup.leader_change && name != "leases" {
            continue;
        }
        let mut sum = CaseResult::default();
        for seed in SEEDS {
            sum.add(run(setup, seed));
        }
        let balancer = if setup.even { "even" } else { "uneven" };
        let change = if setup.leader_change { "yes" } else { "no" };
        println!(
            "| {} | {balancer} | {:?} | {} | {change} | {name} | {} | {:.3}% ({} of {}) | {} | {} |",
            setup.entries,
            setup.size,
            setup.deadline.as_millis(),
            sum.above,
            100.0 * sum.refused as f64 / sum.offered as f64,
            sum.refused,
            sum.offered,
            sum.wait_percentile(50).as_millis(),
            sum.wait_percentile(99).as_millis(),
        );
    }
}
