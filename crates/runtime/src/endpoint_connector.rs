//! Connections of the HTTP client on which a reset is never the end of a body.
//!
//! The client takes a reset connection for a closed one, and a closed one ends
//! a body without length and chunks (RFC 9112, section 6.3). The reset may also
//! follow an orderly end: an endpoint that has closed answers so to what it has
//! not read. That reset shows in the error of the socket only.

use std::io::{Error as IoError, ErrorKind, Read, Result as IoResult, Write};
use std::net::TcpStream;

use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};
use ureq::Error;

/// Connects to the address of a request.
#[derive(Debug)]
pub struct EndpointConnector;

impl Connector for EndpointConnector {
    type Out = EndpointTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _: Option<()>,
    ) -> Result<Option<EndpointTransport>, Error> {
        let address = details.addrs.first().ok_or(Error::HostNotFound)?;
        let connected = match details.timeout.not_zero() {
            Some(timeout) => TcpStream::connect_timeout(address, *timeout),
            None => TcpStream::connect(address),
        };
        let stream = connected.map_err(|err| timeout_or_io(err, details.timeout))?;
        stream.set_nodelay(true)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(EndpointTransport { stream, buffers }))
    }
}

/// A connection whose reset fails the read.
pub struct EndpointTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
}

impl EndpointTransport {
    /// Reads into the client's buffer; returns the number of bytes, 0 at an orderly end that
    /// no reset has followed.
    fn read_input(&mut self) -> IoResult<usize> {
        loop {
            match self.stream.read(self.buffers.input_append_buf()) {
                Ok(0) => break,
                Ok(len) => return Ok(len),
                // A read with a timeout is not restarted after a signal.
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
        match self.stream.take_error()? {
            Some(err) => Err(err),
            None => Ok(0),
        }
    }
}

impl Transport for EndpointTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let limit = timeout.not_zero().map(|limit| *limit);
        self.stream.set_write_timeout(limit)?;
        let output = &self.buffers.output()[..amount];
        let written = self.stream.write_all(output);
        written.map_err(|err| timeout_or_io(err, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let limit = timeout.not_zero().map(|limit| *limit);
        self.stream.set_read_timeout(limit)?;
        let len = self.read_input().map_err(|err| match err.kind() {
            // Under its own kind the client takes it for an orderly end.
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe => {
                Error::Io(IoError::other(err))
            }
            _ => timeout_or_io(err, timeout),
        })?;
        self.buffers.input_appended(len);
        Ok(len > 0)
    }

    fn is_open(&mut self) -> bool {
        false
    }
}

impl std::fmt::Debug for EndpointTransport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointTransport").finish_non_exhaustive()
    }
}

fn timeout_or_io(err: IoError, timeout: NextTimeout) -> Error {
    match err.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => Error::Timeout(timeout.reason),
        _ => Error::Io(err),
    }
}
