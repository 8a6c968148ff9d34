//! HTTP server of a role.
//!
//! A front proxy accepts the connections and forwards well-formed requests to
//! the HTTP server library. One thread receives requests from the library and
//! starts a thread for each, up to a limit; beyond the limit a request is
//! rejected at once. The thread of a request reads the body, passes the request
//! to the role and writes the parts of the response as they arrive.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use anyhow::{anyhow, Result};
use bytes::Bytes;
use mulberrywell_role::{HttpEvent, HttpRequest, RequestId, ResponsePart};
use mulberrywell_wire::request::HeaderField;
use socket2::SockRef;
use tiny_http::{Method, Request, Server};

use crate::body_segments::{ReadBody, SegmentPool, SegmentedBody, SEGMENT_LEN};
use crate::caller_budget::{decoded_memory, CallerBudget, CallerCharge, RefusalKind};
use crate::caller_table::RequestUse;
use crate::event_sender::EventSender;
use crate::front_proxy::{FrontProxy, ProxyLimits, SEND_BUFFER};
use crate::http_refusal::{HttpRefusal, BAD_BODY, BODY_TOO_LARGE, OVERLOADED};
use crate::http_writer::HttpWriter;
use crate::proxy_connection::{CloseMode, ConnectionLimits, BODY_COPIES};

/// Response parts that may be queued for a slow caller before its connection is
/// closed.
const PARTS_MAX: usize = 4_096;

/// Response bytes that may be queued for a slow caller before its connection is
/// closed.
const QUEUED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Connections allowed for each request that may be in flight.
const CONNECTIONS_PER_REQUEST: usize = 4;

/// Length in bytes up to which the library reads a body before it returns the
/// request.
const PREREAD_BODY_MAX: usize = 1_024;

/// Lowest status of a response that is no success.
const ERROR_STATUS: u16 = 400;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of requests in flight.
    pub max_requests: usize,
    /// Maximum length of a body in bytes.
    pub max_body: usize,
    /// What the role does with the requests.
    pub request_use: RequestUse,
}

/// Default timeout for a complete head, and for progress of a body or a
/// response.
pub const STALL_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);

/// What is queued for one caller.
struct QueuedParts {
    parts: usize,
    bytes: usize,
    /// Holds the queued bytes in the budget.
    charge: CallerCharge,
}

impl QueuedParts {
    fn count(&mut self, parts: usize, bytes: usize) {
        (self.parts, self.bytes) = (parts, bytes);
        self.charge.set(bytes);
    }
}

/// Sends the parts of a response to the thread of its request.
struct PartSender {
    tx: Sender<ResponsePart>,
    queued: Arc<Mutex<QueuedParts>>,
    budget: CallerBudget,
}

/// Receiving end of a [`PartSender`].
struct PartReceiver {
    rx: Receiver<ResponsePart>,
    queued: Arc<Mutex<QueuedParts>>,
}

impl PartSender {
    fn open(budget: &CallerBudget) -> (Self, PartReceiver) {
        // A bounded channel would allocate all its slots at once.
        let (tx, rx) = channel();
        let queued = Arc::new(Mutex::new(QueuedParts {
            parts: 0,
            bytes: 0,
            charge: budget.charge(),
        }));
        let sender = PartSender {
            tx,
            queued: queued.clone(),
            budget: budget.clone(),
        };
        (sender, PartReceiver { rx, queued })
    }

    /// Queues a part; false when too much is queued or the thread has ended.
    fn send(&self, part: ResponsePart) -> bool {
        let mut queued = lock(&self.queued);
        let bytes = queued.bytes + data_len(&part);
        if queued.parts >= PARTS_MAX || bytes > self.budget.unread_share(QUEUED_BYTES_MAX) {
            self.budget.count(RefusalKind::Ended);
            return false;
        }
        let parts = queued.parts + 1;
        queued.count(parts, bytes);
        self.tx.send(part).is_ok()
    }
}

impl PartReceiver {
    /// Waits for the next part; none when the sender was dropped.
    fn next(&self) -> Option<ResponsePart> {
        let part = self.rx.recv().ok()?;
        let mut queued = lock(&self.queued);
        let (parts, bytes) = (queued.parts - 1, queued.bytes - data_len(&part));
        queued.count(parts, bytes);
        Some(part)
    }
}

fn data_len(part: &ResponsePart) -> usize {
    match part {
        ResponsePart::Data(data) => data.len(),
        _ => 0,
    }
}

type PartSenders = Arc<Mutex<BTreeMap<RequestId, PartSender>>>;

/// A running server.
pub struct HttpServer {
    senders: PartSenders,
    proxy: FrontProxy,
}

/// State shared by the request threads.
struct ServerState<E> {
    limits: ServerLimits,
    proxy: FrontProxy,
    budget: CallerBudget,
    /// Segments of the bodies that are being read.
    pool: Arc<SegmentPool>,
    senders: PartSenders,
    events: EventSender<E>,
    wrap: fn(HttpEvent) -> E,
    next_request: AtomicU64,
    in_flight_count: AtomicUsize,
}

impl HttpServer {
    /// Serves requests of a listener and sends them as events, which `wrap`
    /// converts to the role's event type.
    ///
    /// # Errors
    /// Fails when the library can't use the listener or no thread can be
    /// started.
    pub fn spawn<E: Send + 'static>(
        listener: TcpListener,
        limits: ServerLimits,
        budget: CallerBudget,
        events: EventSender<E>,
        wrap: fn(HttpEvent) -> E,
    ) -> Result<Self> {
        let stall_timeout = STALL_TIMEOUT_DEFAULT;
        Self::spawn_with_stall_timeout(listener, limits, stall_timeout, budget, events, wrap)
    }

    /// Serves requests with `stall_timeout` in place of the default.
    ///
    /// # Errors
    /// Fails when the library can't use the listener or no thread can be
    /// started.
    pub fn spawn_with_stall_timeout<E: Send + 'static>(
        listener: TcpListener,
        limits: ServerLimits,
        stall_timeout: Duration,
        budget: CallerBudget,
        events: EventSender<E>,
        wrap: fn(HttpEvent) -> E,
    ) -> Result<Self> {
        let inner = bind_upstream()?;
        let upstream = inner.local_addr()?;
        let server = Server::from_listener(inner, None).map_err(|err| anyhow!("{err}"))?;
        let senders = PartSenders::default();
        let proxy_senders = senders.clone();
        // Dropping the sender makes the request's thread report that the caller
        // has disconnected.
        let notify_disconnect = move |request| drop(lock(&proxy_senders).remove(&request));
        let proxy = FrontProxy::spawn(
            listener,
            upstream,
            proxy_limits(limits, stall_timeout),
            budget.clone(),
            notify_disconnect,
        )?;
        let shared = Arc::new(ServerState {
            limits,
            proxy: proxy.clone(),
            pool: SegmentPool::open(budget.limits().memory / BODY_COPIES),
            budget,
            senders: senders.clone(),
            events,
            wrap,
            next_request: AtomicU64::new(1),
            in_flight_count: AtomicUsize::new(0),
        });
        thread::Builder::new()
            .name("http".to_owned())
            .spawn(move || accept_requests(&server, &shared))?;
        Ok(HttpServer { senders, proxy })
    }

    /// Refuses the requests that are not passed to the role yet, and further ones.
    pub fn refuse_unread(&self) {
        self.proxy.refuse_unread();
    }

    /// Queues a part of a response; the connection of a caller that is too slow
    /// is closed.
    pub fn send_response_part(&self, request: RequestId, part: ResponsePart) {
        let mut senders = lock(&self.senders);
        let last = matches!(part, ResponsePart::End | ResponsePart::Abort);
        let Some(sender) = senders.get(&request) else {
            return;
        };
        if !sender.send(part) || last {
            senders.remove(&request);
        }
    }
}

fn proxy_limits(limits: ServerLimits, stall_timeout: Duration) -> ProxyLimits {
    let wanted = limits.max_requests.saturating_mul(CONNECTIONS_PER_REQUEST);
    ProxyLimits {
        max_connections: wanted,
        connection: ConnectionLimits {
            max_body: limits.max_body as u64,
            stall_timeout,
        },
    }
}

/// Binds the library's listener; accepted connections inherit both socket
/// options.
fn bind_upstream() -> Result<TcpListener> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let socket = SockRef::from(&listener);
    socket.set_tcp_nodelay(true)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    Ok(listener)
}

/// Binds a listener for HTTP, whose connections have socket buffers of the budget's size.
///
/// # Errors
/// Fails when the address can't be bound.
pub fn bind_http(address: SocketAddr, budget: &CallerBudget) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(address).map_err(|err| anyhow!("can't listen on {address}: {err}"))?;
    // Accepted connections inherit the size, which bounds what arrives before it is read.
    let receive_buffer = budget.limits().receive_buffer;
    SockRef::from(&listener).set_recv_buffer_size(receive_buffer)?;
    Ok(listener)
}

fn accept_requests<E: Send + 'static>(server: &Server, shared: &Arc<ServerState<E>>) {
    loop {
        let request = match server.recv() {
            Ok(request) => request,
            Err(err) => {
                spdlog::error!("http: listener failed: {}", err);
                return;
            }
        };
        if shared.in_flight_count.fetch_add(1, Ordering::Relaxed) >= shared.limits.max_requests {
            shared.in_flight_count.fetch_sub(1, Ordering::Relaxed);
            shared.refuse(request, OVERLOADED);
            continue;
        }
        let worker = shared.clone();
        let spawned = thread::Builder::new()
            .name("http request".to_owned())
            .spawn(move || {
                worker.serve_request(request);
                worker.in_flight_count.fetch_sub(1, Ordering::Relaxed);
            });
        if let Err(err) = spawned {
            shared.in_flight_count.fetch_sub(1, Ordering::Relaxed);
            spdlog::error!("http: can't start a thread: {}", err);
        }
    }
}

impl<E: Send> ServerState<E> {
    /// Serves one request on the current thread.
    fn serve_request(&self, mut request: Request) {
        let port = peer_port(&request);
        if request
            .body_length()
            .is_none_or(|len| len > PREREAD_BODY_MAX)
        {
            self.proxy.notify_reading(port);
        }
        let body = match read_body(&mut request, self.limits.max_body, &self.pool) {
            Ok(body) if self.proxy.start_request(port) => body.into_bytes(),
            Ok(_) => return self.refuse(request, BAD_BODY),
            Err(refusal) => return self.refuse(request, refusal),
        };
        // Holds the memory until the response is written.
        let _decoded = match self.take_decoded(&body) {
            Ok(charge) => charge,
            Err(refusal) => return self.refuse(request, refusal),
        };
        let http = http_request(&request, body);
        let allows_chunks = *request.http_version() >= tiny_http::HTTPVersion(1, 1);
        let bodyless = *request.method() == Method::Head;
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (sender, parts) = PartSender::open(&self.budget);
        lock(&self.senders).insert(id, sender);
        self.proxy.notify_started(port, id);
        let event = (self.wrap)(HttpEvent::Request { request: id, http });
        if self.events.try_send(event).is_err() {
            lock(&self.senders).remove(&id);
            let close = CloseMode::Close;
            self.proxy.notify_finished(port, Some(id), close, false);
            return self.refuse(request, OVERLOADED);
        }
        let mut writer = HttpWriter::new(request.into_writer(), allows_chunks, bodyless);
        let (is_complete, is_success) = write_response(&mut writer, &parts);
        lock(&self.senders).remove(&id);
        let close = if !is_complete {
            CloseMode::Reset
        } else if writer.is_undelimited() {
            CloseMode::Close
        } else {
            CloseMode::KeepAlive
        };
        self.proxy
            .notify_finished(port, Some(id), close, is_success);
        drop(writer);
        if !is_complete {
            let disconnected = HttpEvent::Disconnected { request: id };
            self.events.send((self.wrap)(disconnected));
        }
    }

    /// Takes the memory for decoding a body, in addition to the body's own.
    fn take_decoded(&self, body: &[u8]) -> Result<CallerCharge, HttpRefusal> {
        let mut charge = self.budget.charge();
        let decoded = match self.limits.request_use {
            RequestUse::Decoded => decoded_memory(body),
            RequestUse::Answered | RequestUse::Forwarded => 0,
        };
        if decoded == 0 || charge.take(decoded, decoded) {
            return Ok(charge);
        }
        self.budget.count(RefusalKind::Request);
        match self.budget.can_hold(decoded) {
            true => Err(OVERLOADED),
            false => Err(BODY_TOO_LARGE),
        }
    }

    /// Sends an error response to a request that is not passed to the role, and
    /// closes the connection.
    fn refuse(&self, request: Request, refusal: HttpRefusal) {
        let port = peer_port(&request);
        let bodyless = *request.method() == Method::Head;
        // The library reads the rest of the body before it responds; the proxy
        // ends the body by closing its sending side.
        let close = CloseMode::Close;
        self.proxy.notify_finished(port, None, close, false);
        let mut writer = HttpWriter::new(request.into_writer(), true, bodyless);
        for part in refusal.parts() {
            if writer.write(part).is_err() {
                return;
            }
        }
    }
}

/// Returns the port that identifies the request's connection in the proxy.
fn peer_port(request: &Request) -> u16 {
    request.remote_addr().map_or(0, SocketAddr::port)
}

/// Writes the parts of a response; returns whether it was written completely, and whether
/// its status is one of success.
fn write_response<W: std::io::Write>(
    writer: &mut HttpWriter<W>,
    parts: &PartReceiver,
) -> (bool, bool) {
    let mut is_success = false;
    loop {
        // The sender was dropped before the end: the caller hung up or was too
        // slow.
        let part = parts.next().unwrap_or(ResponsePart::Abort);
        if let ResponsePart::Head { status, .. } = part {
            is_success = status < ERROR_STATUS;
        }
        match writer.write(part) {
            Ok(true) => return (true, is_success),
            Ok(false) => {}
            Err(_) => return (false, is_success),
        }
    }
}

/// Reads a body, which may be cut off if it is chunked.
fn read_body(
    request: &mut Request,
    max_body: usize,
    pool: &Arc<SegmentPool>,
) -> Result<ReadBody, HttpRefusal> {
    let stated_len = request.body_length();
    if let Some(len) = stated_len.filter(|len| *len <= SEGMENT_LEN) {
        let mut body = vec![0; len];
        let read = request.as_reader().read_exact(&mut body);
        read.map_err(|_| BAD_BODY)?;
        return Ok(ReadBody::Whole(Bytes::from(body)));
    }
    let mut body = SegmentedBody::new(pool.clone());
    body.read_all(request.as_reader(), max_body)?;
    if stated_len.is_some_and(|len| body.len() < len) {
        return Err(BAD_BODY);
    }
    Ok(ReadBody::Segmented(body))
}

fn http_request(request: &Request, body: Bytes) -> HttpRequest {
    let headers = request.headers().iter().map(|header| HeaderField {
        name: Bytes::copy_from_slice(header.field.as_str().as_str().as_bytes()),
        value: Bytes::copy_from_slice(header.value.as_str().as_bytes()),
    });
    HttpRequest {
        method: Bytes::from(request.method().as_str().to_owned()),
        path: Bytes::from(request.url().to_owned()),
        headers: headers.collect(),
        body,
    }
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
