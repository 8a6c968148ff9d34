//! One caller's connection through the front proxy.
//!
//! Algorithm: a request head is buffered until it is complete and validated;
//! only then is a connection to the upstream HTTP server opened. Exactly the
//! bytes of the request are forwarded, so that the upstream server never waits
//! for a head and never takes bytes of one request as part of another. Response
//! bytes are forwarded as they arrive. At most one read is buffered in each
//! direction; while one side accepts no data, further bytes stay in the socket
//! buffers of the other side. Memory for a body is taken from the process's budget
//! before the body is read: for all of it where its length is known, else for each read.

mod proxy_charges;
mod proxy_transfers;

pub use proxy_charges::ProxyRank;

use std::collections::BTreeSet;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mulberrywell_role::RequestId;
use socket2::SockRef;

use crate::caller_budget::CallerCharge;
use crate::head_check::{allows_chunks, check_head, BodyLength, HeadError, HeadScan};
use crate::http_refusal::{
    HttpRefusal, AMBIGUOUS_LENGTH, BAD_REQUEST, BODY_TOO_LARGE, HEAD_TOO_LARGE, NO_UPGRADE,
    SHUTTING_DOWN, TOO_SLOW,
};
use crate::open_ports::OpenPort;
use crate::proxy_io::WriteOutcome;

/// Size in bytes of one read, and limit of the bytes buffered in each
/// direction.
pub const READ_LEN: usize = 16 * 1024;

/// Idle timeout of a connection between requests.
const IDLE_MAX: Duration = Duration::from_secs(60);

/// Time allowed for the caller to receive the last bytes before its socket is
/// closed.
const LINGER_MAX: Duration = Duration::from_secs(1);

/// A complete request, and the rest of a closing response, must be transferred
/// within this multiple of the stall timeout.
const BODY_STALL_FACTOR: u32 = 6;

/// Transfers in one turn of a connection before others are served.
const TURN_MOVES: usize = 16;

/// Memory in bytes of a connection without its request.
const CONNECTION_MEMORY: usize = 2 * 1024;

/// Memory in bytes of the upstream server's threads and buffers for one connection.
const UPSTREAM_MEMORY: usize = 32 * 1024;

/// Copies of a body that exist at the same time: in segments and in one piece, then in one
/// piece and in a frame to an agent.
pub const BODY_COPIES: usize = 2;

/// Descriptors of a connection that is open to the upstream server: both sides, and the
/// two of the upstream server.
pub const PROXIED_DESCRIPTORS: usize = 4;

/// What happens to a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// The connection stays open for the next request.
    KeepAlive,
    /// The connection is closed once the response has been written to the
    /// caller.
    Close,
    /// The connection is reset, so that the caller detects the truncated
    /// response.
    Reset,
}

/// Progress of the current request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProxyPhase {
    /// Waiting for the complete head; nothing has been forwarded.
    Head,
    /// Forwarding; this much of head and body remains.
    Body(BodyLength),
    /// The complete request has been forwarded; waiting for the response.
    Response,
    /// No further request is accepted; forwarding the rest of the response.
    Closing,
    /// The response has been written. Bytes that still arrive are discarded,
    /// because closing a socket with unread bytes resets the connection.
    Lingering,
}

/// One of the two sides of a proxied connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxySide {
    /// The caller.
    Caller,
    /// The upstream HTTP server.
    Upstream,
}

/// Readiness of a socket for operations that don't block.
#[derive(Debug, Clone, Copy, Default)]
pub struct SocketReady {
    /// Bytes or the end of the stream may be readable.
    pub read: bool,
    /// The socket may accept bytes.
    pub write: bool,
    /// The peer has closed its sending side; unread bytes may remain.
    pub closed: bool,
}

/// Next step for the proxy loop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyStep {
    /// Wait until a socket is ready.
    Wait,
    /// Further transfers are possible once other connections have had their turns.
    Again,
    /// So many more bytes of memory are required for the request.
    TakeMemory(usize),
    /// A head is complete: a connection to the upstream server is required.
    OpenUpstream,
    /// The connection has ended and must be dropped.
    Ended,
}

/// Limits of each connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum length of a body in bytes.
    pub max_body: u64,
    /// Timeout for a complete head, and for progress of a body or a response.
    pub stall_timeout: Duration,
}

/// A connection to the upstream server.
#[derive(Debug)]
pub struct UpstreamSocket {
    /// Requests on this connection may start; dropped before the socket.
    pub port: OpenPort,
    /// The socket.
    pub socket: TcpStream,
}

/// A proxied connection of one caller.
#[derive(Debug)]
pub struct ProxyConnection {
    caller: TcpStream,
    upstream: Option<UpstreamSocket>,
    limits: ConnectionLimits,
    phase: ProxyPhase,
    scan: HeadScan,
    close: CloseMode,
    caller_ready: SocketReady,
    upstream_ready: SocketReady,
    /// Bytes received from the caller; at most [`HEAD_MAX`](crate::head_check::HEAD_MAX) or one read.
    inbound: Vec<u8>,
    /// Bytes to write to the caller; at most one read or one error response.
    outbound: Vec<u8>,
    /// Set once the caller has closed its sending side while response bytes are
    /// still to be written.
    caller_ended: bool,
    /// Closing the caller's socket sends a reset, as the end of the connection may
    /// end the body of the current response, which is not yet written completely.
    resets_on_drop: bool,
    /// Set once the upstream server has closed its sending side.
    upstream_ended: bool,
    /// Requests that are not passed to a role yet are refused.
    refuses_unread: bool,
    /// Refusal of the bytes behind a request, to be written behind its response.
    refusal: Option<HttpRefusal>,
    /// Requests that were passed to a role and are not yet answered.
    requests: BTreeSet<RequestId>,
    /// Start of the current phase.
    phase_since: Instant,
    /// Time of the last transfer in either direction.
    last_progress: Instant,
    /// Stated length of the body of the current request; none if it is chunked.
    body_len: Option<usize>,
    /// Bytes of the current request received behind its head.
    received_len: usize,
    /// Bytes of the current request were forwarded.
    is_forwarded: bool,
    /// Successful responses that the caller has had; one with any is known to behave.
    successes: u32,
    /// What is held for the caller, as in the budget.
    charge: CallerCharge,
}

impl ProxyConnection {
    /// Creates the state of an accepted connection.
    pub fn new(
        caller: TcpStream,
        limits: ConnectionLimits,
        now: Instant,
        mut charge: CallerCharge,
    ) -> Self {
        charge.set(CONNECTION_MEMORY);
        ProxyConnection {
            caller,
            upstream: None,
            limits,
            phase: ProxyPhase::Head,
            scan: HeadScan::default(),
            close: CloseMode::KeepAlive,
            caller_ready: SocketReady::default(),
            upstream_ready: SocketReady::default(),
            inbound: Vec::new(),
            outbound: Vec::new(),
            caller_ended: false,
            resets_on_drop: false,
            upstream_ended: false,
            refuses_unread: false,
            refusal: None,
            requests: BTreeSet::new(),
            phase_since: now,
            last_progress: now,
            body_len: None,
            received_len: 0,
            is_forwarded: false,
            successes: 0,
            charge,
        }
    }

    /// Returns the socket to the caller.
    pub fn caller_mut(&mut self) -> &mut TcpStream {
        &mut self.caller
    }

    /// Closes the caller's side; returns the socket to the upstream server, and what is
    /// held until that has closed its side.
    pub fn into_upstream(mut self) -> Option<(TcpStream, CallerCharge)> {
        let upstream = self.upstream?;
        self.charge.release_descriptor();
        self.charge.set(UPSTREAM_MEMORY);
        Some((upstream.socket, self.charge))
    }

    /// Returns the local address of the socket to the upstream server.
    pub fn upstream_address(&self) -> Option<SocketAddr> {
        self.upstream.as_ref()?.socket.local_addr().ok()
    }

    /// Returns the requests that are not yet answered.
    pub fn requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().copied()
    }

    /// Sets the connection that [`ProxyStep::OpenUpstream`] requires.
    pub fn set_upstream(&mut self, upstream: UpstreamSocket) {
        self.upstream = Some(upstream);
    }

    /// Records the readiness of a socket.
    pub fn record_ready(&mut self, side: ProxySide, ready: SocketReady) {
        let recorded = match side {
            ProxySide::Caller => &mut self.caller_ready,
            ProxySide::Upstream => &mut self.upstream_ready,
        };
        recorded.read |= ready.read;
        recorded.write |= ready.write;
        recorded.closed |= ready.closed;
    }

    /// Records that a request of this connection was passed to a role.
    pub fn record_request(&mut self, now: Instant, request: RequestId) {
        self.requests.insert(request);
        if matches!(self.phase, ProxyPhase::Body(_)) {
            self.enter(ProxyPhase::Response, now);
        }
    }

    /// Records that the caller has had a successful response.
    pub fn record_success(&mut self) {
        self.successes = self.successes.saturating_add(1);
    }

    /// Records that a response was written completely or abandoned.
    pub fn finish_request(&mut self, now: Instant, request: Option<RequestId>, close: CloseMode) {
        if let Some(request) = request {
            self.requests.remove(&request);
        }
        if let Some(upstream) = &self.upstream {
            upstream.port.finish_request();
        }
        if close != CloseMode::KeepAlive {
            self.close = close;
        }
        if self.close != CloseMode::KeepAlive {
            self.shut_down_upstream();
            self.enter(ProxyPhase::Closing, now);
        } else if self.phase == ProxyPhase::Response && self.requests.is_empty() {
            self.scan = HeadScan::default();
            self.enter(ProxyPhase::Head, now);
        }
    }

    /// Transfers bytes in both directions until no socket makes progress.
    pub fn advance(&mut self, now: Instant, scratch: &mut [u8]) -> ProxyStep {
        for _ in 0..TURN_MOVES {
            self.handle_head(now);
            let more = self.required_memory().saturating_sub(self.charge.held());
            if more > 0 {
                return ProxyStep::TakeMemory(more);
            }
            if matches!(self.phase, ProxyPhase::Body(_)) && self.upstream.is_none() {
                return ProxyStep::OpenUpstream;
            }
            let outcomes = [
                self.read_caller(now, scratch),
                self.write_upstream(now),
                self.read_upstream(scratch),
                self.write_caller(),
            ];
            if outcomes.contains(&MoveOutcome::Failed) {
                return ProxyStep::Ended;
            }
            if !outcomes.contains(&MoveOutcome::Moved) {
                return self.finish_close(now);
            }
            self.last_progress = now;
        }
        ProxyStep::Again
    }

    /// Applies the timeouts of the current phase.
    pub fn expire(&mut self, now: Instant) -> ProxyStep {
        let stall_timeout = self.limits.stall_timeout;
        let time_in_phase = now.saturating_duration_since(self.phase_since);
        let without_progress = now.saturating_duration_since(self.last_progress);
        match self.phase {
            ProxyPhase::Head if !self.inbound.is_empty() && time_in_phase >= stall_timeout => {
                self.refuse_next(now, TOO_SLOW);
            }
            ProxyPhase::Head if self.upstream.is_none() && time_in_phase >= stall_timeout => {
                return ProxyStep::Ended;
            }
            ProxyPhase::Head if time_in_phase >= IDLE_MAX => return ProxyStep::Ended,
            ProxyPhase::Body(_)
                if without_progress >= stall_timeout
                    || time_in_phase >= stall_timeout * BODY_STALL_FACTOR =>
            {
                if self.has_pending_response() {
                    // A refusal would stand in the middle of the response before.
                    return ProxyStep::Ended;
                }
                if self.abandon_request() {
                    self.refuse(now, TOO_SLOW);
                }
            }
            ProxyPhase::Response
                if !self.outbound.is_empty() && without_progress >= stall_timeout =>
            {
                return ProxyStep::Ended;
            }
            ProxyPhase::Response if self.requests.is_empty() && time_in_phase >= stall_timeout => {
                return ProxyStep::Ended;
            }
            ProxyPhase::Closing
                if without_progress >= stall_timeout
                    || time_in_phase >= stall_timeout * BODY_STALL_FACTOR =>
            {
                return ProxyStep::Ended;
            }
            ProxyPhase::Lingering if time_in_phase >= LINGER_MAX => return ProxyStep::Ended,
            _ => {}
        }
        ProxyStep::Wait
    }

    /// Returns whether a response is expected, or bytes of one are still to be
    /// written.
    pub fn has_pending_response(&self) -> bool {
        let has_unread = self.upstream_ready.read && !self.upstream_ended;
        !self.requests.is_empty() || !self.outbound.is_empty() || has_unread
    }

    /// Makes closing the caller's socket send a reset.
    pub fn reset_on_drop(&mut self) {
        self.set_reset_on_drop(true);
    }

    fn set_reset_on_drop(&mut self, resets: bool) {
        if self.resets_on_drop != resets {
            self.resets_on_drop = resets;
            // A failed socket needs no reset.
            let _ = SockRef::from(&self.caller).set_linger(resets.then_some(Duration::ZERO));
        }
    }

    fn enter(&mut self, phase: ProxyPhase, now: Instant) {
        if phase == ProxyPhase::Head {
            let upstream = match self.upstream {
                Some(_) => UPSTREAM_MEMORY,
                None => 0,
            };
            self.charge.set(CONNECTION_MEMORY + upstream);
        }
        self.phase = phase;
        self.phase_since = now;
        self.last_progress = now;
    }

    /// Closes the sending side to the upstream server, so that it ends the
    /// connection after the response.
    fn shut_down_upstream(&mut self) {
        if let Some(upstream) = &self.upstream {
            // The upstream server may have closed the connection already.
            let _ = upstream.socket.shutdown(Shutdown::Write);
        }
    }

    /// Validates the head once the caller's bytes contain a complete one.
    fn handle_head(&mut self, now: Instant) {
        if self.phase != ProxyPhase::Head || self.inbound.is_empty() {
            return;
        }
        if self.refuses_unread {
            self.refuse_next(now, SHUTTING_DOWN);
            return;
        }
        let found = self.scan.advance(&self.inbound);
        let checked = found.and_then(|end| match end {
            Some(end) => {
                let body = check_head(&self.inbound[..end], self.limits.max_body)?;
                Ok(Some((end, body)))
            }
            None => Ok(None),
        });
        match checked {
            Ok(None) => {}
            Ok(Some((end, body))) => {
                if body == BodyLength::Chunked {
                    // Only the upstream server parses the chunks, so the start
                    // of a next head is not known here.
                    self.close = CloseMode::Close;
                }
                let remaining = match body {
                    BodyLength::Known(len) => BodyLength::Known(len + end as u64),
                    BodyLength::Chunked => BodyLength::Chunked,
                };
                self.body_len = match body {
                    BodyLength::Known(len) => usize::try_from(len).ok(),
                    BodyLength::Chunked => None,
                };
                self.received_len = self.inbound.len() - end;
                self.is_forwarded = false;
                self.set_reset_on_drop(!allows_chunks(&self.inbound[..end]));
                self.enter(ProxyPhase::Body(remaining), now);
            }
            Err(error) => self.refuse_next(now, head_refusal(error)),
        }
    }

    /// Ends the connection once the upstream server has closed and all bytes
    /// have been written to the caller.
    fn finish_close(&mut self, now: Instant) -> ProxyStep {
        if self.phase == ProxyPhase::Head && !self.has_pending_response() {
            self.set_reset_on_drop(false);
        }
        if !self.upstream_ended || !self.outbound.is_empty() || self.phase == ProxyPhase::Lingering
        {
            return ProxyStep::Wait;
        }
        if self.close == CloseMode::Reset {
            self.reset_on_drop();
            return ProxyStep::Ended;
        }
        self.set_reset_on_drop(false);
        if self.caller.shutdown(Shutdown::Write).is_err() || self.caller_ended {
            return ProxyStep::Ended;
        }
        self.enter(ProxyPhase::Lingering, now);
        ProxyStep::Wait
    }
}

/// Result of one attempt to transfer bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveOutcome {
    Idle,
    Moved,
    /// The connection has ended.
    Failed,
}

impl From<WriteOutcome> for MoveOutcome {
    fn from(outcome: WriteOutcome) -> Self {
        match outcome {
            WriteOutcome::Written(_) => MoveOutcome::Moved,
            WriteOutcome::Blocked => MoveOutcome::Idle,
            WriteOutcome::Failed => MoveOutcome::Failed,
        }
    }
}

fn head_refusal(error: HeadError) -> HttpRefusal {
    match error {
        HeadError::Malformed => BAD_REQUEST,
        HeadError::TooLong => HEAD_TOO_LARGE,
        HeadError::BodyTooLong => BODY_TOO_LARGE,
        HeadError::AmbiguousLength => AMBIGUOUS_LENGTH,
        HeadError::Upgrade => NO_UPGRADE,
    }
}
