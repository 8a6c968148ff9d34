//! Commands and events of HTTP exchanges with endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use mulberrywell_wire::request::HeaderField;

use crate::{HttpRequest, RequestId};

/// Identifies an exchange within one process and one of its runs.
pub type ExchangeId = u64;

/// A command of a role to start or cancel an exchange.
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
        /// A request field that the endpoint echoes: a response that contains it
        /// with another value belongs to an earlier request and is dropped. Without
        /// one, or with an empty value, the exchange has a connection of its own.
        echoed_field: Option<HeaderField>,
        /// Timeout for establishing a new connection.
        connect_timeout: Duration,
        /// The caller's request to which the response is forwarded: it may be read no
        /// faster than that caller reads.
        reader: Option<RequestId>,
    },
    /// Closes the exchange's connection; no event follows.
    Cancel {
        /// The exchange.
        exchange: ExchangeId,
    },
}

/// Result of an exchange; failures include the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The response is complete.
    Complete,
    /// No byte of the request was sent.
    NotSent(&'static str),
    /// The endpoint refused the connection.
    Refused(&'static str),
    /// The response is incomplete; the endpoint may have executed the request.
    Broken(&'static str),
}

/// An event of an exchange; the order is `Head`, any number of `Data` and `Full`, `End`.
#[derive(Debug)]
pub enum ExchangeEvent {
    /// The head of the response was received.
    Head {
        /// The exchange.
        exchange: ExchangeId,
        /// HTTP status.
        status: u16,
        /// Fields in the order received.
        headers: Vec<HeaderField>,
        /// The body has a length or chunks. Otherwise it ends with the connection,
        /// which doesn't show whether the body is complete.
        is_delimited: bool,
        /// The response certainly answers this exchange's request: it echoes the
        /// request's field, or the connection has carried no other request. Any other
        /// response may belong to an earlier request.
        is_confirmed: bool,
    },
    /// A part of the body was received.
    Data {
        /// The exchange.
        exchange: ExchangeId,
        /// The bytes without transfer framing.
        data: Bytes,
    },
    /// The role holds as much of the response as there is memory for; no more is read until
    /// it has passed on what it holds.
    Full {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// The exchange has ended.
    End {
        /// The exchange.
        exchange: ExchangeId,
        /// The result.
        end: ExchangeEnd,
    },
}
