//! Processor time and memory of a process, as the system counts them.

use std::fs;
use std::time::Duration;

use anyhow::{Context, Result};

/// Clock ticks a second that the system counts processor time in.
const TICKS_PER_SECOND: u64 = 100;

/// Fields of `stat` between the process's name and its user time.
const FIELDS_BEFORE_TIME: usize = 11;

/// What a process has used.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Processor time since its start.
    pub processor: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Reads the usage of a process.
///
/// # Errors
/// Fails when the process has ended.
pub fn read_usage(id: u32) -> Result<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("no name in stat")?;
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIME).take(2);
    let ticks: u64 = times.filter_map(|text| text.parse::<u64>().ok()).sum();
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    Ok(ProcessUsage {
        processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        resident_kib: number.context("no resident memory is told")?.parse()?,
    })
}
