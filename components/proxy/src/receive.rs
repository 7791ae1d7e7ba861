//! Uploads on their way over the instance's link.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use http::Request;
use http_body_util::BodyExt;

use crate::{
    body::{BodyError, PrefixedBody, ProxyBody, whole_body},
    transfers::{ScheduledBody, TransferScheduler},
    upload::{BodyPrefix, read_prefix},
};

/// Counts a request until its body is here, or it is given up.
pub(crate) struct IncomingCount<'a>(&'a AtomicU32);

impl<'a> IncomingCount<'a> {
    /// Counts one more.
    pub(crate) fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for IncomingCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Takes the body of a request off the link, in its turn, so that the server's slot is not taken
/// while it comes. Of one that is larger than is kept, the rest follows while the server reads it.
///
/// # Errors
///
/// Returns the [`BodyError`] of a body that broke off. The server was sent nothing.
pub(crate) async fn receive_body(
    request: Request<ProxyBody>,
    scheduler: &Arc<TransferScheduler>,
) -> Result<Request<ProxyBody>, BodyError> {
    let (parts, body) = request.into_parts();
    let mut rest = ScheduledBody::new(body, scheduler);
    let body = match read_prefix(&mut rest).await? {
        BodyPrefix::Whole(bytes) => whole_body(bytes),
        BodyPrefix::Part(bytes) => PrefixedBody::new(bytes, rest).boxed_unsync(),
    };
    Ok(Request::from_parts(parts, body))
}
