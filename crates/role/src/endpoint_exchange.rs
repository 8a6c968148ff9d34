//! HTTP exchanges with endpoints, as a role sees them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use mulberrywell_wire::request::HeaderField;

use crate::HttpRequest;

/// Identifies an exchange within one process and one of its runs.
pub type ExchangeId = u64;

/// What a role asks of its exchanges.
#[derive(Debug)]
pub enum ExchangeCommand {
    /// Sends a request; exactly one [`ExchangeEvent::End`] follows unless the
    /// exchange is cancelled.
    Start {
        /// A new id.
        exchange: ExchangeId,
        /// The endpoint.
        address: SocketAddr,
        /// The request.
        http: HttpRequest,
        /// A field that the answer repeats: an answer that holds it with
        /// another value belongs to an earlier request and is dropped.
        matched: Option<HeaderField>,
        /// Longest time for a new connection.
        connect_timeout: Duration,
    },
    /// Closes the exchange's connection; no event follows.
    Cancel {
        /// The exchange.
        exchange: ExchangeId,
    },
}

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The answer is whole.
    Whole,
    /// No byte of the request was sent.
    NotSent(&'static str),
    /// The answer is not whole; the endpoint may have run the request.
    Broken(&'static str),
}

/// What happens in an exchange; the order is `Head`, any `Data`, then `End`.
#[derive(Debug)]
pub enum ExchangeEvent {
    /// The head of the answer came.
    Head {
        /// The exchange.
        exchange: ExchangeId,
        /// HTTP status.
        status: u16,
        /// Fields in the order received.
        headers: Vec<HeaderField>,
        /// Length of the body in bytes where it is known.
        length: Option<u64>,
    },
    /// A piece of the body came.
    Data {
        /// The exchange.
        exchange: ExchangeId,
        /// The bytes without their framing.
        data: Bytes,
    },
    /// The exchange is over.
    End {
        /// The exchange.
        exchange: ExchangeId,
        /// How.
        end: ExchangeEnd,
    },
}
