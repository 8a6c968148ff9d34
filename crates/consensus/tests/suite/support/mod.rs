//! Test support: a fake disk, a cluster in virtual time and its invariants.

pub mod absence_plan;
pub mod cluster_oracle;
pub mod fake_disk;
pub mod fault_plan;
pub mod virtual_cluster;
pub mod virtual_member;
pub mod virtual_network;
