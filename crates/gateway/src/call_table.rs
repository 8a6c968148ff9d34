//! The table of calls in progress.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use mulberrywell_limit::PartId;
use mulberrywell_policy::{stable_hash, PromptPart};
use mulberrywell_role::{ExchangeId, HttpRequest, LinkId, RequestId};
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::request::HeaderField;
use mulberrywell_wire::serving::{RepeatRule, ServingRoute};

use crate::call_codec::{CallTerms, MemoryCopy};
use crate::endpoint_table::EndpointNeeds;
use crate::event_splitter::EventSplitter;

/// Statuses of success.
const SUCCESS_STATUSES: Range<u16> = 200..300;

/// Properties of a route that apply to its calls.
#[derive(Debug, Clone)]
pub struct RouteTerms {
    /// Name of the route.
    pub name: Bytes,
    /// Whether a call may run more than once.
    pub is_idempotent: bool,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Latency objective.
    pub objective: Duration,
    /// Longest pause between events that is in time; zero if the route names none.
    pub pause: Duration,
    /// Whether its calls can yield to urgent ones of the same service.
    pub is_deferrable: bool,
    /// Maximum number of attempts of a call.
    pub max_attempts: u32,
}

impl RouteTerms {
    /// Extracts the properties of a route.
    pub fn of(route: &ServingRoute, is_deferrable: bool) -> Self {
        let repeat = route.repeat();
        RouteTerms {
            name: route.name.clone(),
            is_idempotent: match repeat {
                RepeatRule::Once => false,
                RepeatRule::Safe => true,
                RepeatRule::Stream => route.resumable,
            },
            is_stream: repeat == RepeatRule::Stream,
            objective: Duration::from_millis(route.objective_ms),
            pause: Duration::from_millis(route.pause_ms),
            is_deferrable,
            max_attempts: route.max_attempts.max(1),
        }
    }
}

/// How a call is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionClass {
    /// At once; its service has no deferrable routes.
    Immediate,
    /// Before deferrable calls of its service.
    Urgent,
    /// Yields to urgent calls of its service.
    Deferrable,
}

impl AdmissionClass {
    /// Returns whether the call yields to urgent calls.
    pub fn is_deferrable(self) -> bool {
        self == AdmissionClass::Deferrable
    }

    /// Returns the name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            AdmissionClass::Immediate => "immediate",
            AdmissionClass::Urgent => "urgent",
            AdmissionClass::Deferrable => "deferrable",
        }
    }
}

/// Progress of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStage {
    /// The call has no exchange and waits for an endpoint.
    Waiting,
    /// The call is in an exchange with an endpoint.
    Running(ExchangeId),
}

/// The software version at which a call's stream may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamVersion {
    /// Any: the stream has not begun.
    Any,
    /// The caller takes up a stream whose version isn't known yet.
    Unresolved,
    /// The one that began the stream.
    Bound(Bytes),
    /// None: one of two versions brought its events.
    Disputed,
}

/// Whether an endpoint may have run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// No endpoint has run it.
    No,
    /// An endpoint may have run it.
    Maybe,
}

/// Identifies a trial among those of this gateway.
pub type TrialSequence = u64;

/// State of a call's trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallTrial {
    /// The call has no trial.
    None,
    /// The leader has granted one; the answer came on this link, on which its end is told.
    Granted(LinkId, TrialSequence),
    /// There was no leader to ask, or it restricts nothing of the call. Other gateways may
    /// forward calls of the same suspects.
    Shared,
    /// The endpoint broke it off.
    Broken,
}

impl CallTrial {
    /// Returns whether the call has a trial that has not ended.
    pub fn is_open(self) -> bool {
        matches!(self, CallTrial::Granted(..) | CallTrial::Shared)
    }

    /// Returns whether no other call of the same suspects is at any endpoint.
    pub fn is_exclusive(self) -> bool {
        matches!(self, CallTrial::Granted(..))
    }
}

/// A response head that is buffered until the body shows whether the response
/// is valid.
#[derive(Debug, Clone)]
pub struct BufferedHead {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
}

/// The response of the current attempt.
#[derive(Debug, Default)]
pub struct PendingResponse {
    /// Set once the head has been received, until it is sent to the caller.
    pub head: Option<BufferedHead>,
    /// Status of the head; 0 before it was received.
    pub status: u16,
    /// The body has a length or chunks; otherwise it ends with the connection.
    pub is_delimited: bool,
    /// The endpoint reports that it did not run the call.
    pub not_run: bool,
    /// The status implies that the call has not run, but the endpoint does not
    /// confirm it.
    pub run_unconfirmed: bool,
    /// The call reached the wrong endpoint, or one without the model.
    pub misdirected: bool,
    /// The endpoint was asked to stop the run, and hasn't answered that it had ended
    /// before.
    pub may_be_stopped: bool,
    /// The body is a stream of events.
    pub is_stream: bool,
    /// The body can continue a stream of events that has begun.
    pub continues_stream: bool,
    /// When the first piece was forwarded.
    pub first_event: Option<Instant>,
    /// Position of the first event.
    pub first_position: u64,
    /// The response has shown that the prompt doesn't crash its endpoint.
    pub has_lasted: bool,
    /// Body received so far, for a response that is buffered.
    pub body: BytesMut,
}

impl PendingResponse {
    /// Returns whether the status is one of success.
    pub fn is_success(&self) -> bool {
        SUCCESS_STATUSES.contains(&self.status)
    }
}

/// What an engine was to do when a call was forwarded to it.
#[derive(Debug, Clone, Copy)]
pub struct EngineWork {
    /// Prompt tokens awaiting prefill, those of the call included.
    pub prefill_tokens: u64,
    /// The part of them that is the call's.
    pub own_tokens: u64,
    /// Tokens of memory that the call needs.
    pub held_tokens: u64,
    /// Output tokens of an event.
    pub tokens_per_event: u32,
}

impl EngineWork {
    /// Returns whether at least half of the tokens are the call's. The others are known
    /// with a delay, so that the time to the first event says little of the engine.
    pub fn is_mostly_own(&self) -> bool {
        self.own_tokens >= self.prefill_tokens / 2
    }
}

/// State of one call.
#[derive(Debug)]
pub struct CallRecord {
    /// The caller's request.
    pub http: HttpRequest,
    /// Properties of the request.
    pub terms: CallTerms,
    /// Properties of the route.
    pub route: RouteTerms,
    /// Service that the call is routed to.
    pub service: Bytes,
    /// Account that the call runs for; none on an open route.
    pub account: Option<Bytes>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// How the call is admitted.
    pub class: AdmissionClass,
    /// The call has yielded to urgent calls.
    pub was_deferred: bool,
    /// Configuration version under which the call was admitted.
    pub version: u64,
    /// Chain hashes of the prompt.
    pub chain: Vec<u64>,
    /// When the request arrived.
    pub started: Instant,
    /// When the call must have ended.
    pub deadline: Instant,
    /// When the current attempt times out.
    pub attempt_deadline: Option<Instant>,
    /// Progress of the call.
    pub stage: CallStage,
    /// Whether the call may have run.
    pub ran: RunState,
    /// Number of attempts made.
    pub attempts: u32,
    /// Endpoints excluded from further attempts.
    pub tried: Vec<EndpointId>,
    /// Version at which the stream may go on.
    pub version_bound: StreamVersion,
    /// Endpoint of the current attempt.
    pub endpoint: EndpointId,
    /// Start of that endpoint's process.
    pub endpoint_born_ms: u64,
    /// Software version of that endpoint.
    pub endpoint_software: Bytes,
    /// That endpoint has started again with another version during the attempt.
    pub is_version_unsure: bool,
    /// The endpoint of the current attempt had a limit when the call was forwarded.
    pub is_limited: bool,
    /// When the current attempt was forwarded.
    pub attempt_started: Option<Instant>,
    /// Time that the current attempt was expected to take, if it was forwarded in a
    /// shutdown and enough was known.
    pub expected: Option<Duration>,
    /// Prompt tokens counted at that endpoint as awaiting prefill.
    pub prefill_tokens: u64,
    /// What the current attempt's engine was to do when the call was forwarded; none
    /// where speeds aren't measured.
    pub engine_work: Option<EngineWork>,
    /// The trial that lets the call go to an endpoint although it may crash it.
    pub trial: CallTrial,
    /// Since when the call has needed a trial.
    pub trial_wanted: Option<Instant>,
    /// Units charged to the account's rate limit.
    pub reserved: u64,
    /// Units that the call costs.
    pub units: u64,
    /// Until then, the stream isn't moved.
    pub move_after: Option<Instant>,
    /// Copy of the run's memory that the current attempt goes on from.
    pub copy: Option<MemoryCopy>,
    /// Response of the current attempt.
    pub response: PendingResponse,
    /// Splitter of the response's event stream.
    pub events: EventSplitter,
    /// Whether the response head was sent to the caller.
    pub head_sent: bool,
    /// When the call was first forwarded to an endpoint.
    pub first_forwarded: Option<Instant>,
    /// When the first chunk was sent to the caller.
    pub first_chunk: Option<Instant>,
    /// When the latest chunk was sent to the caller.
    pub last_chunk: Option<Instant>,
    /// Longest time between two chunks.
    pub longest_gap: Duration,
    /// When the pace of the current attempt was last measured, and at which event.
    pub pace_mark: Option<(Instant, u64)>,
}

impl CallRecord {
    /// Returns a hash of what a request has in common with its repeats: method, host,
    /// path, account, body and prompt. A caller may state the prompt in a header alone,
    /// so that requests with the same body are no repeats.
    pub fn content_hash(&self) -> u64 {
        let account = self.account.as_deref().unwrap_or_default();
        let http = &self.http;
        let parts = [&http.method, &self.terms.host, &http.path];
        let [method, host, path] = parts.map(|part| part.as_ref());
        let prompt = self.terms.prefix.iter();
        let prompt: Vec<[u8; 8]> = prompt.map(|part| part.id.to_be_bytes()).collect();
        let prompt = prompt.concat();
        stable_hash(&[method, host, path, account, &http.body, &prompt])
    }

    /// Returns what may crash endpoints: the shared parts of the prompt, and the
    /// content.
    pub fn subjects(&self) -> Vec<PartId> {
        let parts = self.shared_parts().iter().map(|part| part.id);
        parts.chain([self.content_hash()]).collect()
    }

    /// Returns all prompt parts but the last, which is specific to the request.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let parts = &self.terms.prefix;
        &parts[..parts.len().saturating_sub(1)]
    }

    /// Returns what an endpoint must have for the next attempt.
    pub fn needs(&self) -> EndpointNeeds<'_> {
        EndpointNeeds {
            service: &self.service,
            model: self.terms.model.as_ref(),
            software: match &self.version_bound {
                StreamVersion::Bound(software) => Some(software),
                StreamVersion::Any | StreamVersion::Unresolved | StreamVersion::Disputed => None,
            },
            begins_stream: self.route.is_stream,
            tried: &self.tried,
        }
    }

    /// Returns whether a further attempt can continue the response that the caller
    /// has received so far.
    pub fn can_continue(&self) -> bool {
        let is_resumable = self.route.is_stream
            && self.route.is_idempotent
            && self.version_bound != StreamVersion::Disputed;
        !self.head_sent || (is_resumable && self.events.resume_position().is_some())
    }

    /// Returns whether the current attempt resumes a stream whose head was sent, and
    /// its response is of another kind, which must not reach the caller.
    pub fn is_resumption_refused(&self) -> bool {
        self.head_sent && self.response.head.is_some() && !self.response.continues_stream
    }
}

/// All calls in progress, with their exchanges and timers.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: BTreeMap<RequestId, CallRecord>,
    exchanges: BTreeMap<ExchangeId, RequestId>,
    /// Timers of calls. An entry may be stale: its call or attempt may have
    /// ended.
    timers: BTreeSet<(Instant, RequestId)>,
    /// Calls that wait for an endpoint, in order of arrival.
    waiting: BTreeSet<RequestId>,
    next_exchange: ExchangeId,
}

impl CallTable {
    /// Adds a call.
    pub fn insert(&mut self, request: RequestId, call: CallRecord) {
        self.timers.insert((call.deadline, request));
        self.calls.insert(request, call);
    }

    /// Returns a call.
    pub fn get(&self, request: RequestId) -> Option<&CallRecord> {
        self.calls.get(&request)
    }

    /// Returns a call for modification.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut CallRecord> {
        self.calls.get_mut(&request)
    }

    /// Removes a call.
    pub fn remove(&mut self, request: RequestId) -> Option<CallRecord> {
        self.waiting.remove(&request);
        let call = self.calls.remove(&request)?;
        self.timers.remove(&(call.deadline, request));
        if let CallStage::Running(exchange) = call.stage {
            self.exchanges.remove(&exchange);
        }
        Some(call)
    }

    /// Returns whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of calls in progress.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the id of a new exchange, which belongs to no call.
    pub fn new_exchange(&mut self) -> ExchangeId {
        self.next_exchange += 1;
        self.next_exchange
    }

    /// Starts an exchange for a call and returns the exchange's id.
    pub fn begin_exchange(&mut self, request: RequestId) -> ExchangeId {
        self.next_exchange += 1;
        self.waiting.remove(&request);
        self.exchanges.insert(self.next_exchange, request);
        if let Some(call) = self.calls.get_mut(&request) {
            call.stage = CallStage::Running(self.next_exchange);
        }
        self.next_exchange
    }

    /// Returns the request that an exchange belongs to.
    pub fn request_of_exchange(&self, exchange: ExchangeId) -> Option<RequestId> {
        self.exchanges.get(&exchange).copied()
    }

    /// Removes an exchange and returns its request.
    pub fn end_exchange(&mut self, exchange: ExchangeId) -> Option<RequestId> {
        self.exchanges.remove(&exchange)
    }

    /// Adds a call to those waiting for an endpoint.
    pub fn wait_for_endpoint(&mut self, request: RequestId) {
        if let Some(call) = self.calls.get_mut(&request) {
            call.stage = CallStage::Waiting;
            self.waiting.insert(request);
        }
    }

    /// Takes a call from those waiting for an endpoint, as it waits for an answer of
    /// control.
    pub fn park(&mut self, request: RequestId) {
        self.waiting.remove(&request);
        if let Some(call) = self.calls.get_mut(&request) {
            call.stage = CallStage::Waiting;
        }
    }

    /// Returns all calls.
    pub fn iter(&self) -> impl Iterator<Item = &CallRecord> {
        self.calls.values()
    }

    /// Returns the requests of all calls.
    pub fn requests(&self) -> Vec<RequestId> {
        self.calls.keys().copied().collect()
    }

    /// Returns the calls that wait for an endpoint.
    pub fn waiting(&self) -> Vec<RequestId> {
        self.waiting.iter().copied().collect()
    }

    /// Returns the records of the calls that wait for an endpoint.
    pub fn waiting_calls(&self) -> impl Iterator<Item = &CallRecord> {
        self.waiting
            .iter()
            .filter_map(|request| self.calls.get(request))
    }

    /// Schedules a check of a call.
    pub fn set_timer(&mut self, at: Instant, request: RequestId) {
        self.timers.insert((at, request));
    }

    /// Removes the next expired timer and returns its call.
    pub fn pop_due(&mut self, now: Instant) -> Option<RequestId> {
        let (at, request) = *self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        Some(request)
    }

    /// Returns when [`CallTable::pop_due`] is next due.
    pub fn deadline(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }
}
