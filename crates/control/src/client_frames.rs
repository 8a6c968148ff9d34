//! Frames from entries and agents: those that this instance answers itself and
//! those that only the leader may answer.

use std::time::Instant;

use bytes::Bytes;
use mulberrywell_role::{LinkCommand, LinkId, RoleAction};
use mulberrywell_wire::claim::{
    ClaimAnswer, ClaimRequest, ClaimState, OutcomeAck, OutcomeReport, StoredAnswer,
};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{ClaimRecord, PutClaim, PutOutcome};
use mulberrywell_wire::config::{ConfirmAnswer, ConfirmQuery};
use mulberrywell_wire::operate::{Relay, RelayAnswer};
use mulberrywell_wire::rate::LeaseGrant;
use mulberrywell_wire::serving::{PromptReport, TrialEnd, TrialGrant, TrialRequest};
use mulberrywell_wire::{FrameBody, PeerFrame};
use prost::Message;

use crate::command_outcome::{CommandOutcome, EditConflict};
use crate::control_role::{send, Actions, ControlRole, ReadTask};
use crate::proposal_table::{CallOrigin, FrameOrigin, ProposalWaiter};
use crate::relay_table::RelayRequester;
use crate::serving_calls::refuse_call;
use crate::stream_queries::unknown_answer;

/// A frame to be answered by a leader that a quorum has confirmed.
#[derive(Debug)]
pub(crate) struct ClientTask {
    pub(crate) origin: FrameOrigin,
    /// Name and incarnation of the process that sent the frame.
    pub(crate) holder: Bytes,
    pub(crate) frame: FrameBody,
}

impl ControlRole {
    pub(crate) fn handle_client_frame(
        &mut self,
        now: Instant,
        link: LinkId,
        body: FrameBody,
        actions: &mut Actions,
    ) {
        match body {
            FrameBody::Subscribe(subscribe) => {
                self.subscribers.insert(link, subscribe);
                self.prompts.attach(now, link, &mut self.commands);
            }
            FrameBody::Announce(announce) => self.handle_announce(now, link, announce, actions),
            FrameBody::ServingAttach(attach) => {
                let instance = self.clients.instance(link).cloned().unwrap_or_default();
                let holder = self.clients.holder(link);
                self.rates.attach(now, link, instance.clone(), holder);
                self.prompts.attach(now, link, &mut self.commands);
                self.serving.attach(link, instance, &attach);
            }
            FrameBody::LoadShare(report) => self.loads.record_report(now, link, report),
            FrameBody::RateUse(report) => {
                self.rates
                    .record_report(now, link, &report, &mut self.commands);
            }
            FrameBody::PromptReport(report) => {
                if self.subscribers.contains(link) {
                    self.relay_prompt_report(report.clone(), actions);
                }
                self.prompts.record_report(now, report);
            }
            FrameBody::PermitRequest(request) => {
                self.handle_permit_request(now, link, &request, actions);
            }
            FrameBody::TrialRequest(request) => {
                self.handle_trial_request(now, link, request, actions);
            }
            FrameBody::TrialEnd(end) => self.handle_trial_end(now, link, end, actions),
            FrameBody::StreamReport(report) => self.streams.record_report(now, &report),
            FrameBody::StreamQuery(query) => self.handle_stream_query(now, link, query, actions),
            FrameBody::ServingDemand(demand) => self.handle_serving_demand(now, demand, actions),
            FrameBody::StateReport(report) => self.handle_state_report(now, report),
            FrameBody::DemandReport(report) => {
                if let Some(instance) = self.clients.instance(link).cloned() {
                    self.handle_demand_report(now, instance, report);
                }
            }
            FrameBody::ConfirmQuery(_)
            | FrameBody::ClaimRequest(_)
            | FrameBody::OutcomeReport(_)
            | FrameBody::LeaseRequest(_)
            | FrameBody::LeaseReturn(_)
            | FrameBody::TokenRefund(_) => {
                let task = ClientTask {
                    origin: FrameOrigin::Local(link),
                    holder: self.clients.holder(link),
                    frame: body,
                };
                self.route_client(now, task, actions);
            }
            _ => {}
        }
    }

    /// Answers a request for a trial as the leader, or passes it on to the leader.
    fn handle_trial_request(
        &mut self,
        now: Instant,
        link: LinkId,
        request: TrialRequest,
        actions: &mut Actions,
    ) {
        let holder = self.clients.holder(link);
        if self.is_leader() && self.has_lease(now) {
            let grant = self.prompts.grant_trial(now, holder, &request);
            send(link, FrameBody::TrialGrant(grant), actions);
            return;
        }
        let task = ClientTask {
            origin: FrameOrigin::Local(link),
            holder,
            frame: FrameBody::TrialRequest(request),
        };
        self.route_client(now, task, actions);
    }

    /// Ends a trial, or tells the leader of its end.
    fn handle_trial_end(
        &mut self,
        now: Instant,
        link: LinkId,
        end: TrialEnd,
        actions: &mut Actions,
    ) {
        let holder = self.clients.holder(link);
        if self.is_leader() {
            self.prompts.end_trial(now, holder, end);
        } else if let Some(leader) = self.leader_link() {
            let frame = PeerFrame::from(FrameBody::TrialEnd(end));
            let relay = Relay {
                sequence: 0,
                frame: Bytes::from(frame.encode_to_vec()),
                holder,
            };
            send(leader, FrameBody::Relay(relay), actions);
        }
    }

    /// Relays an entry's report to the other instances: an entry links to one instance
    /// only, whereas a gateway reports to all.
    fn relay_prompt_report(&self, report: PromptReport, actions: &mut Actions) {
        let relay = unanswered_relay(FrameBody::PromptReport(report));
        for link in self.peers.member_links() {
            send(link, relay.clone(), actions);
        }
    }

    /// Handles a frame forwarded by another member.
    pub(crate) fn handle_relay(
        &mut self,
        now: Instant,
        link: LinkId,
        relay: Relay,
        actions: &mut Actions,
    ) {
        let Ok(frame) = PeerFrame::decode(relay.frame) else {
            return;
        };
        match frame.body {
            Some(FrameBody::Announce(announce)) => self.handle_relayed_announce(now, announce),
            Some(FrameBody::PromptReport(report)) => self.prompts.record_report(now, report),
            Some(FrameBody::TrialEnd(end)) => self.prompts.end_trial(now, relay.holder, end),
            Some(frame) => {
                let sequence = relay.sequence;
                let task = ClientTask {
                    origin: FrameOrigin::Relayed { link, sequence },
                    holder: relay.holder,
                    frame,
                };
                self.route_client(now, task, actions);
            }
            None => {}
        }
    }

    /// Queues a frame for a confirmed read if this instance is the leader;
    /// otherwise relays it to the leader, or refuses it if no leader is linked.
    pub(crate) fn route_client(&mut self, now: Instant, task: ClientTask, actions: &mut Actions) {
        if self.is_leader() {
            self.reads.push(ReadTask::Client(task));
            return;
        }
        let leader = self.leader_link();
        let (FrameOrigin::Local(link), Some(leader)) = (task.origin, leader) else {
            refuse_client(task.origin, &task.frame, actions);
            return;
        };
        let data = Bytes::from(PeerFrame::from(task.frame.clone()).encode_to_vec());
        let requester = RelayRequester::Client {
            link,
            frame: Box::new(task.frame),
        };
        match self.relays.insert(now, leader, requester) {
            Ok(sequence) => {
                let relay = Relay {
                    sequence,
                    frame: data,
                    holder: task.holder,
                };
                send(leader, FrameBody::Relay(relay), actions);
            }
            Err(requester) => self.refuse_requester(requester, actions),
        }
    }

    /// Forwards the leader's answer to the requester.
    pub(crate) fn handle_relay_answer(&mut self, answer: RelayAnswer, actions: &mut Actions) {
        let requester = self.relays.remove(answer.sequence);
        let frame = PeerFrame::decode(answer.frame);
        if let (Some(RelayRequester::Client { link, .. }), Ok(frame)) = (requester, frame) {
            if let Some(body) = frame.body {
                send(link, body, actions);
            }
        }
    }

    /// Notifies a requester that no leader has answered.
    pub(crate) fn refuse_requester(&mut self, requester: RelayRequester, actions: &mut Actions) {
        match requester {
            RelayRequester::Operator(request) => self.answer_leader_lost(request, actions),
            RelayRequester::Serving(request) | RelayRequester::ServingChange(request) => {
                refuse_call(CallOrigin::Local(request), actions);
            }
            RelayRequester::Client { link, frame } => {
                if let Some(refusal) = refusal_of(&frame) {
                    send(link, refusal, actions);
                }
            }
        }
    }

    /// Answers a frame as the leader, after a quorum has confirmed its
    /// leadership.
    pub(crate) fn execute_client_task(
        &mut self,
        now: Instant,
        task: ClientTask,
        actions: &mut Actions,
    ) {
        match task.frame {
            FrameBody::ConfirmQuery(query) => self.confirm_version(task.origin, query, actions),
            FrameBody::ClaimRequest(request) => self.handle_claim(task.origin, request, actions),
            FrameBody::OutcomeReport(report) => self.handle_outcome(task.origin, report),
            FrameBody::LeaseRequest(request) => {
                let grant = self.leases.grant(now, task.holder, &request);
                reply(task.origin, FrameBody::LeaseGrant(grant), actions);
                self.propose_blocks(now);
            }
            FrameBody::LeaseReturn(lease_return) => {
                let ack = self.leases.return_lease(now, &task.holder, lease_return);
                reply(task.origin, FrameBody::ReturnAck(ack), actions);
            }
            FrameBody::TokenRefund(refund) => self.leases.refund(now, task.holder, &refund),
            FrameBody::TrialRequest(request) => {
                let grant = self.prompts.grant_trial(now, task.holder, &request);
                reply(task.origin, FrameBody::TrialGrant(grant), actions);
            }
            FrameBody::StreamQuery(query) => {
                self.execute_stream_query(task.origin, &query, actions);
            }
            _ => {}
        }
    }

    fn confirm_version(&self, origin: FrameOrigin, query: ConfirmQuery, actions: &mut Actions) {
        let answer = ConfirmAnswer {
            sequence: query.sequence,
            version: self.state.version,
            confirmed: self.state.cluster != 0,
            age_ms: 0,
            cluster: self.state.cluster,
        };
        reply(origin, FrameBody::ConfirmAnswer(answer), actions);
    }

    fn handle_claim(&mut self, origin: FrameOrigin, request: ClaimRequest, actions: &mut Actions) {
        let lifetime = self.config.settings.claim_lifetime;
        let known = self.state.claims.find(&request.account, &request.key);
        if known.is_some_and(|claim| claim.expires_ms > self.clock_ms) {
            let conflict = CommandOutcome::Refused(EditConflict::Exists);
            self.answer_claim(origin, &request, Some(&conflict), actions);
            return;
        }
        let body = Body::PutClaim(PutClaim {
            account: request.account.clone(),
            key: request.key.clone(),
            digest: request.digest.clone(),
            lifetime_ms: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
        });
        self.propose(body, ProposalWaiter::Claim(origin, request));
    }

    /// Answers a claim request with the outcome of its command; without an
    /// outcome the claim is unavailable.
    pub(crate) fn answer_claim(
        &self,
        origin: FrameOrigin,
        request: &ClaimRequest,
        outcome: Option<&CommandOutcome>,
        actions: &mut Actions,
    ) {
        let claim = self.state.claims.find(&request.account, &request.key);
        let mut answer = ClaimAnswer {
            sequence: request.sequence,
            state: ClaimState::Unavailable.into(),
            answer: None,
            claim: claim.map_or(0, |claim| claim.claim),
        };
        match (outcome, claim) {
            (Some(CommandOutcome::Accepted { .. }), Some(_)) => {
                answer.state = ClaimState::Granted.into();
            }
            (Some(CommandOutcome::Refused(EditConflict::Exists)), Some(claim)) => {
                answer.state = claim_state(claim, request).into();
                let answers = answer.state() == ClaimState::Done && !claim.dropped;
                answer.answer = answers.then(|| stored_answer(claim));
            }
            _ => {}
        }
        reply(origin, FrameBody::ClaimAnswer(answer), actions);
    }

    fn handle_outcome(&mut self, origin: FrameOrigin, report: OutcomeReport) {
        let answer = report.answer.unwrap_or_default();
        let body = Body::PutOutcome(PutOutcome {
            account: report.account,
            key: report.key,
            claim: report.claim,
            not_run: report.not_run,
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        });
        self.propose(body, ProposalWaiter::Outcome(origin, report.sequence));
    }

    pub(crate) fn acknowledge_outcome(
        &self,
        origin: FrameOrigin,
        sequence: u64,
        actions: &mut Actions,
    ) {
        reply(
            origin,
            FrameBody::OutcomeAck(OutcomeAck { sequence }),
            actions,
        );
    }

    /// Closes the links that opened before `opened_before` of clients that have one
    /// link only, so that they connect to another instance. A gateway is linked to all
    /// instances already and would only dial this one again.
    pub(crate) fn close_single_links(&mut self, opened_before: Instant, actions: &mut Actions) {
        let links = self.clients.opened_before(opened_before);
        for link in links.filter(|link| !self.rates.is_attached(*link)) {
            actions.push(RoleAction::Link(LinkCommand::Close { link }));
        }
    }
}

fn claim_state(claim: &ClaimRecord, request: &ClaimRequest) -> ClaimState {
    if claim.digest != request.digest {
        ClaimState::Mismatch
    } else if claim.done {
        ClaimState::Done
    } else {
        ClaimState::Pending
    }
}

fn stored_answer(claim: &ClaimRecord) -> StoredAnswer {
    StoredAnswer {
        status: claim.status,
        content_type: claim.content_type.clone(),
        body: claim.body.clone(),
    }
}

/// Wraps a frame for another member that doesn't answer it.
pub(crate) fn unanswered_relay(body: FrameBody) -> FrameBody {
    FrameBody::Relay(Relay {
        sequence: 0,
        frame: Bytes::from(PeerFrame::from(body).encode_to_vec()),
        holder: Bytes::new(),
    })
}

/// Notifies the sender of a frame that it can't be answered now.
pub(crate) fn refuse_client(origin: FrameOrigin, frame: &FrameBody, actions: &mut Actions) {
    if let Some(refusal) = refusal_of(frame) {
        reply(origin, refusal, actions);
    }
}

/// Returns the answer that refuses a frame; `None` for frames that have no such
/// answer.
fn refusal_of(frame: &FrameBody) -> Option<FrameBody> {
    match frame {
        FrameBody::ConfirmQuery(query) => Some(FrameBody::ConfirmAnswer(ConfirmAnswer {
            sequence: query.sequence,
            ..ConfirmAnswer::default()
        })),
        FrameBody::ClaimRequest(request) => Some(FrameBody::ClaimAnswer(ClaimAnswer {
            sequence: request.sequence,
            state: ClaimState::Unavailable.into(),
            ..ClaimAnswer::default()
        })),
        FrameBody::LeaseRequest(request) => Some(FrameBody::LeaseGrant(LeaseGrant {
            sequence: request.sequence,
            account: request.account.clone(),
            unavailable: true,
            ..LeaseGrant::default()
        })),
        FrameBody::TrialRequest(request) => Some(FrameBody::TrialGrant(TrialGrant {
            sequence: request.sequence,
            unavailable: true,
            ..TrialGrant::default()
        })),
        FrameBody::StreamQuery(query) => Some(FrameBody::StreamAnswer(unknown_answer(query))),
        _ => None,
    }
}

/// Sends an answer back to the origin of its frame.
pub(crate) fn reply(origin: FrameOrigin, body: FrameBody, actions: &mut Actions) {
    match origin {
        FrameOrigin::Local(link) => send(link, body, actions),
        FrameOrigin::Relayed { link, sequence } => {
            let frame = Bytes::from(PeerFrame::from(body).encode_to_vec());
            let answer = RelayAnswer { sequence, frame };
            send(link, FrameBody::RelayAnswer(answer), actions);
        }
    }
}
