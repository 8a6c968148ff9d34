//! The interface between a role's state machine and its host.
//!
//! Purpose: entry, gateway, agent and control are [`RoleMachine`]s: they handle
//! an event at an instant and append actions. They own no socket, file, thread,
//! clock or unseeded randomness, so any host can drive them.
//!
//! Requirements for a host: events of one link are passed in order; no event of
//! a link follows its [`LinkEvent::Closed`]; actions are carried out in order;
//! `handle` is called with [`RoleEvent::Timer`] no later than
//! [`RoleMachine::deadline`] plus the host's delay.

mod dialer_set;
mod endpoint_exchange;
mod http_exchange;
mod link_exchange;
mod role_machine;
mod seed_dialer;

pub use dialer_set::DialerSet;
pub use endpoint_exchange::{ExchangeCommand, ExchangeEnd, ExchangeEvent, ExchangeId};
pub use http_exchange::{
    header_value, ConnectionBounds, HttpEvent, HttpRequest, ListenerId, RequestId, ResponsePart,
};
pub use link_exchange::{LinkCommand, LinkEvent, LinkId};
pub use role_machine::{LogLevel, MetricKind, RoleAction, RoleEvent, RoleMachine};
pub use seed_dialer::{SeedDialer, SeedState};
