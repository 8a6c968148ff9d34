//! One caller's connection at the guard.
//!
//! Algorithm: a head is held back until it is whole and checked; only then is
//! a connection to the HTTP library opened. Exactly the request's own bytes go
//! on to it, so that the library never waits for a head and never reads one
//! request's bytes as another's. Answers go back as they come. At most one
//! read of bytes waits for each side; what a side does not take stays in the
//! socket buffers of the other.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mulberrywell_role::RequestId;
use socket2::SockRef;

use crate::head_check::{check_head, BodyLength, HeadFault, HeadScan, HEAD_MAX};
use crate::http_refusal::{
    HttpRefusal, AMBIGUOUS_LENGTH, BAD_REQUEST, BODY_TOO_LARGE, HEAD_TOO_LARGE, NO_UPGRADE,
    TOO_SLOW,
};

/// Bytes of one read, and the most that wait for one side.
pub const READ_LEN: usize = 16 * 1024;

/// Time that an open connection without a request is kept.
const IDLE_MAX: Duration = Duration::from_secs(60);

/// Time that a caller gets to take the last bytes before its socket is closed.
const LINGER_MAX: Duration = Duration::from_secs(1);

/// A whole request must come within this many times the stall bound.
const BODY_STALL_FACTOR: u32 = 6;

/// What becomes of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// It takes the next request.
    KeepAlive,
    /// It is closed once the caller has the answer.
    Close,
    /// It is reset, so that the caller sees that the answer is short.
    Reset,
}

/// How far the current request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProxyPhase {
    /// Its head is awaited; nothing of it has gone on.
    Head,
    /// This much of head and body is still to go on.
    Body(BodyLength),
    /// It has gone on whole; its answer comes.
    Response,
    /// No further request; the rest of the answer comes.
    Closing,
    /// The caller has all; bytes that it still sends are dropped, as a close
    /// before them would reset the connection.
    Lingering,
}

/// Which side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxySide {
    /// The caller.
    Caller,
    /// The HTTP library.
    Upstream,
}

/// Whether a socket may be read or written without blocking.
#[derive(Debug, Clone, Copy, Default)]
pub struct SocketReady {
    /// Bytes or the end may wait.
    pub read: bool,
    /// Bytes may be taken.
    pub write: bool,
    /// The other side sends no more, though bytes may still wait.
    pub closed: bool,
}

/// What follows for the guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyStep {
    /// Nothing to do until a socket is ready.
    Wait,
    /// A head is whole: a connection to the library is wanted.
    OpenUpstream,
    /// The connection is over and must be dropped.
    Ended,
}

/// Bounds that each connection keeps to.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Longest body in bytes.
    pub max_body: u64,
    /// Longest time for a head, and without progress of a body or an answer.
    pub stall_timeout: Duration,
}

/// One caller's connection.
#[derive(Debug)]
pub struct ProxyConnection {
    caller: TcpStream,
    upstream: Option<TcpStream>,
    limits: ConnectionLimits,
    phase: ProxyPhase,
    scan: HeadScan,
    close: CloseMode,
    caller_ready: SocketReady,
    upstream_ready: SocketReady,
    /// Bytes of the caller; at most [`HEAD_MAX`] or one read.
    inbound: Vec<u8>,
    /// Bytes for the caller; at most one read or one refusal.
    outbound: Vec<u8>,
    /// Set once the caller has ended its side and is owed an answer still.
    caller_ended: bool,
    /// Set once the library has ended its side.
    upstream_ended: bool,
    /// Requests that a role has and that are not answered.
    requests: BTreeSet<RequestId>,
    /// When the phase began.
    phase_since: Instant,
    /// When bytes last moved.
    last_progress: Instant,
}

impl ProxyConnection {
    /// Takes over an accepted connection.
    pub fn new(caller: TcpStream, limits: ConnectionLimits, now: Instant) -> Self {
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
            upstream_ended: false,
            requests: BTreeSet::new(),
            phase_since: now,
            last_progress: now,
        }
    }

    /// Returns the caller's socket.
    pub fn caller_mut(&mut self) -> &mut TcpStream {
        &mut self.caller
    }

    /// Returns the library's socket.
    pub fn upstream_mut(&mut self) -> Option<&mut TcpStream> {
        self.upstream.as_mut()
    }

    /// Returns the local address of the library's socket.
    pub fn upstream_address(&self) -> Option<SocketAddr> {
        self.upstream.as_ref()?.local_addr().ok()
    }

    /// Returns the requests that are not answered.
    pub fn requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().copied()
    }

    /// Returns since when the connection has no request in work, if it has
    /// none.
    pub fn idle_since(&self) -> Option<Instant> {
        (self.phase == ProxyPhase::Head).then_some(self.phase_since)
    }

    /// Takes the connection to the library that [`GuardStep::OpenLibrary`]
    /// asked for.
    pub fn set_upstream(&mut self, upstream: TcpStream) {
        self.upstream = Some(upstream);
    }

    /// Notes what a socket is ready for.
    pub fn record_ready(&mut self, side: ProxySide, ready: SocketReady) {
        let recorded = match side {
            ProxySide::Caller => &mut self.caller_ready,
            ProxySide::Upstream => &mut self.upstream_ready,
        };
        recorded.read |= ready.read;
        recorded.write |= ready.write;
        recorded.closed |= ready.closed;
    }

    /// Notes that a role has a request of this connection.
    pub fn record_request(&mut self, now: Instant, request: RequestId) {
        self.requests.insert(request);
        if matches!(self.phase, ProxyPhase::Body(_)) {
            self.enter(ProxyPhase::Response, now);
        }
    }

    /// Notes that an answer was written whole or given up.
    pub fn finish_request(&mut self, now: Instant, request: Option<RequestId>, close: CloseMode) {
        if let Some(request) = request {
            self.requests.remove(&request);
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

    /// Answers in the library's place and closes.
    pub fn refuse(&mut self, now: Instant, refusal: HttpRefusal) {
        self.shut_down_upstream();
        self.upstream = None;
        self.upstream_ended = true;
        self.outbound.extend_from_slice(&refusal.bytes());
        self.enter(ProxyPhase::Closing, now);
    }

    /// Moves what can be moved.
    pub fn advance(&mut self, now: Instant, scratch: &mut [u8]) -> ProxyStep {
        loop {
            let step = self.handle_head(now);
            if step != ProxyStep::Wait {
                return step;
            }
            let outcomes = [
                self.read_caller(now, scratch),
                self.write_upstream(now),
                self.read_upstream(scratch),
                self.write_caller(),
            ];
            if outcomes.contains(&TransferOutcome::Failed) {
                return ProxyStep::Ended;
            }
            if !outcomes.contains(&TransferOutcome::Progress) {
                return self.finish_close(now);
            }
            self.last_progress = now;
        }
    }

    /// Ends what takes too long.
    pub fn expire(&mut self, now: Instant) -> ProxyStep {
        let stall_timeout = self.limits.stall_timeout;
        let time_in_phase = now.saturating_duration_since(self.phase_since);
        let without_progress = now.saturating_duration_since(self.last_progress);
        match self.phase {
            ProxyPhase::Head if !self.inbound.is_empty() && time_in_phase >= stall_timeout => {
                self.refuse(now, TOO_SLOW);
            }
            ProxyPhase::Head if self.upstream.is_none() && time_in_phase >= stall_timeout => {
                return ProxyStep::Ended;
            }
            ProxyPhase::Head if time_in_phase >= IDLE_MAX => return ProxyStep::Ended,
            ProxyPhase::Body(_)
                if without_progress >= stall_timeout
                    || time_in_phase >= stall_timeout * BODY_STALL_FACTOR =>
            {
                self.refuse(now, TOO_SLOW);
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

    /// Makes the close of the caller's socket a reset.
    pub fn reset_on_drop(&self) {
        // A socket that has failed already needs no reset.
        let _ = SockRef::from(&self.caller).set_linger(Some(Duration::ZERO));
    }

    fn enter(&mut self, phase: ProxyPhase, now: Instant) {
        self.phase = phase;
        self.phase_since = now;
        self.last_progress = now;
    }

    /// Lets the library see the end of the caller's bytes, so that it ends the
    /// connection after the answer.
    fn shut_down_upstream(&mut self) {
        if let Some(upstream) = &self.upstream {
            // It may have ended already.
            let _ = upstream.shutdown(Shutdown::Write);
        }
    }

    /// Looks for a whole head in the caller's bytes.
    fn handle_head(&mut self, now: Instant) -> ProxyStep {
        if self.phase != ProxyPhase::Head || self.inbound.is_empty() {
            return ProxyStep::Wait;
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
            Ok(None) => ProxyStep::Wait,
            Ok(Some((end, body))) => {
                if body == BodyLength::Chunked {
                    // Only the library knows where the next head would begin.
                    self.close = CloseMode::Close;
                }
                let remaining = match body {
                    BodyLength::Known(len) => BodyLength::Known(len + end as u64),
                    BodyLength::Chunked => BodyLength::Chunked,
                };
                self.enter(ProxyPhase::Body(remaining), now);
                match self.upstream {
                    Some(_) => ProxyStep::Wait,
                    None => ProxyStep::OpenUpstream,
                }
            }
            Err(fault) => {
                self.refuse(now, head_refusal(fault));
                ProxyStep::Wait
            }
        }
    }

    fn read_caller(&mut self, now: Instant, scratch: &mut [u8]) -> TransferOutcome {
        if !self.caller_ready.read || self.caller_ended {
            return TransferOutcome::Idle;
        }
        let read_limit = self.caller_read_limit(scratch.len());
        if read_limit == 0 {
            return match self.caller_ready.closed && self.phase == ProxyPhase::Response {
                true => TransferOutcome::Failed,
                false => TransferOutcome::Idle,
            };
        }
        let buf = &mut scratch[..read_limit];
        match read_some(&mut self.caller, &mut self.caller_ready, buf) {
            ReadOutcome::Data(len) => self.handle_caller_data(now, &scratch[..len]),
            ReadOutcome::Blocked => TransferOutcome::Idle,
            ReadOutcome::Failed => TransferOutcome::Failed,
            ReadOutcome::End => self.handle_caller_end(now),
        }
    }

    /// Returns how many bytes of the caller may be read now.
    fn caller_read_limit(&self, buffer_len: usize) -> usize {
        match self.phase {
            ProxyPhase::Head | ProxyPhase::Response => {
                HEAD_MAX.saturating_sub(self.inbound.len()).min(buffer_len)
            }
            ProxyPhase::Body(_) if !self.inbound.is_empty() => 0,
            ProxyPhase::Body(_) | ProxyPhase::Closing | ProxyPhase::Lingering => buffer_len,
        }
    }

    fn handle_caller_data(&mut self, now: Instant, data: &[u8]) -> TransferOutcome {
        match self.phase {
            ProxyPhase::Closing | ProxyPhase::Lingering => return TransferOutcome::Progress,
            ProxyPhase::Head if self.inbound.is_empty() => self.phase_since = now,
            _ => {}
        }
        self.inbound.extend_from_slice(data);
        TransferOutcome::Progress
    }

    /// Takes the end of the caller's bytes: it hung up, unless all that is
    /// left is to write what it is owed.
    fn handle_caller_end(&mut self, now: Instant) -> TransferOutcome {
        let has_pending_response = match self.phase {
            ProxyPhase::Head => !self.outbound.is_empty(),
            ProxyPhase::Closing => true,
            ProxyPhase::Body(_) | ProxyPhase::Response | ProxyPhase::Lingering => false,
        };
        if !has_pending_response {
            return TransferOutcome::Failed;
        }
        self.caller_ended = true;
        if self.phase == ProxyPhase::Head {
            self.shut_down_upstream();
            self.enter(ProxyPhase::Closing, now);
        }
        TransferOutcome::Progress
    }

    fn write_upstream(&mut self, now: Instant) -> TransferOutcome {
        let ProxyPhase::Body(remaining) = self.phase else {
            return TransferOutcome::Idle;
        };
        let Some(upstream) = self.upstream.as_mut().filter(|_| self.upstream_ready.write) else {
            return TransferOutcome::Idle;
        };
        let limit = match remaining {
            BodyLength::Known(len) => usize::try_from(len).unwrap_or(usize::MAX),
            BodyLength::Chunked => usize::MAX,
        };
        let limit = limit.min(self.inbound.len());
        let outcome = write_some(upstream, &mut self.upstream_ready, &mut self.inbound, limit);
        let len = match outcome {
            WriteOutcome::Written(len) => len,
            WriteOutcome::Blocked => return TransferOutcome::Idle,
            WriteOutcome::Failed => {
                // The library has answered and ended before the whole request.
                self.enter(ProxyPhase::Closing, now);
                return TransferOutcome::Progress;
            }
        };
        match remaining {
            BodyLength::Known(rest) if rest <= len as u64 => self.enter(ProxyPhase::Response, now),
            BodyLength::Known(rest) => {
                self.phase = ProxyPhase::Body(BodyLength::Known(rest - len as u64));
            }
            BodyLength::Chunked => {}
        }
        TransferOutcome::Progress
    }

    fn read_upstream(&mut self, scratch: &mut [u8]) -> TransferOutcome {
        let Some(upstream) = self.upstream.as_mut() else {
            return TransferOutcome::Idle;
        };
        if !self.upstream_ready.read || !self.outbound.is_empty() || self.upstream_ended {
            return TransferOutcome::Idle;
        }
        match read_some(upstream, &mut self.upstream_ready, scratch) {
            ReadOutcome::Data(len) => {
                self.outbound.extend_from_slice(&scratch[..len]);
                TransferOutcome::Progress
            }
            ReadOutcome::Blocked => TransferOutcome::Idle,
            ReadOutcome::End | ReadOutcome::Failed => {
                self.upstream_ended = true;
                TransferOutcome::Progress
            }
        }
    }

    fn write_caller(&mut self) -> TransferOutcome {
        if !self.caller_ready.write {
            return TransferOutcome::Idle;
        }
        let limit = self.outbound.len();
        write_some(
            &mut self.caller,
            &mut self.caller_ready,
            &mut self.outbound,
            limit,
        )
        .into()
    }

    /// Ends the connection once the library has and the caller has all.
    fn finish_close(&mut self, now: Instant) -> ProxyStep {
        if !self.upstream_ended || !self.outbound.is_empty() || self.phase == ProxyPhase::Lingering
        {
            return ProxyStep::Wait;
        }
        if self.close == CloseMode::Reset {
            self.reset_on_drop();
            return ProxyStep::Ended;
        }
        if self.caller.shutdown(Shutdown::Write).is_err() || self.caller_ended {
            return ProxyStep::Ended;
        }
        self.enter(ProxyPhase::Lingering, now);
        ProxyStep::Wait
    }
}

/// What one attempt to move bytes did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransferOutcome {
    Idle,
    Progress,
    /// The connection is over.
    Failed,
}

enum ReadOutcome {
    Data(usize),
    Blocked,
    /// The other side sends no more.
    End,
    Failed,
}

#[derive(Clone, Copy)]
enum WriteOutcome {
    Written(usize),
    Blocked,
    Failed,
}

impl From<WriteOutcome> for TransferOutcome {
    fn from(outcome: WriteOutcome) -> Self {
        match outcome {
            WriteOutcome::Written(_) => TransferOutcome::Progress,
            WriteOutcome::Blocked => TransferOutcome::Idle,
            WriteOutcome::Failed => TransferOutcome::Failed,
        }
    }
}

fn read_some(socket: &mut TcpStream, ready: &mut SocketReady, buf: &mut [u8]) -> ReadOutcome {
    loop {
        match socket.read(buf) {
            Ok(0) => return ReadOutcome::End,
            Ok(len) => return ReadOutcome::Data(len),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(err) if err.kind() == ErrorKind::WouldBlock => {
                ready.read = false;
                return ReadOutcome::Blocked;
            }
            Err(_) => return ReadOutcome::Failed,
        }
    }
}

/// Writes up to `limit` bytes of `data` and takes them out.
fn write_some(
    socket: &mut TcpStream,
    ready: &mut SocketReady,
    data: &mut Vec<u8>,
    limit: usize,
) -> WriteOutcome {
    if limit == 0 {
        return WriteOutcome::Blocked;
    }
    match socket.write(&data[..limit]) {
        Ok(len) => {
            data.drain(..len);
            WriteOutcome::Written(len)
        }
        Err(err) if err.kind() == ErrorKind::Interrupted => WriteOutcome::Written(0),
        Err(err) if err.kind() == ErrorKind::WouldBlock => {
            ready.write = false;
            WriteOutcome::Blocked
        }
        Err(_) => WriteOutcome::Failed,
    }
}

fn head_refusal(fault: HeadFault) -> HttpRefusal {
    match fault {
        HeadFault::Malformed => BAD_REQUEST,
        HeadFault::TooLong => HEAD_TOO_LARGE,
        HeadFault::BodyTooLong => BODY_TOO_LARGE,
        HeadFault::AmbiguousLength => AMBIGUOUS_LENGTH,
        HeadFault::Upgrade => NO_UPGRADE,
    }
}
