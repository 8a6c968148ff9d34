//! Calls that read or change the serving configuration, and calls that
//! endpoints make about themselves.
//!
//! Guarantees: a configuration is acknowledged once it, or a higher version, is
//! committed. A read returns the newest configuration that was acknowledged
//! before it. An instance that can't get a confirmed answer from the leader
//! reports this immediately. A status sent by an endpoint is handled by the
//! instance that receives it, which forwards it to all others. That an endpoint drains or
//! has left is in force at once, and confirmed when it is committed.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{LogLevel, MetricKind, RequestId, RoleAction};
use mulberrywell_serving::{EndpointId, MergeOutcome};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::serving::{
    EndedEndpoint, EndpointPhase, EndpointStatus, PutServing, ServingForward, ServingReply,
    SetEvacuation,
};
use mulberrywell_wire::FrameBody;

use crate::command_outcome::{CommandOutcome, EditConflict};
use crate::control_event::ControlAction;
use crate::control_role::{send, Actions, ControlRole, ReadTask};
use crate::ended_endpoints::ended_by;
use crate::proposal_table::{CallOrigin, ProposalWaiter};
use crate::relay_table::RelayRequester;

/// Time by which an endpoint's clock may be ahead of this instance's, in milliseconds. A
/// day, as a clock that shows local time as UTC is up to 14 hours ahead.
const CLOCK_LEAD_MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// Statuses of endpoints for which there was no memory.
const STATUSES_REFUSED: &str = "serving.statuses_refused";

/// Interval between log lines about them.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A decoded and verified call.
#[derive(Debug, Clone)]
pub enum ServingCall {
    /// Puts a configuration in force.
    Put(PutServing),
    /// Reads the text of the configuration in force.
    Read,
    /// Starts or ends the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: Bytes,
        /// Whether the evacuation starts.
        is_start: bool,
    },
    /// An endpoint's heartbeat.
    Heartbeat(EndpointStatus),
    /// An endpoint leaves.
    Leave {
        /// Id of the endpoint.
        id: EndpointId,
        /// Its start in milliseconds since the Unix epoch; 0 stands for the
        /// start that is registered.
        born_ms: u64,
    },
}

/// The answer to a [`ServingCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServingAnswer {
    /// The call succeeded.
    Accepted,
    /// The text of the configuration; `None` before the first one.
    Source(Option<Bytes>),
    /// The call can't be executed; retrying it is of no use.
    Refused,
    /// No leader confirmed the call; it may be retried.
    Unavailable,
}

/// A call to be answered by a leader that a quorum has confirmed.
#[derive(Debug)]
pub(crate) struct ServingTask {
    pub(crate) origin: CallOrigin,
    pub(crate) change: ServingChange,
}

/// What a call that the leader executes asks for.
#[derive(Debug, Clone)]
pub(crate) enum ServingChange {
    Read,
    Put(PutServing),
    Evacuate(SetEvacuation),
    End(EndedEndpoint),
}

impl ControlRole {
    pub(crate) fn handle_serving_call(
        &mut self,
        now: Instant,
        request: RequestId,
        call: ServingCall,
        actions: &mut Actions,
    ) {
        match call {
            ServingCall::Put(put) => {
                self.route_call(now, request, ServingChange::Put(put), actions);
            }
            ServingCall::Read => self.route_call(now, request, ServingChange::Read, actions),
            ServingCall::Evacuate { zone, is_start } => {
                let set = self.evacuation_change(zone, is_start);
                self.route_call(now, request, ServingChange::Evacuate(set), actions);
            }
            // An observer without a link to the others would acknowledge what no
            // gateway learns.
            ServingCall::Heartbeat(_) | ServingCall::Leave { .. } if self.is_isolated() => {
                reply(request, ServingAnswer::Unavailable, actions);
            }
            ServingCall::Heartbeat(EndpointStatus { born_ms, .. })
            | ServingCall::Leave { born_ms, .. }
                if born_ms > self.latest_start() =>
            {
                let text = format!("endpoint born={born_ms} outcome=refused cause=late_start");
                actions.push(RoleAction::Log(LogLevel::Warn, text));
                reply(request, ServingAnswer::Refused, actions);
            }
            ServingCall::Heartbeat(status) => {
                self.handle_status(now, request, status, actions);
            }
            ServingCall::Leave { id, born_ms } => {
                let status = self.gone_status(&id, born_ms);
                self.handle_status(now, request, status, actions);
            }
        }
    }

    /// Returns the latest start, in milliseconds since the Unix epoch, that an endpoint
    /// may state. The record of a later one would outlast all statuses of the endpoint.
    pub(crate) fn latest_start(&self) -> u64 {
        match self.clock_ms {
            // The clock isn't known.
            0 => u64::MAX,
            clock_ms => clock_ms.saturating_add(CLOCK_LEAD_MAX_MS),
        }
    }

    /// Returns whether this instance is an observer that reaches no other instance
    /// with a disk.
    fn is_isolated(&self) -> bool {
        self.peers.own().observer && !self.peers.has_durable_peer()
    }

    /// Merges a status and answers the endpoint.
    fn handle_status(
        &mut self,
        now: Instant,
        request: RequestId,
        status: EndpointStatus,
        actions: &mut Actions,
    ) {
        let mut ended = ended_by(&status);
        // Each further heartbeat of an endpoint that drains has a higher sequence.
        let known = self.serving.endpoints.known(&status.id);
        let was_draining = known.is_some_and(|known| {
            known.born_ms == status.born_ms && known.phase() == EndpointPhase::Draining
        });
        ended = ended.filter(|ended| {
            let records = &self.state.ended;
            let is_repeated = was_draining && !ended.gone && records.contains_start(ended);
            !is_repeated && !records.contains(ended)
        });
        let withdrawn = self.withdrawn_record(&status);
        let outcome = self.handle_heartbeat(now, status, actions);
        if matches!(outcome, MergeOutcome::Same | MergeOutcome::Changed) {
            ended = ended.or(withdrawn);
        }
        match ended.filter(|_| outcome != MergeOutcome::Full) {
            Some(ended) => self.route_call(now, request, ServingChange::End(ended), actions),
            None => reply(request, status_answer(outcome), actions),
        }
    }

    /// Returns the withdrawal of the record by which an endpoint drains, for a status that
    /// has a lower sequence and isn't draining. Such a status counts only if the endpoint
    /// itself is heard.
    fn withdrawn_record(&self, status: &EndpointStatus) -> Option<EndedEndpoint> {
        let sequence = self.state.ended.draining_sequence(status)?;
        let is_outrun = sequence > status.sequence && ended_by(status).is_none();
        is_outrun.then(|| EndedEndpoint {
            id: status.id.clone(),
            service: status.service.clone(),
            born_ms: status.born_ms,
            sequence,
            gone: false,
            withdrawn: true,
        })
    }

    /// Applies the records that were read from the log to the statuses. Only then is it known
    /// which of them were withdrawn.
    pub(crate) fn apply_ended(&mut self) {
        for ended in std::mem::take(&mut self.ended_unapplied) {
            let known = self.serving.endpoints.known(&ended.id);
            let records = &self.state.ended;
            let late = known.filter(|known| {
                let is_present = known.phase() != EndpointPhase::Gone;
                let is_same = ended.gone || known.service == ended.service;
                is_present && is_same && records.contains(&ended) && records.is_late(known)
            });
            let Some(mut status) = late.cloned() else {
                continue;
            };
            status.born_ms = ended.born_ms;
            if ended.gone {
                status.set_phase(EndpointPhase::Gone);
            } else {
                status.sequence = ended.sequence;
                status.set_phase(EndpointPhase::Draining);
            }
            self.serving.apply_record(status);
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Instant,
        mut status: EndpointStatus,
        actions: &mut Actions,
    ) -> MergeOutcome {
        status.heard_by = self.peers.own().id;
        let text = describe_status(&status);
        let left_ms = status.cold_left_ms;
        let was_cold = self.serving.is_cold(now, &status.id);
        let id = status.id.clone();
        let records = &self.state.ended;
        let outcome = self.serving.apply_status(now, status, records);
        if outcome == MergeOutcome::Full {
            self.report_refused_status(now, &text, actions);
            return outcome;
        }
        let is_cold = self.serving.is_cold(now, &id);
        if was_cold != is_cold {
            let outcome = if is_cold { "cold" } else { "warm" };
            let text = format!("endpoint {text} left_ms={left_ms:?} outcome={outcome}");
            actions.push(RoleAction::Log(LogLevel::Info, text));
        }
        if outcome != MergeOutcome::Same {
            let text = format!("endpoint {text} outcome={outcome:?}");
            actions.push(RoleAction::Log(LogLevel::Info, text));
        }
        outcome
    }

    /// Reports a status for which there is no memory; one line a second tells of one of them.
    fn report_refused_status(&mut self, now: Instant, text: &str, actions: &mut Actions) {
        actions.push(RoleAction::Metric(MetricKind::Count, STATUSES_REFUSED, 1));
        let is_due = self
            .refused_status_logged
            .is_none_or(|at| now >= at + REFUSAL_LOG_INTERVAL);
        if is_due {
            self.refused_status_logged = Some(now);
            let line = format!("endpoint {text} outcome=refused cause=\"limit on statuses\"");
            actions.push(RoleAction::Log(LogLevel::Warn, line));
        }
    }

    /// Returns the status of an endpoint that has left.
    fn gone_status(&self, id: &EndpointId, born_ms: u64) -> EndpointStatus {
        let known = self.serving.endpoints.known(id).cloned();
        let known = known.unwrap_or_default();
        EndpointStatus {
            id: id.clone(),
            born_ms: if born_ms == 0 { known.born_ms } else { born_ms },
            phase: EndpointPhase::Gone.into(),
            ..known
        }
    }

    /// Queues a call for a confirmed read if this instance is the leader;
    /// otherwise forwards it to the leader, or refuses it if no leader is
    /// linked.
    fn route_call(
        &mut self,
        now: Instant,
        request: RequestId,
        change: ServingChange,
        actions: &mut Actions,
    ) {
        if self.shutdown.has_begun() {
            reply(request, ServingAnswer::Unavailable, actions);
            return;
        }
        if self.is_leader() {
            let origin = CallOrigin::Local(request);
            self.reads
                .push(ReadTask::Serving(ServingTask { origin, change }));
            return;
        }
        let Some(leader) = self.leader_link() else {
            reply(request, ServingAnswer::Unavailable, actions);
            return;
        };
        let requester = match change {
            ServingChange::Evacuate(_) | ServingChange::End(_) => {
                RelayRequester::ServingChange(request)
            }
            _ => RelayRequester::Serving(request),
        };
        match self.relays.insert(now, leader, requester) {
            Ok(sequence) => {
                let mut call = ServingForward {
                    sequence,
                    ..ServingForward::default()
                };
                match change {
                    ServingChange::Read => {}
                    ServingChange::Put(put) => call.put = Some(put),
                    ServingChange::Evacuate(set) => call.evacuation = Some(set),
                    ServingChange::End(ended) => call.ended = Some(ended),
                }
                send(leader, FrameBody::ServingForward(call), actions);
            }
            Err(requester) => self.refuse_requester(requester, actions),
        }
    }

    pub(crate) fn handle_serving_forward(
        &mut self,
        link: mulberrywell_role::LinkId,
        call: ServingForward,
        actions: &mut Actions,
    ) {
        let sequence = call.sequence;
        let origin = CallOrigin::Forwarded { link, sequence };
        if self.is_leader() {
            let change = match (call.evacuation, call.ended, call.put) {
                (Some(set), _, _) => ServingChange::Evacuate(set),
                (None, Some(ended), _) => ServingChange::End(ended),
                (None, None, Some(put)) => ServingChange::Put(put),
                (None, None, None) => ServingChange::Read,
            };
            self.reads
                .push(ReadTask::Serving(ServingTask { origin, change }));
        } else {
            refuse_call(origin, actions);
        }
    }

    pub(crate) fn handle_serving_reply(&mut self, answer: ServingReply, actions: &mut Actions) {
        let requester = self.relays.remove(answer.sequence);
        let (request, is_change) = match requester {
            Some(RelayRequester::Serving(request)) => (request, false),
            Some(RelayRequester::ServingChange(request)) => (request, true),
            _ => return,
        };
        let answer = match (answer.confirmed, answer.source) {
            _ if answer.refused => ServingAnswer::Refused,
            (false, _) => ServingAnswer::Unavailable,
            (true, source) if source.is_empty() => ServingAnswer::Accepted,
            // A leader of an older version takes the call for a read.
            (true, _) if is_change => ServingAnswer::Unavailable,
            (true, source) => ServingAnswer::Source(Some(source)),
        };
        reply(request, answer, actions);
    }

    /// Executes a call as the leader, after a quorum has confirmed its
    /// leadership.
    pub(crate) fn execute_serving_call(&mut self, task: ServingTask, actions: &mut Actions) {
        let held = self.state.serving_version();
        let put = match task.change {
            ServingChange::Put(put) => put,
            ServingChange::Read => {
                let source = self.state.serving.as_ref().map(|put| put.source.clone());
                answer_call(task.origin, ServingAnswer::Source(source), actions);
                return;
            }
            ServingChange::Evacuate(set) => {
                self.execute_evacuation(task.origin, set, actions);
                return;
            }
            ServingChange::End(ended) => {
                if self.state.ended.is_applied(&ended) {
                    accept_call(task.origin, actions);
                } else {
                    let waiter = ProposalWaiter::Serving(task.origin);
                    self.propose(Body::EndEndpoint(ended), waiter);
                }
                return;
            }
        };
        let version = put.config.as_ref().map_or(0, |config| config.version);
        if version <= held {
            let text = format!("configuration version={version} held={held} outcome=kept");
            actions.push(RoleAction::Log(LogLevel::Info, text));
            accept_call(task.origin, actions);
            return;
        }
        let text = format!("configuration version={version} held={held} outcome=proposed");
        actions.push(RoleAction::Log(LogLevel::Info, text));
        self.propose(Body::PutServing(put), ProposalWaiter::Serving(task.origin));
    }
}

/// Acknowledges a call whose configuration, or a higher version, is committed.
pub(crate) fn accept_call(origin: CallOrigin, actions: &mut Actions) {
    answer_call(origin, ServingAnswer::Accepted, actions);
}

/// Answers a call whose command is committed. A command without effect because of a later
/// change is answered as not confirmed, so that it is retried on the newer state.
pub(crate) fn complete_call(origin: CallOrigin, outcome: &CommandOutcome, actions: &mut Actions) {
    let answer = match outcome {
        CommandOutcome::Accepted { .. } => ServingAnswer::Accepted,
        CommandOutcome::Refused(EditConflict::Full) => ServingAnswer::Refused,
        CommandOutcome::Refused(_) => ServingAnswer::Unavailable,
    };
    answer_call(origin, answer, actions);
}

/// Answers that no leader confirmed the call.
pub(crate) fn refuse_call(origin: CallOrigin, actions: &mut Actions) {
    answer_call(origin, ServingAnswer::Unavailable, actions);
}

fn answer_call(origin: CallOrigin, answer: ServingAnswer, actions: &mut Actions) {
    match origin {
        CallOrigin::Local(request) => reply(request, answer, actions),
        CallOrigin::Forwarded { link, sequence } => {
            // An empty text would read as an acknowledgement, so a read before
            // the first configuration is answered as not confirmed.
            let refused = answer == ServingAnswer::Refused;
            let (confirmed, source) = match answer {
                ServingAnswer::Accepted => (true, Bytes::new()),
                ServingAnswer::Source(Some(source)) => (true, source),
                ServingAnswer::Source(None)
                | ServingAnswer::Refused
                | ServingAnswer::Unavailable => (false, Bytes::new()),
            };
            let reply = ServingReply {
                sequence,
                confirmed,
                source,
                refused,
            };
            send(link, FrameBody::ServingReply(reply), actions);
        }
    }
}

fn reply(request: RequestId, answer: ServingAnswer, actions: &mut Actions) {
    actions.push(RoleAction::RoleSpecific(ControlAction::Reply(
        request, answer,
    )));
}

/// Returns the answer to an endpoint whose status was merged.
fn status_answer(outcome: MergeOutcome) -> ServingAnswer {
    match outcome {
        MergeOutcome::Full => ServingAnswer::Unavailable,
        MergeOutcome::Stale | MergeOutcome::Same | MergeOutcome::Changed => ServingAnswer::Accepted,
    }
}

fn describe_status(status: &EndpointStatus) -> String {
    format!(
        "id={} service={} address={} born={} sequence={} phase={:?} models={}",
        String::from_utf8_lossy(&status.id),
        String::from_utf8_lossy(&status.service),
        String::from_utf8_lossy(&status.address),
        status.born_ms,
        status.sequence,
        status.phase(),
        status.models.len(),
    )
}
