//! Shares of service across client accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_policy::{FairQueue, PushOutcome, QueuedItem};
use rstest::rstest;

fn item(account: &str, weight: u32, priority: u32, tokens: u64) -> QueuedItem<u64> {
    QueuedItem {
        account: Bytes::from(account.to_owned()),
        weight,
        priority,
        tokens,
        deadline: Instant::now() + Duration::from_secs(1),
        payload: tokens,
    }
}

fn pop_tokens(queue: &mut FairQueue<u64>, count: usize) -> BTreeMap<Bytes, u64> {
    let mut tokens = BTreeMap::new();
    for _ in 0..count {
        let item = queue.pop(|_| true).unwrap();
        *tokens.entry(item.account).or_insert(0) += item.tokens;
    }
    tokens
}

#[rstest]
#[case::equal(1, 1, 100, 100)]
#[case::by_weight(3, 1, 100, 100)]
#[case::by_tokens(1, 1, 100, 400)]
fn pop_shares(#[case] weight_a: u32, #[case] weight_b: u32, #[case] a: u64, #[case] b: u64) {
    let mut queue = FairQueue::new(10_000);
    for _ in 0..2_000 {
        queue.push(item("a", weight_a, 0, a));
        queue.push(item("b", weight_b, 0, b));
    }
    let tokens = pop_tokens(&mut queue, 1_000);
    let share_a = tokens[&Bytes::from("a")] as f64 / f64::from(weight_a);
    let share_b = tokens[&Bytes::from("b")] as f64 / f64::from(weight_b);
    assert!((share_a - share_b).abs() <= (a + b) as f64, "{tokens:?}");
}

#[test]
fn pop_idle_accumulates_no_service() {
    let mut queue = FairQueue::new(10_000);
    queue.push(item("late", 1, 0, 100));
    pop_tokens(&mut queue, 1);
    for _ in 0..500 {
        queue.push(item("busy", 1, 0, 100));
    }
    pop_tokens(&mut queue, 400);
    for _ in 0..100 {
        queue.push(item("late", 1, 0, 100));
    }
    let tokens = pop_tokens(&mut queue, 20);
    assert_eq!(tokens[&Bytes::from("late")], 1_000, "{tokens:?}");
}

#[test]
fn pop_priority_within_account() {
    let mut queue = FairQueue::new(10);
    queue.push(item("a", 1, 2, 1));
    queue.push(item("a", 1, 0, 2));
    queue.push(item("a", 1, 0, 3));
    queue.push(item("b", 1, 9, 4));
    let order: Vec<u64> = (0..4)
        .map(|_| queue.pop(|_| true).unwrap().payload)
        .collect();
    let of_a: Vec<u64> = order.into_iter().filter(|tokens| *tokens != 4).collect();
    assert_eq!(of_a, [2, 3, 1]);
}

#[test]
fn service_order_as_popped() {
    let mut queue = FairQueue::new(100);
    for idx in 0..10 {
        queue.push(item("a", 1, idx % 3, 100 + u64::from(idx)));
        queue.push(item("b", 3, 0, 200 + u64::from(idx)));
        queue.push(item("c", 1, 1, 310 + u64::from(idx)));
    }
    pop_tokens(&mut queue, 5);
    let order: Vec<u64> = queue.service_order().iter().map(|it| it.payload).collect();
    let popped: Vec<u64> = std::iter::from_fn(|| queue.pop(|_| true))
        .map(|it| it.payload)
        .collect();
    assert_eq!(popped.len(), 25);
    assert_eq!(order, popped);
}

#[test]
fn pop_skips_ineligible() {
    let mut queue = FairQueue::new(10);
    queue.push(item("a", 1, 0, 1));
    queue.push(item("b", 1, 0, 2));
    assert_eq!(queue.pop(|item| item.tokens == 2).unwrap().payload, 2);
    assert!(queue.pop(|item| item.tokens == 2).is_none());
    assert_eq!(queue.len(), 1);
}

#[test]
fn push_full_replaces_heaviest() {
    let mut queue = FairQueue::new(4);
    for tokens in 1..=4 {
        queue.push(item("heavy", 1, 0, tokens));
    }
    let outcome = queue.push(item("light", 1, 0, 1));
    assert!(matches!(outcome, PushOutcome::Replaced(dropped) if dropped.payload == 4));
    let outcome = queue.push(item("heavy", 1, 0, 1));
    assert!(matches!(outcome, PushOutcome::Full(_)));
    assert_eq!(queue.len(), 4);
}

#[test]
fn settle_refunds_unused() {
    let mut queue = FairQueue::new(100);
    for _ in 0..40 {
        queue.push(item("long-bound", 1, 0, 1_000));
        queue.push(item("exact", 1, 0, 100));
    }
    let mut count = 0;
    for _ in 0..20 {
        let item = queue.pop(|_| true).unwrap();
        if item.account == "long-bound" {
            count += 1;
            queue.settle(&item.account, 1_000, 100);
        }
    }
    assert_eq!(count, 10);
}

#[rstest]
#[case::new_account("new", 100, 300)]
#[case::own_backlog("a", 100, 2_200)]
fn tokens_ahead_of(#[case] account: &str, #[case] tokens: u64, #[case] ahead: u64) {
    let mut queue = FairQueue::new(100);
    for _ in 0..20 {
        queue.push(item("a", 1, 0, 100));
    }
    queue.push(item("b", 2, 0, 200));
    let account = Bytes::from(account.to_owned());
    assert_eq!(queue.tokens_ahead(&account, 1, tokens), ahead);
}

#[test]
fn remove_where_keeps_order() {
    let mut queue = FairQueue::new(100);
    for tokens in 1..=6 {
        queue.push(item("a", 1, 0, tokens));
    }
    let removed = queue.remove_where(|item| item.tokens % 2 == 0);
    assert_eq!(removed.len(), 3);
    let remaining: Vec<u64> = (0..3)
        .map(|_| queue.pop(|_| true).unwrap().payload)
        .collect();
    assert_eq!(remaining, [1, 3, 5]);
    assert!(queue.is_empty());
}
