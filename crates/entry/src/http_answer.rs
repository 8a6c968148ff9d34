//! Answers that the entry gives itself.

use std::time::Duration;

use bytes::Bytes;
use mulberrywell_role::AnswerPart;
use mulberrywell_wire::request::{HeaderField, Ran};

/// Says in each answer whether the endpoint ran the request.
pub const RAN_HEADER: &str = "Mulberrywell-Ran";

/// A refusal or failure that the entry answers with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerFault {
    /// No key, or one that is not known.
    WrongKey,
    /// Two different keys.
    AmbiguousKey,
    /// The key stands where an endpoint would see it.
    ExposedKey,
    /// No such path.
    NotFound,
    /// The path has another method.
    WrongMethod,
    /// The path is not in its plain form.
    BadPath,
    /// The body can't be read.
    BadBody,
    /// The plan does not grant it, or it does not exist.
    UnknownModel,
    /// The plan does not grant it, or it does not exist.
    UnknownService,
    /// More tokens than the account's burst.
    TooLarge,
    /// The account's rate is used up.
    OverRate,
    /// No leases of tokens are to be had.
    NoLeases,
    /// The idempotency key's first request has no known outcome.
    ClaimPending,
    /// The idempotency key came with another request before.
    ClaimMismatch,
    /// The claim of the idempotency key could not be committed.
    ClaimUnavailable,
    /// The configuration is not confirmed as fresh.
    Stale,
    /// The entry shuts down.
    ShuttingDown,
    /// No endpoint takes the request now.
    NoEndpoint,
    /// The deadline came first.
    Deadline,
    /// The endpoint failed.
    EndpointFailed,
}

/// A fault with what its answer tells besides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRefusal {
    /// What is wrong.
    pub fault: CallerFault,
    /// Added to the fault's message.
    pub detail: Option<String>,
    /// When to come back; rounded up to whole seconds in the answer
    /// (RFC 9110, section 10.2.3).
    pub retry_after: Option<Duration>,
}

impl From<CallerFault> for CallerRefusal {
    fn from(fault: CallerFault) -> Self {
        CallerRefusal {
            fault,
            detail: None,
            retry_after: None,
        }
    }
}

impl CallerRefusal {
    /// Adds a detail.
    pub fn detail(mut self, detail: String) -> Self {
        self.detail = Some(detail);
        self
    }

    /// Adds the time to come back.
    pub fn after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Status, code and message of each fault.
const FAULT_TABLE: [(CallerFault, u16, &str, &str); 20] = [
    (
        CallerFault::WrongKey,
        401,
        "invalid_api_key",
        "no key, or one that is not valid",
    ),
    (
        CallerFault::AmbiguousKey,
        400,
        "ambiguous_api_key",
        "the request carries two different keys",
    ),
    (
        CallerFault::ExposedKey,
        400,
        "exposed_api_key",
        "the key also stands outside its header",
    ),
    (CallerFault::NotFound, 404, "not_found", "no such path"),
    (
        CallerFault::WrongMethod,
        405,
        "method_not_allowed",
        "the path has another method",
    ),
    (
        CallerFault::BadPath,
        400,
        "bad_path",
        "the path is not in its plain form",
    ),
    (
        CallerFault::BadBody,
        400,
        "bad_body",
        "the body is not a valid request",
    ),
    (
        CallerFault::UnknownModel,
        404,
        "model_not_found",
        "the model does not exist or is not granted",
    ),
    (
        CallerFault::UnknownService,
        404,
        "service_not_found",
        "the service or route does not exist or is not granted",
    ),
    (
        CallerFault::TooLarge,
        400,
        "over_burst",
        "the request needs more tokens than the burst holds",
    ),
    (
        CallerFault::OverRate,
        429,
        "rate_limit_exceeded",
        "the client account's rate is used up",
    ),
    (
        CallerFault::NoLeases,
        503,
        "rate_service_unavailable",
        "the client account's rate can't be checked now",
    ),
    (
        CallerFault::ClaimPending,
        409,
        "outcome_unknown",
        "the first request with this idempotency key has no known outcome",
    ),
    (
        CallerFault::ClaimMismatch,
        422,
        "idempotency_key_reused",
        "the idempotency key came with another request",
    ),
    (
        CallerFault::ClaimUnavailable,
        503,
        "claim_unavailable",
        "the idempotency key can't be claimed now",
    ),
    (
        CallerFault::Stale,
        503,
        "configuration_stale",
        "the configuration is not confirmed",
    ),
    (
        CallerFault::ShuttingDown,
        503,
        "shutting_down",
        "the instance shuts down",
    ),
    (
        CallerFault::NoEndpoint,
        503,
        "no_endpoint",
        "no endpoint can take the request now",
    ),
    (
        CallerFault::Deadline,
        504,
        "deadline_exceeded",
        "the deadline came before the answer",
    ),
    (
        CallerFault::EndpointFailed,
        502,
        "endpoint_failed",
        "the endpoint failed",
    ),
];

/// Builds a header.
pub fn header(name: &str, value: impl Into<Bytes>) -> HeaderField {
    HeaderField {
        name: Bytes::copy_from_slice(name.as_bytes()),
        value: value.into(),
    }
}

/// Returns the header that says whether the request ran.
pub fn ran_header(ran: Ran) -> HeaderField {
    let value = match ran {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown | Ran::Unspecified => "unknown",
    };
    header(RAN_HEADER, value)
}

/// Builds a whole answer with a JSON body.
pub fn json_answer(
    status: u16,
    extra: Vec<HeaderField>,
    body: &serde_json::Value,
) -> Vec<AnswerPart> {
    let body = Bytes::from(body.to_string());
    let mut headers = vec![header("Content-Type", "application/json")];
    headers.extend(extra);
    vec![
        AnswerPart::Head {
            status,
            headers,
            length: Some(body.len() as u64),
        },
        AnswerPart::Data(body),
        AnswerPart::End,
    ]
}

/// Builds the answer for a refusal.
pub fn fault_answer(refusal: &CallerRefusal, ran: Ran) -> Vec<AnswerPart> {
    let (_, status, code, message) = FAULT_TABLE
        .iter()
        .find(|(item, ..)| *item == refusal.fault)
        .expect("the table has every fault");
    let message = match &refusal.detail {
        Some(detail) => format!("{message}: {detail}"),
        None => (*message).to_owned(),
    };
    let kind = if *status < 500 {
        "invalid_request_error"
    } else {
        "server_error"
    };
    let body = serde_json::json!({
        "error": { "message": message, "type": kind, "code": code }
    });
    let mut extra = vec![ran_header(ran)];
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        extra.push(header("Retry-After", seconds.to_string()));
    }
    json_answer(*status, extra, &body)
}
