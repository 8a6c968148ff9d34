//! Extracts a caller's key and removes it from the request.
//!
//! A key may be a bearer token or be in an API-key header, a cookie or the
//! query. Only the headers in [`FORWARDED_HEADERS`] are forwarded to an
//! endpoint, and a request that repeats its key anywhere else is refused.

use bytes::Bytes;
use mulberrywell_role::HttpRequest;
use mulberrywell_wire::request::HeaderField;

/// Headers that are forwarded to an endpoint.
const FORWARDED_HEADERS: [&str; 8] = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-none-match",
    "user-agent",
    "x-request-id",
];

const KEY_HEADERS: [&str; 3] = ["x-api-key", "api-key", "x-goog-api-key"];
const KEY_NAMES: [&[u8]; 3] = [b"api_key", b"api-key", b"key"];

/// Minimum length of a key that is searched for in the rest of the request.
const KEY_LEN_MIN: usize = 8;

/// A request without its key.
#[derive(Debug, Clone)]
pub struct StrippedRequest {
    /// The key, if there is one.
    pub key: Option<Bytes>,
    /// Path and query without the key.
    pub path: Bytes,
    /// The headers that are forwarded.
    pub headers: Vec<HeaderField>,
}

/// Why the key of a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The request contains two different keys.
    Ambiguous,
    /// The path, a forwarded header or the body also contains the key.
    Exposed,
}

/// Removes the key from a request.
///
/// # Errors
/// Fails when an endpoint would receive the key, or when the request contains
/// two different keys.
pub fn strip_key(http: &HttpRequest) -> Result<StrippedRequest, KeyError> {
    let mut keys = header_keys(&http.headers);
    let path = strip_query(&http.path, &mut keys);
    keys.sort();
    keys.dedup();
    if keys.len() > 1 {
        return Err(KeyError::Ambiguous);
    }
    let headers: Vec<HeaderField> = http.headers.iter().filter(is_forwarded).cloned().collect();
    let key = keys.pop();
    if let Some(key) = &key {
        let exposed = contains(&path, key)
            || contains(&http.body, key)
            || headers.iter().any(|field| contains(&field.value, key));
        if exposed {
            return Err(KeyError::Exposed);
        }
    }
    Ok(StrippedRequest { key, path, headers })
}

fn header_keys(headers: &[HeaderField]) -> Vec<Bytes> {
    let mut keys = Vec::new();
    for field in headers {
        if field.name.eq_ignore_ascii_case(b"authorization") {
            keys.extend(bearer_token(&field.value));
        } else if field.name.eq_ignore_ascii_case(b"cookie") {
            keys.extend(cookie_key(&field.value));
        } else if KEY_HEADERS
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name.as_bytes()))
        {
            keys.push(trim(&field.value));
        }
    }
    keys.retain(|key| !key.is_empty());
    keys
}

fn bearer_token(value: &Bytes) -> Option<Bytes> {
    let scheme = value.get(..7)?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| trim(&value.slice(7..)))
}

fn cookie_key(value: &Bytes) -> Option<Bytes> {
    value.split(|&b| b == b';').find_map(|pair| {
        let pair = pair.trim_ascii();
        let split = pair.iter().position(|&b| b == b'=')?;
        KEY_NAMES
            .contains(&&pair[..split])
            .then(|| value.slice_ref(&pair[split + 1..]))
    })
}

/// Returns the path without key parameters, and appends their values to `keys`.
fn strip_query(target: &Bytes, keys: &mut Vec<Bytes>) -> Bytes {
    let Some(start) = target.iter().position(|&b| b == b'?') else {
        return target.clone();
    };
    let mut kept: Vec<&[u8]> = Vec::new();
    for pair in target[start + 1..].split(|&b| b == b'&') {
        let split = pair.iter().position(|&b| b == b'=').unwrap_or(pair.len());
        let name = pair[..split].to_ascii_lowercase();
        if KEY_NAMES.contains(&name.as_slice()) {
            let value = pair.get(split + 1..).unwrap_or_default();
            if !value.is_empty() {
                keys.push(target.slice_ref(value));
            }
        } else {
            kept.push(pair);
        }
    }
    let mut path = target[..start].to_vec();
    if !kept.is_empty() {
        path.push(b'?');
        path.extend_from_slice(&kept.join(&b'&'));
    }
    Bytes::from(path)
}

fn is_forwarded(field: &&HeaderField) -> bool {
    FORWARDED_HEADERS
        .iter()
        .any(|name| field.name.eq_ignore_ascii_case(name.as_bytes()))
}

fn contains(text: &[u8], key: &[u8]) -> bool {
    key.len() >= KEY_LEN_MIN && text.windows(key.len()).any(|window| window == key)
}

fn trim(value: &Bytes) -> Bytes {
    value.slice_ref(value.trim_ascii())
}
