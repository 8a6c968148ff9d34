//! The request properties that the gateway uses, and the interface that encodes
//! them as header fields.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use mulberrywell_limit::MilliRate;
use mulberrywell_policy::PromptPart;
use mulberrywell_role::HttpRequest;
use mulberrywell_wire::request::HeaderField;

/// The model that a request addresses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelTerms {
    /// The model.
    pub model: Bytes,
    /// An adapter of the model; empty for the base model.
    pub adapter: Bytes,
}

/// Token counts stated by a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenTerms {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Upper bound of output tokens.
    pub output: u64,
}

/// Properties of a request that its header fields carry.
#[derive(Debug, Clone, Default)]
pub struct CallTerms {
    /// Request id assigned by the caller.
    pub id: Bytes,
    /// Host used for the route lookup, without a port.
    pub host: Bytes,
    /// Timeout of the caller.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<Bytes>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Id of the request that brought the first event of the stream that the caller
    /// takes up.
    pub resumes: Option<Bytes>,
    /// Set for a request to a model engine.
    pub model: Option<ModelTerms>,
    /// Token counts, if the request states them.
    pub tokens: Option<TokenTerms>,
    /// Parts of the prompt in order.
    pub prefix: Vec<PromptPart>,
}

/// Properties added to the caller's request when it is forwarded to an
/// endpoint.
#[derive(Debug, Clone)]
pub struct ForwardTerms<'a> {
    /// Time remaining until the call's deadline.
    pub time_left: Duration,
    /// The only endpoint that may run the request.
    pub endpoint: &'a Bytes,
    /// Account that the request runs for; none on an open route.
    pub account: Option<&'a Bytes>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Priority from 0 (highest) to 9; none for a plain service.
    pub priority: Option<u8>,
    /// Copy of the run's memory that the endpoint goes on from.
    pub copy: Option<&'a MemoryCopy>,
}

/// A copy of a run's memory, from which an engine goes on with the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Address of the engine that ran the request before.
    pub source: SocketAddr,
    /// Name of the copy there.
    pub handle: Bytes,
}

/// A request to an engine to copy the memory of a run.
#[derive(Debug, Clone, Copy)]
pub struct CopyTerms<'a> {
    /// The engine that runs the request.
    pub endpoint: &'a Bytes,
    /// Its address.
    pub address: SocketAddr,
    /// Id of the request.
    pub id: &'a Bytes,
    /// Address of the engine that gets the copy.
    pub target: SocketAddr,
    /// The run stops before the rest of its memory is copied.
    pub stops_run: bool,
}

/// An engine's response to a request to copy the memory of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyResponse {
    /// The memory is copied.
    Copied {
        /// Name of the copy.
        handle: Bytes,
    },
    /// There is no such run; it has ended.
    NoRun,
    /// The memory isn't copied. If the run was to stop, it has, and the engine keeps its
    /// memory under the name of the copy.
    Refused {
        /// Name of the copy, if the engine has one.
        handle: Option<Bytes>,
    },
}

/// Properties read from the head of an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTerms {
    /// The endpoint did not run the request.
    pub not_run: bool,
    /// The status implies that the request has not run, but the endpoint does
    /// not confirm it.
    pub run_unconfirmed: bool,
    /// The request reached the wrong endpoint, or one without the model.
    pub misdirected: bool,
    /// The type of the response is that of a stream of events.
    pub is_stream: bool,
    /// The response can continue a stream of events that has begun.
    pub continues_stream: bool,
    /// The endpoint is leaving and accepts no further requests.
    pub leaving: bool,
    /// Time for which the endpoint accepts no further requests from this instance.
    pub closed_for: Option<Duration>,
    /// Requests a second that the endpoint accepts from all instances together.
    pub rate_limit: Option<MilliRate>,
    /// Time for which the endpoint is cold.
    pub cold_left: Option<Duration>,
}

impl ResponseTerms {
    /// Returns what holds if the response may belong to an earlier request: that it states
    /// that the request has not run proves nothing.
    pub fn without_proof(self) -> Self {
        ResponseTerms {
            not_run: false,
            run_unconfirmed: self.run_unconfirmed || self.not_run,
            misdirected: false,
            ..self
        }
    }
}

/// Why the gateway refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request can't be parsed.
    Malformed,
    /// No configuration has been received yet.
    NotReady,
    /// This instance is shutting down and might truncate the response.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The key belongs to no account.
    WrongKey,
    /// The account is over its rate limit.
    OverRate,
    /// No endpoint was available; the request has not run.
    NoEndpoint,
    /// The endpoints that could run the request are at their limits; it has not run.
    AtLimit,
    /// The engines have more work than the request's time allows; it has not run.
    Overloaded,
    /// Nothing tells which software version began the stream that the caller takes up;
    /// the request has not run.
    OriginUnknown,
    /// No endpoint of the software version that began the stream could go on with it; the
    /// request has not run.
    VersionGone,
    /// Endpoints crashed under a part of the request's prompt; it has not run.
    Quarantined,
    /// The deadline passed before the request was forwarded; it has not run.
    TooLate,
    /// The endpoint's response was incomplete; the request may have run.
    Broken,
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// Reads and writes header fields.
pub trait CallCodec {
    /// Parses a request's header fields; none when they are malformed.
    fn read_call(&self, http: &HttpRequest) -> Option<CallTerms>;

    /// Returns the header fields of the request forwarded to an endpoint.
    fn forward_fields(&self, http: &HttpRequest, terms: &ForwardTerms<'_>) -> Vec<HeaderField>;

    /// Returns the field that the endpoint echoes in its response.
    fn echoed_field(&self, id: &Bytes) -> HeaderField;

    /// Parses the head of an endpoint's response.
    fn read_response_head(&self, status: u16, headers: &[HeaderField]) -> ResponseTerms;

    /// Returns the header fields of an endpoint's response that are forwarded
    /// to the caller.
    fn response_fields(&self, headers: Vec<HeaderField>) -> Vec<HeaderField>;

    /// Returns the request for a copy of a run's memory.
    fn copy_request(&self, terms: &CopyTerms<'_>) -> HttpRequest;

    /// Returns the request that frees a copy, or its beginning, at both engines.
    fn free_request(&self, endpoint: &Bytes, copy: &MemoryCopy) -> HttpRequest;

    /// Parses the response to a request for a copy.
    fn read_copy_response(&self, status: u16, body: &[u8]) -> CopyResponse;

    /// Returns the status and header fields of a refusal.
    fn refusal(
        &self,
        reason: RefusalReason,
        id: &Bytes,
        retry_after: Option<Duration>,
    ) -> (u16, Vec<HeaderField>);
}
