//! Load and faults of a fleet, and what a run of it shows.

use std::time::Duration;

use mulberrywell_limit::PartSet;

/// Where the crashing part stands in a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartPlace {
    /// Beside the route's part and the subject.
    Third,
    /// In place of the subject.
    Subject,
    /// In place of the route's part.
    First,
}

/// Load and faults of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    pub place: PartPlace,
    /// The crashing part or content was served soundly before.
    pub proven: bool,
    /// Engines that serve at a time; others take over from those that crash. All of them
    /// if 0.
    pub holders: usize,
    /// Time that an engine needs before its first response after it took over.
    pub cold_time: Duration,
    pub engines: usize,
    /// Requests a second: sound ones, and ones that crash engines.
    pub sound_rate: f64,
    pub crashing_rate: f64,
    /// All requests that crash engines have the same subject.
    pub one_subject: bool,
    /// What crashes engines is a content, and not a part of the prompt.
    pub one_content: bool,
    /// Probability that a sound request is repeated at once when it was broken off.
    pub eager_share: f64,
    /// Requests with the crashing part that are broken off are sent again.
    pub repeats_crashing: bool,
    /// Probability that a request is broken off though its engine is up.
    pub broken_share: f64,
    /// Gateways, each of which reports the requests that it forwarded.
    pub gateways: usize,
    /// Probability that a sound request has [`super::POPULAR_CONTENT`].
    pub popular_share: f64,
    /// Longest time that a report takes to arrive.
    pub delay_max: Duration,
    /// Probability that a gateway's report of a crash is lost.
    pub lost_share: f64,
    /// Interval at which a third of the engines crash for another reason.
    pub outage_interval: Option<Duration>,
}

/// What a run of a fleet showed.
#[derive(Debug, Default)]
pub struct FleetOutcome {
    pub crashes: usize,
    pub quarantined: Vec<PartSet>,
    /// Sound requests that were refused.
    pub refused_sound: usize,
    /// Sound requests whose response lasted.
    pub served_sound: usize,
    /// Sound requests that waited in vain for a trial.
    pub held_sound: usize,
    /// Requests that crash engines and were forwarded later than [`super::FORWARD_LIMIT`] after
    /// the last crash that is allowed.
    pub late: usize,
}
