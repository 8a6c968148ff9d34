//! Tests of start-up, exit codes, JSON output and logs of both binaries.

mod common;

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::process::{Command, Output};

use common::{binaries, planned_cluster, small_cluster};
use mulberrywell_testkit::{free_port, wait_until, ClusterPlan, HttpCaller, ProcessSet};
use nix::libc::O_NONBLOCK;
use nix::sys::signal::Signal;
use rstest::rstest;

/// Settings with one finding in each of three tables.
const BAD_SETTINGS: &str = r#"
[instance]
name = "one"
zone = "zone-a"
region = "region-a"
listen = "127.0.0.1:1"
secret_file = "secret"
seeds = ["127.0.0.1:1"]
colour = "red"
[entry]
caller_listen = "nowhere"
[control]
operator_listen = "127.0.0.1:2"
data_folder = "DATA"
operator_key_file = "key"
bootstrap = 1
"#;

fn run(binary: &Path, args: &[&str]) -> Output {
    Command::new(binary).args(args).output().unwrap()
}

#[test]
fn start_refused_with_all_findings() {
    let folder = tempfile::tempdir().unwrap();
    let data = folder.path().join("data");
    let settings = folder.path().join("bad.toml");
    fs::write(
        &settings,
        BAD_SETTINGS.replace("DATA", &data.to_string_lossy()),
    )
    .unwrap();
    let path = settings.to_string_lossy().into_owned();
    let checked = run(&binaries().serve, &["check", &path]);
    let started = run(&binaries().serve, &["serve", "--settings", &path]);
    for output in [&checked, &started] {
        assert_eq!(output.status.code(), Some(3));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        for place in [":9:1:", ":11:17:", ":16:13:"] {
            assert!(
                text.contains(&format!("{path}{place}")),
                "{place} in {text}"
            );
        }
        assert_eq!(text.lines().count(), 3, "{text}");
    }
    assert!(!data.exists());
    let agent = run(&binaries().agent, &["--settings", &path]);
    assert_eq!(agent.status.code(), Some(3));
}

/// Guards against a kill time of an entry that is ignored, or that leaves no time for the
/// last answers.
#[rstest]
#[case::long_enough(2_000, false)]
#[case::too_short(1_999, true)]
fn entry_kill_time_checked(#[case] kill_ms: u64, #[case] is_finding: bool) {
    let folder = tempfile::tempdir().unwrap();
    let settings = folder.path().join("kill.toml");
    let entry = format!("[entry]\nshutdown_kill_ms = {kill_ms}\n");
    fs::write(&settings, BAD_SETTINGS.replace("[entry]\n", &entry)).unwrap();
    let output = run(&binaries().serve, &["check", &settings.to_string_lossy()]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.contains("shutdown_kill_ms"), is_finding, "{text}");
    assert_eq!(text.lines().count(), 3 + usize::from(is_finding), "{text}");
}

#[rstest]
#[case::no_arguments(&[], 2)]
#[case::unknown_command(&["frobnicate"], 2)]
#[case::serve_without_settings(&["serve"], 2)]
#[case::show_unknown(&["show", "weather"], 2)]
#[case::help(&["--help"], 0)]
#[case::help_of_command(&["key", "give", "--help"], 0)]
#[case::missing_file(&["check", "/no/such/file"], 1)]
#[case::unreachable(&["show", "config", "--control", "127.0.0.1:1"], 5)]
fn exit_code(#[case] args: &[&str], #[case] code: i32) {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    fs::write(&key, "mwop-a-key").unwrap();
    let output = Command::new(binaries().serve)
        .args(args)
        .env("MULBERRYWELL_OPERATOR_KEY_FILE", &key)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(code), "{text}");
}

#[rstest]
#[case::config(&["show", "config", "--json"], "list_version")]
#[case::endpoints(&["show", "endpoints", "--json"], "endpoints")]
#[case::models(&["show", "models", "--json"], "models")]
#[case::accounts(&["show", "accounts", "--json"], "accounts")]
#[case::keys(&["key", "list", "--json"], "keys")]
#[case::audit(&["audit", "--json"], "entries")]
#[case::members(&["show", "members", "--json"], "members")]
fn json_output(#[case] args: &[&str], #[case] field: &str) {
    let small = small_cluster(1, 1);
    let text = small.cluster.operate_ok(args).unwrap();
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert!(!value[field].is_null(), "{text}");
}

#[test]
fn no_key_in_any_log() {
    let small = planned_cluster(ClusterPlan {
        controls: 1,
        entries: 1,
        log_level: "trace".to_owned(),
        ..ClusterPlan::default()
    });
    let address = small.cluster.callers[0];
    let caller = HttpCaller::new(address, Some(&small.gold_key));
    assert_eq!(caller.chat("payroll", "x", 2, true).unwrap().status, 200);
    let keyless = HttpCaller::new(address, None);
    let by_query = format!("/v1/models?api_key={}", small.gold_key);
    let by_cookie = format!("api_key={}", small.gold_key);
    keyless.call("GET", &by_query, &[], "").unwrap();
    keyless
        .call("GET", "/v1/models", &[("cookie", &by_cookie)], "")
        .unwrap();
    keyless
        .call("GET", "/v1/models", &[("x-api-key", &small.gold_key)], "")
        .unwrap();
    keyless
        .call(
            "POST",
            "/v1/completions",
            &[("x-api-key", &small.gold_key)],
            &small.gold_key,
        )
        .unwrap();
    small
        .cluster
        .operate_ok(&["key", "withdraw", "m1"])
        .unwrap();
    let operator = fs::read_to_string(small.cluster.folder().join("operator.key")).unwrap();
    for name in ["control-0", "entry-0", "agent-engine-0", "agent-payments-0"] {
        let log = small.cluster.log(name);
        assert!(!log.is_empty(), "{name}");
        for key in [&small.gold_key, &small.small_key, operator.trim()] {
            assert!(!log.contains(key), "{name}");
        }
    }
    for run in small.engine.records().all() {
        assert!(!format!("{run:?}").contains(&small.gold_key));
    }
}

/// Sends a signal to a process that is still reading its secret: SIGHUP must not
/// end it, and SIGTERM must end it with status 0.
#[rstest]
#[case::hangup(Signal::SIGHUP)]
#[case::terminate(Signal::SIGTERM)]
fn start_signal_not_lost(#[case] signal: Signal) {
    let mut processes = ProcessSet::open().unwrap();
    let secret = processes.path("secret");
    let created = Command::new("mkfifo").arg(&secret).status().unwrap();
    assert!(created.success());
    let ports = [(); 3].map(|()| free_port().unwrap());
    let settings = format!(
        "[instance]\nname = \"one\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
         listen = \"{}\"\nsecret_file = \"{}\"\nseeds = [\"{}\"]\n\
         [gateway]\ncaller_listen = \"{}\"\nready_listen = \"{}\"\n",
        ports[0],
        secret.display(),
        ports[0],
        ports[1],
        ports[2],
    );
    let binary = binaries().serve;
    processes
        .start("one", &binary, &["serve"], &settings)
        .unwrap();
    // A FIFO can be opened for writing without blocking only once it has a reader.
    let mut pipe = None;
    wait_until("the process reads its secret", || {
        let mut options = fs::OpenOptions::new();
        pipe = options
            .write(true)
            .custom_flags(O_NONBLOCK)
            .open(&secret)
            .ok();
        pipe.is_some()
    })
    .unwrap();
    processes.signal("one", signal).unwrap();
    pipe.take()
        .unwrap()
        .write_all(b"a secret that is long enough")
        .unwrap();
    if signal == Signal::SIGTERM {
        assert!(processes.wait("one").unwrap(), "exit status is not 0");
        return;
    }
    wait_until("the process serves requests", || {
        let caller = HttpCaller::new(ports[2], None);
        caller.call("GET", "/ready", &[], "").is_ok()
    })
    .unwrap();
}
