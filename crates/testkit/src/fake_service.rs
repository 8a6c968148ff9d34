//! A fake plain service that runs each request once and numbers the runs.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;

use crate::fake_engine::run_record;
use crate::fake_records::{FakeRecords, RunState};
use crate::fake_server::{spawn_server, ResponseStream, ServerRequest};

/// A running fake service.
#[derive(Clone)]
pub struct FakeService {
    address: SocketAddr,
    records: FakeRecords,
    /// Time that each request takes, in milliseconds.
    delay_ms: Arc<AtomicU64>,
    /// Number of further requests that run without a response.
    responses_to_drop: Arc<AtomicU64>,
}

impl FakeService {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn spawn() -> Result<Self> {
        Self::spawn_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a service on an address.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub fn spawn_at(address: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let service = FakeService {
            address,
            records: FakeRecords::default(),
            delay_ms: Arc::new(AtomicU64::new(0)),
            responses_to_drop: Arc::new(AtomicU64::new(0)),
        };
        let worker = service.clone();
        spawn_server(listener, move |request, stream| {
            worker.serve(&request, stream)
        });
        Ok(service)
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the records of the requests that the service ran.
    pub fn records(&self) -> &FakeRecords {
        &self.records
    }

    /// Sets the time that each subsequent request takes.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Runs the next `calls` requests and closes their connections without a
    /// response.
    pub fn drop_next_responses(&self, calls: u64) {
        self.responses_to_drop.store(calls, Ordering::Relaxed);
    }

    /// Serves a request; returns whether the connection accepts another one.
    fn serve(&self, request: &ServerRequest, stream: &mut ResponseStream) -> bool {
        if request.target == "/healthz" {
            return stream.respond(200, &json!({ "status": "running" }));
        }
        let number = self.records.record_start(run_record(request));
        thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
        let decrement = |left: u64| left.checked_sub(1);
        let responses_to_drop = &self.responses_to_drop;
        if responses_to_drop
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok()
        {
            return false;
        }
        let target = format!("{} {}", request.method, request.target);
        let response = json!({ "number": number, "target": target, "echo": request.body });
        let written = stream.respond(201, &response);
        self.records
            .update(number, |record| record.state = RunState::Finished);
        written
    }
}
