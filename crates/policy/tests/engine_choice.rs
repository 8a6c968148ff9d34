//! Estimates of the time to the first event, and the prefix cache.

use mulberrywell_policy::{chain_hashes, first_event_ms, EngineView, PrefixCache, PromptPart};
use rstest::rstest;

const PROMPT: u64 = 4_000;

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

#[rstest]
#[case::cached_prompt(EngineView { cached_tokens: 3_000, ..EngineView::default() })]
#[case::fewer_pending_prefill_tokens(EngineView { pending_prefill_tokens: 100, ..EngineView::default() })]
#[case::fewer_running(EngineView { running: 1, slots: 8, ..EngineView::default() })]
#[case::same_zone(EngineView { pending_prefill_tokens: 10, ..EngineView::default() })]
fn first_event_ms_lower(#[case] better: EngineView) {
    let worse = EngineView {
        pending_prefill_tokens: 500,
        running: 9,
        slots: 8,
        cached_tokens: 0,
        is_other_zone: true,
    };
    assert!(first_event_ms(&better, PROMPT) < first_event_ms(&worse, PROMPT));
}

#[test]
fn cached_tokens_same_chain() {
    let parts = [part(1, 100), part(2, 50), part(3, 7)];
    let chain = chain_hashes(9, &parts);
    let mut cache = PrefixCache::default();
    cache.record_prompt(&chain[..2], &parts[..2], 1_000);
    assert_eq!(cache.cached_tokens(&chain), 150);
    let other_model = chain_hashes(8, &parts);
    assert_eq!(cache.cached_tokens(&other_model), 0);
    let other_first_part = chain_hashes(9, &[part(4, 100), part(2, 50)]);
    assert_eq!(cache.cached_tokens(&other_first_part), 0);
}

#[test]
fn record_prompt_evicts_least_recent() {
    let mut cache = PrefixCache::default();
    for id in 1..=3 {
        let parts = [part(id, 40)];
        cache.record_prompt(&chain_hashes(9, &parts), &parts, 100);
    }
    let cached = |id| cache.cached_tokens(&chain_hashes(9, &[part(id, 40)]));
    assert_eq!([cached(1), cached(2), cached(3)], [0, 40, 40]);
}
