//! A body that ends at its deadline even if its connection takes nothing.
//!
//! A connection whose peer reads nothing does not ask for the next part of a body. If the deadline
//! were only checked then, such a peer would occupy the server's slot for as long as it likes.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::task::AtomicWaker;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    task::AbortHandle,
    time::{Instant, sleep_until},
};

use crate::{
    body::BodyError,
    tracked_body::{BodyEndHandler, TrackedBody},
};

/// A body that its connection reads and that its deadline ends.
struct SharedBody<B, H: BodyEndHandler> {
    /// `None` once the deadline has passed.
    body: Mutex<Option<TrackedBody<B, H>>>,
    /// Wakes the connection if it waits for the next part at the deadline.
    reader: AtomicWaker,
}

/// A tracked body and the task that ends it at its deadline.
pub(crate) struct ExpiringBody<B, H: BodyEndHandler> {
    shared: Arc<SharedBody<B, H>>,
    expiry: Option<AbortHandle>,
}

impl<B, H> ExpiringBody<B, H>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    H: BodyEndHandler + Send + 'static,
{
    /// Wraps a body, which must end by the deadline.
    pub(crate) fn new(body: TrackedBody<B, H>, deadline: Instant) -> Self {
        let is_open = !body.is_ended();
        let shared = SharedBody { body: Mutex::new(Some(body)), reader: AtomicWaker::new() };
        let shared = Arc::new(shared);
        let expiry = is_open.then(|| {
            let shared = shared.clone();
            tokio::spawn(async move {
                sleep_until(deadline).await;
                shared.expire();
            })
            .abort_handle()
        });
        Self { shared, expiry }
    }
}

impl<B, H: BodyEndHandler> SharedBody<B, H> {
    fn lock(&self) -> MutexGuard<'_, Option<TrackedBody<B, H>>> {
        self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<B: Body<Data = Bytes> + Unpin, H: BodyEndHandler> SharedBody<B, H> {
    /// Ends the body, unless all of it was read.
    fn expire(&self) {
        let expired = self.lock().take_if(|body| !body.is_ended());
        if let Some(body) = expired {
            body.expire();
            self.reader.wake();
        }
    }
}

impl<B, H: BodyEndHandler> Drop for ExpiringBody<B, H> {
    fn drop(&mut self) {
        if let Some(expiry) = &self.expiry {
            expiry.abort();
        }
        // An aborted task may keep its reference for a while.
        let body = self.shared.lock().take();
        drop(body);
    }
}

impl<B, H> Body for ExpiringBody<B, H>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
    H: BodyEndHandler + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.shared.reader.register(context.waker());
        match &mut *self.shared.lock() {
            Some(body) => Pin::new(body).poll_frame(context),
            None => Poll::Ready(Some(Err(BodyError::DeadlinePassed))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.shared.lock().as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.shared.lock().as_ref().map_or_else(SizeHint::default, Body::size_hint)
    }
}
