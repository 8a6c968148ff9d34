//! A sound worker of a plain service: it answers every request that names its id, and says
//! in heartbeats that it is ready.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::kit::{call, Record};

/// A request that the worker ran.
#[derive(Debug, Clone)]
pub struct WorkerRun {
    pub id: String,
    pub path: String,
    pub tenant: Option<String>,
}

/// A running worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    runs: Arc<Mutex<Vec<WorkerRun>>>,
    record: Record,
}

impl Worker {
    /// Starts a worker on a free port of loopback address `ip`.
    pub fn spawn(id: &str, ip: std::net::IpAddr, record: &Record) -> Worker {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let worker = Worker {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: since_epoch.as_millis(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        worker
    }

    /// Sends heartbeats to the control addresses, each 1.2 s, until the run ends.
    pub fn send_heartbeats(&self, service: &str, zone: &str, controls: Vec<SocketAddr>) {
        let worker = self.clone();
        let (service, zone) = (service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\
                     \"sequence\":{sequence},\"born\":{}}}",
                    worker.address, worker.born
                );
                let path = format!("/api/instances/{}/heartbeat", worker.id);
                for control in &controls {
                    let fields = [("Content-Type", "application/json")];
                    let timeout = Duration::from_secs(1);
                    let body = body.as_bytes();
                    let response = call(*control, "POST", &path, &fields, body, timeout);
                    if response.is_some_and(|it| (200..300).contains(&it.status)) {
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }

    /// Returns the requests that the worker ran.
    pub fn runs(&self) -> Vec<WorkerRun> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut input = Vec::new();
        let mut buf = vec![0; 16 * 1024];
        loop {
            let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") else {
                match stream.read(&mut buf) {
                    Ok(len) if len > 0 => input.extend_from_slice(&buf[..len]),
                    _ => return,
                }
                continue;
            };
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length: usize = field(&head, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            while input.len() < end + 4 + length {
                match stream.read(&mut buf) {
                    Ok(len) if len > 0 => input.extend_from_slice(&buf[..len]),
                    _ => return,
                }
            }
            input.drain(..end + 4 + length);
            if stream.write_all(self.answer(&head).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs a request; returns the response.
    fn answer(&self, head: &str) -> String {
        let id = field(head, "request-id").unwrap_or_default();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let expected = field(head, "expect-instance");
        let is_call = !id.is_empty();
        let (status, fields, body) = if !is_call && path == "/health" {
            (200, format!("Instance-Id: {}\r\n", self.id), "")
        } else if expected.is_some_and(|expected| expected != self.id) {
            (421, "Not-Executed: 1\r\n".to_owned(), "")
        } else if !is_call {
            (400, "Not-Executed: 1\r\n".to_owned(), "")
        } else {
            let run = WorkerRun {
                id: id.clone(),
                path,
                tenant: field(head, "tenant"),
            };
            self.record.line(&format!(
                "worker {} runs request {}, path {}, tenant {:?}",
                self.id, run.id, run.path, run.tenant
            ));
            self.runs.lock().unwrap().push(run);
            (200, "Server-Signature: 3e1b.07\r\n".to_owned(), "done")
        };
        format!(
            "HTTP/1.1 {status} Answer\r\nRequest-Id: {id}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// Returns the value of a field in a head.
fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().skip(1);
    lines.find_map(|line| {
        let (known, value) = line.split_once(':')?;
        known
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
