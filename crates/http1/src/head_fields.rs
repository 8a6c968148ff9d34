//! Header fields that determine the framing of a message.

use bytes::Bytes;
use mulberrywell_role::header_value;
use mulberrywell_wire::request::HeaderField;

use crate::body_framing::BodyFraming;

/// Maximum number of fields in one head.
pub(crate) const FIELDS_MAX: usize = 64;

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// The bytes are not a valid HTTP/1 head.
    Malformed,
    /// The head is longer than the limit.
    TooLong,
    /// Lengths are invalid, repeated or conflicting, or the transfer coding is
    /// unknown.
    BadFraming,
}

/// Returns the parsed fields as slices of the head, without a copy.
pub(crate) fn fields_as_slices(head: &Bytes, fields: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let sliced = fields.iter().map(|field| HeaderField {
        name: head.slice_ref(field.name.as_bytes()),
        value: head.slice_ref(field.value),
    });
    sliced.collect()
}

/// Returns the framing that the fields declare, if any.
pub(crate) fn framing_from_headers(
    headers: &[HeaderField],
) -> Result<Option<BodyFraming>, HeadError> {
    let mut framing = None;
    for field in headers {
        let named = if field.name.eq_ignore_ascii_case(b"Content-Length") {
            Some(BodyFraming::Length(parse_number(&field.value)?))
        } else if field.name.eq_ignore_ascii_case(b"Transfer-Encoding") {
            if !field.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(HeadError::BadFraming);
            }
            Some(BodyFraming::Chunked)
        } else {
            None
        };
        if named.is_some() && framing.is_some() {
            return Err(HeadError::BadFraming);
        }
        framing = framing.or(named);
    }
    Ok(framing)
}

fn parse_number(value: &[u8]) -> Result<u64, HeadError> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::BadFraming);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HeadError::BadFraming)?;
    text.parse().map_err(|_| HeadError::BadFraming)
}

/// Returns a field's value as an unsigned decimal integer; none if the field is
/// absent or has another value.
pub fn header_number(headers: &[HeaderField], name: &str) -> Option<u64> {
    let value = header_value(headers, name)?;
    parse_number(value).ok()
}

/// Returns whether a list field such as `Connection` contains a token.
pub fn list_has_token(headers: &[HeaderField], name: &str, token: &str) -> bool {
    let fields = headers
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(name.as_bytes()));
    let mut items = fields.flat_map(|field| field.value.split(|byte| *byte == b','));
    items.any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}
