//! The replicated state and the commands that change it.
//!
//! Guarantees: `apply` depends only on the state and the command, so all
//! members reach the same state. A refused command changes nothing except the
//! applied index, the clock and the claims and streams that expire by it, the audit trail
//! and the recorded outcomes. The version rises with each change visible to
//! subscribers and never falls.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use mulberrywell_serving::{OriginTable, ServiceVersion};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{
    EditLists, FoundCluster, GiveOperator, LogCommand, MemberItem, WishMember, WithdrawOperator,
};
use mulberrywell_wire::config::{
    AccountItem, EndpointItem, GrantItem, ItemKind, KeyItem, ModelItem, PlanItem, ServiceItem,
};
use mulberrywell_wire::serving::{PutServing, PutSoftware, PutStreams, SetEvacuation};

use crate::audit_trail::{AuditEntry, AuditTrail};
use crate::change_history::{replace_items, ChangeHistory, ItemRef};
use crate::claim_table::ClaimTable;
use crate::command_outcome::{CommandOutcome, EditConflict};
use crate::dedup_table::DedupTable;
use crate::ended_endpoints::EndedEndpoints;
use crate::endpoint_chart::EndpointChart;
use crate::evacuation_table::EvacuationTable;
use crate::state_summary::{action_name, is_audited, text};

/// Time in milliseconds for which origins of streams are kept beyond their lifetime,
/// as the clock of the commands may be set forward.
const STREAM_CLOCK_MARGIN_MS: u64 = 10_000;

/// An endpoint with the attributes that only control instances need.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EndpointRecord {
    /// The item as distributed to subscribers.
    pub item: EndpointItem,
    /// Accelerator memory in MiB.
    pub memory_mib: u64,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// The state replicated to all control instances.
#[derive(Debug, Clone)]
pub struct ClusterState {
    /// Identity of the cluster; 0 before its founding command is applied.
    pub cluster: u64,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Rises with each change visible to subscribers.
    pub version: u64,
    /// Version of the lists, which edits name as their base.
    pub list_version: u64,
    /// Operator that created `list_version`.
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
    /// By digest; labels are unique.
    pub keys: BTreeMap<Bytes, KeyItem>,
    /// Digests of operator keys, by operator name.
    pub operators: BTreeMap<Bytes, Bytes>,
    /// By name.
    pub endpoints: BTreeMap<Bytes, EndpointRecord>,
    /// The last fencing token assigned; rises with each new incarnation of an
    /// endpoint.
    pub fencing: u64,
    /// Control instances by identity.
    pub members: BTreeMap<u64, MemberItem>,
    /// Whether operators want an instance to be a member, by instance name.
    pub wishes: BTreeMap<Bytes, bool>,
    /// Serving configuration in force; its version never falls.
    pub serving: Option<PutServing>,
    /// Origins of streams that callers may take up, in services with several software
    /// versions; they expire by `clock_ms`.
    pub streams: OriginTable<u64>,
    /// Software versions of each service that may have begun such streams.
    pub software: BTreeMap<Bytes, BTreeSet<Bytes>>,
    /// Evacuations of availability zones.
    pub evacuations: EvacuationTable,
    /// Endpoints that drain or have gone.
    pub ended: EndedEndpoints,
    /// Claims of idempotency keys.
    pub claims: ClaimTable,
    /// The audit trail.
    pub audit: AuditTrail,
    /// Outcomes of operator requests, for deduplication.
    pub requests: DedupTable,
    /// Highest timestamp of any applied command, in milliseconds since the Unix
    /// epoch.
    pub clock_ms: u64,
    /// Recent changes; not part of the replicated state.
    pub history: ChangeHistory,
    pub(crate) chart: EndpointChart,
    /// Items changed by the command being applied.
    pub(crate) changed: Vec<ItemRef>,
}

impl ClusterState {
    /// Creates the state before any log entry is applied.
    pub fn new(chart: EndpointChart) -> Self {
        ClusterState {
            cluster: 0,
            applied: 0,
            version: 0,
            list_version: 0,
            list_author: Bytes::new(),
            plan_text: Bytes::new(),
            grant_text: Bytes::new(),
            plans: BTreeMap::new(),
            accounts: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            grants: BTreeMap::new(),
            keys: BTreeMap::new(),
            operators: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            fencing: 0,
            members: BTreeMap::new(),
            wishes: BTreeMap::new(),
            serving: None,
            streams: OriginTable::default(),
            software: BTreeMap::new(),
            evacuations: EvacuationTable::default(),
            ended: EndedEndpoints::default(),
            claims: ClaimTable::default(),
            audit: AuditTrail::default(),
            requests: DedupTable::default(),
            clock_ms: 0,
            history: ChangeHistory::default(),
            chart,
            changed: Vec::new(),
        }
    }

    /// Returns the version of the serving configuration; 0 if there is none.
    pub fn serving_version(&self) -> u64 {
        let config = self.serving.as_ref().and_then(|put| put.config.as_ref());
        config.map_or(0, |config| config.version)
    }

    /// Returns the key with a label.
    pub fn key_of_label(&self, label: &Bytes) -> Option<&KeyItem> {
        self.keys.values().find(|key| key.label == *label)
    }

    /// Applies the command at a log index.
    pub fn apply(&mut self, index: u64, command: &LogCommand) -> CommandOutcome {
        debug_assert!(index > self.applied);
        self.applied = index;
        self.clock_ms = self.clock_ms.max(command.at_ms);
        self.streams.remove_expired(self.clock_ms);
        if let Some(earlier) = self.requests.find(command) {
            return earlier;
        }
        let before = self.summary(command);
        let outcome = match self.execute(command) {
            Ok(version) => CommandOutcome::Accepted { version },
            Err(conflict) => CommandOutcome::Refused(conflict),
        };
        self.changed.clear();
        if is_audited(command) {
            self.record_audit(command, before, &outcome);
        }
        self.requests.record(command, &outcome);
        outcome
    }

    /// Executes a command; returns the version in which its change is in force.
    fn execute(&mut self, command: &LogCommand) -> Result<u64, EditConflict> {
        let Some(body) = &command.body else {
            return Err(EditConflict::NotFound);
        };
        match body {
            Body::FoundCluster(found) => self.found_cluster(found),
            Body::EditLists(edit) => self.edit_lists(command, edit),
            Body::GiveKey(give) => self.give_key(give.key.clone().unwrap_or_default()),
            Body::WithdrawKey(withdraw) => self.withdraw_key(&withdraw.label),
            Body::GiveOperator(give) => self.give_operator(give),
            Body::WithdrawOperator(withdraw) => self.withdraw_operator(withdraw),
            Body::PutEndpoint(put) => self.put_endpoint(put),
            Body::SetEndpointState(set) => self.signal_endpoint(set),
            // The committed entry itself records that the block was granted.
            Body::GrantBlock(_) => Ok(self.version),
            Body::PutClaim(put) => {
                self.claims.acquire(put, self.applied, self.clock_ms)?;
                Ok(self.version)
            }
            Body::PutOutcome(put) => {
                self.claims.record_outcome(put)?;
                Ok(self.version)
            }
            Body::PutMember(put) => {
                let member = put.member.clone().unwrap_or_default();
                self.members.insert(member.id, member);
                Ok(self.version)
            }
            Body::DropMember(drop) => {
                let known = self.members.remove(&drop.id);
                known.map(|_| self.version).ok_or(EditConflict::NotFound)
            }
            Body::WishMember(wish) => self.wish_member(wish),
            Body::PutServing(put) => Ok(self.put_serving(put)),
            Body::PutStreams(put) => Ok(self.put_streams(put)),
            Body::PutSoftware(put) => Ok(self.put_software(put)),
            Body::SetEvacuation(set) => self.set_evacuation(set),
            Body::EndEndpoint(ended) => {
                self.ended.apply(ended);
                Ok(self.version)
            }
        }
    }

    /// Increments the version and records the changed items under it.
    pub(crate) fn advance_version(&mut self) -> u64 {
        self.version += 1;
        let items = std::mem::take(&mut self.changed);
        self.history.push(self.version, items);
        self.version
    }

    pub(crate) fn record_change(&mut self, kind: ItemKind, name: &Bytes) {
        self.changed.push(ItemRef {
            kind,
            name: name.clone(),
        });
    }

    fn found_cluster(&mut self, found: &FoundCluster) -> Result<u64, EditConflict> {
        if self.cluster != 0 {
            return Err(EditConflict::Exists);
        }
        self.cluster = found.cluster;
        if let Some(operator) = &found.operator {
            self.operators
                .insert(operator.name.clone(), operator.digest.clone());
        }
        Ok(self.advance_version())
    }

    fn edit_lists(&mut self, command: &LogCommand, edit: &EditLists) -> Result<u64, EditConflict> {
        if edit.base.is_some_and(|base| base != self.list_version) {
            return Err(EditConflict::BaseMismatch {
                version: self.list_version,
                winner: self.list_author.clone(),
            });
        }
        let changes = &mut self.changed;
        let plans = by_name(&edit.plans, |item| &item.name);
        replace_items(ItemKind::Plan, &mut self.plans, plans, changes);
        let accounts = by_name(&edit.accounts, |item| &item.name);
        replace_items(ItemKind::Account, &mut self.accounts, accounts, changes);
        let models = by_name(&edit.models, |item| &item.name);
        replace_items(ItemKind::Model, &mut self.models, models, changes);
        let services = by_name(&edit.services, |item| &item.name);
        replace_items(ItemKind::Service, &mut self.services, services, changes);
        let grants = by_name(&edit.grants, |item| &item.plan);
        replace_items(ItemKind::Grant, &mut self.grants, grants, changes);
        self.plan_text = edit.plan_text.clone();
        self.grant_text = edit.grant_text.clone();
        self.list_author = command.actor.clone();
        self.list_version = self.advance_version();
        Ok(self.list_version)
    }

    fn give_key(&mut self, key: KeyItem) -> Result<u64, EditConflict> {
        if !self.accounts.contains_key(&key.account) {
            return Err(EditConflict::NotFound);
        }
        if self.keys.contains_key(&key.digest) || self.key_of_label(&key.label).is_some() {
            return Err(EditConflict::Exists);
        }
        self.record_change(ItemKind::Key, &key.digest);
        self.keys.insert(key.digest.clone(), key);
        Ok(self.advance_version())
    }

    fn withdraw_key(&mut self, label: &Bytes) -> Result<u64, EditConflict> {
        let key = self.key_of_label(label).ok_or(EditConflict::NotFound)?;
        let digest = key.digest.clone();
        self.record_change(ItemKind::Key, &digest);
        self.keys.remove(&digest);
        Ok(self.advance_version())
    }

    fn give_operator(&mut self, give: &GiveOperator) -> Result<u64, EditConflict> {
        if self.operators.contains_key(&give.name) {
            return Err(EditConflict::Exists);
        }
        self.operators
            .insert(give.name.clone(), give.digest.clone());
        Ok(self.advance_version())
    }

    /// Removes an operator's key; the last remaining one can't be removed.
    fn withdraw_operator(&mut self, withdraw: &WithdrawOperator) -> Result<u64, EditConflict> {
        if self.operators.len() < 2 || self.operators.remove(&withdraw.name).is_none() {
            return Err(EditConflict::NotFound);
        }
        Ok(self.advance_version())
    }

    fn wish_member(&mut self, wish: &WishMember) -> Result<u64, EditConflict> {
        let known = |name: &Bytes| self.members.values().any(|member| member.name == *name);
        if !wish.remove.is_empty() && !known(&wish.remove) {
            return Err(EditConflict::NotFound);
        }
        if !wish.remove.is_empty() {
            self.wishes.insert(wish.remove.clone(), false);
        }
        if !wish.add.is_empty() {
            self.wishes.insert(wish.add.clone(), true);
        }
        Ok(self.version)
    }

    /// Puts a serving configuration in force; ignores one whose version is not
    /// higher than the current one.
    fn put_serving(&mut self, put: &PutServing) -> u64 {
        let version = put.config.as_ref().map_or(0, |config| config.version);
        if version > self.serving_version() {
            self.serving = Some(put.clone());
        }
        self.version
    }

    fn put_streams(&mut self, put: &PutStreams) -> u64 {
        for item in &put.origins {
            let origin = ServiceVersion {
                service: item.service.clone(),
                software: item.software.clone(),
            };
            let kept_ms = item.lifetime_ms.saturating_add(STREAM_CLOCK_MARGIN_MS);
            let expires_ms = self.clock_ms.saturating_add(kept_ms);
            self.streams.insert(item.stream, &origin, expires_ms);
        }
        self.version
    }

    fn put_software(&mut self, put: &PutSoftware) -> u64 {
        let versions = put.versions.iter().cloned().collect();
        self.software.insert(put.service.clone(), versions);
        self.version
    }

    /// Starts or ends an evacuation; subscribers are told of the zone's endpoints anew.
    fn set_evacuation(&mut self, set: &SetEvacuation) -> Result<u64, EditConflict> {
        let evacuations = &mut self.evacuations;
        if !evacuations.apply_change(self.applied, self.clock_ms, set)? {
            return Ok(self.version);
        }
        let records = self.endpoints.values();
        let affected = records.filter(|record| record.item.zone == set.zone);
        let names: Vec<Bytes> = affected.map(|record| record.item.name.clone()).collect();
        if names.is_empty() {
            return Ok(self.version);
        }
        for name in &names {
            self.record_change(ItemKind::Endpoint, name);
        }
        Ok(self.advance_version())
    }

    fn record_audit(&mut self, command: &LogCommand, before: String, outcome: &CommandOutcome) {
        let accepted = matches!(outcome, CommandOutcome::Accepted { .. });
        let after = if accepted {
            self.summary(command)
        } else {
            String::new()
        };
        self.audit.push(AuditEntry {
            index: self.applied,
            at_ms: command.at_ms,
            actor: text(&command.actor),
            action: action_name(command).to_owned(),
            before,
            after,
            outcome: outcome.describe(),
        });
    }
}

fn by_name<T: Clone>(items: &[T], name: impl Fn(&T) -> &Bytes) -> BTreeMap<Bytes, T> {
    items
        .iter()
        .map(|item| (name(item).clone(), item.clone()))
        .collect()
}
