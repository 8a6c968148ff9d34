//! A worker's leave call is acknowledged, all processes of the machines of the core are
//! killed at the same moment and are back within a second, and a heartbeat of the worker
//! arrives late. See claim.txt.

#[path = "../kit-3/kit.rs"]
mod kit;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const HOST: &str = "ficu95.example";
const PATH: &str = "/desk1/ticket";
/// Time that a request takes at a worker.
const WORK_MS: u64 = 150;
const HEARTBEAT_MS: u64 = 1_200;

/// A worker of the service; a clone shares its state.
#[derive(Clone)]
struct Worker {
    id: String,
    address: SocketAddr,
    zone: String,
    born: u64,
    sequence: Arc<AtomicU64>,
    /// Whether it sends heartbeats.
    beats: Arc<AtomicBool>,
    channels: Channels,
    /// Id of each request that arrived and ran, with the time of its arrival.
    runs: Arc<Mutex<Vec<(String, u64)>>>,
}

impl Worker {
    fn body(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.zone, self.born
        )
    }

    fn path(&self, call: &str) -> String {
        format!("/api/instances/{}/{call}", self.id)
    }

    fn start(&self, record: &Record, controls: &[SocketAddr]) {
        let (worker, log) = (self.clone(), record.clone());
        self.channels.listen(self.address, move |mut stream| {
            let mut buf = Vec::new();
            while let Some(request) = read_request(&mut stream, &mut buf) {
                if request.header("Expect-Instance").is_some_and(|id| id != worker.id) {
                    write_answer(&mut stream, 421, &[("Not-Executed", "1")], b"");
                    continue;
                }
                let id = request.header("Request-Id").unwrap_or_default().to_owned();
                let at = log.ms();
                log.add(format!("run {id} at {}", worker.id));
                worker.runs.lock().unwrap().push((id.clone(), at));
                sleep_ms(WORK_MS);
                let headers = [("Request-Id", id.as_str()), ("Server-Signature", "s")];
                if !write_answer(&mut stream, 200, &headers, b"{}") {
                    return;
                }
            }
        });
        let (worker, log, controls) = (self.clone(), record.clone(), controls.to_vec());
        thread::spawn(move || {
            let mut turn = 0;
            while !worker.channels.is_down.load(Ordering::SeqCst) {
                let begun = Instant::now();
                if worker.beats.load(Ordering::SeqCst) {
                    let body = worker.body("ready");
                    for _ in 0..controls.len() * 2 {
                        let address = controls[turn % controls.len()];
                        if post(address, &worker.path("heartbeat"), &body).is_some() {
                            break;
                        }
                        log.add(format!("heartbeat of {} not confirmed", worker.id));
                        turn += 1;
                        sleep_ms(50);
                    }
                }
                let spent = begun.elapsed().as_millis() as u64;
                sleep_ms(HEARTBEAT_MS.saturating_sub(spent));
            }
        });
    }
}

/// Sends a call to control; the status if it is confirmed within a second.
fn post(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let headers = [("Content-Type", "application/json")];
    let answer = call(address, "POST", path, &headers, body.as_bytes(), Duration::from_secs(1));
    answer.ok().map(|it| it.status).filter(|status| (200..300).contains(status))
}

/// One attempt of a client: a request that isn't idempotent.
struct Attempt {
    id: String,
    sent: u64,
    result: String,
}

fn main() {
    let folder = Path::new("review/14").to_owned();
    let record = Record::new();
    let net = free_net();
    let mut system = Deployment::new(&record, &net, 3, 0);
    system.start_all();
    let controls = system.controls();
    let workers: Vec<Worker> = (0..3)
        .map(|idx| Worker {
            id: format!("i-desk{}", idx + 1),
            address: format!("{net}.{}:8308", 21 + idx).parse().unwrap(),
            zone: ["oslo-a", "oslo-b", "oslo-c"][idx].to_owned(),
            born: unix_ms(),
            sequence: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            channels: Channels::default(),
            runs: Arc::default(),
        })
        .collect();
    for worker in &workers {
        worker.start(&record, &controls);
    }
    let manifest = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r1\",\"host\":\"{HOST}\",\"path_prefix\":\"/desk1/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":2000,\"goal_ms\":300,\"priority\":1,\"service\":\"desk\",\
         \"max_attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"desk\",\
         \"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\
         \"priority\":1}}]}}"
    );
    let put = system.operate("POST", "/api/config/put", &manifest, Duration::from_secs(20));
    let is_up = put.is_some_and(|it| it.status == 200)
        && system.await_ready(&[0, 1, 2], Duration::from_secs(20));
    if !is_up {
        record.say("the deployment didn't come up".to_owned());
        system.finish(&folder, 2);
    }
    record.say("all gateways are ready".to_owned());
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..12 {
        let (attempts, is_over, log) = (attempts.clone(), is_over.clone(), record.clone());
        let front = system.front(client % 3);
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let (id, sent) = (new_id(), log.ms());
                let headers = [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "4000"), ("Credential", KEY)];
                let answer = call(front, "POST", PATH, &headers, b"{}", Duration::from_secs(4));
                let result = match answer {
                    Ok(answer) => answer.status.to_string(),
                    Err(err) => err,
                };
                log.add(format!("sent {id} at {sent} to {front}: {result}"));
                attempts.lock().unwrap().push(Attempt { id, sent, result });
                sleep_ms(100);
            }
        }));
    }
    sleep_ms(7_000);

    // The heartbeat of the first worker that is due now is held up on its way; the next call,
    // at another node, is its leave call.
    let leaver = workers[0].clone();
    leaver.beats.store(false, Ordering::SeqCst);
    sleep_ms(HEARTBEAT_MS + 100);
    let (late_body, late_path) = (leaver.body("ready"), leaver.path("heartbeat"));
    record.say(format!("a heartbeat of {} is sent to {} and held up", leaver.id, controls[0]));
    let (log, late_to) = (record.clone(), controls[0]);
    let late = thread::spawn(move || {
        sleep_ms(4_500);
        let status = post(late_to, &late_path, &late_body);
        log.say(format!("the late heartbeat arrives: {status:?}"));
    });
    sleep_ms(1_000);
    let leave = format!("{{\"born\":{}}}", leaver.born);
    let status = post(controls[1], &leaver.path("leave"), &leave);
    let left = record.ms();
    record.say(format!("{} leaves: {status:?} from {}", leaver.id, controls[1]));
    if status.is_none() {
        system.finish(&folder, 2);
    }
    sleep_ms(300);
    let mut in_touch_from = 0;
    if has_trouble() {
        record.say("all processes of the core are killed".to_owned());
        system.kill_machines(&[0, 1, 2]);
        sleep_ms(600);
        for idx in 0..3 {
            system.start(idx, "control", false);
            system.start(idx, "gateway", false);
        }
        in_touch_from = record.ms() + CONTACT_MS;
        record.say("all processes of the core are started again".to_owned());
    } else {
        sleep_ms(600);
    }
    let _ = late.join();
    let leaver_end = left + 6_500;
    while record.ms() < leaver_end {
        sleep_ms(10);
    }
    leaver.channels.close();
    record.say(format!("{} ends", leaver.id));
    sleep_ms(1_500);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let attempts = attempts.lock().unwrap();
    let runs = leaver.runs.lock().unwrap();
    let sent_at = |id: &str| attempts.iter().find(|it| it.id == id).map_or(0, |it| it.sent);
    let late_runs: Vec<&(String, u64)> = runs
        .iter()
        .filter(|(id, at)| *at > left + DRAIN_MS && sent_at(id) >= in_touch_from)
        .collect();
    let is_lost = |id: &str| attempts.iter().any(|it| it.id == id && it.result != "200");
    let lost = late_runs.iter().filter(|(id, _)| is_lost(id)).count();
    let served = attempts.iter().filter(|it| it.result == "200").count();
    record.say(format!("{} attempts, {served} answered with 200", attempts.len()));
    let after: Vec<u64> = late_runs.iter().map(|(_, at)| at - left).collect();
    record.say(format!(
        "requests from machines in touch that reached {} more than {DRAIN_MS} ms after its leave \
         was confirmed: {}, {:?} to {:?} ms after it; {lost} of them got no 200",
        leaver.id,
        late_runs.len(),
        after.first(),
        after.last(),
    ));
    if served < attempts.len() / 3 {
        record.say("too little was served".to_owned());
        system.finish(&folder, 2);
    }
    let status = i32::from(!late_runs.is_empty());
    drop((attempts, runs));
    system.finish(&folder, status);
}
