//! Decides whether a stream that must end by a set time goes on at another endpoint.
//!
//! Purpose: an instance that stops has accepted streams by an estimate, which is no
//! bound. While it stops, the rest of each stream is estimated again from what the
//! stream has shown since, and a stream that would outlast the instance moves while
//! another endpoint can still end it.
//!
//! Algorithm: the rest of a stream takes the delay until its next event, and the pace of
//! its endpoint for each event. A stream moves only if its rest takes too long where it
//! is and less than half of that elsewhere: moving costs the engines work, and the paces
//! of endpoints under the same load differ by chance.

use std::time::Duration;

use crate::response_times::events_time;

/// Least ratio of the time that a stream needs where it is to that elsewhere, if its
/// prompt is read again.
const RESUMED_GAIN: f64 = 2.0;

/// The same for a copy.
const COPIED_GAIN: f64 = 1.5;

/// The rest of a stream at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamRest {
    /// Events that are left at most.
    pub events: u64,
    /// Time from one event to the next.
    pub pace: Duration,
    /// Time until the endpoint begins with the next event.
    pub delay: Duration,
}

impl StreamRest {
    /// Returns the time until the end of the stream.
    pub fn time(&self) -> Duration {
        self.delay
            .saturating_add(events_time(self.events, self.pace))
    }
}

/// How a stream goes on at another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveKind {
    /// The other endpoint gets a copy of the run's memory.
    Copied,
    /// The other endpoint reads the prompt again, and takes that work from other
    /// requests.
    Resumed,
}

/// Returns whether a stream that has `left` until it is cut is to go on elsewhere.
///
/// A copy costs so little that it is worthwhile although the end isn't certain there.
pub fn should_move(here: &StreamRest, there: &StreamRest, left: Duration, kind: MoveKind) -> bool {
    let (here_time, there_time) = (here.time(), there.time());
    let (gain, is_in_time) = match kind {
        MoveKind::Copied => (COPIED_GAIN, there.delay < left),
        MoveKind::Resumed => (RESUMED_GAIN, there_time <= left),
    };
    let is_faster = there_time.as_secs_f64() * gain <= here_time.as_secs_f64();
    here_time > left && is_faster && is_in_time
}

/// Returns the mean time from one event to the next of a stream that has brought `events`
/// more since its first one, the last of them `brought` after the first, which came
/// `elapsed` ago. The wait for the next event counts once it is longer than the mean.
pub fn observed_pace(brought: Duration, elapsed: Duration, events: u64) -> Duration {
    let events = u32::try_from(events).unwrap_or(u32::MAX);
    let mean = brought.checked_div(events).unwrap_or_default();
    mean.max(elapsed / events.saturating_add(1))
}
