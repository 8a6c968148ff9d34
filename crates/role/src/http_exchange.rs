//! HTTP requests to a role and its answers, free of any HTTP library.

use bytes::Bytes;
use mulberrywell_wire::request::HeaderField;

/// Identifies an HTTP request within one process and one of its runs.
pub type RequestId = u64;

/// Names one of a role's own HTTP listeners.
pub type ListenerId = u8;

/// Bounds of callers' connections at one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestBounds {
    /// Longest head in bytes.
    pub head_max: usize,
    /// Longest body in bytes.
    pub body_max: usize,
    /// Longest time from a request's first byte to its last.
    pub head_timeout: std::time::Duration,
    /// Longest time between requests.
    pub idle_timeout: std::time::Duration,
}

/// One HTTP request whose body has been read whole.
#[derive(Debug, Clone, Default)]
pub struct HttpRequest {
    /// Method in capitals.
    pub method: Bytes,
    /// Path with its query.
    pub path: Bytes,
    /// In the order received.
    pub headers: Vec<HeaderField>,
    /// Whole body.
    pub body: Bytes,
}

/// What happens to HTTP requests.
#[derive(Debug)]
pub enum HttpEvent {
    /// A request came.
    Request {
        /// A new id.
        request: RequestId,
        /// The request.
        http: HttpRequest,
    },
    /// The caller hung up; no further answer part is wanted.
    Gone {
        /// The request.
        request: RequestId,
    },
}

/// One part of an answer; the order is `Head`, any `Data`, then `End`.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers without `Content-Length` and `Transfer-Encoding`.
        headers: Vec<HeaderField>,
        /// Body length in bytes where it is known.
        length: Option<u64>,
    },
    /// A piece of the body, sent to the caller at once.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The answer stays short; the connection is cut so that the caller sees it.
    Abort,
}

/// Returns the value of the first header with this name, in any case.
pub fn header_value<'a>(headers: &'a [HeaderField], name: &str) -> Option<&'a Bytes> {
    headers
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name.as_bytes()))
        .map(|field| &field.value)
}
