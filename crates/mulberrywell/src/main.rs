//! `mulberrywell`: runs the entry, gateway and control roles, and provides the
//! operators' command line.

mod command_line;
mod file_check;
mod operator_client;
mod operator_command;
mod output;

use std::process::ExitCode;

use crate::output::ExitStatus;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    let result = match matches.subcommand() {
        Some(("serve", args)) => file_check::run_serve(args),
        Some(("check", args)) => file_check::run_check(args),
        Some((name, args)) => operator_command::run(name, args),
        None => Ok(ExitStatus::Usage),
    };
    match result {
        Ok(status) => status.into(),
        Err(err) => {
            eprintln!("mulberrywell: {err:#}");
            let unreachable = err.is::<operator_client::UnreachableError>();
            if unreachable {
                ExitStatus::Unreachable.into()
            } else {
                ExitStatus::Failed.into()
            }
        }
    }
}
