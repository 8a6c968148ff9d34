//! The leader's accounting: windows, leases, returns, refunds and blocks.

mod spend_audit;

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{
    LeaseAsk, LeaseBook, LeaseDecision, TokenPlan, TokenRefund, LEASE_LIFETIME,
};
use rstest::rstest;
use spend_audit::{run_fleet, FleetCase};

const PLAN: TokenPlan = TokenPlan {
    rate: 100,
    burst: 1_000,
};

fn account() -> Bytes {
    Bytes::from_static(b"medellin")
}

fn holder(name: &str) -> Bytes {
    Bytes::copy_from_slice(name.as_bytes())
}

struct TestBook {
    book: LeaseBook,
    now: Instant,
}

impl TestBook {
    fn full() -> Self {
        let mut test = Self::of_plan(PLAN);
        test.book.block_committed(test.now, &account(), 1_000);
        test
    }

    fn of_plan(plan: TokenPlan) -> Self {
        let now = Instant::now();
        let mut book = LeaseBook::new();
        book.new_leader(now, 1);
        book.set_plan(now, &account(), plan);
        TestBook { book, now }
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn ask(&mut self, name: &str, tokens: u64) -> LeaseDecision {
        let ask = LeaseAsk {
            holder: holder(name),
            least: tokens,
            tokens,
            demand: 0,
            patience: Duration::from_secs(60),
        };
        for block in self.book.blocks_wanted(self.now) {
            self.book
                .block_committed(self.now, &block.account, block.tokens);
        }
        self.book.request(self.now, &account(), &ask)
    }

    fn give_back(&mut self, name: &str, lease: u64, tokens: u64) {
        self.book
            .give_back(self.now, &account(), &holder(name), lease, tokens);
    }
}

#[test]
fn request_covered() {
    let mut test = TestBook::full();
    let decision = test.ask("a", 600);
    assert_eq!((decision.tokens, decision.lifetime), (600, LEASE_LIFETIME));
    assert_eq!(test.ask("b", 400).tokens, 400);
    assert_eq!(test.ask("c", 1).tokens, 0);
}

#[test]
fn request_short_tells_time() {
    let mut test = TestBook::full();
    let lease = test.ask("a", 1_000).lease;
    test.give_back("a", lease, 0);
    let decision = test.ask("b", 200);
    assert_eq!(decision.tokens, 0);
    let wait = decision.retry_after.unwrap();
    assert!(wait >= Duration::from_secs(2) && wait < Duration::from_millis(2_100));
    test.now += wait;
    assert_eq!(test.ask("b", 200).tokens, 200);
}

#[test]
fn request_over_burst_never() {
    let mut test = TestBook::full();
    let decision = test.ask("a", 1_001);
    assert_eq!((decision.tokens, decision.retry_after), (0, None));
}

#[test]
fn request_order_kept() {
    let mut test = TestBook::full();
    let lease = test.ask("a", 1_000).lease;
    test.give_back("a", lease, 0);
    let wait = test.ask("large", 300).retry_after.unwrap();
    test.pass(1_000);
    assert_eq!(test.ask("small", 50).tokens, 0, "a later one overtook");
    test.now += wait - Duration::from_secs(1);
    assert_eq!(test.ask("large", 300).tokens, 300);
}

#[test]
fn request_impatient_keeps_no_place() {
    let mut test = TestBook::full();
    let lease = test.ask("a", 1_000).lease;
    test.give_back("a", lease, 0);
    let ask = LeaseAsk {
        holder: holder("large"),
        least: 900,
        tokens: 900,
        demand: 0,
        patience: Duration::from_secs(1),
    };
    let decision = test.book.request(test.now, &account(), &ask);
    assert!(decision.retry_after.unwrap() > ask.patience);
    test.pass(500);
    assert_eq!(test.ask("small", 50).tokens, 50);
}

#[test]
fn give_back_twice_counts_once() {
    let mut test = TestBook::full();
    let lease = test.ask("a", 1_000).lease;
    test.give_back("a", lease, 400);
    test.give_back("a", lease, 400);
    assert_eq!(test.ask("b", 400).tokens, 400);
    assert_eq!(test.ask("b", 1).tokens, 0);
}

#[test]
fn give_back_foreign_ignored() {
    let mut test = TestBook::full();
    let lease = test.ask("a", 1_000).lease;
    test.give_back("b", lease, 1_000);
    assert_eq!(test.ask("b", 1).tokens, 0);
}

#[test]
fn expiry_loses_tokens() {
    let mut test = TestBook::full();
    let lease = test.ask("a", 1_000).lease;
    test.now += LEASE_LIFETIME;
    test.give_back("a", lease, 1_000);
    assert_eq!(test.ask("b", 101).tokens, 0, "a late return counted");
    test.pass(1_000);
    // Nothing accrued while the lease could be spent.
    assert_eq!(test.ask("b", 101).tokens, 0);
    assert_eq!(test.ask("b", 100).tokens, 100);
}

#[rstest]
#[case::early(0, 1_000)]
#[case::after_accrual(9_900, 10)]
fn refund_late_not_doubled(#[case] wait_ms: u64, #[case] left: u64) {
    let mut test = TestBook::full();
    let lease = test.ask("a", 1_000).lease;
    test.give_back("a", lease, 0);
    test.pass(wait_ms);
    if wait_ms > 0 {
        let drained = test.ask("b", wait_ms / 10);
        test.give_back("b", drained.lease, 0);
    }
    for _ in 0..2 {
        let refund = TokenRefund {
            holder: holder("a"),
            number: 1,
            lease,
            tokens: 1_000,
        };
        test.book.refund(test.now, &account(), &refund);
    }
    assert_eq!(test.book.spendable(test.now, &account()), left);
}

#[test]
fn request_uncommitted_waits() {
    let now = Instant::now();
    let mut book = LeaseBook::new();
    book.new_leader(now, 1);
    book.set_plan(now, &account(), PLAN);
    let ask = LeaseAsk {
        holder: holder("a"),
        least: 500,
        tokens: 500,
        demand: 0,
        patience: Duration::from_secs(60),
    };
    let first = book.request(now, &account(), &ask);
    assert_eq!(first.tokens, 0);
    assert!(first.retry_after.unwrap() < Duration::from_millis(50));
    let block = book.block_wanted(now, &account()).unwrap();
    assert!(block >= 500);
    assert_eq!(book.block_wanted(now, &account()), None, "asked twice");
    book.block_committed(now, &account(), block);
    assert_eq!(book.request(now, &account(), &ask).tokens, 500);
}

#[test]
fn new_leader_counts_blocks() {
    let mut test = TestBook::full();
    let mut successor = test.book.clone();
    let lease = test.ask("a", 1_000);
    test.book.follow();
    assert_eq!(test.ask("a", 1).tokens, 0, "a follower granted");
    successor.new_leader(test.now, 2);
    test.book = successor;
    assert_eq!(test.ask("b", 1).tokens, 0, "a token was handed out twice");
    test.give_back("a", lease.lease, 1_000);
    assert_eq!(test.ask("b", 1).tokens, 0, "a former lease was credited");
    // The stated loss: burst and what accrues in one lifetime.
    test.now += LEASE_LIFETIME + Duration::from_secs(1);
    assert_eq!(test.ask("b", 100).tokens, 100);
}

#[test]
fn new_leader_spent_bucket_stays_empty() {
    let mut test = TestBook::of_plan(TokenPlan {
        rate: 100,
        burst: 10_000,
    });
    for _ in 0..10 {
        let decision = test.ask("a", 1_000);
        assert_eq!(decision.tokens, 1_000);
        test.give_back("a", decision.lease, 0);
    }
    test.book.follow();
    test.book.new_leader(test.now, 2);
    assert_eq!(test.book.spendable(test.now, &account()), 0);
}

#[test]
fn new_leader_leases_still_count() {
    let mut test = TestBook::of_plan(TokenPlan {
        rate: 100_000,
        burst: 10_000,
    });
    let held = test.ask("a", 1_000).tokens;
    test.book.follow();
    test.book.new_leader(test.now, 2);
    test.pass(900);
    assert!(test.book.spendable(test.now, &account()) + held <= 10_000);
    test.pass(200);
    assert_eq!(test.book.spendable(test.now, &account()), 10_000);
}

#[test]
fn end_plan_and_back_no_second_burst() {
    let mut test = TestBook::full();
    let lease = test.ask("a", 1_000).lease;
    test.give_back("a", lease, 0);
    test.book.end_plan(test.now, &account());
    assert_eq!(test.ask("a", 1).tokens, 0);
    test.book.set_plan(test.now, &account(), PLAN);
    assert_eq!(test.ask("a", 1).tokens, 0);
}

#[rstest]
#[case::calm(FleetCase::default())]
#[case::lossy(FleetCase { loss: 0.2, ..FleetCase::default() })]
#[case::leaders(FleetCase { leader_change: 0.0005, ..FleetCase::default() })]
#[case::edits(FleetCase { plan_edit: 0.002, ..FleetCase::default() })]
#[case::all(FleetCase {
    loss: 0.1,
    leader_change: 0.0005,
    plan_edit: 0.002,
})]
fn window_never_exceeded(#[case] case: FleetCase, #[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let audit = run_fleet(&case, seed);
    assert!(audit.spent() > 15_000, "only {} tokens ran", audit.spent());
    assert_eq!(audit.above_allowance(), 0, "seed {seed}, {case:?}");
}
