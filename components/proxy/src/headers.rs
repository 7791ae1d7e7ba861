//! Headers that concern one hop only, and the headers of the system itself. Passing them on
//! unchecked would change the framing of a message or let a caller pose as a daemon.

use std::time::Duration;

use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{self, AsHeaderName},
};
use sk_decide::deadline::CallContext;

/// Header with the remaining time of a call in milliseconds. A service copies it into nested
/// calls.
pub const DEADLINE_HEADER: &str = "x-sapphirekeel-deadline-ms";
/// Header with the number of hops of a call. A service copies it into nested calls.
pub const HOPS_HEADER: &str = "x-sapphirekeel-hops";
/// Header with the retries of the layers above. A service copies it into nested calls.
pub const RETRIED_HEADER: &str = "x-sapphirekeel-retried";

/// Header with the requests a second that a backend server takes from all callers together.
pub(crate) const RATE_LIMIT_HEADER: HeaderName =
    HeaderName::from_static("x-sapphirekeel-server-limit");

/// Header with the load of a backend server: running requests, waiting requests, slots and slowness
/// in per cent.
pub(crate) const SERVER_LOAD_HEADER: HeaderName =
    HeaderName::from_static("x-sapphirekeel-server-load");

/// Header of a backend server's answers, with the value `1` once it leaves.
pub(crate) const LEAVING_HEADER: HeaderName =
    HeaderName::from_static("x-sapphirekeel-server-leaving");

/// Header with the name of the workspace whose key the caller sent.
pub(crate) const WORKSPACE_HEADER: HeaderName = HeaderName::from_static("x-sapphirekeel-workspace");

/// Header by which a caller requires that a request does not run twice.
pub(crate) const KEY_HEADER: &str = "idempotency-key";

const OWN_PREFIX: &str = "x-sapphirekeel-";
/// Headers that RFC 9110, section 7.6.1, restricts to one hop, and older ones of the same kind.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// Removes headers that concern the last hop only and that the next one would misread: a
/// `Connection` header, for example, makes a request malformed in HTTP/2.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in named_headers(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    // A chunked body is framed anew. A length that its sender also stated cannot be trusted: two
    // readers that trust different ones would split a stream into different requests.
    if headers.remove(header::TRANSFER_ENCODING).is_some() {
        headers.remove(header::CONTENT_LENGTH);
    }
    // Each daemon reads the body at once, so nobody waits for the interim answer.
    headers.remove(header::EXPECT);
}

/// Returns the headers that `Connection` names. `Host` and the length stay even if named, because
/// the request would be a different one without them.
fn named_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .filter(|name| {
            *name != header::HOST
                && *name != header::CONTENT_LENGTH
                && *name != header::TRANSFER_ENCODING
        })
        .collect()
}

/// Joins cookies into one header, as RFC 9113, section 8.2.3, requires when a request is passed on
/// from HTTP/2 to HTTP/1.1: servers there read only the first header.
pub(crate) fn join_cookies(headers: &mut HeaderMap) {
    if headers.get_all(header::COOKIE).iter().nth(1).is_some() {
        let cookies: Vec<&[u8]> =
            headers.get_all(header::COOKIE).iter().map(HeaderValue::as_bytes).collect();
        if let Ok(cookie) = HeaderValue::from_bytes(&cookies.join(&b"; "[..])) {
            headers.insert(header::COOKIE, cookie);
        }
    }
}

/// Removes the system's own headers, which only its daemons may set.
pub(crate) fn strip_own_headers(headers: &mut HeaderMap) {
    let is_own = |name: &&HeaderName| name.as_str().starts_with(OWN_PREFIX);
    if headers.keys().any(|name| is_own(&name)) {
        let names: Vec<HeaderName> = headers.keys().filter(is_own).cloned().collect();
        for name in names {
            headers.remove(name);
        }
    }
}

/// Reads the context of a call, bounded by the deadline of its route. `remaining` is how long the
/// caller will wait, if it states that. Hops and retries are read from calls of servers only.
pub(crate) fn read_context(
    headers: &HeaderMap,
    is_server_call: bool,
    remaining: Option<Duration>,
    deadline: Duration,
) -> CallContext {
    let remaining = remaining.unwrap_or(deadline);
    let number = |name| {
        let count = read_number(headers, name).filter(|_| is_server_call);
        count.map_or(0, |count| u8::try_from(count).unwrap_or(u8::MAX))
    };
    let (hops, retried_above) = (number(HOPS_HEADER), number(RETRIED_HEADER));
    CallContext { remaining, hops, retried_above }.limited_to(deadline)
}

/// Text of a log key without a value.
pub(crate) const NO_TEXT: &str = "-";

/// Returns a header's value as text for the log.
pub(crate) fn header_text(value: Option<&HeaderValue>) -> &str {
    value.and_then(|value| value.to_str().ok()).unwrap_or(NO_TEXT)
}

/// Reads a header that holds a number.
pub(crate) fn read_number(headers: &HeaderMap, name: impl AsHeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Writes the context that a backend server's nested calls carry on.
pub(crate) fn write_context(headers: &mut HeaderMap, call: &CallContext) {
    let millis = u64::try_from(call.remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(HeaderName::from_static(DEADLINE_HEADER), HeaderValue::from(millis));
    let hops = HeaderValue::from(u16::from(call.hops));
    headers.insert(HeaderName::from_static(HOPS_HEADER), hops);
    let retried = HeaderValue::from(u16::from(call.retried_above));
    headers.insert(HeaderName::from_static(RETRIED_HEADER), retried);
}
