//! Connections of callers to a role's own HTTP listeners.
//!
//! Purpose: reads complete requests, passes them to the role and writes its
//! responses, all on the process's poll and without a thread for each
//! connection.
//!
//! Guarantees: a connection has at most one request in flight, and pipelined
//! requests wait in its buffer; beyond the length of one request they are not
//! read; a connection that ends while its request is in flight is reported at
//! once, unless bytes before its end are not read; durations and lengths are
//! limited by the listener's bounds; a truncated response is never framed as a
//! complete one.

mod caller_backlog;
mod caller_refusals;
mod caller_timeouts;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mulberrywell_http1::{
    write_chunk, write_last_chunk, write_response_head, RequestLimits, RequestReader,
};
use mulberrywell_role::{ConnectionBounds, HttpEvent, ListenerId, RequestId, ResponsePart};
use socket2::SockRef;
use stakker::Fwd;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::http_socket::{HttpSocket, ReadState};

use caller_refusals::refusal_status;

pub use caller_backlog::EndedCaller;

/// Soft limit on the connections of all listeners together; beyond it, a new
/// connection closes the one that has been idle for longest. Leaves some of the
/// platform's usual 4,096 descriptors for endpoints.
pub const CONNECTIONS_MAX: usize = 2_600;

/// Response bytes that may be buffered for a slow caller before its connection
/// is closed.
const RESPONSE_BUFFER_MAX: usize = 8 * 1024 * 1024;

/// Time allowed for the caller to receive the last response, once it is written,
/// before its socket is closed.
const LINGER_MAX: Duration = Duration::from_secs(1);

const POLL_PRIORITY: u32 = 10;

/// Id of a connection; never reused.
pub type CallerId = u64;

/// Bounds in force until the role sets others.
pub const BOUNDS_DEFAULT: ConnectionBounds = ConnectionBounds {
    head_max: 16 * 1024,
    body_max: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerPhase {
    /// Between requests, since this time.
    Idle(Instant),
    /// Part of a request has been received, the first bytes at this time.
    Reading(Instant),
    /// A request is in flight.
    Processing(RequestId),
    /// Received bytes are discarded while output is written; closes when the
    /// caller closes, or [`LINGER_MAX`] after this time.
    Lingering(Instant),
}

struct CallerConnection {
    socket: HttpSocket,
    listener: ListenerId,
    reader: RequestReader,
    phase: CallerPhase,
    /// Idle timeout in force when the connection was last in use: the one that its caller
    /// may still go by.
    idle_timeout: Duration,
    /// The connection closes after the current response.
    close_after: bool,
    /// The caller supports chunked transfer coding.
    allows_chunks: bool,
    /// The current response uses chunked transfer coding.
    chunked: bool,
    /// The current request is a HEAD request.
    is_head_request: bool,
    /// Closing the socket sends a reset, as the end of the connection would end
    /// the body of the current response, which is not yet written completely.
    resets_on_close: bool,
    /// Queued bytes that were not yet written when the timeouts were last checked.
    unwritten_len: usize,
    /// When the caller last read a part of what is queued, or nothing was.
    progress_at: Instant,
    /// Length of the body of the request in flight.
    request_len: usize,
}

struct ListenerRecord {
    /// None once no further connections are accepted.
    source: Option<MioSource<TcpListener>>,
    /// The listener closes once no connection waits to be accepted.
    is_stopping: bool,
    bounds: ConnectionBounds,
    /// Connections close after their current responses.
    closing: bool,
}

/// All connections of callers to one role.
#[derive(Default)]
pub struct CallerTable {
    listeners: BTreeMap<ListenerId, ListenerRecord>,
    connections: BTreeMap<CallerId, CallerConnection>,
    requests: BTreeMap<RequestId, CallerId>,
    next_id: CallerId,
    /// Connections with queued bytes that are not yet written.
    dirty: Vec<CallerId>,
    /// Connections that may have more bytes than their last turn read.
    unread: BTreeSet<CallerId>,
}

/// Events for the role.
pub type CallerEvents = Vec<(ListenerId, HttpEvent)>;

impl CallerTable {
    /// Starts accepting connections of a listener.
    ///
    /// # Errors
    /// Fails when the listener can't be polled.
    pub fn listen(
        &mut self,
        poll: &MioPoll,
        id: ListenerId,
        listener: TcpListener,
        ready: Fwd<Ready>,
    ) -> std::io::Result<()> {
        let source = poll.add(listener, Interest::READABLE, POLL_PRIORITY, ready)?;
        let record = ListenerRecord {
            source: Some(source),
            is_stopping: false,
            bounds: BOUNDS_DEFAULT,
            closing: false,
        };
        self.listeners.insert(id, record);
        Ok(())
    }

    /// Accepts the next pending connection of a listener.
    pub fn accept(&mut self, id: ListenerId) -> Option<(CallerId, TcpStream)> {
        let record = self.listeners.get_mut(&id)?;
        let Ok((stream, _)) = record.source.as_ref()?.accept() else {
            if record.is_stopping {
                record.source = None;
            }
            return None;
        };
        self.next_id += 1;
        Some((self.next_id, stream))
    }

    /// Adds an accepted connection.
    ///
    /// # Errors
    /// Fails when the connection can't be polled.
    pub fn attach(
        &mut self,
        poll: &MioPoll,
        now: Instant,
        listener: ListenerId,
        id: CallerId,
        stream: TcpStream,
        ready: Fwd<Ready>,
    ) -> std::io::Result<()> {
        SockRef::from(&stream).set_tcp_nodelay(true)?;
        if self.connections.len() >= CONNECTIONS_MAX {
            self.evict_idle();
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, POLL_PRIORITY, ready)?;
        let connection = CallerConnection {
            socket: HttpSocket::new(source, true),
            listener,
            reader: RequestReader::default(),
            phase: CallerPhase::Idle(now),
            idle_timeout: Duration::ZERO,
            close_after: false,
            allows_chunks: true,
            chunked: false,
            is_head_request: false,
            resets_on_close: false,
            unwritten_len: 0,
            progress_at: now,
            request_len: 0,
        };
        self.connections.insert(id, connection);
        self.begin_idle(now, id);
        Ok(())
    }

    /// Sets the bounds of a listener's connections.
    pub fn set_bounds(&mut self, listener: ListenerId, bounds: ConnectionBounds) {
        if let Some(record) = self.listeners.get_mut(&listener) {
            record.bounds = bounds;
        }
    }

    /// Closes a listener once [`CallerTable::accept`] finds no further connection, as those
    /// that wait to be accepted would be reset; its connections stay open.
    pub fn stop_accepting(&mut self, listener: ListenerId) {
        if let Some(record) = self.listeners.get_mut(&listener) {
            record.is_stopping = true;
        }
    }

    /// Closes a listener's connections after their next responses. An idle one is
    /// closed [`LINGER_MAX`] from now, however long it has been idle, so that a
    /// request already on its way is still received.
    pub fn drain_connections(&mut self, now: Instant, listener: ListenerId) {
        if let Some(record) = self.listeners.get_mut(&listener) {
            record.closing = true;
        }
        for connection in self.connections.values_mut() {
            if connection.listener == listener {
                if let CallerPhase::Idle(since) = &mut connection.phase {
                    *since = (*since).max(now);
                }
            }
        }
    }

    /// Handles a connection that is ready to read or write.
    pub fn handle_ready(
        &mut self,
        now: Instant,
        id: CallerId,
        scratch: &mut [u8],
        events: &mut CallerEvents,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let record = self.listeners.get(&connection.listener);
        let read_state = if record.is_some_and(|record| connection.is_full(record.bounds)) {
            ReadState::Open
        } else {
            connection.socket.read(scratch)
        };
        if read_state == ReadState::Unread {
            self.unread.insert(id);
        } else {
            self.unread.remove(&id);
        }
        if matches!(connection.phase, CallerPhase::Lingering(_)) {
            connection.socket.input.clear();
        }
        if !read_state.is_open() || !connection.flush() {
            self.close(id, events);
            return;
        }
        self.read_requests(now, id, events);
    }

    /// Returns whether a connection must be read again.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Reads the connections again that have more bytes than one turn reads.
    pub fn read_again(&mut self, now: Instant, scratch: &mut [u8], events: &mut CallerEvents) {
        for id in std::mem::take(&mut self.unread) {
            self.handle_ready(now, id, scratch, events);
        }
    }

    /// Queues a part of a response; the connection of a caller that stops
    /// reading is closed once too much is buffered.
    pub fn queue_response_part(
        &mut self,
        now: Instant,
        request: RequestId,
        part: ResponsePart,
        events: &mut CallerEvents,
    ) {
        let Some(id) = self.requests.get(&request).copied() else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let listener = self.listeners.get(&connection.listener);
        // A caller that was not told of the end may have sent its next request already.
        let is_head = matches!(part, ResponsePart::Head { .. });
        connection.close_after |= is_head && listener.is_some_and(|record| record.closing);
        let ended = matches!(part, ResponsePart::End);
        if !connection.write_part(part) {
            self.requests.remove(&request);
            self.connections.remove(&id);
            return;
        }
        if connection.socket.output.len() > RESPONSE_BUFFER_MAX {
            self.close(id, events);
            return;
        }
        self.dirty.push(id);
        if ended {
            self.requests.remove(&request);
            self.finish_response(now, id, events);
        }
    }

    /// Writes the queued bytes.
    pub fn flush(&mut self, events: &mut CallerEvents) {
        let mut dirty = std::mem::take(&mut self.dirty);
        dirty.dedup();
        for id in dirty.drain(..) {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            if !connection.flush() {
                self.close(id, events);
            }
        }
        self.dirty = dirty;
    }

    fn finish_response(&mut self, now: Instant, id: CallerId, events: &mut CallerEvents) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.request_len = 0;
        if !connection.socket.input.is_empty() {
            // Reading may have stopped while the input was full.
            self.unread.insert(id);
        }
        if connection.close_after {
            connection.phase = CallerPhase::Lingering(now);
            // The end of the stream signals the caller that nothing follows.
            if connection.flush() && connection.socket.output.is_empty() {
                let _ = connection
                    .socket
                    .stream()
                    .shutdown(std::net::Shutdown::Write);
            }
            return;
        }
        self.begin_idle(now, id);
        self.read_requests(now, id, events);
    }

    fn read_requests(&mut self, now: Instant, id: CallerId, events: &mut CallerEvents) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(record) = self.listeners.get(&connection.listener) else {
            return;
        };
        if !matches!(
            connection.phase,
            CallerPhase::Idle(_) | CallerPhase::Reading(_)
        ) {
            return;
        }
        if connection.socket.input.is_empty() && !connection.reader.is_open() {
            return;
        }
        let limits = RequestLimits {
            head_max: record.bounds.head_max,
            body_max: record.bounds.body_max,
        };
        match connection
            .reader
            .next_request(&mut connection.socket.input, limits)
        {
            Ok(Some(read)) => {
                self.next_id += 1;
                let request = self.next_id;
                connection.phase = CallerPhase::Processing(request);
                connection.close_after = read.closes_connection;
                connection.allows_chunks = read.allows_chunks;
                connection.is_head_request = read.http.method == "HEAD";
                self.requests.insert(request, id);
                let http = read.http;
                connection.request_len = http.body.len();
                events.push((connection.listener, HttpEvent::Request { request, http }));
            }
            Ok(None) => {
                if connection.reader.pop_expect_continue() {
                    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
                    connection.socket.output.extend_from_slice(interim);
                    self.dirty.push(id);
                }
                if let CallerPhase::Idle(_) = connection.phase {
                    connection.phase = CallerPhase::Reading(now);
                }
            }
            Err(error) => {
                connection.refuse(now, refusal_status(error), &[]);
                self.dirty.push(id);
            }
        }
    }

    fn close(&mut self, id: CallerId, events: &mut CallerEvents) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let CallerPhase::Processing(request) = connection.phase {
            self.requests.remove(&request);
            events.push((connection.listener, HttpEvent::Disconnected { request }));
        }
    }
}

impl CallerConnection {
    fn held_bytes(&self) -> usize {
        self.socket.output.len() + self.socket.input.len() + self.request_len
    }

    /// Returns whether no more input is read until the response is complete.
    fn is_full(&self, bounds: ConnectionBounds) -> bool {
        let input_max = bounds.head_max + bounds.body_max;
        matches!(self.phase, CallerPhase::Processing(_)) && self.socket.input.len() >= input_max
    }

    /// Extends the wait of a connection whose caller still receives a response.
    fn record_progress(&mut self, now: Instant) {
        let unwritten_len = self.socket.output.len();
        let is_progress = unwritten_len < self.unwritten_len;
        self.unwritten_len = unwritten_len;
        if is_progress || unwritten_len == 0 {
            self.progress_at = now;
        }
        if let CallerPhase::Idle(since) | CallerPhase::Lingering(since) = &mut self.phase {
            if is_progress {
                *since = now;
            }
        }
    }

    /// Queues a part; false when the connection must be closed.
    fn write_part(&mut self, part: ResponsePart) -> bool {
        match part {
            ResponsePart::Head {
                status,
                headers,
                length,
            } => {
                self.chunked = length.is_none() && self.allows_chunks;
                if length.is_none() && !self.allows_chunks {
                    self.close_after = true;
                    self.set_reset_on_close(!self.is_head_request);
                }
                let output = &mut self.socket.output;
                write_response_head(
                    status,
                    &headers,
                    length,
                    self.allows_chunks,
                    self.close_after,
                    output,
                );
            }
            ResponsePart::Data(_) if self.is_head_request => {}
            ResponsePart::Data(buf) if self.chunked => write_chunk(&buf, &mut self.socket.output),
            ResponsePart::Data(buf) => self.socket.output.extend_from_slice(&buf),
            ResponsePart::End if self.chunked && !self.is_head_request => {
                write_last_chunk(&mut self.socket.output);
            }
            ResponsePart::End => {}
            ResponsePart::Abort => return false,
        }
        true
    }

    /// Writes queued bytes; false when the connection failed.
    fn flush(&mut self) -> bool {
        if !self.socket.flush() {
            return false;
        }
        let is_written =
            matches!(self.phase, CallerPhase::Lingering(_)) && self.socket.output.is_empty();
        if is_written && self.resets_on_close {
            self.set_reset_on_close(false);
        }
        true
    }

    fn set_reset_on_close(&mut self, resets: bool) {
        self.resets_on_close = resets;
        // A failed socket needs no reset.
        let _ = SockRef::from(self.socket.stream()).set_linger(resets.then_some(Duration::ZERO));
    }
}
