//! Schedules the endpoint's announcement until control has acknowledged it.
//!
//! Acknowledgements arrive in the order of the announcements, so the current
//! announcement is acknowledged when no unacknowledged one is left. If none was
//! sent for the repeat interval, the earlier ones count as lost. An acknowledged
//! announcement is refreshed periodically, so that the agent is informed of a
//! drain and a control instance of the agent even if messages were lost.

use std::time::{Duration, Instant};

/// Interval of announcements until one is acknowledged.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of announcements after an acknowledgement.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Tracks acknowledgements and when the next announcement is due.
#[derive(Debug, Clone, Copy)]
pub struct Announcer {
    /// The current announcement has been acknowledged.
    acknowledged: bool,
    /// Announcements sent on the open link and not acknowledged.
    unacknowledged: u32,
    /// When the last announcement was sent.
    last_sent: Instant,
    next_due: Instant,
}

impl Announcer {
    /// Creates an announcer whose first announcement is due at `now`.
    pub fn new(now: Instant) -> Self {
        Announcer {
            acknowledged: false,
            unacknowledged: 0,
            last_sent: now,
            next_due: now,
        }
    }

    /// Records that the announcement has changed; the new one is due at once.
    pub fn mark_changed(&mut self, now: Instant) {
        self.acknowledged = false;
        self.next_due = now;
    }

    /// Handles a newly opened link to control.
    pub fn handle_link_opened(&mut self, now: Instant) {
        self.unacknowledged = 0;
        self.mark_changed(now);
    }

    /// Returns whether an announcement is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.next_due <= now
    }

    /// Records that the announcement was sent.
    pub fn record_sent(&mut self, now: Instant) {
        if now >= self.last_sent + REPEAT_INTERVAL {
            self.unacknowledged = 0;
        }
        self.unacknowledged += 1;
        self.last_sent = now;
        self.next_due = now + REPEAT_INTERVAL;
    }

    /// Handles an acknowledgement of this incarnation.
    pub fn handle_ack(&mut self, now: Instant) {
        self.unacknowledged = self.unacknowledged.saturating_sub(1);
        if self.unacknowledged == 0 {
            self.acknowledged = true;
            self.next_due = now + REFRESH_INTERVAL;
        }
    }

    /// Returns whether control has acknowledged the current announcement.
    pub fn is_acknowledged(&self) -> bool {
        self.acknowledged
    }

    /// Returns when the next announcement is due.
    pub fn deadline(&self) -> Instant {
        self.next_due
    }
}
