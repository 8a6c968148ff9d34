//! The life of an endpoint's registration, interpreted from
//! `charts/endpoint.toml`.
//!
//! Guarantees: the chart is verified whole before the role starts; a signal
//! that has no transition in the present state changes nothing.

use mulberrywell_chart::{ChartSymbol, StateChart};
use mulberrywell_settings::Finding;
use mulberrywell_wire::command::EndpointSignal;
use mulberrywell_wire::config::EndpointState;

const CHART_FILE: &str = "charts/endpoint.toml";
const CHART_TEXT: &str = include_str!("../../../charts/endpoint.toml");

/// State of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Announced, but not ready to answer.
    Joining,
    /// Takes requests.
    Live,
    /// Silent for longer than the bound; tried only where nothing else is left.
    Suspect,
    /// Takes no new requests.
    Leaving,
    /// Forgotten.
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

/// What happened to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointEvent {
    /// Its agent says that it answers.
    Ready,
    /// No heartbeat for the first bound.
    Silent,
    /// A heartbeat after silence.
    Heard,
    /// An operator or its agent ends it.
    Drain,
    /// No heartbeat for the last bound.
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
    /// Reads and verifies the chart.
    ///
    /// # Errors
    /// Fails with everything that is wrong in the chart.
    pub fn open() -> Result<Self, Vec<Finding>> {
        let chart = StateChart::parse(CHART_FILE, CHART_TEXT)?;
        Ok(EndpointChart { chart })
    }

    /// Returns the state after a signal, if the signal changes the state.
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
