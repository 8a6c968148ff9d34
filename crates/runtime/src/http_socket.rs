//! One TCP connection that carries HTTP: its buffers and the state of its
//! incoming side.

use std::io::{Error, ErrorKind, Read, Write};

use bytes::{Buf, Bytes, BytesMut};
use stakker_mio::mio::net::TcpStream;
use stakker_mio::MioSource;

/// Bytes of one read.
pub const READ_LEN: usize = 64 * 1024;

/// Bytes read from one connection before others are served. An endpoint that divides a
/// body into one-byte chunks makes each of them costly.
pub const TURN_LEN: usize = READ_LEN;

/// Length up to which a buffer grows by the library's rule, which may double it.
const SMALL_BUFFER: usize = 4 * 1024;

/// Divisor of a larger buffer's length that gives its spare capacity.
const SPARE_DIVISOR: usize = 4;

/// Bodies up to this length are copied behind their head, which saves a write.
const COPIED_BODY_MAX: usize = 16 * 1024;

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
    /// Body to write behind `output`; shared with the request that it belongs to.
    body: Bytes,
    /// Memory of `input`, of which its capacity shows only what is not yet consumed.
    input_memory: usize,
    /// Memory of `output`.
    output_memory: usize,
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
            body: Bytes::new(),
            input_memory: 0,
            output_memory: 0,
            has_sent: false,
            turn_max: TURN_LEN,
            is_connected,
        }
    }

    /// Returns the polled connection.
    pub fn stream(&self) -> &TcpStream {
        &self.source
    }

    /// Returns the bytes of memory that the buffers take.
    pub fn held_bytes(&self) -> usize {
        let input = self.input_memory.max(self.input.capacity());
        let output = self.output_memory.max(self.output.capacity());
        input + output
    }

    /// Returns the number of bytes queued for writing.
    pub fn unwritten_len(&self) -> usize {
        self.output.len() + self.body.len()
    }

    /// Queues a body behind `output`; nothing may be queued before it is written.
    pub fn queue_body(&mut self, body: &Bytes) {
        if body.len() <= COPIED_BODY_MAX {
            self.reserve_output(body.len());
            self.output.extend_from_slice(body);
        } else {
            self.body = body.clone();
        }
    }

    /// Makes room for `len` more bytes in `output`.
    pub fn reserve_output(&mut self, len: usize) {
        reserve_buffer(&mut self.output, &mut self.output_memory, len);
    }

    /// Frees the memory of a large input whose bytes are consumed.
    pub fn release_input(&mut self) {
        release_buffer(&mut self.input, &mut self.input_memory);
    }

    /// Gives up an input whose bytes are all consumed, and returns its memory: a request
    /// that was read from it may still keep it.
    pub fn detach_input(&mut self) -> usize {
        if !self.input.is_empty() {
            return 0;
        }
        self.input = BytesMut::new();
        std::mem::take(&mut self.input_memory)
    }

    /// Discards what was received.
    pub fn clear_input(&mut self) {
        self.input.clear();
        self.release_input();
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

    /// Returns whether the connection failed since this was last asked. A reset that follows
    /// the end of the peer's stream shows nowhere else.
    pub fn take_failed(&mut self) -> bool {
        !matches!(self.source.take_error(), Ok(None))
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
                    reserve_buffer(&mut self.input, &mut self.input_memory, len);
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
            // that all it sent can still be read; a refusal may be among it.
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
        while self.unwritten_len() > 0 {
            let next = match self.output.is_empty() {
                true => &self.body[..],
                false => &self.output[..],
            };
            match (&*self.source).write(next) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(len) => {
                    self.advance_written(len);
                    self.has_sent = true;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }

    fn advance_written(&mut self, len: usize) {
        if !self.output.is_empty() {
            self.output.advance(len);
            release_buffer(&mut self.output, &mut self.output_memory);
            return;
        }
        self.body.advance(len);
        if self.body.is_empty() {
            // An empty rest would keep the memory of the whole body.
            self.body = Bytes::new();
        }
    }
}

/// Makes room for `len` more bytes in a buffer whose memory is `memory`.
fn reserve_buffer(buf: &mut BytesMut, memory: &mut usize, len: usize) {
    if buf.capacity() - buf.len() >= len {
        return;
    }
    let needed = buf.len() + len;
    if needed <= SMALL_BUFFER {
        buf.reserve(len);
        *memory = buf.capacity();
        return;
    }
    let mut grown = BytesMut::with_capacity(needed + needed / SPARE_DIVISOR);
    grown.extend_from_slice(buf);
    *memory = grown.capacity();
    *buf = grown;
}

/// Frees the memory of a large buffer that is empty.
fn release_buffer(buf: &mut BytesMut, memory: &mut usize) {
    if buf.is_empty() && *memory > SMALL_BUFFER {
        *buf = BytesMut::new();
        *memory = 0;
    }
}
