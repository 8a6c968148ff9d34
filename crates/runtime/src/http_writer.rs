//! Writes one HTTP response to a caller as its parts arrive.
//!
//! Uses the raw writer of the request, because the library's own response type
//! buffers up to 8 KiB of a chunked body.

use std::io::{Error, ErrorKind, Result, Write};

use chunked_transfer::Encoder;
use mulberrywell_role::ResponsePart;
use mulberrywell_wire::request::HeaderField;

/// Headers that the writer sets itself; those of the role are dropped.
const MANAGED_HEADERS: [&[u8]; 4] = [
    b"content-length",
    b"transfer-encoding",
    b"connection",
    b"keep-alive",
];

/// Flushes after each write: the encoder writes each chunk in one call and
/// never flushes the underlying writer.
struct FlushingWriter<W: Write> {
    writer: W,
    /// Set once the response is aborted: the encoder's last chunk must not be
    /// written.
    is_aborted: bool,
}

impl<W: Write> Write for FlushingWriter<W> {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        if self.is_aborted {
            return Ok(buf.len());
        }
        let len = self.writer.write(buf)?;
        self.writer.flush()?;
        Ok(len)
    }

    fn flush(&mut self) -> Result<()> {
        self.writer.flush()
    }
}

/// State of a response.
enum WriterState<W: Write> {
    /// Nothing was written.
    Idle(W),
    /// The body has a known length.
    Plain(W),
    /// The body ends with its last chunk.
    Chunked(Encoder<FlushingWriter<W>>),
    /// Complete or aborted.
    Ended,
}

/// Writes one response.
pub struct HttpWriter<W: Write> {
    state: WriterState<W>,
    /// False for HTTP/1.0 callers: closing the connection then ends the body.
    allows_chunks: bool,
    /// Only the end of the connection ends the body.
    is_undelimited: bool,
    /// Set for a HEAD request, whose response has no body.
    bodyless: bool,
}

impl<W: Write> HttpWriter<W> {
    /// Creates a writer for one request.
    pub fn new(writer: W, allows_chunks: bool, bodyless: bool) -> Self {
        HttpWriter {
            state: WriterState::Idle(writer),
            allows_chunks,
            is_undelimited: false,
            bodyless,
        }
    }

    /// Writes one part; true when the response is complete.
    ///
    /// # Errors
    /// Fails when the caller has hung up, and on `Abort`: the connection must
    /// then be reset so that the caller detects the truncated response.
    pub fn write(&mut self, part: ResponsePart) -> Result<bool> {
        match part {
            ResponsePart::Head {
                status,
                headers,
                length,
            } => self.write_head(status, &headers, length).map(|()| false),
            ResponsePart::Data(data) => self.write_data(&data).map(|()| false),
            ResponsePart::End => self.finish().map(|()| true),
            ResponsePart::Abort => self.abort(),
        }
    }

    /// Returns whether only the end of the connection ends the response.
    pub fn is_undelimited(&self) -> bool {
        self.is_undelimited
    }

    fn write_head(
        &mut self,
        status: u16,
        headers: &[HeaderField],
        length: Option<u64>,
    ) -> Result<()> {
        let state = std::mem::replace(&mut self.state, WriterState::Ended);
        let WriterState::Idle(mut writer) = state else {
            return Err(Error::other("response has a second head"));
        };
        let reason = tiny_http::StatusCode(status).default_reason_phrase();
        let mut head = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
        for field in headers.iter().filter(|field| is_forwarded(field)) {
            head.extend_from_slice(&field.name);
            head.extend_from_slice(b": ");
            head.extend_from_slice(&field.value);
            head.extend_from_slice(b"\r\n");
        }
        let bodyless = self.bodyless || status == 204 || status == 304;
        let plain = bodyless || length.is_some() || !self.allows_chunks;
        match length {
            Some(length) => write!(head, "Content-Length: {length}\r\n")?,
            None if bodyless => {}
            None if self.allows_chunks => head.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
            None => {
                self.is_undelimited = true;
                head.extend_from_slice(b"Connection: close\r\n");
            }
        }
        head.extend_from_slice(b"\r\n");
        writer.write_all(&head)?;
        writer.flush()?;
        self.bodyless = bodyless;
        self.state = if plain {
            WriterState::Plain(writer)
        } else {
            WriterState::Chunked(Encoder::with_flush_after_write(FlushingWriter {
                writer,
                is_aborted: false,
            }))
        };
        Ok(())
    }

    fn write_data(&mut self, data: &[u8]) -> Result<()> {
        if self.bodyless || data.is_empty() {
            return Ok(());
        }
        match &mut self.state {
            WriterState::Plain(writer) => {
                writer.write_all(data)?;
                writer.flush()
            }
            WriterState::Chunked(encoder) => {
                encoder.write_all(data)?;
                encoder.flush()
            }
            WriterState::Idle(_) | WriterState::Ended => Err(Error::other("data outside a body")),
        }
    }

    /// Omits the end of the response, so that the caller can't take it for
    /// complete.
    fn abort(&mut self) -> Result<bool> {
        if let WriterState::Chunked(encoder) = &mut self.state {
            encoder.get_mut().is_aborted = true;
        }
        Err(Error::new(ErrorKind::ConnectionAborted, "response aborted"))
    }

    fn finish(&mut self) -> Result<()> {
        match std::mem::replace(&mut self.state, WriterState::Ended) {
            WriterState::Plain(mut writer) => writer.flush(),
            // Dropping the encoder writes the last chunk.
            WriterState::Chunked(encoder) => {
                drop(encoder);
                Ok(())
            }
            WriterState::Idle(_) | WriterState::Ended => Err(Error::other("end without a head")),
        }
    }
}

fn is_forwarded(field: &HeaderField) -> bool {
    let is_allowed = |b: &u8| *b != b'\r' && *b != b'\n';
    !MANAGED_HEADERS
        .iter()
        .any(|name| field.name.eq_ignore_ascii_case(name))
        && field.name.iter().chain(field.value.iter()).all(is_allowed)
}
