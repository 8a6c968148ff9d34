//! Estimates of how long responses last, from those of the recent past.
//!
//! Algorithm: a mean and a mean deviation, both moving averages as for the
//! retransmission timeout of TCP (RFC 6298, section 2), give an upper estimate; a
//! maximum over the recent past covers what a mean hides.

use std::time::{Duration, Instant};

/// Weight of a new sample in the mean (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of a new sample in the mean deviation (RFC 6298).
const DEVIATION_WEIGHT: f64 = 0.25;

/// Mean deviations above the mean of an upper estimate of one duration (RFC 6298).
const UPPER_DEVIATIONS: f64 = 4.0;

/// Mean deviations above the mean of the pace of a whole stream, in which the
/// deviations of single events partly cancel out.
const PACE_DEVIATIONS: f64 = 2.0;

/// Time after which a maximum is forgotten at the earliest; at the latest after twice
/// that.
const RECENT_TIME: Duration = Duration::from_secs(60);

/// Upper estimate of a duration.
#[derive(Debug, Clone, Copy, Default)]
pub struct DurationEstimate {
    /// Mean and mean deviation in seconds; none before the first sample.
    averages: Option<(f64, f64)>,
}

impl DurationEstimate {
    /// Records a sample.
    pub fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.averages = Some(match self.averages {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => {
                let error = sample - mean;
                let deviation = deviation + DEVIATION_WEIGHT * (error.abs() - deviation);
                (mean + MEAN_WEIGHT * error, deviation)
            }
        });
    }

    /// Returns a duration that few samples exceed; none without a sample.
    pub fn upper(&self) -> Option<Duration> {
        self.above(UPPER_DEVIATIONS)
    }

    /// Returns a duration that few means of many samples exceed; none without a
    /// sample.
    pub fn upper_pace(&self) -> Option<Duration> {
        self.above(PACE_DEVIATIONS)
    }

    /// Returns the mean; none without a sample.
    pub fn mean(&self) -> Option<Duration> {
        self.above(0.0)
    }

    fn above(&self, deviations: f64) -> Option<Duration> {
        let (mean, deviation) = self.averages?;
        Some(Duration::from_secs_f64(mean + deviations * deviation))
    }
}

/// Maximum of the samples of the last minute or two.
#[derive(Debug, Clone, Copy)]
pub struct RecentMaximum<T> {
    /// Start of the current period.
    since: Option<Instant>,
    current: Option<T>,
    previous: Option<T>,
}

impl<T> Default for RecentMaximum<T> {
    fn default() -> Self {
        RecentMaximum {
            since: None,
            current: None,
            previous: None,
        }
    }
}

impl<T: Copy + PartialOrd> RecentMaximum<T> {
    /// Records a sample.
    pub fn record(&mut self, now: Instant, sample: T) {
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= RECENT_TIME {
            self.since = Some(now);
            self.previous = self.current.take();
        }
        self.current = larger(self.current, Some(sample));
    }

    /// Returns the largest sample; none without one.
    pub fn get(&self) -> Option<T> {
        larger(self.current, self.previous)
    }
}

fn larger<T: PartialOrd>(left: Option<T>, right: Option<T>) -> Option<T> {
    match (left, right) {
        (Some(left), Some(right)) => Some(if left < right { right } else { left }),
        (left, right) => left.or(right),
    }
}

/// Durations of the responses of one route.
#[derive(Debug, Clone, Default)]
pub struct ResponseTimes {
    /// Time from forwarding to the first chunk.
    first_chunk: DurationEstimate,
    /// Time from one event to the next.
    event_pace: DurationEstimate,
    /// Time from forwarding to the end.
    whole: RecentMaximum<Duration>,
}

impl ResponseTimes {
    /// Records the time from forwarding to the first chunk.
    pub fn record_first_chunk(&mut self, elapsed: Duration) {
        self.first_chunk.record(elapsed);
    }

    /// Records the time from one event to the next.
    pub fn record_pace(&mut self, pace: Duration) {
        self.event_pace.record(pace);
    }

    /// Records the time that a response has taken from forwarding, to its end or so
    /// far.
    pub fn record_whole(&mut self, now: Instant, elapsed: Duration) {
        self.whole.record(now, elapsed);
    }

    /// Returns an upper estimate of the time from forwarding to the first chunk; none if
    /// nothing is known.
    pub fn first_chunk(&self) -> Option<Duration> {
        self.first_chunk.upper()
    }

    /// Returns the estimate of the time from one event to the next.
    pub fn event_pace(&self) -> &DurationEstimate {
        &self.event_pace
    }

    /// Returns the longest time that a response took; none if none is known.
    pub fn longest(&self) -> Option<Duration> {
        self.whole.get()
    }

    /// Returns an upper estimate of the time from forwarding to the end of a stream of
    /// which a number of events is left; none if too little is known. `pace` is the
    /// upper estimate of the time between events at its endpoint; without one, that of
    /// all endpoints of the route is used.
    pub fn stream_time(&self, events_left: u64, pace: Option<Duration>) -> Option<Duration> {
        let first = self.first_chunk.upper()?;
        if events_left <= 1 {
            return Some(first);
        }
        let pace = pace.or_else(|| self.event_pace.upper_pace())?;
        Some(first.saturating_add(events_time(events_left, pace)))
    }
}

/// Returns the time in which a number of events come at a pace.
pub fn events_time(events: u64, pace: Duration) -> Duration {
    let seconds = pace.as_secs_f64() * events as f64;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
