//! Definition of the command line: commands, arguments and environment variables.

use clap::{Arg, ArgAction, Command};

/// Environment variable with the operator addresses of the control instances.
pub const CONTROL_ENV: &str = "MULBERRYWELL_CONTROL";

/// Environment variable with the path of the operator's key file.
pub const KEY_FILE_ENV: &str = "MULBERRYWELL_OPERATOR_KEY_FILE";

/// Environment variable with the path of the instance's settings.
pub const SETTINGS_ENV: &str = "MULBERRYWELL_SETTINGS";

/// Values of the argument of `show`.
pub const SHOW_TARGETS: [&str; 5] = ["config", "endpoints", "models", "accounts", "members"];

const EXIT_HELP: &str = "Exit status: 0 done; 1 failed or refused; 2 wrong arguments; \
    3 findings in a file; 4 another edit came first; 5 no control instance answered.";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("mulberrywell")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves many models from fewer accelerators")
        .after_help(EXIT_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve_command())
        .subcommand(check_command())
        .subcommand(operator_args(apply_command()))
        .subcommand(operator_args(show_command()))
        .subcommand(key_command())
        .subcommand(operator_command())
        .subcommand(endpoint_command())
        .subcommand(member_command())
        .subcommand(evacuation_command())
        .subcommand(operator_args(audit_command()))
}

fn serve_command() -> Command {
    Command::new("serve")
        .about("Runs the roles that the settings name")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env(SETTINGS_ENV)
                .required(true)
                .help("Settings of the instance, in TOML"),
        )
}

fn check_command() -> Command {
    Command::new("check")
        .about("Reports all findings in settings and lists")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .help("Settings of an instance or agent, plan lists, grant lists"),
        )
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Applies a plan list and a grant list")
        .arg(
            Arg::new("plans")
                .long("plans")
                .value_name("FILE")
                .required(true)
                .help("Plan list, in TOML"),
        )
        .arg(
            Arg::new("grants")
                .long("grants")
                .value_name("FILE")
                .required(true)
                .help("Grant list, in TOML"),
        )
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(clap::value_parser!(u64))
                .help("List version that the edit is based on; the one in force if not given"),
        )
        .arg(request_arg())
}

fn show_command() -> Command {
    Command::new("show")
        .about("Prints the state in force")
        .arg(
            Arg::new("what")
                .value_parser(SHOW_TARGETS)
                .required(true)
                .help("What to print"),
        )
        .arg(
            Arg::new("version")
                .long("version")
                .action(ArgAction::SetTrue)
                .help("Prints only the version in force; for `config`"),
        )
}

fn member_command() -> Command {
    let name = || Arg::new("name").required(true).help("Name of the instance");
    let add = Command::new("add")
        .about("Adds a control instance; it votes once its log has caught up")
        .arg(name())
        .arg(request_arg());
    let remove = Command::new("remove")
        .about("Removes a control instance")
        .arg(name())
        .arg(request_arg());
    let replace = Command::new("replace")
        .about("Replaces one control instance by another")
        .arg(name())
        .arg(
            Arg::new("new")
                .required(true)
                .help("Name of the new instance"),
        )
        .arg(request_arg());
    Command::new("member")
        .about("Adds, removes and replaces control instances")
        .subcommand_required(true)
        .subcommand(operator_args(add))
        .subcommand(operator_args(remove))
        .subcommand(operator_args(replace))
}

fn key_command() -> Command {
    let give = Command::new("give")
        .about("Creates a key for a client account and prints it once")
        .arg(Arg::new("account").required(true).help("Client account"))
        .arg(label_arg())
        .arg(request_arg());
    let withdraw = Command::new("withdraw")
        .about("Withdraws a key and ends the requests that use it")
        .arg(label_arg())
        .arg(request_arg());
    let list = Command::new("list").about("Lists the keys by label");
    Command::new("key")
        .about("Gives, lists and withdraws callers' keys")
        .subcommand_required(true)
        .subcommand(operator_args(give))
        .subcommand(operator_args(list))
        .subcommand(operator_args(withdraw))
}

fn operator_command() -> Command {
    let give = Command::new("give")
        .about("Creates an operator's key and prints it once")
        .arg(Arg::new("name").required(true).help("Operator"))
        .arg(request_arg());
    let withdraw = Command::new("withdraw")
        .about("Withdraws an operator's key")
        .arg(Arg::new("name").required(true).help("Operator"))
        .arg(request_arg());
    Command::new("operator")
        .about("Gives and withdraws operators' keys")
        .subcommand_required(true)
        .subcommand(operator_args(give))
        .subcommand(operator_args(withdraw))
}

fn endpoint_command() -> Command {
    let drain = Command::new("drain")
        .about("Stops sending new requests to an endpoint")
        .arg(Arg::new("name").required(true).help("Endpoint"))
        .arg(request_arg());
    Command::new("endpoint")
        .about("Changes the state of an endpoint")
        .subcommand_required(true)
        .subcommand(operator_args(drain))
}

fn evacuation_command() -> Command {
    let zone = || {
        Arg::new("zone")
            .required(true)
            .help("Availability zone, which may be unknown")
    };
    let start = Command::new("start")
        .about("Stops sending requests to the endpoints of a zone; running streams finish")
        .arg(zone())
        .arg(request_arg());
    let end = Command::new("end")
        .about("Returns a zone to service")
        .arg(zone())
        .arg(request_arg());
    let status = Command::new("status")
        .about("Lists evacuations, their endpoints and the requests that still run there");
    Command::new("evacuation")
        .about("Evacuates availability zones and returns them to service")
        .subcommand_required(true)
        .subcommand(operator_args(start))
        .subcommand(operator_args(end))
        .subcommand(operator_args(status))
}

fn audit_command() -> Command {
    Command::new("audit")
        .about("Prints the audit trail of changes")
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("INDEX")
                .value_parser(clap::value_parser!(u64))
                .default_value("0")
                .help("Prints entries after this index of the log"),
        )
}

fn label_arg() -> Arg {
    Arg::new("label")
        .required(true)
        .help("Public name of the key")
}

fn request_arg() -> Arg {
    Arg::new("request-id")
        .long("request-id")
        .value_name("ID")
        .help("Id that makes a resend idempotent; drawn at random if not given")
}

fn operator_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("control")
                .long("control")
                .env(CONTROL_ENV)
                .value_name("ADDRESS")
                .value_delimiter(',')
                .required(true)
                .help("Operator addresses of control instances, tried in turn"),
        )
        .arg(
            Arg::new("key-file")
                .long("operator-key-file")
                .env(KEY_FILE_ENV)
                .value_name("FILE")
                .required(true)
                .help("File with the operator's key"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON"),
        )
}
