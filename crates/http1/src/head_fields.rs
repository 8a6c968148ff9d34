//! Fields of a head that tell how its message is framed.

use bytes::Bytes;
use mulberrywell_role::header_value;
use mulberrywell_wire::request::HeaderField;

use crate::body_framing::BodyFraming;

/// Most fields of one head.
pub(crate) const FIELDS_MAX: usize = 64;

/// Why a head can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadFault {
    /// The bytes are no head of HTTP/1.
    Malformed,
    /// The head is longer than the limit.
    TooLong,
    /// Lengths contradict each other, or the coding is not known.
    BadFraming,
}

/// Copies parsed fields out as slices of the head.
pub(crate) fn slice_fields(head: &Bytes, fields: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let sliced = fields.iter().map(|field| HeaderField {
        name: head.slice_ref(field.name.as_bytes()),
        value: head.slice_ref(field.value),
    });
    sliced.collect()
}

/// Returns the framing that the fields name; none when they name none.
pub(crate) fn named_framing(headers: &[HeaderField]) -> Result<Option<BodyFraming>, HeadFault> {
    let mut framing = None;
    for field in headers {
        let found = if field.name.eq_ignore_ascii_case(b"Content-Length") {
            Some(BodyFraming::Length(parse_number(&field.value)?))
        } else if field.name.eq_ignore_ascii_case(b"Transfer-Encoding") {
            if !field.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(HeadFault::BadFraming);
            }
            Some(BodyFraming::Chunked)
        } else {
            None
        };
        if found.is_some() && framing.is_some() {
            return Err(HeadFault::BadFraming);
        }
        framing = framing.or(found);
    }
    Ok(framing)
}

fn parse_number(value: &[u8]) -> Result<u64, HeadFault> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HeadFault::BadFraming);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HeadFault::BadFraming)?;
    text.parse().map_err(|_| HeadFault::BadFraming)
}

/// Returns the whole number that a field holds, if it holds one.
pub fn header_number(headers: &[HeaderField], name: &str) -> Option<u64> {
    let value = header_value(headers, name)?;
    parse_number(value).ok()
}

/// Tells whether a list field such as `Connection` holds a token.
pub fn lists_token(headers: &[HeaderField], name: &str, token: &str) -> bool {
    let fields = headers
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(name.as_bytes()));
    let mut items = fields.flat_map(|field| field.value.split(|byte| *byte == b','));
    items.any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}
