//! Engines that a prompt part or a repeated request crashes, between sound requests, in
//! virtual time.

mod fleet_plan;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{
    CrashLedger, PartId, PartSet, SuspectRequest, TrialId, TrialTable, TRIAL_RETRY,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub use fleet_plan::{FleetOutcome, FleetPlan, PartPlace};

pub const CRASHING_PART: PartId = 0xdead;

/// Content of the repeated request that crashes engines.
pub const CRASHING_CONTENT: PartId = 0xbeef;

/// Content that many sound requests share, such as a question that callers repeat, and
/// the subject of these.
pub const POPULAR_CONTENT: PartId = 0xcafe;
const POPULAR_SUBJECT: u64 = 0;

/// Times that an eager caller sends a request again that was broken off.
const EAGER_REPEATS: u32 = 3;

/// Times that a request with the crashing part is sent again, by its gateway or its caller.
const CRASHING_REPEATS: u32 = 3;

/// Pause before a caller repeats a request with the crashing part.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Lower bound of the other requests' contents.
const OWN_CONTENTS: PartId = 1_000_000;

/// Time after the fifth crash in which requests with the part may be forwarded:
/// `contact_ms` of the users' first sites, less two ticks of a control instance.
pub const FORWARD_LIMIT: Duration = Duration::from_millis(2_800);

const STEP: Duration = Duration::from_millis(10);
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a response is written before its parts are known to be sound, as in
/// the gateway.
const SOUND_TIME: Duration = Duration::from_millis(500);

/// Time before the first request with the crashing part.
const WARM_TIME: Duration = Duration::from_secs(5);

/// Time for which a request waits for a trial, as in the gateway.
const TRIAL_WAIT: Duration = Duration::from_millis(1_500);

const RESTART_TIME: Duration = Duration::from_secs(3);
const ROUTES: u64 = 3;
const SUBJECTS: u64 = 30;

#[derive(Debug, Clone)]
struct RunningRequest {
    subject: u64,
    /// Only repeats have the same.
    content: PartId,
    crashes: bool,
    /// Times that it is sent again if it is broken off.
    repeats_left: u32,
    parts: Vec<PartId>,
    gateway: usize,
    engine: usize,
    forwarded: Instant,
    begins: Instant,
    ends: Instant,
    is_reported: bool,
    trial: Option<TrialId>,
}

/// A request that waits for a trial.
#[derive(Debug)]
struct WaitingRequest {
    subject: u64,
    content: PartId,
    crashes: bool,
    repeats_left: u32,
    since: Instant,
    retry_at: Instant,
}

/// A request with the crashing part that its caller sends again.
#[derive(Debug)]
struct RepeatedRequest {
    subject: u64,
    content: PartId,
    repeats_left: u32,
    at: Instant,
}

/// A report under way to the ledger, which reckons all of its times from its arrival.
#[derive(Debug)]
struct DelayedReport {
    delay: Duration,
    sent: Instant,
    content: ReportContent,
}

#[derive(Debug)]
enum ReportContent {
    Crash {
        engine: usize,
        born: u64,
        requests: Vec<SuspectRequest>,
    },
    Sound {
        subject: PartId,
        begun: Instant,
    },
}

pub struct CrashFleet {
    plan: FleetPlan,
    rng: StdRng,
    /// Draws what the plans without delays and popular contents don't need, so that
    /// these stay the same for a seed.
    report_rng: StdRng,
    reports: Vec<DelayedReport>,
    started: Instant,
    now: Instant,
    ledger: CrashLedger,
    trials: TrialTable,
    trials_asked: u64,
    /// What the gateways were told to ask for.
    restricted: BTreeSet<PartId>,
    waiting: Vec<WaitingRequest>,
    repeats: Vec<RepeatedRequest>,
    /// When each engine is up again.
    up_at: Vec<Instant>,
    /// Engines that serve, with the time from which on they respond.
    holders: Vec<(usize, Instant)>,
    /// Number of starts of each engine.
    born: Vec<u64>,
    running: Vec<RunningRequest>,
    crashes: Vec<Instant>,
    /// Number of requests forwarded.
    requests: u64,
    outcome: FleetOutcome,
}

impl CrashFleet {
    pub fn run(plan: FleetPlan, seed: u64, duration: Duration) -> FleetOutcome {
        let now = Instant::now();
        let mut fleet = CrashFleet {
            plan,
            rng: StdRng::seed_from_u64(seed),
            report_rng: StdRng::seed_from_u64(!seed),
            reports: Vec::new(),
            started: now,
            now,
            ledger: CrashLedger::default(),
            trials: TrialTable::default(),
            trials_asked: 0,
            restricted: BTreeSet::new(),
            waiting: Vec::new(),
            repeats: Vec::new(),
            up_at: vec![now; plan.engines],
            holders: (0..plan.holders).map(|engine| (engine, now)).collect(),
            born: vec![1; plan.engines],
            running: Vec::new(),
            crashes: Vec::new(),
            requests: 0,
            outcome: FleetOutcome::default(),
        };
        let end = now + duration;
        let mut next_tick = now;
        let mut next_outage = plan.outage_interval.map(|interval| now + interval);
        while fleet.now < end {
            fleet.now += STEP;
            fleet.add_requests();
            fleet.retry_waiting();
            fleet.send_repeats();
            fleet.advance_requests();
            fleet.deliver_reports();
            if next_outage.is_some_and(|at| at <= fleet.now) {
                next_outage = plan.outage_interval.map(|interval| fleet.now + interval);
                for engine in (0..plan.engines).step_by(3) {
                    fleet.crash(engine);
                }
            }
            if next_tick <= fleet.now {
                next_tick = fleet.now + TICK_INTERVAL;
                fleet.tick();
            }
        }
        fleet.outcome.crashes = fleet.crashes.len();
        fleet.outcome
    }

    fn tick(&mut self) {
        let found = self.ledger.tick(self.now);
        for quarantine in &found {
            self.trials.end_pauses(&quarantine.parts);
        }
        let found = found.into_iter();
        self.outcome
            .quarantined
            .extend(found.map(|found| found.parts));
        self.trials.tick(self.now);
        self.restricted = self.ledger.restricted(self.now);
    }

    /// Asks for a trial if a request needs one; returns whether it can be forwarded.
    fn acquire_trial(&mut self, engine: usize, subjects: &[PartId]) -> (bool, Option<TrialId>) {
        if !subjects.iter().any(|it| self.restricted.contains(it)) {
            return (true, None);
        }
        let restricted = self.ledger.restricted(self.now);
        let subjects = subjects
            .iter()
            .copied()
            .filter(|it| restricted.contains(it));
        self.trials_asked += 1;
        let id = (Bytes::new(), self.trials_asked);
        let endpoint = Bytes::from(engine.to_string());
        let subjects: PartSet = subjects.collect();
        if subjects.is_empty() {
            return (true, None);
        }
        match self.trials.grant(self.now, id.clone(), &endpoint, subjects) {
            true => (true, Some(id)),
            false => (false, None),
        }
    }

    /// Forwards the requests that wait for a trial and get it.
    fn retry_waiting(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let (due, left): (Vec<_>, Vec<_>) = waiting.partition(|it| it.retry_at <= now);
        self.waiting = left;
        for it in due {
            if now >= it.since + TRIAL_WAIT {
                self.outcome.held_sound += usize::from(!it.crashes);
                continue;
            }
            self.forward_since(
                it.since,
                it.subject,
                it.content,
                it.crashes,
                it.repeats_left,
            );
        }
    }

    /// Sends the requests again whose callers have waited.
    fn send_repeats(&mut self) {
        let now = self.now;
        let repeats = std::mem::take(&mut self.repeats).into_iter();
        let (due, left): (Vec<_>, Vec<_>) = repeats.partition(|it| it.at <= now);
        self.repeats = left;
        for it in due {
            self.forward(it.subject, it.content, true, it.repeats_left);
        }
    }

    fn add_requests(&mut self) {
        let per_step = STEP.as_secs_f64();
        if self.rng.random_bool(self.plan.sound_rate * per_step) {
            let subject = self.draw_subject();
            if self.report_rng.random_bool(self.plan.popular_share) {
                self.forward(POPULAR_SUBJECT, POPULAR_CONTENT, false, 0);
            } else {
                self.add_request(subject, false);
            }
        }
        let is_sent = self.plan.proven || self.has_turned();
        if is_sent && self.rng.random_bool(self.plan.crashing_rate * per_step) {
            let subject = match self.plan.one_subject {
                true => SUBJECTS - 1,
                false => self.draw_subject(),
            };
            self.add_request(subject, true);
        }
    }

    /// Returns whether the part or the content crashes engines by now.
    fn has_turned(&self) -> bool {
        self.now >= self.started + WARM_TIME
    }

    /// Returns the shared parts of a request's prompt.
    fn prompt_parts(&self, subject: u64, crashes: bool) -> Vec<PartId> {
        let (first, second) = (subject % ROUTES, 100 + subject);
        match self.plan.place {
            _ if !crashes || self.plan.one_content => vec![first, second],
            PartPlace::Third => vec![first, second, CRASHING_PART],
            PartPlace::Subject => vec![first, CRASHING_PART],
            PartPlace::First => vec![CRASHING_PART, second],
        }
    }

    /// Returns the engines to which requests can be forwarded.
    fn candidates(&self) -> Vec<usize> {
        let engines = (0..self.plan.engines).filter(|engine| self.up_at[*engine] <= self.now);
        let is_holder =
            |engine: &usize| self.plan.holders == 0 || self.responds_at(*engine).is_some();
        engines.filter(is_holder).collect()
    }

    /// Returns the time from which on a holder responds.
    fn responds_at(&self, engine: usize) -> Option<Instant> {
        let holder = self.holders.iter().find(|(holder, _)| *holder == engine);
        holder.map(|(_, at)| *at)
    }

    /// Lets the next engine that is up take over from one that crashed.
    fn replace_holder(&mut self, engine: usize) {
        let Some(index) = self
            .holders
            .iter()
            .position(|(holder, _)| *holder == engine)
        else {
            return;
        };
        let after = (1..self.plan.engines).map(|step| (engine + step) % self.plan.engines);
        let mut free = after.filter(|next| self.responds_at(*next).is_none());
        let next = free.find(|next| self.up_at[*next] <= self.now);
        let ready = self.now + self.plan.cold_time;
        self.holders[index] = (next.unwrap_or(engine), ready);
    }

    /// Draws a subject; low ones are popular.
    fn draw_subject(&mut self) -> u64 {
        let draw: f64 = self.rng.random();
        ((draw * draw * SUBJECTS as f64) as u64).min(SUBJECTS - 1)
    }

    fn add_request(&mut self, subject: u64, crashes: bool) {
        let is_eager = !crashes && self.rng.random_bool(self.plan.eager_share);
        let repeats = match (is_eager, crashes && self.plan.repeats_crashing) {
            (true, _) => EAGER_REPEATS,
            (_, true) => CRASHING_REPEATS,
            _ => 0,
        };
        self.forward(subject, OWN_CONTENTS + self.requests, crashes, repeats);
    }

    /// Forwards a new request.
    fn forward(&mut self, subject: u64, content: PartId, crashes: bool, repeats_left: u32) {
        self.requests += 1;
        self.forward_since(self.now, subject, content, crashes, repeats_left);
    }

    /// Forwards a request to some engine that is up, or lets it wait for a trial.
    fn forward_since(
        &mut self,
        since: Instant,
        subject: u64,
        content: PartId,
        crashes: bool,
        repeats_left: u32,
    ) {
        let engines = self.candidates();
        if engines.is_empty() {
            return;
        }
        let engine = engines[self.rng.random_range(0..engines.len())];
        let load = self.running.iter().filter(|it| it.engine == engine).count() as u64;
        let wait = Duration::from_millis(5 + 20 * load);
        let ready = self.responds_at(engine).unwrap_or(self.now);
        let begins = self.now.max(ready) + wait;
        let lasts = Duration::from_millis(self.rng.random_range(300..2_500));
        let content = match crashes && self.plan.one_content {
            true => CRASHING_CONTENT,
            false => content,
        };
        let parts = self.prompt_parts(subject, crashes);
        let subjects = [&parts[..], &[content]].concat();
        if self
            .ledger
            .quarantines()
            .find(self.now, &subjects)
            .is_some()
        {
            self.outcome.refused_sound += usize::from(!crashes);
            return;
        }
        let (is_granted, trial) = self.acquire_trial(engine, &subjects);
        if !is_granted {
            self.waiting.push(WaitingRequest {
                subject,
                content,
                crashes,
                repeats_left,
                since,
                retry_at: self.now + TRIAL_RETRY,
            });
            return;
        }
        let allowed = if self.plan.one_content { 3 } else { 5 };
        let last = self.crashes.get(allowed - 1).filter(|_| crashes);
        if last.is_some_and(|last| self.now > *last + FORWARD_LIMIT) {
            self.outcome.late += 1;
        }
        let gateway = self.report_rng.random_range(0..self.plan.gateways);
        self.running.push(RunningRequest {
            subject,
            gateway,
            content,
            crashes,
            repeats_left,
            parts,
            engine,
            forwarded: self.now,
            begins,
            ends: begins + lasts,
            is_reported: false,
            trial,
        });
    }

    fn advance_requests(&mut self) {
        let crash_delay = Duration::from_millis(self.rng.random_range(20..180));
        let due: Vec<usize> = self
            .running
            .iter()
            .filter(|it| it.crashes && self.has_turned() && !it.is_reported)
            .filter(|it| it.begins + crash_delay <= self.now)
            .map(|it| it.engine)
            .collect();
        for engine in due {
            if self.running.iter().any(|it| it.engine == engine) {
                self.crashes.push(self.now);
                self.crash(engine);
            }
        }
        let mut sound = Vec::new();
        for request in &mut self.running {
            let has_lasted = request.begins + SOUND_TIME <= self.now || request.ends <= self.now;
            if has_lasted && !request.is_reported {
                request.is_reported = true;
                self.outcome.served_sound += usize::from(!request.crashes);
                if let Some(trial) = request.trial.take() {
                    self.trials.end(self.now, &trial, false);
                }
                let begun = request.begins;
                let subjects = request.parts.iter().chain([&request.content]);
                sound.extend(subjects.map(|subject| (*subject, begun)));
            }
        }
        for (subject, begun) in sound {
            self.send_report(ReportContent::Sound { subject, begun });
        }
        self.break_requests();
        let now = self.now;
        self.running.retain(|request| request.ends > now);
    }

    /// Breaks off single requests of engines that stay up.
    fn break_requests(&mut self) {
        let ending = self.running.iter().filter(|it| it.ends <= self.now);
        let ending: Vec<RunningRequest> = ending.cloned().collect();
        for request in ending {
            if request.is_reported || !self.rng.random_bool(self.plan.broken_share) {
                continue;
            }
            self.report(request.engine, &[request]);
        }
    }

    fn crash(&mut self, engine: usize) {
        let running = self.running.iter().filter(|it| it.engine == engine);
        let broken: Vec<RunningRequest> = running.cloned().collect();
        for trial in broken.iter().filter_map(|it| it.trial.as_ref()) {
            self.trials.end(self.now, trial, true);
        }
        let mut suspects = broken.clone();
        suspects.retain(|request| !request.is_reported);
        for gateway in 0..self.plan.gateways {
            let of_gateway = suspects.iter().filter(|it| it.gateway == gateway);
            let of_gateway: Vec<RunningRequest> = of_gateway.cloned().collect();
            let is_lost = self.report_rng.random_bool(self.plan.lost_share);
            if !of_gateway.is_empty() && !is_lost {
                self.report(engine, &of_gateway);
            }
        }
        self.running.retain(|it| it.engine != engine);
        self.up_at[engine] = self.now + RESTART_TIME;
        self.born[engine] += 1;
        self.replace_holder(engine);
        for request in broken.iter().filter(|it| it.repeats_left > 0) {
            self.repeat(request);
        }
    }

    /// Sends a request again that was broken off: at once, or after a pause if it has the
    /// crashing part and its gateway doesn't retry it.
    fn repeat(&mut self, request: &RunningRequest) {
        let (subject, content) = (request.subject, request.content);
        let repeats_left = request.repeats_left - 1;
        let is_watched = self.ledger.suspects().contains(&content);
        if !request.crashes || !(is_watched || request.trial.is_some()) {
            self.forward(subject, content, request.crashes, repeats_left);
            return;
        }
        self.repeats.push(RepeatedRequest {
            subject,
            content,
            repeats_left,
            at: self.now + REPEAT_PAUSE,
        });
    }

    /// Reports requests that one gateway forwarded and an engine broke off.
    fn report(&mut self, engine: usize, requests: &[RunningRequest]) {
        let requests = requests.iter().map(|request| SuspectRequest {
            content: request.content,
            parts: request.parts.iter().copied().collect(),
            forwarded: request.forwarded,
            is_trial: request.trial.is_some(),
        });
        self.send_report(ReportContent::Crash {
            engine,
            born: self.born[engine],
            requests: requests.collect(),
        });
    }

    fn send_report(&mut self, content: ReportContent) {
        let delay = self.report_rng.random_range(0.0..=1.0);
        self.reports.push(DelayedReport {
            delay: self.plan.delay_max.mul_f64(delay),
            sent: self.now,
            content,
        });
        if self.plan.delay_max.is_zero() {
            self.deliver_reports();
        }
    }

    fn deliver_reports(&mut self) {
        let now = self.now;
        let reports = std::mem::take(&mut self.reports).into_iter();
        let (due, left): (Vec<_>, Vec<_>) =
            reports.partition(|report| report.sent + report.delay <= now);
        self.reports = left;
        for report in due {
            let DelayedReport { delay, sent, .. } = report;
            match report.content {
                ReportContent::Sound { subject, begun } => {
                    self.ledger.record_sound(subject, begun + delay);
                }
                ReportContent::Crash {
                    engine,
                    born,
                    requests,
                } => {
                    let endpoint = Bytes::from(engine.to_string());
                    for mut request in requests {
                        request.forwarded += delay;
                        self.ledger
                            .record_crash(sent + delay, &endpoint, born, request);
                    }
                }
            }
        }
    }
}
