//! Choices of engines by measured speed, also by many gateways whose views are old.

use std::time::Duration;

use mulberrywell_policy::{
    choose_drawn, mix_bits, weigh_engine, BatchState, ChoiceTerms, DrawCandidate, EngineKind,
    EngineOption, EngineSpeed, RequestNeeds, WeighedEngine,
};

const LONG: RequestNeeds = RequestNeeds {
    prompt_tokens: 9_190,
    objective: Duration::from_millis(800),
    pause: Duration::from_millis(500),
    is_deferrable: false,
};
/// A prompt whose shared parts are cached everywhere; a longer one would make the streams
/// of a slow engine pause too long.
const LOOSE: RequestNeeds = RequestNeeds {
    prompt_tokens: 2_890,
    objective: Duration::from_millis(5_000),
    is_deferrable: true,
    ..LONG
};

fn engine(slowness: f64) -> EngineOption {
    EngineOption {
        speed: EngineSpeed {
            step_slowness: slowness,
            prefill_slowness: slowness,
        },
        batch: BatchState {
            running: 2,
            context_tokens: 4_000,
            tokens_per_event: 5,
        },
        pending_tokens: 0,
        slots: 64,
        kept_tokens: 0,
        copy_ms: 0.0,
        free_tokens: None,
        is_other_zone: false,
    }
}

fn choose(seed: u64, engines: &[EngineOption], needs: &RequestNeeds) -> (usize, ChoiceTerms) {
    let candidates: Vec<DrawCandidate> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| DrawCandidate {
            hash: mix_bits(index as u64),
            kind: if engine.kept_tokens > 0 {
                EngineKind::Holder
            } else {
                EngineKind::Other
            },
        })
        .collect();
    let weigh = |index: usize| WeighedEngine {
        is_avoided: false,
        terms: weigh_engine(&engines[index], needs),
    };
    let (index, weighed) = choose_drawn(seed, &candidates, weigh).expect("a choice");
    (index, weighed.terms)
}

/// Guards against urgent requests at slow engines, and against slow engines that get
/// nothing.
#[test]
fn slow_engines_take_loose_objectives() {
    let engines = [engine(0.83), engine(1.8)];
    for seed in 0..20 {
        assert_eq!(choose(seed, &engines, &LONG).0, 0);
        assert_eq!(choose(seed, &engines, &LOOSE).0, 1);
    }
}

/// Guards against a second long prompt at an engine whose streams would all pause too
/// long.
#[test]
fn streams_spared_second_prompt() {
    let busy = EngineOption {
        pending_tokens: 9_190,
        ..engine(0.83)
    };
    let cached = EngineOption {
        kept_tokens: 2_520,
        ..busy
    };
    for seed in 0..20 {
        assert_eq!(choose(seed, &[cached, busy, engine(1.0)], &LONG).0, 2);
    }
}

/// Requests at the engines and what they await, as all gateways see it after a delay.
struct Fleet {
    engines: Vec<EngineOption>,
    /// Tokens that await prefill, and states of them that the gateways see later.
    pending: Vec<f64>,
    past: Vec<Vec<f64>>,
    requests: Vec<u32>,
    late: u32,
}

/// Sends long prompts for 20 s over engines of two speeds; the views are `delay` steps of
/// 10 ms old.
fn run_fleet(delay: usize) -> Fleet {
    let slowness = |index: usize| {
        if index % 4 == 0 {
            1.0 / 0.55
        } else {
            1.0 / 1.2
        }
    };
    let engines: Vec<EngineOption> = (0..18).map(|index| engine(slowness(index))).collect();
    let mut fleet = Fleet {
        pending: vec![0.0; engines.len()],
        past: Vec::new(),
        requests: vec![0; engines.len()],
        late: 0,
        engines,
    };
    for step in 0..2_000_u64 {
        fleet.past.push(fleet.pending.clone());
        let seen = &fleet.past[fleet.past.len().saturating_sub(delay + 1)];
        let mut view = fleet.engines.clone();
        for (engine, pending) in view.iter_mut().zip(seen) {
            engine.pending_tokens = *pending as u64;
        }
        // 30 a second, which arrive at random.
        if mix_bits(step) % 10 < 3 {
            let (index, _) = choose(mix_bits(!step), &view, &LONG);
            fleet.requests[index] += 1;
            fleet.pending[index] += LONG.prompt_tokens as f64;
            let rate = fleet.engines[index].speed.prefill_rate();
            fleet.late += u32::from(fleet.pending[index] / rate > 700.0);
        }
        for (pending, engine) in fleet.pending.iter_mut().zip(&fleet.engines) {
            *pending = (*pending - 10.0 * engine.speed.prefill_rate()).max(0.0);
        }
    }
    fleet
}

/// Guards against gateways that all choose the same engine out of views that are 300 ms
/// old, and against engines without requests.
#[test]
fn old_views_spread_requests() {
    let fleet = run_fleet(30);
    let total: u32 = fleet.requests.iter().sum();
    let speeds = fleet.engines.iter().map(|it| 1.0 / it.speed.step_slowness);
    let speed: f64 = speeds.clone().sum();
    let shares = fleet.requests.iter().zip(speeds);
    let over_mean = shares.map(|(count, it)| f64::from(*count) * speed / it / f64::from(total));
    let busiest = over_mean.fold(0.0, f64::max);
    assert!(busiest < 1.5, "{busiest}: {:?}", fleet.requests);
    assert!(fleet.late * 20 < total, "{} of {total} late", fleet.late);
}

/// Guards against gateways that all find the same least busy engine when all are busy.
#[test]
fn busy_engines_share_burst() {
    let mut engines = vec![engine(1.0); 40];
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.pending_tokens = 20_000 + index as u64 * 100;
    }
    let mut requests = vec![0_u32; engines.len()];
    for seed in 0..400 {
        requests[choose(mix_bits(seed), &engines, &LONG).0] += 1;
    }
    let busiest = requests.iter().max().unwrap();
    assert!(
        *busiest <= 110,
        "{requests:?}: more than 8 of 40 draws give"
    );
}

/// Guards against an engine in back-off that is chosen while others are ready.
#[test]
fn avoided_engines_last() {
    let candidates: Vec<DrawCandidate> = (0..40)
        .map(|index| DrawCandidate {
            hash: mix_bits(index),
            kind: EngineKind::Other,
        })
        .collect();
    for seed in 0..20 {
        let weigh = |index: usize| WeighedEngine {
            is_avoided: index != 7,
            terms: weigh_engine(&engine(1.0), &LONG),
        };
        let (index, _) = choose_drawn(seed, &candidates, weigh).expect("a choice");
        assert_eq!(index, 7);
    }
}

/// Guards against requests that keep to the engines that hold their prompt while these
/// have more to do than the prefill saves.
#[test]
fn cached_prompt_yields_to_queue() {
    let holder = EngineOption {
        kept_tokens: 6_300,
        ..engine(0.83)
    };
    assert_eq!(choose(1, &[holder, engine(0.83)], &LONG).0, 0);
    let queued = EngineOption {
        pending_tokens: 8_000,
        ..holder
    };
    assert_eq!(choose(1, &[queued, engine(0.83)], &LONG).0, 1);
}
