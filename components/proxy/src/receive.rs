//! Receives the bodies of requests over the instance's link. A body is received before its request
//! occupies a slot, so that a slow link does not keep the server idle.

use std::sync::Arc;

use http::Request;
use http_body_util::BodyExt;

use crate::{
    body::{BodyError, PrefixedBody, ProxyBody, whole_body},
    transfers::{ScheduledBody, TransferScheduler},
    upload::{BodyPrefix, read_prefix},
};

/// Receives the body of a request when the scheduler allows it, so that the server's slot is not
/// taken meanwhile. Of a body larger than is kept in memory, the rest follows while the server
/// reads it.
///
/// # Errors
///
/// Returns the [`BodyError`] of a body that broke off. Nothing was sent to the server.
pub(crate) async fn receive_body(
    request: Request<ProxyBody>,
    scheduler: &Arc<TransferScheduler>,
) -> Result<Request<ProxyBody>, BodyError> {
    let (parts, body) = request.into_parts();
    let mut rest = ScheduledBody::new(body, scheduler);
    let body = match read_prefix(&mut rest).await? {
        BodyPrefix::Whole(bytes) => whole_body(bytes),
        BodyPrefix::Part(bytes) => PrefixedBody::new(whole_body(bytes), rest).boxed_unsync(),
    };
    Ok(Request::from_parts(parts, body))
}
