//! Selection of an engine by its measured speed and load.

use std::time::Instant;

use mulberrywell_policy::{
    choose_drawn, stable_hash, weigh_engine, ChoiceTerms, DrawCandidate, EngineOption,
    RequestNeeds, WeighedEngine,
};
use mulberrywell_wire::serving::{EndpointStatus, EngineTraits};

use crate::call_table::CallRecord;
use crate::endpoint_choice::ChoiceView;
use crate::endpoint_table::EndpointUsage;

type Candidate<'a> = (&'a EndpointStatus, &'a EndpointUsage);

/// Returns the engine for a call, with the terms of the choice.
pub(crate) fn choose_measured<'a>(
    now: Instant,
    view: ChoiceView<'_>,
    call: &CallRecord,
    traits: &EngineTraits,
    candidates: &[Candidate<'a>],
    homes: &[u64],
) -> Option<(&'a EndpointStatus, ChoiceTerms)> {
    let needs = RequestNeeds {
        prompt_tokens: call.terms.tokens.map_or(0, |tokens| tokens.prompt),
        objective: call.route.objective,
        pause: call.route.pause,
        is_deferrable: call.route.is_deferrable,
    };
    let shared: u64 = call.shared_parts().iter().map(|part| part.tokens).sum();
    let cached = |usage: &EndpointUsage| {
        let is_home = homes.contains(&usage.hash);
        let assumed = if is_home { shared } else { 0 };
        usage.cache.cached_tokens(&call.chain).max(assumed)
    };
    let drawn: Vec<DrawCandidate> = candidates
        .iter()
        .map(|(_, usage)| DrawCandidate {
            hash: usage.hash,
            is_holder: cached(usage) > 0,
        })
        .collect();
    let seed = stable_hash(&[&call.terms.id, &call.attempts.to_be_bytes()]);
    let chosen = choose_drawn(seed, &drawn, |index| {
        let (status, usage) = candidates[index];
        let option = engine_option(now, view, traits, candidates[index], cached(usage));
        WeighedEngine {
            is_avoided: usage.is_avoided(now) || status.silent,
            terms: weigh_engine(&option, &needs),
        }
    });
    chosen.map(|(index, weighed)| (candidates[index].0, weighed.terms))
}

fn engine_option(
    now: Instant,
    view: ChoiceView<'_>,
    traits: &EngineTraits,
    (status, usage): Candidate<'_>,
    cached_tokens: u64,
) -> EngineOption {
    let batch = usage.batch(traits.tokens_per_event);
    let free = traits.cache_tokens.saturating_sub(batch.context_tokens);
    EngineOption {
        speed: usage.pace.speed(now),
        batch,
        pending_tokens: usage.prefill_tokens + usage.others.prefill_tokens,
        slots: status.slots,
        kept_tokens: cached_tokens,
        free_tokens: (traits.cache_tokens > 0).then_some(free),
        is_other_zone: status.zone != *view.zone,
    }
}
