//! A caller that sends arbitrary bytes and reports how its connection ended.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::Result;

/// How a connection ended, as observed by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawEnd {
    /// The peer closed the connection.
    Closed,
    /// The peer reset the connection.
    Reset,
    /// The connection was still open when the wait ended.
    Open,
}

/// Bytes received on a connection.
#[derive(Debug, Clone)]
pub struct RawResponse {
    /// All bytes received.
    pub bytes: Vec<u8>,
    /// How the connection ended.
    pub end: RawEnd,
}

impl RawResponse {
    /// Returns the HTTP status of the first response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let text = self.text();
        let status = text
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3));
        status.and_then(|digits| digits.parse().ok()).unwrap_or(0)
    }

    /// Returns the bytes as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes).into_owned()
    }
}

/// An open connection.
#[derive(Debug)]
pub struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    /// Opens a connection.
    ///
    /// # Errors
    /// Fails if the connection is refused.
    pub fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(RawCaller { stream })
    }

    /// Sends bytes; returns false if the connection is closed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Closes the sending side of the connection.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub fn end_sending(&self) -> Result<()> {
        Ok(self.stream.shutdown(Shutdown::Write)?)
    }

    /// Reads until the connection ends or `limit` has elapsed.
    pub fn read_to_end(&mut self, limit: Duration) -> RawResponse {
        self.read_until(limit, |_| false)
    }

    /// Reads until `done` returns true for the bytes received, the connection ends
    /// or `limit` has elapsed.
    pub fn read_until(&mut self, limit: Duration, done: impl Fn(&[u8]) -> bool) -> RawResponse {
        let deadline = Instant::now() + limit;
        let mut bytes = Vec::new();
        let mut buf = [0; 4_096];
        let end = loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || done(&bytes) {
                break RawEnd::Open;
            }
            // Only a zero timeout is rejected, and `left` is not zero.
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut buf) {
                Ok(0) => break RawEnd::Closed,
                Ok(len) => bytes.extend_from_slice(&buf[..len]),
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    break RawEnd::Open;
                }
                Err(_) => break RawEnd::Reset,
            }
        };
        RawResponse { bytes, end }
    }
}

/// Sends bytes on a new connection and reads until it ends or `limit` has elapsed.
///
/// # Errors
/// Fails if the connection is refused.
pub fn raw_exchange(address: SocketAddr, bytes: &[u8], limit: Duration) -> Result<RawResponse> {
    let mut caller = RawCaller::connect(address)?;
    // The peer may close the connection before it has received all bytes.
    caller.send(bytes);
    Ok(caller.read_to_end(limit))
}
