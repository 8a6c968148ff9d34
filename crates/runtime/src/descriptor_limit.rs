//! The process's limit on open file descriptors.

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
