//! The process's limit on open file descriptors, and how many are open.

use std::fs;

use nix::sys::resource::{getrlimit, setrlimit, Resource};

/// Limit assumed when the system's limit can't be read.
const LIMIT_ASSUMED: u64 = 1_024;

/// Raises the soft limit to the hard limit and returns the limit in force.
pub fn raise_descriptor_limit() -> usize {
    let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE) else {
        return usize::try_from(LIMIT_ASSUMED).unwrap_or(usize::MAX);
    };
    let limit = match setrlimit(Resource::RLIMIT_NOFILE, hard, hard) {
        Ok(()) => hard,
        Err(_) => soft,
    };
    usize::try_from(limit).unwrap_or(usize::MAX)
}

/// Returns how many descriptors the process has open, with those of libraries; none if the
/// system doesn't tell.
pub fn open_descriptors() -> Option<usize> {
    let entries = fs::read_dir("/proc/self/fd").ok()?;
    // One of them is that of the folder itself.
    Some(entries.count().saturating_sub(1))
}
