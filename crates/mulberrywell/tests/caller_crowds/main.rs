//! Crowds of callers that don't behave, at each port of each process.
//!
//! The tests check what doesn't depend on the machine's speed: that the process lives, that
//! its memory and descriptors stay under a bound, and that an ordinary request is answered.
//! They run one at a time, as each measures a process under load.

mod arrival_crowds;
mod calm_costs;
#[path = "../common/mod.rs"]
mod common;
mod control_crowds;
mod crowd;
mod decoded_crowds;
mod entry_crowds;
mod gateway_crowds;
mod link_crowds;
mod mixed_crowds;
mod status_crowds;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Memory of a machine of the users, in KiB; a process that isn't told its memory stays
/// below it.
const MACHINE_KIB: u64 = 160 * 1024;

/// Callers of a crowd against a process that isn't told its memory.
const CROWD: usize = 100;

/// `memory_mb` of a process in the tests that set it.
const LOW_MEMORY_MB: u64 = 64;

/// Callers of a crowd against a process with [`LOW_MEMORY_MB`].
const LOW_MEMORY_CROWD: usize = 40;

/// Callers of a crowd whose bytes arrive at a process with [`LOW_MEMORY_MB`] while it can't
/// read.
const ARRIVAL_CROWD: usize = 1_000;

/// Callers of a crowd that don't read their responses from a process with
/// [`LOW_MEMORY_MB`].
const RESPONSE_CROWD: usize = 480;

/// Endpoints that a crowd claims to be, at a process with [`LOW_MEMORY_MB`].
const STATUS_CROWD: usize = 1_500;

/// Callers of a crowd whose bodies a process with [`LOW_MEMORY_MB`] decodes.
const DECODED_CROWD: usize = 8;

/// Callers of a crowd whose requests have long heads and wait in a process with
/// [`LOW_MEMORY_MB`].
const PARTS_CROWD: usize = 500;

/// Connections of a crowd to the port for links of a process with [`LOW_MEMORY_MB`].
const LINK_CROWD: usize = 1_000;

/// Descriptors that a process may open in the tests that limit them.
const LOW_DESCRIPTORS: u64 = 300;

/// Callers of a crowd against a process with [`LOW_DESCRIPTORS`].
const LOW_DESCRIPTORS_CROWD: usize = 600;

/// Descriptors that a process with [`LOW_DESCRIPTORS`] keeps for others than callers.
const DESCRIPTORS_KEPT: u64 = 32;

/// Descriptors that a crowd of bodies may never make a process use.
const DESCRIPTORS_MAX: u64 = 1_000;

static RUNNING: Mutex<()> = Mutex::new(());

/// Waits until no other test of this file runs.
fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}
