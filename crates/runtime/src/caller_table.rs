//! Connections of callers to a role's own HTTP listeners.
//!
//! Purpose: reads complete requests, passes them to the role and writes its
//! responses, all on the process's poll and without a thread for each
//! connection.
//!
//! Guarantees: a connection has at most one request in flight, and pipelined
//! requests wait in its buffer, beyond a limit unread; a connection that ends while its
//! request is in flight is reported at once; durations and lengths are
//! limited by the listener's bounds; a truncated response is never framed as a
//! complete one; what is held for callers is in the process's budget, memory for a
//! request before its bytes are read.

mod caller_accepts;
mod caller_backlog;
mod caller_reads;
mod caller_refusals;
mod caller_timeouts;

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use mulberrywell_http1::{write_chunk, write_last_chunk, write_response_head, RequestReader};
use mulberrywell_role::{ConnectionBounds, HttpEvent, ListenerId, RequestId, ResponsePart};
use socket2::SockRef;
use stakker::Fwd;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::caller_budget::{CallerBudget, CallerCharge, RefusalKind};
use crate::exchange_table::ARRIVED_MAX;
use crate::http_socket::HttpSocket;

use caller_accepts::CloseRank;
use caller_reads::ReadQueues;

pub(crate) use caller_accepts::is_connection_error;
pub use caller_backlog::EndedCaller;

/// Response bytes that may be buffered for a slow caller before its connection
/// is closed.
const RESPONSE_BUFFER_MAX: usize = 8 * 1024 * 1024;

/// Time allowed for the caller to receive the last response, once it is written,
/// before its socket is closed.
const LINGER_MAX: Duration = Duration::from_secs(1);

/// Lowest status of a response that is no success.
const ERROR_STATUS: u16 = 400;

/// Longest framing of a chunk in bytes.
const CHUNK_FRAME_MAX: usize = 20;

const POLL_PRIORITY: u32 = 10;

/// Memory in bytes of a connection without its buffers.
pub const CONNECTION_MEMORY: usize = 1_024;

/// Memory in bytes that a request takes until its response is complete, in addition to its
/// bytes: what its role and the exchange with an endpoint keep, and what may have arrived of
/// the response and is not read.
pub const REQUEST_MEMORY: usize = 8 * 1024 + ARRIVED_MAX;

/// Id of a connection; never reused.
pub type CallerId = u64;

/// What a role does with the requests of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestUse {
    /// It answers them, and doesn't use their bodies.
    Answered,
    /// It decodes their bodies, so that memory is taken for their values, too.
    Decoded,
    /// It forwards them, so that a descriptor is taken for the connection to an endpoint.
    Forwarded,
}

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
    /// Address that the caller connects from.
    source: IpAddr,
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
    /// Memory of the request in flight: its head and body, and its decoded values.
    request_len: usize,
    /// Bytes received of the request that is being read.
    received_len: usize,
    /// All memory is taken that the request being read takes.
    is_reserved: bool,
    /// When bytes were received last.
    received_at: Instant,
    /// Successful responses that the caller has had; one with any is known to behave.
    successes: u32,
    /// Bytes behind the request in flight are left in the socket.
    is_paused: bool,
    /// The connection waits in one of the read queues.
    is_queued: bool,
    /// What is held for the caller, as in the budget.
    charge: CallerCharge,
}

struct ListenerRecord {
    /// None once no further connections are accepted.
    source: Option<MioSource<TcpListener>>,
    /// When connections that may wait are accepted, as the poll doesn't tell of them again.
    accept_at: Option<Instant>,
    /// The listener closes once no connection waits to be accepted.
    is_stopping: bool,
    bounds: ConnectionBounds,
    /// Connections close after their current responses.
    closing: bool,
    request_use: RequestUse,
    /// Connections that are open.
    open_count: usize,
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
    unread: ReadQueues,
    /// Connections that may be closed to make room, in order.
    closable: VecDeque<(CloseRank, CallerId)>,
    /// When a request to refuse was last searched for in vain.
    searched_at: Option<Instant>,
    budget: CallerBudget,
}

/// Events for the role.
pub type CallerEvents = Vec<(ListenerId, HttpEvent)>;

impl CallerTable {
    /// Creates a table without connections with a process's budget.
    pub fn new(budget: CallerBudget) -> Self {
        CallerTable {
            budget,
            ..CallerTable::default()
        }
    }

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
            accept_at: None,
            is_stopping: false,
            bounds: BOUNDS_DEFAULT,
            closing: false,
            request_use: RequestUse::Forwarded,
            open_count: 0,
        };
        self.listeners.insert(id, record);
        Ok(())
    }

    /// Adds an accepted connection, or refuses it when callers use all descriptors that
    /// they may and none of them can be closed.
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
        let Some(charge) = self.admit(now, listener) else {
            self.refuse_connection(id, &stream);
            return Ok(());
        };
        let address = stream.peer_addr();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, POLL_PRIORITY, ready)?;
        let connection = CallerConnection {
            socket: HttpSocket::new(source, true),
            listener,
            // A caller that has gone already has no address.
            source: address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |it| it.ip()),
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
            received_len: 0,
            is_reserved: false,
            received_at: now,
            successes: 0,
            is_paused: false,
            is_queued: false,
            charge,
        };
        self.connections.insert(id, connection);
        if let Some(record) = self.listeners.get_mut(&listener) {
            record.open_count += 1;
        }
        self.begin_idle(now, id);
        self.settle(id);
        Ok(())
    }

    /// Sets what the role does with a listener's requests; unless set, it forwards them.
    pub fn set_request_use(&mut self, listener: ListenerId, request_use: RequestUse) {
        if let Some(record) = self.listeners.get_mut(&listener) {
            record.request_use = request_use;
        }
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
            self.remove(id);
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
        self.settle(id);
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
            self.settle(id);
        }
        self.dirty = dirty;
    }

    fn finish_response(&mut self, now: Instant, id: CallerId, events: &mut CallerEvents) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.request_len = 0;
        connection.charge.release_exchange();
        connection.received_len = connection.socket.input.len();
        if std::mem::take(&mut connection.is_paused) {
            self.unread.push(id, connection, self.budget.limits());
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

    fn close(&mut self, id: CallerId, events: &mut CallerEvents) {
        let Some(connection) = self.remove(id) else {
            return;
        };
        if let CallerPhase::Processing(request) = connection.phase {
            self.requests.remove(&request);
            events.push((connection.listener, HttpEvent::Disconnected { request }));
        }
    }
}

impl CallerConnection {
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
                if status < ERROR_STATUS {
                    self.successes = self.successes.saturating_add(1);
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
            ResponsePart::Data(buf) => {
                self.socket.reserve_output(buf.len() + CHUNK_FRAME_MAX);
                match self.chunked {
                    true => write_chunk(&buf, &mut self.socket.output),
                    false => self.socket.output.extend_from_slice(&buf),
                }
            }
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
