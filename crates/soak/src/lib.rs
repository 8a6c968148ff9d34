//! A randomized soak test: the real programs run as separate processes on one
//! machine while faults are injected from outside.
//!
//! Purpose: find breaches of the guarantees to callers and endpoints that no
//! single test covers. A seed determines the faults and their times; callers and
//! operators stay active throughout.
//!
//! Guarantees: a run signals only processes that it started, by process id; all
//! traffic stays on loopback addresses. A breach is reported only if the records
//! of callers, endpoints and operators leave no other explanation.
//!
//! Algorithm: [`SoakPlan`] draws a fault schedule and [`SoakCluster`] starts the
//! processes behind proxies. [`run_soak`] executes the schedule while traffic
//! runs, clears all faults, waits until the deployment has recovered, and checks
//! the records with [`find_breaches`].

mod soak_checks;
mod soak_cluster;
mod soak_departures;
mod soak_plan;
mod soak_run;
mod soak_traffic;

pub use soak_checks::{find_breaches, SoakBreach, SoakRecords};
pub use soak_cluster::{ClusterSize, SoakCluster};
pub use soak_plan::{PlannedFault, SoakFault, SoakPlan};
pub use soak_run::{run_soak, PlanKind, SoakReport, SoakSettings};
pub use soak_traffic::{CallKind, CallRecord, ReadRecord, VersionRecord};
