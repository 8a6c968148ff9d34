//! The requests in work, and their current attempts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use mulberrywell_directory::{AccountName, EndpointName, KeyDigest};
use mulberrywell_limit::Reservation;
use mulberrywell_role::{LinkId, RequestId};
use mulberrywell_wire::request::{AttemptId, HeaderField};

use crate::call_stage::CallStage;
use crate::event_stream::EventStream;

/// Number of a call within one run of the entry.
pub type CallSequence = u64;

/// What a call runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallTarget {
    /// A model engine that has the model resident.
    Model(Bytes),
    /// A plain service.
    Service(Bytes),
}

/// The attempt whose frames count.
#[derive(Debug, Clone)]
pub struct CurrentAttempt {
    /// Number among the call's attempts, from 1.
    pub number: u32,
    /// Endpoint that was chosen.
    pub endpoint: EndpointName,
    /// Link to its agent.
    pub link: LinkId,
    /// Bytes of the attempt's body that came.
    pub received: u64,
    /// Whether its status and headers came.
    pub head_seen: bool,
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
    /// When the claim was asked for.
    pub asked: Option<Instant>,
    /// Status of the endpoint's answer.
    pub status: u32,
    /// Media type of the endpoint's answer.
    pub content_type: Bytes,
    /// Body of the endpoint's answer, as far as it came.
    pub body: BytesMut,
    /// The body is longer than what is kept.
    pub too_long: bool,
}

/// One request in work.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The request at the HTTP side.
    pub request: RequestId,
    /// Digest of the key; none on a route open to all.
    pub key: Option<KeyDigest>,
    /// Empty on a route open to all.
    pub account: AccountName,
    /// What the call runs on.
    pub target: CallTarget,
    /// Method and path for the endpoint.
    pub method: Bytes,
    /// Path and query for the endpoint.
    pub path: Bytes,
    /// Headers for the endpoint.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Bytes,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the call is given up.
    pub deadline: Instant,
    /// When the call came.
    pub started: Instant,
    /// Where the call stands.
    pub stage: CallStage,
    /// Tokens wanted from the account's bucket.
    pub reserved: u64,
    /// The tokens once they are taken.
    pub reservation: Reservation,
    /// Set when the request may run once and names an idempotency key.
    pub claim: Option<CallClaim>,
    /// An ended attempt may have run the request.
    pub may_have_run: bool,
    /// Set when the answer is a stream of events.
    pub events: Option<EventStream>,
    /// The caller hung up; the call goes on for its outcome only.
    pub detached: bool,
    /// Digest of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// Attempts that were started.
    pub attempts: u32,
    /// Longest time to come back that an agent gave.
    pub retry_after: Duration,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Bound of the output in tokens.
    pub output_tokens: u64,
    /// Endpoints that failed or refused, not to be tried again.
    pub tried: Vec<EndpointName>,
    /// None between two attempts only.
    pub attempt: Option<CurrentAttempt>,
    /// Whether the caller has status and headers.
    pub head_sent: bool,
}

impl CallRecord {
    /// Returns prompt tokens and output bound.
    pub fn total_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// All requests in work.
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

    /// Returns a call.
    pub fn get_mut(&mut self, sequence: CallSequence) -> Option<&mut CallRecord> {
        self.calls.get_mut(&sequence)
    }

    /// Takes a call out.
    pub fn remove(&mut self, sequence: CallSequence) -> Option<CallRecord> {
        let call = self.calls.remove(&sequence)?;
        self.by_request.remove(&call.request);
        Some(call)
    }

    /// Returns the call of a request.
    pub fn of_request(&self, request: RequestId) -> Option<CallSequence> {
        self.by_request.get(&request).copied()
    }

    /// Returns the call whose current attempt this is; frames of any other
    /// attempt must be dropped.
    pub fn of_attempt(&self, id: &AttemptId, link: LinkId) -> Option<CallSequence> {
        let attempt = self.calls.get(&id.sequence)?.attempt.as_ref()?;
        (attempt.number == id.attempt && attempt.link == link).then_some(id.sequence)
    }

    /// Returns the calls that fit a condition.
    pub fn matching(&self, fits: impl Fn(&CallRecord) -> bool) -> Vec<CallSequence> {
        self.calls
            .iter()
            .filter(|(_, call)| fits(call))
            .map(|(sequence, _)| *sequence)
            .collect()
    }

    /// Returns the earliest deadline.
    pub fn deadline(&self) -> Option<Instant> {
        self.calls.values().map(|call| call.deadline).min()
    }

    /// Returns when the earliest claim without an answer was asked for.
    pub fn claims_asked(&self) -> Option<Instant> {
        self.calls
            .values()
            .filter(|call| call.stage == CallStage::Claiming)
            .filter_map(|call| call.claim.as_ref()?.asked)
            .min()
    }

    /// Tells whether nothing is in work.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Tells whether a call in work came with a key.
    pub fn has_keyed(&self) -> bool {
        self.calls.values().any(|call| call.key.is_some())
    }
}
