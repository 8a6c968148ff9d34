//! Operator calls, which any instance accepts and the confirmed leader answers.
//!
//! Guarantees: the leader checks the operator's key and the call against a
//! state that a quorum has confirmed after the call arrived. An instance that
//! knows no leader refuses immediately. A call with an unknown outcome is
//! answered as such, and its retry under the same request id is idempotent.

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_role::{header_value, HttpRequest, LinkId, RequestId, ResponsePart, RoleAction};
use mulberrywell_wire::operate::{Forward, ForwardAnswer};
use mulberrywell_wire::request::HeaderField;
use mulberrywell_wire::FrameBody;

use crate::command_outcome::CommandOutcome;
use crate::control_event::ControlAction;
use crate::control_role::{send, Actions, ControlRole, ReadTask};
use crate::operator_api::{error, outcome_answer, parse_call, OperatorAnswer, OperatorCall};
use crate::proposal_table::{CallOrigin, ProposalWaiter};
use crate::relay_table::RelayRequester;

/// Seconds after which a refused operator should retry.
const RETRY_AFTER: &[u8] = b"1";

/// Path of the list of models, to which results of the last placement plan are
/// added.
const MODELS_PATH: &str = "/v1/models";

/// A call to be answered by a leader that a quorum has confirmed.
#[derive(Debug)]
pub(crate) struct OperatorTask {
    pub(crate) origin: CallOrigin,
    pub(crate) call: Forward,
}

impl ControlRole {
    pub(crate) fn handle_http(
        &mut self,
        now: Instant,
        request: RequestId,
        http: HttpRequest,
        actions: &mut Actions,
    ) {
        let path = http.path.split(|&b| b == b'?').next().unwrap_or_default();
        if path == b"/healthz" || path == b"/readyz" {
            self.answer_probe(request, path == b"/readyz", actions);
            return;
        }
        let Some(key_digest) = key_digest(&http) else {
            send_answer(request, &invalid_key(), actions);
            return;
        };
        if self.shutdown.has_begun() {
            send_answer(request, &no_leader(), actions);
            return;
        }
        let mut call = Forward {
            sequence: 0,
            method: http.method,
            path: http.path,
            key_digest,
            body: http.body,
        };
        if self.is_leader() {
            let origin = CallOrigin::Local(request);
            self.reads
                .push(ReadTask::Operator(OperatorTask { origin, call }));
            return;
        }
        let Some(leader) = self.leader_link() else {
            send_answer(request, &no_leader(), actions);
            return;
        };
        match self
            .relays
            .insert(now, leader, RelayRequester::Operator(request))
        {
            Ok(sequence) => {
                call.sequence = sequence;
                send(leader, FrameBody::Forward(call), actions);
            }
            Err(requester) => self.refuse_requester(requester, actions),
        }
    }

    fn answer_probe(&self, request: RequestId, ready: bool, actions: &mut Actions) {
        let has_leader = self.is_leader() || self.leader_link().is_some();
        let status = if ready && !has_leader { 503 } else { 200 };
        let body = serde_json::json!({ "status": "running", "leader": has_leader });
        send_answer(request, &OperatorAnswer { status, body }, actions);
    }

    pub(crate) fn handle_forward(&mut self, link: LinkId, call: Forward, actions: &mut Actions) {
        let origin = CallOrigin::Forwarded {
            link,
            sequence: call.sequence,
        };
        if self.is_leader() {
            self.reads
                .push(ReadTask::Operator(OperatorTask { origin, call }));
        } else {
            reply(origin, &no_leader(), actions);
        }
    }

    pub(crate) fn handle_forward_answer(&mut self, answer: ForwardAnswer, actions: &mut Actions) {
        let requester = self.relays.remove(answer.sequence);
        if let Some(RelayRequester::Operator(request)) = requester {
            let status = u16::try_from(answer.status).unwrap_or(500);
            send_answer_bytes(request, status, answer.body, actions);
        }
    }

    /// Executes a call as the leader, after a quorum has confirmed its
    /// leadership.
    pub(crate) fn execute_call(&mut self, task: OperatorTask, actions: &mut Actions) {
        let OperatorTask { origin, call } = task;
        let operators = self.state.operators.iter();
        let mut known = operators.filter(|(_, digest)| **digest == call.key_digest);
        let Some((operator, _)) = known.next() else {
            reply(origin, &invalid_key(), actions);
            return;
        };
        let operator = operator.clone();
        if call.method == "GET" && call.path == "/v1/members" {
            let answer = self.show_members();
            reply(origin, &answer, actions);
            return;
        }
        if call.method == "GET" && call.path == "/v1/evacuations" {
            let answer = self.show_evacuations();
            reply(origin, &answer, actions);
            return;
        }
        match parse_call(&self.state, &call.method, &call.path, &call.body) {
            Ok(OperatorCall::Read(mut answer)) => {
                if call.path == MODELS_PATH {
                    self.placement.describe_models(&mut answer.body);
                }
                reply(origin, &answer, actions);
            }
            Err(answer) => reply(origin, &answer, actions),
            Ok(OperatorCall::Change { body, request_id }) => {
                let waiter = ProposalWaiter::Operator(origin);
                self.propose_as(body, operator, request_id, waiter);
            }
        }
    }

    pub(crate) fn answer_outcome(
        &self,
        origin: CallOrigin,
        outcome: &CommandOutcome,
        actions: &mut Actions,
    ) {
        reply(origin, &outcome_answer(outcome), actions);
    }

    /// Notifies an operator that no quorum has confirmed its call.
    pub(crate) fn answer_unavailable(&self, origin: CallOrigin, actions: &mut Actions) {
        reply(origin, &outcome_unknown(), actions);
    }

    /// Notifies an operator that the leader was lost before it answered.
    pub(crate) fn answer_leader_lost(&self, request: RequestId, actions: &mut Actions) {
        send_answer(request, &outcome_unknown(), actions);
    }
}

fn key_digest(http: &HttpRequest) -> Option<Bytes> {
    let value = header_value(&http.headers, "Authorization")?;
    let key = value.strip_prefix(b"Bearer ")?;
    Some(digest_key(key.trim_ascii()))
}

fn invalid_key() -> OperatorAnswer {
    let text = "no operator key, or a wrong one";
    error(401, "invalid_operator_key", text)
}

fn no_leader() -> OperatorAnswer {
    let text = "no leader is known here; nothing was changed";
    error(503, "no_leader", text)
}

fn outcome_unknown() -> OperatorAnswer {
    let text = "no quorum confirmed the call; a change may have been made; \
                resend it under the same request id";
    error(503, "outcome_unknown", text)
}

fn reply(origin: CallOrigin, answer: &OperatorAnswer, actions: &mut Actions) {
    match origin {
        CallOrigin::Local(request) => send_answer(request, answer, actions),
        CallOrigin::Forwarded { link, sequence } => {
            let reply = ForwardAnswer {
                sequence,
                status: u32::from(answer.status),
                body: Bytes::from(answer.body.to_string()),
            };
            send(link, FrameBody::ForwardAnswer(reply), actions);
        }
    }
}

fn send_answer(request: RequestId, answer: &OperatorAnswer, actions: &mut Actions) {
    let body = Bytes::from(answer.body.to_string());
    send_answer_bytes(request, answer.status, body, actions);
}

fn send_answer_bytes(request: RequestId, status: u16, body: Bytes, actions: &mut Actions) {
    let mut headers = vec![HeaderField {
        name: Bytes::from_static(b"Content-Type"),
        value: Bytes::from_static(b"application/json"),
    }];
    if status == 503 {
        headers.push(HeaderField {
            name: Bytes::from_static(b"Retry-After"),
            value: Bytes::from_static(RETRY_AFTER),
        });
    }
    let head = ResponsePart::Head {
        status,
        headers,
        length: Some(body.len() as u64),
    };
    for part in [head, ResponsePart::Data(body), ResponsePart::End] {
        actions.push(RoleAction::RoleSpecific(ControlAction::Respond(
            request, part,
        )));
    }
}
