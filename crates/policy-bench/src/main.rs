//! Command line of the policy bench.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use clap::{Arg, ArgMatches, Command};
use mulberrywell_policy_bench::{
    deployments, measure, print_row, print_table_header, variants, BenchSimulation, Deployment,
    RunResult, Scenario, Variant,
};

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
        .arg(list(
            "deployments",
            "Deployments to run; all except `tenfold` by default",
        ))
        .arg(list("scenarios", "Scenarios to run; all by default"))
        .arg(list("variants", "Variants to run; all by default"))
        .arg(number("seeds", "5").help("Number of seeds per cell"))
        .arg(number("threads", "4").help("Number of concurrent runs"))
        .subcommand(
            Command::new("planner-cost").about("Measures the cost of a plan by fleet size"),
        );
    let args = command.get_matches();
    if args.subcommand_matches("planner-cost").is_some() {
        measure();
        return;
    }
    let seeds = args.get_one::<u64>("seeds").copied().unwrap_or(5);
    let threads = args.get_one::<u64>("threads").copied().unwrap_or(4);
    let cells = selected_cells(&args);
    print_table_header();
    run_cells(&cells, seeds, threads);
}

fn selected_cells(args: &ArgMatches) -> Vec<BenchCell> {
    let names = |id: &str| -> Option<Vec<String>> {
        let values = args.get_many::<String>(id)?;
        Some(values.cloned().collect())
    };
    let is_selected = |list: &Option<Vec<String>>, name: &str| {
        let mut names = list.iter().flatten();
        list.is_none() || names.any(|selected| selected == name)
    };
    let (deployment_names, scenario_names) = (names("deployments"), names("scenarios"));
    let variant_names = names("variants");
    let mut cells = Vec::new();
    for deployment in deployments() {
        let is_deployment_selected = match &deployment_names {
            Some(_) => is_selected(&deployment_names, deployment.name),
            None => deployment.name != "tenfold",
        };
        for scenario in Scenario::ALL {
            for variant in variants() {
                if is_deployment_selected
                    && is_selected(&scenario_names, scenario.1)
                    && is_selected(&variant_names, variant.name)
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

/// Runs all cells and prints their rows in order.
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
                let mut results = results
                    .lock()
                    .expect("no thread panics while it holds the lock");
                results[idx] = Some(runs);
                print_completed(cells, &results, &printed);
            });
        }
    });
}

fn print_completed(cells: &[BenchCell], results: &[Option<Vec<RunResult>>], printed: &AtomicUsize) {
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
    BenchSimulation::new(&cell.deployment, cell.scenario.0, &cell.variant, seed).run()
}
