//! The replicated state and the commands that change it.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{EditLists, LogCommand, PutEndpoint, SetEndpointState};
use mulberrywell_wire::config::{
    AccountItem, EndpointItem, EndpointState, GrantItem, KeyItem, ModelItem, PlanItem, ServiceItem,
};
use prost::Message;

use crate::audit_trail::{AuditEntry, AuditTrail};

/// Outcomes that are remembered for operators' resends.
const OUTCOMES_MAX: usize = 10_000;

/// Why an edit was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditConflict {
    /// Another edit came first; it made this version.
    BaseMismatch {
        /// Version in force.
        version: u64,
        /// Operator that made it.
        winner: Bytes,
    },
    /// The request id was used for another command.
    RequestReused,
    /// The named thing does not exist.
    NotFound,
    /// The name is taken.
    Exists,
    /// A later incarnation is registered.
    OldIncarnation {
        /// The registered one.
        incarnation: u64,
    },
}

/// What a command did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The change is in force from this version on.
    Accepted {
        /// Version of the configuration.
        version: u64,
    },
    /// Nothing changed.
    Refused(EditConflict),
}

/// A remembered outcome of an operator's request.
#[derive(Debug, Clone, PartialEq)]
struct RequestOutcome {
    body: Bytes,
    outcome: CommandOutcome,
}

/// An endpoint with what only control needs of it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EndpointRecord {
    /// As distributed.
    pub item: EndpointItem,
    /// Accelerator memory in MiB.
    pub memory_mib: u64,
    /// Requests at the same time.
    pub slots: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// The state that all control instances agree on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClusterState {
    /// Identity of the cluster; 0 before its first command.
    pub cluster: u64,
    /// Last applied place in the log.
    pub applied: u64,
    /// Rises with each change that readers see.
    pub version: u64,
    /// Version of the lists; the base of edits.
    pub list_version: u64,
    /// Operator that made `list_version`.
    pub list_author: Bytes,
    /// Text of the plan list.
    pub plan_text: Bytes,
    /// Text of the grant list.
    pub grant_text: Bytes,
    /// By name.
    pub plans: BTreeMap<Bytes, PlanItem>,
    /// By name.
    pub accounts: BTreeMap<Bytes, AccountItem>,
    /// By name.
    pub models: BTreeMap<Bytes, ModelItem>,
    /// By name.
    pub services: BTreeMap<Bytes, ServiceItem>,
    /// By plan.
    pub grants: BTreeMap<Bytes, GrantItem>,
    /// By label; digests are unique.
    pub keys: BTreeMap<Bytes, KeyItem>,
    /// Digests of operators' keys by name.
    pub operators: BTreeMap<Bytes, Bytes>,
    /// By name.
    pub endpoints: BTreeMap<Bytes, EndpointRecord>,
    /// Rises with each new incarnation of an endpoint.
    pub fencing: u64,
    /// The audit trail.
    pub audit: AuditTrail,
    outcomes: BTreeMap<(Bytes, Bytes), RequestOutcome>,
    /// Keys of `outcomes`, oldest first.
    outcome_order: VecDeque<(Bytes, Bytes)>,
}

impl ClusterState {
    /// Applies the command at a place in the log.
    pub fn apply(&mut self, index: u64, command: &LogCommand) -> CommandOutcome {
        debug_assert!(index > self.applied);
        self.applied = index;
        let request = (command.actor.clone(), command.request_id.clone());
        if let Some(earlier) = self.earlier_outcome(&request, command) {
            return earlier;
        }
        let before = self.summary(command);
        let outcome = self.change(command);
        self.note_audit(index, command, before, &outcome);
        if !command.request_id.is_empty() {
            self.remember(request, command, &outcome);
        }
        outcome
    }

    fn earlier_outcome(
        &self,
        request: &(Bytes, Bytes),
        command: &LogCommand,
    ) -> Option<CommandOutcome> {
        if command.request_id.is_empty() {
            return None;
        }
        let earlier = self.outcomes.get(request)?;
        if earlier.body == body_bytes(command) {
            return Some(earlier.outcome.clone());
        }
        Some(CommandOutcome::Refused(EditConflict::RequestReused))
    }

    fn change(&mut self, command: &LogCommand) -> CommandOutcome {
        let Some(body) = &command.body else {
            return CommandOutcome::Refused(EditConflict::NotFound);
        };
        match body {
            Body::FoundCluster(found) => {
                if self.cluster != 0 {
                    return CommandOutcome::Refused(EditConflict::Exists);
                }
                self.cluster = found.cluster;
                self.accept()
            }
            Body::EditLists(edit) => self.edit_lists(command, edit),
            Body::GiveKey(give) => self.give_key(give.key.clone().unwrap_or_default()),
            Body::WithdrawKey(withdraw) => match self.keys.remove(&withdraw.label) {
                Some(_) => self.accept(),
                None => CommandOutcome::Refused(EditConflict::NotFound),
            },
            Body::GiveOperator(give) => {
                if self.operators.contains_key(&give.name) {
                    return CommandOutcome::Refused(EditConflict::Exists);
                }
                self.operators
                    .insert(give.name.clone(), give.digest.clone());
                self.accept()
            }
            Body::WithdrawOperator(withdraw) => {
                if self.operators.len() < 2 || self.operators.remove(&withdraw.name).is_none() {
                    return CommandOutcome::Refused(EditConflict::NotFound);
                }
                self.accept()
            }
            Body::PutEndpoint(put) => self.put_endpoint(put),
            Body::SetEndpointState(set) => self.set_endpoint_state(set),
            Body::GrantBlock(_) | Body::PutClaim(_) | Body::PutOutcome(_) => {
                CommandOutcome::Refused(EditConflict::NotFound)
            }
        }
    }

    fn accept(&mut self) -> CommandOutcome {
        self.version += 1;
        CommandOutcome::Accepted {
            version: self.version,
        }
    }

    fn edit_lists(&mut self, command: &LogCommand, edit: &EditLists) -> CommandOutcome {
        if edit.base != self.list_version {
            return CommandOutcome::Refused(EditConflict::BaseMismatch {
                version: self.list_version,
                winner: self.list_author.clone(),
            });
        }
        self.plans = by_name(&edit.plans, |item| &item.name);
        self.accounts = by_name(&edit.accounts, |item| &item.name);
        self.models = by_name(&edit.models, |item| &item.name);
        self.services = by_name(&edit.services, |item| &item.name);
        self.grants = by_name(&edit.grants, |item| &item.plan);
        self.plan_text = edit.plan_text.clone();
        self.grant_text = edit.grant_text.clone();
        self.list_author = command.actor.clone();
        let outcome = self.accept();
        self.list_version = self.version;
        outcome
    }

    fn give_key(&mut self, key: KeyItem) -> CommandOutcome {
        if !self.accounts.contains_key(&key.account) {
            return CommandOutcome::Refused(EditConflict::NotFound);
        }
        let taken = self.keys.values().any(|item| item.digest == key.digest);
        if taken || self.keys.contains_key(&key.label) {
            return CommandOutcome::Refused(EditConflict::Exists);
        }
        self.keys.insert(key.label.clone(), key);
        self.accept()
    }

    fn put_endpoint(&mut self, put: &PutEndpoint) -> CommandOutcome {
        let Some(item) = &put.endpoint else {
            return CommandOutcome::Refused(EditConflict::NotFound);
        };
        let known = self.endpoints.get(&item.name);
        if let Some(known) = known.filter(|known| known.item.incarnation > item.incarnation) {
            return CommandOutcome::Refused(EditConflict::OldIncarnation {
                incarnation: known.item.incarnation,
            });
        }
        let same = known.filter(|known| known.item.incarnation == item.incarnation);
        let fencing = match same {
            Some(known) => known.item.fencing,
            None => self.fencing + 1,
        };
        self.fencing = self.fencing.max(fencing);
        let record = EndpointRecord {
            item: EndpointItem {
                fencing,
                ..item.clone()
            },
            memory_mib: put.memory_mib,
            slots: put.slots,
            accelerators: put.accelerators,
        };
        self.endpoints.insert(item.name.clone(), record);
        self.accept()
    }

    fn set_endpoint_state(&mut self, set: &SetEndpointState) -> CommandOutcome {
        let Some(record) = self.endpoints.get_mut(&set.name) else {
            return CommandOutcome::Refused(EditConflict::NotFound);
        };
        if record.item.incarnation != set.incarnation {
            return CommandOutcome::Refused(EditConflict::OldIncarnation {
                incarnation: record.item.incarnation,
            });
        }
        if set.state() == EndpointState::Gone {
            self.endpoints.remove(&set.name);
        } else {
            record.item.state = set.state;
        }
        self.accept()
    }

    fn note_audit(
        &mut self,
        index: u64,
        command: &LogCommand,
        before: String,
        outcome: &CommandOutcome,
    ) {
        let accepted = matches!(outcome, CommandOutcome::Accepted { .. });
        let after = if accepted {
            self.summary(command)
        } else {
            String::new()
        };
        self.audit.push(AuditEntry {
            index,
            at_ms: command.at_ms,
            actor: text(&command.actor),
            action: action_name(command).to_owned(),
            before,
            after,
            outcome: outcome_text(outcome),
        });
    }

    /// Describes what a command touches, as it stands now.
    fn summary(&self, command: &LogCommand) -> String {
        match &command.body {
            Some(Body::EditLists(_)) => format!(
                "version {}: {} plans, {} accounts, {} models, {} services",
                self.list_version,
                self.plans.len(),
                self.accounts.len(),
                self.models.len(),
                self.services.len()
            ),
            Some(Body::GiveKey(give)) => {
                let label = give.key.as_ref().map(|key| key.label.clone());
                self.key_summary(&label.unwrap_or_default())
            }
            Some(Body::WithdrawKey(withdraw)) => self.key_summary(&withdraw.label),
            Some(Body::PutEndpoint(put)) => {
                let name = put.endpoint.as_ref().map(|item| item.name.clone());
                self.endpoint_summary(&name.unwrap_or_default())
            }
            Some(Body::SetEndpointState(set)) => self.endpoint_summary(&set.name),
            _ => String::new(),
        }
    }

    fn key_summary(&self, label: &Bytes) -> String {
        self.keys.get(label).map_or_else(String::new, |key| {
            format!("key {} of {}", text(label), text(&key.account))
        })
    }

    fn endpoint_summary(&self, name: &Bytes) -> String {
        self.endpoints.get(name).map_or_else(String::new, |record| {
            format!(
                "{} {} incarnation {}",
                text(name),
                record.item.state().as_str_name(),
                record.item.incarnation
            )
        })
    }

    fn remember(
        &mut self,
        request: (Bytes, Bytes),
        command: &LogCommand,
        outcome: &CommandOutcome,
    ) {
        let remembered = RequestOutcome {
            body: body_bytes(command),
            outcome: outcome.clone(),
        };
        self.outcomes.insert(request.clone(), remembered);
        self.outcome_order.push_back(request);
        if self.outcome_order.len() > OUTCOMES_MAX {
            if let Some(oldest) = self.outcome_order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }
}

/// Encodes what a command asks, without the proposer's clock.
fn body_bytes(command: &LogCommand) -> Bytes {
    let bare = LogCommand {
        at_ms: 0,
        ..command.clone()
    };
    Bytes::from(bare.encode_to_vec())
}

fn by_name<T: Clone>(items: &[T], name: impl Fn(&T) -> &Bytes) -> BTreeMap<Bytes, T> {
    items
        .iter()
        .map(|item| (name(item).clone(), item.clone()))
        .collect()
}

fn text(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}

fn action_name(command: &LogCommand) -> &'static str {
    match &command.body {
        Some(Body::FoundCluster(_)) => "found cluster",
        Some(Body::EditLists(_)) => "edit lists",
        Some(Body::GiveKey(_)) => "give key",
        Some(Body::WithdrawKey(_)) => "withdraw key",
        Some(Body::GiveOperator(_)) => "give operator",
        Some(Body::WithdrawOperator(_)) => "withdraw operator",
        Some(Body::PutEndpoint(_)) => "put endpoint",
        Some(Body::SetEndpointState(_)) => "set endpoint state",
        Some(Body::GrantBlock(_)) => "grant block",
        Some(Body::PutClaim(_)) => "put claim",
        Some(Body::PutOutcome(_)) => "put outcome",
        None => "nothing",
    }
}

fn outcome_text(outcome: &CommandOutcome) -> String {
    match outcome {
        CommandOutcome::Accepted { version } => format!("accepted as version {version}"),
        CommandOutcome::Refused(EditConflict::BaseMismatch { version, winner }) => {
            format!("refused: version {version} by {} came first", text(winner))
        }
        CommandOutcome::Refused(EditConflict::RequestReused) => {
            "refused: request id used before".to_owned()
        }
        CommandOutcome::Refused(EditConflict::NotFound) => "refused: not found".to_owned(),
        CommandOutcome::Refused(EditConflict::Exists) => "refused: exists".to_owned(),
        CommandOutcome::Refused(EditConflict::OldIncarnation { incarnation }) => {
            format!("refused: incarnation {incarnation} is registered")
        }
    }
}
