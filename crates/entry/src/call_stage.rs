//! The stages of a call. `charts/request.toml` defines the transitions.

use mulberrywell_chart::{ChartSymbol, StateChart};

/// Stage of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStage {
    /// Its account, grants and limits were checked.
    Admitted,
    /// It waits for tokens of its account.
    Reserving,
    /// It waits for the claim of its idempotency key.
    Claiming,
    /// An attempt was started.
    Running,
    /// Its final response was sent.
    Ended,
}

/// Event that causes a transition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEvent {
    /// The account's tokens are not available yet.
    TokensWanted,
    /// The request may run only once and has an idempotency key.
    ClaimWanted,
    /// An attempt starts.
    Attempt,
    /// The final response is sent.
    End,
}

impl ChartSymbol for CallStage {
    const ALL: &'static [(Self, &'static str)] = &[
        (CallStage::Admitted, "admitted"),
        (CallStage::Reserving, "reserving"),
        (CallStage::Claiming, "claiming"),
        (CallStage::Running, "running"),
        (CallStage::Ended, "ended"),
    ];
}

impl ChartSymbol for CallEvent {
    const ALL: &'static [(Self, &'static str)] = &[
        (CallEvent::TokensWanted, "tokens_wanted"),
        (CallEvent::ClaimWanted, "claim_wanted"),
        (CallEvent::Attempt, "attempt"),
        (CallEvent::End, "end"),
    ];
}

/// The state chart of calls.
pub type CallChart = StateChart<CallStage, CallEvent>;

const CHART_FILE: &str = "charts/request.toml";
const CHART_TEXT: &str = include_str!("../../../charts/request.toml");

/// Parses the built-in chart.
///
/// # Panics
/// Panics when the chart does not match the code; a test parses it.
pub fn call_chart() -> CallChart {
    StateChart::parse(CHART_FILE, CHART_TEXT).expect("the built-in chart fits the code")
}
