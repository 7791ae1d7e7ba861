//! What a caller's request is at the daemon it enters by.

use std::{net::IpAddr, time::Duration};

use http::{Method, Request, StatusCode, Version, header, request::Parts};
use hyper::body::Incoming;
use sk_decide::{WorkKey, deadline::CallContext};
use sk_model::{RouteKind, RouteSetting};
use tokio::time::Instant;

use crate::{
    answer::{OwnAnswer, own_answer},
    call::{CallSource, CallTraits},
    clock::stable_hash,
    headers::{KEY_HEADER, join_cookies, strip_hop_headers, strip_own_headers},
    outcome::{RefusalKind, RequestOutcome},
    table::RouteMatch,
    upload::{UploadBody, UploadError},
};

/// Longest `Idempotency-Key`, in bytes: several times a UUID, and short beside a platform key.
const MAX_KEY_BYTES: usize = 256;

/// A caller's request, read so far as is needed to place it.
pub(crate) struct EntryRequest {
    pub(crate) parts: Parts,
    pub(crate) body: UploadBody,
    pub(crate) call: CallContext,
    pub(crate) began: Instant,
    pub(crate) traits: CallTraits,
    /// Servers that it may be sent to, where the route bounds them.
    pub(crate) max_attempts: Option<u8>,
}

/// Refuses what is never carried.
///
/// HTTP/1.0 has no chunks: an answer of unknown length would end with its connection, and one that
/// was cut would look complete. `CONNECT` asks for a tunnel, of which nothing could be said later.
pub(crate) fn check_carried<B>(request: &Request<B>) -> Result<(), OwnAnswer> {
    let status = match request.version() {
        Version::HTTP_11 | Version::HTTP_2 if request.method() != Method::CONNECT => return Ok(()),
        Version::HTTP_11 | Version::HTTP_2 => StatusCode::NOT_IMPLEMENTED,
        _ => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
    };
    Err(Box::new(own_answer(status, RequestOutcome::NotRun, RefusalKind::NotCarried)))
}

/// Refuses keys that cannot be kept as text, and requests with two. Keys that differ in such bytes
/// alone would count as one, and the second request would be answered as a copy of the first.
fn check_key<B>(request: &Request<B>) -> Result<(), OwnAnswer> {
    let is_key = |key: &http::HeaderValue| key.len() <= MAX_KEY_BYTES && key.to_str().is_ok();
    let mut keys = request.headers().get_all(KEY_HEADER).iter();
    match (keys.next().is_none_or(is_key), keys.next()) {
        (true, None) => Ok(()),
        _ => {
            let (status, kind) = (StatusCode::BAD_REQUEST, RefusalKind::Malformed);
            Err(Box::new(own_answer(status, RequestOutcome::NotRun, kind)))
        }
    }
}

/// Gives the host that a request is for: of its target, else of its header.
pub(crate) fn host_of<B>(request: &Request<B>) -> Option<String> {
    let target = request.uri().authority().map(|authority| authority.as_str());
    let header = || request.headers().get(header::HOST)?.to_str().ok();
    target.or_else(header).map(str::to_owned)
}

impl EntryRequest {
    /// Reads a request for a route.
    pub(crate) async fn read(
        request: Request<Incoming>,
        host: Option<&str>,
        route: &RouteMatch<'_>,
        call: CallContext,
        origin: CallOrigin,
        limit: u64,
    ) -> Result<Self, OwnAnswer> {
        let began = Instant::now();
        check_key(&request)?;
        let (mut parts, body) = UploadBody::read(request, limit, call.remaining).await;
        let body = body.map_err(|err| refuse_upload(&err))?;
        clean_head(&mut parts, host);
        body.set_length(&mut parts.headers);
        let traits = describe(&parts, &body, route, origin);
        Ok(Self { parts, body, call, began, traits, max_attempts: route.setting.max_attempts })
    }

    /// Makes the head of one attempt.
    pub(crate) fn head(&self) -> Request<()> {
        let mut head = Request::new(());
        *head.method_mut() = self.parts.method.clone();
        *head.uri_mut() = self.parts.uri.clone();
        *head.headers_mut() = self.parts.headers.clone();
        head
    }

    /// Gives the time left to its response-time goal, where there is one.
    pub(crate) fn goal_left(&self) -> Option<Duration> {
        self.traits.goal.map(|goal| goal.saturating_sub(self.began.elapsed()))
    }

    /// Gives the time left for the request.
    pub(crate) fn left(&self) -> Duration {
        self.call.remaining.saturating_sub(self.began.elapsed())
    }
}

/// Where a request comes from.
#[derive(Clone, Debug)]
pub(crate) enum CallOrigin {
    /// A service beside this daemon calls another.
    Nested(String),
    /// A caller at an address.
    Outside(IpAddr),
}

impl CallOrigin {
    /// Hashes the origin, for fair shares among callers.
    fn key(&self) -> u64 {
        match self {
            Self::Nested(service) => stable_hash(&[b"service", service.as_bytes()]),
            Self::Outside(IpAddr::V4(address)) => stable_hash(&[b"v4", &address.octets()]),
            Self::Outside(IpAddr::V6(address)) => stable_hash(&[b"v6", &address.octets()]),
        }
    }
}

fn clean_head(parts: &mut Parts, host: Option<&str>) {
    strip_own_headers(&mut parts.headers);
    strip_hop_headers(&mut parts.headers);
    if parts.version == Version::HTTP_2 {
        join_cookies(&mut parts.headers);
    }
    if let Some(host) = host.and_then(|host| host.parse().ok()) {
        parts.headers.insert(header::HOST, host);
    }
}

fn describe(
    parts: &Parts,
    body: &UploadBody,
    route: &RouteMatch<'_>,
    origin: CallOrigin,
) -> CallTraits {
    let key = parts.headers.get(KEY_HEADER).map(http::HeaderValue::as_bytes);
    let service = route.service.name.as_bytes();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = parts.method.as_str().as_bytes();
    let fingerprint = match key {
        Some(key) => stable_hash(&[b"key", service, key]),
        None => stable_hash(&[b"request", service, method, path.as_bytes(), body.sample()]),
    };
    CallTraits {
        class: route.setting.class,
        is_repeatable: is_repeatable(&parts.method, route.setting, key.is_some()),
        fingerprint,
        source: CallSource { team: route.team, caller: origin.key() },
        goal: route.setting.goal_ms.map(Duration::from_millis),
        rank: route.setting.rank,
        work: work_key(route.setting),
    }
}

/// Hashes what the service time of a route's requests depends on. Routes of one kind of work come
/// and go under many names; their figures tell them apart better than their names.
fn work_key(route: &RouteSetting) -> WorkKey {
    let handling = route.handling.map_or(0, |handling| handling as u64 + 1);
    let goal_ms = route.goal_ms.unwrap_or_default();
    let figures = [handling, goal_ms, u64::from(route.rank), route.class as u64];
    let bytes = figures.map(u64::to_le_bytes);
    stable_hash(&[&bytes[0], &bytes[1], &bytes[2], &bytes[3]])
}

/// Tells whether a request may run twice. Where the route names its kind, that alone decides: a
/// `GET` may confirm something, and a `POST` may only ask. Else the method and the route tell, and
/// a caller that gives a key says that its request must run once.
fn is_repeatable(method: &Method, route: &RouteSetting, has_key: bool) -> bool {
    match route.handling {
        Some(RouteKind::Safe | RouteKind::Download) => true,
        Some(RouteKind::Unsafe | RouteKind::Upload) => false,
        None => is_safe(method) || (route.repeatable && !has_key),
    }
}

/// Tells whether a method only reads. `PUT` and `DELETE` are idempotent by RFC 9110, but a second
/// run after another caller's change undoes that change, so they are repeated only where the route
/// says so.
fn is_safe(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS, Method::TRACE].contains(method)
}

fn refuse_upload(err: &UploadError) -> OwnAnswer {
    let (status, kind) = match err {
        UploadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, RefusalKind::TooLarge),
        UploadError::Lost => (StatusCode::REQUEST_TIMEOUT, RefusalKind::DeadlineTooNear),
    };
    Box::new(own_answer(status, RequestOutcome::NotRun, kind))
}
