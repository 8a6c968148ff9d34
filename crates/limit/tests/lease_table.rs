//! Tests of the leader's accounting: windows, leases, returns, refunds and blocks.

mod spend_audit;

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{
    LeaseDecision, LeaseTable, TokenPlan, TokenRefund, TokenRequest, LEASE_LIFETIME,
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

struct TestTable {
    table: LeaseTable,
    now: Instant,
}

impl TestTable {
    fn full() -> Self {
        let mut test = Self::of_plan(PLAN);
        test.table.apply_block(test.now, &account(), 1_000);
        test
    }

    fn of_plan(plan: TokenPlan) -> Self {
        let now = Instant::now();
        let mut table = LeaseTable::new();
        table.start_leading(now, 1);
        table.set_plan(now, &account(), plan);
        TestTable { table, now }
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn request(&mut self, name: &str, tokens: u64) -> LeaseDecision {
        let request = TokenRequest {
            holder: holder(name),
            min_tokens: tokens,
            tokens,
            demand: 0,
            max_wait: Duration::from_secs(60),
        };
        for block in self.table.propose_blocks(self.now) {
            self.table
                .apply_block(self.now, &block.account, block.tokens);
        }
        self.table.handle_request(self.now, &account(), &request)
    }

    fn close_lease(&mut self, name: &str, lease: u64, tokens: u64) {
        self.table
            .close_lease(self.now, &account(), &holder(name), lease, tokens);
    }
}

#[test]
fn handle_request_covered() {
    let mut test = TestTable::full();
    let decision = test.request("a", 600);
    assert_eq!((decision.tokens, decision.lifetime), (600, LEASE_LIFETIME));
    assert_eq!(test.request("b", 400).tokens, 400);
    assert_eq!(test.request("c", 1).tokens, 0);
}

#[test]
fn handle_request_uncovered_returns_wait() {
    let mut test = TestTable::full();
    let lease = test.request("a", 1_000).lease;
    test.close_lease("a", lease, 0);
    let decision = test.request("b", 200);
    assert_eq!(decision.tokens, 0);
    let wait = decision.retry_after.unwrap();
    assert!(wait >= Duration::from_secs(2) && wait < Duration::from_millis(2_100));
    test.now += wait;
    assert_eq!(test.request("b", 200).tokens, 200);
}

#[test]
fn handle_request_over_burst_refused() {
    let mut test = TestTable::full();
    let decision = test.request("a", 1_001);
    assert_eq!((decision.tokens, decision.retry_after), (0, None));
}

#[test]
fn handle_request_order_kept() {
    let mut test = TestTable::full();
    let lease = test.request("a", 1_000).lease;
    test.close_lease("a", lease, 0);
    let wait = test.request("large", 300).retry_after.unwrap();
    test.advance(1_000);
    assert_eq!(
        test.request("small", 50).tokens,
        0,
        "a later request overtook"
    );
    test.now += wait - Duration::from_secs(1);
    assert_eq!(test.request("large", 300).tokens, 300);
}

#[test]
fn handle_request_max_wait_exceeded_not_queued() {
    let mut test = TestTable::full();
    let lease = test.request("a", 1_000).lease;
    test.close_lease("a", lease, 0);
    let request = TokenRequest {
        holder: holder("large"),
        min_tokens: 900,
        tokens: 900,
        demand: 0,
        max_wait: Duration::from_secs(1),
    };
    let decision = test.table.handle_request(test.now, &account(), &request);
    assert!(decision.retry_after.unwrap() > request.max_wait);
    test.advance(500);
    assert_eq!(test.request("small", 50).tokens, 50);
}

#[test]
fn close_lease_twice_credited_once() {
    let mut test = TestTable::full();
    let lease = test.request("a", 1_000).lease;
    test.close_lease("a", lease, 400);
    test.close_lease("a", lease, 400);
    assert_eq!(test.request("b", 400).tokens, 400);
    assert_eq!(test.request("b", 1).tokens, 0);
}

#[test]
fn close_lease_other_holder_ignored() {
    let mut test = TestTable::full();
    let lease = test.request("a", 1_000).lease;
    test.close_lease("b", lease, 1_000);
    assert_eq!(test.request("b", 1).tokens, 0);
}

#[test]
fn close_lease_expired_not_credited() {
    let mut test = TestTable::full();
    let lease = test.request("a", 1_000).lease;
    test.now += LEASE_LIFETIME;
    test.close_lease("a", lease, 1_000);
    assert_eq!(test.request("b", 101).tokens, 0, "a late return counted");
    test.advance(1_000);
    // Nothing accrued while the lease could be spent.
    assert_eq!(test.request("b", 101).tokens, 0);
    assert_eq!(test.request("b", 100).tokens, 100);
}

#[rstest]
#[case::early(0, 1_000)]
#[case::after_accrual(9_900, 10)]
fn apply_refund_repeated_within_headroom(#[case] wait_ms: u64, #[case] left: u64) {
    let mut test = TestTable::full();
    let lease = test.request("a", 1_000).lease;
    test.close_lease("a", lease, 0);
    test.advance(wait_ms);
    if wait_ms > 0 {
        let drained = test.request("b", wait_ms / 10);
        test.close_lease("b", drained.lease, 0);
    }
    for _ in 0..2 {
        let refund = TokenRefund {
            holder: holder("a"),
            number: 1,
            lease,
            tokens: 1_000,
        };
        test.table.apply_refund(test.now, &account(), &refund);
    }
    assert_eq!(test.table.spendable(test.now, &account()), left);
}

#[test]
fn handle_request_uncommitted_block_waits() {
    let now = Instant::now();
    let mut table = LeaseTable::new();
    table.start_leading(now, 1);
    table.set_plan(now, &account(), PLAN);
    let request = TokenRequest {
        holder: holder("a"),
        min_tokens: 500,
        tokens: 500,
        demand: 0,
        max_wait: Duration::from_secs(60),
    };
    let first = table.handle_request(now, &account(), &request);
    assert_eq!(first.tokens, 0);
    assert!(first.retry_after.unwrap() < Duration::from_millis(50));
    let block = table.propose_block(now, &account()).unwrap();
    assert!(block >= 500);
    assert_eq!(table.propose_block(now, &account()), None, "proposed twice");
    table.apply_block(now, &account(), block);
    assert_eq!(table.handle_request(now, &account(), &request).tokens, 500);
}

#[test]
fn start_leading_blocks_counted_spent() {
    let mut test = TestTable::full();
    let mut successor = test.table.clone();
    let lease = test.request("a", 1_000);
    test.table.stop_leading();
    assert_eq!(test.request("a", 1).tokens, 0, "a follower granted tokens");
    successor.start_leading(test.now, 2);
    test.table = successor;
    assert_eq!(test.request("b", 1).tokens, 0, "a token was granted twice");
    test.close_lease("a", lease.lease, 1_000);
    assert_eq!(
        test.request("b", 1).tokens,
        0,
        "a former lease was credited"
    );
    // The documented loss: the burst and the accrual of one lifetime.
    test.now += LEASE_LIFETIME + Duration::from_secs(1);
    assert_eq!(test.request("b", 100).tokens, 100);
}

#[test]
fn start_leading_spent_bucket_stays_empty() {
    let mut test = TestTable::of_plan(TokenPlan {
        rate: 100,
        burst: 10_000,
    });
    for _ in 0..10 {
        let decision = test.request("a", 1_000);
        assert_eq!(decision.tokens, 1_000);
        test.close_lease("a", decision.lease, 0);
    }
    test.table.stop_leading();
    test.table.start_leading(test.now, 2);
    assert_eq!(test.table.spendable(test.now, &account()), 0);
}

#[test]
fn start_leading_former_leases_counted() {
    let mut test = TestTable::of_plan(TokenPlan {
        rate: 100_000,
        burst: 10_000,
    });
    let held = test.request("a", 1_000).tokens;
    test.table.stop_leading();
    test.table.start_leading(test.now, 2);
    test.advance(900);
    assert!(test.table.spendable(test.now, &account()) + held <= 10_000);
    test.advance(200);
    assert_eq!(test.table.spendable(test.now, &account()), 10_000);
}

#[test]
fn remove_plan_restored_bucket_unchanged() {
    let mut test = TestTable::full();
    let lease = test.request("a", 1_000).lease;
    test.close_lease("a", lease, 0);
    test.table.remove_plan(test.now, &account());
    assert_eq!(test.request("a", 1).tokens, 0);
    test.table.set_plan(test.now, &account(), PLAN);
    assert_eq!(test.request("a", 1).tokens, 0);
}

#[rstest]
#[case::no_faults(FleetCase::default())]
#[case::message_loss(FleetCase { loss: 0.2, ..FleetCase::default() })]
#[case::leader_changes(FleetCase { leader_change: 0.0005, ..FleetCase::default() })]
#[case::plan_edits(FleetCase { plan_edit: 0.002, ..FleetCase::default() })]
#[case::all_combined(FleetCase {
    loss: 0.1,
    leader_change: 0.0005,
    plan_edit: 0.002,
})]
fn run_fleet_window_within_allowance(
    #[case] case: FleetCase,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let audit = run_fleet(&case, seed);
    assert!(
        audit.spent() > 15_000,
        "only {} tokens spent",
        audit.spent()
    );
    assert_eq!(audit.max_excess(), 0, "seed {seed}, {case:?}");
}
