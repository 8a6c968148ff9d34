//! Weighs an engine for a request by what its caller would get there, and by what the
//! requests that run there would lose.
//!
//! Algorithm: an engine processes all waiting prompts in turns, a chunk of each between
//! two steps. A prompt thus waits for the prefill of nearly all tokens that wait with
//! it, and the running streams pause for as long, at the engine's measured rate. All
//! terms are in milliseconds of the caller's wait, so that they add up: a late response
//! counts as much as a wait of the whole objective. The risk of being late rises from
//! half of the limit on, since the load of other instances is known with a delay.

use std::time::Duration;

use crate::engine_pace::{BatchState, EngineSpeed, RESPONSES_PER_OBJECTIVE};

/// Time that each request beyond the slots of a full engine adds.
const QUEUED_REQUEST_MS: f64 = 60.0;

/// Time that an engine in another availability zone adds: the round trip, and the price
/// of traffic between zones.
const OTHER_ZONE_MS: f64 = 4.0;

/// Part of a limit from which on there is a risk of exceeding it.
const RISK_BEGIN: f64 = 0.5;

/// Risk up to which an engine is chosen without a look at others. A long prompt that isn't
/// cached has a risk of about 30 ms at an idle engine with two streams.
const RISK_TOLERATED_MS: f64 = 100.0;

/// Increase of the risk for each further multiple of the limit, so that of two engines
/// that are late the less late one is preferred.
const BEYOND_SLOPE: f64 = 0.5;

/// Part of the loss of running streams that counts: some of them end before the pause,
/// or have already paused for as long.
const STREAM_LOSS_SHARE: f64 = 0.5;

/// Part of the objective that a request with a loose objective pays for an engine of the
/// published speed, and more for a faster one. At 5,000 ms, a slow engine is preferred
/// to a fast one unless it is about 130 ms later.
const RESERVE_SHARE: f64 = 0.04;

/// Part of a response's time by which an endpoint with all slots in use is worse than a
/// free one.
const BUSY_SHARE: f64 = 0.2;

/// Pause that streams of other requests are assumed to allow where the request's own
/// route names none.
const PAUSE_DEFAULT: Duration = Duration::from_millis(500);

/// What is known of an engine that may run a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineOption {
    /// Measured speed.
    pub speed: EngineSpeed,
    /// The batch without the request.
    pub batch: BatchState,
    /// Prompt tokens of other requests that await prefill.
    pub pending_tokens: u64,
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of the prompt that the engine has cached and keeps.
    pub kept_tokens: u64,
    /// Price of a new copy of the prompt's shared parts there.
    pub copy_ms: f64,
    /// Tokens of memory that running requests leave; none if unknown.
    pub free_tokens: Option<u64>,
    /// The engine is in another availability zone.
    pub is_other_zone: bool,
}

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestNeeds {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Latency objective; zero for none.
    pub objective: Duration,
    /// Longest pause that is in time; zero for none.
    pub pause: Duration,
    /// The request can yield to urgent ones of the same service.
    pub is_deferrable: bool,
}

/// What a request can expect at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineForecast {
    /// Time to the first event.
    pub first_event: Duration,
    /// Part of it in which the request's own prompt is prefilled.
    pub own_prefill: Duration,
    /// Longest pause between events.
    pub pause: Duration,
    /// Tokens of memory that running requests leave; none if unknown.
    pub free_tokens: Option<u64>,
    /// Tokens of the prompt that the engine has cached and keeps.
    pub kept_tokens: u64,
}

/// The terms of a choice in milliseconds of the caller's wait; the lowest sum is best.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceTerms {
    /// Time to the first event.
    pub first_event_ms: f64,
    /// Risk that the first event is late.
    pub late_ms: f64,
    /// Risk that a pause is too long.
    pub pause_ms: f64,
    /// Risk that the streams that run there pause too long because of the request.
    pub streams_ms: f64,
    /// Price of a fast engine for a request with a loose objective.
    pub reserve_ms: f64,
    /// Price of a new copy of the prompt's shared parts.
    pub copy_ms: f64,
    /// What the caller can expect.
    pub forecast: EngineForecast,
}

impl ChoiceTerms {
    /// Returns the sum of the terms.
    pub fn total_ms(&self) -> f64 {
        let risks_ms = self.late_ms + self.pause_ms + self.streams_ms;
        self.first_event_ms + risks_ms + self.reserve_ms + self.copy_ms
    }

    /// Returns whether the request or the streams that run there probably are late.
    pub fn is_risky(&self) -> bool {
        self.late_ms + self.pause_ms + self.streams_ms > RISK_TOLERATED_MS
    }
}

/// Weighs an engine for a request.
pub fn weigh_engine(engine: &EngineOption, needs: &RequestNeeds) -> ChoiceTerms {
    let rate = engine.speed.prefill_rate();
    let own_tokens = needs.prompt_tokens.saturating_sub(engine.kept_tokens);
    let pending_ms = engine.pending_tokens as f64 / rate;
    let own_ms = own_tokens as f64 / rate;
    let joined = BatchState {
        running: engine.batch.running.saturating_add(1),
        context_tokens: engine.batch.context_tokens.saturating_add(own_tokens),
        ..engine.batch
    };
    let event_ms = engine.speed.event_ms(joined);
    let queued = joined.running.saturating_sub(engine.slots.max(1));
    let queueing_ms = f64::from(queued) * QUEUED_REQUEST_MS * engine.speed.step_slowness;
    let zone_ms = if engine.is_other_zone {
        OTHER_ZONE_MS
    } else {
        0.0
    };
    let first_event_ms = pending_ms + own_ms + event_ms + queueing_ms + zone_ms;
    // What awaits prefill now stands for what will while the request's stream runs.
    let pause_ms = event_ms + pending_ms;
    let objective_ms = millis(needs.objective);
    let limit_ms = millis(needs.pause);
    ChoiceTerms {
        first_event_ms,
        late_ms: loss_ms(first_event_ms, objective_ms),
        pause_ms: loss_ms(pause_ms, limit_ms),
        streams_ms: streams_loss_ms(engine, needs.pause, pause_ms, own_ms),
        reserve_ms: if needs.is_deferrable {
            objective_ms * RESERVE_SHARE / engine.speed.prefill_slowness
        } else {
            0.0
        },
        copy_ms: engine.copy_ms,
        forecast: EngineForecast {
            first_event: duration(first_event_ms),
            own_prefill: duration(own_ms),
            pause: duration(pause_ms),
            free_tokens: engine.free_tokens,
            kept_tokens: engine.kept_tokens.min(needs.prompt_tokens),
        },
    }
}

/// What is known of an endpoint of a plain service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainOption {
    /// Duration of a response in multiples of what its objective lets expect.
    pub slowness: f64,
    /// Requests that run there.
    pub running: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// The endpoint is in another availability zone.
    pub is_other_zone: bool,
}

/// Weighs an endpoint of a plain service for a request with an objective by its measured
/// response time, which grows once all of its slots are in use.
pub fn weigh_response(endpoint: &PlainOption, objective: Duration) -> ChoiceTerms {
    let objective_ms = millis(objective);
    let alone_ms = objective_ms / RESPONSES_PER_OBJECTIVE * endpoint.slowness;
    let joined = f64::from(endpoint.running) + 1.0;
    let rounds = joined / f64::from(endpoint.slots.max(1));
    // Below the limit, a free endpoint is preferred to a busy one that is as fast.
    let queueing_ms = alone_ms * ((rounds - 1.0).max(0.0) + BUSY_SHARE * rounds.min(1.0));
    let zone_ms = if endpoint.is_other_zone {
        OTHER_ZONE_MS
    } else {
        0.0
    };
    let response_ms = alone_ms + queueing_ms + zone_ms;
    ChoiceTerms {
        first_event_ms: response_ms,
        late_ms: loss_ms(response_ms, objective_ms),
        pause_ms: 0.0,
        streams_ms: 0.0,
        reserve_ms: 0.0,
        copy_ms: 0.0,
        forecast: EngineForecast {
            first_event: duration(response_ms),
            own_prefill: Duration::ZERO,
            pause: Duration::ZERO,
            free_tokens: None,
            kept_tokens: 0,
        },
    }
}

/// Returns the loss of the streams that run at an engine by the prefill of a request.
fn streams_loss_ms(engine: &EngineOption, pause: Duration, before_ms: f64, own_ms: f64) -> f64 {
    let limit = if pause.is_zero() {
        PAUSE_DEFAULT
    } else {
        pause
    };
    let limit_ms = millis(limit);
    let loss = loss_ms(before_ms + own_ms, limit_ms) - loss_ms(before_ms, limit_ms);
    let streams = engine.batch.running.min(engine.slots.max(1));
    f64::from(streams) * loss * STREAM_LOSS_SHARE
}

/// Returns the loss by the risk that an expected time exceeds a limit; 0 without a limit.
fn loss_ms(expected_ms: f64, limit_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 0.0;
    }
    let ratio = expected_ms / limit_ms;
    let risk = ((ratio - RISK_BEGIN) / (1.0 - RISK_BEGIN)).clamp(0.0, 1.0);
    let beyond = (ratio - 1.0).max(0.0) * BEYOND_SLOPE;
    (risk + beyond) * limit_ms
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn duration(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::MAX)
}
