//! Answers made by the daemon itself: refusals and errors. Each states whether the request ran, so
//! that callers send nothing again that may run twice, and refusals spread the callers' retries
//! over time.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use sk_decide::backoff::draw_between;

use crate::{
    body::{ProxyBody, whole_body},
    outcome::{REASON_HEADER, RETRY_AFTER_MS_HEADER, RefusalKind, RequestOutcome},
};

/// Window over which the retries of callers are spread that a daemon refused without a guard's
/// advice. The same as that of guards: callers refused in one burst must not return in one burst.
const RETRY_AFTER_WINDOW: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(3));

/// Largest body of a server's failure that is kept while the request is tried again, in bytes:
/// enough for any error text.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// An answer made by the daemon in place of a result.
pub(crate) type DaemonAnswer = Box<Response<ProxyBody>>;

/// Creates an answer made by the daemon itself.
pub(crate) fn daemon_answer(
    status: StatusCode,
    outcome: RequestOutcome,
    kind: RefusalKind,
) -> Response<ProxyBody> {
    let mut response = Response::new(whole_body(Bytes::from_static(kind.as_str().as_bytes())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    outcome.write(headers);
    let reason = HeaderValue::from_static(kind.as_str());
    headers.insert(HeaderName::from_static(REASON_HEADER), reason);
    response
}

/// Creates a refusal of a request that did not run, with the time after which the caller may
/// retry.
pub(crate) fn refuse_with_delay(kind: RefusalKind, retry_after: Duration) -> Response<ProxyBody> {
    let mut response = daemon_answer(status_of(kind), RequestOutcome::NotRun, kind);
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    // Rounded to the nearest second, the header's unit; rounding up would bunch the spread
    // retries.
    let seconds = millis.saturating_add(500) / 1000;
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    headers.insert(HeaderName::from_static(RETRY_AFTER_MS_HEADER), HeaderValue::from(millis));
    response
}

/// Creates a refusal of a request that did not run, with a random retry time in
/// [`RETRY_AFTER_WINDOW`].
pub(crate) fn refuse(kind: RefusalKind) -> Response<ProxyBody> {
    refuse_with_delay(
        kind,
        draw_between(RETRY_AFTER_WINDOW.0, RETRY_AFTER_WINDOW.1, &mut rand::rng()),
    )
}

/// Creates the answer to a request that may have run or whose answer cannot be used.
pub(crate) fn error_answer(kind: RefusalKind, outcome: RequestOutcome) -> Response<ProxyBody> {
    let status = match kind {
        RefusalKind::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalKind::AlreadyRan | RefusalKind::AlreadyClaimed => StatusCode::CONFLICT,
        _ => StatusCode::BAD_GATEWAY,
    };
    daemon_answer(status, outcome, kind)
}

/// Reads an answer to its end, so that it can be delivered later and occupies neither a server's
/// slot nor a connection meanwhile. Returns `None` if it is larger than [`MAX_BUFFERED_BYTES`] or
/// breaks off.
pub(crate) async fn buffer_answer(response: Response<ProxyBody>) -> Option<Response<ProxyBody>> {
    let (parts, body) = response.into_parts();
    let whole = Limited::new(body, MAX_BUFFERED_BYTES).collect().await.ok()?;
    Some(Response::from_parts(parts, whole_body(whole.to_bytes())))
}

/// Returns the HTTP status of a refusal.
///
/// A quarantined request gets 422 and not 503: clients and proxies take 503 as an invitation to
/// send again, which is what crashed the servers.
fn status_of(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalKind::HopLimit => StatusCode::LOOP_DETECTED,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
