//! The commands `serve` and `check`. Files are read and checked completely
//! before a process starts or a result is printed.

use std::fs;

use anyhow::{Context, Result};
use clap::ArgMatches;
use mulberrywell_platform::PlatformInterface;
use mulberrywell_settings::{AgentSettings, Finding, GrantList, PlanList, ServeSettings};

use crate::output::ExitStatus;

/// Kind of a file, recognized by the tables in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FileKind {
    Agent,
    Serve,
    Plans,
    Grants,
}

const TABLE_KINDS: [(&str, FileKind); 7] = [
    ("[endpoint]", FileKind::Agent),
    ("[instance]", FileKind::Serve),
    ("[[plan]]", FileKind::Plans),
    ("[[account]]", FileKind::Plans),
    ("[[model]]", FileKind::Grants),
    ("[[service]]", FileKind::Grants),
    ("[[grant]]", FileKind::Grants),
];

/// Runs `mulberrywell serve`.
pub fn run_serve(args: &ArgMatches) -> Result<ExitStatus> {
    let path = string_arg(args, "settings");
    let source = read_file(path)?;
    match ServeSettings::parse(path, &source) {
        Ok(settings) => {
            mulberrywell_runtime::open_log(&settings.log)?;
            mulberrywell_runtime::serve(path, &settings, &PlatformInterface)?;
            Ok(ExitStatus::Done)
        }
        Err(findings) => Ok(print_findings(&findings)),
    }
}

/// Runs `mulberrywell check`.
pub fn run_check(args: &ArgMatches) -> Result<ExitStatus> {
    let paths = args.get_many::<String>("files").unwrap_or_default();
    let mut files = Vec::new();
    for path in paths {
        files.push((path.as_str(), read_file(path)?));
    }
    let plans = files
        .iter()
        .filter(|(_, source)| file_kind(source) == FileKind::Plans)
        .find_map(|(path, source)| PlanList::parse(path, source).ok());
    let mut findings = Vec::new();
    for (path, source) in &files {
        findings.extend(check_source(path, source, plans.as_ref()));
    }
    if findings.is_empty() {
        println!("no findings");
        return Ok(ExitStatus::Done);
    }
    Ok(print_findings(&findings))
}

/// Prints findings to standard error and returns their exit status.
pub fn print_findings(findings: &[Finding]) -> ExitStatus {
    for finding in findings {
        eprintln!("{finding}");
    }
    ExitStatus::Findings
}

/// Reads a file as text.
pub fn read_file(path: &str) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("can't read {path}"))
}

/// Returns a required string argument.
pub fn string_arg<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

fn file_kind(source: &str) -> FileKind {
    let has_table = |table: &str| source.lines().any(|line| line.trim().starts_with(table));
    TABLE_KINDS
        .iter()
        .find(|(table, _)| has_table(table))
        .map_or(FileKind::Serve, |(_, kind)| *kind)
}

fn check_source(path: &str, source: &str, plans: Option<&PlanList>) -> Vec<Finding> {
    let outcome = match (file_kind(source), plans) {
        (FileKind::Agent, _) => AgentSettings::parse(path, source).err(),
        (FileKind::Serve, _) => ServeSettings::parse(path, source).err(),
        (FileKind::Plans, _) => PlanList::parse(path, source).err(),
        (FileKind::Grants, Some(plans)) => GrantList::parse_with(path, source, plans).err(),
        (FileKind::Grants, None) => GrantList::parse(path, source).err(),
    };
    outcome.unwrap_or_default()
}
