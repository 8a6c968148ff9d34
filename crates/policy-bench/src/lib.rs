//! Measures the policy in virtual time.
//!
//! Purpose: drives the agent role, the entry's endpoint choice and the placement
//! planner in one process, with simple fakes of the engine, the weight store and
//! the network, and prints one table row per cell. No part of the product depends
//! on this package.
//!
//! Guarantees: the figures of a cell depend on its deployment, scenario, variant
//! and seeds alone.

mod bench_control;
mod bench_entry;
mod bench_matrix;
mod bench_simulation;
mod event_queue;
mod fake_engine;
mod planner_cost;
mod request_stream;
mod run_result;

pub use bench_control::BenchControl;
pub use bench_entry::BenchEntries;
pub use bench_matrix::{
    deployments, variants, Deployment, PlacementRule, RouteRule, Scenario, Variant,
};
pub use bench_simulation::BenchSimulation;
pub use planner_cost::measure;
pub use run_result::{print_row, print_table_header, RunResult};
