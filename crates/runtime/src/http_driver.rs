//! HTTP input and output of a role: callers at its listeners and exchanges with
//! endpoints.
//!
//! Algorithm: the process's poll reports ready sockets; the resulting events
//! are collected, and the role's host passes them to the role one at a time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use mulberrywell_role::{
    ExchangeCommand, ExchangeEnd, ExchangeEvent, HttpEvent, ListenerId, RequestId, ResponsePart,
};

use crate::caller_budget::{CallerBudget, CallerCharge, RefusalCounts};
use crate::caller_table::{CallerEvents, CallerId, CallerTable, EndedCaller};
use crate::exchange_table::{ConnectionId, ExchangeStart, ExchangeTable};
use crate::held_memory::{HeldMemory, UNREAD_TIMEOUT};
use crate::http_socket::READ_LEN;

/// Interval at which the timeouts of connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Log lines for each sweep about callers that don't read.
const ENDED_LINES_MAX: usize = 5;

/// An event for the role.
#[derive(Debug)]
pub enum DriverEvent {
    /// An event of a caller.
    Http(ListenerId, HttpEvent),
    /// An event of an exchange.
    Exchange(ExchangeEvent),
}

/// What a sweep found of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetReport {
    /// Bytes held for callers and endpoints.
    pub held: u64,
    /// Descriptors that callers' connections use.
    pub descriptors: u64,
    /// Responses that are not read from their endpoints, as their callers don't read.
    pub paused: u64,
    /// What was refused or closed since the last report.
    pub counts: RefusalCounts,
}

/// HTTP connections and pending events of one role.
pub struct HttpDriver {
    /// Connections of callers.
    pub callers: CallerTable,
    /// Exchanges with endpoints.
    pub exchanges: ExchangeTable,
    /// Events not yet passed to the role.
    events: VecDeque<DriverEvent>,
    /// Read buffer, reused between reads.
    pub scratch: Vec<u8>,
    /// Events of callers not yet collected; reused between reads.
    pub caller_events: CallerEvents,
    /// Events of exchanges not yet collected; reused between reads.
    pub exchange_events: Vec<ExchangeEvent>,
    next_sweep: Instant,
    memory: HeldMemory,
    budget: CallerBudget,
    /// What the connections to endpoints hold.
    endpoint_charge: CallerCharge,
    /// Callers ended since the last sweep, beyond those with a log line.
    ended: Vec<EndedCaller>,
    /// Set by each sweep.
    report: Option<BudgetReport>,
    /// Set once the role has a listener or has started an exchange.
    is_active: bool,
}

impl HttpDriver {
    /// Creates a driver without connections with a process's budget.
    pub fn new(now: Instant, budget: CallerBudget) -> Self {
        HttpDriver {
            callers: CallerTable::new(budget.clone()),
            exchanges: ExchangeTable::default(),
            events: VecDeque::new(),
            scratch: Vec::new(),
            caller_events: Vec::new(),
            exchange_events: Vec::new(),
            next_sweep: now + SWEEP_INTERVAL,
            memory: HeldMemory::new(budget.clone()),
            endpoint_charge: budget.charge(),
            budget,
            ended: Vec::new(),
            report: None,
            is_active: false,
        }
    }

    /// Allocates the read buffer and starts the timeout checks on first use.
    pub fn activate(&mut self) {
        if !self.is_active {
            self.is_active = true;
            self.scratch = vec![0; READ_LEN];
        }
    }

    /// Removes and returns the next event for the role.
    pub fn pop_event(&mut self) -> Option<DriverEvent> {
        self.collect_events();
        self.events.pop_front()
    }

    /// Returns whether an event is pending.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
            || !self.caller_events.is_empty()
            || !self.exchange_events.is_empty()
    }

    /// Cancels an exchange, or starts one on an idle connection; returns the
    /// exchange if it needs a new connection.
    pub fn handle_command(&mut self, command: ExchangeCommand) -> Option<ExchangeStart> {
        self.activate();
        match command {
            ExchangeCommand::Start {
                exchange,
                address,
                http,
                echoed_field,
                connect_timeout,
                reader,
            } => {
                // The end of a caller that has gone is on its way to the role.
                let reader = reader.filter(|it| self.callers.backlog(*it).is_some());
                if let Some(request) = reader {
                    self.memory.insert_reader(exchange, request);
                }
                let start = ExchangeStart {
                    exchange,
                    address,
                    http,
                    echoed_field,
                    connect_timeout,
                };
                if self.exchanges.reuse(&start, &mut self.exchange_events) {
                    return None;
                }
                if self
                    .budget
                    .is_short_of_descriptors(self.exchanges.open_count())
                {
                    self.exchanges.close_idle();
                }
                Some(start)
            }
            ExchangeCommand::Cancel { exchange } => {
                self.memory.remove_reader(exchange);
                self.exchanges.cancel(exchange);
                None
            }
        }
    }

    /// Reports an exchange whose connection could not be opened.
    pub fn fail_start(&mut self, start: &ExchangeStart) {
        let end = ExchangeEnd::NotSent("no connection could be opened");
        let exchange = start.exchange;
        self.exchange_events
            .push(ExchangeEvent::End { exchange, end });
    }

    /// Writes the bytes queued for callers.
    pub fn flush(&mut self) {
        self.callers.flush(&mut self.caller_events);
    }

    /// Returns when [`HttpDriver::tick`] must be called next.
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        let has_unread = self.exchanges.has_unread() || self.callers.has_unread();
        let read = has_unread.then_some(now);
        let connect = self.exchanges.deadline();
        let sweep = self.is_active.then_some(self.next_sweep);
        let accept = self.callers.accept_deadline();
        [read, connect, sweep, accept].into_iter().flatten().min()
    }

    /// Reads connections again where that is due, and applies the timeouts of all
    /// connections.
    pub fn tick(&mut self, now: Instant) {
        let scratch = &mut self.scratch;
        self.callers
            .read_again(now, scratch, &mut self.caller_events);
        for id in self.exchanges.take_unread() {
            self.read_endpoint(now, id);
        }
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.callers.tick(now, &mut self.caller_events);
        self.exchanges.tick(now, &mut self.exchange_events);
        self.check_unread(now);
    }

    /// Handles a caller's connection that is ready to read or write.
    pub fn read_caller(&mut self, now: Instant, id: CallerId) {
        let events = &mut self.caller_events;
        self.callers
            .handle_ready(now, id, &mut self.scratch, events);
        let request = self.callers.request_in_flight(id);
        if let Some(paused) = request.and_then(|request| self.memory.paused_by(request)) {
            self.read_endpoint(now, paused);
        }
    }

    /// Handles the end of a caller's bytes, if those before it are not read.
    pub fn close_paused(&mut self, id: CallerId) {
        self.callers.close_paused(id, &mut self.caller_events);
    }

    /// Handles a connection to an endpoint that is ready to read or write. It is not read
    /// while its response's caller has too much unread, or the role holds too much of it.
    pub fn read_endpoint(&mut self, now: Instant, id: ConnectionId) {
        let exchange = self.exchanges.exchange_on(id);
        let request = exchange.and_then(|exchange| self.memory.reader(exchange));
        let backlog = request.and_then(|request| self.callers.backlog(request));
        let unread = backlog.map_or(0, |(unread, _)| unread);
        let allowance = self.memory.read_allowance(request, unread);
        if let (0, Some(request), Some(exchange)) = (allowance, request, exchange) {
            if self.memory.is_role_full(request) {
                self.exchange_events.push(ExchangeEvent::Full { exchange });
                self.memory.record_passed(exchange);
            }
            self.memory.pause(now, id, request);
            return;
        }
        self.memory.resume(id);
        self.exchanges.set_turn_max(id, allowance);
        self.exchanges
            .handle_ready(now, id, &mut self.scratch, &mut self.exchange_events);
    }

    /// Queues a part of a response.
    pub fn respond(&mut self, now: Instant, request: RequestId, part: ResponsePart) {
        match &part {
            ResponsePart::Data(data) => self.memory.record_responded(request, data.len()),
            ResponsePart::End | ResponsePart::Abort => self.memory.remove_request(request),
            ResponsePart::Head { .. } => {}
        }
        let events = &mut self.caller_events;
        self.callers.queue_response_part(now, request, part, events);
        if self.budget.is_over() {
            self.enforce_limit(now);
        }
    }

    /// Returns the bytes held for callers and endpoints.
    pub fn held_bytes(&self) -> usize {
        self.budget.held()
    }

    /// Ends callers until what is held is within the bound.
    fn enforce_limit(&mut self, now: Instant) {
        self.endpoint_charge.set(self.exchanges.held_bytes());
        if self.budget.is_over() {
            // What was queued just now may be read at once.
            self.callers.flush(&mut self.caller_events);
        }
        let (events, ended) = (&mut self.caller_events, &mut self.ended);
        while self.budget.is_over() && self.callers.end_largest(now, events, ended) {}
    }

    /// Reads the responses again whose callers have read, and ends the callers that have
    /// read nothing for too long.
    fn check_unread(&mut self, now: Instant) {
        self.enforce_limit(now);
        for (id, paused) in self.memory.paused() {
            let Some((_, read_at)) = self.callers.backlog(paused.request) else {
                self.memory.resume(id);
                self.read_endpoint(now, id);
                continue;
            };
            if now.saturating_duration_since(read_at.max(paused.since)) < UNREAD_TIMEOUT {
                self.read_endpoint(now, id);
                continue;
            }
            self.memory.resume(id);
            let events = &mut self.caller_events;
            self.ended
                .extend(self.callers.end_request(paused.request, events));
        }
        self.report = Some(BudgetReport {
            held: self.budget.held() as u64,
            descriptors: self.budget.descriptors() as u64,
            paused: self.memory.paused().len() as u64,
            counts: self.budget.take_counts(),
        });
        self.log_ended();
    }

    /// Removes and returns the report of the last sweep.
    pub fn take_report(&mut self) -> Option<BudgetReport> {
        self.report.take()
    }

    fn log_ended(&mut self) {
        let more = self.ended.len().saturating_sub(ENDED_LINES_MAX);
        for ended in self.ended.drain(..).take(ENDED_LINES_MAX) {
            spdlog::warn!(
                "http: caller={} held={} outcome=ended cause=\"the caller doesn't read\"",
                ended.address,
                ended.held
            );
        }
        if more > 0 {
            spdlog::warn!("http: callers={more} outcome=ended cause=\"the callers don't read\"");
        }
    }

    fn collect_events(&mut self) {
        for (_, event) in &self.caller_events {
            if let HttpEvent::Disconnected { request } = event {
                self.memory.remove_request(*request);
            }
        }
        let callers = self.caller_events.drain(..);
        self.events
            .extend(callers.map(|(listener, event)| DriverEvent::Http(listener, event)));
        for event in &self.exchange_events {
            match event {
                ExchangeEvent::Head { .. } | ExchangeEvent::Full { .. } => {}
                ExchangeEvent::Data { exchange, data } => {
                    self.memory.record_received(*exchange, data.len());
                }
                ExchangeEvent::End { exchange, .. } => self.memory.remove_reader(*exchange),
            }
        }
        let exchanges = self.exchange_events.drain(..);
        self.events.extend(exchanges.map(DriverEvent::Exchange));
    }
}
