//! A fake plain service whose process ends under some request and starts again.

use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Result;
use serde_json::json;

use crate::fake_server::{serve_connection, ResponseStream, ServerRequest};

/// Time for which the service runs a request.
const RUN_TIME: Duration = Duration::from_millis(30);

/// Time from a crash until the service has started again.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Interval at which the service looks for connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// A running service.
#[derive(Clone)]
pub struct CrashingService {
    address: SocketAddr,
    /// Body of the requests that end the service.
    crashing_body: String,
    is_down: Arc<AtomicBool>,
    /// Time of each crash, in order.
    crashes: Arc<Mutex<Vec<Instant>>>,
    /// Arrival of each crashing request.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    connections: Arc<Mutex<Vec<Weak<TcpStream>>>>,
}

impl CrashingService {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn spawn(crashing_body: &str) -> Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        let service = CrashingService {
            address: listener.local_addr()?,
            crashing_body: crashing_body.to_owned(),
            is_down: Arc::default(),
            crashes: Arc::default(),
            arrivals: Arc::default(),
            connections: Arc::default(),
        };
        let worker = service.clone();
        thread::spawn(move || worker.run(listener));
        Ok(service)
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time of each crash.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.crashes).clone()
    }

    /// Returns when the crashing requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.arrivals).clone()
    }

    fn run(&self, mut listener: TcpListener) {
        loop {
            if self.accept_until_crash(&listener).is_err() {
                return;
            }
            drop(listener);
            for connection in lock(&self.connections).drain(..) {
                if let Some(connection) = connection.upgrade() {
                    // Fails only if the connection is already closed.
                    let _ = connection.shutdown(Shutdown::Both);
                }
            }
            thread::sleep(RESTART_TIME);
            let Ok(restarted) = TcpListener::bind(self.address) else {
                return;
            };
            listener = restarted;
            self.is_down.store(false, Ordering::SeqCst);
        }
    }

    fn accept_until_crash(&self, listener: &TcpListener) -> Result<()> {
        listener.set_nonblocking(true)?;
        while !self.is_down.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false)?;
                    let worker = self.clone();
                    thread::spawn(move || {
                        serve_connection(stream, &|request, response| {
                            worker.serve(&request, response)
                        });
                    });
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => thread::sleep(ACCEPT_INTERVAL),
                Err(err) => return Err(err.into()),
            }
        }
        Ok(())
    }

    fn serve(&self, request: &ServerRequest, response: &mut ResponseStream) -> bool {
        self.insert_connection(response);
        if request.target == "/healthz" {
            return response.respond(200, &json!({ "status": "running" }));
        }
        let is_crashing = request.body == self.crashing_body;
        if is_crashing {
            lock(&self.arrivals).push(Instant::now());
        }
        thread::sleep(RUN_TIME);
        if is_crashing && !self.is_down.swap(true, Ordering::SeqCst) {
            lock(&self.crashes).push(Instant::now());
        }
        if self.is_down.load(Ordering::SeqCst) {
            // The connection is closed after the listener.
            thread::sleep(RESTART_TIME);
            return false;
        }
        response.respond(201, &json!({ "echo": request.body }))
    }

    fn insert_connection(&self, response: &ResponseStream) {
        let connection = response.connection();
        let mut connections = lock(&self.connections);
        connections.retain(|known| known.strong_count() > 0 && !known.ptr_eq(&connection));
        connections.push(connection);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
