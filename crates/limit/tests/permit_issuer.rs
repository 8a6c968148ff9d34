//! Gateways that compete for the permits of one endpoint, in virtual time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::{EndpointStart, MilliRate, PermitIssuer};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_secs(4);

fn start() -> EndpointStart {
    (Bytes::from_static(b"e"), 7)
}

/// Gateways that each have a call for the endpoint all the time.
struct PermitFleet {
    issuer: PermitIssuer,
    now: Instant,
    /// When each gateway asks next.
    next_asks: Vec<Instant>,
    grants: Vec<Instant>,
    asks: usize,
}

impl PermitFleet {
    fn new(gateways: usize) -> Self {
        let now = Instant::now();
        let mut issuer = PermitIssuer::default();
        issuer.start(now);
        PermitFleet {
            issuer,
            now,
            next_asks: vec![now; gateways],
            grants: Vec::new(),
            asks: 0,
        }
    }

    fn run(&mut self, rate: MilliRate, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for next_ask in &mut self.next_asks {
                if *next_ask > self.now {
                    continue;
                }
                self.asks += 1;
                let decision = self.issuer.grant(self.now, &start(), rate, 1).unwrap();
                assert!(decision.granted <= 1);
                let grants = 0..decision.granted;
                self.grants.extend(grants.map(|_| self.now));
                *next_ask = self.now + decision.retry_after;
            }
        }
    }

    fn busiest_window(&self) -> usize {
        let windows = self.grants.iter().map(|from| {
            let within = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
            self.grants.iter().filter(within).count()
        });
        windows.max().unwrap_or(0)
    }
}

/// Returns the requests in [`WINDOW`] that the users' rule allows.
fn allowed(rate: MilliRate) -> f64 {
    1.5 * rate as f64 / 1_000.0 * WINDOW.as_secs_f64() + 5.0
}

/// Guards against a limit that grows with the number of gateways, and against one that
/// is not used though gateways ask for it.
#[rstest]
fn grant_limit_shared(
    #[values(1, 7, 300)] gateways: usize,
    #[values(250, 1_000, 1_100, 30_000)] rate: MilliRate,
) {
    let mut fleet = PermitFleet::new(gateways);
    let duration = Duration::from_secs(40);
    fleet.run(rate, duration);
    let busiest = fleet.busiest_window();
    assert!(busiest as f64 <= allowed(rate), "{busiest}");
    let owed = rate as f64 / 1_000.0 * duration.as_secs_f64();
    let granted = fleet.grants.len() as f64;
    assert!(granted >= 0.9 * owed - 1.0, "{granted} of {owed}");
    assert!(granted <= owed * 1.01 + 1.0, "{granted} of {owed}");
    // A gateway that is refused comes back after 2 s at the latest.
    let asks_max = granted * 2.0 + gateways as f64 * (duration.as_secs_f64() / 2.0 + 1.0);
    assert!(fleet.asks as f64 <= asks_max, "{} asks", fleet.asks);
}

/// A new leader doesn't know what the one before granted: it begins with nothing.
#[test]
fn grant_leader_changed_starts_empty() {
    let rate = 1_000;
    let mut fleet = PermitFleet::new(50);
    fleet.run(rate, Duration::from_secs(6));
    for _ in 0..6 {
        fleet.issuer.stop();
        assert_eq!(fleet.issuer.grant(fleet.now, &start(), rate, 1), None);
        fleet.issuer.start(fleet.now);
        fleet.run(rate, Duration::from_millis(1_300));
    }
    let busiest = fleet.busiest_window();
    assert!(busiest as f64 <= allowed(rate), "{busiest}");
}

#[rstest]
#[case::lowered(8_000, 1_000)]
#[case::raised(1_000, 8_000)]
fn grant_limit_changed(#[case] before: MilliRate, #[case] after: MilliRate) {
    let mut fleet = PermitFleet::new(20);
    fleet.run(before, Duration::from_secs(8));
    fleet.grants.clear();
    fleet.run(after, Duration::from_secs(20));
    let busiest = fleet.busiest_window();
    assert!(busiest as f64 <= allowed(after), "{busiest}");
    let owed = after as f64 / 1_000.0 * 20.0;
    assert!(fleet.grants.len() as f64 >= 0.8 * owed);
}

/// An endpoint that takes nothing is still asked now and then, as only a response shows
/// that its limit has ended.
#[test]
fn grant_no_rate_tried() {
    let mut fleet = PermitFleet::new(20);
    fleet.run(0, Duration::from_secs(60));
    assert!((3..=7).contains(&fleet.grants.len()), "{:?}", fleet.grants);
}

/// Orders of the leader go before gateways, and count.
#[test]
fn grant_order_counted() {
    let mut fleet = PermitFleet::new(20);
    let mut orders = Vec::new();
    for _ in 0..40 {
        fleet.run(1_000, Duration::from_millis(250));
        if fleet.issuer.grant_order(fleet.now, &start(), 1_000) {
            orders.push(fleet.now);
        }
    }
    assert!(orders.len() >= 8, "{}", orders.len());
    fleet.grants.extend(orders);
    let busiest = fleet.busiest_window();
    assert!(busiest <= 6, "{busiest}");
}

#[test]
fn remove_idle_keeps_limit() {
    let mut fleet = PermitFleet::new(1);
    fleet.run(1_000, Duration::from_secs(5));
    fleet.issuer.remove_idle(fleet.now);
    let decision = fleet.issuer.grant(fleet.now, &start(), 1_000, 9).unwrap();
    assert!(decision.granted <= 1);
    fleet.now += Duration::from_secs(100);
    fleet.issuer.remove_idle(fleet.now);
    let decision = fleet.issuer.grant(fleet.now, &start(), 1_000, 9).unwrap();
    assert_eq!(decision.granted, 1);
}
