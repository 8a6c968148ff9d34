//! Helpers for the tests of several control instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use mulberrywell_testkit::{wait_until, ClusterPlan, HttpCaller, ProcessCluster};
use serde_json::{json, Value};

use crate::common::{binaries, GRANTS, PLANS};

/// Number of reads that are sent to a suspended instance.
const READ_CALLS: usize = 4;

/// Pause between two attempts of an operator.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// An edit that was accepted.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedEdit {
    pub base: u64,
    pub version: u64,
}

/// A response to a read.
#[derive(Debug, Clone, Copy)]
pub struct ReadResponse {
    pub status: u16,
    pub version: u64,
}

/// A response to an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditResponse {
    pub status: u16,
    pub version: Option<u64>,
    pub code: String,
}

/// An operator that makes edits in a separate thread.
pub struct EditWorker {
    accepted: Arc<AtomicU64>,
    thread: JoinHandle<Vec<AcceptedEdit>>,
}

impl EditWorker {
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    pub fn join(self) -> Vec<AcceptedEdit> {
        self.thread.join().unwrap()
    }
}

/// A cluster with several control instances.
pub struct ControlGroup {
    pub cluster: ProcessCluster,
    key: String,
    /// Counter for the request ids of single edits.
    edits: AtomicU64,
}

impl ControlGroup {
    /// Starts control instances and waits until all of them are voters.
    pub fn spawn(controls: usize, entries: usize) -> Self {
        let plan = ClusterPlan {
            controls,
            entries,
            ..ClusterPlan::default()
        };
        Self::spawn_plan(&plan)
    }

    pub fn spawn_plan(plan: &ClusterPlan) -> Self {
        let cluster = ProcessCluster::spawn(&binaries(), plan).unwrap();
        let key = std::fs::read_to_string(cluster.folder().join("operator.key")).unwrap();
        let group = ControlGroup {
            cluster,
            key,
            edits: AtomicU64::new(0),
        };
        group.wait_voters(plan.controls);
        group.cluster.apply(PLANS, GRANTS).unwrap();
        group
    }

    pub fn operator(&self, idx: usize) -> HttpCaller {
        HttpCaller::new(self.cluster.operators[idx], Some(&self.key))
    }

    /// Reads from the first instance that responds.
    pub fn read(&self, path: &str) -> Option<Value> {
        (0..self.cluster.operators.len()).find_map(|idx| {
            let response = self.operator(idx).call("GET", path, &[], "").ok()?;
            let body = serde_json::from_str(&response.body).ok()?;
            (response.status == 200).then_some(body)
        })
    }

    pub fn members(&self) -> Vec<Value> {
        let shown = self.read("/v1/members").unwrap_or_default();
        shown["members"].as_array().cloned().unwrap_or_default()
    }

    pub fn wait_voters(&self, count: usize) {
        wait_until("all instances are voters", || {
            let members = self.members();
            let voters = members
                .iter()
                .filter(|member| member["role"] != "learner" && member["connected"] == true);
            voters.count() == count && members.len() == count
        })
        .unwrap();
    }

    pub fn leader(&self) -> String {
        let mut name = String::new();
        wait_until("there is a leader", || {
            let members = self.members();
            let leader = members.iter().find(|member| member["role"] == "leader");
            name = leader
                .map_or("", |m| m["name"].as_str().unwrap_or(""))
                .to_owned();
            !name.is_empty()
        })
        .unwrap();
        name
    }

    /// Returns the indexes of all instances but one.
    pub fn others(&self, name: &str) -> Vec<usize> {
        let count = self.cluster.operators.len();
        let others = (0..count).filter(|idx| format!("control-{idx}") != name);
        others.collect()
    }

    pub fn member_id(&self, name: &str) -> String {
        let mut id = String::new();
        wait_until("the member is listed", || {
            let members = self.members();
            let member = members.iter().find(|member| member["name"] == name);
            id = member
                .map_or("", |m| m["id"].as_str().unwrap_or(""))
                .to_owned();
            !id.is_empty()
        })
        .unwrap();
        id
    }

    /// Waits until an instance is a voter with a new id and the old id is gone.
    pub fn wait_replaced(&self, name: &str, old: &str) {
        wait_until("the instance is replaced", || {
            let members = self.members();
            let voter = members.iter().any(|member| {
                member["name"] == name && member["id"] != old && member["role"] != "learner"
            });
            voter && members.iter().all(|member| member["id"] != old)
        })
        .unwrap();
    }

    /// Waits until instances have applied the same log index; returns their digests.
    pub fn wait_equal_digests(&self, indexes: &[usize]) -> Vec<String> {
        let mut digests = Vec::new();
        wait_until("the members have applied the same log index", || {
            let members = self.members();
            let wanted = members.iter().filter(|member| {
                let mut names = indexes.iter().map(|idx| format!("control-{idx}"));
                names.any(|name| member["name"] == name.as_str())
            });
            let wanted: Vec<&Value> = wanted.collect();
            let applied: BTreeSet<String> =
                wanted.iter().map(|m| m["applied"].to_string()).collect();
            digests = wanted.iter().map(|m| m["digest"].to_string()).collect();
            applied.len() == 1 && wanted.len() == indexes.len()
        })
        .unwrap();
        digests
    }

    /// Makes an edit at the first instance that accepts it.
    pub fn edit(&self, note: &str) -> u64 {
        let all: Vec<usize> = (0..self.cluster.operators.len()).collect();
        self.edit_at(&all, note)
    }

    pub fn edit_at(&self, indexes: &[usize], note: &str) -> u64 {
        let number = self.edits.fetch_add(1, Ordering::Relaxed);
        let body = edit_body(note, None, &format!("single-{number}"));
        let mut version = 0;
        wait_until("the edit is accepted", || {
            indexes.iter().any(|idx| {
                let response = self.operator(*idx).call("POST", "/v1/lists", &[], &body);
                let Some(response) = response.ok().filter(|response| response.status == 200) else {
                    return false;
                };
                let body: Value = serde_json::from_str(&response.body).unwrap_or_default();
                version = body["version"].as_u64().unwrap_or(0);
                version > 0
            })
        })
        .unwrap();
        version
    }

    /// Sends an edit with a given request id to each instance in turn; all responses
    /// must be equal.
    pub fn resend(&self, request_id: &str, note: &str) -> EditResponse {
        let body = edit_body(note, None, request_id);
        let responses = (0..self.cluster.operators.len()).map(|idx| {
            let caller = self.operator(idx);
            let response = caller.call("POST", "/v1/lists", &[], &body).unwrap();
            let shown: Value = serde_json::from_str(&response.body).unwrap();
            EditResponse {
                status: response.status,
                version: shown["version"].as_u64(),
                code: shown["error"]["code"].as_str().unwrap_or("").to_owned(),
            }
        });
        let mut responses: Vec<EditResponse> = responses.collect();
        responses.dedup();
        assert_eq!(responses.len(), 1, "{responses:?}");
        responses.remove(0)
    }

    /// Starts an operator that edits until `count` of its edits are accepted.
    pub fn spawn_edit_worker(&self, worker: u64, count: u64) -> EditWorker {
        let accepted = Arc::new(AtomicU64::new(0));
        let counter = accepted.clone();
        let addresses = self.cluster.operators.clone();
        let key = self.key.clone();
        let thread = std::thread::spawn(move || {
            let mut edits = Vec::new();
            for number in 0..count {
                edits.push(commit_edit(&addresses, &key, worker, number));
                counter.fetch_add(1, Ordering::Relaxed);
            }
            edits
        });
        EditWorker { accepted, thread }
    }

    /// Returns the versions of all accepted list edits.
    pub fn accepted_edits(&self) -> BTreeSet<u64> {
        let mut entries = Vec::new();
        let mut after = 0;
        wait_until("the audit trail is read to its end", || {
            let Some(page) = self.read(&format!("/v1/audit?after={after}")) else {
                return false;
            };
            entries.extend(page["entries"].as_array().cloned().unwrap_or_default());
            after = page["next"].as_u64().unwrap_or(after);
            page["next"].is_null()
        })
        .unwrap();
        let edits = entries
            .iter()
            .filter(|entry| entry["action"] == "edit lists");
        let versions = edits.filter_map(|entry| {
            let outcome = entry["outcome"].as_str()?;
            outcome.strip_prefix("accepted as version ")?.parse().ok()
        });
        versions.collect()
    }

    /// Sends reads to an instance from threads, each of which waits for its response.
    pub fn spawn_reads(&self, name: &str) -> JoinHandle<Vec<ReadResponse>> {
        let index = name
            .trim_start_matches("control-")
            .parse::<usize>()
            .unwrap();
        let calls: Vec<_> = (0..READ_CALLS)
            .map(|_| {
                let caller = self.operator(index);
                std::thread::spawn(move || {
                    let response = caller
                        .call("GET", "/v1/config", &[], "")
                        .unwrap_or_default();
                    let body: Value = serde_json::from_str(&response.body).unwrap_or_default();
                    ReadResponse {
                        status: response.status,
                        version: body["version"].as_u64().unwrap_or(0),
                    }
                })
            })
            .collect();
        std::thread::spawn(move || calls.into_iter().map(|call| call.join().unwrap()).collect())
    }
}

/// Edits until one edit is accepted; resends an edit while its outcome is unknown.
fn commit_edit(addresses: &[SocketAddr], key: &str, worker: u64, number: u64) -> AcceptedEdit {
    let mut index = usize::try_from(worker).unwrap_or(0);
    let mut tries = 0;
    let mut pending: Option<(u64, String)> = None;
    loop {
        let address = addresses[index % addresses.len()];
        let caller = HttpCaller::new(address, Some(key));
        let Some((base, body)) = pending.clone() else {
            let shown = caller
                .call("GET", "/v1/config", &[], "")
                .unwrap_or_default();
            let config: Value = serde_json::from_str(&shown.body).unwrap_or_default();
            if let Some(base) = config["list_version"]
                .as_u64()
                .filter(|_| shown.status == 200)
            {
                tries += 1;
                let id = format!("racer-{worker}-{number}-{tries}");
                let note = format!("{worker} {number}");
                pending = Some((base, edit_body(&note, Some(base), &id)));
            } else {
                index += 1;
                std::thread::sleep(RETRY_PAUSE);
            }
            continue;
        };
        let response = caller
            .call("POST", "/v1/lists", &[], &body)
            .unwrap_or_default();
        let shown: Value = serde_json::from_str(&response.body).unwrap_or_default();
        match response.status {
            200 => {
                let version = shown["version"].as_u64().unwrap_or(0);
                return AcceptedEdit { base, version };
            }
            409 => {
                assert_eq!(shown["error"]["code"], "conflict", "{}", response.body);
                assert_eq!(shown["error"]["winner"], "first", "{}", response.body);
                pending = None;
            }
            _ => {
                index += 1;
                std::thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

fn edit_body(note: &str, base: Option<u64>, request_id: &str) -> String {
    let edit = json!({
        "plans": format!("# {note}\n{PLANS}"),
        "grants": GRANTS,
        "base": base,
        "request_id": request_id,
    });
    edit.to_string()
}
