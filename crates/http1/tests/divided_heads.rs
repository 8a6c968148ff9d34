//! Heads and bodies that arrive in many small parts.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use mulberrywell_http1::{RequestLimits, RequestReader};
use rstest::rstest;

const LIMITS: RequestLimits = RequestLimits {
    head_max: 16 * 1024,
    body_max: 4 * 1024 * 1024,
};

/// Returns the shortest of several times in which a request with a field of this length is
/// read byte by byte.
fn bytewise_time(field_len: usize) -> Duration {
    let field = "a".repeat(field_len);
    let text = format!("POST / HTTP/1.1\r\nX-Long: {field}\r\nContent-Length: 2\r\n\r\nok");
    let runs = (0..5).map(|_| {
        let started = Instant::now();
        let mut reader = RequestReader::default();
        let mut buf = BytesMut::new();
        let mut read = None;
        for byte in text.as_bytes() {
            buf.extend_from_slice(&[*byte]);
            read = reader.next_request(&mut buf, LIMITS).expect("valid");
        }
        assert_eq!(read.expect("a request").http.body, "ok");
        started.elapsed()
    });
    runs.min().expect("a run")
}

/// Guards against a head that is parsed from its first byte for each byte that arrives: ten
/// times the bytes took a hundred times as long.
#[test]
fn head_bytewise_takes_linear_time() {
    let (short, long) = (bytewise_time(1_500), bytewise_time(15_000));
    assert!(long < 40 * short, "{short:?}, then {long:?}");
}

/// Guards against a head whose end is overlooked where the reads divide it.
#[rstest]
fn head_divided_anywhere_is_read(#[values("\r\n", "\n")] line_end: &str) {
    let head = format!("GET /a HTTP/1.1{line_end}Host: h{line_end}{line_end}");
    for place in 1..head.len() {
        let mut reader = RequestReader::default();
        let (first, rest) = head.split_at(place);
        let mut buf = BytesMut::from(first);
        let read = reader.next_request(&mut buf, LIMITS).expect("valid");
        assert!(read.is_none(), "after {place} bytes");
        buf.extend_from_slice(rest.as_bytes());
        let read = reader.next_request(&mut buf, LIMITS).expect("valid");
        assert!(read.is_some(), "divided at {place}");
    }
}

/// Guards against a body that takes twice its length in memory as it grows.
#[test]
fn body_chunked_takes_little_spare_memory() {
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::from("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("4000\r\n{}\r\n", "a".repeat(16 * 1024));
    let mut len = 0;
    while len < LIMITS.body_max {
        buf.extend_from_slice(chunk.as_bytes());
        let read = reader.next_request(&mut buf, LIMITS).expect("valid");
        assert!(read.is_none());
        len += 16 * 1024;
        let reserved = reader.reserved_len();
        assert!(
            reserved >= len && reserved <= len + len / 4,
            "{reserved} of {len}"
        );
    }
}
