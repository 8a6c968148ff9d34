//! Repeats the endpoint's announcement until control has acknowledged it.
//!
//! Acknowledgements come in the order of the announcements, so the current one
//! is acknowledged when none is left without. After a pause of the repeat
//! interval the earlier ones count as lost. An acknowledged announcement is
//! refreshed at an interval, so that an agent learns of a drain, and a control
//! instance of the agent, whatever was lost.

use std::time::{Duration, Instant};

/// Interval of announcements that are not acknowledged.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of announcements that are.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// When to announce.
#[derive(Debug, Clone, Copy)]
pub struct Announcer {
    /// The current announcement has been acknowledged.
    acknowledged: bool,
    /// Announcements on the open link without an acknowledgement.
    unanswered: u32,
    /// When the last one was sent.
    last: Instant,
    next: Instant,
}

impl Announcer {
    /// Creates an announcer that wants to announce at `now`.
    pub fn new(now: Instant) -> Self {
        Announcer {
            acknowledged: false,
            unanswered: 0,
            last: now,
            next: now,
        }
    }

    /// Notes that the announcement has changed.
    pub fn changed(&mut self, now: Instant) {
        self.acknowledged = false;
        self.next = now;
    }

    /// Notes that a new link to control opened.
    pub fn link_opened(&mut self, now: Instant) {
        self.unanswered = 0;
        self.changed(now);
    }

    /// Tells whether it is time to announce.
    pub fn is_due(&self, now: Instant) -> bool {
        self.next <= now
    }

    /// Notes that the announcement was sent.
    pub fn sent(&mut self, now: Instant) {
        if now >= self.last + REPEAT_INTERVAL {
            self.unanswered = 0;
        }
        self.unanswered += 1;
        self.last = now;
        self.next = now + REPEAT_INTERVAL;
    }

    /// Takes an acknowledgement of this incarnation.
    pub fn take_ack(&mut self, now: Instant) {
        self.unanswered = self.unanswered.saturating_sub(1);
        if self.unanswered == 0 {
            self.acknowledged = true;
            self.next = now + REFRESH_INTERVAL;
        }
    }

    /// Tells whether control knows the current announcement.
    pub fn is_acknowledged(&self) -> bool {
        self.acknowledged
    }

    /// Returns when the next announcement is due.
    pub fn deadline(&self) -> Instant {
        self.next
    }
}
