//! Another writer sends heartbeats for a service that the manifest doesn't name, with the
//! addresses of sound workers. See claim.txt.

#[path = "../kit-3/kit.rs"]
mod kit;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kit::*;

const HEARTBEAT_MS: u64 = 1_200;
/// Span over which requests are compared, from 5 s after the other writer's entries.
const SETTLE_MS: u64 = 5_000;
const SPAN_MS: u64 = 20_000;
const SERVICES: [&str; 2] = ["desk", "info"];

fn heartbeat(service: &str, address: SocketAddr, sequence: u64, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"oslo-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
    )
}

fn send(address: SocketAddr, id: &str, body: &str) -> Option<u16> {
    let path = format!("/api/instances/{id}/heartbeat");
    let headers = [("Content-Type", "application/json")];
    let answer = call(address, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(1));
    answer.ok().map(|it| it.status)
}

/// Starts a sound worker.
fn start_worker(record: &Record, id: String, service: &'static str, address: SocketAddr, controls: Vec<SocketAddr>) {
    let (own, log) = (id.clone(), record.clone());
    Channels::default().listen(address, move |mut stream| {
        let mut buf = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buf) {
            let request_id = request.header("Request-Id").unwrap_or_default().to_owned();
            if request.header("Expect-Instance").is_some_and(|it| it != own) {
                let headers = [("Not-Executed", "1"), ("Request-Id", request_id.as_str())];
                write_answer(&mut stream, 421, &headers, b"");
                continue;
            }
            log.add(format!("run {request_id} at {own}"));
            sleep_ms(30);
            let headers = [("Request-Id", request_id.as_str()), ("Server-Signature", "s")];
            if !write_answer(&mut stream, 200, &headers, b"{}") {
                return;
            }
        }
    });
    let (born, log) = (unix_ms(), record.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            let body = heartbeat(service, address, sequence, born);
            let mut nodes = (0..6).map(|turn| controls[(sequence as usize + turn) % controls.len()]);
            let status = nodes.find_map(|node| send(node, &id, &body).filter(|it| *it == 200));
            log.add(format!("heartbeat {sequence} of {id}: {status:?}"));
            sleep_ms(HEARTBEAT_MS);
        }
    });
}

fn main() {
    let folder = Path::new("review/13").to_owned();
    let record = Record::new();
    let net = free_net();
    let mut system = Deployment::new(&record, &net, 3, 0);
    system.start_all();
    let controls = system.controls();
    let address = |service: usize, idx: usize| -> SocketAddr {
        format!("{net}.{}:8308", 21 + 10 * service + idx).parse().unwrap()
    };
    for (number, service) in SERVICES.iter().enumerate() {
        for idx in 0..3 {
            let id = format!("i-{service}{}", idx + 1);
            start_worker(&record, id, service, address(number, idx), controls.clone());
        }
    }
    let route = |service: &str| {
        format!(
            "{{\"name\":\"r-{service}\",\"host\":\"ficu95.example\",\"path_prefix\":\"/{service}/\",\"kind\":\"safe\",\
             \"timeout_ms\":2000,\"goal_ms\":300,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\
             \"public\":true}}"
        )
    };
    let server = |service: &str| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let manifest = format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{}]}}",
        SERVICES.map(route).join(","),
        SERVICES.map(server).join(",")
    );
    let put = system.operate("POST", "/api/config/put", &manifest, Duration::from_secs(20));
    let is_up = put.is_some_and(|it| it.status == 200)
        && system.await_ready(&[0, 1, 2], Duration::from_secs(20));
    if !is_up {
        record.say("the deployment didn't come up".to_owned());
        system.finish(&folder, 2);
    }
    record.say("all gateways are ready".to_owned());
    let is_over = Arc::new(AtomicBool::new(false));
    // Service, time of sending, result of each request.
    let results: Arc<Mutex<Vec<(usize, u64, String)>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..12 {
        let (results, is_over, log) = (results.clone(), is_over.clone(), record.clone());
        let (front, number) = (system.front(client % 3), client % 2);
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let (id, sent) = (new_id(), log.ms());
                let headers = [("Host", "ficu95.example"), ("Request-Id", id.as_str()), ("Deadline-Ms", "3000")];
                let path = format!("/{}/x", SERVICES[number]);
                let answer = call(front, "GET", &path, &headers, b"", Duration::from_secs(4));
                let result = answer.map(|it| it.status.to_string()).unwrap_or_else(|err| err);
                log.add(format!("sent {id} for {} at {sent}: {result}", SERVICES[number]));
                results.lock().unwrap().push((number, sent, result));
                sleep_ms(150);
            }
        }));
    }
    sleep_ms(5_000);
    if has_trouble() {
        for idx in 0..3 {
            let body = heartbeat("legacy", address(0, idx), 1, unix_ms());
            let status = send(controls[idx], &format!("x-{}", idx + 1), &body);
            record.say(format!("an entry of another writer, service legacy, address {}: {status:?}", address(0, idx)));
        }
    }
    let begin = record.ms() + SETTLE_MS;
    while record.ms() < begin + SPAN_MS {
        sleep_ms(50);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let counted = |number: Option<usize>| -> (usize, usize) {
        let span = results.iter().filter(|(_, sent, _)| *sent >= begin && *sent < begin + SPAN_MS);
        let asked: Vec<_> = span.filter(|(service, ..)| number.is_none_or(|it| it == *service)).collect();
        (asked.len(), asked.iter().filter(|(.., result)| result == "200").count())
    };
    let (all, all_served) = counted(None);
    let share = |(asked, served): (usize, usize)| served as f64 / asked.max(1) as f64;
    record.say(format!("{all} requests in {SPAN_MS} ms, {all_served} served"));
    let mut status = i32::from(all < 50 || all_served == 0) * 2;
    for (number, service) in SERVICES.iter().enumerate() {
        let (asked, served) = counted(Some(number));
        record.say(format!("{service}: {asked} requests, {served} served"));
        if share((asked, served)) < share((all, all_served)) / 4.0 {
            status = 1;
        }
    }
    drop(results);
    system.finish(&folder, status);
}
