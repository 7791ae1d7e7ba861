//! A body that reports its end to a handler, and that fails at its deadline. Slots, connections
//! and counts are released by it when an answer really ends, not when its head was sent.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::body::BodyError;

/// How far a body was read when it ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    /// Bytes passed on to the reader.
    pub(crate) passed: u64,
    /// Length of the whole body in bytes, if it is known.
    pub(crate) size: Option<u64>,
    /// Time since the head.
    pub(crate) age: Duration,
}

/// Handles the end of a body.
pub(crate) trait BodyEndHandler: Sized {
    /// Called when the body was read completely.
    fn on_complete(self);

    /// Called when the body failed.
    fn on_failure(self, err: &BodyError, progress: BodyProgress);

    /// Called when the reader left before the end.
    fn on_abandon(self, _progress: BodyProgress) {}
}

/// A body that keeps a handler until its end or its deadline.
pub(crate) struct TrackedBody<B, H: BodyEndHandler> {
    inner: B,
    deadline: Option<Pin<Box<Sleep>>>,
    handler: Option<H>,
    began: Instant,
    passed: u64,
    size: Option<u64>,
}

impl<B, H> TrackedBody<B, H>
where
    B: Body<Data = Bytes> + Unpin,
    H: BodyEndHandler,
{
    /// Wraps a body, which must end by the deadline if there is one.
    pub(crate) fn new(inner: B, handler: H, deadline: Option<Instant>) -> Self {
        let deadline = deadline.map(|deadline| Box::pin(sleep_until(deadline)));
        let size = inner.size_hint().exact();
        let (began, handler) = (Instant::now(), Some(handler));
        let mut body = Self { inner, deadline, handler, began, passed: 0, size };
        // An empty body is never read.
        body.finish_if_ended();
        body
    }

    fn finish_if_ended(&mut self) {
        if self.inner.is_end_stream() {
            self.on_complete();
        }
    }

    fn on_complete(&mut self) {
        if let Some(handler) = self.handler.take() {
            handler.on_complete();
        }
    }

    fn on_failure(&mut self, err: BodyError) -> BodyError {
        if let Some(handler) = self.handler.take() {
            handler.on_failure(&err, self.progress());
        }
        err
    }

    /// Returns whether the deadline has passed before the end of the body.
    fn is_late(&mut self, context: &mut Context<'_>) -> bool {
        let deadline = self.deadline.as_mut().filter(|_| self.handler.is_some());
        deadline.is_some_and(|deadline| deadline.as_mut().poll(context).is_ready())
    }
}

impl<B, H: BodyEndHandler> TrackedBody<B, H> {
    fn progress(&self) -> BodyProgress {
        BodyProgress { passed: self.passed, size: self.size, age: self.began.elapsed() }
    }
}

impl<B, H: BodyEndHandler> Drop for TrackedBody<B, H> {
    fn drop(&mut self) {
        if let Some(handler) = self.handler.take() {
            handler.on_abandon(self.progress());
        }
    }
}

impl<B, H> Body for TrackedBody<B, H>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
    H: BodyEndHandler + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_late(context) {
            let err = self.on_failure(BodyError::DeadlinePassed);
            return Poll::Ready(Some(Err(err)));
        }
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        Poll::Ready(match frame {
            Some(Ok(frame)) => {
                self.passed += frame.data_ref().map_or(0, |data| data.len() as u64);
                // A body of known length is not read beyond its last byte.
                self.finish_if_ended();
                Some(Ok(frame))
            }
            Some(Err(err)) => Some(Err(self.on_failure(err.into()))),
            None => {
                self.on_complete();
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
