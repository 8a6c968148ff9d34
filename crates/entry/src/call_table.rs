//! The calls in progress and their current attempts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use mulberrywell_directory::{AccountName, EndpointName, KeyDigest};
use mulberrywell_limit::Reservation;
use mulberrywell_role::{LinkId, RequestId};
use mulberrywell_wire::request::{AttemptId, HeaderField};

use crate::call_stage::CallStage;
use crate::event_stream::EventStream;

/// Number of a call, unique within one start of the entry.
pub type CallSequence = u64;

/// Target of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallTarget {
    /// A model engine that has the model resident.
    Model(Bytes),
    /// A plain service.
    Service(Bytes),
}

/// The attempt whose frames are accepted.
#[derive(Debug, Clone)]
pub struct CurrentAttempt {
    /// Number among the call's attempts, from 1.
    pub number: u32,
    /// Chosen endpoint.
    pub endpoint: EndpointName,
    /// Incarnation of the endpoint that the entry means to reach.
    pub incarnation: u64,
    /// Version of the endpoint's software.
    pub software: Bytes,
    /// Link to its agent.
    pub link: LinkId,
    /// When it was sent to the agent.
    pub started: Instant,
    /// When the response was begun.
    pub begun: Option<Instant>,
    /// Whether the response is one of success.
    pub is_success: bool,
    /// Whether the response has lasted, which shows that its content is sound.
    pub has_lasted: bool,
    /// Body bytes received from the attempt.
    pub received: u64,
    /// Whether status and headers were received.
    pub head_received: bool,
}

/// The claim of a call's idempotency key.
#[derive(Debug, Clone, Default)]
pub struct CallClaim {
    /// SHA-256 of the idempotency key.
    pub key: Bytes,
    /// SHA-256 of method, path and body.
    pub digest: Bytes,
    /// Id of the claim once it is granted; 0 before.
    pub claim: u64,
    /// When the claim was requested.
    pub requested: Option<Instant>,
    /// Status of the endpoint's response.
    pub status: u32,
    /// Media type of the endpoint's response.
    pub content_type: Bytes,
    /// Body of the endpoint's response received so far.
    pub body: BytesMut,
    /// The body is too long to be stored.
    pub too_long: bool,
}

/// One call in progress.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Id of the HTTP request.
    pub request: RequestId,
    /// Digest of the key; none on an open route.
    pub key: Option<KeyDigest>,
    /// Name of the account; empty on an open route.
    pub account: AccountName,
    /// What the call runs on.
    pub target: CallTarget,
    /// Method for the endpoint.
    pub method: Bytes,
    /// Path and query for the endpoint.
    pub path: Bytes,
    /// Headers for the endpoint.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the call is cancelled.
    pub deadline: Instant,
    /// When the request arrived.
    pub started: Instant,
    /// Stage of the call.
    pub stage: CallStage,
    /// Tokens needed from the account's bucket.
    pub reserved: u64,
    /// The reservation of those tokens, once made.
    pub reservation: Reservation,
    /// Set when the request may run only once and has an idempotency key.
    pub claim: Option<CallClaim>,
    /// An ended attempt may have run the request.
    pub may_have_run: bool,
    /// Set when the response is a stream of events.
    pub events: Option<EventStream>,
    /// Software version that began the stream; it goes on at no other.
    pub software: Option<Bytes>,
    /// The caller disconnected; the call goes on only for its outcome.
    pub detached: bool,
    /// Digest of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// Number of started attempts.
    pub attempts: u32,
    /// Longest retry delay received from an agent.
    pub retry_after: Duration,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// Endpoints already tried, which are excluded from further attempts.
    pub tried: Vec<EndpointName>,
    /// The current attempt; none before the first attempt and between attempts.
    pub attempt: Option<CurrentAttempt>,
    /// Whether status and headers were sent to the caller.
    pub head_sent: bool,
}

impl CallRecord {
    /// Returns the sum of prompt tokens and maximum output tokens.
    pub fn total_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// All calls in progress.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: BTreeMap<CallSequence, CallRecord>,
    /// Each value is a key of `calls`.
    by_request: BTreeMap<RequestId, CallSequence>,
    next_sequence: CallSequence,
}

impl CallTable {
    /// Adds a call.
    pub fn insert(&mut self, call: CallRecord) -> CallSequence {
        self.next_sequence += 1;
        self.by_request.insert(call.request, self.next_sequence);
        self.calls.insert(self.next_sequence, call);
        self.next_sequence
    }

    /// Returns a call.
    pub fn get(&self, sequence: CallSequence) -> Option<&CallRecord> {
        self.calls.get(&sequence)
    }

    /// Returns a call for modification.
    pub fn get_mut(&mut self, sequence: CallSequence) -> Option<&mut CallRecord> {
        self.calls.get_mut(&sequence)
    }

    /// Removes a call.
    pub fn remove(&mut self, sequence: CallSequence) -> Option<CallRecord> {
        let call = self.calls.remove(&sequence)?;
        self.by_request.remove(&call.request);
        Some(call)
    }

    /// Returns the call of a request.
    pub fn find_by_request(&self, request: RequestId) -> Option<CallSequence> {
        self.by_request.get(&request).copied()
    }

    /// Returns the call that has this as its current attempt. Frames of any
    /// other attempt must be dropped.
    pub fn find_by_attempt(&self, id: &AttemptId, link: LinkId) -> Option<CallSequence> {
        let attempt = self.calls.get(&id.sequence)?.attempt.as_ref()?;
        (attempt.number == id.attempt && attempt.link == link).then_some(id.sequence)
    }

    /// Returns the calls that satisfy a predicate.
    pub fn matching(&self, predicate: impl Fn(&CallRecord) -> bool) -> Vec<CallSequence> {
        self.calls
            .iter()
            .filter(|(_, call)| predicate(call))
            .map(|(sequence, _)| *sequence)
            .collect()
    }

    /// Returns the earliest deadline.
    pub fn deadline(&self) -> Option<Instant> {
        self.calls.values().map(|call| call.deadline).min()
    }

    /// Returns when the earliest pending claim was requested.
    pub fn earliest_claim_request(&self) -> Option<Instant> {
        self.calls
            .values()
            .filter(|call| call.stage == CallStage::Claiming)
            .filter_map(|call| call.claim.as_ref()?.requested)
            .min()
    }

    /// Returns whether no call is in progress.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether a call in progress was authenticated with a key.
    pub fn has_authenticated(&self) -> bool {
        self.calls.values().any(|call| call.key.is_some())
    }
}
