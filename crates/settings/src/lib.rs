//! TOML settings of a process and the operators' two lists.
//!
//! Purpose: turns text into checked values, for `serve`, for the agent and for
//! the operators' `check` and `apply`.
//!
//! Guarantees: all findings of a text are reported together, each with file,
//! line and column; a text with a finding yields no value, so that settings and
//! lists are never applied in part; an unknown field is a finding.
//!
//! Algorithm: the text is parsed into spanned tables; a [`TableReader`] removes
//! the known fields one by one and reports the remaining ones as unknown.

mod finding;
mod grant_list;
mod plan_list;
mod process_settings;
mod table_reader;

pub use finding::{Finding, FindingList};
pub use grant_list::GrantList;
pub use plan_list::PlanList;
pub use process_settings::{
    AgentSettings, CallerSettings, ControlSettings, EndpointKind, EndpointSettings, EntrySettings,
    GatewaySettings, InstanceSettings, LogSettings, MetricSettings, ServeSettings,
};
pub use table_reader::TableReader;
