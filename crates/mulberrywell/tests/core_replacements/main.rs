//! Losses of machines and disks around planned replacements of control instances, with real
//! processes.

#[path = "../common/mod.rs"]
mod common;

mod absences;
mod core_group;
mod disk_losses;
