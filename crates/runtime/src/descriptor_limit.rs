//! The process's bound of open file descriptors.

use nix::sys::resource::{getrlimit, setrlimit, Resource};

/// Bound that is assumed where the system does not tell it.
const LIMIT_ASSUMED: u64 = 1_024;

/// Raises the bound as far as the system lets the process, and returns it.
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
