//! Graceful shutdown: what is still accepted, and the end of the calls that remain.

use std::time::{Duration, Instant};

use mulberrywell_role::{LogLevel, RequestId, RoleAction};
use mulberrywell_wire::serving::{RepeatRule, ServingRoute};

use crate::call_codec::{CallCodec, RefusalReason};
use crate::caller_responses::{millis, text};
use crate::gateway_role::{Actions, GatewayRole, CALLER_LISTENER};

/// Time from the start of a shutdown in which streams are accepted: the load
/// balancer takes two seconds to notice that an instance is not ready.
const STREAM_ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// Divisor of the shutdown limit that bounds that time, so that most of it is left
/// for the streams.
const STREAM_ACCEPT_DIVISOR: u32 = 3;

/// Margin before the shutdown limit in which new callers are no longer
/// accepted; a plain service responds well within it.
const ACCEPT_MARGIN: Duration = Duration::from_millis(1_500);

/// Time for sending the last responses to callers.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Progress of a shutdown.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    /// When the shutdown began.
    since: Option<Instant>,
    /// Whether new callers are no longer accepted.
    stopped_accepting: bool,
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

    /// Returns whether calls of a route are accepted. Some time into a shutdown
    /// streams are left to other instances, as they may last longer than what
    /// remains; until then the load balancer still sends callers here.
    pub(crate) fn accepts_route(&self, now: Instant, route: &ServingRoute) -> bool {
        let Some(since) = self.shutdown.since else {
            return true;
        };
        let limit = STREAM_ACCEPT_TIME.min(self.config.shutdown_limit / STREAM_ACCEPT_DIVISOR);
        let accepts_streams = now.saturating_duration_since(since) < limit;
        accepts_streams || route.repeat() != RepeatRule::Stream
    }

    /// Advances a shutdown: stops accepting callers, aborts the calls that remain
    /// at the limit, and finishes once no call is left after the minimum duration.
    pub(crate) fn check_shutdown(&mut self, now: Instant, actions: &mut Actions) {
        let Some(since) = self.shutdown.since.filter(|_| !self.shutdown.finished) else {
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        let accept_time = self.config.shutdown_limit.saturating_sub(ACCEPT_MARGIN);
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
            actions.push(RoleAction::Finished);
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
        let line = format!(
            "shutdown id={} age_ms={} elapsed_ms={} event={} outcome=cut",
            text(&call.terms.id),
            millis(now.saturating_duration_since(call.started)),
            millis(now.saturating_duration_since(since)),
            call.events.last_event().unwrap_or_default(),
        );
        actions.push(RoleAction::Log(LogLevel::Warn, line));
        self.end_unserved(now, request, RefusalReason::TimedOut, actions);
    }

    /// Returns when the shutdown next advances.
    pub(crate) fn shutdown_deadline(&self) -> Option<Instant> {
        let since = self.shutdown.since.filter(|_| !self.shutdown.finished)?;
        let times = [
            self.config.min_shutdown,
            self.config.shutdown_limit.saturating_sub(ACCEPT_MARGIN),
            self.config.shutdown_limit,
            self.config.shutdown_limit + FLUSH_TIME,
        ];
        let instants = times.map(|time| since + time);
        instants.into_iter().find(|at| *at > self.last_handled)
    }
}
