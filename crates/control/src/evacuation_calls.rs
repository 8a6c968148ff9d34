//! Calls that start or end the evacuation of an availability zone.
//!
//! Guarantees: a call is acknowledged once its zone is known to be in the requested state
//! by a committed entry. A zone without endpoints may be evacuated, as it may get some
//! later, and so may the last zone with endpoints: the calls that this leaves unserved are
//! refused.

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::{LogLevel, MetricKind, RoleAction};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::LogCommand;
use mulberrywell_wire::serving::{EndpointPhase, SetEvacuation};
use serde_json::{json, Value};

use crate::command_outcome::CommandOutcome;
use crate::control_role::{Actions, ControlRole};
use crate::operator_api::OperatorAnswer;
use crate::proposal_table::{CallOrigin, ProposalWaiter};
use crate::serving_calls::accept_call;
use crate::state_summary::text;

/// Metric of the zones that are evacuated.
const EVACUATED_ZONES: &str = "control.evacuated_zones";

impl ControlRole {
    /// Returns the change that a call which reaches this instance now asks for.
    pub(crate) fn evacuation_change(&self, zone: Bytes, is_start: bool) -> SetEvacuation {
        SetEvacuation {
            zone,
            evacuated: is_start,
            base: self.state.applied,
        }
    }

    /// Executes a call as the leader, after a quorum has confirmed its leadership.
    pub(crate) fn execute_evacuation(
        &mut self,
        origin: CallOrigin,
        set: SetEvacuation,
        actions: &mut Actions,
    ) {
        let is_same = self.state.evacuations.contains(&set.zone) == set.evacuated;
        let line = format!(
            "evacuation zone={} start={} base={} outcome={}",
            text(&set.zone),
            set.evacuated,
            set.base,
            if is_same { "kept" } else { "proposed" },
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        if is_same {
            accept_call(origin, actions);
        } else {
            self.propose(Body::SetEvacuation(set), ProposalWaiter::Serving(origin));
        }
    }

    /// Handles an applied command on every instance; returns whether it changed an
    /// evacuation.
    pub(crate) fn record_evacuation(
        &mut self,
        now: Instant,
        command: &LogCommand,
        outcome: &CommandOutcome,
        actions: &mut Actions,
    ) -> bool {
        let Some(Body::SetEvacuation(set)) = &command.body else {
            return false;
        };
        let record = self.state.evacuations.get(&set.zone);
        let is_change = record.is_some_and(|record| record.index == self.state.applied);
        let line = format!(
            "evacuation zone={} start={} index={} endpoints={} elsewhere={} outcome={}",
            text(&set.zone),
            set.evacuated,
            self.state.applied,
            self.ready_endpoints(|zone| *zone == set.zone),
            self.ready_endpoints(|zone| !self.state.evacuations.contains(zone)),
            match outcome {
                CommandOutcome::Accepted { .. } if is_change => "in_force",
                CommandOutcome::Accepted { .. } => "kept",
                CommandOutcome::Refused(_) => "refused",
            },
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        if is_change {
            let records = self.state.evacuations.records();
            let evacuated = records.filter(|record| record.ended_ms.is_none()).count();
            let gauge = RoleAction::Metric(MetricKind::Gauge, EVACUATED_ZONES, evacuated as u64);
            actions.push(gauge);
            self.orders.plan_soon(now);
        }
        is_change
    }

    /// Lists the evacuations and the endpoints in their zones.
    pub(crate) fn show_evacuations(&self) -> OperatorAnswer {
        let records = self.state.evacuations.records().map(|record| {
            let present = self.serving.endpoints.present();
            let endpoints = present.filter(|status| status.zone == record.zone);
            let endpoints = endpoints.map(|status| {
                json!({
                    "name": text(&status.id),
                    "service": text(&status.service),
                    "running": self.loads.running(&status.id),
                })
            });
            let agents = self.state.endpoints.values();
            let agents = agents.filter(|agent| agent.item.zone == record.zone);
            let agents = agents.map(|agent| json!({ "name": text(&agent.item.name) }));
            json!({
                "zone": text(&record.zone),
                "state": if record.ended_ms.is_none() { "evacuated" } else { "ended" },
                "since_ms": record.since_ms,
                "ended_ms": record.ended_ms,
                "endpoints": endpoints.chain(agents).collect::<Vec<Value>>(),
            })
        });
        let body = json!({
            "evacuations": records.collect::<Vec<Value>>(),
            "ready_elsewhere": self.ready_endpoints(|zone| !self.state.evacuations.contains(zone)),
        });
        OperatorAnswer { status: 200, body }
    }

    /// Returns the number of ready endpoints whose zone matches.
    fn ready_endpoints(&self, matches: impl Fn(&Bytes) -> bool) -> usize {
        let present = self.serving.endpoints.present();
        let ready = present.filter(|status| status.phase() == EndpointPhase::Ready);
        ready.filter(|status| matches(&status.zone)).count()
    }
}
