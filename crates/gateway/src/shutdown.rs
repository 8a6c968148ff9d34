//! Graceful shutdown: what is still accepted, and the end of the calls that remain.

use std::time::{Duration, Instant};

use mulberrywell_role::{LogLevel, RequestId, RoleAction};
use mulberrywell_serving::EndpointId;

use crate::admission::retry_delay;
use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::{CallRecord, RunState};
use crate::caller_responses::{millis, text};
use crate::gateway_role::{Actions, GatewayRole, CALLER_LISTENER};

/// Divisor of the shutdown limit that gives the time in which streams of unknown
/// duration are accepted, so that most of it is left for them.
const UNKNOWN_STREAM_DIVISOR: u32 = 3;

/// Time within which a plain service responds if nothing is known of its durations. The
/// same time before the shutdown limit new callers are no longer accepted.
const PLAIN_TIME_MAX: Duration = Duration::from_millis(1_500);

/// Time for sending the last responses to callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Progress of a shutdown.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    /// When the shutdown began.
    since: Option<Instant>,
    /// Whether new callers are no longer accepted.
    stopped_accepting: bool,
    /// Whether the role has finished; the process still ends its other roles.
    finished: bool,
}

impl ShutdownState {
    /// Returns whether a shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.since.is_some()
    }
}

impl<C: CallCodec> GatewayRole<C> {
    pub(crate) fn begin_shutdown(&mut self, now: Instant, actions: &mut Actions) {
        if self.shutdown.has_begun() {
            return;
        }
        self.shutdown.since = Some(now);
        actions.push(RoleAction::DrainConnections(CALLER_LISTENER));
        let line = format!(
            "shutdown calls={} limit_ms={} outcome=begun",
            self.calls.len(),
            millis(self.config.shutdown_limit)
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
    }

    /// Returns whether a call can be expected to end before the shutdown ends it, if it
    /// is forwarded to an endpoint now, or to any if none is given. Until the load
    /// balancer has noticed the shutdown, callers still come here.
    pub(crate) fn fits_shutdown(
        &self,
        now: Instant,
        call: &CallRecord,
        endpoint: Option<&EndpointId>,
    ) -> bool {
        let Some(since) = self.shutdown.since else {
            return true;
        };
        if self.shutdown.finished {
            return false;
        }
        let limit = self.config.shutdown_limit;
        let end = since + limit;
        if call.deadline <= end {
            return true;
        }
        // One run may last far longer than those before it, and this request has only that
        // one. Few come once the load balancer has noticed the shutdown.
        let is_late = now >= since + limit / UNKNOWN_STREAM_DIVISOR;
        if is_late && !call.route.is_stream && !call.route.is_idempotent {
            return false;
        }
        let left = end.saturating_duration_since(now);
        match self.expected_time(now, call, endpoint) {
            Some(time) => time <= left,
            None if call.route.is_stream => {
                now < since + limit / UNKNOWN_STREAM_DIVISOR
                    && self.least_time(call, endpoint) <= left
            }
            None => now + PLAIN_TIME_MAX <= end,
        }
    }

    /// Records and logs what a call that is forwarded in a shutdown can be expected to
    /// take.
    pub(crate) fn record_accepted(
        &mut self,
        now: Instant,
        request: RequestId,
        endpoint: &EndpointId,
        actions: &mut Actions,
    ) {
        let (Some(since), Some(call)) = (self.shutdown.since, self.calls.get(request)) else {
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        let expected = self.expected_time(now, call, Some(endpoint));
        let line = format!(
            "shutdown id={} elapsed_ms={} left_ms={} expected_ms={} pace_ms={} events_max={} \
             endpoint={} outcome=accepted",
            text(&call.terms.id),
            millis(elapsed),
            millis(self.config.shutdown_limit.saturating_sub(elapsed)),
            known_millis(expected),
            known_millis(self.endpoint_pace(Some(endpoint))),
            self.events_left(call).unwrap_or_default(),
            text(endpoint),
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
        if let Some(call) = self.calls.get_mut(request) {
            call.expected = expected;
        }
    }

    /// Ends a call that can't end before the shutdown does; another instance may
    /// serve it.
    pub(crate) fn leave_call(&mut self, now: Instant, request: RequestId, actions: &mut Actions) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let reason = match call.ran {
            RunState::No => RefusalReason::Stopping,
            RunState::Maybe => RefusalReason::Broken,
        };
        self.refuse_call(now, request, reason, retry_delay(reason), actions);
    }

    /// Advances a shutdown: stops accepting callers, aborts the calls that remain
    /// at the limit, and finishes once no call is left after the minimum duration.
    pub(crate) fn check_shutdown(&mut self, now: Instant, actions: &mut Actions) {
        let Some(since) = self.shutdown.since.filter(|_| !self.shutdown.finished) else {
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        let accept_time = self.config.shutdown_limit.saturating_sub(PLAIN_TIME_MAX);
        if elapsed >= accept_time && !self.shutdown.stopped_accepting {
            self.shutdown.stopped_accepting = true;
            actions.push(RoleAction::StopAccepting(CALLER_LISTENER));
        }
        if elapsed >= self.config.shutdown_limit {
            for request in self.calls.requests() {
                self.abort_call(now, since, request, actions);
            }
        }
        let is_drained = elapsed >= self.config.min_shutdown && self.calls.is_empty();
        if is_drained || elapsed >= self.config.shutdown_limit + FLUSH_TIME {
            self.shutdown.finished = true;
            let line = format!("shutdown elapsed_ms={} outcome=finished", millis(elapsed));
            actions.push(RoleAction::Log(LogLevel::Info, line));
            let end = since + self.config.shutdown_limit + FLUSH_TIME;
            actions.push(RoleAction::FinishedBy(end));
        }
    }

    /// Ends a call that the shutdown can't wait for.
    fn abort_call(
        &mut self,
        now: Instant,
        since: Instant,
        request: RequestId,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let started = call.attempt_started.unwrap_or(call.started);
        let first = call.response.first_event;
        let line = format!(
            "shutdown id={} age_ms={} elapsed_ms={} attempt_ms={} first_ms={} expected_ms={} \
             event={} events_max={} attempts={} pace_ms={} endpoint={} outcome=cut",
            text(&call.terms.id),
            millis(now.saturating_duration_since(call.started)),
            millis(now.saturating_duration_since(since)),
            millis(now.saturating_duration_since(started)),
            known_millis(first.map(|at| at.saturating_duration_since(started))),
            known_millis(call.expected),
            call.events.last_event().unwrap_or_default(),
            self.events_left(call).unwrap_or_default(),
            call.attempts,
            known_millis(self.endpoint_pace(Some(&call.endpoint))),
            text(&call.endpoint),
        );
        actions.push(RoleAction::Log(LogLevel::Warn, line));
        self.end_unserved(now, request, RefusalReason::TimedOut, actions);
    }

    /// Returns when the shutdown ends the calls that remain; none if there is none.
    pub(crate) fn shutdown_end(&self) -> Option<Instant> {
        let since = self.shutdown.since.filter(|_| !self.shutdown.finished)?;
        Some(since + self.config.shutdown_limit)
    }

    /// Returns when the shutdown next advances.
    pub(crate) fn shutdown_deadline(&self) -> Option<Instant> {
        let since = self.shutdown.since.filter(|_| !self.shutdown.finished)?;
        let times = [
            self.config.min_shutdown,
            self.config.shutdown_limit.saturating_sub(PLAIN_TIME_MAX),
            self.config.shutdown_limit,
            self.config.shutdown_limit + FLUSH_TIME,
        ];
        let instants = times.map(|time| since + time);
        instants.into_iter().find(|at| *at > self.last_handled)
    }
}

/// Formats a duration in milliseconds for a log line.
fn known_millis(duration: Option<Duration>) -> String {
    duration.map_or_else(
        || "unknown".to_owned(),
        |duration| millis(duration).to_string(),
    )
}
