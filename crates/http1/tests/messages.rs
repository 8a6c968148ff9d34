//! Readers of requests and responses, fed byte by byte, and the response writer.

use bytes::{Bytes, BytesMut};
use mulberrywell_http1::{
    write_chunk, write_last_chunk, write_response_head, HeadError, RequestError, RequestLimits,
    RequestReader, ResponseInput, ResponseReader,
};
use rstest::rstest;

const LIMITS: RequestLimits = RequestLimits {
    head_max: 1_024,
    body_max: 16,
};

/// Bytes that stand for a response without end.
const ENDLESS_LEN: usize = 8 * 1024 * 1024;

/// Bytes received at once.
const READ_LEN: usize = 256 * 1024;

fn read_bytewise(text: &[u8]) -> Result<Vec<(Bytes, Bytes)>, RequestError> {
    let mut reader = RequestReader::default();
    let mut buf = BytesMut::new();
    let mut read = Vec::new();
    for byte in text {
        buf.extend_from_slice(&[*byte]);
        while let Some(request) = reader.next_request(&mut buf, LIMITS)? {
            read.push((request.http.path, request.http.body));
        }
    }
    Ok(read)
}

#[rstest]
#[case::no_body(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "/a", "")]
#[case::length(b"POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "/b", "abc")]
#[case::chunks(
    b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    "/c",
    "abc"
)]
fn request_read_bytewise(#[case] text: &[u8], #[case] path: &str, #[case] body: &str) {
    let read = read_bytewise(text).expect("valid request");
    assert_eq!(
        read,
        [(Bytes::from(path.to_owned()), Bytes::from(body.to_owned()))]
    );
    let mut twice = text.to_vec();
    twice.extend_from_slice(text);
    assert_eq!(read_bytewise(&twice).expect("two valid requests").len(), 2);
}

#[rstest]
#[case::two_lengths(b"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n")]
#[case::length_and_chunks(
    b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::signed_length(b"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n")]
#[case::coding(b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n")]
fn request_ambiguous_refused(#[case] text: &[u8]) {
    let error = read_bytewise(text).expect_err("request must be rejected");
    assert_eq!(error, RequestError::Head(HeadError::BadFraming));
}

#[rstest]
#[case::length(
    b"POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n",
    RequestError::BodyTooLong
)]
#[case::chunks(
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n01234567890123456\r\n",
    RequestError::BodyTooLong
)]
#[case::bad_chunk(
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
    RequestError::BadBody
)]
fn request_bad_body_refused(#[case] text: &[u8], #[case] error: RequestError) {
    assert_eq!(
        read_bytewise(text).expect_err("request must be rejected"),
        error
    );
}

/// A chunk size line without digits counted as the last chunk of a request.
#[rstest]
#[case::blank("")]
#[case::space(" ")]
#[case::extension(";x")]
fn request_chunk_without_size_refused(#[case] size: &str) {
    let text =
        format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n{size}\r\n\r\n");
    let error = read_bytewise(text.as_bytes()).expect_err("request must be rejected");
    assert_eq!(error, RequestError::BadBody);
}

#[test]
fn request_long_head_refused() {
    let mut text = b"GET / HTTP/1.1\r\nA: ".to_vec();
    text.resize(LIMITS.head_max + 1, b'a');
    let error = read_bytewise(&text).expect_err("request must be rejected");
    assert_eq!(error, RequestError::Head(HeadError::TooLong));
}

fn read_responses(text: &[u8], closed: bool) -> Result<(Vec<u16>, Vec<u8>, usize), HeadError> {
    read_parts(text, 1, closed)
}

fn read_parts(
    text: &[u8],
    part_len: usize,
    closed: bool,
) -> Result<(Vec<u16>, Vec<u8>, usize), HeadError> {
    let mut reader = ResponseReader::default();
    let mut buf = BytesMut::new();
    let (mut statuses, mut data, mut ends) = (Vec::new(), Vec::new(), 0);
    for part in text.chunks(part_len) {
        buf.extend_from_slice(part);
        while let Some(input) = reader.next_input(&mut buf, false)? {
            match input {
                ResponseInput::Head(head) => statuses.push(head.status),
                ResponseInput::Data(piece) => data.extend_from_slice(&piece),
                ResponseInput::End => ends += 1,
            }
        }
    }
    if closed && reader.end_of_stream() {
        ends += 1;
    }
    Ok((statuses, data, ends))
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false)]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
    false
)]
#[case::until_close(b"HTTP/1.1 200 OK\r\n\r\nab", true)]
#[case::interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
    false
)]
fn response_read(#[case] text: &[u8], #[case] closed: bool) {
    let read = read_responses(text, closed).expect("valid response");
    assert_eq!(read, (vec![200], b"ab".to_vec(), 1));
}

#[test]
fn response_truncated_has_no_end() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab";
    let (_, _, ends) = read_responses(text, true).expect("valid start of a response");
    assert_eq!(ends, 0);
}

/// Guards against a response whose connection ends anywhere before its last byte, and that
/// has a head before its blank line or counts as complete.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 12\r\n\r\nwhole answer")]
#[case::empty("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: r1\r\n\r\n")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n10\r\n\
     0123456789abcdef\r\n0\r\n\r\n"
)]
#[case::trailer(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nName: 0\r\n\r\n"
)]
#[case::line_feeds("HTTP/1.1 200 OK\nRequest-Id: r1\nContent-Length: 2\n\r\nab")]
#[case::no_content("HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n\r\n")]
#[case::interim(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n\
     HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
)]
#[case::refusal("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\nno")]
fn response_prefix_not_complete(#[case] text: &str, #[values(1, 7, READ_LEN)] part_len: usize) {
    let final_head = text.rfind("HTTP/1.").unwrap();
    let head_end = ["\r\n\r\n", "\n\r\n"]
        .iter()
        .filter_map(|end| Some(final_head + text[final_head..].find(end)? + end.len()))
        .min()
        .unwrap();
    for len in 0..text.len() {
        let prefix = &text.as_bytes()[..len];
        let (statuses, data, ends) = read_parts(prefix, part_len, true).unwrap();
        assert_eq!(statuses.len(), usize::from(len >= head_end), "{len} bytes");
        assert!(len >= head_end || data.is_empty(), "{len} bytes");
        assert_eq!(ends, 0, "{len} bytes");
    }
    let (_, _, ends) = read_parts(text.as_bytes(), part_len, false).unwrap();
    assert_eq!(ends, 1);
}

/// Reads a response whose first part is followed by `repeated` without end, and returns
/// the error that ends it.
fn read_endless(first: &[u8], repeated: &[u8]) -> HeadError {
    let mut reader = ResponseReader::default();
    let mut buf = BytesMut::from(first);
    for _ in 0..ENDLESS_LEN / repeated.len() {
        buf.extend_from_slice(repeated);
        if buf.len() < READ_LEN {
            continue;
        }
        loop {
            match reader.next_input(&mut buf, false) {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(error) => return error,
            }
        }
    }
    panic!("the response is still being read");
}

/// Guards against a status that no response has (RFC 9110, section 15) and that callers get
/// as one, or that passes for an interim head.
#[rstest]
fn response_invalid_status_refused(
    #[values("000", "001", "099", "600", "999")] status: &str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] interim: &str,
) {
    let valid = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    let text = format!("{interim}HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n{valid}");
    let error = read_responses(text.as_bytes(), true).expect_err("no valid status");
    assert_eq!(error, HeadError::Malformed);
}

/// Interim heads without end overflowed the stack when one read contained many.
#[test]
fn response_endless_interim_heads_refused() {
    let error = read_endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(error, HeadError::TooLong);
}

/// Trailer lines without end kept a response open, as only single lines were limited.
#[test]
fn response_endless_trailer_refused() {
    let first = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let error = read_endless(first, b"Name: value\r\n");
    assert_eq!(error, HeadError::BadFraming);
}

#[test]
fn response_trailer_read() {
    let text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        2\r\nab\r\n0\r\nName: value\r\nOther: value\r\n\r\n";
    let read = read_responses(text, false).expect("valid response");
    assert_eq!(read, (vec![200], b"ab".to_vec(), 1));
}

/// A chunk's size line was limited only while it was incomplete.
#[rstest]
#[case::in_one_read(READ_LEN)]
#[case::in_parts(1)]
fn response_long_size_line_refused(#[case] read_len: usize) {
    let mut text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;".to_vec();
    text.resize(text.len() + 1_024, b'e');
    text.extend_from_slice(b"\r\nab\r\n");
    let mut reader = ResponseReader::default();
    let mut buf = BytesMut::new();
    let mut outcome = Ok(());
    for part in text.chunks(read_len) {
        buf.extend_from_slice(part);
        while outcome.is_ok() {
            match reader.next_input(&mut buf, false) {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(error) => outcome = Err(error),
            }
        }
    }
    assert_eq!(outcome, Err(HeadError::BadFraming));
}

/// A chunk size line without digits ended a truncated body as a complete one.
#[rstest]
#[case::blank("")]
#[case::space(" ")]
#[case::extension(";x")]
fn response_chunk_without_size_refused(#[case] size: &str) {
    let text =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n{size}\r\n\r\n");
    let error = read_responses(text.as_bytes(), true).expect_err("response must be rejected");
    assert_eq!(error, HeadError::BadFraming);
}

#[test]
fn response_malformed_refused() {
    assert!(read_responses(b"\x00\x01garbage\r\n\r\n", false).is_err());
}

#[test]
fn response_written_is_read() {
    let mut out = BytesMut::new();
    write_response_head(200, &[], None, true, false, &mut out);
    write_chunk(b"a", &mut out);
    write_chunk(b"", &mut out);
    write_chunk(b"b", &mut out);
    write_last_chunk(&mut out);
    let read = read_responses(&out, false).expect("valid response");
    assert_eq!(read, (vec![200], b"ab".to_vec(), 1));
}
