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
const BODY_STALLS: u32 = 6;

/// What becomes of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// It takes the next request.
    Keep,
    /// It is closed once the caller has the answer.
    Close,
    /// It is reset, so that the caller sees that the answer is short.
    Reset,
}

/// How far the current request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GuardPhase {
    /// Its head is awaited; nothing of it has gone on.
    Head,
    /// This much of head and body is still to go on.
    Body(BodyLength),
    /// It has gone on whole; its answer comes.
    Answer,
    /// No further request; the rest of the answer comes.
    Closing,
    /// The caller has all; bytes that it still sends are dropped, as a close
    /// before them would reset the connection.
    Lingering,
}

/// Which side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GuardSide {
    /// The caller.
    Caller,
    /// The HTTP library.
    Library,
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
pub enum GuardStep {
    /// Nothing to do until a socket is ready.
    Wait,
    /// A head is whole: a connection to the library is wanted.
    OpenLibrary,
    /// The connection is over and must be dropped.
    Ended,
}

/// Bounds that each connection keeps to.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Longest body in bytes.
    pub max_body: u64,
    /// Longest time for a head, and without progress of a body or an answer.
    pub stall: Duration,
}

/// One caller's connection.
#[derive(Debug)]
pub struct GuardConnection {
    caller: TcpStream,
    library: Option<TcpStream>,
    limits: ConnectionLimits,
    phase: GuardPhase,
    scan: HeadScan,
    close: CloseMode,
    caller_ready: SocketReady,
    library_ready: SocketReady,
    /// Bytes of the caller; at most [`HEAD_MAX`] or one read.
    inbound: Vec<u8>,
    /// Bytes for the caller; at most one read or one refusal.
    outbound: Vec<u8>,
    /// Set once the caller has ended its side and is owed an answer still.
    caller_ended: bool,
    /// Set once the library has ended its side.
    library_ended: bool,
    /// Requests that a role has and that are not answered.
    requests: BTreeSet<RequestId>,
    /// When the phase began.
    since: Instant,
    /// When bytes last moved.
    moved: Instant,
}

impl GuardConnection {
    /// Takes over an accepted connection.
    pub fn new(caller: TcpStream, limits: ConnectionLimits, now: Instant) -> Self {
        GuardConnection {
            caller,
            library: None,
            limits,
            phase: GuardPhase::Head,
            scan: HeadScan::default(),
            close: CloseMode::Keep,
            caller_ready: SocketReady::default(),
            library_ready: SocketReady::default(),
            inbound: Vec::new(),
            outbound: Vec::new(),
            caller_ended: false,
            library_ended: false,
            requests: BTreeSet::new(),
            since: now,
            moved: now,
        }
    }

    /// Returns the caller's socket.
    pub fn caller_mut(&mut self) -> &mut TcpStream {
        &mut self.caller
    }

    /// Returns the library's socket.
    pub fn library_mut(&mut self) -> Option<&mut TcpStream> {
        self.library.as_mut()
    }

    /// Returns the local address of the library's socket.
    pub fn library_address(&self) -> Option<SocketAddr> {
        self.library.as_ref()?.local_addr().ok()
    }

    /// Returns the requests that are not answered.
    pub fn requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().copied()
    }

    /// Returns since when the connection has no request in work, if it has
    /// none.
    pub fn idle_since(&self) -> Option<Instant> {
        (self.phase == GuardPhase::Head).then_some(self.since)
    }

    /// Takes the connection to the library that [`GuardStep::OpenLibrary`]
    /// asked for.
    pub fn set_library(&mut self, library: TcpStream) {
        self.library = Some(library);
    }

    /// Notes what a socket is ready for.
    pub fn note_ready(&mut self, side: GuardSide, ready: SocketReady) {
        let known = match side {
            GuardSide::Caller => &mut self.caller_ready,
            GuardSide::Library => &mut self.library_ready,
        };
        known.read |= ready.read;
        known.write |= ready.write;
        known.closed |= ready.closed;
    }

    /// Notes that a role has a request of this connection.
    pub fn request_started(&mut self, now: Instant, request: RequestId) {
        self.requests.insert(request);
        if matches!(self.phase, GuardPhase::Body(_)) {
            self.enter(GuardPhase::Answer, now);
        }
    }

    /// Notes that an answer was written whole or given up.
    pub fn request_finished(&mut self, now: Instant, request: Option<RequestId>, close: CloseMode) {
        if let Some(request) = request {
            self.requests.remove(&request);
        }
        if close != CloseMode::Keep {
            self.close = close;
        }
        if self.close != CloseMode::Keep {
            self.end_library();
            self.enter(GuardPhase::Closing, now);
        } else if self.phase == GuardPhase::Answer && self.requests.is_empty() {
            self.scan = HeadScan::default();
            self.enter(GuardPhase::Head, now);
        }
    }

    /// Answers in the library's place and closes.
    pub fn refuse(&mut self, now: Instant, refusal: HttpRefusal) {
        self.end_library();
        self.library = None;
        self.library_ended = true;
        self.outbound.extend_from_slice(&refusal.bytes());
        self.enter(GuardPhase::Closing, now);
    }

    /// Moves what can be moved.
    pub fn advance(&mut self, now: Instant, scratch: &mut [u8]) -> GuardStep {
        loop {
            let step = self.take_head(now);
            if step != GuardStep::Wait {
                return step;
            }
            let moved = [
                self.read_caller(now, scratch),
                self.write_library(now),
                self.read_library(scratch),
                self.write_caller(),
            ];
            if moved.contains(&MoveOutcome::Failed) {
                return GuardStep::Ended;
            }
            if !moved.contains(&MoveOutcome::Moved) {
                return self.finish_closing(now);
            }
            self.moved = now;
        }
    }

    /// Ends what takes too long.
    pub fn expire(&mut self, now: Instant) -> GuardStep {
        let stall = self.limits.stall;
        let in_phase = now.saturating_duration_since(self.since);
        let unmoved = now.saturating_duration_since(self.moved);
        match self.phase {
            GuardPhase::Head if !self.inbound.is_empty() && in_phase >= stall => {
                self.refuse(now, TOO_SLOW);
            }
            GuardPhase::Head if self.library.is_none() && in_phase >= stall => {
                return GuardStep::Ended;
            }
            GuardPhase::Head if in_phase >= IDLE_MAX => return GuardStep::Ended,
            GuardPhase::Body(_) if unmoved >= stall || in_phase >= stall * BODY_STALLS => {
                self.refuse(now, TOO_SLOW);
            }
            GuardPhase::Answer if !self.outbound.is_empty() && unmoved >= stall => {
                return GuardStep::Ended;
            }
            GuardPhase::Answer if self.requests.is_empty() && in_phase >= stall => {
                return GuardStep::Ended;
            }
            GuardPhase::Closing if unmoved >= stall || in_phase >= stall * BODY_STALLS => {
                return GuardStep::Ended;
            }
            GuardPhase::Lingering if in_phase >= LINGER_MAX => return GuardStep::Ended,
            _ => {}
        }
        GuardStep::Wait
    }

    /// Makes the close of the caller's socket a reset.
    pub fn reset_on_drop(&self) {
        // A socket that has failed already needs no reset.
        let _ = SockRef::from(&self.caller).set_linger(Some(Duration::ZERO));
    }

    fn enter(&mut self, phase: GuardPhase, now: Instant) {
        self.phase = phase;
        self.since = now;
        self.moved = now;
    }

    /// Lets the library see the end of the caller's bytes, so that it ends the
    /// connection after the answer.
    fn end_library(&mut self) {
        if let Some(library) = &self.library {
            // It may have ended already.
            let _ = library.shutdown(Shutdown::Write);
        }
    }

    /// Looks for a whole head in the caller's bytes.
    fn take_head(&mut self, now: Instant) -> GuardStep {
        if self.phase != GuardPhase::Head || self.inbound.is_empty() {
            return GuardStep::Wait;
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
            Ok(None) => GuardStep::Wait,
            Ok(Some((end, body))) => {
                if body == BodyLength::Chunked {
                    // Only the library knows where the next head would begin.
                    self.close = CloseMode::Close;
                }
                let left = match body {
                    BodyLength::Known(len) => BodyLength::Known(len + end as u64),
                    BodyLength::Chunked => BodyLength::Chunked,
                };
                self.enter(GuardPhase::Body(left), now);
                match self.library {
                    Some(_) => GuardStep::Wait,
                    None => GuardStep::OpenLibrary,
                }
            }
            Err(fault) => {
                self.refuse(now, head_refusal(fault));
                GuardStep::Wait
            }
        }
    }

    fn read_caller(&mut self, now: Instant, scratch: &mut [u8]) -> MoveOutcome {
        if !self.caller_ready.read || self.caller_ended {
            return MoveOutcome::Idle;
        }
        let room = self.caller_room(scratch.len());
        if room == 0 {
            return match self.caller_ready.closed && self.phase == GuardPhase::Answer {
                true => MoveOutcome::Failed,
                false => MoveOutcome::Idle,
            };
        }
        let buf = &mut scratch[..room];
        match read_some(&mut self.caller, &mut self.caller_ready, buf) {
            ReadOutcome::Data(len) => self.take_bytes(now, &scratch[..len]),
            ReadOutcome::Blocked => MoveOutcome::Idle,
            ReadOutcome::Failed => MoveOutcome::Failed,
            ReadOutcome::End => self.end_caller(now),
        }
    }

    /// Returns how many bytes of the caller may be read now.
    fn caller_room(&self, most: usize) -> usize {
        match self.phase {
            GuardPhase::Head | GuardPhase::Answer => {
                HEAD_MAX.saturating_sub(self.inbound.len()).min(most)
            }
            GuardPhase::Body(_) if !self.inbound.is_empty() => 0,
            GuardPhase::Body(_) | GuardPhase::Closing | GuardPhase::Lingering => most,
        }
    }

    fn take_bytes(&mut self, now: Instant, data: &[u8]) -> MoveOutcome {
        match self.phase {
            GuardPhase::Closing | GuardPhase::Lingering => return MoveOutcome::Moved,
            GuardPhase::Head if self.inbound.is_empty() => self.since = now,
            _ => {}
        }
        self.inbound.extend_from_slice(data);
        MoveOutcome::Moved
    }

    /// Takes the end of the caller's bytes: it hung up, unless all that is
    /// left is to write what it is owed.
    fn end_caller(&mut self, now: Instant) -> MoveOutcome {
        let owed = match self.phase {
            GuardPhase::Head => !self.outbound.is_empty(),
            GuardPhase::Closing => true,
            GuardPhase::Body(_) | GuardPhase::Answer | GuardPhase::Lingering => false,
        };
        if !owed {
            return MoveOutcome::Failed;
        }
        self.caller_ended = true;
        if self.phase == GuardPhase::Head {
            self.end_library();
            self.enter(GuardPhase::Closing, now);
        }
        MoveOutcome::Moved
    }

    fn write_library(&mut self, now: Instant) -> MoveOutcome {
        let GuardPhase::Body(left) = self.phase else {
            return MoveOutcome::Idle;
        };
        let Some(library) = self.library.as_mut().filter(|_| self.library_ready.write) else {
            return MoveOutcome::Idle;
        };
        let limit = match left {
            BodyLength::Known(len) => usize::try_from(len).unwrap_or(usize::MAX),
            BodyLength::Chunked => usize::MAX,
        };
        let limit = limit.min(self.inbound.len());
        let outcome = write_some(library, &mut self.library_ready, &mut self.inbound, limit);
        let len = match outcome {
            WriteOutcome::Wrote(len) => len,
            WriteOutcome::Blocked => return MoveOutcome::Idle,
            WriteOutcome::Failed => {
                // The library has answered and ended before the whole request.
                self.enter(GuardPhase::Closing, now);
                return MoveOutcome::Moved;
            }
        };
        match left {
            BodyLength::Known(total) if total <= len as u64 => self.enter(GuardPhase::Answer, now),
            BodyLength::Known(total) => {
                self.phase = GuardPhase::Body(BodyLength::Known(total - len as u64));
            }
            BodyLength::Chunked => {}
        }
        MoveOutcome::Moved
    }

    fn read_library(&mut self, scratch: &mut [u8]) -> MoveOutcome {
        let Some(library) = self.library.as_mut() else {
            return MoveOutcome::Idle;
        };
        if !self.library_ready.read || !self.outbound.is_empty() || self.library_ended {
            return MoveOutcome::Idle;
        }
        match read_some(library, &mut self.library_ready, scratch) {
            ReadOutcome::Data(len) => {
                self.outbound.extend_from_slice(&scratch[..len]);
                MoveOutcome::Moved
            }
            ReadOutcome::Blocked => MoveOutcome::Idle,
            ReadOutcome::End | ReadOutcome::Failed => {
                self.library_ended = true;
                MoveOutcome::Moved
            }
        }
    }

    fn write_caller(&mut self) -> MoveOutcome {
        if !self.caller_ready.write {
            return MoveOutcome::Idle;
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
    fn finish_closing(&mut self, now: Instant) -> GuardStep {
        if !self.library_ended || !self.outbound.is_empty() || self.phase == GuardPhase::Lingering {
            return GuardStep::Wait;
        }
        if self.close == CloseMode::Reset {
            self.reset_on_drop();
            return GuardStep::Ended;
        }
        if self.caller.shutdown(Shutdown::Write).is_err() || self.caller_ended {
            return GuardStep::Ended;
        }
        self.enter(GuardPhase::Lingering, now);
        GuardStep::Wait
    }
}

/// What one attempt to move bytes did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveOutcome {
    Idle,
    Moved,
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
    Wrote(usize),
    Blocked,
    Failed,
}

impl From<WriteOutcome> for MoveOutcome {
    fn from(outcome: WriteOutcome) -> Self {
        match outcome {
            WriteOutcome::Wrote(_) => MoveOutcome::Moved,
            WriteOutcome::Blocked => MoveOutcome::Idle,
            WriteOutcome::Failed => MoveOutcome::Failed,
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
            WriteOutcome::Wrote(len)
        }
        Err(err) if err.kind() == ErrorKind::Interrupted => WriteOutcome::Wrote(0),
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
