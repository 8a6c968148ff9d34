//! The HTTP listener of a role.
//!
//! One thread takes requests from the library and gives each its own thread,
//! up to a bound; past it a request is refused at once. The request's thread
//! reads the body, passes the request to the role and writes the answer's
//! parts as they come.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use anyhow::{anyhow, Result};
use bytes::Bytes;
use mulberrywell_role::{AnswerPart, HttpEvent, HttpRequest, RequestId};
use mulberrywell_wire::request::HeaderField;
use tiny_http::{Method, Request, Server};

use crate::event_sender::EventSender;
use crate::http_writer::HttpWriter;

/// Answer parts that may wait for a slow caller before it is cut.
const PARTS_MAX: usize = 4_096;

/// Bounds of a listener.
#[derive(Debug, Clone, Copy)]
pub struct GateLimits {
    /// Most requests in work.
    pub max_requests: usize,
    /// Longest body in bytes.
    pub max_body: usize,
}

type PartSenders = Arc<Mutex<BTreeMap<RequestId, SyncSender<AnswerPart>>>>;

/// A running listener.
pub struct HttpGate {
    senders: PartSenders,
}

/// What the request threads share.
struct GateShared<E> {
    limits: GateLimits,
    senders: PartSenders,
    events: EventSender<E>,
    wrap: fn(HttpEvent) -> E,
    next_request: AtomicU64,
    in_work: AtomicUsize,
}

impl HttpGate {
    /// Serves requests of a listener, passing them on as `wrap` shapes them.
    ///
    /// # Errors
    /// Fails when the library can't use the listener.
    pub fn spawn<E: Send + 'static>(
        listener: TcpListener,
        limits: GateLimits,
        events: EventSender<E>,
        wrap: fn(HttpEvent) -> E,
    ) -> Result<Self> {
        let server = Server::from_listener(listener, None).map_err(|err| anyhow!("{err}"))?;
        let senders = PartSenders::default();
        let shared = Arc::new(GateShared {
            limits,
            senders: senders.clone(),
            events,
            wrap,
            next_request: AtomicU64::new(1),
            in_work: AtomicUsize::new(0),
        });
        thread::Builder::new()
            .name("http".to_owned())
            .spawn(move || accept_requests(&server, &shared))?;
        Ok(HttpGate { senders })
    }

    /// Passes a part of an answer on; a caller that is too slow is cut.
    pub fn answer(&self, request: RequestId, part: AnswerPart) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let last = matches!(part, AnswerPart::End | AnswerPart::Abort);
        let Some(tx) = senders.get(&request) else {
            return;
        };
        match tx.try_send(part) {
            Ok(()) if !last => {}
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                senders.remove(&request);
            }
        }
    }
}

/// Binds a listener for HTTP.
///
/// # Errors
/// Fails when the address can't be had.
pub fn bind_http(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|err| anyhow!("can't listen on {address}: {err}"))
}

fn accept_requests<E: Send + 'static>(server: &Server, shared: &Arc<GateShared<E>>) {
    loop {
        let request = match server.recv() {
            Ok(request) => request,
            Err(err) => {
                spdlog::error!("http: listener failed: {}", err);
                return;
            }
        };
        if shared.in_work.fetch_add(1, Ordering::Relaxed) >= shared.limits.max_requests {
            shared.in_work.fetch_sub(1, Ordering::Relaxed);
            refuse(request, 503, "overloaded", "too many requests in work");
            continue;
        }
        let worker = shared.clone();
        let spawned = thread::Builder::new()
            .name("http request".to_owned())
            .spawn(move || {
                serve_request(request, &worker);
                worker.in_work.fetch_sub(1, Ordering::Relaxed);
            });
        if let Err(err) = spawned {
            shared.in_work.fetch_sub(1, Ordering::Relaxed);
            spdlog::error!("http: can't start a thread: {}", err);
        }
    }
}

fn serve_request<E: Send>(mut request: Request, shared: &GateShared<E>) {
    let http = match read_request(&mut request, shared.limits.max_body) {
        Ok(http) => http,
        Err(fault) => return refuse(request, fault.status, fault.code, fault.message),
    };
    let chunks = *request.http_version() >= tiny_http::HTTPVersion(1, 1);
    let bodyless = *request.method() == Method::Head;
    let id = shared.next_request.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = sync_channel(PARTS_MAX);
    lock(&shared.senders).insert(id, tx);
    let event = (shared.wrap)(HttpEvent::Request { request: id, http });
    if shared.events.try_send(event).is_err() {
        lock(&shared.senders).remove(&id);
        return refuse(request, 503, "overloaded", "too many events wait");
    }
    let writer = HttpWriter::new(request.into_writer(), chunks, bodyless);
    let written = write_answer(writer, &rx);
    lock(&shared.senders).remove(&id);
    if !written {
        shared
            .events
            .send((shared.wrap)(HttpEvent::Gone { request: id }));
    }
}

/// Writes an answer's parts; false when the caller did not get all of it.
fn write_answer<W: std::io::Write>(mut writer: HttpWriter<W>, rx: &Receiver<AnswerPart>) -> bool {
    loop {
        match rx.recv() {
            Ok(part) => match writer.write(part) {
                Ok(true) => return true,
                Ok(false) => {}
                Err(_) => return false,
            },
            Err(_) => {
                // The sender is gone without an end: the caller was too slow.
                let _ = writer.write(AnswerPart::Abort);
                return false;
            }
        }
    }
}

struct ReadFault {
    status: u16,
    code: &'static str,
    message: &'static str,
}

fn read_request(request: &mut Request, max_body: usize) -> Result<HttpRequest, ReadFault> {
    let too_large = ReadFault {
        status: 413,
        code: "body_too_large",
        message: "the body is longer than the limit",
    };
    if request.body_length().is_some_and(|len| len > max_body) {
        return Err(too_large);
    }
    let mut body = Vec::with_capacity(request.body_length().unwrap_or(0));
    let read = request
        .as_reader()
        .take(max_body as u64 + 1)
        .read_to_end(&mut body);
    if read.is_err() {
        return Err(ReadFault {
            status: 400,
            code: "bad_body",
            message: "the body can't be read",
        });
    }
    if body.len() > max_body {
        return Err(too_large);
    }
    let headers = request.headers().iter().map(|header| HeaderField {
        name: Bytes::copy_from_slice(header.field.as_str().as_str().as_bytes()),
        value: Bytes::copy_from_slice(header.value.as_str().as_bytes()),
    });
    Ok(HttpRequest {
        method: Bytes::from(request.method().as_str().to_owned()),
        path: Bytes::from(request.url().to_owned()),
        headers: headers.collect(),
        body: Bytes::from(body),
    })
}

/// Answers a request that the role never sees.
fn refuse(request: Request, status: u16, code: &str, message: &str) {
    let body = serde_json::json!({
        "error": { "message": message, "type": "invalid_request_error", "code": code }
    })
    .to_string();
    let mut writer = HttpWriter::new(request.into_writer(), true, false);
    let field = |name: &'static str, value: &'static str| HeaderField {
        name: Bytes::from_static(name.as_bytes()),
        value: Bytes::from_static(value.as_bytes()),
    };
    let mut headers = vec![
        field("Content-Type", "application/json"),
        field("Mulberrywell-Ran", "no"),
    ];
    if status == 503 {
        headers.push(field("Retry-After", "1"));
    }
    let parts = [
        AnswerPart::Head {
            status,
            headers,
            length: Some(body.len() as u64),
        },
        AnswerPart::Data(Bytes::from(body)),
        AnswerPart::End,
    ];
    for part in parts {
        if writer.write(part).is_err() {
            return;
        }
    }
}

fn lock(
    senders: &PartSenders,
) -> std::sync::MutexGuard<'_, BTreeMap<RequestId, SyncSender<AnswerPart>>> {
    senders.lock().unwrap_or_else(PoisonError::into_inner)
}
