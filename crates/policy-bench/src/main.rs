//! Measures the policy in virtual time.
//!
//! Purpose: drives the agent role, the entry's endpoint choice and the
//! placement planner in one process, with small fakes of engine, weight store
//! and network, and prints one table row for each cell. Nothing of the product
//! depends on this package.
//!
//! Guarantees: a cell's figures depend on its deployment, scenario, variant
//! and seeds alone.

mod bench_control;
mod bench_entry;
mod bench_plan;
mod bench_world;
mod event_queue;
mod fake_engine;
mod planner_cost;
mod request_stream;
mod run_result;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use bench_plan::{deployments, variants, Deployment, Scenario, Variant};
use bench_world::BenchWorld;
use clap::{Arg, ArgMatches, Command};
use run_result::{print_head, print_row, RunResult};

/// One cell of the table.
struct BenchCell {
    deployment: Deployment,
    scenario: (Scenario, &'static str),
    variant: Variant,
}

fn main() {
    let list = |name: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).help(help);
        arg.value_delimiter(',').num_args(1..)
    };
    let number = |name: &'static str, default: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default);
        arg.value_parser(clap::value_parser!(u64).range(1..=64))
    };
    let command = Command::new("mulberrywell-policy-bench")
        .about("Measures placement, routing and queueing in virtual time")
        .arg(list("deployments", "Names; all but `tenfold` without"))
        .arg(list("scenarios", "Names; all without"))
        .arg(list("variants", "Names; all without"))
        .arg(number("seeds", "5").help("Seeds of each cell"))
        .arg(number("threads", "4").help("Runs at the same time"))
        .subcommand(Command::new("planner-cost").about("Measures the planner by size"));
    let args = command.get_matches();
    if args.subcommand_matches("planner-cost").is_some() {
        planner_cost::measure();
        return;
    }
    let seeds = args.get_one::<u64>("seeds").copied().unwrap_or(5);
    let threads = args.get_one::<u64>("threads").copied().unwrap_or(4);
    let cells = chosen_cells(&args);
    print_head();
    run_cells(&cells, seeds, threads);
}

fn chosen_cells(args: &ArgMatches) -> Vec<BenchCell> {
    let names = |id: &str| -> Option<Vec<String>> {
        let values = args.get_many::<String>(id)?;
        Some(values.cloned().collect())
    };
    let fits = |list: &Option<Vec<String>>, name: &str| {
        let mut names = list.iter().flatten();
        list.is_none() || names.any(|wanted| wanted == name)
    };
    let (deployment_names, scenario_names) = (names("deployments"), names("scenarios"));
    let variant_names = names("variants");
    let mut cells = Vec::new();
    for deployment in deployments() {
        let chosen = match &deployment_names {
            Some(_) => fits(&deployment_names, deployment.name),
            None => deployment.name != "tenfold",
        };
        for scenario in Scenario::ALL {
            for variant in variants() {
                if chosen && fits(&scenario_names, scenario.1) && fits(&variant_names, variant.name)
                {
                    cells.push(BenchCell {
                        deployment: deployment.clone(),
                        scenario,
                        variant,
                    });
                }
            }
        }
    }
    cells
}

/// Runs all cells and prints them in order.
fn run_cells(cells: &[BenchCell], seeds: u64, threads: u64) {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<Vec<RunResult>>>> = Mutex::new(vec![None; cells.len()]);
    let printed = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let idx = next.fetch_add(1, Ordering::Relaxed);
                let Some(cell) = cells.get(idx) else {
                    return;
                };
                let runs: Vec<RunResult> = (1..=seeds).map(|seed| run_cell(cell, seed)).collect();
                let mut results = results.lock().expect("no holder of the lock panics");
                results[idx] = Some(runs);
                print_ready(cells, &results, &printed);
            });
        }
    });
}

fn print_ready(cells: &[BenchCell], results: &[Option<Vec<RunResult>>], printed: &AtomicUsize) {
    let mut idx = printed.load(Ordering::Relaxed);
    while let Some(Some(runs)) = results.get(idx) {
        let cell = &cells[idx];
        print_row(
            cell.deployment.name,
            cell.scenario.1,
            cell.variant.name,
            runs,
        );
        idx += 1;
    }
    printed.store(idx, Ordering::Relaxed);
}

fn run_cell(cell: &BenchCell, seed: u64) -> RunResult {
    BenchWorld::new(&cell.deployment, cell.scenario.0, &cell.variant, seed).run()
}
