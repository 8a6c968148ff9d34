//! Reading of requests, in turns.
//!
//! Algorithm: the first bytes of a request are read as soon as the poll tells of them. A
//! connection with more waits in a queue, of which each pass reads a limited number of
//! bytes: requests that are small so far first, then large ones and what is discarded. So
//! the processor time between two polls is bounded, and small requests don't wait for large
//! ones. Memory for a turn is taken from the budget before it reads; when it is not free,
//! the incomplete request that holds most for longest and has stalled is refused to make
//! room, or the one that is being read.

use std::collections::VecDeque;
use std::time::Instant;

use mulberrywell_http1::{ReadRequest, RequestLimits};
use mulberrywell_role::HttpEvent;

use super::caller_refusals::{refusal_status, retry_after};
use super::{
    CallerConnection, CallerEvents, CallerId, CallerPhase, CallerTable, RefusalKind, RequestUse,
    CONNECTION_MEMORY, REQUEST_MEMORY,
};
use crate::caller_budget::{
    decoded_memory, CallerLimits, PORT_RESERVE, SEARCH_INTERVAL, STALL_MIN, VICTIM_DIVISOR,
};
use crate::http_socket::{ReadState, TURN_LEN};

/// Bytes that one turn reads while other connections wait for theirs.
const CROWDED_TURN_LEN: usize = 16 * 1024;

/// Bytes that one pass over the queues reads.
const PASS_LEN: usize = 128 * 1024;

/// Connections that wait for a turn.
#[derive(Default)]
pub(super) struct ReadQueues {
    /// Connections whose requests are small so far.
    small: VecDeque<CallerId>,
    /// Connections with large requests, or whose bytes are discarded.
    large: VecDeque<CallerId>,
}

impl ReadQueues {
    /// Adds a connection that doesn't wait yet.
    pub(super) fn push(
        &mut self,
        id: CallerId,
        connection: &mut CallerConnection,
        limits: &CallerLimits,
    ) {
        if std::mem::replace(&mut connection.is_queued, true) {
            return;
        }
        match connection.is_large(limits) {
            true => self.large.push_back(id),
            false => self.small.push_back(id),
        }
    }

    fn pop(&mut self) -> Option<CallerId> {
        let small = self.small.pop_front();
        small.or_else(|| self.large.pop_front())
    }

    fn is_empty(&self) -> bool {
        self.small.is_empty() && self.large.is_empty()
    }

    fn len(&self) -> usize {
        self.small.len() + self.large.len()
    }
}

impl CallerTable {
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
        if connection.is_queued || connection.is_large(self.budget.limits()) {
            // Reading takes its turn; what is queued for the caller is written.
            self.unread.push(id, connection, self.budget.limits());
            if !connection.flush() {
                self.close(id, events);
            }
            self.settle(id);
            return;
        }
        self.read_turn(now, id, scratch, events);
    }

    /// Returns whether a connection must be read again.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Reads the connections again that have more bytes than one turn reads.
    pub fn read_again(&mut self, now: Instant, scratch: &mut [u8], events: &mut CallerEvents) {
        let mut left = PASS_LEN;
        for _ in 0..self.unread.len() {
            if left == 0 {
                return;
            }
            let Some(id) = self.unread.pop() else {
                return;
            };
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.is_queued = false;
                let len = self.read_turn(now, id, scratch, events);
                left = left.saturating_sub(len);
            }
        }
    }

    /// Reads what one turn may; returns the number of bytes read.
    fn read_turn(
        &mut self,
        now: Instant,
        id: CallerId,
        scratch: &mut [u8],
        events: &mut CallerEvents,
    ) -> usize {
        let turn_max = match self.unread.is_empty() {
            true => TURN_LEN,
            false => CROWDED_TURN_LEN,
        };
        let read_ahead = self.budget.limits().read_ahead;
        let Some(connection) = self.connections.get_mut(&id) else {
            return 0;
        };
        let turn_max = match connection.phase {
            CallerPhase::Processing(_) => read_ahead.saturating_sub(connection.socket.input.len()),
            CallerPhase::Lingering(_) => turn_max,
            // Of what this turn reads nothing stays but the body.
            CallerPhase::Reading(_) if connection.is_reserved => {
                let remaining = connection.reader.remaining_len();
                turn_max.min(remaining.unwrap_or(turn_max))
            }
            CallerPhase::Idle(_) | CallerPhase::Reading(_) => {
                if !self.take_room(now, id, turn_max) {
                    self.refuse_turn(now, id);
                    return 0;
                }
                turn_max
            }
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return 0;
        };
        let (read_state, len) = connection.read(now, turn_max, scratch);
        if read_state == ReadState::Unread {
            connection.is_paused = matches!(connection.phase, CallerPhase::Processing(_));
            if !connection.is_paused {
                self.unread.push(id, connection, self.budget.limits());
            }
        }
        if !read_state.is_open() || !connection.flush() {
            self.close(id, events);
            return len;
        }
        self.read_requests(now, id, events);
        self.settle(id);
        len
    }

    /// Reads the next request from what was received.
    pub(super) fn read_requests(&mut self, now: Instant, id: CallerId, events: &mut CallerEvents) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(record) = self.listeners.get(&connection.listener) else {
            return;
        };
        if !connection.awaits_request() {
            return;
        }
        if connection.socket.input.is_empty() && !connection.reader.is_open() {
            return;
        }
        let limits = RequestLimits {
            head_max: record.bounds.head_max,
            body_max: record.bounds.body_max,
        };
        let input = &mut connection.socket.input;
        match connection.reader.next_request(input, limits) {
            Ok(Some(read)) => {
                let request_use = record.request_use;
                self.begin_request(now, id, read, request_use, events);
            }
            Ok(None) => self.await_rest(now, id),
            Err(error) => {
                connection.refuse(now, refusal_status(error), &[]);
                self.dirty.push(id);
            }
        }
    }

    /// Passes a complete request to the role, or refuses it if what it takes beside its
    /// bytes is not free.
    fn begin_request(
        &mut self,
        now: Instant,
        id: CallerId,
        read: ReadRequest,
        request_use: RequestUse,
        events: &mut CallerEvents,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let decoded = match request_use {
            RequestUse::Decoded => decoded_memory(&read.http.body),
            RequestUse::Answered | RequestUse::Forwarded => 0,
        };
        self.next_id += 1;
        let request = self.next_id;
        connection.phase = CallerPhase::Processing(request);
        let received = read.head_memory() + read.http.body.len();
        connection.request_len = received.max(connection.socket.detach_input()) + decoded;
        let needed = connection.memory();
        let more = needed.saturating_sub(connection.charge.held());
        let request_len = connection.received_len.max(decoded);
        let is_admitted = self.take_room_for(now, id, more, request_len)
            && (request_use != RequestUse::Forwarded || self.take_exchange(now, id));
        if !is_admitted {
            self.refuse_request_of(now, id, needed);
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.close_after = read.closes_connection;
        connection.allows_chunks = read.allows_chunks;
        connection.is_head_request = read.http.method == "HEAD";
        connection.received_len = 0;
        connection.is_reserved = false;
        self.requests.insert(request, id);
        let http = read.http;
        events.push((connection.listener, HttpEvent::Request { request, http }));
    }

    /// Takes the descriptor of the connection that forwards a request; closes connections of
    /// other callers while it is not free.
    fn take_exchange(&mut self, now: Instant, id: CallerId) -> bool {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return false;
            };
            if connection.charge.take_exchange() {
                return true;
            }
            if !self.close_one(now) {
                return false;
            }
        }
    }

    /// Takes the memory for the rest of a request that is not complete, or refuses it.
    fn await_rest(&mut self, now: Instant, id: CallerId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.socket.release_input();
        let more = connection.memory().saturating_sub(connection.charge.held());
        if let CallerPhase::Idle(_) = connection.phase {
            connection.phase = CallerPhase::Reading(now);
        }
        if !connection.is_reserved && !self.take_room(now, id, more) {
            self.refuse_turn(now, id);
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_reserved = connection.reader.remaining_len().is_some();
        if connection.reader.pop_expect_continue() {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            connection.socket.output.extend_from_slice(interim);
            self.dirty.push(id);
        }
    }

    /// Takes `len` bytes for a connection's request; refuses other requests that have
    /// stalled while they are not free.
    fn take_room(&mut self, now: Instant, id: CallerId, len: usize) -> bool {
        let connection = self.connections.get(&id);
        let request_len = connection.map_or(0, CallerConnection::request_memory);
        self.take_room_for(now, id, len, request_len)
    }

    /// Takes `len` of the `request_len` bytes that a request needs.
    fn take_room_for(
        &mut self,
        now: Instant,
        id: CallerId,
        len: usize,
        request_len: usize,
    ) -> bool {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return false;
            };
            if connection.charge.take(len, request_len) {
                return true;
            }
            if self.take_reserve(id, len, request_len) {
                return true;
            }
            let Some(stalled) = self.find_stalled(now, Some(id), len / VICTIM_DIVISOR) else {
                self.budget.want(now, len);
                return false;
            };
            self.refuse_request(now, stalled);
        }
    }

    /// Takes memory beyond the limit for a small request that the role answers by itself, at
    /// a port with few connections, so that a crowd at another port doesn't shut it.
    fn take_reserve(&mut self, id: CallerId, len: usize, request_len: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let record = self.listeners.get(&connection.listener);
        let has_reserve = record.is_some_and(|record| {
            record.request_use == RequestUse::Answered && record.open_count <= PORT_RESERVE
        });
        let is_taken = has_reserve && request_len <= connection.charge.limits().small_request;
        if is_taken {
            let held = connection.charge.held();
            connection.charge.set(held + len);
        }
        is_taken
    }

    /// Refuses requests that have stalled while another port of the process wants what they
    /// hold.
    pub(super) fn make_room(&mut self, now: Instant) {
        while let Some(wanted) = self.budget.wanted(now) {
            let Some(stalled) = self.find_stalled(now, None, wanted / VICTIM_DIVISOR) else {
                return;
            };
            self.refuse_request(now, stalled);
        }
    }

    /// Returns the stalled incomplete request that holds most for longest, of those that hold
    /// at least `held_min` bytes.
    fn find_stalled(
        &mut self,
        now: Instant,
        except: Option<CallerId>,
        held_min: usize,
    ) -> Option<CallerId> {
        if self
            .searched_at
            .is_some_and(|at| now < at + SEARCH_INTERVAL)
        {
            return None;
        }
        let connections = self.connections.iter();
        let connections = connections.filter(|(id, _)| Some(**id) != except);
        let weights = connections.filter_map(|(id, connection)| {
            let CallerPhase::Reading(since) = connection.phase else {
                return None;
            };
            let silence = now.saturating_duration_since(connection.received_at);
            let age = now.saturating_duration_since(since).as_millis();
            let weight = connection.charge.held() as u128 * age;
            // One that waits for its turn has not stalled.
            let is_stalled = silence >= STALL_MIN && !connection.is_queued;
            (is_stalled && connection.charge.held() >= held_min).then_some((weight, *id))
        });
        let found = weights.max().map(|(_, id)| id);
        self.searched_at = found.is_none().then_some(now);
        found
    }

    /// Refuses a connection's request for lack of memory, if bytes of one have arrived.
    fn refuse_turn(&mut self, now: Instant, id: CallerId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let is_reading = matches!(connection.phase, CallerPhase::Reading(_));
        if is_reading || connection.has_arrived() {
            self.refuse_request(now, id);
        }
    }

    /// Refuses an incomplete request for lack of memory.
    pub(super) fn refuse_request(&mut self, now: Instant, id: CallerId) {
        let connection = self.connections.get(&id);
        let body_len = connection.map_or(0, |it| it.reader.reserved_len());
        self.refuse_request_of(now, id, body_len);
    }

    /// Refuses a request that needs this many bytes for lack of memory or descriptors.
    fn refuse_request_of(&mut self, now: Instant, id: CallerId, request_len: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if self.budget.can_hold(request_len) {
            connection.refuse(now, 503, &retry_after(id));
        } else {
            connection.refuse(now, 413, &[]);
        }
        // What was sent already is discarded.
        self.unread.push(id, connection, self.budget.limits());
        self.dirty.push(id);
        self.settle(id);
        self.budget.count(RefusalKind::Request);
    }

    /// Counts what is held for a connection now.
    pub(super) fn settle(&mut self, id: CallerId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let memory = connection.memory();
            connection.charge.set(memory);
        }
    }
}

impl CallerConnection {
    /// Returns the memory in bytes that is held for the caller, with what its incomplete
    /// body will take and what is left in its socket.
    pub(super) fn memory(&self) -> usize {
        let is_waiting = self.is_queued && self.awaits_request();
        let unread = match self.is_paused || is_waiting {
            true => self.charge.limits().arrived_max(),
            false => 0,
        };
        let is_request = self.reader.is_open() || matches!(self.phase, CallerPhase::Processing(_));
        let reader = self.reader.head_memory() + self.reader.reserved_len();
        let request = match is_request {
            true => REQUEST_MEMORY + self.request_len + reader,
            false => self.request_len,
        };
        CONNECTION_MEMORY + self.socket.held_bytes() + request + unread
    }

    /// Returns the memory in bytes that the request being read takes.
    fn request_memory(&self) -> usize {
        self.received_len.max(self.reader.reserved_len())
    }

    /// Returns whether reading waits for small requests.
    fn is_large(&self, limits: &CallerLimits) -> bool {
        matches!(self.phase, CallerPhase::Lingering(_)) || self.received_len > limits.small_request
    }

    /// Returns whether the next bytes belong to a request to be read.
    pub(super) fn awaits_request(&self) -> bool {
        matches!(self.phase, CallerPhase::Idle(_) | CallerPhase::Reading(_))
    }

    /// Reads up to `turn_max` bytes; also returns how many were read.
    fn read(&mut self, now: Instant, turn_max: usize, scratch: &mut [u8]) -> (ReadState, usize) {
        let len_before = self.socket.input.len();
        self.socket.turn_max = turn_max;
        let read_state = self.socket.read(scratch);
        let len = self.socket.input.len() - len_before;
        if len > 0 {
            self.received_at = now;
            self.received_len += len;
        }
        if matches!(self.phase, CallerPhase::Lingering(_)) {
            self.socket.clear_input();
        }
        (read_state, len)
    }
}
