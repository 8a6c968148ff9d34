//! Tests of the retry budget and the circuit breaker.

use std::time::{Duration, Instant};

use mulberrywell_limit::{CircuitBreaker, RetryBudget};

#[test]
fn take_retry_share_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.take_retry() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.note_request();
        retries += usize::from(budget.take_retry());
    }
    assert_eq!(retries, 200);
}

#[test]
fn take_retry_balance_bounded() {
    let mut budget = RetryBudget::default();
    for _ in 0..100_000 {
        budget.note_request();
    }
    let retries = (0..1_000).filter(|_| budget.take_retry()).count();
    assert_eq!(retries, 100);
}

#[test]
fn circuit_open_single_probe() {
    let now = Instant::now();
    let mut circuit = CircuitBreaker::default();
    for _ in 0..2 {
        circuit.note_failure(now);
        assert!(circuit.allows(now));
    }
    circuit.note_failure(now);
    assert!(!circuit.allows(now));
    let later = now + Duration::from_millis(500);
    assert!(circuit.allows(later));
    circuit.note_attempt(later);
    assert!(!circuit.allows(later), "a second probe was allowed");
    circuit.note_success();
    assert!(circuit.allows(later));
}

#[test]
fn circuit_failed_probe_backs_off() {
    let now = Instant::now();
    let mut circuit = CircuitBreaker::default();
    for _ in 0..4 {
        circuit.note_failure(now);
    }
    assert!(!circuit.allows(now + Duration::from_millis(900)));
    assert!(circuit.allows(now + Duration::from_secs(1)));
}
