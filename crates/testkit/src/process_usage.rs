//! Processor time and memory of a process, as reported by the operating system.

use std::fs;
use std::time::Duration;

use anyhow::{Context, Result};

/// Clock ticks per second; the kernel reports processor time in ticks.
const TICKS_PER_SECOND: u64 = 100;

/// Number of fields of `/proc/ID/stat` between the process name and the user time.
const FIELDS_BEFORE_TIME: usize = 11;

/// Resources that a process has used.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Processor time since the process started.
    pub processor: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Highest resident memory since the process started, in KiB.
    pub resident_peak_kib: u64,
}

/// Reads the usage of a process.
///
/// # Errors
/// Fails if the process has exited.
pub fn read_usage(id: u32) -> Result<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat
        .rsplit_once(')')
        .context("no process name in /proc/ID/stat")?;
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIME).take(2);
    let ticks: u64 = times.filter_map(|text| text.parse::<u64>().ok()).sum();
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    Ok(ProcessUsage {
        processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        resident_kib: status_kib(&status, "VmRSS:")?,
        resident_peak_kib: status_kib(&status, "VmHWM:")?,
    })
}

/// Returns the value of a line of the process status.
fn status_kib(status: &str, name: &str) -> Result<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    let number = number.with_context(|| format!("no {name} line in the process status"))?;
    Ok(number.parse()?)
}
