//! Simulation of one run: the event loop, the agents and their engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_agent::{AgentAction, AgentConfig, AgentEvent, AgentRole, RunId};
use mulberrywell_role::{LinkCommand, LinkEvent, LinkId, RoleAction, RoleEvent, RoleMachine};
use mulberrywell_settings::{EndpointKind, EndpointSettings};
use mulberrywell_wire::{FrameBody, PeerIdentity, PeerRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::bench_control::BenchControl;
use crate::bench_entry::{BenchEntries, SentFrame};
use crate::bench_matrix::{Deployment, Scenario, Variant};
use crate::event_queue::EventQueue;
use crate::fake_engine::{FakeEngine, FakeStore, KV_RESERVE_MIB, MEMORY_MIB, SLOTS};
use crate::request_stream::{generate_requests, BenchRequest, CHANGE_SECONDS, RUN_SECONDS};
use crate::run_result::RunResult;

/// One-way delay within an availability zone, and from an agent to its engine, in
/// microseconds.
const SAME_ZONE_US: u64 = 200;

/// Intervals of the planner and of the reachability check, in microseconds.
const PLAN_US: u64 = 1_000_000;
const REACHABILITY_CHECK_US: u64 = 250_000;

/// Times of faults and edits in microseconds.
const FAULT_US: u64 = (CHANGE_SECONDS * 1e6) as u64;
const REPAIR_US: u64 = FAULT_US + 60_000_000;
const LEADER_LOSS_US: u64 = 10_000_000;
const EDIT_US: u64 = 15_000_000;

/// Time after which an entry detects the loss of an agent's link, in microseconds.
const LINK_LOSS_DETECTION_US: u64 = 200_000;

/// Maximum delay of a late order, in microseconds.
const LATE_ORDER_MAX_US: u64 = 5_000_000;

/// An event of the simulation.
enum BenchEvent {
    Arrival(usize),
    /// An event for an agent's role, ignored if the agent has restarted since.
    Agent(usize, u64, Box<RoleEvent<AgentEvent>>),
    /// The engine has completed an answer; ignored if the agent has restarted.
    EngineEnd(usize, u64, RunId),
    AgentTimer(usize, u64),
    Entry(usize, usize, FrameBody),
    Control(usize, FrameBody),
    LinkLost(usize),
    Plan,
    ReachabilityCheck,
    Fault,
    Repair,
    Edit,
}

/// An endpoint: an agent with its engine.
struct BenchAgent {
    role: AgentRole,
    engine: FakeEngine,
    incarnation: u64,
    alive: bool,
    /// Time of the scheduled timer.
    timer_us: u64,
    /// Index of the request of each engine run.
    runs: BTreeMap<RunId, usize>,
}

/// The simulation of one run.
pub struct BenchSimulation<'a> {
    deployment: &'a Deployment,
    scenario: Scenario,
    start: Instant,
    now_us: u64,
    queue: EventQueue<BenchEvent>,
    agents: Vec<BenchAgent>,
    entries: BenchEntries<'a>,
    control: BenchControl<'a>,
    store: FakeStore,
    requests: Vec<BenchRequest>,
    random: Pcg64Mcg,
    actions: Vec<RoleAction<AgentAction>>,
    result: RunResult,
    /// Body of the longest answer, with one event per token.
    token_events: Bytes,
}

/// Encoded event of one token.
const TOKEN_EVENT: &[u8] = b"data: a\n\n";

impl<'a> BenchSimulation<'a> {
    /// Creates a simulation with the even placement that all variants start from.
    pub fn new(
        deployment: &'a Deployment,
        scenario: Scenario,
        variant: &'a Variant,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let requests = generate_requests(deployment, scenario, &mut random);
        let control = BenchControl::new(deployment, variant, start);
        let mut simulation = BenchSimulation {
            deployment,
            scenario,
            start,
            now_us: 0,
            queue: EventQueue::default(),
            agents: Vec::new(),
            entries: BenchEntries::new(deployment, variant),
            store: FakeStore::new(deployment),
            requests,
            random,
            actions: Vec::new(),
            result: RunResult::default(),
            token_events: Bytes::from(TOKEN_EVENT.repeat(200)),
            control,
        };
        for idx in 0..deployment.endpoints {
            let mut engine = FakeEngine::default();
            for (model, memory_mib) in simulation.control.initial_models(idx) {
                engine.preload(model, memory_mib);
            }
            let agent = simulation.new_agent(idx, 1, engine);
            simulation.agents.push(agent);
        }
        simulation
    }

    fn new_agent(&self, idx: usize, incarnation: u64, engine: FakeEngine) -> BenchAgent {
        let settings = EndpointSettings {
            name: Bytes::from(format!("engine-{idx:04}")),
            pool: Bytes::from_static(b"pool"),
            kind: EndpointKind::Engine,
            address: ([127, 0, 0, 1], 1).into(),
            memory_mib: MEMORY_MIB,
            kv_reserve_mib: KV_RESERVE_MIB,
            slots: SLOTS,
            queue: 64,
            accelerators: 1,
            software: Bytes::new(),
            checks_fencing: true,
            order_lifetime: Duration::from_secs(10),
            load_interval: Duration::from_millis(150),
            shutdown_grace: Duration::from_secs(60),
        };
        let config = AgentConfig {
            settings,
            seeds: vec![([127, 0, 0, 1], 2).into()],
            advertise: ([127, 0, 0, 1], 3).into(),
            incarnation,
            zone: Bytes::from(format!("zone-{}", idx % self.deployment.zones)),
            region: Bytes::from_static(b"region"),
        };
        BenchAgent {
            role: AgentRole::new(config, self.instant(self.now_us)),
            engine,
            incarnation,
            alive: true,
            timer_us: 0,
            runs: BTreeMap::new(),
        }
    }

    fn instant(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> RunResult {
        for idx in 0..self.agents.len() {
            self.connect(idx);
        }
        for idx in 0..self.requests.len() {
            let at_us = self.requests[idx].at_us;
            self.queue.push(at_us, BenchEvent::Arrival(idx));
        }
        self.queue.push(PLAN_US, BenchEvent::Plan);
        self.queue
            .push(REACHABILITY_CHECK_US, BenchEvent::ReachabilityCheck);
        self.queue.push(FAULT_US, BenchEvent::Fault);
        self.queue.push(REPAIR_US, BenchEvent::Repair);
        self.queue.push(EDIT_US, BenchEvent::Edit);
        while let Some((at_us, event)) = self.queue.pop() {
            if at_us > (RUN_SECONDS * 1e6) as u64 + 20_000_000 {
                break;
            }
            self.now_us = at_us;
            self.handle_event(event);
        }
        self.result.moves = self.store.loads;
        for agent in &self.agents {
            self.result.record_peak(agent.engine.peak_mib, MEMORY_MIB);
        }
        let accelerators = self.deployment.endpoints;
        self.entries
            .evaluate(self.scenario, &self.requests, &mut self.result);
        self.result.finish(accelerators);
        self.result
    }

    /// Opens the links of an agent that has started.
    fn connect(&mut self, idx: usize) {
        self.handle_agent_event(idx, RoleEvent::Timer);
        for entry in 0..self.deployment.entries {
            let link = entry as LinkId * 2 + 1;
            self.handle_agent_event(idx, link_opened(link, PeerRole::Entry));
        }
    }

    fn handle_event(&mut self, event: BenchEvent) {
        match event {
            BenchEvent::Arrival(call) => {
                let now = self.instant(self.now_us);
                let sent = self.entries.start_request(now, call, &self.requests);
                self.send_frames(sent);
            }
            BenchEvent::Agent(idx, incarnation, event) => {
                if self.is_current(idx, incarnation) {
                    self.handle_agent_event(idx, *event);
                }
            }
            BenchEvent::EngineEnd(idx, incarnation, run) => self.finish_run(idx, incarnation, run),
            BenchEvent::AgentTimer(idx, incarnation) => {
                let is_due = self.agents[idx].timer_us == self.now_us;
                if is_due && self.is_current(idx, incarnation) {
                    self.handle_agent_event(idx, RoleEvent::Timer);
                }
            }
            BenchEvent::Entry(entry, idx, body) => {
                let now = self.instant(self.now_us);
                let sent =
                    self.entries
                        .handle_frame(now, self.now_us, entry, idx, body, &self.requests);
                self.send_frames(sent);
            }
            BenchEvent::Control(idx, body) => self.handle_control_frame(idx, body),
            BenchEvent::LinkLost(idx) => {
                let now = self.instant(self.now_us);
                let sent = self.entries.handle_link_loss(now, idx, &self.requests);
                self.send_frames(sent);
            }
            BenchEvent::Plan => self.run_plan(),
            BenchEvent::ReachabilityCheck => self.check_reachability(),
            BenchEvent::Fault => self.inject_fault(),
            BenchEvent::Repair => self.repair_fault(),
            BenchEvent::Edit => self.edit_models(),
        }
    }

    fn is_current(&self, idx: usize, incarnation: u64) -> bool {
        self.agents[idx].alive && self.agents[idx].incarnation == incarnation
    }

    /// Passes an event to an agent's role and executes the resulting actions.
    fn handle_agent_event(&mut self, idx: usize, event: RoleEvent<AgentEvent>) {
        let now = self.instant(self.now_us);
        let mut actions = std::mem::take(&mut self.actions);
        self.agents[idx].role.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                RoleAction::Link(command) => self.handle_link_command(idx, command),
                RoleAction::RoleSpecific(action) => self.handle_engine_action(idx, action),
                _ => {}
            }
        }
        self.actions = actions;
        let deadline = self.agents[idx].role.deadline();
        if let Some(at) = deadline {
            let at = at.saturating_duration_since(self.start).as_micros() as u64;
            // Rounded up, so that the deadline has passed when the timer fires.
            let at_us = (at + 1).max(self.now_us + 1);
            let agent = &mut self.agents[idx];
            if agent.timer_us <= self.now_us || at_us < agent.timer_us {
                agent.timer_us = at_us;
                let event = BenchEvent::AgentTimer(idx, agent.incarnation);
                self.queue.push(at_us, event);
            }
        }
    }

    fn schedule_agent_event(&mut self, delay_us: u64, idx: usize, event: RoleEvent<AgentEvent>) {
        let incarnation = self.agents[idx].incarnation;
        let event = BenchEvent::Agent(idx, incarnation, Box::new(event));
        self.queue.push(self.now_us + delay_us, event);
    }

    fn handle_link_command(&mut self, idx: usize, command: LinkCommand) {
        match command {
            LinkCommand::Dial { link, .. } => {
                self.schedule_agent_event(SAME_ZONE_US, idx, link_opened(link, PeerRole::Control));
            }
            LinkCommand::Send { link, body } if link % 2 == 0 => {
                self.control.record_link(idx, link);
                let at_us = self.now_us + self.deployment.zone_delay_us;
                self.queue.push(at_us, BenchEvent::Control(idx, body));
            }
            LinkCommand::Send { link, body } => {
                let entry = (link / 2) as usize;
                let at_us = self.now_us + self.link_delay(entry, idx);
                self.queue.push(at_us, BenchEvent::Entry(entry, idx, body));
            }
            LinkCommand::Close { .. } => {}
        }
    }

    fn link_delay(&self, entry: usize, agent: usize) -> u64 {
        let zones = self.deployment.zones;
        if entry % zones == agent % zones {
            SAME_ZONE_US
        } else {
            self.deployment.zone_delay_us
        }
    }

    fn handle_engine_action(&mut self, idx: usize, action: AgentAction) {
        match action {
            AgentAction::Run { run, request } => {
                let mut bytes = [0; 8];
                bytes.copy_from_slice(&request.body);
                let call = u64::from_le_bytes(bytes) as usize;
                let agent = &mut self.agents[idx];
                agent.runs.insert(run, call);
                let times = agent.engine.start(run, &self.requests[call]);
                let data = Bytes::from_static(TOKEN_EVENT);
                let part = RoleEvent::RoleSpecific(AgentEvent::Part { run, data });
                let incarnation = agent.incarnation;
                self.schedule_agent_event(times.first_us, idx, part);
                let end = BenchEvent::EngineEnd(idx, incarnation, run);
                self.queue.push(self.now_us + times.end_us, end);
            }
            AgentAction::Cancel { run } => {
                if self.agents[idx].engine.finish(run) {
                    let failed = AgentEvent::Failed {
                        run,
                        sent: true,
                        crashed: false,
                    };
                    self.schedule_agent_event(SAME_ZONE_US, idx, RoleEvent::RoleSpecific(failed));
                }
            }
            AgentAction::ReadState => {
                let state = self.agents[idx].engine.state(self.now_us);
                let event = AgentEvent::State(Some(state));
                self.schedule_agent_event(5_000, idx, RoleEvent::RoleSpecific(event));
            }
            AgentAction::Order(order) => {
                let engine = &mut self.agents[idx].engine;
                let (at_us, outcome) = engine.handle_order(self.now_us, &order, &mut self.store);
                let order = order.order;
                let event = AgentEvent::OrderEnded { order, outcome };
                self.schedule_agent_event(
                    at_us - self.now_us + SAME_ZONE_US,
                    idx,
                    RoleEvent::RoleSpecific(event),
                );
            }
        }
    }

    fn finish_run(&mut self, idx: usize, incarnation: u64, run: RunId) {
        if !self.is_current(idx, incarnation) || !self.agents[idx].engine.finish(run) {
            return;
        }
        let call = self.agents[idx].runs.remove(&run).unwrap_or_default();
        let remaining = self.requests[call].output as usize - 1;
        let data = self.token_events.slice(..remaining * TOKEN_EVENT.len());
        self.handle_agent_event(idx, RoleEvent::RoleSpecific(AgentEvent::Part { run, data }));
        self.handle_agent_event(idx, RoleEvent::RoleSpecific(AgentEvent::End { run }));
    }

    fn send_frames(&mut self, sent: Vec<SentFrame>) {
        for frame in sent {
            let link = frame.entry as LinkId * 2 + 1;
            let event = RoleEvent::Link(LinkEvent::Frame {
                link,
                body: frame.body,
            });
            let delay = self.link_delay(frame.entry, frame.agent);
            if self.agents[frame.agent].alive {
                self.schedule_agent_event(delay, frame.agent, event);
            } else {
                let at_us = self.now_us + LINK_LOSS_DETECTION_US;
                self.queue.push(at_us, BenchEvent::LinkLost(frame.agent));
            }
        }
    }

    fn handle_control_frame(&mut self, idx: usize, body: FrameBody) {
        let now = self.instant(self.now_us);
        if let Some(answer) = self.control.handle_frame(now, idx, body, &mut self.entries) {
            self.send_control_frame(idx, self.deployment.zone_delay_us, answer);
        }
    }

    fn send_control_frame(&mut self, idx: usize, delay_us: u64, body: FrameBody) {
        let link = self.control.link(idx);
        let event = RoleEvent::Link(LinkEvent::Frame { link, body });
        self.schedule_agent_event(delay_us, idx, event);
    }

    fn run_plan(&mut self) {
        self.queue.push(self.now_us + PLAN_US, BenchEvent::Plan);
        let is_leader_lost = self.scenario == Scenario::LeaderLoss
            && (FAULT_US..FAULT_US + LEADER_LOSS_US).contains(&self.now_us);
        if is_leader_lost {
            self.control.replace_leader(self.instant(self.now_us));
            return;
        }
        let now = self.instant(self.now_us);
        let is_lossy = self.scenario == Scenario::OrdersLost;
        for (idx, order) in self.control.plan(now, &mut self.entries) {
            let draw = self.random.random_range(0..100);
            if is_lossy && draw < 20 {
                continue;
            }
            let extra_delay_us = if is_lossy && draw < 40 {
                self.random.random_range(0..LATE_ORDER_MAX_US)
            } else {
                0
            };
            let delay = self.deployment.zone_delay_us + extra_delay_us;
            if self.agents[idx].alive {
                self.send_control_frame(idx, delay, FrameBody::TargetOrder(order));
            }
        }
    }

    fn check_reachability(&mut self) {
        self.queue.push(
            self.now_us + REACHABILITY_CHECK_US,
            BenchEvent::ReachabilityCheck,
        );
        for model in self.control.model_names() {
            let serves_model =
                |agent: &&BenchAgent| agent.alive && agent.engine.is_ready(model, self.now_us);
            if !self.agents.iter().any(|agent| serves_model(&agent)) {
                self.result.unreachable += Duration::from_micros(REACHABILITY_CHECK_US);
            }
        }
    }

    fn failed_agents(&self) -> Vec<usize> {
        match self.scenario {
            Scenario::EndpointLoss => vec![0],
            Scenario::ZoneLoss => (0..self.agents.len())
                .filter(|idx| idx % self.deployment.zones == 0)
                .collect(),
            _ => Vec::new(),
        }
    }

    fn inject_fault(&mut self) {
        for idx in self.failed_agents() {
            self.agents[idx].alive = false;
            let at_us = self.now_us + LINK_LOSS_DETECTION_US;
            self.queue.push(at_us, BenchEvent::LinkLost(idx));
        }
    }

    fn repair_fault(&mut self) {
        for idx in self.failed_agents() {
            let incarnation = self.agents[idx].incarnation + 1;
            let peak_mib = self.agents[idx].engine.peak_mib;
            let mut engine = FakeEngine::default();
            engine.peak_mib = peak_mib;
            self.agents[idx] = self.new_agent(idx, incarnation, engine);
            self.connect(idx);
        }
    }

    fn edit_models(&mut self) {
        self.queue.push(self.now_us + EDIT_US, BenchEvent::Edit);
        if self.scenario == Scenario::OperatorEdits {
            let model = self.random.random_range(0..self.deployment.models);
            self.control.edit_version(model);
        }
    }
}

fn link_opened(link: LinkId, role: PeerRole) -> RoleEvent<AgentEvent> {
    RoleEvent::Link(LinkEvent::Opened {
        link,
        peer: PeerIdentity {
            role,
            instance: Bytes::from_static(b"peer"),
            incarnation: 1,
            zone: Bytes::new(),
        },
    })
}
