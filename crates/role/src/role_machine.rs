//! The trait of a role and the events and actions that all roles share.

use std::time::Instant;

use crate::{
    AnswerPart, ExchangeCommand, ExchangeEvent, HttpEvent, LinkCommand, LinkEvent, ListenerId,
    RequestBounds, RequestId,
};

/// An event of any role.
#[derive(Debug)]
pub enum RoleEvent<E> {
    /// Something happened on a link.
    Link(LinkEvent),
    /// The deadline that the role named has come.
    Timer,
    /// The process was asked to shut down gracefully.
    Shutdown,
    /// Something happened in an exchange with an endpoint.
    Exchange(ExchangeEvent),
    /// Something happened at one of the role's own HTTP listeners.
    Caller(ListenerId, HttpEvent),
    /// An event that only this role has.
    Own(E),
}

/// How grave a line of the log is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// For developers.
    Debug,
    /// Ordinary operation.
    Info,
    /// Needs attention if it lasts.
    Warn,
    /// Something failed.
    Error,
}

/// What a metric's number means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Adds to a counter.
    Count,
    /// Sets a value.
    Gauge,
    /// A duration in milliseconds.
    TimeMs,
}

/// An action of any role.
#[derive(Debug)]
pub enum RoleAction<A> {
    /// Asks for something on a link.
    Link(LinkCommand),
    /// Writes a line of the log.
    Log(LogLevel, String),
    /// Reports a metric.
    Metric(MetricKind, &'static str, u64),
    /// Asks for something in an exchange with an endpoint.
    Exchange(ExchangeCommand),
    /// Sends a part of an answer to a caller of the role's own listeners.
    Answer(RequestId, AnswerPart),
    /// Bounds callers of a listener from now on.
    Bound(ListenerId, RequestBounds),
    /// Answers end their connections from now on, and idle ones are closed.
    CloseCallers(ListenerId),
    /// Takes no further callers at a listener.
    StopCallers(ListenerId),
    /// The graceful shutdown has ended.
    Finished,
    /// An action that only this role has.
    Own(A),
}

/// A role as a pure state machine.
pub trait RoleMachine {
    /// Events that only this role has.
    type Event;
    /// Actions that only this role has.
    type Action;

    /// Takes one event at `now` and appends the actions that follow.
    ///
    /// `now` never falls from call to call.
    fn handle(
        &mut self,
        now: Instant,
        event: RoleEvent<Self::Event>,
        actions: &mut Vec<RoleAction<Self::Action>>,
    );

    /// Returns when the role wants a [`RoleEvent::Timer`], if at all.
    fn deadline(&self) -> Option<Instant>;
}
