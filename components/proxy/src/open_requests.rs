//! Requests that a guard has accepted and whose answers its connections have not taken over
//! completely.
//!
//! They are counted by the guard and not by its servers, because a server that has left is no
//! longer known while its last answers are still being sent.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::body::{BodyError, ProxyBody};

/// Number of open requests of a guard.
#[derive(Debug, Default)]
pub struct OpenRequests(AtomicUsize);

impl OpenRequests {
    /// Returns the number of requests whose answers have not ended.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Counts a request until the returned value is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> OpenRequest {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenRequest(self.clone())
    }
}

/// A request that counts as open until this is dropped.
pub(crate) struct OpenRequest(Arc<OpenRequests>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The body of an answer, whose request is open until the connection drops the body.
pub(crate) struct OpenBody {
    inner: ProxyBody,
    _request: OpenRequest,
}

impl OpenBody {
    /// Keeps a request open for a body.
    pub(crate) fn new(inner: ProxyBody, request: OpenRequest) -> Self {
        Self { inner, _request: request }
    }
}

impl Body for OpenBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
