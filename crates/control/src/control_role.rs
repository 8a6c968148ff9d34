//! The state machine of the control role.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_directory::digest_key;
use mulberrywell_role::{
    header_value, AnswerPart, HttpEvent, HttpRequest, LinkCommand, LinkEvent, LinkId, LogLevel,
    RequestId, RoleAction, RoleEvent, RoleMachine,
};
use mulberrywell_settings::ControlSettings;
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{
    FoundCluster, GiveOperator, LogCommand, PutEndpoint, SetEndpointState,
};
use mulberrywell_wire::config::{ConfirmAnswer, EndpointState};
use mulberrywell_wire::endpoint::{Announce, AnnounceAck, StateReport};
use mulberrywell_wire::request::HeaderField;
use mulberrywell_wire::FrameBody;
use prost::Message;

use crate::cluster_state::{ClusterState, CommandOutcome, EndpointRecord};
use crate::operator_api::{fault, outcome_answer, read_call, OperatorAnswer, OperatorCall};
use crate::update_builder::whole_update;

/// Interval at which silent endpoints are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Name of the operator whose key the settings give.
const FIRST_OPERATOR: &[u8] = b"first";

/// What the role needs to start.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Settings of the role.
    pub settings: ControlSettings,
    /// Name of the instance.
    pub instance: Bytes,
    /// Identity of a cluster that this instance may found.
    pub new_cluster: u64,
    /// Key of the first operator.
    pub operator_key: Bytes,
}

/// Events that only the control role has.
#[derive(Debug)]
pub enum ControlEvent {
    /// An operator's request.
    Http(HttpEvent),
    /// Wall clock in milliseconds since the Unix epoch, for the audit trail.
    Clock(u64),
    /// An entry of the log from before the start.
    Recovered {
        /// Place in the log.
        index: u64,
        /// Encoded command.
        data: Bytes,
    },
    /// The whole log was recovered.
    Ready,
    /// An entry is durable.
    Synced {
        /// Place in the log.
        index: u64,
    },
}

/// Actions that only the control role has.
#[derive(Debug)]
pub enum ControlAction {
    /// Sends a part of an answer to an operator.
    Answer(RequestId, AnswerPart),
    /// Writes an entry of the log; `Synced` follows once it is durable.
    Append {
        /// Place in the log; one more than the last.
        index: u64,
        /// Encoded command.
        data: Bytes,
    },
}

type Actions = Vec<RoleAction<ControlAction>>;

/// Who waits for a command.
#[derive(Debug)]
enum CommandWaiter {
    Nobody,
    Operator(RequestId),
    Agent(LinkId),
}

#[derive(Debug)]
struct PendingCommand {
    command: LogCommand,
    waiter: CommandWaiter,
}

/// The control role.
#[derive(Debug)]
pub struct ControlRole {
    config: ControlConfig,
    state: ClusterState,
    /// Set once the log was recovered; nothing is served or proposed before.
    ready: bool,
    /// Last place given out.
    last_index: u64,
    /// By place; each is greater than `state.applied`.
    pending: BTreeMap<u64, PendingCommand>,
    subscribers: BTreeSet<LinkId>,
    /// When each endpoint was last heard of.
    heard: BTreeMap<Bytes, Instant>,
    next_sweep: Instant,
    /// Milliseconds since the Unix epoch.
    clock_ms: u64,
}

impl ControlRole {
    /// Creates the role; it serves once the log was recovered.
    pub fn new(config: ControlConfig, now: Instant) -> Self {
        ControlRole {
            config,
            state: ClusterState::default(),
            ready: false,
            last_index: 0,
            pending: BTreeMap::new(),
            subscribers: BTreeSet::new(),
            heard: BTreeMap::new(),
            next_sweep: now + SWEEP_INTERVAL,
            clock_ms: 0,
        }
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &ClusterState {
        &self.state
    }

    fn recover(&mut self, index: u64, data: Bytes, actions: &mut Actions) {
        match LogCommand::decode(data) {
            Ok(command) => {
                self.state.apply(index, &command);
            }
            Err(err) => {
                let text = format!("log entry {index} can't be read: {err}");
                actions.push(RoleAction::Log(LogLevel::Error, text));
            }
        }
        self.last_index = index;
    }

    /// Founds a cluster when the log is empty and the settings allow it.
    fn recovered(&mut self, now: Instant, actions: &mut Actions) {
        self.ready = true;
        for name in self.state.endpoints.keys() {
            self.heard.insert(name.clone(), now);
        }
        if self.last_index > 0 || !self.config.settings.bootstrap {
            return;
        }
        let cluster = self.config.new_cluster;
        let text = format!("founds cluster {cluster:016x}");
        actions.push(RoleAction::Log(LogLevel::Info, text));
        let found = Body::FoundCluster(FoundCluster { cluster });
        self.propose(found, self.config.instance.clone(), actions);
        let operator = Body::GiveOperator(GiveOperator {
            name: Bytes::from_static(FIRST_OPERATOR),
            digest: digest_key(&self.config.operator_key),
        });
        self.propose(operator, self.config.instance.clone(), actions);
    }

    /// Proposes a command of the system's own.
    fn propose(&mut self, body: Body, actor: Bytes, actions: &mut Actions) {
        self.propose_for(body, actor, Bytes::new(), CommandWaiter::Nobody, actions);
    }

    fn propose_for(
        &mut self,
        body: Body,
        actor: Bytes,
        request_id: Bytes,
        waiter: CommandWaiter,
        actions: &mut Actions,
    ) {
        let command = LogCommand {
            at_ms: self.clock_ms,
            actor,
            request_id,
            body: Some(body),
        };
        self.last_index += 1;
        let index = self.last_index;
        let data = Bytes::from(command.encode_to_vec());
        actions.push(RoleAction::Own(ControlAction::Append { index, data }));
        self.pending
            .insert(index, PendingCommand { command, waiter });
    }

    fn synced(&mut self, now: Instant, index: u64, actions: &mut Actions) {
        while let Some(entry) = self.pending.first_entry() {
            if *entry.key() > index {
                break;
            }
            let (index, pending) = entry.remove_entry();
            let version = self.state.version;
            let outcome = self.state.apply(index, &pending.command);
            if self.state.version != version {
                self.distribute(actions);
            }
            self.report_outcome(now, &pending, &outcome, actions);
        }
    }

    fn report_outcome(
        &mut self,
        now: Instant,
        pending: &PendingCommand,
        outcome: &CommandOutcome,
        actions: &mut Actions,
    ) {
        match pending.waiter {
            CommandWaiter::Nobody => {}
            CommandWaiter::Operator(request) => {
                answer(request, &outcome_answer(outcome), actions);
            }
            CommandWaiter::Agent(link) => {
                if let Some(Body::PutEndpoint(put)) = &pending.command.body {
                    let name = put.endpoint.as_ref().map(|item| item.name.clone());
                    self.acknowledge(now, link, &name.unwrap_or_default(), outcome, actions);
                }
            }
        }
    }

    fn acknowledge(
        &mut self,
        now: Instant,
        link: LinkId,
        name: &Bytes,
        outcome: &CommandOutcome,
        actions: &mut Actions,
    ) {
        let Some(record) = self.state.endpoints.get(name) else {
            return;
        };
        self.heard.insert(name.clone(), now);
        let body = FrameBody::AnnounceAck(AnnounceAck {
            incarnation: record.item.incarnation,
            fencing: record.item.fencing,
            accepted: matches!(outcome, CommandOutcome::Accepted { .. }),
            draining: record.item.state() == EndpointState::Leaving,
        });
        actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
    }

    fn distribute(&self, actions: &mut Actions) {
        for link in &self.subscribers {
            actions.push(RoleAction::Link(LinkCommand::Send {
                link: *link,
                body: FrameBody::Update(whole_update(&self.state)),
            }));
        }
    }

    fn take_frame(&mut self, now: Instant, link: LinkId, body: FrameBody, actions: &mut Actions) {
        if !self.ready {
            // The peer dials again, here or elsewhere.
            actions.push(RoleAction::Link(LinkCommand::Close { link }));
            return;
        }
        match body {
            FrameBody::Subscribe(_) => {
                self.subscribers.insert(link);
                let body = FrameBody::Update(whole_update(&self.state));
                actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
            }
            FrameBody::ConfirmQuery(query) => {
                let body = FrameBody::ConfirmAnswer(ConfirmAnswer {
                    sequence: query.sequence,
                    version: self.state.version,
                    confirmed: self.state.cluster != 0,
                    age_ms: 0,
                });
                actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
            }
            FrameBody::Announce(announce) => self.take_announce(now, link, announce, actions),
            FrameBody::StateReport(report) => self.take_report(now, &report, actions),
            _ => {}
        }
    }

    fn take_announce(
        &mut self,
        now: Instant,
        link: LinkId,
        announce: Announce,
        actions: &mut Actions,
    ) {
        let Some(item) = &announce.endpoint else {
            return;
        };
        let name = item.name.clone();
        if self
            .state
            .endpoints
            .get(&name)
            .is_some_and(|known| is_same(known, &announce))
        {
            let version = self.state.version;
            let outcome = CommandOutcome::Accepted { version };
            self.acknowledge(now, link, &name, &outcome, actions);
            return;
        }
        let body = Body::PutEndpoint(PutEndpoint {
            endpoint: announce.endpoint,
            memory_mib: announce.memory_mib,
            slots: announce.slots,
            accelerators: announce.accelerators,
        });
        let waiter = CommandWaiter::Agent(link);
        self.propose_for(body, name, Bytes::new(), waiter, actions);
    }

    fn take_report(&mut self, now: Instant, report: &StateReport, actions: &mut Actions) {
        let Some(known) = self.state.endpoints.get(&report.endpoint) else {
            return;
        };
        if known.item.incarnation != report.incarnation {
            return;
        }
        self.heard.insert(report.endpoint.clone(), now);
        if known.item.state() == EndpointState::Suspect {
            self.propose_state(&report.endpoint.clone(), EndpointState::Live, actions);
        }
    }

    fn propose_state(&mut self, name: &Bytes, state: EndpointState, actions: &mut Actions) {
        let Some(known) = self.state.endpoints.get(name) else {
            return;
        };
        let body = Body::SetEndpointState(SetEndpointState {
            name: name.clone(),
            incarnation: known.item.incarnation,
            state: state.into(),
        });
        let waiting = self
            .pending
            .values()
            .any(|pending| pending.command.body.as_ref() == Some(&body));
        if !waiting {
            self.propose(body, self.config.instance.clone(), actions);
        }
    }

    /// Marks endpoints that have been silent.
    fn sweep(&mut self, now: Instant, actions: &mut Actions) {
        let settings = &self.config.settings;
        let mut changes = Vec::new();
        for (name, record) in &self.state.endpoints {
            let heard = self.heard.get(name).copied().unwrap_or(now);
            let silent = now.saturating_duration_since(heard);
            let state = record.item.state();
            if silent >= settings.gone_after {
                changes.push((name.clone(), EndpointState::Gone));
            } else if silent >= settings.suspect_after && state == EndpointState::Live {
                changes.push((name.clone(), EndpointState::Suspect));
            }
        }
        for (name, state) in changes {
            self.propose_state(&name, state, actions);
        }
    }

    fn take_http(&mut self, request: RequestId, http: &HttpRequest, actions: &mut Actions) {
        if http.path.as_ref() == b"/healthz" {
            let body = serde_json::json!({ "status": "running" });
            answer(request, &OperatorAnswer { status: 200, body }, actions);
            return;
        }
        if !self.ready {
            let refusal = fault(503, "not_ready", "the log is not recovered yet");
            answer(request, &refusal, actions);
            return;
        }
        let Some(operator) = self.operator_of(http) else {
            let refusal = fault(
                401,
                "invalid_operator_key",
                "no operator key, or a wrong one",
            );
            answer(request, &refusal, actions);
            return;
        };
        match read_call(&self.state, &http.method, &http.path, &http.body) {
            Ok(OperatorCall::Read(reply)) | Err(reply) => answer(request, &reply, actions),
            Ok(OperatorCall::Change { body, request_id }) => {
                let waiter = CommandWaiter::Operator(request);
                self.propose_for(body, operator, request_id, waiter, actions);
            }
        }
    }

    fn operator_of(&self, http: &HttpRequest) -> Option<Bytes> {
        let value = header_value(&http.headers, "Authorization")?;
        let key = value.strip_prefix(b"Bearer ")?;
        let digest = digest_key(key.trim_ascii());
        self.state
            .operators
            .iter()
            .find(|(_, known)| **known == digest)
            .map(|(name, _)| name.clone())
    }
}

impl RoleMachine for ControlRole {
    type Event = ControlEvent;
    type Action = ControlAction;

    fn handle(&mut self, now: Instant, event: RoleEvent<ControlEvent>, actions: &mut Actions) {
        match event {
            RoleEvent::Link(LinkEvent::Opened { .. }) => {}
            RoleEvent::Link(LinkEvent::Closed { link }) => {
                self.subscribers.remove(&link);
            }
            RoleEvent::Link(LinkEvent::Frame { link, body }) => {
                self.take_frame(now, link, body, actions);
            }
            RoleEvent::Timer => {
                if self.next_sweep <= now && self.ready {
                    self.next_sweep = now + SWEEP_INTERVAL;
                    self.sweep(now, actions);
                }
            }
            RoleEvent::Shutdown => actions.push(RoleAction::Finished),
            RoleEvent::Own(ControlEvent::Http(HttpEvent::Request { request, http })) => {
                self.take_http(request, &http, actions);
            }
            RoleEvent::Own(ControlEvent::Http(HttpEvent::Gone { .. })) => {}
            RoleEvent::Own(ControlEvent::Clock(clock_ms)) => self.clock_ms = clock_ms,
            RoleEvent::Own(ControlEvent::Recovered { index, data }) => {
                self.recover(index, data, actions);
            }
            RoleEvent::Own(ControlEvent::Ready) => self.recovered(now, actions),
            RoleEvent::Own(ControlEvent::Synced { index }) => self.synced(now, index, actions),
        }
    }

    fn deadline(&self) -> Option<Instant> {
        self.ready.then_some(self.next_sweep)
    }
}

/// Tells whether an announcement changes nothing but the state and token that
/// control itself sets.
fn is_same(known: &EndpointRecord, announce: &Announce) -> bool {
    let Some(item) = &announce.endpoint else {
        return false;
    };
    let mut item = item.clone();
    item.fencing = known.item.fencing;
    if item.state() == EndpointState::Live {
        item.state = known.item.state;
    }
    known.item == item
        && known.memory_mib == announce.memory_mib
        && known.slots == announce.slots
        && known.accelerators == announce.accelerators
}

fn answer(request: RequestId, reply: &OperatorAnswer, actions: &mut Actions) {
    let body = Bytes::from(reply.body.to_string());
    let headers = vec![HeaderField {
        name: Bytes::from_static(b"Content-Type"),
        value: Bytes::from_static(b"application/json"),
    }];
    let parts = [
        AnswerPart::Head {
            status: reply.status,
            headers,
            length: Some(body.len() as u64),
        },
        AnswerPart::Data(body),
        AnswerPart::End,
    ];
    for part in parts {
        actions.push(RoleAction::Own(ControlAction::Answer(request, part)));
    }
}
