//! Simulates lease clients and a lease table with message delays.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{
    LeaseAnswer, LeaseClient, LeaseMessage, LeaseTable, Reservation, ReserveOutcome, TokenRefund,
    TokenRequest,
};

use crate::workload::{CaseResult, CaseSetup, OfferedRequest, Spend, PLAN, RUN_TIME};

/// One-way delay between an entry and the leader.
const LINK_DELAY: Duration = Duration::from_micros(1_500);

/// Time in which a quorum commits a block.
const COMMIT_DELAY: Duration = Duration::from_millis(6);

/// Interval of the clients' timers.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Time without a leader.
const LEADERLESS_TIME: Duration = Duration::from_millis(700);

enum FleetEvent {
    Arrival(usize),
    ToLeader(usize, LeaseMessage),
    ToEntry(usize, LeaseAnswer),
    ReturnAcknowledged(usize, u64),
    Finished(usize, Reservation, u64),
    Tick,
    Committed(u64),
    LeaderLost,
    LeaderElected,
}

struct FleetRun<'a> {
    setup: &'a CaseSetup,
    requests: &'a [OfferedRequest],
    /// Both instances apply the log; only the first one may lead.
    tables: [LeaseTable; 2],
    leading: bool,
    entries: Vec<LeaseClient>,
    queue: BTreeMap<(Instant, u64), FleetEvent>,
    next_event: u64,
    account: Bytes,
    admitted: BTreeSet<usize>,
    spends: Vec<Spend>,
    waits: Vec<Duration>,
}

/// Simulates the requests with lease clients.
pub fn run_leases(setup: &CaseSetup, requests: &[OfferedRequest]) -> CaseResult {
    let start = requests[0].at - Duration::from_millis(1);
    let mut run = FleetRun {
        setup,
        requests,
        tables: [LeaseTable::new(), LeaseTable::new()],
        leading: true,
        entries: (0..setup.entries)
            .map(|_| LeaseClient::new(start))
            .collect(),
        queue: BTreeMap::new(),
        next_event: 0,
        account: Bytes::from_static(b"medellin"),
        admitted: BTreeSet::new(),
        spends: Vec::new(),
        waits: Vec::new(),
    };
    run.tables[0].start_leading(start, 1);
    for table in &mut run.tables {
        table.set_plan(start, &run.account, PLAN);
    }
    for entry in &mut run.entries {
        entry.handle_link_opened(start);
    }
    for (idx, request) in requests.iter().enumerate() {
        run.push(request.at, FleetEvent::Arrival(idx));
    }
    if setup.leader_change {
        let lost = start + RUN_TIME / 2;
        run.push(lost, FleetEvent::LeaderLost);
        run.push(lost + LEADERLESS_TIME, FleetEvent::LeaderElected);
    }
    run.push(start, FleetEvent::Tick);
    let end = start + RUN_TIME + setup.deadline + Duration::from_secs(2);
    while let Some(((now, _), event)) = run.queue.pop_first() {
        if now > end {
            break;
        }
        run.handle_event(now, event, end);
    }
    CaseResult::of(requests.len(), run.spends, run.waits)
}

impl FleetRun<'_> {
    fn push(&mut self, at: Instant, event: FleetEvent) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), event);
    }

    fn handle_event(&mut self, now: Instant, event: FleetEvent, end: Instant) {
        match event {
            FleetEvent::Arrival(idx) => self.handle_arrival(now, idx),
            FleetEvent::ToLeader(entry, message) => self.handle_message(now, entry, message),
            FleetEvent::ToEntry(entry, answer) => {
                self.entries[entry].handle_answer(now, &self.account, &answer);
                self.flush_client(now, entry);
            }
            FleetEvent::ReturnAcknowledged(entry, lease) => {
                self.entries[entry].handle_return_ack(&self.account, lease);
            }
            FleetEvent::Finished(entry, reservation, unused) => {
                self.entries[entry].settle(now, &self.account, &reservation, unused);
                self.flush_client(now, entry);
            }
            FleetEvent::Tick => {
                for entry in 0..self.entries.len() {
                    self.entries[entry].tick(now);
                    self.flush_client(now, entry);
                }
                self.propose_blocks(now);
                if now < end {
                    self.push(now + TICK_INTERVAL, FleetEvent::Tick);
                }
            }
            FleetEvent::Committed(tokens) => {
                for table in &mut self.tables {
                    table.apply_block(now, &self.account, tokens);
                }
            }
            FleetEvent::LeaderLost => {
                self.leading = false;
                self.tables[0].stop_leading();
            }
            FleetEvent::LeaderElected => {
                self.leading = true;
                self.tables.swap(0, 1);
                self.tables[0].start_leading(now, 2);
            }
        }
    }

    fn handle_arrival(&mut self, now: Instant, idx: usize) {
        let request = &self.requests[idx];
        let entry = request.entry;
        let deadline = now + self.setup.deadline;
        let client = &mut self.entries[entry];
        let outcome = client.reserve(now, &self.account, idx as u64, request.reserved, deadline);
        if let ReserveOutcome::Reserved(reservation) = outcome {
            self.admit(now, idx, reservation);
        }
        self.flush_client(now, entry);
    }

    fn admit(&mut self, now: Instant, idx: usize, reservation: Reservation) {
        let request = &self.requests[idx];
        self.admitted.insert(idx);
        self.waits.push(now - request.at);
        self.spends.push(Spend {
            at: now,
            tokens: request.used,
        });
        let unused = request.reserved - request.used;
        let event = FleetEvent::Finished(request.entry, reservation, unused);
        self.push(now + request.run_time, event);
    }

    fn flush_client(&mut self, now: Instant, entry: usize) {
        for event in self.entries[entry].take_events() {
            if let ReserveOutcome::Reserved(reservation) = event.outcome {
                self.admit(now, event.ticket as usize, reservation);
            }
        }
        for message in self.entries[entry].take_messages() {
            self.push(now + LINK_DELAY, FleetEvent::ToLeader(entry, message));
        }
    }

    fn handle_message(&mut self, now: Instant, entry: usize, message: LeaseMessage) {
        let holder = Bytes::from(format!("entry-{entry}"));
        let back = now + LINK_DELAY;
        match message {
            LeaseMessage::Request {
                sequence,
                account,
                min_tokens,
                tokens,
                demand,
                max_wait,
            } => {
                let request = TokenRequest {
                    holder,
                    min_tokens,
                    tokens,
                    demand,
                    max_wait,
                };
                let decision = self.tables[0].handle_request(now, &account, &request);
                let answer = LeaseAnswer {
                    sequence,
                    lease: decision.lease,
                    tokens: decision.tokens,
                    lifetime: decision.lifetime,
                    retry_after: decision.retry_after,
                    rate: decision.rate,
                    unavailable: !self.leading,
                };
                self.push(back, FleetEvent::ToEntry(entry, answer));
            }
            LeaseMessage::Return { lease, unspent, .. } => {
                if self.leading {
                    self.tables[0].close_lease(now, &self.account, &holder, lease, unspent);
                    self.push(back, FleetEvent::ReturnAcknowledged(entry, lease));
                }
            }
            LeaseMessage::Refund {
                number,
                lease,
                tokens,
                ..
            } => {
                let refund = TokenRefund {
                    holder,
                    number,
                    lease,
                    tokens,
                };
                self.tables[0].apply_refund(now, &self.account, &refund);
            }
        }
        self.propose_blocks(now);
    }

    fn propose_blocks(&mut self, now: Instant) {
        if let Some(tokens) = self.tables[0].propose_block(now, &self.account) {
            self.push(now + COMMIT_DELAY, FleetEvent::Committed(tokens));
        }
    }
}
