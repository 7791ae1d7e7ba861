//! A caller's request at its entry daemon: checked, cleaned of headers that must not pass, and
//! described for placement.

use std::{net::IpAddr, sync::Arc, time::Duration};

use http::{Method, Request, StatusCode, Version, header, request::Parts};
use sk_decide::{WorkKey, deadline::CallContext};
use sk_model::{RouteHandling, RouteSetting};
use tokio::time::Instant;

use crate::{
    answer::{DaemonAnswer, daemon_answer},
    body::CallerBody,
    call::{CallSource, CallTraits},
    clock::stable_hash,
    drain::DrainClock,
    headers::{KEY_HEADER, join_cookies, strip_hop_headers, strip_own_headers},
    outcome::{RefusalKind, RequestOutcome},
    returning::{RefusedRequests, RequestKey},
    table::RouteMatch,
    upload::{UploadBody, UploadError},
    workspaces::TableWorkspace,
};

/// Longest `Idempotency-Key`, in bytes: several times a UUID, and short beside a key of the
/// platform's store.
const MAX_KEY_BYTES: usize = 256;

/// A caller's request, read as far as placement needs.
pub(crate) struct EntryRequest {
    pub(crate) parts: Parts,
    pub(crate) body: UploadBody,
    pub(crate) call: CallContext,
    pub(crate) began: Instant,
    /// When the caller first sent it here, if earlier attempts were refused.
    pub(crate) first_arrival: Instant,
    /// Identifies the request and its caller.
    pub(crate) key: RequestKey,
    pub(crate) traits: CallTraits,
    /// Largest number of servers that it may be sent to, if the route limits it.
    pub(crate) max_attempts: Option<u8>,
    /// Workspace whose key it carries, if the route needs a key.
    pub(crate) workspace: Option<Arc<TableWorkspace>>,
}

/// Checks that a request uses a supported protocol version and method.
///
/// HTTP/1.0 has no chunks: an answer of unknown length would end with its connection, and a
/// truncated one would look complete. `CONNECT` asks for a tunnel, of which the daemon could not
/// report whether anything ran.
///
/// # Errors
///
/// Returns the refusal of any other request.
pub(crate) fn check_carried<B>(request: &Request<B>) -> Result<(), DaemonAnswer> {
    let status = match request.version() {
        Version::HTTP_11 | Version::HTTP_2 if request.method() != Method::CONNECT => return Ok(()),
        Version::HTTP_11 | Version::HTTP_2 => StatusCode::NOT_IMPLEMENTED,
        _ => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
    };
    Err(Box::new(daemon_answer(status, RequestOutcome::NotRun, RefusalKind::NotCarried)))
}

/// Checks that a request has at most one `Idempotency-Key`, and that this has at most
/// [`MAX_KEY_BYTES`] and can be stored as text. Keys that differ only in undecodable bytes would
/// count as one, and the second request would be answered as a copy of the first.
///
/// # Errors
///
/// Returns the refusal of any other request.
fn check_key<B>(request: &Request<B>) -> Result<(), DaemonAnswer> {
    let is_key = |key: &http::HeaderValue| key.len() <= MAX_KEY_BYTES && key.to_str().is_ok();
    let mut keys = request.headers().get_all(KEY_HEADER).iter();
    match (keys.next().is_none_or(is_key), keys.next()) {
        (true, None) => Ok(()),
        _ => {
            let (status, kind) = (StatusCode::BAD_REQUEST, RefusalKind::Malformed);
            Err(Box::new(daemon_answer(status, RequestOutcome::NotRun, kind)))
        }
    }
}

/// Returns the host that a request is for: that of its target, otherwise that of its header.
pub(crate) fn host_of<B>(request: &Request<B>) -> Option<String> {
    let target = request.uri().authority().map(|authority| authority.as_str());
    let header = || str::from_utf8(request.headers().get(header::HOST)?.as_bytes()).ok();
    target.or_else(header).map(str::to_owned)
}

impl EntryRequest {
    /// Reads a request for a route. `limit` is the largest body in bytes.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request whose key or body is not accepted.
    pub(crate) async fn read(
        request: Request<CallerBody>,
        host: Option<&str>,
        route: &RouteMatch<'_>,
        call: CallContext,
        (origin, workspace): (CallOrigin, Option<Arc<TableWorkspace>>),
        limit: u64,
        refused: &RefusedRequests,
    ) -> Result<Self, DaemonAnswer> {
        let began = Instant::now();
        check_key(&request)?;
        let (mut parts, body) = UploadBody::read(request, limit, call.remaining).await;
        let body = body.map_err(|err| refuse_upload(&err))?;
        clean_headers(&mut parts, host);
        body.set_length(&mut parts.headers);
        let mut traits = call_traits(&parts, &body, route, origin);
        if let Some(workspace) = &workspace {
            traits.rank = workspace.request_rank(route.setting.rank);
        }
        let caller = traits.source.caller.to_le_bytes();
        let key = stable_hash(&[&caller, &traits.fingerprint.to_le_bytes()]);
        let first_arrival = match route.service.placement.settings().factors.returns {
            true => refused.take_first_arrival(key, began),
            false => began,
        };
        let max_attempts = route.setting.max_attempts;
        Ok(Self { parts, body, call, began, first_arrival, key, traits, max_attempts, workspace })
    }

    /// Creates the head of one attempt.
    pub(crate) fn head(&self) -> Request<()> {
        let mut head = Request::new(());
        *head.method_mut() = self.parts.method.clone();
        *head.uri_mut() = self.parts.uri.clone();
        *head.headers_mut() = self.parts.headers.clone();
        head
    }

    /// Returns the time remaining until its response-time goal, if there is one, counted from the
    /// caller's first attempt.
    pub(crate) fn goal_remaining(&self) -> Option<Duration> {
        self.traits.goal.map(|goal| goal.saturating_sub(self.first_arrival.elapsed()))
    }

    /// Returns the context of the call, bounded by the drain of this daemon.
    pub(crate) fn bounded_call(&self, clock: &DrainClock) -> CallContext {
        let until = clock.bound(self.began + self.call.remaining);
        self.call.limited_to(until.saturating_duration_since(self.began))
    }

    /// Returns the time remaining until its deadline.
    pub(crate) fn remaining(&self) -> Duration {
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
    /// Returns whether a server waits for the request, for one that it runs.
    pub(crate) fn is_nested(&self) -> bool {
        matches!(self, Self::Nested(_))
    }

    /// Hashes the origin; fair shares among callers are counted by it.
    fn key(&self) -> u64 {
        match self {
            Self::Nested(service) => stable_hash(&[b"service", service.as_bytes()]),
            Self::Outside(IpAddr::V4(address)) => stable_hash(&[b"v4", &address.octets()]),
            Self::Outside(IpAddr::V6(address)) => stable_hash(&[b"v6", &address.octets()]),
        }
    }
}

/// Removes headers that must not pass, and sets the host.
fn clean_headers(parts: &mut Parts, host: Option<&str>) {
    strip_own_headers(&mut parts.headers);
    strip_hop_headers(&mut parts.headers);
    if parts.version == Version::HTTP_2 {
        join_cookies(&mut parts.headers);
    }
    if let Some(host) = host.and_then(|host| host.parse().ok()) {
        parts.headers.insert(header::HOST, host);
    }
}

/// Derives from a request and its route what its attempts have in common.
fn call_traits(
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
        is_nested: route.service.placement.settings().factors.nested_first && origin.is_nested(),
        work: work_key(route.setting),
    }
}

/// Hashes what the service time of a route's requests depends on. Routes of one kind of work are
/// added and removed under many names; their settings identify the work better than their names.
fn work_key(route: &RouteSetting) -> WorkKey {
    let handling = route.handling.map_or(0, |handling| handling as u64 + 1);
    let goal_ms = route.goal_ms.unwrap_or_default();
    let figures = [handling, goal_ms, u64::from(route.rank), route.class as u64];
    let bytes = figures.map(u64::to_le_bytes);
    stable_hash(&[&bytes[0], &bytes[1], &bytes[2], &bytes[3]])
}

/// Returns whether a request may run twice. If the route states its handling, that alone decides:
/// a `GET` may confirm something, and a `POST` may only query. Otherwise the method and the route
/// decide, and a caller that sends a key requires that its request runs once.
pub(crate) fn is_repeatable(method: &Method, route: &RouteSetting, has_key: bool) -> bool {
    match route.handling {
        Some(RouteHandling::Safe | RouteHandling::Download) => true,
        Some(RouteHandling::Unsafe | RouteHandling::Upload) => false,
        None => is_safe(method) || (route.repeatable && !has_key),
    }
}

/// Returns whether a method only reads. `PUT` and `DELETE` are idempotent by RFC 9110, but a
/// second run after another caller's change would undo that change, so they are repeated only
/// where the route allows it.
fn is_safe(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS, Method::TRACE].contains(method)
}

/// Returns the refusal of a request whose body could not be read.
fn refuse_upload(err: &UploadError) -> DaemonAnswer {
    let (status, kind) = match err {
        UploadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, RefusalKind::TooLarge),
        UploadError::Lost => (StatusCode::REQUEST_TIMEOUT, RefusalKind::DeadlineTooNear),
    };
    Box::new(daemon_answer(status, RequestOutcome::NotRun, kind))
}
