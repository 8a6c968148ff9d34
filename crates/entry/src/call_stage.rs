//! The stages of a call, whose order `charts/request.toml` gives.

use mulberrywell_chart::{ChartSymbol, StateChart};

/// Where a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStage {
    /// Its account, grants and limits are known.
    Admitted,
    /// It waits for tokens of its account.
    Reserving,
    /// It waits for the claim of its idempotency key.
    Claiming,
    /// Attempts are made.
    Running,
    /// It has its final answer.
    Ended,
}

/// What moves a call on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEvent {
    /// Tokens are not there yet.
    TokensWanted,
    /// The request may run only once and names an idempotency key.
    ClaimWanted,
    /// An attempt starts.
    Attempt,
    /// The final answer goes out.
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

/// The chart of calls.
pub type CallChart = StateChart<CallStage, CallEvent>;

const CHART_FILE: &str = "charts/request.toml";
const CHART_TEXT: &str = include_str!("../../../charts/request.toml");

/// Reads the chart that the program was built with.
///
/// # Panics
/// Panics when the chart does not fit the code; a test reads it.
pub fn call_chart() -> CallChart {
    StateChart::parse(CHART_FILE, CHART_TEXT).expect("the built-in chart fits the code")
}
