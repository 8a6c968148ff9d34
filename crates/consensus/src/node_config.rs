//! Times and bounds of a member.

use std::time::Duration;

/// Settings of a member; all members of a cluster use the same times.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Seed of the election jitter; differs between members.
    pub seed: u64,
    /// Interval at which a leader makes itself heard.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader after which a member campaigns. For this
    /// long a member that heard a leader grants no vote.
    pub election_timeout_min: Duration,
    /// Longest time without a leader after which a member campaigns. A leader
    /// that heard no quorum for this long steps down.
    pub election_timeout_max: Duration,
    /// Bytes of entries in one message; one entry may exceed it.
    pub message_bytes_max: usize,
    /// Messages with entries that a member may have unanswered.
    pub inflight_max: usize,
    /// Bytes of uncommitted commands above which a leader refuses more.
    pub uncommitted_bytes_max: usize,
    /// Entries after the last snapshot that call for a new one.
    pub snapshot_entries: u64,
    /// Bytes of entries after the last snapshot that call for a new one.
    pub snapshot_bytes: usize,
    /// Entries before a snapshot that are kept for members a little behind.
    pub retained_entries: u64,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Entries that a learner may lack when it is promoted.
    pub promotion_lag_max: u64,
}

impl Default for NodeConfig {
    fn default() -> Self {
        NodeConfig {
            seed: 0,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(400),
            election_timeout_max: Duration::from_millis(800),
            message_bytes_max: 256 << 10,
            inflight_max: 16,
            uncommitted_bytes_max: 64 << 20,
            snapshot_entries: 10_000,
            snapshot_bytes: 16 << 20,
            retained_entries: 1_000,
            chunk_bytes: 256 << 10,
            promotion_lag_max: 64,
        }
    }
}

impl NodeConfig {
    /// Returns how long a quorum's answer lets a leader count on its lead.
    ///
    /// Clocks of members may differ in rate by a tenth.
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout_min * 9 / 10
    }
}
