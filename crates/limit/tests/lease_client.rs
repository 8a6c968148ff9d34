//! Tests of the lease client: admission, order, refusals, returns and refunds.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{
    LeaseAnswer, LeaseClient, LeaseMessage, Reservation, ReserveOutcome, TicketEvent,
    ANSWER_TIMEOUT, LEASE_LIFETIME,
};
use rstest::rstest;

struct TestClient {
    client: LeaseClient,
    now: Instant,
}

fn account() -> Bytes {
    Bytes::from_static(b"bogota")
}

impl TestClient {
    fn connected() -> Self {
        let now = Instant::now();
        let mut client = LeaseClient::new(now);
        client.handle_link_opened(now);
        TestClient { client, now }
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.client.tick(self.now);
    }

    fn reserve(&mut self, ticket: u64, tokens: u64) -> ReserveOutcome {
        let deadline = self.now + Duration::from_secs(5);
        self.client
            .reserve(self.now, &account(), ticket, tokens, deadline)
    }

    /// Returns the sequence and the smallest useful grant of the request that was
    /// sent.
    fn sent_request(&mut self) -> Option<(u64, u64)> {
        let messages = self.client.take_messages();
        messages.iter().find_map(|message| match message {
            LeaseMessage::Request {
                sequence,
                min_tokens,
                ..
            } => Some((*sequence, *min_tokens)),
            _ => None,
        })
    }

    fn grant(&mut self, sequence: u64, lease: u64, tokens: u64) {
        let answer = LeaseAnswer {
            sequence,
            lease,
            tokens,
            lifetime: LEASE_LIFETIME,
            rate: 100,
            ..LeaseAnswer::default()
        };
        self.client.handle_answer(self.now, &account(), &answer);
    }

    fn decline(&mut self, sequence: u64, millis: u64) {
        let answer = LeaseAnswer {
            sequence,
            retry_after: Some(Duration::from_millis(millis)),
            rate: 100,
            ..LeaseAnswer::default()
        };
        self.client.handle_answer(self.now, &account(), &answer);
    }

    fn outcomes(&mut self) -> Vec<(u64, ReserveOutcome)> {
        let events = self.client.take_events();
        let pairs = events
            .into_iter()
            .map(|TicketEvent { ticket, outcome }| (ticket, outcome));
        pairs.collect()
    }

    /// Creates a client with lease 1 of `tokens`, `used` of which are reserved.
    fn with_lease(tokens: u64, used: u64) -> (Self, Reservation) {
        let mut test = Self::connected();
        assert_eq!(test.reserve(1, used), ReserveOutcome::Waiting);
        let (sequence, min_tokens) = test.sent_request().unwrap();
        assert_eq!(min_tokens, used);
        test.grant(sequence, 1, tokens);
        let Some((1, ReserveOutcome::Reserved(reservation))) = test.outcomes().pop() else {
            panic!("the request was not admitted");
        };
        (test, reservation)
    }
}

#[test]
fn reserve_from_balance_immediate() {
    let (mut test, _) = TestClient::with_lease(300, 100);
    assert!(matches!(test.reserve(2, 200), ReserveOutcome::Reserved(_)));
    assert_eq!(test.client.balance(test.now, &account()), 0);
}

#[test]
fn reserve_order_kept() {
    let mut test = TestClient::connected();
    test.reserve(1, 100);
    let (sequence, _) = test.sent_request().unwrap();
    test.reserve(2, 10);
    test.grant(sequence, 1, 105);
    let outcomes = test.outcomes();
    assert_eq!(outcomes.len(), 1, "{outcomes:?}");
    assert_eq!(outcomes[0].0, 1);
    let (_, min_tokens) = test.sent_request().unwrap();
    assert_eq!(min_tokens, 5);
}

#[test]
fn reserve_small_behind_large_waits() {
    let (mut test, _) = TestClient::with_lease(100, 40);
    assert_eq!(test.reserve(2, 80), ReserveOutcome::Waiting);
    assert_eq!(test.reserve(3, 10), ReserveOutcome::Waiting);
}

#[rstest]
#[case::covered(4_900, true)]
#[case::too_late(5_100, false)]
fn handle_answer_decline_by_deadline(#[case] delay_ms: u64, #[case] waits: bool) {
    let mut test = TestClient::connected();
    test.reserve(1, 100);
    let (sequence, _) = test.sent_request().unwrap();
    test.decline(sequence, delay_ms);
    let outcomes = test.outcomes();
    if waits {
        assert_eq!(outcomes, []);
    } else {
        let wait = Duration::from_millis(delay_ms);
        assert_eq!(outcomes, [(1, ReserveOutcome::Insufficient(wait))]);
    }
}

#[test]
fn reserve_behind_queue_refused_immediately() {
    let mut test = TestClient::connected();
    test.reserve(1, 100);
    let (sequence, _) = test.sent_request().unwrap();
    test.decline(sequence, 4_000);
    // 4 s for the first request, and 2 s at 100 tokens per second for this one.
    assert_eq!(
        test.reserve(2, 200),
        ReserveOutcome::Insufficient(Duration::from_secs(6))
    );
    assert_eq!(test.reserve(3, 50), ReserveOutcome::Waiting);
}

#[test]
fn handle_answer_slow_lease_shortened() {
    let mut test = TestClient::connected();
    test.reserve(1, 100);
    let (sequence, _) = test.sent_request().unwrap();
    test.advance(1_000);
    test.grant(sequence, 1, 100);
    assert_eq!(test.outcomes(), [], "an expired lease was spent");
}

#[test]
fn handle_answer_other_sequence_ignored() {
    let mut test = TestClient::connected();
    test.reserve(1, 100);
    let (sequence, _) = test.sent_request().unwrap();
    test.grant(sequence + 1, 1, 100);
    assert_eq!(test.outcomes(), []);
}

#[rstest]
#[case::no_answer(true)]
#[case::no_link(false)]
fn reserve_service_unresponsive_refused(#[case] linked: bool) {
    let mut test = TestClient::connected();
    if !linked {
        test.client.handle_link_closed(test.now);
    }
    assert_eq!(test.reserve(1, 100), ReserveOutcome::Waiting);
    test.advance(100);
    assert!(
        test.client.deadline() > Some(test.now),
        "the caller would tick in a busy loop"
    );
    test.now += ANSWER_TIMEOUT;
    test.client.tick(test.now);
    let outcomes = test.outcomes();
    assert!(
        matches!(outcomes[..], [(1, ReserveOutcome::Unavailable(_))]),
        "{outcomes:?}"
    );
    assert!(matches!(
        test.reserve(2, 100),
        ReserveOutcome::Unavailable(_)
    ));
    // Reopening the link ends the refusals.
    test.client.handle_link_opened(test.now);
    assert_eq!(test.reserve(3, 100), ReserveOutcome::Waiting);
}

#[test]
fn settle_open_lease_spendable_again() {
    let (mut test, reservation) = TestClient::with_lease(100, 90);
    test.client.settle(test.now, &account(), &reservation, 60);
    assert_eq!(test.client.balance(test.now, &account()), 70);
}

#[test]
fn settle_closed_lease_refunded() {
    let (mut test, reservation) = TestClient::with_lease(100, 100);
    test.client.settle(test.now, &account(), &reservation, 60);
    let messages = test.client.take_messages();
    let refund = LeaseMessage::Refund {
        account: account(),
        number: 1,
        lease: 1,
        tokens: 60,
    };
    assert!(messages.contains(&refund), "{messages:?}");
    assert_eq!(test.client.balance(test.now, &account()), 0);
}

#[test]
fn tick_lease_returned_before_expiry() {
    let (mut test, _) = TestClient::with_lease(100, 40);
    test.client.take_messages();
    test.advance(850);
    let messages = test.client.take_messages();
    let returned = LeaseMessage::Return {
        account: account(),
        lease: 1,
        unspent: 60,
    };
    assert!(messages.contains(&returned), "{messages:?}");
    assert_eq!(test.client.balance(test.now, &account()), 0);
}

#[test]
fn drain_returns_resent_until_acknowledged() {
    let (mut test, _) = TestClient::with_lease(100, 40);
    test.client.drain(test.now);
    assert!(!test.client.is_drained());
    test.client.handle_link_closed(test.now);
    test.client.take_messages();
    test.client.handle_link_opened(test.now);
    assert_eq!(
        test.client.take_messages().len(),
        1,
        "the return was not sent again"
    );
    test.client.handle_return_ack(&account(), 1);
    assert!(test.client.is_drained());
}
