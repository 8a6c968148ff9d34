//! Moves streams that a shutdown would cut to endpoints that end them in time.
//!
//! Algorithm: while the role shuts down, what each stream still needs is estimated anew
//! at each tick: from the pace of its events, or, before the first of them, from how long
//! it has waited. [`mulberrywell_policy::should_move`] compares it with the same
//! estimate for the other endpoints. Where engines can copy the memory of a run, a stream
//! that has begun goes on from a copy ([`crate::memory_copies`]), which is the same run;
//! otherwise it is resumed if its route and its attempts allow that.

use std::time::{Duration, Instant};

use mulberrywell_limit::RetryBudget;
use mulberrywell_policy::{observed_pace, should_move, MoveKind, ResponseTimes, StreamRest};
use mulberrywell_role::{ExchangeCommand, RequestId, RoleAction};
use mulberrywell_serving::EndpointId;

use crate::attempts::AttemptFailure;
use crate::call_codec::CallCodec;
use crate::call_table::{CallRecord, CallStage, RunState, StreamVersion};
use crate::endpoint_choice::Candidate;
use crate::gateway_role::{Actions, GatewayRole};
use crate::memory_copies::log_move;
use crate::response_timing::{backlog_time, prefill_time, prompt_tokens};

/// Where a stream goes on, and how.
struct StreamMove {
    target: EndpointId,
    kind: MoveKind,
}

impl<C: CallCodec> GatewayRole<C> {
    /// Moves the streams that outlast the shutdown where they are.
    pub(crate) fn move_slow_streams(&mut self, now: Instant, actions: &mut Actions) {
        let Some(end) = self.shutdown_end() else {
            return;
        };
        for request in self.calls.requests() {
            let Some(planned) = self.plan_move(now, end, request) else {
                continue;
            };
            match planned.kind {
                MoveKind::Copied => self.begin_copy(now, request, &planned.target, actions),
                MoveKind::Resumed => self.resume_at(now, request, &planned.target, actions),
            }
        }
    }

    fn plan_move(&self, now: Instant, end: Instant, request: RequestId) -> Option<StreamMove> {
        let call = self.calls.get(request)?;
        let is_paused = call.move_after.is_some_and(|at| at > now);
        let is_bounded = call.deadline <= end;
        if is_bounded || is_paused || self.copies.contains(request) {
            return None;
        }
        // What may crash engines isn't brought to a further one.
        if self.quarantine_end(now, call).is_some() || self.is_suspected(call) {
            return None;
        }
        if !self
            .budgets
            .get(&call.service)
            .is_some_and(RetryBudget::has_retry)
        {
            return None;
        }
        let kind = self.move_kind(call)?;
        let left = end.saturating_duration_since(now);
        let here = self.rest_here(now, call)?;
        if here.time() <= left {
            return None;
        }
        let others = self.endpoints.candidates(now, call.needs());
        let others = others.filter(|(status, usage)| {
            status.id != call.endpoint
                && !status.silent
                && !usage.is_avoided(now)
                && !self.endpoints.needs_permit(now, &status.id)
        });
        let rests = others.filter_map(|other| Some((self.rest_there(call, other, kind)?, other)));
        let (there, (status, _)) = rests.min_by_key(|(rest, _)| rest.time())?;
        should_move(&here, &there, left, kind).then(|| StreamMove {
            target: status.id.clone(),
            kind,
        })
    }

    /// Returns whether a stream can go on elsewhere than at an endpoint that it is to be
    /// forwarded to, or at the one that will be chosen.
    pub(crate) fn can_move(
        &self,
        now: Instant,
        call: &CallRecord,
        endpoint: Option<&EndpointId>,
    ) -> bool {
        let may_resume = call.route.is_idempotent && call.attempts + 1 < call.route.max_attempts;
        if !may_resume && !self.copies_memory(call) {
            return false;
        }
        let others = self.endpoints.candidates(now, call.needs());
        let mut others = others.filter(|(status, _)| Some(&status.id) != endpoint);
        // Which endpoint will be chosen isn't known.
        let least = if endpoint.is_some() { 0 } else { 1 };
        others.nth(least).is_some()
    }

    fn copies_memory(&self, call: &CallRecord) -> bool {
        let service = self.index.service(&call.service);
        let traits = service.and_then(|service| service.engine.as_ref());
        traits.is_some_and(|traits| traits.copies_memory)
    }

    /// Returns how a stream may go on at another endpoint; none if it may not.
    fn move_kind(&self, call: &CallRecord) -> Option<MoveKind> {
        let response = &call.response;
        let is_sound = response.status == 0 || (response.is_success() && response.is_stream);
        let is_running = matches!(call.stage, CallStage::Running(_));
        if !is_running || !is_sound || !call.route.is_stream {
            return None;
        }
        let is_disputed = call.version_bound == StreamVersion::Disputed;
        if self.copies_memory(call) && call.events.resume_position().is_some() && !is_disputed {
            return Some(MoveKind::Copied);
        }
        let may_resume = call.route.is_idempotent
            && call.attempts < call.route.max_attempts
            && call.can_continue();
        may_resume.then_some(MoveKind::Resumed)
    }

    /// Estimates the rest of a stream where it is; none if too little is known, or if it
    /// has waited for its first event no longer than is usual.
    fn rest_here(&self, now: Instant, call: &CallRecord) -> Option<StreamRest> {
        let events = self.events_left(call)?;
        let usage = self.endpoints.usage(&call.endpoint)?;
        let mean = usage.event_pace.mean();
        let Some(first) = call.response.first_event else {
            let waited = now.saturating_duration_since(call.attempt_started?);
            let times = self.times.get(&call.route.name);
            let first_chunk = times.and_then(ResponseTimes::first_chunk);
            // The first event of a route of which nothing is known is late as it is for its
            // caller.
            let is_usual = waited <= first_chunk.unwrap_or(call.route.objective);
            // What has waited for some time may wait as long again.
            return (!is_usual).then_some(StreamRest {
                events,
                pace: mean.or_else(|| times?.event_pace().mean())?,
                delay: waited.max(backlog_time(usage)),
            });
        };
        let position = call.events.last_event().unwrap_or_default();
        let brought = position.saturating_sub(call.response.first_position);
        let last = call.last_chunk.unwrap_or(first);
        let observed = observed_pace(
            last.saturating_duration_since(first),
            now.saturating_duration_since(first),
            brought,
        );
        Some(StreamRest {
            events,
            pace: observed.max(mean.unwrap_or_default()),
            delay: Duration::ZERO,
        })
    }

    /// Estimates the rest of a stream at another endpoint; none if too little is known.
    fn rest_there(
        &self,
        call: &CallRecord,
        (_, usage): Candidate<'_>,
        kind: MoveKind,
    ) -> Option<StreamRest> {
        let times = self.times.get(&call.route.name);
        let pace = usage.event_pace.upper_pace();
        let mut delay = backlog_time(usage);
        if kind == MoveKind::Resumed {
            delay = delay.saturating_add(prefill_time(prompt_tokens(call)));
        }
        Some(StreamRest {
            events: self.events_left(call)?,
            pace: pace.or_else(|| times?.event_pace().upper_pace())?,
            delay,
        })
    }

    /// Ends a call's attempt and forwards the call to another endpoint.
    fn resume_at(
        &mut self,
        now: Instant,
        request: RequestId,
        target: &EndpointId,
        actions: &mut Actions,
    ) {
        if !self.try_acquire_retry(now, request, AttemptFailure::Broken, actions) {
            return;
        }
        let Some(call) = self.calls.get(request) else {
            return;
        };
        if let CallStage::Running(exchange) = call.stage {
            self.calls.end_exchange(exchange);
            actions.push(RoleAction::Exchange(ExchangeCommand::Cancel { exchange }));
        }
        self.park_run(request);
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        log_move(call, target, "resumed", actions);
        call.ran = RunState::Maybe;
        call.tried.push(call.endpoint.clone());
        call.events.end_run();
        let left = call.deadline.saturating_duration_since(now);
        self.forward_call(now, request, target, left, actions);
    }
}
