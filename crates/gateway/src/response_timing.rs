//! Measured durations of responses, and what they say of a call's end.

use std::time::{Duration, Instant};

use mulberrywell_policy::{events_time, DurationEstimate, ResponseTimes, PREFILL_TOKENS_PER_MS};
use mulberrywell_role::RequestId;
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::serving::EngineTraits;

use crate::call_codec::CallCodec;
use crate::call_table::{CallRecord, EngineWork};
use crate::endpoint_table::{EndpointUsage, CACHED_PARTS_MAX};
use crate::gateway_role::GatewayRole;
use crate::measured_choice::call_value;

/// Shortest time over which the pace of a stream is measured; events that were
/// delayed on the way arrive together.
const PACE_TIME: Duration = Duration::from_millis(200);

impl<C: CallCodec> GatewayRole<C> {
    /// Records the pace of a stream after a chunk.
    pub(crate) fn record_pace(&mut self, now: Instant, request: RequestId) {
        let Some(call) = self.calls.get_mut(request) else {
            return;
        };
        let event = match call.events.last_event() {
            Some(event) if call.response.is_stream => event,
            _ => return,
        };
        let times = self.times.entry(call.route.name.clone()).or_default();
        let Some((since, first)) = call.pace_mark else {
            call.pace_mark = Some((now, event));
            call.response.first_position = event;
            let started = call.attempt_started.unwrap_or(now);
            let elapsed = now.saturating_duration_since(started);
            if call.copy.is_some() {
                // No prompt was read, so that this says nothing of other streams.
                return;
            }
            times.record_first_chunk(elapsed);
            let usage = self.endpoints.usage_mut(&call.endpoint);
            let work = call.engine_work.filter(EngineWork::is_mostly_own);
            if let (Some(work), Some(usage)) = (work, usage) {
                let batch = usage.batch(work.tokens_per_event);
                let pace = &mut usage.pace;
                pace.record_first_event(now, batch, work.prefill_tokens, elapsed);
            }
            return;
        };
        let elapsed = now.saturating_duration_since(since);
        let events = u32::try_from(event.saturating_sub(first)).unwrap_or(u32::MAX);
        if elapsed < PACE_TIME || events == 0 {
            return;
        }
        call.pace_mark = Some((now, event));
        let pace = elapsed / events;
        times.record_pace(pace);
        if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
            usage.event_pace.record(pace);
            if let Some(work) = call.engine_work {
                let batch = usage.batch(work.tokens_per_event);
                usage.pace.record_event(now, batch, pace);
            }
        }
    }

    /// Records the duration of a response that is complete.
    pub(crate) fn record_whole(&mut self, now: Instant, request: RequestId) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let elapsed = running_time(now, call);
        let times = self.times.entry(call.route.name.clone()).or_default();
        times.record_whole(now, elapsed);
        let is_plain = call.terms.model.is_none() && !call.route.is_stream;
        if is_plain && self.index.has_deferrable(&call.service) {
            let started = call.attempt_started.unwrap_or(now);
            let elapsed = now.saturating_duration_since(started);
            if let Some(usage) = self.endpoints.usage_mut(&call.endpoint) {
                usage
                    .pace
                    .record_response(now, call.route.objective, elapsed);
            }
        }
    }

    /// Returns the time that a call can be expected to take from now on at an
    /// endpoint, or at any if none is given; none if too little is known.
    pub(crate) fn expected_time(
        &self,
        now: Instant,
        call: &CallRecord,
        endpoint: Option<&EndpointId>,
    ) -> Option<Duration> {
        let times = self.times.get(&call.route.name)?;
        if call.route.is_stream {
            if let Some(left) = self.events_left(call) {
                let estimate = self.pace_estimate(endpoint, times);
                // A slow phase of the endpoint lasts for a stream that can't move.
                let pace = match self.can_move(now, call, endpoint) {
                    true => estimate.upper_pace(),
                    false => estimate.upper(),
                };
                let time = times.stream_time(left, pace)?;
                let wait = self.endpoint_wait(call, endpoint);
                let first = times.first_chunk().unwrap_or_default();
                return Some(time.saturating_add(wait.saturating_sub(first)));
            }
        }
        // Calls in progress will last longer than they have so far, so that their age
        // says nothing before one has ended.
        let longest = times.longest()?;
        let running = self
            .calls
            .iter()
            .filter(|it| it.route.name == call.route.name);
        let ages = running.map(|it| running_time(now, it));
        Some(ages.fold(longest, Duration::max))
    }

    /// Returns the time that the events of a stream take at the pace of its endpoint,
    /// for a route of which nothing is known; zero if the pace is unknown too.
    pub(crate) fn least_time(&self, call: &CallRecord, endpoint: Option<&EndpointId>) -> Duration {
        let pace = self.endpoint_pace(endpoint);
        let time = self.events_left(call).zip(pace);
        time.map_or(Duration::ZERO, |(left, pace)| events_time(left, pace))
    }

    /// Returns the estimate of the time between events at an endpoint, or at all of a route
    /// if nothing is known of it.
    fn pace_estimate<'a>(
        &'a self,
        endpoint: Option<&EndpointId>,
        times: &'a ResponseTimes,
    ) -> &'a DurationEstimate {
        let usage = endpoint.and_then(|id| self.endpoints.usage(id));
        let measured = usage.map(|usage| &usage.event_pace);
        let measured = measured.filter(|pace| pace.mean().is_some());
        measured.unwrap_or_else(|| times.event_pace())
    }

    /// Returns the upper estimate of the time between events at an endpoint.
    pub(crate) fn endpoint_pace(&self, endpoint: Option<&EndpointId>) -> Option<Duration> {
        let usage = self.endpoints.usage(endpoint?)?;
        usage.event_pace.upper_pace()
    }

    /// Returns the time until an endpoint has read the prompts that were sent before a
    /// call's, and that one; zero if it isn't known which endpoint it will be.
    fn endpoint_wait(&self, call: &CallRecord, endpoint: Option<&EndpointId>) -> Duration {
        let usage = endpoint.and_then(|id| self.endpoints.usage(id));
        usage.map_or(Duration::ZERO, |usage| {
            let uncached =
                prompt_tokens(call).saturating_sub(usage.cache.cached_tokens(&call.chain));
            backlog_time(usage).saturating_add(prefill_time(uncached))
        })
    }

    /// Returns the events of a stream that its caller may still receive; none if the
    /// request doesn't limit its output.
    pub(crate) fn events_left(&self, call: &CallRecord) -> Option<u64> {
        let limit = call.terms.tokens.map(|tokens| tokens.output);
        let limit = limit.filter(|tokens| *tokens > 0)?;
        let service = self.index.service(&call.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let tokens_per_event = engine.map_or(1, |engine| engine.tokens_per_event.max(1));
        let events = limit.div_ceil(u64::from(tokens_per_event));
        // A stream that can't be resumed comes as a whole, whatever position its caller
        // names; what has been forwarded of it doesn't come again.
        let position = match call.route.is_idempotent {
            true => call.events.last_event(),
            false => call.events.resume_position(),
        };
        Some(events.saturating_sub(position.unwrap_or_default()))
    }

    /// Removes the durations of routes that the configuration no longer has.
    pub(crate) fn remove_unrouted_times(&mut self) {
        let routes = &self.index.config().routes;
        self.times
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
    }
}

/// Counts the work of a call at its engine and records its prompt as sent there; returns
/// the tokens of the prompt that the engine has probably cached.
pub(crate) fn begin_work(
    now: Instant,
    usage: &mut EndpointUsage,
    call: &mut CallRecord,
    traits: &EngineTraits,
) -> u64 {
    let tokens = call.terms.tokens.unwrap_or_default();
    let kept = match call.copy {
        // The engine has the whole prompt in the copy.
        Some(_) => tokens.prompt,
        None => call_value(now, call, usage, traits, false).kept_tokens,
    };
    call.prefill_tokens = tokens.prompt.saturating_sub(kept);
    usage.prefill_tokens += call.prefill_tokens;
    // A copy shares no memory with other requests, also if the engine has cached the prompt.
    let stored_tokens = match call.copy {
        Some(_) => tokens.prompt,
        None => call.prefill_tokens,
    };
    let held_tokens = stored_tokens.saturating_add(tokens.output);
    usage.held_tokens = usage.held_tokens.saturating_add(held_tokens);
    call.engine_work = Some(EngineWork {
        prefill_tokens: usage.prefill_tokens + usage.others.prefill_tokens,
        own_tokens: call.prefill_tokens,
        held_tokens,
        tokens_per_event: traits.tokens_per_event,
    });
    let parts = &call.terms.prefix;
    let named: u64 = parts.iter().map(|part| part.tokens).sum();
    usage.cache.record_prompt(&call.chain, parts, u64::MAX);
    usage
        .cache
        .record_other(tokens.prompt.saturating_sub(named));
    usage.cache.trim(traits.cache_tokens, CACHED_PARTS_MAX);
    usage.sends.record(call);
    kept
}

/// Returns the tokens of a call's prompt.
pub(crate) fn prompt_tokens(call: &CallRecord) -> u64 {
    call.terms.tokens.map_or(0, |tokens| tokens.prompt)
}

/// Returns the time in which an engine reads the prompts that were sent to it.
pub(crate) fn backlog_time(usage: &EndpointUsage) -> Duration {
    let tokens = usage
        .prefill_tokens
        .saturating_add(usage.others.prefill_tokens);
    prefill_time(tokens)
}

/// Returns the time in which an engine reads a number of tokens.
pub(crate) fn prefill_time(tokens: u64) -> Duration {
    let seconds = tokens as f64 / PREFILL_TOKENS_PER_MS / 1_000.0;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Returns the time since a call was first forwarded.
fn running_time(now: Instant, call: &CallRecord) -> Duration {
    let since = call.first_forwarded.unwrap_or(now);
    now.saturating_duration_since(since)
}
