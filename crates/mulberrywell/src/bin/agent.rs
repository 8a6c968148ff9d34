//! `mulberrywell-agent`: the process that runs next to each endpoint, announces
//! it and admits requests to it.

use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Arg, Command};
use mulberrywell_settings::AgentSettings;

/// Exit status if the settings have findings.
const EXIT_FINDINGS: u8 = 3;

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(err) => {
            eprintln!("mulberrywell-agent: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode> {
    let matches = Command::new("mulberrywell-agent")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Announces an endpoint and admits requests to it")
        .after_help("Exit status: 0 done; 1 failed; 2 wrong arguments; 3 findings.")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings of the agent, in TOML"),
        )
        .get_matches();
    let path = matches
        .get_one::<String>("settings")
        .map_or("", String::as_str);
    let source = std::fs::read_to_string(path).with_context(|| format!("can't read {path}"))?;
    match AgentSettings::parse(path, &source) {
        Ok(settings) => {
            mulberrywell_runtime::open_log(&settings.log)?;
            mulberrywell_runtime::serve_agent(&settings)?;
            Ok(ExitCode::SUCCESS)
        }
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            Ok(ExitCode::from(EXIT_FINDINGS))
        }
    }
}
