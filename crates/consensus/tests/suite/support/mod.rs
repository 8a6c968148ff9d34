//! A fake disk, a cluster in virtual time and the rules that it must keep.

pub mod cluster_oracle;
pub mod fake_disk;
pub mod fault_plan;
pub mod virtual_cluster;
pub mod virtual_member;
