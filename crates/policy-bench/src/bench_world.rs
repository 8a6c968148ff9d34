//! One run: the event loop, the agents and their engines.

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
use crate::bench_plan::{Deployment, Scenario, Variant};
use crate::event_queue::EventQueue;
use crate::fake_engine::{FakeEngine, FakeStore, KV_RESERVE_MIB, MEMORY_MIB, SLOTS};
use crate::request_stream::{draw_requests, BenchRequest, CHANGE_SECONDS, RUN_SECONDS};
use crate::run_result::RunResult;

/// One way inside an availability zone, and to the engine, in microseconds.
const NEAR_US: u64 = 200;

/// Interval of the planner and of the check of reachability.
const PLAN_US: u64 = 1_000_000;
const PROBE_US: u64 = 250_000;

/// Times of faults in microseconds.
const FAULT_US: u64 = (CHANGE_SECONDS * 1e6) as u64;
const REPAIR_US: u64 = FAULT_US + 60_000_000;
const LEADER_US: u64 = 10_000_000;
const EDIT_US: u64 = 15_000_000;

/// Time after which an entry notices that an agent's link is gone.
const LINK_LOSS_US: u64 = 200_000;

/// Longest delay of a late order.
const LATE_US: u64 = 5_000_000;

/// An event of the run.
enum BenchEvent {
    Arrival(usize),
    /// Something for an agent's role, unless it has restarted since.
    Agent(usize, u64, Box<RoleEvent<AgentEvent>>),
    /// The engine has the whole answer, unless the agent has restarted.
    EngineEnd(usize, u64, RunId),
    AgentTimer(usize, u64),
    Entry(usize, usize, FrameBody),
    Control(usize, FrameBody),
    LinkLost(usize),
    Plan,
    Probe,
    Fault,
    Repair,
    Edit,
}

/// An endpoint: agent and engine.
struct BenchAgent {
    role: AgentRole,
    engine: FakeEngine,
    incarnation: u64,
    alive: bool,
    /// Time of the timer that is scheduled.
    timer_us: u64,
    /// Request of each run.
    runs: BTreeMap<RunId, usize>,
}

/// A run.
pub struct BenchWorld<'a> {
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
    /// Body of the longest answer, one event for each token.
    tokens: Bytes,
}

/// Bytes of one token's event.
const EVENT: &[u8] = b"data: a\n\n";

impl<'a> BenchWorld<'a> {
    /// Sets a run up with the even placement that all variants start from.
    pub fn new(
        deployment: &'a Deployment,
        scenario: Scenario,
        variant: &'a Variant,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let requests = draw_requests(deployment, scenario, &mut random);
        let control = BenchControl::new(deployment, variant, start);
        let mut world = BenchWorld {
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
            tokens: Bytes::from(EVENT.repeat(200)),
            control,
        };
        for idx in 0..deployment.endpoints {
            let mut engine = FakeEngine::default();
            for (model, memory_mib) in world.control.initial_models(idx) {
                engine.preload(model, memory_mib);
            }
            let agent = world.new_agent(idx, 1, engine);
            world.agents.push(agent);
        }
        world
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

    /// Runs to the end.
    pub fn run(mut self) -> RunResult {
        for idx in 0..self.agents.len() {
            self.connect(idx);
        }
        for idx in 0..self.requests.len() {
            let at_us = self.requests[idx].at_us;
            self.queue.push(at_us, BenchEvent::Arrival(idx));
        }
        self.queue.push(PLAN_US, BenchEvent::Plan);
        self.queue.push(PROBE_US, BenchEvent::Probe);
        self.queue.push(FAULT_US, BenchEvent::Fault);
        self.queue.push(REPAIR_US, BenchEvent::Repair);
        self.queue.push(EDIT_US, BenchEvent::Edit);
        while let Some((at_us, event)) = self.queue.pop() {
            if at_us > (RUN_SECONDS * 1e6) as u64 + 20_000_000 {
                break;
            }
            self.now_us = at_us;
            self.take(event);
        }
        self.result.moves = self.store.loads;
        for agent in &self.agents {
            self.result.note_peak(agent.engine.peak_mib, MEMORY_MIB);
        }
        let accelerators = self.deployment.endpoints;
        self.entries
            .judge(self.scenario, &self.requests, &mut self.result);
        self.result.finish(accelerators);
        self.result
    }

    /// Opens the links of an agent that starts.
    fn connect(&mut self, idx: usize) {
        self.agent(idx, RoleEvent::Timer);
        for entry in 0..self.deployment.entries {
            let link = entry as LinkId * 2 + 1;
            self.agent(idx, opened(link, PeerRole::Entry));
        }
    }

    fn take(&mut self, event: BenchEvent) {
        match event {
            BenchEvent::Arrival(call) => {
                let now = self.instant(self.now_us);
                let sent = self.entries.begin(now, call, &self.requests);
                self.pass_on(sent);
            }
            BenchEvent::Agent(idx, incarnation, event) => {
                if self.is_current(idx, incarnation) {
                    self.agent(idx, *event);
                }
            }
            BenchEvent::EngineEnd(idx, incarnation, run) => self.end_run(idx, incarnation, run),
            BenchEvent::AgentTimer(idx, incarnation) => {
                let due = self.agents[idx].timer_us == self.now_us;
                if due && self.is_current(idx, incarnation) {
                    self.agent(idx, RoleEvent::Timer);
                }
            }
            BenchEvent::Entry(entry, idx, body) => {
                let now = self.instant(self.now_us);
                let sent = self
                    .entries
                    .take(now, self.now_us, entry, idx, body, &self.requests);
                self.pass_on(sent);
            }
            BenchEvent::Control(idx, body) => self.take_control(idx, body),
            BenchEvent::LinkLost(idx) => {
                let now = self.instant(self.now_us);
                let sent = self.entries.link_lost(now, idx, &self.requests);
                self.pass_on(sent);
            }
            BenchEvent::Plan => self.plan(),
            BenchEvent::Probe => self.probe(),
            BenchEvent::Fault => self.fault(),
            BenchEvent::Repair => self.repair(),
            BenchEvent::Edit => self.edit(),
        }
    }

    fn is_current(&self, idx: usize, incarnation: u64) -> bool {
        self.agents[idx].alive && self.agents[idx].incarnation == incarnation
    }

    /// Hands an event to an agent's role and carries its actions out.
    fn agent(&mut self, idx: usize, event: RoleEvent<AgentEvent>) {
        let now = self.instant(self.now_us);
        let mut actions = std::mem::take(&mut self.actions);
        self.agents[idx].role.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                RoleAction::Link(command) => self.agent_link(idx, command),
                RoleAction::Own(action) => self.agent_engine(idx, action),
                _ => {}
            }
        }
        self.actions = actions;
        let deadline = self.agents[idx].role.deadline();
        if let Some(at) = deadline {
            let at = at.saturating_duration_since(self.start).as_micros() as u64;
            // Rounded up, so that the deadline has come.
            let at_us = (at + 1).max(self.now_us + 1);
            let agent = &mut self.agents[idx];
            if agent.timer_us <= self.now_us || at_us < agent.timer_us {
                agent.timer_us = at_us;
                let event = BenchEvent::AgentTimer(idx, agent.incarnation);
                self.queue.push(at_us, event);
            }
        }
    }

    fn send_agent(&mut self, delay_us: u64, idx: usize, event: RoleEvent<AgentEvent>) {
        let incarnation = self.agents[idx].incarnation;
        let event = BenchEvent::Agent(idx, incarnation, Box::new(event));
        self.queue.push(self.now_us + delay_us, event);
    }

    fn agent_link(&mut self, idx: usize, command: LinkCommand) {
        match command {
            LinkCommand::Dial { link, .. } => {
                self.send_agent(NEAR_US, idx, opened(link, PeerRole::Control));
            }
            LinkCommand::Send { link, body } if link % 2 == 0 => {
                self.control.note_link(idx, link);
                let at_us = self.now_us + self.deployment.zone_delay_us;
                self.queue.push(at_us, BenchEvent::Control(idx, body));
            }
            LinkCommand::Send { link, body } => {
                let entry = (link / 2) as usize;
                let at_us = self.now_us + self.delay(entry, idx);
                self.queue.push(at_us, BenchEvent::Entry(entry, idx, body));
            }
            LinkCommand::Close { .. } => {}
        }
    }

    fn delay(&self, entry: usize, agent: usize) -> u64 {
        let zones = self.deployment.zones;
        if entry % zones == agent % zones {
            NEAR_US
        } else {
            self.deployment.zone_delay_us
        }
    }

    fn agent_engine(&mut self, idx: usize, action: AgentAction) {
        match action {
            AgentAction::Run { run, request } => {
                let mut bytes = [0; 8];
                bytes.copy_from_slice(&request.body);
                let call = u64::from_le_bytes(bytes) as usize;
                let agent = &mut self.agents[idx];
                agent.runs.insert(run, call);
                let times = agent.engine.start(run, &self.requests[call]);
                let data = Bytes::from_static(EVENT);
                let part = RoleEvent::Own(AgentEvent::Part { run, data });
                let incarnation = agent.incarnation;
                self.send_agent(times.first_us, idx, part);
                let end = BenchEvent::EngineEnd(idx, incarnation, run);
                self.queue.push(self.now_us + times.end_us, end);
            }
            AgentAction::Cancel { run } => {
                if self.agents[idx].engine.finish(run) {
                    let failed = AgentEvent::Failed { run, sent: true };
                    self.send_agent(NEAR_US, idx, RoleEvent::Own(failed));
                }
            }
            AgentAction::ReadState => {
                let state = self.agents[idx].engine.state(self.now_us);
                let event = AgentEvent::State(Some(state));
                self.send_agent(5_000, idx, RoleEvent::Own(event));
            }
            AgentAction::Order(order) => {
                let engine = &mut self.agents[idx].engine;
                let (at_us, outcome) = engine.take_order(self.now_us, &order, &mut self.store);
                let order = order.order;
                let event = AgentEvent::OrderEnded { order, outcome };
                self.send_agent(at_us - self.now_us + NEAR_US, idx, RoleEvent::Own(event));
            }
        }
    }

    fn end_run(&mut self, idx: usize, incarnation: u64, run: RunId) {
        if !self.is_current(idx, incarnation) || !self.agents[idx].engine.finish(run) {
            return;
        }
        let call = self.agents[idx].runs.remove(&run).unwrap_or_default();
        let rest = self.requests[call].output as usize - 1;
        let data = self.tokens.slice(..rest * EVENT.len());
        self.agent(idx, RoleEvent::Own(AgentEvent::Part { run, data }));
        self.agent(idx, RoleEvent::Own(AgentEvent::End { run }));
    }

    fn pass_on(&mut self, sent: Vec<SentFrame>) {
        for frame in sent {
            let link = frame.entry as LinkId * 2 + 1;
            let event = RoleEvent::Link(LinkEvent::Frame {
                link,
                body: frame.body,
            });
            let delay = self.delay(frame.entry, frame.agent);
            if self.agents[frame.agent].alive {
                self.send_agent(delay, frame.agent, event);
            } else {
                let at_us = self.now_us + LINK_LOSS_US;
                self.queue.push(at_us, BenchEvent::LinkLost(frame.agent));
            }
        }
    }

    fn take_control(&mut self, idx: usize, body: FrameBody) {
        let now = self.instant(self.now_us);
        if let Some(answer) = self.control.take(now, idx, body, &mut self.entries) {
            self.send_control(idx, self.deployment.zone_delay_us, answer);
        }
    }

    fn send_control(&mut self, idx: usize, delay_us: u64, body: FrameBody) {
        let link = self.control.link(idx);
        let event = RoleEvent::Link(LinkEvent::Frame { link, body });
        self.send_agent(delay_us, idx, event);
    }

    fn plan(&mut self) {
        self.queue.push(self.now_us + PLAN_US, BenchEvent::Plan);
        let lost_leader = self.scenario == Scenario::LeaderLoss
            && (FAULT_US..FAULT_US + LEADER_US).contains(&self.now_us);
        if lost_leader {
            self.control.lose_leader(self.instant(self.now_us));
            return;
        }
        let now = self.instant(self.now_us);
        let lossy = self.scenario == Scenario::OrdersLost;
        for (idx, order) in self.control.plan(now, &mut self.entries) {
            let fate = self.random.random_range(0..100);
            if lossy && fate < 20 {
                continue;
            }
            let late = if lossy && fate < 40 {
                self.random.random_range(0..LATE_US)
            } else {
                0
            };
            let delay = self.deployment.zone_delay_us + late;
            if self.agents[idx].alive {
                self.send_control(idx, delay, FrameBody::TargetOrder(order));
            }
        }
    }

    fn probe(&mut self) {
        self.queue.push(self.now_us + PROBE_US, BenchEvent::Probe);
        for model in self.control.model_names() {
            let answers =
                |agent: &&BenchAgent| agent.alive && agent.engine.is_ready(model, self.now_us);
            if !self.agents.iter().any(|agent| answers(&agent)) {
                self.result.unreachable += Duration::from_micros(PROBE_US);
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

    fn fault(&mut self) {
        for idx in self.failed_agents() {
            self.agents[idx].alive = false;
            let at_us = self.now_us + LINK_LOSS_US;
            self.queue.push(at_us, BenchEvent::LinkLost(idx));
        }
    }

    fn repair(&mut self) {
        for idx in self.failed_agents() {
            let incarnation = self.agents[idx].incarnation + 1;
            let peak_mib = self.agents[idx].engine.peak_mib;
            let mut engine = FakeEngine::default();
            engine.peak_mib = peak_mib;
            self.agents[idx] = self.new_agent(idx, incarnation, engine);
            self.connect(idx);
        }
    }

    fn edit(&mut self) {
        self.queue.push(self.now_us + EDIT_US, BenchEvent::Edit);
        if self.scenario == Scenario::OperatorEdits {
            let model = self.random.random_range(0..self.deployment.models);
            self.control.edit_version(model);
        }
    }
}

fn opened(link: LinkId, role: PeerRole) -> RoleEvent<AgentEvent> {
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
