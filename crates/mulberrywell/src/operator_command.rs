//! The operators' commands: calls of the operators' API and their output.

use anyhow::{bail, Result};
use bytes::Bytes;
use clap::ArgMatches;
use mulberrywell_directory::digest_key;
use serde_json::{json, Value};

use crate::file_check::{read_file, string_arg};
use crate::operator_client::{ApiResponse, OperatorClient};
use crate::output::{cell_text, print_table, ExitStatus};

/// Number of random bytes of a new key.
const KEY_LEN: usize = 32;

/// API path, result field and columns of a listing; columns are field names of
/// the API.
struct ListView {
    path: &'static str,
    field: &'static str,
    columns: &'static [&'static str],
}

static LIST_VIEWS: [(&str, ListView); 6] = [
    (
        "endpoints",
        ListView {
            path: "/v1/endpoints",
            field: "endpoints",
            columns: &["name", "state", "zone", "pool", "address", "resident"],
        },
    ),
    (
        "models",
        ListView {
            path: "/v1/models",
            field: "models",
            columns: &[
                "name",
                "pool",
                "base",
                "memory_mib",
                "replicas",
                "pending",
                "demand_slots",
                "decision",
            ],
        },
    ),
    (
        "accounts",
        ListView {
            path: "/v1/accounts",
            field: "accounts",
            columns: &["name", "plan", "rate", "burst", "keys"],
        },
    ),
    (
        "members",
        ListView {
            path: "/v1/members",
            field: "members",
            columns: &[
                "name",
                "id",
                "role",
                "address",
                "zone",
                "connected",
                "applied",
                "digest",
            ],
        },
    ),
    (
        "keys",
        ListView {
            path: "/v1/keys",
            field: "keys",
            columns: &["label", "account"],
        },
    ),
    (
        "audit",
        ListView {
            path: "/v1/audit",
            field: "entries",
            columns: &[
                "index", "at_ms", "actor", "action", "before", "after", "outcome",
            ],
        },
    ),
];

/// Runs one of the operators' commands.
pub fn run(name: &str, args: &ArgMatches) -> Result<ExitStatus> {
    let (verb, args) = match args.subcommand() {
        Some((verb, args)) => (verb, args),
        None => ("", args),
    };
    let client = OperatorClient::open(args)?;
    match (name, verb) {
        ("apply", _) => apply(&client, args),
        ("show", _) => show(&client, args),
        ("audit", _) => audit(&client, args),
        ("key", "list") => print_list(&client, args, "keys"),
        ("key", "give") => give_key(&client, args),
        ("key", "withdraw") => post_by_name(&client, args, "/v1/keys/withdraw", "label"),
        ("operator", "give") => give_operator(&client, args),
        ("operator", "withdraw") => post_by_name(&client, args, "/v1/operators/withdraw", "name"),
        ("member", verb) => request_member_change(&client, args, verb),
        ("evacuation", "start") => post_by_name(&client, args, "/v1/evacuations/start", "zone"),
        ("evacuation", "end") => post_by_name(&client, args, "/v1/evacuations/end", "zone"),
        ("evacuation", "status") => show_evacuations(&client, args),
        ("endpoint", "drain") => post_by_name(&client, args, "/v1/endpoints/drain", "name"),
        _ => bail!("unknown command"),
    }
}

fn apply(client: &OperatorClient, args: &ArgMatches) -> Result<ExitStatus> {
    let body = json!({
        "plans": read_file(string_arg(args, "plans"))?,
        "grants": read_file(string_arg(args, "grants"))?,
        "base": args.get_one::<u64>("base"),
        "request_id": request_id(args),
    });
    post_change(client, args, "/v1/lists", &body)
}

fn show(client: &OperatorClient, args: &ArgMatches) -> Result<ExitStatus> {
    match string_arg(args, "what") {
        "config" => show_config(client, args),
        what => print_list(client, args, what),
    }
}

fn show_config(client: &OperatorClient, args: &ArgMatches) -> Result<ExitStatus> {
    let response = client.get("/v1/config")?;
    if response.status == 200 && args.get_flag("version") {
        println!("{}", response.body["version"]);
        return Ok(ExitStatus::Done);
    }
    if response.status != 200 || args.get_flag("json") {
        return Ok(print_response(&response, args));
    }
    let body = &response.body;
    println!(
        "cluster {} version {} lists {} by {}",
        cell_text(&body["cluster"]),
        body["version"],
        body["list_version"],
        cell_text(&body["author"])
    );
    println!("\n# plans\n{}", cell_text(&body["plans"]));
    println!("# grants\n{}", cell_text(&body["grants"]));
    Ok(ExitStatus::Done)
}

/// Reads all pages of the audit trail and prints it.
fn audit(client: &OperatorClient, args: &ArgMatches) -> Result<ExitStatus> {
    let mut after = args.get_one::<u64>("after").copied().unwrap_or(0);
    let mut entries = Vec::new();
    loop {
        let mut response = client.get(&format!("/v1/audit?after={after}"))?;
        if response.status != 200 {
            return Ok(print_response(&response, args));
        }
        if let Value::Array(page) = response.body["entries"].take() {
            entries.extend(page);
        }
        match response.body["next"].as_u64() {
            Some(next) => after = next,
            None => break,
        }
    }
    if args.get_flag("json") {
        println!("{}", json!({ "entries": entries }));
    } else {
        print_rows(find_view("audit")?, &entries);
    }
    Ok(ExitStatus::Done)
}

/// Prints each evacuation with one line for each endpoint of its zone.
fn show_evacuations(client: &OperatorClient, args: &ArgMatches) -> Result<ExitStatus> {
    let response = client.get("/v1/evacuations")?;
    if response.status != 200 || args.get_flag("json") {
        return Ok(print_response(&response, args));
    }
    let columns = [
        "zone", "state", "since_ms", "ended_ms", "endpoint", "running",
    ];
    let mut rows = Vec::new();
    let items = response.body["evacuations"].as_array();
    for item in items.into_iter().flatten() {
        let cells = ["zone", "state", "since_ms", "ended_ms"];
        let cells = cells.map(|name| cell_text(&item[name]));
        let endpoints = item["endpoints"].as_array().into_iter().flatten();
        let endpoints = endpoints.map(|it| [cell_text(&it["name"]), cell_text(&it["running"])]);
        let mut endpoints: Vec<[String; 2]> = endpoints.collect();
        if endpoints.is_empty() {
            endpoints.push([String::new(), String::new()]);
        }
        rows.extend(endpoints.iter().map(|own| [&cells[..], &own[..]].concat()));
    }
    print_table(&columns, &rows);
    println!(
        "ready endpoints elsewhere: {}",
        response.body["ready_elsewhere"]
    );
    Ok(ExitStatus::Done)
}

fn find_view(what: &str) -> Result<&'static ListView> {
    match LIST_VIEWS.iter().find(|(name, _)| *name == what) {
        Some((_, view)) => Ok(view),
        None => bail!("no listing is named `{what}`"),
    }
}

fn print_rows(view: &ListView, items: &[Value]) {
    let rows = items.iter().map(|item| {
        let cells = view.columns.iter().map(|name| cell_text(&item[*name]));
        cells.collect()
    });
    print_table(view.columns, &rows.collect::<Vec<Vec<String>>>());
}

fn print_list(client: &OperatorClient, args: &ArgMatches, what: &str) -> Result<ExitStatus> {
    let view = find_view(what)?;
    let mut response = client.get(view.path)?;
    let items = response.body.get_mut(view.field);
    if let Some(items) = items.and_then(Value::as_array_mut) {
        // The API sorts some lists by digest, which means nothing to a reader.
        items.sort_by_cached_key(|item| cell_text(&item[view.columns[0]]));
    }
    if response.status != 200 || args.get_flag("json") {
        return Ok(print_response(&response, args));
    }
    let items = response.body[view.field].as_array();
    print_rows(view, items.map_or(&[], Vec::as_slice));
    Ok(ExitStatus::Done)
}

fn give_key(client: &OperatorClient, args: &ArgMatches) -> Result<ExitStatus> {
    let key = new_key("mw");
    let body = json!({
        "account": string_arg(args, "account"),
        "label": string_arg(args, "label"),
        "digest": hex(&digest_key(key.as_bytes())),
        "request_id": request_id(args),
    });
    register_key(client, args, "/v1/keys/give", &body, &key)
}

fn give_operator(client: &OperatorClient, args: &ArgMatches) -> Result<ExitStatus> {
    let key = new_key("mwop");
    let body = json!({
        "name": string_arg(args, "name"),
        "digest": hex(&digest_key(key.as_bytes())),
        "request_id": request_id(args),
    });
    register_key(client, args, "/v1/operators/give", &body, &key)
}

/// Registers the digest of a new key, then prints the key.
fn register_key(
    client: &OperatorClient,
    args: &ArgMatches,
    path: &str,
    body: &Value,
    key: &str,
) -> Result<ExitStatus> {
    let response = client.post(path, body)?;
    if response.status != 200 {
        return Ok(print_response(&response, args));
    }
    if args.get_flag("json") {
        println!(
            "{}",
            json!({ "key": key, "version": response.body["version"] })
        );
    } else {
        println!("{key}");
    }
    Ok(ExitStatus::Done)
}

fn post_by_name(
    client: &OperatorClient,
    args: &ArgMatches,
    path: &str,
    argument: &str,
) -> Result<ExitStatus> {
    let body = json!({
        "name": string_arg(args, argument),
        "request_id": request_id(args),
    });
    post_change(client, args, path, &body)
}

/// Adds, removes or replaces a control instance.
fn request_member_change(
    client: &OperatorClient,
    args: &ArgMatches,
    verb: &str,
) -> Result<ExitStatus> {
    let (add, remove) = match verb {
        "add" => (string_arg(args, "name"), ""),
        "remove" => ("", string_arg(args, "name")),
        "replace" => (string_arg(args, "new"), string_arg(args, "name")),
        _ => bail!("unknown command"),
    };
    let body = json!({ "add": add, "remove": remove, "request_id": request_id(args) });
    post_change(client, args, "/v1/members/wish", &body)
}

fn post_change(
    client: &OperatorClient,
    args: &ArgMatches,
    path: &str,
    body: &Value,
) -> Result<ExitStatus> {
    let response = client.post(path, body)?;
    Ok(print_response(&response, args))
}

fn print_response(response: &ApiResponse, args: &ArgMatches) -> ExitStatus {
    let error = &response.body["error"];
    if args.get_flag("json") {
        println!("{}", response.body);
    } else if response.status == 200 {
        println!("in force as version {}", response.body["version"]);
    } else {
        eprintln!("refused: {}", cell_text(&error["message"]));
        for finding in error["findings"].as_array().into_iter().flatten() {
            eprintln!("{}", cell_text(finding));
        }
        if let Some(version) = error["version"].as_u64() {
            eprintln!(
                "version {version} by {} is in force",
                cell_text(&error["winner"])
            );
        }
    }
    match (response.status, error["code"].as_str()) {
        (200, _) => ExitStatus::Done,
        (_, Some("findings")) => ExitStatus::Findings,
        (409, _) => ExitStatus::Conflict,
        _ => ExitStatus::Failed,
    }
}

fn request_id(args: &ArgMatches) -> String {
    let supplied = args.get_one::<String>("request-id").cloned();
    supplied.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()))
}

fn new_key(prefix: &str) -> String {
    format!(
        "{prefix}-{}",
        hex(&Bytes::copy_from_slice(&rand::random::<[u8; KEY_LEN]>()))
    )
}

fn hex(bytes: &Bytes) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
