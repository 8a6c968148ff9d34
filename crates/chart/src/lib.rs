//! State charts: parsed from a file, verified and interpreted.
//!
//! Purpose: life cycles (endpoint, model residency, request, member) are
//! transition tables in `charts/*.toml`; the code defines states and events as
//! enums and looks up the next state in the chart.
//!
//! Guarantees: a chart is accepted only if it contains exactly the states and
//! events of the code, every state is reachable, a final state has no outgoing
//! transition, any other state has one, and no two transitions have the same
//! source state and event. All findings are reported together.

mod chart_symbol;
mod state_chart;

pub use chart_symbol::ChartSymbol;
pub use state_chart::StateChart;
