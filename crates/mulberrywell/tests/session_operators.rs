//! Compares operators' sessions with golden files.

mod common;

use std::fs;

use common::session::SessionLog;
use common::{small_cluster, SmallCluster, GRANTS, PLANS};

/// Starts a cluster and an empty session log; returns them with the paths of the
/// plan list and the grant list.
fn session() -> (SmallCluster, SessionLog, String, String) {
    let small = small_cluster(1, 1);
    let mut log = SessionLog::default();
    let folder = small.cluster.folder().to_string_lossy().into_owned();
    log.redact(&folder, "folder");
    let path = |name: &str| format!("{folder}/{name}");
    let (plans, grants) = (path("edit-plans.toml"), path("edit-grants.toml"));
    fs::write(&plans, PLANS).unwrap();
    fs::write(&grants, GRANTS).unwrap();
    (small, log, plans, grants)
}

/// Returns the version of the lists in force.
fn list_version(small: &SmallCluster) -> String {
    let shown = small
        .cluster
        .operate_ok(&["show", "config", "--json"])
        .unwrap();
    let config: serde_json::Value = serde_json::from_str(&shown).unwrap();
    config["list_version"].to_string()
}

#[test]
fn session_operator_edit() {
    let (small, mut log, plans, grants) = session();
    let base = list_version(&small);
    fs::write(&plans, PLANS.replace("rate = 10\n", "rate = 20\n")).unwrap();
    let edit = [
        "apply", "--plans", &plans, "--grants", &grants, "--base", &base,
    ];
    let edit = [&edit[..], &["--request-id", "edit-1"]].concat();
    log.command(&small.cluster, &edit);
    log.comment("the same edit is resent");
    log.command(&small.cluster, &edit);
    log.command(&small.cluster, &["show", "accounts"]);
    log.compare("operator_edit");
}

#[test]
fn session_operator_conflict() {
    let (small, mut log, plans, grants) = session();
    let base = list_version(&small);
    for (id, rate) in [("first", "rate = 20\n"), ("second", "rate = 30\n")] {
        fs::write(&plans, PLANS.replace("rate = 10\n", rate)).unwrap();
        let files = ["apply", "--plans", &plans, "--grants", &grants];
        let args = [&files[..], &["--base", &base, "--request-id", id]].concat();
        log.command(&small.cluster, &args);
    }
    log.command(&small.cluster, &["show", "accounts"]);
    log.compare("operator_conflict");
}

#[test]
fn session_operator_findings() {
    let (small, mut log, plans, grants) = session();
    fs::write(
        &plans,
        "[[plan]]\nname = \"gold\"\nrate = -1\ncolour = \"red\"\n",
    )
    .unwrap();
    fs::write(&grants, "[[grant]]\nplan = \"absent\"\nmodels = 3\n").unwrap();
    log.command(&small.cluster, &["check", &plans, &grants]);
    log.command(
        &small.cluster,
        &["apply", "--plans", &plans, "--grants", &grants],
    );
    log.comment("nothing has changed");
    log.command(&small.cluster, &["show", "accounts"]);
    log.compare("operator_findings");
}

#[test]
fn session_operator_keys() {
    let (small, mut log, _, _) = session();
    log.command(&small.cluster, &["key", "list"]);
    log.command(&small.cluster, &["key", "list", "--json"]);
    log.command(&small.cluster, &["key", "withdraw", "c1"]);
    log.command(&small.cluster, &["key", "withdraw", "no-such-label"]);
    log.command(&small.cluster, &["key", "give", "no-such-account", "x1"]);
    log.command(&small.cluster, &["key", "list"]);
    log.compare("operator_keys");
}

/// An operator can't evacuate a zone, see it or return it, or a resend changes it again.
#[test]
fn evacuation_started_shown_ended() {
    let (small, ..) = session();
    let operate = |args: &[&str]| small.cluster.operate_ok(args).unwrap();
    let zone_state = || {
        let shown = operate(&["evacuation", "status", "--json"]);
        let shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
        shown["evacuations"][0]["state"].to_string()
    };
    let start = ["evacuation", "start", "zone-9", "--request-id", "first"];
    operate(&start);
    assert_eq!(zone_state(), "\"evacuated\"");
    assert!(operate(&["evacuation", "status"]).contains("zone-9"));
    operate(&["evacuation", "end", "zone-9"]);
    operate(&start);
    assert_eq!(zone_state(), "\"ended\"");
    let audit = operate(&["audit"]);
    assert!(audit.contains("start evacuation") && audit.contains("end evacuation"));
}
