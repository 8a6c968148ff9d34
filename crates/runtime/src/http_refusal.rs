//! Error responses to requests that are not passed to a role.

use mulberrywell_role::ResponsePart;
use mulberrywell_wire::request::HeaderField;

use bytes::Bytes;

/// An error response of the server itself; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpRefusal {
    /// HTTP status.
    pub status: u16,
    /// Error code in the body of the response.
    pub code: &'static str,
    /// Message in the body of the response.
    pub message: &'static str,
}

/// Too many requests are in flight.
pub const OVERLOADED: HttpRefusal = HttpRefusal {
    status: 503,
    code: "overloaded",
    message: "too many requests in work",
};

/// The process ends before the request can be read.
pub const SHUTTING_DOWN: HttpRefusal = HttpRefusal {
    status: 503,
    code: "shutting_down",
    message: "the instance shuts down",
};

/// The body is longer than the limit.
pub const BODY_TOO_LARGE: HttpRefusal = HttpRefusal {
    status: 413,
    code: "body_too_large",
    message: "the body is longer than the limit",
};

/// The body ended early or its framing is malformed.
pub const BAD_BODY: HttpRefusal = HttpRefusal {
    status: 400,
    code: "bad_body",
    message: "the body can't be read",
};

/// The bytes are not a valid HTTP request.
pub const BAD_REQUEST: HttpRefusal = HttpRefusal {
    status: 400,
    code: "bad_request",
    message: "the bytes are no HTTP/1.1 request",
};

/// The head states contradictory or unreadable body lengths.
pub const AMBIGUOUS_LENGTH: HttpRefusal = HttpRefusal {
    status: 400,
    code: "ambiguous_length",
    message: "the length of the body is ambiguous",
};

/// The caller requested a protocol upgrade.
pub const NO_UPGRADE: HttpRefusal = HttpRefusal {
    status: 400,
    code: "no_upgrade",
    message: "the connection can't change its protocol",
};

/// The head is longer than the limit.
pub const HEAD_TOO_LARGE: HttpRefusal = HttpRefusal {
    status: 431,
    code: "head_too_large",
    message: "the request line and headers are longer than the limit",
};

/// The request did not arrive within the timeout.
pub const TOO_SLOW: HttpRefusal = HttpRefusal {
    status: 408,
    code: "request_timeout",
    message: "the request did not come in time",
};

impl HttpRefusal {
    /// Returns the parts of the response.
    pub fn parts(&self) -> [ResponsePart; 3] {
        let body = self.body();
        let head = ResponsePart::Head {
            status: self.status,
            headers: self.headers(),
            length: Some(body.len() as u64),
        };
        [
            head,
            ResponsePart::Data(Bytes::from(body)),
            ResponsePart::End,
        ]
    }

    /// Returns the encoded response, which announces that the connection
    /// closes.
    pub fn bytes(&self) -> Vec<u8> {
        let body = self.body();
        let reason = tiny_http::StatusCode(self.status).default_reason_phrase();
        let mut text = format!("HTTP/1.1 {} {reason}\r\n", self.status).into_bytes();
        for field in self.headers() {
            text.extend_from_slice(&field.name);
            text.extend_from_slice(b": ");
            text.extend_from_slice(&field.value);
            text.extend_from_slice(b"\r\n");
        }
        let rest = format!(
            "Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        text.extend_from_slice(rest.as_bytes());
        text
    }

    fn headers(&self) -> Vec<HeaderField> {
        let field = |name: &'static str, value: &'static str| HeaderField {
            name: Bytes::from_static(name.as_bytes()),
            value: Bytes::from_static(value.as_bytes()),
        };
        let mut headers = vec![
            field("Content-Type", "application/json"),
            field("Mulberrywell-Ran", "no"),
        ];
        if self.status == OVERLOADED.status {
            headers.push(field("Retry-After", "1"));
        }
        headers
    }

    fn body(&self) -> String {
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": "invalid_request_error",
                "code": self.code,
            }
        })
        .to_string()
    }
}
