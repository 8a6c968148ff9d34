//! Tests of the guarantees for a single request, with real processes.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::{binaries, engine_config, GRANTS, PLANS};
use mulberrywell_testkit::{
    wait_until, AgentPlan, ClusterPlan, FakeEngine, FakeService, HttpCaller, HttpResponse,
    ProcessCluster, RawCaller, RawEnd,
};
use nix::sys::signal::Signal;
use rstest::rstest;

/// Header with the idempotency key of the orders in these tests.
const CLAIM: (&str, &str) = ("Idempotency-Key", "order-of-march");
const ORDERS: &str = "/services/payments/orders";

/// A cluster of two entries, two engines and one service.
struct TwinCluster {
    cluster: ProcessCluster,
    engines: Vec<FakeEngine>,
    service: FakeService,
    gold_key: String,
    small_key: String,
}

fn twin_cluster(token_interval: Duration) -> TwinCluster {
    let mut config = engine_config();
    config.between_tokens = token_interval;
    let engines: Vec<FakeEngine> = (0..2)
        .map(|_| FakeEngine::spawn(config.clone()).unwrap())
        .collect();
    let service = FakeService::spawn().unwrap();
    let plan = ClusterPlan {
        controls: 1,
        entries: 2,
        agents: vec![
            AgentPlan::engine("engine-0", "asistente", engines[0].address()),
            AgentPlan::engine("engine-1", "asistente", engines[1].address()),
            AgentPlan::service("payments", service.address()),
        ],
        ..ClusterPlan::default()
    };
    let cluster = ProcessCluster::spawn(&binaries(), &plan).unwrap();
    cluster.apply(PLANS, GRANTS).unwrap();
    cluster.wait_ready(3).unwrap();
    let gold_key = cluster.create_key("medellin", "m1").unwrap();
    let small_key = cluster.create_key("cali", "c1").unwrap();
    let twin = TwinCluster {
        cluster,
        engines,
        service,
        gold_key,
        small_key,
    };
    for entry in 0..2 {
        wait_until("the entry serves requests", || {
            let response = twin.caller(entry).chat("payroll", "warm up", 1, false);
            response.is_ok_and(|response| response.status == 200)
        })
        .unwrap();
    }
    twin
}

impl TwinCluster {
    fn caller(&self, entry: usize) -> HttpCaller {
        HttpCaller::new(self.cluster.callers[entry], Some(&self.gold_key))
    }

    fn order(&self, entry: usize, body: &str) -> HttpResponse {
        self.caller(entry)
            .call("POST", ORDERS, &[CLAIM], body)
            .unwrap()
    }

    fn running(&self) -> usize {
        let running = self.engines.iter().map(|engine| engine.records().running());
        running.sum()
    }

    fn assert_no_key_seen(&self) {
        let engines = self
            .engines
            .iter()
            .flat_map(|engine| engine.records().all());
        for record in engines.chain(self.service.records().all()) {
            let text = format!("{record:?}");
            assert!(!text.contains(&self.gold_key) && !text.contains(&self.small_key));
        }
    }
}

/// Returns the token numbers of a streamed response, in order.
fn token_numbers(response: &HttpResponse) -> Vec<u64> {
    let events = response.body.split("\n\n");
    events
        .filter_map(|event| event.split("content\":\"").nth(1))
        .filter_map(|text| text.split(['.', ' ']).nth(1)?.parse().ok())
        .collect()
}

#[test]
fn rate_counted_across_entries() {
    let twin = twin_cluster(Duration::ZERO);
    let started = Instant::now();
    let workers: Vec<_> = (0..4)
        .map(|idx| {
            let caller = HttpCaller::new(twin.cluster.callers[idx % 2], Some(&twin.small_key));
            thread::spawn(move || {
                let mut statuses = Vec::new();
                for _ in 0..12 {
                    let body = "{\"model\":\"payroll\",\"prompt\":\"small\",\"max_tokens\":18}";
                    let headers = [("Mulberrywell-Deadline-Ms", "300")];
                    let response = caller.call("POST", "/v1/completions", &headers, body);
                    statuses.push(response.unwrap().status);
                }
                statuses
            })
        })
        .collect();
    let statuses: Vec<u16> = workers
        .into_iter()
        .flat_map(|worker| worker.join().unwrap())
        .collect();
    let elapsed = started.elapsed().as_secs_f64();
    let runs: usize = twin
        .engines
        .iter()
        .map(|engine| engine.records().count_with("small"))
        .sum();
    // Each request costs 20 tokens, 2 for the prompt and 18 for the output. The
    // account has a burst of 100 tokens and a rate of 10 tokens per second.
    assert!(
        runs as f64 * 20.0 <= 100.0 + 10.0 * elapsed,
        "{runs} runs in {elapsed} s"
    );
    assert!(runs >= 5, "only {runs} runs: {statuses:?}");
    assert!(statuses.contains(&429), "{statuses:?}");
    twin.assert_no_key_seen();
}

#[test]
fn order_claimed_once_across_entries() {
    let twin = twin_cluster(Duration::ZERO);
    let first = twin.order(0, "order 7");
    assert_eq!(first.status, 201, "{}", first.body);
    // The outcome is committed shortly after the response is sent.
    let mut again = twin.order(1, "order 7");
    wait_until("the outcome is stored", || {
        again = twin.order(1, "order 7");
        again.status != 409
    })
    .unwrap();
    assert_eq!((again.status, &again.body), (201, &first.body));
    assert_eq!(again.header("Mulberrywell-Ran"), "yes");
    let other = twin.order(1, "order 8");
    assert_eq!(
        (other.status, other.header("Mulberrywell-Ran")),
        (422, "no")
    );
    assert_eq!(twin.service.records().count_with("order"), 1);
    twin.assert_no_key_seen();
}

#[test]
fn order_claimed_concurrently_at_both_entries() {
    let twin = twin_cluster(Duration::ZERO);
    twin.service.set_delay(Duration::from_millis(300));
    let statuses: Vec<u16> = thread::scope(|scope| {
        let calls: Vec<_> = (0..2)
            .map(|entry| {
                scope.spawn({
                    let twin = &twin;
                    move || twin.order(entry, "order 9").status
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert_eq!(twin.service.records().count_with("order 9"), 1);
    assert!(
        statuses.contains(&201) && statuses.contains(&409),
        "{statuses:?}"
    );
}

#[test]
fn order_without_control_not_run() {
    let mut twin = twin_cluster(Duration::ZERO);
    twin.cluster.kill("control-0").unwrap();
    let response = twin.order(0, "order 10");
    assert_eq!(response.status, 503, "{}", response.body);
    assert_eq!(response.header("Mulberrywell-Ran"), "no");
    assert_eq!(twin.service.records().count_with("order 10"), 0);
}

#[test]
fn order_agent_killed_not_repeated() {
    let mut twin = twin_cluster(Duration::ZERO);
    twin.service.set_delay(Duration::from_secs(2));
    let caller = twin.caller(0);
    let call = thread::spawn(move || caller.call("POST", ORDERS, &[CLAIM], "order 11").unwrap());
    let records = twin.service.records().clone();
    wait_until("the order runs", || records.count_with("order 11") == 1).unwrap();
    twin.cluster.kill("agent-payments-0").unwrap();
    let response = call.join().unwrap();
    assert_eq!(
        (response.status, response.header("Mulberrywell-Ran")),
        (502, "unknown")
    );
    assert!(
        response.total < Duration::from_secs(10),
        "answered only after {:?}",
        response.total
    );
    twin.cluster.restart("agent-payments-0").unwrap();
    twin.cluster.wait_ready(3).unwrap();
    let again = twin.order(1, "order 11");
    assert_eq!(
        (again.status, again.header("Mulberrywell-Ran")),
        (409, "unknown")
    );
    assert_eq!(twin.service.records().count_with("order 11"), 1);
}

#[test]
fn stream_completed_when_agent_killed() {
    let mut twin = twin_cluster(Duration::from_millis(25));
    let caller = twin.caller(0);
    let call = thread::spawn(move || caller.chat("payroll", "long", 60, true).unwrap());
    let engines = twin.engines.clone();
    let tokens = move |idx: usize| -> u64 {
        let records = engines[idx].records().all();
        let long = records.iter().filter(|record| record.body.contains("long"));
        long.map(|record| record.tokens).max().unwrap_or(0)
    };
    wait_until("tokens are streamed", || tokens(0).max(tokens(1)) >= 10).unwrap();
    let serving_engine = usize::from(tokens(1) > tokens(0));
    twin.cluster
        .kill(&format!("agent-engine-{serving_engine}"))
        .unwrap();
    let response = call.join().unwrap();
    assert!(response.complete, "{response:?}");
    assert_eq!(token_numbers(&response), (0..60).collect::<Vec<u64>>());
    assert_eq!(response.body.matches("[DONE]").count(), 1);
    assert!(
        tokens(1 - serving_engine) > 0,
        "the other engine did not continue the stream"
    );
}

#[test]
fn caller_gone_frees_engine() {
    let twin = twin_cluster(Duration::from_millis(20));
    let body = "{\"model\":\"payroll\",\"prompt\":\"gone\",\"max_tokens\":5000,\"stream\":true}";
    let mut stream = TcpStream::connect(twin.cluster.callers[0]).unwrap();
    write!(
        stream,
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        twin.gold_key,
        body.len()
    )
    .unwrap();
    let mut buf = [0; 512];
    assert!(stream.read(&mut buf).unwrap() > 0);
    assert_eq!(twin.running(), 1);
    drop(stream);
    wait_until("the engine is idle", || twin.running() == 0).unwrap();
}

#[test]
fn shutdown_under_load_completes_requests() {
    // A stream takes longer than the shutdown grace period of 2 s.
    let mut twin = twin_cluster(Duration::from_millis(30));
    let calls: Vec<_> = (0..8)
        .map(|idx| {
            let caller = twin.caller(0);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(150 * idx));
                caller.chat("payroll", "load", 100, true).unwrap()
            })
        })
        .collect();
    wait_until("requests are running", || twin.running() >= 2).unwrap();
    twin.cluster.signal("entry-0", Signal::SIGTERM).unwrap();
    for call in calls {
        let response = call.join().unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.complete);
        assert_eq!(token_numbers(&response).len(), 100);
    }
    assert!(twin.cluster.wait("entry-0").unwrap());
}

// Guards against requests that arrive while an entry ends its shutdown and are cut
// without an answer.
#[rstest]
#[case::head_begun("POST /v1/completions HTTP/1.1\r\nHost: en")]
#[case::body_begun(
    "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer KEY\r\n\
     Content-Length: 2000\r\n\r\n{\"model\":\"payroll\","
)]
#[case::chunks_begun(
    "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer KEY\r\n\
     Transfer-Encoding: chunked\r\n\r\n13\r\n{\"model\":\"payroll\",\r\n"
)]
fn shutdown_answers_unread_requests(#[case] begun: &str) {
    let mut twin = twin_cluster(Duration::from_millis(5));
    twin.cluster.signal("entry-0", Signal::SIGTERM).unwrap();
    let mut caller = RawCaller::connect(twin.cluster.callers[0]).unwrap();
    thread::sleep(Duration::from_millis(1_500));
    assert!(caller.send(begun.replace("KEY", &twin.gold_key).as_bytes()));
    let response = caller.read_to_end(Duration::from_secs(5));
    let text = response.text();
    assert_eq!(response.status(), 503, "{:?} {text}", response.end);
    assert_eq!(response.end, RawEnd::Closed, "{text}");
    for part in ["Mulberrywell-Ran: no\r\n", "Retry-After: ", "shutting_down"] {
        assert!(text.contains(part), "{text}");
    }
    assert!(twin.cluster.wait("entry-0").unwrap());
}

// Guards against kept connections whose further requests a shutdown cuts.
#[test]
fn shutdown_answers_kept_connection() {
    let mut twin = twin_cluster(Duration::from_millis(30));
    let stream_caller = twin.caller(0);
    let stream = thread::spawn(move || stream_caller.chat("payroll", "hold", 150, true).unwrap());
    wait_until("the stream is running", || twin.running() >= 1).unwrap();
    let mut caller = RawCaller::connect(twin.cluster.callers[0]).unwrap();
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {}\r\n\r\n",
        twin.gold_key
    );
    let mut exchange = || {
        assert!(caller.send(request.as_bytes()), "the connection is closed");
        caller.read_until(Duration::from_secs(2), |bytes| bytes.ends_with(b"}"))
    };
    assert_eq!(exchange().status(), 200);
    twin.cluster.signal("entry-0", Signal::SIGTERM).unwrap();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(exchange().status(), 200, "within the grace period of 2 s");
    thread::sleep(Duration::from_millis(2_000));
    let refused = exchange();
    assert_eq!(refused.status(), 503, "{}", refused.text());
    for part in ["Mulberrywell-Ran: no\r\n", "Retry-After: "] {
        assert!(refused.text().contains(part), "{}", refused.text());
    }
    let response = stream.join().unwrap();
    assert!(response.complete);
    assert_eq!(token_numbers(&response).len(), 150);
    assert_eq!(
        caller.read_to_end(Duration::from_secs(5)).end,
        RawEnd::Closed
    );
    assert!(twin.cluster.wait("entry-0").unwrap());
}

/// Rounds of changes and signals after which a reload must have been seen; one takes a
/// quarter of a second.
const RELOAD_ROUNDS_MAX: usize = 60;

// Guards against reloads that cut, drop or refuse what is in work.
#[test]
fn reload_under_load_cuts_nothing() {
    let twin = twin_cluster(Duration::from_millis(20));
    twin.service.set_delay(Duration::from_millis(300));
    let streams: Vec<_> = (0..6)
        .map(|idx| {
            let caller = twin.caller(idx % 2);
            thread::spawn(move || caller.chat("payroll", "reload", 150, true).unwrap())
        })
        .collect();
    let orders: Vec<_> = (0..6)
        .map(|idx| {
            let caller = twin.caller(idx % 2);
            thread::spawn(move || {
                let calls = (0..8).map(|number| {
                    let key = format!("reload-{idx}-{number}");
                    let fields = [("Idempotency-Key", key.as_str())];
                    caller.call("POST", ORDERS, &fields, "order").unwrap()
                });
                calls.collect::<Vec<HttpResponse>>()
            })
        })
        .collect();
    wait_until("requests are running", || twin.running() >= 6).unwrap();
    let names = [
        "control-0",
        "entry-0",
        "entry-1",
        "agent-engine-0",
        "agent-engine-1",
        "agent-payments-0",
    ];
    let is_reloaded = || {
        let mut readers = ["control-0", "entry-0", "entry-1"].into_iter();
        readers.all(|name| twin.cluster.log(name).contains("seeds changed: true"))
    };
    // The file is read once a second. The seeds change back after all have read it.
    let mut rounds_left = 6;
    for round in 0..RELOAD_ROUNDS_MAX {
        let has_added_seed = round < 6 || (rounds_left == 6 && !is_reloaded());
        if !has_added_seed {
            rounds_left -= 1;
        }
        for name in names {
            twin.cluster
                .edit_settings(name, |text| {
                    let text = text.replacen("\"127.0.0.1:9\", ", "", 1);
                    match has_added_seed {
                        true => text.replacen("seeds = [", "seeds = [\"127.0.0.1:9\", ", 1),
                        false => text,
                    }
                })
                .unwrap();
            twin.cluster.signal(name, Signal::SIGHUP).unwrap();
        }
        thread::sleep(Duration::from_millis(250));
        if rounds_left == 0 {
            break;
        }
    }
    for stream in streams {
        let response = stream.join().unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.complete);
        assert_eq!(token_numbers(&response).len(), 150);
    }
    for response in orders.into_iter().flat_map(|order| order.join().unwrap()) {
        assert_eq!(response.status, 201, "{}", response.body);
    }
    for name in ["control-0", "entry-0", "entry-1"] {
        let log = twin.cluster.log(name);
        assert!(log.contains("seeds changed: true"), "{name}: no reload");
    }
    // Every stream ran once: none was broken and resumed.
    let runs = |engine: &FakeEngine| engine.records().count_with("reload");
    assert_eq!(twin.engines.iter().map(runs).sum::<usize>(), 6);
}

/// Guards against a refusal that takes the place of the rest of the response before it: the
/// refused bytes were sent behind a request that is answered.
#[test]
fn refused_pipelined_bytes_keep_response_before() {
    let twin = twin_cluster(Duration::from_millis(5));
    let requests = format!(
        "GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {}\r\n\r\n\
         BAD\r\n\r\n",
        twin.gold_key
    );
    let mut cut = Vec::new();
    for _ in 0..50 {
        let mut caller = RawCaller::connect(twin.cluster.callers[0]).unwrap();
        assert!(caller.send(requests.as_bytes()));
        let text = caller.read_to_end(Duration::from_secs(5)).text();
        let is_answered = text.starts_with("HTTP/1.1 200");
        let is_whole = text.contains("}HTTP/1.1 400");
        if !is_answered || !is_whole {
            cut.push(text);
        }
    }
    assert!(cut.is_empty(), "{} of 50 cut, first: {}", cut.len(), cut[0]);
}

/// Guards against a refusal that becomes the end of the response before it, which the end
/// of the connection delimits.
#[test]
fn refused_pipelined_bytes_not_in_undelimited_body() {
    let twin = twin_cluster(Duration::from_millis(5));
    let mut wrong = Vec::new();
    for _ in 0..20 {
        let requests = format!(
            "GET {ORDERS} HTTP/1.0\r\nHost: entry\r\nAuthorization: Bearer {}\r\n\r\n\
             BAD\r\n\r\n",
            twin.gold_key
        );
        let mut caller = RawCaller::connect(twin.cluster.callers[0]).unwrap();
        assert!(caller.send(requests.as_bytes()));
        let response = caller.read_to_end(Duration::from_secs(5));
        let text = response.text();
        let is_answered = text.starts_with("HTTP/1.1 201") && response.end == RawEnd::Closed;
        if !is_answered || text.contains("HTTP/1.1 400") {
            wrong.push(text);
        }
    }
    assert!(
        wrong.is_empty(),
        "{} of 20 wrong, first: {}",
        wrong.len(),
        wrong[0]
    );
}
