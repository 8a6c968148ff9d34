//! The HTTP side of the fakes: a thread for each connection.
//!
//! The product's own HTTP library starts a connection late when many come at
//! once, which would show in every figure that is measured against a fake.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use anyhow::{bail, Context, Result};
use chunked_transfer::Decoder;
use serde_json::Value;

/// Most headers of a request.
const HEADERS_MAX: usize = 64;

/// One whole request.
#[derive(Debug, Clone, Default)]
pub struct ServerRequest {
    /// Method in capitals.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Names as they came.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: String,
}

impl ServerRequest {
    /// Returns a header's value, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value.as_str())
    }
}

/// Writes one answer; each write tells whether the peer still takes bytes.
#[derive(Debug)]
pub struct AnswerStream(TcpStream);

impl AnswerStream {
    /// Answers with JSON.
    pub fn respond(&mut self, status: u16, body: &Value) -> bool {
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.write(&text)
    }

    /// Begins a chunked answer.
    pub fn begin_chunks(&mut self, content_type: &str) -> bool {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        ))
    }

    /// Writes one chunk at once; an empty one ends the answer.
    pub fn write_chunk(&mut self, text: &str) -> bool {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, text: &str) -> bool {
        self.0.write_all(text.as_bytes()).is_ok()
    }
}

/// Serves each request of a listener with `handle`, which tells whether the
/// connection takes another.
pub fn spawn_server<H>(listener: TcpListener, handle: H)
where
    H: Fn(ServerRequest, &mut AnswerStream) -> bool + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, &handle));
        }
    });
}

fn serve_connection<H>(stream: TcpStream, handle: &H)
where
    H: Fn(ServerRequest, &mut AnswerStream) -> bool,
{
    let Ok(copy) = stream.try_clone() else { return };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = BufReader::new(stream);
    let mut answer = AnswerStream(copy);
    while let Ok(request) = read_request(&mut reader) {
        if !handle(request, &mut answer) {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Result<ServerRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if reader.read_until(b'\n', &mut head)? == 0 {
            bail!("the connection ended");
        }
    }
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    parsed.parse(&head)?;
    let mut request = ServerRequest {
        method: parsed.method.context("no method")?.to_owned(),
        target: parsed.path.context("no path")?.to_owned(),
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
