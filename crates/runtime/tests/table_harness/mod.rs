//! An exchange table beside an endpoint that a test plays.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_role::{ExchangeEnd, ExchangeEvent, ExchangeId, HttpRequest};
use mulberrywell_runtime::exchange_table::{ConnectionId, ExchangeStart, ExchangeTable};
use mulberrywell_wire::request::HeaderField;
use socket2::SockRef;
use stakker::Fwd;
use stakker_mio::MioPoll;

/// Timeout for an exchange to advance.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Size in bytes of the endpoint's receive buffers.
const RECEIVE_BUFFER: usize = 64 * 1024;

pub const READ_LEN: usize = 64 * 1024;

/// An exchange table and the endpoint that it connects to.
pub struct TableHarness<'a> {
    pub poll: &'a MioPoll,
    pub table: ExchangeTable,
    pub listener: TcpListener,
    /// Events so far.
    pub events: Vec<ExchangeEvent>,
    /// Whether the response of the exchange that ended last certainly was its own.
    pub is_confirmed: bool,
}

impl<'a> TableHarness<'a> {
    pub fn new(poll: &'a MioPoll) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = SockRef::from(&listener);
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        TableHarness {
            poll,
            table: ExchangeTable::default(),
            listener,
            events: Vec::new(),
            is_confirmed: false,
        }
    }

    pub fn start(&self, exchange: ExchangeId, body_len: usize) -> ExchangeStart {
        ExchangeStart {
            exchange,
            address: self.listener.local_addr().unwrap(),
            http: HttpRequest {
                method: Bytes::from_static(b"POST"),
                path: Bytes::from_static(b"/"),
                headers: Vec::new(),
                body: Bytes::from(vec![b'x'; body_len]),
            },
            echoed_field: None,
            connect_timeout: EVENT_TIMEOUT,
        }
    }

    /// Returns a request with an id.
    pub fn start_request(&self, exchange: ExchangeId, id: &'static str) -> ExchangeStart {
        let field = HeaderField {
            name: Bytes::from_static(b"Request-Id"),
            value: Bytes::from_static(id.as_bytes()),
        };
        let mut start = self.start(exchange, 0);
        start.http.headers.push(field.clone());
        start.echoed_field = Some(field);
        start
    }

    /// Starts an exchange on a new connection; returns the connection and the
    /// endpoint's side of it, which has received the start of the request.
    pub fn open(&mut self, exchange: ExchangeId, body_len: usize) -> (ConnectionId, TcpStream) {
        let start = self.start(exchange, body_len);
        self.open_for(&start)
    }

    pub fn open_for(&mut self, start: &ExchangeStart) -> (ConnectionId, TcpStream) {
        let id = self.table.next_connection_id();
        let now = Instant::now();
        self.table
            .open(self.poll, now, id, start, Fwd::new(|_| {}))
            .unwrap();
        let (mut endpoint, _) = self.listener.accept().unwrap();
        self.handle_ready(id);
        endpoint.read_exact(&mut [0]).unwrap();
        (id, endpoint)
    }

    pub fn handle_ready(&mut self, id: ConnectionId) {
        let mut scratch = vec![0; READ_LEN];
        let now = Instant::now();
        self.table
            .handle_ready(now, id, &mut scratch, &mut self.events);
    }

    /// Opens a connection that has carried a request and its refusal, and is kept.
    pub fn open_refused(&mut self, id: &'static str) -> (ConnectionId, TcpStream) {
        let start = self.start_request(1, id);
        let (connection, mut endpoint) = self.open_for(&start);
        endpoint.write_all(refusal(id).as_bytes()).unwrap();
        assert_eq!(self.finish_head(connection), (503, ExchangeEnd::Complete));
        (connection, endpoint)
    }

    /// Advances an exchange to its end; returns the body and how the exchange ended.
    pub fn finish(&mut self, id: ConnectionId) -> (Vec<u8>, ExchangeEnd) {
        let (_, body, end) = self.finish_response(id);
        (body, end)
    }

    /// Advances an exchange to its end; returns the status, 0 without a response, and
    /// how the exchange ended.
    pub fn finish_head(&mut self, id: ConnectionId) -> (u16, ExchangeEnd) {
        let (status, _, end) = self.finish_response(id);
        (status, end)
    }

    pub fn finish_response(&mut self, id: ConnectionId) -> (u16, Vec<u8>, ExchangeEnd) {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        let mut body = Vec::new();
        let mut status = 0;
        while Instant::now() < deadline {
            self.handle_ready(id);
            for event in self.events.drain(..) {
                match event {
                    ExchangeEvent::Head {
                        status: head,
                        is_confirmed,
                        ..
                    } => {
                        status = head;
                        self.is_confirmed = is_confirmed;
                    }
                    ExchangeEvent::Data { data, .. } => body.extend_from_slice(&data),
                    ExchangeEvent::Full { .. } => unreachable!("the driver's event"),
                    ExchangeEvent::End { end, .. } => return (status, body, end),
                }
            }
        }
        panic!("the exchange has not ended");
    }
}

/// Returns a refusal that echoes an id.
pub fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}
