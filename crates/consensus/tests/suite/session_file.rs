//! Scripted sessions of a cluster, as text files in `filetests/consensus`.
//!
//! Each line is a command; lines that begin with `=` are its expected output.
//! With `CONSENSUS_BLESS=1` the files are rewritten with the actual output.
//! Commands:
//!
//! | command | effect |
//! | --- | --- |
//! | `cluster SEED SLOTS` | starts members |
//! | `found` | bootstraps a cluster at slot 0 |
//! | `run MILLIS` | advances virtual time |
//! | `propose SLOT`, `read SLOT` | proposes a command, requests a read |
//! | `crash SLOT`, `start SLOT`, `replace SLOT` | crashes, starts, restarts on an empty disk |
//! | `isolate SLOT MILLIS` | disconnects a slot in both directions |
//! | `learner SLOT`, `promote SLOT`, `remove SLOT`, `transfer SLOT` | sends a request to the leader |
//! | `status` | prints the state of every slot |

use std::fmt::Write;
use std::fs;
use std::path::Path;

use bytes::Bytes;
use mulberrywell_consensus::{MemberId, MembershipChange, NodeConfig, NodeInput, NodeOutput};

use crate::support::fake_disk::FakeDisk;
use crate::support::virtual_cluster::{RecordedOutput, SlotId, VirtualCluster, MILLIS};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../filetests/consensus");

struct SessionRun {
    cluster: VirtualCluster,
    /// Ids of members in the order in which they were first started.
    ids: Vec<MemberId>,
}

impl SessionRun {
    fn new() -> Self {
        SessionRun {
            cluster: VirtualCluster::new(0, 0, &NodeConfig::default()),
            ids: Vec::new(),
        }
    }

    /// Executes a command; returns its output.
    fn execute(&mut self, line: &str) -> String {
        let mut words = line.split_whitespace();
        let command = words.next().unwrap_or_default();
        let numbers: Vec<u64> = words.map(|word| word.parse().expect("a number")).collect();
        let number = |position: usize| numbers.get(position).copied().unwrap_or(0);
        let slot = usize::try_from(number(0)).expect("a slot");
        self.cluster.recorded.clear();
        match command {
            "cluster" => {
                let slots = usize::try_from(number(1)).expect("a count");
                self.cluster = VirtualCluster::new(number(0), slots, &NodeConfig::default());
                self.ids = self.cluster.members.iter().map(|it| it.id).collect();
            }
            "found" => self.cluster.bootstrap(),
            "run" => self.cluster.run_for(number(0) * MILLIS),
            "propose" => drop(self.cluster.propose(slot)),
            "read" => drop(self.cluster.read(slot)),
            "crash" => self.cluster.crash(slot),
            "start" => self.cluster.start_member(slot),
            "replace" => self.replace(slot),
            "isolate" => {
                let until = self.cluster.now + number(1) * MILLIS;
                self.cluster.isolate(slot, until);
            }
            "status" => return self.status(),
            _ => self.request_change(command, slot),
        }
        self.format_outputs()
    }

    fn replace(&mut self, slot: SlotId) {
        self.cluster.crash(slot);
        self.cluster.members[slot].disk = FakeDisk::new();
        self.cluster.start_member(slot);
        self.ids.push(self.cluster.members[slot].id);
    }

    /// Sends a membership change or a transfer to the leader. `member` counts all
    /// members that ever started, including lost ones.
    fn request_change(&mut self, command: &str, member: usize) {
        let id = self.ids[member];
        let address = Bytes::from(member.to_string());
        let change = match command {
            "learner" => MembershipChange::AddLearner { id, address },
            "promote" => MembershipChange::Promote { id },
            "remove" => MembershipChange::Remove { id },
            "transfer" => {
                let leader = self.cluster.leader().expect("a leader");
                let to = Some(id);
                return self.cluster.input(leader, NodeInput::Transfer { to });
            }
            _ => panic!("unknown command: {command}"),
        };
        self.cluster.change_members(change);
    }

    fn name(&self, id: MemberId) -> String {
        let position = self.ids.iter().position(|it| *it == id);
        position.map_or("-".to_owned(), |position| position.to_string())
    }

    /// Formats the outputs that report a result.
    fn format_outputs(&self) -> String {
        let mut text = String::new();
        for RecordedOutput { slot, output } in &self.cluster.recorded {
            let line = match output {
                NodeOutput::RoleChanged { role, term, leader } => {
                    let leader = leader.map_or("-".to_owned(), |id| self.name(id));
                    format!("{role:?} in term {term}, leader {leader}")
                }
                NodeOutput::Apply { entry, proposal } if proposal.is_some() => {
                    format!("accepted at {}", entry.index)
                }
                NodeOutput::Rejected { reason, .. } => format!("rejected: {reason}"),
                NodeOutput::OutcomeUnknown { .. } => "outcome unknown".to_owned(),
                NodeOutput::ReadConfirmed { index, .. } => format!("read at {index}"),
                NodeOutput::ReadFailed { .. } => "read failed".to_owned(),
                NodeOutput::TransferFailed => "transfer failed".to_owned(),
                _ => continue,
            };
            writeln!(text, "= {slot}: {line}").expect("a string grows");
        }
        text
    }

    fn status(&self) -> String {
        let mut text = String::new();
        for (slot, member) in self.cluster.members.iter().enumerate() {
            let Some(run) = &member.run else {
                writeln!(text, "= {slot}: down").expect("a string grows");
                continue;
            };
            let node = &run.node;
            let mut voters: Vec<String> =
                node.membership().voters().map(|id| self.name(id)).collect();
            voters.sort_unstable();
            writeln!(
                text,
                "= {slot}: member {} {:?} term {} last {} commit {} voters [{}]",
                self.name(member.id),
                node.role(),
                node.term(),
                node.last_index(),
                node.commit_index(),
                voters.join(" "),
            )
            .expect("a string grows");
        }
        text
    }
}

/// Runs the commands of a file; returns the file with their actual output.
fn run_session(text: &str) -> String {
    let mut run = SessionRun::new();
    let mut result = String::new();
    for line in text.lines().filter(|line| !line.starts_with('=')) {
        writeln!(result, "{line}").expect("a string grows");
        if !line.is_empty() && !line.starts_with('#') {
            result.push_str(&run.execute(line));
        }
    }
    result
}

#[test]
fn session_files() {
    let mut count = 0;
    for file in fs::read_dir(Path::new(FOLDER)).expect("the folder of sessions") {
        let path = file.expect("a file").path();
        let text = fs::read_to_string(&path).expect("a readable file");
        let result = run_session(&text);
        if std::env::var_os("CONSENSUS_BLESS").is_some() {
            fs::write(&path, &result).expect("a writable file");
        } else {
            assert_eq!(result, text, "{}", path.display());
        }
        count += 1;
    }
    assert!(count > 0, "no session was found");
}
