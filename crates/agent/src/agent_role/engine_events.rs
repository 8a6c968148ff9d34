//! Handlers for the events of the agent's endpoint.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{header_value, LinkCommand, LogLevel, RoleAction};
use mulberrywell_wire::request::{
    AttemptEnd, AttemptHead, AttemptPart, HeaderField, Ran, RefusalReason,
};
use mulberrywell_wire::FrameBody;

use super::{Actions, AgentRole};
use crate::agent_frames::AttemptRefusal;
use crate::attempt_scheduler::RunningAttempt;
use crate::{AgentEvent, EngineState, RunId};

/// Fields of a response that state where its body ends.
const FRAMING_FIELDS: [&str; 2] = ["Content-Length", "Transfer-Encoding"];

impl AgentRole {
    pub(super) fn handle_engine_event(
        &mut self,
        now: Instant,
        event: AgentEvent,
        actions: &mut Actions,
    ) {
        match event {
            AgentEvent::Head {
                run,
                status,
                headers,
            } => self.handle_head(run, status, headers, actions),
            AgentEvent::Part { run, data } => self.handle_part(run, data, actions),
            AgentEvent::End { run } => self.handle_end(now, run, actions),
            AgentEvent::Failed { run, sent, crashed } => {
                self.handle_failure(now, run, sent, crashed, actions);
            }
            AgentEvent::State(state) => self.handle_state(now, state, actions),
            AgentEvent::OrderEnded { order, outcome } => {
                self.orders.handle_order_end(now, order, outcome);
                self.next_state_read = now;
                self.reconcile_orders(now, actions);
            }
        }
    }

    fn handle_head(
        &mut self,
        run: RunId,
        status: u16,
        headers: Vec<HeaderField>,
        actions: &mut Actions,
    ) {
        self.send_reply(run, actions, |running| {
            let is_framing = |name: &&str| header_value(&headers, name).is_some();
            running.is_delimited = FRAMING_FIELDS.iter().any(is_framing);
            FrameBody::AttemptHead(AttemptHead {
                id: Some(running.id),
                status: u32::from(status),
                headers,
            })
        });
    }

    fn handle_part(&mut self, run: RunId, data: Bytes, actions: &mut Actions) {
        self.send_reply(run, actions, |running| {
            let offset = running.sent_bytes;
            running.sent_bytes += data.len() as u64;
            running.counter.feed(&data);
            FrameBody::AttemptPart(AttemptPart {
                id: Some(running.id),
                offset,
                data,
            })
        });
    }

    fn handle_end(&mut self, now: Instant, run: RunId, actions: &mut Actions) {
        self.send_reply(run, actions, |running| {
            FrameBody::AttemptEnd(AttemptEnd {
                id: Some(running.id),
                length: running.sent_bytes,
                whole: running.is_whole(),
                ran: Ran::Yes.into(),
                tokens: running.counter.tokens(),
            })
        });
        self.scheduler.finish(now, run);
        self.forward_and_reconcile(now, actions);
    }

    fn handle_failure(
        &mut self,
        now: Instant,
        run: RunId,
        sent: bool,
        crashed: bool,
        actions: &mut Actions,
    ) {
        if let Some(running) = self.scheduler.finish(now, run) {
            let reason = if running.cancelled {
                RefusalReason::Cancelled
            } else {
                RefusalReason::EngineDown
            };
            let refusal = AttemptRefusal {
                reason,
                ran: if sent { Ran::Unknown } else { Ran::No },
                retry_after: Duration::ZERO,
                crashed: crashed && sent && !running.cancelled,
            };
            actions.push(refusal.to_action(running.link, Some(running.id)));
        }
        self.forward_and_reconcile(now, actions);
    }

    fn forward_and_reconcile(&mut self, now: Instant, actions: &mut Actions) {
        self.forward_waiting(now, actions);
        self.reconcile_orders(now, actions);
    }

    fn handle_state(&mut self, now: Instant, state: Option<EngineState>, actions: &mut Actions) {
        self.state_requested_at = None;
        if let Some(state) = &state {
            self.orders.ledger_mut().apply_state(state);
        }
        if self.state != state {
            let text = match &state {
                Some(state) => format!("endpoint reports {} models", state.models.len()),
                None => "endpoint did not respond to the state query".to_owned(),
            };
            let availability_changed = self.state.is_none() != state.is_none();
            self.state = state;
            actions.push(RoleAction::Log(LogLevel::Info, text));
            if availability_changed {
                self.announcer.mark_changed(now);
                self.announce(now, actions);
            }
        }
        self.forward_and_reconcile(now, actions);
    }

    fn send_reply(
        &mut self,
        run: RunId,
        actions: &mut Actions,
        make: impl FnOnce(&mut RunningAttempt) -> FrameBody,
    ) {
        if let Some(running) = self.scheduler.running_mut(run) {
            let body = make(running);
            let link = running.link;
            actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
        }
    }
}
