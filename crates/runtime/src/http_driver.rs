//! HTTP input and output of a role: callers at its listeners and exchanges with
//! endpoints.
//!
//! Algorithm: the process's poll reports ready sockets; the resulting events
//! are collected, and the role's host passes them to the role one at a time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use mulberrywell_role::{ExchangeCommand, ExchangeEnd, ExchangeEvent, HttpEvent, ListenerId};

use crate::caller_table::{CallerEvents, CallerTable};
use crate::exchange_table::{ExchangeStart, ExchangeTable};
use crate::http_socket::READ_LEN;

/// Interval at which the timeouts of connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// An event for the role.
#[derive(Debug)]
pub enum DriverEvent {
    /// An event of a caller.
    Http(ListenerId, HttpEvent),
    /// An event of an exchange.
    Exchange(ExchangeEvent),
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
    /// Set once the role has a listener or has started an exchange.
    is_active: bool,
}

impl HttpDriver {
    /// Creates a driver without connections.
    pub fn new(now: Instant) -> Self {
        HttpDriver {
            callers: CallerTable::default(),
            exchanges: ExchangeTable::default(),
            events: VecDeque::new(),
            scratch: Vec::new(),
            caller_events: Vec::new(),
            exchange_events: Vec::new(),
            next_sweep: now + SWEEP_INTERVAL,
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
            } => {
                let start = ExchangeStart {
                    exchange,
                    address,
                    http,
                    echoed_field,
                    connect_timeout,
                };
                let reused = self.exchanges.reuse(&start, &mut self.exchange_events);
                (!reused).then_some(start)
            }
            ExchangeCommand::Cancel { exchange } => {
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
        [read, connect, sweep].into_iter().flatten().min()
    }

    /// Reads connections again where that is due, and applies the timeouts of all
    /// connections.
    pub fn tick(&mut self, now: Instant) {
        let scratch = &mut self.scratch;
        self.callers
            .read_again(now, scratch, &mut self.caller_events);
        self.exchanges
            .read_again(now, scratch, &mut self.exchange_events);
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.callers.tick(now, &mut self.caller_events);
        self.exchanges.tick(now, &mut self.exchange_events);
    }

    fn collect_events(&mut self) {
        let callers = self.caller_events.drain(..);
        self.events
            .extend(callers.map(|(listener, event)| DriverEvent::Http(listener, event)));
        let exchanges = self.exchange_events.drain(..);
        self.events.extend(exchanges.map(DriverEvent::Exchange));
    }
}
