//! Serializer for requests and responses.

use std::io::Write;

use bytes::{Bytes, BytesMut};
use mulberrywell_wire::request::HeaderField;

/// Reason phrases of the statuses that the system itself generates.
const REASONS: [(u16, &str); 14] = [
    (200, "OK"),
    (202, "Accepted"),
    (400, "Bad Request"),
    (401, "Unauthorized"),
    (403, "Forbidden"),
    (404, "Not Found"),
    (408, "Request Timeout"),
    (413, "Content Too Large"),
    (421, "Misdirected Request"),
    (429, "Too Many Requests"),
    (431, "Request Header Fields Too Large"),
    (500, "Internal Server Error"),
    (503, "Service Unavailable"),
    (504, "Gateway Timeout"),
];

/// Fields that this module writes itself and drops from the given headers.
const FRAMING_FIELDS: [&str; 2] = ["Content-Length", "Transfer-Encoding"];

/// Appends the head of a request; `Content-Length` is left out for a GET without a body.
pub fn write_request_head(
    method: &Bytes,
    path: &Bytes,
    headers: &[HeaderField],
    body_len: usize,
    out: &mut BytesMut,
) {
    out.reserve(256);
    for part in [method.as_ref(), b" ", path.as_ref(), b" HTTP/1.1\r\n"] {
        out.extend_from_slice(part);
    }
    write_fields(headers, out);
    if body_len > 0 || method != "GET" {
        write_length(body_len as u64, out);
    }
    out.extend_from_slice(b"\r\n");
}

/// Appends the head of a response.
///
/// Without a length the body is chunked if `allows_chunks` is set; otherwise it
/// ends when the connection closes.
pub fn write_response_head(
    status: u16,
    headers: &[HeaderField],
    length: Option<u64>,
    allows_chunks: bool,
    close: bool,
    out: &mut BytesMut,
) {
    let reason = REASONS.iter().find(|(known, _)| *known == status);
    let reason = reason.map_or("Status", |(_, reason)| reason);
    write_display(format_args!("HTTP/1.1 {status} {reason}\r\n"), out);
    write_fields(headers, out);
    match length {
        Some(len) => write_length(len, out),
        None if allows_chunks => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        None => {}
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// Appends a chunk; nothing for empty data, as a chunk of size 0 ends the body.
pub fn write_chunk(data: &[u8], out: &mut BytesMut) {
    if data.is_empty() {
        return;
    }
    write_display(format_args!("{:x}\r\n", data.len()), out);
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Appends the chunk that ends a body.
pub fn write_last_chunk(out: &mut BytesMut) {
    out.extend_from_slice(b"0\r\n\r\n");
}

fn write_fields(headers: &[HeaderField], out: &mut BytesMut) {
    for field in headers {
        let framing = FRAMING_FIELDS
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name.as_bytes()));
        if framing {
            continue;
        }
        for part in [field.name.as_ref(), b": ", field.value.as_ref(), b"\r\n"] {
            out.extend_from_slice(part);
        }
    }
}

fn write_length(len: u64, out: &mut BytesMut) {
    write_display(format_args!("Content-Length: {len}\r\n"), out);
}

fn write_display(text: std::fmt::Arguments<'_>, out: &mut BytesMut) {
    let mut writer = bytes::BufMut::writer(out);
    // Writing to a growable buffer can't fail.
    let _ = writer.write_fmt(text);
}
