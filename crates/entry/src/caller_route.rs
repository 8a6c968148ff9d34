//! The paths that callers may request.

use bytes::Bytes;

/// Destination of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerRoute {
    /// `GET /healthz`: whether the process is running.
    Health,
    /// `GET /readyz`: whether the entry accepts requests.
    Ready,
    /// `GET /v1/models`: the models that the account's plan grants.
    ModelList,
    /// `POST` to a completion path: runs at a model engine.
    Completion,
    /// Any method below `/services/{name}`: runs at a plain service.
    Service {
        /// Name of the service.
        name: Bytes,
        /// Path and query below the service, with a leading `/`.
        path: Bytes,
    },
}

/// Why a path is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No such path.
    NotFound,
    /// The path does not support the method.
    WrongMethod,
    /// The path is not normalized, so that it could be interpreted as another
    /// one.
    BadPath,
}

/// Fixed paths, each with its only method.
const FIXED_ROUTES: [(&[u8], &[u8], CallerRoute); 5] = [
    (b"/healthz", b"GET", CallerRoute::Health),
    (b"/readyz", b"GET", CallerRoute::Ready),
    (b"/v1/models", b"GET", CallerRoute::ModelList),
    (b"/v1/chat/completions", b"POST", CallerRoute::Completion),
    (b"/v1/completions", b"POST", CallerRoute::Completion),
];

const SERVICE_PREFIX: &[u8] = b"/services/";

impl CallerRoute {
    /// Finds the route of a method and a path with its query.
    ///
    /// # Errors
    /// Fails when there is no route, or when the path is not normalized.
    pub fn find(method: &[u8], target: &Bytes) -> Result<Self, RouteError> {
        let end = target.iter().position(|&b| b == b'?');
        let path = target.slice(..end.unwrap_or(target.len()));
        if !is_normalized(&path) {
            return Err(RouteError::BadPath);
        }
        let fixed = FIXED_ROUTES.iter().find(|(text, _, _)| *text == path);
        if let Some((_, allowed, route)) = fixed {
            if *allowed != method {
                return Err(RouteError::WrongMethod);
            }
            return Ok(route.clone());
        }
        find_service(target, &path)
    }
}

fn find_service(target: &Bytes, path: &Bytes) -> Result<CallerRoute, RouteError> {
    if !path.starts_with(SERVICE_PREFIX) {
        return Err(RouteError::NotFound);
    }
    let start = SERVICE_PREFIX.len();
    let len = path[start..].iter().position(|&b| b == b'/');
    let end = start + len.unwrap_or(path.len() - start);
    let name = path.slice(start..end);
    if name.is_empty() {
        return Err(RouteError::NotFound);
    }
    let mut rest = target.slice(end..);
    if !rest.starts_with(b"/") {
        rest = Bytes::from([b"/", rest.as_ref()].concat());
    }
    Ok(CallerRoute::Service { name, path: rest })
}

/// Returns whether a path is normalized: no empty, `.` or `..` segment, no
/// encoded dot or separator, no control byte. Such a path has one
/// interpretation only.
fn is_normalized(path: &[u8]) -> bool {
    if path.first() != Some(&b'/') || path.iter().any(|&b| b <= b' ' || b == b'\\' || b == 0x7f) {
        return false;
    }
    let segments: Vec<&[u8]> = path[1..].split(|&b| b == b'/').collect();
    let last = segments.len() - 1;
    segments.iter().enumerate().all(|(idx, segment)| {
        let lower = segment.to_ascii_lowercase();
        let encoded = [&b"%2e"[..], b"%2f", b"%5c", b"%00"]
            .iter()
            .any(|code| lower.windows(3).any(|window| window == *code));
        let empty = segment.is_empty() && idx != last;
        !(encoded || empty || *segment == b"." || *segment == b"..")
    })
}
