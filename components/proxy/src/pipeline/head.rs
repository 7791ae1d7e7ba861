//! Heads of requests: where they end, and whether a request can be started from one.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version, header};

use crate::{body::CallerBody, headers::KEY_HEADER};

/// Largest head in bytes from which a request is started ahead of its turn.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Largest number of header lines, the same as in the HTTP library.
const MAX_HEADERS: usize = 100;

/// Finds the empty line that ends a head in bytes that arrive in parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HeadScan {
    /// Before the first line; empty lines are skipped there.
    #[default]
    Before,
    /// Within a line.
    Line,
    /// At the start of a line.
    LineStart,
    /// After a carriage return at the start of a line.
    EmptyLine,
}

impl HeadScan {
    /// Returns the number of bytes up to the end of the head, if it ends within these bytes.
    pub(super) fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut index = 0;
        while let Some(byte) = bytes.get(index) {
            *self = match (*self, byte) {
                (Self::Before, b'\r' | b'\n') => Self::Before,
                (Self::LineStart | Self::EmptyLine, b'\n') => {
                    *self = Self::Before;
                    return Some(index + 1);
                }
                (Self::LineStart, b'\r') => Self::EmptyLine,
                (_, b'\n') => Self::LineStart,
                _ => {
                    let rest = &bytes[index..];
                    index += rest.iter().position(|byte| *byte == b'\n').unwrap_or(rest.len());
                    *self = Self::Line;
                    continue;
                }
            };
            index += 1;
        }
        None
    }
}

/// What decides whether a request is safe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) host: Option<HeaderValue>,
    /// Whether the caller requires that the request runs once.
    pub(crate) has_key: bool,
}

impl RequestHead {
    pub(super) fn new<B>(request: &Request<B>) -> Self {
        let headers = request.headers();
        Self {
            method: request.method().clone(),
            uri: request.uri().clone(),
            host: headers.get(header::HOST).cloned(),
            has_key: headers.contains_key(KEY_HEADER),
        }
    }
}

/// Returns whether a caller sends nothing after a request that it wants answered.
pub(super) fn is_last(headers: &HeaderMap) -> bool {
    let is_close = |part: &str| part.trim().eq_ignore_ascii_case("close");
    let mut values = headers.get_all(header::CONNECTION).iter();
    values.any(|value| value.to_str().is_ok_and(|value| value.split(',').any(is_close)))
}

/// A head that was read ahead.
pub(super) enum ParsedHead {
    /// Its end has not arrived.
    Partial,
    /// A request without a body, and the length of its head in bytes.
    Whole(Box<Request<CallerBody>>, usize),
    /// Anything else, which only the HTTP library reads: malformed heads, other versions, bodies,
    /// large heads and changes of the protocol.
    Opaque,
}

/// Reads the next head.
pub(super) fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => ParsedHead::Partial,
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => {
            let request = build_request(&parsed);
            request
                .map_or(ParsedHead::Opaque, |request| ParsedHead::Whole(Box::new(request), length))
        }
        _ => ParsedHead::Opaque,
    }
}

/// Creates the request of a head, if it is one of HTTP/1.1 without a body.
fn build_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<CallerBody>> {
    if parsed.version != Some(1) {
        return None;
    }
    let mut request = Request::new(None);
    *request.version_mut() = Version::HTTP_11;
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse().ok()?;
    for line in parsed.headers.iter() {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        request.headers_mut().append(name, HeaderValue::from_bytes(line.value).ok()?);
    }
    let headers = request.headers();
    let lengths: Vec<_> = headers.get_all(header::CONTENT_LENGTH).iter().collect();
    let is_bodiless = match lengths.as_slice() {
        [] => true,
        [length] => length.as_bytes() == b"0",
        _ => false,
    };
    let others = [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT];
    let is_plain = !others.iter().any(|name| headers.contains_key(name));
    (is_bodiless && is_plain && request.method() != Method::CONNECT).then_some(request)
}
