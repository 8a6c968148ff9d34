//! HTTP server of the fakes, with one thread per connection.
//!
//! The fakes do not use the product's HTTP library, because it is slow to start
//! serving a connection when many arrive at once, which would distort every
//! figure that is measured against a fake.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use chunked_transfer::Decoder;
use serde_json::Value;
use socket2::SockRef;

/// Maximum number of headers of a request.
const HEADERS_MAX: usize = 64;

/// A complete request.
#[derive(Debug, Clone, Default)]
pub struct ServerRequest {
    /// Method in upper case.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers with their names as received.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: String,
}

impl ServerRequest {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value.as_str())
    }
}

/// Writes a response; each method returns whether the write succeeded.
#[derive(Debug)]
pub struct ResponseStream(Arc<TcpStream>);

impl ResponseStream {
    /// Writes a response with a JSON body.
    pub fn respond(&mut self, status: u16, body: &Value) -> bool {
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.write(&text)
    }

    /// Writes the head of a chunked response.
    pub fn begin_chunks(&mut self, content_type: &str) -> bool {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        ))
    }

    /// Writes a chunk; an empty one ends the response.
    pub fn write_chunk(&mut self, text: &str) -> bool {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Writes text unchanged.
    pub fn write(&mut self, text: &str) -> bool {
        (&*self.0).write_all(text.as_bytes()).is_ok()
    }

    /// Makes closing the connection send a reset.
    ///
    /// # Errors
    /// Fails when the socket has failed.
    pub fn reset_on_close(&self) -> Result<()> {
        Ok(SockRef::from(&*self.0).set_linger(Some(Duration::ZERO))?)
    }

    /// Returns the connection, so that a fake can break it from another thread.
    pub fn connection(&self) -> Weak<TcpStream> {
        Arc::downgrade(&self.0)
    }
}

/// Serves each request of a listener with `handle`, which returns whether the
/// connection accepts another request.
pub fn spawn_server<H>(listener: TcpListener, handle: H)
where
    H: Fn(ServerRequest, &mut ResponseStream) -> bool + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &handle));
        }
    });
}

/// Serves the requests of a connection until `handle` ends it.
pub(crate) fn serve_connection<H>(stream: TcpStream, handle: &H)
where
    H: Fn(ServerRequest, &mut ResponseStream) -> bool,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = Arc::new(stream);
    let mut reader = BufReader::new(&*stream);
    let mut response = ResponseStream(stream.clone());
    while let Ok(request) = read_request(&mut reader) {
        if !handle(request, &mut response) {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Result<ServerRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if reader.read_until(b'\n', &mut head)? == 0 {
            bail!("connection closed before a complete request head");
        }
    }
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    parsed.parse(&head)?;
    let mut request = ServerRequest {
        method: parsed
            .method
            .context("no method in the request line")?
            .to_owned(),
        target: parsed
            .path
            .context("no path in the request line")?
            .to_owned(),
        ..ServerRequest::default()
    };
    for field in parsed.headers.iter() {
        let value = String::from_utf8_lossy(field.value).into_owned();
        request.headers.push((field.name.to_owned(), value));
    }
    if request.header("Transfer-Encoding").is_empty() {
        let len = request.header("Content-Length").parse().unwrap_or(0);
        reader.take(len).read_to_string(&mut request.body)?;
    } else {
        Decoder::new(reader).read_to_string(&mut request.body)?;
    }
    Ok(request)
}
