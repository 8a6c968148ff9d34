//! A randomized soak: the real programs as separate processes on one machine,
//! under faults that are injected from outside them.
//!
//! Purpose: find breaches of the promises to callers and endpoints that no
//! single test was written for. A seed gives the faults and their times; callers
//! and operators go on all the while.
//!
//! Guarantees: only processes that a run started are signalled, by their ids;
//! all traffic stays on loopback addresses. A breach is reported only where the
//! records of callers, endpoints and operators leave no other explanation.
//!
//! Algorithm: [`SoakPlan`] draws a schedule, [`SoakCluster`] starts the
//! processes behind proxies, [`run_soak`] plays the schedule beside the traffic,
//! heals everything, waits until the deployment has settled, and checks the
//! records with [`find_breaches`].

mod soak_checks;
mod soak_cluster;
mod soak_plan;
mod soak_run;
mod soak_traffic;

pub use soak_checks::{find_breaches, SoakBreach, SoakRecords};
pub use soak_cluster::{ClusterSize, SoakCluster};
pub use soak_plan::{PlannedFault, SoakFault, SoakPlan};
pub use soak_run::{run_soak, SoakReport, SoakSettings};
pub use soak_traffic::{CallKind, CallRecord, ReadRecord, VersionRecord};
