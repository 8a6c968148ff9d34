//! Calls in work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use mulberrywell_role::{ExchangeId, HttpRequest, RequestId};
use mulberrywell_serving::EndpointId;
use mulberrywell_wire::request::HeaderField;
use mulberrywell_wire::serving::{RepeatRule, ServingRoute};

use crate::call_codec::CallTerms;
use crate::event_splitter::EventSplitter;

/// What a route asks of its calls.
#[derive(Debug, Clone)]
pub struct RouteTerms {
    /// Name of the route.
    pub name: Bytes,
    /// May run more than once.
    pub is_idempotent: bool,
    /// A stream of events.
    pub is_stream: bool,
    /// Latency objective.
    pub objective: Duration,
    /// Endpoints that the call may be sent to.
    pub max_attempts: u32,
}

impl RouteTerms {
    /// Reads a route.
    pub fn of(route: &ServingRoute) -> Self {
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
            max_attempts: route.max_attempts.max(1),
        }
    }
}

/// How far a call is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStage {
    /// Waits for an endpoint that takes it.
    Endpoint,
    /// Is in an exchange.
    Running(ExchangeId),
}

/// Whether an endpoint may have run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// None has.
    No,
    /// One may have.
    Maybe,
}

/// The head of an answer that is held until its body shows that it counts.
#[derive(Debug, Clone)]
pub struct HeldHead {
    /// HTTP status.
    pub status: u16,
    /// Fields.
    pub headers: Vec<HeaderField>,
}

/// The answer of the attempt in work.
#[derive(Debug, Default)]
pub struct OpenAnswer {
    /// Set once the head has come.
    pub head: Option<HeldHead>,
    /// The endpoint says that it did not run the call.
    pub not_run: bool,
    /// The status promises what the endpoint does not say.
    pub unclear: bool,
    /// The endpoint is another one, or lacks the model.
    pub misdirected: bool,
    /// The body is a stream of events.
    pub is_stream: bool,
    /// Body so far, for an answer that is sent on whole.
    pub body: BytesMut,
}

/// One call.
#[derive(Debug)]
pub struct CallRecord {
    /// Its request.
    pub http: HttpRequest,
    /// What it says.
    pub terms: CallTerms,
    /// What its route asks.
    pub route: RouteTerms,
    /// Service that it goes to.
    pub service: Bytes,
    /// Account that it runs for; none on a route open to all.
    pub account: Option<Bytes>,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Version of the configuration that it was admitted by.
    pub version: u64,
    /// Chain hashes of its prompt.
    pub chain: Vec<u64>,
    /// When it came.
    pub started: Instant,
    /// When its caller is told last.
    pub deadline: Instant,
    /// When its attempt counts as failed.
    pub attempt_deadline: Option<Instant>,
    /// How far it is.
    pub stage: CallStage,
    /// Whether it may have run.
    pub ran: RunState,
    /// Endpoints that it was sent to.
    pub attempts: u32,
    /// Endpoints that are not to be tried again.
    pub tried: Vec<EndpointId>,
    /// Endpoint of the attempt in work.
    pub endpoint: EndpointId,
    /// Prompt tokens counted at that endpoint.
    pub unread_tokens: u64,
    /// Units taken from the account's rate.
    pub reserved: u64,
    /// Units that the call counts.
    pub units: u64,
    /// Answer of the attempt in work.
    pub answer: OpenAnswer,
    /// Events of the answer so far.
    pub events: EventSplitter,
    /// The caller has a head.
    pub head_sent: bool,
    /// When it was first handed to an endpoint.
    pub handed: Option<Instant>,
    /// When the caller was sent the first piece.
    pub first_piece: Option<Instant>,
    /// When the caller was sent the latest piece.
    pub last_piece: Option<Instant>,
    /// Longest time between two pieces.
    pub longest_pause: Duration,
}

/// All calls.
#[derive(Debug, Default)]
pub struct CallBook {
    calls: BTreeMap<RequestId, CallRecord>,
    exchanges: BTreeMap<ExchangeId, RequestId>,
    /// When to look at calls; an entry may be of no use any more.
    alarms: BTreeSet<(Instant, RequestId)>,
    /// Calls that wait for an endpoint, by their arrival.
    waiting: BTreeSet<RequestId>,
    next_exchange: ExchangeId,
}

impl CallBook {
    /// Adds a call.
    pub fn insert(&mut self, request: RequestId, call: CallRecord) {
        self.alarms.insert((call.deadline, request));
        self.calls.insert(request, call);
    }

    /// Returns a call.
    pub fn get(&self, request: RequestId) -> Option<&CallRecord> {
        self.calls.get(&request)
    }

    /// Returns a call to change it.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut CallRecord> {
        self.calls.get_mut(&request)
    }

    /// Ends a call.
    pub fn remove(&mut self, request: RequestId) -> Option<CallRecord> {
        self.waiting.remove(&request);
        let call = self.calls.remove(&request)?;
        self.alarms.remove(&(call.deadline, request));
        if let CallStage::Running(exchange) = call.stage {
            self.exchanges.remove(&exchange);
        }
        Some(call)
    }

    /// Tells whether no call is in work.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns how many calls are in work.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Puts a call into a new exchange; returns its id.
    pub fn begin_exchange(&mut self, request: RequestId) -> ExchangeId {
        self.next_exchange += 1;
        self.waiting.remove(&request);
        self.exchanges.insert(self.next_exchange, request);
        if let Some(call) = self.calls.get_mut(&request) {
            call.stage = CallStage::Running(self.next_exchange);
        }
        self.next_exchange
    }

    /// Returns whose exchange it is.
    pub fn request_of(&self, exchange: ExchangeId) -> Option<RequestId> {
        self.exchanges.get(&exchange).copied()
    }

    /// Takes a call out of its exchange.
    pub fn end_exchange(&mut self, exchange: ExchangeId) -> Option<RequestId> {
        self.exchanges.remove(&exchange)
    }

    /// Lets a call wait for an endpoint.
    pub fn wait(&mut self, request: RequestId) {
        if let Some(call) = self.calls.get_mut(&request) {
            call.stage = CallStage::Endpoint;
            self.waiting.insert(request);
        }
    }

    /// Returns all calls.
    pub fn requests(&self) -> Vec<RequestId> {
        self.calls.keys().copied().collect()
    }

    /// Returns the calls that wait for an endpoint.
    pub fn waiting(&self) -> Vec<RequestId> {
        self.waiting.iter().copied().collect()
    }

    /// Asks for a look at a call.
    pub fn set_alarm(&mut self, at: Instant, request: RequestId) {
        self.alarms.insert((at, request));
    }

    /// Takes the next call whose time has come.
    pub fn next_due(&mut self, now: Instant) -> Option<RequestId> {
        let (at, request) = *self.alarms.first()?;
        if at > now {
            return None;
        }
        self.alarms.pop_first();
        Some(request)
    }

    /// Returns when [`CallBook::next_due`] has something to do.
    pub fn deadline(&self) -> Option<Instant> {
        self.alarms.first().map(|(at, _)| *at)
    }
}
