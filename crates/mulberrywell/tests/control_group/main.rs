//! Three control instances in real processes: loss, repair, freezes and cuts,
//! and what entries hold meanwhile.

#[path = "../common/mod.rs"]
mod common;
mod entry_cases;
mod group_helper;
mod measure;
mod member_cases;
