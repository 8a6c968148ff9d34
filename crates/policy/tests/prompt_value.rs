//! The value of cached prompt parts, and the homes of prefixes.

use std::time::{Duration, Instant};

use mulberrywell_policy::{
    chain_hashes, home_count, prompt_value, PrefixCache, PrefixDemand, PromptFit, PromptPart,
};
use rstest::rstest;

const PARTS: [PromptPart; 3] = [
    PromptPart {
        id: 1,
        tokens: 2_520,
    },
    PromptPart {
        id: 2,
        tokens: 3_780,
    },
    PromptPart {
        id: 3,
        tokens: 2_890,
    },
];

fn fit(chain: &[u64]) -> PromptFit<'_> {
    PromptFit {
        chain,
        prompt_tokens: 9_190,
        shared_tokens: 6_300,
        memory_tokens: Some(167_040),
        held_tokens: 0,
        is_home: false,
        prefill_rate: 20.0,
    }
}

fn holding_cache(chain: &[u64]) -> PrefixCache {
    let mut cache = PrefixCache::default();
    for (hash, part) in chain.iter().zip(PARTS).take(2) {
        cache.record_part(*hash, part.tokens);
    }
    cache
}

#[test]
fn saved_time_at_measured_rate() {
    let chain = chain_hashes(9, &PARTS);
    let value = prompt_value(&holding_cache(&chain), &fit(&chain));
    assert_eq!((value.kept_tokens, value.copy_ms), (6_300, 0.0));
    assert!((value.saved_ms - 315.0).abs() < 0.1, "{value:?}");
    let none = prompt_value(&PrefixCache::default(), &fit(&chain));
    assert_eq!((none.kept_tokens, none.saved_ms), (0, 0.0));
    assert!(none.copy_ms > 0.0);
}

/// Guards against requests sent to an engine for parts that its running requests or
/// other prompts have displaced since.
#[rstest]
#[case::memory_full(163_000, 0, 0)]
#[case::others_since(0, 163_000, 0)]
#[case::first_part_newer(0, 160_000, 2_520)]
#[case::room(40_000, 100_000, 6_300)]
fn displaced_tokens_count_as_none(#[case] held: u64, #[case] other: u64, #[case] kept: u64) {
    let chain = chain_hashes(9, &PARTS);
    let mut cache = PrefixCache::default();
    cache.record_part(chain[1], PARTS[1].tokens);
    cache.record_part(chain[0], PARTS[0].tokens);
    cache.record_other(other);
    let fit = PromptFit {
        held_tokens: held,
        ..fit(&chain)
    };
    assert_eq!(prompt_value(&cache, &fit).kept_tokens, kept);
}

/// Guards against an unbounded record of what engines hold.
#[test]
fn trim_bounds_parts() {
    let mut cache = PrefixCache::default();
    for part in 0..100 {
        cache.record_part(part, 10);
    }
    cache.trim(1_000, 8);
    assert_eq!(cache.cached_tokens(&[99, 92]), 20);
    assert_eq!(cache.cached_tokens(&[91]), 0);
}

/// Guards against a hot prefix that outgrows its home engines, and against homes that
/// stay after the demand has gone.
#[test]
fn homes_follow_demand() {
    let start = Instant::now();
    let mut demand = PrefixDemand::default();
    assert_eq!(home_count(demand.per_second(start, 7), 75.0), 2);
    for step in 0..400 {
        demand.record(start + Duration::from_millis(50) * step, 7, 1);
    }
    let end = start + Duration::from_secs(20);
    let rate = demand.per_second(end, 7);
    assert!((15.0..21.0).contains(&rate), "{rate} of 20 per second");
    assert!((5..=7).contains(&home_count(rate, 75.0)));
    let later = demand.per_second(end + Duration::from_secs(40), 7);
    assert_eq!(home_count(later, 75.0), 2);
    demand.record(end, 8, 1);
    assert_eq!(
        home_count(demand.per_second(end, 8), 75.0),
        2,
        "requested once"
    );
}

/// Guards against memory that grows with the number of prefixes, and against hot ones
/// that are forgotten for those requested once.
#[test]
fn demand_bounded() {
    let now = Instant::now();
    let mut demand = PrefixDemand::default();
    demand.record(now, 1, 50);
    for prefix in 10..3_000 {
        demand.record(now, prefix, 1);
    }
    assert!(demand.per_second(now, 1) > 4.0);
    let known = (0..3_000).filter(|it| demand.per_second(now, *it) > 0.0);
    assert_eq!(known.count(), 1_024);
}
