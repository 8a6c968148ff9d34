//! Tests of the decision whether a request is forwarded, waits or is rejected.

use std::time::Duration;

use mulberrywell_policy::{decide_admission, AdmissionOutcome, AdmissionRequest, EngineForecast};
use rstest::rstest;

const URGENT_OBJECTIVE: Duration = Duration::from_millis(800);
const OBJECTIVE: Duration = Duration::from_millis(8_000);
const TIMEOUT: Duration = Duration::from_millis(12_000);
/// Time in which an engine reads a prompt of [`PROMPT`] tokens.
const READING: Duration = Duration::from_millis(72);
const PROMPT: u64 = 2_880;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a deferrable request of this age at an engine with this much work queued.
fn deferrable(age: Duration, backlog: Duration) -> AdmissionRequest {
    AdmissionRequest {
        age,
        left: TIMEOUT.saturating_sub(age),
        objective: OBJECTIVE,
        yields_to: Some(URGENT_OBJECTIVE),
        prompt_tokens: PROMPT,
        output_tokens: 50,
        urgent_ahead: 0,
        forecast: EngineForecast {
            first_event: backlog + READING,
            own_prefill: READING,
            pause: ms(20),
            ..EngineForecast::default()
        },
    }
}

fn is_wait(outcome: AdmissionOutcome) -> bool {
    matches!(outcome, AdmissionOutcome::Wait(_))
}

/// Guards against loose work that is sent to a busy engine while it has time, and against
/// loose work that waits for ever or beyond its objective.
#[rstest]
#[case::idle_engine(ms(0), ms(0), false)]
#[case::busy_engine(ms(0), ms(300), true)]
#[case::busy_engine_old(ms(5_500), ms(300), false)]
#[case::very_busy_engine_old(ms(5_000), ms(1_500), true)]
#[case::end_of_objective(ms(6_420), ms(1_500), false)]
fn deferrable_yields_while_it_has_time(
    #[case] age: Duration,
    #[case] backlog: Duration,
    #[case] waits: bool,
) {
    let outcome = decide_admission(&deferrable(age, backlog));
    assert_eq!(is_wait(outcome), waits, "{outcome:?}");
}

/// Guards against a request that waits although nothing can serve it before its deadline.
#[test]
fn deferrable_beyond_deadline_rejected() {
    let outcome = decide_admission(&deferrable(ms(0), ms(13_000)));
    assert_eq!(outcome, AdmissionOutcome::Reject(ms(12_800)));
}

/// Guards against rejecting a request for its bound on output: at a long expected pause for
/// each event that the bound allows, it would end after its deadline.
#[test]
fn deferrable_large_output_bound_kept() {
    let mut request = deferrable(ms(0), ms(100));
    request.output_tokens = 800;
    request.forecast.pause = ms(500);
    assert_eq!(decide_admission(&request), AdmissionOutcome::Forward);
}

/// Guards against loose work that takes the memory which an urgent request needs next.
#[rstest]
#[case::young_without_spare(ms(0), 4_000, true)]
#[case::young_with_spare(ms(0), 6_000, false)]
#[case::old_without_spare(ms(6_000), 4_000, false)]
fn deferrable_leaves_memory(#[case] age: Duration, #[case] free: u64, #[case] waits: bool) {
    let mut request = deferrable(age, ms(0));
    request.forecast.free_tokens = Some(free);
    assert_eq!(is_wait(decide_admission(&request)), waits);
}

/// Guards against loose work that overtakes an urgent request waiting for an engine.
#[test]
fn deferrable_waits_behind_urgent_request() {
    let mut request = deferrable(ms(0), ms(0));
    request.urgent_ahead = 1;
    assert!(is_wait(decide_admission(&request)));
}

/// Guards against an urgent request that waits for an engine which can't begin it, and
/// against one that is rejected although it can be begun.
#[rstest]
#[case::in_time(ms(700), AdmissionOutcome::Forward)]
#[case::late(ms(5_900), AdmissionOutcome::Forward)]
#[case::beyond_deadline(ms(6_500), AdmissionOutcome::Reject(ms(5_700)))]
fn urgent_rejected_only_beyond_deadline(
    #[case] first_event: Duration,
    #[case] expected: AdmissionOutcome,
) {
    let request = AdmissionRequest {
        left: ms(6_000),
        objective: URGENT_OBJECTIVE,
        forecast: EngineForecast {
            first_event,
            ..EngineForecast::default()
        },
        ..AdmissionRequest::default()
    };
    assert_eq!(decide_admission(&request), expected);
}

/// An engine that reads prompts one after the other, and what it has still to read.
#[derive(Default)]
struct ReadingEngine {
    backlog: Duration,
}

#[derive(Debug, Default)]
struct LoadOutcome {
    urgent_late: usize,
    loose_late: usize,
    rejected: usize,
    served: usize,
}

/// Runs a burst of `burst` loose requests beside an urgent one every `urgent_interval`.
fn run_load(burst: usize, urgent_interval: u64, forwards_at_once: bool) -> LoadOutcome {
    let step = ms(4);
    let mut engine = ReadingEngine::default();
    let mut outcome = LoadOutcome::default();
    // When each waiting request is next decided on.
    let mut waiting = vec![Duration::ZERO; burst];
    let mut now = Duration::ZERO;
    while now < ms(14_000) {
        if now.as_millis() % u128::from(urgent_interval) == 0 {
            engine.backlog += READING;
            outcome.urgent_late += usize::from(engine.backlog > URGENT_OBJECTIVE);
        }
        let mut kept = Vec::new();
        for due in waiting.drain(..) {
            if due > now {
                kept.push(due);
                continue;
            }
            let decision = match forwards_at_once {
                true => AdmissionOutcome::Forward,
                false => decide_admission(&deferrable(now, engine.backlog)),
            };
            match decision {
                AdmissionOutcome::Forward => {
                    engine.backlog += READING;
                    outcome.served += 1;
                    outcome.loose_late += usize::from(now + engine.backlog > OBJECTIVE);
                }
                AdmissionOutcome::Wait(wait) => kept.push(now + wait),
                AdmissionOutcome::Reject(_) => outcome.rejected += 1,
            }
        }
        waiting = kept;
        engine.backlog = engine.backlog.saturating_sub(step);
        now += step;
    }
    outcome.rejected += waiting.len();
    outcome
}

/// Load: a batch burst of 4.3 s of reading at an engine that urgent work uses by a third.
/// Guards against urgent requests that are late behind it.
#[test]
fn batch_burst_leaves_urgent_requests_in_time() {
    let at_once = run_load(60, 200, true);
    assert!(at_once.urgent_late > 10, "the load is one: {at_once:?}");
    let deferred = run_load(60, 200, false);
    assert_eq!(deferred.urgent_late, 0, "{deferred:?}");
    assert_eq!(deferred.loose_late, 0, "{deferred:?}");
    assert_eq!(deferred.served, 60, "{deferred:?}");
}

/// Load: urgent work that uses an engine by nine tenths, so that it is never idle. Guards
/// against loose requests that starve behind it.
#[test]
fn loose_requests_served_beside_steady_urgent_work() {
    let outcome = run_load(8, 80, false);
    assert_eq!(outcome.served, 8, "{outcome:?}");
    assert_eq!(outcome.loose_late, 0, "{outcome:?}");
    assert_eq!(outcome.urgent_late, 0, "{outcome:?}");
}
