//! Command line of the soak test: runs a range of seeds and reports breaches.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use mulberrywell_soak::{run_soak, ClusterSize, PlanKind, SoakSettings};

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let first = *matches
        .get_one::<u64>("seed")
        .context("no first seed given")?;
    let runs = *matches
        .get_one::<u64>("runs")
        .context("no number of runs given")?;
    let mut failed_runs = 0;
    for seed in first..first + runs {
        let report = run_soak(&settings(&matches, seed)?)?;
        println!(
            "seed {seed}: {} faults, {} evacuations, {} of {} calls served, {} breaches",
            report.faults.len(),
            report.evacuations,
            report.served,
            report.calls,
            report.breaches.len()
        );
        if report.breaches.is_empty() {
            continue;
        }
        failed_runs += 1;
        for fault in &report.faults {
            println!("  fault: {fault}");
        }
        for breach in &report.breaches {
            println!("  breach: {}: {}", breach.promise, breach.detail);
        }
    }
    println!("{runs} runs, {failed_runs} with breaches");
    Ok(ExitCode::from(u8::from(failed_runs > 0)))
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    Command::new("mulberrywell-soak")
        .about("Runs randomized faults against the real programs")
        .arg(number("seed", "1", "First seed"))
        .arg(number("runs", "1", "Number of consecutive seeds to run"))
        .arg(number(
            "seconds",
            "20",
            "Duration of fault injection in each run, in seconds",
        ))
        .arg(number("controls", "3", "Control instances to start"))
        .arg(number("gateways", "3", "Gateways to start"))
        .arg(number("endpoints", "4", "Endpoints to start"))
        .arg(number("callers", "8", "Number of concurrent callers"))
        .arg(
            Arg::new("departures")
                .long("departures")
                .action(ArgAction::SetTrue)
                .help("Lets instances and endpoints depart instead of the usual faults"),
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_parser(value_parser!(PathBuf))
                .help("Path of the mulberrywell binary [default: next to this program]"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_parser(value_parser!(PathBuf))
                .help("Folder in which logs of runs with breaches are saved"),
        )
}

fn settings(matches: &ArgMatches, seed: u64) -> Result<SoakSettings> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| usize::try_from(number(name));
    let binary = match matches.get_one::<PathBuf>("binary") {
        Some(path) => path.clone(),
        None => std::env::current_exe()?.with_file_name("mulberrywell"),
    };
    Ok(SoakSettings {
        binary,
        plan: match matches.get_flag("departures") {
            true => PlanKind::Departures,
            false => PlanKind::Faults,
        },
        seed,
        duration: Duration::from_secs(number("seconds")),
        size: ClusterSize {
            controls: count("controls")?,
            gateways: count("gateways")?,
            endpoints: count("endpoints")?,
        },
        callers: number("callers"),
        log_folder: matches.get_one::<PathBuf>("logs").cloned(),
    })
}
