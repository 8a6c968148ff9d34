//! Timing and limits of a member.

use std::time::Duration;

/// Settings of a member; all members of a cluster use the same timing.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Seed of the election jitter; differs between members.
    pub seed: u64,
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum time without a leader after which a member campaigns. A member
    /// grants no vote for this time after a message from a leader.
    pub election_timeout_min: Duration,
    /// Maximum time without a leader after which a member campaigns. A leader
    /// without responses from a quorum for this time steps down.
    pub election_timeout_max: Duration,
    /// Maximum bytes of entries in one message; a single entry may exceed it.
    pub message_bytes_max: usize,
    /// Maximum number of unacknowledged messages with entries per member.
    pub inflight_max: usize,
    /// Bytes of uncommitted entries at which a leader rejects further proposals.
    pub uncommitted_bytes_max: usize,
    /// Entries after the last snapshot that trigger a new one.
    pub snapshot_entries: u64,
    /// Bytes of entries after the last snapshot that trigger a new one.
    pub snapshot_bytes: usize,
    /// Maximum number of entries before a snapshot that are retained for members
    /// slightly behind.
    pub retained_entries: u64,
    /// Maximum bytes of these entries. A member that needs earlier ones receives the
    /// snapshot, which can be far smaller than the entries that led to it.
    pub retained_bytes: usize,
    /// Maximum bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Maximum number of entries that a learner may lack when it is promoted.
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
            retained_bytes: 1 << 20,
            chunk_bytes: 256 << 10,
            promotion_lag_max: 64,
        }
    }
}

impl NodeConfig {
    /// Returns the duration of the leader lease after a round that a quorum
    /// acknowledged.
    ///
    /// It allows for clock rates of members that differ by a tenth.
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout_min * 9 / 10
    }
}
