//! Tests of three control instances in real processes: loss, repair, suspension and
//! partitions, and the configuration at entries meanwhile.

#[path = "../common/mod.rs"]
mod common;
mod entry_cases;
mod group_helper;
mod measure;
mod member_cases;
