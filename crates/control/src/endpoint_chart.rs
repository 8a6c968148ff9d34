//! The state chart of an endpoint's registration, interpreted from
//! `charts/endpoint.toml`.
//!
//! Guarantees: the entire chart is verified before the role starts; a signal
//! without a transition in the current state has no effect.

use mulberrywell_chart::{ChartSymbol, StateChart};
use mulberrywell_settings::Finding;
use mulberrywell_wire::command::EndpointSignal;
use mulberrywell_wire::config::EndpointState;

const CHART_FILE: &str = "charts/endpoint.toml";
const CHART_TEXT: &str = include_str!("../../../charts/endpoint.toml");

/// State of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Announced, but not ready for requests.
    Joining,
    /// Accepts requests.
    Live,
    /// No heartbeat for longer than `suspect_after`; used only if no other
    /// endpoint is left.
    Suspect,
    /// Accepts no new requests.
    Leaving,
    /// Removed from the registry.
    Gone,
}

impl ChartSymbol for EndpointPhase {
    const ALL: &'static [(Self, &'static str)] = &[
        (EndpointPhase::Joining, "joining"),
        (EndpointPhase::Live, "live"),
        (EndpointPhase::Suspect, "suspect"),
        (EndpointPhase::Leaving, "leaving"),
        (EndpointPhase::Gone, "gone"),
    ];
}

/// An event that may change an endpoint's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointEvent {
    /// Its agent reports that it is ready.
    Ready,
    /// No heartbeat for `suspect_after`.
    Silent,
    /// A heartbeat after a silent period.
    Heard,
    /// An operator or the agent drains it.
    Drain,
    /// No heartbeat for `gone_after`.
    Lost,
}

impl ChartSymbol for EndpointEvent {
    const ALL: &'static [(Self, &'static str)] = &[
        (EndpointEvent::Ready, "ready"),
        (EndpointEvent::Silent, "silent"),
        (EndpointEvent::Heard, "heard"),
        (EndpointEvent::Drain, "drain"),
        (EndpointEvent::Lost, "lost"),
    ];
}

/// The verified chart.
#[derive(Debug, Clone)]
pub struct EndpointChart {
    chart: StateChart<EndpointPhase, EndpointEvent>,
}

impl EndpointChart {
    /// Parses and verifies the chart.
    ///
    /// # Errors
    /// Fails with all faults found in the chart.
    pub fn open() -> Result<Self, Vec<Finding>> {
        let chart = StateChart::parse(CHART_FILE, CHART_TEXT)?;
        Ok(EndpointChart { chart })
    }

    /// Returns the state after a signal, or `None` if the signal does not
    /// change it.
    pub fn next(&self, state: EndpointState, signal: EndpointSignal) -> Option<EndpointState> {
        let next = self.chart.next(phase_of(state)?, event_of(signal)?)?;
        Some(state_of(next))
    }

    /// Returns the state of a new registration.
    pub fn initial(&self) -> EndpointState {
        state_of(self.chart.initial())
    }
}

fn phase_of(state: EndpointState) -> Option<EndpointPhase> {
    match state {
        EndpointState::Unspecified => None,
        EndpointState::Joining => Some(EndpointPhase::Joining),
        EndpointState::Live => Some(EndpointPhase::Live),
        EndpointState::Suspect => Some(EndpointPhase::Suspect),
        EndpointState::Leaving => Some(EndpointPhase::Leaving),
        EndpointState::Gone => Some(EndpointPhase::Gone),
    }
}

fn state_of(phase: EndpointPhase) -> EndpointState {
    match phase {
        EndpointPhase::Joining => EndpointState::Joining,
        EndpointPhase::Live => EndpointState::Live,
        EndpointPhase::Suspect => EndpointState::Suspect,
        EndpointPhase::Leaving => EndpointState::Leaving,
        EndpointPhase::Gone => EndpointState::Gone,
    }
}

fn event_of(signal: EndpointSignal) -> Option<EndpointEvent> {
    match signal {
        EndpointSignal::Unspecified => None,
        EndpointSignal::Ready => Some(EndpointEvent::Ready),
        EndpointSignal::Silent => Some(EndpointEvent::Silent),
        EndpointSignal::Heard => Some(EndpointEvent::Heard),
        EndpointSignal::Drain => Some(EndpointEvent::Drain),
        EndpointSignal::Lost => Some(EndpointEvent::Lost),
    }
}
