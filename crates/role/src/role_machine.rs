//! The trait of a role, and the events and actions common to all roles.

use std::time::Instant;

use crate::{
    ConnectionBounds, ExchangeCommand, ExchangeEvent, HttpEvent, LinkCommand, LinkEvent,
    ListenerId, RequestId, ResponsePart,
};

/// An event of any role.
#[derive(Debug)]
pub enum RoleEvent<E> {
    /// An event of a link.
    Link(LinkEvent),
    /// The role's deadline has passed.
    Timer,
    /// The process received a request to shut down gracefully.
    Shutdown,
    /// An event of an exchange with an endpoint.
    Exchange(ExchangeEvent),
    /// An event at one of the role's own HTTP listeners.
    Http(ListenerId, HttpEvent),
    /// An event specific to this role.
    RoleSpecific(E),
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// For developers.
    Debug,
    /// Normal operation.
    Info,
    /// Needs attention if it persists.
    Warn,
    /// Something failed.
    Error,
}

/// Kind of a metric's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Adds to a counter.
    Count,
    /// Sets a value.
    Gauge,
    /// Records a duration in milliseconds.
    DurationMs,
}

/// An action of any role.
#[derive(Debug)]
pub enum RoleAction<A> {
    /// A command for a link.
    Link(LinkCommand),
    /// Writes a line to the log.
    Log(LogLevel, String),
    /// Reports a metric.
    Metric(MetricKind, &'static str, u64),
    /// A command for an exchange with an endpoint.
    Exchange(ExchangeCommand),
    /// Sends a part of a response to a caller of the role's own listeners.
    Respond(RequestId, ResponsePart),
    /// Sets the limits on callers of a listener from now on.
    SetConnectionBounds(ListenerId, ConnectionBounds),
    /// Closes the idle connections of a listener, and each other connection after
    /// its response.
    DrainConnections(ListenerId),
    /// Accepts no further callers at a listener.
    StopAccepting(ListenerId),
    /// The graceful shutdown has ended.
    Finished,
    /// As [`RoleAction::Finished`], once the callers have been sent what is queued for
    /// them, or at this instant at the latest.
    FinishedBy(Instant),
    /// An action specific to this role.
    RoleSpecific(A),
}

/// A role as a pure state machine.
pub trait RoleMachine {
    /// Events specific to this role.
    type Event;
    /// Actions specific to this role.
    type Action;

    /// Handles one event at `now` and appends the resulting actions.
    ///
    /// `now` must not decrease from call to call.
    fn handle(
        &mut self,
        now: Instant,
        event: RoleEvent<Self::Event>,
        actions: &mut Vec<RoleAction<Self::Action>>,
    );

    /// Returns when the role needs a [`RoleEvent::Timer`], if at all.
    fn deadline(&self) -> Option<Instant>;
}
