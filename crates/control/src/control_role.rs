//! The state machine of the control role.
//!
//! Purpose: each control instance runs a member of the replicated log and the
//! state built from the log's commands. It serves entries, agents and operators
//! itself and forwards to the leader what only the leader may decide.
//!
//! Guarantees: an answer that gives the requester a guarantee is based on a
//! committed command or on a read confirmed by a quorum; without either, the
//! requester is refused immediately. Inputs of the consensus node are queued and
//! processed before `handle` returns, so no call leaves unprocessed inputs
//! behind.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_consensus::{
    ConsensusNode, LogIndex, MemberId, Membership, NodeConfig, NodeInput, NodeOutput, NodeRole,
    RecoveredState, Term,
};
use mulberrywell_limit::PermitIssuer;
use mulberrywell_role::{
    HttpEvent, LinkCommand, LinkEvent, LinkId, LogLevel, RoleAction, RoleEvent, RoleMachine,
};
use mulberrywell_settings::{ControlSettings, Finding, FindingList};
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{LogCommand, MemberItem};
use mulberrywell_wire::serving::EndedEndpoint;
use mulberrywell_wire::FrameBody;
use prost::Message;

use crate::client_frames::ClientTask;
use crate::client_links::ClientLinks;
use crate::cluster_state::ClusterState;
use crate::control_event::{ControlAction, ControlEvent};
use crate::control_shutdown::ShutdownState;
use crate::endpoint_chart::EndpointChart;
use crate::endpoint_monitor::EndpointMonitor;
use crate::evacuation_view::EvacuationView;
use crate::lease_issuer::LeaseIssuer;
use crate::load_tracker::LoadTracker;
use crate::member_driver::MemberDriver;
use crate::member_status::StatusTable;
use crate::observed_state::ObservedState;
use crate::operator_calls::OperatorTask;
use crate::order_dispatcher::OrderDispatcher;
use crate::peer_links::PeerLinks;
use crate::placement_task::PlacementTask;
use crate::prompt_monitor::PromptMonitor;
use crate::proposal_table::{ProposalTable, ProposalWaiter};
use crate::rate_counter::RateCounter;
use crate::read_rounds::ReadRounds;
use crate::relay_table::RelayTable;
use crate::serving_calls::{ServingChange, ServingTask};
use crate::serving_registry::ServingRegistry;
use crate::stream_registry::StreamRegistry;
use crate::subscriber_table::SubscriberTable;

/// Interval of the role's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an event after which the process is treated as having been
/// suspended: more than twice the interval of its periodic work.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Configuration of the role.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Settings of the role.
    pub settings: ControlSettings,
    /// Name of the instance.
    pub instance: Bytes,
    /// Availability zone.
    pub zone: Bytes,
    /// Address that other processes connect to.
    pub advertise: std::net::SocketAddr,
    /// Address that the instance listens on for them.
    pub listen: std::net::SocketAddr,
    /// Addresses of the seed control instances.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Identity of the cluster that this instance may found.
    pub new_cluster_id: u64,
    /// Key of the first operator; empty if there is no operator API.
    pub operator_key: Bytes,
}

pub(crate) type Actions = Vec<RoleAction<ControlAction>>;

/// A task that needs a read confirmed by a quorum.
#[derive(Debug)]
pub(crate) enum ReadTask {
    Operator(OperatorTask),
    Client(ClientTask),
    Serving(ServingTask),
}

impl ReadTask {
    /// Returns whether the task acknowledges a change.
    fn is_change(&self) -> bool {
        match self {
            ReadTask::Operator(task) => task.call.method != "GET",
            ReadTask::Client(task) => matches!(task.frame, FrameBody::ClaimRequest(_)),
            ReadTask::Serving(task) => !matches!(task.change, ServingChange::Read),
        }
    }
}

/// The control role.
#[derive(Debug)]
pub struct ControlRole {
    pub(crate) config: ControlConfig,
    pub(crate) state: ClusterState,
    pub(crate) node: ConsensusNode,
    /// Processed before `handle` returns.
    inputs: VecDeque<NodeInput>,
    /// Reused between inputs.
    outputs: Vec<NodeOutput>,
    pub(crate) role: NodeRole,
    pub(crate) term: Term,
    /// Term of the last entry applied since the process started.
    pub(crate) applied_term: Term,
    pub(crate) leader: Option<MemberId>,
    /// Since when this instance has neither led nor been linked to the leader;
    /// `None` while it does either.
    pub(crate) leaderless_since: Option<Instant>,
    pub(crate) membership: Membership,
    pub(crate) proposals: ProposalTable,
    pub(crate) reads: ReadRounds<ReadTask>,
    pub(crate) relays: RelayTable,
    pub(crate) peers: PeerLinks,
    pub(crate) clients: ClientLinks,
    pub(crate) subscribers: SubscriberTable,
    pub(crate) serving: ServingRegistry,
    /// When a line last told of a status for which there was no memory.
    pub(crate) refused_status_logged: Option<Instant>,
    /// Records of endpoints that drain or have gone, applied to the state since the statuses
    /// were updated.
    pub(crate) ended_unapplied: Vec<EndedEndpoint>,
    pub(crate) evacuations: EvacuationView,
    pub(crate) orders: OrderDispatcher,
    /// Permits for requests to endpoints with a limit, of the leader.
    pub(crate) permits: PermitIssuer,
    pub(crate) rates: RateCounter,
    pub(crate) streams: StreamRegistry,
    pub(crate) loads: LoadTracker,
    pub(crate) prompts: PromptMonitor,
    pub(crate) monitor: EndpointMonitor,
    pub(crate) observed: ObservedState,
    pub(crate) leases: LeaseIssuer,
    pub(crate) placement: PlacementTask,
    pub(crate) members: MemberDriver,
    /// Members without a link to this leader, with the time since when each has
    /// had none.
    pub(crate) absent_since: BTreeMap<MemberId, Instant>,
    pub(crate) status: StatusTable,
    /// Members as recorded in the log that was recovered, by id, with the indexes of
    /// the entries: without a leader these are never applied.
    recorded_members: BTreeMap<MemberId, (LogIndex, MemberItem)>,
    /// Whether this instance may still found a cluster.
    pub(crate) may_found: bool,
    /// When the process started.
    pub(crate) started: Instant,
    /// Time of the last event.
    last_event: Instant,
    /// Time of the last periodic work.
    pub(crate) last_tick: Instant,
    next_tick: Instant,
    /// Milliseconds since the Unix epoch.
    pub(crate) clock_ms: u64,
    pub(crate) shutdown: ShutdownState,
    /// Reused for commands from the link tables.
    pub(crate) commands: Vec<LinkCommand>,
}

impl ControlRole {
    /// Sets the memory in bytes that the statuses of endpoints may take.
    pub fn set_status_memory(&mut self, memory: usize) {
        self.serving.endpoints.set_memory_max(memory);
    }

    /// Creates the role from its recovered data.
    ///
    /// # Errors
    /// Fails with the findings of the state charts, or with a finding for a
    /// snapshot that can't be decoded.
    pub fn open(
        config: ControlConfig,
        recovered: RecoveredState,
        now: Instant,
    ) -> Result<Self, Vec<Finding>> {
        let chart = EndpointChart::open()?;
        let members = MemberDriver::open()?;
        let state = recovered_state(&recovered, chart)?;
        let member = MemberItem {
            id: recovered.member,
            name: config.instance.clone(),
            address: Bytes::from(config.advertise.to_string()),
            zone: config.zone.clone(),
            operator_address: config
                .settings
                .operator_listen
                .map_or_else(Bytes::new, |address| Bytes::from(address.to_string())),
            observer: config.settings.data_folder.is_none(),
        };
        let node_config = NodeConfig {
            // The node mixes the id of its member into the seed.
            seed: config.new_cluster_id,
            ..NodeConfig::default()
        };
        let evacuations = EvacuationView::recover(&recovered, &state);
        let recorded_members = recorded_members(&recovered);
        let placement = PlacementTask::new(&config.settings, now);
        let empty = recovered.snapshot.is_none() && recovered.entries.is_empty();
        let node = ConsensusNode::open(node_config, recovered, now);
        let membership = node.membership().clone();
        let rate_epoch = config.new_cluster_id;
        let may_found = empty && config.settings.bootstrap && !member.observer;
        let addresses = [config.advertise, config.listen];
        let mut peers = PeerLinks::new(member, addresses, config.seeds.clone(), now);
        peers.set_empty(empty);
        Ok(ControlRole {
            peers,
            config,
            node,
            inputs: VecDeque::new(),
            outputs: Vec::new(),
            role: NodeRole::Follower,
            term: 0,
            applied_term: 0,
            leader: None,
            leaderless_since: None,
            membership,
            proposals: ProposalTable::default(),
            reads: ReadRounds::default(),
            relays: RelayTable::default(),
            clients: ClientLinks::default(),
            subscribers: SubscriberTable::default(),
            serving: ServingRegistry::default(),
            refused_status_logged: None,
            ended_unapplied: Vec::new(),
            evacuations,
            orders: OrderDispatcher::default(),
            permits: PermitIssuer::default(),
            rates: RateCounter::new(rate_epoch, now),
            streams: StreamRegistry::default(),
            loads: LoadTracker::default(),
            prompts: PromptMonitor::default(),
            monitor: EndpointMonitor::new(now),
            observed: ObservedState::default(),
            leases: LeaseIssuer::restore(now, &state),
            placement,
            state,
            members,
            absent_since: BTreeMap::new(),
            status: StatusTable::new(now),
            recorded_members,
            may_found,
            started: now,
            last_event: now,
            last_tick: now,
            next_tick: now,
            clock_ms: 0,
            shutdown: ShutdownState::default(),
            commands: Vec::new(),
        })
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &ClusterState {
        &self.state
    }

    /// Returns the most recent reports of endpoints and entries.
    pub fn observed(&self) -> &ObservedState {
        &self.observed
    }

    /// Returns whether this instance is the leader.
    pub fn is_leader(&self) -> bool {
        self.role == NodeRole::Leader
    }

    /// Returns whether this leader's lease is valid, so that no other instance
    /// can lead now.
    pub(crate) fn has_lease(&self, now: Instant) -> bool {
        self.node.lease_until().is_some_and(|until| now < until)
    }

    /// Returns the link to the leader, if another instance leads.
    pub(crate) fn leader_link(&self) -> Option<LinkId> {
        let leader = self.leader.filter(|_| !self.is_leader())?;
        self.peers.link_of(leader)
    }

    /// Returns the latest record of a member, committed or not.
    pub(crate) fn latest_member(&self, id: MemberId) -> Option<&MemberItem> {
        let recorded = self.recorded_members.get(&id);
        let recorded = recorded.filter(|(index, _)| *index > self.state.applied);
        match recorded {
            Some((_, item)) => Some(item),
            None => self.state.members.get(&id),
        }
    }

    /// Adds an input to the queue of the consensus node.
    pub(crate) fn enqueue(&mut self, input: NodeInput) {
        self.inputs.push_back(input);
    }

    /// Proposes a command on behalf of this instance.
    pub(crate) fn propose(&mut self, body: Body, waiter: ProposalWaiter) {
        let actor = self.config.instance.clone();
        self.propose_as(body, actor, Bytes::new(), waiter);
    }

    /// Proposes a command.
    pub(crate) fn propose_as(
        &mut self,
        body: Body,
        actor: Bytes,
        request_id: Bytes,
        waiter: ProposalWaiter,
    ) {
        let command = LogCommand {
            at_ms: self.clock_ms,
            actor,
            request_id,
            body: Some(body),
        };
        let proposal = self.proposals.insert(waiter);
        let data = Bytes::from(command.encode_to_vec());
        self.enqueue(NodeInput::Propose { proposal, data });
    }

    /// Proposes the token blocks that are due.
    pub(crate) fn propose_blocks(&mut self, now: Instant) {
        if let Some(blocks) = self.leases.due_blocks(now) {
            self.propose(blocks, ProposalWaiter::Blocks);
        }
    }

    /// Processes all queued inputs, the tasks they made ready and the updates
    /// they caused.
    fn process_inputs(&mut self, now: Instant, actions: &mut Actions) {
        loop {
            // A new leader starts no read before it has applied the first entry
            // of its term.
            if !self.is_leader() || self.applied_term == self.term {
                if let Some(read) = self.reads.start() {
                    self.enqueue(NodeInput::ReadIndex { read });
                }
            }
            let Some(input) = self.inputs.pop_front() else {
                break;
            };
            let mut outputs = std::mem::take(&mut self.outputs);
            self.node.handle(now, input, &mut outputs);
            for output in outputs.drain(..) {
                self.handle_output(now, output, actions);
            }
            self.outputs = outputs;
            for task in self.reads.pop_ready(self.state.applied) {
                self.execute_task(now, task, actions);
            }
        }
        self.apply_ended();
        self.subscribers.distribute(&self.state, &mut self.commands);
        let peers = self.peers.member_links();
        let evacuations = (&self.evacuations, self.clock_ms);
        self.serving
            .distribute(now, &self.state, evacuations, &peers, &mut self.commands);
        self.flush_commands(actions);
    }

    fn execute_task(&mut self, now: Instant, task: ReadTask, actions: &mut Actions) {
        if task.is_change() && self.has_lone_copy() {
            self.fail_task(task, actions);
            return;
        }
        match task {
            ReadTask::Operator(task) => self.execute_call(task, actions),
            ReadTask::Client(task) => self.execute_client_task(now, task, actions),
            ReadTask::Serving(task) => self.execute_serving_call(task, actions),
        }
    }

    /// Returns whether a change would be acknowledged on this instance's disk alone
    /// although another one with a disk is about to become a voter.
    fn has_lone_copy(&self) -> bool {
        self.node.is_lone_quorum()
            && self
                .members
                .awaits_voter(self.member_view(&BTreeMap::new()))
    }

    pub(crate) fn flush_commands(&mut self, actions: &mut Actions) {
        actions.extend(self.commands.drain(..).map(RoleAction::Link));
    }

    fn handle_link_event(&mut self, now: Instant, event: LinkEvent, actions: &mut Actions) {
        match event {
            LinkEvent::Opened { link, peer } => self.handle_opened(now, link, peer, actions),
            LinkEvent::Closed { link } => {
                for requester in self.relays.remove_link(link) {
                    self.refuse_requester(requester, actions);
                }
                if !self.peers.remove_link(now, link) {
                    self.subscribers.remove(link);
                    self.serving.detach(link);
                    self.rates.remove(now, link);
                    self.loads.remove(link);
                    let holder = self.clients.holder(link);
                    self.prompts.remove(now, link, &holder);
                    self.monitor.remove_link(link);
                    self.clients.remove(link);
                }
            }
            LinkEvent::Frame { link, body } => {
                if self.peers.is_peer(link) {
                    self.handle_peer_frame(now, link, body, actions);
                } else {
                    self.handle_client_frame(now, link, body, actions);
                }
            }
        }
    }

    fn handle_timer(&mut self, now: Instant, actions: &mut Actions) {
        if self.node.deadline().is_some_and(|at| at <= now) {
            self.enqueue(NodeInput::Timer);
        }
        self.peers.dial(now, &mut self.commands);
        for requester in self.relays.expire(now) {
            self.refuse_requester(requester, actions);
        }
        if self.orders.deadline().is_some_and(|at| at <= now) {
            self.dispatch_orders(now, actions);
        }
        if self.next_tick <= now {
            self.next_tick = now + TICK_INTERVAL;
            self.tick(now, actions);
            self.last_tick = now;
        }
    }
}

impl RoleMachine for ControlRole {
    type Event = ControlEvent;
    type Action = ControlAction;

    fn handle(&mut self, now: Instant, event: RoleEvent<ControlEvent>, actions: &mut Actions) {
        let pause = now.saturating_duration_since(self.last_event);
        self.last_event = now;
        if pause >= STALL_THRESHOLD {
            // Advance the node's timers first, so that no decision relies on a
            // leadership that expired while the process was suspended.
            self.enqueue(NodeInput::Timer);
            self.process_inputs(now, actions);
        }
        match event {
            RoleEvent::Link(event) => self.handle_link_event(now, event, actions),
            RoleEvent::Timer => self.handle_timer(now, actions),
            RoleEvent::Shutdown => self.begin_shutdown(now),
            // Both arrive decoded, as events of the control role.
            RoleEvent::Exchange(_) | RoleEvent::Http(..) => {}
            RoleEvent::RoleSpecific(event) => match event {
                ControlEvent::OrderAnswered { order, answer } => {
                    self.handle_order_answer(now, &order, answer, actions);
                }
                ControlEvent::InventoryRead { query, inventory } => {
                    self.handle_inventory(now, &query, inventory.as_ref(), actions);
                }
                ControlEvent::Serving { request, call } => {
                    self.handle_serving_call(now, request, call, actions);
                }
                ControlEvent::Http(HttpEvent::Request { request, http }) => {
                    self.handle_http(now, request, http, actions);
                }
                ControlEvent::Http(HttpEvent::Disconnected { .. }) => {}
                ControlEvent::Seeds(seeds) => self.peers.set_seeds(now, seeds),
                ControlEvent::Clock(clock_ms) => {
                    self.clock_ms = clock_ms;
                    return;
                }
                ControlEvent::Persisted { ticket } => self.enqueue(NodeInput::Persisted { ticket }),
                ControlEvent::DiskFull => {
                    let text = "disk full; retrying the log write".to_owned();
                    actions.push(RoleAction::Log(LogLevel::Error, text));
                    self.enqueue(NodeInput::DiskFull);
                }
                ControlEvent::SnapshotSaved { index } => {
                    self.enqueue(NodeInput::SnapshotSaved { index });
                }
                ControlEvent::SnapshotSaveFailed { index } => {
                    self.enqueue(NodeInput::SnapshotSaveFailed { index });
                }
            },
        }
        self.process_inputs(now, actions);
        self.check_shutdown(now, actions);
    }

    fn deadline(&self) -> Option<Instant> {
        [
            self.node.deadline(),
            self.peers.deadline(),
            self.relays.deadline(),
            self.orders.deadline(),
            self.shutdown.deadline(self.last_event),
            Some(self.next_tick),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn recovered_state(
    recovered: &RecoveredState,
    chart: EndpointChart,
) -> Result<ClusterState, Vec<Finding>> {
    let Some(image) = &recovered.snapshot else {
        return Ok(ClusterState::new(chart));
    };
    let decoded = ClusterState::decode_snapshot(image.data.clone(), chart);
    let mut state = decoded.map_err(|err| {
        let mut findings = FindingList::new("snapshot", "");
        findings.add(&(0..0), err.to_string());
        findings.finish(()).err().unwrap_or_default()
    })?;
    // Log entries without a command may follow the last command.
    state.applied = state.applied.max(image.meta.index);
    Ok(state)
}

/// Returns the members that the entries of a recovered log record.
fn recorded_members(recovered: &RecoveredState) -> BTreeMap<MemberId, (LogIndex, MemberItem)> {
    let mut members = BTreeMap::new();
    for entry in &recovered.entries {
        let data = entry.command();
        let command = data.and_then(|data| LogCommand::decode(data.clone()).ok());
        let Some(Body::PutMember(put)) = command.and_then(|it| it.body) else {
            continue;
        };
        if let Some(item) = put.member {
            members.insert(item.id, (entry.index, item));
        }
    }
    members
}

/// Sends a frame.
pub(crate) fn send(link: LinkId, body: FrameBody, actions: &mut Actions) {
    actions.push(RoleAction::Link(LinkCommand::Send { link, body }));
}
