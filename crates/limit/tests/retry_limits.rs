//! Tests of the retry budget and the circuit breaker.

use std::time::{Duration, Instant};

use mulberrywell_limit::{CircuitBreaker, RetryBudget};

#[test]
fn acquire_retry_share_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.acquire_retry() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retries += usize::from(budget.acquire_retry());
    }
    assert_eq!(retries, 200);
}

#[test]
fn acquire_retry_balance_bounded() {
    let mut budget = RetryBudget::default();
    for _ in 0..100_000 {
        budget.record_request();
    }
    let retries = (0..1_000).filter(|_| budget.acquire_retry()).count();
    assert_eq!(retries, 100);
}

#[test]
fn allows_single_probe() {
    let now = Instant::now();
    let mut circuit = CircuitBreaker::default();
    for _ in 0..2 {
        circuit.record_failure(now);
        assert!(circuit.allows(now));
    }
    circuit.record_failure(now);
    assert!(!circuit.allows(now));
    let later = now + Duration::from_millis(500);
    assert!(circuit.allows(later));
    circuit.record_attempt(later);
    assert!(!circuit.allows(later), "a second probe was allowed");
    circuit.record_success();
    assert!(circuit.allows(later));
}

#[test]
fn record_failure_doubles_open_time() {
    let now = Instant::now();
    let mut circuit = CircuitBreaker::default();
    for _ in 0..4 {
        circuit.record_failure(now);
    }
    assert!(!circuit.allows(now + Duration::from_millis(900)));
    assert!(circuit.allows(now + Duration::from_secs(1)));
}
