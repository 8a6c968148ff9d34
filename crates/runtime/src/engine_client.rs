//! HTTP client for the endpoint of an agent, on the same machine.
//!
//! Each forwarded request runs on its own thread, because the HTTP client
//! blocks; the agent's slots limit their number. Each call has a connection of its own,
//! as responses name no request: a late copy of an earlier one could not be told from
//! the response that is awaited. The engine's interface is:
//!
//! * inference: the caller's method, path and body, with `X-Request-Id`,
//!   `X-Priority`, `X-Deadline-Ms` and `X-Resume-Events`;
//! * `POST /engine/cancel` with `{"request": ID}`;
//! * `GET /engine/state`;
//! * `POST /engine/load`, `/engine/unload` and `/engine/role`, each with
//!   `fencing`. Status 409 rejects an order with an outdated fencing token.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use mulberrywell_agent::{
    AgentEvent, EngineOrder, EngineRequest, EngineState, OrderKind, OrderOutcome, ResidentModel,
    RunId,
};
use mulberrywell_wire::request::HeaderField;
use serde_json::{json, Value};
use ureq::http::header::TRANSFER_ENCODING;
use ureq::http::{Request, Response, Version};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, Body};

use crate::endpoint_connector::EndpointConnector;
use crate::event_sender::EventSender;

/// Timeout for state and cancel calls and for connecting.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for connecting to an endpoint that broke off a request.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(10);

/// Timeout for one order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

/// Statuses of a response that isn't an interim one.
const STATUSES: RangeInclusive<u16> = 200..=599;

/// Size in bytes of one read of a response.
const READ_LEN: usize = 16 * 1024;

/// Operations of an agent on its endpoint.
pub trait EndpointClient {
    /// Forwards a request; the results follow as events.
    fn run(&self, run: RunId, request: EngineRequest);
    /// Cancels a forwarded request.
    fn cancel(&self, run: RunId);
    /// Queries the state; the result follows as an event.
    fn read_state(&self);
    /// Sends an order; the outcome follows as an event.
    fn send_order(&self, order: EngineOrder);
}

type CancelFlags = Arc<Mutex<BTreeMap<RunId, Arc<AtomicBool>>>>;

/// An endpoint on this machine that is reached over HTTP.
pub struct HttpEndpoint {
    base: String,
    address: SocketAddr,
    /// Part of the request ids, so that they differ between runs of the agent.
    incarnation: u64,
    is_engine: bool,
    agent: Agent,
    events: EventSender<AgentEvent>,
    /// Cancellation flag of each forwarded request in flight.
    cancel_flags: CancelFlags,
}

impl HttpEndpoint {
    /// Creates a client; it connects with the first call.
    pub fn open(
        address: SocketAddr,
        is_engine: bool,
        incarnation: u64,
        events: EventSender<AgentEvent>,
    ) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CALL_TIMEOUT))
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .max_redirects(0)
            .build();
        HttpEndpoint {
            base: format!("http://{address}"),
            address,
            incarnation,
            is_engine,
            agent: Agent::with_parts(config, EndpointConnector, DefaultResolver::default()),
            events,
            cancel_flags: CancelFlags::default(),
        }
    }

    fn spawn(&self, name: &str, task: impl FnOnce() + Send + 'static) -> bool {
        let spawned = thread::Builder::new().name(name.to_owned()).spawn(task);
        if let Err(err) = &spawned {
            spdlog::error!("endpoint: can't start a thread: {}", err);
        }
        spawned.is_ok()
    }

    fn request_id(&self, run: RunId) -> String {
        format!("{:x}-{run:x}", self.incarnation)
    }
}

impl EndpointClient for HttpEndpoint {
    fn run(&self, run: RunId, request: EngineRequest) {
        let cancel_flag = Arc::new(AtomicBool::new(false));
        lock(&self.cancel_flags).insert(run, cancel_flag.clone());
        let task = RunTask {
            run,
            id: self.request_id(run),
            base: self.base.clone(),
            address: self.address,
            agent: self.agent.clone(),
            events: self.events.clone(),
            cancel_flag,
        };
        let cancel_flags = self.cancel_flags.clone();
        let started = self.spawn("hand-over", move || {
            let last_event = task.perform(&request);
            lock(&cancel_flags).remove(&run);
            task.events.send(last_event);
        });
        if !started {
            lock(&self.cancel_flags).remove(&run);
            // The queue has room for this event, because the agent limits its
            // runs.
            let _ = self.events.try_send(unsent(run));
        }
    }

    fn cancel(&self, run: RunId) {
        let Some(cancel_flag) = lock(&self.cancel_flags).get(&run).cloned() else {
            return;
        };
        cancel_flag.store(true, Ordering::Relaxed);
        if !self.is_engine {
            return;
        }
        let url = format!("{}/engine/cancel", self.base);
        let body = json!({ "request": self.request_id(run) });
        let agent = self.agent.clone();
        self.spawn("cancel", move || {
            let _ = post(&agent, &url, &body, CALL_TIMEOUT);
        });
    }

    fn read_state(&self) {
        let path = if self.is_engine {
            "/engine/state"
        } else {
            "/healthz"
        };
        let url = format!("{}{path}", self.base);
        let (agent, events, is_engine) = (self.agent.clone(), self.events.clone(), self.is_engine);
        self.spawn("state", move || {
            let state = read_state(&agent, &url, is_engine);
            events.send(AgentEvent::State(state));
        });
    }

    fn send_order(&self, order: EngineOrder) {
        let (path, body) = order_body(&order);
        let url = format!("{}{path}", self.base);
        let (agent, events) = (self.agent.clone(), self.events.clone());
        self.spawn("order", move || {
            let outcome = match post(&agent, &url, &body, ORDER_TIMEOUT) {
                Some(status) if (200..300).contains(&status) => OrderOutcome::Done,
                Some(status) if (400..500).contains(&status) => OrderOutcome::Refused,
                _ => OrderOutcome::Unknown,
            };
            events.send(AgentEvent::OrderEnded {
                order: order.order,
                outcome,
            });
        });
    }
}

/// One forwarded request on its thread.
struct RunTask {
    run: RunId,
    id: String,
    base: String,
    address: SocketAddr,
    agent: Agent,
    events: EventSender<AgentEvent>,
    cancel_flag: Arc<AtomicBool>,
}

impl RunTask {
    /// Runs the request and returns its last event.
    fn perform(&self, request: &EngineRequest) -> AgentEvent {
        let run = self.run;
        if self.cancel_flag.load(Ordering::Relaxed) {
            return unsent(run);
        }
        let response = match self.send(request) {
            Ok(response) if !is_readable(&response) => return self.failed(FailureCause::Broken),
            Ok(response) => response,
            Err(None) => return unsent(run),
            Err(Some(cause)) => return self.failed(cause),
        };
        let status = response.status().as_u16();
        let headers = response.headers().iter().map(|(name, value)| HeaderField {
            name: Bytes::copy_from_slice(name.as_str().as_bytes()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        let headers = headers.collect();
        self.events.send(AgentEvent::Head {
            run,
            status,
            headers,
        });
        self.forward_body(response)
    }

    /// Sends the request; an error has a cause if a byte of it may have been sent.
    fn send(&self, request: &EngineRequest) -> Result<Response<Body>, Option<FailureCause>> {
        let uri = format!("{}{}", self.base, String::from_utf8_lossy(&request.path));
        let mut builder = Request::builder().method(request.method.as_ref()).uri(uri);
        for field in &request.headers {
            builder = builder.header(field.name.as_ref(), field.value.as_ref());
        }
        let built = builder
            .header("X-Request-Id", &self.id)
            .header("X-Priority", request.priority)
            .header("X-Deadline-Ms", request.deadline_ms)
            .header("X-Resume-Events", request.resume_events)
            .body(request.body.to_vec())
            .map_err(|_| None)?;
        let timeout = Duration::from_millis(request.deadline_ms.max(1));
        let configured = self
            .agent
            .configure_request(built)
            .timeout_global(Some(timeout))
            .allow_non_standard_methods(true)
            .build();
        self.agent.run(configured).map_err(|err| match &err {
            err if is_unsent(err) => None,
            ureq::Error::Timeout(_) => Some(FailureCause::TimedOut),
            _ => Some(FailureCause::Broken),
        })
    }

    fn forward_body(&self, response: Response<Body>) -> AgentEvent {
        let run = self.run;
        let mut reader = response.into_body().into_reader();
        let mut buf = vec![0; READ_LEN];
        loop {
            if self.cancel_flag.load(Ordering::Relaxed) {
                return self.failed(FailureCause::Cancelled);
            }
            match reader.read(&mut buf) {
                Ok(0) => return AgentEvent::End { run },
                Ok(len) => {
                    let data = Bytes::copy_from_slice(&buf[..len]);
                    self.events.send(AgentEvent::Part { run, data });
                }
                Err(err) if err.kind() == ErrorKind::TimedOut => {
                    return self.failed(FailureCause::TimedOut);
                }
                Err(_) => return self.failed(FailureCause::Broken),
            }
        }
    }

    /// Returns the last event of a request of which a byte may have been sent. An
    /// endpoint that breaks a request off and refuses connections has crashed; one that
    /// accepts them has broken off the response only.
    fn failed(&self, cause: FailureCause) -> AgentEvent {
        let crashed = cause == FailureCause::Broken && refuses_connections(self.address);
        AgentEvent::Failed {
            run: self.run,
            sent: true,
            crashed,
        }
    }
}

/// Why a request failed after its first byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailureCause {
    /// The endpoint broke off the connection.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The entry cancelled the request.
    Cancelled,
}

fn unsent(run: RunId) -> AgentEvent {
    AgentEvent::Failed {
        run,
        sent: false,
        crashed: false,
    }
}

/// Probes an endpoint twice, as one that ends may close its connections before it
/// closes its listener.
fn refuses_connections(address: SocketAddr) -> bool {
    let is_refused = || {
        let probed = TcpStream::connect_timeout(&address, PROBE_TIMEOUT);
        probed.is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused)
    };
    is_refused() || {
        thread::sleep(PROBE_PAUSE);
        is_refused()
    }
}

/// Returns whether the client reads a response as its sender wrote it.
///
/// The client returns a 101, which is not the response that is awaited, and statuses that no
/// response has (RFC 9110, section 15). It ignores a
/// transfer coding other than chunked, and any in HTTP/1.0 (RFC 9112, section 6.1): the
/// coded bytes until the close would pass for the body, however early they end.
fn is_readable(response: &Response<Body>) -> bool {
    let is_final = STATUSES.contains(&response.status().as_u16());
    let mut codings = response.headers().get_all(TRANSFER_ENCODING).iter();
    let is_decoded = codings.next().is_none_or(|coding| {
        let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        is_chunked && codings.next().is_none() && response.version() == Version::HTTP_11
    });
    is_final && is_decoded
}

/// Returns whether an error is certain to have occurred before the first byte
/// was sent.
fn is_unsent(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn post(agent: &Agent, url: &str, body: &Value, timeout: Duration) -> Option<u16> {
    let response = agent
        .post(url)
        .config()
        .timeout_global(Some(timeout))
        .build()
        .header("Content-Type", "application/json")
        .send(body.to_string());
    response.ok().map(|response| response.status().as_u16())
}

fn read_state(agent: &Agent, url: &str, is_engine: bool) -> Option<EngineState> {
    let mut response = agent
        .get(url)
        .config()
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .call()
        .ok()?;
    if !response.status().is_success() {
        return None;
    }
    if !is_engine {
        return Some(EngineState::default());
    }
    let text = response.body_mut().read_to_string().ok()?;
    parse_state(&serde_json::from_str(&text).ok()?)
}

fn parse_state(value: &Value) -> Option<EngineState> {
    let models = value["models"].as_array()?;
    Some(EngineState {
        models: models.iter().filter_map(parse_model).collect(),
        fencing: value["fencing"].as_u64().unwrap_or(0),
        role: text(&value["role"]),
        prefixes: value["prefixes"]
            .as_array()
            .map(|list| list.iter().filter_map(Value::as_u64).collect())
            .unwrap_or_default(),
    })
}

fn parse_model(value: &Value) -> Option<ResidentModel> {
    Some(ResidentModel {
        model: Bytes::from(value["model"].as_str()?.to_owned()),
        version: text(&value["version"]),
        memory_mib: value["memory_mib"].as_u64()?,
        ready: value["ready"].as_bool()?,
    })
}

fn text(value: &Value) -> Bytes {
    Bytes::from(value.as_str().unwrap_or_default().to_owned())
}

fn order_body(order: &EngineOrder) -> (&'static str, Value) {
    let name = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let fencing = order.fencing;
    match &order.kind {
        OrderKind::Load {
            model,
            version,
            base,
            memory_mib,
        } => (
            "/engine/load",
            json!({
                "model": name(model),
                "version": name(version),
                "base": name(base),
                "memory_mib": memory_mib,
                "fencing": fencing,
            }),
        ),
        OrderKind::Unload { model } => (
            "/engine/unload",
            json!({ "model": name(model), "fencing": fencing }),
        ),
        OrderKind::ChangeRole { role } => (
            "/engine/role",
            json!({ "role": name(role), "fencing": fencing }),
        ),
    }
}

fn lock(cancel_flags: &CancelFlags) -> std::sync::MutexGuard<'_, BTreeMap<RunId, Arc<AtomicBool>>> {
    cancel_flags.lock().unwrap_or_else(PoisonError::into_inner)
}
