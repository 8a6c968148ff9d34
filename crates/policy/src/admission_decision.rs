//! Decides whether a request is forwarded to its engine now, waits, or is rejected.
//!
//! Algorithm: urgent requests are forwarded unless their engine can't begin them before
//! their deadline. A deferrable request waits while the work queued at its engine exceeds a
//! limit, so that an urgent request that comes next still finds the engine in time. The
//! limit starts at a part of the urgent objective and grows as the time is used up in which
//! the request can wait. In the last part of that time it is forwarded whatever is queued,
//! so no request starves. A deferrable request that can't begin before its deadline is
//! rejected.

use std::time::Duration;

use crate::engine_forecast::EngineForecast;

/// Divisor of the urgent objective that gives the work that may be queued at an engine when
/// a new deferrable request is forwarded to it. The rest is left for the urgent request's
/// own reading, for requests that other instances forward meanwhile, and for views that are
/// a few hundred milliseconds old.
const YIELD_DIVISOR: u32 = 4;

/// Part of the urgent objective beyond which the queued work keeps a deferrable request
/// waiting until its time is nearly used up. Without this bound, the last requests of a
/// batch burst made urgent ones late.
const YIELD_MAX: f64 = 0.75;

/// Divisor of a request's objective that gives the time for which it no longer yields.
const FINAL_DIVISOR: u32 = 8;

/// Time before the deadline by which a deferrable response is to have begun.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// Shortest wait; the known state of engines changes hardly in less.
const WAIT_MIN: Duration = Duration::from_millis(20);

/// Longest wait until the decision is taken anew.
const WAIT_MAX: Duration = Duration::from_millis(200);

/// Shortest time after which a rejected request may be served.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// A request and the state of the engine that was chosen for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Time since the request arrived.
    pub age: Duration,
    /// Time until its deadline.
    pub left: Duration,
    /// Latency objective, counted from its arrival.
    pub objective: Duration,
    /// The tightest objective of more urgent requests to which this one yields; none if it
    /// is urgent itself.
    pub yields_to: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Upper bound of output tokens.
    pub output_tokens: u64,
    /// More urgent requests that wait for an engine at this instance.
    pub urgent_ahead: usize,
    /// The engine.
    pub forecast: EngineForecast,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// Forward it now.
    Forward,
    /// Decide anew after this time.
    Wait(Duration),
    /// Reject it; after this time a request of its kind can be served.
    Reject(Duration),
}

/// Decides what to do with a request now.
pub fn decide_admission(request: &AdmissionRequest) -> AdmissionOutcome {
    match request.yields_to {
        Some(urgent_objective) => decide_deferrable(request, urgent_objective),
        None => decide_urgent(request),
    }
}

/// An urgent request takes the memory of less urgent ones at the engine, so only the time
/// counts.
fn decide_urgent(request: &AdmissionRequest) -> AdmissionOutcome {
    let first_event = request.forecast.first_event;
    if first_event <= request.left {
        return AdmissionOutcome::Forward;
    }
    let excess = first_event.saturating_sub(request.objective);
    AdmissionOutcome::Reject(excess.max(RETRY_MIN))
}

fn decide_deferrable(request: &AdmissionRequest, urgent_objective: Duration) -> AdmissionOutcome {
    let yield_limit = urgent_objective / YIELD_DIVISOR;
    let backlog = request.backlog();
    let Some(slack) = request.slack() else {
        let excess = backlog.saturating_sub(yield_limit);
        return AdmissionOutcome::Reject(excess.max(RETRY_MIN));
    };
    if slack < (request.objective / FINAL_DIVISOR).max(WAIT_MIN) {
        return AdmissionOutcome::Forward;
    }
    // The share of the time in which the request can wait that is left.
    let left_part = slack.as_secs_f64() / (request.age + slack).as_secs_f64();
    let allowed = yield_limit.as_secs_f64() / left_part;
    let allowed = allowed.min(urgent_objective.as_secs_f64() * YIELD_MAX);
    let excess = (backlog.as_secs_f64() - allowed).max(0.0);
    let is_hindered = request.urgent_ahead > 0 || !request.has_room(left_part);
    if excess <= 0.0 && !is_hindered {
        return AdmissionOutcome::Forward;
    }
    let wait = Duration::from_secs_f64(excess).clamp(WAIT_MIN, WAIT_MAX);
    AdmissionOutcome::Wait(wait.min(slack))
}

impl AdmissionRequest {
    /// Returns the time for which work of others is queued at the engine.
    fn backlog(&self) -> Duration {
        let forecast = &self.forecast;
        forecast.first_event.saturating_sub(forecast.own_prefill)
    }

    /// Returns for how long the request can wait and still meet its objective, or, if that
    /// is missed, begin before its deadline; none if it can't. How long the response takes
    /// then isn't known: a request only bounds its output.
    fn slack(&self) -> Option<Duration> {
        let first_event = self.forecast.first_event;
        let begun = first_event.saturating_add(DEADLINE_MARGIN);
        let to_deadline = self.left.checked_sub(begun)?;
        let objective_left = self.objective.saturating_sub(self.age);
        let to_objective = objective_left.checked_sub(first_event);
        Some(to_objective.map_or(to_deadline, |slack| slack.min(to_deadline)))
    }

    /// Returns whether the engine has memory for the request and, while the request is
    /// young, for an urgent one of its size beside it.
    fn has_room(&self, left_part: f64) -> bool {
        let unread = self.prompt_tokens.saturating_sub(self.forecast.kept_tokens);
        let needed = unread.saturating_add(self.output_tokens) as f64;
        let free = self.forecast.free_tokens;
        free.is_none_or(|free| needed * (1.0 + left_part) <= free as f64)
    }
}
