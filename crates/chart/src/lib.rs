//! State charts: read from a file, verified whole and interpreted.
//!
//! Purpose: life cycles (endpoint, model residency, request, member) are
//! tables in `charts/*.toml`; the code names states and events by enums and
//! asks the chart for the next state.
//!
//! Guarantees: a chart is accepted only if every state and event of the code
//! stands in it and the reverse, every state is reachable, a final state has
//! no exit, any other has one, and no two transitions share state and event.
//! All findings are reported together.

mod chart_symbol;
mod state_chart;

pub use chart_symbol::ChartSymbol;
pub use state_chart::StateChart;
