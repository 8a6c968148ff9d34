//! Checks which request heads are accepted and why others are rejected.

use mulberrywell_runtime::head_check::{
    allows_chunks, check_head, BodyLength, HeadError, HeadScan, HEAD_MAX,
};
use rstest::rstest;

const MAX_BODY: u64 = 1_000;

/// Scans a head byte by byte, then checks its fields.
fn check(head: &[u8]) -> Result<Option<BodyLength>, HeadError> {
    let mut scan = HeadScan::default();
    for end in 1..=head.len() {
        if let Some(len) = scan.advance(&head[..end])? {
            return check_head(&head[..len], MAX_BODY).map(Some);
        }
    }
    Ok(None)
}

#[rstest]
#[case::no_body("", BodyLength::Known(0))]
#[case::length("Content-Length: 12\r\n", BodyLength::Known(12))]
#[case::longest("content-length:1000\r\n", BodyLength::Known(1_000))]
#[case::chunked("Transfer-Encoding: Chunked\r\n", BodyLength::Chunked)]
#[case::other_fields("Host: x\r\nConnection: close\r\n", BodyLength::Known(0))]
fn head_accepted(#[case] fields: &str, #[case] body: BodyLength) {
    let head = format!("POST /v1/completions HTTP/1.1\r\n{fields}\r\n");
    assert_eq!(check(head.as_bytes()), Ok(Some(body)));
}

#[rstest]
#[case::over_limit("Content-Length: 1001", HeadError::BodyTooLong)]
#[case::over_64_bits("Content-Length: 99999999999999999999999", HeadError::BodyTooLong)]
#[case::largest("Content-Length: 18446744073709551615", HeadError::BodyTooLong)]
#[case::negative("Content-Length: -1", HeadError::AmbiguousLength)]
#[case::signed("Content-Length: +1", HeadError::AmbiguousLength)]
#[case::hexadecimal("Content-Length: 0x10", HeadError::AmbiguousLength)]
#[case::empty("Content-Length:", HeadError::AmbiguousLength)]
#[case::list("Content-Length: 1, 1", HeadError::AmbiguousLength)]
#[case::twice("Content-Length: 1\r\nContent-Length: 1", HeadError::AmbiguousLength)]
#[case::both(
    "Content-Length: 1\r\nTransfer-Encoding: chunked",
    HeadError::AmbiguousLength
)]
#[case::other_coding("Transfer-Encoding: gzip, chunked", HeadError::AmbiguousLength)]
#[case::coding_twice(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    HeadError::AmbiguousLength
)]
#[case::upgrade("Connection: Upgrade\r\nUpgrade: h2c", HeadError::Upgrade)]
#[case::no_colon("no colon", HeadError::Malformed)]
#[case::space_before_colon("Content-Length : 5", HeadError::Malformed)]
#[case::folded("A: b\r\n Content-Length: 5", HeadError::Malformed)]
#[case::no_name(": value", HeadError::Malformed)]
#[case::line_feed("A: b\nContent-Length: 5", HeadError::Malformed)]
#[case::carriage_return("A: b\rContent-Length: 5", HeadError::Malformed)]
#[case::zero_byte("A: b\0", HeadError::Malformed)]
#[case::not_ascii("A: é", HeadError::Malformed)]
fn head_refused(#[case] fields: &str, #[case] error: HeadError) {
    let head = format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n");
    assert_eq!(check(head.as_bytes()), Err(error));
}

#[rstest]
#[case::version_2("GET / HTTP/2.0")]
#[case::version_09("GET / HTTP/0.9")]
#[case::no_version("GET /")]
#[case::no_path("GET HTTP/1.1")]
#[case::four_words("GET / x HTTP/1.1")]
#[case::two_spaces("GET  / HTTP/1.1")]
#[case::full_url("GET http://x/ HTTP/1.1")]
fn request_line_refused(#[case] line: &str) {
    let head = format!("{line}\r\n\r\n");
    assert_eq!(check(head.as_bytes()), Err(HeadError::Malformed));
}

#[rstest]
#[case::tls(b"\x16\x03\x01\x02\x00")]
#[case::blank_line(b"\r\n")]
#[case::lower_case(b"get")]
#[case::not_ascii(b"G\xff")]
fn first_bytes_refused(#[case] bytes: &[u8]) {
    assert_eq!(check(bytes), Err(HeadError::Malformed));
}

#[test]
fn endless_line_refused() {
    let mut scan = HeadScan::default();
    let mut head = b"GET /".to_vec();
    head.resize(HEAD_MAX - 1, b'a');
    assert_eq!(scan.advance(&head), Ok(None));
    head.push(b'a');
    assert_eq!(scan.advance(&head), Err(HeadError::TooLong));
}

#[rstest]
#[case::version_1_0("GET / HTTP/1.0\r\nA: HTTP/1.1\r\n\r\n", false)]
#[case::version_1_1("GET / HTTP/1.1\r\nA: HTTP/1.0\r\n\r\n", true)]
fn allows_chunks_by_version(#[case] head: &str, #[case] allowed: bool) {
    assert_eq!(allows_chunks(head.as_bytes()), allowed);
}
