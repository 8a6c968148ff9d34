//! What the agent does when its endpoint answers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{LinkCommand, LogLevel, RoleAction};
use mulberrywell_wire::request::{
    AttemptEnd, AttemptHead, AttemptPart, HeaderField, Ran, RefusalReason,
};
use mulberrywell_wire::FrameBody;

use super::{Actions, AgentRole};
use crate::agent_frames::AttemptRefusal;
use crate::attempt_gate::RunningAttempt;
use crate::{AgentEvent, EngineState, RunId};

impl AgentRole {
    pub(super) fn take_engine(&mut self, now: Instant, event: AgentEvent, actions: &mut Actions) {
        match event {
            AgentEvent::Head {
                run,
                status,
                headers,
            } => self.take_head(run, status, headers, actions),
            AgentEvent::Part { run, data } => self.take_part(run, data, actions),
            AgentEvent::End { run } => self.take_end(now, run, actions),
            AgentEvent::Failed { run, sent } => self.take_failure(now, run, sent, actions),
            AgentEvent::State(state) => self.take_state(now, state, actions),
            AgentEvent::OrderEnded { order, outcome } => {
                self.orders.end_order(now, order, outcome);
                self.next_state = now;
                self.step_orders(now, actions);
            }
        }
    }

    fn take_head(
        &mut self,
        run: RunId,
        status: u16,
        headers: Vec<HeaderField>,
        actions: &mut Actions,
    ) {
        self.reply(run, actions, |running| {
            FrameBody::AttemptHead(AttemptHead {
                id: Some(running.id),
                status: u32::from(status),
                headers,
            })
        });
    }

    fn take_part(&mut self, run: RunId, data: Bytes, actions: &mut Actions) {
        self.reply(run, actions, |running| {
            let offset = running.sent;
            running.sent += data.len() as u64;
            running.counter.feed(&data);
            FrameBody::AttemptPart(AttemptPart {
                id: Some(running.id),
                offset,
                data,
            })
        });
    }

    fn take_end(&mut self, now: Instant, run: RunId, actions: &mut Actions) {
        self.reply(run, actions, |running| {
            FrameBody::AttemptEnd(AttemptEnd {
                id: Some(running.id),
                length: running.sent,
                whole: true,
                ran: Ran::Yes.into(),
                tokens: running.counter.tokens(),
            })
        });
        self.gate.finish(now, run);
        self.slot_freed(now, actions);
    }

    fn take_failure(&mut self, now: Instant, run: RunId, sent: bool, actions: &mut Actions) {
        if let Some(running) = self.gate.finish(now, run) {
            let reason = if running.cancelled {
                RefusalReason::Cancelled
            } else {
                RefusalReason::EngineDown
            };
            let refusal = AttemptRefusal {
                reason,
                ran: if sent { Ran::Unknown } else { Ran::No },
                retry_after: Duration::ZERO,
            };
            actions.push(refusal.send(running.link, Some(running.id)));
        }
        self.slot_freed(now, actions);
    }

    fn slot_freed(&mut self, now: Instant, actions: &mut Actions) {
        self.hand_over(now, actions);
        self.step_orders(now, actions);
    }

    fn take_state(&mut self, now: Instant, state: Option<EngineState>, actions: &mut Actions) {
        self.state_asked = None;
        if let Some(state) = &state {
            self.orders.ledger_mut().take_state(state);
        }
        if self.state != state {
            let text = match &state {
                Some(state) => format!("endpoint answers with {} models", state.models.len()),
                None => "endpoint does not answer".to_owned(),
            };
            let was_down = self.state.is_none() != state.is_none();
            self.state = state;
            actions.push(RoleAction::Log(LogLevel::Info, text));
            if was_down {
                self.announcer.changed(now);
                self.announce(now, actions);
            }
        }
        self.slot_freed(now, actions);
    }

    fn reply(
        &mut self,
        run: RunId,
        actions: &mut Actions,
        make: impl FnOnce(&mut RunningAttempt) -> FrameBody,
    ) {
        if let Some(running) = self.gate.running_mut(run) {
            let body = make(running);
            let link = running.link;
            actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
        }
    }
}
