//! Builds the frames that the agent sends.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_chart::ChartSymbol;
use mulberrywell_role::{LinkCommand, LinkId, RoleAction};
use mulberrywell_settings::EndpointKind;
use mulberrywell_wire::config::{EndpointItem, EndpointState};
use mulberrywell_wire::endpoint::{Announce, ModelResidency, StateReport};
use mulberrywell_wire::request::{AttemptId, AttemptRefused, Ran, RefusalReason};
use mulberrywell_wire::FrameBody;

use crate::attempt_scheduler::{QueueRefusal, WaitingAttempt};
use crate::memory_ledger::MemoryLedger;
use crate::residency::ResidencyState;
use crate::{AgentAction, AgentConfig, EngineRequest, OrderReconciler};

/// A refusal of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptRefusal {
    pub reason: RefusalReason,
    pub ran: Ran,
    pub retry_after: Duration,
    /// The endpoint ended while it ran the attempt.
    pub crashed: bool,
}

impl AttemptRefusal {
    /// Creates the refusal of an attempt that was not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        AttemptRefusal {
            reason,
            ran: Ran::No,
            retry_after: Duration::ZERO,
            crashed: false,
        }
    }

    /// Builds the action that sends the refusal to the entry.
    pub fn to_action(self, link: LinkId, id: Option<AttemptId>) -> RoleAction<AgentAction> {
        let body = FrameBody::AttemptRefused(AttemptRefused {
            id,
            reason: self.reason.into(),
            ran: self.ran.into(),
            retry_after_ms: u64::try_from(self.retry_after.as_millis()).unwrap_or(u64::MAX),
            crashed: self.crashed,
        });
        RoleAction::Link(LinkCommand::Send { link, body })
    }
}

/// Returns the resident models by name.
pub(crate) fn resident_models(ledger: &MemoryLedger) -> Vec<Bytes> {
    let entries = ledger.entries();
    entries
        .filter(|(_, entry)| entry.state == ResidencyState::Resident)
        .map(|(model, _)| model.clone())
        .collect()
}

/// Builds the announcement of the endpoint.
pub(crate) fn announcement(config: &AgentConfig, resident: &[Bytes], leaving: bool) -> FrameBody {
    let settings = &config.settings;
    let state = if leaving {
        EndpointState::Leaving
    } else {
        EndpointState::Live
    };
    let endpoint = EndpointItem {
        name: settings.name.clone(),
        address: Bytes::from(config.advertise.to_string()),
        zone: config.zone.clone(),
        region: config.region.clone(),
        pool: settings.pool.clone(),
        engine: settings.kind == EndpointKind::Engine,
        incarnation: config.incarnation,
        fencing: 0,
        state: state.into(),
        resident: resident.to_vec(),
        software: settings.software.clone(),
    };
    FrameBody::Announce(Announce {
        endpoint: Some(endpoint),
        memory_mib: settings.memory_mib,
        fenced: settings.checks_fencing,
        slots: settings.slots,
        accelerators: settings.accelerators,
    })
}

/// Builds a state report.
pub(crate) fn state_report(
    config: &AgentConfig,
    orders: &OrderReconciler,
    engine_role: Bytes,
    tokens_per_second: u64,
    leaving: bool,
    sequence: u64,
) -> FrameBody {
    let ledger = orders.ledger();
    let models = ledger.entries().map(|(model, entry)| ModelResidency {
        model: model.clone(),
        version: entry.version.clone(),
        state: Bytes::from_static(entry.state.name().as_bytes()),
        memory_mib: entry.memory_mib,
    });
    let (order_term, order_revision) = orders.target_version();
    FrameBody::StateReport(StateReport {
        endpoint: config.settings.name.clone(),
        incarnation: config.incarnation,
        models: models.collect(),
        committed_mib: ledger.committed_mib(),
        capacity_mib: ledger.capacity_mib(),
        order_term,
        order_revision,
        leaving,
        sequence,
        kv_reserve_mib: config.settings.kv_reserve_mib,
        engine_role,
        tokens_per_second,
    })
}

/// Builds the request that is forwarded to the endpoint.
pub(crate) fn engine_request(now: Instant, waiting: WaitingAttempt) -> EngineRequest {
    let left = waiting.deadline.saturating_duration_since(now);
    let start = waiting.start;
    EngineRequest {
        method: start.method,
        path: start.path,
        headers: start.headers,
        body: start.body,
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        priority: start.priority,
        resume_events: start.resume_events,
    }
}

/// Returns whether an action sends an entry a frame about one of its attempts.
pub(crate) fn is_reply(action: &RoleAction<AgentAction>) -> bool {
    let RoleAction::Link(LinkCommand::Send { body, .. }) = action else {
        return false;
    };
    matches!(
        body,
        FrameBody::AttemptHead(_)
            | FrameBody::AttemptPart(_)
            | FrameBody::AttemptEnd(_)
            | FrameBody::AttemptRefused(_)
    )
}

/// Converts a refusal of the scheduler.
pub(crate) fn to_refusal(refusal: QueueRefusal) -> AttemptRefusal {
    AttemptRefusal {
        reason: refusal.reason,
        // The refusal of a duplicate says nothing about whether the original
        // attempt ran.
        ran: match refusal.reason {
            RefusalReason::Duplicate => Ran::Unknown,
            _ => Ran::No,
        },
        retry_after: refusal.retry_after,
        crashed: false,
    }
}

/// Appends the action that refuses a waiting attempt as not run.
pub(crate) fn refuse_waiting(
    waiting: &WaitingAttempt,
    reason: RefusalReason,
    actions: &mut Vec<RoleAction<AgentAction>>,
) {
    actions.push(AttemptRefusal::not_run(reason).to_action(waiting.link, waiting.start.id));
}
