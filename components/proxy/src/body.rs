//! Bodies of answers.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};

use crate::outcome::{OUTCOME_HEADER, RequestOutcome};

/// Body of an answer: streamed from a server, or made here.
pub type ProxyBody = BoxBody<Bytes, hyper::Error>;

/// Makes an answer of the daemon's own.
pub(crate) fn own_answer(
    status: StatusCode,
    outcome: RequestOutcome,
    reason: &str,
) -> Response<ProxyBody> {
    let text = Full::from(format!("{reason}\n")).map_err(|never| match never {}).boxed();
    let mut response = Response::new(text);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain"));
    let outcome = match outcome {
        RequestOutcome::NotRun => "not-run",
        RequestOutcome::Ran => "ran",
        RequestOutcome::Unknown => "unknown",
    };
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static(outcome));
    if outcome == "not-run" && status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    }
    response
}
