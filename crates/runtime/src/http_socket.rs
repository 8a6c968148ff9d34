//! One TCP connection that carries HTTP: its buffers and the state of its
//! incoming side.

use std::io::{Error, ErrorKind, Read, Write};

use bytes::{Buf, BytesMut};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::MioSource;

/// Bytes of one read.
pub const READ_LEN: usize = 64 * 1024;

/// Bytes read from one connection before others are served. An endpoint that divides a
/// body into one-byte chunks makes each of them costly.
pub const TURN_LEN: usize = READ_LEN;

/// State of a connection's incoming side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadState {
    /// More bytes may arrive.
    Open,
    /// More bytes may be available already; the connection must be read again.
    Unread,
    /// The peer has closed its sending side.
    Closed,
    /// The connection failed or was reset.
    Failed,
}

impl ReadState {
    /// Returns whether more bytes may follow.
    pub fn is_open(self) -> bool {
        matches!(self, ReadState::Open | ReadState::Unread)
    }
}

/// One connection.
pub struct HttpSocket {
    source: MioSource<TcpStream>,
    /// Received bytes that are not yet consumed.
    pub input: BytesMut,
    /// Bytes queued for writing.
    pub output: BytesMut,
    /// Set once any byte was written; cleared when an exchange starts.
    pub has_sent: bool,
    /// Bytes read in one turn at most.
    pub turn_max: usize,
    /// Set once the connection is established.
    is_connected: bool,
}

impl HttpSocket {
    /// Wraps a connection; `is_connected` states whether it is established.
    pub fn new(source: MioSource<TcpStream>, is_connected: bool) -> Self {
        HttpSocket {
            source,
            input: BytesMut::new(),
            output: BytesMut::new(),
            has_sent: false,
            turn_max: TURN_LEN,
            is_connected,
        }
    }

    /// Returns the polled connection.
    pub fn stream(&self) -> &TcpStream {
        &self.source
    }

    /// Returns whether the connection is established.
    ///
    /// # Errors
    /// Fails when connecting failed.
    pub fn check_connected(&mut self) -> Result<bool, ()> {
        if self.is_connected {
            return Ok(true);
        }
        if !matches!(self.source.take_error(), Ok(None)) {
            return Err(());
        }
        match self.source.peer_addr() {
            Ok(_) => {
                self.is_connected = true;
                Ok(true)
            }
            Err(err) if err.kind() == ErrorKind::NotConnected => Ok(false),
            Err(_) => Err(()),
        }
    }

    /// Returns whether bytes, an end or an error have arrived that are not yet
    /// read.
    pub fn has_unread(&self) -> bool {
        let peeked = self.source.peek(&mut [0]);
        !matches!(peeked, Err(err) if err.kind() == ErrorKind::WouldBlock)
    }

    /// Reads the available bytes of one turn into `input`.
    pub fn read(&mut self, scratch: &mut [u8]) -> ReadState {
        // The poll is edge-triggered, so a turn that ends before reading would
        // block must be followed by another.
        let mut turn_len = 0;
        while turn_len < self.turn_max {
            let room = scratch.len().min(self.turn_max - turn_len);
            match (&*self.source).read(&mut scratch[..room]) {
                Ok(0) => return ReadState::Closed,
                Ok(len) => {
                    self.input.extend_from_slice(&scratch[..len]);
                    turn_len += len;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => return ReadState::Open,
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadState::Failed,
            }
        }
        ReadState::Unread
    }

    /// Reads the available bytes of one turn, then writes queued bytes; returns
    /// the state of the incoming side.
    ///
    /// The read comes first, because a write that fails takes the error from the
    /// socket, and a reset connection then reads as closed.
    pub fn transfer(&mut self, scratch: &mut [u8]) -> ReadState {
        let read_state = self.read(scratch);
        if read_state != ReadState::Open {
            return read_state;
        }
        match self.write_queued() {
            Ok(()) => ReadState::Open,
            // The peer had closed its sending side when it refused the bytes, so
            // that all it sent can still be read.
            Err(err) if err.kind() == ErrorKind::BrokenPipe => self.read(scratch),
            Err(_) => ReadState::Failed,
        }
    }

    /// Writes queued bytes until the socket would block; false when the
    /// connection failed.
    pub fn flush(&mut self) -> bool {
        self.write_queued().is_ok()
    }

    fn write_queued(&mut self) -> Result<(), Error> {
        while !self.output.is_empty() {
            match (&*self.source).write(&self.output) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(len) => {
                    self.output.advance(len);
                    self.has_sent = true;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }
}
