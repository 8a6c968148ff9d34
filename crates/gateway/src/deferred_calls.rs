//! Calls that yield to urgent calls at engines.
//!
//! Algorithm: before a call is first forwarded to an engine, [`decide_admission`] compares
//! what it can expect there with its objective. A call that is to wait is decided on anew
//! after the returned time, with the engine that is the best one then.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mulberrywell_policy::{
    decide_admission, mix_bits, AdmissionOutcome, AdmissionRequest, EngineForecast,
};
use mulberrywell_role::{LogLevel, MetricKind, RequestId, RoleAction};

use crate::call_codec::{CallCodec, RefusalReason};
use crate::call_table::{AdmissionClass, CallRecord, RunState};
use crate::caller_responses::{millis, text};
use crate::gateway_metrics as metrics;
use crate::gateway_role::{Actions, GatewayRole};

/// Calls that wait at one instance. Each holds its request's body; beyond this number, a
/// call is refused.
const WAITING_MAX: usize = 1_000;

/// Lines per second about calls that wait or are rejected.
const LOG_LINES_MAX: u32 = 20;

/// Parts into which a wait is spread, so that instances with the same view of an engine
/// don't forward their calls to it at the same time.
const SPREAD_PARTS: u64 = 8;

/// All calls that wait for engines to have less work.
#[derive(Debug, Default)]
pub(crate) struct DeferredCalls {
    /// When each call is next decided on.
    due: BTreeMap<RequestId, Instant>,
    queue: BTreeSet<(Instant, RequestId)>,
    log: LogLimit,
}

/// Counts log lines, to bound their volume.
#[derive(Debug, Default)]
struct LogLimit {
    since: Option<Instant>,
    lines: u32,
}

impl LogLimit {
    /// Returns whether a further line fits in this second.
    fn acquire(&mut self, now: Instant) -> bool {
        let is_current = self
            .since
            .is_some_and(|at| now.saturating_duration_since(at) < Duration::from_secs(1));
        if !is_current {
            self.since = Some(now);
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LOG_LINES_MAX
    }
}

impl DeferredCalls {
    fn insert(&mut self, at: Instant, request: RequestId) {
        self.remove(request);
        self.due.insert(request, at);
        self.queue.insert((at, request));
    }

    /// Removes a call; returns whether it waited.
    pub(crate) fn remove(&mut self, request: RequestId) -> bool {
        let Some(at) = self.due.remove(&request) else {
            return false;
        };
        self.queue.remove(&(at, request))
    }

    fn pop_due(&mut self, now: Instant) -> Option<RequestId> {
        let (_, request) = *self.queue.first().filter(|(at, _)| *at <= now)?;
        self.remove(request);
        Some(request)
    }

    /// Returns when a call is next decided on.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.queue.first().map(|(at, _)| *at)
    }
}

impl<C: CallCodec> GatewayRole<C> {
    /// Lets a call wait or rejects it if it must not be forwarded to its engine now;
    /// returns whether it did.
    pub(crate) fn withhold_call(
        &mut self,
        now: Instant,
        request: RequestId,
        forecast: EngineForecast,
        actions: &mut Actions,
    ) -> bool {
        let Some(call) = self.calls.get(request).filter(|call| is_subject(call)) else {
            return false;
        };
        let terms = self.admission_request(now, call, forecast);
        match decide_admission(&terms) {
            AdmissionOutcome::Forward => false,
            AdmissionOutcome::Wait(wait) if self.deferred.due.len() < WAITING_MAX => {
                self.defer_call(now, request, &terms, wait, actions);
                true
            }
            AdmissionOutcome::Wait(wait) | AdmissionOutcome::Reject(wait) => {
                self.log_admission(now, request, &terms, "rejected", wait, actions);
                let reason = RefusalReason::Overloaded;
                self.refuse_call(now, request, reason, Some(wait), actions);
                true
            }
        }
    }

    fn defer_call(
        &mut self,
        now: Instant,
        request: RequestId,
        terms: &AdmissionRequest,
        wait: Duration,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let hash = mix_bits(request ^ call.content_hash());
        let part = u32::try_from(hash % SPREAD_PARTS).unwrap_or(0);
        let spread = wait / 2 * part / u32::try_from(SPREAD_PARTS).unwrap_or(1);
        if !std::mem::replace(&mut call.was_deferred, true) {
            actions.push(RoleAction::Metric(MetricKind::Count, metrics::DEFERRED, 1));
            self.log_admission(now, request, terms, "deferred", wait, actions);
        }
        self.calls.park(request);
        self.deferred.insert(now + wait + spread, request);
    }

    /// Decides anew on the calls that are due, the most urgent and oldest first.
    pub(crate) fn retry_deferred_calls(&mut self, now: Instant, actions: &mut Actions) {
        let mut due = Vec::new();
        while let Some(request) = self.deferred.pop_due(now) {
            if let Some(call) = self.calls.get(request) {
                due.push((call.priority, request));
            }
        }
        due.sort_unstable();
        for (_, request) in due {
            self.start_attempt(now, request, actions);
        }
    }

    /// Reports how many calls wait for engines, and for how long.
    pub(crate) fn report_deferred_calls(&self, now: Instant, actions: &mut Actions) {
        let calls = self.deferred.due.keys();
        let started = calls.filter_map(|request| Some(self.calls.get(*request)?.started));
        let oldest = started.min().unwrap_or(now);
        let waiting = self.deferred.due.len() as u64;
        for (name, value) in [
            (metrics::DEFERRED_WAITING, waiting),
            (
                metrics::DEFERRED_OLDEST,
                millis(now.saturating_duration_since(oldest)),
            ),
        ] {
            actions.push(RoleAction::Metric(MetricKind::Gauge, name, value));
        }
    }

    /// Returns the inputs of the decision.
    fn admission_request(
        &self,
        now: Instant,
        call: &CallRecord,
        forecast: EngineForecast,
    ) -> AdmissionRequest {
        let urgent_objective = match call.class.is_deferrable() {
            true => self.index.urgent_objective(&call.service, call.priority),
            false => None,
        };
        let tokens = call.terms.tokens.unwrap_or_default();
        AdmissionRequest {
            age: now.saturating_duration_since(call.started),
            left: call.deadline.saturating_duration_since(now),
            objective: call.route.objective,
            yields_to: urgent_objective.map(Duration::from_millis),
            prompt_tokens: tokens.prompt,
            output_tokens: tokens.output,
            urgent_ahead: self.urgent_ahead(call),
            forecast,
        }
    }

    /// Returns the number of more urgent calls of the same service that wait for an engine
    /// that has their model.
    fn urgent_ahead(&self, call: &CallRecord) -> usize {
        if !call.class.is_deferrable() {
            return 0;
        }
        let waiting = self.calls.waiting_calls();
        let urgent = waiting.filter(|other| {
            other.service == call.service
                && other.priority < call.priority
                && other.terms.model == call.terms.model
        });
        urgent.count()
    }

    fn log_admission(
        &mut self,
        now: Instant,
        request: RequestId,
        terms: &AdmissionRequest,
        outcome: &str,
        wait: Duration,
        actions: &mut Actions,
    ) {
        if !self.deferred.log.acquire(now) {
            return;
        }
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let line = format!(
            "admission id={} class={} priority={} age_ms={} left_ms={} first_event_ms={} \
             pause_ms={} kept={} urgent_ahead={} wait_ms={} outcome={outcome}",
            text(&call.terms.id),
            call.class.name(),
            call.priority,
            millis(terms.age),
            millis(terms.left),
            millis(terms.forecast.first_event),
            millis(terms.forecast.pause),
            terms.forecast.kept_tokens,
            terms.urgent_ahead,
            millis(wait),
        );
        actions.push(RoleAction::Log(LogLevel::Info, line));
    }
}

/// Returns whether a call is decided on. One that was forwarded before goes on at once, as
/// its caller may have a part of the response.
fn is_subject(call: &CallRecord) -> bool {
    call.class != AdmissionClass::Immediate
        && call.terms.model.is_some()
        && call.first_forwarded.is_none()
        && call.ran == RunState::No
        && call.terms.resumes.is_none()
        && call.terms.last_event.is_none()
}
