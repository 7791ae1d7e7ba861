//! Answers of the daemon's own.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use sk_decide::backoff::draw_between;

use crate::{
    body::{ProxyBody, whole_body},
    outcome::{REASON_HEADER, RETRY_AFTER_MS_HEADER, RefusalKind, RequestOutcome},
};

/// Window in which callers return that a daemon sent away without a guard's advice. The same as
/// that of guards: callers refused in one burst must not come back in one.
const RETURN_WINDOW: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(3));

/// Bytes of a server's failure that are kept while the request is tried again: any error text.
const KEPT_BYTES: usize = 64 * 1024;

/// An answer of the daemon's own in the place of an error.
pub(crate) type OwnAnswer = Box<Response<ProxyBody>>;

/// Makes an answer of the daemon's own.
pub(crate) fn own_answer(
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

/// Makes a refusal of a request that did not run, with the time after which it may return.
pub(crate) fn refuse_until(kind: RefusalKind, retry_after: Duration) -> Response<ProxyBody> {
    let mut response = own_answer(status_of(kind), RequestOutcome::NotRun, kind);
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    // Rounded to the nearest second, the header's unit, or the spread would be lost upwards.
    let seconds = millis.saturating_add(500) / 1000;
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    headers.insert(HeaderName::from_static(RETRY_AFTER_MS_HEADER), HeaderValue::from(millis));
    response
}

/// Makes a refusal of a request that did not run, with a spread time to return.
pub(crate) fn refuse(kind: RefusalKind) -> Response<ProxyBody> {
    refuse_until(kind, draw_between(RETURN_WINDOW.0, RETURN_WINDOW.1, &mut rand::rng()))
}

/// Makes the answer to a request that may have run, or whose answer is of no use.
pub(crate) fn lost_answer(kind: RefusalKind, outcome: RequestOutcome) -> Response<ProxyBody> {
    let status = match kind {
        RefusalKind::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalKind::AlreadyRan | RefusalKind::AlreadyClaimed => StatusCode::CONFLICT,
        _ => StatusCode::BAD_GATEWAY,
    };
    own_answer(status, outcome, kind)
}

/// Reads an answer to its end, so that it can be delivered later and holds neither a server's slot nor a
/// connection meanwhile. Nothing where it is large or breaks off.
pub(crate) async fn keep_answer(response: Response<ProxyBody>) -> Option<Response<ProxyBody>> {
    let (parts, body) = response.into_parts();
    let whole = Limited::new(body, KEPT_BYTES).collect().await.ok()?;
    Some(Response::from_parts(parts, whole_body(whole.to_bytes())))
}

/// Gives the status of a refusal.
///
/// A quarantined request gets 422 and not 503: clients and proxies take 503 as an invitation to
/// send again, which is what brought the servers down.
fn status_of(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalKind::HopLimit => StatusCode::LOOP_DETECTED,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
