//! Guards against overcommitted engine memory: random schedules of lost, delayed
//! and duplicated orders and of agent and engine restarts, on engines that check
//! fencing tokens and on engines that ignore them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_agent::{
    EngineOrder, EngineState, FenceRule, MemoryLedger, OrderId, OrderKind, OrderOutcome,
    OrderReconciler, ResidencyState, ResidentModel,
};
use mulberrywell_policy::mix_bits;
use mulberrywell_wire::endpoint::{TargetModel, TargetOrder};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(50);
const LIFETIME: Duration = Duration::from_secs(4);
const LOAD_TIME: Duration = Duration::from_millis(400);
const CAPACITY_MIB: u64 = 100;

/// An engine that executes every order without checking its memory.
#[derive(Default)]
struct UncheckedEngine {
    /// Memory in MiB and the time from which the model is ready.
    models: BTreeMap<Bytes, (u64, Instant)>,
    fencing: u64,
    checks_fencing: bool,
}

impl UncheckedEngine {
    fn execute(&mut self, now: Instant, order: &EngineOrder) -> OrderOutcome {
        if self.checks_fencing && order.fencing < self.fencing {
            return OrderOutcome::Refused;
        }
        self.fencing = self.fencing.max(order.fencing);
        match &order.kind {
            OrderKind::Load {
                model, memory_mib, ..
            } => {
                let ready = now + LOAD_TIME;
                self.models
                    .entry(model.clone())
                    .or_insert((*memory_mib, ready));
            }
            OrderKind::Unload { model } => {
                self.models.remove(model);
            }
            OrderKind::ChangeRole { .. } => {}
        }
        OrderOutcome::Done
    }

    fn state(&self, now: Instant) -> EngineState {
        let models = self.models.iter().map(|(model, item)| ResidentModel {
            model: model.clone(),
            version: Bytes::new(),
            memory_mib: item.0,
            ready: item.1 <= now,
        });
        EngineState {
            models: models.collect(),
            fencing: self.fencing,
            ..EngineState::default()
        }
    }
}

/// Fault rates, per 100 messages unless stated otherwise.
#[derive(Clone, Copy, Default)]
struct FaultRates {
    lost: u64,
    delayed: u64,
    duplicated: u64,
    /// Per 10,000 steps.
    agent_restart: u64,
    /// Per 10,000 steps.
    engine_restart: u64,
}

struct Schedule {
    now: Instant,
    seed: u64,
    faults: FaultRates,
    rule: FenceRule,
    engine: UncheckedEngine,
    agent: OrderReconciler,
    registration: u64,
    /// Orders in flight to the engine, including duplicates, with the time of
    /// their arrival; true if the engine's answer reaches the agent.
    deliveries: Vec<(Instant, EngineOrder, bool)>,
    /// Answers in flight to the agent, with the time of their arrival.
    answers: Vec<(Instant, OrderId, OrderOutcome)>,
    /// Time at which the engine's state is read, time of its arrival, and the
    /// state.
    read: Option<(Instant, Instant, Option<EngineState>)>,
    next_read: Instant,
    last_state: EngineState,
    target: TargetOrder,
    peak_mib: u64,
}

impl Schedule {
    fn new(seed: u64, checks_fencing: bool, faults: FaultRates) -> Self {
        let now = Instant::now();
        let rule = if checks_fencing {
            FenceRule::Token
        } else {
            FenceRule::Lifetime(LIFETIME)
        };
        let mut schedule = Schedule {
            now,
            seed,
            faults,
            rule,
            engine: UncheckedEngine {
                checks_fencing,
                ..UncheckedEngine::default()
            },
            agent: OrderReconciler::new(MemoryLedger::new(CAPACITY_MIB, rule, now)),
            registration: 1,
            deliveries: Vec::new(),
            answers: Vec::new(),
            read: None,
            next_read: now,
            last_state: EngineState::default(),
            target: TargetOrder::default(),
            peak_mib: 0,
        };
        schedule.agent.apply_registration(1);
        schedule
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.seed = mix_bits(self.seed);
        self.seed % limit
    }

    fn random_delay(&mut self, limit: Duration) -> Duration {
        Duration::from_millis(self.random_below(limit.as_millis() as u64))
    }

    /// Changes the target to a random set of models that fits the capacity.
    fn change_target(&mut self) {
        self.target.term = 1;
        self.target.revision += 1;
        self.target.load_permits = 3;
        self.target.models.clear();
        let mut left = CAPACITY_MIB;
        for idx in 0..10 {
            let memory_mib = 10 + idx * 5;
            if memory_mib <= left && self.random_below(2) == 0 {
                left -= memory_mib;
                self.target.models.push(TargetModel {
                    model: Bytes::from(format!("model-{idx}")),
                    memory_mib,
                    rank: idx as u32,
                    ..TargetModel::default()
                });
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.random_below(10_000) < self.faults.agent_restart {
            self.restart_agent();
        }
        if self.random_below(10_000) < self.faults.engine_restart {
            self.engine.models.clear();
            self.engine.fencing = 0;
        }
        self.deliver_orders();
        self.deliver_answers();
        self.read_state();
        if self.random_below(100) >= self.faults.lost {
            self.agent.apply_target(self.target.clone());
        }
        let in_use = self.random_below(3) as usize;
        let orders = self.agent.reconcile(self.now, &self.last_state, |model| {
            in_use * usize::from(model.len() % 2 == 1)
        });
        for order in orders {
            self.send(order);
        }
        let used_mib: u64 = self.engine.models.values().map(|item| item.0).sum();
        self.peak_mib = self.peak_mib.max(used_mib);
        assert!(used_mib <= CAPACITY_MIB, "engine uses {used_mib} MiB");
    }

    fn restart_agent(&mut self) {
        self.registration += 1;
        let ledger = MemoryLedger::new(CAPACITY_MIB, self.rule, self.now);
        self.agent = OrderReconciler::new(ledger);
        self.agent.apply_registration(self.registration);
        self.answers.clear();
        for delivery in &mut self.deliveries {
            delivery.2 = false;
        }
        self.read = None;
        self.last_state = EngineState::default();
    }

    fn send(&mut self, order: EngineOrder) {
        let timeout = self.now + Duration::from_millis(600);
        if self.random_below(100) < self.faults.lost {
            self.answers
                .push((timeout, order.order, OrderOutcome::Unknown));
        } else if self.random_below(100) < self.faults.delayed {
            let at = self.now + self.random_delay(LIFETIME);
            self.answers
                .push((timeout, order.order, OrderOutcome::Unknown));
            self.deliveries.push((at, order, false));
        } else {
            if self.random_below(100) < self.faults.duplicated {
                let at = self.now + self.random_delay(LIFETIME);
                self.deliveries.push((at, order.clone(), false));
            }
            let at = self.now + self.random_delay(Duration::from_millis(100));
            self.deliveries.push((at, order, true));
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.deliveries.drain(..).partition(|item| item.0 <= now);
        self.deliveries = later;
        for (_, order, answered) in due {
            let outcome = self.engine.execute(now, &order);
            let load = matches!(order.kind, OrderKind::Load { .. });
            if answered && load && outcome == OrderOutcome::Done {
                self.answers.push((now + LOAD_TIME, order.order, outcome));
            } else if answered {
                self.answers.push((now, order.order, outcome));
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.answers.drain(..).partition(|item| item.0 <= now);
        self.answers = later;
        for (_, order, outcome) in due {
            self.agent.handle_order_end(now, order, outcome);
        }
    }

    fn read_state(&mut self) {
        let now = self.now;
        if self.read.is_none() && self.next_read <= now {
            let read_at = now + self.random_delay(Duration::from_millis(300));
            let arrives = read_at + self.random_delay(Duration::from_millis(300));
            self.read = Some((read_at, arrives, None));
            self.next_read = now + Duration::from_millis(500);
            self.agent.ledger_mut().begin_read(now);
        }
        let Some((read_at, arrives, state)) = &mut self.read else {
            return;
        };
        if *read_at <= now && state.is_none() {
            *state = Some(self.engine.state(now));
        }
        if *arrives <= now {
            if let Some(state) = state.take() {
                self.agent.ledger_mut().apply_state(&state);
                self.last_state = state;
            }
            self.read = None;
        }
    }

    fn run(&mut self, seconds: u64, change_interval: Option<u64>) {
        let steps = seconds * 20;
        for idx in 0..steps {
            if change_interval.is_some_and(|interval| idx % (interval * 20) == 0) {
                self.change_target();
            }
            self.step();
        }
    }

    fn assert_target_met(&self) {
        let expected: BTreeSet<&Bytes> =
            self.target.models.iter().map(|item| &item.model).collect();
        let resident: BTreeSet<&Bytes> = self.engine.models.keys().collect();
        assert_eq!(resident, expected);
    }
}

const ALL_FAULTS: FaultRates = FaultRates {
    lost: 15,
    delayed: 15,
    duplicated: 15,
    agent_restart: 30,
    engine_restart: 10,
};

#[rstest]
#[case::no_faults(FaultRates::default())]
#[case::lost(FaultRates { lost: 30, ..FaultRates::default() })]
#[case::delayed(FaultRates { delayed: 50, ..FaultRates::default() })]
#[case::duplicated(FaultRates { duplicated: 50, ..FaultRates::default() })]
#[case::agent_restarts(FaultRates { delayed: 30, agent_restart: 100, ..FaultRates::default() })]
#[case::engine_restarts(FaultRates { delayed: 30, engine_restart: 100, ..FaultRates::default() })]
#[case::all(ALL_FAULTS)]
fn schedule_within_capacity(
    #[case] faults: FaultRates,
    #[values(true, false)] checks_fencing: bool,
) {
    let mut peak_mib = 0;
    for seed in 1..=12 {
        let mut schedule = Schedule::new(seed, checks_fencing, faults);
        schedule.run(240, Some(6));
        // Without further faults the engine converges to the last target.
        schedule.faults = FaultRates::default();
        schedule.run(40, None);
        schedule.assert_target_met();
        peak_mib = peak_mib.max(schedule.peak_mib);
    }
    assert!(
        peak_mib > CAPACITY_MIB / 2,
        "the schedules must use more than half of the capacity"
    );
}

#[rstest]
#[case::lower_term(0, 9, false)]
#[case::lower_revision(1, 1, false)]
#[case::same(1, 2, false)]
#[case::higher_revision(1, 3, true)]
#[case::higher_term(2, 1, true)]
fn apply_target_newer_only(#[case] term: u64, #[case] revision: u64, #[case] applied: bool) {
    let ledger = MemoryLedger::new(CAPACITY_MIB, FenceRule::Token, Instant::now());
    let mut agent = OrderReconciler::new(ledger);
    let target = |term, revision| TargetOrder {
        term,
        revision,
        ..TargetOrder::default()
    };
    assert!(agent.apply_target(target(1, 2)));
    assert_eq!(agent.apply_target(target(term, revision)), applied);
}

#[test]
fn apply_state_older_than_load() {
    let now = Instant::now();
    let rule = FenceRule::Lifetime(Duration::ZERO);
    let mut ledger = MemoryLedger::new(CAPACITY_MIB, rule, now);
    ledger.begin_read(now);
    ledger.apply_state(&EngineState::default());
    ledger.begin_read(now);
    let load = TargetModel {
        model: Bytes::from_static(b"payroll"),
        memory_mib: 10,
        ..TargetModel::default()
    };
    let token = ledger.next_token(1);
    assert!(ledger.begin_load(now, &load, token));
    ledger.record_outcome(&load.model, token, OrderOutcome::Done);
    ledger.apply_state(&EngineState::default());
    assert_eq!(ledger.state(&load.model), ResidencyState::Resident);
}
