//! Placement by the leader: computes target orders from the observed state.
//!
//! Purpose: about once per second the leader passes its observations to the
//! planner of the policy package and sends the resulting orders, directly to
//! agents linked to it and through the other control instances to all others.
//!
//! Guarantees: only a leader that has applied an entry of its own term plans,
//! and not before the first lists exist, so that a new cluster unloads nothing.
//! Orders carry the term, so that agents ignore those of an earlier leader.
//! Nothing here is replicated, because a new leader learns it from the agents'
//! reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{
    DecisionKind, DecisionReason, DemandEstimator, DemandSettings, EndpointReport, EndpointTarget,
    ModelResidence, PacerSettings, PlacementDecision, PlacementEndpoint, PlacementInput,
    PlacementModel, PlacementOutput, PlacementPlanner, PlacementSettings, PlacementState,
    ResidencePhase, TargetEntry,
};
use mulberrywell_role::{LogLevel, MetricKind, RoleAction};
use mulberrywell_settings::ControlSettings;
use mulberrywell_wire::config::{EndpointState, ModelItem};
use mulberrywell_wire::endpoint::{
    DemandReport, ModelResidency, StateReport, TargetModel, TargetOrder,
};
use mulberrywell_wire::operate::OrderBatch;
use mulberrywell_wire::FrameBody;
use serde_json::{json, Value};

use crate::cluster_state::{ClusterState, EndpointRecord};
use crate::control_role::{send, Actions, ControlRole};
use crate::observed_state::ObservedState;
use crate::state_summary::text;

/// Interval of plans.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Endpoint states that are passed to the planner.
const PLACED_STATES: [(EndpointState, PlacementState); 3] = [
    (EndpointState::Live, PlacementState::Live),
    (EndpointState::Suspect, PlacementState::Suspect),
    (EndpointState::Leaving, PlacementState::Leaving),
];

/// Names of residency states in reports; any other state is treated as
/// unloading, so the model is not resident.
const PHASES: [(&[u8], ResidencePhase); 2] = [
    (b"resident", ResidencePhase::Resident),
    (b"loading", ResidencePhase::Loading),
];

/// Names of decisions in operator answers and log lines.
const KIND_NAMES: [(DecisionKind, &str); 4] = [
    (DecisionKind::Load, "load"),
    (DecisionKind::Unload, "unload"),
    (DecisionKind::Replace, "replace"),
    (DecisionKind::Defer, "defer"),
];

/// Names of reasons in operator answers and log lines.
const REASON_NAMES: [(DecisionReason, &str); 9] = [
    (DecisionReason::LastReplica, "no replica is left"),
    (DecisionReason::Spread, "too few replicas or zones"),
    (DecisionReason::Demand, "demand"),
    (DecisionReason::MakeRoom, "room for another model"),
    (DecisionReason::Version, "another version"),
    (DecisionReason::Retired, "no longer in the lists"),
    (DecisionReason::LoadTimeout, "the load did not end in time"),
    (DecisionReason::NoRoom, "no memory is free"),
    (DecisionReason::Paced, "the weight store's limits"),
];

/// A decision with the time at which it was made.
#[derive(Debug, Clone, PartialEq)]
struct DecisionRecord {
    decision: PlacementDecision,
    /// Milliseconds since the Unix epoch.
    at_ms: u64,
}

/// The leader's planner and its buffers.
#[derive(Debug)]
pub struct PlacementTask {
    planner: PlacementPlanner,
    demand: DemandEstimator,
    /// Reused between plans.
    input: PlacementInput,
    /// Result of the last plan.
    output: PlacementOutput,
    /// Most recent decision for each model.
    last_decisions: BTreeMap<Bytes, DecisionRecord>,
    next_plan: Instant,
}

impl PlacementTask {
    /// Creates a task without a plan.
    pub fn new(settings: &ControlSettings, now: Instant) -> Self {
        let placement = PlacementSettings {
            pacer: PacerSettings {
                store_loads_per_minute: settings.store_loads_per_minute,
                store_burst: settings.store_parallel,
                store_parallel: settings.store_parallel,
                adapter_parallel: settings.adapter_parallel,
            },
            ..PlacementSettings::default()
        };
        PlacementTask {
            planner: PlacementPlanner::new(placement, now),
            demand: DemandEstimator::new(DemandSettings::default(), now),
            input: PlacementInput::default(),
            output: PlacementOutput::default(),
            last_decisions: BTreeMap::new(),
            next_plan: now,
        }
    }

    /// Records an entry's demand.
    pub fn record_demand(&mut self, report: &DemandReport) {
        for model in &report.models {
            self.demand.add_tokens(&model.model, model.tokens);
        }
    }

    /// Makes a plan if it is due; the result contains its orders.
    fn plan(
        &mut self,
        now: Instant,
        term: u64,
        state: &ClusterState,
        observed: &ObservedState,
    ) -> Option<&PlacementOutput> {
        if now < self.next_plan {
            return None;
        }
        self.next_plan = now + PLAN_INTERVAL;
        self.input.term = term;
        self.input.models.clear();
        let models = state.models.values();
        self.input.models.extend(models.map(placement_model));
        self.input.endpoints.clear();
        let records = state.endpoints.values();
        // Engines in an evacuated zone hold nothing that callers reach and get no orders.
        for record in records.filter(|it| !state.evacuations.contains(&it.item.zone)) {
            let report = observed.endpoint(&record.item.name);
            let report = report.map(|observed| &observed.report);
            self.input
                .endpoints
                .extend(placement_endpoint(record, report));
        }
        self.demand.estimate(now, &mut self.input.demand);
        self.planner.plan(now, &self.input, &mut self.output);
        Some(&self.output)
    }

    /// Records the decisions of the last plan for operators; returns those that
    /// changed.
    fn record_decisions(&mut self, at_ms: u64) -> Vec<PlacementDecision> {
        let mut changed = Vec::new();
        for decision in &self.output.decisions {
            let known = self.last_decisions.get(&decision.model);
            if known.is_some_and(|record| record.decision == *decision) {
                continue;
            }
            let decision = decision.clone();
            changed.push(decision.clone());
            self.last_decisions
                .insert(decision.model.clone(), DecisionRecord { decision, at_ms });
        }
        changed
    }

    /// Adds the results of the last plan to a list of models.
    pub fn describe_models(&self, listing: &mut Value) {
        let items = listing["models"].as_array_mut();
        for item in items.into_iter().flatten() {
            let name = item["name"].as_str().unwrap_or_default();
            let model = Bytes::copy_from_slice(name.as_bytes());
            self.describe_model(&model, item);
        }
    }

    fn describe_model(&self, model: &Bytes, item: &mut Value) {
        let mut placements = self.output.models.iter();
        if let Some(placement) = placements.find(|placement| placement.model == *model) {
            item["resident"] = json!(placement.resident);
            item["pending"] = json!(placement.pending);
            item["demand_slots"] = json!((placement.demand_slots * 100.0).round() / 100.0);
        }
        if let Some(record) = self.last_decisions.get(model) {
            item["decision"] = json!(decision_text(&record.decision));
            item["decided_ms"] = json!(record.at_ms);
        }
    }
}

impl ControlRole {
    /// Makes a plan and sends its orders if they are due; does nothing on a
    /// follower.
    pub(crate) fn plan_placement(&mut self, now: Instant, actions: &mut Actions) {
        // Without lists every model would be treated as retired.
        let ready = self.applied_term == self.term && self.state.list_version > 0;
        if !self.is_leader() || !ready {
            return;
        }
        let planned = self
            .placement
            .plan(now, self.term, &self.state, &self.observed);
        let Some(output) = planned else {
            return;
        };
        let orders: Vec<TargetOrder> = output.orders.iter().map(target_order).collect();
        if !orders.is_empty() {
            let batch = OrderBatch { orders };
            for link in self.peers.member_links() {
                send(link, FrameBody::OrderBatch(batch.clone()), actions);
            }
            self.send_local_orders(batch, actions);
        }
        for decision in self.placement.record_decisions(self.clock_ms) {
            let line = format!(
                "placement of {}: {}",
                text(&decision.model),
                decision_text(&decision)
            );
            actions.push(RoleAction::Log(LogLevel::Info, line));
            if decision.kind != DecisionKind::Defer {
                let metric = "control.placement_moves";
                actions.push(RoleAction::Metric(MetricKind::Count, metric, 1));
            }
        }
    }
}

fn placement_model(item: &ModelItem) -> PlacementModel {
    PlacementModel {
        name: item.name.clone(),
        version: item.version.clone(),
        memory_mib: item.memory_mib,
        kv_mib: item.kv_mib,
        base: item.base.clone(),
        pool: item.pool.clone(),
    }
}

/// Converts an engine for the planner; returns `None` for any other endpoint
/// and for an engine in none of the [`PLACED_STATES`].
fn placement_endpoint(
    record: &EndpointRecord,
    report: Option<&StateReport>,
) -> Option<PlacementEndpoint> {
    let item = &record.item;
    let state = PLACED_STATES
        .iter()
        .find(|(known, _)| *known == item.state())
        .map(|(_, state)| *state)?;
    if !item.engine {
        return None;
    }
    let report = report.filter(|report| report.incarnation == item.incarnation);
    Some(PlacementEndpoint {
        name: item.name.clone(),
        pool: item.pool.clone(),
        zone: item.zone.clone(),
        incarnation: item.incarnation,
        capacity_mib: report.map_or(record.memory_mib, |report| report.capacity_mib),
        kv_reserve_mib: report.map_or(0, |report| report.kv_reserve_mib),
        slots: record.slots,
        state,
        report: report.map(endpoint_report),
    })
}

fn endpoint_report(report: &StateReport) -> EndpointReport {
    EndpointReport {
        residences: report.models.iter().map(model_residence).collect(),
        order_term: report.order_term,
        order_revision: report.order_revision,
        tokens_per_second: report.tokens_per_second,
    }
}

fn model_residence(item: &ModelResidency) -> ModelResidence {
    let phase = PHASES
        .iter()
        .find(|(name, _)| *name == item.state.as_ref())
        .map_or(ResidencePhase::Unloading, |(_, phase)| *phase);
    ModelResidence {
        model: item.model.clone(),
        version: item.version.clone(),
        phase,
    }
}

fn target_order(target: &EndpointTarget) -> TargetOrder {
    TargetOrder {
        term: target.term,
        revision: target.revision,
        endpoint: target.endpoint.clone(),
        incarnation: target.incarnation,
        models: target.models.iter().map(target_model).collect(),
        load_permits: target.load_permits,
        engine_role: Bytes::new(),
    }
}

fn target_model(entry: &TargetEntry) -> TargetModel {
    TargetModel {
        model: entry.model.clone(),
        version: entry.version.clone(),
        memory_mib: entry.memory_mib,
        base: entry.base.clone(),
        rank: entry.rank,
        kv_mib: entry.kv_mib,
    }
}

fn decision_text(decision: &PlacementDecision) -> String {
    let kind = KIND_NAMES.iter().find(|(kind, _)| *kind == decision.kind);
    let reason = REASON_NAMES
        .iter()
        .find(|(reason, _)| *reason == decision.reason);
    format!(
        "{} at {}: {}",
        kind.map_or("", |(_, name)| name),
        text(&decision.endpoint),
        reason.map_or("", |(_, name)| name)
    )
}
