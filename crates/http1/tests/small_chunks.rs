//! Bodies in many small chunks that arrive at once.

use bytes::{Bytes, BytesMut};
use mulberrywell_http1::{
    BodyDecoder, BodyError, BodyFraming, RequestLimits, RequestReader, ResponseInput,
    ResponseReader,
};
use rstest::rstest;

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const REQUEST_HEAD: &[u8] = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

const CHUNK: &[u8] = b"1\r\na\r\n";

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Bytes received at once.
const READ_LEN: usize = 256 * 1024;

/// Reads received.
const READS: usize = 4;

/// Returns the data that a decoder reads from `text`, which is received at once, and how
/// reading ends.
fn decode_body(text: &[u8]) -> (Vec<u8>, Result<bool, BodyError>) {
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut buf = BytesMut::from(text);
    let mut data = Vec::new();
    loop {
        match decoder.next_piece(&mut buf) {
            Ok(Some(piece)) => data.extend_from_slice(&piece),
            Ok(None) => return (data, Ok(decoder.is_done())),
            Err(error) => return (data, Err(error)),
        }
    }
}

/// Guards against one event for each chunk of a read: handling those of one connection
/// took seconds, during which other connections and timers waited.
#[rstest]
#[case::one_byte(1)]
#[case::a_few_bytes(100)]
#[case::as_long_as_segments(1_400)]
fn response_chunks_of_one_read_are_one_piece(#[case] chunk_len: usize) {
    let mut chunk = format!("{chunk_len:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_len, b'a');
    chunk.extend_from_slice(b"\r\n");
    let chunks = READ_LEN / chunk.len();
    let mut reader = ResponseReader::default();
    let mut buf = BytesMut::from(RESPONSE_HEAD);
    let head = reader.next_input(&mut buf, false).expect("valid head");
    assert!(matches!(head, Some(ResponseInput::Head(_))));
    for _ in 0..READS {
        buf.extend_from_slice(&chunk.repeat(chunks));
        let mut lens = Vec::new();
        while let Some(input) = reader.next_input(&mut buf, false).expect("valid body") {
            let ResponseInput::Data(piece) = input else {
                panic!("not a part of a body: {input:?}");
            };
            assert!(piece.iter().all(|byte| *byte == b'a'));
            lens.push(piece.len());
        }
        assert!(lens == [chunks * chunk_len], "{} pieces", lens.len());
        assert!(buf.is_empty());
    }
}

/// Guards against body bytes that are lost or changed when the chunks of a read are
/// joined, wherever the reads divide them.
#[rstest]
fn response_divided_chunks_are_joined(#[values(1, 2, 3, 5, 7, 11, 64)] read_len: usize) {
    let mut text = RESPONSE_HEAD.to_vec();
    text.extend_from_slice(b"1\r\na\r\n2;x\r\nbc\r\nA\r\ndefghijklm\r\n1\r\nn\r\n");
    text.extend_from_slice(b"0\r\nName: value\r\n\r\n");
    let mut reader = ResponseReader::default();
    let mut buf = BytesMut::new();
    let (mut data, mut ends) = (Vec::new(), 0);
    for part in text.chunks(read_len) {
        buf.extend_from_slice(part);
        while let Some(input) = reader.next_input(&mut buf, false).expect("valid response") {
            match input {
                ResponseInput::Head(_) => {}
                ResponseInput::Data(piece) => data.extend_from_slice(&piece),
                ResponseInput::End => ends += 1,
            }
        }
    }
    assert_eq!((data.as_slice(), ends), (&b"abcdefghijklmn"[..], 1));
    assert!(!reader.is_open() && buf.is_empty());
}

/// Guards against the next response's bytes taken for the joined body's.
#[test]
fn response_bytes_behind_joined_chunks_remain() {
    let text = [&CHUNK.repeat(3), LAST_CHUNK, b"HTTP/1.1"].concat();
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut buf = BytesMut::from(&text[..]);
    let piece = decoder.next_piece(&mut buf).expect("valid body");
    assert_eq!(piece, Some(Bytes::from_static(b"aaa")));
    assert_eq!(decoder.next_piece(&mut buf), Ok(None));
    assert!(decoder.is_done());
    assert_eq!(buf, b"HTTP/1.1"[..]);
}

/// Guards against a broken body whose valid beginning is lost, or whose error is, because
/// both arrive at once.
#[rstest]
#[case::size(b"x\r\n")]
#[case::no_size(b"\r\n\r\n")]
#[case::long_size_line(&[b'0'; 512])]
#[case::end_of_chunk(b"1\r\nabc")]
#[case::trailer(&[&b"0\r\n"[..], &[b'n'; 8 * 1024]].concat())]
fn body_error_follows_joined_chunks(#[case] bad: &[u8]) {
    let text = [&CHUNK.repeat(3), bad].concat();
    let (data, end) = decode_body(&text);
    assert_eq!(end, Err(BodyError));
    assert!(data.starts_with(b"aaa"));
}

/// Guards against a copy of a body that is one chunk.
#[test]
fn body_single_chunk_is_not_copied() {
    let text = [&b"4\r\nabcd\r\n"[..], LAST_CHUNK].concat();
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut buf = BytesMut::from(&text[..]);
    let place = buf[3..].as_ptr();
    let piece = decoder.next_piece(&mut buf).expect("valid body").unwrap();
    assert_eq!(piece, b"abcd"[..]);
    assert_eq!(piece.as_ptr(), place);
}

/// Guards against requests in small chunks that are read wrongly or beyond the limit when
/// their chunks are joined.
#[rstest]
#[case::within_limit(0, true)]
#[case::beyond_limit(1, false)]
fn request_chunks_of_one_read_are_joined(#[case] more: usize, #[case] is_read: bool) {
    let len = READ_LEN / CHUNK.len();
    let limits = RequestLimits {
        head_max: 1_024,
        body_max: len,
    };
    let text = [REQUEST_HEAD, &CHUNK.repeat(len + more), LAST_CHUNK].concat();
    let mut buf = BytesMut::from(&text[..]);
    let read = RequestReader::default().next_request(&mut buf, limits);
    let body = read.map(|request| request.map(|request| request.http.body));
    let body = body.ok().flatten();
    assert!(body == is_read.then(|| Bytes::from(vec![b'a'; len])));
}
