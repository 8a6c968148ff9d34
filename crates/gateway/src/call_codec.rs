//! What the gateway needs to know of a request, and how it is written down.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_policy::PromptPart;
use mulberrywell_role::HttpRequest;
use mulberrywell_wire::request::HeaderField;

/// The model that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelTerms {
    /// The model.
    pub model: Bytes,
    /// An adapter of it; empty for the model itself.
    pub adapter: Bytes,
}

/// Tokens that a request names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenTerms {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Bound on the tokens of the answer.
    pub output: u64,
}

/// What a request says beside its method, path and body.
#[derive(Debug, Clone, Default)]
pub struct CallTerms {
    /// The caller's name for this attempt.
    pub id: Bytes,
    /// Host that the route is looked up by, without a port.
    pub host: Bytes,
    /// Time that the caller waits.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<Bytes>,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Set for a request to a model engine.
    pub model: Option<ModelTerms>,
    /// Tokens, where the request names them.
    pub tokens: Option<TokenTerms>,
    /// Parts of the prompt in their order.
    pub prefix: Vec<PromptPart>,
}

/// What an endpoint is told beside the caller's own request.
#[derive(Debug, Clone)]
pub struct HandoverTerms<'a> {
    /// Time that is left.
    pub left: Duration,
    /// The only endpoint that is to run the request.
    pub endpoint: &'a Bytes,
    /// Account that the request runs for; none on a route open to all.
    pub account: Option<&'a Bytes>,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Urgency from 0, the most urgent, to 9; none for a plain service.
    pub urgency: Option<u8>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTerms {
    /// The endpoint did not run the request.
    pub not_run: bool,
    /// The status promises that the request has not run, and the endpoint does
    /// not say so itself.
    pub unclear: bool,
    /// The endpoint is another one, or does not hold the model.
    pub misdirected: bool,
    /// The answer is a stream of events.
    pub is_stream: bool,
}

/// Why the gateway itself ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request can't be read.
    Malformed,
    /// No configuration is known yet.
    NotReady,
    /// This instance stops and might cut the request's answer.
    Stopping,
    /// No route fits.
    NoRoute,
    /// The key is nobody's.
    WrongKey,
    /// The account's rate is used up.
    OverRate,
    /// No endpoint could take the request; it has not run.
    NoEndpoint,
    /// Time ran out before the request was handed over.
    TooLate,
    /// The endpoint's answer broke; the request may have run.
    Broken,
    /// Time ran out; the request may have run.
    TimedOut,
}

/// Reads and writes header fields.
pub trait CallCodec {
    /// Reads a request's fields; none when they can't be read.
    fn read_call(&self, http: &HttpRequest) -> Option<CallTerms>;

    /// Returns the fields that an endpoint gets.
    fn handover_fields(&self, http: &HttpRequest, terms: &HandoverTerms<'_>) -> Vec<HeaderField>;

    /// Returns the field that the endpoint's answer repeats.
    fn matched_field(&self, id: &Bytes) -> HeaderField;

    /// Reads the head of an endpoint's answer.
    fn read_answer(&self, status: u16, headers: &[HeaderField]) -> AnswerTerms;

    /// Returns the fields of an endpoint's answer that its caller gets.
    fn answer_fields(&self, headers: Vec<HeaderField>) -> Vec<HeaderField>;

    /// Returns the status and fields of a refusal.
    fn refusal(
        &self,
        reason: RefusalReason,
        id: &Bytes,
        retry_after: Option<Duration>,
    ) -> (u16, Vec<HeaderField>);
}
