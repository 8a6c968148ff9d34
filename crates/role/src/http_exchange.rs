//! HTTP requests to a role and its responses, independent of any HTTP library.

use bytes::Bytes;
use mulberrywell_wire::request::HeaderField;

/// Identifies an HTTP request within one process and one of its runs.
pub type RequestId = u64;

/// Identifies one of a role's own HTTP listeners.
pub type ListenerId = u8;

/// Limits on callers' connections at one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Maximum length of a request head in bytes.
    pub head_max: usize,
    /// Maximum length of a request body in bytes.
    pub body_max: usize,
    /// Timeout from a request's first byte to its last.
    pub head_timeout: std::time::Duration,
    /// Timeout between requests.
    pub idle_timeout: std::time::Duration,
}

/// An HTTP request with its complete body.
#[derive(Debug, Clone, Default)]
pub struct HttpRequest {
    /// Method in upper case.
    pub method: Bytes,
    /// Path with its query.
    pub path: Bytes,
    /// Fields in the order received.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
}

/// An event at one of a role's HTTP listeners.
#[derive(Debug)]
pub enum HttpEvent {
    /// A request was received.
    Request {
        /// A new id.
        request: RequestId,
        /// The request.
        http: HttpRequest,
    },
    /// The caller disconnected; no further part of the response is needed.
    Disconnected {
        /// The request.
        request: RequestId,
    },
}

/// A part of a response; the order is `Head`, any number of `Data`, `End`.
#[derive(Debug, Clone)]
pub enum ResponsePart {
    /// Status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers without `Content-Length` and `Transfer-Encoding`.
        headers: Vec<HeaderField>,
        /// Body length in bytes, if known.
        length: Option<u64>,
    },
    /// A part of the body, sent to the caller at once.
    Data(Bytes),
    /// The response is complete.
    End,
    /// The response remains incomplete; the connection is aborted so that the
    /// caller detects it.
    Abort,
}

/// Returns the value of the first header with this name, ignoring ASCII case.
pub fn header_value<'a>(headers: &'a [HeaderField], name: &str) -> Option<&'a Bytes> {
    headers
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name.as_bytes()))
        .map(|field| &field.value)
}
