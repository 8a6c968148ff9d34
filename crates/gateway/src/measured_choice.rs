//! Selection of an endpoint by its measured speed and load.

use std::time::Instant;

use mulberrywell_policy::{
    choose_drawn, home_count, prompt_value, response_slowness, stable_hash, weigh_engine,
    weigh_response, ChoiceTerms, DrawCandidate, EngineKind, EngineOption, PlainOption, PromptFit,
    PromptValue, RequestNeeds, WeighedEngine, PUBLISHED_PREFILL_RATE, SHARED_TOKENS_MIN,
};
use mulberrywell_wire::serving::{EndpointStatus, EngineTraits};

use crate::call_table::CallRecord;
use crate::endpoint_choice::{home_engines, shared_tokens, Candidate, ChoiceView};
use crate::endpoint_table::EndpointUsage;

/// Part of the longest cached prefix that an engine must hold to be drawn as a holder.
/// Engines that hold only the common first part would hide those that hold more.
const HOLDER_SHARE: f64 = 0.75;

/// Returns the engine for a call, with the terms of the choice.
pub(crate) fn choose_measured<'a>(
    now: Instant,
    view: ChoiceView<'_>,
    call: &CallRecord,
    traits: &EngineTraits,
    candidates: &[Candidate<'a>],
) -> Option<(&'a EndpointStatus, ChoiceTerms)> {
    let needs = RequestNeeds {
        prompt_tokens: call.terms.tokens.map_or(0, |tokens| tokens.prompt),
        objective: call.route.objective,
        pause: call.route.pause,
        is_deferrable: call.route.is_deferrable,
    };
    let homes = prefix_homes(now, view, call, candidates);
    let drawn = draw_candidates(call, candidates, &homes);
    let seed = choice_seed(call);
    let chosen = choose_drawn(seed, &drawn, |index| {
        let (status, usage) = candidates[index];
        let is_home = homes.contains(&usage.hash);
        let value = call_value(now, call, usage, traits, is_home);
        let option = engine_option(now, view, traits, candidates[index], value);
        WeighedEngine {
            is_avoided: usage.is_avoided(now) || status.silent,
            terms: weigh_engine(&option, &needs),
        }
    });
    chosen.map(|(index, weighed)| (candidates[index].0, weighed.terms))
}

/// Returns the endpoint of a plain service for a call, with the terms of the choice.
pub(crate) fn choose_by_response<'a>(
    now: Instant,
    view: ChoiceView<'_>,
    call: &CallRecord,
    candidates: &[Candidate<'a>],
) -> Option<(&'a EndpointStatus, ChoiceTerms)> {
    let drawn: Vec<DrawCandidate> = candidates
        .iter()
        .map(|(_, usage)| DrawCandidate {
            hash: usage.hash,
            kind: EngineKind::Other,
        })
        .collect();
    let reports = candidates
        .iter()
        .map(|(_, usage)| usage.pace.step_report(now));
    let slowness = response_slowness(&reports.collect::<Vec<_>>());
    let chosen = choose_drawn(choice_seed(call), &drawn, |index| {
        let (status, usage) = candidates[index];
        let option = PlainOption {
            slowness: slowness[index],
            running: usage.running + usage.others.running,
            slots: status.slots,
            is_other_zone: status.zone != *view.zone,
        };
        WeighedEngine {
            is_avoided: usage.is_avoided(now) || status.silent,
            terms: weigh_response(&option, call.route.objective),
        }
    });
    chosen.map(|(index, weighed)| (candidates[index].0, weighed.terms))
}

/// Returns the seed of the draws for a call's next attempt.
fn choice_seed(call: &CallRecord) -> u64 {
    stable_hash(&[&call.terms.id, &call.attempts.to_be_bytes()])
}

/// Returns the hashes of the engines to which the prompt's shared parts are sent first.
fn prefix_homes(
    now: Instant,
    view: ChoiceView<'_>,
    call: &CallRecord,
    candidates: &[Candidate<'_>],
) -> Vec<u64> {
    let shared = shared_tokens(call);
    let Some(prefix) = call.chain.iter().rev().nth(1) else {
        return Vec::new();
    };
    if shared < SHARED_TOKENS_MIN {
        return Vec::new();
    }
    let prompt = call.terms.tokens.map_or(0, |tokens| tokens.prompt);
    let own_ms = prompt.saturating_sub(shared) as f64 / PUBLISHED_PREFILL_RATE;
    let rate = view.endpoints.prefixes.per_second(now, *prefix);
    home_engines(call, candidates, home_count(rate, own_ms))
}

fn draw_candidates(
    call: &CallRecord,
    candidates: &[Candidate<'_>],
    homes: &[u64],
) -> Vec<DrawCandidate> {
    let cached: Vec<u64> = candidates
        .iter()
        .map(|(_, usage)| usage.cache.cached_tokens(&call.chain))
        .collect();
    let longest = cached.iter().copied().max().unwrap_or_default();
    let least = ((longest as f64 * HOLDER_SHARE) as u64).max(SHARED_TOKENS_MIN);
    let drawn = candidates.iter().zip(cached);
    let kind = |usage: &EndpointUsage, cached: u64| match cached {
        cached if cached >= least => EngineKind::Holder,
        _ if homes.contains(&usage.hash) => EngineKind::Home,
        _ => EngineKind::Other,
    };
    drawn
        .map(|((_, usage), cached)| DrawCandidate {
            hash: usage.hash,
            kind: kind(usage, cached),
        })
        .collect()
}

/// Returns the value of what an engine has cached for a call.
pub(crate) fn call_value(
    now: Instant,
    call: &CallRecord,
    usage: &EndpointUsage,
    traits: &EngineTraits,
    is_home: bool,
) -> PromptValue {
    let fit = PromptFit {
        chain: &call.chain,
        prompt_tokens: call.terms.tokens.map_or(0, |tokens| tokens.prompt),
        shared_tokens: shared_tokens(call),
        memory_tokens: (traits.cache_tokens > 0).then_some(traits.cache_tokens),
        held_tokens: usage.batch(traits.tokens_per_event).context_tokens,
        is_home,
        prefill_rate: usage.pace.speed(now).prefill_rate(),
    };
    prompt_value(&usage.cache, &fit)
}

fn engine_option(
    now: Instant,
    view: ChoiceView<'_>,
    traits: &EngineTraits,
    (status, usage): Candidate<'_>,
    value: PromptValue,
) -> EngineOption {
    let batch = usage.batch(traits.tokens_per_event);
    let free = traits.cache_tokens.saturating_sub(batch.context_tokens);
    EngineOption {
        speed: usage.pace.speed(now),
        batch,
        pending_tokens: usage.prefill_tokens + usage.others.prefill_tokens,
        slots: status.slots,
        kept_tokens: value.kept_tokens,
        copy_ms: value.copy_ms,
        free_tokens: (traits.cache_tokens > 0).then_some(free),
        is_other_zone: status.zone != *view.zone,
    }
}
