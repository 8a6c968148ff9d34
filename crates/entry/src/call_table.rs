//! The requests in work, and their current attempts.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;
use mulberrywell_directory::{AccountName, EndpointName, KeyDigest};
use mulberrywell_role::{LinkId, RequestId};
use mulberrywell_wire::request::{AttemptId, HeaderField};

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
    /// Tokens taken from the account's bucket.
    pub reserved: u64,
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

    /// Counts the attempts in work at an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointName) -> usize {
        self.calls
            .values()
            .filter_map(|call| call.attempt.as_ref())
            .filter(|attempt| attempt.endpoint == *endpoint)
            .count()
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
