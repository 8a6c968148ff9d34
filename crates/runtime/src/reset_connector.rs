//! Connector that keeps the HTTP client from reading a reset as the end of a
//! body.
//!
//! The client takes a reset connection for a closed one, and a closed one ends
//! a body without length and chunks (RFC 9112, section 6.3).

use std::io::{Error as IoError, ErrorKind};

use ureq::unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport};
use ureq::Error;

/// Wraps the connections of the connector before it in a chain.
#[derive(Debug)]
pub struct ResetConnector;

impl<In: Transport> Connector<In> for ResetConnector {
    type Out = ResetTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(ResetTransport))
    }
}

/// A connection whose reset fails the read.
#[derive(Debug)]
pub struct ResetTransport<T>(T);

impl<T: Transport> Transport for ResetTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout).map_err(|err| match err {
            Error::Io(err) if is_reset(&err) => Error::Io(IoError::other(err)),
            err => err,
        })
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}

fn is_reset(err: &IoError) -> bool {
    matches!(
        err.kind(),
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted
    )
}
