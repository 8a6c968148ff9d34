//! HTTP exchanges with endpoints over persistent connections.
//!
//! Purpose: sends requests to endpoints and streams their responses to the
//! role, all on the process's poll and without a thread for each exchange.
//!
//! Guarantees: a connection carries one exchange at a time; it is reused only
//! when the request was written completely, the response is complete and echoes the
//! request's id, and no bytes followed it; bytes received between exchanges close it; a
//! cancelled exchange closes its connection; an interrupted response is never reported
//! as complete; no value of the echoed field is sent twice on one connection, so that it
//! tells a response from late copies of all earlier ones; an exchange without such a
//! value has a connection of its own.
//!
//! Algorithm: the most recently used connection is reused first, so that
//! surplus ones reach their idle timeout. A connection is closed before the
//! endpoint's own idle timeout, which its responses announce.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mulberrywell_http1::{
    write_request_head, BodyFraming, ResponseHead, ResponseInput, ResponseReader,
};
use mulberrywell_role::{header_value, ExchangeEnd, ExchangeEvent, ExchangeId, HttpRequest};
use mulberrywell_wire::request::HeaderField;
use socket2::{SockRef, TcpKeepalive};
use stakker::Fwd;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::Interest;
use stakker_mio::{MioPoll, Ready};

use crate::http_socket::{HttpSocket, ReadState, TURN_LEN};

/// Idle timeout of a connection whose endpoint announces none.
const IDLE_DEFAULT: Duration = Duration::from_millis(800);

/// Margin before the endpoint's idle timeout at which a connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum idle timeout, whatever the endpoint allows.
const IDLE_MAX: Duration = Duration::from_secs(60);

/// Time for which sent bytes may stay unacknowledged before the connection
/// counts as lost.
const UNACKED_MAX: Duration = Duration::from_millis(1_500);

/// Time without received data after which TCP keep-alive probes start, and the
/// interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Exchanges that one connection carries at most. The ids of all of them are remembered:
/// 4 KiB of hashes for so many, at the price of a new connection for each 512 requests.
const EXCHANGES_MAX: usize = 512;

const POLL_PRIORITY: u32 = 10;

/// Size in bytes of the socket buffer for responses, as it is set; the system doubles it.
const RECEIVE_BUFFER: usize = 16 * 1024;

/// Bytes of a response that may have arrived and are not read.
pub const ARRIVED_MAX: usize = 2 * RECEIVE_BUFFER;

/// Id of a connection; never reused.
pub type ConnectionId = u64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    /// Carries this exchange.
    Busy(ExchangeId),
    /// Open for reuse until this time.
    Idle(Instant),
}

struct EndpointConnection {
    socket: HttpSocket,
    address: SocketAddr,
    reader: ResponseReader,
    state: ConnectionState,
    /// Deadline for establishing the connection; none once established.
    connect_deadline: Option<Instant>,
    /// A header field that the endpoint echoes in the current response.
    echoed_field: Option<HeaderField>,
    /// Hashes of the echoed values of all requests sent on this connection. Two values
    /// with one hash only cost a new connection.
    sent_ids: BTreeSet<u64>,
    /// The current request is a HEAD request.
    is_head_request: bool,
    /// The response being received belongs to an earlier request and is
    /// discarded.
    skipping: bool,
    /// The status of the current response is one of success.
    has_succeeded: bool,
    /// The connection closes after the current response.
    close_after: bool,
    /// Idle timeout that the current response allows.
    idle_timeout: Duration,
}

/// What a response says of the request that it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseOwner {
    /// It echoes the id of the current request.
    Current,
    /// It echoes another id.
    Other,
    /// It echoes no id, or the current one and another.
    Unnamed,
}

/// All connections to endpoints.
#[derive(Default)]
pub struct ExchangeTable {
    connections: BTreeMap<ConnectionId, EndpointConnection>,
    exchanges: BTreeMap<ExchangeId, ConnectionId>,
    /// Idle connections by endpoint, the most recently used last.
    idle_connections: BTreeMap<SocketAddr, Vec<ConnectionId>>,
    /// Connections that may have more bytes than their last turn read.
    unread: BTreeSet<ConnectionId>,
    next_id: ConnectionId,
}

/// Parameters of a new exchange.
pub struct ExchangeStart {
    /// The exchange.
    pub exchange: ExchangeId,
    /// The endpoint.
    pub address: SocketAddr,
    /// The request.
    pub http: HttpRequest,
    /// A header field that the endpoint echoes in its response; a response with
    /// another value belongs to an earlier request.
    pub echoed_field: Option<HeaderField>,
    /// Timeout for establishing a new connection.
    pub connect_timeout: Duration,
}

impl ExchangeTable {
    /// Starts an exchange on an idle connection; false when there is none on which the
    /// response can be told from copies of earlier ones.
    pub fn reuse(&mut self, start: &ExchangeStart, events: &mut Vec<ExchangeEvent>) -> bool {
        let sent_id = request_hash(start);
        let Some(id) = sent_id.and_then(|sent_id| self.pop_idle(start.address, sent_id)) else {
            return false;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.start_exchange(start);
        self.exchanges.insert(start.exchange, id);
        if !connection.socket.flush() {
            self.fail_exchange(id, "the kept connection failed", events);
        }
        true
    }

    /// Returns the number of connections, busy or idle.
    pub fn open_count(&self) -> usize {
        self.connections.len()
    }

    /// Closes the idle connection whose timeout expires first, if there is one.
    pub fn close_idle(&mut self) {
        let connections = self.connections.iter();
        let idle = connections.filter_map(|(id, connection)| match connection.state {
            ConnectionState::Idle(until) => Some((until, *id)),
            ConnectionState::Busy(_) => None,
        });
        if let Some((_, id)) = idle.min() {
            self.remove_idle(id);
        }
    }

    /// Allocates the id of the next connection.
    pub fn next_connection_id(&mut self) -> ConnectionId {
        self.next_id += 1;
        self.next_id
    }

    /// Opens a connection for an exchange.
    ///
    /// # Errors
    /// Fails when the system reports an error at once.
    pub fn open(
        &mut self,
        poll: &MioPoll,
        now: Instant,
        id: ConnectionId,
        start: &ExchangeStart,
        ready: Fwd<Ready>,
    ) -> std::io::Result<()> {
        let stream = TcpStream::connect(start.address)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_nodelay(true)?;
        // The endpoint sends nothing before the request, so that no larger window is known.
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        socket.set_tcp_user_timeout(Some(UNACKED_MAX))?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL);
        socket.set_tcp_keepalive(&probes)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, POLL_PRIORITY, ready)?;
        let mut connection = EndpointConnection {
            socket: HttpSocket::new(source, false),
            address: start.address,
            reader: ResponseReader::default(),
            state: ConnectionState::Busy(start.exchange),
            connect_deadline: Some(now + start.connect_timeout),
            echoed_field: None,
            sent_ids: BTreeSet::new(),
            is_head_request: false,
            skipping: false,
            has_succeeded: false,
            close_after: false,
            idle_timeout: IDLE_DEFAULT,
        };
        connection.start_exchange(start);
        self.exchanges.insert(start.exchange, id);
        self.connections.insert(id, connection);
        Ok(())
    }

    /// Cancels an exchange without an event.
    pub fn cancel(&mut self, exchange: ExchangeId) {
        if let Some(id) = self.exchanges.remove(&exchange) {
            self.connections.remove(&id);
        }
    }

    /// Handles a connection that is ready to read or write.
    pub fn handle_ready(
        &mut self,
        now: Instant,
        id: ConnectionId,
        scratch: &mut [u8],
        events: &mut Vec<ExchangeEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match connection.socket.check_connected() {
            Ok(true) => connection.connect_deadline = None,
            Ok(false) => return,
            Err(()) => {
                self.refuse_exchange(id, events);
                return;
            }
        }
        // What the endpoint sends before the request belongs to none.
        if connection.awaits_writing() && connection.socket.has_unread() {
            let reason = "the endpoint sent bytes before the request, or closed";
            self.fail_exchange(id, reason, events);
            return;
        }
        let read_state = connection.socket.transfer(scratch);
        if read_state == ReadState::Unread {
            self.unread.insert(id);
        } else {
            self.unread.remove(&id);
        }
        if let ConnectionState::Idle(_) = connection.state {
            if read_state != ReadState::Open || !connection.socket.input.is_empty() {
                self.remove_idle(id);
            }
            return;
        }
        self.read_response(now, id, events);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        // The next part of the response may be long in coming.
        connection.socket.detach_input();
        if read_state.is_open() {
            return;
        }
        let ConnectionState::Busy(exchange) = connection.state else {
            self.remove_idle(id);
            return;
        };
        let is_complete = read_state == ReadState::Closed && connection.end_response();
        if is_complete {
            self.connections.remove(&id);
            self.exchanges.remove(&exchange);
            let end = ExchangeEnd::Complete;
            events.push(ExchangeEvent::End { exchange, end });
        } else {
            self.fail_exchange(id, "the connection ended", events);
        }
    }

    /// Returns whether a connection must be read again.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Removes and returns the connections that must be read again, as they have more
    /// bytes than one turn reads.
    pub fn take_unread(&mut self) -> BTreeSet<ConnectionId> {
        std::mem::take(&mut self.unread)
    }

    /// Returns the exchange on a connection.
    pub fn exchange_on(&self, id: ConnectionId) -> Option<ExchangeId> {
        match self.connections.get(&id)?.state {
            ConnectionState::Busy(exchange) => Some(exchange),
            ConnectionState::Idle(_) => None,
        }
    }

    /// Limits the bytes that one turn reads from a connection.
    pub fn set_turn_max(&mut self, id: ConnectionId, len: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.socket.turn_max = len.min(TURN_LEN);
        }
    }

    /// Returns the bytes of memory that the buffers of all connections take.
    pub fn held_bytes(&self) -> usize {
        let sockets = self.connections.values().map(|it| &it.socket);
        sockets.map(HttpSocket::held_bytes).sum()
    }

    /// Closes connections whose connect or idle timeout has expired.
    pub fn tick(&mut self, now: Instant, events: &mut Vec<ExchangeEvent>) {
        let mut connect_overdue = Vec::new();
        let mut idle_overdue = Vec::new();
        for (id, connection) in &self.connections {
            match connection.state {
                ConnectionState::Busy(_)
                    if connection.connect_deadline.is_some_and(|at| at <= now) =>
                {
                    connect_overdue.push(*id);
                }
                ConnectionState::Idle(until) if until <= now => idle_overdue.push(*id),
                _ => {}
            }
        }
        for id in connect_overdue {
            self.fail_exchange(id, "the connection was not made in time", events);
        }
        for id in idle_overdue {
            self.remove_idle(id);
        }
    }

    /// Returns the earliest deadline of a connection that is being established.
    pub fn deadline(&self) -> Option<Instant> {
        let busy = self.exchanges.values();
        let connections = busy.filter_map(|id| self.connections.get(id));
        connections
            .filter_map(|connection| connection.connect_deadline)
            .min()
    }

    fn read_response(&mut self, now: Instant, id: ConnectionId, events: &mut Vec<ExchangeEvent>) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            let ConnectionState::Busy(exchange) = connection.state else {
                return;
            };
            let buf = &mut connection.socket.input;
            match connection
                .reader
                .next_input(buf, connection.is_head_request)
            {
                Ok(None) => return,
                Ok(Some(ResponseInput::Head(head))) => {
                    let is_confirmed = connection.handle_head(&head);
                    if !connection.skipping {
                        events.push(head_event(exchange, head, is_confirmed));
                    }
                }
                Ok(Some(ResponseInput::Data(data))) => {
                    if !connection.skipping {
                        events.push(ExchangeEvent::Data { exchange, data });
                    }
                }
                Ok(Some(ResponseInput::End)) if connection.skipping => connection.skipping = false,
                Ok(Some(ResponseInput::End)) => {
                    self.finish_exchange(now, id, exchange, events);
                    return;
                }
                Err(_) => {
                    self.fail_exchange(id, "the answer is malformed", events);
                    return;
                }
            }
        }
    }

    fn finish_exchange(
        &mut self,
        now: Instant,
        id: ConnectionId,
        exchange: ExchangeId,
        events: &mut Vec<ExchangeEvent>,
    ) {
        self.exchanges.remove(&exchange);
        let end = ExchangeEnd::Complete;
        events.push(ExchangeEvent::End { exchange, end });
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let has_leftover_bytes = !connection.socket.input.is_empty()
            || connection.socket.unwritten_len() > 0
            || self.unread.contains(&id);
        let is_used_up = connection.sent_ids.len() >= EXCHANGES_MAX;
        if connection.close_after
            || has_leftover_bytes
            || is_used_up
            || connection.idle_timeout.is_zero()
        {
            self.connections.remove(&id);
            return;
        }
        connection.state = ConnectionState::Idle(now + connection.idle_timeout);
        let address = connection.address;
        self.idle_connections.entry(address).or_default().push(id);
    }

    fn refuse_exchange(&mut self, id: ConnectionId, events: &mut Vec<ExchangeEvent>) {
        let connection = self.connections.remove(&id);
        let state = connection.map(|connection| connection.state);
        if let Some(ConnectionState::Busy(exchange)) = state {
            self.exchanges.remove(&exchange);
            let end = ExchangeEnd::Refused("the connection was refused");
            events.push(ExchangeEvent::End { exchange, end });
        }
    }

    fn fail_exchange(
        &mut self,
        id: ConnectionId,
        reason: &'static str,
        events: &mut Vec<ExchangeEvent>,
    ) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        let ConnectionState::Busy(exchange) = connection.state else {
            return;
        };
        self.exchanges.remove(&exchange);
        let end = if connection.socket.has_sent {
            ExchangeEnd::Broken(reason)
        } else {
            ExchangeEnd::NotSent(reason)
        };
        events.push(ExchangeEvent::End { exchange, end });
    }

    /// Removes and returns the most recently used idle connection of an endpoint that
    /// has not carried the exchange's id; closes those on which bytes or an end have
    /// arrived.
    fn pop_idle(&mut self, address: SocketAddr, sent_id: u64) -> Option<ConnectionId> {
        let idle_ids = self.idle_connections.get_mut(&address)?;
        for place in (0..idle_ids.len()).rev() {
            let id = idle_ids[place];
            let connection = self.connections.get(&id);
            let Some(connection) = connection.filter(|it| !it.socket.has_unread()) else {
                idle_ids.remove(place);
                self.connections.remove(&id);
                continue;
            };
            if !connection.sent_ids.contains(&sent_id) {
                idle_ids.remove(place);
                return Some(id);
            }
        }
        if !idle_ids.is_empty() {
            self.connections.remove(&idle_ids.remove(0));
        }
        None
    }

    fn remove_idle(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            if let Some(idle_ids) = self.idle_connections.get_mut(&connection.address) {
                idle_ids.retain(|idle_id| *idle_id != id);
            }
        }
    }
}

impl EndpointConnection {
    fn start_exchange(&mut self, start: &ExchangeStart) {
        let http = &start.http;
        self.state = ConnectionState::Busy(start.exchange);
        self.echoed_field = start.echoed_field.clone();
        let sent_id = request_hash(start);
        self.sent_ids.extend(sent_id);
        self.close_after = sent_id.is_none();
        self.is_head_request = http.method == "HEAD";
        self.skipping = false;
        self.has_succeeded = false;
        self.idle_timeout = IDLE_DEFAULT;
        self.socket.has_sent = false;
        let body_len = http.body.len();
        let output = &mut self.socket.output;
        write_request_head(&http.method, &http.path, &http.headers, body_len, output);
        self.socket.queue_body(&http.body);
    }

    /// Handles an orderly close of the connection; returns whether it completed the
    /// current response.
    ///
    /// An endpoint that closes with unread bytes resets the connection, though its close may
    /// arrive before they do. So a success whose request the endpoint can't have read to its
    /// end may have been broken off. The head of a refusal says all that matters.
    fn end_response(&mut self) -> bool {
        let is_complete = self.reader.end_of_stream() && !self.skipping;
        let is_received = self.socket.unwritten_len() == 0 && !self.socket.take_failed();
        is_complete && (is_received || !self.has_succeeded)
    }

    /// Returns whether no byte of the current request was written yet.
    fn awaits_writing(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_)) && !self.socket.has_sent
    }

    /// Handles a head; returns whether it certainly belongs to the current exchange.
    fn handle_head(&mut self, head: &ResponseHead) -> bool {
        let owner = self.owner_of(&head.headers);
        self.skipping = owner == ResponseOwner::Other;
        self.close_after |= head.closes_connection;
        if self.skipping {
            return false;
        }
        self.has_succeeded = (200..300).contains(&head.status);
        // The endpoint may not echo ids, so that a copy of this response could not be told
        // from a later one.
        self.close_after |= owner == ResponseOwner::Unnamed;
        if let Some(idle_timeout) = keep_alive_timeout(&head.headers) {
            self.idle_timeout = idle_timeout;
        }
        owner == ResponseOwner::Current || self.sent_ids.len() <= 1
    }

    fn owner_of(&self, headers: &[HeaderField]) -> ResponseOwner {
        let echoed = self.echoed_field.as_ref();
        let Some(echoed) = echoed.filter(|echoed| !echoed.value.is_empty()) else {
            return ResponseOwner::Unnamed;
        };
        let fields = headers
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case(&echoed.name));
        let own = fields.clone().filter(|field| field.value == echoed.value);
        match (own.count(), fields.count()) {
            (0, 0) => ResponseOwner::Unnamed,
            (0, _) => ResponseOwner::Other,
            (own, all) if own == all => ResponseOwner::Current,
            _ => ResponseOwner::Unnamed,
        }
    }
}

/// Returns the hash under which the id of a request is remembered; none if its response
/// can't be told from others on its connection. The length of a response to HEAD is that
/// of no body, so that one that belongs to another request would be read wrongly.
fn request_hash(start: &ExchangeStart) -> Option<u64> {
    let echoed = start.echoed_field.as_ref();
    let echoed = echoed.filter(|it| !it.value.is_empty() && start.http.method != "HEAD")?;
    let mut hasher = DefaultHasher::new();
    echoed.value.hash(&mut hasher);
    Some(hasher.finish())
}

fn head_event(exchange: ExchangeId, head: ResponseHead, is_confirmed: bool) -> ExchangeEvent {
    ExchangeEvent::Head {
        exchange,
        status: head.status,
        headers: head.headers,
        is_delimited: head.framing != BodyFraming::UntilClose,
        is_confirmed,
    }
}

/// Returns the idle timeout to use, derived from the one that the endpoint
/// announces in whole seconds.
fn keep_alive_timeout(headers: &[HeaderField]) -> Option<Duration> {
    let value = header_value(headers, "Keep-Alive")?;
    let text = std::str::from_utf8(value).ok()?;
    let mut items = text.split(',').map(str::trim);
    let seconds = items.find_map(|item| item.strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.saturating_sub(IDLE_MARGIN).min(IDLE_MAX))
}
