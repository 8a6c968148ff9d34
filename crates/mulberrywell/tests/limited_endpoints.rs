//! Endpoints that name a rate limit in their responses, with real processes: three
//! control instances, several gateways, and endpoints of which some are limited.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::serving_deployment::KEY;
use common::worker_fleet::WorkerFleet;
use mulberrywell_platform_testkit::FakeWorker;
use mulberrywell_testkit::{HttpCaller, HttpResponse};
use rstest::rstest;

const MODEL: &str = "m";

/// Pause of the callers at each gateway between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Duration of a request, so that each gateway has some at all endpoints.
const REQUEST_TIME: Duration = Duration::from_millis(400);

/// Time after the first response with a limit from which the limit binds: `contact_ms`
/// of the users' first sites.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Window over which the users check a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time for which the limit is watched.
const WATCHED_TIME: Duration = Duration::from_secs(8);

/// Returns the requests that may reach an endpoint in [`LIMIT_WINDOW`] by the users'
/// rule.
fn allowed_requests(requests_per_s: &str) -> f64 {
    let rate: f64 = requests_per_s.parse().unwrap();
    1.5 * rate * LIMIT_WINDOW.as_secs_f64() + 5.0
}

/// Returns the most requests that reached a worker in one window after an instant.
fn busiest_window(worker: &FakeWorker, from: Instant) -> usize {
    let arrivals = worker.arrivals().into_iter();
    let times: Vec<Instant> = arrivals.map(|it| it.at).filter(|at| *at >= from).collect();
    let windows = times.iter().enumerate().map(|(first, start)| {
        let within = times[first..].iter();
        within.take_while(|at| **at < *start + LIMIT_WINDOW).count()
    });
    windows.max().unwrap_or(0)
}

fn send(gateway: SocketAddr, path: &str, id: &str) -> Option<HttpResponse> {
    let headers = [
        ("Host", "h.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "3000"),
        ("Credential", KEY),
    ];
    let model = [
        ("Model", MODEL),
        ("Token-Count", "170,20"),
        ("Prompt-Prefix", "aa:100,bb:50"),
    ];
    let is_stream = path.starts_with("/stream/");
    let fields = headers
        .into_iter()
        .chain(model.into_iter().filter(|_| is_stream));
    let fields: Vec<(&str, &str)> = fields.collect();
    let caller = HttpCaller::with_timeout(gateway, None, Duration::from_secs(5));
    caller.call("POST", path, &fields, "body").ok()
}

fn is_served(response: Option<&HttpResponse>) -> bool {
    response.is_some_and(|response| response.status == 200 && response.complete)
}

/// Requests of all callers, and how they ended.
#[derive(Default)]
struct CallCounts {
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    /// Longest time to a refusal in milliseconds.
    longest_refusal_ms: AtomicUsize,
}

impl CallCounts {
    fn record(&self, response: Option<&HttpResponse>, elapsed: Duration) {
        let count = match response {
            Some(response) if response.status == 503 => {
                let elapsed_ms = usize::try_from(elapsed.as_millis()).unwrap_or(usize::MAX);
                self.longest_refusal_ms
                    .fetch_max(elapsed_ms, Ordering::Relaxed);
                &self.refused
            }
            response if is_served(response) => &self.served,
            _ => &self.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    fn totals(&self) -> [usize; 3] {
        [&self.served, &self.refused, &self.failed].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Sends requests to each gateway until the fleet stops.
fn spawn_callers(fleet: &mut WorkerFleet, path: &'static str) -> Arc<CallCounts> {
    let counts = Arc::new(CallCounts::default());
    let log = counts.clone();
    fleet.spawn_callers(CALL_PAUSE, move |call| {
        let id = format!("c{}-{}", call.number, call.sequence);
        let started = Instant::now();
        let response = send(call.gateway, path, &id);
        log.record(response.as_ref(), started.elapsed());
    });
    counts
}

fn spawn_fleet(path: &str, gateways: usize, workers: usize) -> WorkerFleet {
    let fleet = if path.starts_with("/stream/") {
        WorkerFleet::spawn_engines(gateways, workers, MODEL)
    } else {
        WorkerFleet::spawn_services(gateways, workers)
    };
    fleet.wait_ready(|gateway| is_served(send(gateway, path, "first").as_ref()));
    for worker in &fleet.workers {
        worker.set_delay(REQUEST_TIME);
    }
    fleet
}

/// Guards against endpoints that get more requests than the limit that their responses
/// name: the limit is the sum over all gateways, and others have room for the rest.
#[rstest]
#[case::plain("/safe/x", 6, "1")]
#[case::fraction("/once/x", 4, "1.1")]
#[case::streams("/stream/x", 6, "1")]
#[case::many_gateways("/safe/x", 24, "1.1")]
fn limit_summed_across_gateways(
    #[case] path: &'static str,
    #[case] gateways: usize,
    #[case] limit: &str,
) {
    let mut fleet = spawn_fleet(path, gateways, 4);
    fleet.workers[0].set_rate_limit(Some(limit));
    let counts = spawn_callers(&mut fleet, path);
    let from = Instant::now() + CONTACT_TIME;
    thread::sleep(CONTACT_TIME + WATCHED_TIME);
    fleet.stop();
    let most = busiest_window(&fleet.workers[0], from);
    let [served, refused, failed] = counts.totals();
    println!("{most} requests in a window; served {served} refused {refused} failed {failed}");
    assert!(most as f64 <= allowed_requests(limit), "{most}");
    assert!(most >= 2, "the limited endpoint is used: {most}");
    let total = served + refused + failed;
    assert!(100 * served >= 98 * total, "{served} of {total}");
}

/// Guards against requests that are kept waiting, or sent above the limit, when all
/// endpoints are limited: what exceeds the limits is refused at once. Full use returns
/// with the end of the limits.
#[test]
fn limit_reached_at_all_endpoints() {
    let mut fleet = spawn_fleet("/safe/x", 4, 2);
    for worker in &fleet.workers {
        worker.set_rate_limit(Some("2"));
    }
    let counts = spawn_callers(&mut fleet, "/safe/x");
    let from = Instant::now() + CONTACT_TIME;
    thread::sleep(CONTACT_TIME + WATCHED_TIME);
    let [served, refused, failed] = counts.totals();
    let busiest = fleet
        .workers
        .iter()
        .map(|worker| busiest_window(worker, from));
    let most = busiest.max().unwrap();
    for worker in &fleet.workers {
        worker.set_rate_limit(None);
    }
    thread::sleep(CONTACT_TIME);
    let [before, _, _] = counts.totals();
    thread::sleep(CONTACT_TIME);
    let [after, _, _] = counts.totals();
    fleet.stop();
    println!("{most} in a window; served {served} refused {refused} failed {failed}");
    assert!(most as f64 <= allowed_requests("2"), "{most}");
    assert_eq!(failed, 0);
    assert!(refused > served, "{refused} refused, {served} served");
    let longest = counts.longest_refusal_ms.load(Ordering::Relaxed);
    assert!(longest < 1_000, "a refusal took {longest} ms");
    // Four gateways get ten requests a second each.
    assert!(
        after - before > 60,
        "{} served without limits",
        after - before
    );
}
